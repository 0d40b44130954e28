/* The parts of a router that depend on the platform or on the other serve
 * processes: following the configuration and controlling the zone's engines.
 */
#include "process/counters.h"
#include "process/router.h"

/* Reads a configuration object from a peer. */
static void fetch_part(void *context, const char *address, const char *hash,
		       uint64_t size, int64_t deadline_us,
		       config_part_done_t done, void *done_context)
{
	router_t *router = context;

	object_transfer_fetch(&router->object_transfer, address, hash, size,
			      deadline_us, done, done_context);
}

/* Returns a new reference to an object of the configuration, or NULL. */
static GBytes *find_object(void *context, const uint8_t hash[PEER_HASH_BYTES])
{
	router_t *router = context;
	GBytes *bytes = config_find_object(&router->config, hash);

	return bytes ? g_bytes_ref(bytes) : NULL;
}

/* Puts a fetched version into effect and announces it in heartbeats. */
static void on_config_changed(void *context, state_t *state)
{
	router_t *router = context;
	uint8_t hash[CONFIG_HASH_BYTES];
	uint64_t version = config_version(&router->config, hash);

	router_set_state(router, state_ref(state));
	fleet_set_config(&router->fleet, version, hash);
	control_set_state(&router->control, state);
}

/* Keeps new work away from the engines that the zone's control drains. */
static void on_drains_changed(void *context)
{
	router_t *router = context;
	GPtrArray *entries = router->backends.entries;

	for (guint i = 0; i < entries->len; i++) {
		backend_entry_t *entry = g_ptr_array_index(entries, i);

		backends_set_leaving(entry, LEAVING_SOURCE_DRAIN,
				     control_is_draining(&router->control,
							 entry->name));
	}
}

/* Handles the configuration version in a peer's heartbeat; its age is not known
 * from there.
 */
void router_config_heartbeat_received(router_t *router, const member_t *member)
{
	if (router->has_platform)
		config_heartbeat_received(&router->config, member->info.address,
					  member->info.zone,
					  member->config_version,
					  member->manifest, -1);
}

/* Updates the live members of the own zone, one of which reads the platform. */
void router_config_update_members(router_t *router)
{
	const members_t *members = &router->fleet.members;
	const char *zone = router->settings->zone;
	GPtrArray *vms;

	if (!router->has_platform)
		return;
	vms = g_ptr_array_new();
	g_ptr_array_add(vms, router->settings->vm);
	for (guint i = 0; i < members->list->len; i++) {
		const member_t *member = g_ptr_array_index(members->list, i);

		if (member_is_live(member) && !strcmp(member->info.zone, zone))
			g_ptr_array_add(vms, (gpointer)member->info.vm);
	}
	config_set_zone_members(&router->config,
				(const char *const *)vms->pdata, vms->len);
	control_members_changed(&router->control);
	g_ptr_array_unref(vms);
}

/* Starts following the platform's configuration version and taking part in the
 * control of the zone's engines. The platform client must be set up.
 */
void router_config_start(router_t *router)
{
	config_callbacks_t callbacks = {
		.fetch_part = fetch_part,
		.changed = on_config_changed,
		.context = router,
	};
	const settings_t *settings = router->settings;

	object_transfer_init(&router->object_transfer, &router->rpc,
			     find_object, router);
	control_init(&router->control, settings, &router->fleet,
		     &router->platform, &router->client, on_drains_changed,
		     router);
	config_init(&router->config, settings->deployment, settings->vm,
		    settings->zone, &router->platform, router->clock,
		    router->id_prefix, &callbacks);
	config_start(&router->config);
}

/* Stops what router_config_start() has started. */
void router_config_finish(router_t *router)
{
	control_finish(&router->control);
	object_transfer_finish(&router->object_transfer);
	config_finish(&router->config);
}

/* Updates the gauges that grow with time. */
void router_update_gauges(router_t *router)
{
	if (router->has_platform)
		counters_set(GAUGE_STATE_AGE_SECONDS,
			     config_age_ms(&router->config) / 1000);
}
