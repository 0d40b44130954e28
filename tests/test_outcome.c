/* Classification of a send by how it ended. A wrong result makes a request run
 * twice, or gives a caller the verdict not-run when it may have run.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>

#include "request/outcome.h"

/* How a send ended, and the expected classification. */
typedef struct {
	const char *name;
	outcome_input_t input;
	run_status_t run;
	/* Whether a retry is allowed, for requests of either kind. */
	bool retry_if_not_repeatable;
	bool retry_if_repeatable;
	outcome_answer_t answer;
} case_t;

static const case_t cases[] = {
	{"no connection",
	 {.end = CALL_NOT_SENT},
	 RUN_NOT_RUN,
	 true,
	 true,
	 OUTCOME_NOT_RUN},
	{"reset, or closed without an answer",
	 {.end = CALL_LOST},
	 RUN_MAY_HAVE_RUN,
	 false,
	 true,
	 OUTCOME_LOST},
	{"truncated response",
	 {.end = CALL_LOST, .status = 200, .has_signature = true},
	 RUN_MAY_HAVE_RUN,
	 false,
	 true,
	 OUTCOME_LOST},
	{"not HTTP",
	 {.end = CALL_MALFORMED},
	 RUN_MAY_HAVE_RUN,
	 false,
	 true,
	 OUTCOME_LOST},
	{"timeout",
	 {.timed_out = true},
	 RUN_MAY_HAVE_RUN,
	 false,
	 true,
	 OUTCOME_TIMED_OUT},
	{"503 that states it did not run",
	 {.status = 503, .not_run = true, .is_own = true},
	 RUN_NOT_RUN,
	 true,
	 true,
	 OUTCOME_NOT_RUN},
	{"503 that may be a copy of an earlier one",
	 {.status = 503, .not_run = true},
	 RUN_MAY_HAVE_RUN,
	 false,
	 true,
	 OUTCOME_LOST},
	{"429 that states it did not run",
	 {.status = 429, .not_run = true, .is_own = true},
	 RUN_NOT_RUN,
	 true,
	 true,
	 OUTCOME_NOT_RUN},
	{"421",
	 {.status = 421, .not_run = true, .is_own = true},
	 RUN_NOT_RUN,
	 true,
	 true,
	 OUTCOME_NOT_RUN},
	{"500",
	 {.status = 500, .has_signature = true},
	 RUN_RAN,
	 false,
	 true,
	 OUTCOME_PASS_ON},
	{"504",
	 {.status = 504, .has_signature = true},
	 RUN_RAN,
	 false,
	 true,
	 OUTCOME_PASS_ON},
	{"404 with signature",
	 {.status = 404, .has_signature = true},
	 RUN_RAN,
	 false,
	 false,
	 OUTCOME_PASS_ON},
	{"200",
	 {.status = 200, .has_signature = true},
	 RUN_RAN,
	 false,
	 false,
	 OUTCOME_PASS_ON},
	{"200 without signature",
	 {.status = 200},
	 RUN_MAY_HAVE_RUN,
	 false,
	 true,
	 OUTCOME_LOST},
};

/* Guards against a second send of a request that must not run twice, and
 * against a not-run verdict for a request that may have run.
 */
static void test_classification(void **state)
{
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const case_t *c = &cases[i];
		outcome_t not_repeatable = outcome_classify(&c->input, false);
		outcome_t repeatable = outcome_classify(&c->input, true);

		print_message("%s\n", c->name);
		assert_int_equal(not_repeatable.run, c->run);
		assert_int_equal(not_repeatable.may_retry,
				 c->retry_if_not_repeatable);
		assert_int_equal(repeatable.may_retry, c->retry_if_repeatable);
		assert_int_equal(not_repeatable.answer, c->answer);
		assert_int_equal(repeatable.answer, c->answer);
		/* The caller gets a not-run verdict only where that is certain.
		 */
		if (not_repeatable.answer == OUTCOME_NOT_RUN)
			assert_int_equal(not_repeatable.run, RUN_NOT_RUN);
	}
}

/* Guards against a status that tells the caller that its request has not run, when the
 * server has not stated that: the caller would send it again. Callers whose requests may be
 * repeated lose nothing by it, and 503 is retried for them.
 */
static void test_status_without_a_statement(void **state)
{
	static const unsigned statuses[] = {408, 429, 503};

	for (size_t i = 0; i < 4 * G_N_ELEMENTS(statuses); i++) {
		outcome_input_t input = {
			.status = statuses[i / 4],
			.is_own = i % 2,
			.has_signature = i / 2 % 2,
		};
		outcome_t once = outcome_classify(&input, false);
		outcome_t repeatable = outcome_classify(&input, true);

		assert_int_equal(once.run, RUN_MAY_HAVE_RUN);
		assert_int_equal(once.answer, OUTCOME_LOST);
		assert_false(once.may_retry);
		assert_int_equal(repeatable.run, RUN_RAN);
		assert_int_equal(repeatable.answer, OUTCOME_PASS_ON);
		assert_int_equal(repeatable.may_retry, input.status == 503);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_classification),
		cmocka_unit_test(test_status_without_a_statement),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
