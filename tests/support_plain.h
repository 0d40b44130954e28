/* VMs and plain backend servers of one service, with callers. All share one main loop.
 * The servers answer as the test sets, and record what arrives.
 */
#ifndef SUPPORT_PLAIN_H
#define SUPPORT_PLAIN_H

#include "support_entry.h"
#include "support_store.h"

#define PLAIN_VMS 2
#define PLAIN_SERVERS 2
#define PLAIN_WAIT_MS 5000

/* What came to a server. */
typedef struct {
	int64_t at_us;
	unsigned vm; /* that took the request from its caller */
	bool is_check; /* of its health */
} plain_arrival_t;

/* A plain server. Each answer has the status and the header fields that are set. */
typedef struct {
	ingress_t ingress;
	char *id; /* its key in the store */
	char *address;
	GArray *arrivals; /* of plain_arrival_t */
	unsigned misdirected; /* requests and checks meant for another server */
	unsigned status;
	const char *field;
	const char *value;
	bool holds; /* requests, but no health checks, get no answer yet */
	GPtrArray *held; /* of exchange_t */
} plain_server_t;

typedef struct {
	fake_store_t store;
	char *store_address;
	support_entry_t vms[PLAIN_VMS];
	plain_server_t servers[PLAIN_SERVERS];
	http_pool_t callers;
	unsigned requests; /* sent so far */
	unsigned open; /* requests in progress */
	unsigned status; /* of the last answer */
	double retry_after_s; /* of the last answer */
	unsigned served;
} plain_fixture_t;

int64_t plain_now_us(void);
void plain_start(plain_fixture_t *fixture);
void plain_stop(plain_fixture_t *fixture);
void plain_list(plain_fixture_t *fixture, const plain_server_t *server,
		const char *state, const char *rest);
void plain_list_as(plain_fixture_t *fixture, const plain_server_t *server,
		   const char *id, const char *rest);
void plain_unlist(plain_fixture_t *fixture, const plain_server_t *server);
void plain_crash(plain_fixture_t *fixture, plain_server_t *server,
		 const char *next_id);
void plain_await_servers(plain_fixture_t *fixture, unsigned servers);
void plain_say(plain_server_t *server, unsigned status, const char *field,
	       const char *value);
void plain_say_nothing(plain_server_t *server);
void plain_answer_held(plain_server_t *server);
void plain_send(plain_fixture_t *fixture, unsigned vm);
void plain_ask(plain_fixture_t *fixture, unsigned vm);
void plain_ask_until(plain_fixture_t *fixture, unsigned vm, int64_t until_us);
int64_t plain_await_arrival(plain_fixture_t *fixture, unsigned vm,
			    plain_server_t *server);
unsigned plain_count(const plain_server_t *server, unsigned vm, int64_t from_us,
		     int64_t until_us);
void plain_await_held(plain_fixture_t *fixture, unsigned vm,
		      plain_server_t *server);

#endif
