/* State machine of a call to a plain service. A call that may have run must not
 * be sent again unless it is repeatable, or it runs twice; and the caller must
 * not be told that it has not run, or it repeats the call itself.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "request/plain_lifecycle.h"

#define NOW_US (50 * CLOCK_US_PER_S)
#define RANDOM_SEED UINT64_C(412)
#define RANDOM_SEQUENCES 50000
#define MAX_STEPS 12

/* An event and the actions that it must cause, as printed by print_action(). */
typedef struct {
	plain_event_kind_t kind;
	uint32_t attempt;
	const char *want;
} script_step_t;

typedef struct {
	const char *name;
	bool repeatable;
	double budget;
	script_step_t steps[MAX_STEPS];
} script_t;

/* Appends an action as text, with its attempt and its verdict. */
static void print_action(GString *out, const plain_action_t *action)
{
	static const char *const names[] = {
		[PLAIN_ACTION_SEND] = "send",
		[PLAIN_ACTION_FORWARD] = "forward",
		[PLAIN_ACTION_ABORT] = "abort",
		[PLAIN_ACTION_COUNT_STALE] = "stale",
		[PLAIN_ACTION_BACK_OFF] = "back-off",
		[PLAIN_ACTION_FINISH] = "finish",
	};

	g_string_append(out, names[action->kind]);
	if (action->attempt)
		g_string_append_printf(out, " %u", action->attempt);
	if (action->kind == PLAIN_ACTION_FINISH)
		g_string_append_printf(
			out, " %s %s%s", verdict_run_text(action->verdict.run),
			verdict_code_text(action->verdict.code),
			action->verdict.retry_at_us ? " retry-at" : "");
	g_string_append(out, "; ");
}

static const script_t scripts[] = {
	{"answered",
	 false,
	 1,
	 {{PLAIN_EVENT_ADMITTED, 0, "send 1; "},
	  {PLAIN_EVENT_ANSWER, 1, "forward 1; "},
	  {PLAIN_EVENT_ANSWER, 1, "forward 1; "},
	  {PLAIN_EVENT_ANSWER_END, 1, "finish ran ok; "},
	  {PLAIN_EVENT_ANSWER, 1, "stale; "},
	  {PLAIN_EVENT_CALLER_GONE, 0, ""}}},
	{"refused",
	 true,
	 1,
	 {{PLAIN_EVENT_REFUSED, 0, "finish not-run overloaded; "},
	  {PLAIN_EVENT_ADMITTED, 0, ""}}},
	{"unrepeatable and lost: never sent again",
	 false,
	 5,
	 {{PLAIN_EVENT_ADMITTED, 0, "send 1; "},
	  {PLAIN_EVENT_LOST, 1, "finish may-have-run backend_failed retry-at; "},
	  {PLAIN_EVENT_TIMER, 0, ""}}},
	{"unrepeatable and silent: never sent again",
	 false,
	 5,
	 {{PLAIN_EVENT_ADMITTED, 0, "send 1; "},
	  {PLAIN_EVENT_SILENT, 1,
	   "abort 1; finish may-have-run backend_timeout retry-at; "}}},
	{"unrepeatable and not sent: sent again",
	 false,
	 5,
	 {{PLAIN_EVENT_ADMITTED, 0, "send 1; "},
	  {PLAIN_EVENT_NOT_SENT, 1, "back-off; "},
	  {PLAIN_EVENT_ANSWER, 1, "stale; "},
	  {PLAIN_EVENT_TIMER, 0, "send 2; "},
	  {PLAIN_EVENT_ANSWER, 2, "forward 2; "},
	  {PLAIN_EVENT_ANSWER_END, 2, "finish ran ok; "}}},
	{"repeatable and lost: sent again until the budget is empty",
	 true,
	 1,
	 {{PLAIN_EVENT_ADMITTED, 0, "send 1; "},
	  {PLAIN_EVENT_LOST, 1, "back-off; "},
	  {PLAIN_EVENT_TIMER, 0, "send 2; "},
	  {PLAIN_EVENT_ANSWER, 1, "stale; "},
	  {PLAIN_EVENT_LOST, 2,
	   "finish may-have-run backend_failed retry-at; "}}},
	{"not run is not said after an earlier send that may have run",
	 true,
	 1,
	 {{PLAIN_EVENT_ADMITTED, 0, "send 1; "},
	  {PLAIN_EVENT_LOST, 1, "back-off; "},
	  {PLAIN_EVENT_TIMER, 0, "send 2; "},
	  {PLAIN_EVENT_NOT_SENT, 2,
	   "finish may-have-run unavailable retry-at; "}}},
	{"never sent again after part of an answer",
	 true,
	 5,
	 {{PLAIN_EVENT_ADMITTED, 0, "send 1; "},
	  {PLAIN_EVENT_ANSWER, 1, "forward 1; "},
	  {PLAIN_EVENT_LOST, 1,
	   "finish may-have-run backend_failed retry-at; "}}},
	{"not sent, no retry left",
	 false,
	 0,
	 {{PLAIN_EVENT_ADMITTED, 0, "send 1; "},
	  {PLAIN_EVENT_NOT_SENT, 1, "finish not-run unavailable retry-at; "}}},
	{"caller gone while waiting",
	 true,
	 1,
	 {{PLAIN_EVENT_ADMITTED, 0, "send 1; "},
	  {PLAIN_EVENT_CALLER_GONE, 0,
	   "abort 1; finish may-have-run caller_gone; "},
	  {PLAIN_EVENT_ANSWER, 1, "stale; "}}},
	{"deadline while waiting",
	 true,
	 1,
	 {{PLAIN_EVENT_ADMITTED, 0, "send 1; "},
	  {PLAIN_EVENT_DEADLINE, 0,
	   "abort 1; finish may-have-run backend_timeout retry-at; "}}},
	{"deadline in the queue",
	 true,
	 1,
	 {{PLAIN_EVENT_DEADLINE, 0, "finish not-run overloaded retry-at; "}}},
	{"shutdown during a back-off of a call that did not run",
	 false,
	 1,
	 {{PLAIN_EVENT_ADMITTED, 0, "send 1; "},
	  {PLAIN_EVENT_NOT_SENT, 1, "back-off; "},
	  {PLAIN_EVENT_SHUTDOWN, 0, "finish not-run shutting_down retry-at; "}}},
};

/* Guards against a second send of a call that may have run, and against wrong
 * verdicts, in sequences of events that are common.
 */
static void test_scripts(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
		const script_t *script = &scripts[i];
		retry_budget_t budget = {.retries_left = script->budget,
					 .capacity = 10};
		const plain_config_t config = {
			.repeatable = script->repeatable,
			.deadline_us = NOW_US + CLOCK_US_PER_S,
			.budget = &budget,
		};
		plain_lifecycle_t call;

		plain_lifecycle_init(&call, &config);
		for (size_t j = 0; j < MAX_STEPS && script->steps[j].want;
		     j++) {
			const plain_event_t event = {
				.kind = script->steps[j].kind,
				.now_us = NOW_US,
				.attempt = script->steps[j].attempt,
				.verdict = {.code = VERDICT_OVERLOADED},
			};
			plain_action_t actions[PLAIN_MAX_ACTIONS];
			GString *got = g_string_new(NULL);
			size_t n = 0;

			plain_lifecycle_step(&call, &event, actions, &n);
			for (size_t k = 0; k < n; k++)
				print_action(got, &actions[k]);
			if (strcmp(got->str, script->steps[j].want) != 0)
				fail_msg("%s, step %zu: got \"%s\"",
					 script->name, j, got->str);
			g_string_free(got, TRUE);
		}
	}
}

/* Returns a random event, mostly of the latest send. */
static plain_event_t random_event(uint64_t *seed, int64_t now_us,
				  uint32_t attempt)
{
	plain_event_t event = {
		.kind = (plain_event_kind_t)(retry_random(seed) %
					     (PLAIN_EVENT_SHUTDOWN + 1)),
		.now_us = now_us,
		.attempt = attempt,
		.verdict = {.code = VERDICT_OVERLOADED},
	};

	if (retry_random(seed) % 4 == 0)
		event.attempt = (uint32_t)(retry_random(seed) % 4);
	/* Events that end a call are made rarer than others. */
	if (event.kind >= PLAIN_EVENT_CALLER_GONE && retry_random(seed) % 4)
		event.kind = PLAIN_EVENT_TIMER;
	return event;
}

/* Guards against a second send of a call that is not repeatable and may have
 * run, against a call that ends twice, and against a wrong verdict of not run,
 * in random sequences of events. Late results of earlier sends are among them.
 */
static void test_random_events(void **state)
{
	for (uint64_t sequence = 0; sequence < RANDOM_SEQUENCES; sequence++) {
		uint64_t seed = RANDOM_SEED + sequence;
		retry_budget_t budget = {.retries_left = 5, .capacity = 5};
		const plain_config_t config = {
			.repeatable = sequence % 2,
			.deadline_us = NOW_US + CLOCK_US_PER_S,
			.budget = &budget,
		};
		unsigned finishes = 0;
		bool may_have_run = false, answered = false, in_flight = false;
		plain_lifecycle_t call;

		plain_lifecycle_init(&call, &config);
		for (int i = 0; i < 30; i++) {
			plain_event_t event =
				random_event(&seed, NOW_US, call.attempt);
			plain_action_t actions[PLAIN_MAX_ACTIONS];
			bool current = in_flight &&
				       event.attempt == call.attempt;
			size_t n = 0;

			if (current && event.kind == PLAIN_EVENT_NOT_SENT &&
			    !answered)
				in_flight = false;
			plain_lifecycle_step(&call, &event, actions, &n);
			for (size_t j = 0; j < n; j++) {
				const plain_action_t *action = &actions[j];

				switch (action->kind) {
				case PLAIN_ACTION_SEND:
					assert_true(config.repeatable ||
						    !may_have_run);
					assert_false(answered);
					assert_int_equal(finishes, 0);
					in_flight = true;
					break;
				case PLAIN_ACTION_FORWARD:
					assert_true(current);
					answered = true;
					break;
				case PLAIN_ACTION_BACK_OFF:
					may_have_run = may_have_run ||
						       in_flight;
					in_flight = false;
					break;
				case PLAIN_ACTION_FINISH:
					finishes++;
					may_have_run = may_have_run ||
						       in_flight;
					assert_int_equal(action->verdict.run ==
								 RUN_NOT_RUN,
							 !may_have_run);
					in_flight = false;
					break;
				default:
					break;
				}
			}
		}
		assert_true(finishes <= 1);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_scripts),
		cmocka_unit_test(test_random_events),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
