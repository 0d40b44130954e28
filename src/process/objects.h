/* Configuration objects: those current for peers, and reading of others from
 * peers and the platform.
 */
#ifndef PROCESS_OBJECTS_H
#define PROCESS_OBJECTS_H

#include "process/platform.h"
#include "version/fetch.h"
#include "version/sync.h"

/* `bytes` is borrowed; NULL when the object could not be read. */
typedef void (*config_part_done_t)(void *context, GBytes *bytes);

/*
 * Reads an object from a peer by its hash (64 hex digits). `size` is 0 when it
 * is not known. `done` is called exactly once, by the deadline. Calls that are
 * under way must have ended before config_finish().
 */
typedef void (*config_fetch_part_t)(void *context, const char *address,
				    const char *hash, uint64_t size,
				    int64_t deadline_us,
				    config_part_done_t done,
				    void *done_context);

typedef struct {
	platform_t *platform; /* borrowed; NULL: none */
	clock_source_t clock;
	sync_t *sync; /* borrowed; is told of peers that fail */
	config_fetch_part_t fetch_part; /* NULL: no peers */
	void *fetch_context;
	GHashTable *current; /* hash (char *) to GBytes */
	GHashTable *previous; /* of the version before */
	bool platform_first; /* ask it before the peers */
	GPtrArray *peers; /* addresses to ask (char *), NULL: given up */
	GQueue reads; /* objects under way */
	uint64_t fetched_bytes; /* since the start */
	uint64_t from_platform; /* objects since the start */
	uint64_t from_peers;
} objects_t;

void objects_init(objects_t *objects, platform_t *platform,
		  clock_source_t clock, sync_t *sync,
		  config_fetch_part_t fetch_part, void *fetch_context);
void objects_finish(objects_t *objects);
void objects_set_sources(objects_t *objects, const sync_action_t *action);
void objects_get(objects_t *objects, const char *hash, uint64_t size,
		 fetch_object_fn_t done, void *context);
GBytes *objects_find(const objects_t *objects, const char *hash);
void objects_start_version(objects_t *objects);
void objects_add(objects_t *objects, const char *hash, GBytes *bytes);
fetch_source_t objects_source(objects_t *objects);

#endif
