#include "engine_cache.h"

#include <stdbool.h>

/* Words of a cache block; the first block's ID is the prefix ID. */
#define BLOCK_WORDS 64
#define BLOCK_ID_DIGITS 16
/* Older events are forgotten, which readers see as a gap. */
#define EVENTS_KEPT 10000

typedef struct {
	char *id;
	bool is_first; /* starts a prompt, so its ID is a prefix ID */
} engine_block_t;

typedef struct {
	int64_t seq;
	bool stored; /* false: evicted */
	char *prefix;
	int64_t visible_us;
} engine_cache_event_t;

void engine_cache_init(engine_cache_t *cache, int64_t limit_tokens,
		       int64_t event_lag_us, double event_loss, uint32_t seed)
{
	cache->blocks = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&cache->recent);
	cache->limit_tokens = limit_tokens;
	cache->used_tokens = 0;
	g_queue_init(&cache->events);
	cache->last_seq = 0;
	cache->event_lag_us = event_lag_us;
	cache->event_loss = event_loss;
	cache->random = g_rand_new_with_seed(seed);
}

static void free_event(engine_cache_event_t *event)
{
	g_free(event->prefix);
	g_free(event);
}

/* Numbers an event; a lost one leaves a gap in the sequence. */
static void add_event(engine_cache_t *cache, const engine_block_t *block,
		      bool stored)
{
	engine_cache_event_t *event;

	if (!block->is_first)
		return;
	cache->last_seq++;
	if (g_rand_double(cache->random) < cache->event_loss)
		return;
	event = g_new0(engine_cache_event_t, 1);
	event->seq = cache->last_seq;
	event->stored = stored;
	event->prefix = g_strdup(block->id);
	event->visible_us = fake_now_us() + cache->event_lag_us;
	g_queue_push_tail(&cache->events, event);
	if (g_queue_get_length(&cache->events) > EVENTS_KEPT)
		free_event(g_queue_pop_head(&cache->events));
}

static void evict_oldest(engine_cache_t *cache)
{
	engine_block_t *block = g_queue_pop_tail(&cache->recent);

	add_event(cache, block, false);
	g_hash_table_remove(cache->blocks, block->id);
	cache->used_tokens -= BLOCK_WORDS;
	g_free(block->id);
	g_free(block);
}

/* Moves a block to the front, storing it first when it is missing. */
static void touch_block(engine_cache_t *cache, const char *id, bool is_first)
{
	GList *link = g_hash_table_lookup(cache->blocks, id);
	engine_block_t *block;

	if (link) {
		g_queue_unlink(&cache->recent, link);
		g_queue_push_head_link(&cache->recent, link);
		return;
	}
	block = g_new0(engine_block_t, 1);
	block->id = g_strdup(id);
	block->is_first = is_first;
	g_queue_push_head(&cache->recent, block);
	g_hash_table_insert(cache->blocks, block->id,
			    g_queue_peek_head_link(&cache->recent));
	cache->used_tokens += BLOCK_WORDS;
	add_event(cache, block, true);
}

/* IDs of the prompt's full blocks; each one covers all words before it. */
static GPtrArray *block_ids(char **words, int64_t n_words)
{
	GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);

	for (int64_t i = 0; i < n_words; i++) {
		GChecksum *copy;

		if (i > 0)
			g_checksum_update(sum, (const guchar *)" ", 1);
		g_checksum_update(sum, (const guchar *)words[i], -1);
		if ((i + 1) % BLOCK_WORDS != 0)
			continue;
		copy = g_checksum_copy(sum);
		g_ptr_array_add(ids, g_strndup(g_checksum_get_string(copy),
					       BLOCK_ID_DIGITS));
		g_checksum_free(copy);
	}
	g_checksum_free(sum);
	return ids;
}

/*
 * Looks a prompt up and stores it. Returns how many of its leading tokens
 * were already cached. Deeper blocks are touched first, so that a prompt is
 * evicted from its end and its prefix ID goes last.
 */
int64_t engine_cache_use(engine_cache_t *cache, char **words, int64_t n_words)
{
	GPtrArray *ids = block_ids(words, n_words);
	int64_t cached = 0;

	for (unsigned i = 0; i < ids->len; i++) {
		if (!g_hash_table_contains(cache->blocks,
					   g_ptr_array_index(ids, i)))
			break;
		cached += BLOCK_WORDS;
	}
	for (unsigned i = ids->len; i > 0; i--)
		touch_block(cache, g_ptr_array_index(ids, i - 1), i == 1);
	while (cache->used_tokens > cache->limit_tokens)
		evict_oldest(cache);
	g_ptr_array_unref(ids);
	return cached;
}

/* The events after `after` that are old enough to be visible. */
JsonObject *engine_cache_events(engine_cache_t *cache, int64_t after)
{
	JsonArray *events = json_array_new();
	int64_t now_us = fake_now_us();
	int64_t next = after;

	for (GList *item = cache->events.head; item; item = item->next) {
		const engine_cache_event_t *event = item->data;

		if (event->seq <= after)
			continue;
		if (event->visible_us > now_us)
			break;
		next = event->seq;
		json_array_add_object_element(
			events, fake_json("seq", "i", event->seq, "op", "s",
					  event->stored ? "store" : "evict",
					  "prefix", "s", event->prefix, NULL));
	}
	return fake_json("next", "i", next, "events", "a", events, NULL);
}
