/* What is remembered of backend servers that were removed from the platform's list, for
 * when the list names them again: after an outage of the store, or a store that was
 * restored from an older copy. The servers that were removed first are forgotten first.
 * Pure: no clock, no I/O.
 */
#ifndef PROCESS_REMOVED_SERVERS_H
#define PROCESS_REMOVED_SERVERS_H

#include <stdbool.h>
#include <stdint.h>

#include "process/str.h"

/* One server that was removed. */
typedef struct {
	char *id;
	int64_t started_ms; /* of its last process; see server_entry_t */
	bool leaving; /* it had announced that it leaves */
	int64_t paused_until_us; /* it wants no requests from this VM */
} removed_server_t;

typedef struct {
	GHashTable *by_id; /* ID to GList of `in_order` */
	GQueue in_order; /* of removed_server_t, the one removed last at the tail */
} removed_servers_t;

void removed_servers_init(removed_servers_t *removed);
void removed_servers_finish(removed_servers_t *removed);
removed_server_t *removed_servers_put(removed_servers_t *removed,
				      const char *id, int64_t started_ms);
removed_server_t *removed_servers_find(const removed_servers_t *removed,
				       const char *id, int64_t started_ms);
bool server_is_same_start(int64_t started_ms, int64_t other_ms);

#endif
