#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>

#include "process/clock.h"
#include "process/decide/admission.h"
#include "process/decide/drain.h"
#include "process/decide/stage_balance.h"
#include "process/decide/stage_choice.h"
#include "process/decide/stage_round.h"

/* Guards against a division of the engines between the stages that does not
 * follow the work, as when four of nine engines do prefill while decode is full
 * in each surge; against changes for small differences under load; against a
 * lasting lack of engines in the smaller stage; and against a stage without
 * engines.
 */
static void test_balance(void **state)
{
	static const struct {
		unsigned prefills, decodes;
		double prefill_us, decode_us;
		bool loaded;
		int stage_changes;
	} cases[] = {
		{4, 5, 110000, 292000, false, 1},
		{3, 6, 110000, 292000, false, 0},
		{11, 19, 110000, 420000, false, 4},
		{3, 6, 110000, 230000, true, 0},
		{4, 5, 110000, 292000, true, 0},
		/* Two of three prefill engines have left. */
		{1, 6, 110000, 292000, true, -1},
		/* Nearly half of the prefill engines of a large fleet lack. */
		{4, 26, 110000, 420000, true, -3},
		{6, 24, 110000, 420000, true, 0},
		{9, 21, 110000, 420000, true, 0},
		{1, 1, 500000, 1000, false, 0},
		{2, 0, 110000, 292000, false, 1},
		{1, 0, 110000, 292000, false, 0},
		/* The work of a request is not known. */
		{3, 6, INFINITY, 292000, false, 0},
		{3, 6, INFINITY, INFINITY, true, 0},
		{3, 6, NAN, 292000, false, 0},
		{3, 6, 110000, INFINITY, false, 0},
		{3, 6, 110000, NAN, true, 0},
		{0, 8, INFINITY, NAN, true, -2},
		{0, 0, 110000, 292000, false, 0},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		stage_balance_t balance = {
			.prefills = cases[i].prefills,
			.decodes = cases[i].decodes,
			.prefill_us = cases[i].prefill_us,
			.decode_us = cases[i].decode_us,
			.loaded = cases[i].loaded,
		};

		print_message("case %zu\n", i);
		assert_int_equal(stage_balance_changes(&balance),
				 cases[i].stage_changes);
	}
}

/* Decode engines whose memory fits fewer streams than they have slots, and
 * which are full in each surge. Guards against idle prefill engines because the
 * margin of the decode memory is not counted. At the rate that the decode
 * engines can take, the prefill engines must be able to read all prompts, and
 * there may be no more of them than a quarter and two engines above that.
 */
static void test_balance_counts_usable_memory(void **state)
{
	static const int64_t memories[] = {40000, 61590, 100125, 400000};
	const double prefill_us = 5000 * 22.0, stream_us = 3500000;

	for (size_t i = 0; i < sizeof(memories) / sizeof(memories[0]); i++) {
		admission_stream_t stream = {.prompt_tokens = 5000,
					     .output_tokens = 4400,
					     .kv_tokens = 7200};
		double share = admission_stream_share(12, memories[i], &stream);
		stage_balance_t balance = {
			.prefills = 15,
			.decodes = 15,
			.prefill_us = prefill_us,
			.decode_us = stream_us * share,
		};
		int prefills = 15 - stage_balance_changes(&balance);
		double streams_per_us = (30 - prefills) / (stream_us * share);
		double needed = streams_per_us * prefill_us;

		print_message("memory %d: %d prefill, %.1f needed\n",
			      (int)memories[i], prefills, needed);
		assert_true(share >= 1.0 / 12);
		assert_true(prefills >= needed);
		assert_true(prefills <= 1.25 * needed + 2);
	}
}

/* Engines of several zones with streams in progress. Guards against a zone that
 * loses all engines of a stage while others keep several, against an order for
 * an engine that cannot be reached, and against a choice whose cost grows with
 * the square of the number of engines: with 3,000 engines that took minutes.
 */
static void test_choice(void **state)
{
	stage_candidate_t few[] = {
		{.zone = 0, .streams = 1, .usable = true},
		{.zone = 0, .streams = 0, .usable = false},
		{.zone = 0, .streams = 9, .usable = true},
		{.zone = 1, .streams = 0, .usable = true},
		{.zone = 2, .streams = 0, .usable = true},
		{.zone = 2, .streams = 3, .usable = true},
	};
	stage_candidate_t *many = g_new0(stage_candidate_t, 3000);
	unsigned chosen[17] = {0};
	int64_t start_us = g_get_monotonic_time();

	stage_choose(few, 6, 3, 2);
	assert_true(few[0].chosen && few[4].chosen);
	assert_false(few[1].chosen || few[2].chosen || few[3].chosen);
	for (size_t i = 0; i < 3000; i++)
		many[i] = (stage_candidate_t){
			.zone = i % 17, .streams = i % 7, .usable = true};
	stage_choose(many, 3000, 17, 1000);
	for (size_t i = 0; i < 3000; i++)
		chosen[many[i].zone] += many[i].chosen ? 1 : 0;
	for (size_t zone = 0; zone < 17; zone++)
		assert_in_range(chosen[zone], 1000 / 17 - 1, 1000 / 17 + 2);
	assert_true(g_get_monotonic_time() - start_us < CLOCK_US_PER_S);
	g_free(many);
}

/* Thirty engines enter the list within three seconds, and traffic begins ten
 * seconds later. Guards against a round that begins before the list is
 * complete: it changes too few engines, and the next round comes under load.
 * Eleven of thirty engines then did prefill where eight were wanted.
 */
static void test_round_waits_for_the_list(void **state)
{
	stage_round_state_t round = {.jitter_us = 100 * CLOCK_US_PER_MS};
	stage_round_view_t view = {.stage_changes = 1, .first = true};
	int64_t now_us = 100 * CLOCK_US_PER_S;

	view.last_added_us = now_us;
	assert_false(stage_round_is_due(&round, &view, now_us));
	now_us += 1200 * CLOCK_US_PER_MS;
	view.last_added_us = now_us;
	view.stage_changes = 2;
	assert_false(stage_round_is_due(&round, &view, now_us));
	now_us += 1200 * CLOCK_US_PER_MS;
	view.last_added_us = now_us;
	view.stage_changes = 3;
	assert_false(stage_round_is_due(&round, &view,
					now_us + 1600 * CLOCK_US_PER_MS));
	assert_true(stage_round_is_due(&round, &view,
				       now_us + 1700 * CLOCK_US_PER_MS));
}

/* Guards against a round of orders because of engines that crash and restart,
 * against engines that stay idle after others have left as planned, and against
 * a second round while the first one is carried out.
 */
static void test_round_under_load(void **state)
{
	int64_t now_us = 100 * CLOCK_US_PER_S;
	stage_round_state_t round = {0};
	stage_round_view_t view = {.stage_changes = -1,
				   .last_added_us = now_us,
				   .no_round_before_us =
					   now_us + 10 * CLOCK_US_PER_S};

	assert_false(stage_round_is_due(&round, &view, now_us));
	assert_false(
		stage_round_is_due(&round, &view, now_us + 9 * CLOCK_US_PER_S));
	assert_true(stage_round_is_due(&round, &view,
				       now_us + 10 * CLOCK_US_PER_S));
	view.stage_changes = 0;
	assert_false(stage_round_is_due(&round, &view,
					now_us + 11 * CLOCK_US_PER_S));
	view.stage_changes = -1;
	assert_false(stage_round_is_due(&round, &view,
					now_us + 12 * CLOCK_US_PER_S));
	assert_false(stage_round_is_due(&round, &view,
					now_us + 17 * CLOCK_US_PER_S));
	view.last_leaving_us = now_us + 16 * CLOCK_US_PER_S;
	assert_true(stage_round_is_due(&round, &view,
				       now_us + 17 * CLOCK_US_PER_S));
}

/* Guards against a service whose stages are in balance keeping another service
 * from its round.
 */
static void test_rounds_of_two_services(void **state)
{
	int64_t now_us = 100 * CLOCK_US_PER_S;
	stage_round_state_t balanced = {0}, unbalanced = {0};
	stage_round_view_t none = {0}, some = {.stage_changes = 2};

	assert_false(stage_round_is_due(&unbalanced, &some, now_us));
	for (int i = 0; i < 7; i++) {
		now_us += CLOCK_US_PER_S;
		assert_false(stage_round_is_due(&balanced, &none, now_us));
	}
	assert_true(stage_round_is_due(&unbalanced, &some, now_us));
}

/* Returns whether a request is accepted some time after SIGTERM. */
static bool accepts(const drain_t *drain, int64_t after_ms, int64_t timeout_ms)
{
	int64_t now_us = drain->started_us + after_ms * CLOCK_US_PER_MS;

	return drain_accepts(drain, now_us + timeout_ms * CLOCK_US_PER_MS,
			     now_us);
}

/* Guards against accepting a request that can last until after the process is
 * killed, as requests still arrive in a zone of few VMs after the load
 * balancer should have stopped sending them; and against a process that exits
 * before the load balancer has stopped.
 */
static void test_drain(void **state)
{
	const int64_t stream_ms = 14000;
	const int64_t plain_ms = 800;
	const int64_t slow_plain_ms = 1500;
	int64_t start = 100 * CLOCK_US_PER_S;
	drain_t drain = {0};

	assert_true(drain_accepts(&drain, start + 60 * CLOCK_US_PER_S, start));
	assert_int_equal(drain_next(&drain, 0, start), DRAIN_CONTINUE);
	drain_start(&drain, start, start + 8 * CLOCK_US_PER_S);
	assert_true(accepts(&drain, 1000, stream_ms));
	assert_int_equal(drain_next(&drain, 0, start + CLOCK_US_PER_S),
			 DRAIN_CONTINUE);
	assert_false(accepts(&drain, 3000, stream_ms));
	assert_true(accepts(&drain, 3000, plain_ms));
	assert_int_equal(drain_next(&drain, 3, start + 3 * CLOCK_US_PER_S),
			 DRAIN_CLOSE_IDLE);
	assert_int_equal(drain_next(&drain, 0, start + 3 * CLOCK_US_PER_S),
			 DRAIN_STOP);
	assert_true(accepts(&drain, 5500, slow_plain_ms));
	assert_false(accepts(&drain, 6200, slow_plain_ms));
	assert_true(accepts(&drain, 6200, plain_ms));
	assert_false(accepts(&drain, 7000, plain_ms));
	assert_int_equal(drain_next(&drain, 3, start + 7800 * CLOCK_US_PER_MS),
			 DRAIN_STOP);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_balance),
		cmocka_unit_test(test_balance_counts_usable_memory),
		cmocka_unit_test(test_choice),
		cmocka_unit_test(test_round_waits_for_the_list),
		cmocka_unit_test(test_round_under_load),
		cmocka_unit_test(test_rounds_of_two_services),
		cmocka_unit_test(test_drain),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
