#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/decide/drain.h"
#include "process/decide/stage_balance.h"

/* Pattern: nine engines start as four and five, decode is full in each surge.
 * Guards against stages that do not follow the work, against changes for small
 * differences under load, and against a stage without engines.
 */
static void test_balance(void **state)
{
	static const struct {
		unsigned prefills, decodes;
		double prefill_us, decode_us;
		bool loaded;
		int moves;
	} cases[] = {
		{4, 5, 110000, 292000, false, 1},
		{3, 6, 110000, 292000, false, 0},
		{11, 19, 110000, 420000, false, 4},
		{3, 6, 110000, 230000, true, 0},
		{4, 5, 110000, 292000, true, 0},
		/* Two of three prefill engines have left. */
		{1, 6, 110000, 292000, true, -1},
		{1, 1, 500000, 1000, false, 0},
		{2, 0, 110000, 292000, false, 1},
		{1, 0, 110000, 292000, false, 0},
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
		assert_int_equal(stage_balance_moves(&balance), cases[i].moves);
	}
}

/* Guards against a stream that begins when it can no longer end (found by
 * hunts: a zone of few VMs goes on sending after the balancer has left), and
 * against a process that ends before the balancer has left.
 */
static void test_drain(void **state)
{
	table_route_t stream = {.kind = CALL_STREAM};
	table_route_t plain = {.kind = CALL_ONCE};
	int64_t start = 100 * CLOCK_US_PER_S;
	drain_t drain = {0};

	assert_true(drain_accepts(&drain, &stream, start));
	assert_int_equal(drain_next(&drain, 0, start), DRAIN_GO_ON);
	drain_start(&drain, start, start + 8 * CLOCK_US_PER_S);
	assert_true(drain_accepts(&drain, &stream, start + CLOCK_US_PER_S));
	assert_int_equal(drain_next(&drain, 0, start + CLOCK_US_PER_S),
			 DRAIN_GO_ON);
	assert_false(
		drain_accepts(&drain, &stream, start + 3 * CLOCK_US_PER_S));
	assert_true(drain_accepts(&drain, &plain, start + 3 * CLOCK_US_PER_S));
	assert_int_equal(drain_next(&drain, 3, start + 3 * CLOCK_US_PER_S),
			 DRAIN_CLOSE_IDLE);
	assert_int_equal(drain_next(&drain, 0, start + 3 * CLOCK_US_PER_S),
			 DRAIN_STOP);
	assert_false(drain_accepts(&drain, &plain, start + 7 * CLOCK_US_PER_S));
	assert_int_equal(drain_next(&drain, 3, start + 7800 * CLOCK_US_PER_MS),
			 DRAIN_STOP);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_balance),
		cmocka_unit_test(test_drain),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
