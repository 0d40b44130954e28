#include "process/entry/entry_origins.h"

#include "request/request_keys.h"

/* After a peer's process has started, it is sent the streams of all VMs for this
 * long, as it knows none: that covers several announcements.
 */
#define NEW_PROCESS_US (2 * CLOCK_US_PER_S)

/* How many VMs, on average, send a peer that has just started the streams of all
 * VMs; with fewer VMs all of them do.
 */
#define SENDERS 8

/* Interval of the removal of streams that have expired. */
#define EXPIRE_US (1 * CLOCK_US_PER_S)

/* Interval of the observations of the servers' versions without a change of the list.
 */
#define OBSERVE_US (1 * CLOCK_US_PER_S)

/* The server list is read at least so often while the store answers. */
#define LIST_FRESH_US (4 * CLOCK_US_PER_S)

/* Callers may ask for the rest of a stream for so long at least. */
#define MIN_KEPT_US (30 * CLOCK_US_PER_S)

/* Sets which streams the announcements to peers hold. */
static void set_announced(entry_t *entry, int64_t now_us)
{
	const stream_origins_t *origins = &entry->relay.origins;

	stream_origins_list_new(origins, entry->occupancy.origins, now_us);
	if (now_us < entry->announce.new_peers_until_us)
		stream_origins_list_all(origins, entry->occupancy.all_origins,
					now_us);
}

/* Announces at once that a stream has begun: its caller may ask another VM for
 * the rest as soon as it has the first event.
 */
static void on_origin(void *context)
{
	entry_t *entry = context;

	set_announced(entry, clock_now(&entry->clock));
	announce_schedule_whole(&entry->announce);
}

/* Adds a stream that a peer has announced. */
static void on_peer_origin(void *context, const stream_origin_t *origin)
{
	entry_t *entry = context;

	stream_origins_put(&entry->relay.origins, origin);
}

/* Returns whether this VM is one of those that send a peer the streams of all. */
static bool is_sender(const entry_t *entry, const char *peer)
{
	guint hash = g_str_hash(entry->settings.vm) * 31 + g_str_hash(peer);

	return hash % MAX(entry->vm_count, 1) < SENDERS;
}

/* Sends a peer whose process has just started the streams of all VMs. */
static void on_new_process(void *context, const char *vm)
{
	entry_t *entry = context;

	if (is_sender(entry, vm))
		announce_set_new_until(&entry->announce, vm,
				       clock_now(&entry->clock) +
					       NEW_PROCESS_US);
}

/* Asks the store for streams that this VM does not know, and for versions that have
 * joined since the list of the servers was read.
 */
static void on_unresolved(void *context)
{
	entry_t *entry = context;

	store_watch_read_now(&entry->rows.server_list);

	origin_rows_want_read(&entry->origin_rows);
}

/* Returns whether streams wait for admission, or for the version that began them. */
bool entry_has_waiting(entry_t *entry)
{
	return !g_queue_is_empty(&entry->relay.waiting) ||
	       !g_queue_is_empty(&entry->relay.unresolved);
}

/* Sets how long a version that has left is remembered: as long as callers may ask
 * for the rest of its streams.
 */
void entry_set_software_kept(entry_t *entry)
{
	int64_t kept_us = MIN_KEPT_US;

	for (guint i = 0; i < entry->table->routes->len; i++) {
		const table_route_t *route =
			g_ptr_array_index(entry->table->routes, i);

		if (route->resumable)
			kept_us = MAX(kept_us, route->timeout_us);
	}
	entry->relay.software.kept_us = kept_us;
}

/* Observes which versions the model engines have, after each read of the list of servers
 * from the store, and at intervals while it is read.
 */
static void observe_software(entry_t *entry, int64_t now_us)
{
	const store_watch_t *list = &entry->rows.server_list;
	software_history_t *history = &entry->relay.software;
	GHashTableIter iter;
	gpointer value;

	if ((now_us < entry->next_software_us &&
	     list->as_of_us <= history->as_of_us) ||
	    !list->synced || now_us - list->last_ok_us > LIST_FRESH_US)
		return;
	entry->next_software_us = now_us + OBSERVE_US;
	software_history_begin(history, now_us);
	g_hash_table_iter_init(&iter, entry->servers.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const server_entry_t *server = &((server_t *)value)->entry;

		if (server->stage != STAGE_NONE)
			software_history_add(history, server->service,
					     request_software_number(server),
					     now_us);
	}
	software_history_set_as_of(history, list->as_of_us);
}

/* Brings what the store has of versions and streams up to date, and applies what was
 * read from it.
 */
static void update_store(entry_t *entry, int64_t now_us)
{
	const store_watch_t *own = &entry->rows.own_table;
	const char *address = entry->settings.store_address;
	software_history_t *history = &entry->relay.software;
	bool needed = software_history_is_mixed(history) ||
		      !software_history_is_complete(history, now_us);

	if (own->era != entry->origins_era) {
		entry->origins_era = own->era;
		stream_origins_forget_record(&entry->relay.origins);
	}
	if (own->synced)
		software_row_check(&entry->software_row, address, own->era,
				   now_us);
	origin_rows_check(
		&entry->origin_rows, address,
		own->synced && software_row_is_recorder(&entry->software_row),
		needed, now_us);
	entry->relay.origins_read_us = entry->origin_rows.read_us;
}

/* Sets the callbacks for streams that this VM begins or that peers announce. */
void entry_set_origin_callbacks(entry_t *entry)
{
	entry->relay.on_origin = on_origin;
	entry->relay.on_unresolved = on_unresolved;
	entry->occupancy.on_origin = on_peer_origin;
	entry->occupancy.on_new_process = on_new_process;
}

/* Forgets streams that have expired, sets which ones are announced, and keeps what
 * the store has of them. To be called at short intervals.
 */
void entry_update_origins(entry_t *entry, int64_t now_us)
{
	if (now_us >= entry->next_origins_expiry_us) {
		entry->next_origins_expiry_us = now_us + EXPIRE_US;
		stream_origins_expire(&entry->relay.origins, now_us);
	}
	set_announced(entry, now_us);
	observe_software(entry, now_us);
	update_store(entry, now_us);
}
