/* A small deployment for review cases: entry processes of the project's own program, and stand-ins
 * for the platform's store, model engines and callers in the process of the case. All of them use
 * loopback addresses.
 */
#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include "connection/http_pool.h"
#include "connection/ingress.h"
#include "process/alarm.h"
#include "support_proxy.h"
#include "support_store.h"

#define CASE_BROKEN 1
#define CASE_HELD 0
#define CASE_COULD_NOT_RUN 2

typedef struct site site_t;
typedef struct engine engine_t;

/* A request that an engine has: waiting, running, or worked on after its connection has ended. */
typedef struct {
	engine_t *engine;
	exchange_t *exchange; /* NULL: its connection has ended */
	char *request;
	alarm_t next;
	unsigned events; /* sent, or worked through, so far */
	int64_t queued_us; /* when it came */
	int64_t begun_us; /* 0: it waits */
	bool prefill;
	bool head_sent;
	bool cut; /* the engine has ended its connection */
} work_t;

/* A model engine or a plain server. */
struct engine {
	site_t *site;
	char *id;
	char *address; /* of the process */
	char *listed; /* in the list: `address`, or that of a proxy */
	proxy_t *proxy; /* NULL: none */
	const char *service;
	char software[16];
	bool is_prefill;
	bool is_plain;
	bool up;
	bool works_on; /* it does not drop a request when its connection closes */
	unsigned slots;
	unsigned places; /* requests that run at once: fewer than slots when memory is short */
	int64_t born_ms;
	unsigned beats;
	unsigned orders;
	ingress_t ingress;
	alarm_t beat;
	alarm_t change; /* of the stage, while one is in progress */
	bool to_prefill;
	int64_t idle_us; /* since when it has no request during a change; 0: it has some */
	GArray *heard; /* of int64_t: when it sent an event on an open connection */
	int64_t heard_us;
	GQueue works; /* of work_t */
};

/* One run of a request at an engine, for the record. */
typedef struct {
	char *request;
	char *engine;
	char software[16];
	int64_t begun_us;
	int64_t worked_us; /* it was last worked on */
	bool ended;
} run_t;

/* An entry process. */
typedef struct {
	pid_t pid;
	char *settings;
	char *log;
	char *callers;
	char *ready;
} vm_t;

/* A stream of a caller. */
typedef struct {
	site_t *site;
	char *id;
	http_call_t *call;
	GString *body;
	unsigned status;
	call_end_t end;
	bool ended;
} caller_t;

struct site {
	clock_source_t clock;
	fake_store_t store;
	char *store_address;
	bool store_away; /* the store takes nothing */
	GPtrArray *engines; /* of engine_t */
	GPtrArray *vms; /* of vm_t */
	GPtrArray *callers; /* of caller_t */
	GPtrArray *runs; /* of run_t */
	http_pool_t pool; /* of the callers */
	char *folder;
	FILE *record;
	int64_t begun_us;
	unsigned next_id;
	unsigned events; /* of a stream */
	int64_t event_us; /* between two events */
	int64_t queue_us; /* for which a request waits at an engine before it begins */
};

int64_t site_now_us(const site_t *site);
void site_init(site_t *site, const char *record_path);
void site_finish(site_t *site);
void site_note(site_t *site, const char *format, ...) G_GNUC_PRINTF(2, 3);
void site_run_ms(site_t *site, int64_t ms);
void site_put_config(site_t *site, const char *text);
vm_t *site_add_vm(site_t *site, const char *zone);
bool site_await_ready(site_t *site, int64_t ms);

engine_t *site_add_engine(site_t *site, const char *service, const char *stage,
			  unsigned slots, bool behind_proxy);
void engine_crash(engine_t *engine);
void engine_start(engine_t *engine, const char *software);
unsigned engine_running(const engine_t *engine);
bool engine_is_heard(const engine_t *engine, int64_t at_us);
unsigned engine_waiting(const engine_t *engine);
void work_cut(work_t *work);

caller_t *site_send(site_t *site, const vm_t *vm, const char *head, const char *body);
caller_t *site_send_stream(site_t *site, const vm_t *vm, const char *path);
unsigned site_open_calls(const site_t *site);

#endif
