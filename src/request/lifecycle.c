/* How the state machine of a model request reacts to each event in each state.
 */
#include "request/lifecycle_act.h"

/* More than MAX_REPEATED_PREFILLS: a refusal costs an engine next to nothing,
 * and the retry budget limits these retries too.
 */
#define MAX_PREFILL_RETRIES_AFTER_REFUSAL 4
#define MAX_RESERVE_FAILURES 6
#define MAX_FAILED_IMPORTS 2 /* of one prefill result */

/* Decode memory is reserved: starts the first prefill, or resumes. */
static void on_reserved(step_t *step)
{
	lifecycle_t *request = step->request;

	request->reserve_outstanding = false;
	request->reserve_failures = 0;
	request->reserved_engine = step->event->engine;
	if (request->state == LIFECYCLE_FINISHED) {
		act_release_reservation(step, false);
		return;
	}
	if (request->state == LIFECYCLE_RESUMING) {
		act_start_import(step);
		return;
	}
	retry_budget_add_first_send(request->config.budget);
	act_start_prefill(step);
}

/* Asks again after a back-off, as long as a prefill could still start. */
static void on_reserve_failed(step_t *step)
{
	lifecycle_t *request = step->request;
	int64_t at_us;

	request->reserve_outstanding = false;
	if (request->state == LIFECYCLE_FINISHED)
		return;
	at_us = step->event->now_us +
		retry_backoff_us(&act_backoff, request->reserve_failures,
				 &request->config.seed);
	at_us = MAX(at_us, step->event->verdict.retry_at_us);
	if (++request->reserve_failures >= MAX_RESERVE_FAILURES ||
	    at_us >= lifecycle_retry_limit_us(request)) {
		act_give_up(step, VERDICT_OVERLOADED, "no decode memory");
		return;
	}
	act_back_off_until(step, at_us);
}

/* From now on the request may have run. A second event of a call is ignored. */
static void on_prefill_sent(step_t *step)
{
	lifecycle_t *request = step->request;

	if (request->prefill_engine)
		return;
	request->prefill_engine = step->event->engine;
	request->prefills_maybe_run++;
	act_add_holder(request, step->event->engine, step->event->attempt);
}

/* The prefill has not run: sends it again after a back-off, within limits. */
static void on_prefill_refused(step_t *step)
{
	lifecycle_t *request = step->request;
	const retry_input_t input = {
		.verdict = {.run = RUN_NOT_RUN,
			    .retry_at_us = step->event->verdict.retry_at_us},
		.retries = request->prefills_refused++,
		.max_retries = MAX_PREFILL_RETRIES_AFTER_REFUSAL,
		.now_us = step->event->now_us,
		.deadline_us = lifecycle_retry_limit_us(request),
	};
	retry_decision_t decision;

	if (request->prefill_engine)
		request->prefills_maybe_run--;
	else
		request->prefill_engine = step->event->engine;
	act_remove_holder(request, step->event->attempt);
	decision = retry_decide(&input, &act_backoff, request->config.budget,
				&request->config.seed);
	if (decision.action == RETRY_ALLOWED)
		act_back_off_until(step, decision.at_us);
	else
		act_give_up(step, VERDICT_OVERLOADED,
			    "prefill engines are full");
}

/* A prefill failed or got no answer in time. `code` is for the verdict if the
 * prompt isn't computed again.
 */
static void on_prefill_lost(step_t *step, verdict_code_t code)
{
	lifecycle_t *request = step->request;

	if (request->prefill_engine) {
		act_remove_holder(request, step->event->attempt);
		act_cancel(step, request->prefill_engine, step->event->attempt);
	}
	act_repeat_prefill(step, code);
}

/* Starts the import. The engine frees the result by itself when its retention
 * ends, so no cancel is needed after that.
 */
static void on_prefill_done(step_t *step)
{
	lifecycle_t *request = step->request;

	request->prefill_attempt = request->attempt;
	request->kept_until_us = step->event->kept_until_us;
	request->imports_failed = 0;
	for (size_t i = 0; i < request->n_holders; i++) {
		if (request->holders[i].attempt == request->attempt)
			request->holders[i].held_until_us =
				request->kept_until_us;
	}
	act_start_import(step);
}

/* Tries another decode engine. */
static void on_import_failed(step_t *step)
{
	lifecycle_t *request = step->request;

	/* If two decode engines could not fetch the result, the fault is more
	 * likely at the prefill engine that has it.
	 */
	if (++request->imports_failed >= MAX_FAILED_IMPORTS)
		request->prefill_attempt = 0;
	act_change_decode_engine(step, VERDICT_BACKEND_TIMEOUT,
				 "import failed");
}

/* The prefill engine no longer has the result. */
static void on_import_gone(step_t *step)
{
	act_remove_holder(step->request, step->event->attempt);
	step->request->prefill_attempt = 0;
	act_repeat_prefill(step, VERDICT_BACKEND_FAILED);
}

/* Forwards the next token of the answer; drops any other. */
static void on_token(step_t *step)
{
	lifecycle_t *request = step->request;

	if (step->event->offset == request->next_offset) {
		request->next_offset++;
		request->resumed_on_same_engine = false;
		act_emit(step,
			 (lifecycle_action_t){.kind = ACTION_FORWARD,
					      .offset = step->event->offset});
		return;
	}
	act_count_stale(step);
	/* An engine sends each offset only once, so after a gap the missing
	 * tokens can come only in a new stream.
	 */
	if (step->event->offset > request->next_offset)
		act_resume_stream(step);
}

/* The answer is complete only if all tokens before its end were forwarded. */
static void on_stream_finished(step_t *step)
{
	lifecycle_t *request = step->request;

	if (step->event->offset == request->next_offset)
		act_finish(step, verdict_make(RUN_RAN, VERDICT_OK, NULL));
	else
		act_resume_stream(step);
}

/* Reserves at another decode engine. The event is stale if there is no
 * reservation, if its attempt is below that of the current call, or if it
 * belongs to an earlier reservation.
 */
static void on_peer_cancelled(step_t *step)
{
	lifecycle_t *request = step->request;

	if (!request->reserved_engine ||
	    step->event->attempt < request->attempt ||
	    step->event->attempt + LIFECYCLE_MAX_ATTEMPTS <=
		    request->reserve_attempt) {
		act_count_stale(step);
		return;
	}
	if (request->state == LIFECYCLE_PREFILLING)
		act_cancel_holders(step, request->prefill_engine);
	act_change_decode_engine(step, VERDICT_BACKEND_FAILED,
				 "cancelled by a peer");
}

/* Repeats what the request backed off from. */
static void on_timer(step_t *step)
{
	lifecycle_t *request = step->request;

	if (!request->backing_off)
		return;
	request->backing_off = false;
	if (request->state == LIFECYCLE_PREFILLING)
		act_start_prefill(step);
	else
		act_reserve(step);
}

/* Admission refused the request: no engine call was made. */
static void on_refused(step_t *step)
{
	verdict_t verdict = step->event->verdict;

	verdict.run = RUN_NOT_RUN;
	act_finish(step, verdict);
}

/* Reserves decode memory before anything is computed. */
static void on_admitted(step_t *step)
{
	step->request->state = LIFECYCLE_RESERVING;
	act_reserve(step);
}

/* A request that cannot have run was held up by the load, not by an engine. */
static void on_deadline(step_t *step)
{
	act_give_up(step,
		    step->request->prefills_maybe_run ? VERDICT_BACKEND_TIMEOUT
						      : VERDICT_OVERLOADED,
		    "deadline passed");
}

/* Whether the request still needs what an engine holds for an attempt. */
static bool is_in_use(const lifecycle_t *request, uint32_t attempt)
{
	return attempt == request->prefill_attempt ||
	       attempt == request->import_attempt;
}

/* Handles an answer to a call that is no longer waited for. If it shows that an
 * engine holds memory, an earlier cancel may have reached the engine before the
 * call did, so the cancel is sent again.
 */
static void on_stale_answer(step_t *step)
{
	const lifecycle_event_t *event = step->event;
	bool held = event->kind == EVENT_PREFILL_SENT ||
		    event->kind == EVENT_PREFILL_DONE ||
		    event->kind == EVENT_IMPORT_DONE;

	act_count_stale(step);
	/* The prefill was sent although the request no longer waited for it, so
	 * the verdict can't be "not run" any more.
	 */
	if (event->kind == EVENT_PREFILL_SENT)
		step->request->prefills_maybe_run++;
	if (held && event->engine && !is_in_use(step->request, event->attempt))
		act_cancel(step, event->engine, event->attempt);
}

/* Takes the answer of admission. */
static void step_queued(step_t *step)
{
	switch (step->event->kind) {
	case EVENT_ADMITTED:
		on_admitted(step);
		break;
	case EVENT_REFUSED:
		on_refused(step);
		break;
	default:
		on_stale_answer(step);
		break;
	}
}

/* Takes an event of the current prefill. */
static void step_prefilling(step_t *step)
{
	switch (step->event->kind) {
	case EVENT_PREFILL_SENT:
		on_prefill_sent(step);
		break;
	case EVENT_PREFILL_DONE:
		on_prefill_done(step);
		break;
	case EVENT_PREFILL_REFUSED:
		on_prefill_refused(step);
		break;
	case EVENT_PREFILL_FAILED:
		on_prefill_lost(step, VERDICT_BACKEND_FAILED);
		break;
	case EVENT_PREFILL_SILENT:
		on_prefill_lost(step, VERDICT_BACKEND_TIMEOUT);
		break;
	default:
		on_stale_answer(step);
		break;
	}
}

/* Takes an event of the current import. */
static void step_importing(step_t *step)
{
	lifecycle_t *request = step->request;

	switch (step->event->kind) {
	case EVENT_IMPORT_DONE:
		request->import_attempt = request->attempt;
		act_start_decode(step);
		break;
	case EVENT_IMPORT_GONE:
		on_import_gone(step);
		break;
	case EVENT_IMPORT_FULL:
		act_remove_holder(request, step->event->attempt);
		act_change_decode_engine(step, VERDICT_OVERLOADED,
					 "no decode memory");
		break;
	case EVENT_IMPORT_FAILED:
		on_import_failed(step);
		break;
	default:
		on_stale_answer(step);
		break;
	}
}

/* Takes an event of the current decode stream. */
static void step_decoding(step_t *step)
{
	switch (step->event->kind) {
	case EVENT_TOKEN:
		on_token(step);
		break;
	case EVENT_STREAM_FINISHED:
		on_stream_finished(step);
		break;
	case EVENT_STREAM_LOST:
		act_resume_stream(step);
		break;
	case EVENT_STREAM_REFUSED:
		act_change_decode_engine(step, VERDICT_BACKEND_FAILED,
					 "decode engine lost");
		break;
	default:
		on_stale_answer(step);
		break;
	}
}

/* Passes an event of an engine call to the state that waits for it. */
static void step_answer(step_t *step)
{
	const lifecycle_t *request = step->request;

	if (!request->attempt || step->event->attempt != request->attempt) {
		on_stale_answer(step);
		return;
	}
	switch (request->state) {
	case LIFECYCLE_PREFILLING:
		step_prefilling(step);
		break;
	case LIFECYCLE_IMPORTING:
		step_importing(step);
		break;
	case LIFECYCLE_DECODING:
		step_decoding(step);
		break;
	default:
		on_stale_answer(step);
		break;
	}
}

/* Takes the answer to the latest ACTION_RESERVE. */
static void step_reservation(step_t *step)
{
	const lifecycle_t *request = step->request;

	if (!request->reserve_outstanding ||
	    step->event->attempt != request->reserve_attempt)
		act_count_stale(step);
	else if (step->event->kind == EVENT_RESERVED)
		on_reserved(step);
	else
		on_reserve_failed(step);
}

/* Ends the request in whatever state it is. */
static void step_end(step_t *step)
{
	if (step->request->state == LIFECYCLE_FINISHED)
		return;
	switch (step->event->kind) {
	case EVENT_CALLER_GONE:
		act_finish(step, verdict_make(act_run_status(step->request),
					      VERDICT_CALLER_GONE, NULL));
		break;
	case EVENT_DEADLINE:
		on_deadline(step);
		break;
	default:
		act_give_up(step, VERDICT_SHUTTING_DOWN, "shutting down");
		break;
	}
}

/* Prepares the state machine of a request that waits for admission. */
void lifecycle_init(lifecycle_t *request, const lifecycle_config_t *config)
{
	*request = (lifecycle_t){
		.config = *config,
		.state = LIFECYCLE_QUEUED,
		.reserve_attempt = LIFECYCLE_MAX_ATTEMPTS,
	};
}

/*
 * Handles one event and returns what to do, in order. `actions` has room for
 * LIFECYCLE_MAX_ACTIONS. Any event is valid in any state: one that comes too
 * late or twice is dropped and counted, and memory that it shows to be held is
 * released or cancelled. A request gets exactly one ACTION_FINISH, and each
 * EVENT_RESERVED that answers an ACTION_RESERVE is followed by exactly one
 * ACTION_RELEASE.
 */
void lifecycle_step(lifecycle_t *request, const lifecycle_event_t *event,
		    lifecycle_action_t *actions, size_t *n_actions)
{
	step_t step = {
		.request = request,
		.event = event,
		.actions = actions,
	};

	switch (event->kind) {
	case EVENT_ADMITTED:
	case EVENT_REFUSED:
		if (request->state == LIFECYCLE_QUEUED)
			step_queued(&step);
		break;
	case EVENT_RESERVED:
	case EVENT_RESERVE_FAILED:
		step_reservation(&step);
		break;
	case EVENT_PEER_CANCELLED:
		on_peer_cancelled(&step);
		break;
	case EVENT_TIMER:
		on_timer(&step);
		break;
	case EVENT_CALLER_GONE:
	case EVENT_DEADLINE:
	case EVENT_SHUTDOWN:
		step_end(&step);
		break;
	default:
		step_answer(&step);
		break;
	}
	*n_actions = step.n;
}

/* Returns the name of a state, static text for log lines. */
const char *lifecycle_state_text(lifecycle_state_t state)
{
	static const char *const names[] = {
		[LIFECYCLE_QUEUED] = "queued",
		[LIFECYCLE_RESERVING] = "reserving",
		[LIFECYCLE_PREFILLING] = "prefilling",
		[LIFECYCLE_IMPORTING] = "importing",
		[LIFECYCLE_DECODING] = "decoding",
		[LIFECYCLE_RESUMING] = "resuming",
		[LIFECYCLE_FINISHED] = "finished",
	};

	return names[state];
}
