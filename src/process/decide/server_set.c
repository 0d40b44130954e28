#include "process/decide/server_set.h"

#include "process/clock.h"
#include "process/decide/server_addresses.h"

/* Longest time for which a server that asks for it gets no requests. */
#define MAX_PAUSE_S 600.0

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

/* Drops the set's reference to a server that is removed from it. */
static void unlist(gpointer data)
{
	server_t *server = data;

	server->listed = false;
	server->removed = true;
	server_unref(server);
}

/* Sets up an empty set. */
void server_set_init(server_set_t *set)
{
	set->by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unlist);
	set->by_address = server_addresses_new();
	removed_servers_init(&set->removed);
}

/* Frees the set. A server with requests in progress is freed when the last of
 * them drops its reference.
 */
void server_set_finish(server_set_t *set)
{
	g_clear_pointer(&set->by_address, g_hash_table_unref);
	g_clear_pointer(&set->by_id, g_hash_table_unref);
	removed_servers_finish(&set->removed);
}

/* Returns whether an entry describes another process than the known one. One that does
 * not state when its process has started says nothing about that.
 */
static bool is_other_process(const server_t *server,
			     const server_entry_t *entry)
{
	return !server_is_same_start(server->entry.started_ms,
				     entry->started_ms) ||
	       g_strcmp0(server->entry.software, entry->software) != 0 ||
	       !g_str_equal(server->entry.address, entry->address) ||
	       !g_str_equal(server->entry.service, entry->service);
}

/* Remembers a server that is removed. */
static void record_removal(server_set_t *set, const server_t *server)
{
	removed_server_t *removed = removed_servers_put(
		&set->removed, server->entry.id, server->entry.started_ms);

	removed->leaving = server->entry.leaving;
	removed->paused_until_us = server->paused_until_us;
}

/* Returns what is remembered of the process of an entry, or NULL if it was not
 * removed before.
 */
static removed_server_t *find_removed(const server_set_t *set,
				      const server_entry_t *entry)
{
	return removed_servers_find(&set->removed, entry->id,
				    entry->started_ms);
}

/* Returns whether the process of an entry was removed from the set and has not
 * returned.
 */
bool server_set_was_removed(const server_set_t *set,
			    const server_entry_t *entry)
{
	return !server_set_find(set, entry->id) &&
	       find_removed(set, entry) != NULL;
}

/*
 * Adds or updates the server of an entry and returns it; the set keeps the
 * reference. Takes the entry's strings and empties it. A server that restarted
 * under its old ID counts as new: what was observed of the old process does
 * not hold for the new one. A process that has begun to leave stays so, whatever
 * a later entry says: a store that was restored from a copy may list it as it was
 * before.
 */
server_t *server_set_put(server_set_t *set, server_entry_t *entry,
			 int64_t now_us)
{
	server_t *server = g_hash_table_lookup(set->by_id, entry->id);
	const removed_server_t *removed;

	if (server && is_other_process(server, entry)) {
		server_set_remove(set, entry->id, now_us);
		server = NULL;
	}
	removed = find_removed(set, entry);
	entry->leaving |= (removed && removed->leaving) ||
			  (server && server->entry.leaving);
	if (entry->leaving && server && !server->entry.leaving)
		set->last_leaving_us = now_us;
	if (!server) {
		set->last_added_us = now_us;
		server = g_new0(server_t, 1);
		server->refs = 1;
		server->entry = *entry;
		server->paused_until_us = removed ? removed->paused_until_us
						  : 0;
		g_hash_table_insert(set->by_id, server->entry.id, server);
		server_addresses_add(set, server);
	} else {
		if (server->entry.stage != entry->stage) {
			server->changing_until_us = 0;
			server->avoided_until_us = 0;
		}
		if (entry->started_ms != 0)
			server->entry.started_ms = entry->started_ms;
		server->entry.stage = entry->stage;
		server->entry.slots = entry->slots;
		server->entry.leaving = entry->leaving;
		server->entry.row_version = entry->row_version;
		server_entry_clear(entry);
	}
	memset(entry, 0, sizeof(*entry));
	server->listed = true;
	server->expires_us = 0;
	server_addresses_update(set, server);
	return server;
}

/* Returns the object of the set that stands for the process of a server: the server
 * itself, or the one that was added when its entry came back. NULL: the list does not
 * name the process.
 */
static server_t *find_listed(const server_set_t *set, server_t *server)
{
	server_t *listed;

	if (!server->removed)
		return server;
	listed = server_set_find(set, server->entry.id);
	return listed && !is_other_process(listed, &server->entry) ? listed
								   : NULL;
}

/* Records that a server has said itself that it leaves, which the list may show later.
 * Holds as well for one whose entry has gone, or has gone and come back, since it was
 * sent the request. Returns false if that was known.
 */
bool server_set_mark_leaving(server_set_t *set, server_t *server,
			     int64_t now_us)
{
	removed_server_t *removed = find_removed(set, &server->entry);
	server_t *listed = find_listed(set, server);

	if (removed)
		removed->leaving = true;
	if (!listed || listed->entry.leaving)
		return false;
	listed->entry.leaving = true;
	set->last_leaving_us = now_us;
	return true;
}

/* Records that a server wants no requests from this VM for a time in seconds. Holds as
 * well for one whose entry has gone, or has gone and come back, since it was sent the
 * request. A pause is not ended by a later, shorter one.
 */
void server_set_pause(server_set_t *set, server_t *server, double pause_s,
		      int64_t now_us)
{
	int64_t pause_us =
		(int64_t)(MIN(pause_s, MAX_PAUSE_S) * (double)CLOCK_US_PER_S);
	int64_t until_us = now_us + pause_us;
	removed_server_t *removed = find_removed(set, &server->entry);
	server_t *listed = find_listed(set, server);

	if (removed)
		removed->paused_until_us =
			MAX(removed->paused_until_us, until_us);
	if (listed)
		listed->paused_until_us =
			MAX(listed->paused_until_us, until_us);
}

/* Removes a server after its entry was removed; an unknown ID is ignored. */
void server_set_remove(server_set_t *set, const char *id, int64_t now_us)
{
	server_t *server = g_hash_table_lookup(set->by_id, id);

	if (!server)
		return;
	record_removal(set, server);
	server_addresses_remove(set, server);
	(void)g_hash_table_remove(set->by_id, id);
}

/* Records a row that brings nothing but another heartbeat of a server. */
void server_set_heartbeat(server_set_t *set, server_t *server,
			  int64_t row_version)
{
	server->entry.row_version = row_version;
	if (server->superseded)
		server_addresses_update(set, server);
}

/* Records that the address of a server has answered, with 421 Misdirected Request, that
 * another process has it. That process may come to its end, and the answer may have another
 * reason, as an engine of the other stage answers so too: the server is probed, and gets
 * work again once its address answers as the server. Returns false if that was known.
 */
bool server_set_mark_misdirected(server_set_t *set, server_t *server,
				 int64_t now_us)
{
	if (server->misdirected)
		return false;
	server->misdirected = true;
	server->misdirected_probes = 0;
	server->next_probe_us = now_us;
	if (!server->removed)
		server_addresses_update(set, server);
	return true;
}

/* Records that the address of a server has answered as the server. Returns false if it
 * was not known to answer as another one.
 */
bool server_set_clear_misdirected(server_set_t *set, server_t *server)
{
	if (!server->misdirected)
		return false;
	server->misdirected = false;
	if (!server->removed)
		server_addresses_update(set, server);
	return true;
}

/* Starts a full read of the list: each entry that is read has to be put. */
void server_set_begin_sync(server_set_t *set)
{
	GHashTableIter iter;
	gpointer server;

	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &server))
		((server_t *)server)->listed = false;
}

/*
 * Ends a full read. Servers that it did not contain expire at `keep_until_us`
 * unless they are listed again: after an outage of the store, live servers
 * need some time to enter themselves again.
 */
void server_set_end_sync(server_set_t *set, int64_t keep_until_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_t *server = value;

		if (server->listed || server->expires_us != 0)
			continue;
		server->expires_us = keep_until_us;
		server_addresses_update(set, server);
	}
}

/* Removes servers that have expired. Returns true when there were any. */
bool server_set_expire(server_set_t *set, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	bool removed = false;

	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_t *server = value;

		if (server->expires_us != 0 && server->expires_us <= now_us) {
			record_removal(set, server);
			server_addresses_remove(set, server);
			g_hash_table_iter_remove(&iter);
			removed = true;
		}
	}
	return removed;
}

/* Returns whether this VM reaches a service: of each kind of its servers that is
 * listed and takes work, one at least is not silent. A service without servers
 * counts as reached, as nothing shows that it is not.
 */
bool server_set_reaches(const server_set_t *set, const char *service)
{
	bool has_silent[STAGES_N] = {false};
	bool has_other[STAGES_N] = {false};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const server_t *server = value;

		if (!g_str_equal(server->entry.service, service) ||
		    !server_takes_work(server))
			continue;
		if (server_is_suspect(server))
			has_silent[server->entry.stage] = true;
		else
			has_other[server->entry.stage] = true;
	}
	for (int stage = 0; stage < STAGES_N; stage++) {
		if (has_silent[stage] && !has_other[stage])
			return false;
	}
	return true;
}

/* Returns the server with an ID, without a new reference, or NULL. */
server_t *server_set_find(const server_set_t *set, const char *id)
{
	return g_hash_table_lookup(set->by_id, id);
}

/* Returns the number of servers that new requests may be sent to. */
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

/* Returns how long it takes until the first server of a service that wants no requests
 * from this VM wants some again; 0 if none is such a server.
 */
int64_t server_set_pause_us(const server_set_t *set, const char *service,
			    int64_t now_us)
{
	int64_t first_us = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const server_t *server = value;
		int64_t left_us = server->paused_until_us - now_us;

		if (left_us <= 0 || !server_takes_work(server) ||
		    !g_str_equal(server->entry.service, service))
			continue;
		first_us = first_us ? MIN(first_us, left_us) : left_us;
	}
	return first_us;
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
 * server and is used again.
 */
void server_work_failed(server_t *server, int64_t now_us)
{
	unsigned doublings =
		MIN(server->consecutive_failures, AVOID_MAX_DOUBLINGS);

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

/* Returns how much longer the server's prefills take than those of the service's
 * engines in the mean.
 */
double server_prefill_slowness(const server_t *server)
{
	return server->prefill_slowness > 0 ? server->prefill_slowness : 1;
}

/* Records that a server has answered a prompt that was sent at `sent_us`, and
 * updates its slowness. `expected_us` is how long it was expected to take, with
 * the slowness known then; 0 if nothing was known.
 */
void server_record_prefill(server_t *server, int64_t sent_us, int64_t now_us,
			   int64_t expected_us)
{
	double ratio;

	server->answered_prompt_sent_us =
		MAX(server->answered_prompt_sent_us, sent_us);
	if (expected_us <= 0)
		return;
	ratio = (double)(now_us - sent_us) / (double)expected_us;
	ratio = CLAMP(ratio, 1 / MAX_SLOWNESS_RATIO, MAX_SLOWNESS_RATIO);
	server->prefill_slowness = server_prefill_slowness(server) *
				   (1 + PREFILL_WEIGHT * (ratio - 1));
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
