#include "process/entry/store_watch.h"

#include "process/log.h"

/* How long a read may take beside its wait for a change. */
#define READ_TIMEOUT_US (1500 * CLOCK_US_PER_MS)

/* How long a read that waited for a change may be late before it is replaced,
 * as the store may have lost it.
 */
#define OVERDUE_US (500 * CLOCK_US_PER_MS)

/* Shortest time from a read that failed to the next one. The store may refuse
 * this VM's reads for seconds, and a new configuration has to be in force two
 * seconds after that ends.
 */
#define RETRY_US (250 * CLOCK_US_PER_MS)

/* The same while the reads of another watch show whether the store is back. */
#define PROBED_RETRY_US (2 * CLOCK_US_PER_S)

/* How much older than the wait of a read what another VM has read may become until this VM
 * reads the table itself. The other VM tells of it at least once in that time.
 */
#define CONFIRMED_SLACK_US (1500 * CLOCK_US_PER_MS)

/* Shortest time between reads that are sent at once. */
#define READ_NOW_US (100 * CLOCK_US_PER_MS)

/* After this long without a successful read, rows of live servers may have
 * expired in the store: three of their heartbeats can be missed by then.
 */
#define OUTAGE_US (2500 * CLOCK_US_PER_MS)

/* Most rows, and most bytes of them but for the last one, that are decoded or applied in one
 * turn of the main loop, so that a large answer does not keep other work waiting.
 */
#define TURN_ROWS 64
#define TURN_BYTES ((size_t)128 << 10)

/* Longest pause after an answer for the time that it took. */
#define MAX_WORK_PAUSE_US (250 * CLOCK_US_PER_MS)

static void read_table(store_watch_t *watch);

/* Returns whether another watch shows when the store is back. */
static bool is_probed(const store_watch_t *watch)
{
	return watch->options.probe && watch->options.probe->failures > 0;
}

/* Reports to the user of the watch when the store becomes unreachable, or
 * reachable again.
 */
static void set_reachable(store_watch_t *watch, bool reachable)
{
	if (watch->reachable == reachable)
		return;
	watch->reachable = reachable;
	watch->options.handler->on_reachable(watch->options.context, reachable);
}

/* Handles a failed read: reports the store as unreachable and schedules the
 * next attempt.
 */
static void handle_failure(store_watch_t *watch, store_result_t result)
{
	int64_t now_us = clock_now(&watch->clock);
	int64_t retry_us = is_probed(watch) ? PROBED_RETRY_US : RETRY_US;

	watch->failures++;
	if (now_us - watch->last_ok_us > OUTAGE_US)
		watch->outage = true;
	set_reachable(watch, false);
	alarm_set(&watch->next_read, MAX(now_us, watch->sent_us + retry_us));
	if (result == STORE_OUTCOME_UNKNOWN)
		watch->options.handler->on_silence(watch->options.context);
}

/* Makes the next read start a full read. */
static void start_over(store_watch_t *watch)
{
	watch->synced = false;
	g_clear_pointer(&watch->from_key, g_free);
}

/* Returns the bytes of a row. */
static size_t row_bytes(const store_row_t *row)
{
	return strlen(row->key) + (row->value ? row->value->len : 0);
}

/* Passes rows of the answer to the user of the watch, as many as one turn of the main loop
 * has. Returns whether all have been passed.
 */
static bool apply_rows(store_watch_t *watch)
{
	const GArray *rows = watch->page.rows;
	size_t bytes = 0;

	for (unsigned n = 0; n < TURN_ROWS && bytes < TURN_BYTES; n++) {
		const store_row_t *row;

		if (watch->rows_applied == rows->len)
			break;
		row = &g_array_index(rows, store_row_t, watch->rows_applied++);
		bytes += row_bytes(row);
		watch->newest_row = MAX(watch->newest_row, row->version);
		watch->options.handler->on_row(watch->options.context, row);
	}
	return watch->rows_applied == rows->len;
}

/* Begins a full read, unless the page is not its first. */
static void begin_sync(store_watch_t *watch)
{
	if (watch->from_key)
		return;
	watch->sync_version = watch->page.version;
	watch->sync_sent_us = watch->sent_us;
	watch->newest_row = 0;
	watch->options.handler->on_sync_begin(watch->options.context,
					      watch->restored);
}

/* Ends a page of a full read, all of whose rows are applied. The next one starts behind its
 * last key.
 */
static void end_sync_page(store_watch_t *watch)
{
	const store_page_t *page = &watch->page;

	g_clear_pointer(&watch->from_key, g_free);
	if (page->has_more && page->rows->len > 0) {
		const store_row_t *last = &g_array_index(
			page->rows, store_row_t, page->rows->len - 1);

		watch->from_key = g_strconcat(last->key, "\x01", NULL);
		return;
	}
	/* The feed goes on from the first page's version, so that it brings
	 * the changes made while the pages were read.
	 */
	watch->version = watch->sync_version;
	watch->as_of_us = watch->sync_sent_us;
	watch->synced = true;
	watch->options.handler->on_sync_end(watch->options.context,
					    watch->outage);
	watch->outage = false;
	watch->restored = false;
}

/* Ends an answer of the feed, all of whose rows are applied. */
static void end_changes(store_watch_t *watch)
{
	const store_watch_options_t *options = &watch->options;

	watch->version = MAX(watch->version, watch->page.version);
	if (!watch->relayed)
		watch->as_of_us = watch->sent_us;
	else if (options->handler->on_newest)
		options->handler->on_newest(options->context, &watch->page);
}

/* Returns the pause after an answer: that of the table if there were changes, and no less
 * than the answer took, so that answers without an end leave half of the time to other work.
 */
static int64_t pause_us(const store_watch_t *watch, bool was_synced,
			int64_t now_us)
{
	bool has_changed = was_synced && watch->rows_applied > 0;
	int64_t least_us = has_changed ? watch->options.pause_us : 0;

	if (watch->relayed)
		least_us = watch->options.relayed_pause_us;
	return CLAMP(now_us - watch->received_us, least_us,
		     MAX(least_us, MAX_WORK_PAUSE_US));
}

/* Reads from the store what the VM that was asked last does not pass on. */
static void abandon_reader(store_watch_t *watch)
{
	store_call_cancel(&watch->call);
	watch->options.handler->on_reader_failed(watch->options.context);
	watch->rechecking = true;
	read_table(watch);
}

/* Handles an answer that cannot be decoded: one of another VM is read from the store instead.
 */
static void handle_malformed(store_watch_t *watch)
{
	store_page_finish(&watch->page);
	if (watch->relayed)
		abandon_reader(watch);
	else
		handle_failure(watch, STORE_NOT_DONE);
}

/* Ends an answer, all of whose rows are applied, and schedules the next read. */
static void end_page(store_watch_t *watch)
{
	bool was_synced = watch->synced;
	int64_t now_us;

	if (was_synced)
		end_changes(watch);
	else
		end_sync_page(watch);
	watch->applying = false;
	store_page_finish(&watch->page);
	now_us = clock_now(&watch->clock);
	alarm_set(&watch->next_read,
		  now_us + pause_us(watch, was_synced, now_us));
	if (!watch->relayed)
		set_reachable(watch, true);
}

/* Decodes rows of the answer, as many as one turn of the main loop has. Nothing is applied
 * before all are decoded, as an answer that is malformed anywhere is of no use. Returns
 * whether all are decoded.
 */
static bool decode_rows(store_watch_t *watch)
{
	if (store_page_is_decoded(&watch->page))
		return true;
	if (!store_page_decode(&watch->page, TURN_ROWS, TURN_BYTES)) {
		handle_malformed(watch);
		return false;
	}
	if (!store_page_is_decoded(&watch->page)) {
		alarm_set(&watch->next_rows, clock_now(&watch->clock));
		return false;
	}
	return true;
}

/* Begins to apply an answer that is decoded. */
static void begin_page(store_watch_t *watch)
{
	watch->applying = true;
	watch->failures = 0;
	watch->last_ok_us = watch->received_us;
	watch->rows_applied = 0;
	if (!watch->synced)
		begin_sync(watch);
}

/* Decodes or applies rows of the answer, and ends it or goes on in the next turn of the main
 * loop.
 */
static void on_next_rows(void *context)
{
	store_watch_t *watch = context;

	if (!watch->applying) {
		if (!decode_rows(watch))
			return;
		begin_page(watch);
	}
	if (apply_rows(watch))
		end_page(watch);
	else
		alarm_set(&watch->next_rows, clock_now(&watch->clock));
}

/* Drops an answer whose rows are not all applied. */
static void drop_page(store_watch_t *watch)
{
	watch->applying = false;
	alarm_set(&watch->next_rows, -1);
	store_page_finish(&watch->page);
}

/* Returns whether the store was restored from an older copy since the last
 * answer. The next read then starts a full read, as after an outage: what was
 * written since the copy is gone until its writers write it again.
 */
static bool was_restored(store_watch_t *watch)
{
	int64_t before = watch->era;

	if (watch->call.era == 0 || watch->call.era == before)
		return false;
	watch->era = watch->call.era;
	if (before == 0)
		return false;
	watch->outage = true;
	watch->restored = true;
	start_over(watch);
	return true;
}

/* Applies the changes that another VM has passed on. One whose store has another era
 * has not noticed yet that the store was restored, or knows it before this VM does.
 */
static void on_relayed(store_watch_t *watch, store_result_t result, str_t body)
{
	bool ok = result == STORE_OK && watch->call.era == watch->era;

	if (ok && store_page_begin(&watch->page, body))
		on_next_rows(watch);
	else
		handle_malformed(watch);
}

/* Begins a full read in place of the answer that was read after an outage: rows may have
 * expired and been written again meanwhile, which the feed does not show.
 */
static void read_again(store_watch_t *watch)
{
	store_page_finish(&watch->page);
	watch->failures = 0;
	watch->last_ok_us = watch->received_us;
	start_over(watch);
	alarm_set(&watch->next_read, watch->received_us);
	set_reachable(watch, true);
}

/* Logs an answer with rows that came only at the end of a read's wait, which the first row
 * should have ended: the store did not watch the table for this read.
 */
static void log_held(store_watch_t *watch)
{
	if (watch->received_us < watch->wait_until_us ||
	    store_page_is_decoded(&watch->page))
		return;
	watch->held++;
	log_event(LOG_WARN, "store_read_held",
		  LOG_CSTR("table", watch->options.table),
		  LOG_INT("waited_ms", (watch->received_us - watch->sent_us) /
					       CLOCK_US_PER_MS),
		  LOG_INT("after", watch->version),
		  LOG_INT("version", watch->page.version));
}

/* Handles the end of a read, and schedules the next one. */
static void on_read(void *context, store_result_t result, str_t body)
{
	store_watch_t *watch = context;
	bool waited = watch->waiting;

	watch->received_us = clock_now(&watch->clock);
	watch->waiting = false;
	watch->rechecking = false;
	alarm_set(&watch->overdue, -1);
	if (watch->relayed) {
		on_relayed(watch, result, body);
		return;
	}
	if (was_restored(watch)) {
		read_table(watch);
		return;
	}
	if (result == STORE_HISTORY_GONE && watch->synced) {
		start_over(watch);
		read_table(watch);
		return;
	}
	if (result != STORE_OK) {
		handle_failure(watch, result);
		return;
	}
	if (!store_page_begin(&watch->page, body)) {
		handle_malformed(watch);
		return;
	}
	if (waited)
		log_held(watch);
	if (watch->synced && watch->outage)
		read_again(watch);
	else
		on_next_rows(watch);
}

/* Returns the address of the VM from which the next read has the feed passed on, or
 * NULL if it goes to the store.
 */
static const char *choose_reader(const store_watch_t *watch)
{
	const store_watch_options_t *options = &watch->options;

	if (!options->handler->choose_reader || !watch->synced ||
	    watch->rechecking || watch->outage)
		return NULL;
	return options->handler->choose_reader(options->context,
					       watch->failures > 0);
}

/* Returns how long the next read may wait for a change. When the store may be
 * unreachable it does not, so that its answer shows soon whether the store is back.
 */
static int64_t choose_wait_us(const store_watch_t *watch, const char *reader)
{
	if (watch->rechecking || (watch->failures > 0 && !reader))
		return 0;
	return watch->unconfirmed.at_us >= 0 ? watch->options.confirmed_wait_us
					     : watch->options.wait_us;
}

/* Appends the request to the VM that passes the feed on. */
static void append_relayed_read(store_watch_t *watch, const char *address,
				int64_t wait_us)
{
	store_feed_request_t request = {
		.after = watch->version,
		.wait_us = wait_us,
		.known_config = watch->known_config,
	};

	store_append_relayed_feed(watch->message, address, watch->options.table,
				  &request);
}

/* Sends the next read: of the feed, or of a page of a full read. */
static void read_table(store_watch_t *watch)
{
	const store_watch_options_t *options = &watch->options;
	const char *reader = choose_reader(watch);
	const char *address = reader ? reader : options->address;
	int64_t now_us = clock_now(&watch->clock);
	int64_t deadline_us = now_us + READ_TIMEOUT_US;
	int64_t wait_us = choose_wait_us(watch, reader);

	watch->relayed = reader != NULL;
	watch->waiting = watch->synced && wait_us > 0;
	g_string_truncate(watch->message, 0);
	if (watch->relayed) {
		append_relayed_read(watch, address, wait_us);
		deadline_us += wait_us;
	} else if (watch->synced) {
		store_append_feed(watch->message, address, options->table,
				  watch->version, wait_us);
		deadline_us += wait_us;
	} else {
		store_append_get(watch->message, options->address,
				 options->table, watch->from_key);
	}
	watch->reads += watch->relayed ? 0 : 1;
	watch->relayed_reads += watch->relayed ? 1 : 0;
	watch->sent_us = now_us;
	watch->wait_until_us = now_us + wait_us;
	alarm_set(&watch->overdue,
		  watch->waiting ? now_us + wait_us + OVERDUE_US : -1);
	store_call_send(&watch->call, address, watch->message, deadline_us,
			on_read, watch);
}

/* Reports a silence of the store when a read that waited is not answered soon
 * after its wait, so that it is replaced before its deadline. After a silence of
 * another VM the store is read.
 */
static void on_overdue(void *context)
{
	store_watch_t *watch = context;

	if (watch->relayed) {
		abandon_reader(watch);
		return;
	}
	watch->overdue_reads++;
	log_event(LOG_WARN, "store_read_overdue",
		  LOG_CSTR("table", watch->options.table),
		  LOG_INT("waited_ms",
			  (clock_now(&watch->clock) - watch->sent_us) /
				  CLOCK_US_PER_MS),
		  LOG_INT("after", watch->version));
	watch->options.handler->on_silence(watch->options.context);
}

/* Sends the read that was scheduled. */
static void on_next(void *context)
{
	read_table(context);
}

/*
 * Replaces a read that waits for a change by one that does not wait. To be
 * called when another call got no answer: the store may have lost the waiting
 * read too, and would never answer it.
 */
void store_watch_recheck(store_watch_t *watch)
{
	if (!watch->waiting)
		return;
	store_call_cancel(&watch->call);
	watch->rechecking = true;
	read_table(watch);
}

/* Replaces a read that waits longer than one does without the word of other VMs. */
static void on_unconfirmed(void *context)
{
	store_watch_t *watch = context;
	int64_t now_us = clock_now(&watch->clock);

	if (!watch->waiting ||
	    watch->wait_until_us <= now_us + watch->options.wait_us)
		return;
	log_event(LOG_INFO, "store_read_replaced",
		  LOG_CSTR("table", watch->options.table),
		  LOG_INT("waited_ms",
			  (now_us - watch->sent_us) / CLOCK_US_PER_MS));
	store_watch_recheck(watch);
}

/* Notes that another VM has named the newest row that it has read, and the age of its read:
 * while that is young enough, this VM's own reads may wait longer. -1: unknown.
 */
void store_watch_confirm(store_watch_t *watch, int64_t age_us)
{
	int64_t now_us = clock_now(&watch->clock);
	int64_t until_us =
		now_us + watch->options.wait_us + CONFIRMED_SLACK_US - age_us;

	if (age_us >= 0 && until_us > now_us)
		alarm_set(&watch->unconfirmed,
			  MAX(watch->unconfirmed.at_us, until_us));
}

/* No longer relies on the word of other VMs. */
void store_watch_end_confirmation(store_watch_t *watch)
{
	if (watch->unconfirmed.at_us < 0)
		return;
	alarm_set(&watch->unconfirmed, -1);
	on_unconfirmed(watch);
}

/* Returns the time since the store has answered a read of the table by this VM; -1 if it has
 * not been read in full since the store was last lost.
 */
int64_t store_watch_age_us(const store_watch_t *watch)
{
	if (!watch->synced || !watch->reachable || watch->outage)
		return -1;
	return clock_now(&watch->clock) - watch->last_ok_us;
}

/* Reads the table from the store itself without a wait, to learn soon what was written
 * until now. Does nothing while such a read is in progress or its answer is applied, shortly
 * after it, or while reads fail, which are repeated soon anyway.
 */
void store_watch_read_now(store_watch_t *watch)
{
	bool reading = (store_call_is_busy(&watch->call) && !watch->waiting) ||
		       watch->page.rows;

	if (!watch->synced || reading || watch->failures > 0 ||
	    clock_now(&watch->clock) - watch->sent_us < READ_NOW_US)
		return;
	store_call_cancel(&watch->call);
	alarm_set(&watch->next_read, -1);
	watch->rechecking = true;
	read_table(watch);
}

/* Sends the next read now if the latest one failed. */
void store_watch_retry(store_watch_t *watch)
{
	if (watch->failures > 0 && watch->next_read.at_us >= 0)
		alarm_set(&watch->next_read, clock_now(&watch->clock));
}

/* Begins a full read at once, in place of a read that is in progress or was
 * scheduled.
 */
void store_watch_read_all(store_watch_t *watch)
{
	alarm_set(&watch->next_read, -1);
	store_call_cancel(&watch->call);
	drop_page(watch);
	start_over(watch);
	read_table(watch);
}

/* Starts to follow a table. The options are copied, the texts borrowed. */
void store_watch_init(store_watch_t *watch, http_pool_t *pool,
		      clock_source_t clock,
		      const store_watch_options_t *options)
{
	*watch = (store_watch_t){
		.options = *options,
		.clock = clock,
		.message = g_string_new(NULL),
		.last_ok_us = clock_now(&clock),
	};
	store_call_init(&watch->call, pool);
	alarm_init(&watch->next_read, clock, on_next, watch);
	alarm_init(&watch->overdue, clock, on_overdue, watch);
	alarm_init(&watch->unconfirmed, clock, on_unconfirmed, watch);
	alarm_init(&watch->next_rows, clock, on_next_rows, watch);
	alarm_set(&watch->next_read, clock_now(&clock));
}

/* Stops following, and cancels a read in progress. */
void store_watch_finish(store_watch_t *watch)
{
	store_call_finish(&watch->call);
	alarm_finish(&watch->next_read);
	alarm_finish(&watch->overdue);
	alarm_finish(&watch->unconfirmed);
	alarm_finish(&watch->next_rows);
	store_page_finish(&watch->page);
	g_free(watch->from_key);
	g_string_free(watch->message, TRUE);
}
