/* Guards against serve processes that do not find each other, or that keep a
 * process which is gone as a member. The nodes probe each other over real
 * sockets. Changes have to be known everywhere within 10 s.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "connection/address.h"
#include "process/counters.h"
#include "process/fleet.h"
#include "support_settings.h"

#define NODES 6
#define WAIT_LIMIT_US (10 * CLOCK_US_PER_S)

/* One serve process, as far as membership needs it. */
typedef struct {
	settings_t settings;
	hlc_t hlc;
	rpc_t rpc;
	fleet_t fleet;
	uint64_t highest_version; /* in heartbeats of others */
	int superseded;
	bool running;
} node_t;

/* The last one is a VM's replacement, which only some tests start. */
static node_t nodes[NODES + 1];

/* Records the highest configuration version in heartbeats. */
static void heartbeat_received(void *context, const member_t *member)
{
	node_t *node = context;

	node->highest_version =
		MAX(node->highest_version, member->config_version);
}

/* Counts how often a node was told that a newer process has its name. */
static void superseded(void *context)
{
	node_t *node = context;

	node->superseded++;
}

/* Starts a node; the address of the first is the contact of all others. */
static void node_start(node_t *node, const char *vm, const char *zone)
{
	fleet_callbacks_t callbacks = {.heartbeat_received = heartbeat_received,
				       .superseded = superseded,
				       .context = node};

	memset(node, 0, sizeof(*node));
	support_settings_init(&node->settings, vm, zone);
	if (node != &nodes[0])
		support_settings_add_peer(&node->settings,
					  nodes[0].rpc.address);
	hlc_init(&node->hlc, clock_realtime());
	assert_true(rpc_init(&node->rpc, &node->settings, clock_boottime(),
			     &node->hlc, NULL));
	fleet_init(&node->fleet, &node->settings, &node->rpc, clock_boottime(),
		   &callbacks);
	node->running = true;
}

/* Stops a node without an announcement; does nothing if it is not running. */
static void node_stop(node_t *node)
{
	if (!node->running)
		return;
	node->running = false;
	fleet_finish(&node->fleet);
	rpc_finish(&node->rpc);
	support_settings_finish(&node->settings);
}

typedef bool (*condition_t)(void);

/* Runs the main loop until a condition holds; fails after the limit. */
static void wait_until(condition_t condition)
{
	clock_source_t clock = clock_boottime();
	int64_t limit_us = clock_now(&clock) + WAIT_LIMIT_US;

	while (!condition() && clock_now(&clock) < limit_us)
		g_main_context_iteration(NULL, TRUE);
	assert_true(condition());
}

/* Returns the number of nodes that have not been stopped. */
static size_t count_running(void)
{
	size_t n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++)
		n += nodes[i].running;
	return n;
}

/* Returns whether each node counts as many live members as are running. */
static bool all_agree(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++) {
		if (nodes[i].running &&
		    member_count_live(&nodes[i].fleet.members) !=
			    count_running())
			return false;
	}
	return true;
}

/* Starts all nodes but the replacement and waits until they know each other. */
static int setup(void **state)
{
	counters_reset();
	for (int i = 0; i < NODES; i++) {
		char vm[16];

		g_snprintf(vm, sizeof(vm), "vm-%d", i);
		node_start(&nodes[i], vm, i < NODES / 2 ? "za" : "zb");
	}
	wait_until(all_agree);
	return 0;
}

/* Stops all nodes that still run. */
static int teardown(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++)
		node_stop(&nodes[i]);
	return 0;
}

/* Guards against members that differ on the owner of a key, and against an
 * owner in another zone.
 */
static void test_owners(void **state)
{
	const member_t *owner = fleet_owner(&nodes[4].fleet, "za", STR("e1"));

	assert_non_null(owner);
	assert_string_equal(owner->info.zone, "za");
	assert_string_equal(fleet_address_of(&nodes[4].fleet, owner->info.vm),
			    owner->info.address);
	for (int i = 0; i < NODES; i++) {
		const member_t *same =
			fleet_owner(&nodes[i].fleet, "za", STR("e1"));

		assert_string_equal(same->info.vm, owner->info.vm);
		assert_int_equal(fleet_is_self(&nodes[i].fleet, same),
				 strcmp(nodes[i].settings.vm, owner->info.vm) ==
					 0);
	}
	assert_null(fleet_owner(&nodes[4].fleet, "zc", STR("e1")));
	assert_null(fleet_address_of(&nodes[4].fleet, "vm-99"));
}

/* Returns whether all nodes have received the version of the first one. */
static bool all_received_version(void)
{
	for (int i = 1; i < NODES; i++) {
		if (nodes[i].highest_version != 7)
			return false;
	}
	return true;
}

/* Guards against heartbeats that lose the configuration version or manifest. */
static void test_config_in_heartbeats(void **state)
{
	uint8_t manifest[MEMBER_HASH_BYTES] = {1, 2, 3};

	fleet_set_config(&nodes[0].fleet, 7, manifest);
	wait_until(all_received_version);
	assert_memory_equal(
		member_find(&nodes[1].fleet.members, "vm-0")->manifest,
		manifest, sizeof(manifest));
}

/* Guards against a member that stays after its process has stopped without an
 * announcement, and against one that counts as failed although it announced
 * that it leaves.
 */
static void test_departures(void **state)
{
	node_stop(&nodes[2]);
	wait_until(all_agree);
	assert_null(fleet_address_of(&nodes[0].fleet, "vm-2"));
	assert_true(counters_get(COUNTER_MEMBERS_REMOVED) > 0);
	counters_reset();
	fleet_leave(&nodes[3].fleet, MEMBER_LEFT);
	node_stop(&nodes[3]);
	wait_until(all_agree);
	assert_int_equal(counters_get(COUNTER_MEMBERS_REMOVED), 0);
}

/* Returns whether vm-1's first process knows of its replacement. */
static bool first_is_superseded(void)
{
	return nodes[1].superseded > 0;
}

/* Guards against two processes with one VM's name: a VM is suspended, another
 * replaces it under its name, and the first one resumes. It has to end.
 */
static void test_superseded(void **state)
{
	node_start(&nodes[NODES], "vm-1", "za");
	nodes[1].rpc.start_us -= 100 * CLOCK_US_PER_S;
	wait_until(first_is_superseded);
	node_stop(&nodes[1]);
	wait_until(all_agree);
	assert_int_equal(nodes[NODES].superseded, 0);
	assert_string_equal(fleet_address_of(&nodes[0].fleet, "vm-1"),
			    nodes[NODES].rpc.address);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_owners),
		TEST(test_config_in_heartbeats),
		TEST(test_departures),
		TEST(test_superseded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
