#include "version/route_table.h"

static void clear_split(gpointer data)
{
	table_split_t *split = data;

	g_free(split->service);
}

static void free_route(gpointer data)
{
	table_route_t *route = data;

	g_free(route->name);
	g_free(route->host);
	g_free(route->path_prefix);
	g_array_unref(route->split);
	g_free(route);
}

static void free_service(gpointer data)
{
	table_service_t *service = data;

	g_free(service->name);
	g_free(service->health_path);
	g_free(service);
}

/* Returns an empty table with one reference. */
route_table_t *route_table_new(int64_t version)
{
	route_table_t *table = g_new0(route_table_t, 1);

	table->refs = 1;
	table->version = version;
	table->routes = g_ptr_array_new_with_free_func(free_route);
	table->by_host =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
	table->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						free_service);
	return table;
}

/* Takes a reference. */
route_table_t *route_table_ref(route_table_t *table)
{
	table->refs++;
	return table;
}

/* Drops a reference; the last one frees the table. NULL is allowed. */
void route_table_unref(route_table_t *table)
{
	if (!table || --table->refs > 0)
		return;
	g_hash_table_unref(table->by_host);
	g_hash_table_unref(table->services);
	g_ptr_array_unref(table->routes);
	g_free(table);
}

/* Adds a route for the caller to fill in. */
table_route_t *route_table_add_route(route_table_t *table, const char *host)
{
	table_route_t *route = g_new0(table_route_t, 1);

	route->host = g_ascii_strdown(host, -1);
	route->split = g_array_new(FALSE, TRUE, sizeof(table_split_t));
	g_array_set_clear_func(route->split, clear_split);
	g_ptr_array_add(table->routes, route);
	return route;
}

/* Adds a service for the caller to fill in. */
table_service_t *route_table_add_service(route_table_t *table, const char *name)
{
	table_service_t *service = g_new0(table_service_t, 1);

	service->name = g_strdup(name);
	g_hash_table_replace(table->services, service->name, service);
	return service;
}

static gint by_prefix_length(gconstpointer a, gconstpointer b)
{
	const table_route_t *left = *(table_route_t *const *)a;
	const table_route_t *right = *(table_route_t *const *)b;
	size_t left_len = strlen(left->path_prefix);
	size_t right_len = strlen(right->path_prefix);

	return left_len < right_len ? 1 : left_len > right_len ? -1 : 0;
}

/* Builds the index after the last route was filled in. */
void route_table_seal(route_table_t *table)
{
	GHashTableIter iter;
	gpointer routes;

	for (guint i = 0; i < table->routes->len; i++) {
		table_route_t *route = g_ptr_array_index(table->routes, i);
		GPtrArray *of_host =
			g_hash_table_lookup(table->by_host, route->host);

		if (!of_host) {
			of_host = g_ptr_array_new();
			g_hash_table_insert(table->by_host, route->host,
					    of_host);
		}
		g_ptr_array_add(of_host, route);
	}
	g_hash_table_iter_init(&iter, table->by_host);
	while (g_hash_table_iter_next(&iter, NULL, &routes))
		g_ptr_array_sort(routes, by_prefix_length);
}

static str_t without_port(str_t host)
{
	const char *colon = host.len ? memrchr(host.data, ':', host.len) : NULL;

	/* The colons of an IPv6 address stand inside of brackets. */
	if (colon &&
	    !memchr(colon, ']', host.len - (size_t)(colon - host.data)))
		host.len = (size_t)(colon - host.data);
	return host;
}

/* Finds the route with the longest prefix of the path, or NULL. */
const table_route_t *route_table_match(const route_table_t *table, str_t host,
				       str_t path)
{
	str_t name = without_port(host);
	char *lower =
		g_ascii_strdown(name.data ? name.data : "", (gssize)name.len);
	GPtrArray *routes = g_hash_table_lookup(table->by_host, lower);

	g_free(lower);
	for (guint i = 0; routes && i < routes->len; i++) {
		const table_route_t *route = g_ptr_array_index(routes, i);

		if (str_has_prefix(path, str_from(route->path_prefix)))
			return route;
	}
	return NULL;
}

/* Finds a service by its name, or NULL. */
const table_service_t *route_table_service(const route_table_t *table,
					   const char *name)
{
	return g_hash_table_lookup(table->services, name);
}

/* Chooses a service by weight. NULL when the route has none. */
const char *table_route_pick(const table_route_t *route, uint64_t random)
{
	int64_t total = 0;

	for (guint i = 0; i < route->split->len; i++)
		total += g_array_index(route->split, table_split_t, i).weight;
	if (total <= 0)
		return NULL;
	random %= (uint64_t)total;
	for (guint i = 0; i < route->split->len; i++) {
		const table_split_t *split =
			&g_array_index(route->split, table_split_t, i);

		if (random < (uint64_t)split->weight)
			return split->service;
		random -= (uint64_t)split->weight;
	}
	return NULL;
}

/* Tells whether a request that may have run may be sent again. */
bool table_route_is_repeatable(const table_route_t *route)
{
	return route->kind == CALL_REPEATABLE;
}
