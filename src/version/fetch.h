/* Fetches the state that a head names: the manifest, by deltas where possible,
 * and the parts that are not held yet. Every object is checked against its
 * hash. The objects come from an injected source.
 */
#ifndef VERSION_FETCH_H
#define VERSION_FETCH_H

#include "version/head.h"

/* Objects that are requested at once. */
#define FETCH_WINDOW 8

/* `bytes` is NULL when the object could not be read; it is borrowed. */
typedef void (*fetch_object_fn_t)(void *context, GBytes *bytes);

/* The source calls `done` exactly once for each object. */
typedef struct {
	void (*get)(void *context, const char *hash, uint64_t size,
		    fetch_object_fn_t done, void *done_context);
	void *context;
} fetch_source_t;

typedef struct fetch fetch_t;

typedef struct {
	const char *failure; /* static text, NULL on success */
	const head_t *head;
	manifest_t *manifest; /* with all bytes; finished after the callback */
	state_t *state; /* the callback takes over this reference */
	GPtrArray *objects; /* of GBytes: deltas and manifest that were read */
	unsigned n_fetched; /* objects */
	uint64_t n_bytes; /* of these */
} fetch_result_t;

typedef void (*fetch_done_fn_t)(void *context, const fetch_result_t *result);

fetch_t *fetch_new(const fetch_source_t *source, const head_t *head,
		   const manifest_t *held, fetch_done_fn_t done, void *context);
void fetch_run(fetch_t *fetch);
void fetch_free(fetch_t *fetch);

#endif
