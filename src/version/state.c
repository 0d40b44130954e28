#include "version/state.h"

#include "version/read.h"

/*
 * Checks a desired state that has been read from TOML. On success the caller
 * owns one reference. On failure every error is added and *state is NULL.
 */
bool state_from_tree(const toml_node_t *root, const char *name, state_t **state,
		     diag_t *diag)
{
	guint errors_before = diag->entries->len;
	state_t *parsed = g_new0(state_t, 1);

	*state = NULL;
	parsed->refs = 1;
	parsed->strings = g_string_chunk_new(4096);
	parsed->by_token = g_hash_table_new(g_str_hash, g_str_equal);
	read_state(root, name, parsed, diag);
	if (diag->entries->len == errors_before) {
		*state = parsed;
		return true;
	}
	state_unref(parsed);
	return false;
}

/* Parses a text and checks it as state_from_tree(). */
bool state_parse(const char *text, size_t len, const char *name,
		 state_t **state, diag_t *diag)
{
	toml_node_t *root;
	bool ok;

	*state = NULL;
	if (!toml_parse(text, len, name, &root, diag))
		return false;
	ok = state_from_tree(root, name, state, diag);
	toml_free(root);
	return ok;
}

/* Adds a reference. The state belongs to the main loop's thread. */
state_t *state_ref(state_t *state)
{
	state->refs++;
	return state;
}

static void free_state(state_t *state)
{
	for (size_t i = 0; i < state->n_models; i++)
		g_free(state->models[i].adapters);
	for (size_t i = 0; i < state->n_services; i++)
		g_free(state->services[i].routes);
	for (size_t i = 0; i < state->n_workspaces; i++)
		g_free(state->workspaces[i].services);
	g_free(state->zones);
	g_free(state->models);
	g_free(state->pools);
	g_free(state->services);
	g_free(state->backends);
	g_free(state->workspaces);
	g_hash_table_unref(state->by_token);
	g_string_chunk_free(state->strings);
	g_free(state);
}

/* Drops a reference; the last one frees the state. NULL is allowed. */
void state_unref(state_t *state)
{
	if (state && --state->refs == 0)
		free_state(state);
}

/* Returns the service with this name, or NULL. */
const service_t *state_find_service(const state_t *state, str_t name)
{
	for (size_t i = 0; i < state->n_services; i++) {
		if (str_equal(state->services[i].name, name))
			return &state->services[i];
	}
	return NULL;
}

/* Returns the workspace whose token has this hash, or NULL. */
const workspace_t *state_find_workspace(const state_t *state,
					const char *token_sha256)
{
	return g_hash_table_lookup(state->by_token, token_sha256);
}

/* Tells whether the workspace is allowed to call the service. */
bool workspace_may_call(const workspace_t *workspace, const service_t *service)
{
	for (size_t i = 0; i < workspace->n_services; i++) {
		if (workspace->services[i] == service)
			return true;
	}
	return false;
}

static bool route_matches(const route_rule_t *route, str_t method, str_t path)
{
	return str_has_prefix(path, route->path) &&
	       (str_equal(route->method, STR("*")) ||
		str_equal(route->method, method));
}

static bool is_more_specific(const route_rule_t *a, const route_rule_t *b)
{
	if (!b || a->path.len != b->path.len)
		return !b || a->path.len > b->path.len;
	return str_equal(b->method, STR("*"));
}

/*
 * Returns the route that applies to a call, or NULL when none does. The
 * longest prefix applies; with equal prefixes, a named method precedes "*".
 */
const route_rule_t *service_find_route(const service_t *service, str_t method,
				       str_t path)
{
	const route_rule_t *best = NULL;

	for (size_t i = 0; i < service->n_routes; i++) {
		const route_rule_t *route = &service->routes[i];

		if (route_matches(route, method, path) &&
		    is_more_specific(route, best))
			best = route;
	}
	return best;
}
