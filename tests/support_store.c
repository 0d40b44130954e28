#include "support_store.h"

#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <string.h>

#include "names.h"
#include "process/alarm.h"

/* A feed: a read that is answered when a row changes after a version, or at its
 * deadline.
 */
typedef struct {
	fake_store_t *store;
	exchange_t *exchange;
	char *table;
	int64_t after;
	bool held; /* it hears of no change */
	alarm_t deadline;
} feed_t;

static void free_row(gpointer data)
{
	fake_row_t *row = data;

	g_free(row->table);
	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

static fake_row_t *find_row(const fake_store_t *store, const char *table,
			    const char *key)
{
	for (guint i = 0; i < store->rows->len; i++) {
		fake_row_t *row = g_ptr_array_index(store->rows, i);

		if (g_str_equal(row->table, table) &&
		    g_str_equal(row->key, key))
			return row;
	}
	return NULL;
}

static int64_t now_ms(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock) / CLOCK_US_PER_MS;
}

static gint compare_versions(gconstpointer a, gconstpointer b)
{
	const fake_row_t *left = *(fake_row_t *const *)a;
	const fake_row_t *right = *(fake_row_t *const *)b;

	return left->version < right->version ? -1 : 1;
}

/* Compares rows by their keys, in the order of a full read. */
static int compare_keys(const void *a, const void *b)
{
	return strcmp((*(const fake_row_t *const *)a)->key,
		      (*(const fake_row_t *const *)b)->key);
}

/* Appends the rows of a table that changed after a version, and returns their
 * number.
 */
static unsigned append_rows(const fake_store_t *store, GString *out,
			    const char *table, int64_t after, bool removed_too)
{
	unsigned n = 0;

	g_ptr_array_sort(store->rows,
			 removed_too ? compare_versions : compare_keys);
	for (guint i = 0; i < store->rows->len; i++) {
		const fake_row_t *row = g_ptr_array_index(store->rows, i);

		if (!g_str_equal(row->table, table) || row->version <= after ||
		    (!row->value && !removed_too))
			continue;
		g_string_append_printf(out,
				       "%s{\"table\":\"%s\",\"part\":\"\","
				       "\"key\":\"%s\",\"ver\":%" PRId64,
				       n++ ? "," : "", table, row->key,
				       row->version);
		if (row->value)
			g_string_append_printf(out, ",\"value\":\"%s\"}",
					       row->value);
		else
			g_string_append(out, ",\"removed\":true}");
	}
	return n;
}

static void reply(const fake_store_t *store, exchange_t *exchange,
		  unsigned status, const char *body)
{
	http_headers_t headers;
	char era[32];

	http_headers_init(&headers);
	http_headers_add(&headers, STR("Content-Type"),
			 STR("application/json"));
	g_snprintf(era, sizeof(era), "%" PRId64, store->era);
	if (store->era)
		http_headers_add(&headers, STR(HEADER_STORE_ERA),
				 str_from(era));
	exchange_reply(exchange, status, &headers, str_from(body));
	http_headers_finish(&headers);
}

static void reply_rows(const fake_store_t *store, exchange_t *exchange,
		       const char *table, int64_t after, bool feed)
{
	GString *body = g_string_new("{\"rows\":[");

	if (append_rows(store, body, table, after, feed) > 0 &&
	    store->garbles_last)
		g_string_append(body, ",{\"key\":}");
	g_string_append_printf(body,
			       "],\"hasMore\":false,\"ver\":%" PRId64
			       ",\"nowMs\":%" PRId64 "}",
			       store->version, now_ms());
	reply(store, exchange, 200, body->str);
	g_string_free(body, TRUE);
}

static bool has_changes(const feed_t *feed)
{
	GString *unused = g_string_new(NULL);
	bool changed = append_rows(feed->store, unused, feed->table,
				   feed->after, true) > 0;

	g_string_free(unused, TRUE);
	return changed;
}

/* Removes a feed without an answer. */
static void free_feed(feed_t *feed)
{
	g_queue_remove(&feed->store->waiting, feed);
	alarm_finish(&feed->deadline);
	g_free(feed->table);
	g_free(feed);
}

/* Answers a feed and removes it. The answer may be lost. */
static void end_feed(feed_t *feed)
{
	exchange_t *exchange = feed->exchange;
	char *table = g_strdup(feed->table);
	fake_store_t *store = feed->store;
	int64_t after = feed->after;

	free_feed(feed);
	if (store->silent || g_strcmp0(store->lost_feeds, table) == 0)
		exchange_set_context(exchange, NULL);
	else
		reply_rows(store, exchange, table, after, true);
	g_free(table);
}

static void on_feed_deadline(void *context)
{
	end_feed(context);
}

/* Answers the feeds that have changes to report. */
static void wake_feeds(fake_store_t *store)
{
	GList *link = store->waiting.head;

	while (link) {
		feed_t *feed = link->data;

		link = link->next;
		if (!feed->held && has_changes(feed))
			end_feed(feed);
	}
}

/* Writes a row; NULL for `value` removes it. */
static void set_row(fake_store_t *store, const char *table, const char *key,
		    const char *value)
{
	fake_row_t *row = find_row(store, table, key);

	if (!row) {
		row = g_new0(fake_row_t, 1);
		row->table = g_strdup(table);
		row->key = g_strdup(key);
		g_ptr_array_add(store->rows, row);
	}
	g_free(row->value);
	row->value = g_strdup(value);
	row->version = ++store->version;
}

/* Returns the value of a query parameter, or an empty string. */
static char *query_value(const char *target, const char *name)
{
	char *key = g_strconcat(name, "=", NULL);
	const char *at = strstr(target, key);
	char *value = NULL;

	if (at) {
		at += strlen(key);
		value = g_uri_unescape_segment(at, at + strcspn(at, "& "),
					       NULL);
	}
	g_free(key);
	return value ? value : g_strdup("");
}

static void start_feed(fake_store_t *store, exchange_t *exchange,
		       const char *target)
{
	char *after = query_value(target, "after");
	char *wait_ms = query_value(target, "waitMs");
	feed_t *feed = g_new0(feed_t, 1);
	clock_source_t clock = clock_boottime();

	feed->store = store;
	feed->exchange = exchange;
	feed->table = query_value(target, "table");
	feed->after = g_ascii_strtoll(after, NULL, 10);
	feed->held = store->holds_feeds;
	alarm_init(&feed->deadline, clock, on_feed_deadline, feed);
	g_queue_push_tail(&store->waiting, feed);
	exchange_set_context(exchange, feed);
	if (feed->after < store->history_start_version ||
	    feed->after > store->version) {
		free_feed(feed);
		exchange_set_context(exchange, NULL);
		reply(store, exchange, 410, "{}");
	} else if (!feed->held && has_changes(feed)) {
		end_feed(feed);
	} else {
		alarm_set(&feed->deadline,
			  clock_now(&clock) +
				  g_ascii_strtoll(wait_ms, NULL, 10) *
					  CLOCK_US_PER_MS);
	}
	g_free(after);
	g_free(wait_ms);
}

/* Returns whether each row that the call names has the version it expects. */
static bool conditions_hold(const fake_store_t *store, JsonObject *call)
{
	JsonArray *expected = json_object_get_array_member(call, "expected");

	for (guint i = 0; i < json_array_get_length(expected); i++) {
		JsonObject *entry = json_array_get_object_element(expected, i);
		const fake_row_t *row = find_row(
			store, json_object_get_string_member(entry, "table"),
			json_object_get_string_member(entry, "key"));
		int64_t version = row && row->value ? row->version : 0;

		if (json_object_get_int_member(entry, "ver") != version)
			return false;
	}
	return true;
}

/* Carries out a transaction if its conditions hold. */
static void transact(fake_store_t *store, exchange_t *exchange)
{
	str_t body = exchange_body(exchange);
	JsonParser *parser = json_parser_new();
	JsonObject *call;
	JsonArray *writes, *removals;

	if (!json_parser_load_from_data(parser, body.data, (gssize)body.len,
					NULL)) {
		reply(store, exchange, 400, "{}");
		g_object_unref(parser);
		return;
	}
	call = json_node_get_object(json_parser_get_root(parser));
	if (!conditions_hold(store, call)) {
		reply(store, exchange, 412, "{\"rows\":[]}");
		g_object_unref(parser);
		return;
	}
	writes = json_object_get_array_member(call, "writes");
	for (guint i = 0; i < json_array_get_length(writes); i++) {
		JsonObject *entry = json_array_get_object_element(writes, i);

		set_row(store, json_object_get_string_member(entry, "table"),
			json_object_get_string_member(entry, "key"),
			json_object_get_string_member(entry, "value"));
	}
	removals = json_object_get_array_member(call, "remove");
	for (guint i = 0; i < json_array_get_length(removals); i++) {
		JsonObject *entry = json_array_get_object_element(removals, i);

		set_row(store, json_object_get_string_member(entry, "table"),
			json_object_get_string_member(entry, "key"), NULL);
	}
	g_object_unref(parser);
	if (store->responses_to_drop > 0) {
		store->responses_to_drop--;
		exchange_abort(exchange);
	} else {
		reply(store, exchange, 200, "{\"ver\":1,\"nowMs\":1}");
	}
	wake_feeds(store);
}

static void on_request(void *context, exchange_t *exchange)
{
	fake_store_t *store = context;
	const char *target = exchange_head(exchange)->target->str;

	if (store->silent) {
		/* The connection stays open without an answer. */
	} else if (store->busy) {
		reply(store, exchange, 503, "{}");
	} else if (strstr(target, "/rows-tx")) {
		transact(store, exchange);
	} else if (strstr(target, "/rows-feed")) {
		start_feed(store, exchange, target);
	} else {
		char *table = query_value(target, "table");

		reply_rows(store, exchange, table, 0, false);
		g_free(table);
	}
}

static void on_gone(void *context, exchange_t *exchange)
{
	feed_t *feed = exchange_context(exchange);

	if (feed)
		free_feed(feed);
}

static const ingress_handler_t handler = {
	.on_request = on_request,
	.on_gone = on_gone,
};

/* Starts a store with empty tables that listens on an address. */
void fake_store_start(fake_store_t *store, const char *address)
{
	static const ingress_limits_t limits = {
		.max_head_bytes = 65536,
		.max_body_bytes = 1 << 20,
		.head_timeout_us = 10 * CLOCK_US_PER_S,
		.idle_timeout_us = 60 * CLOCK_US_PER_S,
	};

	memset(store, 0, sizeof(*store));
	store->rows = g_ptr_array_new_with_free_func(free_row);
	g_assert_true(ingress_init(&store->ingress, address, clock_boottime(),
				   &limits, &handler, store));
}

/* Closes all connections and frees the rows. */
void fake_store_stop(fake_store_t *store)
{
	while (!g_queue_is_empty(&store->waiting))
		free_feed(g_queue_peek_head(&store->waiting));
	ingress_finish(&store->ingress);
	g_ptr_array_unref(store->rows);
}

/* Writes a row with the bytes of `text`, as an operator or a server would. */
void fake_store_put(fake_store_t *store, const char *table, const char *key,
		    const char *text)
{
	char *value = g_base64_encode((const guchar *)text, strlen(text));

	set_row(store, table, key, value);
	g_free(value);
	wake_feeds(store);
}

/* Returns the version of a row, or 0 if it does not exist. */
int64_t fake_store_row_version(fake_store_t *store, const char *table,
			       const char *key)
{
	const fake_row_t *row = find_row(store, table, key);

	return row && row->value ? row->version : 0;
}

/* Returns the text of a row, to be freed, or NULL if it does not exist. */
char *fake_store_text(fake_store_t *store, const char *table, const char *key)
{
	const fake_row_t *row = find_row(store, table, key);
	char *text = NULL;
	guchar *bytes;
	gsize len;

	if (!row || !row->value)
		return NULL;
	bytes = g_base64_decode(row->value, &len);
	text = g_strndup((const char *)bytes, len);
	g_free(bytes);
	return text;
}

/* Removes a row. */
void fake_store_remove(fake_store_t *store, const char *table, const char *key)
{
	set_row(store, table, key, NULL);
	wake_feeds(store);
}

/* Drops the history of changes, so that feeds have to read the table again. */
void fake_store_forget_history(fake_store_t *store)
{
	store->history_start_version = ++store->version;
}

/* Has the feeds that wait hear of no change until their deadlines, as after a store dropped
 * its watches.
 */
void fake_store_hold_feeds(fake_store_t *store)
{
	for (GList *link = store->waiting.head; link; link = link->next)
		((feed_t *)link->data)->held = true;
}

/* Restores the store from a copy that it had at a version: what was written
 * since is gone, and its versions are given out again.
 */
void fake_store_restore(fake_store_t *store, int64_t version)
{
	for (guint i = store->rows->len; i > 0; i--) {
		const fake_row_t *row = g_ptr_array_index(store->rows, i - 1);

		if (row->version > version)
			g_ptr_array_remove_index(store->rows, i - 1);
	}
	store->version = version;
	store->era++;
	while (!g_queue_is_empty(&store->waiting)) {
		feed_t *feed = g_queue_peek_head(&store->waiting);
		exchange_t *exchange = feed->exchange;

		free_feed(feed);
		exchange_set_context(exchange, NULL);
		reply(store, exchange, 503, "{}");
	}
}
