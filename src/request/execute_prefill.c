/* Prefill calls of a request. Their results go to the state machine as events.
 */
#include "process/counters.h"
#include "process/log.h"
#include "request/execute.h"

/* A prefill counts as silent after this many first-token targets, or after one
 * target if its engine has answered no load poll (sent every 250 ms) for
 * LOAD_POLLS_MISSED_US and another engine may answer.
 */
#define PREFILL_SILENT_TARGETS 3
#define LOAD_POLLS_MISSED_US (750 * CLOCK_US_PER_MS)
#define PREFILL_SILENCE_CHECK_MS 50

/* How often a prefill that waits for a free engine asks for one; short compared
 * with the first-token target.
 */
#define FREE_ENGINE_POLL_MS 2

/* When to try again after no prefill engine could be found or connected to. */
#define NO_ENGINE_RETRY_US (1 * CLOCK_US_PER_S)

/* Returns the event for the status of a prefill. */
static lifecycle_event_kind_t prefill_event(engine_status_t status)
{
	switch (status) {
	case ENGINE_OK:
		return EVENT_PREFILL_DONE;
	case ENGINE_REFUSED:
	case ENGINE_FULL:
	case ENGINE_NOT_SENT:
		return EVENT_PREFILL_REFUSED;
	case ENGINE_TIMED_OUT:
		return EVENT_PREFILL_SILENT;
	case ENGINE_GONE:
	case ENGINE_REJECTED:
	case ENGINE_LOST:
		break;
	}
	return EVENT_PREFILL_FAILED;
}

/* Handles the end of the prefill: keeps its result, and reports it to the
 * scheduler and the state machine.
 */
static void on_prefill(void *context, const engine_result_t *result)
{
	request_t *request = context;
	lifecycle_event_t event =
		execute_make_event(request, prefill_event(result->status));
	backend_entry_t *engine = request->engine;
	int64_t computed = result->tokens - result->cached_tokens;

	request->call = NULL;
	execute_stop_timer(request);
	execute_log_call(request, "prefill", result->status);
	scheduler_prefill_ended(request->ticket, engine,
				result->status == ENGINE_OK, computed);
	if (result->status == ENGINE_OK) {
		request->prefill = engine;
		g_free(request->kv);
		request->kv = str_dup(result->kv);
		request->computed_tokens = computed;
		request->kv_kept_until_us = execute_now(request) +
					    result->kept_ms * CLOCK_US_PER_MS;
		event.kept_until_us = request->kv_kept_until_us;
		counters_add(COUNTER_PREFILL_TOKENS, computed);
	}
	request_feed(request, event);
}

/* Returns whether the current prefill has been without an answer for too long.
 */
static bool is_prefill_silent(const request_t *request)
{
	int64_t now_us = execute_now(request);
	int64_t target_us = request->service->first_token_ms * CLOCK_US_PER_MS;

	if (now_us >= request->call_give_up_us)
		return true;
	/* An engine that isn't in the state any more gets no load polls, so its
	 * silence means nothing.
	 */
	return request->engine->present &&
	       now_us >= request->call_started_us + target_us &&
	       now_us - request->engine->load_answered_at_us >
		       LOAD_POLLS_MISSED_US &&
	       !execute_is_pool_silent(request);
}

/* Cancels the prefill once it counts as silent. */
static gboolean on_silence_check(gpointer data)
{
	request_t *request = data;
	lifecycle_event_t event =
		execute_make_event(request, EVENT_PREFILL_SILENT);

	if (!is_prefill_silent(request))
		return G_SOURCE_CONTINUE;
	request->timer = 0;
	execute_log_call(request, "prefill", ENGINE_TIMED_OUT);
	scheduler_prefill_ended(request->ticket, request->engine, false, 0);
	execute_abort_call(request);
	request_feed(request, event);
	return G_SOURCE_REMOVE;
}

/* Reports that the prefill was not sent, with a time for the next try. */
static void refuse_prefill(request_t *request)
{
	lifecycle_event_t event =
		execute_make_event(request, EVENT_PREFILL_REFUSED);

	event.verdict.retry_at_us = execute_now(request) + NO_ENGINE_RETRY_US;
	request_feed(request, event);
}

/* Sends the prefill. The state machine is informed first, because the prefill
 * may run as soon as any bytes have left.
 */
static void send_prefill(request_t *request, backend_entry_t *engine)
{
	engine_prefill_t args = {
		.id = execute_attempt_id(request),
		.model = request->service->prefill->model->name,
		.adapter = request->service->adapter,
		.prompt = {request->completion.prompt,
			   request->completion.prompt_len},
		.prompt_tokens = request->completion.prompt_tokens,
		.priority = request->service->priority,
	};
	int64_t silent_us = PREFILL_SILENT_TARGETS *
			    request->service->first_token_ms * CLOCK_US_PER_MS;

	request->engine = engine;
	request->call_started_us = execute_now(request);
	request->call_give_up_us = request->call_started_us + silent_us;
	request_feed(request, execute_make_event(request, EVENT_PREFILL_SENT));
	counters_add(COUNTER_PREFILLS, 1);
	request->call = engine_prefill(&request->router->client,
				       str_from(engine->address), &args,
				       request->deadline_us, on_prefill,
				       request);
	if (!request->call) {
		refuse_prefill(request);
		return;
	}
	request->timer = g_timeout_add(PREFILL_SILENCE_CHECK_MS,
				       on_silence_check, request);
}

/* Returns a free prefill engine, or NULL. The one to be avoided is returned
 * only if no other is free.
 */
static backend_entry_t *pick_prefill_engine(request_t *request)
{
	backend_entry_t *engine =
		scheduler_pick_prefill(request->ticket, request->avoid_prefill);

	if (!engine && request->avoid_prefill)
		engine = scheduler_pick_prefill(request->ticket, NULL);
	return engine;
}

/* Sends the prefill once an engine is free. When the time limit has passed, the
 * prefill counts as refused: nothing was sent.
 */
static gboolean on_free_engine_poll(gpointer data)
{
	request_t *request = data;
	backend_entry_t *engine = pick_prefill_engine(request);

	if (engine) {
		request->timer = 0;
		send_prefill(request, engine);
		return G_SOURCE_REMOVE;
	}
	if (execute_now(request) < request->call_give_up_us)
		return G_SOURCE_CONTINUE;
	request->timer = 0;
	refuse_prefill(request);
	return G_SOURCE_REMOVE;
}

/* Carries out ACTION_START_PREFILL. An earlier prefill's result is wasted. */
void execute_prefill(request_t *request, const lifecycle_action_t *action)
{
	backend_entry_t *engine;

	execute_begin_call(request, NULL, action->attempt);
	execute_count_wasted_prefill(request);
	if (request->lifecycle.calls > 1)
		counters_add(COUNTER_RETRIES, 1);
	request->avoid_prefill =
		execute_engine_by_number(request, action->engine);
	engine = pick_prefill_engine(request);
	if (engine) {
		send_prefill(request, engine);
		return;
	}
	request->call_give_up_us =
		lifecycle_retry_limit_us(&request->lifecycle);
	request->timer = g_timeout_add(FREE_ENGINE_POLL_MS, on_free_engine_poll,
				       request);
}
