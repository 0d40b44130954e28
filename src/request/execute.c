/* Executes the actions of a request's state machine: calls to engines, and
 * the events that their results give.
 */
#include "process/counters.h"
#include "process/log.h"
#include "request/request.h"

/* An open stream counts as silent after ten inter-token targets, within these
 * bounds: resuming at the same engine costs little, but each resume is a call.
 */
#define STREAM_IDLE_TARGETS 10
#define STREAM_IDLE_MIN_US (250 * CLOCK_US_PER_MS)
#define STREAM_IDLE_MAX_US (1 * CLOCK_US_PER_S)

/* A prefill counts as silent after three first-token targets, or after one if
 * its engine has not answered a load poll (sent every 250 ms) for this long.
 */
#define PREFILL_SILENT_TARGETS 3
#define ENGINE_SILENT_US (750 * CLOCK_US_PER_MS)
#define PREFILL_WATCH_MS 50

/* An import waits for a transfer slot in steps of this length. */
#define SLOT_POLL_MS 2

#define NO_ENGINE_RETRY_US (1 * CLOCK_US_PER_S)

static int64_t now_of(const request_t *request)
{
	return clock_now(&request->router->clock);
}

static lifecycle_engine_t number_of(request_t *request, backend_entry_t *entry)
{
	guint index;

	if (!entry)
		return 0;
	if (!g_ptr_array_find(request->engines, entry, &index)) {
		index = request->engines->len;
		g_ptr_array_add(request->engines, entry);
	}
	return index + 1;
}

static backend_entry_t *entry_of(const request_t *request,
				 lifecycle_engine_t number)
{
	return number ? g_ptr_array_index(request->engines, number - 1) : NULL;
}

static engine_attempt_t attempt_of(const request_t *request)
{
	return (engine_attempt_t){str_from(request->id), (int)request->attempt};
}

static lifecycle_event_t event_of(request_t *request,
				  lifecycle_event_kind_t kind)
{
	return (lifecycle_event_t){
		.kind = kind,
		.attempt = request->attempt,
		.engine = number_of(request, request->engine),
	};
}

static void stop_timer(request_t *request)
{
	if (request->timer)
		g_source_remove(request->timer);
	request->timer = 0;
}

/* Ends the current call on this side; the engine may go on with it. */
void execute_stop(request_t *request)
{
	stop_timer(request);
	engine_abort(request->call);
	request->call = NULL;
	request->engine = NULL;
}

static void begin_call(request_t *request, backend_entry_t *engine,
		       uint32_t attempt)
{
	execute_stop(request);
	request->engine = engine;
	request->attempt = attempt;
	request->call_started_us = now_of(request);
}

static void count_wasted(request_t *request)
{
	counters_add(COUNTER_PREFILL_TOKENS_WASTED, request->computed_tokens);
	request->computed_tokens = 0;
}

static lifecycle_event_kind_t prefill_event(engine_status_t status)
{
	switch (status) {
	case ENGINE_OK:
		return EVENT_PREFILL_DONE;
	case ENGINE_REFUSED:
	case ENGINE_FULL:
	case ENGINE_NOT_SENT:
		return EVENT_PREFILL_REFUSED;
	case ENGINE_SILENT:
		return EVENT_PREFILL_SILENT;
	case ENGINE_GONE:
	case ENGINE_REJECTED:
	case ENGINE_LOST:
		break;
	}
	return EVENT_PREFILL_FAILED;
}

static void log_call(const request_t *request, const char *call,
		     engine_status_t status)
{
	log_event(LOG_INFO, "engine_call", LOG_CSTR("request", request->id),
		  LOG_CSTR("call", call), LOG_UINT("attempt", request->attempt),
		  LOG_CSTR("engine", request->engine->name),
		  LOG_CSTR("status", engine_status_text(status)),
		  LOG_INT("duration_us",
			  now_of(request) - request->call_started_us));
}

static void on_prefill(void *context, const engine_result_t *result)
{
	request_t *request = context;
	lifecycle_event_t event =
		event_of(request, prefill_event(result->status));
	backend_entry_t *engine = request->engine;
	int64_t computed = result->tokens - result->cached_tokens;

	request->call = NULL;
	stop_timer(request);
	log_call(request, "prefill", result->status);
	scheduler_prefill_ended(request->ticket, engine,
				result->status == ENGINE_OK, computed);
	if (result->status == ENGINE_OK) {
		request->prefill = engine;
		g_free(request->kv);
		request->kv = str_dup(result->kv);
		request->computed_tokens = computed;
		request->kv_kept_until_us =
			now_of(request) + result->kept_ms * CLOCK_US_PER_MS;
		event.kept_until_us = request->kv_kept_until_us;
		counters_add(COUNTER_PREFILL_TOKENS, computed);
	}
	request_feed(request, event);
}

static bool is_engine_silent(const request_t *request)
{
	int64_t now_us = now_of(request);
	int64_t target_us = request->service->first_token_ms * CLOCK_US_PER_MS;

	if (now_us >= request->call_limit_us)
		return true;
	/* Engines that the state no longer names are not polled. */
	return request->engine->present &&
	       now_us >= request->call_started_us + target_us &&
	       now_us - request->engine->heard_at_us > ENGINE_SILENT_US;
}

static gboolean on_prefill_watch(gpointer data)
{
	request_t *request = data;
	lifecycle_event_t event = event_of(request, EVENT_PREFILL_SILENT);

	if (!is_engine_silent(request))
		return G_SOURCE_CONTINUE;
	request->timer = 0;
	log_call(request, "prefill", ENGINE_SILENT);
	scheduler_prefill_ended(request->ticket, request->engine, false, 0);
	execute_stop(request);
	request_feed(request, event);
	return G_SOURCE_REMOVE;
}

static void refuse_prefill(request_t *request)
{
	lifecycle_event_t event = event_of(request, EVENT_PREFILL_REFUSED);

	event.verdict.retry_at_us = now_of(request) + NO_ENGINE_RETRY_US;
	request_feed(request, event);
}

static void start_prefill(request_t *request, const lifecycle_action_t *action)
{
	engine_prefill_t args = {
		.model = request->service->prefill->model->name,
		.adapter = request->service->adapter,
		.prompt = {request->completion.prompt,
			   request->completion.prompt_len},
		.prompt_tokens = request->completion.prompt_tokens,
		.priority = request->service->priority,
	};
	backend_entry_t *engine = scheduler_pick_prefill(
		request->ticket, entry_of(request, action->engine));
	int64_t silent_us = PREFILL_SILENT_TARGETS *
			    request->service->first_token_ms * CLOCK_US_PER_MS;

	begin_call(request, engine, action->attempt);
	count_wasted(request);
	if (request->lifecycle.calls > 1)
		counters_add(COUNTER_RETRIES, 1);
	if (!engine) {
		refuse_prefill(request);
		return;
	}
	request_feed(request, event_of(request, EVENT_PREFILL_SENT));
	counters_add(COUNTER_PREFILLS, 1);
	args.id = attempt_of(request);
	request->call_limit_us = request->call_started_us + silent_us;
	request->call = engine_prefill(&request->router->client,
				       str_from(engine->address), &args,
				       request->deadline_us, on_prefill,
				       request);
	if (!request->call) {
		refuse_prefill(request);
		return;
	}
	request->timer =
		g_timeout_add(PREFILL_WATCH_MS, on_prefill_watch, request);
}

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
	case ENGINE_SILENT:
		break;
	}
	return EVENT_IMPORT_STALLED;
}

static void on_import(void *context, const engine_result_t *result)
{
	request_t *request = context;
	lifecycle_event_t event =
		event_of(request, import_event(result->status));
	/* A result that is gone is not this engine's failure. */
	bool engine_ok = result->status == ENGINE_OK ||
			 result->status == ENGINE_GONE ||
			 result->status == ENGINE_FULL;

	request->call = NULL;
	log_call(request, "import", result->status);
	scheduler_import_ended(request->ticket, request->engine, engine_ok);
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

static void send_import(request_t *request)
{
	engine_import_t args = {
		.id = attempt_of(request),
		.source = str_from(request->prefill->address),
		.kv = str_from(request->kv),
		.tokens = request->completion.prompt_tokens,
		.reserve_tokens =
			request->completion.prompt_tokens + request->max_tokens,
	};

	counters_add(COUNTER_IMPORTS, 1);
	request->call_started_us = now_of(request);
	request->call = engine_import(&request->router->client,
				      str_from(request->engine->address), &args,
				      request->call_limit_us, on_import,
				      request);
	if (!request->call)
		request_feed(request, event_of(request, EVENT_IMPORT_STALLED));
}

/* Waits until the decode engine has a free transfer, up to the limit. */
static gboolean on_slot_poll(gpointer data)
{
	request_t *request = data;

	if (scheduler_import_begin(request->ticket, request->engine)) {
		request->timer = 0;
		send_import(request);
		return G_SOURCE_REMOVE;
	}
	if (now_of(request) < request->call_limit_us)
		return G_SOURCE_CONTINUE;
	request->timer = 0;
	request_feed(request, event_of(request, EVENT_IMPORT_FULL));
	return G_SOURCE_REMOVE;
}

/*
 * An import may take half of the time for which the result is still retained;
 * the other half is left for an import at another engine.
 */
static void start_import(request_t *request, const lifecycle_action_t *action)
{
	int64_t now_us = now_of(request);
	int64_t half_us = (request->kv_kept_until_us - now_us) / 2;

	begin_call(request, entry_of(request, action->engine), action->attempt);
	request->call_limit_us = MIN(request->deadline_us, now_us + half_us);
	if (scheduler_import_begin(request->ticket, request->engine))
		send_import(request);
	else
		request->timer =
			g_timeout_add(SLOT_POLL_MS, on_slot_poll, request);
}

static void on_token(void *context, const engine_token_t *token)
{
	request_t *request = context;
	lifecycle_event_t event = event_of(request, EVENT_TOKEN);

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

static lifecycle_event_kind_t stream_event(const request_t *request,
					   engine_status_t status)
{
	/* Nothing can follow the event that ends the answer. */
	if (request->finish_offset >= 0)
		return EVENT_STREAM_FINISHED;
	if (status == ENGINE_LOST || status == ENGINE_SILENT)
		return EVENT_STREAM_LOST;
	return EVENT_STREAM_REFUSED;
}

static void on_decode_end(void *context, engine_status_t status)
{
	request_t *request = context;
	lifecycle_event_t event =
		event_of(request, stream_event(request, status));
	bool finished = event.kind == EVENT_STREAM_FINISHED;

	request->call = NULL;
	log_call(request, "decode", status);
	scheduler_decode_ended(request->ticket, request->engine, finished,
			       request->lifecycle.next_offset -
				       request->stream_offset,
			       now_of(request) - request->call_started_us);
	event.offset = request->finish_offset;
	request_feed(request, event);
}

static int64_t stream_idle_us(const request_t *request)
{
	int64_t idle_us = STREAM_IDLE_TARGETS *
			  request->service->inter_token_ms * CLOCK_US_PER_MS;

	return CLAMP(idle_us, STREAM_IDLE_MIN_US, STREAM_IDLE_MAX_US);
}

static void start_decode(request_t *request, const lifecycle_action_t *action)
{
	engine_decode_t args = {
		.kv = str_from(request->imported_kv),
		.offset = action->offset,
		.max_tokens = request->max_tokens,
		.priority = request->service->priority,
	};

	begin_call(request, entry_of(request, action->engine), action->attempt);
	counters_add(COUNTER_DECODES, 1);
	if (action->offset > 0 || action->attempt != action->source_attempt)
		counters_add(COUNTER_DECODES_RESUMED, 1);
	request->stream_offset = action->offset;
	request->finish_offset = -1;
	args.id = attempt_of(request);
	request->call = engine_decode(&request->router->client,
				      str_from(request->engine->address), &args,
				      request->deadline_us,
				      stream_idle_us(request), on_token,
				      on_decode_end, request);
	if (!request->call)
		request_feed(request, event_of(request, EVENT_STREAM_REFUSED));
}

static gboolean on_back_off_end(gpointer data)
{
	request_t *request = data;

	request->timer = 0;
	request_feed(request, (lifecycle_event_t){.kind = EVENT_TIMER});
	return G_SOURCE_REMOVE;
}

static void back_off(request_t *request, int64_t until_us)
{
	int64_t wait_us = MAX(until_us - now_of(request), 0);

	execute_stop(request);
	request->timer = g_timeout_add(
		(guint)((wait_us + CLOCK_US_PER_MS - 1) / CLOCK_US_PER_MS),
		on_back_off_end, request);
}

/* Carries out one action. ACTION_FINISH is left to the caller. */
void execute_action(request_t *request, const lifecycle_action_t *action)
{
	backend_entry_t *engine = entry_of(request, action->engine);

	switch (action->kind) {
	case ACTION_RESERVE:
		execute_stop(request);
		scheduler_reserve(request->ticket, action->attempt, engine);
		break;
	case ACTION_RELEASE:
		scheduler_release(request->ticket, action->attempt, engine,
				  action->after_cancel);
		break;
	case ACTION_START_PREFILL:
		start_prefill(request, action);
		break;
	case ACTION_START_IMPORT:
		start_import(request, action);
		break;
	case ACTION_START_DECODE:
		start_decode(request, action);
		break;
	case ACTION_FORWARD:
		request_forward_token(request);
		break;
	case ACTION_CANCEL:
		canceller_add(&request->router->canceller,
			      str_from(engine->address), str_from(request->id),
			      action->attempt);
		break;
	case ACTION_COUNT_STALE:
		counters_add(COUNTER_STALE_ANSWERS, 1);
		break;
	case ACTION_BACK_OFF:
		back_off(request, action->until_us);
		break;
	case ACTION_FINISH:
		execute_stop(request);
		if (action->verdict.code != VERDICT_OK)
			count_wasted(request);
		break;
	}
}

/* Result of ACTION_RESERVE, from the scheduler. */
void execute_on_reserved(void *context, uint32_t attempt,
			 backend_entry_t *engine, int64_t retry_at_us)
{
	request_t *request = context;
	lifecycle_event_t event = {
		.kind = engine ? EVENT_RESERVED : EVENT_RESERVE_FAILED,
		.attempt = attempt,
		.engine = number_of(request, engine),
	};

	/* The scheduler has waited for memory as long as it makes sense. */
	event.verdict.retry_at_us = retry_at_us;
	request_feed(request, event);
}
