/* What an entry VM learns from the platform's store: the configuration, the
 * backend servers, the other entry VMs and the rounds of stage orders.
 */
#ifndef PROCESS_STORE_ROWS_H
#define PROCESS_STORE_ROWS_H

#include "process/decide/server_set.h"
#include "process/entry/list_relay.h"
#include "process/entry/store_watch.h"
#include "version/route_table.h"

/* Prefix of the keys of rows that hold the address of an entry VM. The VM's
 * name follows.
 */
#define STORE_VM_PREFIX "vm/"

/* Prefix of the keys of rows that hold requests which crash servers. */
#define STORE_CRASH_PREFIX "crash/"

/* The same of rows that hold losses on which a rule may rest. */
#define STORE_LOSSES_PREFIX "losses/"

/* Key of the row that holds the versions of the servers' software. */
#define STORE_SOFTWARE_KEY "software"

/* Callbacks for changes in the store. Arguments are borrowed. */
typedef struct {
	/* A newer version of the configuration was read. */
	void (*on_config)(void *context, route_table_t *table);
	/* An entry of the server list has changed. */
	void (*on_servers)(void *context);
	/* A server was read to be leaving, or to be gone from the list. */
	void (*on_departure)(void *context, const char *server);
	/* The entry of a server that was gone is back. */
	void (*on_return)(void *context, const char *server);
	/* A VM's row was read or has changed. When it was removed, `address`
	 * is empty and `row_version` 0.
	 */
	void (*on_vm)(void *context, const char *vm, str_t address,
		      int64_t row_version);
	/* A round of stage orders was begun. */
	void (*on_round)(void *context, const char *service, str_t value);
	/* A row on requests that crash servers was read or has changed. When it
	 * was removed, `value` is empty and `row_version` 0.
	 */
	void (*on_crash_row)(void *context, const char *key, str_t value,
			     int64_t row_version);
	/* The same of a row on losses of servers. */
	void (*on_losses_row)(void *context, const char *key, str_t value,
			      int64_t row_version);
	/* The record of the servers' versions was read or has changed. When it
	 * was removed, `value` is empty and `row_version` 0.
	 */
	void (*on_software_row)(void *context, str_t value,
				int64_t row_version);
	/* A full read of this project's table begins. */
	void (*on_own_sync)(void *context);
	/* Returns the address of another VM that passes the changes of the server
	 * list on, borrowed, or NULL to read them from the store; `store_fails`
	 * tells that this VM's latest read has failed. The callback may be NULL.
	 */
	const char *(*choose_list_reader)(void *context, bool store_fails);
	/* The VM that was chosen last did not do so. */
	void (*on_list_reader_failed)(void *context);
} store_rows_handler_t;

typedef struct {
	http_pool_t *pool;
	clock_source_t clock;
	char *address; /* of the store */
	const char *vm; /* name of this VM; borrowed */
	char *own_address; /* where other entry VMs reach this one */
	server_set_t *servers;
	GHashTable *server_rows; /* server ID to its latest readable row */
	size_t list_bytes; /* that these rows count against the limit */
	bool list_full; /* the limit was logged, since the last full read */
	GHashTable *unreadable; /* set of server IDs whose latest row is not */
	const store_rows_handler_t *handler;
	void *context;
	int64_t version; /* of the configuration; never falls */
	store_watch_t config; /* watch of the configuration's table */
	store_watch_t server_list; /* watch of the backend servers' table */
	store_watch_t own_table; /* watch of this project's own table */
	list_relay_t list_relay; /* passes the server list on to other VMs */
	int64_t list_pause_us; /* between reads of the server list */
	int64_t newest_config; /* versions of the newest rows of the other tables */
	int64_t newest_own; /* that another VM has read */
	alarm_t behind_check; /* of whether this VM has them by then */
	bool own_row_read; /* the full read in progress brought this VM's row */
	store_call_t register_call; /* writes the row of this VM */
	alarm_t register_retry;
	alarm_t expiry; /* of servers that did not return after an outage */
	bool reading_copy; /* a full read of the server list, the first since
			      the store was restored, is in progress */
	alarm_t outdated_expiry; /* of entries that such a read brought */
} store_rows_t;

void store_rows_init(store_rows_t *rows, http_pool_t *pool,
		     clock_source_t clock, const char *store_address,
		     const char *vm, const char *own_address,
		     server_set_t *servers, const store_rows_handler_t *handler,
		     void *context);
void store_rows_finish(store_rows_t *rows);
void store_rows_set_vm_count(store_rows_t *rows, unsigned vm_count);
uint64_t store_rows_reads(const store_rows_t *rows);

#endif
