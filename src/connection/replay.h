/* Protection of received RPC calls against replay: a window of accepted
 * sequence numbers for each sender, and a cache of recent calls with their
 * replies, from which a retransmitted call is answered without being executed
 * again.
 */
#ifndef CONNECTION_REPLAY_H
#define CONNECTION_REPLAY_H

#include <stdint.h>

#include "connection/wire.h"

/* Size of a window in sequence numbers: a number this far below the highest one
 * is refused. A sender uses one sequence for its calls to all receivers, and a
 * retransmission keeps its number, so 4,096 covers two seconds at 2,000
 * calls/s.
 */
#define REPLAY_WINDOW 4096
/* Above this the sender that called least recently is forgotten. */
#define REPLAY_SENDERS_MAX 4096
/* Calls in the cache; above this the oldest call is dropped. */
#define REPLAY_CACHE_MAX 1024

/* Result of the check of a received call. */

typedef enum {
	REPLAY_NEW, /* not seen before */
	REPLAY_IN_PROGRESS, /* a duplicate; the handler has not replied yet */
	REPLAY_REPLIED, /* a duplicate; the cached reply is to be sent again */
	REPLAY_STALE, /* a higher incarnation of the sender is known */
	REPLAY_REFUSED, /* too old, or a duplicate without a usable cache entry */
} replay_result_t;

/* A received call in the cache, with its reply once there is one. */
typedef struct {
	uint64_t window_serial; /* of the sender's window */
	uint64_t sequence;
	uint64_t call_id; /* unique in this process */
	uint32_t xid;
	uint8_t call_mac[PEER_MAC_BYTES]; /* to which the reply is bound */
	char *address; /* IP:port that the call came from */
	bool replied;
	GBytes *reply; /* datagram; NULL until encoded */
} replay_entry_t;

/* All windows and the cache of one process. */
typedef struct {
	GHashTable *senders; /* VM name to window, owned */
	GHashTable *entries; /* set, by window serial and sequence */
	GHashTable *by_call_id; /* call ID to entry */
	GQueue by_age; /* of replay_entry_t, oldest first, owned */
	uint64_t last_serial; /* given to a window */
	uint64_t last_call_id; /* given to an entry */
	uint64_t calls_checked; /* orders senders by their last call */
} replay_t;

void replay_init(replay_t *replay);
void replay_finish(replay_t *replay);
replay_result_t replay_check(replay_t *replay, const wire_call_t *call,
			     const char *address, uint64_t now,
			     replay_entry_t **entry);
uint64_t replay_incarnation(const replay_t *replay, const char *vm);
replay_entry_t *replay_find(replay_t *replay, uint64_t call_id);

#endif
