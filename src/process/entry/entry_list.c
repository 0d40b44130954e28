#include "process/entry/entry_list.h"

#include "process/log.h"

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

/* Keeps which VM passes the server list on to this one; NULL: none does. Logs a change. */
static void set_list_reader(entry_t *entry, const char *vm)
{
	if (g_strcmp0(vm, entry->list_reader) == 0)
		return;
	log_event(LOG_INFO, "list_reader_changed",
		  LOG_CSTR("from",
			   entry->list_reader ? entry->list_reader : "store"),
		  LOG_CSTR("to", vm ? vm : "store"),
		  LOG_UINT("readers", list_readers_count(entry->vm_count)));
	g_free(entry->list_reader);
	entry->list_reader = g_strdup(vm);
}

/* Returns the address of the VM that passes the server list on to this one, borrowed,
 * or NULL if this one reads it from the store.
 */
const char *entry_choose_list_reader(void *context, bool store_fails)
{
	entry_t *entry = context;
	const char *vm = list_readers_choose(&entry->list_readers,
					     &entry->occupancy,
					     entry->settings.vm, store_fails,
					     clock_now(&entry->clock));
	const char *address = vm ? announce_peer_address(&entry->announce, vm)
				 : NULL;

	set_list_reader(entry, address ? vm : NULL);
	return address;
}

/* Has another VM pass the list on from the next read but one on. */
void entry_on_list_reader_failed(void *context)
{
	entry_t *entry = context;

	if (!entry->list_reader)
		return;
	log_event(LOG_WARN, "list_reader_failed",
		  LOG_CSTR("vm", entry->list_reader));
	list_readers_avoid(&entry->list_readers, entry->list_reader,
			   clock_now(&entry->clock));
}

/* Lets the other VMs know at once that a server leaves, if this VM is one of those
 * that tell them what all VMs read.
 */
void entry_on_departure(void *context, const char *server)
{
	entry_t *entry = context;

	if (entry_is_among(entry, LIST_ANNOUNCERS))
		entry_on_said_leaving(context, server);
}

/* The same for a server that has said so in an answer to this VM, which the others have
 * not read.
 */
void entry_on_said_leaving(void *context, const char *server)
{
	entry_t *entry = context;

	departures_add(&entry->departures, server, clock_now(&entry->clock));
	announce_schedule(&entry->announce);
}

/* Tells the other VMs no longer that a server has left whose entry is back. */
void entry_on_return(void *context, const char *server)
{
	entry_t *entry = context;

	departures_cancel(&entry->departures, server);
}
