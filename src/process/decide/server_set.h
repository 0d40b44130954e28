/* Backend servers as the platform lists them, and what this VM has seen of
 * each: requests in progress, load, failures and silence. Pure.
 */
#ifndef PROCESS_SERVER_SET_H
#define PROCESS_SERVER_SET_H

#include <stdint.h>

#include "process/str.h"

typedef enum {
	STAGE_NONE, /* a plain service */
	STAGE_PREFILL,
	STAGE_DECODE,
} stage_t;

/* One backend server's own entry in the platform's list. */
typedef struct {
	char *id; /* new for each address; may survive a restart */
	char *service;
	char *address; /* IP:port */
	char *zone;
	stage_t stage;
	int64_t slots; /* requests at once */
	int64_t started_ms; /* time of day of its start; 0: not told */
	bool leaving; /* finishes its work and exits */
} server_entry_t;

/* What this VM knows of a backend server beyond its entry. */
typedef struct {
	server_entry_t entry;
	bool listed; /* the platform's list has it now */
	bool address_reused; /* its address answered as another server */
	int64_t expires_us; /* missing from the list since an outage */
	int64_t suspect_since_us; /* since when it is silent; 0: it is not */
	int64_t next_probe_us; /* while it is suspect */
	int64_t changing_until_us; /* was ordered to change its stage */
	int64_t avoided_until_us; /* its work failed, here or at a peer */
	unsigned failures_in_row; /* in a row, here */
	int64_t suspicion_ended_us; /* when suspicion last ended */
	unsigned in_flight; /* own requests */
	int64_t reported_load; /* running and waiting, as last answered */
	int64_t reported_us;
	double failure_share; /* moving average over own requests */
	int64_t last_heard_us; /* any byte of an answer */
	int64_t last_sent_us;
	double prefill_us_per_token; /* moving average; 0: not known */
	int64_t answered_prompt_sent_us; /* latest send of a prompt it has read */
	int refs; /* the set and requests in progress */
} server_t;

/* Whether a server gets work, and why not. */
typedef enum {
	SERVER_USABLE,
	SERVER_SUSPECT, /* silent */
	SERVER_AVOIDED, /* its work failed */
	SERVER_CHANGING, /* its stage */
	SERVER_LEAVING,
	SERVER_GONE, /* not listed any more, or its address is another's */
	SERVER_STATES_N,
} server_state_t;

/* A prompt that a prefill engine has not answered yet. */
typedef enum {
	PREFILL_EXPECTED,
	PREFILL_SILENT, /* nothing has come from the engine since it was sent */
	PREFILL_LOST, /* the engine answers others, but not this one */
} prefill_answer_t;

typedef struct {
	GHashTable *by_id; /* of server_t */
	GHashTable *by_address; /* the server that was entered last with it */
	int64_t last_added_us; /* when a server was last added */
	int64_t last_leaving_us; /* when a server was last seen to be leaving */
} server_set_t;

void server_entry_clear(server_entry_t *entry);

void server_set_init(server_set_t *set);
void server_set_finish(server_set_t *set);
server_t *server_set_put(server_set_t *set, server_entry_t *entry,
			 int64_t now_us);
void server_set_remove(server_set_t *set, const char *id);
void server_set_begin_sync(server_set_t *set);
void server_set_end_sync(server_set_t *set, int64_t keep_until_us);
bool server_set_expire(server_set_t *set, int64_t now_us);
server_t *server_set_find(const server_set_t *set, const char *id);
unsigned server_set_count_usable(const server_set_t *set);

server_t *server_ref(server_t *server);
void server_unref(server_t *server);
bool server_takes_work(const server_t *server);
server_state_t server_state(const server_t *server, int64_t now_us);
const char *server_state_name(server_state_t state);
bool server_is_suspect(const server_t *server);
void server_sent(server_t *server, int64_t now_us);
void server_ended(server_t *server);
void server_heard(server_t *server, int64_t now_us);
void server_silent(server_t *server, int64_t now_us);
void server_suspected_by_peer(server_t *server, int64_t now_us);
void server_work_failed(server_t *server, int64_t now_us);
void server_work_succeeded(server_t *server);
void server_result(server_t *server, bool failed);
void server_prefilled(server_t *server, int64_t sent_us, int64_t now_us,
		      int64_t tokens);
prefill_answer_t server_prefill_answer(const server_t *server, int64_t sent_us,
				       int64_t due_us, int64_t now_us);

#endif
