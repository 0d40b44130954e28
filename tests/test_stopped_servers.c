/* Requests at sound servers whose process is stopped for a second or so. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "support_stopped.h"

/* Plays a case, and checks that no request that a server ran was cut, that none was closed
 * without an answer, and that what the callers got holds.
 */
static stopped_counts_t check_none_lost(const stopped_case_t *play)
{
	stopped_counts_t counts = stopped_play(play);

	assert_true(counts.silent > 0);
	assert_int_equal(counts.lost, 0);
	assert_int_equal(counts.cut_unrun, 0);
	assert_int_equal(counts.refused_ran, 0);
	assert_int_equal(counts.twice, 0);
	assert_int_equal(counts.wrong, 0);
	assert_int_equal(counts.other, 0);
	assert_true(counts.whole * 2 > counts.sent);
	return counts;
}

/* Guards against requests that are cut because all servers are silent while the
 * configuration and the settings are read again, or because a server closes a connection
 * whose idle time has ended while it was stopped, with a request on it.
 */
static void test_all_servers(void **state)
{
	static const stopped_case_t play = {
		.vms = 1,
		.stops = 2,
		.stop_ms = 1300,
		.after_stop_ms = 1500,
		.in_series = true,
		.hang_up = true,
		.heartbeat_ms = 1200,
		.keep_alive_s = 1,
		.event_ms = 40,
		.events = 100,
	};

	(void)check_none_lost(&play);
}

/* Guards against streams that end beside an order to change the stage of an engine, when
 * engines are silent and those that answer are full.
 */
static void test_some_servers_and_orders(void **state)
{
	static const stopped_case_t play = {
		.vms = 1,
		.stops = 2,
		.stop_ms = 1300,
		.after_stop_ms = 1500,
		.only_some = true,
		.heartbeat_ms = 1200,
		.few_decodes = true,
		.keep_alive_s = 5,
		.slots = 6,
		.handle_ms = 500,
		.event_ms = 40,
		.events = 100,
	};

	assert_true(check_none_lost(&play).orders > 0);
}

/* Guards against streams that end because the rows of their engines have lapsed. */
static void test_rows_lapse(void **state)
{
	static const stopped_case_t play = {
		.vms = 1,
		.stops = 1,
		.stop_ms = 1300,
		.after_stop_ms = 1500,
		.in_series = true,
		.heartbeat_ms = 300,
		.rows_lapse = true,
		.keep_alive_s = 5,
		.event_ms = 40,
		.events = 100,
	};

	(void)check_none_lost(&play);
}

/* Guards against requests that are cut after they were passed on to another VM, with long
 * pauses between the events of streams.
 */
static void test_passed_on(void **state)
{
	static const stopped_case_t play = {
		.vms = 3,
		.cut_vm = true,
		.stops = 2,
		.stop_ms = 1300,
		.after_stop_ms = 1500,
		.in_series = true,
		.heartbeat_ms = 1200,
		.keep_alive_s = 5,
		.event_ms = 700,
		.events = 6,
	};

	assert_true(check_none_lost(&play).passed_on > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_servers),
		cmocka_unit_test(test_some_servers_and_orders),
		cmocka_unit_test(test_rows_lapse),
		cmocka_unit_test(test_passed_on),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
