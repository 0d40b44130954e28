#include "process/status.h"

/* Adds a member with a string to the open object. */
static void add_string(JsonBuilder *builder, const char *key, const char *value)
{
	json_builder_set_member_name(builder, key);
	json_builder_add_string_value(builder, value);
}

/* Adds a member with an integer to the open object. */
static void add_int(JsonBuilder *builder, const char *key, int64_t value)
{
	json_builder_set_member_name(builder, key);
	json_builder_add_int_value(builder, value);
}

/* Adds a member with a Boolean to the open object. */
static void add_bool(JsonBuilder *builder, const char *key, bool value)
{
	json_builder_set_member_name(builder, key);
	json_builder_add_boolean_value(builder, value);
}

/* Adds one backend server. The age of its report is -1 if there is none. */
static void add_backend(JsonBuilder *builder, const backend_entry_t *entry,
			int64_t now_us)
{
	json_builder_begin_object(builder);
	add_string(builder, "name", entry->name);
	add_string(builder, "address", entry->address);
	add_string(builder, "zone", entry->zone);
	add_string(builder, "pool", entry->pool);
	add_string(builder, "service", entry->service);
	add_bool(builder, "usable", backends_usable(entry, now_us));
	add_bool(builder, "leaving", entry->leaving);
	add_int(builder, "kv_total", entry->kv_total);
	add_int(builder, "kv_used", entry->kv_used);
	add_int(builder, "running", entry->running);
	add_int(builder, "queued", entry->queued);
	add_int(builder, "report_age_ms",
		entry->reported_at_us
			? (now_us - entry->reported_at_us) / CLOCK_US_PER_MS
			: -1);
	json_builder_end_object(builder);
}

/* Names of the member states in the status. */
static const char *const member_states[] = {
	[MEMBER_ALIVE] = "alive",     [MEMBER_LEAVING] = "leaving",
	[MEMBER_SUSPECT] = "suspect", [MEMBER_DEAD] = "dead",
	[MEMBER_LEFT] = "left",
};

/* Adds one member of the deployment. */
static void add_member(JsonBuilder *builder, const member_t *member)
{
	json_builder_begin_object(builder);
	add_string(builder, "vm", member->info.vm);
	add_string(builder, "zone", member->info.zone);
	add_string(builder, "address", member->info.address);
	add_string(builder, "state", member_states[member->info.state]);
	add_int(builder, "version", (int64_t)member->config_version);
	json_builder_end_object(builder);
}

/* Adds the array of all members. */
static void add_members(JsonBuilder *builder, const router_t *router)
{
	const members_t *members = &router->fleet.members;

	json_builder_set_member_name(builder, "members");
	json_builder_begin_array(builder);
	for (guint i = 0; i < members->list->len; i++)
		add_member(builder, g_ptr_array_index(members->list, i));
	json_builder_end_array(builder);
}

/* Adds the array of leases, which holds that of the own zone. */
static void add_leases(JsonBuilder *builder, const router_t *router)
{
	const lease_t *lease = &router->control.lease;
	int64_t now_us = clock_now(&router->clock);

	json_builder_set_member_name(builder, "leases");
	json_builder_begin_array(builder);
	json_builder_begin_object(builder);
	add_string(builder, "zone", router->settings->zone);
	add_bool(builder, "held", lease_may_send(lease, now_us));
	add_int(builder, "fence", (int64_t)lease->token);
	json_builder_end_object(builder);
	json_builder_end_array(builder);
}

/* Appends the members of the status object to an object that is open. */
void status_append(JsonBuilder *builder, router_t *router)
{
	int64_t now_us = clock_now(&router->clock);
	GPtrArray *entries = router->backends.entries;

	add_string(builder, "deployment", router->settings->deployment);
	add_string(builder, "vm", router->settings->vm);
	add_string(builder, "zone", router->settings->zone);
	add_int(builder, "incarnation", (int64_t)router->incarnation);
	add_bool(builder, "draining", router->draining);
	add_int(builder, "version",
		router->state ? (int64_t)router->state->version : -1);
	add_int(builder, "requests", g_queue_get_length(&router->requests));
	if (router->joined)
		add_members(builder, router);
	if (router->has_platform) {
		add_int(builder, "version_age_ms",
			config_age_ms(&router->config));
		add_leases(builder, router);
	}
	json_builder_set_member_name(builder, "backends");
	json_builder_begin_array(builder);
	for (guint i = 0; i < entries->len; i++)
		add_backend(builder, g_ptr_array_index(entries, i), now_us);
	json_builder_end_array(builder);
}

/* Returns the status as JSON text of `len` bytes. The caller frees it with
 * g_free().
 */
char *status_to_json(router_t *router, gsize *len)
{
	JsonBuilder *builder = json_builder_new();
	JsonGenerator *generator = json_generator_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(builder);
	status_append(builder, router);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	json_generator_set_root(generator, root);
	text = json_generator_to_data(generator, len);
	json_node_unref(root);
	g_object_unref(generator);
	g_object_unref(builder);
	return text;
}
