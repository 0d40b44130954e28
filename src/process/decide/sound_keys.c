#include "process/decide/sound_keys.h"

/* Most keys in each of the tables and in `recent`. */
#define MAX_KEYS 4096

/* Returns an empty table of 64-bit key to int64_t. */
static GHashTable *new_times(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				     g_free);
}

/* Sets up an object that knows no key. */
void sound_keys_init(sound_keys_t *keys)
{
	keys->here = new_times();
	keys->here_before = new_times();
	keys->at_peers = new_times();
	keys->recent = g_new0(sound_key_t, MAX_KEYS);
}

/* Frees what the object owns. */
void sound_keys_finish(sound_keys_t *keys)
{
	g_hash_table_unref(keys->here);
	g_hash_table_unref(keys->here_before);
	g_hash_table_unref(keys->at_peers);
	g_free(keys->recent);
}

/* Returns the place of a key among the recent ones. */
static sound_key_t *recent_place(const sound_keys_t *keys, uint64_t key)
{
	return &keys->recent[key % MAX_KEYS];
}

/* Returns when a request with a key last began well at this VM, or SOUND_NEVER_US. */
int64_t sound_keys_here_us(const sound_keys_t *keys, uint64_t key)
{
	const sound_key_t *recent = recent_place(keys, key);
	const int64_t *at_us = g_hash_table_lookup(keys->here, &key);

	if (!at_us)
		at_us = g_hash_table_lookup(keys->here_before, &key);
	return MAX(at_us ? *at_us : SOUND_NEVER_US,
		   recent->key == key && recent->seen_us > 0 ? recent->seen_us
							     : SOUND_NEVER_US);
}

/* Returns when a request with a key last began well at any VM, or SOUND_NEVER_US if none is
 * known.
 */
int64_t sound_keys_anywhere_us(const sound_keys_t *keys, uint64_t key)
{
	const int64_t *at_us = g_hash_table_lookup(keys->at_peers, &key);

	return MAX(at_us ? *at_us : SOUND_NEVER_US,
		   sound_keys_here_us(keys, key));
}

/* Sets the time at which a request with a key last began well. */
static void set_time(GHashTable *times, uint64_t key, int64_t at_us)
{
	g_hash_table_replace(times, g_memdup2(&key, sizeof(key)),
			     g_memdup2(&at_us, sizeof(at_us)));
}

/* Records that a request with a key has begun well at this VM. */
void sound_keys_add(sound_keys_t *keys, uint64_t key, int64_t now_us)
{
	if (g_hash_table_size(keys->here) >= MAX_KEYS) {
		g_hash_table_unref(keys->here_before);
		keys->here_before = keys->here;
		keys->here = new_times();
	}
	set_time(keys->here, key, now_us);
}

/* Records it of a key that is on no loss. Of keys that nearly each request has its own of, those
 * that come often are kept.
 */
void sound_keys_add_recent(sound_keys_t *keys, uint64_t key, int64_t now_us)
{
	*recent_place(keys, key) = (sound_key_t){.key = key, .seen_us = now_us};
}

/* Records when a request with a key last began well at a peer. */
void sound_keys_add_peer(sound_keys_t *keys, const sound_key_t *sound)
{
	if (g_hash_table_size(keys->at_peers) >= MAX_KEYS)
		g_hash_table_remove_all(keys->at_peers);
	set_time(keys->at_peers, sound->key, sound->seen_us);
}
