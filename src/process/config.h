/* Keeps the configuration version in effect: I/O around version/sync.h and
 * version/fetch.h. It runs in the main loop of the process.
 */
#ifndef PROCESS_CONFIG_H
#define PROCESS_CONFIG_H

#include "process/objects.h"

#define CONFIG_HASH_BYTES 32

/* A version has come into effect. The state is borrowed. */
typedef void (*config_changed_t)(void *context, state_t *state);

typedef struct {
	config_fetch_part_t fetch_part; /* NULL: no peers */
	config_changed_t changed; /* may be NULL */
	void *context;
} config_callbacks_t;

typedef struct {
	const char *deployment; /* borrowed */
	char *zone;
	platform_t *platform; /* borrowed; NULL: none */
	clock_source_t clock;
	config_callbacks_t callbacks;
	sync_t sync;
	guint timer;
	bool finishing;
	char *row_key;
	platform_call_t *poll;

	objects_t objects;

	/* In effect. */
	state_t *state;
	manifest_t manifest;

	/* The fetch under way. */
	sync_version_t wanted;
	GBytes *head_text;
	fetch_t *fetch;

	/* The head that a poll has read last. */
	sync_version_t polled;
	GBytes *polled_text;
} config_t;

void config_init(config_t *config, const char *deployment, const char *vm,
		 const char *zone, platform_t *platform, clock_source_t clock,
		 uint64_t seed, const config_callbacks_t *callbacks);
void config_start(config_t *config);
void config_finish(config_t *config);
state_t *config_current(const config_t *config);
void config_set_zone_members(config_t *config, const char *const *vms,
			     size_t n_vms);
void config_heartbeat_received(config_t *config, const char *address,
			       const char *zone, uint64_t version,
			       const uint8_t hash[CONFIG_HASH_BYTES],
			       int64_t age_ms);
uint64_t config_version(const config_t *config,
			uint8_t hash[CONFIG_HASH_BYTES]);
int64_t config_age_ms(const config_t *config);
GBytes *config_find_object(const config_t *config,
			   const uint8_t hash[CONFIG_HASH_BYTES]);

#endif
