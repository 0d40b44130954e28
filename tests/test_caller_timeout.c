#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "request/caller_timeout.h"

#define MS INT64_C(1000)

/* All callers have the same timeout. Guards against a retry that is mistaken
 * for a first attempt: it would be treated as still able to be on time.
 */
static void test_same_timeouts(void **state)
{
	caller_timeout_t timeout = {0};

	for (int i = 0; i < 50; i++)
		assert_int_equal(caller_timeout_elapsed_us(
					 &timeout, (13990 + i % 10) * MS),
				 0);
	assert_int_equal(caller_timeout_elapsed_us(&timeout, 13499 * MS),
			 500 * MS);
	assert_int_equal(caller_timeout_elapsed_us(&timeout, 9999 * MS),
			 4000 * MS);
	assert_int_equal(caller_timeout_elapsed_us(&timeout, 13999 * MS), 0);
}

/* The timeouts of callers differ by a seventh, as in larger deployments. Guards
 * against first attempts that are mistaken for retries: these would count as
 * late from the start.
 */
static void test_different_timeouts(void **state)
{
	caller_timeout_t timeout = {0};

	for (int i = 0; i < 200; i++)
		(void)caller_timeout_elapsed_us(&timeout,
						(12000 + i * 7919 % 2000) * MS);
	for (int i = 0; i < 200; i++)
		assert_int_equal(caller_timeout_elapsed_us(
					 &timeout, (12000 + i * 10) * MS),
				 0);
	assert_true(caller_timeout_elapsed_us(&timeout, 9000 * MS) > 4000 * MS);
}

/* Guards against one caller with an odd timeout, after which the first attempts of all
 * others count as retries.
 */
static void test_one_odd_timeout(void **state)
{
	caller_timeout_t timeout = {0};

	for (int i = 0; i < 50; i++)
		(void)caller_timeout_elapsed_us(&timeout, 14000 * MS);
	(void)caller_timeout_elapsed_us(&timeout, 3600000 * MS);
	for (int i = 0; i < 50; i++)
		assert_int_equal(
			caller_timeout_elapsed_us(&timeout, 14000 * MS), 0);
	assert_int_equal(caller_timeout_elapsed_us(&timeout, 10000 * MS),
			 4000 * MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_same_timeouts),
		cmocka_unit_test(test_different_timeouts),
		cmocka_unit_test(test_one_odd_timeout),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
