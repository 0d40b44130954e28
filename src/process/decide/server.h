/* A backend server: its entry in the platform's list, and what this VM has observed of
 * it: its own requests in progress, load, failures and silence. Pure: no clock, no I/O.
 */
#ifndef PROCESS_SERVER_H
#define PROCESS_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "process/str.h"

/* What a backend server does for a request. */
typedef enum {
	STAGE_NONE, /* a plain service */
	STAGE_PREFILL,
	STAGE_DECODE,
	STAGES_N,
} stage_t;

/* A backend server's own entry in the platform's list. Owns its strings. */
typedef struct {
	char *id; /* new for each address; may survive a restart */
	char *service;
	char *address; /* IP:port */
	char *zone;
	char *software; /* version of its software; empty: not stated */
	stage_t stage;
	int64_t slots; /* requests that it runs at the same time */
	int64_t started_ms; /* wall clock time of its start; 0: unknown */
	int64_t row_version; /* of the row that was read last; 0: unknown */
	bool leaving; /* finishes its work and exits */
} server_entry_t;

/* A backend server: its entry and what this VM has observed of it. The set and
 * each request in progress hold a reference.
 */
typedef struct {
	server_entry_t entry;
	int64_t added_us; /* when it entered the set */
	bool listed; /* the platform's list has it now */
	bool unread; /* the full read in progress has not brought it so far */
	bool removed; /* from the set; only requests in progress still hold it */
	GList *address_link; /* see server_addresses.c */
	bool superseded; /* its address is that of another server of the set */
	bool misdirected; /* its address answers that another process has it */
	unsigned misdirected_probes; /* sent since then */
	int64_t expires_us; /* a full read of the list missed it: removed then,
			       unless it is listed again; 0: was not missed */
	int64_t suspect_since_us; /* since when it is silent; 0: it is not */
	bool suspect_here_only; /* connections to it fail, which may be due to
				   this VM's links: peers are not told */
	int64_t announced_from_us; /* while it is suspect: peers are told then */
	int64_t next_probe_us; /* while it is suspect or misdirected */
	int64_t changing_until_us; /* was ordered to change its stage */
	int64_t avoided_until_us; /* its work failed, here or at a peer */
	int64_t paused_until_us; /* it wants no requests from this VM */
	int64_t returned_us; /* when its entry came back; 0: was never gone */
	unsigned consecutive_failures; /* seen by this VM */
	int64_t last_failed_us; /* the last of them */
	int64_t suspicion_ended_us; /* when it last stopped being suspect */
	unsigned in_flight; /* this VM's requests */
	int64_t reported_load; /* requests running and waiting, as it last
				  reported in an answer */
	int64_t reported_us;
	double failure_share; /* moving average over this VM's requests */
	int64_t last_unanswered_us; /* when the last failure without an answer
				       was counted in it */
	int64_t last_received_us; /* any byte of an answer */
	int64_t last_lost_us; /* a connection ended before its answer */
	int64_t last_sent_us;
	double prefill_slowness; /* moving average of the duration of prefills
				    against what is expected of the
				    service's engines; 0: unknown */
	int64_t prefill_slowness_us; /* when it was last updated */
	int64_t answered_prompt_sent_us; /* send time of the prompt that was
					    sent last among those answered */
	int refs; /* the set and requests in progress */
} server_t;

/* Whether a server gets work, and why not. */
typedef enum {
	SERVER_USABLE,
	SERVER_SUSPECT, /* silent */
	SERVER_AVOIDED, /* its work failed */
	SERVER_PAUSED, /* it wants no requests from this VM for a time */
	SERVER_CHANGING, /* its stage */
	SERVER_LEAVING,
	SERVER_GONE, /* no longer listed, or its address is another server's */
	SERVER_STATES_N,
} server_state_t;

/* State of a prompt that a prefill engine has not answered yet. */
typedef enum {
	PREFILL_PENDING, /* not overdue, or the engine is still busy */
	PREFILL_SILENT, /* nothing has come from the engine since it was sent */
	PREFILL_LOST, /* the engine answers later prompts, but not this one */
} prefill_answer_t;

void server_entry_clear(server_entry_t *entry);

server_t *server_ref(server_t *server);
void server_unref(server_t *server);
bool server_has_address(const server_t *server);
bool server_takes_work(const server_t *server);
server_state_t server_state(const server_t *server, int64_t now_us);
const char *server_state_name(server_state_t state);
bool server_is_paused(const server_t *server, int64_t now_us);
bool server_is_suspect(const server_t *server);
void server_record_send(server_t *server, int64_t now_us);
void server_record_end(server_t *server);
void server_record_received(server_t *server, int64_t now_us);
void server_record_lost(server_t *server, int64_t now_us);
void server_mark_unreached(server_t *server, int64_t now_us);
void server_mark_suspect(server_t *server, int64_t now_us);
void server_mark_overdue(server_t *server, int64_t now_us);
void server_suspected_by_peer(server_t *server, int64_t now_us);
void server_work_failed(server_t *server, int64_t sent_us, int64_t now_us);
void server_work_succeeded(server_t *server);
void server_record_result(server_t *server, bool failed);
void server_record_unanswered(server_t *server, int64_t sent_us,
			      int64_t now_us);
void server_record_prefill(server_t *server, int64_t sent_us, int64_t now_us,
			   int64_t expected_us, double slowness);
double server_prefill_slowness(const server_t *server, int64_t now_us);
prefill_answer_t server_prefill_answer(const server_t *server, int64_t sent_us,
				       int64_t due_us, int64_t now_us);

#endif
