/* How announcements reach the VMs of other zones. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>

#include "process/decide/zone_forwarders.h"

#define MAX_PEERS 256
#define WALKS 200

static const char *const zones[] = {"a", "b", "c", "d", "e", "f"};

/* The VMs that one VM knows, and how its announcement reaches them. */
typedef struct {
	zone_peer_t peers[MAX_PEERS];
	zone_send_t sends[MAX_PEERS];
	size_t n;
} fleet_t;

/* Fills a fleet with `n` VMs of `n_zones` zones, in turn. */
static void fill(fleet_t *fleet, size_t n, size_t n_zones)
{
	fleet->n = n;
	for (size_t i = 0; i < n; i++)
		fleet->peers[i] = (zone_peer_t){
			.zone = zones[i % n_zones],
			.heard = true,
		};
}

static void choose(fleet_t *fleet, uint32_t turn)
{
	zone_forwarders_choose("a", fleet->peers, fleet->n, turn, fleet->sends);
}

/* Returns how many VMs get the announcement from its sender. */
static size_t count_sent(const fleet_t *fleet)
{
	size_t sent = 0;

	for (size_t i = 0; i < fleet->n; i++)
		sent += fleet->sends[i] != ZONE_FORWARDED ? 1 : 0;
	return sent;
}

/* Returns how many copies one VM gets if the VMs for which `works` holds forward. */
static unsigned count_copies(const fleet_t *fleet, size_t vm,
			     const bool works[MAX_PEERS])
{
	unsigned copies = fleet->sends[vm] != ZONE_FORWARDED ? 1 : 0;

	for (size_t i = 0; i < fleet->n; i++) {
		if (i != vm && works[i] &&
		    fleet->sends[i] == ZONE_SEND_TO_FORWARD &&
		    g_str_equal(fleet->peers[i].zone, fleet->peers[vm].zone))
			copies++;
	}
	return copies;
}

/* Guards against announcements that cross to another zone once for each of its VMs: 192
 * other VMs in six zones get 32 datagrams in the own zone and one in each other.
 */
static void test_one_datagram_for_each_zone(void **state)
{
	static fleet_t fleet;

	fill(&fleet, 192, 6);
	choose(&fleet, 1);
	assert_int_equal(count_sent(&fleet), 32 + 5);
}

/* Guards against a detour in small deployments, where it saves nothing. */
static void test_small_zones(void **state)
{
	static fleet_t fleet;

	fill(&fleet, 9, 3);
	choose(&fleet, 1);
	assert_int_equal(count_sent(&fleet), 9);
}

/* Guards against announcements to VMs of an earlier release, which forward nothing and
 * name no zone, or to a zone of which no VM was heard lately, that nobody delivers.
 */
static void test_nobody_forwards(void **state)
{
	static fleet_t fleet;

	fill(&fleet, 24, 3);
	for (size_t i = 0; i < fleet.n; i++) {
		if (i % 3 == 1)
			fleet.peers[i].zone = "";
		else
			fleet.peers[i].heard = false;
	}
	choose(&fleet, 1);
	assert_int_equal(count_sent(&fleet), 24);
}

/* Guards against a VM that takes datagrams and forwards none, and so keeps what others
 * announce from its zone: all but one of 32 announcements in a row arrive there.
 */
static void test_a_vm_that_does_not_forward(void **state)
{
	static bool works[MAX_PEERS];
	static fleet_t fleet;
	unsigned missed = 0;

	fill(&fleet, 192, 6);
	memset(works, true, sizeof(works));
	works[1] = false; /* of zone b */
	for (uint32_t turn = 0; turn < 32; turn++) {
		choose(&fleet, turn);
		missed += count_copies(&fleet, 7, works) == 0 ? 1 : 0;
	}
	assert_int_equal(missed, 1);
}

/* Guards, over random fleets, against VMs that an announcement misses or reaches twice,
 * when all VMs that were heard forward.
 */
static void test_random_fleets(void **state)
{
	static bool works[MAX_PEERS];
	static fleet_t fleet;
	GRand *rand = g_rand_new_with_seed(1);

	memset(works, true, sizeof(works));
	for (unsigned walk = 0; walk < WALKS; walk++) {
		size_t n_zones = (size_t)g_rand_int_range(rand, 1, 7);

		fill(&fleet, (size_t)g_rand_int_range(rand, 1, 200), n_zones);
		for (size_t i = 0; i < fleet.n; i++) {
			if (g_rand_int_range(rand, 0, 5) == 0)
				fleet.peers[i].zone = "";
			fleet.peers[i].heard = g_rand_int_range(rand, 0, 4) > 0;
		}
		choose(&fleet, g_rand_int(rand));
		for (size_t i = 0; i < fleet.n; i++)
			assert_int_equal(count_copies(&fleet, i, works), 1);
	}
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_datagram_for_each_zone),
		cmocka_unit_test(test_small_zones),
		cmocka_unit_test(test_nobody_forwards),
		cmocka_unit_test(test_a_vm_that_does_not_forward),
		cmocka_unit_test(test_random_fleets),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
