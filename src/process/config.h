/* Keeps the configuration version in effect up to date: does the I/O for
 * version/sync.h and version/fetch.h, in the main loop of the process.
 */
#ifndef PROCESS_CONFIG_H
#define PROCESS_CONFIG_H

#include "process/objects.h"

#define CONFIG_HASH_BYTES 32

/* Called after a version has taken effect. The state is borrowed. */
typedef void (*config_changed_t)(void *context, state_t *state);

typedef struct {
	config_fetch_part_t fetch_part; /* NULL: reads from no peers */
	config_changed_t changed; /* may be NULL */
	void *context;
} config_callbacks_t;

/* The configuration of one process. */
typedef struct {
	const char *deployment; /* borrowed */
	char *zone; /* of the own VM */
	platform_t *platform; /* borrowed; NULL: none */
	clock_source_t clock;
	config_callbacks_t callbacks;
	sync_t sync;
	guint timer; /* for the next step of sync; 0: none */
	bool finishing;
	char *row_key; /* of the deployment's row in the platform's store */
	platform_call_t *poll; /* in progress, or NULL */

	objects_t objects; /* held for peers, and reads of them */

	/* The version in effect; `state` is NULL until there is one. */
	state_t *state;
	manifest_t manifest;

	/* The fetch in progress. */
	sync_version_t wanted;
	GBytes *head_text;
	fetch_t *fetch;

	/* The head that the last successful poll has read. */
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
