#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/throttle.h"

#define S INT64_C(1000000)

/* Guards against a process that exceeds its share of the platform's rate. */
static void test_bucket_limits_the_rate(void **unused)
{
	bucket_t bucket;
	int64_t now_us = 5 * S;
	int taken = 0;

	bucket_init(&bucket, 10, 20, now_us);
	for (int i = 0; i < 10000; i++) {
		now_us += S / 1000;
		taken += bucket_take(&bucket, now_us);
	}
	/* The burst and ten seconds of the rate. */
	assert_in_range(taken, 119, 120);
	while (bucket_take(&bucket, now_us))
		;
	assert_false(
		bucket_take(&bucket, bucket_ready_at_us(&bucket, now_us) - 5));
	assert_true(bucket_take(&bucket, bucket_ready_at_us(&bucket, now_us)));
}

static int64_t open_breaker(breaker_t *breaker, int64_t now_us)
{
	for (int i = 0; i < BREAKER_FAILURES; i++) {
		assert_true(breaker_allow(breaker, now_us));
		breaker_record_failure(breaker, now_us);
	}
	assert_false(breaker_allow(breaker, now_us));
	return breaker_ready_at_us(breaker, now_us);
}

/* Guards against a crowd of calls while the platform is recovering. */
static void test_one_probe_at_a_time(void **unused)
{
	breaker_t breaker;
	int64_t now_us;

	breaker_init(&breaker, 1);
	now_us = open_breaker(&breaker, S);
	assert_true(breaker_allow(&breaker, now_us));
	assert_false(breaker_allow(&breaker, now_us + 60 * S));
	breaker_record_failure(&breaker, now_us);
	assert_false(breaker_allow(&breaker, now_us));
	now_us = breaker_ready_at_us(&breaker, now_us);
	assert_true(breaker_allow(&breaker, now_us));
	breaker_record_cancelled(&breaker);
	assert_true(breaker_allow(&breaker, now_us));
	breaker_record_success(&breaker);
	for (int i = 0; i < 10; i++)
		assert_true(breaker_allow(&breaker, now_us));
}

/* Guards against a VM that stays away for long after a long outage, and
 * against VMs that come back all at once.
 */
static void test_waits_are_bounded_and_jittered(void **unused)
{
	int64_t first = 0;
	bool differ = false;

	for (uint64_t seed = 1; seed <= 50; seed++) {
		breaker_t breaker;
		int64_t now_us;
		int64_t wait_us = 0;

		breaker_init(&breaker, seed);
		now_us = open_breaker(&breaker, S);
		for (int i = 0; i < 100; i++) {
			assert_true(breaker_allow(&breaker, now_us));
			breaker_record_failure(&breaker, now_us);
			wait_us =
				breaker_ready_at_us(&breaker, now_us) - now_us;
			assert_true(wait_us <= BREAKER_OPEN_MAX_US);
			now_us += wait_us;
		}
		assert_true(wait_us >= BREAKER_OPEN_MAX_US / 2);
		differ |= first != 0 && wait_us != first;
		first = wait_us;
	}
	assert_true(differ);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bucket_limits_the_rate),
		cmocka_unit_test(test_one_probe_at_a_time),
		cmocka_unit_test(test_waits_are_bounded_and_jittered),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
