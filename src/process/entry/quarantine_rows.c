#include "process/entry/quarantine_rows.h"

#include <inttypes.h>

#include "process/entry/store_rows.h"
#include "process/log.h"
#include "request/request_keys.h"

/* Pauses between checks, and after a write that failed. */
#define CHECK_US (100 * CLOCK_US_PER_MS)
#define RETRY_US (1 * CLOCK_US_PER_S)

/* Deadline of a write. */
#define CALL_TIMEOUT_US (1500 * CLOCK_US_PER_MS)

/* VMs that have not seen a loss under a rule themselves write it only when it is
 * still missing so long after the last loss.
 */
#define OTHERS_WRITE_AFTER_US (4 * CLOCK_US_PER_S)

/* A row is written again when a loss comes so long after the one in it: the time of the
 * next trial follows from it.
 */
#define RENEW_US (5 * CLOCK_US_PER_S)

/* Each VM waits a part of this, by its name, before it removes a row. */
#define REMOVAL_SPREAD_MS 30000

/* Most rows that are kept: this VM removes those of them whose rules have ended. */
#define MAX_ROWS 4096

/* What is known of a row. */
typedef struct {
	quarantine_rule_t rule;
	int64_t version; /* 0: the store does not have it, as far as known */
} row_t;

/* Sets up an object without rows. */
void quarantine_rows_init(quarantine_rows_t *rows, clock_source_t clock,
			  http_pool_t *pool, quarantine_t *quarantine,
			  const char *vm)
{
	*rows = (quarantine_rows_t){
		.clock = clock,
		.quarantine = quarantine,
		.removal_delay_us =
			g_str_hash(vm) % REMOVAL_SPREAD_MS * CLOCK_US_PER_MS,
	};
	rows->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store_call_init(&rows->call, pool);
}

/* Cancels a call in progress and frees what the object owns. */
void quarantine_rows_finish(quarantine_rows_t *rows)
{
	store_call_finish(&rows->call);
	g_hash_table_unref(rows->rows);
}

/* Returns the key of a row for a rule: a prefix and the rule's keys; freed with g_free(). */
char *quarantine_rows_format_key(const char *prefix,
				 const quarantine_rule_t *rule)
{
	GString *key = g_string_new(prefix);

	request_keys_append(key, rule->keys, rule->n_keys, '-');
	return g_string_free(key, FALSE);
}

/* Reads the keys of a rule from the key of its row, behind its prefix. */
bool quarantine_rows_read_keys(const char *text, quarantine_rule_t *rule)
{
	const char *at = text;

	for (;;) {
		char *end;

		if (rule->n_keys >= QUARANTINE_KEYS_MAX ||
		    !g_ascii_isxdigit(*at))
			return false;
		rule->keys[rule->n_keys++] = g_ascii_strtoull(at, &end, 16);
		if (*end == '\0')
			return true;
		if (*end != '-')
			return false;
		at = end + 1;
	}
}

/* Returns the time of day in ms of a time on the VM's clock. The clocks of VMs may differ by
 * seconds, which is little against the time for which a rule holds.
 */
int64_t quarantine_rows_wall_ms(int64_t time_us, int64_t now_us)
{
	clock_source_t wall = clock_realtime();

	return (clock_now(&wall) - (now_us - time_us)) / CLOCK_US_PER_MS;
}

/* Sets the time on the VM's clock, no later than now, of a time of day in ms. Returns false if
 * there is none.
 */
bool quarantine_rows_time_us(int64_t wall_ms, int64_t now_us, int64_t *time_us)
{
	clock_source_t wall = clock_realtime();

	if (wall_ms < 0 || wall_ms > INT64_MAX / CLOCK_US_PER_MS)
		return false;
	*time_us =
		now_us - MAX(clock_now(&wall) - wall_ms * CLOCK_US_PER_MS, 0);
	return true;
}

/* Returns the value of a rule's row, freed with g_free(): the time of the last loss, the
 * number of servers lost, the time from the first loss to the last one, and whether the
 * requests had begun well before. Earlier builds write and read the first two.
 */
static char *format_value(const quarantine_rule_t *rule, int64_t now_us)
{
	int64_t span_us = rule->first_us ? rule->lost_us - rule->first_us : 0;

	return g_strdup_printf("%" PRId64 " %u %" PRId64 " %u",
			       quarantine_rows_wall_ms(rule->lost_us, now_us),
			       rule->servers, span_us / CLOCK_US_PER_MS,
			       rule->once_sound ? 1 : 0);
}

/* Reads the value of a rule's row. */
static bool read_value(str_t value, int64_t now_us, quarantine_rule_t *rule)
{
	char *text = str_dup(value);
	int64_t lost_ms;
	int64_t span_ms = 0;
	unsigned once_sound = 0;
	int n = sscanf(text, "%" SCNd64 " %u %" SCNd64 " %u", &lost_ms,
		       &rule->servers, &span_ms, &once_sound);

	g_free(text);
	if (n < 2 || !quarantine_rows_time_us(lost_ms, now_us, &rule->lost_us))
		return false;
	span_ms = CLAMP(span_ms, 0, QUARANTINE_US / CLOCK_US_PER_MS);
	rule->first_us = rule->lost_us - span_ms * CLOCK_US_PER_MS;
	rule->once_sound = once_sound != 0;
	return true;
}

/* Begins a full read of the table: rows that it does not bring are gone, as after
 * the store was restored from an older copy, and are written again.
 */
void quarantine_rows_begin_sync(quarantine_rows_t *rows)
{
	GHashTableIter iter;
	gpointer value;

	rows->has_left_rows = false;
	g_hash_table_iter_init(&iter, rows->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((row_t *)value)->version = 0;
}

/* Applies the removal of a row. */
static void remove_row(quarantine_rows_t *rows, const char *key)
{
	quarantine_rule_t rule = {0};

	if (!quarantine_rows_read_keys(key + strlen(STORE_CRASH_PREFIX), &rule))
		return;
	quarantine_remove_stored(rows->quarantine, &rule);
	g_hash_table_remove(rows->rows, key);
}

/* Logs that there are more rows than are used, once until the next full read. */
static void log_left(quarantine_rows_t *rows, const char *key)
{
	if (!rows->has_left_rows)
		log_event(LOG_WARN, "crash_row_left", LOG_CSTR("key", key),
			  LOG_UINT("rows", g_hash_table_size(rows->rows)));
	rows->has_left_rows = true;
}

/* Applies a row, or its removal if the version is 0. One that cannot be read
 * changes nothing, nor does one beyond the number that is used.
 */
void quarantine_rows_put(quarantine_rows_t *rows, const char *key, str_t value,
			 int64_t row_version)
{
	int64_t now_us = clock_now(&rows->clock);
	row_t row = {.version = row_version};

	if (row_version == 0) {
		remove_row(rows, key);
		return;
	}
	if (!quarantine_rows_read_keys(key + strlen(STORE_CRASH_PREFIX),
				       &row.rule) ||
	    !read_value(value, now_us, &row.rule)) {
		log_event(LOG_WARN, "crash_row_unreadable",
			  LOG_CSTR("key", key));
		return;
	}
	if (g_hash_table_size(rows->rows) < MAX_ROWS ||
	    g_hash_table_contains(rows->rows, key))
		g_hash_table_replace(rows->rows, g_strdup(key),
				     g_memdup2(&row, sizeof(row)));
	if (!quarantine_put_stored(rows->quarantine, &row.rule))
		log_left(rows, key);
}

/* Logs how a write or a removal ended. A failed one is tried again when a later
 * check finds the same.
 */
static void on_done(void *context, store_result_t result, str_t body)
{
	quarantine_rows_t *rows = context;

	log_event(LOG_INFO, "crash_row_written", LOG_INT("result", result));
	rows->next_check_us = clock_now(&rows->clock) + RETRY_US;
}

/* Returns whether a rule has to be written now. */
static bool is_missing(const quarantine_rows_t *rows,
		       const quarantine_rule_t *rule, const row_t *row,
		       int64_t now_us)
{
	if (row && row->version && rule->lost_us < row->rule.lost_us + RENEW_US)
		return false;
	if (now_us - rule->lost_us >= QUARANTINE_US)
		return false;
	return now_us - rule->lost_us >= OTHERS_WRITE_AFTER_US ||
	       quarantine_has_own_loss(rows->quarantine, rule);
}

/* Writes one rule of an array that the store lacks. True if there was one. */
static bool write_missing(quarantine_rows_t *rows, const GArray *rules,
			  const char *store_address, int64_t now_us)
{
	for (guint i = 0; i < rules->len; i++) {
		const quarantine_rule_t *rule =
			&g_array_index(rules, quarantine_rule_t, i);
		char *key =
			quarantine_rows_format_key(STORE_CRASH_PREFIX, rule);
		const row_t *row = g_hash_table_lookup(rows->rows, key);
		bool missing = is_missing(rows, rule, row, now_us);

		if (missing) {
			char *value = format_value(rule, now_us);

			store_call_put_own(&rows->call, store_address, key,
					   str_from(value),
					   row ? row->version : 0,
					   now_us + CALL_TIMEOUT_US, on_done,
					   rows);
			g_free(value);
		}
		g_free(key);
		if (missing)
			return true;
	}
	return false;
}

/* Returns whether the row of a rule is to be removed: the rule has ended, or requests that
 * have begun well at this VM show that it does not hold.
 */
static bool is_removable(const quarantine_rows_t *rows, const row_t *row,
			 int64_t now_us)
{
	int64_t refuted_us =
		quarantine_refuted_here_us(rows->quarantine, &row->rule);
	int64_t ended_us = refuted_us != SOUND_NEVER_US
				   ? refuted_us
				   : row->rule.lost_us + QUARANTINE_US;

	return row->version && now_us >= ended_us + rows->removal_delay_us;
}

/* Removes one row whose rule has ended. The removal names the row's version, so
 * that a row which was written again stays.
 */
static void remove_ended(quarantine_rows_t *rows, const char *store_address,
			 int64_t now_us)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, rows->rows);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const row_t *row = value;

		if (!is_removable(rows, row, now_us))
			continue;
		store_call_remove_own(&rows->call, store_address, key,
				      row->version, now_us + CALL_TIMEOUT_US,
				      on_done, rows);
		return;
	}
}

/* Writes a rule that the store lacks, or removes one that has ended, if a check
 * is due. To be called at short intervals.
 */
void quarantine_rows_check(quarantine_rows_t *rows, const char *store_address,
			   int64_t now_us)
{
	const quarantine_t *quarantine = rows->quarantine;

	if (now_us < rows->next_check_us || store_call_is_busy(&rows->call))
		return;
	rows->next_check_us = now_us + CHECK_US;
	if (!write_missing(rows, quarantine->confirmed, store_address,
			   now_us) &&
	    !write_missing(rows, quarantine->stored, store_address, now_us))
		remove_ended(rows, store_address, now_us);
}
