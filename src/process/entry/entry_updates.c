#include "process/entry/entry_updates.h"

#include "process/decide/peer_choice.h"
#include "process/decide/server_addresses.h"
#include "process/entry/entry_list.h"
#include "process/entry/entry_origins.h"
#include "process/entry/entry_quarantine.h"
#include "process/log.h"
#include "request/server_notice.h"
#include "request/stream_call.h"

/* Share of the allowed retries that the VMs use. Backend servers count requests
 * in other time windows than the VMs do, so that using all allowed retries
 * could exceed the limit by a server's count.
 */
#define RETRY_USE_SHARE 0.8

/* Peers are asked to avoid a server after this many failures in a row. */
#define ANNOUNCED_FAILURES 2

/* How many VMs, on average, announce rounds of stage orders to their peers;
 * with fewer VMs all of them do.
 */
#define ROUND_ANNOUNCERS 32

/* How long peers are asked to avoid a server whose address answers as another one. They
 * are asked again for as long as that holds. If several servers name the address, each VM
 * has to find out which one has it, and peers are not asked.
 */
#define MISDIRECTED_AVOID_US (1 * CLOCK_US_PER_S)

/* Sets how many retries this VM may make: a share of its own requests, plus its
 * part of the further retries that all VMs together may make.
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
	ingress_set_limits(&entry->peers, &limits);
	entry_set_software_kept(entry);
	log_event(LOG_INFO, "config_in_force",
		  LOG_INT("version", table->version),
		  LOG_UINT("routes", table->routes->len));
}

/* Schedules the admission of waiting streams for the next turn of the main
 * loop, so that several changes in one turn cause only one attempt.
 */
static void schedule_admission(entry_t *entry)
{
	if (entry->admission_alarm.at_us < 0)
		alarm_set(&entry->admission_alarm, clock_now(&entry->clock));
}

/* Lets waiting streams use a change of the server list. */
static void on_servers(void *context)
{
	entry_t *entry = context;

	entry->next_software_us = 0;
	schedule_admission(entry);
}

/* Stores the address of another VM, or removes the VM if its row was removed,
 * and adjusts what depends on the number of VMs.
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
	if (row_version == 0 || announce_peer_address(&entry->announce, vm))
		vm_expiry_set_row(&entry->vm_expiry, vm, row_version);
	entry->vm_count = g_hash_table_size(entry->announce.peers) + 1;
	store_rows_set_vm_count(&entry->rows, entry->vm_count);
	server_limits_set_vms(&entry->relay.limits, entry->vm_count,
			      entry->occupancy.peer_ttl_us);
	entry_set_retry_budget(entry);
}

/* Applies a round of stage orders that was read from the store. */
static void on_round(void *context, const char *service, str_t value)
{
	entry_t *entry = context;

	log_event(LOG_INFO, "round_seen", LOG_STR("round", value));
	stage_orders_round_seen(&entry->orders, service, value, entry->table);
}

/* Applies a row on requests that crash servers, or its removal. */
static void on_crash_row(void *context, const char *key, str_t value,
			 int64_t row_version)
{
	entry_t *entry = context;

	quarantine_rows_put(&entry->quarantine_rows, key, value, row_version);
}

/* Applies a row on losses of servers, or its removal. */
static void on_losses_row(void *context, const char *key, str_t value,
			  int64_t row_version)
{
	entry_t *entry = context;

	loss_rows_put(&entry->loss_rows, key, value, row_version);
}

/* Applies the record of the servers' versions of their software. */
static void on_software_row(void *context, str_t value, int64_t row_version)
{
	entry_t *entry = context;

	software_row_put(&entry->software_row, value, row_version);
}

/* Begins a full read of this project's table. */
static void on_own_sync(void *context)
{
	entry_t *entry = context;

	software_row_begin_sync(&entry->software_row);
	quarantine_rows_begin_sync(&entry->quarantine_rows);
	loss_rows_begin_sync(&entry->loss_rows);
}

const store_rows_handler_t entry_rows_handler = {
	.on_config = on_config,
	.on_servers = on_servers,
	.on_departure = entry_on_departure,
	.on_return = entry_on_return,
	.on_vm = on_vm,
	.on_round = on_round,
	.on_crash_row = on_crash_row,
	.on_losses_row = on_losses_row,
	.on_software_row = on_software_row,
	.on_own_sync = on_own_sync,
	.choose_list_reader = entry_choose_list_reader,
	.on_list_reader_failed = entry_on_list_reader_failed,
};

/* Lets waiting streams use what a peer has announced. */
static void on_announcement(void *context)
{
	entry_t *entry = context;

	if (entry_has_waiting(entry))
		schedule_admission(entry);
}

/* Announces a change of this VM's use of the servers, and lets waiting streams
 * take a slot that became free.
 */
static void on_occupancy_changed(void *context)
{
	entry_t *entry = context;

	announce_schedule(&entry->announce);
	if (!g_queue_is_empty(&entry->relay.waiting))
		schedule_admission(entry);
}

/* Applies a peer's announcement that it suspects a server. A peer that reaches no
 * server of the service has likely lost its own links, so it is not believed.
 */
static void on_peer_suspects(void *context, const occupancy_peer_t *peer,
			     const char *id)
{
	entry_t *entry = context;
	server_t *server = server_set_find(&entry->servers, id);

	if (server &&
	    peer_reaches(peer, &entry->servers, server->entry.service))
		server_suspected_by_peer(server, clock_now(&entry->clock));
}

/* Applies a peer's announcement that a server gets no work until a time. The
 * server changes its stage, which this VM may not know if it cannot reach the
 * store, or its work failed, or it has left. The last does not hold if this VM has read
 * since that its entry is back, which the peer may read later.
 */
static void on_peer_unavailable(void *context, const char *id, int64_t until_us)
{
	entry_t *entry = context;
	server_t *server = server_set_find(&entry->servers, id);

	if (server && !departures_may_be_before(until_us, server->returned_us))
		server->avoided_until_us =
			MAX(server->avoided_until_us, until_us);
}

/* Applies the limit of a server that a peer has announced. */
static void on_peer_limit(void *context, const char *vm, const char *id,
			  const server_limit_t *limit)
{
	entry_t *entry = context;
	const server_t *server = server_set_find(&entry->servers, id);

	if (server)
		server_limits_apply_peer(&entry->relay.limits, id,
					 server->entry.service, vm, limit,
					 clock_now(&entry->clock));
}

/* Returns the time until which this VM announces a server as unavailable, so
 * that its peers send it no work; 0: not at all.
 */
static int64_t announced_unavailable_until_us(const entry_t *entry,
					      const server_t *server,
					      int64_t now_us)
{
	if (server->misdirected)
		return server_addresses_is_shared(&entry->servers, server)
			       ? 0
			       : now_us + MISDIRECTED_AVOID_US;
	if (server->changing_until_us > now_us)
		return entry_is_among(entry, ROUND_ANNOUNCERS)
			       ? server->changing_until_us
			       : 0;
	if (server->consecutive_failures >= ANNOUNCED_FAILURES &&
	    server->avoided_until_us > now_us)
		return server->avoided_until_us;
	return 0;
}

/* Returns whether peers are told that this VM suspects a server. Failed
 * connections of this VM alone concern them only if it reaches no server of the
 * service: then they pass no requests on to it.
 */
static bool is_suspicion_announced(const entry_t *entry, const server_t *server,
				   int64_t now_us)
{
	if (!server_is_suspect(server) || now_us < server->announced_from_us)
		return false;
	return !server->suspect_here_only ||
	       !server_set_reaches(&entry->servers, server->entry.service);
}

/* Sets which servers the announcements to peers name as suspect or as
 * unavailable. When there are more than before, an announcement is sent at
 * once.
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
	departures_append_to(&entry->departures, unavailable, now_us);
	g_hash_table_iter_init(&iter, entry->servers.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const server_t *server = value;

		if (is_suspicion_announced(entry, server, now_us))
			g_ptr_array_add(suspects, g_strdup(server->entry.id));
		if (announced_unavailable_until_us(entry, server, now_us) !=
		    0) {
			occupancy_unavailable_t item = {
				.until_us = announced_unavailable_until_us(
					entry, server, now_us)};

			g_strlcpy(item.server, server->entry.id,
				  sizeof(item.server));
			g_array_append_val(unavailable, item);
		}
	}
	if (suspects->len + unavailable->len > before)
		announce_schedule(&entry->announce);
}

/* Adds the limit of one server to the announcements. */
static void announce_limit(void *context, const char *server,
			   const server_limit_t *limit)
{
	GArray *limits = context;
	occupancy_limit_t item = {.limit = *limit};

	g_strlcpy(item.server, server, sizeof(item.server));
	g_array_append_val(limits, item);
}

/* Sets which limits of servers the announcements to peers hold. */
void entry_announce_limits(entry_t *entry, int64_t now_us)
{
	server_limits_expire(&entry->relay.limits, now_us);
	g_array_set_size(entry->occupancy.limits, 0);
	server_limits_visit(&entry->relay.limits, now_us, announce_limit,
			    entry->occupancy.limits);
}

/* Returns where a VM takes requests that others pass on. */
static const char *peer_address(void *context, const char *vm)
{
	const entry_t *entry = context;

	return announce_peer_address(&entry->announce, vm);
}

/* Sets the callbacks for changes by requests and by peers' announcements. */
void entry_set_callbacks(entry_t *entry)
{
	entry->relay.on_occupancy_changed = on_occupancy_changed;
	entry->relay.on_departure = entry_on_said_leaving;
	entry->relay.context = entry;
	entry->relay.peer_pool = &entry->peer_pool;
	entry->relay.peer_address = peer_address;
	entry->occupancy.on_suspect = on_peer_suspects;
	entry->occupancy.on_unavailable = on_peer_unavailable;
	entry->occupancy.on_limit = on_peer_limit;
	entry_set_quarantine_callbacks(entry);
	entry_set_origin_callbacks(entry);
	entry->occupancy.context = entry;
	entry->announce.zone = entry->settings.zone;
	entry->announce.forwards = strlen(entry->settings.zone) <=
				   OCCUPANCY_ZONE_BYTES;
	entry->announce.on_announcement = on_announcement;
	entry->announce.context = entry;
}

/* Starts to follow the store that the settings name. A version of the
 * configuration that is older than the one in force is ignored.
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

/* Records what an engine says of itself in the answer to an order. */
static void on_order_answer(void *context, server_t *server,
			    const http_head_t *head)
{
	entry_t *entry = context;

	server_notice_read(&entry->relay, server, head, "order");
}

/* Sets up the orders to engines, with the rounds kept at the store that the settings
 * name.
 */
void entry_init_orders(entry_t *entry)
{
	stage_orders_init(&entry->orders, entry->clock, &entry->store_pool,
			  &entry->server_pool, &entry->servers,
			  &entry->occupancy, entry->settings.vm,
			  entry->settings.store_address);
	entry->orders.on_answer = on_order_answer;
	entry->orders.context = entry;
}
