#include "process/entry.h"

#include <glib-unix.h>
#include <signal.h>
#include <sys/stat.h>

#include "names.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/server_probe.h"
#include "request/plain_call.h"
#include "request/stream_call.h"

/* Unacknowledged data ends a connection to a server or the store. */
#define USER_TIMEOUT_MS 1500

/* The way to any server takes milliseconds; a lost opening packet is sent again
 * only after a second, when another server has long answered.
 */
#define CONNECT_TIMEOUT_US (300 * CLOCK_US_PER_MS)

/* Time to come back to another VM while this one is stopping. */
#define STOPPING_RETRY_US (50 * CLOCK_US_PER_MS)

/* Time to come back while nothing is known yet. */
#define UNKNOWN_RETRY_US (500 * CLOCK_US_PER_MS)

/* Housekeeping, and decisions on waiting streams beside those that news bring.
 */
#define TICK_US (50 * CLOCK_US_PER_MS)
#define WAITING_TICK_US (20 * CLOCK_US_PER_MS)
#define SETTINGS_CHECK_US (1 * CLOCK_US_PER_S)

/* Peers are told of a server at which so many requests in a row failed. */
#define TOLD_REFUSALS 2

/* A server whose address answers as another one is gone; its entry lapses. */
#define MISDIRECTED_TOLD_US (3 * CLOCK_US_PER_S)

/* Share of the allowed second sends that is used. Other VMs count requests in
 * other windows than the backend servers do.
 */
#define RETRY_USE 0.8

/* Limits before a configuration names others. */
static const ingress_limits_t first_limits = {
	.max_head_bytes = 16384,
	.max_body_bytes = 4 << 20,
	.head_timeout_us = 3 * CLOCK_US_PER_S,
	.idle_timeout_us = 15 * CLOCK_US_PER_S,
};

/* --- readiness --------------------------------------------------------- */

static bool is_ready(entry_t *entry)
{
	return !drain_is_on(&entry->drain) && entry->table &&
	       server_set_usable(&entry->servers) > 0;
}

static void ready_request(void *context, exchange_t *exchange)
{
	entry_t *entry = context;
	bool ready = is_ready(entry);

	if (ready != entry->was_ready)
		log_event(LOG_INFO, "ready_changed", LOG_INT("ready", ready),
			  LOG_INT("config_version",
				  entry->table ? entry->table->version : 0),
			  LOG_UINT("servers",
				   server_set_usable(&entry->servers)));
	entry->was_ready = ready;
	exchange_reply_own(exchange, ready ? 200 : 503, 0,
			   ready ? "ready" : "not ready");
}

static void ignore_gone(void *context, exchange_t *exchange)
{
}

static const ingress_handler_t ready_handler = {
	.on_request = ready_request,
	.on_gone = ignore_gone,
};

static void metrics_request(void *context, exchange_t *exchange)
{
	entry_t *entry = context;
	GString *text = g_string_new(NULL);
	http_headers_t headers;

	counters_set(GAUGE_REQUESTS_ACTIVE, entry->relay.active);
	counters_set(GAUGE_STATE_VERSION,
		     entry->table ? entry->table->version : 0);
	counters_set(GAUGE_PLATFORM_UP, entry->rows.config.reachable);
	counters_set(GAUGE_MEMBERS_ALIVE,
		     occupancy_live_peers(&entry->occupancy,
					  clock_now(&entry->clock)) +
			     1);
	counters_print(text);
	http_headers_init(&headers);
	http_headers_add(&headers, STR("Content-Type"),
			 STR("text/plain; version=0.0.4"));
	exchange_reply(exchange, 200, &headers, str_from_gstring(text));
	http_headers_finish(&headers);
	g_string_free(text, TRUE);
}

static const ingress_handler_t metrics_handler = {
	.on_request = metrics_request,
	.on_gone = ignore_gone,
};

/* --- requests ---------------------------------------------------------- */

static void refuse(exchange_t *exchange, int64_t retry_after_us,
		   const char *text)
{
	counters_add(COUNTER_REQUESTS_REFUSED, 1);
	exchange_reply_own(exchange, 503, retry_after_us, text);
}

static bool start_call(entry_t *entry, exchange_t *exchange,
		       const table_route_t *route)
{
	if (route->kind == CALL_STREAM)
		return stream_call_start(&entry->relay, exchange, entry->table,
					 route);
	return plain_call_start(&entry->relay, exchange, entry->table, route);
}

static void caller_request(void *context, exchange_t *exchange)
{
	entry_t *entry = context;
	const http_head_t *head = exchange_head(exchange);
	const table_route_t *route;
	str_t path = http_path(str_from_gstring(head->target));

	counters_add(COUNTER_REQUESTS, 1);
	if (!entry->table) {
		refuse(exchange, UNKNOWN_RETRY_US,
		       "no configuration is known yet");
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
		exchange_reply_own(exchange, 404, 0, "no route");
		return;
	}
	if (!drain_accepts(&entry->drain, route, clock_now(&entry->clock)))
		refuse(exchange, STOPPING_RETRY_US, "the process is stopping");
	else if (!start_call(entry, exchange, route))
		refuse(exchange, UNKNOWN_RETRY_US,
		       "the route leads to no service");
}

static void caller_gone(void *context, exchange_t *exchange)
{
	relay_request_t *request = exchange_context(exchange);

	if (request)
		request->on_gone(request->owner);
}

static const ingress_handler_t caller_handler = {
	.on_request = caller_request,
	.on_gone = caller_gone,
};

/* --- news -------------------------------------------------------------- */

/* Second sends of one VM: its own requests' share, and its part of the slack. */
static void share_retries(entry_t *entry)
{
	unsigned routers = MAX(entry->routers, 1);

	relay_set_retries(&entry->relay,
			  entry->settings.retry_share * RETRY_USE,
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

static void on_router(void *context, const char *vm, str_t address)
{
	entry_t *entry = context;
	char *text = str_dup(address);

	if (address.len)
		announce_set_peer(&entry->announce, vm, text);
	else
		announce_remove_peer(&entry->announce, vm);
	g_free(text);
	entry->routers = g_hash_table_size(entry->announce.peers) + 1;
	store_rows_set_routers(&entry->rows, entry->routers);
	share_retries(entry);
}

static void on_round(void *context, str_t value)
{
	entry_t *entry = context;

	log_event(LOG_INFO, "round_seen", LOG_STR("round", value));
	stage_orders_round_seen(&entry->orders, value, entry->table);
}

static const store_rows_handler_t rows_handler = {
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

static void on_occupancy(void *context)
{
	entry_t *entry = context;

	announce_changed(&entry->announce);
	if (!g_queue_is_empty(&entry->relay.waiting))
		admit_soon(entry);
}

static void on_admit(void *context)
{
	entry_t *entry = context;

	stream_calls_admit(&entry->relay);
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

/* Until when peers should give a server no work; 0: they may. */
static int64_t closed_until(const server_t *server, int64_t now_us)
{
	if (server->misdirected)
		return now_us + MISDIRECTED_TOLD_US;
	if (server->changing_until_us > now_us)
		return server->changing_until_us;
	if (server->refusals >= TOLD_REFUSALS &&
	    server->avoided_until_us > now_us)
		return server->avoided_until_us;
	return 0;
}

/* Tells peers which servers are out of reach or change their stage; at once
 * when there are more than before.
 */
static void publish_servers(entry_t *entry, int64_t now_us)
{
	GPtrArray *suspects = entry->occupancy.suspects;
	GArray *changing = entry->occupancy.changing;
	guint before = suspects->len + changing->len;
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_set_size(suspects, 0);
	g_array_set_size(changing, 0);
	g_hash_table_iter_init(&iter, entry->servers.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const server_t *server = value;

		if (server_is_suspect(server))
			g_ptr_array_add(suspects, g_strdup(server->entry.id));
		if (closed_until(server, now_us) != 0) {
			occupancy_change_t change = {
				.until_us = closed_until(server, now_us)};

			g_strlcpy(change.server, server->entry.id,
				  sizeof(change.server));
			g_array_append_val(changing, change);
		}
	}
	if (suspects->len + changing->len > before)
		announce_changed(&entry->announce);
}

/* --- shutdown and reload ----------------------------------------------- */

static void check_drain(entry_t *entry, int64_t now_us)
{
	switch (drain_next(&entry->drain, entry->callers.active, now_us)) {
	case DRAIN_GO_ON:
		break;
	case DRAIN_CLOSE_IDLE:
		ingress_close_idle(&entry->callers);
		break;
	case DRAIN_STOP:
		log_event(LOG_INFO, "drained",
			  LOG_UINT("active", entry->callers.active));
		g_main_loop_quit(entry->loop);
		break;
	}
}

static gboolean on_sigterm(gpointer data)
{
	entry_t *entry = data;
	int64_t now_us = clock_now(&entry->clock);
	int64_t limit_us = (int64_t)(entry->settings.shutdown_limit_s *
				     (double)CLOCK_US_PER_S);

	if (drain_is_on(&entry->drain))
		return G_SOURCE_CONTINUE;
	drain_start(&entry->drain, now_us, now_us + limit_us);
	ingress_set_closing(&entry->callers);
	log_event(LOG_INFO, "draining",
		  LOG_UINT("active", entry->callers.active));
	return G_SOURCE_CONTINUE;
}

static int64_t modified_us(const char *path)
{
	struct stat info;

	if (stat(path, &info) < 0)
		return -1;
	return info.st_mtim.tv_sec * CLOCK_US_PER_S +
	       info.st_mtim.tv_nsec / 1000;
}

static void follow_store(entry_t *entry)
{
	store_rows_init(&entry->rows, &entry->store_pool, entry->clock,
			entry->settings.store_address, entry->settings.vm,
			entry->settings.peer_address, &entry->servers,
			&rows_handler, entry);
	if (entry->table)
		entry->rows.version = entry->table->version;
}

/* Takes over what can change while the process runs. Addresses on which it
 * listens, and its name, hold until the next start.
 */
static void apply_settings(entry_t *entry, entry_settings_t *next)
{
	entry_settings_t *now = &entry->settings;

	now->shutdown_limit_s = next->shutdown_limit_s;
	now->retry_share = next->retry_share;
	now->retry_slack = next->retry_slack;
	now->log_level = next->log_level;
	share_retries(entry);
	if (!g_str_equal(now->store_address, next->store_address)) {
		char *address = now->store_address;

		now->store_address = next->store_address;
		next->store_address = address;
		store_rows_finish(&entry->rows);
		stage_orders_finish(&entry->orders);
		stage_orders_init(&entry->orders, entry->clock,
				  &entry->store_pool, &entry->server_pool,
				  &entry->servers, &entry->occupancy, now->vm,
				  now->store_address);
		follow_store(entry);
	}
}

static void reload(entry_t *entry)
{
	entry_settings_t next;
	diag_t diag;

	entry->settings_mtime_us = modified_us(entry->settings_path);
	diag_init(&diag);
	if (entry_settings_load(entry->settings_path, &next, &diag)) {
		apply_settings(entry, &next);
		log_event(LOG_INFO, "settings_reloaded");
	} else {
		GString *text = g_string_new(NULL);

		diag_print(&diag, text);
		log_event(LOG_ERROR, "settings_rejected",
			  LOG_STR("errors", str_from_gstring(text)));
		g_string_free(text, TRUE);
	}
	entry_settings_finish(&next);
	diag_finish(&diag);
}

/* The file may change without a signal. */
static void check_settings(entry_t *entry, int64_t now_us)
{
	if (now_us < entry->next_settings_check_us)
		return;
	entry->next_settings_check_us = now_us + SETTINGS_CHECK_US;
	if (modified_us(entry->settings_path) != entry->settings_mtime_us)
		reload(entry);
}

static gboolean on_sighup(gpointer data)
{
	reload(data);
	return G_SOURCE_CONTINUE;
}

/* Looks at the stages of all model services. */
static void consider_stages(entry_t *entry)
{
	GHashTableIter iter;
	gpointer value;

	if (!entry->table || drain_is_on(&entry->drain))
		return;
	g_hash_table_iter_init(&iter, entry->table->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const table_service_t *service = value;
		stage_balance_t work =
			stream_calls_work(&entry->relay, service);

		if (service->is_engine)
			stage_orders_consider(&entry->orders, service, &work,
					      counters_get(COUNTER_REQUESTS) ==
						      0);
	}
}

static void on_tick(void *context)
{
	entry_t *entry = context;
	int64_t now_us = clock_now(&entry->clock);
	bool waiting = !g_queue_is_empty(&entry->relay.waiting);

	alarm_set(&entry->tick, now_us + (waiting ? WAITING_TICK_US : TICK_US));
	if (waiting)
		stream_calls_admit(&entry->relay);
	stream_calls_check(&entry->relay);
	publish_servers(entry, now_us);
	server_probe_due(&entry->servers, &entry->server_pool, entry->table,
			 now_us);
	consider_stages(entry);
	check_drain(entry, now_us);
	check_settings(entry, now_us);
}

/* --- start and end ----------------------------------------------------- */

static bool listen_all(entry_t *entry)
{
	const entry_settings_t *settings = &entry->settings;

	return ingress_init(&entry->callers, settings->callers_address,
			    entry->clock, &first_limits, &caller_handler,
			    entry) &&
	       ingress_init(&entry->ready, settings->ready_address,
			    entry->clock, &first_limits, &ready_handler,
			    entry) &&
	       ingress_init(&entry->metrics, settings->metrics_address,
			    entry->clock, &first_limits, &metrics_handler,
			    entry) &&
	       announce_init(&entry->announce, settings->peer_address,
			     entry->clock, settings->vm,
			     (uint64_t)g_get_real_time(), &entry->occupancy);
}

/*
 * Starts to listen and to follow the store. The settings are taken over. False
 * when an address cannot be used; entry_finish() is required in both cases.
 */
bool entry_init(entry_t *entry, const char *settings_path,
		entry_settings_t *settings, clock_source_t clock)
{
	*entry = (entry_t){
		.settings_path = settings_path,
		.settings_mtime_us = modified_us(settings_path),
		.settings = *settings,
		.clock = clock,
		.routers = 1,
	};
	memset(settings, 0, sizeof(*settings));
	entry->loop = g_main_loop_new(NULL, FALSE);
	http_pool_init(&entry->server_pool, clock, USER_TIMEOUT_MS,
		       CONNECT_TIMEOUT_US);
	http_pool_init(&entry->store_pool, clock, USER_TIMEOUT_MS,
		       CONNECT_TIMEOUT_US);
	server_set_init(&entry->servers);
	occupancy_init(&entry->occupancy);
	relay_init(&entry->relay, clock, &entry->server_pool, &entry->servers,
		   &entry->occupancy, entry->settings.zone);
	entry->relay.on_occupancy = on_occupancy;
	entry->relay.context = entry;
	share_retries(entry);
	alarm_init(&entry->tick, clock, on_tick, entry);
	alarm_init(&entry->admit, clock, on_admit, entry);
	if (!listen_all(entry))
		return false;
	entry->occupancy.on_suspect = on_peer_suspects;
	entry->occupancy.on_changing = on_peer_changing;
	entry->occupancy.context = entry;
	entry->announce.on_news = on_peer_news;
	entry->announce.context = entry;
	stage_orders_init(&entry->orders, clock, &entry->store_pool,
			  &entry->server_pool, &entry->servers,
			  &entry->occupancy, entry->settings.vm,
			  entry->settings.store_address);
	follow_store(entry);
	alarm_set(&entry->tick, clock_now(&clock) + TICK_US);
	return true;
}

/* Serves until SIGTERM has been carried out. */
void entry_run(entry_t *entry)
{
	guint term = g_unix_signal_add(SIGTERM, on_sigterm, entry);
	guint hup = g_unix_signal_add(SIGHUP, on_sighup, entry);

	log_event(LOG_INFO, "started",
		  LOG_CSTR("version", GOOSEBERRYSPUR_VERSION),
		  LOG_CSTR("callers", entry->settings.callers_address),
		  LOG_CSTR("store", entry->settings.store_address));
	g_main_loop_run(entry->loop);
	log_event(LOG_INFO, "stopped",
		  LOG_INT("requests", counters_get(COUNTER_REQUESTS)));
	g_source_remove(term);
	g_source_remove(hup);
}

/* Closes everything that is open. Requests in progress end with their
 * connections.
 */
void entry_finish(entry_t *entry)
{
	if (entry->rows.address) {
		store_rows_finish(&entry->rows);
		stage_orders_finish(&entry->orders);
	}
	alarm_finish(&entry->tick);
	alarm_finish(&entry->admit);
	announce_finish(&entry->announce);
	entry_settings_finish(&entry->settings);
	route_table_unref(entry->table);
	g_main_loop_unref(entry->loop);
}
