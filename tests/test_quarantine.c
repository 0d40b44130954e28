/* Requests that crash the servers which begin them: from which losses VMs
 * conclude so, without network. Requests are described by the keys that they
 * share with others.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/decide/quarantine.h"
#include "process/decide/quarantine_trial.h"

#define START_US (1000 * CLOCK_US_PER_S)
#define SERVERS 64

/* Keys of the requests: the first part of all prompts, the part that crashes
 * servers, and parts of sound requests.
 */
#define FIRST 0x5c1e07a2
#define SICK 0x91bd3f06
#define SOUND 0xe4402b00

typedef struct {
	quarantine_t quarantine;
	server_t *servers[SERVERS];
	unsigned lost; /* servers so far */
	int64_t now_us;
} fixture_t;

static server_t *find_server(void *context, uint64_t process)
{
	const fixture_t *fixture = context;
	server_t *server = fixture->servers[process];

	return server->removed ? NULL : server;
}

static void setup(fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->now_us = START_US;
	quarantine_init(&fixture->quarantine, find_server, fixture);
	for (size_t i = 0; i < SERVERS; i++) {
		fixture->servers[i] = g_new0(server_t, 1);
		fixture->servers[i]->refs = 1;
		fixture->servers[i]->entry.id = g_strdup_printf("i-%zu", i);
	}
}

static void teardown(fixture_t *fixture)
{
	quarantine_finish(&fixture->quarantine);
	for (size_t i = 0; i < SERVERS; i++)
		server_unref(fixture->servers[i]);
}

/* Loses the next server while it begins a request with these keys. Returns the
 * server.
 */
static server_t *lose(fixture_t *fixture, const uint64_t *keys, size_t n)
{
	unsigned i = fixture->lost++;
	server_t *server = fixture->servers[i];

	fixture->now_us += 100 * CLOCK_US_PER_MS;
	quarantine_add_loss(&fixture->quarantine, server, i, keys, n,
			    fixture->now_us);
	return server;
}

static void lose_sick(fixture_t *fixture, unsigned times)
{
	const uint64_t keys[] = {FIRST, SICK};

	while (times-- > 0)
		(void)lose(fixture, keys, G_N_ELEMENTS(keys));
}

static void begin_well(fixture_t *fixture, uint64_t part)
{
	const uint64_t keys[] = {FIRST, part};

	fixture->now_us += 10 * CLOCK_US_PER_MS;
	quarantine_add_sound(&fixture->quarantine, keys, G_N_ELEMENTS(keys),
			     fixture->now_us);
}

static bool is_held(fixture_t *fixture, uint64_t first, uint64_t part)
{
	const uint64_t keys[] = {first, part};

	return quarantine_match(&fixture->quarantine, keys, G_N_ELEMENTS(keys),
				fixture->now_us) != NULL;
}

/* Announces the losses and sound keys of one VM to another one. */
static void announce(fixture_t *from, fixture_t *to, uint64_t vm)
{
	GArray *losses = g_array_new(FALSE, FALSE, sizeof(quarantine_loss_t));
	GArray *sound = g_array_new(FALSE, FALSE, sizeof(sound_key_t));

	to->now_us = MAX(to->now_us, from->now_us);
	quarantine_list_own(&from->quarantine, losses, to->now_us);
	quarantine_apply_peer(&to->quarantine, vm,
			      (const quarantine_loss_t *)losses->data,
			      losses->len, to->now_us);
	quarantine_list_sound(&from->quarantine, sound, to->now_us);
	for (guint i = 0; i < sound->len; i++)
		quarantine_add_peer_sound(
			&to->quarantine, &g_array_index(sound, sound_key_t, i));
	g_array_unref(losses);
	g_array_unref(sound);
}

/* Guards against requests that go on to crash servers, and against the refusal
 * of sound ones that share a part with them.
 */
static void test_part_is_held(void **state)
{
	fixture_t fixture;

	setup(&fixture);
	begin_well(&fixture, SOUND);
	lose_sick(&fixture, 2);
	assert_false(is_held(&fixture, FIRST, SICK));
	lose_sick(&fixture, 1);
	assert_true(is_held(&fixture, FIRST, SICK));
	assert_true(is_held(&fixture, SOUND, SICK));
	assert_false(is_held(&fixture, FIRST, SOUND));
	assert_false(is_held(&fixture, FIRST, SOUND + 1));
	teardown(&fixture);
}

/* Guards against the refusal of all requests with a shared part when no sound one
 * has begun yet: nothing would show any more that it is sound.
 */
static void test_shared_part_before_any_success(void **state)
{
	fixture_t fixture;

	setup(&fixture);
	lose_sick(&fixture, 4);
	assert_true(is_held(&fixture, FIRST, SICK));
	assert_false(is_held(&fixture, FIRST, SOUND));
	/* The part alone is held once the other one is known to be sound. */
	assert_false(is_held(&fixture, SOUND, SICK));
	begin_well(&fixture, SOUND);
	assert_true(is_held(&fixture, SOUND, SICK));
	assert_false(is_held(&fixture, FIRST, SOUND));
	teardown(&fixture);
}

/* Guards against several losses of one server that count as several servers. */
static void test_one_server(void **state)
{
	const uint64_t keys[] = {SICK};
	fixture_t fixture;

	setup(&fixture);
	for (size_t i = 0; i < 10; i++)
		quarantine_add_loss(&fixture.quarantine, fixture.servers[0], 0,
				    keys, 1, fixture.now_us);
	assert_false(is_held(&fixture, FIRST, SICK));
	teardown(&fixture);
}

/* Guards against lost connections, as by a cut or a reset, that count as lost
 * servers.
 */
static void test_servers_that_still_run(void **state)
{
	const uint64_t keys[] = {SICK};
	fixture_t fixture;

	setup(&fixture);
	for (size_t i = 0; i < 5; i++) {
		server_t *server = lose(&fixture, keys, 1);

		server_record_received(server, fixture.now_us + 150000);
	}
	fixture.now_us += 100 * CLOCK_US_PER_MS;
	assert_false(is_held(&fixture, FIRST, SICK));
	fixture.now_us += 2 * CLOCK_US_PER_S;
	assert_false(is_held(&fixture, FIRST, SICK));
	teardown(&fixture);
}

/* Guards against bytes that a slow VM reads after it has seen a loss, although the
 * server sent them before, and that clear the loss.
 */
static void test_bytes_that_are_read_late(void **state)
{
	const uint64_t keys[] = {SICK};
	fixture_t fixture;

	setup(&fixture);
	for (size_t i = 0; i < 3; i++) {
		server_t *server = lose(&fixture, keys, 1);

		server_record_received(server, fixture.now_us + 60000);
	}
	assert_true(is_held(&fixture, FIRST, SICK));
	/* Even later, the connection that they came on turns out to be lost. */
	for (size_t i = 0; i < 3; i++) {
		server_record_received(fixture.servers[i],
				       fixture.now_us + 200000);
		server_mark_suspect(fixture.servers[i],
				    fixture.now_us + 200000);
	}
	fixture.now_us += 300 * CLOCK_US_PER_MS;
	assert_true(is_held(&fixture, FIRST, SICK));
	teardown(&fixture);
}

/* Guards against a process that restarts with the same ID, answers before the list
 * of servers tells of it, and clears the loss of the one before.
 */
static void test_server_that_restarts(void **state)
{
	const uint64_t keys[] = {SICK};
	fixture_t fixture;

	setup(&fixture);
	for (size_t i = 0; i < 3; i++)
		(void)lose(&fixture, keys, 1);
	fixture.now_us += 2 * CLOCK_US_PER_S;
	for (size_t i = 0; i < 3; i++)
		server_record_received(fixture.servers[i], fixture.now_us);
	assert_true(is_held(&fixture, FIRST, SICK));
	fixture.now_us += 2 * CLOCK_US_PER_S;
	for (size_t i = 0; i < 3; i++)
		fixture.servers[i]->removed = true;
	assert_true(is_held(&fixture, FIRST, SICK));
	fixture.now_us += 10 * CLOCK_US_PER_S;
	assert_true(is_held(&fixture, FIRST, SICK));
	teardown(&fixture);
}

/* Guards against a sound request that is held for long because it was sent to
 * several servers across a cut: these answer when the cut has healed.
 */
static void test_servers_behind_a_cut(void **state)
{
	const uint64_t keys[] = {SICK};
	fixture_t fixture;

	setup(&fixture);
	for (size_t i = 0; i < 3; i++)
		(void)lose(&fixture, keys, 1);
	fixture.now_us += 6 * CLOCK_US_PER_S;
	assert_true(is_held(&fixture, FIRST, SICK));
	assert_int_equal(fixture.quarantine.confirmed->len, 0);
	for (size_t i = 0; i < 3; i++)
		server_record_received(fixture.servers[i], fixture.now_us);
	(void)is_held(&fixture, FIRST, SICK);
	fixture.now_us += 4 * CLOCK_US_PER_S;
	assert_false(is_held(&fixture, FIRST, SICK));
	assert_int_equal(fixture.quarantine.confirmed->len, 0);
	teardown(&fixture);
}

/* Guards against losses of a VM behind a cut that count at VMs which the servers
 * still answer.
 */
static void test_losses_of_a_vm_behind_a_cut(void **state)
{
	const uint64_t keys[] = {SICK};
	fixture_t vm, peer;

	setup(&vm);
	setup(&peer);
	for (size_t i = 0; i < 3; i++) {
		(void)lose(&peer, keys, 1);
		server_record_received(vm.servers[i],
				       peer.now_us + CLOCK_US_PER_S);
	}
	announce(&peer, &vm, 1);
	vm.now_us += CLOCK_US_PER_S;
	assert_false(is_held(&vm, FIRST, SICK));
	announce(&peer, &vm, 1);
	assert_false(is_held(&vm, FIRST, SICK));
	assert_true(is_held(&peer, FIRST, SICK));
	teardown(&vm);
	teardown(&peer);
}

/* Guards against the blame of sound requests that were on the lost servers at
 * the time, again and again, before any of their kind has begun well.
 */
static void test_requests_beside(void **state)
{
	const uint64_t sick[] = {FIRST, SICK};
	const uint64_t beside[] = {FIRST, SOUND};
	fixture_t fixture;

	setup(&fixture);
	for (size_t i = 0; i < 6; i++) {
		server_t *server = lose(&fixture, sick, G_N_ELEMENTS(sick));

		if (i % 2 == 0)
			quarantine_add_loss(&fixture.quarantine, server,
					    fixture.lost - 1, beside,
					    G_N_ELEMENTS(beside),
					    fixture.now_us);
	}
	assert_true(is_held(&fixture, FIRST, SICK));
	assert_false(is_held(&fixture, FIRST, SOUND));
	teardown(&fixture);
}

/* Guards against a request that goes on to crash servers because another one was
 * on all of them as well, as when both are sent again together: nothing tells them
 * apart.
 */
static void test_requests_that_stay_together(void **state)
{
	const uint64_t sick = SICK;
	const uint64_t beside = SOUND;
	const quarantine_rule_t stored = {.n_keys = 1,
					  .keys = {SOUND},
					  .servers = 3,
					  .lost_us = START_US};
	fixture_t fixture;

	setup(&fixture);
	for (size_t i = 0; i < 3; i++) {
		server_t *server = lose(&fixture, &beside, 1);

		quarantine_add_loss(&fixture.quarantine, server,
				    fixture.lost - 1, &sick, 1, fixture.now_us);
	}
	assert_true(is_held(&fixture, FIRST, SICK));
	assert_true(is_held(&fixture, FIRST, SOUND));
	/* A further loss shows which of the two it is, also after the rule on the
	 * other one has reached the store.
	 */
	quarantine_put_stored(&fixture.quarantine, &stored);
	(void)lose(&fixture, &sick, 1);
	assert_true(is_held(&fixture, FIRST, SICK));
	assert_false(is_held(&fixture, FIRST, SOUND));
	teardown(&fixture);
}

/* Guards against servers that fail by themselves, under requests of all kinds,
 * while these succeed elsewhere.
 */
static void test_servers_that_fail(void **state)
{
	fixture_t fixture;

	setup(&fixture);
	for (uint64_t i = 0; i < SERVERS; i++) {
		const uint64_t keys[] = {FIRST, SOUND + i % 4};

		(void)lose(&fixture, keys, G_N_ELEMENTS(keys));
		for (uint64_t k = 0; k < 4; k++) {
			assert_false(is_held(&fixture, FIRST, SOUND + k));
			if (k != i % 4)
				begin_well(&fixture, SOUND + k);
		}
	}
	teardown(&fixture);
}

/* Guards against rules on everything when servers crash whatever they begin, as
 * after a faulty release, also when the first of them have reached the store.
 */
static void test_servers_that_crash_always(void **state)
{
	const quarantine_rule_t stored = {.n_keys = 1,
					  .keys = {FIRST},
					  .servers = 3,
					  .lost_us = START_US};
	fixture_t fixture;

	setup(&fixture);
	quarantine_put_stored(&fixture.quarantine, &stored);
	assert_true(is_held(&fixture, FIRST, SOUND));
	for (uint64_t i = 0; i < SERVERS; i++) {
		const uint64_t keys[] = {SOUND + i % 12};

		(void)lose(&fixture, keys, G_N_ELEMENTS(keys));
	}
	for (uint64_t i = 0; i < 12; i++)
		assert_false(is_held(&fixture, FIRST, SOUND + i));
	assert_true(fixture.quarantine.overflowed);
	teardown(&fixture);
}

/* Guards against a part that is trusted for ever because requests with it once
 * began well.
 */
static void test_part_that_was_sound(void **state)
{
	fixture_t fixture;

	setup(&fixture);
	begin_well(&fixture, SICK);
	for (size_t i = 0; i < 5; i++) {
		assert_false(is_held(&fixture, FIRST, SICK));
		lose_sick(&fixture, 1);
		begin_well(&fixture, SOUND);
	}
	assert_true(is_held(&fixture, FIRST, SICK));
	assert_false(is_held(&fixture, FIRST, SOUND));
	teardown(&fixture);
}

/* Guards against a request that crashes servers again because a VM has forgotten the losses
 * under its rule, for others that came at once, as when a zone ends.
 */
static void test_more_losses_than_are_kept(void **state)
{
	fixture_t fixture;

	setup(&fixture);
	lose_sick(&fixture, 3);
	assert_true(is_held(&fixture, FIRST, SICK));
	for (unsigned i = 0; i < 2 * QUARANTINE_LOSSES_MAX; i++) {
		unsigned server = 8 + i % (SERVERS - 8);
		uint64_t key = SOUND + i;

		quarantine_add_loss(&fixture.quarantine,
				    fixture.servers[server], server, &key, 1,
				    fixture.now_us);
		assert_true(is_held(&fixture, FIRST, SICK));
		assert_false(is_held(&fixture, FIRST, key));
	}
	teardown(&fixture);
}

/* Guards against a cause that is not found because the losses under an earlier one take all
 * the room.
 */
static void test_cause_after_many_losses(void **state)
{
	const uint64_t keys[] = {FIRST, SICK};
	const uint64_t others[] = {FIRST, SOUND};
	fixture_t fixture;

	setup(&fixture);
	for (unsigned i = 0; i < 2 * QUARANTINE_LOSSES_MAX; i++) {
		unsigned server = 8 + i % (SERVERS - 8);

		fixture.now_us += 100 * CLOCK_US_PER_MS;
		quarantine_add_loss(&fixture.quarantine,
				    fixture.servers[server], server, keys,
				    G_N_ELEMENTS(keys), fixture.now_us);
	}
	assert_true(is_held(&fixture, FIRST, SICK));
	for (unsigned i = 0; i < 3; i++)
		(void)lose(&fixture, others, G_N_ELEMENTS(others));
	assert_true(is_held(&fixture, FIRST, SICK));
	assert_true(is_held(&fixture, FIRST, SOUND));
	teardown(&fixture);
}

/* Guards against rules that never end. */
static void test_rule_ends(void **state)
{
	fixture_t fixture;

	setup(&fixture);
	begin_well(&fixture, SOUND);
	lose_sick(&fixture, 3);
	fixture.now_us += QUARANTINE_US - CLOCK_US_PER_S;
	assert_true(is_held(&fixture, FIRST, SICK));
	fixture.now_us += 2 * CLOCK_US_PER_S;
	assert_false(is_held(&fixture, FIRST, SICK));
	teardown(&fixture);
}

/* Guards against VMs that each see one loss and never learn of the others, and
 * against the refusal of what only another VM knows to be sound.
 */
static void test_losses_of_other_vms(void **state)
{
	fixture_t vms[3];

	for (size_t i = 0; i < 3; i++) {
		setup(&vms[i]);
		vms[i].lost = (unsigned)i;
		lose_sick(&vms[i], 1);
	}
	begin_well(&vms[1], SOUND);
	announce(&vms[1], &vms[0], 1);
	announce(&vms[2], &vms[0], 2);
	assert_true(is_held(&vms[0], FIRST, SICK));
	assert_true(is_held(&vms[0], SOUND, SICK));
	assert_false(is_held(&vms[0], FIRST, SOUND));
	/* What an earlier process of a VM has announced still counts. */
	quarantine_apply_peer(&vms[0].quarantine, 3, NULL, 0, vms[0].now_us);
	assert_true(is_held(&vms[0], FIRST, SICK));
	/* A loss that is withdrawn does not. */
	quarantine_apply_peer(&vms[0].quarantine, 2, NULL, 0, vms[0].now_us);
	assert_false(is_held(&vms[0], FIRST, SICK));
	for (size_t i = 0; i < 3; i++)
		teardown(&vms[i]);
}

/* Guards against losses that are forgotten when their VM announces them no
 * longer because they are old.
 */
static void test_old_losses_of_other_vms(void **state)
{
	fixture_t vm, peer;

	setup(&vm);
	setup(&peer);
	lose_sick(&peer, 3);
	announce(&peer, &vm, 1);
	vm.now_us += 120 * CLOCK_US_PER_S;
	peer.now_us = vm.now_us;
	announce(&peer, &vm, 1);
	assert_true(is_held(&vm, FIRST, SICK));
	teardown(&vm);
	teardown(&peer);
}

/* Guards against a VM that starts later and does not apply rules from the store,
 * or goes on applying one that was removed.
 */
static void test_rule_from_store(void **state)
{
	const quarantine_rule_t rule = {
		.n_keys = 2,
		.keys = {FIRST, SICK},
		.lost_us = START_US - 60 * CLOCK_US_PER_S,
	};
	fixture_t fixture;

	setup(&fixture);
	quarantine_put_stored(&fixture.quarantine, &rule);
	assert_true(is_held(&fixture, FIRST, SICK));
	assert_false(is_held(&fixture, FIRST, SOUND));
	begin_well(&fixture, SOUND);
	assert_true(is_held(&fixture, SOUND, SICK));
	quarantine_remove_stored(&fixture.quarantine, &rule);
	assert_false(is_held(&fixture, FIRST, SICK));
	teardown(&fixture);
}

/* Guards against a VM whose machine has started after the last loss: its clock begins with the
 * machine, so that the loss has a negative time, and it takes requests with keys of which nothing
 * is known for sound ones. It would send them, and remove the rule from the store.
 */
static void test_losses_before_the_start(void **state)
{
	const quarantine_rule_t rule = {
		.n_keys = 2,
		.keys = {FIRST, SICK},
		.lost_us = -30 * CLOCK_US_PER_S,
	};
	quarantine_loss_t loss = {
		.lost_us = -30 * CLOCK_US_PER_S,
		.n_keys = 1,
		.keys = {SICK + 1},
	};
	fixture_t fixture;

	setup(&fixture);
	fixture.now_us = 60 * CLOCK_US_PER_S;
	quarantine_put_stored(&fixture.quarantine, &rule);
	assert_true(is_held(&fixture, FIRST, SICK));
	assert_int_equal(quarantine_refuted_here_us(&fixture.quarantine, &rule),
			 SOUND_NEVER_US);
	for (; loss.server < 3; loss.server++)
		quarantine_apply_peer(&fixture.quarantine, 1, &loss, 1,
				      fixture.now_us);
	assert_true(is_held(&fixture, FIRST, SICK + 1));
	assert_false(is_held(&fixture, FIRST, SOUND));
	begin_well(&fixture, SICK);
	assert_false(is_held(&fixture, FIRST, SICK));
	teardown(&fixture);
}

/* Guards against rules in the store that rest on losses of servers which may still
 * run.
 */
static void test_confirmed_rules(void **state)
{
	fixture_t fixture;

	setup(&fixture);
	lose_sick(&fixture, 3);
	fixture.now_us += 30 * CLOCK_US_PER_S;
	(void)quarantine_update(&fixture.quarantine, fixture.now_us);
	assert_int_equal(fixture.quarantine.rules->len, 1);
	assert_int_equal(fixture.quarantine.confirmed->len, 0);
	for (size_t i = 0; i < 3; i++)
		fixture.servers[i]->removed = true;
	(void)quarantine_update(&fixture.quarantine, fixture.now_us);
	assert_int_equal(fixture.quarantine.confirmed->len, 1);
	teardown(&fixture);
}

/* Loses servers under the part that is otherwise sound, all at the same time. */
static void lose_at_once(fixture_t *fixture, unsigned servers)
{
	const uint64_t keys[] = {FIRST, SICK};

	fixture->now_us += 100 * CLOCK_US_PER_MS;
	for (unsigned i = 0; i < servers; i++) {
		quarantine_add_loss(&fixture->quarantine,
				    fixture->servers[fixture->lost],
				    fixture->lost, keys, G_N_ELEMENTS(keys),
				    fixture->now_us);
		fixture->lost++;
	}
}

/* Guards against a rule on requests that began well before, because all servers were lost
 * at once, four times in a row; and against one that never forms although the servers are
 * lost one after the other.
 */
static void test_servers_lost_at_once(void **state)
{
	fixture_t fixture;

	setup(&fixture);
	begin_well(&fixture, SICK);
	for (unsigned i = 0; i < 4; i++) {
		lose_at_once(&fixture, 12);
		assert_false(is_held(&fixture, FIRST, SICK));
	}
	lose_at_once(&fixture, 1);
	assert_true(is_held(&fixture, FIRST, SICK));
	teardown(&fixture);
}

/* Guards against the same for a whole request, of which only recent ones are kept. */
static void test_recent_request(void **state)
{
	fixture_t fixture;

	setup(&fixture);
	quarantine_add_recent(&fixture.quarantine, FIRST, fixture.now_us);
	quarantine_add_recent(&fixture.quarantine, SICK, fixture.now_us);
	lose_at_once(&fixture, 12);
	assert_false(is_held(&fixture, FIRST, SICK));
	teardown(&fixture);
}

/* Returns whether a request that a rule holds is let through now. */
static bool take_trial(fixture_t *fixture)
{
	const uint64_t keys[] = {FIRST, SICK};
	const quarantine_rule_t *rule =
		quarantine_match(&fixture->quarantine, keys, G_N_ELEMENTS(keys),
				 fixture->now_us);

	return rule && quarantine_take_trial(&fixture->quarantine, rule,
					     fixture->now_us);
}

/* Guards against requests that crash servers and are let through too often: three at most
 * in 300 s, although one comes each 100 ms.
 */
static void test_trials_that_fail(void **state)
{
	fixture_t fixture;
	unsigned trials = 0;

	setup(&fixture);
	lose_sick(&fixture, 3);
	for (unsigned i = 0; i < 3000; i++) {
		fixture.now_us += 100 * CLOCK_US_PER_MS;
		if (!take_trial(&fixture))
			continue;
		trials++;
		assert_false(take_trial(&fixture));
		lose_sick(&fixture, 1);
	}
	assert_in_range(trials, 2, 3);
	teardown(&fixture);
}

/* Guards against a rule that no request can refute before it ends, here and at a VM that
 * has it from the store, and against a trial that comes at once.
 */
static void test_trial_that_begins_well(void **state)
{
	quarantine_rule_t rule;
	fixture_t vm, later;

	setup(&vm);
	setup(&later);
	lose_sick(&vm, 3);
	(void)quarantine_update(&vm.quarantine, vm.now_us);
	rule = g_array_index(vm.quarantine.rules, quarantine_rule_t, 0);
	quarantine_put_stored(&later.quarantine, &rule);
	vm.now_us += 9 * CLOCK_US_PER_S;
	later.now_us = vm.now_us;
	assert_true(is_held(&later, FIRST, SICK));
	assert_false(take_trial(&vm));
	assert_false(take_trial(&later));
	vm.now_us += 2 * CLOCK_US_PER_S;
	later.now_us = vm.now_us;
	assert_true(take_trial(&vm));
	assert_true(take_trial(&later));
	begin_well(&vm, SICK);
	begin_well(&later, SICK);
	assert_false(is_held(&vm, FIRST, SICK));
	assert_false(is_held(&later, FIRST, SICK));
	assert_true(quarantine_refuted_here_us(&later.quarantine, &rule) > 0);
	teardown(&vm);
	teardown(&later);
}

/* Guards against trials of a rule from the store that go on at a short pace, as the losses
 * on which it rests are not known here.
 */
static void test_trials_under_a_stored_rule(void **state)
{
	const quarantine_rule_t rule = {
		.n_keys = 2,
		.keys = {FIRST, SICK},
		.servers = 3,
		.first_us = START_US - 20 * CLOCK_US_PER_S,
		.lost_us = START_US - 20 * CLOCK_US_PER_S,
	};
	fixture_t fixture;

	setup(&fixture);
	quarantine_put_stored(&fixture.quarantine, &rule);
	assert_true(take_trial(&fixture));
	lose_sick(&fixture, 1);
	fixture.now_us += 50 * CLOCK_US_PER_S;
	assert_false(take_trial(&fixture));
	fixture.now_us += 15 * CLOCK_US_PER_S;
	assert_true(take_trial(&fixture));
	teardown(&fixture);
}

/* Guards against all VMs letting a request through at the same time, and against a request
 * that comes at few VMs and is held there for long.
 */
static void test_trials_of_many_vms(void **state)
{
	static const unsigned vms[] = {8, 195, 750};

	for (size_t i = 0; i < G_N_ELEMENTS(vms); i++) {
		unsigned at_once = 0;
		unsigned later = 0;

		for (unsigned rank = 0; rank < vms[i]; rank++) {
			fixture_t vm;

			setup(&vm);
			vm.quarantine.vm_rank = rank;
			lose_sick(&vm, 3);
			vm.now_us += 9500 * CLOCK_US_PER_MS;
			assert_false(take_trial(&vm));
			vm.now_us += 1000 * CLOCK_US_PER_MS;
			at_once += take_trial(&vm) ? 1 : 0;
			vm.now_us += 10 * CLOCK_US_PER_S;
			later += take_trial(&vm) ? 1 : 0;
			teardown(&vm);
		}
		assert_int_equal(at_once, 1);
		assert_int_equal(later, vms[i]);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_part_is_held),
		cmocka_unit_test(test_shared_part_before_any_success),
		cmocka_unit_test(test_one_server),
		cmocka_unit_test(test_servers_that_still_run),
		cmocka_unit_test(test_bytes_that_are_read_late),
		cmocka_unit_test(test_server_that_restarts),
		cmocka_unit_test(test_servers_behind_a_cut),
		cmocka_unit_test(test_losses_of_a_vm_behind_a_cut),
		cmocka_unit_test(test_requests_beside),
		cmocka_unit_test(test_requests_that_stay_together),
		cmocka_unit_test(test_servers_that_fail),
		cmocka_unit_test(test_servers_that_crash_always),
		cmocka_unit_test(test_part_that_was_sound),
		cmocka_unit_test(test_more_losses_than_are_kept),
		cmocka_unit_test(test_cause_after_many_losses),
		cmocka_unit_test(test_rule_ends),
		cmocka_unit_test(test_losses_of_other_vms),
		cmocka_unit_test(test_old_losses_of_other_vms),
		cmocka_unit_test(test_rule_from_store),
		cmocka_unit_test(test_losses_before_the_start),
		cmocka_unit_test(test_confirmed_rules),
		cmocka_unit_test(test_servers_lost_at_once),
		cmocka_unit_test(test_recent_request),
		cmocka_unit_test(test_trials_that_fail),
		cmocka_unit_test(test_trial_that_begins_well),
		cmocka_unit_test(test_trials_under_a_stored_rule),
		cmocka_unit_test(test_trials_of_many_vms),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
