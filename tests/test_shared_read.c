/* A read that all callers share, whose servers crash at the same time and not because of
 * it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "support_plain.h"
#include "support_tcp_stub.h"

/* How often the servers crash, all at once. */
#define ROUNDS 2

/* Reads at each VM that are at work when the servers crash. */
#define READS 4

/* Time after which a read that was known to be sound is served again, and after which any
 * read is that does not crash servers: less than the users' bound for a recovery.
 */
#define SOUND_SERVED_MS 2000
#define SERVED_MS 12000

static bool all_hold(void *context)
{
	const plain_fixture_t *fixture = context;

	for (unsigned i = 0; i < PLAIN_SERVERS; i++) {
		if (fixture->servers[i].held->len == 0)
			return false;
	}
	return true;
}

static bool has_current_servers(void *context)
{
	const plain_fixture_t *fixture = context;

	for (unsigned vm = 0; vm < PLAIN_VMS; vm++) {
		for (unsigned i = 0; i < PLAIN_SERVERS; i++) {
			if (!server_set_find(&fixture->vms[vm].entry.servers,
					     fixture->servers[i].id))
				return false;
		}
	}
	return true;
}

/* Lets all servers crash with reads at work. */
static void crash_all(plain_fixture_t *fixture, unsigned round)
{
	for (unsigned i = 0; i < PLAIN_SERVERS; i++)
		fixture->servers[i].holds = true;
	for (unsigned i = 0; i < READS * PLAIN_VMS; i++)
		plain_send(fixture, i % PLAIN_VMS);
	assert_true(support_run_loop_until(all_hold, fixture, PLAIN_WAIT_MS));
	for (unsigned i = 0; i < PLAIN_SERVERS; i++) {
		char *id = g_strdup_printf("i-%u-%u", round, i);

		plain_crash(fixture, &fixture->servers[i], id);
		g_free(id);
	}
	assert_true(support_run_loop_until(has_current_servers, fixture,
					   PLAIN_WAIT_MS));
}

/* Asserts that a VM serves reads from a time on, at the latest. */
static void assert_served_within(plain_fixture_t *fixture, unsigned vm,
				 int64_t from_us, unsigned ms)
{
	int64_t until_us = from_us + ms * CLOCK_US_PER_MS;

	do {
		plain_ask(fixture, vm);
		support_run_loop_ms(20);
	} while (fixture->status != 200 && plain_now_us() < until_us);
	assert_int_equal(fixture->status, 200);
}

/* Guards against a read that is refused at all VMs because all of its servers crashed at
 * once, several times, although thousands like it were answered before.
 */
static void test_known_to_be_sound(void **state)
{
	static plain_fixture_t fixture; /* outlives a failure */
	int64_t from_us;

	plain_start(&fixture);
	for (unsigned vm = 0; vm < PLAIN_VMS; vm++)
		plain_ask_until(&fixture, vm,
				plain_now_us() + 200 * CLOCK_US_PER_MS);
	for (unsigned round = 1; round <= ROUNDS; round++)
		crash_all(&fixture, round);
	from_us = plain_now_us();
	for (unsigned vm = 0; vm < PLAIN_VMS; vm++)
		assert_served_within(&fixture, vm, from_us, SOUND_SERVED_MS);
	plain_stop(&fixture);
}

/* Guards against a read that is held back for ten minutes because no request like it was
 * answered before the crashes, so that no request may show that it is sound; and against
 * a rule on it in the store that holds it at VMs which start later.
 */
static void test_never_seen_before(void **state)
{
	static plain_fixture_t fixture; /* outlives a failure */
	int64_t from_us;

	plain_start(&fixture);
	for (unsigned round = 1; round <= ROUNDS; round++)
		crash_all(&fixture, round);
	from_us = plain_now_us();
	plain_ask(&fixture, 0);
	assert_int_equal(fixture.status, 503);
	assert_true(fixture.retry_after_s * 1000 <= SERVED_MS);
	support_run_loop_ms(1000);
	support_entry_stop(&fixture.vms[1]);
	support_entry_restart(&fixture.vms[1], "vm-1", fixture.store_address);
	plain_await_servers(&fixture, PLAIN_SERVERS);
	plain_ask(&fixture, 1);
	assert_int_equal(fixture.status, 503);
	for (unsigned vm = 0; vm < PLAIN_VMS; vm++)
		assert_served_within(&fixture, vm, from_us, SERVED_MS);
	plain_stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_known_to_be_sound),
		cmocka_unit_test(test_never_seen_before),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
