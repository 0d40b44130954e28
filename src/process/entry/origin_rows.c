#include "process/entry/origin_rows.h"

#include <inttypes.h>
#include <stdlib.h>

#include "names.h"
#include "process/log.h"
#include "store_call.h"

/* Pause between writes. A stream that begins is lost with all VMs if it is not
 * written yet.
 */
#define WRITE_US (50 * CLOCK_US_PER_MS)

/* Pause after a write or a removal that failed, and between removals. */
#define RETRY_US (1 * CLOCK_US_PER_S)
#define REMOVAL_US (5 * CLOCK_US_PER_S)

/* Pause between reads, and between those by which a VM that writes rows learns of
 * the rows of others.
 */
#define READ_US (500 * CLOCK_US_PER_MS)
#define RECORDER_READ_US (60 * CLOCK_US_PER_S)

/* Deadlines of calls. */
#define CALL_TIMEOUT_US (1500 * CLOCK_US_PER_MS)
#define READ_TIMEOUT_US (1 * CLOCK_US_PER_S)

/* Rows stay a little longer than the streams in them can go on. */
#define ROW_SLACK_US (5 * CLOCK_US_PER_S)

/* Most streams in a row, which holds 64 KiB at most, and rows in one removal. */
#define STREAMS_PER_ROW 1024
#define ROWS_PER_REMOVAL 50

/* Longest time for which a stream that was read is kept. */
#define MAX_LEFT_MS (3600 * INT64_C(1000))

/* Sets up an object that has read nothing. */
void origin_rows_init(origin_rows_t *rows, clock_source_t clock,
		      http_pool_t *pool, stream_origins_t *origins,
		      const char *vm, uint64_t incarnation)
{
	*rows = (origin_rows_t){
		.clock = clock,
		.origins = origins,
		.vm = vm,
		.incarnation = incarnation,
		.writing = g_array_new(FALSE, FALSE, sizeof(stream_origin_t)),
	};
	rows->expiries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store_call_init(&rows->write_call, pool);
	store_call_init(&rows->removal_call, pool);
	store_call_init(&rows->read_call, pool);
}

/* Cancels calls in progress and frees what the object owns. */
void origin_rows_finish(origin_rows_t *rows)
{
	store_call_finish(&rows->write_call);
	store_call_finish(&rows->removal_call);
	store_call_finish(&rows->read_call);
	g_array_unref(rows->writing);
	g_hash_table_unref(rows->expiries);
	g_free(rows->from_key);
}

/* Remembers when a row is to be removed, unless it is known already. */
static void keep_row(origin_rows_t *rows, const char *key, int64_t until_us)
{
	if (!g_hash_table_contains(rows->expiries, key))
		g_hash_table_insert(rows->expiries, g_strdup(key),
				    g_memdup2(&until_us, sizeof(until_us)));
}

/* --- writes -------------------------------------------------------------- */

/* Takes the streams of a write that failed for not recorded. Whether it took effect
 * does not matter: the same stream in two rows is the same fact.
 */
static void on_written(void *context, store_result_t result, str_t body)
{
	origin_rows_t *rows = context;

	if (result == STORE_OK)
		return;
	stream_origins_set_unrecorded(rows->origins, rows->writing);
	rows->next_write_us = clock_now(&rows->clock) + RETRY_US;
	log_event(LOG_WARN, "origins_not_written", LOG_INT("result", result),
		  LOG_UINT("streams", rows->writing->len));
}

/* Formats the streams of a write, with the time for which each is kept. Returns
 * until when the row has to be kept.
 */
static int64_t format_row(const GArray *streams, GString *value, int64_t now_us)
{
	int64_t until_us = now_us;

	for (guint i = 0; i < streams->len; i++) {
		const stream_origin_t *origin =
			&g_array_index(streams, stream_origin_t, i);

		g_string_append_printf(
			value, "%" PRIx64 " %" PRIx64 " %" PRId64 "\n",
			origin->stream, origin->software,
			(origin->expires_us - now_us) / CLOCK_US_PER_MS);
		until_us = MAX(until_us, origin->expires_us);
	}
	return until_us + ROW_SLACK_US;
}

/* Writes the streams that the store lacks, if there are any. */
static void write_new(origin_rows_t *rows, const char *store_address,
		      int64_t now_us)
{
	GString *message, *value;
	char *key;

	if (!stream_origins_list_unrecorded(rows->origins, rows->writing,
					    STREAMS_PER_ROW, now_us))
		return;
	rows->next_write_us = now_us + WRITE_US;
	message = g_string_new(NULL);
	value = g_string_new(NULL);
	key = g_strdup_printf("%s/%" PRIu64 "/%" PRIu64, rows->vm,
			      rows->incarnation, ++rows->rows_written);
	keep_row(rows, key, format_row(rows->writing, value, now_us));
	store_append_put(message, store_address, TABLE_STREAMS, key,
			 str_from_gstring(value));
	store_call_send(&rows->write_call, store_address, message,
			now_us + CALL_TIMEOUT_US, on_written, rows);
	g_free(key);
	g_string_free(value, TRUE);
	g_string_free(message, TRUE);
}

/* --- removals ------------------------------------------------------------ */

/* Logs a removal that failed. Its rows are found again by a later read. */
static void on_removed(void *context, store_result_t result, str_t body)
{
	if (result != STORE_OK)
		log_event(LOG_WARN, "origins_not_removed",
			  LOG_INT("result", result));
}

/* Removes rows whose streams can no longer go on. */
static void remove_expired(origin_rows_t *rows, const char *store_address,
			   int64_t now_us)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key, until;

	rows->next_removal_us = now_us + REMOVAL_US;
	g_hash_table_iter_init(&iter, rows->expiries);
	while (g_hash_table_iter_next(&iter, &key, &until) &&
	       keys->len < ROWS_PER_REMOVAL) {
		if (*(int64_t *)until > now_us)
			continue;
		g_ptr_array_add(keys, g_strdup(key));
		g_hash_table_iter_remove(&iter);
	}
	if (keys->len > 0) {
		GString *message = g_string_new(NULL);

		store_append_remove(message, store_address, TABLE_STREAMS,
				    keys);
		store_call_send(&rows->removal_call, store_address, message,
				now_us + CALL_TIMEOUT_US, on_removed, rows);
		g_string_free(message, TRUE);
	}
	g_ptr_array_unref(keys);
}

/* --- reads --------------------------------------------------------------- */

/* Reads one line of a row: "STREAM SOFTWARE LEFT_MS". */
static bool read_line(const char *line, int64_t now_us, stream_origin_t *origin)
{
	char *end;
	int64_t left_ms;

	origin->stream = g_ascii_strtoull(line, &end, 16);
	origin->software = g_ascii_strtoull(end, &end, 16);
	left_ms = g_ascii_strtoll(end, &end, 10);
	if (*end != '\0' || origin->software == 0 || left_ms < 0)
		return false;
	origin->expires_us =
		now_us + MIN(left_ms, MAX_LEFT_MS) * CLOCK_US_PER_MS;
	return true;
}

/* Adds the streams of a row, and keeps the row for as long as the last of them. */
static void read_row(origin_rows_t *rows, const store_row_t *row,
		     int64_t now_us)
{
	char **lines = g_strsplit(row->value->str, "\n", -1);
	int64_t until_us = now_us;

	for (char **line = lines; *line; line++) {
		stream_origin_t origin = {.recorded = true};

		if (**line == '\0')
			continue;
		if (!read_line(*line, now_us, &origin)) {
			log_event(LOG_WARN, "origin_unreadable",
				  LOG_CSTR("row", row->key));
			continue;
		}
		stream_origins_put(rows->origins, &origin);
		until_us = MAX(until_us, origin.expires_us);
	}
	keep_row(rows, row->key, until_us + ROW_SLACK_US);
	g_strfreev(lines);
}

/* Adds the rows of a page, and lets the next check read the next one. */
static void on_read(void *context, store_result_t result, str_t body)
{
	origin_rows_t *rows = context;
	int64_t now_us = clock_now(&rows->clock);
	store_page_t page;

	g_clear_pointer(&rows->from_key, g_free);
	if (result != STORE_OK) {
		rows->read_wanted = true;
		log_event(LOG_WARN, "origins_not_read",
			  LOG_INT("result", result));
		return;
	}
	if (store_page_read(body, &page)) {
		for (guint i = 0; i < page.rows->len; i++) {
			const store_row_t *row =
				&g_array_index(page.rows, store_row_t, i);

			if (row->value)
				read_row(rows, row, now_us);
		}
		if (page.has_more && page.rows->len > 0)
			rows->from_key = g_strconcat(
				g_array_index(page.rows, store_row_t,
					      page.rows->len - 1)
					.key,
				"\x01", NULL);
		else
			rows->read_us = rows->read_sent_us;
	}
	store_page_finish(&page);
}

/* Sends the read of the first page, or of the next one. */
static void send_read(origin_rows_t *rows, const char *store_address,
		      int64_t now_us)
{
	GString *message = g_string_new(NULL);

	if (!rows->from_key) {
		rows->read_sent_us = now_us;
		rows->next_read_us = now_us + READ_US;
		rows->read_wanted = false;
	}
	store_append_get(message, store_address, TABLE_STREAMS, rows->from_key);
	store_call_send(&rows->read_call, store_address, message,
			now_us + READ_TIMEOUT_US, on_read, rows);
	g_string_free(message, TRUE);
}

/* Asks for a read that begins after this call, as soon as one is due. */
void origin_rows_want_read(origin_rows_t *rows)
{
	rows->read_wanted = true;
}

/* Sends the calls that are due. `is_recorder` tells whether this VM writes, and
 * `is_needed` whether the version of a stream could be one of several. To be called
 * at short intervals.
 */
void origin_rows_check(origin_rows_t *rows, const char *store_address,
		       bool is_recorder, bool is_needed, int64_t now_us)
{
	if (is_recorder && (!rows->was_recorder ||
			    now_us - rows->read_sent_us >= RECORDER_READ_US))
		rows->read_wanted = true;
	rows->was_recorder = is_recorder;
	if (!store_call_is_busy(&rows->read_call) &&
	    (rows->from_key ||
	     (rows->read_wanted && now_us >= rows->next_read_us)))
		send_read(rows, store_address, now_us);
	if (!is_recorder)
		return;
	if (is_needed && now_us >= rows->next_write_us &&
	    !store_call_is_busy(&rows->write_call))
		write_new(rows, store_address, now_us);
	if (now_us >= rows->next_removal_us &&
	    !store_call_is_busy(&rows->removal_call))
		remove_expired(rows, store_address, now_us);
}
