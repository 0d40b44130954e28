#include "version/read_entry.h"

static const char *const kind_names[] = {"model", "plain", NULL};

static const field_t service_fields[] = {
	FIELD(service_t, name, FIELD_NAME, .required = true),
	FIELD(service_t, kind, FIELD_CHOICE, .choices = kind_names,
	      .required = true),
	UNSTORED(prefill, FIELD_REFERENCE, .required = false),
	UNSTORED(decode, FIELD_REFERENCE, .required = false),
	FIELD(service_t, adapter, FIELD_NAME, .required = false),
	FIELD(service_t, worth, FIELD_REAL, .max = READ_MAX_COUNT,
	      .default_value = 1),
	FIELD(service_t, first_token_ms, FIELD_INTEGER, .min = 1,
	      .max = READ_DAY_MS, .default_value = 580),
	FIELD(service_t, inter_token_ms, FIELD_INTEGER, .min = 1,
	      .max = READ_DAY_MS, .default_value = 46),
	FIELD(service_t, timeout_ms, FIELD_INTEGER, .min = 1,
	      .max = READ_DAY_MS, .default_value = 60000),
	FIELD(service_t, max_output_tokens, FIELD_INTEGER, .min = 1,
	      .max = READ_MAX_COUNT, .default_value = 1024),
	UNSTORED(routes, FIELD_TABLES, .required = false),
	FIELD(service_t, priority, FIELD_INT, .max = 9, .default_value = 5),
};

static const field_t route_fields[] = {
	FIELD(route_rule_t, method, FIELD_TEXT, .min = 1, .max = 16,
	      .required = true),
	FIELD(route_rule_t, path, FIELD_TEXT, .min = 1, .max = 256,
	      .required = true),
	FIELD(route_rule_t, repeatable, FIELD_BOOL, .required = true),
};

static void check_role(const entry_t *entry, const char *key,
		       const pool_t *pool, role_t role)
{
	if (pool && pool->role != role)
		ERROR(entry, key,
		      "expected a pool with the role \"%s\", "
		      "\"%.*s\" has \"%s\"",
		      read_role_names[role], STR_ARG(pool->name),
		      read_role_names[pool->role]);
}

static void check_adapter(const entry_t *entry, const service_t *service)
{
	const model_t *model = service->decode ? service->decode->model : NULL;

	if (!model || service->adapter.len == 0)
		return;
	for (size_t i = 0; i < model->n_adapters; i++) {
		if (str_equal(model->adapters[i], service->adapter))
			return;
	}
	ERROR(entry, "adapter", "expected an adapter of the model \"%.*s\"",
	      STR_ARG(model->name));
}

static void check_model_service(const entry_t *entry, const service_t *service)
{
	const pool_t *prefill = service->prefill;
	const pool_t *decode = service->decode;

	if (!read_has(entry, "prefill"))
		ERROR(entry, "prefill", "missing key, expected a pool");
	if (!read_has(entry, "decode"))
		ERROR(entry, "decode", "missing key, expected a pool");
	if (read_has(entry, "routes"))
		ERROR(entry, "routes", "expected only in plain services");
	check_role(entry, "prefill", prefill, ROLE_PREFILL);
	check_role(entry, "decode", decode, ROLE_DECODE);
	if (prefill && decode && prefill->model && decode->model &&
	    prefill->model != decode->model)
		ERROR(entry, "decode",
		      "expected a pool with the model of the "
		      "prefill pool");
	/* A request reserves memory for its prompt and its whole output. */
	if (decode && decode->kv_tokens > 0 &&
	    service->max_output_tokens >= decode->kv_tokens)
		ERROR(entry, "max_output_tokens",
		      "expected less than kv_tokens of the decode pool, %ld",
		      (long)decode->kv_tokens);
	check_adapter(entry, service);
}

static void check_plain_service(const entry_t *entry)
{
	static const char *const model_only[] = {"prefill", "decode", "adapter",
						 "inter_token_ms",
						 "max_output_tokens"};

	for (size_t i = 0; i < G_N_ELEMENTS(model_only); i++) {
		if (read_has(entry, model_only[i]))
			ERROR(entry, model_only[i],
			      "expected only in model services");
	}
	if (fields_array_length(entry->table, "routes") == 0)
		ERROR(entry, "routes", "expected at least one route");
}

static bool is_method(str_t text)
{
	if (str_equal(text, STR("*")))
		return true;
	for (size_t i = 0; i < text.len; i++) {
		if (!g_ascii_isupper(text.data[i]))
			return false;
	}
	return true;
}

static void check_route(const entry_t *entry, const service_t *service,
			size_t i)
{
	const route_rule_t *route = &service->routes[i];

	if (!is_method(route->method))
		ERROR(entry, "method",
		      "expected an upper-case method or "
		      "\"*\"");
	if (route->path.len && route->path.data[0] != '/')
		ERROR(entry, "path", "expected a path that starts with '/'");
	for (size_t j = 0; j < i; j++) {
		if (route->path.len &&
		    str_equal(route->path, service->routes[j].path) &&
		    str_equal(route->method, service->routes[j].method))
			ERROR(entry, "path",
			      "expected a unique method and "
			      "path, routes[%zu] has the same",
			      j);
	}
}

static void read_routes(const entry_t *entry, service_t *service)
{
	size_t n = fields_array_length(entry->table, "routes");

	service->routes = g_new0(route_rule_t, n);
	service->n_routes = n;
	for (size_t i = 0; i < n; i++) {
		char *path = g_strdup_printf("%s.routes[%zu]", entry->path, i);
		entry_t route = {
			entry->context,
			fields_array_element(entry->table, "routes", i), path};

		if (route.table->kind == TOML_TABLE) {
			READ(&route, route_fields, &service->routes[i]);
			check_route(&route, service, i);
		}
		g_free(path);
	}
}

/* Reads and checks the service with this index. */
void read_service(const entry_t *entry, size_t i)
{
	context_t *context = entry->context;
	service_t *service = &context->state->services[i];
	const toml_node_t *kind = toml_get(entry->table, "kind");

	READ(entry, service_fields, service);
	service->prefill =
		read_reference(entry, "prefill", context->pools, "pools");
	service->decode =
		read_reference(entry, "decode", context->pools, "pools");
	read_routes(entry, service);
	if (kind && kind->kind == TOML_STRING &&
	    str_equal(kind->string, STR("plain")))
		check_plain_service(entry);
	else if (kind)
		check_model_service(entry, service);
	read_unique(entry, context->services, "name", service->name, service);
}
