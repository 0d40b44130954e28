#include "process/decide/server_addresses.h"

/* The servers that name an address, which are borrowed, and the one that has it. */
typedef struct {
	GPtrArray *servers;
	server_t *chosen;
} sharers_t;

static void free_sharers(gpointer data)
{
	sharers_t *sharers = data;

	g_ptr_array_unref(sharers->servers);
	g_free(sharers);
}

/* Returns an empty table of address to the servers that name it. */
GHashTable *server_addresses_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_sharers);
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

/* Lets a server have the address if it is preferred to the one that has it so far. */
static void offer(sharers_t *sharers, server_t *server)
{
	if (sharers->chosen && !is_preferred(server, sharers->chosen)) {
		server->superseded = true;
		return;
	}
	if (sharers->chosen)
		sharers->chosen->superseded = true;
	server->superseded = false;
	sharers->chosen = server;
}

/* Chooses the server of an address among those that name it. */
static void choose(sharers_t *sharers)
{
	sharers->chosen = NULL;
	for (guint i = 0; i < sharers->servers->len; i++)
		offer(sharers, g_ptr_array_index(sharers->servers, i));
}

/* Returns the servers that name the address of a server, or NULL. */
static sharers_t *sharers_of(const server_set_t *set, const server_t *server)
{
	return g_hash_table_lookup(set->by_address, server->entry.address);
}

/* Adds a server to those that name its address. The others are not looked at, as a list
 * may give one address to all of its servers.
 */
void server_addresses_add(server_set_t *set, server_t *server)
{
	sharers_t *sharers = sharers_of(set, server);

	if (!sharers) {
		sharers = g_new0(sharers_t, 1);
		sharers->servers = g_ptr_array_new();
		g_hash_table_insert(set->by_address,
				    g_strdup(server->entry.address), sharers);
	}
	g_ptr_array_add(sharers->servers, server);
	offer(sharers, server);
}

/* Removes a server from those that name its address. Another one of them has it then. */
void server_addresses_remove(server_set_t *set, server_t *server)
{
	sharers_t *sharers = sharers_of(set, server);

	if (!sharers || !g_ptr_array_remove(sharers->servers, server))
		return;
	if (sharers->servers->len > 0)
		choose(sharers);
	else
		g_hash_table_remove(set->by_address, server->entry.address);
}

/* Returns the server that has an address, or NULL if no server names it. */
const server_t *server_addresses_find(const server_set_t *set,
				      const char *address)
{
	const sharers_t *sharers =
		g_hash_table_lookup(set->by_address, address);

	return sharers ? sharers->chosen : NULL;
}

/* Returns whether another server names the address of a server. */
bool server_addresses_is_shared(const server_set_t *set, const server_t *server)
{
	const sharers_t *sharers = sharers_of(set, server);

	return sharers && sharers->servers->len > 1;
}

/* Chooses the server of an address again after something has changed that is known of one
 * of them.
 */
void server_addresses_update(server_set_t *set, const server_t *server)
{
	sharers_t *sharers = sharers_of(set, server);

	if (sharers)
		choose(sharers);
}
