/* Guards against members that are removed while they live, or kept while they
 * are gone, in each case of the failure model. The bounds are "a few seconds"
 * of the requirements: 10 s.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "support_members.h"

#define NODES 8
#define SEED 20261203
#define BOUND_S 10
#define LONG_S 20 /* two bounds, one after another */

static memsim_t sim;

static bool is_live(int who, int whom)
{
	return memsim_known_state(&sim, who, whom) < MEMBER_DEAD;
}

/* Checks that the nodes of a range hold those of another for live or not. */
static void expect(int from, int to, int whom_from, int whom_to, bool live)
{
	for (int i = from; i < to; i++) {
		for (int j = whom_from; j < whom_to; j++) {
			if (i != j && is_live(i, j) != live)
				fail_msg("%d holds %d for %d", i, j,
					 memsim_known_state(&sim, i, j));
		}
	}
}

static int removals(void)
{
	int sum = 0;

	for (int i = 0; i < sim.n; i++)
		sum += sim.nodes[i].removals;
	return sum;
}

static int setup(void **state)
{
	memsim_init(&sim, SEED, 0);
	memsim_add_nodes(&sim, NODES);
	memsim_run_for(&sim, BOUND_S);
	return 0;
}

static int teardown(void **state)
{
	memsim_finish(&sim);
	return 0;
}

static void cut(int from, int to, bool on)
{
	sim.cut[from][to] = on;
}

static void cut_off(int node, bool sends, bool receives)
{
	for (int i = 0; i < NODES; i++) {
		cut(node, i, !sends);
		cut(i, node, !receives);
	}
}

static void test_join(void **state)
{
	expect(0, NODES, 0, NODES, true);
	assert_int_equal(removals(), 0);
	assert_int_equal(member_count_live(&sim.nodes[3].members), NODES);
}

static void test_join_by_list(void **state)
{
	memsim_node_t *node = memsim_add(&sim, "late", "za", 77, 100);
	member_info_t listed = {.address = "10.0.0.5:7000", .vm = "vm-5"};

	member_set_vm_list(&node->members, &listed, 1);
	memsim_run_for(&sim, BOUND_S);
	expect(0, NODES + 1, 0, NODES + 1, true);
}

static void test_crash(void **state)
{
	sim.nodes[3].up = false;
	memsim_run_for(&sim, BOUND_S);
	expect(0, 3, 3, 4, false);
	expect(4, NODES, 3, 4, false);
	assert_int_equal(removals(), NODES - 1);
}

/* All nodes of a zone crash at once. */
static void test_zone_crash(void **state)
{
	for (int i = 4; i < NODES; i++)
		sim.nodes[i].up = false;
	memsim_run_for(&sim, LONG_S);
	expect(0, 4, 4, NODES, false);
	expect(0, 4, 0, 4, true);
	assert_int_equal(removals(), 4 * 4);
}

/* A pause shorter than the suspicion removes nobody; a longer one removes the
 * paused node only, and it comes back.
 */
static void test_freeze(void **state)
{
	static const struct {
		int64_t pause_s;
		int removals;
	} cases[] = {{1, 0}, {30, NODES - 1}};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int before = removals();

		sim.nodes[3].paused_until_us =
			sim.now_us + cases[i].pause_s * CLOCK_US_PER_S;
		memsim_run_for(&sim, cases[i].pause_s);
		assert_int_equal(removals() - before, cases[i].removals);
		memsim_run_for(&sim, BOUND_S);
		expect(0, NODES, 0, NODES, true);
		assert_int_equal(sim.nodes[3].removals, 0);
	}
}

/* Indirect probes keep a pair that is cut from suspecting each other. */
static void test_one_way_pair(void **state)
{
	cut(2, 6, true);
	memsim_run_for(&sim, 60);
	assert_int_equal(removals(), 0);
	for (int i = 0; i < NODES; i++)
		assert_int_equal(sim.nodes[i].suspicions, 0);
}

/* Makes one node hear of another from a third. */
static void tell(int who, int teller, int whom, member_state_t state)
{
	member_message_t message = {.n_updates = 1};

	message.self = sim.nodes[teller].members.self.info;
	message.updates[0] = sim.nodes[whom].members.self.info;
	message.updates[0].state = state;
	member_receive(&sim.nodes[who].members, sim.now_us, &message);
}

/* A process that was paused does not end a suspicion that ran out meanwhile,
 * because it may have missed the refutation.
 */
static void test_pause_in_suspicion(void **state)
{
	member_action_t actions[MEMBER_ACTIONS_MAX];
	members_t *members = &sim.nodes[0].members;
	int64_t later_us = sim.now_us + 30 * CLOCK_US_PER_S;

	tell(0, 1, 5, MEMBER_SUSPECT);
	assert_int_equal(memsim_known_state(&sim, 0, 5), MEMBER_SUSPECT);
	member_tick(members, later_us, actions);
	assert_int_equal(memsim_known_state(&sim, 0, 5), MEMBER_SUSPECT);
	for (int i = 0; i < 100; i++) {
		later_us += MEMBER_DIRECT_WAIT_US;
		member_tick(members, later_us, actions);
	}
	assert_int_equal(memsim_known_state(&sim, 0, 5), MEMBER_DEAD);
}

/* What a member that is held for dead says of others is not heard. */
static void test_dead_sender(void **state)
{
	tell(0, 1, 5, MEMBER_DEAD);
	tell(0, 5, 2, MEMBER_SUSPECT);
	assert_int_equal(memsim_known_state(&sim, 0, 2), MEMBER_ALIVE);
	tell(0, 5, 0, MEMBER_SUSPECT);
	assert_int_equal(sim.nodes[0].members.self.info.refutation, 1);
	tell(0, 1, 2, MEMBER_SUSPECT);
	assert_int_equal(memsim_known_state(&sim, 0, 2), MEMBER_SUSPECT);
}

/* A node that cannot send, or cannot receive, is removed; what it thinks of
 * the others removes nobody, and it comes back when it is connected again.
 */
static void test_one_way_node(void **state)
{
	for (int sends = 0; sends <= 1; sends++) {
		int before = removals();

		cut_off(3, sends, !sends);
		memsim_run_for(&sim, LONG_S);
		expect(0, 3, 3, 4, false);
		expect(4, NODES, 3, 4, false);
		expect(0, 3, 0, 3, true);
		expect(4, NODES, 4, NODES, true);
		assert_int_equal(removals() - before - sim.nodes[3].removals,
				 NODES - 1);
		sim.nodes[3].removals = 0;
		cut_off(3, true, true);
		memsim_run_for(&sim, LONG_S);
		expect(0, NODES, 0, NODES, true);
		sim.nodes[3].removals = 0;
	}
}

static void test_partition(void **state)
{
	for (int i = 0; i < NODES; i++) {
		for (int j = 0; j < NODES; j++)
			cut(i, j, i / 4 != j / 4);
	}
	memsim_run_for(&sim, 60);
	expect(0, 4, 0, 4, true);
	expect(4, NODES, 4, NODES, true);
	expect(0, 4, 4, NODES, false);
	assert_int_equal(removals(), 2 * 4 * 4);
	memset(sim.cut, 0, sizeof(sim.cut));
	memsim_run_for(&sim, LONG_S);
	expect(0, NODES, 0, NODES, true);
}

static void test_loss(void **state)
{
	sim.loss = 0.05;
	memsim_run_for(&sim, 120);
	assert_int_equal(removals(), 0);
}

static void test_leaving(void **state)
{
	members_t *members = &sim.nodes[3].members;

	member_set_own_state(members, MEMBER_LEAVING);
	memsim_run_for(&sim, BOUND_S);
	for (int i = 0; i < NODES; i++)
		assert_int_equal(memsim_known_state(&sim, i, 3),
				 MEMBER_LEAVING);
	for (uint64_t key = 0; key < 100; key++) {
		const member_t *owner =
			member_owner(&sim.nodes[0].members, "za", key);

		assert_string_not_equal(owner->info.vm, "vm-3");
	}
	member_set_own_state(members, MEMBER_LEFT);
	memsim_run_for(&sim, 2);
	sim.nodes[3].up = false;
	memsim_run_for(&sim, BOUND_S);
	expect(0, 3, 3, 4, false);
	assert_int_equal(removals(), 0);
}

/* The VM list marks a member as leaving before it says so itself. */
static void test_listed_leaving(void **state)
{
	member_info_t listed = {.vm = "vm-1", .state = MEMBER_LEAVING};

	member_set_vm_list(&sim.nodes[0].members, &listed, 1);
	assert_true(member_find(&sim.nodes[0].members, "vm-1")->leaving);
	assert_true(is_live(0, 1));
}

/* A new VM with the address of one that is gone ends the old one at once. */
static void test_address_reused(void **state)
{
	memsim_node_t *node;

	sim.nodes[3].up = false;
	node = memsim_add(&sim, "vm-new", "za", 3, 200);
	member_add_contact(&node->members, "10.0.0.0:7000");
	memsim_run_for(&sim, 2);
	expect(0, 3, 3, 4, false);
	expect(4, NODES, 3, 4, false);
	expect(0, 3, NODES, NODES + 1, true);
	/* A late statement about the old VM does not bring it back. */
	memsim_run_for(&sim, BOUND_S);
	expect(4, NODES, NODES, NODES + 1, true);
	expect(4, NODES, 3, 4, false);
}

/* A process that starts again with a clock that went back is heard anyway; one
 * whose VM name is in use at another address learns that it is superseded.
 */
static void test_restart(void **state)
{
	memsim_node_t *node;

	sim.nodes[3].up = false;
	node = memsim_add(&sim, "vm-3", "za", 3, 50);
	member_add_contact(&node->members, "10.0.0.0:7000");
	memsim_run_for(&sim, BOUND_S);
	assert_true(node->members.self.info.incarnation > 100);
	expect(0, 3, NODES, NODES + 1, true);
	assert_false(node->members.superseded);
	node = memsim_add(&sim, "vm-4", "za", 88, 200);
	member_add_contact(&node->members, "10.0.0.0:7000");
	memsim_run_for(&sim, BOUND_S);
	assert_true(sim.nodes[4].members.superseded);
	assert_false(node->members.superseded);
}

/* Of two statements the newer one, then the worse one holds. */
static void test_precedence(void **state)
{
	static const struct {
		uint64_t incarnation;
		uint32_t refutation;
		member_state_t state;
		member_state_t result;
	} steps[] = {
		{100, 0, MEMBER_SUSPECT, MEMBER_SUSPECT},
		{100, 0, MEMBER_ALIVE, MEMBER_SUSPECT},
		{100, 1, MEMBER_ALIVE, MEMBER_ALIVE},
		{100, 0, MEMBER_DEAD, MEMBER_ALIVE},
		{99, 9, MEMBER_DEAD, MEMBER_ALIVE},
		{100, 1, MEMBER_LEAVING, MEMBER_LEAVING},
		{100, 1, MEMBER_ALIVE, MEMBER_LEAVING},
		{100, 1, MEMBER_DEAD, MEMBER_DEAD},
		{100, 1, MEMBER_SUSPECT, MEMBER_DEAD},
		{101, 0, MEMBER_ALIVE, MEMBER_ALIVE},
		{101, 0, MEMBER_LEFT, MEMBER_LEFT},
	};
	members_t *members = &sim.nodes[0].members;
	member_message_t message = {.n_updates = 1};

	message.self = sim.nodes[1].members.self.info;
	message.updates[0] = sim.nodes[5].members.self.info;
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		message.updates[0].incarnation = steps[i].incarnation;
		message.updates[0].refutation = steps[i].refutation;
		message.updates[0].state = steps[i].state;
		member_receive(members, sim.now_us, &message);
		assert_int_equal(memsim_known_state(&sim, 0, 5),
				 steps[i].result);
	}
	/* A suspicion of the own process is refuted. */
	message.updates[0] = members->self.info;
	message.updates[0].state = MEMBER_SUSPECT;
	member_receive(members, sim.now_us, &message);
	assert_int_equal(members->self.info.refutation, 1);
}

/* When a member is removed, only its keys move. */
static void test_owner(void **state)
{
	enum { KEYS = 400 };
	const members_t *members = &sim.nodes[0].members;
	const member_t *before[KEYS];
	int held[NODES] = {0};

	assert_null(member_owner(members, "zz", 1));
	for (uint64_t key = 0; key < KEYS; key++) {
		int number;

		before[key] = member_owner(members, "za", key);
		number = atoi(before[key]->info.vm + 3);
		assert_in_range(number, 0, 3);
		held[number]++;
		assert_string_equal(
			member_owner(&sim.nodes[6].members, "za", key)->info.vm,
			before[key]->info.vm);
	}
	for (int i = 0; i < 4; i++)
		assert_in_range(held[i], KEYS / 8, KEYS / 2);
	sim.nodes[3].up = false;
	memsim_run_for(&sim, BOUND_S);
	for (uint64_t key = 0; key < KEYS; key++) {
		const member_t *after = member_owner(members, "za", key);

		if (strcmp(before[key]->info.vm, "vm-3") != 0)
			assert_ptr_equal(after, before[key]);
		else
			assert_string_not_equal(after->info.vm, "vm-3");
	}
}

/* Messages and bytes of a node do not grow with the number of members. */
static void test_scale(void **state)
{
	int64_t messages[2];
	int64_t bytes[2];

	for (int i = 0; i < 2; i++) {
		memsim_finish(&sim);
		memsim_init(&sim, SEED, 0);
		memsim_add_nodes(&sim, i == 0 ? NODES : 100);
		memsim_run_for(&sim, 60);
		for (int j = 0; j < sim.n; j++)
			assert_int_equal(
				member_count_live(&sim.nodes[j].members),
				sim.n);
		messages[i] = -sim.nodes[5].messages;
		bytes[i] = -sim.nodes[5].bytes;
		memsim_run_for(&sim, 60);
		messages[i] += sim.nodes[5].messages;
		bytes[i] += sim.nodes[5].bytes;
	}
	assert_in_range(messages[1], messages[0] * 3 / 4, messages[0] * 5 / 4);
	assert_in_range(bytes[1], bytes[0] * 3 / 4, bytes[0] * 5 / 4);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_join),
		TEST(test_join_by_list),
		TEST(test_crash),
		TEST(test_zone_crash),
		TEST(test_freeze),
		TEST(test_one_way_pair),
		TEST(test_pause_in_suspicion),
		TEST(test_dead_sender),
		TEST(test_one_way_node),
		TEST(test_partition),
		TEST(test_loss),
		TEST(test_leaving),
		TEST(test_listed_leaving),
		TEST(test_address_reused),
		TEST(test_restart),
		TEST(test_precedence),
		TEST(test_owner),
		TEST(test_scale),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
