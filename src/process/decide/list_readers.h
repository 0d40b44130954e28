/* Which VMs read the changes of the server list from the store, and from which of
 * them each other VM has them passed on: the calls to the store do not grow with the
 * number of VMs. Every VM computes the same readers from the announcements that it
 * hears. Pure: no clock, no I/O.
 */
#ifndef PROCESS_LIST_READERS_H
#define PROCESS_LIST_READERS_H

#include "process/decide/occupancy.h"

/* Fewest readers. A deployment with no more VMs has each of them read the store, as long
 * as it can.
 */
#define LIST_READERS_MIN 8

/* Most VMs, on average, to which one reader passes the list on. */
#define LIST_READERS_SHARE 24

typedef struct {
	GHashTable *avoided; /* name of a reader that failed to int64_t, a time */
} list_readers_t;

void list_readers_init(list_readers_t *readers);
void list_readers_finish(list_readers_t *readers);
unsigned list_readers_count(unsigned vms);
const char *list_readers_choose(list_readers_t *readers,
				const occupancy_t *occupancy, const char *vm,
				bool reads_fail, int64_t now_us);
void list_readers_avoid(list_readers_t *readers, const char *reader,
			int64_t now_us);

#endif
