/* The keys with which requests have begun well, at this VM and at others, and when one last
 * did. A bounded number is kept: of each table those that came last. Pure: no clock, no I/O.
 */
#ifndef PROCESS_SOUND_KEYS_H
#define PROCESS_SOUND_KEYS_H

#include <stdint.h>

#include "process/str.h"

/* Stands for the time of something that has not been seen. Times of other VMs, and those in the
 * store, may lie before the start of this machine's clock and are negative then.
 */
#define SOUND_NEVER_US INT64_MIN

/* A key with which a request has begun well. */
typedef struct {
	uint64_t key;
	int64_t seen_us; /* when one last did */
} sound_key_t;

typedef struct {
	/* Key to the time at which a request with it last began well at this VM.
	 * A key that is not in the first table may be in the one before.
	 */
	GHashTable *here;
	GHashTable *here_before;
	GHashTable *at_peers; /* the same, at the other VMs */
	/* The same for keys that nearly each request has its own of: each place
	 * is for the keys with one remainder, and holds the latest one.
	 */
	sound_key_t *recent;
} sound_keys_t;

void sound_keys_init(sound_keys_t *keys);
void sound_keys_finish(sound_keys_t *keys);
int64_t sound_keys_here_us(const sound_keys_t *keys, uint64_t key);
int64_t sound_keys_anywhere_us(const sound_keys_t *keys, uint64_t key);
void sound_keys_add(sound_keys_t *keys, uint64_t key, int64_t now_us);
void sound_keys_add_recent(sound_keys_t *keys, uint64_t key, int64_t now_us);
void sound_keys_add_peer(sound_keys_t *keys, const sound_key_t *sound);

#endif
