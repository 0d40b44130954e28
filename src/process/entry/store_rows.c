#include "process/entry/store_rows.h"

#include "names.h"
#include "process/decide/server_addresses.h"
#include "process/log.h"
#include "process/entry/stage_orders.h"
#include "rows.h"

/* Longest time for which a read of the configuration, or of this project's own table, waits
 * until something changes. The store may lose it, or hold its answer back until then: a new
 * configuration has to be in force within two seconds, and what VMs write for each other
 * within three.
 */
#define CONFIG_WAIT_US (1 * CLOCK_US_PER_S)
#define OWN_WAIT_US (2 * CLOCK_US_PER_S)

/* The same while a VM that reads these tables so often tells which rows it has read. */
#define CONFIRMED_WAIT_US (15 * CLOCK_US_PER_S)

/* The same for the server list. A read of it that is overdue shows that the store
 * is silent, for all tables.
 */
#define SERVERS_WAIT_US (1 * CLOCK_US_PER_S)

/* Pause between reads of the server list. Servers write their entries about
 * once a second, so that a feed without a pause would always return at once.
 * The reads of all VMs load the store: the more VMs there are, the less often
 * each reads, but a leaving server is still seen well within two seconds.
 */
#define SERVERS_PAUSE_US (500 * CLOCK_US_PER_MS)
#define SERVERS_PAUSE_PER_VM_US (10 * CLOCK_US_PER_MS)
#define SERVERS_PAUSE_MAX_US (1200 * CLOCK_US_PER_MS)

/* The same for a VM that passes the list on to others, and pause of those between what
 * is passed on to them, so that changes in quick succession come together.
 */
#define READER_PAUSE_US (400 * CLOCK_US_PER_MS)
#define RELAYED_PAUSE_US (100 * CLOCK_US_PER_MS)

/* By then a VM has read a row that another one has read, unless its read is lost or
 * pauses.
 */
#define BEHIND_US (300 * CLOCK_US_PER_MS)

/* Pause between reads of this project's own table. Each VM that registers ends
 * the waiting reads of all others. When all start at once, feeds without a
 * pause make as many reads as the square of the number of VMs: with 300 VMs,
 * more than the store answers in 15 seconds. The pause does not delay a change
 * that comes when the feed already waits.
 */
#define OWN_PAUSE_PER_VM_US (10 * CLOCK_US_PER_MS)
#define OWN_PAUSE_MAX_US (2 * CLOCK_US_PER_S)

/* How long servers that are missing after an outage are kept: those that live
 * write their entries again within two seconds of the store's return.
 */
#define SERVER_RETURN_US (1900 * CLOCK_US_PER_MS)

/* How long the store keeps the entry of a server that no longer writes it: three
 * heartbeats, and one more until the store has counted them.
 */
#define ENTRY_EXPIRES_US (5 * CLOCK_US_PER_S)

/* Most memory for the servers of the list. A server counts twice the text of its row, which
 * is kept beside what was read from it, and this much beside. With it and a page in
 * progress, the smallest VMs, of 88 MB, stay far below their memory.
 */
#define MAX_LIST_BYTES ((size_t)16 << 20)
#define SERVER_BYTES 512

/* Most servers whose rows cannot be read and that are remembered, so that this is logged
 * once. The rows of others are dropped without a word.
 */
#define MAX_UNREADABLE 1024

/* Deadline of the write of this VM's row, and pause after it failed. */
#define REGISTER_TIMEOUT_US (1500 * CLOCK_US_PER_MS)
#define REGISTER_RETRY_US (1000 * CLOCK_US_PER_MS)

/* Logs that reads of a table succeed again, or fail. */
static void log_reachable(const char *table, bool reachable)
{
	log_event(reachable ? LOG_INFO : LOG_WARN,
		  reachable ? "store_reached" : "store_lost",
		  LOG_CSTR("table", table));
}

/*
 * Checks the reads of all tables after one got no answer. Idle connections to
 * the store may lead to the same silence and are closed, so that the next reads
 * open new ones.
 */
static void on_silence(void *context)
{
	store_rows_t *rows = context;

	http_pool_close_idle(rows->pool, rows->address);
	store_watch_recheck(&rows->config);
	store_watch_recheck(&rows->server_list);
	store_watch_recheck(&rows->own_table);
}

/* --- configuration ----------------------------------------------------- */

/* Does nothing when a full read begins: missing rows change nothing. */
static void ignore_sync_begin(void *context, bool restored)
{
}

/* Does nothing when a full read has ended. */
static void ignore_sync_end(void *context, bool outage)
{
}

/* Applies the configuration. A version that is not newer is dropped, as the
 * store may answer a read with outdated rows.
 */
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
		list_relay_config_changed(&rows->list_relay);
		rows->handler->on_config(rows->context, table);
	}
	route_table_unref(table);
}

/* Logs whether the configuration can be read. */
static void config_reachable(void *context, bool reachable)
{
	store_rows_t *rows = context;

	log_reachable(TABLE_CONFIG, reachable);
	if (reachable)
		store_watch_retry(&rows->own_table);
}

static const store_watch_handler_t config_handler = {
	.on_sync_begin = ignore_sync_begin,
	.on_row = config_row,
	.on_sync_end = ignore_sync_end,
	.on_reachable = config_reachable,
	.on_silence = on_silence,
};

/* --- backend servers --------------------------------------------------- */

/* Marks all servers as not read until the full read brings them. */
static void servers_sync_begin(void *context, bool restored)
{
	store_rows_t *rows = context;

	list_relay_begin_sync(&rows->list_relay);
	rows->list_full = false;
	rows->reading_copy = restored;
	server_set_begin_sync(rows->servers);
}

/* Logs a change of a server's row. */
static void log_server(const server_entry_t *entry, const char *change)
{
	log_event(LOG_INFO, "server_changed", LOG_CSTR("server", entry->id),
		  LOG_CSTR("change", change), LOG_CSTR("zone", entry->zone),
		  LOG_CSTR("address", entry->address),
		  LOG_CSTR("software", entry->software));
}

/* Logs which server has an address that several have named, after one of them was added
 * or removed.
 */
static void log_address(const store_rows_t *rows, const server_t *changed)
{
	const char *address = changed->entry.address;
	const server_t *server = server_addresses_find(rows->servers, address);

	if (!server)
		return;
	log_event(LOG_INFO, "address_shared",
		  LOG_CSTR("changed", changed->entry.id),
		  LOG_CSTR("server", server->entry.id),
		  LOG_CSTR("address", address),
		  LOG_INT("row_version", server->entry.row_version),
		  LOG_INT("started_ms", server->entry.started_ms));
}

/* Returns whether a row brings nothing but another heartbeat of a server. */
static bool is_heartbeat(const store_rows_t *rows, const store_row_t *row,
			 const server_t *server)
{
	const GString *entry = g_hash_table_lookup(rows->server_rows, row->key);

	return entry && server && server->listed && !server->unread &&
	       server_row_is_heartbeat(str_from_gstring(entry),
				       str_from_gstring(row->value));
}

/* Returns what a server counts against the limit of the list; 0 without a row. */
static size_t listed_bytes(const char *id, const GString *row)
{
	return row ? SERVER_BYTES + 2 * (strlen(id) + row->len) : 0;
}

/* Forgets the row of a server. */
static void drop_row(store_rows_t *rows, const char *id)
{
	const GString *row = g_hash_table_lookup(rows->server_rows, id);

	rows->list_bytes -= listed_bytes(id, row);
	g_hash_table_remove(rows->server_rows, id);
}

/* Keeps the row of a server. */
static void keep_row(store_rows_t *rows, const store_row_t *row)
{
	drop_row(rows, row->key);
	rows->list_bytes += listed_bytes(row->key, row->value);
	g_hash_table_insert(rows->server_rows, g_strdup(row->key),
			    g_string_new_len(row->value->str,
					     (gssize)row->value->len));
}

/* Returns whether there is room for the row of a server: it takes no more than the one
 * before, or the list is below its limit with it. Logs the first one that has none.
 */
static bool has_room(store_rows_t *rows, const store_row_t *row)
{
	size_t before = listed_bytes(
		row->key, g_hash_table_lookup(rows->server_rows, row->key));
	size_t after = listed_bytes(row->key, row->value);

	if (after <= before ||
	    rows->list_bytes - before + after <= MAX_LIST_BYTES)
		return true;
	if (!rows->list_full)
		log_event(LOG_ERROR, "server_list_too_large",
			  LOG_CSTR("server", row->key),
			  LOG_UINT("servers",
				   g_hash_table_size(rows->server_rows)),
			  LOG_UINT("bytes", rows->list_bytes));
	rows->list_full = true;
	return false;
}

/* Handles the removal of a server's row. `server` is NULL when not known. */
static void remove_server(store_rows_t *rows, const char *id, server_t *server)
{
	bool shared;

	drop_row(rows, id);
	g_hash_table_remove(rows->unreadable, id);
	if (!server)
		return;
	log_server(&server->entry, "removed");
	rows->handler->on_departure(rows->context, id);
	shared = server_addresses_is_shared(rows->servers, server);
	(void)server_ref(server);
	server_set_remove(rows->servers, id, clock_now(&rows->clock));
	if (shared)
		log_address(rows, server);
	server_unref(server);
	rows->handler->on_servers(rows->context);
}

/* Frees a text, for the hash table. */
static void free_text(gpointer data)
{
	g_string_free(data, TRUE);
}

/*
 * Returns whether an entry may be an outdated one of a server that was removed:
 * it comes from a store that was restored from an older copy. If the server
 * lives, it writes its entry again, or a full read after the time in which the
 * store drops entries of dead servers still brings it.
 */
static bool is_outdated(store_rows_t *rows, const server_entry_t *entry)
{
	if (!rows->reading_copy ||
	    !server_set_was_removed(rows->servers, entry))
		return false;
	log_server(entry, "outdated");
	alarm_set(&rows->outdated_expiry,
		  clock_now(&rows->clock) + ENTRY_EXPIRES_US);
	return true;
}

/* Logs that a server's row cannot be read, once until it can be read again or is removed:
 * its writer may write it each second.
 */
static void log_unreadable(store_rows_t *rows, const char *id)
{
	if (g_hash_table_size(rows->unreadable) < MAX_UNREADABLE &&
	    g_hash_table_add(rows->unreadable, g_strdup(id)))
		log_event(LOG_WARN, "server_entry_unreadable",
			  LOG_CSTR("server", id));
}

/* Applies a server's row. One that cannot be read, or for which there is no room, leaves the
 * server as it was.
 */
static void servers_row(void *context, const store_row_t *row)
{
	store_rows_t *rows = context;
	server_t *server = server_set_find(rows->servers, row->key);
	bool was_known = server != NULL;
	bool was_leaving = was_known && server->entry.leaving;
	stage_t stage = server ? server->entry.stage : STAGE_NONE;
	server_entry_t entry;

	if (!row->value) {
		list_relay_put(&rows->list_relay, row);
		remove_server(rows, row->key, server);
		return;
	}
	if (is_heartbeat(rows, row, server)) {
		server_set_heartbeat(rows->servers, server, row->version);
		return;
	}
	list_relay_put(&rows->list_relay, row);
	if (!has_room(rows, row))
		return;
	if (!server_row_read(row->key, str_from_gstring(row->value), &entry)) {
		log_unreadable(rows, row->key);
		return;
	}
	g_hash_table_remove(rows->unreadable, row->key);
	entry.row_version = row->version;
	if (is_outdated(rows, &entry)) {
		server_entry_clear(&entry);
		return;
	}
	keep_row(rows, row);
	server = server_set_put(rows->servers, &entry, clock_now(&rows->clock));
	if (server->entry.leaving && !was_leaving) {
		log_server(&server->entry, "leaving");
		rows->handler->on_departure(rows->context, row->key);
	} else if (!was_known) {
		log_server(&server->entry, "added");
		if (server->returned_us != 0 && !server->entry.leaving)
			rows->handler->on_return(rows->context, row->key);
		if (server_addresses_is_shared(rows->servers, server))
			log_address(rows, server);
	} else if (server->entry.stage != stage) {
		log_server(&server->entry, "stage");
	}
	rows->handler->on_servers(rows->context);
}

/* Handles the end of a full read of the servers. After an outage, servers that
 * it lacks are kept for a while, as they may write their expired entries again.
 */
static void servers_sync_end(void *context, bool outage)
{
	store_rows_t *rows = context;
	int64_t now_us = clock_now(&rows->clock);

	rows->reading_copy = false;
	list_relay_end_sync(&rows->list_relay, rows->server_list.version);
	server_set_end_sync(rows->servers,
			    outage ? now_us + SERVER_RETURN_US : now_us);
	alarm_set(&rows->expiry, outage ? now_us + SERVER_RETURN_US : now_us);
	rows->handler->on_servers(rows->context);
}

/* Forgets the rows of servers that are no longer in the set. */
static void drop_unknown_rows(store_rows_t *rows)
{
	GHashTableIter iter;
	gpointer id, row;

	g_hash_table_iter_init(&iter, rows->server_rows);
	while (g_hash_table_iter_next(&iter, &id, &row)) {
		if (server_set_find(rows->servers, id))
			continue;
		rows->list_bytes -= listed_bytes(id, row);
		g_hash_table_iter_remove(&iter);
	}
}

/* Removes the servers that were not listed again in time. */
static void on_expiry(void *context)
{
	store_rows_t *rows = context;

	if (server_set_expire(rows->servers, clock_now(&rows->clock))) {
		drop_unknown_rows(rows);
		log_event(LOG_WARN, "servers_not_back");
		rows->handler->on_servers(rows->context);
	}
}

/* Reads the server list in full, once the entries that were outdated have
 * expired.
 */
static void on_outdated_expiry(void *context)
{
	store_rows_t *rows = context;

	store_watch_read_all(&rows->server_list);
}

/* Logs whether the server list can be read. */
static void servers_reachable(void *context, bool reachable)
{
	store_rows_t *rows = context;

	log_reachable(TABLE_SERVERS, reachable);
	if (!reachable)
		return;
	store_watch_retry(&rows->config);
	store_watch_retry(&rows->own_table);
}

/* Returns the VM that passes the server list on, as store_watch_handler_t says, and sets the
 * pause after the next read: a VM that others have asked for the list lately reads it more
 * often. A VM that reads the list itself has nobody who tells it of the other tables, and one
 * that does not is told at once of a row that it neither knows nor has heard of.
 */
static const char *choose_reader(void *context, bool store_fails)
{
	store_rows_t *rows = context;
	const char *reader = NULL;

	rows->server_list.options.pause_us =
		list_relay_is_asked(&rows->list_relay) ? READER_PAUSE_US
						       : rows->list_pause_us;
	rows->server_list.known_config =
		rows->config.synced
			? MAX(rows->config.version, rows->newest_config)
			: 0;
	if (rows->handler->choose_list_reader)
		reader = rows->handler->choose_list_reader(rows->context,
							   store_fails);
	if (!reader) {
		store_watch_end_confirmation(&rows->config);
		store_watch_end_confirmation(&rows->own_table);
	}
	return reader;
}

static void on_reader_failed(void *context)
{
	store_rows_t *rows = context;

	rows->handler->on_list_reader_failed(rows->context);
}

/* Reads a table at once if it lacks a row that another VM has read: the read that waits
 * for it may be lost.
 */
static void recheck_if_behind(store_rows_t *rows, store_watch_t *watch,
			      int64_t newest)
{
	if (newest <= watch->version || !watch->waiting)
		return;
	log_event(LOG_WARN, "store_read_hangs",
		  LOG_CSTR("table", watch->options.table),
		  LOG_INT("known_version", watch->version),
		  LOG_INT("newest_of_others", newest));
	http_pool_close_idle(rows->pool, rows->address);
	store_watch_recheck(watch);
}

/* Reads the tables of which this VM lacked rows a short time ago, and still does. */
static void on_behind(void *context)
{
	store_rows_t *rows = context;

	recheck_if_behind(rows, &rows->config, rows->newest_config);
	recheck_if_behind(rows, &rows->own_table, rows->newest_own);
}

/* Notes which rows another VM has read in the other tables. This VM's reads of them
 * wait for many seconds, and it does not read the server list from the store, so that
 * nothing else shows that the store's answers are lost on the way to it. The word of a VM
 * whose own reads hang does not count.
 */
static void on_newest(void *context, const store_page_t *answer)
{
	store_rows_t *rows = context;

	rows->newest_config = answer->newest_config;
	rows->newest_own = answer->newest_own;
	store_watch_confirm(&rows->config, answer->config_age_us);
	store_watch_confirm(&rows->own_table, answer->own_age_us);
	if ((rows->newest_config > rows->config.version ||
	     rows->newest_own > rows->own_table.version) &&
	    rows->behind_check.at_us < 0)
		alarm_set(&rows->behind_check,
			  clock_now(&rows->clock) + BEHIND_US);
}

static const store_watch_handler_t servers_handler = {
	.on_sync_begin = servers_sync_begin,
	.on_row = servers_row,
	.on_sync_end = servers_sync_end,
	.on_reachable = servers_reachable,
	.on_silence = on_silence,
	.choose_reader = choose_reader,
	.on_reader_failed = on_reader_failed,
	.on_newest = on_newest,
};

/* --- rows of this project ---------------------------------------------- */

static void register_vm(void *context);

/* Applies the row of an entry VM. */
static void vm_row(store_rows_t *rows, const store_row_t *row)
{
	const char *vm = row->key + strlen(STORE_VM_PREFIX);
	str_t address = {NULL, 0};

	if (row->value)
		address = str_from_gstring(row->value);
	if (row->value && g_str_equal(vm, rows->vm))
		rows->own_row_read =
			str_equal(address, str_from(rows->own_address));
	/* Another VM considered this one dead and removed its row. */
	if (!row->value && g_str_equal(vm, rows->vm) &&
	    !store_call_is_busy(&rows->register_call))
		register_vm(rows);
	rows->handler->on_vm(rows->context, vm, address,
			     row->value ? row->version : 0);
}

/* Begins a full read of this project's table. */
static void own_sync_begin(void *context, bool restored)
{
	store_rows_t *rows = context;

	rows->own_row_read = false;
	rows->handler->on_own_sync(rows->context);
}

/* Writes this VM's row if a full read lacks it: at the first start of the VM, at a new
 * address, or after the store was restored from a copy that is older than the row. Each
 * write ends the waiting reads of all VMs, so a VM that starts again writes nothing.
 */
static void own_sync_end(void *context, bool outage)
{
	store_rows_t *rows = context;

	if (!rows->own_row_read && !store_call_is_busy(&rows->register_call))
		register_vm(rows);
}

/* Applies a row on requests that crash servers. */
static void crash_row(store_rows_t *rows, const store_row_t *row)
{
	str_t value = {NULL, 0};

	if (row->value)
		value = str_from_gstring(row->value);
	rows->handler->on_crash_row(rows->context, row->key, value,
				    row->value ? row->version : 0);
}

/* Applies a row on losses of servers. */
static void losses_row(store_rows_t *rows, const store_row_t *row)
{
	str_t value = {NULL, 0};

	if (row->value)
		value = str_from_gstring(row->value);
	rows->handler->on_losses_row(rows->context, row->key, value,
				     row->value ? row->version : 0);
}

/* Applies the record of the servers' versions of their software. */
static void software_record(store_rows_t *rows, const store_row_t *row)
{
	str_t value = {NULL, 0};

	if (row->value)
		value = str_from_gstring(row->value);
	rows->handler->on_software_row(rows->context, value,
				       row->value ? row->version : 0);
}

/* Applies a row of this project's table: an entry VM, a round of orders, requests
 * that crash servers, losses of servers or the servers' versions. Rows that a later build writes are
 * ignored.
 */
static void own_row(void *context, const store_row_t *row)
{
	store_rows_t *rows = context;

	if (g_str_has_prefix(row->key, STORE_VM_PREFIX))
		vm_row(rows, row);
	else if (g_str_has_prefix(row->key, STORE_CRASH_PREFIX))
		crash_row(rows, row);
	else if (g_str_has_prefix(row->key, STORE_LOSSES_PREFIX))
		losses_row(rows, row);
	else if (g_str_equal(row->key, STORE_SOFTWARE_KEY))
		software_record(rows, row);
	else if (row->value && row->value->len &&
		 g_str_has_prefix(row->key, STAGE_ROUND_PREFIX))
		rows->handler->on_round(rows->context,
					row->key + strlen(STAGE_ROUND_PREFIX),
					str_from_gstring(row->value));
}

/* Logs whether this project's table can be read. */
static void own_reachable(void *context, bool reachable)
{
	log_reachable(TABLE_ROUTER, reachable);
}

static const store_watch_handler_t own_handler = {
	.on_sync_begin = own_sync_begin,
	.on_row = own_row,
	.on_sync_end = own_sync_end,
	.on_reachable = own_reachable,
	.on_silence = on_silence,
};

/* Schedules another write of this VM's row if the write failed. */
static void on_registered(void *context, store_result_t result, str_t body)
{
	store_rows_t *rows = context;

	if (result == STORE_OK)
		return;
	log_event(LOG_WARN, "vm_not_entered", LOG_INT("result", result));
	if (result == STORE_OUTCOME_UNKNOWN)
		on_silence(rows);
	alarm_set(&rows->register_retry,
		  clock_now(&rows->clock) + REGISTER_RETRY_US);
}

/* Writes the row that tells where other entry VMs reach this one. Since the row
 * is always the same, it may be written again when an outcome is unknown.
 */
static void register_vm(void *context)
{
	store_rows_t *rows = context;
	GString *message = g_string_new(NULL);
	char *key = g_strconcat(STORE_VM_PREFIX, rows->vm, NULL);

	store_append_put(message, rows->address, TABLE_ROUTER, key,
			 str_from(rows->own_address));
	store_call_send(&rows->register_call, rows->address, message,
			clock_now(&rows->clock) + REGISTER_TIMEOUT_US,
			on_registered, rows);
	g_free(key);
	g_string_free(message, TRUE);
}

/* Starts to follow one table. */
static void follow(store_rows_t *rows, store_watch_t *watch, const char *table,
		   const store_watch_handler_t *handler, int64_t pause_us,
		   int64_t wait_us, int64_t confirmed_wait_us,
		   const store_watch_t *probe)
{
	store_watch_options_t options = {
		.table = table,
		.address = rows->address,
		.pause_us = pause_us,
		.relayed_pause_us = RELAYED_PAUSE_US,
		.wait_us = wait_us,
		.confirmed_wait_us = confirmed_wait_us,
		.probe = probe,
		.handler = handler,
		.context = rows,
	};

	store_watch_init(watch, rows->pool, rows->clock, &options);
}

/* Starts to follow the store's tables, and registers this VM once its row is known to
 * be missing or outdated. The addresses are copied; `vm`, `servers` and `handler` are borrowed.
 */
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
		.list_pause_us = SERVERS_PAUSE_US,
	};
	rows->server_rows = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, free_text);
	rows->unreadable =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	list_relay_init(&rows->list_relay, clock, &rows->server_list,
			&rows->config, &rows->own_table);
	alarm_init(&rows->expiry, clock, on_expiry, rows);
	alarm_init(&rows->behind_check, clock, on_behind, rows);
	alarm_init(&rows->outdated_expiry, clock, on_outdated_expiry, rows);
	alarm_init(&rows->register_retry, clock, register_vm, rows);
	store_call_init(&rows->register_call, pool);
	follow(rows, &rows->config, TABLE_CONFIG, &config_handler, 0,
	       CONFIG_WAIT_US, CONFIRMED_WAIT_US, &rows->server_list);
	follow(rows, &rows->server_list, TABLE_SERVERS, &servers_handler,
	       SERVERS_PAUSE_US, SERVERS_WAIT_US, 0, NULL);
	follow(rows, &rows->own_table, TABLE_ROUTER, &own_handler, 0,
	       OWN_WAIT_US, CONFIRMED_WAIT_US, &rows->config);
}

/* Stops following. The servers stay in their set. */
void store_rows_finish(store_rows_t *rows)
{
	store_watch_finish(&rows->config);
	store_watch_finish(&rows->server_list);
	store_watch_finish(&rows->own_table);
	list_relay_finish(&rows->list_relay);
	store_call_finish(&rows->register_call);
	alarm_finish(&rows->register_retry);
	alarm_finish(&rows->expiry);
	alarm_finish(&rows->behind_check);
	alarm_finish(&rows->outdated_expiry);
	g_hash_table_unref(rows->server_rows);
	g_hash_table_unref(rows->unreadable);
	g_free(rows->address);
	g_free(rows->own_address);
}

/* Sets the pauses between reads for a number of entry VMs. */
void store_rows_set_vm_count(store_rows_t *rows, unsigned vm_count)
{
	rows->list_pause_us =
		MIN(SERVERS_PAUSE_US + vm_count * SERVERS_PAUSE_PER_VM_US,
		    SERVERS_PAUSE_MAX_US);
	rows->own_table.options.pause_us =
		MIN(vm_count * OWN_PAUSE_PER_VM_US, OWN_PAUSE_MAX_US);
}

/* Returns how many reads were sent so far. */
uint64_t store_rows_reads(const store_rows_t *rows)
{
	return rows->config.reads + rows->server_list.reads +
	       rows->own_table.reads;
}
