/* What a VM announces to a peer whose process has just started. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "connection/announce.h"
#include "support_address.h"
#include "support_tcp_stub.h"

#define WAIT_MS 5000
#define STREAM 7
#define SOFTWARE 9

/* Two VMs: the first knows a stream that it announces only to new processes. */
typedef struct {
	occupancy_t occupancy[2];
	announce_t announce[2];
	char *addresses[2];
	bool heard; /* the second has learned of the stream */
} fixture_t;

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

static void on_origin(void *context, const stream_origin_t *origin)
{
	fixture_t *fixture = context;

	fixture->heard = origin->stream == STREAM &&
			 origin->software == SOFTWARE;
}

static void start(fixture_t *fixture)
{
	stream_origin_t origin = {
		.stream = STREAM,
		.software = SOFTWARE,
		.expires_us = now_us() + 30 * CLOCK_US_PER_S,
	};

	memset(fixture, 0, sizeof(*fixture));
	for (unsigned i = 0; i < 2; i++) {
		occupancy_init(&fixture->occupancy[i]);
		fixture->addresses[i] = unused_address();
		assert_true(announce_init(&fixture->announce[i],
					  fixture->addresses[i],
					  clock_boottime(), i ? "vm-1" : "vm-0",
					  1, &fixture->occupancy[i]));
	}
	g_array_append_val(fixture->occupancy[0].all_origins, origin);
	fixture->occupancy[1].on_origin = on_origin;
	fixture->occupancy[1].context = fixture;
}

static void stop(fixture_t *fixture)
{
	for (unsigned i = 0; i < 2; i++) {
		announce_finish(&fixture->announce[i]);
		occupancy_finish(&fixture->occupancy[i]);
		g_free(fixture->addresses[i]);
	}
}

static bool has_heard(void *context)
{
	return ((fixture_t *)context)->heard;
}

/* Guards against streams that a restarted VM does not learn, because its peers read
 * its new address from the store only after its first announcement.
 */
static void test_new_process_at_a_new_address(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	char *old_address = unused_address();
	announce_t *announce;

	start(&fixture);
	announce = &fixture.announce[0];
	announce_set_peer(announce, "vm-1", old_address);
	announce_set_new_until(announce, "vm-1", now_us() + CLOCK_US_PER_S);
	announce_set_peer(announce, "vm-1", fixture.addresses[1]);
	announce_schedule_whole(announce);
	assert_true(support_run_loop_until(has_heard, &fixture, WAIT_MS));
	stop(&fixture);
	g_free(old_address);
}

/* Guards against the same when the table of VMs is read in full meanwhile, as after
 * an outage of the store.
 */
static void test_new_process_at_the_same_address(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	announce_t *announce;

	start(&fixture);
	announce = &fixture.announce[0];
	announce_set_peer(announce, "vm-1", fixture.addresses[1]);
	announce_set_new_until(announce, "vm-1", now_us() + CLOCK_US_PER_S);
	announce_set_peer(announce, "vm-1", fixture.addresses[1]);
	announce_schedule_whole(announce);
	assert_true(support_run_loop_until(has_heard, &fixture, WAIT_MS));
	stop(&fixture);
}

/* Guards against the same when a VM that is new is heard before its row is read. */
static void test_new_vm_is_heard_before_its_row_is_read(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	announce_t *announce;

	start(&fixture);
	announce = &fixture.announce[0];
	announce_set_new_until(announce, "vm-1", now_us() + CLOCK_US_PER_S);
	announce_set_peer(announce, "vm-1", fixture.addresses[1]);
	announce_schedule_whole(announce);
	assert_true(support_run_loop_until(has_heard, &fixture, WAIT_MS));
	stop(&fixture);
}

/* Guards against rows of VMs without an end that fill the memory of a VM, each with a peer to
 * which it sends: five times as many as the largest deployments have (750) are more than
 * enough. Those that are known stay, and there is room again once one is removed.
 */
static void test_too_many_peers(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	announce_t *announce;

	start(&fixture);
	announce = &fixture.announce[0];
	for (unsigned i = 0; i < 8000; i++) {
		char *vm = g_strdup_printf("vm-%u", i + 1);

		announce_set_peer(announce, vm, fixture.addresses[1]);
		g_free(vm);
	}
	assert_true(g_hash_table_size(announce->peers) >= 5 * 750);
	assert_true(g_hash_table_size(announce->peers) <= 6 * 750);
	announce_set_peer(announce, "vm-1", fixture.addresses[0]);
	assert_string_equal(announce_peer_address(announce, "vm-1"),
			    fixture.addresses[0]);
	assert_null(announce_peer_address(announce, "vm-8000"));
	announce_remove_peer(announce, "vm-1");
	announce_set_peer(announce, "vm-8000", fixture.addresses[1]);
	assert_non_null(announce_peer_address(announce, "vm-8000"));
	stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_process_at_a_new_address),
		cmocka_unit_test(test_new_process_at_the_same_address),
		cmocka_unit_test(test_new_vm_is_heard_before_its_row_is_read),
		cmocka_unit_test(test_too_many_peers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
