/* Servers that write a refusal once more before each later answer on its connection, also when
 * the refused request has come back and runs: its caller must not be told that it has not run.
 * The VMs and the servers are processes of their own.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "support_copying_site.h"

static counts_t play(const refusal_case_t *play_case)
{
	static copying_site_t site; /* outlives a failure */
	counts_t counts = {0};

	copying_site_start(&site, play_case);
	copying_site_await_served(&site, play_case->vms[0]);
	for (unsigned i = 0; i < COPYING_REQUESTS; i++)
		copying_site_play_request(&site, COPYING_FIRST_REQUEST + i,
					  &counts);
	copying_site_print(&site, &counts);
	copying_site_stop(&site);
	return counts;
}

/* Guards against a refusal that is believed although it is the copy of an earlier one of the
 * same request.
 */
static void expect_truth(const refusal_case_t *play_case)
{
	counts_t counts = play(play_case);

	assert_int_equal(counts.refused_ran, 0);
	assert_int_equal(counts.served, COPYING_REQUESTS);
}

/* --- tests --------------------------------------------------------------- */

/* A VM sends a stream that two decode engines refuse to the first one again. */
static void test_stream_that_a_vm_sends_again(void **state)
{
	expect_truth(&(refusal_case_t){
		.name = "refused by two engines in turn",
		.line = "POST /m/x",
		.refusals = {0, 1, 1, 0},
		.status = 503,
		.attempts = 1,
	});
}

/* A caller sends a refused call again with its ID. */
static void test_call_that_a_caller_sends_again(void **state)
{
	expect_truth(&(refusal_case_t){
		.name = "call sent again by its caller",
		.line = "POST /u/x",
		.refusals = {0, 0, 0, 1},
		.status = 503,
		.attempts = 2,
	});
}

/* A caller sends a refused stream again with its ID. */
static void test_stream_that_a_caller_sends_again(void **state)
{
	expect_truth(&(refusal_case_t){
		.name = "stream sent again by its caller",
		.line = "POST /l/x",
		.refusals = {0, 1, 0, 0},
		.status = 503,
		.attempts = 2,
		.one_decode = true,
	});
}

/* A VM that reaches no server passes both attempts on to the same VM. */
static void test_call_that_a_vm_passes_on_again(void **state)
{
	expect_truth(&(refusal_case_t){
		.name = "call passed on twice",
		.line = "POST /u/x",
		.refusals = {0, 0, 0, 1},
		.status = 503,
		.attempts = 2,
		.vms = {1, 1},
	});
}

/* A VM gets the first attempt from another VM and the second one from the caller. */
static void test_call_that_comes_by_two_ways(void **state)
{
	expect_truth(&(refusal_case_t){
		.name = "call passed on, then sent by its caller",
		.line = "POST /u/x",
		.refusals = {0, 0, 0, 1},
		.status = 503,
		.attempts = 2,
		.vms = {1, 0},
	});
}

/* The entry of the server changes between the attempts, and its connections stay. */
static void test_call_after_a_change_of_the_entry(void **state)
{
	expect_truth(&(refusal_case_t){
		.name = "call sent again to another entry",
		.line = "POST /u/x",
		.refusals = {0, 0, 0, 1},
		.status = 503,
		.attempts = 2,
		.entry_changes = true,
	});
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stream_that_a_vm_sends_again),
		cmocka_unit_test(test_call_that_a_caller_sends_again),
		cmocka_unit_test(test_stream_that_a_caller_sends_again),
		cmocka_unit_test(test_call_that_a_vm_passes_on_again),
		cmocka_unit_test(test_call_that_comes_by_two_ways),
		cmocka_unit_test(test_call_after_a_change_of_the_entry),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
