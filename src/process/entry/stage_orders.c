#include "process/entry/stage_orders.h"

#include <inttypes.h>
#include <stdlib.h>

#include "names.h"
#include "process/log.h"
#include "request/retry.h"
#include "store_call.h"
#include "wire_fields.h"

/* Between two rounds. Orders of two holders must be further apart than their
 * leases, and an order may be carried out many seconds after it was sent.
 */
#define ROUND_US (20 * CLOCK_US_PER_S)

/* After its write was sent, a holder gives orders only within this time. */
#define HOLD_US (1500 * CLOCK_US_PER_MS)

#define CALL_TIMEOUT_US (1000 * CLOCK_US_PER_MS)

/* Spreads the VMs' attempts, so that one finds the others' round. */
#define JITTER_US (400 * CLOCK_US_PER_MS)

/* Engines ordered in one round under load. */
#define MOST_UNDER_LOAD 1

/* An engine first ends its running streams. After this much more than the
 * change takes, one that has not changed is used again as it is.
 */
#define CHANGE_MARGIN_US (10 * CLOCK_US_PER_S)

/* What a row of a round says. */
typedef struct {
	int64_t fence;
	int64_t at_ms; /* on the store's clock */
	stage_t to_stage;
	char **words; /* owns the texts */
	char **servers; /* NULL-terminated, in words */
} round_t;

enum { WORD_HOLDER, WORD_FENCE, WORD_AT, WORD_STAGE, WORDS_N };

/* --- order calls ------------------------------------------------------- */

/* One engine's order: its report is read first, for the number of orders that
 * it has accepted, so that an order which is carried out late does no harm.
 */
typedef struct {
	http_pool_t *pool;
	server_t *server;
	char *vm;
	GString *body;
	int64_t fence;
	int64_t valid_until_us; /* the holder's time is over then */
	bool to_prefill;
	bool ordered; /* the call in progress is the order itself */
	unsigned status;
} order_t;

static bool call_engine(order_t *order, const GString *message);

static void finish_order(order_t *order, const char *result)
{
	log_event(LOG_INFO, "order_ended",
		  LOG_CSTR("server", order->server->entry.id),
		  LOG_CSTR("result", result), LOG_UINT("status", order->status),
		  LOG_INT("fence", order->fence));
	server_unref(order->server);
	g_string_free(order->body, TRUE);
	g_free(order->vm);
	g_free(order);
}

static void give_order(order_t *order, const engine_report_t *report)
{
	GString *message = g_string_new(NULL);
	stage_order_t fields = {
		.address = order->server->entry.address,
		.server_id = str_from(order->server->entry.id),
		.prefill = order->to_prefill,
		.holder = order->vm,
		.fence = order->fence,
		.orders = report->orders,
	};

	order->ordered = true;
	append_stage_order(message, &fields);
	if (!call_engine(order, message))
		finish_order(order, "no connection");
	g_string_free(message, TRUE);
}

static void order_head(void *context, const http_head_t *head)
{
	order_t *order = context;

	order->status = head->status;
}

static void order_body(void *context, const char *data, size_t len)
{
	order_t *order = context;

	g_string_append_len(order->body, data, (gssize)len);
}

static void order_end(void *context, call_end_t end)
{
	order_t *order = context;
	engine_report_t report;

	if (end != CALL_ANSWERED)
		finish_order(order, "unanswered");
	else if (order->ordered)
		finish_order(order, "answered");
	else if (order->status != 200 ||
		 !engine_report_read(str_from_gstring(order->body), &report))
		finish_order(order, "no report");
	else if (report.busy)
		finish_order(order, "busy");
	else if (clock_now(&order->pool->clock) >= order->valid_until_us)
		finish_order(order, "too late");
	else
		give_order(order, &report);
}

static const call_handler_t order_handler = {
	.on_head = order_head,
	.on_body = order_body,
	.on_end = order_end,
};

static bool call_engine(order_t *order, const GString *message)
{
	http_call_options_t options = {
		.address = order->server->entry.address,
		.message = message,
		.handler = &order_handler,
		.context = order,
	};

	g_string_truncate(order->body, 0);
	return http_pool_call(order->pool, &options) != NULL;
}

static void start_order(const stage_orders_t *orders, server_t *server)
{
	GString *message = g_string_new(NULL);
	order_t *order = g_new0(order_t, 1);

	order->pool = orders->server_pool;
	order->server = server_ref(server);
	order->vm = g_strdup(orders->vm);
	order->body = g_string_new(NULL);
	order->fence = orders->fence;
	order->valid_until_us = orders->write_sent_us + HOLD_US;
	order->to_prefill = orders->to_stage == STAGE_PREFILL;
	append_probe(message, NULL, server->entry.address,
		     str_from(server->entry.id));
	if (!call_engine(order, message))
		finish_order(order, "no connection");
	g_string_free(message, TRUE);
}

/* --- rounds ------------------------------------------------------------ */

static bool read_round(str_t value, round_t *round)
{
	char *text = str_dup(value);

	round->words = g_strsplit(text, " ", -1);
	g_free(text);
	if (g_strv_length(round->words) < WORDS_N) {
		g_strfreev(round->words);
		return false;
	}
	round->fence = g_ascii_strtoll(round->words[WORD_FENCE], NULL, 10);
	round->at_ms = g_ascii_strtoll(round->words[WORD_AT], NULL, 10);
	round->to_stage = g_str_equal(round->words[WORD_STAGE], "prefill")
				  ? STAGE_PREFILL
				  : STAGE_DECODE;
	round->servers = round->words + WORDS_N;
	return true;
}

static GString *write_round(const stage_orders_t *orders, int64_t now_ms)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "%s %" PRId64 " %" PRId64 " %s", orders->vm,
			orders->fence, now_ms,
			orders->to_stage == STAGE_PREFILL ? "prefill"
							  : "decode");
	for (guint i = 0; i < orders->chosen->len; i++) {
		const server_t *server = g_ptr_array_index(orders->chosen, i);

		g_string_append_printf(text, " %s", server->entry.id);
	}
	return text;
}

static void drop_round(stage_orders_t *orders)
{
	g_clear_pointer(&orders->service, g_free);
	g_ptr_array_set_size(orders->chosen, 0);
}

/* The row is written: this VM is the holder for a moment. A VM that was frozen
 * since then no longer is, and the orders are not given.
 */
static void on_written(void *context, store_result_t result, str_t body)
{
	stage_orders_t *orders = context;
	int64_t now_us = clock_now(&orders->clock);

	orders->next_round_us = now_us + ROUND_US;
	log_event(LOG_INFO, "round_written", LOG_INT("result", result),
		  LOG_INT("fence", orders->fence));
	if (result == STORE_OK && now_us - orders->write_sent_us < HOLD_US) {
		for (guint i = 0; i < orders->chosen->len; i++)
			start_order(orders,
				    g_ptr_array_index(orders->chosen, i));
	}
	drop_round(orders);
}

static char *round_key(const stage_orders_t *orders)
{
	return g_strconcat(STAGE_ROUND_PREFIX, orders->service, NULL);
}

static unsigned zone_number(GHashTable *zones, const char *zone)
{
	gpointer number;

	if (!g_hash_table_lookup_extended(zones, zone, NULL, &number)) {
		number = GUINT_TO_POINTER(g_hash_table_size(zones));
		g_hash_table_insert(zones, (gpointer)zone, number);
	}
	return GPOINTER_TO_UINT(number);
}

/* Chooses the engines of the round that is being prepared. */
static void choose(stage_orders_t *orders)
{
	GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
	GArray *candidates =
		g_array_new(FALSE, FALSE, sizeof(stage_candidate_t));
	GPtrArray *engines = g_ptr_array_new();
	int64_t now_us = clock_now(&orders->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, orders->servers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_t *server = value;
		stage_candidate_t candidate = {
			.usable = !server_is_suspect(server)};

		if (server->entry.stage == STAGE_NONE ||
		    server->entry.stage == orders->to_stage ||
		    !server_takes_work(server) ||
		    !g_str_equal(server->entry.service, orders->service))
			continue;
		candidate.zone = zone_number(zones, server->entry.zone);
		candidate.streams = occupancy_total(orders->occupancy,
						    server->entry.id, now_us)
					    .streams;
		g_array_append_val(candidates, candidate);
		g_ptr_array_add(engines, server);
	}
	stage_choose((stage_candidate_t *)(void *)candidates->data,
		     candidates->len, g_hash_table_size(zones), orders->moves);
	for (guint i = 0; i < candidates->len; i++) {
		if (g_array_index(candidates, stage_candidate_t, i).chosen)
			g_ptr_array_add(
				orders->chosen,
				server_ref(g_ptr_array_index(engines, i)));
	}
	g_ptr_array_unref(engines);
	g_array_unref(candidates);
	g_hash_table_unref(zones);
}

static void write_row(stage_orders_t *orders, int64_t row_version,
		      int64_t now_ms)
{
	GString *message = g_string_new(NULL);
	GString *value = write_round(orders, now_ms);
	char *key = round_key(orders);

	store_append_put_if(message, orders->store_address, TABLE_ROUTER, key,
			    str_from_gstring(value), row_version);
	orders->write_sent_us = clock_now(&orders->clock);
	store_call_send(&orders->call, orders->store_address, message,
			orders->write_sent_us + CALL_TIMEOUT_US, on_written,
			orders);
	g_free(key);
	g_string_free(value, TRUE);
	g_string_free(message, TRUE);
}

static const store_row_t *find_row(const store_page_t *page, const char *key)
{
	for (guint i = 0; i < page->rows->len; i++) {
		const store_row_t *row =
			&g_array_index(page->rows, store_row_t, i);

		if (g_str_equal(row->key, key) && row->value)
			return row;
	}
	return NULL;
}

/* The last round was read. Another one begins only when that is long past. */
static void on_read(void *context, store_result_t result, str_t body)
{
	stage_orders_t *orders = context;
	char *key = round_key(orders);
	const store_row_t *row = NULL;
	int64_t version = 0;
	bool recent = false;
	store_page_t page;
	round_t round;
	bool ok;

	orders->fence = 1;
	ok = store_page_read(body, &page) && result == STORE_OK;
	if (ok)
		row = find_row(&page, key);
	if (row && read_round(str_from_gstring(row->value), &round)) {
		recent = page.now_ms - round.at_ms < ROUND_US / CLOCK_US_PER_MS;
		orders->fence = round.fence + 1;
		g_strfreev(round.words);
	}
	if (row)
		version = row->version;
	if (ok && !recent)
		choose(orders);
	if (orders->chosen->len > 0)
		write_row(orders, version, page.now_ms);
	else
		drop_round(orders);
	store_page_finish(&page);
	g_free(key);
}

/* Engines of a service's stage. */
static unsigned count_stage(const stage_orders_t *orders, const char *service,
			    stage_t stage)
{
	GHashTableIter iter;
	gpointer value;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, orders->servers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const server_t *server = value;

		n += server->entry.stage == stage &&
				     server_takes_work(server) &&
				     g_str_equal(server->entry.service, service)
			     ? 1
			     : 0;
	}
	return n;
}

/* The stages have to settle anew before the next attempt, at another moment
 * than those of the other VMs.
 */
static void expect_round(stage_orders_t *orders, stage_round_t *round)
{
	round->unbalanced_since_us = 0;
	round->jitter_us =
		(int64_t)(retry_random(&orders->seed) % (uint64_t)JITTER_US);
}

static stage_round_t *get_round(stage_orders_t *orders, const char *service)
{
	stage_round_t *round = g_hash_table_lookup(orders->rounds, service);

	if (!round) {
		round = g_new0(stage_round_t, 1);
		expect_round(orders, round);
		g_hash_table_insert(orders->rounds, g_strdup(service), round);
	}
	return round;
}

static void read_row_of_round(stage_orders_t *orders)
{
	GString *message = g_string_new(NULL);
	char *key = round_key(orders);

	store_append_get(message, orders->store_address, TABLE_ROUTER, key);
	store_call_send(&orders->call, orders->store_address, message,
			clock_now(&orders->clock) + CALL_TIMEOUT_US, on_read,
			orders);
	g_free(key);
	g_string_free(message, TRUE);
}

/*
 * Begins a round of orders if the stages of a service are out of balance and
 * no round was begun lately. `idle` tells that there is no traffic yet.
 */
void stage_orders_start_if_due(stage_orders_t *orders,
			       const table_service_t *service,
			       const stage_balance_t *work, bool idle)
{
	stage_balance_t balance = *work;
	stage_round_t *round = get_round(orders, service->name);
	stage_round_view_t view;
	int moves;

	balance.prefills = count_stage(orders, service->name, STAGE_PREFILL);
	balance.decodes = count_stage(orders, service->name, STAGE_DECODE);
	balance.loaded = !idle;
	moves = stage_balance_moves(&balance);
	view = (stage_round_view_t){
		.moves = moves,
		.idle = idle,
		.last_added_us = orders->servers->last_added_us,
		.last_leaving_us = orders->servers->last_leaving_us,
		.not_before_us = orders->next_round_us,
	};
	if (!stage_round_is_due(round, &view, clock_now(&orders->clock)) ||
	    store_call_is_busy(&orders->call))
		return;
	expect_round(orders, round);
	orders->service = g_strdup(service->name);
	orders->to_stage = moves > 0 ? STAGE_DECODE : STAGE_PREFILL;
	orders->moves = idle ? (unsigned)abs(moves)
			     : MIN((unsigned)abs(moves), MOST_UNDER_LOAD);
	read_row_of_round(orders);
}

/* Takes in the row of a round: its engines get no work until they are done. */
void stage_orders_round_seen(stage_orders_t *orders, str_t value,
			     const route_table_t *table)
{
	int64_t now_us = clock_now(&orders->clock);
	round_t round;

	if (!read_round(value, &round))
		return;
	for (char **id = round.servers; *id; id++) {
		server_t *server = server_set_find(orders->servers, *id);
		const table_service_t *service =
			server && table
				? route_table_service(table,
						      server->entry.service)
				: NULL;

		if (service && server->entry.stage != round.to_stage)
			server->changing_until_us =
				now_us + service->engine.stage_change_us +
				CHANGE_MARGIN_US;
	}
	orders->next_round_us = now_us + ROUND_US;
	g_strfreev(round.words);
}

/* Sets up the orders of one VM. */
void stage_orders_init(stage_orders_t *orders, clock_source_t clock,
		       http_pool_t *store_pool, http_pool_t *server_pool,
		       server_set_t *servers, occupancy_t *occupancy,
		       const char *vm, const char *store_address)
{
	*orders = (stage_orders_t){
		.clock = clock,
		.server_pool = server_pool,
		.servers = servers,
		.occupancy = occupancy,
		.vm = vm,
		.store_address = g_strdup(store_address),
		.seed = g_str_hash(vm) + (uint64_t)clock_now(&clock),
	};
	orders->chosen =
		g_ptr_array_new_with_free_func((GDestroyNotify)server_unref);
	orders->rounds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store_call_init(&orders->call, store_pool);
}

/* Gives up a round that is being prepared. */
void stage_orders_finish(stage_orders_t *orders)
{
	store_call_finish(&orders->call);
	g_ptr_array_unref(orders->chosen);
	g_hash_table_unref(orders->rounds);
	g_free(orders->service);
	g_free(orders->store_address);
}
