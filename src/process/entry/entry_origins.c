#include "process/entry/entry_origins.h"

/* After a peer's process has started, the streams of all VMs are announced for
 * this long, as it knows none: it covers several announcements.
 */
#define NEW_PROCESS_US (2 * CLOCK_US_PER_S)

/* Interval of the removal of streams that have expired. */
#define EXPIRE_US (1 * CLOCK_US_PER_S)

/* Sets which streams the announcements to peers hold. */
static void set_announced(entry_t *entry, int64_t now_us)
{
	stream_origins_list(&entry->relay.origins, entry->occupancy.origins,
			    now_us >= entry->all_origins_until_us, now_us);
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

/* Announces the streams of other VMs too while a peer's process is new. */
static void on_new_process(void *context)
{
	entry_t *entry = context;

	entry->all_origins_until_us = clock_now(&entry->clock) + NEW_PROCESS_US;
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
