#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "request/caller_timeout.h"

#define MS INT64_C(1000)

/* Pattern: all callers wait equally long. Guards against a caller that came
 * back and is taken for a new one, which can still be on time.
 */
static void test_equal(void **state)
{
	caller_timeout_t patience = {0};

	for (int i = 0; i < 50; i++)
		assert_int_equal(caller_timeout_elapsed_us(
					 &patience, (13990 + i % 10) * MS),
				 0);
	assert_int_equal(caller_timeout_elapsed_us(&patience, 13499 * MS),
			 500 * MS);
	assert_int_equal(caller_timeout_elapsed_us(&patience, 9999 * MS),
			 4000 * MS);
	assert_int_equal(caller_timeout_elapsed_us(&patience, 13999 * MS), 0);
}

/* Pattern: callers differ by a seventh (seen on the grown deployments). Guards
 * against first attempts that count as late from the start.
 */
static void test_different(void **state)
{
	caller_timeout_t patience = {0};

	for (int i = 0; i < 200; i++)
		(void)caller_timeout_elapsed_us(&patience,
						(12000 + i * 7919 % 2000) * MS);
	for (int i = 0; i < 200; i++)
		assert_int_equal(caller_timeout_elapsed_us(
					 &patience, (12000 + i * 10) * MS),
				 0);
	assert_true(caller_timeout_elapsed_us(&patience, 9000 * MS) >
		    4000 * MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_equal),
		cmocka_unit_test(test_different),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
