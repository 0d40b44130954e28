/* The IDs of the requests that a connection has carried. A server may write an answer once more
 * on its connection, so that the ID tells which request an answer belongs to only where the
 * connection has not carried that ID before.
 */
#ifndef CONNECTION_CARRIED_IDS_H
#define CONNECTION_CARRIED_IDS_H

#include <glib.h>
#include <stdbool.h>

#include "process/str.h"

/* Most IDs that one connection carries: it is closed then, as none may be forgotten before. */
#define CARRIED_IDS_MAX 256

/* The IDs as hashes of 32 bits: there are false positives, but no false negatives. */
typedef struct {
	GArray *hashes; /* of uint32_t */
} carried_ids_t;

void carried_ids_init(carried_ids_t *ids);
void carried_ids_finish(carried_ids_t *ids);
bool carried_ids_contains(const carried_ids_t *ids, str_t id);
bool carried_ids_is_full(const carried_ids_t *ids);
void carried_ids_add(carried_ids_t *ids, str_t id);

#endif
