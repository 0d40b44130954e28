/* Index of the engines that probably hold the KV cache of a prompt prefix. It
 * gives hints only: the engines' events are late and have gaps, so nothing may
 * depend on a hint for correctness. Makes no calls and reads no clock.
 */
#ifndef PROCESS_PREFIX_H
#define PROCESS_PREFIX_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Engines kept for one prefix. */
#define PREFIX_HOLDERS 4

/* An engine that probably holds a prefix. */
typedef struct {
	uint32_t engine; /* its ID */
	double confidence; /* above 0, at most 1 */
	int64_t tokens; /* cached at the last hit; 0: unknown */
} prefix_hit_t;

/* The index; the caller provides the memory and treats it as opaque. */
typedef struct {
	size_t max_prefixes;
	GHashTable *entries; /* prefix ID to entry_t */
	GQueue recent; /* of entry_t, most recently used first */
	GHashTable *engines; /* engine ID to position_t */
} prefix_index_t;

void prefix_init(prefix_index_t *index, size_t max_prefixes);
void prefix_finish(prefix_index_t *index);
void prefix_on_event(prefix_index_t *index, uint32_t engine, uint64_t seq,
		     bool stored, uint64_t id);
void prefix_on_prefill(prefix_index_t *index, uint32_t engine, uint64_t id,
		       int64_t cached_tokens);
void prefix_forget_engine(prefix_index_t *index, uint32_t engine);
size_t prefix_find(prefix_index_t *index, uint64_t id,
		   prefix_hit_t hits[static PREFIX_HOLDERS]);
size_t prefix_count(const prefix_index_t *index);

#endif
