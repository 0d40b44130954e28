/* What an entry VM learns from the platform's store: the configuration, the
 * backend servers and the other entry VMs.
 */
#ifndef PROCESS_STORE_ROWS_H
#define PROCESS_STORE_ROWS_H

#include "process/decide/server_set.h"
#include "process/entry/store_watch.h"
#include "version/route_table.h"

/* Keys of the rows in which VMs say where they are reached begin so. */
#define STORE_VM_PREFIX "vm/"

typedef struct {
	void (*on_config)(void *context, route_table_t *table);
	void (*on_servers)(void *context); /* an entry changed */
	/* `address` is empty, and the row's version 0, when it was removed. */
	void (*on_router)(void *context, const char *vm, str_t address,
			  int64_t row_version);
	/* A round of stage orders was begun. */
	void (*on_round)(void *context, str_t value);
} store_rows_handler_t;

typedef struct {
	http_pool_t *pool;
	clock_source_t clock;
	char *address; /* of the store */
	const char *vm;
	char *own_address; /* what other entry VMs are told */
	server_set_t *servers;
	GHashTable *entries; /* server ID to its latest readable row */
	const store_rows_handler_t *handler;
	void *context;
	int64_t version; /* of the configuration, never lower than before */
	store_watch_t config;
	store_watch_t server_list;
	store_watch_t own; /* rows of this project */
	store_call_t entering;
	alarm_t enter_again;
	alarm_t expiry; /* of servers that did not come back */
} store_rows_t;

void store_rows_init(store_rows_t *rows, http_pool_t *pool,
		     clock_source_t clock, const char *store_address,
		     const char *vm, const char *own_address,
		     server_set_t *servers, const store_rows_handler_t *handler,
		     void *context);
void store_rows_finish(store_rows_t *rows);
void store_rows_set_vm_count(store_rows_t *rows, unsigned routers);
uint64_t store_rows_reads(const store_rows_t *rows);

#endif
