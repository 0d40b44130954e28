#include "process/entry/entry.h"

#include <glib-unix.h>
#include <signal.h>

#include "process/counters.h"
#include "process/entry/entry_origins.h"
#include "process/entry/entry_quarantine.h"
#include "process/entry/entry_updates.h"
#include "process/entry/entry_reload.h"
#include "process/entry/entry_status.h"
#include "process/log.h"
#include "process/entry/server_probe.h"
#include "request/plain_call.h"
#include "request/prefill_release.h"
#include "request/stream_call.h"

/* How long the link to a server or a peer may pass nothing before its connections count as
 * lost, probes of TCP included. A sound server falls silent for a second or so and goes on,
 * and the first probe is sent up to a second after the last segment.
 */
#define SERVER_USER_TIMEOUT_MS 2800

/* The same for the store, whose calls can be made again. */
#define STORE_USER_TIMEOUT_MS 1500

/* A packet reaches any server within milliseconds. TCP sends a lost opening
 * packet again only after a second; by then another server could have answered,
 * so the connection attempt is cancelled before that.
 */
#define CONNECT_TIMEOUT_US (300 * CLOCK_US_PER_MS)

/* When a refused caller should retry while this VM lacks a configuration or the
 * service.
 */
#define UNKNOWN_RETRY_US (500 * CLOCK_US_PER_MS)

/* Interval of periodic work. It is shorter while streams wait for admission,
 * which each tick tries beside the attempts that a change of the servers, of
 * the peers or of the VM's own requests triggers.
 */
#define TICK_US (50 * CLOCK_US_PER_MS)
#define WAITING_TICK_US (20 * CLOCK_US_PER_MS)

/* A tick that comes later than this follows a pause of the process. */
#define LATE_TICK_US (50 * CLOCK_US_PER_MS)

/* Interval between checks of the balance of stages. */
#define STAGE_CHECK_US (200 * CLOCK_US_PER_MS)

/* Limits of the callers' listener until a configuration sets others, and of
 * the other listeners for good.
 */
static const ingress_limits_t initial_limits = {
	.max_head_bytes = 16384,
	.max_body_bytes = 4 << 20,
	.head_timeout_us = 3 * CLOCK_US_PER_S,
	.idle_timeout_us = 15 * CLOCK_US_PER_S,
};

/* Memory for all that is kept of requests and responses, and the part of it that bodies of
 * requests may take: the rest is enough for the longest response. The smallest VMs have 88 MB:
 * 16 MB are the system's, 16 MB the kernel's for connections, and 9 MB a process takes without
 * requests.
 */
#define MAX_KEPT_BYTES ((size_t)32 << 20)
#define MAX_BODIES_BYTES ((size_t)24 << 20)

/* --- requests ---------------------------------------------------------- */

/* Answers 503 and counts the refusal. */
static void refuse(exchange_t *exchange, int64_t retry_after_us,
		   const char *text)
{
	counters_add(COUNTER_REQUESTS_REFUSED, 1);
	exchange_reply_lines(
		exchange, 503, retry_after_us,
		exchange_is_from_peer(exchange) ? peer_refusal_line(false) : "",
		text);
}

/* Starts a request. Returns false when the route's service does not exist. */
static bool start_call(entry_t *entry, exchange_t *exchange,
		       const table_route_t *route)
{
	if (route->kind == CALL_STREAM)
		return stream_call_start(&entry->relay, exchange, entry->table,
					 route);
	return plain_call_start(&entry->relay, exchange, entry->table, route);
}

/* Finds the route of a caller's request and starts the request, or answers it
 * with an error.
 */
static void caller_request(void *context, exchange_t *exchange)
{
	entry_t *entry = context;
	const http_head_t *head = exchange_head(exchange);
	const table_route_t *route;
	str_t path = http_path(str_from_gstring(head->target));

	if (list_relay_is_request(exchange)) {
		list_relay_request(&entry->rows.list_relay, exchange);
		return;
	}
	counters_add(COUNTER_REQUESTS, 1);
	if (!entry->table) {
		refuse(exchange, UNKNOWN_RETRY_US,
		       "no configuration is known yet");
		return;
	}
	if (exchange_is_from_peer(exchange) &&
	    passed_on_config_version(head) > entry->table->version) {
		refuse(exchange, UNKNOWN_RETRY_US,
		       "the VM has an older configuration");
		return;
	}
	route = route_table_match(
		entry->table, http_headers_get(&head->headers, "host"), path);
	if (!route) {
		log_event(LOG_INFO, "no_route",
			  LOG_STR("host",
				  http_headers_get(&head->headers, "host")),
			  LOG_STR("path", path),
			  LOG_INT("config_version", entry->table->version));
		exchange_reply_text(exchange, 404, 0, "no route");
		return;
	}
	if (drain_has_started(&entry->drain) &&
	    !drain_accepts(&entry->drain, relay_deadline_us(exchange, route),
			   clock_now(&entry->clock)))
		refuse(exchange, RELAY_STOPPING_RETRY_US,
		       RELAY_STOPPING_REASON);
	else if (!start_call(entry, exchange, route))
		refuse(exchange, UNKNOWN_RETRY_US,
		       "the route leads to no service");
}

/* Informs the request, if one was started, that its caller has disconnected. */
static void caller_gone(void *context, exchange_t *exchange)
{
	entry_t *entry = context;
	relay_request_t *request = exchange_context(exchange);

	if (list_relay_gone(&entry->rows.list_relay, exchange))
		return;
	if (request)
		request->on_gone(request->owner);
}

/* Counts and logs a request that the listener has refused. */
static void caller_refused(void *context, const exchange_t *exchange,
			   int64_t retry_after_us)
{
	const entry_t *entry = context;
	const http_head_t *head = exchange_head(exchange);
	str_t path = http_path(str_from_gstring(head->target));
	str_t host = http_headers_get(&head->headers, "host");
	const table_route_t *route = NULL;

	if (entry->table)
		route = route_table_match(entry->table, host, path);
	if (route)
		route_metrics_count(route->name, RESULT_REFUSED);
	counters_add(COUNTER_REQUESTS, 1);
	counters_add(COUNTER_REQUESTS_REFUSED, 1);
	log_event(LOG_INFO, "request_refused",
		  LOG_STR("request",
			  http_headers_get(&head->headers, "x-request-id")),
		  LOG_CSTR("route", route ? route->name : ""),
		  LOG_CSTR("reason", INGRESS_NO_ROOM_REASON),
		  LOG_UINT("bodies_bytes", entry->bodies.used_bytes),
		  LOG_UINT("all_bytes", entry->kept.used_bytes),
		  LOG_INT("retry_after_ms", retry_after_us / CLOCK_US_PER_MS));
}

/* Informs the request, if one was started, that its caller is not behind. */
static void caller_caught_up(void *context, exchange_t *exchange)
{
	relay_request_t *request = exchange_context(exchange);

	if (request && request->on_caught_up)
		request->on_caught_up(request->owner);
}

static const ingress_handler_t caller_handler = {
	.on_request = caller_request,
	.on_gone = caller_gone,
	.on_caught_up = caller_caught_up,
	.on_no_room = caller_refused,
};

/* Tries to admit waiting streams. Called by the alarm that a change sets. */
static void on_admit(void *context)
{
	entry_t *entry = context;

	stream_calls_admit(&entry->relay);
}

/* --- shutdown ----------------------------------------------- */

/* Returns whether callers would be cut off if a listener ended now, although no exchange is
 * in progress.
 */
static bool is_busy(const ingress_t *ingress)
{
	return ingress_has_unread(ingress) || ingress_is_sending(ingress);
}

/* Answers a request that is still in progress when the process ends. */
static void answer_at_stop(void *context, exchange_t *exchange)
{
	relay_request_t *request = exchange_context(exchange);

	if (request)
		request->on_stop(request->owner);
}

/* Ends the process. What is still in progress is answered first: a closed connection
 * would tell its caller less.
 */
static void stop(entry_t *entry)
{
	log_event(LOG_INFO, "drained",
		  LOG_UINT("active", entry->callers.active),
		  LOG_UINT("active_of_peers", entry->peers.active));
	ingress_visit_exchanges(&entry->callers, answer_at_stop, NULL);
	ingress_visit_exchanges(&entry->peers, answer_at_stop, NULL);
	g_main_loop_quit(entry->loop);
}

/* Takes the next step of the shutdown when it is due. */
static void check_drain(entry_t *entry, int64_t now_us)
{
	unsigned active = entry->callers.active + entry->peers.active;

	/* What callers have sent counts, although it was not read yet, and so do
	 * responses that they have not got yet.
	 */
	if (drain_has_started(&entry->drain))
		active += (is_busy(&entry->callers) ? 1 : 0) +
			  (is_busy(&entry->peers) ? 1 : 0);
	switch (drain_next(&entry->drain, active, now_us)) {
	case DRAIN_CONTINUE:
		break;
	case DRAIN_CLOSE_IDLE:
		ingress_close_idle(&entry->callers);
		ingress_close_idle(&entry->peers);
		break;
	case DRAIN_STOP:
		stop(entry);
		break;
	}
}

/* Starts the shutdown. Later signals change nothing. */
static gboolean on_sigterm(gpointer data)
{
	entry_t *entry = data;
	int64_t now_us = clock_now(&entry->clock);
	int64_t limit_us = (int64_t)(entry->settings.shutdown_limit_s *
				     (double)CLOCK_US_PER_S);

	if (drain_has_started(&entry->drain))
		return G_SOURCE_CONTINUE;
	drain_start(&entry->drain, now_us, now_us + limit_us);
	ingress_set_closing(&entry->callers);
	ingress_set_closing(&entry->peers);
	list_relay_close(&entry->rows.list_relay);
	entry->announce.forwards = false;
	announce_schedule(&entry->announce);
	log_event(LOG_INFO, "draining",
		  LOG_UINT("active", entry->callers.active));
	return G_SOURCE_CONTINUE;
}

/* Reads the settings file again on SIGHUP. */
static gboolean on_sighup(gpointer data)
{
	entry_reload(data);
	return G_SOURCE_CONTINUE;
}

/* Checks the balance of stages of all model services. It runs less often than
 * each tick, as it goes through all servers for each service.
 */
static void check_stages(entry_t *entry, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (now_us < entry->next_stage_check_us || !entry->table ||
	    drain_has_started(&entry->drain))
		return;
	entry->next_stage_check_us = now_us + STAGE_CHECK_US;
	g_hash_table_iter_init(&iter, entry->table->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const table_service_t *service = value;
		stage_balance_t work =
			stream_calls_mean_cost(&entry->relay, service);

		if (service->is_engine)
			stage_orders_start_if_due(&entry->orders, service,
						  &work);
	}
}

/* Sets the time of the next tick. */
static void set_tick(entry_t *entry, int64_t at_us)
{
	entry->tick_due_us = at_us;
	alarm_set(&entry->tick, at_us);
}

/* Returns whether a tick is the first one after a pause of the process. What servers
 * and peers have sent meanwhile is not read yet, so that they would seem silent.
 */
static bool follows_pause(entry_t *entry, int64_t now_us)
{
	bool late = now_us > entry->tick_due_us + LATE_TICK_US;

	entry->tick_put_off = late && !entry->tick_put_off;
	return entry->tick_put_off;
}

/* Does the periodic work that no change triggers, and sets the next tick. */
static void on_tick(void *context)
{
	entry_t *entry = context;
	int64_t now_us = clock_now(&entry->clock);
	bool waiting = entry_has_waiting(entry);

	if (follows_pause(entry, now_us)) {
		set_tick(entry, now_us);
		return;
	}
	set_tick(entry, now_us + (waiting ? WAITING_TICK_US : TICK_US));
	if (waiting)
		stream_calls_admit(&entry->relay);
	stream_calls_check_silence(&entry->relay);
	answer_room_grant(&entry->relay.room, now_us);
	entry_announce_servers(entry, now_us);
	entry_announce_limits(entry, now_us);
	entry_update_quarantine(entry, now_us);
	entry_update_origins(entry, now_us);
	entry_log_reached(entry, now_us);
	server_probe_send_due(&entry->relay, entry->table, now_us);
	check_stages(entry, now_us);
	vm_expiry_check(&entry->vm_expiry, entry->settings.store_address,
			now_us);
	check_drain(entry, now_us);
	entry_reload_if_changed(entry, now_us);
}

/* --- start and end ----------------------------------------------------- */

/* Opens the listeners and the socket for announcements to other entry VMs. Other
 * VMs pass requests on to the address of that socket, over TCP. The time of day
 * serves as incarnation: it is greater in each later process. False when an
 * address cannot be used.
 */
static bool listen_all(entry_t *entry)
{
	const entry_settings_t *settings = &entry->settings;

	return ingress_init(&entry->callers, settings->callers_address,
			    entry->clock, &initial_limits, &caller_handler,
			    entry) &&
	       ingress_init(&entry->peers, settings->peer_address, entry->clock,
			    &initial_limits, &caller_handler, entry) &&
	       ingress_init(&entry->ready, settings->ready_address,
			    entry->clock, &initial_limits, &entry_ready_handler,
			    entry) &&
	       ingress_init(&entry->metrics, settings->metrics_address,
			    entry->clock, &initial_limits,
			    &entry_metrics_handler, entry) &&
	       announce_init(&entry->announce, settings->peer_address,
			     entry->clock, settings->vm,
			     (uint64_t)g_get_real_time(), &entry->occupancy);
}

/*
 * Starts to listen and to follow the store. Takes ownership of the settings'
 * texts and empties *settings; the path is borrowed. False when an address
 * cannot be used; entry_finish() is required in both cases.
 */
bool entry_init(entry_t *entry, const char *settings_path,
		entry_settings_t *settings, clock_source_t clock)
{
	*entry = (entry_t){
		.settings_path = settings_path,
		.settings = *settings,
		.clock = clock,
		.vm_count = 1,
	};
	memset(settings, 0, sizeof(*settings));
	entry_record_settings_mtime(entry);
	entry->loop = g_main_loop_new(NULL, FALSE);
	/* A signal without a handler would end a process that listens already,
	 * and with it its callers' connections.
	 */
	entry->term_source = g_unix_signal_add(SIGTERM, on_sigterm, entry);
	entry->hup_source = g_unix_signal_add(SIGHUP, on_sighup, entry);
	http_pool_init(&entry->server_pool, clock, SERVER_USER_TIMEOUT_MS,
		       CONNECT_TIMEOUT_US);
	entry->server_pool.id_header = "x-request-id";
	http_pool_init(&entry->peer_pool, clock, SERVER_USER_TIMEOUT_MS,
		       CONNECT_TIMEOUT_US);
	http_pool_init(&entry->store_pool, clock, STORE_USER_TIMEOUT_MS,
		       CONNECT_TIMEOUT_US);
	server_set_init(&entry->servers);
	departures_init(&entry->departures);
	list_readers_init(&entry->list_readers);
	occupancy_init(&entry->occupancy);
	relay_init(&entry->relay, clock, &entry->server_pool, &entry->servers,
		   &entry->occupancy, entry->settings.zone);
	memory_budget_init(&entry->kept, MAX_KEPT_BYTES);
	memory_budget_init(&entry->bodies, MAX_BODIES_BYTES);
	entry->bodies.whole = &entry->kept;
	entry->relay.kept.whole = &entry->kept;
	entry->server_pool.heads = &entry->relay.kept;
	entry->peer_pool.heads = &entry->relay.kept;
	entry_set_retry_budget(entry);
	alarm_init(&entry->tick, clock, on_tick, entry);
	alarm_init(&entry->admission_alarm, clock, on_admit, entry);
	if (!listen_all(entry))
		return false;
	entry->peers.from_peers = true;
	entry->peers.refusal_lines = peer_refusal_line(false);
	entry->peers.bodies = &entry->bodies;
	entry->callers.bodies = &entry->bodies;
	entry_init_orders(entry);
	vm_expiry_init(&entry->vm_expiry, clock, &entry->store_pool,
		       &entry->announce);
	software_row_init(&entry->software_row, clock, &entry->store_pool,
			  &entry->announce, &entry->relay.software,
			  entry->settings.bootstrap);
	origin_rows_init(&entry->origin_rows, clock, &entry->store_pool,
			 &entry->relay.origins, entry->settings.vm,
			 entry->announce.incarnation);
	quarantine_rows_init(&entry->quarantine_rows, clock, &entry->store_pool,
			     &entry->relay.quarantine, entry->settings.vm);
	loss_rows_init(&entry->loss_rows, clock, &entry->store_pool,
		       &entry->relay.quarantine, entry->settings.vm);
	entry->unreached =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	entry->logged_rules =
		g_array_new(FALSE, FALSE, sizeof(quarantine_rule_t));
	entry_set_callbacks(entry);
	entry_follow_store(entry);
	set_tick(entry, clock_now(&clock) + TICK_US);
	return true;
}

/* Serves until the shutdown that SIGTERM starts is complete. */
void entry_run(entry_t *entry)
{
	log_event(LOG_INFO, "started",
		  LOG_CSTR("version", GOOSEBERRYSPUR_VERSION),
		  LOG_CSTR("callers", entry->settings.callers_address),
		  LOG_CSTR("store", entry->settings.store_address));
	g_main_loop_run(entry->loop);
	log_event(LOG_INFO, "stopped",
		  LOG_INT("requests", counters_get(COUNTER_REQUESTS)));
}

/* Frees what requests share. If requests are still active at the end of the
 * process, they use it until the process exits, and it is not freed.
 */
static void finish_shared(entry_t *entry)
{
	if (entry->relay.active > 0)
		return;
	ingress_finish(&entry->callers);
	ingress_finish(&entry->peers);
	ingress_finish(&entry->ready);
	ingress_finish(&entry->metrics);
	prefill_releases_cancel(&entry->relay);
	server_probes_cancel(&entry->relay);
	relay_finish(&entry->relay);
	occupancy_finish(&entry->occupancy);
	server_set_finish(&entry->servers);
	departures_finish(&entry->departures);
	list_readers_finish(&entry->list_readers);
	http_pool_finish(&entry->server_pool);
	http_pool_finish(&entry->peer_pool);
	http_pool_finish(&entry->store_pool);
}

/* Frees everything, also after a failed entry_init(). Requests in progress end
 * when the exit of the process closes their connections.
 */
void entry_finish(entry_t *entry)
{
	g_source_remove(entry->term_source);
	g_source_remove(entry->hup_source);
	if (entry->rows.address) { /* entry_init() reached its end */
		store_rows_finish(&entry->rows);
		stage_orders_finish(&entry->orders);
		vm_expiry_finish(&entry->vm_expiry);
		quarantine_rows_finish(&entry->quarantine_rows);
		loss_rows_finish(&entry->loss_rows);
		software_row_finish(&entry->software_row);
		origin_rows_finish(&entry->origin_rows);
		g_array_unref(entry->logged_rules);
		g_hash_table_unref(entry->unreached);
	}
	alarm_finish(&entry->tick);
	alarm_finish(&entry->admission_alarm);
	announce_finish(&entry->announce);
	finish_shared(entry);
	entry_settings_finish(&entry->settings);
	route_table_unref(entry->table);
	g_main_loop_unref(entry->loop);
	g_free(entry->list_reader);
}
