#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "support_plain.h"
#include "support_tcp_stub.h"

/* Time in which a VM learns that a server has its address: a row is read, or a probe
 * answered, within a second.
 */
#define LEARN_MS 2000

static const char *const old_ids[PLAIN_SERVERS] = {"i-8", "i-9"};

static void remove_old_entries(plain_fixture_t *fixture)
{
	for (unsigned i = 0; i < PLAIN_SERVERS; i++)
		fake_store_remove(&fixture->store, TABLE_SERVERS, old_ids[i]);
}

/* Asserts that each VM sends requests to each server. */
static void assert_all_used(plain_fixture_t *fixture)
{
	for (unsigned vm = 0; vm < PLAIN_VMS; vm++) {
		int64_t from_us = plain_now_us();

		plain_ask_until(fixture, vm,
				from_us + LEARN_MS * CLOCK_US_PER_MS);
		for (unsigned i = 0; i < PLAIN_SERVERS; i++)
			assert_true(plain_count(&fixture->servers[i], vm,
						from_us, INT64_MAX) > 0);
		assert_int_equal(fixture->status, 200);
	}
}

/* Guards against VMs that start while the old and the new entry of a server that has
 * restarted at its address stand side by side, and that never use the server, as its old
 * entry is read last.
 */
static void test_start_beside_old_entries(void **state)
{
	static plain_fixture_t fixture; /* outlives a failure */

	plain_start(&fixture);
	for (unsigned i = 0; i < PLAIN_SERVERS; i++)
		plain_list_as(&fixture, &fixture.servers[i], old_ids[i], "");
	for (unsigned i = 0; i < PLAIN_SERVERS; i++) {
		plain_unlist(&fixture, &fixture.servers[i]);
		plain_list(&fixture, &fixture.servers[i], "ready", "");
	}
	for (unsigned i = 0; i < PLAIN_VMS; i++)
		support_entry_stop(&fixture.vms[i]);
	for (unsigned i = 0; i < PLAIN_VMS; i++)
		support_entry_restart(&fixture.vms[i], i ? "vm-1" : "vm-0",
				      fixture.store_address);
	plain_await_servers(&fixture, 2 * PLAIN_SERVERS);
	assert_all_used(&fixture);
	for (unsigned i = 0; i < PLAIN_SERVERS; i++)
		assert_int_equal(fixture.servers[i].misdirected, 0);
	remove_old_entries(&fixture);
	plain_await_servers(&fixture, PLAIN_SERVERS);
	assert_all_used(&fixture);
	plain_stop(&fixture);
}

/* Guards against a server that no VM uses again after another entry has named its
 * address, although its own entry and the server stay as they are: at first while that
 * entry stands, then once it is gone.
 */
static void test_entry_with_a_servers_address(void **state)
{
	static plain_fixture_t fixture; /* outlives a failure */

	plain_start(&fixture);
	for (unsigned i = 0; i < PLAIN_SERVERS; i++)
		plain_list_as(&fixture, &fixture.servers[i], old_ids[i],
			      ",\"born\":9000000000000");
	plain_await_servers(&fixture, 2 * PLAIN_SERVERS);
	plain_ask_until(&fixture, 0,
			plain_now_us() + LEARN_MS * CLOCK_US_PER_MS);
	assert_all_used(&fixture);
	remove_old_entries(&fixture);
	plain_await_servers(&fixture, PLAIN_SERVERS);
	assert_all_used(&fixture);
	plain_stop(&fixture);
}

/* Guards against a server that no VM uses again after it has answered 421 once: the
 * process that had its address may be gone, and an engine of the other stage answers so.
 */
static void test_misdirected_once(void **state)
{
	static plain_fixture_t fixture; /* outlives a failure */

	plain_start(&fixture);
	for (unsigned i = 0; i < PLAIN_SERVERS; i++)
		plain_say(&fixture.servers[i], 421, NULL, NULL);
	plain_ask(&fixture, 0);
	plain_ask(&fixture, 1);
	for (unsigned i = 0; i < PLAIN_SERVERS; i++)
		plain_say_nothing(&fixture.servers[i]);
	support_run_loop_ms(LEARN_MS);
	assert_all_used(&fixture);
	plain_stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_start_beside_old_entries),
		cmocka_unit_test(test_entry_with_a_servers_address),
		cmocka_unit_test(test_misdirected_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
