/* Backend servers that this VM has read to be leaving, or to be gone from the list.
 * For a short time it tells the other VMs: their own read of the list may be late,
 * over a link that is full, and they must not send such a server new work for long.
 * Pure: no clock, no I/O.
 */
#ifndef PROCESS_DEPARTURES_H
#define PROCESS_DEPARTURES_H

#include <stdbool.h>

#include "process/decide/occupancy.h"

/* A server that leaves or has left. */
typedef struct {
	char server[OCCUPANCY_NAME_BYTES + 1]; /* its ID */
	int64_t read_us; /* when this VM read it */
} departure_t;

typedef struct {
	GArray *list; /* of departure_t, the oldest first */
} departures_t;

void departures_init(departures_t *departures);
void departures_finish(departures_t *departures);
void departures_add(departures_t *departures, const char *server,
		    int64_t now_us);
void departures_cancel(departures_t *departures, const char *server);
bool departures_may_be_before(int64_t until_us, int64_t returned_us);
void departures_append_to(departures_t *departures, GArray *unavailable,
			  int64_t now_us);

#endif
