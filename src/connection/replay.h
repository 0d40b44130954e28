/* Replay windows of senders and the cache of answers to duplicate calls. */
#ifndef CONNECTION_REPLAY_H
#define CONNECTION_REPLAY_H

#include <stdint.h>

#include "connection/wire.h"

/* Sequence numbers accepted out of order. A sender numbers its calls to all
 * receivers together, and a retransmission keeps its number: 4,096 covers two
 * seconds at 2,000 calls/s.
 */
#define REPLAY_WINDOW 4096
#define REPLAY_SENDERS_MAX 4096
#define REPLAY_CACHE_MAX 1024

typedef enum {
	REPLAY_NEW, /* not seen before */
	REPLAY_IN_PROGRESS, /* the handler has not answered yet */
	REPLAY_ANSWERED, /* the cached answer is to be sent again */
	REPLAY_STALE, /* the sender's incarnation is lower than a known one */
	REPLAY_REFUSED, /* old, or its answer is no longer cached */
} replay_result_t;

/* A received call, until it leaves the cache. */
typedef struct {
	uint64_t sender; /* serial of the sender's window */
	uint64_t sequence;
	uint64_t call_id;
	uint32_t xid;
	uint8_t call_mac[PEER_MAC_BYTES];
	char *address;
	bool answered;
	GBytes *answer; /* datagram; NULL until answered */
} replay_entry_t;

typedef struct {
	GHashTable *senders; /* VM name to window, owned */
	GHashTable *entries; /* by sender and sequence */
	GHashTable *by_call_id; /* call_id to entry */
	GQueue order; /* of replay_entry_t, oldest first, owned */
	uint64_t serial;
	uint64_t call_id;
	uint64_t heard; /* counts messages, for the eviction of senders */
} replay_t;

void replay_init(replay_t *replay);
void replay_finish(replay_t *replay);
replay_result_t replay_check(replay_t *replay, const wire_call_t *call,
			     const char *address, uint64_t now,
			     replay_entry_t **entry);
uint64_t replay_incarnation(const replay_t *replay, const char *vm);
replay_entry_t *replay_find(replay_t *replay, uint64_t call_id);

#endif
