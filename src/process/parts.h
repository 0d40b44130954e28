/* Configuration objects between serve processes: reading them from peers in
 * pieces, and answering peers.
 */
#ifndef PROCESS_PARTS_H
#define PROCESS_PARTS_H

#include "connection/rpc.h"
#include "process/objects.h"

/* Returns an object held here, or NULL; the caller unrefs it. */
typedef GBytes *(*parts_find_fn_t)(void *context,
				   const uint8_t hash[PEER_HASH_BYTES]);

typedef struct {
	rpc_t *rpc; /* borrowed */
	parts_find_fn_t find;
	void *context;
	GQueue fetches; /* in progress */
} parts_t;

void parts_init(parts_t *parts, rpc_t *rpc, parts_find_fn_t find,
		void *context);
void parts_finish(parts_t *parts);
void parts_fetch(void *parts, const char *address, const char *hash,
		 uint64_t size, int64_t deadline_us, config_part_done_t done,
		 void *done_context);

#endif
