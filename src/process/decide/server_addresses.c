#include "process/decide/server_addresses.h"

/* What decides which of the servers that name an address has it. */
typedef struct {
	bool misdirected;
	bool missed; /* by the latest full read of the list */
	int64_t started_ms;
	int64_t row_version;
} claim_t;

/* The servers that name an address, which are borrowed, and the one that has it. */
typedef struct {
	GQueue servers;
	server_t *chosen;
	claim_t claim; /* of the chosen one, when it was last looked at */
} sharers_t;

static void free_sharers(gpointer data)
{
	sharers_t *sharers = data;

	g_queue_clear(&sharers->servers);
	g_free(sharers);
}

/* Returns an empty table of address to the servers that name it. */
GHashTable *server_addresses_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_sharers);
}

/* Returns what a server's claim to its address is now. */
static claim_t claim_of(const server_t *server)
{
	return (claim_t){
		.misdirected = server->misdirected,
		.missed = server->expires_us != 0,
		.started_ms = server->entry.started_ms,
		.row_version = server->entry.row_version,
	};
}

/*
 * Returns whether an address is rather a server's than another one's, which was added
 * before it. What the address itself has answered tells most, then whether the list
 * still names them, then the time of their start. Without that the row decides that was
 * written last: a server that is gone writes none. The order in which rows are read says
 * nothing, as a full read is in the order of their keys.
 */
static bool is_preferred(const claim_t *claim, const claim_t *other)
{
	if (claim->misdirected != other->misdirected)
		return other->misdirected;
	if (claim->missed != other->missed)
		return other->missed;
	if (!server_is_same_start(claim->started_ms, other->started_ms))
		return claim->started_ms > other->started_ms;
	return claim->row_version >= other->row_version;
}

/* Lets a server have the address if it is preferred to the one that has it so far. */
static void offer(sharers_t *sharers, server_t *server)
{
	claim_t claim = claim_of(server);

	if (sharers->chosen && !is_preferred(&claim, &sharers->claim)) {
		server->superseded = true;
		return;
	}
	if (sharers->chosen)
		sharers->chosen->superseded = true;
	server->superseded = false;
	sharers->chosen = server;
	sharers->claim = claim;
}

/* Chooses the server of an address among those that name it. */
static void choose(sharers_t *sharers)
{
	sharers->chosen = NULL;
	for (GList *link = sharers->servers.head; link; link = link->next)
		offer(sharers, link->data);
}

/* Returns whether the claim of the server that has an address is no weaker than when it
 * was last looked at.
 */
static bool is_confirmed(const sharers_t *sharers)
{
	claim_t claim = claim_of(sharers->chosen);

	return claim.started_ms == sharers->claim.started_ms &&
	       is_preferred(&claim, &sharers->claim);
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
		g_hash_table_insert(set->by_address,
				    g_strdup(server->entry.address), sharers);
	}
	g_queue_push_tail(&sharers->servers, server);
	server->address_link = sharers->servers.tail;
	offer(sharers, server);
}

/* Removes a server from those that name its address. If it had the address, another one
 * of them has it then.
 */
void server_addresses_remove(server_set_t *set, server_t *server)
{
	sharers_t *sharers = sharers_of(set, server);

	if (!sharers || !server->address_link)
		return;
	g_queue_delete_link(&sharers->servers, server->address_link);
	server->address_link = NULL;
	if (g_queue_is_empty(&sharers->servers))
		g_hash_table_remove(set->by_address, server->entry.address);
	else if (sharers->chosen == server)
		choose(sharers);
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

	return sharers && sharers->servers.length > 1;
}

/* Chooses the server of an address again after something has changed that is known of one
 * of them. The others are looked at only if the one that has the address has a weaker claim
 * than before.
 */
void server_addresses_update(server_set_t *set, server_t *server)
{
	sharers_t *sharers = sharers_of(set, server);

	if (!sharers)
		return;
	if (sharers->chosen != server)
		offer(sharers, server);
	else if (is_confirmed(sharers))
		sharers->claim = claim_of(server);
	else
		choose(sharers);
}

/* Chooses the servers of all addresses again, after something has changed that is known of
 * many servers.
 */
void server_addresses_update_all(server_set_t *set)
{
	GHashTableIter iter;
	gpointer sharers;

	g_hash_table_iter_init(&iter, set->by_address);
	while (g_hash_table_iter_next(&iter, NULL, &sharers))
		choose(sharers);
}
