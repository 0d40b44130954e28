/* Prefix cache of the fake engine and its cache events. */
#ifndef ENGINE_CACHE_H
#define ENGINE_CACHE_H

#include <glib.h>
#include <stdint.h>

#include "shared_fake.h"

typedef struct {
	GHashTable *blocks; /* block ID to link of `recent` */
	GQueue recent; /* of engine_block_t, most recently used first */
	int64_t limit_tokens;
	int64_t used_tokens;
	GQueue events; /* of engine_cache_event_t, oldest first */
	int64_t last_seq;
	int64_t event_lag_us;
	double event_loss; /* share of events that are never published */
	GRand *random;
} engine_cache_t;

void engine_cache_init(engine_cache_t *cache, int64_t limit_tokens,
		       int64_t event_lag_us, double event_loss, uint32_t seed);
int64_t engine_cache_use(engine_cache_t *cache, char **words, int64_t n_words);
JsonObject *engine_cache_events(engine_cache_t *cache, int64_t after);

#endif
