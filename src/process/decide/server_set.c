#include "process/decide/server_set.h"

#include "process/clock.h"
#include "process/decide/server_addresses.h"

/* Longest time for which a server that asks for it gets no requests. */
#define MAX_PAUSE_S 600.0

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
	bool known;

	if (server && is_other_process(server, entry)) {
		server_set_remove(set, entry->id, now_us);
		server = NULL;
	}
	known = server != NULL;
	removed = find_removed(set, entry);
	entry->leaving |= (removed && removed->leaving) ||
			  (server && server->entry.leaving);
	if (entry->leaving && server && !server->entry.leaving)
		set->last_leaving_us = now_us;
	if (!server) {
		server = g_new0(server_t, 1);
		server->refs = 1;
		server->added_us = now_us;
		server->entry = *entry;
		server->paused_until_us = removed ? removed->paused_until_us
						  : 0;
		server->returned_us = removed ? now_us : 0;
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
	server->unread = false;
	server->expires_us = 0;
	if (known)
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

/* Starts a full read of the list: each entry that is read has to be put. Until its end
 * the servers take work as before.
 */
void server_set_begin_sync(server_set_t *set)
{
	GHashTableIter iter;
	gpointer server;

	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &server))
		((server_t *)server)->unread = true;
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
	bool missed = false;

	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_t *server = value;

		server->listed &= !server->unread;
		server->unread = false;
		if (server->listed || server->expires_us != 0)
			continue;
		server->expires_us = keep_until_us;
		missed = true;
	}
	if (missed)
		server_addresses_update_all(set);
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
