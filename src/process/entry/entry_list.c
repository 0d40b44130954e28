#include "process/entry/entry_list.h"

/* How many VMs, on average, announce what they read of the server list; with fewer VMs
 * all of them do. A server that leaves is in their announcements for a few seconds.
 */
#define LIST_ANNOUNCERS 8

/* Returns whether this VM is one of `n`, on average, that tell all VMs what all read
 * from the store: for those that read it late or cannot reach the store.
 */
bool entry_is_among(const entry_t *entry, unsigned n)
{
	return g_str_hash(entry->settings.vm) % MAX(entry->vm_count, 1) < n;
}

/* Lets the other VMs know at once that a server leaves, if this VM is one of those
 * that tell them.
 */
void entry_on_departure(void *context, const char *server)
{
	entry_t *entry = context;

	if (!entry_is_among(entry, LIST_ANNOUNCERS))
		return;
	departures_add(&entry->departures, server, clock_now(&entry->clock));
	announce_schedule(&entry->announce);
}
