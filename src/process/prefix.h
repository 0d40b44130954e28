/* Which engines probably hold which prompt prefix. Hints only: events are late
 * and have gaps, so nothing may depend on a hint for correctness. Pure.
 */
#ifndef PROCESS_PREFIX_H
#define PROCESS_PREFIX_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PREFIX_HOLDERS 4

typedef struct {
	uint32_t engine;
	double confidence; /* above 0, at most 1 */
	int64_t tokens; /* saved by the last hit; 0: not known */
} prefix_hit_t;

typedef struct {
	size_t max_prefixes;
	GHashTable *entries; /* by prefix */
	GQueue recent; /* most recently used first */
	GHashTable *engines; /* engine to its event position */
} prefix_index_t;

void prefix_init(prefix_index_t *prefix, size_t max_prefixes);
void prefix_finish(prefix_index_t *prefix);
void prefix_on_event(prefix_index_t *prefix, uint32_t engine, uint64_t seq,
		     bool stored, uint64_t id);
void prefix_on_prefill(prefix_index_t *prefix, uint32_t engine, uint64_t id,
		       int64_t cached_tokens);
void prefix_forget_engine(prefix_index_t *prefix, uint32_t engine);
size_t prefix_find(prefix_index_t *prefix, uint64_t id,
		   prefix_hit_t hits[static PREFIX_HOLDERS]);
size_t prefix_count(const prefix_index_t *prefix);

#endif
