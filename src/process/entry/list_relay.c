#include "process/entry/list_relay.h"

#include "names.h"
#include "wire_fields.h"

/* What was read from the store longer ago is not passed on. A VM that hears nothing
 * newer reads the store itself, within the shortest time in which a leaving server has
 * to be known everywhere.
 */
#define MAX_AGE_US (1700 * CLOCK_US_PER_MS)

/* Longest time for which a request waits for a change. */
#define MAX_WAIT_US (1 * CLOCK_US_PER_S)

/* A VM that asks does so again within this time. */
#define ASKED_US (5 * CLOCK_US_PER_S)

/* Most changes that are kept; a VM that lacks older ones reads the store. */
#define MAX_CHANGES 4096

/* Most bytes of their keys and rows: a row has no limit of its own but that of a page. */
#define MAX_CHANGES_BYTES ((size_t)4 << 20)

/* A request that waits for a change. */
typedef struct {
	exchange_t *exchange;
	int64_t after; /* version up to which the other VM knows the list */
	int64_t known_config; /* the same of the configuration's table; 0: it
				 does not ask for that */
	int64_t until_us;
} list_wait_t;

/* Returns what a change counts against the limit. */
static size_t change_bytes(const store_row_t *change)
{
	return strlen(change->key) + (change->value ? change->value->len : 0);
}

static void free_change(gpointer data)
{
	store_row_t *change = data;

	g_free(change->key);
	if (change->value)
		g_string_free(change->value, TRUE);
	g_free(change);
}

static void check_waiting(void *context);

/* Sets up a relay that passes nothing on until a full read has ended. The watches are
 * borrowed.
 */
void list_relay_init(list_relay_t *relay, clock_source_t clock,
		     const store_watch_t *list, const store_watch_t *config,
		     const store_watch_t *own_table)
{
	*relay = (list_relay_t){
		.clock = clock,
		.list = list,
		.config = config,
		.own_table = own_table,
		.by_key = g_hash_table_new(g_str_hash, g_str_equal),
		.since = -1,
	};
	alarm_init(&relay->wake, clock, check_waiting, relay);
}

/* Forgets all changes. */
static void forget(list_relay_t *relay)
{
	g_hash_table_remove_all(relay->by_key);
	g_queue_clear_full(&relay->changes, free_change);
	relay->bytes = 0;
	relay->since = -1;
}

/* Refuses the requests that wait and frees what the relay owns. */
void list_relay_finish(list_relay_t *relay)
{
	list_relay_close(relay);
	forget(relay);
	g_hash_table_unref(relay->by_key);
	alarm_finish(&relay->wake);
}

/* Begins a full read. Until it ends nothing is passed on. */
void list_relay_begin_sync(list_relay_t *relay)
{
	forget(relay);
	alarm_set(&relay->wake, clock_now(&relay->clock));
}

/* Ends a full read: the changes after a version of the store follow. */
void list_relay_end_sync(list_relay_t *relay, int64_t version)
{
	relay->since = version;
}

/* Drops the oldest changes if there are too many, or they are too large. */
static void drop_oldest(list_relay_t *relay)
{
	while (g_queue_get_length(&relay->changes) > MAX_CHANGES ||
	       relay->bytes > MAX_CHANGES_BYTES) {
		store_row_t *oldest = g_queue_pop_head(&relay->changes);

		relay->bytes -= change_bytes(oldest);
		relay->since = MAX(relay->since, oldest->version);
		g_hash_table_remove(relay->by_key, oldest->key);
		free_change(oldest);
	}
}

/* Adds a change that was read, also that of a row which is removed. Heartbeats of
 * servers are none. The rows of a full read do not count.
 */
void list_relay_put(list_relay_t *relay, const store_row_t *row)
{
	GList *known = g_hash_table_lookup(relay->by_key, row->key);
	store_row_t *change;

	if (relay->since < 0)
		return;
	if (known) {
		g_hash_table_remove(relay->by_key, row->key);
		relay->bytes -= change_bytes(known->data);
		free_change(known->data);
		g_queue_delete_link(&relay->changes, known);
	}
	change = g_new0(store_row_t, 1);
	change->key = g_strdup(row->key);
	change->version = row->version;
	if (row->value)
		change->value = g_string_new_len(row->value->str,
						 (gssize)row->value->len);
	relay->bytes += change_bytes(change);
	g_queue_push_tail(&relay->changes, change);
	g_hash_table_insert(relay->by_key, change->key,
			    g_queue_peek_tail_link(&relay->changes));
	drop_oldest(relay);
	alarm_set(&relay->wake, clock_now(&relay->clock));
}

/* Tells the VMs that wait that the configuration's table has a newer row. */
void list_relay_config_changed(list_relay_t *relay)
{
	alarm_set(&relay->wake, clock_now(&relay->clock));
}

/* Returns until when this VM may pass on what it knows; 0: it may not. */
static int64_t current_until_us(const list_relay_t *relay)
{
	const store_watch_t *list = relay->list;

	if (relay->closed || relay->since < 0 || !list->synced ||
	    list->relayed || !list->reachable || list->outage)
		return 0;
	return list->last_ok_us + MAX_AGE_US;
}

/* Returns whether there are changes that another VM lacks. */
static bool has_changes(const list_relay_t *relay, const list_wait_t *wait)
{
	const GList *newest = relay->changes.tail;

	if (wait->known_config > 0 &&
	    relay->config->newest_row > wait->known_config)
		return true;
	return newest && ((store_row_t *)newest->data)->version > wait->after;
}

/* Answers with the changes after a version. */
static void reply_changes(list_relay_t *relay, exchange_t *exchange,
			  int64_t after)
{
	store_feed_answer_t answer = {
		.version = relay->list->version,
		.era = relay->list->era,
		.newest_config = relay->config->newest_row,
		.newest_own = relay->own_table->newest_row,
		.config_age_us = store_watch_age_us(relay->config),
		.own_age_us = store_watch_age_us(relay->own_table),
	};
	GString *body = g_string_new(NULL);
	http_headers_t headers;
	GList *link = relay->changes.tail;

	while (link && ((store_row_t *)link->data)->version > after)
		link = link->prev;
	link = link ? link->next : relay->changes.head;
	store_feed_begin(body);
	for (; link; link = link->next)
		store_feed_add(body, TABLE_SERVERS, link->data);
	store_feed_end(body, &answer);
	http_headers_init(&headers);
	store_feed_headers(&headers, &answer);
	exchange_reply(exchange, 200, &headers, str_from_gstring(body));
	http_headers_finish(&headers);
	g_string_free(body, TRUE);
	relay->answered++;
}

/* Answers that this VM cannot pass the list on, or lacks the changes. */
static void refuse(list_relay_t *relay, exchange_t *exchange)
{
	relay->refused++;
	exchange_reply_text(exchange, 503, 0,
			    "this VM does not pass the list on");
}

/* Answers the requests for which there are changes, whose wait is over, or which can
 * no longer be answered truly, and sets the time of the next check.
 */
static void check_waiting(void *context)
{
	list_relay_t *relay = context;
	int64_t now_us = clock_now(&relay->clock);
	int64_t current_us = current_until_us(relay);
	int64_t next_us = -1;
	GList *link = relay->waiting.head;

	while (link) {
		list_wait_t *wait = link->data;
		GList *next = link->next;
		int64_t due_us = MIN(wait->until_us, current_us);

		if (now_us < due_us && !has_changes(relay, wait)) {
			next_us = next_us < 0 ? due_us : MIN(next_us, due_us);
		} else {
			g_queue_delete_link(&relay->waiting, link);
			if (now_us < current_us)
				reply_changes(relay, wait->exchange,
					      wait->after);
			else
				refuse(relay, wait->exchange);
			g_free(wait);
		}
		link = next;
	}
	alarm_set(&relay->wake, next_us);
}

/* Returns whether other VMs have asked this one for the list lately. */
bool list_relay_is_asked(const list_relay_t *relay)
{
	return relay->asked_us != 0 &&
	       clock_now(&relay->clock) - relay->asked_us <= ASKED_US;
}

/* Returns whether another VM asks for changes of the server list, and does not pass on
 * a request of a caller.
 */
bool list_relay_is_request(const exchange_t *exchange)
{
	store_feed_request_t request;

	return exchange_is_from_peer(exchange) &&
	       passed_on_config_version(exchange_head(exchange)) == 0 &&
	       store_feed_request_read(exchange_head(exchange), &request);
}

/* Answers a request of another VM for changes, at once or when there are some. */
void list_relay_request(list_relay_t *relay, exchange_t *exchange)
{
	int64_t now_us = clock_now(&relay->clock);
	store_feed_request_t request;
	list_wait_t *wait;

	relay->asked_us = now_us;
	if (!store_feed_request_read(exchange_head(exchange), &request) ||
	    now_us >= current_until_us(relay) || request.after < relay->since) {
		refuse(relay, exchange);
		return;
	}
	wait = g_new0(list_wait_t, 1);
	wait->exchange = exchange;
	wait->after = request.after;
	wait->known_config = request.known_config;
	wait->until_us = now_us + MIN(request.wait_us, MAX_WAIT_US);
	g_queue_push_tail(&relay->waiting, wait);
	check_waiting(relay);
}

/* Forgets a request whose VM has closed its connection. Returns whether it was one
 * that waited here.
 */
bool list_relay_gone(list_relay_t *relay, const exchange_t *exchange)
{
	for (GList *link = relay->waiting.head; link; link = link->next) {
		list_wait_t *wait = link->data;

		if (wait->exchange != exchange)
			continue;
		g_queue_delete_link(&relay->waiting, link);
		g_free(wait);
		return true;
	}
	return false;
}

/* Refuses the requests that wait and all that come, as the process is ending. */
void list_relay_close(list_relay_t *relay)
{
	relay->closed = true;
	check_waiting(relay);
}
