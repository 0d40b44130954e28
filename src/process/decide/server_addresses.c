#include "process/decide/server_addresses.h"

/* Frees the servers of an address, which are borrowed. */
static void free_servers(gpointer data)
{
	g_ptr_array_unref(data);
}

/* Returns an empty table of address to the servers that name it. */
GHashTable *server_addresses_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_servers);
}

/*
 * Returns whether an address is rather a server's than another one's, which was added
 * before it. What the address itself has answered tells most, then whether the list
 * still names them, then the time of their start. Without that the row decides that was
 * written last: a server that is gone writes none. The order in which rows are read says
 * nothing, as a full read is in the order of their keys.
 */
static bool is_preferred(const server_t *server, const server_t *other)
{
	int64_t started_ms = server->entry.started_ms;
	int64_t other_started_ms = other->entry.started_ms;

	if (server->misdirected != other->misdirected)
		return other->misdirected;
	if ((server->expires_us != 0) != (other->expires_us != 0))
		return other->expires_us != 0;
	if (!server_is_same_start(started_ms, other_started_ms))
		return started_ms > other_started_ms;
	return server->entry.row_version >= other->entry.row_version;
}

/* Returns one of the servers that name an address. */
static server_t *server_at(const GPtrArray *servers, guint i)
{
	return g_ptr_array_index(servers, i);
}

/* Chooses the server of an address among those that name it. */
static void choose(const GPtrArray *servers)
{
	guint chosen = 0;

	for (guint i = 1; i < servers->len; i++) {
		if (is_preferred(server_at(servers, i),
				 server_at(servers, chosen)))
			chosen = i;
	}
	for (guint i = 0; i < servers->len; i++)
		server_at(servers, i)->superseded = i != chosen;
}

/* Adds a server to those that name its address. */
void server_addresses_add(server_set_t *set, server_t *server)
{
	const char *address = server->entry.address;
	GPtrArray *servers = g_hash_table_lookup(set->by_address, address);

	if (!servers) {
		servers = g_ptr_array_new();
		g_hash_table_insert(set->by_address, g_strdup(address),
				    servers);
	}
	g_ptr_array_add(servers, server);
	choose(servers);
}

/* Removes a server from those that name its address. Another one of them has it then. */
void server_addresses_remove(server_set_t *set, server_t *server)
{
	const char *address = server->entry.address;
	GPtrArray *servers = g_hash_table_lookup(set->by_address, address);

	if (!servers || !g_ptr_array_remove(servers, server))
		return;
	if (servers->len > 0)
		choose(servers);
	else
		g_hash_table_remove(set->by_address, address);
}

/* Returns the server that has an address, or NULL if no server names it. */
const server_t *server_addresses_find(const server_set_t *set,
				      const char *address)
{
	const GPtrArray *servers =
		g_hash_table_lookup(set->by_address, address);

	for (guint i = 0; servers && i < servers->len; i++) {
		if (!server_at(servers, i)->superseded)
			return server_at(servers, i);
	}
	return NULL;
}

/* Returns whether another server names the address of a server. */
bool server_addresses_is_shared(const server_set_t *set, const server_t *server)
{
	const GPtrArray *servers =
		g_hash_table_lookup(set->by_address, server->entry.address);

	return servers && servers->len > 1;
}

/* Chooses the server of an address again after something has changed that is known of one
 * of them.
 */
void server_addresses_update(server_set_t *set, const server_t *server)
{
	const GPtrArray *servers =
		g_hash_table_lookup(set->by_address, server->entry.address);

	if (servers)
		choose(servers);
}
