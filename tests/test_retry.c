/* Retries must stay within the budget, apart in time and safe: too many of them
 * overload backend servers that already fail, and an unsafe one runs a request
 * twice.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "request/retry.h"

static const retry_backoff_t backoff = {
	.base_us = 10 * CLOCK_US_PER_MS,
	.limit_us = 100 * CLOCK_US_PER_MS,
};

/* Guards against more retries than the share of first sends. */
static void test_budget_share(void **state)
{
	retry_budget_t budget;
	int taken = 0;

	retry_budget_init(&budget, 0.1, 5);
	for (int i = 0; i < 1000; i++) {
		retry_budget_add_first_send(&budget);
		/* Two of three sends fail: more than the budget allows. */
		if (i % 3 != 0 && retry_budget_take(&budget))
			taken++;
	}
	/* The full bucket at the start, and a tenth of the sends. */
	assert_in_range(taken, 100, 105);
}

/* Guards against a burst of retries after a long time without failures, in
 * which first sends would fill the budget without limit.
 */
static void test_budget_capacity(void **state)
{
	retry_budget_t budget;
	int taken = 0;

	retry_budget_init(&budget, 0.5, 4);
	for (int i = 0; i < 1000; i++)
		retry_budget_add_first_send(&budget);
	while (retry_budget_take(&budget))
		taken++;
	assert_int_equal(taken, 4);
	retry_budget_set_share(&budget, 0);
	retry_budget_add_first_send(&budget);
	assert_false(retry_budget_take(&budget));
}

/* Guards against waits outside the bounds, and against equal waits, after which
 * requests that failed together would be sent again together.
 */
static void test_backoff(void **state)
{
	uint64_t seed = 1;

	for (unsigned retries = 0; retries < 70; retries++) {
		int64_t bound_us = retries < 4 ? (backoff.base_us << retries)
					       : backoff.limit_us;
		int64_t least_us = INT64_MAX, most_us = 0;

		for (int i = 0; i < 200; i++) {
			int64_t us = retry_backoff_us(&backoff, retries, &seed);

			least_us = MIN(least_us, us);
			most_us = MAX(most_us, us);
		}
		assert_true(least_us >= bound_us / 2);
		assert_true(most_us <= bound_us);
		assert_true(most_us - least_us > bound_us / 4);
	}
}

/* Guards against a retry of a request that may have run or was response_started, and
 * against retries that start at the deadline or later.
 */
static void test_decide(void **state)
{
	static const struct {
		const char *name;
		run_status_t run;
		bool repeatable;
		bool response_started;
		int64_t left_us; /* until the deadline */
		int64_t retry_in_us; /* asked for by the server; 0: none */
		double retries_left; /* in the budget */
		unsigned retries; /* made before */
		retry_action_t want;
	} cases[] = {
		{"not run", RUN_NOT_RUN, false, false, 1000000, 0, 9, 0,
		 RETRY_ALLOWED},
		{"may have run", RUN_MAY_HAVE_RUN, false, false, 1000000, 0, 9,
		 0, RETRY_NEVER},
		{"may have run, repeatable", RUN_MAY_HAVE_RUN, true, false,
		 1000000, 0, 9, 0, RETRY_ALLOWED},
		{"ran", RUN_RAN, true, false, 1000000, 0, 9, 0, RETRY_NEVER},
		{"answered", RUN_MAY_HAVE_RUN, true, true, 1000000, 0, 9, 0,
		 RETRY_NEVER},
		{"answered, not run", RUN_NOT_RUN, true, true, 1000000, 0, 9, 0,
		 RETRY_NEVER},
		{"budget empty", RUN_NOT_RUN, true, false, 1000000, 0, 0.9, 0,
		 RETRY_DENIED},
		{"unsafe before budget", RUN_MAY_HAVE_RUN, false, false,
		 1000000, 0, 0, 0, RETRY_NEVER},
		{"too often", RUN_NOT_RUN, true, false, 1000000, 0, 9, 3,
		 RETRY_NEVER},
		{"last one", RUN_NOT_RUN, true, false, 1000000, 0, 9, 2,
		 RETRY_ALLOWED},
		{"too late", RUN_NOT_RUN, true, false, 5000, 0, 9, 0,
		 RETRY_NEVER},
		{"told to wait", RUN_NOT_RUN, true, false, 1000000, 500000, 9,
		 0, RETRY_ALLOWED},
		{"told to wait too long", RUN_NOT_RUN, true, false, 1000000,
		 1000000, 9, 0, RETRY_NEVER},
	};
	const int64_t now_us = 77 * CLOCK_US_PER_S;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint64_t seed = i;
		retry_budget_t budget = {.retries_left = cases[i].retries_left,
					 .capacity = 10};
		retry_input_t input = {
			.verdict = {.run = cases[i].run},
			.repeatable = cases[i].repeatable,
			.response_started = cases[i].response_started,
			.retries = cases[i].retries,
			.max_retries = 3,
			.now_us = now_us,
			.deadline_us = now_us + cases[i].left_us,
		};
		retry_decision_t got;

		if (cases[i].retry_in_us)
			input.verdict.retry_at_us =
				now_us + cases[i].retry_in_us;
		got = retry_decide(&input, &backoff, &budget, &seed);
		if (got.action != cases[i].want)
			fail_msg("%s", cases[i].name);
		/* Only a retry that is made takes from the budget. */
		assert_true(budget.retries_left ==
			    cases[i].retries_left -
				    (got.action == RETRY_ALLOWED ? 1 : 0));
		if (got.action == RETRY_ALLOWED) {
			assert_true(got.at_us > now_us);
			assert_true(got.at_us < input.deadline_us);
			assert_true(got.at_us >= input.verdict.retry_at_us);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_budget_share),
		cmocka_unit_test(test_budget_capacity),
		cmocka_unit_test(test_backoff),
		cmocka_unit_test(test_decide),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
