/* State machine of a model request under random sequences of events. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "request/lifecycle.h"

#define WALK_SEED UINT64_C(7012026)
#define WALKS 60000
#define MAX_EVENTS 120
#define MAX_CALLS 64
#define TIMEOUT_US (3 * CLOCK_US_PER_S)
#define KEPT_US (800 * CLOCK_US_PER_MS)

/* An engine call as the engine and the caller of the state machine see it. */
typedef struct {
	lifecycle_action_kind_t kind; /* ACTION_START_... */
	uint32_t attempt;
	lifecycle_engine_t engine; /* 0: prefill that was not sent */
	bool refused; /* the engine holds nothing for it */
	bool cancelled; /* by ACTION_CANCEL */
	int64_t held_until_us; /* end of a result's retention, or INT64_MAX */
} call_t;

/* One sequence of events, with what is known from events and actions alone. The
 * checks compare the state machine with it.
 */
typedef struct {
	uint64_t seed;
	int64_t now_us;
	lifecycle_t request;
	retry_budget_t budget;
	call_t calls[MAX_CALLS];
	size_t n_calls;
	lifecycle_engine_t granted; /* reservation held, or 0 */
	uint32_t granted_attempt;
	uint32_t reserve_asked; /* ACTION_RESERVE without an answer, or 0 */
	int64_t forwarded; /* tokens */
	int64_t timer_us; /* 0: none */
	bool finished;
	verdict_t verdict;
	const lifecycle_event_t *event; /* that is being handled */
} walk_t;

/* Returns a random number below n. */
static uint64_t random_below(walk_t *walk, uint64_t n)
{
	return retry_random(&walk->seed) % n;
}

/* Returns whether a prefill was sent and not refused. */
static bool may_have_run(const walk_t *walk)
{
	for (size_t i = 0; i < walk->n_calls; i++) {
		const call_t *call = &walk->calls[i];

		if (call->kind == ACTION_START_PREFILL && call->engine &&
		    !call->refused)
			return true;
	}
	return false;
}

/* Records an engine call; its number must be new. */
static call_t *add_call(walk_t *walk, const lifecycle_action_t *action)
{
	call_t *call = &walk->calls[walk->n_calls++];

	assert_true(walk->n_calls <= MAX_CALLS);
	for (size_t i = 0; i + 1 < walk->n_calls; i++) {
		/* Only a decode shares the number of its import. */
		if (walk->calls[i].attempt == action->attempt)
			assert_true(action->kind == ACTION_START_DECODE &&
				    walk->calls[i].kind == ACTION_START_IMPORT);
	}
	*call = (call_t){
		.kind = action->kind,
		.attempt = action->attempt,
		.engine = action->kind == ACTION_START_PREFILL ? 0
							       : action->engine,
		.held_until_us = INT64_MAX,
	};
	return call;
}

/* Marks the calls that an ACTION_CANCEL covers. */
static void mark_cancelled(walk_t *walk, const lifecycle_action_t *action)
{
	for (size_t i = 0; i < walk->n_calls; i++) {
		call_t *call = &walk->calls[i];

		if (call->engine == action->engine &&
		    call->attempt <= action->attempt)
			call->cancelled = true;
	}
}

/* Checks an action that starts an engine call. */
static void check_start(walk_t *walk, const lifecycle_action_t *action)
{
	/* No engine call without a reservation, or after the end. */
	assert_true(walk->granted != 0);
	assert_false(walk->finished);
	/* A cancel by the attempt of the grant covers each call under it. */
	assert_true(action->attempt <= walk->granted_attempt);
	add_call(walk, action);
	if (action->kind == ACTION_START_PREFILL)
		return;
	assert_int_equal(action->engine, walk->granted);
	if (action->kind == ACTION_START_DECODE)
		assert_int_equal(action->offset, walk->forwarded);
}

/* Checks that what is released is the reservation held. */
static void check_release(walk_t *walk, const lifecycle_action_t *action)
{
	assert_true(walk->granted != 0);
	assert_int_equal(action->engine, walk->granted);
	assert_int_equal(action->attempt, walk->granted_attempt);
	walk->granted = 0;
}

/* Checks that the request ends once, with a verdict that can be true. */
static void check_finish(walk_t *walk, const lifecycle_action_t *action)
{
	const verdict_t *verdict = &action->verdict;

	assert_false(walk->finished);
	walk->finished = true;
	walk->verdict = *verdict;
	if (verdict->run == RUN_NOT_RUN)
		assert_false(may_have_run(walk));
	if (verdict->run == RUN_RAN)
		assert_int_equal(walk->event->kind, EVENT_STREAM_FINISHED);
	if (verdict->code != VERDICT_OK && verdict->code != VERDICT_CALLER_GONE)
		assert_true(verdict->retry_at_us > walk->now_us);
}

/* Checks one action and takes it into account. */
static void check_action(walk_t *walk, const lifecycle_action_t *action)
{
	switch (action->kind) {
	case ACTION_RESERVE:
		assert_false(walk->finished);
		assert_true(walk->granted == 0 && walk->reserve_asked == 0);
		walk->reserve_asked = action->attempt;
		break;
	case ACTION_RELEASE:
		check_release(walk, action);
		break;
	case ACTION_START_PREFILL:
	case ACTION_START_IMPORT:
	case ACTION_START_DECODE:
		check_start(walk, action);
		break;
	case ACTION_FORWARD:
		assert_false(walk->finished);
		assert_int_equal(action->offset, walk->forwarded);
		assert_int_equal(walk->event->kind, EVENT_TOKEN);
		assert_int_equal(walk->event->attempt,
				 walk->calls[walk->n_calls - 1].attempt);
		walk->forwarded++;
		break;
	case ACTION_CANCEL:
		mark_cancelled(walk, action);
		break;
	case ACTION_COUNT_STALE:
		break;
	case ACTION_BACK_OFF:
		assert_false(walk->finished);
		assert_true(action->until_us > walk->now_us);
		walk->timer_us = action->until_us;
		break;
	case ACTION_FINISH:
		check_finish(walk, action);
		break;
	}
}

/* Checks that after the end every engine that may hold memory got a cancel. A
 * complete answer needs none.
 */
static void check_cancels(const walk_t *walk)
{
	if (!walk->finished || walk->verdict.code == VERDICT_OK)
		return;
	for (size_t i = 0; i < walk->n_calls; i++) {
		const call_t *call = &walk->calls[i];

		if (call->engine && !call->refused &&
		    call->held_until_us > walk->now_us)
			assert_true(call->cancelled);
	}
}

/* Feeds an event to the state machine and checks the actions. */
static void feed_event(walk_t *walk, lifecycle_event_t event)
{
	lifecycle_action_t actions[LIFECYCLE_MAX_ACTIONS];
	size_t n = 0;

	event.now_us = walk->now_us;
	walk->event = &event;
	lifecycle_step(&walk->request, &event, actions, &n);
	for (size_t i = 0; i < n; i++)
		check_action(walk, &actions[i]);
	check_cancels(walk);
	assert_int_equal(walk->finished,
			 walk->request.state == LIFECYCLE_FINISHED);
	if (walk->finished)
		assert_true(walk->granted == 0);
}

/* Grants or refuses the reservation that was asked for. */
static void answer_reserve(walk_t *walk)
{
	lifecycle_event_t event = {.attempt = walk->reserve_asked};

	if (!walk->reserve_asked)
		return;
	walk->reserve_asked = 0;
	event.kind = EVENT_RESERVE_FAILED;
	if (random_below(walk, 4) > 0) {
		event.kind = EVENT_RESERVED;
		event.engine = (lifecycle_engine_t)(7 + random_below(walk, 3));
		walk->granted = event.engine;
		walk->granted_attempt = event.attempt;
	}
	feed_event(walk, event);
}

/* Sends a prefill, or answers one that was sent. */
static void answer_prefill(walk_t *walk, call_t *call)
{
	static const lifecycle_event_kind_t kinds[] = {
		EVENT_PREFILL_DONE,   EVENT_PREFILL_DONE,
		EVENT_PREFILL_DONE,   EVENT_PREFILL_REFUSED,
		EVENT_PREFILL_FAILED, EVENT_PREFILL_SILENT,
	};
	lifecycle_event_t event = {.attempt = call->attempt,
				   .engine = call->engine};

	if (!call->engine) {
		event.kind = EVENT_PREFILL_REFUSED;
		if (!walk->finished && random_below(walk, 8) > 0) {
			event.kind = EVENT_PREFILL_SENT;
			event.engine =
				(lifecycle_engine_t)(1 + random_below(walk, 3));
			call->engine = event.engine;
		}
		feed_event(walk, event);
		return;
	}
	event.kind = kinds[random_below(walk, G_N_ELEMENTS(kinds))];
	if (event.kind == EVENT_PREFILL_DONE) {
		event.kept_until_us = walk->now_us + KEPT_US;
		/* A repeated answer doesn't prolong the retention. */
		call->held_until_us =
			MIN(call->held_until_us, event.kept_until_us);
	}
	/* A refusal counts only while the call is the current one. */
	if (event.kind == EVENT_PREFILL_REFUSED &&
	    walk->request.attempt == call->attempt)
		call->refused = true;
	feed_event(walk, event);
}

/* Answers an import. */
static void answer_import(walk_t *walk, call_t *call)
{
	static const lifecycle_event_kind_t kinds[] = {
		EVENT_IMPORT_DONE, EVENT_IMPORT_DONE, EVENT_IMPORT_DONE,
		EVENT_IMPORT_GONE, EVENT_IMPORT_FULL, EVENT_IMPORT_FAILED,
	};
	lifecycle_event_t event = {
		.kind = kinds[random_below(walk, G_N_ELEMENTS(kinds))],
		.attempt = call->attempt,
		.engine = call->engine,
	};

	if ((event.kind == EVENT_IMPORT_GONE ||
	     event.kind == EVENT_IMPORT_FULL) &&
	    walk->request.state == LIFECYCLE_IMPORTING &&
	    walk->request.attempt == call->attempt)
		call->refused = true;
	feed_event(walk, event);
}

/* Feeds the next token, a wrong one, or the end of the stream. */
static void answer_decode(walk_t *walk, const call_t *call)
{
	lifecycle_event_t event = {.kind = EVENT_TOKEN,
				   .attempt = call->attempt,
				   .engine = call->engine,
				   .offset = walk->forwarded};

	switch (random_below(walk, 12)) {
	case 0:
		event.offset += (int64_t)random_below(walk, 5) - 2;
		break;
	case 1:
		event.kind = EVENT_STREAM_FINISHED;
		event.offset += (int64_t)random_below(walk, 2);
		break;
	case 2:
		event.kind = EVENT_STREAM_LOST;
		break;
	case 3:
		event.kind = EVENT_STREAM_REFUSED;
		break;
	default:
		break;
	}
	feed_event(walk, event);
}

/* Answers the newest call, or any earlier one: late, twice, out of order. */
static void answer_call(walk_t *walk)
{
	size_t i;

	if (walk->n_calls == 0)
		return;
	i = walk->n_calls - 1;
	if (random_below(walk, 6) == 0)
		i = random_below(walk, walk->n_calls);
	switch (walk->calls[i].kind) {
	case ACTION_START_PREFILL:
		answer_prefill(walk, &walk->calls[i]);
		break;
	case ACTION_START_IMPORT:
		answer_import(walk, &walk->calls[i]);
		break;
	default:
		answer_decode(walk, &walk->calls[i]);
		break;
	}
}

/* Feeds an event that ends the request, or one that is out of place. */
static void feed_end_or_misplaced_event(walk_t *walk)
{
	static const lifecycle_event_kind_t kinds[] = {
		EVENT_CALLER_GONE, EVENT_DEADLINE, EVENT_SHUTDOWN,
		EVENT_ADMITTED,	   EVENT_REFUSED,  EVENT_TIMER,
	};
	lifecycle_event_t event = {
		.kind = kinds[random_below(walk, G_N_ELEMENTS(kinds))],
		.verdict = {.code = VERDICT_OVERLOADED,
			    .retry_at_us = walk->now_us + 1},
	};

	if (random_below(walk, 3) == 0) {
		event.kind = EVENT_PEER_CANCELLED;
		event.attempt = (uint32_t)random_below(walk, 80);
	}
	feed_event(walk, event);
}

/* Feeds one random event and lets some time pass. */
static void feed_random_event(walk_t *walk)
{
	if (walk->timer_us && random_below(walk, 2)) {
		walk->now_us = MAX(walk->now_us, walk->timer_us);
		walk->timer_us = 0;
		feed_event(walk, (lifecycle_event_t){.kind = EVENT_TIMER});
	} else if (walk->reserve_asked && random_below(walk, 2)) {
		answer_reserve(walk);
	} else if (random_below(walk, 25) == 0) {
		feed_end_or_misplaced_event(walk);
	} else {
		answer_call(walk);
	}
	walk->now_us += (int64_t)random_below(walk, 30 * CLOCK_US_PER_MS);
}

/* Runs one sequence of events from admission to the end of the request. */
static void run_walk(uint64_t seed, unsigned *outcomes)
{
	walk_t walk = {.seed = seed, .now_us = CLOCK_US_PER_S};
	lifecycle_config_t config = {
		.start_by_us = walk.now_us + 400 * CLOCK_US_PER_MS,
		.deadline_us = walk.now_us + TIMEOUT_US,
		.budget = &walk.budget,
		.seed = seed,
	};

	retry_budget_init(&walk.budget, 0.1, (double)random_below(&walk, 6));
	lifecycle_init(&walk.request, &config);
	feed_event(&walk, (lifecycle_event_t){.kind = EVENT_ADMITTED});
	for (int i = 0; i < MAX_EVENTS; i++)
		feed_random_event(&walk);
	answer_reserve(&walk);
	if (!walk.finished)
		feed_event(&walk, (lifecycle_event_t){.kind = EVENT_DEADLINE});
	assert_true(walk.finished);
	assert_true(walk.granted == 0);
	assert_true(walk.budget.retries_left >= 0);
	outcomes[walk.verdict.code]++;
}

/* Guards against faults that only some order of events brings about: a request
 * that ends twice, a reservation released twice or never, an engine that keeps
 * memory without a cancel, a gap or a repetition in the forwarded tokens, and
 * the verdict "not run" after a send that may have run.
 */
static void test_random_walks(void **state)
{
	unsigned outcomes[VERDICTS_N] = {0};

	for (uint64_t i = 0; i < WALKS; i++)
		run_walk(WALK_SEED + i, outcomes);
	/* Each kind of end must come often enough to be tested. */
	assert_true(outcomes[VERDICT_OK] > WALKS / 100);
	assert_true(outcomes[VERDICT_CALLER_GONE] > WALKS / 100);
	assert_true(outcomes[VERDICT_OVERLOADED] > WALKS / 100);
	assert_true(outcomes[VERDICT_BACKEND_FAILED] > WALKS / 100);
	assert_true(outcomes[VERDICT_BACKEND_TIMEOUT] > WALKS / 100);
	assert_true(outcomes[VERDICT_SHUTTING_DOWN] > WALKS / 100);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_walks),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
