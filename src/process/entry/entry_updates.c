#include "process/entry/entry_updates.h"

#include "process/log.h"
#include "request/stream_call.h"

/* Share of the allowed second sends that is used. Other VMs count requests in
 * other windows than the backend servers do.
 */
#define RETRY_USE 0.8

/* Peers are told of a server at which so many requests in a row failed. */
#define TOLD_REFUSALS 2

/* VMs that repeat rounds of stage orders to their peers, on average; with fewer
 * VMs all of them do.
 */
#define ROUND_TELLERS 32

/* A server whose address answers as another one is gone; its entry lapses. */
#define MISDIRECTED_TOLD_US (3 * CLOCK_US_PER_S)

/* Second sends of one VM: its own requests' share, and its part of the slack. */
void entry_set_retry_budget(entry_t *entry)
{
	unsigned routers = MAX(entry->routers, 1);

	relay_set_retry_limits(
		&entry->relay, entry->settings.retry_share * RETRY_USE,
		entry->settings.retry_slack * RETRY_USE / routers);
}

static void on_config(void *context, route_table_t *table)
{
	entry_t *entry = context;
	ingress_limits_t limits = {
		.max_head_bytes = table->limits.max_head_bytes,
		.max_body_bytes = table->limits.max_body_bytes,
		.head_timeout_us = table->limits.head_timeout_us,
		.idle_timeout_us = table->limits.idle_timeout_us,
	};

	route_table_unref(entry->table);
	entry->table = route_table_ref(table);
	ingress_set_limits(&entry->callers, &limits);
	log_event(LOG_INFO, "config_in_force",
		  LOG_INT("version", table->version),
		  LOG_UINT("routes", table->routes->len));
}

static void admit_soon(entry_t *entry)
{
	if (entry->admit.at_us < 0)
		alarm_set(&entry->admit, clock_now(&entry->clock));
}

static void on_servers(void *context)
{
	admit_soon(context);
}

static void on_router(void *context, const char *vm, str_t address,
		      int64_t row_version)
{
	entry_t *entry = context;
	char *text = str_dup(address);

	if (address.len)
		announce_set_peer(&entry->announce, vm, text);
	else
		announce_remove_peer(&entry->announce, vm);
	g_free(text);
	vm_expiry_set_row(&entry->lapse, vm, row_version);
	entry->routers = g_hash_table_size(entry->announce.peers) + 1;
	store_rows_set_vm_count(&entry->rows, entry->routers);
	entry_set_retry_budget(entry);
}

static void on_round(void *context, str_t value)
{
	entry_t *entry = context;

	log_event(LOG_INFO, "round_seen", LOG_STR("round", value));
	stage_orders_round_seen(&entry->orders, value, entry->table);
}

const store_rows_handler_t entry_rows_handler = {
	.on_config = on_config,
	.on_servers = on_servers,
	.on_router = on_router,
	.on_round = on_round,
};

static void on_peer_news(void *context)
{
	entry_t *entry = context;

	if (!g_queue_is_empty(&entry->relay.waiting))
		admit_soon(entry);
}

static void on_occupancy_changed(void *context)
{
	entry_t *entry = context;

	announce_schedule(&entry->announce);
	if (!g_queue_is_empty(&entry->relay.waiting))
		admit_soon(entry);
}

static void on_peer_suspects(void *context, const char *id)
{
	entry_t *entry = context;
	server_t *server = server_set_find(&entry->servers, id);

	if (server)
		server_suspected_by_peer(server, clock_now(&entry->clock));
}

/* A peer that reaches the store knows of a change that this VM may not, and
 * one that had work fail knows of a sick server.
 */
static void on_peer_changing(void *context, const char *id, int64_t until_us)
{
	entry_t *entry = context;
	server_t *server = server_set_find(&entry->servers, id);

	if (server)
		server->avoided_until_us =
			MAX(server->avoided_until_us, until_us);
}

/* A round of stage orders is a row that all VMs read. Of many VMs only some
 * repeat it, for those that do not reach the store.
 */
static bool tells_of_rounds(const entry_t *entry)
{
	return g_str_hash(entry->settings.vm) % MAX(entry->routers, 1) <
	       ROUND_TELLERS;
}

/* Until when peers should give a server no work; 0: they may. */
static int64_t closed_until(const entry_t *entry, const server_t *server,
			    int64_t now_us)
{
	if (server->address_reused)
		return now_us + MISDIRECTED_TOLD_US;
	if (server->changing_until_us > now_us)
		return tells_of_rounds(entry) ? server->changing_until_us : 0;
	if (server->failures_in_row >= TOLD_REFUSALS &&
	    server->avoided_until_us > now_us)
		return server->avoided_until_us;
	return 0;
}

/* Tells peers which servers are out of reach or change their stage; at once
 * when there are more than before.
 */
void entry_announce_servers(entry_t *entry, int64_t now_us)
{
	GPtrArray *suspects = entry->occupancy.suspects;
	GArray *unavailable = entry->occupancy.unavailable;
	guint before = suspects->len + unavailable->len;
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_set_size(suspects, 0);
	g_array_set_size(unavailable, 0);
	g_hash_table_iter_init(&iter, entry->servers.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const server_t *server = value;

		if (server_is_suspect(server))
			g_ptr_array_add(suspects, g_strdup(server->entry.id));
		if (closed_until(entry, server, now_us) != 0) {
			occupancy_unavailable_t change = {
				.until_us =
					closed_until(entry, server, now_us)};

			g_strlcpy(change.server, server->entry.id,
				  sizeof(change.server));
			g_array_append_val(unavailable, change);
		}
	}
	if (suspects->len + unavailable->len > before)
		announce_schedule(&entry->announce);
}

/* Listens to what the requests, and the peers' announcements, change. */
void entry_set_callbacks(entry_t *entry)
{
	entry->relay.on_occupancy_changed = on_occupancy_changed;
	entry->relay.context = entry;
	entry->occupancy.on_suspect = on_peer_suspects;
	entry->occupancy.on_unavailable = on_peer_changing;
	entry->occupancy.context = entry;
	entry->announce.on_announcement = on_peer_news;
	entry->announce.context = entry;
}

/* Starts to follow the store that the settings name. */
void entry_follow_store(entry_t *entry)
{
	store_rows_init(&entry->rows, &entry->store_pool, entry->clock,
			entry->settings.store_address, entry->settings.vm,
			entry->settings.peer_address, &entry->servers,
			&entry_rows_handler, entry);
	if (entry->table)
		entry->rows.version = entry->table->version;
}
