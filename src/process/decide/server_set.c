#include "process/decide/server_set.h"

/* Weight of the latest request in the moving averages. */
#define FAILURE_WEIGHT 0.08

/* A server that was heard this lately is not suspected on a peer's word: it
 * may be out of reach for the peer only.
 */
#define HEARD_LATELY_US INT64_C(150000)

/* First time without work after such a failure; it doubles with each further
 * one.
 */
#define AVOID_US INT64_C(200000)
#define AVOID_MAX_DOUBLINGS 4

/* After a probe was answered, peers' suspicions are ignored for this long. */
#define CLEARED_US INT64_C(1000000)

#define PREFILL_WEIGHT 0.2

/* Frees what an entry owns. */
void server_entry_clear(server_entry_t *entry)
{
	g_free(entry->id);
	g_free(entry->service);
	g_free(entry->address);
	g_free(entry->zone);
	memset(entry, 0, sizeof(*entry));
}

/* Takes a reference for a request in progress. */
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

static void drop(gpointer data)
{
	server_t *server = data;

	server->listed = false;
	server_unref(server);
}

/* Sets up an empty set. */
void server_set_init(server_set_t *set)
{
	set->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, drop);
	set->by_address = g_hash_table_new(g_str_hash, g_str_equal);
}

/* Frees the set; servers with requests in progress live on until they end. */
void server_set_finish(server_set_t *set)
{
	g_clear_pointer(&set->by_address, g_hash_table_unref);
	g_clear_pointer(&set->by_id, g_hash_table_unref);
}

/* Tells whether an entry describes another life of a server. */
static bool is_other_life(const server_t *server, const server_entry_t *entry)
{
	return server->entry.started_ms != entry->started_ms ||
	       !g_str_equal(server->entry.address, entry->address) ||
	       !g_str_equal(server->entry.service, entry->service);
}

/* An address belongs to the server that was entered last. */
static void take_address(server_set_t *set, server_t *server)
{
	server_t *before =
		g_hash_table_lookup(set->by_address, server->entry.address);

	if (before)
		before->address_reused = true;
	g_hash_table_replace(set->by_address, server->entry.address, server);
}

static void release_address(server_set_t *set, const server_t *server)
{
	if (g_hash_table_lookup(set->by_address, server->entry.address) ==
	    server)
		g_hash_table_remove(set->by_address, server->entry.address);
}

/*
 * Takes in an entry, which is emptied. A server that started again under its
 * old ID is a new one: nothing that was seen of the old one holds.
 */
server_t *server_set_put(server_set_t *set, server_entry_t *entry,
			 int64_t now_us)
{
	server_t *server = g_hash_table_lookup(set->by_id, entry->id);

	if (server && is_other_life(server, entry)) {
		server_set_remove(set, entry->id);
		server = NULL;
	}
	if (entry->leaving && server && !server->entry.leaving)
		set->last_leaving_us = now_us;
	if (!server) {
		set->last_added_us = now_us;
		server = g_new0(server_t, 1);
		server->refs = 1;
		server->entry = *entry;
		take_address(set, server);
		g_hash_table_insert(set->by_id, server->entry.id, server);
	} else {
		if (server->entry.stage != entry->stage) {
			server->changing_until_us = 0;
			server->avoided_until_us = 0;
		}
		server->entry.stage = entry->stage;
		server->entry.slots = entry->slots;
		server->entry.leaving = entry->leaving;
		server_entry_clear(entry);
	}
	memset(entry, 0, sizeof(*entry));
	server->listed = true;
	server->expires_us = 0;
	return server;
}

/* Removes the server whose entry was removed. */
void server_set_remove(server_set_t *set, const char *id)
{
	const server_t *server = g_hash_table_lookup(set->by_id, id);

	if (!server)
		return;
	release_address(set, server);
	(void)g_hash_table_remove(set->by_id, id);
}

/* Starts a full read of the list. */
void server_set_begin_sync(server_set_t *set)
{
	GHashTableIter iter;
	gpointer server;

	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &server))
		((server_t *)server)->listed = false;
}

/*
 * Ends a full read. Servers that it did not name are removed at the deadline
 * unless they come back: after an outage of the store, live servers take a
 * moment to enter themselves again.
 */
void server_set_end_sync(server_set_t *set, int64_t keep_until_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_t *server = value;

		if (!server->listed && server->expires_us == 0)
			server->expires_us = keep_until_us;
	}
}

/* Removes servers that did not come back. True when there were any. */
bool server_set_expire(server_set_t *set, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	bool removed = false;

	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_t *server = value;

		if (server->expires_us != 0 && server->expires_us <= now_us) {
			release_address(set, server);
			g_hash_table_iter_remove(&iter);
			removed = true;
		}
	}
	return removed;
}

/* Finds a server by its ID, or NULL. */
server_t *server_set_find(const server_set_t *set, const char *id)
{
	return g_hash_table_lookup(set->by_id, id);
}

/* Number of servers that may be given work. */
unsigned server_set_count_usable(const server_set_t *set)
{
	GHashTableIter iter;
	gpointer server;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &server))
		n += server_takes_work(server) ? 1 : 0;
	return n;
}

/* Tells whether new requests may be sent to a server. */
bool server_takes_work(const server_t *server)
{
	return (server->listed || server->expires_us != 0) &&
	       !server->entry.leaving && !server->address_reused;
}

/* Tells whether a server should have answered and did not. */
bool server_is_suspect(const server_t *server)
{
	return server->suspect_since_us != 0;
}

/* Tells whether a server gets work, and the first reason why it does not. */
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
	return server->avoided_until_us > now_us ? SERVER_AVOIDED
						 : SERVER_USABLE;
}

/* The name of a state in metrics and logs. */
const char *server_state_name(server_state_t state)
{
	static const char *const names[SERVER_STATES_N] = {
		"usable", "suspect", "avoided", "changing", "leaving", "gone",
	};

	return names[state];
}

/* Records that a request is sent. */
void server_sent(server_t *server, int64_t now_us)
{
	server->in_flight++;
	server->last_sent_us = now_us;
}

/* Records that a request has left the server, whatever its result. */
void server_ended(server_t *server)
{
	server->in_flight--;
}

/* Records a sign of life. */
void server_heard(server_t *server, int64_t now_us)
{
	server->last_heard_us = now_us;
	if (server->suspect_since_us != 0)
		server->suspicion_ended_us = now_us;
	server->suspect_since_us = 0;
}

/* Records that an answer is overdue. */
void server_silent(server_t *server, int64_t now_us)
{
	if (server->suspect_since_us == 0) {
		server->suspect_since_us = now_us;
		server->next_probe_us = now_us;
	}
}

/* Another router suspects the server: it gets no work until a probe of our own
 * has been answered.
 */
void server_suspected_by_peer(server_t *server, int64_t now_us)
{
	if (now_us - server->last_heard_us < HEARD_LATELY_US ||
	    now_us - server->suspicion_ended_us < CLEARED_US)
		return;
	server_silent(server, now_us);
}

/* Records that a server failed, or took part in a hand-over that did, although
 * it has places free. Either side of a hand-over may be at fault: the one that
 * works with others is used again soon. A sick server that answers at once
 * would otherwise draw all work, as it never has a queue.
 */
void server_work_failed(server_t *server, int64_t now_us)
{
	unsigned doublings = MIN(server->failures_in_row, AVOID_MAX_DOUBLINGS);

	server->avoided_until_us = now_us + (AVOID_US << doublings);
	server->failures_in_row++;
}

/* Records that a hand-over worked. */
void server_work_succeeded(server_t *server)
{
	server->failures_in_row = 0;
	server->avoided_until_us = 0;
}

/* Records the result of a request. */
void server_result(server_t *server, bool failed)
{
	server->failure_share +=
		FAILURE_WEIGHT * ((failed ? 1.0 : 0.0) - server->failure_share);
}

/* Learns how fast a server reads prompts, waiting included. */
void server_prefilled(server_t *server, int64_t sent_us, int64_t now_us,
		      int64_t tokens)
{
	double sample = (double)(now_us - sent_us) / (double)MAX(tokens, 1);

	server->answered_prompt_sent_us =
		MAX(server->answered_prompt_sent_us, sent_us);
	if (server->prefill_us_per_token == 0)
		server->prefill_us_per_token = sample;
	else
		server->prefill_us_per_token +=
			PREFILL_WEIGHT *
			(sample - server->prefill_us_per_token);
}

/*
 * Tells what has become of a prompt that was sent to a server and is due at a
 * time. A server reads prompts about in the order in which they come: when one
 * that was sent later is answered and this one is overdue, its answer is lost.
 */
prefill_answer_t server_prefill_answer(const server_t *server, int64_t sent_us,
				       int64_t due_us, int64_t now_us)
{
	if (now_us < due_us)
		return PREFILL_EXPECTED;
	if (server->last_heard_us <= sent_us)
		return PREFILL_SILENT;
	return server->answered_prompt_sent_us > sent_us ? PREFILL_LOST
							 : PREFILL_EXPECTED;
}
