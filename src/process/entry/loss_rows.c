#include "process/entry/loss_rows.h"

#include <inttypes.h>

#include "process/decide/quarantine_rules.h"
#include "process/entry/quarantine_rows.h"
#include "process/entry/store_rows.h"
#include "process/log.h"
#include "request/request_keys.h"

/* Pause after a write that failed. */
#define RETRY_US (1 * CLOCK_US_PER_S)

/* Deadline of a write. */
#define CALL_TIMEOUT_US (1500 * CLOCK_US_PER_MS)

/* VMs that have not seen a loss under a rule themselves write its losses only when the row is
 * still missing so long after the last one.
 */
#define OTHERS_WRITE_AFTER_US (1 * CLOCK_US_PER_S)

/* A loss counts for this VM from its row only if it was before the VM heard the others'
 * announcements, which come within this time after its start.
 */
#define ANNOUNCED_US (1 * CLOCK_US_PER_S)

/* How long after the last loss a row is removed, and the part of it that each VM waits in
 * addition, by its name.
 */
#define KEPT_US (60 * CLOCK_US_PER_S)
#define REMOVAL_SPREAD_MS 30000

/* Most rows that are used, and most losses of each. */
#define MAX_ROWS 64
#define MAX_LOSSES 8

/* What is known of a row. */
typedef struct {
	quarantine_loss_t losses[MAX_LOSSES];
	unsigned n_losses;
	int64_t lost_us; /* the last one */
	int64_t version; /* 0: the store does not have it, as far as known */
	bool applied;
} row_t;

/* Sets up an object without rows. */
void loss_rows_init(loss_rows_t *rows, clock_source_t clock, http_pool_t *pool,
		    quarantine_t *quarantine, const char *vm)
{
	*rows = (loss_rows_t){
		.clock = clock,
		.quarantine = quarantine,
		.losses = g_array_new(FALSE, FALSE, sizeof(quarantine_loss_t)),
		.started_us = clock_now(&clock),
		.removal_delay_us =
			g_str_hash(vm) % REMOVAL_SPREAD_MS * CLOCK_US_PER_MS,
	};
	rows->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store_call_init(&rows->call, pool);
}

/* Cancels a call in progress and frees what the object owns. */
void loss_rows_finish(loss_rows_t *rows)
{
	store_call_finish(&rows->call);
	g_hash_table_unref(rows->rows);
	g_array_unref(rows->losses);
}

/* Begins a full read of the table: rows that it does not bring are gone. */
void loss_rows_begin_sync(loss_rows_t *rows)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rows->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((row_t *)value)->version = 0;
}

/* Reads "MS SERVER;" for each loss, the time of day and the number of the server's process. */
static bool read_value(str_t value, int64_t now_us, row_t *row)
{
	char *text = str_dup(value);
	char **items = g_strsplit(text, ";", MAX_LOSSES + 1);
	bool ok = true;

	row->n_losses = 0;
	for (char **item = items; ok && *item && **item; item++) {
		quarantine_loss_t *loss = &row->losses[row->n_losses];
		int64_t lost_ms;

		ok = row->n_losses < MAX_LOSSES &&
		     sscanf(*item, "%" SCNd64 " %" SCNx64, &lost_ms,
			    &loss->server) == 2 &&
		     quarantine_rows_time_us(lost_ms, now_us, &loss->lost_us);
		if (!ok)
			break;
		row->lost_us = row->n_losses ? MAX(row->lost_us, loss->lost_us)
					     : loss->lost_us;
		row->n_losses++;
	}
	g_strfreev(items);
	g_free(text);
	return ok && row->n_losses > 0;
}

/* Reads a row, of which the losses have the keys that its own key names. */
static bool read_row(const char *key, str_t value, int64_t now_us, row_t *row)
{
	quarantine_rule_t rule = {0};

	if (!quarantine_rows_read_keys(key + strlen(STORE_LOSSES_PREFIX),
				       &rule) ||
	    !read_value(value, now_us, row))
		return false;
	for (unsigned i = 0; i < row->n_losses; i++) {
		row->losses[i].n_keys = rule.n_keys;
		memcpy(row->losses[i].keys, rule.keys, sizeof(rule.keys));
	}
	return true;
}

/* Keeps a row, or drops it if the version is 0. One that cannot be read changes nothing, nor
 * does one beyond the number that is used.
 */
void loss_rows_put(loss_rows_t *rows, const char *key, str_t value,
		   int64_t row_version)
{
	row_t row = {.version = row_version};

	if (row_version == 0) {
		g_hash_table_remove(rows->rows, key);
		return;
	}
	if (!read_row(key, value, clock_now(&rows->clock), &row)) {
		log_event(LOG_WARN, "loss_row_unreadable",
			  LOG_CSTR("key", key));
		return;
	}
	if (g_hash_table_size(rows->rows) < MAX_ROWS ||
	    g_hash_table_contains(rows->rows, key))
		g_hash_table_replace(rows->rows, g_strdup(key),
				     g_memdup2(&row, sizeof(row)));
}

/* Adds the losses of the rows that were before this VM's start to its evidence. To be called
 * once the list of servers is known: a server that is not known counts as gone.
 */
void loss_rows_apply(loss_rows_t *rows)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rows->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		row_t *row = value;

		for (unsigned i = 0; !row->applied && i < row->n_losses; i++) {
			const quarantine_loss_t *loss = &row->losses[i];

			if (loss->lost_us < rows->started_us + ANNOUNCED_US)
				quarantine_add_stored_loss(rows->quarantine,
							   loss);
		}
		row->applied = true;
	}
}

/* Logs how a write or a removal ended. A failed one is tried again when a later check finds
 * the same.
 */
static void on_done(void *context, store_result_t result, str_t body)
{
	loss_rows_t *rows = context;

	log_event(LOG_INFO, "loss_row_written", LOG_INT("result", result));
	rows->next_check_us = clock_now(&rows->clock) + RETRY_US;
}

/* Returns whether the losses under a rule have to be written now: those of the row, if there
 * is one, are fewer.
 */
static bool is_missing(const loss_rows_t *rows, const quarantine_rule_t *rule,
		       const row_t *row, int64_t now_us)
{
	const quarantine_t *quarantine = rows->quarantine;

	if (quarantine_find_equal(quarantine->confirmed, rule) ||
	    quarantine_find_equal(quarantine->stored, rule) ||
	    now_us - rule->lost_us >= KEPT_US)
		return false;
	if (row && row->version &&
	    row->n_losses >= MIN(rule->servers, MAX_LOSSES))
		return false;
	return now_us - rule->lost_us >= OTHERS_WRITE_AFTER_US ||
	       quarantine_has_own_loss(quarantine, rule);
}

/* Writes the losses under a rule, on the version of its row. */
static void write_losses(loss_rows_t *rows, const quarantine_rule_t *rule,
			 const char *key, int64_t row_version,
			 const char *store_address, int64_t now_us)
{
	GString *value = g_string_new(NULL);

	quarantine_list_under(rows->quarantine, rule, rows->losses);
	for (guint i = 0; i < MIN(rows->losses->len, MAX_LOSSES); i++) {
		const quarantine_loss_t *loss =
			&g_array_index(rows->losses, quarantine_loss_t, i);

		g_string_append_printf(value, "%" PRId64 " %" PRIx64 ";",
				       quarantine_rows_wall_ms(loss->lost_us,
							       now_us),
				       loss->server);
	}
	store_call_put_own(&rows->call, store_address, key,
			   str_from_gstring(value), row_version,
			   now_us + CALL_TIMEOUT_US, on_done, rows);
	g_string_free(value, TRUE);
}

/* Writes the losses under one rule that the store lacks. True if there was one. */
static bool write_missing(loss_rows_t *rows, const char *store_address,
			  int64_t now_us)
{
	const GArray *rules = rows->quarantine->rules;
	bool missing = false;

	for (guint i = 0; i < rules->len && !missing; i++) {
		const quarantine_rule_t *rule =
			&g_array_index(rules, quarantine_rule_t, i);
		char *key =
			quarantine_rows_format_key(STORE_LOSSES_PREFIX, rule);
		const row_t *row = g_hash_table_lookup(rows->rows, key);

		missing = is_missing(rows, rule, row, now_us);
		if (missing)
			write_losses(rows, rule, key, row ? row->version : 0,
				     store_address, now_us);
		g_free(key);
	}
	return missing;
}

/* Removes one row whose losses are known to count, or not to, by now. */
static void remove_old(loss_rows_t *rows, const char *store_address,
		       int64_t now_us)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, rows->rows);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const row_t *row = value;

		if (!row->version ||
		    now_us < row->lost_us + KEPT_US + rows->removal_delay_us)
			continue;
		store_call_remove_own(&rows->call, store_address, key,
				      row->version, now_us + CALL_TIMEOUT_US,
				      on_done, rows);
		return;
	}
}

/* Writes losses that the store lacks, unless this VM may not: its links may be what is lost; or
 * removes a row. To be called at short intervals.
 */
void loss_rows_check(loss_rows_t *rows, const char *store_address,
		     bool may_write, int64_t now_us)
{
	if (now_us < rows->next_check_us || store_call_is_busy(&rows->call))
		return;
	if (!may_write || !write_missing(rows, store_address, now_us))
		remove_old(rows, store_address, now_us);
}
