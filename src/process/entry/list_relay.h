/* Passes the changes of the server list on to other VMs, which ask for them as they
 * would ask the store: a request waits for a change. Only what this VM has itself read
 * from the store a moment ago is passed on, so that no VM waits for another that waits
 * in turn. A VM that is refused reads the store.
 */
#ifndef PROCESS_LIST_RELAY_H
#define PROCESS_LIST_RELAY_H

#include "connection/ingress.h"
#include "process/entry/store_watch.h"

typedef struct {
	clock_source_t clock;
	const store_watch_t *list; /* what this VM reads of the list */
	const store_watch_t *config; /* and of the other tables: a VM whose own */
	const store_watch_t *own_table; /* reads of them hang learns it here */
	GQueue changes; /* of store_row_t, by ascending version */
	GHashTable *by_key; /* key to its link in `changes` */
	size_t bytes; /* of keys and rows in `changes` */
	int64_t since; /* changes after this version are known; -1: none are */
	GQueue waiting; /* of list_wait_t */
	alarm_t wake;
	bool closed; /* the process is ending */
	int64_t asked_us; /* when a VM last asked; 0: never */
	uint64_t answered;
	uint64_t refused;
} list_relay_t;

void list_relay_init(list_relay_t *relay, clock_source_t clock,
		     const store_watch_t *list, const store_watch_t *config,
		     const store_watch_t *own_table);
void list_relay_finish(list_relay_t *relay);
void list_relay_begin_sync(list_relay_t *relay);
void list_relay_end_sync(list_relay_t *relay, int64_t version);
void list_relay_put(list_relay_t *relay, const store_row_t *row);
void list_relay_config_changed(list_relay_t *relay);
bool list_relay_is_request(const exchange_t *exchange);
void list_relay_request(list_relay_t *relay, exchange_t *exchange);
bool list_relay_is_asked(const list_relay_t *relay);
bool list_relay_gone(list_relay_t *relay, const exchange_t *exchange);
void list_relay_close(list_relay_t *relay);

#endif
