#include "process/decide/server.h"

#include <math.h>

#include "process/clock.h"

/* Weight of the latest request in the moving average of failures. */
#define FAILURE_WEIGHT 0.08

/* A peer's suspicion of a server is ignored if this VM received something from
 * the server more recently than this: the server may be unreachable for the
 * peer only.
 */
#define RECEIVED_RECENTLY_US INT64_C(150000)

/* How long a server gets no work after its first failure in a row. The time
 * doubles with each further one, at most AVOID_MAX_DOUBLINGS times.
 */
#define AVOID_US INT64_C(200000)
#define AVOID_MAX_DOUBLINGS 4

/* After a suspicion has ended, peers' suspicions are ignored for this long, as
 * a peer that cannot reach the server would renew them at once.
 */
#define IGNORE_PEERS_US INT64_C(1000000)

/* Time in which the answer to a probe can show that a server runs, before peers are
 * told that it is suspect.
 */
#define CONFIRM_US INT64_C(250000)

/* Weight of the latest prompt in the moving average of the slowness, and the
 * most that it may differ from what was expected.
 */
#define PREFILL_WEIGHT 0.2
#define MAX_SLOWNESS_RATIO 4.0

/* Time without an answered prompt for which the slowness holds. In each such time after that it
 * comes halfway back to 1: a server that counts as slow may get no prompts that would correct it.
 */
#define SLOWNESS_HOLDS_US (10 * CLOCK_US_PER_S)

/* Frees the strings of an entry and empties it. */
void server_entry_clear(server_entry_t *entry)
{
	g_free(entry->id);
	g_free(entry->service);
	g_free(entry->address);
	g_free(entry->zone);
	g_free(entry->software);
	memset(entry, 0, sizeof(*entry));
}

/* Adds a reference, for a request in progress, and returns the server. */
server_t *server_ref(server_t *server)
{
	server->refs++;
	return server;
}

/* Drops a reference; the last one frees the server. */
void server_unref(server_t *server)
{
	if (--server->refs > 0)
		return;
	server_entry_clear(&server->entry);
	g_free(server);
}

/* Returns whether a server's address is its own, as far as is known. */
bool server_has_address(const server_t *server)
{
	return !server->superseded && !server->misdirected;
}

/* Returns whether new requests may be sent to a server: it is listed or has not
 * expired yet, is not leaving, and its address is its own. A suspect server
 * counts too; server_state() tells the difference.
 */
bool server_takes_work(const server_t *server)
{
	return (server->listed || server->expires_us != 0) &&
	       !server->entry.leaving && server_has_address(server);
}

/* Returns whether a server wants no requests from this VM now. */
bool server_is_paused(const server_t *server, int64_t now_us)
{
	return now_us < server->paused_until_us;
}

/* Returns whether an answer of a server is overdue and nothing has come from it
 * since.
 */
bool server_is_suspect(const server_t *server)
{
	return server->suspect_since_us != 0;
}

/* Returns SERVER_USABLE, or the first reason why a server gets no work. */
server_state_t server_state(const server_t *server, int64_t now_us)
{
	if (server->entry.leaving)
		return SERVER_LEAVING;
	if (!server_takes_work(server))
		return SERVER_GONE;
	if (server_is_suspect(server))
		return SERVER_SUSPECT;
	if (server->changing_until_us > now_us)
		return SERVER_CHANGING;
	if (server_is_paused(server, now_us))
		return SERVER_PAUSED;
	return server->avoided_until_us > now_us ? SERVER_AVOIDED
						 : SERVER_USABLE;
}

/* Returns the name of a state in metrics and logs. */
const char *server_state_name(server_state_t state)
{
	static const char *const names[SERVER_STATES_N] = {
		"usable",   "suspect", "avoided", "paused",
		"changing", "leaving", "gone",
	};

	return names[state];
}

/* Records that a request was sent to the server. */
void server_record_send(server_t *server, int64_t now_us)
{
	server->in_flight++;
	server->last_sent_us = now_us;
}

/* Records that a request at the server has ended, whatever its result. */
void server_record_end(server_t *server)
{
	server->in_flight--;
}

/* Records that the server sent something, which ends a suspicion. */
void server_record_received(server_t *server, int64_t now_us)
{
	server->last_received_us = now_us;
	if (server->suspect_since_us != 0)
		server->suspicion_ended_us = now_us;
	server->suspect_since_us = 0;
}

/* Makes a server suspect, so that it is probed. Peers are told from `announced_from_us`
 * on; if it is suspect already, from the earlier of the two times.
 */
static void make_suspect(server_t *server, int64_t now_us,
			 int64_t announced_from_us)
{
	server->suspect_here_only = false;
	if (server->suspect_since_us == 0) {
		server->suspect_since_us = now_us;
		server->next_probe_us = now_us;
		server->announced_from_us = announced_from_us;
	}
	server->announced_from_us =
		MIN(server->announced_from_us, announced_from_us);
}

/* Records that the server is silent: it is suspect and is probed. */
void server_mark_suspect(server_t *server, int64_t now_us)
{
	make_suspect(server, now_us, now_us);
}

/* Records that one answer of the server is overdue. It may just take long, and a VM that
 * sends the server little cannot tell: peers, each of which would probe the server, are
 * told once a probe has had time for its answer.
 */
void server_mark_overdue(server_t *server, int64_t now_us)
{
	make_suspect(server, now_us, now_us + CONFIRM_US);
}

/* Records that this VM has no connection to the server: it is suspect here and is
 * probed.
 */
void server_mark_unreached(server_t *server, int64_t now_us)
{
	if (server->suspect_since_us != 0)
		return;
	server_mark_suspect(server, now_us);
	server->suspect_here_only = true;
}

/* Records that a connection ended before its answer. The server counts as not
 * reached after the second one between which nothing came: a server may lose one
 * answer, and a link that resets connections loses all.
 */
void server_record_lost(server_t *server, int64_t now_us)
{
	if (server->last_lost_us > server->last_received_us)
		server_mark_unreached(server, now_us);
	server->last_lost_us = now_us;
}

/* Records that another VM suspects the server: it gets no work here until it
 * has answered a probe of this VM. Ignored if this VM has recent evidence that
 * the server is reachable.
 */
void server_suspected_by_peer(server_t *server, int64_t now_us)
{
	if (now_us - server->last_received_us < RECEIVED_RECENTLY_US ||
	    now_us - server->suspicion_ended_us < IGNORE_PEERS_US)
		return;
	server_mark_suspect(server, now_us);
}

/* Records that a server failed, or took part in a hand-over that failed,
 * although it has free slots: it gets no work for a while. A server that fails
 * at once never has a queue and would otherwise attract all work. Either side
 * of a hand-over may be at fault; the healthy one soon succeeds with another
 * server and is used again. Work that was sent before the last failure was known
 * does not count: it failed for the same reason.
 */
void server_work_failed(server_t *server, int64_t sent_us, int64_t now_us)
{
	unsigned doublings =
		MIN(server->consecutive_failures, AVOID_MAX_DOUBLINGS);

	if (sent_us < server->last_failed_us)
		return;
	server->last_failed_us = now_us;
	server->avoided_until_us = now_us + (AVOID_US << doublings);
	server->consecutive_failures++;
}

/* Records that a hand-over from or to the server succeeded, which ends the
 * time without work.
 */
void server_work_succeeded(server_t *server)
{
	server->consecutive_failures = 0;
	server->avoided_until_us = 0;
}

/* Adds the result of a request to the server's share of failures. */
void server_record_result(server_t *server, bool failed)
{
	server->failure_share +=
		FAILURE_WEIGHT * ((failed ? 1.0 : 0.0) - server->failure_share);
}

/* Records that a request which was sent at `sent_us` has got no answer. One that was sent before
 * the last such failure was known counts only if the server has sent something since: otherwise
 * both failed for the same reason, as a server that is silent is so for all requests.
 */
void server_record_unanswered(server_t *server, int64_t sent_us, int64_t now_us)
{
	if (sent_us < server->last_unanswered_us &&
	    server->last_received_us <= server->last_unanswered_us)
		return;
	server->last_unanswered_us = now_us;
	server_record_result(server, true);
}

/* Returns how much longer the server's prefills take than those of the service's
 * engines in the mean, as far as that is known now.
 */
double server_prefill_slowness(const server_t *server, int64_t now_us)
{
	int64_t idle_us =
		now_us - server->prefill_slowness_us - SLOWNESS_HOLDS_US;
	double periods = (double)MAX(idle_us, 0) / (double)SLOWNESS_HOLDS_US;

	if (server->prefill_slowness <= 0)
		return 1;
	return 1 + (server->prefill_slowness - 1) * exp2(-periods);
}

/* Records that a server has answered a prompt that was sent at `sent_us`, and
 * updates its slowness. `expected_us` is how long it was expected to take, with
 * `slowness`, what was known of it then; 0 if nothing was known.
 */
void server_record_prefill(server_t *server, int64_t sent_us, int64_t now_us,
			   int64_t expected_us, double slowness)
{
	double ratio, known;

	server->answered_prompt_sent_us =
		MAX(server->answered_prompt_sent_us, sent_us);
	if (expected_us <= 0)
		return;
	ratio = (double)(now_us - sent_us) / (double)expected_us;
	ratio = CLAMP(ratio, 1 / MAX_SLOWNESS_RATIO, MAX_SLOWNESS_RATIO);
	known = server_prefill_slowness(server, now_us);
	server->prefill_slowness_us = now_us;
	server->prefill_slowness =
		known + PREFILL_WEIGHT * (slowness * ratio - known);
}

/*
 * Returns the state of an unanswered prompt that was sent at `sent_us` and
 * whose answer is due at `due_us`. A server reads prompts roughly in the order
 * in which they arrive: when this one is overdue and one that was sent later
 * has been answered, the answer of this one is lost.
 */
prefill_answer_t server_prefill_answer(const server_t *server, int64_t sent_us,
				       int64_t due_us, int64_t now_us)
{
	if (now_us < due_us)
		return PREFILL_PENDING;
	if (server->last_received_us <= sent_us)
		return PREFILL_SILENT;
	return server->answered_prompt_sent_us > sent_us ? PREFILL_LOST
							 : PREFILL_PENDING;
}
