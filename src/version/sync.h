/* Decides when to ask the platform for a new version and from whom to fetch
 * it. Pure: no I/O, and the time is passed as an argument.
 *
 * One member of each zone, the reader, polls the platform's table; the others
 * hear of versions in heartbeats and poll only when nothing has confirmed
 * their version for a few seconds. The version in effect only rises: whatever
 * is heard, polled or fetched late is dropped unless its version is higher.
 */
#ifndef VERSION_SYNC_H
#define VERSION_SYNC_H

#include "version/head.h"

/* Time between the reader's polls. A change must be in effect within 5 s, and
 * heartbeats need some of that.
 */
#define SYNC_POLL_US INT64_C(1000000)

/* After this time without confirmation, members that are not readers poll. The
 * upper bound is reached by jitter.
 */
#define SYNC_QUIET_US INT64_C(3000000)
#define SYNC_QUIET_MAX_US INT64_C(6000000)

/* Bounds of the wait after a failed fetch. */
#define SYNC_RETRY_US INT64_C(200000)
#define SYNC_RETRY_MAX_US INT64_C(2000000)

/* After this many failures, a version that only peers have told of is given up
 * for the one that the platform has: no object of it may exist.
 */
#define SYNC_GIVE_UP 3

/* Peers that are remembered, and those offered for one fetch. */
#define SYNC_PEERS 16
#define SYNC_CANDIDATES 4

/* A peer is not asked when it was heard of longer ago. */
#define SYNC_PEER_AGE_US INT64_C(15000000)

#define SYNC_NAME_BYTES 64
#define SYNC_ADDRESS_BYTES 64

typedef struct {
	uint64_t version; /* 0: none */
	char hash[MANIFEST_HASH_DIGITS + 1]; /* SHA-256 of the head's text */
} sync_version_t;

typedef struct {
	char address[SYNC_ADDRESS_BYTES];
	sync_version_t version;
	int64_t heard_us;
	int64_t confirmed_us; /* of its version, 0: not known */
	unsigned failures; /* since it was last heard with a new version */
	bool same_zone;
} sync_peer_t;

typedef struct {
	char vm[SYNC_NAME_BYTES];
	sync_version_t current; /* in effect */
	sync_version_t target; /* highest known */
	sync_version_t polled; /* last read from the platform */
	bool target_polled; /* the target was read from the platform */
	bool is_reader;
	bool polling;
	bool fetching;
	sync_version_t fetched; /* what the fetch under way is for */
	int64_t confirmed_us; /* when `current` was the platform's; 0: never */
	int64_t polled_us; /* end of the last poll */
	int64_t poll_wait_us; /* until the next one, with jitter */
	int64_t retry_us; /* no fetch before this time */
	unsigned retries;
	uint64_t seed;
	sync_peer_t peers[SYNC_PEERS];
	size_t n_peers;
} sync_t;

typedef enum {
	SYNC_WAIT,
	SYNC_POLL, /* answered by sync_polled() */
	SYNC_FETCH, /* answered by sync_fetched() */
} sync_action_kind_t;

typedef struct {
	sync_action_kind_t kind;
	sync_version_t version; /* SYNC_FETCH */
	bool platform_first; /* SYNC_FETCH: before the peers, else after */
	const char *peers[SYNC_CANDIDATES]; /* valid until the next call */
	size_t n_peers;
} sync_action_t;

typedef enum {
	SYNC_POLL_FOUND,
	SYNC_POLL_ABSENT, /* there is no row */
	SYNC_POLL_FAILED,
} sync_poll_t;

/* Age of a version that a peer does not tell, or that was never confirmed. */
#define SYNC_AGE_UNKNOWN INT64_C(-1)

void sync_init(sync_t *sync, const char *vm, uint64_t seed, int64_t now_us);
void sync_set_zone(sync_t *sync, const char *const *vms, size_t n_vms);
void sync_set_current(sync_t *sync, const sync_version_t *version);
void sync_hear(sync_t *sync, const char *address, bool same_zone,
	       const sync_version_t *version, int64_t age_us, int64_t now_us);
void sync_polled(sync_t *sync, sync_poll_t result,
		 const sync_version_t *version, int64_t now_us);
bool sync_fetched(sync_t *sync, bool ok, int64_t now_us);
void sync_peer_failed(sync_t *sync, const char *address);
sync_action_t sync_step(sync_t *sync, int64_t now_us);
int64_t sync_next_us(const sync_t *sync);
int64_t sync_age_us(const sync_t *sync, int64_t now_us);
bool sync_wins(const char *key, const char *vm, const char *const *vms,
	       size_t n_vms);

#endif
