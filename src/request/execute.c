/* Carries out the actions of a request's state machine. */
#include "process/counters.h"
#include "process/log.h"
#include "request/execute.h"

/* Returns the current time, microseconds of CLOCK_BOOTTIME. */
int64_t execute_now(const request_t *request)
{
	return clock_now(&request->router->clock);
}

/* Returns the number of an engine within the request, 0 for NULL. An engine
 * that the request has not used before gets the next number.
 */
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

/* Returns the engine with a number, or NULL for 0. */
backend_entry_t *execute_engine_by_number(const request_t *request,
					  lifecycle_engine_t number)
{
	return number ? g_ptr_array_index(request->engines, number - 1) : NULL;
}

/* Returns the ID under which the engine knows the current call. It borrows the
 * request's ID.
 */
engine_attempt_t execute_attempt_id(const request_t *request)
{
	return (engine_attempt_t){str_from(request->id), (int)request->attempt};
}

/* Returns an event of the current call, with its attempt and its engine. */
lifecycle_event_t execute_make_event(request_t *request,
				     lifecycle_event_kind_t kind)
{
	return (lifecycle_event_t){
		.kind = kind,
		.attempt = request->attempt,
		.engine = execute_engine_number(request, request->engine),
	};
}

/* Stops the timer of the back-off or of the current call. */
void execute_stop_timer(request_t *request)
{
	if (request->timer)
		g_source_remove(request->timer);
	request->timer = 0;
}

/* Stops waiting for the current call; the engine may continue it. */
void execute_abort_call(request_t *request)
{
	execute_stop_timer(request);
	engine_abort(request->call);
	request->call = NULL;
	request->engine = NULL;
}

/* Makes a call the current one, after aborting an earlier one. */
void execute_begin_call(request_t *request, backend_entry_t *engine,
			uint32_t attempt)
{
	execute_abort_call(request);
	request->engine = engine;
	request->attempt = attempt;
	request->call_started_us = execute_now(request);
}

/* Counts the tokens computed for the latest prefill result as wasted, once. */
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

/* Returns whether an engine has left a load poll unanswered. */
static bool is_engine_silent(const backend_entry_t *engine, int64_t now_us)
{
	return engine->unanswered_since_us &&
	       now_us - engine->unanswered_since_us > EXECUTE_POLL_MISSED_US;
}

/* Returns whether all engines that could take the current call over are silent, the one that
 * has it too. To give the call up would gain nothing then.
 */
bool execute_is_pool_silent(const request_t *request)
{
	const GPtrArray *entries = request->router->backends.entries;
	int64_t now_us = execute_now(request);

	if (!is_engine_silent(request->engine, now_us))
		return false;
	for (guint i = 0; i < entries->len; i++) {
		const backend_entry_t *entry = g_ptr_array_index(entries, i);

		if (entry->present && !entry->leaving &&
		    g_str_equal(entry->pool, request->engine->pool) &&
		    !is_engine_silent(entry, now_us))
			return false;
	}
	return true;
}

/* Reports to the state machine that the back-off is over. */
static gboolean on_back_off_end(gpointer data)
{
	request_t *request = data;

	request->timer = 0;
	request_feed(request, (lifecycle_event_t){.kind = EVENT_TIMER});
	return G_SOURCE_REMOVE;
}

/* Waits until a time, rounded up to milliseconds. */
static void back_off(request_t *request, int64_t until_us)
{
	int64_t wait_us = MAX(until_us - execute_now(request), 0);

	execute_abort_call(request);
	request->timer = g_timeout_add(
		(guint)((wait_us + CLOCK_US_PER_MS - 1) / CLOCK_US_PER_MS),
		on_back_off_end, request);
}

/* Carries out one action. For ACTION_FINISH it only stops the engine call; the
 * answer to the caller is left to request.c.
 */
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

/* Handles the scheduler's answer to ACTION_RESERVE. `engine` is NULL if no
 * memory could be reserved; `retry_at_us` then says when to ask again.
 */
void execute_on_reserved(void *context, uint32_t attempt,
			 backend_entry_t *engine, int64_t retry_at_us)
{
	request_t *request = context;
	lifecycle_event_t event = {
		.kind = engine ? EVENT_RESERVED : EVENT_RESERVE_FAILED,
		.attempt = attempt,
		.engine = execute_engine_number(request, engine),
	};

	/* The scheduler has already waited for memory, so the state machine
	 * doesn't ask again before this time.
	 */
	event.verdict.retry_at_us = retry_at_us;
	request_feed(request, event);
}
