#include "process/entry/entry_origins.h"

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

/* Sets the callbacks for streams that this VM begins or that peers announce. */
void entry_set_origin_callbacks(entry_t *entry)
{
	entry->relay.on_origin = on_origin;
	entry->occupancy.on_origin = on_peer_origin;
	entry->occupancy.on_new_process = on_new_process;
}

/* Forgets streams that have expired and sets which ones are announced. To be
 * called at short intervals.
 */
void entry_update_origins(entry_t *entry, int64_t now_us)
{
	if (now_us >= entry->next_origins_expiry_us) {
		entry->next_origins_expiry_us = now_us + EXPIRE_US;
		stream_origins_expire(&entry->relay.origins, now_us);
	}
	set_announced(entry, now_us);
}
