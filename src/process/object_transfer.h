/* Transfers configuration objects between serve processes by RPC: reads them
 * from peers in pieces, and answers the reads of peers.
 */
#ifndef PROCESS_OBJECT_TRANSFER_H
#define PROCESS_OBJECT_TRANSFER_H

#include "connection/rpc.h"
#include "process/objects.h"

/* Returns a new reference to an object that this process holds, or NULL. */
typedef GBytes *(*object_find_fn_t)(void *context,
				    const uint8_t hash[PEER_HASH_BYTES]);

typedef struct {
	rpc_t *rpc; /* borrowed */
	object_find_fn_t find;
	void *context;
	GQueue fetches; /* of object_fetch_t, in progress */
} object_transfer_t;

void object_transfer_init(object_transfer_t *transfer, rpc_t *rpc,
			  object_find_fn_t find, void *context);
void object_transfer_finish(object_transfer_t *transfer);
void object_transfer_fetch(void *transfer, const char *address,
			   const char *hash, uint64_t size, int64_t deadline_us,
			   config_part_done_t done, void *done_context);

#endif
