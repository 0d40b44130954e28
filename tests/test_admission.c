#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/decide/admission.h"
#include "process/decide/duration.h"

#define MS INT64_C(1000)
#define NOW (1000 * MS)
#define ENGINES 5
#define PREFILLS 3

/* The engines of a service and the view that refers to them. */
typedef struct {
	admission_decode_t decodes[ENGINES];
	admission_prefill_t prefills[PREFILLS];
	admission_view_t view;
} fleet_t;

/* Sets up idle prefill engines, and decode engines with `streams` streams each.
 */
static void init(fleet_t *fleet, int64_t streams)
{
	*fleet = (fleet_t){0};
	for (size_t i = 0; i < ENGINES; i++)
		fleet->decodes[i] = (admission_decode_t){
			.slots = 12,
			.kv_tokens = 100000,
			.use = {.streams = streams,
				.kv_tokens = streams * 7000},
			.usable = true,
		};
	for (size_t i = 0; i < PREFILLS; i++)
		fleet->prefills[i] = (admission_prefill_t){
			.us_per_token = 20,
			.usable = true,
		};
	fleet->view = (admission_view_t){
		.decodes = fleet->decodes,
		.n_decodes = ENGINES,
		.prefills = fleet->prefills,
		.n_prefills = PREFILLS,
		.stream_us = 3500.0 * MS,
		.stream = {.prompt_tokens = 5000,
			   .output_tokens = 4000,
			   .kv_tokens = 7000},
	};
}

/* Returns a request that can be on time, with `ahead` others before it. */
static admission_request_t on_time(unsigned ahead)
{
	return (admission_request_t){
		.prompt_tokens = 5000,
		.kv_tokens = 7000,
		.urgency = {.due_us = NOW + 900 * MS},
		.ahead = ahead,
		.give_up_us = NOW + 2500 * MS,
	};
}

/* Returns a request that can no longer be on time. */
static admission_request_t late(unsigned ahead)
{
	admission_request_t request = on_time(ahead);

	request.urgency.late = true;
	return request;
}

/* Light load. Guards against waiting while slots are free, and against the
 * choice of a loaded engine.
 */
static void test_light_load(void **state)
{
	admission_request_t request = on_time(0);
	admission_decision_t decision;
	fleet_t fleet;

	init(&fleet, 6);
	fleet.decodes[3].use =
		(occupancy_use_t){.streams = 2, .kv_tokens = 14000};
	fleet.prefills[0].backlog_tokens = 20000;
	fleet.prefills[1].backlog_tokens = 10000;
	decision = admission_decide(&fleet.view, &request, NOW);
	assert_int_equal(decision.action, ADMISSION_START);
	assert_int_equal(decision.decode, 3);
	assert_int_equal(decision.prefill.index, 2);
}

/* Callers ask for the rest of streams whose VM has ended, whose use still counts.
 * Guards against refusals of streams that new ones could replace, and against a
 * wait without end.
 */
static void test_resumed_streams_wait_for_room(void **state)
{
	admission_request_t request = late(12);
	admission_decision_t decision;
	fleet_t fleet;

	init(&fleet, 13);
	request.resumed = true;
	decision = admission_decide(&fleet.view, &request, NOW);
	assert_int_equal(decision.action, ADMISSION_WAIT);
	decision = admission_decide(&fleet.view, &request, request.give_up_us);
	assert_int_equal(decision.action, ADMISSION_REFUSE);
	assert_int_equal(decision.reason, ADMISSION_LATE);
	fleet.decodes[2].use = (occupancy_use_t){.streams = 0};
	request.ahead = 5;
	decision = admission_decide(&fleet.view, &request, NOW);
	assert_int_equal(decision.action, ADMISSION_START);
	assert_int_equal(decision.decode, 2);
	request.ahead = 13;
	decision = admission_decide(&fleet.view, &request, NOW);
	assert_int_equal(decision.action, ADMISSION_WAIT);
	for (size_t i = 0; i < ENGINES; i++)
		fleet.decodes[i].usable = false;
	decision = admission_decide(&fleet.view, &request, NOW);
	assert_int_equal(decision.action, ADMISSION_REFUSE);
}

/* A surge in which all slots are used. Guards against prefills that start
 * although no decode engine has a slot for them, and against requests that wait
 * although they cannot be on time.
 */
static void test_surge(void **state)
{
	static const struct {
		unsigned ahead;
		admission_action_t action;
	} cases[] = {
		/* 65 streams end in 3.5 s: a slot becomes free each 54 ms. */
		{0, ADMISSION_WAIT},	{5, ADMISSION_WAIT},
		{12, ADMISSION_WAIT},	{15, ADMISSION_REFUSE},
		{40, ADMISSION_REFUSE},
	};
	fleet_t fleet;

	init(&fleet, 13);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		admission_request_t request = on_time(cases[i].ahead);
		admission_decision_t decision =
			admission_decide(&fleet.view, &request, NOW);

		assert_int_equal(decision.action, cases[i].action);
		if (decision.action == ADMISSION_REFUSE)
			assert_int_equal(decision.reason, ADMISSION_FULL);
	}
}

/* Several VMs see one slot become free. Guards against two of them taking it:
 * only the request that is ahead of all others starts.
 */
static void test_one_free_slot_for_many(void **state)
{
	unsigned started = 0;
	fleet_t fleet;

	init(&fleet, 13);
	fleet.decodes[1].use.streams = 12;
	fleet.decodes[1].use.kv_tokens = 78000;
	for (unsigned ahead = 0; ahead < 8; ahead++) {
		admission_request_t request = on_time(ahead);

		if (admission_decide(&fleet.view, &request, NOW).action ==
		    ADMISSION_START)
			started++;
	}
	assert_int_equal(started, 1);
}

/* Long prompts fill the decode memory before the slots. Guards against streams
 * that need more memory than an engine has: running streams would be preempted
 * and their prompts read again.
 */
static void test_memory_limits(void **state)
{
	admission_request_t request = on_time(0);
	fleet_t fleet;

	init(&fleet, 8);
	for (size_t i = 0; i < ENGINES; i++)
		fleet.decodes[i].use.kv_tokens = 82000;
	assert_int_equal(admission_decide(&fleet.view, &request, NOW).action,
			 ADMISSION_WAIT);
	request.kv_tokens = 4000;
	assert_int_equal(admission_decide(&fleet.view, &request, NOW).action,
			 ADMISSION_START);
	request.kv_tokens = 200000;
	assert_int_equal(admission_decide(&fleet.view, &request, NOW).reason,
			 ADMISSION_TOO_LARGE);
}

/* Callers retry after a refusal while the surge goes on. Guards against late
 * requests that take slots from requests on time, and against an endless queue
 * of late requests.
 */
static void test_late_requests_leave_room(void **state)
{
	admission_request_t request = late(0);
	fleet_t fleet;

	init(&fleet, 6);
	assert_int_equal(admission_decide(&fleet.view, &request, NOW).action,
			 ADMISSION_START);
	init(&fleet, 12);
	assert_int_equal(admission_decide(&fleet.view, &request, NOW).action,
			 ADMISSION_WAIT);
	request = late(60);
	assert_int_equal(admission_decide(&fleet.view, &request, NOW).reason,
			 ADMISSION_FULL);
	request = late(0);
	assert_int_equal(admission_decide(&fleet.view, &request,
					  request.give_up_us)
				 .reason,
			 ADMISSION_LATE);
}

/* Prompts queue because prefill engines have left. Guards against late requests
 * that lengthen the queue until no request is on time.
 */
static void test_prefill_limits(void **state)
{
	admission_request_t request = late(0);
	fleet_t fleet;

	init(&fleet, 3);
	fleet.view.n_prefills = 1;
	fleet.prefills[0].backlog_tokens = 15000;
	assert_int_equal(admission_decide(&fleet.view, &request, NOW).action,
			 ADMISSION_WAIT);
	request = on_time(0);
	assert_int_equal(admission_decide(&fleet.view, &request, NOW).action,
			 ADMISSION_START);
	fleet.prefills[0].backlog_tokens = 1000;
	request = late(0);
	assert_int_equal(admission_decide(&fleet.view, &request, NOW).action,
			 ADMISSION_START);
}

/* Guards against requests that wait although a stage has no usable engine. */
static void test_no_engine(void **state)
{
	admission_request_t request = on_time(0);
	fleet_t fleet;

	init(&fleet, 0);
	fleet.view.n_prefills = 0;
	assert_int_equal(admission_decide(&fleet.view, &request, NOW).reason,
			 ADMISSION_NO_ENGINE);
	init(&fleet, 0);
	for (size_t i = 0; i < ENGINES; i++)
		fleet.decodes[i].usable = false;
	assert_int_equal(admission_decide(&fleet.view, &request, NOW).reason,
			 ADMISSION_NO_ENGINE);
}

/* For many seconds demand is a little above what the engines can serve, and
 * callers that were refused retry late. Guards against late requests that wait
 * for seconds while new requests take the slots, and are refused in the end;
 * and against refusing them in a lull, when they would get a slot.
 */
static void test_late_requests_wait_only_with_a_chance(void **state)
{
	static const struct {
		double arrivals_per_s;
		unsigned ahead;
		admission_action_t action;
	} cases[] = {
		{0, 30, ADMISSION_WAIT},    {12, 5, ADMISSION_WAIT},
		{20, 30, ADMISSION_REFUSE}, {100, 5, ADMISSION_REFUSE},
		{20, 0, ADMISSION_WAIT},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		admission_request_t request = on_time(cases[i].ahead);
		fleet_t fleet;

		print_message("case %zu\n", i);
		init(&fleet, 13);
		fleet.view.arrivals_per_s = cases[i].arrivals_per_s;
		request.urgency.late = true;
		request.give_up_us = NOW + 3000 * MS;
		assert_int_equal(
			admission_decide(&fleet.view, &request, NOW).action,
			cases[i].action);
	}
}

/* A zone is cut off from the others for seconds. Streams with an engine in
 * another zone break off then, so guards against a choice that leaves the own
 * zone while it has room, and against one that stays there when it is full.
 */
static void test_own_zone_first(void **state)
{
	admission_request_t request = on_time(0);
	admission_decision_t decision;
	fleet_t fleet;

	init(&fleet, 0);
	fleet.decodes[2].same_zone = true;
	fleet.decodes[2].use =
		(occupancy_use_t){.streams = 10, .kv_tokens = 60000};
	fleet.prefills[1].same_zone = true;
	fleet.prefills[1].backlog_tokens = 4000;
	decision = admission_decide(&fleet.view, &request, NOW);
	assert_int_equal(decision.action, ADMISSION_START);
	assert_int_equal(decision.decode, 2);
	assert_int_equal(decision.prefill.index, 1);
	fleet.decodes[2].use.kv_tokens = 99000;
	fleet.prefills[1].backlog_tokens = 15000;
	decision = admission_decide(&fleet.view, &request, NOW);
	assert_int_equal(decision.action, ADMISSION_START);
	assert_int_not_equal(decision.decode, 2);
	assert_int_not_equal(decision.prefill.index, 1);
}

/* Durations that are no usual numbers, and the largest of them. */
static const double odd_us[] = {INFINITY, NAN, 1e300, 1e19, 9.3e18};

/* The duration of an engine's prefills is infinite, not a number or beyond an int64_t.
 * Guards against an estimate that is negative and makes that engine the best one, and
 * against sums that overflow.
 */
static void test_odd_prefill_durations(void **state)
{
	for (size_t i = 0; i < 3 * G_N_ELEMENTS(odd_us); i++) {
		admission_request_t request = on_time(0);
		admission_prefill_choice_t choice;
		fleet_t fleet;

		print_message("case %zu\n", i);
		init(&fleet, 6);
		fleet.prefills[0].us_per_token = i % 3 == 1 ? 20
							    : odd_us[i / 3];
		fleet.prefills[0].fixed_us = i % 3 == 0 ? 0 : odd_us[i / 3];
		fleet.prefills[0].backlog_tokens = 20000;
		assert_true(admission_pick_prefill(
			&fleet.view, request.prompt_tokens, &choice));
		assert_int_not_equal(choice.index, 0);
		assert_int_equal(
			admission_decide(&fleet.view, &request, NOW).action,
			ADMISSION_START);
		fleet.view.n_prefills = 1;
		assert_true(admission_pick_prefill(
			&fleet.view, request.prompt_tokens, &choice));
		assert_in_range(choice.duration_us, DURATION_MAX_ESTIMATE_US,
				2 * DURATION_MAX_ESTIMATE_US);
		assert_in_range(choice.wait_us, 0, DURATION_MAX_ESTIMATE_US);
	}
}

/* The mean duration of a stream or of its hand-over is no usual number. Guards against
 * waits that are negative, by which a request that can't be on time waits, and against
 * sums that overflow.
 */
static void test_odd_mean_durations(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(odd_us); i++) {
		admission_request_t request = on_time(0);
		admission_decision_t decision;
		fleet_t fleet;

		print_message("case %zu\n", i);
		init(&fleet, 13);
		fleet.view.stream_us = odd_us[i];
		decision = admission_decide(&fleet.view, &request, NOW);
		assert_int_equal(decision.reason, ADMISSION_FULL);
		assert_int_equal(decision.wait_us, DURATION_MAX_ESTIMATE_US);
		request.urgency.late = true;
		decision = admission_decide(&fleet.view, &request, NOW);
		assert_int_equal(decision.reason, ADMISSION_FULL);
		init(&fleet, 13);
		fleet.view.hand_over_us = odd_us[i];
		assert_in_range(admission_first_event_us(&fleet.view, 5000),
				DURATION_MAX_ESTIMATE_US,
				2 * DURATION_MAX_ESTIMATE_US);
		request = on_time(0);
		assert_int_equal(
			admission_decide(&fleet.view, &request, NOW).reason,
			ADMISSION_FULL);
	}
}

/* The mean output of streams is no usual number. Guards against a usable memory that
 * is larger than the engine's.
 */
static void test_odd_mean_outputs(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(odd_us); i++) {
		admission_request_t request = on_time(0);
		fleet_t fleet;

		print_message("case %zu\n", i);
		init(&fleet, 6);
		fleet.view.stream.output_tokens = odd_us[i];
		if (isnan(odd_us[i]))
			fleet.view.stream.kv_tokens = NAN;
		assert_int_not_equal(
			admission_decide(&fleet.view, &request, NOW).action,
			ADMISSION_START);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_light_load),
		cmocka_unit_test(test_resumed_streams_wait_for_room),
		cmocka_unit_test(test_surge),
		cmocka_unit_test(test_one_free_slot_for_many),
		cmocka_unit_test(test_memory_limits),
		cmocka_unit_test(test_own_zone_first),
		cmocka_unit_test(test_late_requests_leave_room),
		cmocka_unit_test(test_prefill_limits),
		cmocka_unit_test(test_no_engine),
		cmocka_unit_test(test_late_requests_wait_only_with_a_chance),
		cmocka_unit_test(test_odd_prefill_durations),
		cmocka_unit_test(test_odd_mean_durations),
		cmocka_unit_test(test_odd_mean_outputs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
