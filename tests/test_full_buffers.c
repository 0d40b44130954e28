/* Requests with bodies that do not fit into the buffers of a stopped server. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "support_stopped.h"

/* Guards against requests that end with 502 because the kernel gives a connection up whose
 * other side takes no more bytes for a moment, and that was in that state before.
 */
static void test_body_waits(void **state)
{
	static const stopped_case_t play = {
		.vms = 1,
		.stops = 4,
		.stop_ms = 1300,
		.after_stop_ms = 1500,
		.heartbeat_ms = 1200,
		.keep_alive_s = 60,
		.body_bytes = 200000,
		.receive_buffer_bytes = 4096,
		.event_ms = 40,
		.events = 40,
	};
	stopped_counts_t counts = stopped_play(&play);

	assert_int_equal(counts.lost, 0);
	assert_int_equal(counts.failed_ran, 0);
	assert_int_equal(counts.failed_unrun, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_body_waits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
