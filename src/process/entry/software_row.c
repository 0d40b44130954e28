#include "process/entry/software_row.h"

#include "process/entry/store_rows.h"
#include "process/log.h"

/* Pauses between checks, and after a write. */
#define CHECK_US (50 * CLOCK_US_PER_MS)
#define RETRY_US (1 * CLOCK_US_PER_S)

/* Deadline of a write. */
#define CALL_TIMEOUT_US (1500 * CLOCK_US_PER_MS)

/* Each VM writes this much later than the VM before it, in an order by their names,
 * so that the others find the row already written.
 */
#define TURN_US (150 * CLOCK_US_PER_MS)

/* By then a VM that has started knows the other VMs, and has heard from them. */
#define SETTLED_US (1 * CLOCK_US_PER_S)

/* Sets up a row that was not read yet. */
void software_row_init(software_row_t *row, clock_source_t clock,
		       http_pool_t *pool, const announce_t *announce,
		       software_history_t *history, bool first_start)
{
	*row = (software_row_t){
		.clock = clock,
		.announce = announce,
		.history = history,
		.first_start = first_start,
		.started_us = clock_now(&clock),
	};
	software_record_init(&row->record);
	store_call_init(&row->call, pool);
}

/* Cancels a write in progress and frees what the object owns. */
void software_row_finish(software_row_t *row)
{
	store_call_finish(&row->call);
	software_record_finish(&row->record);
}

/* Begins a full read of the table: if it does not bring the row, that is gone. */
void software_row_begin_sync(software_row_t *row)
{
	software_record_finish(&row->record);
	software_record_init(&row->record);
	row->row_version = 0;
}

/* Applies the row. One that cannot be read counts as empty and is replaced. */
void software_row_put(software_row_t *row, str_t value, int64_t row_version)
{
	row->row_version = row_version;
	if (!software_record_parse(&row->record, value))
		log_event(LOG_WARN, "software_record_unreadable",
			  LOG_INT("row_version", row_version));
	software_record_add_to(&row->record, row->history,
			       clock_now(&row->clock));
}

/* Returns whether this VM writes which version began each stream. */
bool software_row_is_recorder(const software_row_t *row)
{
	return software_record_has_recorder(&row->record, row->announce->vm);
}

/* Returns whether a VM has announced itself lately. After this VM's start, all VMs
 * count as alive until they had time for it.
 */
static bool is_live(void *context, const char *vm)
{
	const software_row_t *row = context;
	const occupancy_t *occupancy = row->announce->occupancy;
	const occupancy_peer_t *peer =
		g_hash_table_lookup(occupancy->peers, vm);
	int64_t now_us = clock_now(&row->clock);
	int64_t heard_us =
		MAX(peer ? peer->received_us : 0, row->started_us + SETTLED_US);

	return now_us - heard_us <= occupancy->peer_ttl_us;
}

/* Returns how long this VM leaves the write to those before it. */
static int64_t turn_us(const software_row_t *row)
{
	guint own = g_str_hash(row->announce->vm);
	unsigned before = 0;
	GHashTableIter iter;
	gpointer vm;

	g_hash_table_iter_init(&iter, row->announce->peers);
	while (g_hash_table_iter_next(&iter, &vm, NULL))
		before += g_str_hash(vm) < own ? 1 : 0;
	return before * TURN_US;
}

/* Logs how a write ended. The row that another VM has written instead comes with
 * the feed.
 */
static void on_done(void *context, store_result_t result, str_t body)
{
	software_row_t *row = context;

	log_event(LOG_INFO, "software_record_written",
		  LOG_INT("result", result));
	row->next_check_us = clock_now(&row->clock) + RETRY_US;
}

/* Writes the record, on the version of the row that was read. */
static void write_record(software_row_t *row, const software_record_t *record,
			 const char *store_address, int64_t now_us)
{
	GString *value = g_string_new(NULL);

	software_record_format(record, value);
	store_call_put_own(&row->call, store_address, STORE_SOFTWARE_KEY,
			   str_from_gstring(value), row->row_version,
			   now_us + CALL_TIMEOUT_US, on_done, row);
	g_string_free(value, TRUE);
}

/* Writes the record if it has been wrong for as long as the VMs before this one had
 * to write it.
 */
static void write_if_wrong(software_row_t *row, software_record_t *record,
			   const char *store_address, int64_t era,
			   int64_t now_us)
{
	software_knowledge_t knowledge = {
		.history = row->history,
		.era = era,
		.vm = row->announce->vm,
		.is_live = is_live,
		.context = row,
	};

	if (!software_record_update(record, &knowledge, now_us)) {
		row->wrong_since_us = 0;
		return;
	}
	if (row->wrong_since_us == 0)
		row->wrong_since_us = now_us;
	if (now_us - row->wrong_since_us >= turn_us(row))
		write_record(row, record, store_address, now_us);
}

/* Takes over what the record tells, and brings it up to date if it is this VM's turn.
 * To be called at short intervals while this project's table was read in full;
 * `era` is the store's.
 */
void software_row_check(software_row_t *row, const char *store_address,
			int64_t era, int64_t now_us)
{
	software_record_t next;

	if (now_us < row->next_check_us)
		return;
	row->next_check_us = now_us + CHECK_US;
	if (software_record_is_complete(&row->record, era) ||
	    (row->first_start && row->row_version == 0))
		row->history->recorded = true;
	if (store_call_is_busy(&row->call) ||
	    now_us - row->started_us < SETTLED_US)
		return;
	software_record_init_copy(&next, &row->record);
	write_if_wrong(row, &next, store_address, era, now_us);
	software_record_finish(&next);
}
