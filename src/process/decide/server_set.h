/* The backend servers that the platform lists. Pure: no clock, no I/O. */
#ifndef PROCESS_SERVER_SET_H
#define PROCESS_SERVER_SET_H

#include <stdint.h>

#include "process/decide/removed_servers.h"
#include "process/decide/server.h"

/* All known servers. */
typedef struct {
	GHashTable *by_id; /* of server_t */
	GHashTable *by_address; /* see server_addresses.c */
	removed_servers_t removed;
	int64_t last_leaving_us; /* when a server last began to leave */
} server_set_t;

void server_set_init(server_set_t *set);
void server_set_finish(server_set_t *set);
server_t *server_set_put(server_set_t *set, server_entry_t *entry,
			 int64_t now_us);
void server_set_remove(server_set_t *set, const char *id, int64_t now_us);
bool server_set_mark_leaving(server_set_t *set, server_t *server,
			     int64_t now_us);
void server_set_pause(server_set_t *set, server_t *server, double pause_s,
		      int64_t now_us);
void server_set_heartbeat(server_set_t *set, server_t *server,
			  int64_t row_version);
bool server_set_mark_misdirected(server_set_t *set, server_t *server,
				 int64_t now_us);
bool server_set_clear_misdirected(server_set_t *set, server_t *server);
void server_set_begin_sync(server_set_t *set);
void server_set_end_sync(server_set_t *set, int64_t keep_until_us);
bool server_set_expire(server_set_t *set, int64_t now_us);
bool server_set_was_removed(const server_set_t *set,
			    const server_entry_t *entry);
bool server_set_reaches(const server_set_t *set, const char *service);
int64_t server_set_pause_us(const server_set_t *set, const char *service,
			    int64_t now_us);
server_t *server_set_find(const server_set_t *set, const char *id);
unsigned server_set_count_usable(const server_set_t *set);

#endif
