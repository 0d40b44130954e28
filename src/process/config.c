#include "process/config.h"

#include "process/apply.h"
#include "process/counters.h"
#include "process/log.h"

#define POLL_TIMEOUT_US (3 * CLOCK_US_PER_S)

/* Result of config_age_ms() for a version that was never confirmed. */
#define AGE_UNKNOWN_MS INT64_C(-1)

static void run_due_steps(config_t *config);

/* Writes a hash as hexadecimal digits and a terminating NUL. */
static void hash_to_hex(const uint8_t hash[CONFIG_HASH_BYTES], char *hex)
{
	for (size_t i = 0; i < CONFIG_HASH_BYTES; i++)
		g_snprintf(hex + 2 * i, 3, "%02x", hash[i]);
}

/* Returns the content of bytes as borrowed text. */
static str_t bytes_text(GBytes *bytes)
{
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);

	return (str_t){data, len};
}

/*
 * Sets up a configuration without a version. The deployment's name, the
 * platform client and the callbacks' context must outlive config_finish().
 */
void config_init(config_t *config, const char *deployment, const char *vm,
		 const char *zone, platform_t *platform, clock_source_t clock,
		 uint64_t seed, const config_callbacks_t *callbacks)
{
	memset(config, 0, sizeof(*config));
	config->deployment = deployment;
	config->zone = g_strdup(zone);
	config->platform = platform;
	config->clock = clock;
	config->callbacks = *callbacks;
	config->row_key = apply_row_key(deployment);
	manifest_init(&config->manifest);
	sync_init(&config->sync, vm, seed, clock_now(&clock));
	objects_init(&config->objects, platform, clock, &config->sync,
		     callbacks->fetch_part, callbacks->context);
}

/* Starts polling the platform and fetching versions. */
void config_start(config_t *config)
{
	run_due_steps(config);
}

/* Returns a new reference to the state in effect, or NULL. */
state_t *config_current(const config_t *config)
{
	return config->state ? state_ref(config->state) : NULL;
}

/* Frees the fetch in progress and reports its end to the state machine. */
static void end_fetch(config_t *config, bool ok)
{
	g_clear_pointer(&config->fetch, fetch_free);
	g_clear_pointer(&config->head_text, g_bytes_unref);
	sync_fetched(&config->sync, ok, clock_now(&config->clock));
}

/* Holds the objects of the version in effect for peers. These include the whole
 * manifest, for a peer that does not hold the version where the deltas start.
 */
static void hold_objects(config_t *config, const fetch_result_t *result)
{
	objects_t *objects = &config->objects;
	GString *text = g_string_new(NULL);
	GBytes *manifest;

	manifest_print(&config->manifest, text);
	manifest = g_string_free_to_bytes(text);
	objects_start_version(objects);
	objects_add(objects, NULL, config->head_text);
	objects_add(objects, result->head->manifest, manifest);
	g_bytes_unref(manifest);
	for (guint i = 0; i < result->objects->len; i++)
		objects_add(objects, NULL, result->objects->pdata[i]);
	for (guint i = 0; i < config->manifest.parts->len; i++) {
		const manifest_part_t *part = &g_array_index(
			config->manifest.parts, manifest_part_t, i);

		objects_add(objects, part->hash, part->bytes);
	}
}

/* Makes a fetched version the one in effect. `result->manifest` gets the former
 * manifest in exchange, which is freed with the fetch.
 */
static void put_into_effect(config_t *config, const fetch_result_t *result)
{
	manifest_t old = config->manifest;

	config->manifest = *result->manifest;
	*result->manifest = old;
	hold_objects(config, result);
	state_unref(config->state);
	config->state = result->state;
	counters_set(GAUGE_STATE_VERSION, (int64_t)result->state->version);
	log_event(LOG_INFO, "config_fetched",
		  LOG_UINT("version", result->head->version),
		  LOG_CSTR("author", result->head->author),
		  LOG_CSTR("attempt", result->head->attempt),
		  LOG_UINT("objects", result->n_fetched),
		  LOG_UINT("bytes", result->n_bytes));
}

/* Handles the end of a fetch; a version that is not newer is dropped. */
static void on_fetched(void *context, const fetch_result_t *result)
{
	config_t *config = context;
	bool ok = result->state != NULL;

	if (!ok) {
		log_event(LOG_WARN, "config_fetch_failed",
			  LOG_UINT("version", result->head->version),
			  LOG_CSTR("reason", result->failure));
	} else if (result->head->version > config->sync.current.version) {
		put_into_effect(config, result);
	} else {
		state_unref(result->state);
	}
	end_fetch(config, ok);
	if (ok && config->callbacks.changed)
		config->callbacks.changed(config->callbacks.context,
					  config->state);
	run_due_steps(config);
}

/* Returns whether a head has the announced version and this deployment. */
static bool is_wanted(const config_t *config, const head_t *head)
{
	return head->version == config->wanted.version &&
	       strcmp(head->deployment, config->deployment) == 0;
}

/* Checks the head of a wanted version, and fetches the version's objects. */
static void on_head(void *context, GBytes *bytes)
{
	config_t *config = context;
	fetch_source_t source = objects_source(&config->objects);
	head_t head;

	if (config->finishing)
		return;
	if (!bytes || !head_parse(&head, bytes_text(bytes)) ||
	    !is_wanted(config, &head)) {
		log_event(LOG_WARN, "config_head_refused",
			  LOG_UINT("version", config->wanted.version),
			  LOG_INT("received", bytes != NULL));
		end_fetch(config, false);
		run_due_steps(config);
		return;
	}
	config->head_text = g_bytes_ref(bytes);
	config->fetch = fetch_new(&source, &head, &config->manifest, on_fetched,
				  config);
	fetch_run(config->fetch);
}

/* Starts a fetch by reading its head, which the last poll may have read. */
static void start_fetch(config_t *config, const sync_action_t *action)
{
	config->wanted = action->version;
	objects_set_sources(&config->objects, action);
	if (config->polled_text &&
	    !strcmp(config->polled.hash, config->wanted.hash))
		on_head(config, config->polled_text);
	else
		objects_get(&config->objects, config->wanted.hash, 0, on_head,
			    config);
}

/* Ends the polls and fetches in progress and frees the memory. */
void config_finish(config_t *config)
{
	if (config->timer)
		g_source_remove(config->timer);
	platform_cancel(config->poll);
	fetch_free(config->fetch);
	config->finishing = true;
	objects_finish(&config->objects);
	state_unref(config->state);
	manifest_finish(&config->manifest);
	g_clear_pointer(&config->head_text, g_bytes_unref);
	g_clear_pointer(&config->polled_text, g_bytes_unref);
	g_free(config->row_key);
	g_free(config->zone);
}

/* Stores the head in a polled row until the next one is polled. Returns false
 * if the row is malformed or of another deployment.
 */
static bool store_polled_head(config_t *config, GBytes *body)
{
	head_t head;

	if (!head_parse(&head, bytes_text(body)) ||
	    strcmp(head.deployment, config->deployment) != 0) {
		log_event(LOG_ERROR, "config_row_malformed",
			  LOG_UINT("bytes", g_bytes_get_size(body)));
		return false;
	}
	config->polled.version = head.version;
	manifest_hash(bytes_text(body), config->polled.hash);
	g_clear_pointer(&config->polled_text, g_bytes_unref);
	config->polled_text = g_bytes_ref(body);
	return true;
}

/* Handles the end of a poll of the platform. */
static void on_polled(void *context, const platform_answer_t *answer)
{
	config_t *config = context;
	sync_poll_t result = SYNC_POLL_FAILED;

	config->poll = NULL;
	if (answer->outcome == PLATFORM_NOT_FOUND)
		result = SYNC_POLL_ABSENT;
	else if (answer->outcome == PLATFORM_DONE &&
		 store_polled_head(config, answer->body))
		result = SYNC_POLL_FOUND;
	sync_polled(&config->sync, result, &config->polled,
		    clock_now(&config->clock));
	run_due_steps(config);
}

/* Reads the deployment's row. Without a platform the poll fails at once. */
static void start_poll(config_t *config)
{
	int64_t now_us = clock_now(&config->clock);

	if (!config->platform) {
		sync_polled(&config->sync, SYNC_POLL_FAILED, NULL, now_us);
		return;
	}
	config->poll = platform_get(config->platform, config->row_key,
				    now_us + POLL_TIMEOUT_US, on_polled,
				    config);
}

/* Runs the steps that the timer was set for. */
static gboolean on_timer(gpointer data)
{
	config_t *config = data;

	config->timer = 0;
	run_due_steps(config);
	return G_SOURCE_REMOVE;
}

/* Sets the timer for the next step, or none if there is no next one. */
static void set_timer(config_t *config)
{
	int64_t now_us = clock_now(&config->clock);
	int64_t next_us = sync_next_us(&config->sync);

	if (config->timer)
		g_source_remove(config->timer);
	config->timer = 0;
	if (next_us == INT64_MAX)
		return;
	config->timer = g_timeout_add(
		next_us > now_us
			? (guint)((next_us - now_us) / CLOCK_US_PER_MS) + 1
			: 0,
		on_timer, config);
}

/* Starts the polls and fetches that are due and sets the timer for the next. */
static void run_due_steps(config_t *config)
{
	for (;;) {
		sync_action_t action =
			sync_step(&config->sync, clock_now(&config->clock));

		if (action.kind == SYNC_WAIT)
			break;
		if (action.kind == SYNC_POLL)
			start_poll(config);
		else
			start_fetch(config, &action);
	}
	counters_set(GAUGE_STATE_AGE_SECONDS, config_age_ms(config) / 1000);
	set_timer(config);
}

/* Sets the live members of the own zone, by VM name; see sync_set_zone(). */
void config_set_zone_members(config_t *config, const char *const *vms,
			     size_t n_vms)
{
	sync_set_zone(&config->sync, vms, n_vms);
	run_due_steps(config);
}

/*
 * Handles the configuration version in a peer's heartbeat. The address is the
 * peer's, for fetch_part. The age is the time in milliseconds since the peer's
 * version was confirmed, or -1 if it is not known.
 */
void config_heartbeat_received(config_t *config, const char *address,
			       const char *zone, uint64_t version,
			       const uint8_t hash[CONFIG_HASH_BYTES],
			       int64_t age_ms)
{
	sync_version_t received = {.version = version};

	hash_to_hex(hash, received.hash);
	sync_hear(&config->sync, address, strcmp(zone, config->zone) == 0,
		  &received,
		  age_ms < 0 ? SYNC_AGE_UNKNOWN : age_ms * CLOCK_US_PER_MS,
		  clock_now(&config->clock));
	run_due_steps(config);
}

/* Returns the version in effect and the hash of its head for heartbeats, or 0
 * and a hash of zeros if there is none.
 */
uint64_t config_version(const config_t *config, uint8_t hash[CONFIG_HASH_BYTES])
{
	const char *hex = config->sync.current.hash;

	memset(hash, 0, CONFIG_HASH_BYTES);
	if (config->sync.current.version == 0)
		return 0;
	for (size_t i = 0; i < CONFIG_HASH_BYTES; i++)
		hash[i] = (uint8_t)(g_ascii_xdigit_value(hex[2 * i]) * 16 +
				    g_ascii_xdigit_value(hex[2 * i + 1]));
	return config->sync.current.version;
}

/* Returns the milliseconds since the version in effect was confirmed, or -1 if
 * it never was.
 */
int64_t config_age_ms(const config_t *config)
{
	int64_t age_us = sync_age_us(&config->sync, clock_now(&config->clock));

	return age_us < 0 ? AGE_UNKNOWN_MS : age_us / CLOCK_US_PER_MS;
}

/* Returns an object for a peer, or NULL if it is not held. The reference is
 * borrowed.
 */
GBytes *config_find_object(const config_t *config,
			   const uint8_t hash[CONFIG_HASH_BYTES])
{
	char hex[MANIFEST_HASH_DIGITS + 1];

	hash_to_hex(hash, hex);
	return objects_find(&config->objects, hex);
}
