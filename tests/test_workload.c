#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/decide/workload.h"
#include "process/str.h"

#define NOW (100 * CLOCK_US_PER_S)

/* Adds `count` prefills of an idle engine with these speeds. The prompts vary
 * between half and one and a half of the mean.
 */
static void add_prefills(workload_t *workload, int count, int64_t mean_tokens,
			 double fixed_us, double us_per_token)
{
	for (int i = 0; i < count; i++) {
		int64_t tokens = mean_tokens / 2 + mean_tokens * (i % 5) / 4;

		workload_observe_request(workload, NOW, tokens, 700);
		workload_observe_prefill(
			workload, NOW, tokens, 0,
			(int64_t)(fixed_us + (double)tokens * us_per_token));
	}
}

/* Engines of several speeds. Guards against a latency that counts as work: the
 * queue of an engine then seems half as long again as it is, and requests are
 * held to be late that are not.
 */
static void test_prefill_speed(void **state)
{
	static const struct {
		int64_t tokens;
		double fixed_us, us_per_token;
	} cases[] = {
		{3000, 46000, 31}, {3000, 140000, 93}, {3000, 15000, 10},
		{300, 46000, 31},  {20000, 0, 5},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		workload_t workload = {.updated_us = NOW};
		workload_prefill_t prefill = workload_prefill(&workload);

		assert_true(prefill.us_per_token == 0);
		add_prefills(&workload, 20, cases[i].tokens, cases[i].fixed_us,
			     cases[i].us_per_token);
		prefill = workload_prefill(&workload);
		/* At least a share of the duration counts as work. */
		if (cases[i].us_per_token * (double)cases[i].tokens <
		    cases[i].fixed_us / 2) {
			assert_true(prefill.us_per_token >
				    cases[i].us_per_token);
			continue;
		}
		assert_float_equal(prefill.fixed_us, cases[i].fixed_us, 500);
		assert_float_equal(prefill.us_per_token, cases[i].us_per_token,
				   0.5);
	}
}

/* Prompts that all queue from the start, as the stage has too few engines.
 * Guards against a speed that stays unknown, so that no engine is added.
 */
static void test_prefill_speed_of_a_full_queue(void **state)
{
	workload_t workload = {.updated_us = NOW};
	workload_prefill_t prefill;

	add_prefills(&workload, 3, 3000, 46000, 31);
	for (int i = 0; i < 50; i++) {
		workload_observe_request(&workload, NOW, 3000, 700);
		/* Three prompts wait; half of one is read. */
		workload_observe_prefill(&workload, NOW, 3000, 9000,
					 (int64_t)(10500 * 31.0));
	}
	prefill = workload_prefill(&workload);
	assert_float_equal(prefill.us_per_token, 31, 2);
}

/* Streams that are slower the more of them an engine has. Guards against stages
 * that are chosen by the pace of a nearly idle engine.
 */
static void test_pace_of_a_full_engine(void **state)
{
	workload_t workload = {.updated_us = NOW};

	assert_true(workload_full_stream_us(&workload, 10, 30) == 0);
	for (int i = 0; i < 100; i++) {
		int64_t streams = 1 + i % 6;

		workload_observe_request(&workload, NOW, 3000, 700);
		workload_observe_gap(&workload, NOW, 40000 + streams * 1000,
				     streams);
	}
	assert_float_equal(workload_stream_us(&workload, 10), 70 * 43500,
			   70 * 100);
	assert_float_equal(workload_full_stream_us(&workload, 10, 40),
			   70 * 80000, 70 * 4000);
}

/* A customer whose requests change. Guards against means that keep the old
 * sizes, and against a decision on stages from a handful of requests.
 */
static void test_old_observations_fade(void **state)
{
	workload_t workload = {.updated_us = NOW};
	int64_t now_us = NOW;

	for (int i = 0; i < 600; i++) {
		workload_observe_request(&workload, now_us, 5000, 100);
		now_us += CLOCK_US_PER_S / 10;
	}
	assert_false(workload_is_sufficient(&workload));
	for (int i = 0; i < 600; i++) {
		workload_observe_request(&workload, now_us, 200, 2000);
		now_us += CLOCK_US_PER_S / 10;
	}
	assert_in_range(workload_prompt_tokens(&workload), 200, 600);
	assert_in_range(workload_output_tokens(&workload), 1800, 2000);
}

/* Guards against one request whose stated sizes move the means of all by more than a fifth. */
static void test_one_odd_request(void **state)
{
	workload_t workload = {.updated_us = NOW};
	double prompt_tokens, us_per_token;

	add_prefills(&workload, 20, 3000, 46000, 31);
	prompt_tokens = workload_prompt_tokens(&workload);
	us_per_token = workload_prefill(&workload).us_per_token;
	workload_observe_request(&workload, NOW, 100000000, 100000000);
	workload_observe_prefill(&workload, NOW, 100000000, 0, 139000);
	assert_true(workload_prompt_tokens(&workload) < 1.21 * prompt_tokens);
	assert_true(workload_output_tokens(&workload) < 1.21 * 700);
	assert_float_equal(workload_prefill(&workload).us_per_token,
			   us_per_token, us_per_token * 0.2);
}

/* Guards against sums of another VM that no requests can have brought. */
static void test_odd_sums_are_invalid(void **state)
{
	workload_t workload = {.updated_us = NOW};

	add_prefills(&workload, 20, 3000, 46000, 31);
	assert_true(workload_is_valid(&workload));
	workload.sums[WORKLOAD_PROMPT_TOKENS] = 1e14;
	assert_false(workload_is_valid(&workload));
}

/* Guards against mean durations of another VM that no requests can have brought, up to
 * infinite ones, from which times are estimated.
 */
static void test_odd_mean_durations_are_invalid(void **state)
{
	static const struct {
		workload_sum_t sum, count;
	} cases[] = {
		{WORKLOAD_PREFILL_US, WORKLOAD_PREFILLS},
		{WORKLOAD_PREFILL_TOKENS_US, WORKLOAD_PREFILL_TOKENS},
		{WORKLOAD_QUEUED_US, WORKLOAD_QUEUED_TOKENS},
		{WORKLOAD_HAND_OVER_US, WORKLOAD_HAND_OVERS},
		{WORKLOAD_GAP_US, WORKLOAD_GAPS},
		{WORKLOAD_GAP_STREAMS_US, WORKLOAD_GAP_STREAMS},
	};
	static const double counts[] = {0, 5e-324, 1};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(counts); j++) {
			workload_t workload = {.updated_us = NOW};

			print_message("case %zu, %zu\n", i, j);
			workload.sums[WORKLOAD_PREFILLS] = 1;
			workload.sums[cases[i].count] = counts[j];
			assert_true(workload_is_valid(&workload));
			workload.sums[cases[i].sum] = 1e15;
			assert_false(workload_is_valid(&workload));
		}
	}
}

/* A VM that was suspended for a day measures the day as the duration of whatever was in
 * progress. Guards against a mean that makes the other VMs drop its announcements, and
 * against durations that are negative.
 */
static void test_longest_durations_are_valid(void **state)
{
	static const int64_t durations_us[] = {INT64_C(24) * 3600 *
						       CLOCK_US_PER_S,
					       3600 * CLOCK_US_PER_S,
					       CLOCK_US_PER_S,
					       -CLOCK_US_PER_S,
					       INT64_MIN,
					       INT64_MAX};

	for (size_t i = 0; i < G_N_ELEMENTS(durations_us); i++) {
		workload_t workload = {.updated_us = NOW};
		int64_t us = durations_us[i];

		print_message("case %zu\n", i);
		workload_observe_request(&workload, NOW, 100, 700);
		workload_observe_prefill(&workload, NOW, 100, 0, us);
		workload_observe_prefill(&workload, NOW, 100, 100, us);
		workload_observe_hand_over(&workload, NOW, us);
		workload_observe_gap(&workload, NOW, us, 4);
		workload_decay(&workload, NOW + 7 * CLOCK_US_PER_S);
		assert_true(workload_is_valid(&workload));
	}
}

/* A service has no requests for hours, or its VM is suspended meanwhile, so that the sums
 * become as small as a double can be. Guards against sums that other VMs refuse, with
 * the whole announcement, and against means that change while nothing is observed.
 */
static void test_sums_of_an_idle_service(void **state)
{
	static const int64_t steps_us[] = {
		100 * CLOCK_US_PER_MS, CLOCK_US_PER_S, 7000 * CLOCK_US_PER_S};
	const int64_t end_us = NOW + 15200 * CLOCK_US_PER_S;

	for (size_t i = 0; i < G_N_ELEMENTS(steps_us); i++) {
		workload_t workload = {.updated_us = NOW};
		double tokens;

		print_message("case %zu\n", i);
		add_prefills(&workload, 20, 3000, 46000, 31);
		workload_observe_hand_over(&workload, NOW, 20000);
		workload_observe_gap(&workload, NOW, 20000, 4);
		tokens = workload_prompt_tokens(&workload);
		for (int64_t us = NOW; us < end_us; us += steps_us[i]) {
			double mean;

			workload_decay(&workload, us);
			mean = workload_prompt_tokens(&workload);
			assert_true(workload_is_valid(&workload));
			assert_true(mean == 0 ||
				    fabs(mean - tokens) < tokens / 100);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_odd_request),
		cmocka_unit_test(test_odd_sums_are_invalid),
		cmocka_unit_test(test_odd_mean_durations_are_invalid),
		cmocka_unit_test(test_longest_durations_are_valid),
		cmocka_unit_test(test_sums_of_an_idle_service),
		cmocka_unit_test(test_prefill_speed),
		cmocka_unit_test(test_prefill_speed_of_a_full_queue),
		cmocka_unit_test(test_pace_of_a_full_engine),
		cmocka_unit_test(test_old_observations_fade),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
