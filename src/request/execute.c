/* Executes the actions of a request's state machine. */
#include "process/counters.h"
#include "process/log.h"
#include "request/execute.h"

/* Present time, microseconds of CLOCK_BOOTTIME. */
int64_t execute_now(const request_t *request)
{
	return clock_now(&request->router->clock);
}

/* Number of an engine within the request; 0 for none. */
lifecycle_engine_t execute_engine_number(request_t *request,
					 backend_entry_t *entry)
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

/* Engine with a number, or NULL for 0. */
backend_entry_t *execute_engine_by_number(const request_t *request,
					  lifecycle_engine_t number)
{
	return number ? g_ptr_array_index(request->engines, number - 1) : NULL;
}

/* Names the current call at its engine. */
engine_attempt_t execute_attempt_id(const request_t *request)
{
	return (engine_attempt_t){str_from(request->id), (int)request->attempt};
}

/* An event of the current call. */
lifecycle_event_t execute_make_event(request_t *request,
				     lifecycle_event_kind_t kind)
{
	return (lifecycle_event_t){
		.kind = kind,
		.attempt = request->attempt,
		.engine = execute_engine_number(request, request->engine),
	};
}

/* Stops the back-off or the watch over the current call. */
void execute_stop_timer(request_t *request)
{
	if (request->timer)
		g_source_remove(request->timer);
	request->timer = 0;
}

/* Ends the current call on this side; the engine may go on with it. */
void execute_abort_call(request_t *request)
{
	execute_stop_timer(request);
	engine_abort(request->call);
	request->call = NULL;
	request->engine = NULL;
}

/* Makes a call the current one; an earlier one is ended on this side. */
void execute_begin_call(request_t *request, backend_entry_t *engine,
			uint32_t attempt)
{
	execute_abort_call(request);
	request->engine = engine;
	request->attempt = attempt;
	request->call_started_us = execute_now(request);
}

/* The prefill result that the request has, if any, is of no more use. */
void execute_count_wasted_prefill(request_t *request)
{
	counters_add(COUNTER_PREFILL_TOKENS_WASTED, request->computed_tokens);
	request->computed_tokens = 0;
}

/* Logs the end of the current call. */
void execute_log_call(const request_t *request, const char *call,
		      engine_status_t status)
{
	log_event(LOG_INFO, "engine_call", LOG_CSTR("request", request->id),
		  LOG_CSTR("call", call), LOG_UINT("attempt", request->attempt),
		  LOG_CSTR("engine", request->engine->name),
		  LOG_CSTR("status", engine_status_text(status)),
		  LOG_INT("duration_us",
			  execute_now(request) - request->call_started_us));
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
	int64_t wait_us = MAX(until_us - execute_now(request), 0);

	execute_abort_call(request);
	request->timer = g_timeout_add(
		(guint)((wait_us + CLOCK_US_PER_MS - 1) / CLOCK_US_PER_MS),
		on_back_off_end, request);
}

/* Carries out one action. ACTION_FINISH is left to the caller. */
void execute_action(request_t *request, const lifecycle_action_t *action)
{
	backend_entry_t *engine =
		execute_engine_by_number(request, action->engine);

	switch (action->kind) {
	case ACTION_RESERVE:
		execute_abort_call(request);
		scheduler_reserve(request->ticket, action->attempt, engine);
		break;
	case ACTION_RELEASE:
		scheduler_release(request->ticket, action->attempt, engine,
				  action->after_cancel);
		break;
	case ACTION_START_PREFILL:
		execute_prefill(request, action);
		break;
	case ACTION_START_IMPORT:
		execute_import(request, action);
		break;
	case ACTION_START_DECODE:
		execute_decode(request, action);
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
		execute_abort_call(request);
		if (action->verdict.code != VERDICT_OK)
			execute_count_wasted_prefill(request);
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
		.engine = execute_engine_number(request, engine),
	};

	/* The scheduler has waited for memory as long as it makes sense. */
	event.verdict.retry_at_us = retry_at_us;
	request_feed(request, event);
}
