/* Engines that fall silent, whose rows lapse, and that are back a second later. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "support_stopped.h"

/* Guards against VMs that go on to refuse streams when the rows of all engines are back,
 * because each has told the others that the engines have left.
 */
static void test_streams_begin_again(void **state)
{
	static const stopped_case_t play = {
		.vms = 2,
		.stops = 1,
		.stop_ms = 1300,
		.after_stop_ms = 3000,
		.heartbeat_ms = 300,
		.rows_lapse = true,
		.keep_alive_s = 5,
		.event_ms = 40,
		.events = 100,
	};
	stopped_counts_t counts = stopped_play(&play);

	assert_int_equal(counts.lost, 0);
	assert_int_equal(counts.refused_later, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_streams_begin_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
