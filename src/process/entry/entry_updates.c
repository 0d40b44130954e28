#include "process/entry/entry_updates.h"

#include "process/log.h"
#include "request/stream_call.h"

/* Share of the allowed retries that the VMs use. They count requests in other
 * time windows than the backend servers do, so that using all of it could
 * exceed the limit as a server counts.
 */
#define RETRY_USE_SHARE 0.8

/* Peers are asked to avoid a server after this many consecutive_failures in a row. */
#define ANNOUNCED_FAILURES 2

/* How many VMs, on average, announce rounds of stage orders to their peers;
 * with fewer VMs all of them do.
 */
#define ROUND_ANNOUNCERS 32

/* How long peers are asked to avoid a server whose address answers as another
 * server. It is gone, and its entry in the store expires.
 */
#define ADDRESS_REUSED_AVOID_US (3 * CLOCK_US_PER_S)

/* Sets how often this VM may send a request a second time: for a share of its
 * own requests, and its part of the slack that all VMs divide.
 */
void entry_set_retry_budget(entry_t *entry)
{
	unsigned vm_count = MAX(entry->vm_count, 1);

	relay_set_retry_limits(
		&entry->relay, entry->settings.retry_share * RETRY_USE_SHARE,
		entry->settings.retry_slack * RETRY_USE_SHARE / vm_count);
}

/* Puts a new configuration in force. Requests in progress keep the old one. */
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

/* Has waiting streams tried for admission in the next turn of the main loop, so
 * that several changes of one turn cost one attempt.
 */
static void schedule_admission(entry_t *entry)
{
	if (entry->admission_alarm.at_us < 0)
		alarm_set(&entry->admission_alarm, clock_now(&entry->clock));
}

static void on_servers(void *context)
{
	schedule_admission(context);
}

/* Takes in where another VM is reached, or that its row was removed, and
 * adjusts what depends on the number of VMs.
 */
static void on_vm(void *context, const char *vm, str_t address,
		  int64_t row_version)
{
	entry_t *entry = context;
	char *text = str_dup(address);

	if (address.len)
		announce_set_peer(&entry->announce, vm, text);
	else
		announce_remove_peer(&entry->announce, vm);
	g_free(text);
	vm_expiry_set_row(&entry->vm_expiry, vm, row_version);
	entry->vm_count = g_hash_table_size(entry->announce.peers) + 1;
	store_rows_set_vm_count(&entry->rows, entry->vm_count);
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
	.on_vm = on_vm,
	.on_round = on_round,
};

static void on_announcement(void *context)
{
	entry_t *entry = context;

	if (!g_queue_is_empty(&entry->relay.waiting))
		schedule_admission(entry);
}

/* What this VM uses of the servers has changed: announces it, and lets waiting
 * streams take a place that became free.
 */
static void on_occupancy_changed(void *context)
{
	entry_t *entry = context;

	announce_schedule(&entry->announce);
	if (!g_queue_is_empty(&entry->relay.waiting))
		schedule_admission(entry);
}

/* A peer announced that it suspects a server. */
static void on_peer_suspects(void *context, const char *id)
{
	entry_t *entry = context;
	server_t *server = server_set_find(&entry->servers, id);

	if (server)
		server_suspected_by_peer(server, clock_now(&entry->clock));
}

/* A peer announced a server to avoid: one that changes its stage, which this
 * VM may not know if it cannot reach the store, or one whose work failed.
 */
static void on_peer_avoids(void *context, const char *id, int64_t until_us)
{
	entry_t *entry = context;
	server_t *server = server_set_find(&entry->servers, id);

	if (server)
		server->avoided_until_us =
			MAX(server->avoided_until_us, until_us);
}

/* Tells whether this VM announces rounds of stage orders. All VMs read a round
 * from the store; it is announced for those that cannot reach the store, and
 * when there are many VMs a part of them is enough for that.
 */
static bool announces_rounds(const entry_t *entry)
{
	return g_str_hash(entry->settings.vm) % MAX(entry->vm_count, 1) <
	       ROUND_ANNOUNCERS;
}

/* Returns until when peers should avoid a server; 0: they need not. */
static int64_t peers_avoid_until_us(const entry_t *entry,
				    const server_t *server, int64_t now_us)
{
	if (server->address_reused)
		return now_us + ADDRESS_REUSED_AVOID_US;
	if (server->changing_until_us > now_us)
		return announces_rounds(entry) ? server->changing_until_us : 0;
	if (server->consecutive_failures >= ANNOUNCED_FAILURES &&
	    server->avoided_until_us > now_us)
		return server->avoided_until_us;
	return 0;
}

/* Sets which servers the announcements to peers name as suspect or to be
 * avoided. When there are more than before, an announcement is sent at once.
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
		if (peers_avoid_until_us(entry, server, now_us) != 0) {
			occupancy_unavailable_t change = {
				.until_us = peers_avoid_until_us(entry, server,
								 now_us)};

			g_strlcpy(change.server, server->entry.id,
				  sizeof(change.server));
			g_array_append_val(unavailable, change);
		}
	}
	if (suspects->len + unavailable->len > before)
		announce_schedule(&entry->announce);
}

/* Sets the callbacks for changes by requests and by peers' announcements. */
void entry_set_callbacks(entry_t *entry)
{
	entry->relay.on_occupancy_changed = on_occupancy_changed;
	entry->relay.context = entry;
	entry->occupancy.on_suspect = on_peer_suspects;
	entry->occupancy.on_unavailable = on_peer_avoids;
	entry->occupancy.context = entry;
	entry->announce.on_announcement = on_announcement;
	entry->announce.context = entry;
}

/* Starts to follow the store that the settings name. A version of the
 * configuration that is older than the one in force is not taken from it.
 */
void entry_follow_store(entry_t *entry)
{
	store_rows_init(&entry->rows, &entry->store_pool, entry->clock,
			entry->settings.store_address, entry->settings.vm,
			entry->settings.peer_address, &entry->servers,
			&entry_rows_handler, entry);
	if (entry->table)
		entry->rows.version = entry->table->version;
}
