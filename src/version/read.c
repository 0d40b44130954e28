#include "version/read_entry.h"

static const field_t root_fields[] = {
	FIELD(state_t, deployment, FIELD_NAME, .required = true),
	UNSTORED(limits, FIELD_TABLE, .required = false),
	UNSTORED(zones, FIELD_TABLES, .required = true),
	UNSTORED(models, FIELD_TABLES, .required = false),
	UNSTORED(pools, FIELD_TABLES, .required = false),
	UNSTORED(services, FIELD_TABLES, .required = true),
	UNSTORED(backends, FIELD_TABLES, .required = false),
	UNSTORED(customers, FIELD_TABLES, .required = false),
};

static const field_t limits_fields[] = {
	FIELD(state_limits_t, max_header_bytes, FIELD_INTEGER, .min = 1024,
	      .max = 1048576, .default_value = 16384),
	FIELD(state_limits_t, max_body_bytes, FIELD_INTEGER, .min = 1024,
	      .max = 268435456, .default_value = 4194304),
	FIELD(state_limits_t, max_requests, FIELD_INTEGER, .min = 1,
	      .max = 100000, .default_value = 2000),
	FIELD(state_limits_t, max_queue, FIELD_INTEGER, .min = 0, .max = 100000,
	      .default_value = 500),
	FIELD(state_limits_t, receive_timeout_ms, FIELD_INTEGER, .min = 10,
	      .max = 600000, .default_value = 10000),
	FIELD(state_limits_t, piece_tokens, FIELD_INTEGER, .min = 1,
	      .max = 1000000, .default_value = 2000),
	FIELD(state_limits_t, transfers_per_link, FIELD_INTEGER, .min = 1,
	      .max = 1000, .default_value = 4),
	FIELD(state_limits_t, kv_kept_ms, FIELD_INTEGER, .min = 1, .max = 60000,
	      .default_value = 900),
	FIELD(state_limits_t, retry_share, FIELD_REAL, .min = 0, .max = 1,
	      .default_value = 0.1),
};

static const field_t zone_fields[] = {
	{.key = "name", .kind = FIELD_NAME, .required = true},
};

static const field_t model_fields[] = {
	FIELD(model_t, name, FIELD_NAME, .required = true),
	FIELD(model_t, version, FIELD_NAME, .required = true),
	UNSTORED(adapters, FIELD_NAMES, .required = false),
};

/* In the order of role_t. */
const char *const read_role_names[] = {"prefill", "decode", NULL};

static const field_t pool_fields[] = {
	FIELD(pool_t, name, FIELD_NAME, .required = true),
	UNSTORED(model, FIELD_REFERENCE, .required = true),
	FIELD(pool_t, role, FIELD_CHOICE, .choices = read_role_names,
	      .required = true),
	FIELD(pool_t, kv_tokens, FIELD_INTEGER, .required = true, .min = 1,
	      .max = READ_MAX_COUNT),
	FIELD(pool_t, checks_fencing, FIELD_BOOL, .default_value = 0),
	FIELD(pool_t, max_prefills, FIELD_INTEGER, .min = 1, .max = 10000,
	      .default_value = 4),
};

static const field_t backend_fields[] = {
	FIELD(backend_t, name, FIELD_NAME, .required = true),
	FIELD(backend_t, address, FIELD_ADDRESS, .required = true),
	FIELD(backend_t, zone, FIELD_NAME, .required = true),
	UNSTORED(pool, FIELD_REFERENCE, .required = false),
	UNSTORED(service, FIELD_REFERENCE, .required = false),
	FIELD(backend_t, leaving, FIELD_BOOL, .default_value = 0),
};

static const field_t workspace_fields[] = {
	FIELD(workspace_t, name, FIELD_NAME, .required = true),
	FIELD(workspace_t, token_sha256, FIELD_SHA256, .required = true),
	UNSTORED(services, FIELD_NAMES, .required = true),
	FIELD(workspace_t, weight, FIELD_REAL, .min = 0.001, .max = 1000,
	      .default_value = 1),
	FIELD(workspace_t, requests_s, FIELD_REAL, .max = READ_MAX_COUNT,
	      .default_value = 0),
	FIELD(workspace_t, concurrency, FIELD_INTEGER, .max = READ_MAX_COUNT,
	      .default_value = 0),
};

/* Tells whether the table has the key, valid or not. */
bool read_has(const entry_t *entry, const char *key)
{
	return toml_get(entry->table, key) != NULL;
}

/* Enters a name, address or token hash that must be unique in its table. */
void read_unique(const entry_t *entry, GHashTable *seen, const char *key,
		 str_t value, void *target)
{
	if (value.len == 0)
		return;
	if (g_hash_table_contains(seen, value.data))
		ERROR(entry, key,
		      "expected a unique value, \"%.*s\" is used "
		      "by an earlier entry",
		      STR_ARG(value));
	else
		g_hash_table_insert(seen, (gpointer)value.data, target);
}

/*
 * Resolves a key that names an entry of another table. Returns NULL when the
 * key is absent or not a valid name (already reported) or names no entry,
 * which is reported here.
 */
void *read_reference(const entry_t *entry, const char *key, GHashTable *known,
		     const char *table)
{
	const toml_node_t *value = toml_get(entry->table, key);
	void *target;
	char *name;

	if (!value || value->kind != TOML_STRING ||
	    !fields_is_name(value->string))
		return NULL;
	name = str_dup(value->string);
	target = g_hash_table_lookup(known, name);
	if (!target)
		ERROR(entry, key,
		      "expected the name of one of the %s, found "
		      "\"%s\"",
		      table, name);
	g_free(name);
	return target;
}

static void read_zone(const entry_t *entry, size_t i)
{
	str_t *zone = &entry->context->state->zones[i];

	READ(entry, zone_fields, zone);
	read_unique(entry, entry->context->zones, "name", *zone, zone);
}

static void read_adapters(const entry_t *entry, model_t *model)
{
	size_t n = fields_array_length(entry->table, "adapters");

	model->adapters = g_new0(str_t, n);
	for (size_t i = 0; i < n; i++) {
		const toml_node_t *name =
			fields_array_element(entry->table, "adapters", i);

		if (name->kind != TOML_STRING)
			continue;
		for (size_t j = 0; j < model->n_adapters; j++) {
			if (str_equal(model->adapters[j], name->string))
				ERROR(entry, "adapters",
				      "expected unique names, \"%.*s\" is "
				      "repeated",
				      STR_ARG(name->string));
		}
		model->adapters[model->n_adapters++] =
			fields_copy_text(&entry->context->reader, name->string);
	}
}

static void read_model(const entry_t *entry, size_t i)
{
	model_t *model = &entry->context->state->models[i];

	READ(entry, model_fields, model);
	read_adapters(entry, model);
	read_unique(entry, entry->context->models, "name", model->name, model);
}

static void read_pool(const entry_t *entry, size_t i)
{
	pool_t *pool = &entry->context->state->pools[i];

	READ(entry, pool_fields, pool);
	pool->model = read_reference(entry, "model", entry->context->models,
				     "models");
	read_unique(entry, entry->context->pools, "name", pool->name, pool);
}

static void check_backend(const entry_t *entry, const backend_t *backend)
{
	GHashTable *zones = entry->context->zones;

	if (read_has(entry, "pool") == read_has(entry, "service"))
		ERROR(entry, read_has(entry, "pool") ? "service" : "pool",
		      "expected either a pool or a service");
	if (backend->service && backend->service->kind != SERVICE_PLAIN)
		ERROR(entry, "service", "expected a plain service");
	if (backend->zone.len &&
	    !g_hash_table_contains(zones, backend->zone.data))
		ERROR(entry, "zone",
		      "expected the name of one of the zones, "
		      "found \"%.*s\"",
		      STR_ARG(backend->zone));
}

static void read_backend(const entry_t *entry, size_t i)
{
	context_t *context = entry->context;
	backend_t *backend = &context->state->backends[i];

	READ(entry, backend_fields, backend);
	backend->pool = read_reference(entry, "pool", context->pools, "pools");
	backend->service =
		read_reference(entry, "service", context->services, "services");
	check_backend(entry, backend);
	read_unique(entry, context->backends, "name", backend->name, backend);
	read_unique(entry, context->addresses, "address", backend->address,
		    backend);
}

static void add_service(const entry_t *entry, workspace_t *workspace,
			str_t name)
{
	const service_t *service =
		state_find_service(entry->context->state, name);

	if (!service) {
		ERROR(entry, "services",
		      "expected names of services, found "
		      "\"%.*s\"",
		      STR_ARG(name));
		return;
	}
	if (workspace_may_call(workspace, service))
		ERROR(entry, "services",
		      "expected unique names, \"%.*s\" is "
		      "repeated",
		      STR_ARG(name));
	else
		workspace->services[workspace->n_services++] = service;
}

static void read_workspace(const entry_t *entry, size_t i)
{
	context_t *context = entry->context;
	workspace_t *workspace = &context->state->workspaces[i];
	size_t n = fields_array_length(entry->table, "services");

	READ(entry, workspace_fields, workspace);
	workspace->services = g_new0(const service_t *, n);
	for (size_t j = 0; j < n; j++) {
		const toml_node_t *name =
			fields_array_element(entry->table, "services", j);

		if (name->kind == TOML_STRING && fields_is_name(name->string))
			add_service(entry, workspace, name->string);
	}
	read_unique(entry, context->workspaces, "name", workspace->name,
		    workspace);
	read_unique(entry, context->state->by_token, "token_sha256",
		    workspace->token_sha256, workspace);
}

static void read_limits(context_t *context, const toml_node_t *root)
{
	static const toml_node_t none = {.kind = TOML_TABLE};
	const toml_node_t *limits = toml_get(root, "limits");
	entry_t entry = {context, &none, "limits"};

	if (limits && limits->kind == TOML_TABLE)
		entry.table = limits;
	READ(&entry, limits_fields, &context->state->limits);
}

static void read_tables(context_t *context, const toml_node_t *root,
			const char *key,
			void (*read)(const entry_t *entry, size_t i))
{
	size_t n = fields_array_length(root, key);

	for (size_t i = 0; i < n; i++) {
		char *path = g_strdup_printf("%s[%zu]", key, i);
		entry_t entry = {context, fields_array_element(root, key, i),
				 path};

		if (entry.table->kind == TOML_TABLE)
			read(&entry, i);
		g_free(path);
	}
}

/* Entries are referred to by address, so the arrays get their final size
 * before any entry is read.
 */
static void allocate_tables(state_t *state, const toml_node_t *root)
{
	state->n_zones = fields_array_length(root, "zones");
	state->zones = g_new0(str_t, state->n_zones);
	state->n_models = fields_array_length(root, "models");
	state->models = g_new0(model_t, state->n_models);
	state->n_pools = fields_array_length(root, "pools");
	state->pools = g_new0(pool_t, state->n_pools);
	state->n_services = fields_array_length(root, "services");
	state->services = g_new0(service_t, state->n_services);
	state->n_backends = fields_array_length(root, "backends");
	state->backends = g_new0(backend_t, state->n_backends);
	state->n_workspaces = fields_array_length(root, "customers");
	state->workspaces = g_new0(workspace_t, state->n_workspaces);
}

static void check_zones(context_t *context, const toml_node_t *root)
{
	const toml_node_t *zones = toml_get(root, "zones");

	if (zones && zones->kind == TOML_ARRAY && zones->n_children == 0)
		fields_error(&context->reader, root, "", "zones",
			     "expected at least one zone");
}

/*
 * Reads a tree into an empty state and adds every error found. With an error,
 * the state may only be freed.
 */
void read_state(const toml_node_t *root, const char *file, state_t *state,
		diag_t *diag)
{
	context_t context = {
		.reader = {file, diag, state->strings},
		.state = state,
	};
	GHashTable **sets[] = {&context.zones,	   &context.models,
			       &context.pools,	   &context.services,
			       &context.backends,  &context.addresses,
			       &context.workspaces};

	for (size_t i = 0; i < G_N_ELEMENTS(sets); i++)
		*sets[i] = g_hash_table_new(g_str_hash, g_str_equal);
	allocate_tables(state, root);
	fields_read(&context.reader, root, "", root_fields,
		    G_N_ELEMENTS(root_fields), state);
	read_limits(&context, root);
	check_zones(&context, root);
	read_tables(&context, root, "zones", read_zone);
	read_tables(&context, root, "models", read_model);
	read_tables(&context, root, "pools", read_pool);
	read_tables(&context, root, "services", read_service);
	read_tables(&context, root, "backends", read_backend);
	read_tables(&context, root, "customers", read_workspace);
	for (size_t i = 0; i < G_N_ELEMENTS(sets); i++)
		g_hash_table_unref(*sets[i]);
}

/* Tells whether a key belongs to the top level of a desired state. */
bool read_has_key(str_t key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(root_fields); i++) {
		if (str_equal(str_from(root_fields[i].key), key))
			return true;
	}
	return false;
}
