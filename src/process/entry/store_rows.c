#include "process/entry/store_rows.h"

#include "names.h"
#include "process/log.h"
#include "process/entry/stage_orders.h"
#include "rows.h"

/* The store holds a read until something changes, at most this long. */
#define LONG_WAIT_US (15 * CLOCK_US_PER_S)

/* Servers write their entries every second or so, so that a feed without a
 * pause would return at once, always. All VMs together pay for each read: with
 * more of them each reads less often, but a leaving server is seen well within
 * two seconds.
 */
#define SERVERS_PAUSE_US (500 * CLOCK_US_PER_MS)
#define SERVERS_PAUSE_ROUTER_US (10 * CLOCK_US_PER_MS)
#define SERVERS_PAUSE_MAX_US (1200 * CLOCK_US_PER_MS)

/* Each VM that enters wakes the feeds of all others. When all start at once, a
 * feed without a pause makes as many reads as VMs times VMs, more than the
 * store answers in a quarter of a minute at 300. A change after a while is
 * still read at once.
 */
#define OWN_PAUSE_ROUTER_US (10 * CLOCK_US_PER_MS)
#define OWN_PAUSE_MAX_US (2 * CLOCK_US_PER_S)

/* Servers enter themselves again within two seconds of the store's return. */
#define RETURN_US (1900 * CLOCK_US_PER_MS)

#define ENTER_TIMEOUT_US (1500 * CLOCK_US_PER_MS)
#define ENTER_RETRY_US (1000 * CLOCK_US_PER_MS)

static void log_reach(const char *table, bool reachable)
{
	log_event(reachable ? LOG_INFO : LOG_WARN,
		  reachable ? "store_reached" : "store_lost",
		  LOG_CSTR("table", table));
}

/* --- configuration ----------------------------------------------------- */

static void ignore_begin(void *context)
{
}

static void ignore_synced(void *context, bool outage)
{
}

/* A version that is not newer is dropped: the store may serve late reads. */
static void config_row(void *context, const store_row_t *row)
{
	store_rows_t *rows = context;
	route_table_t *table;

	if (!g_str_equal(row->key, KEY_CONFIG) || !row->value)
		return;
	table = config_row_read(str_from_gstring(row->value));
	if (!table) {
		log_event(LOG_ERROR, "config_unreadable",
			  LOG_INT("row_version", row->version));
		return;
	}
	if (table->version > rows->version) {
		rows->version = table->version;
		rows->handler->on_config(rows->context, table);
	}
	route_table_unref(table);
}

static void config_reach(void *context, bool reachable)
{
	log_reach(TABLE_CONFIG, reachable);
}

static const store_watch_handler_t config_handler = {
	.on_begin = ignore_begin,
	.on_row = config_row,
	.on_synced = ignore_synced,
	.on_reach = config_reach,
};

/* --- backend servers --------------------------------------------------- */

static void servers_begin(void *context)
{
	store_rows_t *rows = context;

	server_set_begin_sync(rows->servers);
}

static void log_server(const server_entry_t *entry, const char *change)
{
	log_event(LOG_INFO, "server_changed", LOG_CSTR("server", entry->id),
		  LOG_CSTR("change", change), LOG_CSTR("zone", entry->zone),
		  LOG_CSTR("address", entry->address));
}

/* Tells whether a row brings nothing but another heartbeat of a server. */
static bool is_heartbeat(const store_rows_t *rows, const store_row_t *row,
			 const server_t *server)
{
	const GString *entry = g_hash_table_lookup(rows->entries, row->key);

	return entry && server && server->listed &&
	       server_row_is_heartbeat(str_from_gstring(entry),
				       str_from_gstring(row->value));
}

static void remove_server(store_rows_t *rows, const char *id, server_t *server)
{
	g_hash_table_remove(rows->entries, id);
	if (!server)
		return;
	log_server(&server->entry, "removed");
	server_set_remove(rows->servers, id);
	rows->handler->on_servers(rows->context);
}

static void free_text(gpointer data)
{
	g_string_free(data, TRUE);
}

static void servers_row(void *context, const store_row_t *row)
{
	store_rows_t *rows = context;
	server_t *server = server_set_find(rows->servers, row->key);
	bool was_leaving = server && server->entry.leaving;
	stage_t stage = server ? server->entry.stage : STAGE_NONE;
	server_entry_t entry;

	if (!row->value) {
		remove_server(rows, row->key, server);
		return;
	}
	if (is_heartbeat(rows, row, server))
		return;
	if (!server_row_read(row->key, str_from_gstring(row->value), &entry)) {
		log_event(LOG_WARN, "server_entry_unreadable",
			  LOG_CSTR("server", row->key));
		return;
	}
	g_hash_table_replace(rows->entries, g_strdup(row->key),
			     g_string_new_len(row->value->str,
					      (gssize)row->value->len));
	server = server_set_put(rows->servers, &entry, clock_now(&rows->clock));
	if (server->entry.leaving && !was_leaving)
		log_server(&server->entry, "leaving");
	else if (server->entry.stage != stage)
		log_server(&server->entry, "stage");
	rows->handler->on_servers(rows->context);
}

/* After an outage, entries that lapsed meanwhile may come back. */
static void servers_synced(void *context, bool outage)
{
	store_rows_t *rows = context;
	int64_t now_us = clock_now(&rows->clock);

	server_set_end_sync(rows->servers,
			    outage ? now_us + RETURN_US : now_us);
	alarm_set(&rows->expiry, outage ? now_us + RETURN_US : now_us);
	rows->handler->on_servers(rows->context);
}

static void on_expiry(void *context)
{
	store_rows_t *rows = context;

	if (server_set_expire(rows->servers, clock_now(&rows->clock))) {
		log_event(LOG_WARN, "servers_not_back");
		rows->handler->on_servers(rows->context);
	}
}

static void servers_reach(void *context, bool reachable)
{
	log_reach(TABLE_SERVERS, reachable);
}

static const store_watch_handler_t servers_handler = {
	.on_begin = servers_begin,
	.on_row = servers_row,
	.on_synced = servers_synced,
	.on_reach = servers_reach,
};

/* --- own rows --------------------------------------------------------- */

static void enter(void *context);

static void router_row(store_rows_t *rows, const store_row_t *row)
{
	const char *vm = row->key + strlen(STORE_VM_PREFIX);
	str_t address = {NULL, 0};

	if (row->value)
		address = str_from_gstring(row->value);
	/* The others took this VM for gone. */
	if (!row->value && g_str_equal(vm, rows->vm) &&
	    !store_call_is_busy(&rows->entering))
		enter(rows);
	rows->handler->on_router(rows->context, vm, address,
				 row->value ? row->version : 0);
}

static void own_row(void *context, const store_row_t *row)
{
	store_rows_t *rows = context;

	if (g_str_has_prefix(row->key, STORE_VM_PREFIX))
		router_row(rows, row);
	else if (row->value && row->value->len &&
		 g_str_has_prefix(row->key, STAGE_ROUND_PREFIX))
		rows->handler->on_round(rows->context,
					str_from_gstring(row->value));
}

static void own_reach(void *context, bool reachable)
{
	log_reach(TABLE_ROUTER, reachable);
}

static const store_watch_handler_t own_handler = {
	.on_begin = ignore_begin,
	.on_row = own_row,
	.on_synced = ignore_synced,
	.on_reach = own_reach,
};

static void on_entered(void *context, store_result_t result, str_t body)
{
	store_rows_t *rows = context;

	if (result == STORE_OK)
		return;
	log_event(LOG_WARN, "vm_not_entered", LOG_INT("result", result));
	alarm_set(&rows->enter_again, clock_now(&rows->clock) + ENTER_RETRY_US);
}

/* Writes where other entry VMs reach this one. The same row is written again
 * when the outcome is not known.
 */
static void enter(void *context)
{
	store_rows_t *rows = context;
	GString *message = g_string_new(NULL);
	char *key = g_strconcat(STORE_VM_PREFIX, rows->vm, NULL);

	store_append_put(message, rows->address, TABLE_ROUTER, key,
			 str_from(rows->own_address));
	store_call_send(&rows->entering, rows->address, message,
			clock_now(&rows->clock) + ENTER_TIMEOUT_US, on_entered,
			rows);
	g_free(key);
	g_string_free(message, TRUE);
}

static void follow(store_rows_t *rows, store_watch_t *watch, const char *table,
		   const store_watch_handler_t *handler, int64_t pause_us)
{
	store_watch_options_t options = {
		.table = table,
		.address = rows->address,
		.pause_us = pause_us,
		.wait_us = LONG_WAIT_US,
		.handler = handler,
		.context = rows,
	};

	store_watch_init(watch, rows->pool, rows->clock, &options);
}

/* Enters this VM and follows the store's tables. */
void store_rows_init(store_rows_t *rows, http_pool_t *pool,
		     clock_source_t clock, const char *store_address,
		     const char *vm, const char *own_address,
		     server_set_t *servers, const store_rows_handler_t *handler,
		     void *context)
{
	*rows = (store_rows_t){
		.pool = pool,
		.clock = clock,
		.address = g_strdup(store_address),
		.vm = vm,
		.own_address = g_strdup(own_address),
		.servers = servers,
		.handler = handler,
		.context = context,
	};
	rows->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_text);
	alarm_init(&rows->expiry, clock, on_expiry, rows);
	alarm_init(&rows->enter_again, clock, enter, rows);
	store_call_init(&rows->entering, pool);
	follow(rows, &rows->config, TABLE_CONFIG, &config_handler, 0);
	follow(rows, &rows->server_list, TABLE_SERVERS, &servers_handler,
	       SERVERS_PAUSE_US);
	follow(rows, &rows->own, TABLE_ROUTER, &own_handler, 0);
	enter(rows);
}

/* Stops following. The version stays known: it never goes back. */
void store_rows_finish(store_rows_t *rows)
{
	store_watch_finish(&rows->config);
	store_watch_finish(&rows->server_list);
	store_watch_finish(&rows->own);
	store_call_finish(&rows->entering);
	alarm_finish(&rows->enter_again);
	alarm_finish(&rows->expiry);
	g_hash_table_unref(rows->entries);
	g_free(rows->address);
	g_free(rows->own_address);
}

/* Paces the reads of the lists of servers and VMs for a number of VMs. */
void store_rows_set_vm_count(store_rows_t *rows, unsigned routers)
{
	rows->server_list.options.pause_us =
		MIN(SERVERS_PAUSE_US + routers * SERVERS_PAUSE_ROUTER_US,
		    SERVERS_PAUSE_MAX_US);
	rows->own.options.pause_us =
		MIN(routers * OWN_PAUSE_ROUTER_US, OWN_PAUSE_MAX_US);
}

/* Reads sent so far. */
uint64_t store_rows_reads(const store_rows_t *rows)
{
	return rows->config.calls + rows->server_list.calls + rows->own.calls;
}
