/* Import and decode calls of a request. Their results go to the state machine
 * as events.
 */
#include "process/counters.h"
#include "process/log.h"
#include "request/execute.h"

/* An open stream counts as silent after this many inter-token targets, within
 * these bounds. They are short because resuming at the same engine costs
 * little, and because a prefill result is retained for less than a second.
 */
#define STREAM_IDLE_TARGETS 6
#define STREAM_IDLE_MIN_US (250 * CLOCK_US_PER_MS)
#define STREAM_IDLE_MAX_US (1 * CLOCK_US_PER_S)

/* Longest wait for a stream's first token. A resumed stream needs no new slot
 * in the engine's batch, so it answers sooner. If the engine has also left a
 * load poll (sent every 250 ms) unanswered for EXECUTE_POLL_MISSED_US, it is
 * probably down, and the wait is shorter still.
 */
#define FIRST_TOKEN_TIMEOUT_US (1 * CLOCK_US_PER_S)
#define RESUMED_TIMEOUT_US (500 * CLOCK_US_PER_MS)
#define RESUMED_POLL_MISSED_TIMEOUT_US (150 * CLOCK_US_PER_MS)

/* Of the call itself: its silence timer looks at the other engines too. */
#define NO_IDLE_LIMIT 0

/* How often a stream that no engine could take over is checked. */
#define SILENCE_CHECK_MS 50

/* How often an import that waits for a transfer slot asks for one; short
 * compared with the time for which a prefill result is retained.
 */
#define TRANSFER_SLOT_POLL_MS 2

/* Returns the event for the status of an import. */
static lifecycle_event_kind_t import_event(engine_status_t status)
{
	switch (status) {
	case ENGINE_OK:
		return EVENT_IMPORT_DONE;
	case ENGINE_GONE:
		return EVENT_IMPORT_GONE;
	case ENGINE_REFUSED:
	case ENGINE_FULL:
		return EVENT_IMPORT_FULL;
	case ENGINE_NOT_SENT:
	case ENGINE_REJECTED:
	case ENGINE_LOST:
	case ENGINE_TIMED_OUT:
		break;
	}
	return EVENT_IMPORT_FAILED;
}

/* Returns whether an import failed because of the importing engine. The cause
 * can also be the engine that has the result, or the link to it, so the
 * importing engine is blamed only if it cannot be reached.
 */
static bool is_importing_engine_at_fault(const request_t *request,
					 engine_status_t status)
{
	int64_t silence_us =
		execute_now(request) - request->engine->load_answered_at_us;

	if (status == ENGINE_TIMED_OUT)
		return silence_us > EXECUTE_POLL_MISSED_US;
	return status == ENGINE_NOT_SENT || status == ENGINE_LOST;
}

/* Handles the end of the import: reports it to the scheduler and the state
 * machine.
 */
static void on_import(void *context, const engine_result_t *result)
{
	request_t *request = context;
	lifecycle_event_t event =
		execute_make_event(request, import_event(result->status));
	request->call = NULL;
	execute_log_call(request, "import", result->status);
	scheduler_import_ended(request->ticket, request->engine,
			       !is_importing_engine_at_fault(request,
							     result->status));
	if (result->status == ENGINE_OK) {
		g_free(request->imported_kv);
		request->imported_kv = str_dup(result->kv);
	} else {
		counters_add(COUNTER_IMPORTS_FAILED, 1);
	}
	if (result->status == ENGINE_FULL)
		counters_add(COUNTER_LEDGER_OVERCOMMITS, 1);
	request_feed(request, event);
}

/* Sends the import. The transfer slot has been taken. */
static void send_import(request_t *request)
{
	engine_import_t args = {
		.id = execute_attempt_id(request),
		.source = str_from(request->prefill->address),
		.kv = str_from(request->kv),
		.tokens = request->completion.prompt_tokens,
		.reserve_tokens =
			request->completion.prompt_tokens + request->max_tokens,
	};

	counters_add(COUNTER_IMPORTS, 1);
	request->call_started_us = execute_now(request);
	request->call = engine_import(&request->router->client,
				      str_from(request->engine->address), &args,
				      request->call_give_up_us, on_import,
				      request);
	if (!request->call)
		request_feed(request,
			     execute_make_event(request, EVENT_IMPORT_FAILED));
}

/* Sends the import once the decode engine has a free transfer slot. When the
 * time limit of the call has passed, the engine counts as full.
 */
static gboolean on_transfer_slot_poll(gpointer data)
{
	request_t *request = data;

	if (scheduler_import_begin(request->ticket, request->engine)) {
		request->timer = 0;
		send_import(request);
		return G_SOURCE_REMOVE;
	}
	if (execute_now(request) < request->call_give_up_us)
		return G_SOURCE_CONTINUE;
	request->timer = 0;
	request_feed(request, execute_make_event(request, EVENT_IMPORT_FULL));
	return G_SOURCE_REMOVE;
}

/*
 * Carries out ACTION_START_IMPORT. The import may take half of the time for
 * which the result is still retained; the other half is left for an import at
 * another engine.
 */
void execute_import(request_t *request, const lifecycle_action_t *action)
{
	int64_t now_us = execute_now(request);
	int64_t half_us = (request->kv_kept_until_us - now_us) / 2;

	execute_begin_call(request,
			   execute_engine_by_number(request, action->engine),
			   action->attempt);
	request->call_give_up_us = MIN(request->deadline_us, now_us + half_us);
	if (scheduler_import_begin(request->ticket, request->engine))
		send_import(request);
	else
		request->timer = g_timeout_add(TRANSFER_SLOT_POLL_MS,
					       on_transfer_slot_poll, request);
}

/* Handles an event of the stream. The one that ends the answer can hold text,
 * which then counts as a token.
 */
static void on_token(void *context, const engine_token_t *token)
{
	request_t *request = context;
	lifecycle_event_t event = execute_make_event(request, EVENT_TOKEN);

	request->last_stream_event_us = execute_now(request);
	event.offset = token->offset;
	if (token->finish.len) {
		request->finish_offset = token->offset;
		g_free(request->finish);
		request->finish = str_dup(token->finish);
		if (!token->text.len)
			return;
		request->finish_offset++;
	}
	request->token = token;
	request_feed(request, event);
}

/* Returns the event for the end of a stream. */
static lifecycle_event_kind_t stream_event(const request_t *request,
					   engine_status_t status)
{
	/* Nothing can follow the event that ends the answer, so it doesn't
	 * matter how the stream ended after it.
	 */
	if (request->finish_offset >= 0)
		return EVENT_STREAM_FINISHED;
	if (status == ENGINE_LOST || status == ENGINE_TIMED_OUT)
		return EVENT_STREAM_LOST;
	return EVENT_STREAM_REFUSED;
}

/* Handles the end of the stream: reports it to the scheduler and the state
 * machine.
 */
static void on_decode_end(void *context, engine_status_t status)
{
	request_t *request = context;
	lifecycle_event_t event =
		execute_make_event(request, stream_event(request, status));
	bool finished = event.kind == EVENT_STREAM_FINISHED;

	request->call = NULL;
	execute_stop_timer(request);
	execute_log_call(request, "decode", status);
	scheduler_decode_ended(request->ticket, request->engine, finished,
			       request->lifecycle.next_offset -
				       request->stream_first_offset,
			       execute_now(request) - request->call_started_us);
	event.offset = request->finish_offset;
	request_feed(request, event);
}

/* Returns the longest wait for the next token of the open stream. */
static int64_t stream_timeout_us(const request_t *request)
{
	int64_t idle_us = STREAM_IDLE_TARGETS *
			  request->service->inter_token_ms * CLOCK_US_PER_MS;
	int64_t silence_us =
		execute_now(request) - request->engine->load_answered_at_us;

	if (request->last_stream_event_us)
		return CLAMP(idle_us, STREAM_IDLE_MIN_US, STREAM_IDLE_MAX_US);
	if (!request->lifecycle.resumed_on_same_engine)
		return FIRST_TOKEN_TIMEOUT_US;
	return silence_us > EXECUTE_POLL_MISSED_US
		       ? RESUMED_POLL_MISSED_TIMEOUT_US
		       : RESUMED_TIMEOUT_US;
}

static gboolean on_silence_timer(gpointer data);

/* Sets a timer for the time at which the stream will have been silent for too
 * long if no token comes.
 */
static void start_silence_timer(request_t *request)
{
	int64_t last_us =
		MAX(request->last_stream_event_us, request->call_started_us);
	int64_t left_us =
		last_us + stream_timeout_us(request) - execute_now(request);

	request->timer =
		g_timeout_add((guint)(MAX(left_us, 0) / CLOCK_US_PER_MS) + 1,
			      on_silence_timer, request);
}

/* Cancels the stream if it has been silent for too long and another engine could go on
 * with it; otherwise sets the timer again.
 */
static gboolean on_silence_timer(gpointer data)
{
	request_t *request = data;
	lifecycle_event_t event =
		execute_make_event(request, EVENT_STREAM_LOST);
	int64_t last_us =
		MAX(request->last_stream_event_us, request->call_started_us);

	request->timer = 0;
	if (execute_now(request) < last_us + stream_timeout_us(request)) {
		start_silence_timer(request);
		return G_SOURCE_REMOVE;
	}
	if (execute_is_pool_silent(request)) {
		request->timer = g_timeout_add(SILENCE_CHECK_MS,
					       on_silence_timer, request);
		return G_SOURCE_REMOVE;
	}
	execute_log_call(request, "decode", ENGINE_TIMED_OUT);
	scheduler_decode_ended(request->ticket, request->engine, false, 0, 0);
	execute_abort_call(request);
	request_feed(request, event);
	return G_SOURCE_REMOVE;
}

/* Carries out ACTION_START_DECODE. */
void execute_decode(request_t *request, const lifecycle_action_t *action)
{
	engine_decode_t args = {
		.kv = str_from(request->imported_kv),
		.offset = action->offset,
		.max_tokens = request->max_tokens,
		.priority = request->service->priority,
	};

	execute_begin_call(request,
			   execute_engine_by_number(request, action->engine),
			   action->attempt);
	counters_add(COUNTER_DECODES, 1);
	if (action->offset > 0 || action->attempt != action->source_attempt)
		counters_add(COUNTER_DECODES_RESUMED, 1);
	request->stream_first_offset = action->offset;
	request->last_stream_event_us = 0;
	request->finish_offset = -1;
	args.id = execute_attempt_id(request);
	request->call = engine_decode(&request->router->client,
				      str_from(request->engine->address), &args,
				      request->deadline_us, NO_IDLE_LIMIT,
				      on_token, on_decode_end, request);
	if (!request->call)
		request_feed(request,
			     execute_make_event(request, EVENT_STREAM_REFUSED));
	else
		start_silence_timer(request);
}
