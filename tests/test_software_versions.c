/* Model engines of two versions of their software in one service: a stream goes
 * on only at the version that began it, whether a VM resumes it or its caller
 * asks another VM for the rest.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "support_tcp_stub.h"
#include "support_versions.h"

/* Longest time until a stream that cannot go on is refused. */
#define REFUSAL_US (300 * CLOCK_US_PER_MS)

/* --- tests --------------------------------------------------------------- */

/* Guards against an answer that joins events of two software versions: a VM
 * resumed a broken stream at whichever engine had room.
 */
static void test_resumed_in_one_answer(void **state)
{
	static versions_fixture_t fixture; /* outlives a failure */

	versions_start(&fixture, 1, 2, versions_two);
	versions_begin_streams(&fixture, 0);
	assert_true(fixture.engines[0].started > 0);
	versions_break_streams(&fixture.engines[0]);
	versions_break_streams(&fixture.engines[1]);
	versions_await_end(&fixture, fixture.first);
	for (unsigned i = 0; i < VERSIONS_STREAMS; i++) {
		assert_false(versions_is_mixed(fixture.first[i].body->str));
		assert_int_equal(fixture.first[i].end, CALL_LOST);
	}
	versions_stop_after(&fixture, 0);
}

/* Guards against streams that no longer go on at another engine of the same
 * version.
 */
static void test_resumed_at_the_same_version(void **state)
{
	static versions_fixture_t fixture; /* outlives a failure */

	versions_start(&fixture, 1, 4, versions_two);
	versions_begin_streams(&fixture, 0);
	versions_break_streams(&fixture.engines[0]);
	versions_break_streams(&fixture.engines[1]);
	versions_end_streams(&fixture.engines[2]);
	versions_end_streams(&fixture.engines[3]);
	versions_await_end(&fixture, fixture.first);
	for (unsigned i = 0; i < VERSIONS_STREAMS; i++) {
		const versions_attempt_t *attempt = &fixture.first[i];

		assert_false(versions_is_mixed(attempt->body->str));
		assert_int_equal(attempt->end, CALL_ANSWERED);
		assert_non_null(strstr(attempt->body->str, "id: 3\n"));
	}
	versions_stop_after(&fixture, 0);
}

/* Guards against a stream that goes on at another version when its caller asks
 * another VM for the rest, after the VM that began it has ended.
 */
static void test_rest_from_another_vm(void **state)
{
	static versions_fixture_t fixture; /* outlives a failure */

	versions_start(&fixture, 2, 4, versions_two);
	versions_begin_streams(&fixture, 0);
	versions_lose_connections(&fixture);
	versions_vm_stop(&fixture, 0);
	versions_ask_for_the_rest(&fixture, 1);
	versions_assert_all_went_on(&fixture);
	versions_stop_after(&fixture, 1);
}

/* Guards against the same at a VM that has started since the stream began, after
 * the VM that began it has ended.
 */
static void test_rest_from_a_restarted_vm(void **state)
{
	static versions_fixture_t fixture; /* outlives a failure */

	versions_start(&fixture, 3, 4, versions_two);
	versions_begin_streams(&fixture, 0);
	versions_lose_connections(&fixture);
	versions_vm_stop(&fixture, 0);
	versions_vm_stop(&fixture, 1);
	versions_vm_start(&fixture, 1);
	support_run_loop_ms(1000);
	versions_ask_for_the_rest(&fixture, 1);
	versions_assert_all_went_on(&fixture);
	versions_stop_after(&fixture, 1);
}

/* Guards against a guess: no VM knows which version began the streams. */
static void test_unknown_version(void **state)
{
	static versions_fixture_t fixture; /* outlives a failure */

	versions_start(&fixture, 1, 4, versions_two);
	versions_ask_for_the_rest(&fixture, 0);
	for (unsigned i = 0; i < VERSIONS_STREAMS; i++)
		assert_int_equal(fixture.second[i].status, 503);
	for (unsigned i = 0; i < fixture.engine_count; i++)
		assert_int_equal(fixture.engines[i].continued, 0);
	versions_stop_after(&fixture, 0);
}

/* Guards against refusals where there is nothing to guess: all engines have one
 * version.
 */
static void test_unknown_but_only_one_version(void **state)
{
	static versions_fixture_t fixture; /* outlives a failure */

	versions_start(&fixture, 1, 4, versions_one);
	versions_ask_for_the_rest(&fixture, 0);
	for (unsigned i = 0; i < VERSIONS_STREAMS; i++) {
		assert_int_equal(fixture.second[i].status, 200);
		assert_non_null(strstr(fixture.second[i].body->str, "id: 3\n"));
	}
	versions_stop_after(&fixture, 0);
}

/* Guards against a caller that is kept waiting for the rest of a stream whose
 * version has left.
 */
static void test_version_that_has_left(void **state)
{
	static versions_fixture_t fixture; /* outlives a failure */
	unsigned refused = 0, went_on = 0;

	versions_start(&fixture, 1, 2, versions_two);
	versions_begin_streams(&fixture, 0);
	versions_lose_connections(&fixture);
	fake_store_remove(&fixture.store, TABLE_SERVERS, "i-1");
	support_run_loop_ms(100);
	versions_ask_for_the_rest(&fixture, 0);
	for (unsigned i = 0; i < VERSIONS_STREAMS; i++) {
		const versions_attempt_t *attempt = &fixture.second[i];

		if (attempt->status == 503 &&
		    attempt->ended_us - attempt->sent_us < REFUSAL_US)
			refused++;
		went_on += attempt->status == 200 ? 1 : 0;
	}
	assert_int_equal(went_on, fixture.engines[1].started);
	assert_int_equal(refused, fixture.engines[0].started);
	versions_stop_after(&fixture, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_resumed_in_one_answer),
		cmocka_unit_test(test_resumed_at_the_same_version),
		cmocka_unit_test(test_rest_from_another_vm),
		cmocka_unit_test(test_rest_from_a_restarted_vm),
		cmocka_unit_test(test_unknown_version),
		cmocka_unit_test(test_unknown_but_only_one_version),
		cmocka_unit_test(test_version_that_has_left),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
