#include "request/lifecycle_act.h"

#include "process/clock.h"

/* One repeat follows the loss of a prefill; a second loss ends the request,
 * because a prefill costs as much as many tens of output tokens.
 */
#define MAX_REPEATED_PREFILLS 1

/* Short against the time to the first token (0.58 s at the target). */
const retry_backoff_t act_backoff = {
	.base_us = 5 * CLOCK_US_PER_MS,
	.limit_us = 80 * CLOCK_US_PER_MS,
};

/* Callers that were given up together come back spread over this range. */
#define COME_BACK_MIN_US (1 * CLOCK_US_PER_S)
#define COME_BACK_RANGE_US ((uint64_t)(2 * CLOCK_US_PER_S))

/* Adds an action to the result of the step. */
void act_emit(step_t *step, lifecycle_action_t action)
{
	g_assert(step->n < LIFECYCLE_MAX_ACTIONS);
	step->actions[step->n++] = action;
}

/* The event belongs to a call that is no longer waited for. */
void act_count_stale(step_t *step)
{
	act_emit(step, (lifecycle_action_t){.kind = ACTION_COUNT_STALE});
}

/* Frees what an engine holds for an attempt and for earlier ones. */
void act_cancel(step_t *step, lifecycle_engine_t engine, uint32_t attempt)
{
	act_emit(step, (lifecycle_action_t){.kind = ACTION_CANCEL,
					    .engine = engine,
					    .attempt = attempt});
}

/* Notes that an engine may hold memory from now on. */
void act_add_holder(lifecycle_t *request, lifecycle_engine_t engine,
		    uint32_t attempt)
{
	g_assert(request->n_holders < LIFECYCLE_MAX_ATTEMPTS);
	request->holders[request->n_holders++] = (lifecycle_holder_t){
		.engine = engine,
		.attempt = attempt,
		.held_until_us = INT64_MAX,
	};
}

static void drop_holder(lifecycle_t *request, size_t i)
{
	request->holders[i] = request->holders[--request->n_holders];
}

/* The engine answered that it holds nothing for an attempt. */
void act_remove_holder(lifecycle_t *request, uint32_t attempt)
{
	for (size_t i = 0; i < request->n_holders; i++) {
		if (request->holders[i].attempt == attempt) {
			drop_holder(request, i);
			return;
		}
	}
}

/* Cancels at one engine, or at all engines for 0; true if anything was. */
bool act_cancel_holders(step_t *step, lifecycle_engine_t engine)
{
	lifecycle_t *request = step->request;
	bool any = false;
	size_t i = 0;

	while (i < request->n_holders) {
		const lifecycle_holder_t *holder = &request->holders[i];

		if (engine && holder->engine != engine) {
			i++;
			continue;
		}
		if (holder->held_until_us > step->event->now_us) {
			act_cancel(step, holder->engine, holder->attempt);
			any = true;
		}
		drop_holder(request, i);
	}
	return any;
}

/* Returns the reservation, if there is one. With after_cancel, memory may still
 * be in use until the engine has confirmed the cancellation.
 */
void act_release_reservation(step_t *step, bool after_cancel)
{
	lifecycle_t *request = step->request;

	if (!request->reserved_engine)
		return;
	act_emit(step, (lifecycle_action_t){.kind = ACTION_RELEASE,
					    .engine = request->reserved_engine,
					    .attempt = request->reserve_attempt,
					    .after_cancel = after_cancel});
	request->reserved_engine = 0;
}

static bool holds_at(const lifecycle_t *request, lifecycle_engine_t engine)
{
	for (size_t i = 0; i < request->n_holders; i++) {
		if (request->holders[i].engine == engine)
			return true;
	}
	return false;
}

/* Ends the request: cancels at every engine that may hold memory, releases the
 * reservation and gives the verdict.
 */
void act_finish(step_t *step, verdict_t verdict)
{
	lifecycle_t *request = step->request;
	bool held = holds_at(request, request->reserved_engine);

	/* After a complete response the engines have nothing to cancel: the
	 * decode engine has freed its memory, the prefill result lapses.
	 */
	if (verdict.code == VERDICT_OK) {
		request->n_holders = 0;
		held = false;
	}
	act_cancel_holders(step, 0);
	act_release_reservation(step, held);
	request->state = LIFECYCLE_FINISHED;
	request->attempt = 0;
	request->backing_off = false;
	request->verdict = verdict;
	act_emit(step, (lifecycle_action_t){.kind = ACTION_FINISH,
					    .verdict = verdict});
}

/* Whether a backend server may have started the request. */
run_status_t act_run_status(const lifecycle_t *request)
{
	return request->prefills_maybe_run ? RUN_MAY_HAVE_RUN : RUN_NOT_RUN;
}

/* Ends the request now, with a time to come back. */
void act_give_up(step_t *step, verdict_code_t code, const char *detail)
{
	lifecycle_t *request = step->request;
	int64_t at_us = step->event->now_us + COME_BACK_MIN_US +
			(int64_t)(retry_random(&request->config.seed) %
				  COME_BACK_RANGE_US);

	if (at_us < step->event->verdict.retry_at_us)
		at_us = step->event->verdict.retry_at_us;
	act_finish(step,
		   verdict_with_retry_at(verdict_make(act_run_status(request),
						      code, detail),
					 at_us));
}

/* Waits for EVENT_TIMER at the given time, microseconds. */
void act_back_off_until(step_t *step, int64_t until_us)
{
	step->request->attempt = 0;
	step->request->backing_off = true;
	act_emit(step, (lifecycle_action_t){.kind = ACTION_BACK_OFF,
					    .until_us = until_us});
}

/*
 * Returns the time until which a prefill may be started. A request that has
 * not run can still be refused cheaply, so it must start in time; one that may
 * have run is worth finishing late.
 */
int64_t lifecycle_retry_limit_us(const lifecycle_t *request)
{
	if (request->prefills_maybe_run)
		return request->config.deadline_us;
	return MIN(request->config.start_by_us, request->config.deadline_us);
}

/* Returns the number of a new engine call, or 0 when there were too many. */
static uint32_t new_attempt(lifecycle_t *request)
{
	if (request->calls >= LIFECYCLE_MAX_ATTEMPTS)
		return 0;
	request->calls++;
	request->attempt = ++request->last_attempt;
	return request->attempt;
}

/* Asks for decode memory, for the first time or again. */
void act_reserve(step_t *step)
{
	lifecycle_t *request = step->request;

	request->attempt = 0;
	request->reserve_outstanding = true;
	act_emit(step,
		 (lifecycle_action_t){.kind = ACTION_RESERVE,
				      .engine = request->avoid_decode_engine,
				      .attempt = request->reserve_attempt});
}

/* Sends the prompt, preferably not to the engine that failed before. */
void act_start_prefill(step_t *step)
{
	lifecycle_t *request = step->request;
	lifecycle_engine_t avoid = request->prefill_engine;

	if (!new_attempt(request)) {
		act_give_up(step, VERDICT_BACKEND_FAILED, "too many attempts");
		return;
	}
	request->state = LIFECYCLE_PREFILLING;
	request->prefill_attempt = 0;
	request->prefill_engine = 0;
	act_emit(step, (lifecycle_action_t){.kind = ACTION_START_PREFILL,
					    .engine = avoid,
					    .attempt = request->attempt});
}

static bool may_repeat_prefill(const lifecycle_t *request)
{
	return request->prefills_repeated < MAX_REPEATED_PREFILLS;
}

/* Computes the prompt again after its result was lost. */
void act_repeat_prefill(step_t *step, verdict_code_t code)
{
	lifecycle_t *request = step->request;

	if (!may_repeat_prefill(request)) {
		act_give_up(step, code, "prefill lost twice");
		return;
	}
	if (!retry_budget_take(request->config.budget)) {
		act_give_up(step, code, "retry budget empty");
		return;
	}
	request->prefills_repeated++;
	act_start_prefill(step);
}

static bool is_retained(const step_t *step)
{
	return step->request->prefill_attempt &&
	       step->event->now_us < step->request->kept_until_us;
}

/* Moves the result to the reserved_engine engine, or computes it again if lost. */
void act_start_import(step_t *step)
{
	lifecycle_t *request = step->request;

	if (!is_retained(step)) {
		act_repeat_prefill(step, VERDICT_BACKEND_FAILED);
		return;
	}
	if (!new_attempt(request)) {
		act_give_up(step, VERDICT_BACKEND_FAILED, "too many attempts");
		return;
	}
	request->state = LIFECYCLE_IMPORTING;
	act_add_holder(request, request->reserved_engine, request->attempt);
	act_emit(step, (lifecycle_action_t){
			       .kind = ACTION_START_IMPORT,
			       .engine = request->reserved_engine,
			       .attempt = request->attempt,
			       .source_attempt = request->prefill_attempt,
		       });
}

/* Opens a stream at the first token that was not forwarded. */
void act_start_decode(step_t *step)
{
	lifecycle_t *request = step->request;

	request->state = LIFECYCLE_DECODING;
	act_emit(step, (lifecycle_action_t){
			       .kind = ACTION_START_DECODE,
			       .engine = request->reserved_engine,
			       .attempt = request->attempt,
			       .source_attempt = request->import_attempt,
			       .offset = request->next_offset,
		       });
}

/* Gives up the reserved_engine decode engine and asks for another one. */
void act_change_decode_engine(step_t *step, verdict_code_t code,
			      const char *detail)
{
	lifecycle_t *request = step->request;
	bool held = act_cancel_holders(step, request->reserved_engine);

	request->avoid_decode_engine = request->reserved_engine;
	act_release_reservation(step, held);
	request->backing_off = false;
	request->resumed_on_same_engine = false;
	request->import_attempt = 0;
	/* Without a result and without a repeat, memory is of no use. */
	if (!is_retained(step) && !may_repeat_prefill(request)) {
		act_give_up(step, code, detail);
		return;
	}
	request->state = LIFECYCLE_RESUMING;
	request->last_attempt = request->reserve_attempt;
	request->reserve_attempt += LIFECYCLE_MAX_ATTEMPTS;
	act_reserve(step);
}

/* Continues a broken stream: once at the same engine, then elsewhere. */
void act_resume_stream(step_t *step)
{
	lifecycle_t *request = step->request;

	if (request->resumed_on_same_engine || !new_attempt(request)) {
		act_change_decode_engine(step, VERDICT_BACKEND_FAILED,
					 "decode engine lost");
		return;
	}
	request->resumed_on_same_engine = true;
	act_add_holder(request, request->reserved_engine, request->attempt);
	act_start_decode(step);
}
