#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/ledger.h"
#include "process/share.h"

#define CAPACITY 1000
#define OWNER 7
#define SEED 20261203u
#define ROUTERS 8

static const ledger_vm_t vm_a = {{"a", 1}, 1};
static const ledger_vm_t vm_b = {{"b", 1}, 1};

static ledger_grant_t grant(ledger_vm_t vm, uint8_t id, int64_t tokens)
{
	return (ledger_grant_t){
		.key = {{id}, 1},
		.tokens = tokens,
		.deadline_us = 100,
		.phase = LEDGER_PREFILLING,
		.vm = vm,
	};
}

static ledger_result_t reserve(ledger_t *ledger, ledger_vm_t vm, uint8_t id,
			       int64_t tokens, int64_t now)
{
	ledger_grant_t want = grant(vm, id, tokens);

	return ledger_reserve(ledger, &want, now);
}

static ledger_result_t restore(ledger_t *ledger, ledger_vm_t vm, uint8_t id,
			       int64_t tokens, ledger_phase_t phase)
{
	ledger_grant_t held = grant(vm, id, tokens);

	held.phase = phase;
	return ledger_restore(ledger, &held, 0);
}

static void count(const ledger_grant_t *found, void *context)
{
	*(int64_t *)context += found->tokens;
}

/* Guards against two routers that get the same memory, and against a repeated
 * or forged message that changes a grant.
 */
static void test_grants_no_memory_twice(void **state)
{
	ledger_t ledger;
	ledger_key_t key = {{1}, 1};

	ledger_init(&ledger, CAPACITY, 0, OWNER, 0);
	assert_int_equal(reserve(&ledger, vm_a, 1, 600, 0), LEDGER_OK);
	assert_int_equal(reserve(&ledger, vm_b, 2, 600, 0), LEDGER_FULL);
	assert_int_equal(reserve(&ledger, vm_a, 1, 600, 0), LEDGER_OK);
	assert_int_equal(reserve(&ledger, vm_b, 1, 100, 0), LEDGER_STALE);
	assert_int_equal(ledger_free_tokens(&ledger), 400);
	assert_int_equal(ledger_find(&ledger, &key)->owner_incarnation, OWNER);
	assert_int_equal(reserve(&ledger, vm_b, 3, 2000, 0), LEDGER_TOO_LARGE);
	assert_int_equal(reserve(&ledger, vm_b, 3, 0, 0), LEDGER_TOO_LARGE);
	assert_int_equal(ledger_release(&ledger, &key, vm_b), LEDGER_STALE);
	assert_int_equal(ledger_release(&ledger, &key, vm_a), LEDGER_OK);
	assert_int_equal(ledger_release(&ledger, &key, vm_a), LEDGER_UNKNOWN);
	assert_int_equal(reserve(&ledger, vm_b, 2, 600, 0), LEDGER_OK);
	ledger_finish(&ledger);
}

/* Guards against memory that stays granted for a router that stopped
 * renewing, and against freeing it before the engine has.
 */
static void test_lapsed_grant_is_cancelled_first(void **state)
{
	ledger_t ledger;
	ledger_key_t key = {{1}, 1};
	int64_t expired = 0;

	ledger_init(&ledger, CAPACITY, 0, OWNER, 0);
	reserve(&ledger, vm_a, 1, 600, 0);
	assert_int_equal(ledger_renew(&ledger, &key, vm_a, LEDGER_DECODING,
				      200),
			 LEDGER_OK);
	assert_int_equal(ledger_expire(&ledger, 199, count, &expired), 0);
	assert_int_equal(ledger_expire(&ledger, 200, count, &expired), 1);
	assert_int_equal(expired, 600);
	assert_int_equal(ledger_free_tokens(&ledger), 400);
	/* The router returns late and learns that its attempt is cancelled. */
	assert_int_equal(ledger_renew(&ledger, &key, vm_a, LEDGER_DECODING,
				      900),
			 LEDGER_STALE);
	ledger_confirm_cancelled(&ledger, &key);
	assert_int_equal(ledger_free_tokens(&ledger), CAPACITY);
	/* A cancellation that is never confirmed has a bound, too. */
	reserve(&ledger, vm_a, 2, 600, 0);
	ledger_expire(&ledger, 200, count, &expired);
	ledger_expire(&ledger, 200 + LEDGER_ORPHAN_TIMEOUT_US, count, &expired);
	assert_int_equal(ledger_free_tokens(&ledger), CAPACITY);
	ledger_finish(&ledger);
}

/* Guards against grants of a dead VM that are never found, and against a dead
 * VM that goes on reserving; its next incarnation is a new VM.
 */
static void test_dead_vm(void **state)
{
	ledger_t ledger;
	ledger_vm_t reborn = {vm_a.name, 2};
	int64_t found = 0;

	ledger_init(&ledger, CAPACITY, 0, OWNER, 0);
	reserve(&ledger, vm_a, 1, 100, 0);
	reserve(&ledger, vm_a, 2, 200, 0);
	reserve(&ledger, vm_b, 3, 400, 0);
	assert_true(ledger_lend(&ledger, vm_a, 10, 2, 99, 0) == 10);
	assert_int_equal(ledger_vm_dead(&ledger, vm_a, 0, count, &found), 2);
	assert_int_equal(found, 300);
	assert_int_equal(ledger_free_tokens(&ledger), 300);
	assert_int_equal(reserve(&ledger, vm_a, 4, 10, 0), LEDGER_STALE);
	assert_int_equal(restore(&ledger, vm_a, 5, 10, LEDGER_DECODING),
			 LEDGER_STALE);
	assert_int_equal(reserve(&ledger, reborn, 6, 10, 0), LEDGER_OK);
	assert_int_equal(ledger_vm_dead(&ledger, vm_a, 0, count, &found), 0);
	ledger_finish(&ledger);
}

/* Guards against a new owner that gives away memory which routers hold from
 * the owner before.
 */
static void test_new_owner_recovers_first(void **state)
{
	ledger_t ledger;

	ledger_init(&ledger, CAPACITY, 0, OWNER, 50);
	assert_int_equal(reserve(&ledger, vm_b, 9, 10, 49), LEDGER_RECOVERING);
	assert_int_equal(ledger_lend(&ledger, vm_b, 10, 2, 99, 49), 0);
	assert_int_equal(restore(&ledger, vm_a, 1, 700, LEDGER_DECODING),
			 LEDGER_OK);
	assert_int_equal(restore(&ledger, vm_a, 1, 700, LEDGER_DECODING),
			 LEDGER_OK);
	assert_int_equal(restore(&ledger, vm_b, 2, 300, LEDGER_PREFILLING),
			 LEDGER_OK);
	assert_int_equal(reserve(&ledger, vm_b, 9, 10, 50), LEDGER_FULL);
	ledger_finish(&ledger);
}

/* Guards against an over-commitment that goes unseen or never heals: memory in
 * use is recorded beyond the capacity, memory not yet in use is not.
 */
static void test_overcommitment_heals(void **state)
{
	ledger_t ledger;
	ledger_key_t key = {{1}, 1};

	ledger_init(&ledger, CAPACITY, 0, OWNER, 0);
	restore(&ledger, vm_a, 1, 800, LEDGER_DECODING);
	assert_int_equal(restore(&ledger, vm_b, 2, 300, LEDGER_PREFILLING),
			 LEDGER_FULL);
	assert_int_equal(restore(&ledger, vm_b, 3, 300, LEDGER_IMPORTING),
			 LEDGER_OK);
	assert_int_equal(ledger_overcommitted_tokens(&ledger), 100);
	assert_int_equal(ledger_free_tokens(&ledger), 0);
	assert_int_equal(reserve(&ledger, vm_b, 4, 1, 0), LEDGER_FULL);
	ledger_release(&ledger, &key, vm_a);
	assert_int_equal(ledger_overcommitted_tokens(&ledger), 0);
	assert_int_equal(ledger_free_tokens(&ledger), 700);
	ledger_finish(&ledger);
}

/* Guards against granting memory that the engine reports as used by requests
 * of no known grant, and against counting a request that just ended as such.
 */
static void test_unaccounted_use(void **state)
{
	ledger_t ledger;
	ledger_key_t key = {{1}, 1};

	ledger_init(&ledger, CAPACITY, 0, OWNER, 0);
	reserve(&ledger, vm_a, 1, 500, 0);
	ledger_on_usage_report(&ledger, 500);
	ledger_release(&ledger, &key, vm_a);
	ledger_on_usage_report(&ledger, 500);
	assert_int_equal(ledger_free_tokens(&ledger), CAPACITY);
	ledger_on_usage_report(&ledger, 0);
	ledger_on_usage_report(&ledger, 300);
	assert_int_equal(ledger_free_tokens(&ledger), 700);
	ledger_on_usage_report(&ledger, 0);
	assert_int_equal(ledger_free_tokens(&ledger), CAPACITY);
	ledger_finish(&ledger);
}

/* Guards against more transfers to one engine than its link can carry. */
static void test_transfer_slots(void **state)
{
	ledger_t ledger;
	ledger_key_t one = {{1}, 1}, two = {{2}, 1};

	ledger_init(&ledger, CAPACITY, 1, OWNER, 0);
	reserve(&ledger, vm_a, 1, 100, 0);
	reserve(&ledger, vm_b, 2, 100, 0);
	assert_int_equal(ledger_renew(&ledger, &one, vm_a, LEDGER_IMPORTING, 1),
			 LEDGER_OK);
	assert_int_equal(ledger_renew(&ledger, &two, vm_b, LEDGER_IMPORTING, 1),
			 LEDGER_NO_TRANSFER_SLOT);
	assert_int_equal(ledger_renew(&ledger, &one, vm_a, LEDGER_DECODING, 1),
			 LEDGER_OK);
	assert_int_equal(ledger_renew(&ledger, &two, vm_b, LEDGER_IMPORTING, 1),
			 LEDGER_OK);
	ledger_release(&ledger, &two, vm_b);
	assert_int_equal(ledger.transfers, 0);
	ledger_finish(&ledger);
}

/* Guards against credits that exceed the free memory, last for ever or can be
 * used twice.
 */
static void test_credits(void **state)
{
	ledger_t ledger;
	ledger_grant_t want = grant(vm_a, 1, 100);

	ledger_init(&ledger, CAPACITY, 0, OWNER, 0);
	assert_int_equal(ledger_lend(&ledger, vm_a, 9999, 2, 50, 0), 250);
	assert_int_equal(ledger_lend(&ledger, vm_a, 9999, 2, 50, 0), 0);
	assert_int_equal(ledger_use_credit(&ledger, &want, 10), LEDGER_OK);
	assert_int_equal(ledger_use_credit(&ledger, &want, 10), LEDGER_OK);
	assert_int_equal(ledger.lent, 150);
	assert_int_equal(ledger.granted, 100);
	ledger_return_credit(&ledger, vm_a, 50);
	assert_int_equal(ledger.lent, 100);
	ledger_expire(&ledger, 50, count, &(int64_t){0});
	assert_int_equal(ledger.lent, 0);
	reserve(&ledger, vm_b, 2, 900, 0);
	assert_int_equal(ledger_lend(&ledger, vm_a, 10, 2, 99, 60), 0);
	want = grant(vm_a, 3, 10);
	assert_int_equal(ledger_use_credit(&ledger, &want, 60), LEDGER_FULL);
	ledger_finish(&ledger);
}

/* Guards against a router that takes more than its fixed share while the
 * owner cannot be reached, and against credits of a previous owner.
 */
static void test_router_side(void **state)
{
	share_t share;
	ledger_grant_t own = grant(vm_a, 1, 100);
	ledger_grant_t next = grant(vm_a, 2, 100);

	share_init(&share, CAPACITY, ROUTERS);
	assert_true(share_set_owner(&share, 5));
	assert_false(share_set_owner(&share, 5));
	assert_true(share_take_fixed(&share, &own));
	assert_int_equal(share_fixed_free_tokens(&share), 25);
	assert_false(share_take_fixed(&share, &next));
	share_set_credit(&share, 150, 50);
	assert_false(share_take_credit(&share, &next, 50));
	assert_true(share_take_credit(&share, &next, 49));
	assert_int_equal(share_credit_tokens(&share, 49), 50);
	assert_true(share_set_owner(&share, 6));
	assert_int_equal(share_credit_tokens(&share, 49), 0);
	assert_int_equal(share_foreach_grant(&share, count, &(int64_t){0}), 2);
	assert_true(share_remove_grant(&share, &own.key));
	assert_false(share_remove_grant(&share, &own.key));
	assert_int_equal(share.held, 100);
	share_finish(&share);
}

/* The deployment of the random test: routers, and one owner at a time. */
typedef struct {
	GRand *rand;
	ledger_t ledger;
	uint64_t owner;
	share_t shares[ROUTERS];
	ledger_vm_t vms[ROUTERS];
	bool unaware[ROUTERS]; /* has not re-sent to the new owner yet */
	int64_t now;
	uint32_t next;
	int64_t refused_in_recovery;
} fleet_t;

#define LEASE_US 100
#define CREDIT_US 20
#define TICK_US 5

static void restore_one(const ledger_grant_t *held, void *context)
{
	fleet_t *fleet = context;

	assert_int_equal(ledger_restore(&fleet->ledger, held, fleet->now),
			 LEDGER_OK);
}

static void resend(fleet_t *fleet, int i)
{
	if (!fleet->unaware[i])
		return;
	fleet->unaware[i] = false;
	share_set_owner(&fleet->shares[i], fleet->owner);
	share_foreach_grant(&fleet->shares[i], restore_one, fleet);
}

/* The owner dies, and the next one starts with an empty ledger. Each router
 * re-sends its grants at some time within the recovery period; until then it
 * can use the credit of the dead owner.
 */
static void change_owner(fleet_t *fleet)
{
	for (int i = 0; i < ROUTERS; i++)
		resend(fleet, i);
	ledger_finish(&fleet->ledger);
	ledger_init(&fleet->ledger, CAPACITY, 0, ++fleet->owner,
		    fleet->now + CREDIT_US);
	for (int i = 0; i < ROUTERS; i++)
		fleet->unaware[i] = true;
}

static void random_start(fleet_t *fleet, int i)
{
	share_t *share = &fleet->shares[i];
	ledger_result_t result;
	ledger_grant_t want = {
		.key = {{0}, fleet->next++},
		.tokens = g_rand_int_range(fleet->rand, 1, 150),
		.deadline_us = fleet->now + LEASE_US,
		.vm = fleet->vms[i],
	};

	if (g_rand_int_range(fleet->rand, 0, 2) && share->credit > 0)
		want.tokens = MIN(want.tokens, share->credit);
	if (share_take_credit(share, &want, fleet->now)) {
		if (fleet->unaware[i])
			return;
		assert_int_equal(ledger_use_credit(&fleet->ledger, &want,
						   fleet->now),
				 LEDGER_OK);
		return;
	}
	if (fleet->unaware[i])
		return;
	result = ledger_reserve(&fleet->ledger, &want, fleet->now);
	fleet->refused_in_recovery += result == LEDGER_RECOVERING;
	if (result == LEDGER_OK)
		share_add_grant(share, &want);
}

static void pick_any(const ledger_grant_t *held, void *context)
{
	*(ledger_key_t *)context = held->key;
}

static void random_end(fleet_t *fleet, int i, bool lost)
{
	ledger_key_t key;

	if (share_foreach_grant(&fleet->shares[i], pick_any, &key) == 0)
		return;
	share_remove_grant(&fleet->shares[i], &key);
	if (!lost && !fleet->unaware[i])
		assert_int_equal(ledger_release(&fleet->ledger, &key,
						fleet->vms[i]),
				 LEDGER_OK);
}

static void renew_one(const ledger_grant_t *held, void *context)
{
	fleet_t *fleet = context;
	int64_t deadline = fleet->now + LEASE_US;

	assert_int_equal(ledger_renew(&fleet->ledger, &held->key, held->vm,
				      LEDGER_DECODING, deadline),
			 LEDGER_OK);
	for (int i = 0; i < ROUTERS; i++)
		share_update_grant(&fleet->shares[i], &held->key,
				   LEDGER_DECODING, deadline);
}

static void advance(fleet_t *fleet)
{
	bool recovered = fleet->now + TICK_US >=
			 fleet->ledger.recovery_until_us;

	for (int i = 0; i < ROUTERS; i++) {
		if (recovered)
			resend(fleet, i);
		if (!fleet->unaware[i])
			share_foreach_grant(&fleet->shares[i], renew_one,
					    fleet);
	}
	fleet->now += TICK_US;
}

static void confirm_one(const ledger_grant_t *found, void *context)
{
	*(ledger_key_t *)context = found->key;
}

static void random_lend(fleet_t *fleet, int i)
{
	int64_t lent;

	if (fleet->unaware[i])
		return;
	lent = ledger_lend(&fleet->ledger, fleet->vms[i], 200, ROUTERS,
			   fleet->now + CREDIT_US, fleet->now);
	if (lent > 0)
		share_set_credit(&fleet->shares[i], lent,
				 fleet->now + CREDIT_US - 1);
}

static void random_step(fleet_t *fleet)
{
	int i = g_rand_int_range(fleet->rand, 0, ROUTERS);
	ledger_key_t key = {0};

	switch (g_rand_int_range(fleet->rand, 0, 12)) {
	case 0:
		random_lend(fleet, i);
		break;
	case 1:
	case 2:
		random_end(fleet, i, false);
		break;
	case 3:
		random_end(fleet, i, g_rand_int_range(fleet->rand, 0, 9) == 0);
		break;
	case 4:
		advance(fleet);
		break;
	case 5:
		ledger_expire(&fleet->ledger, fleet->now, confirm_one, &key);
		ledger_confirm_cancelled(&fleet->ledger, &key);
		break;
	case 6:
		resend(fleet, i);
		if (g_rand_int_range(fleet->rand, 0, 100) == 0)
			change_owner(fleet);
		break;
	default:
		random_start(fleet, i);
	}
}

/* Guards against any sequence of reservations, credits, releases, lost
 * releases, lapses and owner changes after which the routers hold more than
 * the engine has.
 */
static void test_never_more_than_capacity(void **state)
{
	static const char *const names[ROUTERS] = {"a", "b", "c", "d",
						   "e", "f", "g", "h"};
	fleet_t fleet = {.rand = g_rand_new_with_seed(SEED), .owner = OWNER};
	int64_t most = 0;

	ledger_init(&fleet.ledger, CAPACITY, 0, fleet.owner, 0);
	for (int i = 0; i < ROUTERS; i++) {
		share_init(&fleet.shares[i], CAPACITY, ROUTERS);
		share_set_owner(&fleet.shares[i], fleet.owner);
		fleet.vms[i] = (ledger_vm_t){str_from(names[i]), 1};
	}
	for (int step = 0; step < 200000; step++) {
		int64_t held = 0;

		random_step(&fleet);
		for (int i = 0; i < ROUTERS; i++)
			held += fleet.shares[i].held +
				share_credit_tokens(&fleet.shares[i],
						    fleet.now);
		assert_true(held <= CAPACITY);
		assert_true(fleet.ledger.granted + fleet.ledger.lent <=
			    CAPACITY);
		assert_true(fleet.ledger.lent >= 0);
		most = MAX(most, held);
	}
	assert_true(most > CAPACITY * 9 / 10);
	assert_true(fleet.owner > OWNER + 50);
	assert_true(fleet.refused_in_recovery > 100);
	for (int i = 0; i < ROUTERS; i++)
		share_finish(&fleet.shares[i]);
	ledger_finish(&fleet.ledger);
	g_rand_free(fleet.rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_grants_no_memory_twice),
		cmocka_unit_test(test_lapsed_grant_is_cancelled_first),
		cmocka_unit_test(test_dead_vm),
		cmocka_unit_test(test_new_owner_recovers_first),
		cmocka_unit_test(test_overcommitment_heals),
		cmocka_unit_test(test_unaccounted_use),
		cmocka_unit_test(test_transfer_slots),
		cmocka_unit_test(test_credits),
		cmocka_unit_test(test_router_side),
		cmocka_unit_test(test_never_more_than_capacity),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
