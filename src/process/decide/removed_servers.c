#include "process/decide/removed_servers.h"

/* Most servers that are remembered: twice the servers of a large deployment. */
#define MAX_REMOVED 16384

/* Frees what is remembered of one server. */
static void free_server(gpointer data)
{
	removed_server_t *server = data;

	g_free(server->id);
	g_free(server);
}

/* Sets up an empty memory. */
void removed_servers_init(removed_servers_t *removed)
{
	removed->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&removed->in_order);
}

/* Frees it. */
void removed_servers_finish(removed_servers_t *removed)
{
	g_hash_table_unref(removed->by_id);
	g_queue_clear_full(&removed->in_order, free_server);
}

/* Forgets the server of a link. */
static void forget(removed_servers_t *removed, GList *link)
{
	removed_server_t *server = link->data;

	g_hash_table_remove(removed->by_id, server->id);
	g_queue_delete_link(&removed->in_order, link);
	free_server(server);
}

/* Remembers a server that is removed now, in place of an earlier process with its ID.
 * Returns the record, without marks, for the caller to complete.
 */
removed_server_t *removed_servers_put(removed_servers_t *removed,
				      const char *id, int64_t started_ms)
{
	GList *known = g_hash_table_lookup(removed->by_id, id);
	removed_server_t *server = g_new0(removed_server_t, 1);

	if (known)
		forget(removed, known);
	else if (g_queue_get_length(&removed->in_order) >= MAX_REMOVED)
		forget(removed, removed->in_order.head);
	server->id = g_strdup(id);
	server->started_ms = started_ms;
	g_queue_push_tail(&removed->in_order, server);
	g_hash_table_insert(removed->by_id, server->id, removed->in_order.tail);
	return server;
}

/* Returns what is remembered of a process, or NULL if it was not removed. */
removed_server_t *removed_servers_find(const removed_servers_t *removed,
				       const char *id, int64_t started_ms)
{
	GList *link = g_hash_table_lookup(removed->by_id, id);
	removed_server_t *server = link ? link->data : NULL;

	return server && server_is_same_start(server->started_ms, started_ms)
		       ? server
		       : NULL;
}

/* Returns whether two entries may be of the same process, by the wall clock time of its
 * start in ms: they are if either of them does not state it (0).
 */
bool server_is_same_start(int64_t started_ms, int64_t other_ms)
{
	return started_ms == 0 || other_ms == 0 || started_ms == other_ms;
}
