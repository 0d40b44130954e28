/* Announcements between VMs of several availability zones, over UDP. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "connection/announce.h"
#include "support_address.h"
#include "support_tcp_stub.h"

#define ZONES 3
#define VMS_PER_ZONE 5
#define VMS (ZONES * VMS_PER_ZONE)
#define WAIT_MS 5000

/* Datagrams that one VM sends for an announcement: to the others of its zone, and to
 * one VM of each other zone.
 */
#define SENDS (VMS_PER_ZONE - 1 + ZONES - 1)

typedef struct {
	occupancy_t occupancy;
	announce_t announce;
	char *name;
	char *address;
	bool runs;
} vm_t;

typedef struct {
	vm_t vms[VMS];
	int64_t streams; /* that the first VM uses */
	uint32_t last_sequence; /* of the first VM, as has_sent_one() saw it */
	uint64_t last_sent; /* without what it forwarded */
	uint64_t expected_sends;
	bool sent_one; /* announcement in so many datagrams */
} fixture_t;

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

static const char *zone_of(unsigned vm)
{
	static const char *const zones[ZONES] = {"a", "b", "c"};

	return zones[vm % ZONES];
}

/* Starts the VMs, all of which know each other's addresses. */
static void start(fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	for (unsigned i = 0; i < VMS; i++) {
		vm_t *vm = &fixture->vms[i];

		vm->name = g_strdup_printf("vm-%u", i);
		vm->address = unused_address();
		occupancy_init(&vm->occupancy);
		assert_true(announce_init(&vm->announce, vm->address,
					  clock_boottime(), vm->name, 1,
					  &vm->occupancy));
		vm->announce.zone = zone_of(i);
		vm->announce.forwards = true;
		vm->runs = true;
	}
	for (unsigned i = 0; i < VMS * VMS; i++)
		announce_set_peer(&fixture->vms[i / VMS].announce,
				  fixture->vms[i % VMS].name,
				  fixture->vms[i % VMS].address);
}

/* Ends the process of a VM. */
static void end_vm(vm_t *vm)
{
	if (vm->runs)
		announce_finish(&vm->announce);
	vm->runs = false;
}

static void stop(fixture_t *fixture)
{
	for (unsigned i = 0; i < VMS; i++) {
		end_vm(&fixture->vms[i]);
		occupancy_finish(&fixture->vms[i].occupancy);
		g_free(fixture->vms[i].name);
		g_free(fixture->vms[i].address);
	}
}

/* Returns whether each VM has heard each other one. */
static bool have_met(void *context)
{
	fixture_t *fixture = context;

	for (unsigned i = 0; i < VMS; i++) {
		if (occupancy_live_peers(&fixture->vms[i].occupancy, now_us()) <
		    VMS - 1)
			return false;
	}
	return true;
}

/* Returns whether all VMs that run know what the first one uses. */
static bool know_use(void *context)
{
	fixture_t *fixture = context;

	for (unsigned i = 0; i < VMS; i++) {
		vm_t *vm = &fixture->vms[i];

		if (vm->runs &&
		    occupancy_total(&vm->occupancy, "s", now_us()).streams !=
			    fixture->streams)
			return false;
	}
	return true;
}

/* Lets the first VM use one more stream. */
static void use_stream(fixture_t *fixture)
{
	static const occupancy_use_t stream = {.streams = 1};

	occupancy_add(&fixture->vms[0].occupancy, "s", &stream);
	fixture->streams++;
	announce_schedule(&fixture->vms[0].announce);
}

/* Returns whether the first VM has sent an announcement in `expected_sends` datagrams. */
static bool has_sent_one(void *context)
{
	fixture_t *fixture = context;
	const announce_t *announce = &fixture->vms[0].announce;
	bool is_one = announce->sequence == fixture->last_sequence + 1;
	uint64_t own_sends = announce->sent - announce->forwarded;
	uint64_t sends = own_sends - fixture->last_sent;

	fixture->last_sequence = announce->sequence;
	fixture->last_sent = own_sends;
	if (is_one && sends == fixture->expected_sends)
		fixture->sent_one = true;
	return fixture->sent_one;
}

/* Checks that an announcement of the first VM takes so many datagrams. */
static void check_sends(fixture_t *fixture, unsigned sends)
{
	fixture->expected_sends = sends;
	fixture->sent_one = false;
	assert_true(support_run_loop_until(has_sent_one, fixture, WAIT_MS));
}

/* Guards against an announcement that is sent to each VM of another zone, and one that
 * does not arrive there.
 */
static void test_one_datagram_for_each_other_zone(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	assert_true(support_run_loop_until(have_met, &fixture, WAIT_MS));
	use_stream(&fixture);
	assert_true(support_run_loop_until(know_use, &fixture, WAIT_MS));
	check_sends(&fixture, SENDS);
	assert_true(have_met(&fixture));
	stop(&fixture);
}

/* Guards against changes that do not reach a zone after the loss of the VM that forwards
 * there: each repeat goes another way, so that the others know a change before they would
 * hold its VM to be dead.
 */
static void test_a_vm_that_forwards_is_lost(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	assert_true(support_run_loop_until(have_met, &fixture, WAIT_MS));
	for (unsigned i = 1; i < ZONES; i++)
		end_vm(&fixture.vms[i]);
	for (unsigned i = 0; i < VMS_PER_ZONE; i++) {
		use_stream(&fixture);
		assert_true(support_run_loop_until(
			know_use, &fixture,
			(unsigned)(fixture.vms[0].occupancy.peer_ttl_us /
				   CLOCK_US_PER_MS)));
	}
	stop(&fixture);
}

/* Guards against announcements that do not reach VMs of an earlier release, which name
 * no zone, and VMs that are asked to forward although they are about to end.
 */
static void test_vms_that_do_not_forward(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	for (unsigned i = 0; i < VMS; i++) {
		if (zone_of(i) == zone_of(1))
			fixture.vms[i].announce.forwards = false;
	}
	assert_true(support_run_loop_until(have_met, &fixture, WAIT_MS));
	use_stream(&fixture);
	assert_true(support_run_loop_until(know_use, &fixture, WAIT_MS));
	check_sends(&fixture, SENDS - 1 + VMS_PER_ZONE);
	for (unsigned i = 0; i < VMS; i++) {
		if (zone_of(i) == zone_of(1))
			assert_int_equal(fixture.vms[i].announce.forwarded, 0);
	}
	stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_datagram_for_each_other_zone),
		cmocka_unit_test(test_a_vm_that_forwards_is_lost),
		cmocka_unit_test(test_vms_that_do_not_forward),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
