/* Table calls around an at-most-once call. */
#include "request/once_record.h"

#include "process/log.h"

/* A table call without an answer for this long counts as lost, so that callers
 * are refused soon while the table is unavailable.
 */
#define TABLE_TIMEOUT_US (1 * CLOCK_US_PER_S)

/* The outcome is written for callers that use the same key again. It may
 * take longer than other table calls, but must not hold up a shutdown for long.
 */
#define OUTCOME_TIMEOUT_US (10 * CLOCK_US_PER_S)

/* Exists from once_record_start() until the outcome is written, or until a step
 * that sends no call.
 */
struct once_record {
	once_records_t *records;
	once_t once;
	char *table_key;
	platform_call_t *table_call; /* in progress, or NULL */
	uint64_t version; /* of the row: read, or written by this send */
	guint refusal_source; /* reports first_step, a refusal; 0: none */
	once_step_t first_step;
	once_decision_fn_t on_decision; /* NULL: abandoned or ended */
	void *context;
};

static void do_step(once_record_t *record, once_step_t step,
		    const once_outcome_t *outcome);

/* Prepares an empty list. The platform is borrowed and may be NULL. */
void once_records_init(once_records_t *records, platform_t *platform,
		       clock_source_t clock)
{
	records->platform = platform;
	records->clock = clock;
	g_queue_init(&records->in_progress);
}

/* Frees a record. A table call in progress is given up. */
static void record_free(once_record_t *record)
{
	if (record->table_call)
		platform_cancel(record->table_call);
	if (record->refusal_source)
		g_source_remove(record->refusal_source);
	g_queue_remove(&record->records->in_progress, record);
	once_finish(&record->once);
	g_free(record->table_key);
	g_free(record);
}

/* Frees records that are still being written. */
void once_records_finish(once_records_t *records)
{
	once_record_t *record;

	while ((record = g_queue_peek_head(&records->in_progress)))
		record_free(record);
}

/* Whether no record is in progress. */
bool once_records_are_idle(const once_records_t *records)
{
	return records->in_progress.length == 0;
}

static int64_t now_of(const once_record_t *record)
{
	return clock_now(&record->records->clock);
}

/* Returns what the platform's answer says about a write. */
static once_write_result_t write_result(platform_outcome_t outcome)
{
	switch (outcome) {
	case PLATFORM_DONE:
		return ONCE_WRITE_OK;
	case PLATFORM_CONDITION_FAILED:
	case PLATFORM_NOT_FOUND:
		return ONCE_WRITE_CONFLICT;
	case PLATFORM_REJECTED:
	case PLATFORM_NOT_SENT:
		return ONCE_WRITE_NOT_SENT;
	case PLATFORM_UNKNOWN:
		break;
	}
	return ONCE_WRITE_UNKNOWN;
}

/* Continues after a write that inserts or takes over the row. */
static void on_written(void *context, const platform_answer_t *answer)
{
	once_record_t *record = context;

	record->table_call = NULL;
	if (answer->outcome == PLATFORM_DONE)
		record->version = answer->version;
	do_step(record,
		once_after_write(&record->once, write_result(answer->outcome),
				 now_of(record)),
		NULL);
}

/* Continues after a read of the row. */
static void on_read(void *context, const platform_answer_t *answer)
{
	once_record_t *record = context;
	once_read_result_t result = ONCE_READ_FAILED;
	once_row_t row = {0};
	once_step_t step;
	gsize len;
	const char *text;

	record->table_call = NULL;
	if (answer->outcome == PLATFORM_NOT_FOUND)
		result = ONCE_READ_ABSENT;
	if (answer->outcome == PLATFORM_DONE) {
		text = g_bytes_get_data(answer->body, &len);
		record->version = answer->version;
		result = once_row_parse(text, len, &row) ? ONCE_READ_FOUND
							 : ONCE_READ_MALFORMED;
	}
	step = once_after_read(&record->once, result, &row, now_of(record));
	do_step(record, step, &row.outcome);
	once_row_finish(&row);
}

/* Returns the row in the given state, owned by the caller. */
static GBytes *row_bytes(const once_record_t *record, once_state_t state,
			 const once_outcome_t *outcome)
{
	clock_source_t wall = clock_realtime();
	char *text = once_row_format(&record->once, state, outcome,
				     clock_now(&wall) / CLOCK_US_PER_MS);

	return g_bytes_new_take(text, strlen(text));
}

/* Writes the row in ONCE_STARTED if the stored one has the expected version. */
static void write_row(once_record_t *record, uint64_t expected)
{
	GBytes *bytes = row_bytes(record, ONCE_STARTED, NULL);

	record->table_call = platform_put_once(
		record->records->platform, record->table_key, bytes, expected,
		now_of(record) + TABLE_TIMEOUT_US, on_written, record);
	g_bytes_unref(bytes);
}

/* Reads the row. */
static void read_row(once_record_t *record)
{
	record->table_call = platform_get(record->records->platform,
					  record->table_key,
					  now_of(record) + TABLE_TIMEOUT_US,
					  on_read, record);
}

/* Passes a decision to the owner of the record. Frees the record unless the
 * call is sent.
 */
static void report(once_record_t *record, const once_step_t *step,
		   const once_outcome_t *outcome)
{
	once_decision_fn_t on_decision = record->on_decision;
	void *context = record->context;

	/* After ONCE_DISPATCH the callback may end the record, so nothing may
	 * touch it after the callback.
	 */
	if (step->kind != ONCE_DISPATCH)
		record_free(record);
	if (on_decision)
		on_decision(context, step, outcome);
}

/* Carries out a step. The record may have been freed on return. */
static void do_step(once_record_t *record, once_step_t step,
		    const once_outcome_t *outcome)
{
	switch (step.kind) {
	case ONCE_INSERT:
		write_row(record, PLATFORM_NO_ROW);
		break;
	case ONCE_TAKE_OVER:
		write_row(record, record->version);
		break;
	case ONCE_READ:
		read_row(record);
		break;
	case ONCE_DISPATCH:
		/* The caller is gone and nothing was sent: the row is marked as
		 * not run, so that another send can take it over.
		 */
		if (!record->on_decision)
			once_record_end(record, ONCE_CALL_NOT_RUN, NULL);
		else
			report(record, &step, NULL);
		break;
	case ONCE_REPLAY:
	case ONCE_ANSWER:
		report(record, &step, outcome);
		break;
	}
}

/* Reports a refusal that was decided in once_record_start(). */
static gboolean on_refusal(gpointer data)
{
	once_record_t *record = data;

	record->refusal_source = 0;
	report(record, &record->first_step, NULL);
	return G_SOURCE_REMOVE;
}

/*
 * Starts to record a call in the table, before it is sent. `on_decision` is
 * called once, after this function has returned, unless the record is
 * abandoned.
 */
once_record_t *once_record_start(once_records_t *records,
				 const once_params_t *params,
				 once_decision_fn_t on_decision, void *context)
{
	once_record_t *record = g_new0(once_record_t, 1);

	record->records = records;
	record->on_decision = on_decision;
	record->context = context;
	record->table_key = once_table_key(params->workspace, params->key);
	once_init(&record->once, params->workspace, params->key,
		  params->call_hash, params->attempt, params->give_up_us);
	g_queue_push_tail(&records->in_progress, record);
	record->first_step = once_begin(&record->once, now_of(record));
	if (!records->platform)
		record->first_step = once_after_write(
			&record->once, ONCE_WRITE_NOT_SENT, now_of(record));
	if (record->first_step.kind == ONCE_INSERT)
		write_row(record, PLATFORM_NO_ROW);
	else
		record->refusal_source = g_idle_add(on_refusal, record);
	return record;
}

/*
 * Gives up a record whose call was not sent, because the caller is gone. NULL
 * is allowed. If the row turns out to have been written by this send, it is
 * marked as not run.
 */
void once_record_abandon(once_record_t *record)
{
	if (!record)
		return;
	record->on_decision = NULL;
	if (record->refusal_source)
		record_free(record);
}

/* Frees the record. A caller that uses the key again won't get the outcome if
 * it could not be stored.
 */
static void on_outcome_written(void *context, const platform_answer_t *answer)
{
	once_record_t *record = context;

	record->table_call = NULL;
	if (answer->outcome != PLATFORM_DONE)
		log_event(LOG_WARN, "once_outcome_not_stored",
			  LOG_CSTR("request", record->once.attempt),
			  LOG_CSTR("outcome",
				   platform_outcome_text(answer->outcome)));
	record_free(record);
}

/*
 * Stores how a call ended, for callers that use the same key again, and frees
 * the record when that is done. NULL is allowed. After ONCE_CALL_UNKNOWN the
 * row stays in ONCE_STARTED, because the call may have run. `outcome` is used
 * for ONCE_CALL_ANSWERED only, and copied.
 */
void once_record_end(once_record_t *record, once_call_result_t result,
		     const once_outcome_t *outcome)
{
	once_state_t state = once_state_for_result(result);
	GBytes *bytes;

	if (!record)
		return;
	record->on_decision = NULL;
	if (state == ONCE_STARTED) {
		record_free(record);
		return;
	}
	bytes = row_bytes(record, state, outcome);
	record->table_call = platform_write(record->records->platform,
					    record->table_key, bytes,
					    record->version,
					    now_of(record) + OUTCOME_TIMEOUT_US,
					    on_outcome_written, record);
	g_bytes_unref(bytes);
}
