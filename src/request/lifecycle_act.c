/* Actions of the state machine of a model request. */
#include "request/lifecycle_act.h"

#include "process/clock.h"

/* After one lost prefill the prompt is computed again; a second loss ends the
 * request, because a prefill costs as much as many tens of output tokens.
 */
#define MAX_REPEATED_PREFILLS 1

/* Waits before a new reservation or a refused prefill. They are short compared
 * with the target for the first token, 0.58 s.
 */
const retry_backoff_t act_backoff = {
	.base_us = 5 * CLOCK_US_PER_MS,
	.limit_us = 80 * CLOCK_US_PER_MS,
};

/* A failed request tells its caller to retry after RETRY_AFTER_MIN_US and a
 * random part of RETRY_AFTER_RANGE_US, which spreads the retries of callers
 * whose requests failed together.
 */
#define RETRY_AFTER_MIN_US (1 * CLOCK_US_PER_S)
#define RETRY_AFTER_RANGE_US ((uint64_t)(2 * CLOCK_US_PER_S))

/* Adds an action to the result of the step. */
void act_emit(step_t *step, lifecycle_action_t action)
{
	g_assert(step->n < LIFECYCLE_MAX_ACTIONS);
	step->actions[step->n++] = action;
}

/* Counts an event of a call that is no longer waited for. */
void act_count_stale(step_t *step)
{
	act_emit(step, (lifecycle_action_t){.kind = ACTION_COUNT_STALE});
}

/* Makes an engine free what it holds for an attempt and for earlier ones. */
void act_cancel(step_t *step, lifecycle_engine_t engine, uint32_t attempt)
{
	act_emit(step, (lifecycle_action_t){.kind = ACTION_CANCEL,
					    .engine = engine,
					    .attempt = attempt});
}

/* Records that an engine may hold memory for an attempt from now on. */
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

/* Removes the holder at an index; the last one takes its place. */
static void remove_holder_at(lifecycle_t *request, size_t i)
{
	request->holders[i] = request->holders[--request->n_holders];
}

/* Records that an engine holds nothing for an attempt, as it answered. */
void act_remove_holder(lifecycle_t *request, uint32_t attempt)
{
	for (size_t i = 0; i < request->n_holders; i++) {
		if (request->holders[i].attempt == attempt) {
			remove_holder_at(request, i);
			return;
		}
	}
}

/* Cancels what is held at one engine, or at all engines for 0, and removes
 * these holders. Returns whether there was anything to cancel.
 */
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
		remove_holder_at(request, i);
	}
	return any;
}

/* Releases the reserved decode memory, if there is any. With after_cancel, the
 * memory may be in use until the engine has confirmed the cancel.
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

/* Returns whether an engine may hold memory for the request. */
static bool may_hold_memory(const lifecycle_t *request,
			    lifecycle_engine_t engine)
{
	for (size_t i = 0; i < request->n_holders; i++) {
		if (request->holders[i].engine == engine)
			return true;
	}
	return false;
}

/* Ends the request with a verdict: cancels at every engine that may hold memory
 * and releases the reservation.
 */
void act_finish(step_t *step, verdict_t verdict)
{
	lifecycle_t *request = step->request;
	bool held = may_hold_memory(request, request->reserved_engine);

	/* After a complete answer there is nothing to cancel: the decode engine
	 * has freed its memory, and the prefill engine frees the result when
	 * its retention ends.
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

/* Returns whether an engine may have started the request. */
run_status_t act_run_status(const lifecycle_t *request)
{
	return request->prefills_maybe_run ? RUN_MAY_HAVE_RUN : RUN_NOT_RUN;
}

/* Ends the request with a verdict that tells the caller when to retry. The code
 * and the detail go into the verdict; the detail is static text.
 */
void act_fail(step_t *step, verdict_code_t code, const char *detail)
{
	lifecycle_t *request = step->request;
	int64_t at_us = step->event->now_us + RETRY_AFTER_MIN_US +
			(int64_t)(retry_random(&request->config.seed) %
				  RETRY_AFTER_RANGE_US);

	if (at_us < step->event->verdict.retry_at_us)
		at_us = step->event->verdict.retry_at_us;
	act_finish(step,
		   verdict_with_retry_at(verdict_make(act_run_status(request),
						      code, detail),
					 at_us));
}

/* Makes the request wait for EVENT_TIMER at the given time. */
void act_back_off_until(step_t *step, int64_t until_us)
{
	step->request->attempt = 0;
	step->request->backing_off = true;
	act_emit(step, (lifecycle_action_t){.kind = ACTION_BACK_OFF,
					    .until_us = until_us});
}

/*
 * Returns the time until which a prefill may be started, CLOCK_BOOTTIME. A
 * request that has not run can be refused at no cost, so it must start early
 * enough for its latency target; one that may have run is worth finishing late.
 */
int64_t lifecycle_retry_limit_us(const lifecycle_t *request)
{
	if (request->prefills_maybe_run)
		return request->config.deadline_us;
	return MIN(request->config.start_by_us, request->config.deadline_us);
}

/* Numbers a new engine call and makes it the current one. Returns its number,
 * or 0 if the request has made LIFECYCLE_MAX_ATTEMPTS calls.
 */
static uint32_t new_attempt(lifecycle_t *request)
{
	if (request->calls >= LIFECYCLE_MAX_ATTEMPTS)
		return 0;
	request->calls++;
	request->attempt = ++request->last_attempt;
	return request->attempt;
}

/* Asks for decode memory, preferably not at the engine that was released last.
 */
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

/* Sends the prompt, preferably not to the engine of the prefill before. */
void act_start_prefill(step_t *step)
{
	lifecycle_t *request = step->request;
	lifecycle_engine_t avoid = request->prefill_engine;

	if (!new_attempt(request)) {
		act_fail(step, VERDICT_BACKEND_FAILED, "too many attempts");
		return;
	}
	request->state = LIFECYCLE_PREFILLING;
	request->prefill_attempt = 0;
	request->prefill_engine = 0;
	act_emit(step, (lifecycle_action_t){.kind = ACTION_START_PREFILL,
					    .engine = avoid,
					    .attempt = request->attempt});
}

/* Returns whether the prompt may be computed once more after its result was
 * lost.
 */
static bool may_repeat_prefill(const lifecycle_t *request)
{
	return request->prefills_repeated < MAX_REPEATED_PREFILLS;
}

/* Computes the prompt again after its result was lost, or ends the request with
 * the code if that isn't allowed.
 */
void act_repeat_prefill(step_t *step, verdict_code_t code)
{
	lifecycle_t *request = step->request;

	if (!may_repeat_prefill(request)) {
		act_fail(step, code, "prefill lost twice");
		return;
	}
	if (!retry_budget_take(request->config.budget)) {
		act_fail(step, code, "retry budget empty");
		return;
	}
	request->prefills_repeated++;
	act_start_prefill(step);
}

/* Returns whether a prefill engine still has the KV cache of the prompt. */
static bool is_retained(const step_t *step)
{
	return step->request->prefill_attempt &&
	       step->event->now_us < step->request->kept_until_us;
}

/* Makes the reserved engine fetch the prefill result, or computes the prompt
 * again if the result is no longer retained.
 */
void act_start_import(step_t *step)
{
	lifecycle_t *request = step->request;

	if (!is_retained(step)) {
		act_repeat_prefill(step, VERDICT_BACKEND_FAILED);
		return;
	}
	if (!new_attempt(request)) {
		act_fail(step, VERDICT_BACKEND_FAILED, "too many attempts");
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

/* Opens a stream that starts at the first token that was not forwarded. */
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

/* Releases the reserved decode engine and reserves memory at another one. If
 * that can't help, ends the request with the code and the detail.
 */
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
	/* With the prefill result lost and no new prefill allowed, decode
	 * memory would be of no use.
	 */
	if (!is_retained(step) && !may_repeat_prefill(request)) {
		act_fail(step, code, detail);
		return;
	}
	request->state = LIFECYCLE_RESUMING;
	request->last_attempt = request->reserve_attempt;
	request->reserve_attempt += LIFECYCLE_MAX_ATTEMPTS;
	act_reserve(step);
}

/* Continues a broken stream: at the same engine first, and at another one if no
 * token has come since.
 */
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
