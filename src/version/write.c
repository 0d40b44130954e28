#include "version/write.h"

#include <inttypes.h>

/* Every entry starts with a str_t that is its name (or its only value). */
static int compare_names(gconstpointer a, gconstpointer b)
{
	const str_t *x = *(const str_t *const *)a;
	const str_t *y = *(const str_t *const *)b;
	int order = memcmp(x->data, y->data, MIN(x->len, y->len));

	return order ? order : (x->len > y->len) - (x->len < y->len);
}

G_STATIC_ASSERT(offsetof(model_t, name) == 0);
G_STATIC_ASSERT(offsetof(pool_t, name) == 0);
G_STATIC_ASSERT(offsetof(service_t, name) == 0);
G_STATIC_ASSERT(offsetof(backend_t, name) == 0);
G_STATIC_ASSERT(offsetof(workspace_t, name) == 0);

static GPtrArray *sort_entries(const void *entries, size_t n, size_t size)
{
	GPtrArray *sorted = g_ptr_array_sized_new((guint)n);

	for (size_t i = 0; i < n; i++)
		g_ptr_array_add(sorted, (char *)entries + i * size);
	g_ptr_array_sort(sorted, compare_names);
	return sorted;
}

static int compare_routes(gconstpointer a, gconstpointer b)
{
	const route_rule_t *x = *(const route_rule_t *const *)a;
	const route_rule_t *y = *(const route_rule_t *const *)b;
	const str_t *x_path = &x->path;
	const str_t *y_path = &y->path;
	const str_t *x_method = &x->method;
	const str_t *y_method = &y->method;
	int order = compare_names(&x_path, &y_path);

	return order ? order : compare_names(&x_method, &y_method);
}

/* Values are printable ASCII, so that only two characters need escaping. */
static void add_quoted(GString *out, str_t value)
{
	g_string_append_c(out, '"');
	for (size_t i = 0; i < value.len; i++) {
		if (value.data[i] == '"' || value.data[i] == '\\')
			g_string_append_c(out, '\\');
		g_string_append_c(out, value.data[i]);
	}
	g_string_append_c(out, '"');
}

static void add_str(GString *out, const char *key, str_t value)
{
	g_string_append_printf(out, "%s = ", key);
	add_quoted(out, value);
	g_string_append_c(out, '\n');
}

static void add_int(GString *out, const char *key, int64_t value)
{
	g_string_append_printf(out, "%s = %" PRId64 "\n", key, value);
}

static void add_bool(GString *out, const char *key, bool value)
{
	g_string_append_printf(out, "%s = %s\n", key, value ? "true" : "false");
}

/* The shortest text that reads back as the same value. Whole numbers have no
 * point; the reader accepts an integer where a float is expected.
 */
static void add_real(GString *out, const char *key, double value)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	for (int digits = 6; digits <= 17; digits++) {
		char format[8];

		g_snprintf(format, sizeof(format), "%%.%dg", digits);
		g_ascii_formatd(text, sizeof(text), format, value);
		if (g_ascii_strtod(text, NULL) == value)
			break;
	}
	g_string_append_printf(out, "%s = %s\n", key, text);
}

/* Arrays are split over lines, because the length of a line is bounded. */
static void add_names(GString *out, const char *key, GPtrArray *sorted)
{
	g_string_append_printf(out, "%s = [\n", key);
	for (guint i = 0; i < sorted->len; i++) {
		const str_t *name = sorted->pdata[i];

		add_quoted(out, *name);
		g_string_append(out, ",\n");
	}
	g_string_append(out, "]\n");
}

/* Text of the deployment's name and limits; it precedes all other text. */
void write_head(const state_t *state, GString *out)
{
	const state_limits_t *limits = &state->limits;

	add_str(out, "deployment", state->deployment);
	g_string_append(out, "[limits]\n");
	add_int(out, "max_header_bytes", limits->max_header_bytes);
	add_int(out, "max_body_bytes", limits->max_body_bytes);
	add_int(out, "max_requests", limits->max_requests);
	add_int(out, "max_queue", limits->max_queue);
	add_int(out, "receive_timeout_ms", limits->receive_timeout_ms);
	add_int(out, "piece_tokens", limits->piece_tokens);
	add_int(out, "transfers_per_link", limits->transfers_per_link);
	add_int(out, "kv_kept_ms", limits->kv_kept_ms);
	add_real(out, "retry_share", limits->retry_share);
}

/* Text of all zones. */
void write_zones(const state_t *state, GString *out)
{
	GPtrArray *sorted =
		sort_entries(state->zones, state->n_zones, sizeof(str_t));

	for (guint i = 0; i < sorted->len; i++) {
		const str_t *zone = sorted->pdata[i];

		g_string_append(out, "[[zones]]\n");
		add_str(out, "name", *zone);
	}
	g_ptr_array_unref(sorted);
}

static void write_model(const model_t *model, GString *out)
{
	GPtrArray *adapters =
		sort_entries(model->adapters, model->n_adapters, sizeof(str_t));

	g_string_append(out, "[[models]]\n");
	add_str(out, "name", model->name);
	add_str(out, "version", model->version);
	add_names(out, "adapters", adapters);
	g_ptr_array_unref(adapters);
}

/* Text of all models. */
void write_models(const state_t *state, GString *out)
{
	GPtrArray *sorted =
		sort_entries(state->models, state->n_models, sizeof(model_t));

	for (guint i = 0; i < sorted->len; i++)
		write_model(sorted->pdata[i], out);
	g_ptr_array_unref(sorted);
}

static void write_pool(const pool_t *pool, GString *out)
{
	g_string_append(out, "[[pools]]\n");
	add_str(out, "name", pool->name);
	add_str(out, "model", pool->model->name);
	add_str(out, "role",
		pool->role == ROLE_PREFILL ? STR("prefill") : STR("decode"));
	add_int(out, "kv_tokens", pool->kv_tokens);
	add_bool(out, "checks_fencing", pool->checks_fencing);
	add_int(out, "max_prefills", pool->max_prefills);
}

/* Text of all pools. */
void write_pools(const state_t *state, GString *out)
{
	GPtrArray *sorted =
		sort_entries(state->pools, state->n_pools, sizeof(pool_t));

	for (guint i = 0; i < sorted->len; i++)
		write_pool(sorted->pdata[i], out);
	g_ptr_array_unref(sorted);
}

static void write_routes(const service_t *service, GString *out)
{
	GPtrArray *sorted = g_ptr_array_new();

	for (size_t i = 0; i < service->n_routes; i++)
		g_ptr_array_add(sorted, &service->routes[i]);
	g_ptr_array_sort(sorted, compare_routes);
	for (guint i = 0; i < sorted->len; i++) {
		const route_rule_t *route = sorted->pdata[i];

		g_string_append(out, "[[services.routes]]\n");
		add_str(out, "method", route->method);
		add_str(out, "path", route->path);
		add_bool(out, "repeatable", route->repeatable);
	}
	g_ptr_array_unref(sorted);
}

static void write_service(const service_t *service, GString *out)
{
	bool is_model = service->kind == SERVICE_MODEL;

	g_string_append(out, "[[services]]\n");
	add_str(out, "name", service->name);
	add_str(out, "kind", is_model ? STR("model") : STR("plain"));
	if (is_model) {
		add_str(out, "prefill", service->prefill->name);
		add_str(out, "decode", service->decode->name);
		add_int(out, "inter_token_ms", service->inter_token_ms);
		add_int(out, "max_output_tokens", service->max_output_tokens);
	}
	if (service->adapter.len)
		add_str(out, "adapter", service->adapter);
	add_int(out, "priority", service->priority);
	add_real(out, "worth", service->worth);
	add_int(out, "first_token_ms", service->first_token_ms);
	add_int(out, "timeout_ms", service->timeout_ms);
	write_routes(service, out);
}

/* Text of all services. */
void write_services(const state_t *state, GString *out)
{
	GPtrArray *sorted = sort_entries(state->services, state->n_services,
					 sizeof(service_t));

	for (guint i = 0; i < sorted->len; i++)
		write_service(sorted->pdata[i], out);
	g_ptr_array_unref(sorted);
}

/* Text of one backend server. */
void write_backend(const backend_t *backend, GString *out)
{
	g_string_append(out, "[[backends]]\n");
	add_str(out, "name", backend->name);
	add_str(out, "address", backend->address);
	add_str(out, "zone", backend->zone);
	if (backend->pool)
		add_str(out, "pool", backend->pool->name);
	else
		add_str(out, "service", backend->service->name);
	if (backend->leaving)
		add_bool(out, "leaving", true);
}

/* Text of one workspace. */
void write_workspace(const workspace_t *workspace, GString *out)
{
	GPtrArray *services = g_ptr_array_new();

	for (size_t i = 0; i < workspace->n_services; i++)
		g_ptr_array_add(services, (gpointer)workspace->services[i]);
	g_ptr_array_sort(services, compare_names);
	g_string_append(out, "[[customers]]\n");
	add_str(out, "name", workspace->name);
	add_str(out, "token_sha256", workspace->token_sha256);
	add_names(out, "services", services);
	add_real(out, "weight", workspace->weight);
	add_real(out, "requests_s", workspace->requests_s);
	add_int(out, "concurrency", workspace->concurrency);
	g_ptr_array_unref(services);
}

/* Backend servers in order of their names; the array is owned by the caller. */
GPtrArray *write_sorted_backends(const state_t *state)
{
	return sort_entries(state->backends, state->n_backends,
			    sizeof(backend_t));
}

/* Workspaces in order of their names; the array is owned by the caller. */
GPtrArray *write_sorted_workspaces(const state_t *state)
{
	return sort_entries(state->workspaces, state->n_workspaces,
			    sizeof(workspace_t));
}

/* Text of a whole state. */
void write_state(const state_t *state, GString *out)
{
	GPtrArray *backends = write_sorted_backends(state);
	GPtrArray *workspaces = write_sorted_workspaces(state);

	write_head(state, out);
	write_zones(state, out);
	write_models(state, out);
	write_pools(state, out);
	write_services(state, out);
	for (guint i = 0; i < backends->len; i++)
		write_backend(backends->pdata[i], out);
	for (guint i = 0; i < workspaces->len; i++)
		write_workspace(workspaces->pdata[i], out);
	g_ptr_array_unref(backends);
	g_ptr_array_unref(workspaces);
}
