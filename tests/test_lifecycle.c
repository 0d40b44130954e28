/* State machine of a model request: scripts of events and the actions that each
 * event must return.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "request/lifecycle.h"

#define START_US (100 * CLOCK_US_PER_S)
#define START_BY_US (START_US + 400 * CLOCK_US_PER_MS)
#define DEADLINE_US (START_US + 20 * CLOCK_US_PER_S)
#define KEPT_UNTIL_US (START_US + 800 * CLOCK_US_PER_MS)
#define KEPT_PASSED_MS 900

#define MAX_STEPS 24

/* One event, and what it must lead to. Engines 1 and 2 are prefill engines, 7
 * to 9 decode engines.
 */
typedef struct {
	lifecycle_event_kind_t kind;
	uint32_t attempt;
	lifecycle_engine_t engine;
	int64_t offset;
	int64_t at_ms; /* since the start; 0: as in the step before */
	const char *want; /* texts of the actions, then the state */
} script_step_t;

typedef struct {
	const char *name;
	double budget; /* retries allowed */
	script_step_t steps[MAX_STEPS];
} script_t;

/* Appends the text of a verdict, as in script_step_t.want. */
static void print_verdict(GString *out, const lifecycle_action_t *action)
{
	const verdict_t *verdict = &action->verdict;

	g_string_append_printf(out, "finish %s %s%s; ",
			       verdict_run_text(verdict->run),
			       verdict_code_text(verdict->code),
			       verdict->retry_at_us ? " retry-later" : "");
}

/* Appends the text of an action, as in script_step_t.want. */
static void print_action(GString *out, const lifecycle_action_t *action)
{
	switch (action->kind) {
	case ACTION_RESERVE:
		g_string_append_printf(out, "reserve %u not e%u; ",
				       action->attempt, action->engine);
		break;
	case ACTION_RELEASE:
		g_string_append_printf(out, "release e%u %u%s; ",
				       action->engine, action->attempt,
				       action->after_cancel ? " after cancel"
							    : "");
		break;
	case ACTION_START_PREFILL:
		g_string_append_printf(out, "prefill %u not e%u; ",
				       action->attempt, action->engine);
		break;
	case ACTION_START_IMPORT:
		g_string_append_printf(out, "import e%u %u from %u; ",
				       action->engine, action->attempt,
				       action->source_attempt);
		break;
	case ACTION_START_DECODE:
		g_string_append_printf(out, "decode e%u %u from %u at %d; ",
				       action->engine, action->attempt,
				       action->source_attempt,
				       (int)action->offset);
		break;
	case ACTION_FORWARD:
		g_string_append_printf(out, "forward %d; ",
				       (int)action->offset);
		break;
	case ACTION_CANCEL:
		g_string_append_printf(out, "cancel e%u %u; ", action->engine,
				       action->attempt);
		break;
	case ACTION_COUNT_STALE:
		g_string_append(out, "stale; ");
		break;
	case ACTION_BACK_OFF:
		g_string_append(out, "back off; ");
		break;
	case ACTION_FINISH:
		print_verdict(out, action);
		break;
	}
}

/* Feeds the events of a script to a new request and compares the actions. */
static void run_script(const script_t *script)
{
	retry_budget_t budget = {.retries_left = script->budget,
				 .capacity = 10};
	const lifecycle_config_t config = {
		.start_by_us = START_BY_US,
		.deadline_us = DEADLINE_US,
		.budget = &budget,
		.seed = 1,
	};
	int64_t now_us = START_US;
	lifecycle_t request;

	lifecycle_init(&request, &config);
	for (size_t i = 0; i < MAX_STEPS && script->steps[i].want; i++) {
		const script_step_t *step = &script->steps[i];
		lifecycle_action_t actions[LIFECYCLE_MAX_ACTIONS];
		GString *got = g_string_new(NULL);
		size_t n = 0;
		lifecycle_event_t event = {
			.kind = step->kind,
			.attempt = step->attempt,
			.engine = step->engine,
			.offset = step->offset,
			.kept_until_us = KEPT_UNTIL_US,
			.verdict = {.run = RUN_MAY_HAVE_RUN,
				    .code = VERDICT_OVERLOADED},
		};

		if (step->at_ms)
			now_us = START_US + step->at_ms * CLOCK_US_PER_MS;
		event.now_us = now_us;
		lifecycle_step(&request, &event, actions, &n);
		for (size_t j = 0; j < n; j++)
			print_action(got, &actions[j]);
		g_string_append(got, lifecycle_state_text(request.state));
		if (strcmp(got->str, step->want) != 0)
			fail_msg("%s, step %zu: got \"%s\", want \"%s\"",
				 script->name, i, got->str, step->want);
		g_string_free(got, TRUE);
	}
}

/* The steps of a request without failures. */
#define ADMITTED                                                       \
	{                                                              \
		EVENT_ADMITTED, .want = "reserve 16 not e0; reserving" \
	}
#define RESERVED                                                              \
	{                                                                     \
		EVENT_RESERVED, 16, 7, .want = "prefill 1 not e0; prefilling" \
	}
#define PREFILL_SENT                                           \
	{                                                      \
		EVENT_PREFILL_SENT, 1, 1, .want = "prefilling" \
	}
#define PREFILL_DONE                                            \
	{                                                       \
		EVENT_PREFILL_DONE, 1, 1,                       \
			.want = "import e7 2 from 1; importing" \
	}
#define IMPORT_DONE                                                 \
	{                                                           \
		EVENT_IMPORT_DONE, 2, 7,                            \
			.want = "decode e7 2 from 2 at 0; decoding" \
	}
#define TOKEN_0                                                     \
	{                                                           \
		EVENT_TOKEN, 2, 7, 0, .want = "forward 0; decoding" \
	}
#define TOKEN_1                                                     \
	{                                                           \
		EVENT_TOKEN, 2, 7, 1, .want = "forward 1; decoding" \
	}
#define TO_PREFILLING ADMITTED, RESERVED, PREFILL_SENT
#define TO_IMPORTING TO_PREFILLING, PREFILL_DONE
#define TO_DECODING TO_IMPORTING, IMPORT_DONE, TOKEN_0, TOKEN_1

static const script_t scripts[] = {
	{"complete",
	 1,
	 {TO_DECODING,
	  {EVENT_STREAM_FINISHED, 2, 7, 2,
	   .want = "release e7 16; finish ran ok; finished"},
	  {EVENT_STREAM_FINISHED, 2, 7, 2, .want = "stale; finished"},
	  {EVENT_TOKEN, 2, 7, 2, .want = "stale; finished"},
	  {EVENT_CALLER_GONE, .want = "finished"},
	  {EVENT_DEADLINE, .want = "finished"}}},
	{"refused at admission",
	 1,
	 {{EVENT_REFUSED, .want = "finish not-run overloaded; finished"},
	  {EVENT_ADMITTED, .want = "finished"}}},
	{"caller gone in the queue",
	 1,
	 {{EVENT_CALLER_GONE, .want = "finish not-run caller_gone; finished"},
	  {EVENT_TIMER, .want = "finished"}}},
	{"deadline in the queue",
	 1,
	 {{EVENT_DEADLINE,
	   .want = "finish not-run overloaded retry-later; finished"}}},
	{"shutdown in the queue",
	 1,
	 {{EVENT_SHUTDOWN,
	   .want = "finish not-run shutting_down retry-later; finished"}}},
	{"answers before any call",
	 1,
	 {{EVENT_PREFILL_DONE, 0, 0, .want = "stale; queued"},
	  {EVENT_RESERVED, 16, 7, .want = "stale; queued"},
	  {EVENT_PEER_CANCELLED, 16, .want = "stale; queued"}}},
	{"no prefill before a reservation",
	 1,
	 {ADMITTED,
	  {EVENT_TIMER, .want = "reserving"},
	  {EVENT_PREFILL_DONE, 1, 1, .want = "stale; cancel e1 1; reserving"},
	  {EVENT_RESERVED, 32, 7, .want = "stale; reserving"},
	  RESERVED,
	  {EVENT_RESERVED, 16, 8, .want = "stale; prefilling"}}},
	{"reservation refused, then granted",
	 1,
	 {ADMITTED,
	  {EVENT_RESERVE_FAILED, 16, .want = "back off; reserving"},
	  {EVENT_TIMER, .want = "reserve 16 not e0; reserving"},
	  RESERVED}},
	{"reservation refused, too late to start",
	 1,
	 {ADMITTED,
	  {EVENT_RESERVE_FAILED, 16, .at_ms = 399,
	   .want = "finish not-run overloaded retry-later; finished"}}},
	{"grant after the caller has gone",
	 1,
	 {ADMITTED,
	  {EVENT_CALLER_GONE, .want = "finish not-run caller_gone; finished"},
	  {EVENT_RESERVED, 16, 7, .want = "release e7 16; finished"},
	  {EVENT_RESERVED, 16, 7, .want = "stale; finished"}}},
	{"prefill refused: not run, sent again",
	 1,
	 {TO_PREFILLING,
	  {EVENT_PREFILL_REFUSED, 1, 1, .want = "back off; prefilling"},
	  {EVENT_TIMER, .want = "prefill 2 not e1; prefilling"},
	  {EVENT_PREFILL_SENT, 2, 2, .want = "prefilling"},
	  /* The budget is spent. */
	  {EVENT_PREFILL_REFUSED, 2, 2,
	   .want = "release e7 16; finish not-run overloaded retry-later; "
		   "finished"}}},
	{"no prefill engine, nothing was sent",
	 0,
	 {ADMITTED,
	  RESERVED,
	  {EVENT_PREFILL_REFUSED, 1,
	   .want = "release e7 16; finish not-run overloaded retry-later; "
		   "finished"}}},
	{"prefill engine dies, one new prefill, the reservation is kept",
	 1,
	 {TO_PREFILLING,
	  {EVENT_PREFILL_FAILED, 1, 1,
	   .want = "cancel e1 1; prefill 2 not e1; prefilling"},
	  {EVENT_PREFILL_SENT, 2, 2, .want = "prefilling"},
	  /* The first engine answers after all. */
	  {EVENT_PREFILL_DONE, 1, 1, .want = "stale; cancel e1 1; prefilling"},
	  {EVENT_PREFILL_DONE, 2, 2, .want = "import e7 3 from 2; importing"}}},
	{"prefill silent twice",
	 5,
	 {TO_PREFILLING,
	  {EVENT_PREFILL_SILENT, 1, 1,
	   .want = "cancel e1 1; prefill 2 not e1; prefilling"},
	  {EVENT_PREFILL_SENT, 2, 2, .want = "prefilling"},
	  {EVENT_PREFILL_SILENT, 2, 2,
	   .want = "cancel e2 2; release e7 16; finish may-have-run "
		   "backend_timeout retry-later; finished"}}},
	{"verdict not-run is not given after a send that may have run",
	 1,
	 {TO_PREFILLING,
	  {EVENT_PREFILL_FAILED, 1, 1,
	   .want = "cancel e1 1; prefill 2 not e1; prefilling"},
	  {EVENT_PREFILL_SENT, 2, 2, .want = "prefilling"},
	  {EVENT_PREFILL_REFUSED, 2, 2,
	   .want = "release e7 16; finish may-have-run overloaded retry-later; "
		   "finished"}}},
	{"prefill lost, budget empty",
	 0.5,
	 {TO_PREFILLING,
	  {EVENT_PREFILL_FAILED, 1, 1,
	   .want = "cancel e1 1; release e7 16; finish may-have-run "
		   "backend_failed retry-later; finished"}}},
	{"caller gone during prefill",
	 1,
	 {TO_PREFILLING,
	  {EVENT_CALLER_GONE,
	   .want = "cancel e1 1; release e7 16; finish may-have-run "
		   "caller_gone; finished"},
	  {EVENT_PREFILL_DONE, 1, 1, .want = "stale; cancel e1 1; finished"}}},
	{"import fails, the next decode engine imports the result",
	 0,
	 {TO_IMPORTING,
	  {EVENT_IMPORT_FAILED, 2, 7, .at_ms = 300,
	   .want = "cancel e7 2; release e7 16 after cancel; "
		   "reserve 32 not e7; resuming"},
	  {EVENT_IMPORT_DONE, 2, 7, .want = "stale; cancel e7 2; resuming"},
	  {EVENT_RESERVED, 32, 8, .want = "import e8 17 from 1; importing"},
	  {EVENT_IMPORT_DONE, 17, 8,
	   .want = "decode e8 17 from 17 at 0; decoding"},
	  {EVENT_TOKEN, 2, 7, 0, .want = "stale; decoding"},
	  {EVENT_TOKEN, 17, 8, 0, .want = "forward 0; decoding"},
	  {EVENT_STREAM_FINISHED, 17, 8, 1,
	   .want = "release e8 32; finish ran ok; finished"}}},
	{"import fails and the retention ends before the next grant",
	 1,
	 {TO_IMPORTING,
	  {EVENT_IMPORT_FAILED, 2, 7, .at_ms = 700,
	   .want = "cancel e7 2; release e7 16 after cancel; "
		   "reserve 32 not e7; resuming"},
	  {EVENT_RESERVED, 32, 8, .at_ms = KEPT_PASSED_MS,
	   .want = "prefill 17 not e1; prefilling"}}},
	{"two imports fail: the result counts as lost",
	 1,
	 {TO_IMPORTING,
	  {EVENT_IMPORT_FAILED, 2, 7,
	   .want = "cancel e7 2; release e7 16 after cancel; "
		   "reserve 32 not e7; resuming"},
	  {EVENT_RESERVED, 32, 8, .want = "import e8 17 from 1; importing"},
	  {EVENT_IMPORT_FAILED, 17, 8,
	   .want = "cancel e8 17; release e8 32 after cancel; "
		   "reserve 48 not e8; resuming"},
	  {EVENT_RESERVED, 48, 9, .want = "prefill 33 not e1; prefilling"}}},
	{"decode engine full",
	 0,
	 {TO_IMPORTING,
	  {EVENT_IMPORT_FULL, 2, 7,
	   .want = "release e7 16; reserve 32 not e7; resuming"},
	  {EVENT_RESERVE_FAILED, 32, .want = "back off; resuming"},
	  {EVENT_TIMER, .want = "reserve 32 not e7; resuming"},
	  {EVENT_RESERVED, 32, 8, .want = "import e8 17 from 1; importing"}}},
	{"result gone, one new prefill, the reservation is kept",
	 1,
	 {TO_IMPORTING,
	  {EVENT_IMPORT_GONE, 2, 7, .want = "prefill 3 not e1; prefilling"},
	  {EVENT_PREFILL_SENT, 3, 2, .want = "prefilling"},
	  {EVENT_PREFILL_DONE, 3, 2, .want = "import e7 4 from 3; importing"},
	  {EVENT_IMPORT_GONE, 4, 7,
	   .want = "cancel e1 1; cancel e2 3; release e7 16; finish "
		   "may-have-run backend_failed retry-later; finished"}}},
	{"caller gone during import",
	 1,
	 {TO_IMPORTING,
	  {EVENT_CALLER_GONE,
	   .want = "cancel e1 1; cancel e7 2; release e7 16 after cancel; "
		   "finish may-have-run caller_gone; finished"}}},
	{"caller gone after the retention of the result",
	 1,
	 {TO_DECODING,
	  {EVENT_CALLER_GONE, .at_ms = KEPT_PASSED_MS,
	   .want = "cancel e7 2; release e7 16 after cancel; "
		   "finish may-have-run caller_gone; finished"}}},
	{"duplicate tokens are dropped",
	 1,
	 {TO_DECODING,
	  {EVENT_TOKEN, 2, 7, 1, .want = "stale; decoding"},
	  {EVENT_TOKEN, 2, 7, 0, .want = "stale; decoding"},
	  {EVENT_TOKEN, 2, 7, 2, .want = "forward 2; decoding"}}},
	{"after a gap, resumes at the first token not forwarded",
	 0,
	 {TO_DECODING,
	  {EVENT_TOKEN, 2, 7, 3,
	   .want = "stale; decode e7 3 from 2 at 2; decoding"},
	  {EVENT_TOKEN, 2, 7, 2, .want = "stale; decoding"},
	  {EVENT_TOKEN, 3, 7, 2, .want = "forward 2; decoding"}}},
	{"an early end is not a complete answer",
	 0,
	 {TO_DECODING,
	  {EVENT_STREAM_FINISHED, 2, 7, 5,
	   .want = "decode e7 3 from 2 at 2; decoding"},
	  {EVENT_STREAM_FINISHED, 3, 7, 2,
	   .want = "release e7 16; finish ran ok; finished"}}},
	{"lost stream: same engine, then the retained result elsewhere",
	 0,
	 {TO_DECODING,
	  {EVENT_STREAM_LOST, 2, 7, .want = "decode e7 3 from 2 at 2; decoding"},
	  {EVENT_STREAM_LOST, 3, 7,
	   .want = "cancel e7 2; cancel e7 3; release e7 16 after cancel; "
		   "reserve 32 not e7; resuming"},
	  {EVENT_RESERVED, 32, 8, .want = "import e8 17 from 1; importing"},
	  {EVENT_IMPORT_DONE, 17, 8,
	   .want = "decode e8 17 from 17 at 2; decoding"}}},
	{"decode engine lost after the retention: one new prefill",
	 1,
	 {TO_DECODING,
	  {EVENT_STREAM_REFUSED, 2, 7, .at_ms = KEPT_PASSED_MS,
	   .want = "cancel e7 2; release e7 16 after cancel; "
		   "reserve 32 not e7; resuming"},
	  {EVENT_RESERVED, 32, 8, .want = "prefill 17 not e1; prefilling"},
	  {EVENT_PREFILL_SENT, 17, 2, .want = "prefilling"},
	  {EVENT_PREFILL_FAILED, 17, 2,
	   .want = "cancel e2 17; release e8 32; finish may-have-run "
		   "backend_failed retry-later; finished"}}},
	{"shutdown deadline",
	 1,
	 {TO_DECODING,
	  {EVENT_SHUTDOWN,
	   .want = "cancel e1 1; cancel e7 2; release e7 16 after cancel; "
		   "finish may-have-run shutting_down retry-later; finished"}}},
	{"deadline",
	 1,
	 {TO_DECODING,
	  {EVENT_DEADLINE, .at_ms = 20000,
	   .want = "cancel e7 2; release e7 16 after cancel; "
		   "finish may-have-run backend_timeout retry-later; "
		   "finished"}}},
	{"cancelled by a peer: resumes with a higher attempt",
	 0,
	 {TO_DECODING,
	  {EVENT_PEER_CANCELLED, 16, 7,
	   .want = "cancel e7 2; release e7 16 after cancel; "
		   "reserve 32 not e7; resuming"},
	  {EVENT_PEER_CANCELLED, 16, 7, .want = "stale; resuming"},
	  {EVENT_RESERVED, 32, 8, .want = "import e8 17 from 1; importing"},
	  {EVENT_PEER_CANCELLED, 16, 7, .want = "stale; importing"}}},
	{"cancelled by a peer during prefill",
	 1,
	 {TO_PREFILLING,
	  {EVENT_PEER_CANCELLED, 16, 7,
	   .want = "cancel e1 1; release e7 16; reserve 32 not e7; resuming"},
	  {EVENT_PREFILL_DONE, 1, 1, .want = "stale; cancel e1 1; resuming"},
	  {EVENT_RESERVED, 32, 8, .want = "prefill 17 not e1; prefilling"}}},
};

/* Guards against wrong actions, a wrong state or a wrong verdict after an
 * event, such as a late or repeated answer, a lost engine or a cancel by a
 * peer.
 */
static void test_scripts(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++)
		run_script(&scripts[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_scripts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
