#include "process/entry/stage_orders.h"

#include <inttypes.h>
#include <stdlib.h>

#include "names.h"
#include "process/entry/stage_order_call.h"
#include "process/log.h"
#include "request/retry.h"
#include "store_call.h"

/* Most memory for the reports of engines that are given orders, but for small ones: the first
 * round may give one to hundreds of engines.
 */
#define MAX_REPORTS_BYTES ((size_t)4 << 20)

/* Shortest time between the beginnings of two rounds of one service. It is several times
 * HOLD_US, so that the orders of two holders do not overlap.
 */
#define ROUND_INTERVAL_US (10 * CLOCK_US_PER_S)

/* Shortest time between the rounds that name one engine: a sent order may still
 * be carried out for many seconds. It is at most twice ROUND_INTERVAL_US, as
 * the row of a round names no engines of the round before.
 */
#define ENGINE_INTERVAL_US (20 * CLOCK_US_PER_S)

/* How long a holder may give orders after it sent the write of its round. */
#define HOLD_US (1500 * CLOCK_US_PER_MS)

/* Deadline of a read or write of a round's row. */
#define CALL_TIMEOUT_US (1000 * CLOCK_US_PER_MS)

/* Longest random delay of an attempt to begin a round. It spreads the attempts
 * of the VMs, so that the later ones find the round of the first.
 */
#define MAX_JITTER_US (400 * CLOCK_US_PER_MS)

/* Share of the engines that a round after the first one may change; at least
 * one.
 */
#define MAX_CHANGED_SHARE 0.05

/* An engine ends its running streams before it changes. One that has not
 * changed within the duration of a change plus this margin gets work in its old
 * stage again.
 */
#define CHANGE_MARGIN_US (10 * CLOCK_US_PER_S)

/* An engine that is silent for longer counts as lost; a sound one may be silent for about
 * a second.
 */
#define SILENT_US (1500 * CLOCK_US_PER_MS)

/* Most rounds that are remembered as seen; then all are forgotten. */
#define MAX_SEEN_ROUNDS 256

/* Largest fencing token, and time in ms, that are read from a row: the tokens are times. */
#define MAX_ROUND_NUMBER INT64_C(1000000000000000)

/* What the row of a round says. */
typedef struct {
	int64_t fencing_token;
	int64_t begun_ms; /* on the store's clock */
	stage_t to_stage;
	char **words; /* owned; the row's value, split at spaces */
	char **servers; /* server IDs: the end of words, NULL-terminated */
} round_row_t;

/* What is known of the rounds of one service. Engines belong to one service only, so the
 * rounds of another one name none of its engines.
 */
typedef struct {
	stage_round_state_t next; /* the wait before the next one */
	int64_t no_round_before_us;
	int64_t seen_fencing_token; /* the highest of those seen */
} service_rounds_t;

/* The words of a row's value; the IDs of the engines that get an order follow.
 */
enum { WORD_HOLDER, WORD_FENCING_TOKEN, WORD_TIME, WORD_STAGE, WORDS_N };

/* Sends an order of the round being prepared to one of its engines. */
static void start_order(stage_orders_t *orders, server_t *server)
{
	stage_order_request_t request = {
		.pool = orders->server_pool,
		.server = server,
		.vm = orders->vm,
		.fencing_token = orders->fencing_token,
		.valid_until_us = orders->write_sent_us + HOLD_US,
		.to_stage = orders->to_stage,
		.calls = &orders->order_calls,
		.reports = &orders->reports,
		.on_answer = orders->on_answer,
		.context = orders->context,
	};

	stage_order_send(&request);
}

/* Reads a number that is neither negative nor too large to be calculated with. */
static bool parse_number(const char *word, int64_t *number)
{
	return g_ascii_string_to_signed(word, 10, 0, MAX_ROUND_NUMBER, number,
					NULL);
}

/* Parses the value of a row. On success round->words has to be freed. */
static bool parse_round(str_t value, round_row_t *round)
{
	char *text = str_dup(value);

	round->words = g_strsplit(text, " ", -1);
	g_free(text);
	if (g_strv_length(round->words) < WORDS_N ||
	    !parse_number(round->words[WORD_FENCING_TOKEN],
			  &round->fencing_token) ||
	    !parse_number(round->words[WORD_TIME], &round->begun_ms)) {
		g_strfreev(round->words);
		return false;
	}
	round->to_stage = g_str_equal(round->words[WORD_STAGE], "prefill")
				  ? STAGE_PREFILL
				  : STAGE_DECODE;
	round->servers = round->words + WORDS_N;
	return true;
}

/* Formats the value of the row of the round being prepared. */
static GString *format_round(const stage_orders_t *orders, int64_t now_ms)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "%s %" PRId64 " %" PRId64 " %s", orders->vm,
			orders->fencing_token, now_ms,
			orders->to_stage == STAGE_PREFILL ? "prefill"
							  : "decode");
	for (guint i = 0; i < orders->chosen->len; i++) {
		const server_t *server = g_ptr_array_index(orders->chosen, i);

		g_string_append_printf(text, " %s", server->entry.id);
	}
	return text;
}

/* Ends the preparation of a round. */
static void clear_round(stage_orders_t *orders)
{
	g_clear_pointer(&orders->service, g_free);
	g_ptr_array_set_size(orders->chosen, 0);
}

/* Resets the wait before the next attempt to begin a round: the imbalance has
 * to persist for the full time from now on, and the attempt gets a new random
 * delay.
 */
static void reset_attempt(stage_orders_t *orders, service_rounds_t *rounds)
{
	rounds->next.unbalanced_since_us = 0;
	rounds->next.jitter_us = (int64_t)(retry_random(&orders->seed) %
					   (uint64_t)MAX_JITTER_US);
}

/* Returns what is known of a service's rounds. The first use creates it. */
static service_rounds_t *get_rounds(stage_orders_t *orders, const char *service)
{
	service_rounds_t *rounds =
		g_hash_table_lookup(orders->service_rounds, service);

	if (!rounds) {
		rounds = g_new0(service_rounds_t, 1);
		reset_attempt(orders, rounds);
		g_hash_table_insert(orders->service_rounds, g_strdup(service),
				    rounds);
	}
	return rounds;
}

/* Lets no round of a service begin for ROUND_INTERVAL_US. */
static void put_off_rounds(stage_orders_t *orders, service_rounds_t *rounds)
{
	rounds->no_round_before_us =
		clock_now(&orders->clock) + ROUND_INTERVAL_US;
	orders->round_seen = true;
}

/* Records that a round of a service was begun: no other one begins for
 * ROUND_INTERVAL_US. To be called once for each round.
 */
static void note_round(stage_orders_t *orders, const char *service,
		       int64_t fencing_token)
{
	service_rounds_t *rounds = get_rounds(orders, service);

	rounds->seen_fencing_token =
		MAX(rounds->seen_fencing_token, fencing_token);
	orders->seen_fencing_token =
		MAX(orders->seen_fencing_token, fencing_token);
	put_off_rounds(orders, rounds);
}

/* Handles the end of the write of the row. If it succeeded, this VM is the
 * holder, until HOLD_US after it sent the write. A VM that was suspended for
 * longer than that is not the holder any more and gives no orders.
 */
static void on_written(void *context, store_result_t result, str_t body)
{
	stage_orders_t *orders = context;
	int64_t now_us = clock_now(&orders->clock);

	put_off_rounds(orders, get_rounds(orders, orders->service));
	log_event(LOG_INFO, "round_written", LOG_INT("result", result),
		  LOG_INT("fence", orders->fencing_token));
	if (result == STORE_OK && now_us - orders->write_sent_us < HOLD_US) {
		for (guint i = 0; i < orders->chosen->len; i++)
			start_order(orders,
				    g_ptr_array_index(orders->chosen, i));
	}
	clear_round(orders);
}

/* Returns the key of the row of the round being prepared; to be freed. */
static char *round_key(const stage_orders_t *orders)
{
	return g_strconcat(STAGE_ROUND_PREFIX, orders->service, NULL);
}

/* Returns the number of an availability zone. Numbers count from 0, in the
 * order in which zones are first asked for.
 */
static unsigned zone_number(GHashTable *zones, const char *zone)
{
	gpointer number;

	if (!g_hash_table_lookup_extended(zones, zone, NULL, &number)) {
		number = GUINT_TO_POINTER(g_hash_table_size(zones));
		g_hash_table_insert(zones, (gpointer)zone, number);
	}
	return GPOINTER_TO_UINT(number);
}

/* Returns whether an engine serves its stage: it is reachable, takes requests and changes
 * no stage.
 */
static bool is_sound(const server_t *server, int64_t now_us)
{
	return !server_is_suspect(server) &&
	       !server_is_paused(server, now_us) &&
	       server->changing_until_us <= now_us;
}

/* Returns whether an engine may get an order: it is sound and was not named by the
 * latest round if that is recent. `named` may be NULL.
 */
static bool may_change(const server_t *server, char **named, int64_t now_us)
{
	return is_sound(server, now_us) &&
	       !(named && g_strv_contains((const gchar *const *)named,
					  server->entry.id));
}

/* Chooses the engines of the round being prepared; possibly none. Engines in
 * `named`, which may be NULL, are left out. At least one sound engine stays in the stage
 * that gives some.
 */
static void choose_engines(stage_orders_t *orders, char **named)
{
	GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
	GArray *candidates =
		g_array_new(FALSE, FALSE, sizeof(stage_candidate_t));
	GPtrArray *engines = g_ptr_array_new();
	int64_t now_us = clock_now(&orders->clock);
	unsigned sound = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, orders->servers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_t *server = value;
		stage_candidate_t candidate = {
			.usable = may_change(server, named, now_us)};

		if (server->entry.stage == STAGE_NONE ||
		    server->entry.stage == orders->to_stage ||
		    !server_takes_work(server) ||
		    !g_str_equal(server->entry.service, orders->service))
			continue;
		sound += is_sound(server, now_us) ? 1 : 0;
		candidate.zone = zone_number(zones, server->entry.zone);
		candidate.streams = occupancy_total(orders->occupancy,
						    server->entry.id, now_us)
					    .streams;
		g_array_append_val(candidates, candidate);
		g_ptr_array_add(engines, server);
	}
	stage_choose((stage_candidate_t *)(void *)candidates->data,
		     candidates->len, g_hash_table_size(zones),
		     MIN(orders->stage_changes, MAX(sound, 1) - 1));
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

/* Writes the row of the round being prepared, unless it has changed since it
 * was read: then another VM has begun a round, and the write fails.
 */
static void write_row(stage_orders_t *orders, int64_t row_version,
		      int64_t now_ms)
{
	GString *value = format_round(orders, now_ms);
	char *key = round_key(orders);

	orders->write_sent_us = clock_now(&orders->clock);
	store_call_put_own(&orders->call, orders->store_address, key,
			   str_from_gstring(value), row_version,
			   orders->write_sent_us + CALL_TIMEOUT_US, on_written,
			   orders);
	g_free(key);
	g_string_free(value, TRUE);
}

/* Returns the row with a key, or NULL when it is not there. */
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

/* Handles the read of the row of the service's latest round. Another round
 * begins only when enough time has passed since, on the store's clock.
 */
static void on_read(void *context, store_result_t result, str_t body)
{
	stage_orders_t *orders = context;
	char *key = round_key(orders);
	const service_rounds_t *rounds = get_rounds(orders, orders->service);
	const store_row_t *row = NULL;
	int64_t version = 0;
	bool recent = false, has_row = false;
	int64_t age_us = 0;
	store_page_t page;
	round_row_t round;
	bool ok;

	orders->fencing_token = orders->seen_fencing_token + 1;
	ok = store_page_read(body, &page) && result == STORE_OK;
	if (ok)
		row = find_row(&page, key);
	if (row)
		version = row->version;
	if (row && parse_round(str_from_gstring(row->value), &round)) {
		has_row = true;
		age_us = (page.now_ms - round.begun_ms) * CLOCK_US_PER_MS;
		recent = age_us < ROUND_INTERVAL_US;
		orders->fencing_token =
			MAX(orders->fencing_token, round.fencing_token + 1);
		/* This VM decided without knowing of that round: it was cut off
		 * from the store, and its list of servers may be as old.
		 */
		if (round.fencing_token > rounds->seen_fencing_token) {
			note_round(orders, orders->service,
				   round.fencing_token);
			recent = true;
		}
	}
	/* Another round may have been seen while the row was read. */
	recent = recent ||
		 clock_now(&orders->clock) < rounds->no_round_before_us;
	/* The store may have lost the latest round with its row. Its clock does
	 * not fall, so no token that was given out is above it.
	 */
	if (ok)
		orders->fencing_token = MAX(orders->fencing_token, page.now_ms);
	if (ok && !recent)
		choose_engines(orders, has_row && age_us < ENGINE_INTERVAL_US
					       ? round.servers
					       : NULL);
	if (has_row)
		g_strfreev(round.words);
	if (orders->chosen->len > 0)
		write_row(orders, version, page.now_ms);
	else
		clear_round(orders);
	store_page_finish(&page);
	g_free(key);
}

/* Returns the stage that an engine has or changes to. */
static stage_t stage_after_change(const server_t *server, int64_t now_us)
{
	if (server->changing_until_us <= now_us)
		return server->entry.stage;
	return server->entry.stage == STAGE_PREFILL ? STAGE_DECODE
						    : STAGE_PREFILL;
}

/* Returns when a server of a service last entered the list; 0 if it has none. */
static int64_t last_added_us(const stage_orders_t *orders, const char *service)
{
	GHashTableIter iter;
	gpointer value;
	int64_t added_us = 0;

	g_hash_table_iter_init(&iter, orders->servers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const server_t *server = value;

		if (g_str_equal(server->entry.service, service))
			added_us = MAX(added_us, server->added_us);
	}
	return added_us;
}

/* Returns whether another engine of a server's service and zone has answered since the
 * server fell silent, so that the links of this VM to the zone are not the cause.
 */
static bool neighbour_answers(const stage_orders_t *orders,
			      const server_t *silent)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, orders->servers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const server_t *server = value;

		if (!server_is_suspect(server) &&
		    server->last_received_us > silent->suspect_since_us &&
		    g_str_equal(server->entry.service, silent->entry.service) &&
		    g_str_equal(server->entry.zone, silent->entry.zone))
			return true;
	}
	return false;
}

/* Returns whether any VM has work at an engine, as far as is known. */
static bool has_work(const stage_orders_t *orders, const server_t *server,
		     int64_t now_us)
{
	occupancy_use_t use =
		occupancy_total(orders->occupancy, server->entry.id, now_us);

	return use.streams > 0 || use.prefill_tokens > 0;
}

/* Returns whether an engine that is still listed counts as lost. One that was ordered to
 * change its stage may be silent meanwhile, and one at which a VM has work may be silent
 * for this VM only.
 */
static bool is_lost(const stage_orders_t *orders, const server_t *server,
		    int64_t now_us)
{
	return server_is_suspect(server) &&
	       now_us - server->suspect_since_us > SILENT_US &&
	       server->changing_until_us <= now_us &&
	       !has_work(orders, server, now_us) &&
	       neighbour_answers(orders, server);
}

/* Counts the engines of a service that take work in a stage, or will when a
 * change that was ordered is done. 0 if all of them are lost; otherwise those that
 * are lost count too, as they may be back soon.
 */
static unsigned count_engines(const stage_orders_t *orders, const char *service,
			      stage_t stage)
{
	int64_t now_us = clock_now(&orders->clock);
	GHashTableIter iter;
	gpointer value;
	unsigned n = 0, lost = 0;

	g_hash_table_iter_init(&iter, orders->servers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const server_t *server = value;

		if (server->entry.stage == STAGE_NONE ||
		    stage_after_change(server, now_us) != stage ||
		    !server_takes_work(server) ||
		    !g_str_equal(server->entry.service, service))
			continue;
		n++;
		lost += is_lost(orders, server, now_us) ? 1 : 0;
	}
	return lost < n ? n : 0;
}

/* Reads the row of the service's latest round, to prepare another one. */
static void read_row(stage_orders_t *orders)
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

/* Returns how many engines one round may change. The first round corrects the
 * stages that the engines started with, so it changes all that are needed; a
 * later one is a small correction, as the load changes while it is carried out.
 */
static unsigned max_changes(bool first, const stage_balance_t *balance)
{
	double engines = balance->prefills + balance->decodes;

	return first ? G_MAXUINT
		     : (unsigned)MAX(engines * MAX_CHANGED_SHARE, 1);
}

/*
 * Begins a round of orders if the stages of a service are out of balance and no
 * round of it was begun lately. `mean_cost` holds the cost of a request in each
 * stage, 0 while it is unknown; its other fields are not used.
 */
void stage_orders_start_if_due(stage_orders_t *orders,
			       const table_service_t *service,
			       const stage_balance_t *mean_cost)
{
	stage_balance_t balance = *mean_cost;
	service_rounds_t *rounds = get_rounds(orders, service->name);
	bool first = !orders->round_seen;
	stage_round_view_t view;
	int stage_changes;

	balance.prefills = count_engines(orders, service->name, STAGE_PREFILL);
	balance.decodes = count_engines(orders, service->name, STAGE_DECODE);
	balance.loaded = !first;
	stage_changes = stage_balance_changes(&balance);
	view = (stage_round_view_t){
		.stage_changes = stage_changes,
		.first = first,
		.empty = stage_balance_has_empty_stage(&balance),
		.last_added_us = last_added_us(orders, service->name),
		.last_leaving_us = orders->servers->last_leaving_us,
		.no_round_before_us = rounds->no_round_before_us,
	};
	if (!stage_round_is_due(&rounds->next, &view,
				clock_now(&orders->clock)) ||
	    store_call_is_busy(&orders->call))
		return;
	reset_attempt(orders, rounds);
	orders->service = g_strdup(service->name);
	orders->to_stage = stage_changes > 0 ? STAGE_DECODE : STAGE_PREFILL;
	orders->stage_changes =
		MIN((unsigned)abs(stage_changes), max_changes(first, &balance));
	read_row(orders);
}

/* Returns whether a round was seen before, and remembers it. */
static bool was_seen(stage_orders_t *orders, const round_row_t *round)
{
	if (g_hash_table_size(orders->seen_rounds) >= MAX_SEEN_ROUNDS)
		g_hash_table_remove_all(orders->seen_rounds);
	return !g_hash_table_add(orders->seen_rounds,
				 g_strdup_printf("%s %" PRId64,
						 round->words[WORD_HOLDER],
						 round->fencing_token));
}

/* Applies the row of a round that any VM began: its engines get no work until
 * they have changed or are overdue, and no other round of the service begins for
 * ROUND_INTERVAL_US. A row that cannot be parsed is ignored, and so is one that was
 * seen before, as a full read brings it again.
 */
void stage_orders_round_seen(stage_orders_t *orders, const char *service,
			     str_t value, const route_table_t *table)
{
	int64_t now_us = clock_now(&orders->clock);
	round_row_t round;

	if (!parse_round(value, &round))
		return;
	if (was_seen(orders, &round)) {
		g_strfreev(round.words);
		return;
	}
	for (char **id = round.servers; *id; id++) {
		server_t *server = server_set_find(orders->servers, *id);
		const table_service_t *settings =
			server && table
				? route_table_service(table,
						      server->entry.service)
				: NULL;

		if (settings && server->entry.stage != round.to_stage)
			server->changing_until_us =
				now_us + settings->engine.stage_change_us +
				CHANGE_MARGIN_US;
	}
	note_round(orders, service, round.fencing_token);
	g_strfreev(round.words);
}

/* Sets up the rounds of one VM. `vm` and the pools, sets and occupancy are
 * borrowed, the store's address is copied.
 */
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
	orders->seen_rounds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	orders->service_rounds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	memory_budget_init(&orders->reports, MAX_REPORTS_BYTES);
	store_call_init(&orders->call, store_pool);
}

/* Drops a round that is being prepared, and cancels the calls to engines. */
void stage_orders_finish(stage_orders_t *orders)
{
	stage_orders_cancel(&orders->order_calls);
	store_call_finish(&orders->call);
	g_ptr_array_unref(orders->chosen);
	g_hash_table_unref(orders->service_rounds);
	g_hash_table_unref(orders->seen_rounds);
	g_free(orders->service);
	g_free(orders->store_address);
}
