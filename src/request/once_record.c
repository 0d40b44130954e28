#include "request/once_record.h"

#include "process/log.h"

/* A table call without an answer for this long counts as lost, so that the
 * caller is refused soon while the table is out.
 */
#define TABLE_TIMEOUT_US (1 * CLOCK_US_PER_S)

/* The outcome is written for callers that come back with the same key. It is
 * worth some effort, but not to hold up a shutdown.
 */
#define OUTCOME_TIMEOUT_US (10 * CLOCK_US_PER_S)

struct once_record {
	once_records_t *calls;
	once_t once;
	char *table_key;
	platform_call_t *io; /* in progress */
	uint64_t version; /* of the row: read, or written by this send */
	guint source; /* a refusal to be reported */
	once_step_t step; /* that refusal */
	once_decision_fn_t ready; /* NULL once abandoned */
	void *context;
};

static void execute(once_record_t *call, once_step_t step,
		    const once_outcome_t *outcome);

/* Sets up the list. The platform may be NULL. */
void once_records_init(once_records_t *calls, platform_t *platform,
		       clock_source_t clock)
{
	calls->platform = platform;
	calls->clock = clock;
	g_queue_init(&calls->calls);
}

static void call_free(once_record_t *call)
{
	if (call->io)
		platform_cancel(call->io);
	if (call->source)
		g_source_remove(call->source);
	g_queue_remove(&call->calls->calls, call);
	once_finish(&call->once);
	g_free(call->table_key);
	g_free(call);
}

/* Frees records that are still being written. */
void once_records_finish(once_records_t *calls)
{
	once_record_t *call;

	while ((call = g_queue_peek_head(&calls->calls)))
		call_free(call);
}

/* Tells whether no record is in progress. */
bool once_records_are_idle(const once_records_t *calls)
{
	return calls->calls.length == 0;
}

static int64_t now_of(const once_record_t *call)
{
	return clock_now(&call->calls->clock);
}

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

static void on_written(void *context, const platform_answer_t *answer)
{
	once_record_t *call = context;

	call->io = NULL;
	if (answer->outcome == PLATFORM_DONE)
		call->version = answer->version;
	execute(call,
		once_after_write(&call->once, write_result(answer->outcome),
				 now_of(call)),
		NULL);
}

static void on_read(void *context, const platform_answer_t *answer)
{
	once_record_t *call = context;
	once_read_result_t result = ONCE_READ_FAILED;
	once_row_t row = {0};
	once_step_t step;
	gsize len;
	const char *text;

	call->io = NULL;
	if (answer->outcome == PLATFORM_NOT_FOUND)
		result = ONCE_READ_ABSENT;
	if (answer->outcome == PLATFORM_DONE) {
		text = g_bytes_get_data(answer->body, &len);
		call->version = answer->version;
		result = once_row_parse(text, len, &row) ? ONCE_READ_FOUND
							 : ONCE_READ_MALFORMED;
	}
	step = once_after_read(&call->once, result, &row, now_of(call));
	execute(call, step, &row.outcome);
	once_row_finish(&row);
}

static GBytes *row_bytes(const once_record_t *call, once_state_t state,
			 const once_outcome_t *outcome)
{
	clock_source_t wall = clock_realtime();
	char *text = once_row_format(&call->once, state, outcome,
				     clock_now(&wall) / CLOCK_US_PER_MS);

	return g_bytes_new_take(text, strlen(text));
}

static void write_row(once_record_t *call, uint64_t expected)
{
	GBytes *bytes = row_bytes(call, ONCE_STARTED, NULL);

	call->io = platform_put(call->calls->platform, call->table_key, bytes,
				expected, now_of(call) + TABLE_TIMEOUT_US,
				on_written, call);
	g_bytes_unref(bytes);
}

static void read_row(once_record_t *call)
{
	call->io = platform_get(call->calls->platform, call->table_key,
				now_of(call) + TABLE_TIMEOUT_US, on_read, call);
}

static void report(once_record_t *call, const once_step_t *step,
		   const once_outcome_t *outcome)
{
	once_decision_fn_t ready = call->ready;
	void *context = call->context;

	/* The caller may free the record in once_record_end(). */
	if (step->kind != ONCE_DISPATCH)
		call_free(call);
	if (ready)
		ready(context, step, outcome);
}

/* Carries out a step. The record may have been freed on return. */
static void execute(once_record_t *call, once_step_t step,
		    const once_outcome_t *outcome)
{
	switch (step.kind) {
	case ONCE_INSERT:
		write_row(call, PLATFORM_ABSENT);
		break;
	case ONCE_TAKE_OVER:
		write_row(call, call->version);
		break;
	case ONCE_READ:
		read_row(call);
		break;
	case ONCE_DISPATCH:
		/* Its caller has gone: the row is given back. */
		if (!call->ready)
			once_record_end(call, ONCE_CALL_NOT_RUN, NULL);
		else
			report(call, &step, NULL);
		break;
	case ONCE_REPLAY:
	case ONCE_ANSWER:
		report(call, &step, outcome);
		break;
	}
}

static gboolean on_refusal(gpointer data)
{
	once_record_t *call = data;

	call->source = 0;
	report(call, &call->step, NULL);
	return G_SOURCE_REMOVE;
}

/*
 * Records a call in the table before it is sent. `ready` is called once, later
 * than this function returns, unless the record is abandoned.
 */
once_record_t *once_record_start(once_records_t *calls,
				 const once_params_t *want,
				 once_decision_fn_t ready, void *context)
{
	once_record_t *call = g_new0(once_record_t, 1);

	call->calls = calls;
	call->ready = ready;
	call->context = context;
	call->table_key = once_table_key(want->workspace, want->key);
	once_init(&call->once, want->workspace, want->key, want->call_hash,
		  want->attempt, want->give_up_us);
	g_queue_push_tail(&calls->calls, call);
	call->step = once_begin(&call->once, now_of(call));
	if (!calls->platform)
		call->step = once_after_write(&call->once, ONCE_WRITE_NOT_SENT,
					      now_of(call));
	if (call->step.kind == ONCE_INSERT)
		write_row(call, PLATFORM_ABSENT);
	else
		call->source = g_idle_add(on_refusal, call);
	return call;
}

/*
 * The caller no longer waits and the call was not sent. A row that is still
 * being written is marked as not run once it is known.
 */
void once_record_abandon(once_record_t *call)
{
	if (!call)
		return;
	call->ready = NULL;
	if (call->source)
		call_free(call);
}

static void on_outcome_written(void *context, const platform_answer_t *answer)
{
	once_record_t *call = context;

	call->io = NULL;
	if (answer->outcome != PLATFORM_DONE)
		log_event(LOG_WARN, "once_outcome_not_stored",
			  LOG_CSTR("request", call->once.attempt),
			  LOG_CSTR("outcome",
				   platform_outcome_text(answer->outcome)));
	call_free(call);
}

/*
 * Stores how the call ended, for callers that come back with the same key, and
 * frees the record in the end. Without a certain end the row stays as it is:
 * the call may have run. `outcome` is copied, and used for ONCE_CALL_ANSWERED.
 */
void once_record_end(once_record_t *call, once_call_result_t result,
		     const once_outcome_t *outcome)
{
	once_state_t state = once_state_for_result(result);
	GBytes *bytes;

	if (!call)
		return;
	call->ready = NULL;
	if (state == ONCE_STARTED) {
		call_free(call);
		return;
	}
	bytes = row_bytes(call, state, outcome);
	call->io = platform_write(call->calls->platform, call->table_key, bytes,
				  call->version,
				  now_of(call) + OUTCOME_TIMEOUT_US,
				  on_outcome_written, call);
	g_bytes_unref(bytes);
}
