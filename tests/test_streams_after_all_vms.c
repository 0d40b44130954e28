/* Streams whose callers ask for the rest after all VMs were lost at once, while
 * model engines of two versions of their software serve, or served: the memory of
 * the VMs is gone, and a stream still goes on only at the version that began it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "support_tcp_stub.h"
#include "support_versions.h"

/* The time in which a stream that has begun must be safe from the loss of all
 * VMs: a quarter of the mean length of a stream, 3.5 s, so that three quarters
 * of the streams go on whenever all VMs are lost.
 */
#define RECORDED_MS 875

/* Traffic begins so long after the first start of a deployment. */
#define SETTLED_MS 3000

/* Longest time until a stream that cannot go on is refused. */
#define REFUSAL_US (1500 * CLOCK_US_PER_MS)

/* Starts VMs with two versions of engines, and streams. */
static void begin(versions_fixture_t *fixture, const char *const *software)
{
	versions_start(fixture, VERSIONS_VMS, VERSIONS_ENGINES, software);
	support_run_loop_ms(SETTLED_MS);
	versions_begin_streams(fixture, 0);
	support_run_loop_ms(RECORDED_MS);
}

/* Guards against streams that are refused, or joined from two versions, as all VMs
 * that knew their version were lost.
 */
static void test_both_versions_serve(void **state)
{
	static versions_fixture_t fixture; /* outlives a failure */

	begin(&fixture, versions_two);
	versions_lose_all_vms(&fixture);
	versions_start_all_vms(&fixture);
	versions_await_vms(&fixture);
	versions_ask_for_the_rest(&fixture, 1);
	versions_assert_all_went_on(&fixture);
	versions_stop_after(&fixture, 0);
}

/* Guards against a guess by VMs that have never seen the other version, as its
 * engines left while no VM ran.
 */
static void test_version_left_meanwhile(void **state)
{
	static versions_fixture_t fixture; /* outlives a failure */
	unsigned refused = 0;

	begin(&fixture, versions_two);
	versions_lose_all_vms(&fixture);
	versions_remove(&fixture, "v1");
	versions_start_all_vms(&fixture);
	versions_await_vms(&fixture);
	versions_ask_for_the_rest(&fixture, 1);
	assert_int_equal(versions_count_mixed(&fixture), 0);
	assert_int_equal(versions_count_status(&fixture, 200),
			 fixture.engines[1].started +
				 fixture.engines[3].started);
	for (unsigned i = 0; i < VERSIONS_STREAMS; i++) {
		const versions_attempt_t *attempt = &fixture.second[i];

		refused +=
			attempt->status == 503 &&
					attempt->ended_us - attempt->sent_us <
						REFUSAL_US
				? 1
				: 0;
	}
	assert_int_equal(refused, fixture.engines[0].started +
					  fixture.engines[2].started);
	versions_stop_after(&fixture, 0);
}

/* Guards against a guess while the store is silent, and streams that are lost for
 * good by it.
 */
static void test_store_silent(void **state)
{
	static versions_fixture_t fixture; /* outlives a failure */

	begin(&fixture, versions_two);
	fixture.store.silent = true;
	versions_lose_all_vms(&fixture);
	versions_start_all_vms(&fixture);
	support_run_loop_ms(500);
	versions_ask_for_the_rest(&fixture, 1);
	assert_int_equal(versions_count_status(&fixture, 503),
			 VERSIONS_STREAMS);
	support_run_loop_ms(2500);
	fixture.store.silent = false;
	versions_await_vms(&fixture);
	versions_ask_for_the_rest(&fixture, 1);
	versions_assert_all_went_on(&fixture);
	versions_stop_after(&fixture, 0);
}

/* Guards against a store that comes back from a copy of the time when only one
 * version served, and is taken for the present.
 */
static void test_store_older(void **state)
{
	static versions_fixture_t fixture; /* outlives a failure */
	int64_t version;

	versions_start(&fixture, VERSIONS_VMS, VERSIONS_ENGINES, versions_two);
	fixture.store.era = 1;
	versions_remove(&fixture, "v1");
	support_run_loop_ms(2000);
	version = fixture.store.version;
	versions_list(&fixture, "v1");
	versions_await_vms(&fixture);
	versions_begin_streams(&fixture, 0);
	support_run_loop_ms(RECORDED_MS);
	versions_lose_all_vms(&fixture);
	fake_store_restore(&fixture.store, version);
	fixture.listed = 3;
	versions_start_all_vms(&fixture);
	versions_await_vms(&fixture);
	versions_ask_for_the_rest(&fixture, 1);
	assert_int_equal(versions_count_mixed(&fixture), 0);
	assert_int_equal(versions_count_status(&fixture, 200) +
				 versions_count_status(&fixture, 503),
			 VERSIONS_STREAMS);
	versions_stop_after(&fixture, 0);
}

/* Guards against a record that VMs which have just started write over: all VMs are
 * lost twice before callers ask.
 */
static void test_lost_twice(void **state)
{
	static versions_fixture_t fixture; /* outlives a failure */

	begin(&fixture, versions_two);
	versions_lose_all_vms(&fixture);
	versions_start_all_vms(&fixture);
	versions_await_vms(&fixture);
	support_run_loop_ms(3000);
	versions_lose_all_vms(&fixture);
	versions_start_all_vms(&fixture);
	versions_await_vms(&fixture);
	versions_ask_for_the_rest(&fixture, 2);
	versions_assert_all_went_on(&fixture);
	versions_stop_after(&fixture, 0);
}

/* Guards against refusals where nothing is uncertain: only one version has served
 * since the first start.
 */
static void test_only_one_version(void **state)
{
	static versions_fixture_t fixture; /* outlives a failure */

	begin(&fixture, versions_one);
	versions_lose_all_vms(&fixture);
	versions_start_all_vms(&fixture);
	versions_await_vms(&fixture);
	versions_ask_for_the_rest(&fixture, 1);
	versions_assert_all_went_on(&fixture);
	versions_stop_after(&fixture, 0);
}

/* Guards against refusals by a VM that takes a request in its first moments, before
 * it has learned anything.
 */
static void test_asked_at_once(void **state)
{
	static versions_fixture_t fixture; /* outlives a failure */

	begin(&fixture, versions_two);
	versions_lose_connections(&fixture);
	versions_vm_stop(&fixture, 1);
	versions_vm_start(&fixture, 1);
	assert_true(support_run_loop_until(versions_has_configuration,
					   &fixture.vms[1], VERSIONS_WAIT_MS));
	versions_ask_for_the_rest(&fixture, 1);
	versions_assert_all_went_on(&fixture);
	versions_stop_after(&fixture, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_both_versions_serve),
		cmocka_unit_test(test_version_left_meanwhile),
		cmocka_unit_test(test_store_silent),
		cmocka_unit_test(test_store_older),
		cmocka_unit_test(test_lost_twice),
		cmocka_unit_test(test_only_one_version),
		cmocka_unit_test(test_asked_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
