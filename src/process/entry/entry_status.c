#include "process/entry/entry_status.h"

#include "names.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/route_metrics.h"

/* Interval between checks of which services are reached. */
#define REACHED_CHECK_US (100 * CLOCK_US_PER_MS)

/* Returns whether the balancer should send callers here: a configuration and a
 * usable server are known, and the process is not shutting down.
 */
static bool is_ready(entry_t *entry)
{
	return !drain_has_started(&entry->drain) && entry->table &&
	       server_set_count_usable(&entry->servers) > 0;
}

/* Answers the balancer's health check: 200 when ready, else 503. */
static void ready_request(void *context, exchange_t *exchange)
{
	entry_t *entry = context;
	bool ready = is_ready(entry);

	if (ready != entry->was_ready)
		log_event(LOG_INFO, "ready_changed", LOG_INT("ready", ready),
			  LOG_INT("config_version",
				  entry->table ? entry->table->version : 0),
			  LOG_UINT("servers",
				   server_set_count_usable(&entry->servers)));
	entry->was_ready = ready;
	exchange_reply_text(exchange, ready ? 200 : 503, 0,
			    ready ? "ready" : "not ready");
}

/* Nothing is kept for these requests, which are answered at once. */
static void ignore_gone(void *context, exchange_t *exchange)
{
}

const ingress_handler_t entry_ready_handler = {
	.on_request = ready_request,
	.on_gone = ignore_gone,
};

/* Logs which services this VM no longer reaches, or reaches again. To be called
 * at short intervals; does its work less often, as it goes through all servers
 * for each service.
 */
void entry_log_reached(entry_t *entry, int64_t now_us)
{
	GHashTableIter iter;
	gpointer name;

	if (now_us < entry->next_reached_check_us || !entry->table)
		return;
	entry->next_reached_check_us = now_us + REACHED_CHECK_US;
	g_hash_table_iter_init(&iter, entry->table->services);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		bool reached = server_set_reaches(&entry->servers, name);
		bool was_reached =
			!g_hash_table_contains(entry->unreached, name);

		if (reached == was_reached)
			continue;
		log_event(LOG_WARN,
			  reached ? "service_reached" : "service_unreached",
			  LOG_CSTR("service", name));
		if (reached)
			g_hash_table_remove(entry->unreached, name);
		else
			g_hash_table_add(entry->unreached, g_strdup(name));
	}
}

/* Appends a metric: how many servers of each service are in each state. */
static void print_servers(const entry_t *entry, GString *out)
{
	GHashTable *counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	int64_t now_us = clock_now(&entry->clock);
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, entry->servers.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_t *server = value;
		unsigned *states =
			g_hash_table_lookup(counts, server->entry.service);

		if (!states) {
			states = g_new0(unsigned, SERVER_STATES_N);
			g_hash_table_insert(counts, server->entry.service,
					    states);
		}
		states[server_state(server, now_us)]++;
	}
	g_string_append(out, "# HELP gooseberryspur_servers Backend servers "
			     "by what this VM may send them.\n"
			     "# TYPE gooseberryspur_servers gauge\n");
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		for (size_t i = 0; i < SERVER_STATES_N; i++) {
			g_string_append(out, "gooseberryspur_servers{");
			metrics_append_label(out, "service", key);
			g_string_append_printf(
				out, ",state=\"%s\"} %u\n",
				server_state_name((server_state_t)i),
				((unsigned *)value)[i]);
		}
	}
	g_hash_table_unref(counts);
}

/* Appends a metric with a value for each table that is followed. */
static void print_tables(GString *out, const char *name, const char *type,
			 const char *help, const double values[static 3])
{
	static const char *const tables[] = {TABLE_CONFIG, TABLE_SERVERS,
					     TABLE_ROUTER};

	g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n", name, help,
			       name, type);
	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++)
		g_string_append_printf(out, "%s{table=\"%s\"} %.3f\n", name,
				       tables[i], values[i]);
}

/* Appends metrics of the reads of the store's tables: what is known may be as old as the
 * latest answer, unless another VM confirms it.
 */
static void print_store_reads(const entry_t *entry, GString *out)
{
	const store_watch_t *watches[] = {&entry->rows.config,
					  &entry->rows.server_list,
					  &entry->rows.own_table};
	int64_t now_us = clock_now(&entry->clock);
	double silence_s[3], confirmed[3], held[3], overdue[3];

	for (size_t i = 0; i < G_N_ELEMENTS(watches); i++) {
		const store_watch_t *watch = watches[i];

		silence_s[i] =
			(double)(now_us - watch->last_ok_us) / CLOCK_US_PER_S;
		confirmed[i] = watch->unconfirmed.at_us >= 0;
		held[i] = (double)watch->held;
		overdue[i] = (double)watch->overdue_reads;
	}
	print_tables(out, "gooseberryspur_store_silence_seconds", "gauge",
		     "Time since a read of the table was last answered.",
		     silence_s);
	print_tables(out, "gooseberryspur_store_confirmed", "gauge",
		     "Whether another VM confirms what was read.", confirmed);
	print_tables(out, "gooseberryspur_store_reads_held_total", "counter",
		     "Reads whose rows came only at the end of their wait.",
		     held);
	print_tables(out, "gooseberryspur_store_reads_overdue_total", "counter",
		     "Reads that were not answered after their wait.", overdue);
}

/* Answers with all metrics, in the text format of Prometheus. Those that other
 * modules count are copied into the counters first.
 */
static void metrics_request(void *context, exchange_t *exchange)
{
	entry_t *entry = context;
	GString *text = g_string_new(NULL);
	http_headers_t headers;

	counters_set(GAUGE_REQUESTS_ACTIVE, entry->relay.active);
	counters_set(GAUGE_QUARANTINE_RULES,
		     entry->relay.quarantine.rules->len);
	counters_set(GAUGE_STATE_VERSION,
		     entry->table ? entry->table->version : 0);
	counters_set(GAUGE_PLATFORM_UP, entry->rows.config.reachable);
	counters_set(GAUGE_MEMBERS_ALIVE,
		     occupancy_live_peers(&entry->occupancy,
					  clock_now(&entry->clock)) +
			     1);
	counters_set(COUNTER_STALE_ANSWERS,
		     (int64_t)entry->server_pool.stale_responses);
	counters_set(COUNTER_RPC_SENT, (int64_t)entry->announce.sent);
	counters_set(COUNTER_RPC_RECEIVED, (int64_t)entry->announce.received);
	counters_set(COUNTER_RPC_MALFORMED, (int64_t)entry->announce.malformed);
	counters_set(COUNTER_RPC_FORWARDED, (int64_t)entry->announce.forwarded);
	counters_set(COUNTER_PLATFORM_READS,
		     (int64_t)store_rows_reads(&entry->rows));
	counters_set(COUNTER_LIST_READS,
		     (int64_t)entry->rows.server_list.relayed_reads);
	counters_set(COUNTER_LIST_ANSWERS,
		     (int64_t)entry->rows.list_relay.answered);
	counters_print(text);
	route_metrics_print(text);
	print_servers(entry, text);
	print_store_reads(entry, text);
	http_headers_init(&headers);
	http_headers_add(&headers, STR("Content-Type"),
			 STR("text/plain; version=0.0.4"));
	exchange_reply(exchange, 200, &headers, str_from_gstring(text));
	http_headers_finish(&headers);
	g_string_free(text, TRUE);
}

const ingress_handler_t entry_metrics_handler = {
	.on_request = metrics_request,
	.on_gone = ignore_gone,
};
