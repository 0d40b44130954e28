/* Configuration objects between serve processes: reading them from peers in
 * pieces, and answering peers.
 */
#ifndef PROCESS_PARTS_H
#define PROCESS_PARTS_H

#include "connection/rpc.h"
#include "process/objects.h"

/* Returns an object held here, or NULL; the caller unrefs it. */
typedef GBytes *(*object_find_fn_t)(void *context,
				    const uint8_t hash[PEER_HASH_BYTES]);

typedef struct {
	rpc_t *rpc; /* borrowed */
	object_find_fn_t find;
	void *context;
	GQueue fetches; /* in progress */
} object_transfer_t;

void object_transfer_init(object_transfer_t *parts, rpc_t *rpc,
			  object_find_fn_t find, void *context);
void object_transfer_finish(object_transfer_t *parts);
void object_transfer_fetch(void *parts, const char *address, const char *hash,
			   uint64_t size, int64_t deadline_us,
			   config_part_done_t done, void *done_context);

#endif
