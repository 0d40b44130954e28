#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/ledger.h"
#include "process/share.h"

#define CAPACITY 1000
#define OWNER_INCARNATION 7
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
			       int64_t tokens, int64_t now_us)
{
	ledger_grant_t wanted = grant(vm, id, tokens);

	return ledger_reserve(ledger, &wanted, now_us);
}

static ledger_result_t restore(ledger_t *ledger, ledger_vm_t vm, uint8_t id,
			       int64_t tokens, ledger_phase_t phase)
{
	ledger_grant_t held = grant(vm, id, tokens);

	held.phase = phase;
	return ledger_restore(ledger, &held, 0);
}

/* Adds the tokens of a found grant to the sum in context. */
static void add_tokens(const ledger_grant_t *found, void *context)
{
	*(int64_t *)context += found->tokens;
}

/* Guards against granting the same memory to two routers, and against a
 * repeated or forged message that changes a grant.
 */
static void test_grants_no_memory_twice(void **state)
{
	ledger_t ledger;
	ledger_key_t key = {{1}, 1};

	ledger_init(&ledger, CAPACITY, 0, OWNER_INCARNATION, 0);
	assert_int_equal(reserve(&ledger, vm_a, 1, 600, 0), LEDGER_OK);
	assert_int_equal(reserve(&ledger, vm_b, 2, 600, 0), LEDGER_FULL);
	assert_int_equal(reserve(&ledger, vm_a, 1, 600, 0), LEDGER_OK);
	assert_int_equal(reserve(&ledger, vm_b, 1, 100, 0), LEDGER_STALE);
	assert_int_equal(ledger_free_tokens(&ledger), 400);
	assert_int_equal(ledger_find(&ledger, &key)->owner_incarnation,
			 OWNER_INCARNATION);
	assert_int_equal(reserve(&ledger, vm_b, 3, 2000, 0), LEDGER_TOO_LARGE);
	assert_int_equal(reserve(&ledger, vm_b, 3, 0, 0), LEDGER_TOO_LARGE);
	assert_int_equal(ledger_release(&ledger, &key, vm_b), LEDGER_STALE);
	assert_int_equal(ledger_release(&ledger, &key, vm_a), LEDGER_OK);
	assert_int_equal(ledger_release(&ledger, &key, vm_a), LEDGER_UNKNOWN);
	assert_int_equal(reserve(&ledger, vm_b, 2, 600, 0), LEDGER_OK);
	ledger_finish(&ledger);
}

/* Guards against memory that stays granted to a router that has stopped
 * renewing, and against freeing it before the engine has cancelled the attempt.
 */
static void test_expired_grant_is_cancelled_first(void **state)
{
	ledger_t ledger;
	ledger_key_t key = {{1}, 1};
	int64_t expired = 0;

	ledger_init(&ledger, CAPACITY, 0, OWNER_INCARNATION, 0);
	reserve(&ledger, vm_a, 1, 600, 0);
	assert_int_equal(ledger_renew(&ledger, &key, vm_a, LEDGER_DECODING,
				      200),
			 LEDGER_OK);
	assert_int_equal(ledger_expire(&ledger, 199, add_tokens, &expired), 0);
	assert_int_equal(ledger_expire(&ledger, 200, add_tokens, &expired), 1);
	assert_int_equal(expired, 600);
	assert_int_equal(ledger_free_tokens(&ledger), 400);
	/* The router returns late and learns that its attempt is cancelled. */
	assert_int_equal(ledger_renew(&ledger, &key, vm_a, LEDGER_DECODING,
				      900),
			 LEDGER_STALE);
	ledger_confirm_cancelled(&ledger, &key);
	assert_int_equal(ledger_free_tokens(&ledger), CAPACITY);
	/* Without a confirmation the memory is free after a time limit. */
	reserve(&ledger, vm_a, 2, 600, 0);
	ledger_expire(&ledger, 200, add_tokens, &expired);
	ledger_expire(&ledger, 200 + LEDGER_ORPHAN_TIMEOUT_US, add_tokens,
		      &expired);
	assert_int_equal(ledger_free_tokens(&ledger), CAPACITY);
	ledger_finish(&ledger);
}

/* Guards against missing a dead VM's grants, and against a dead VM that goes on
 * reserving. Its next incarnation counts as a new VM.
 */
static void test_dead_vm(void **state)
{
	ledger_t ledger;
	ledger_vm_t restarted = {vm_a.name, 2};
	int64_t found = 0;

	ledger_init(&ledger, CAPACITY, 0, OWNER_INCARNATION, 0);
	reserve(&ledger, vm_a, 1, 100, 0);
	reserve(&ledger, vm_a, 2, 200, 0);
	reserve(&ledger, vm_b, 3, 400, 0);
	assert_true(ledger_lend(&ledger, vm_a, 10, 2, 99, 0) == 10);
	assert_int_equal(ledger_vm_dead(&ledger, vm_a, 0, add_tokens, &found),
			 2);
	assert_int_equal(found, 300);
	assert_int_equal(ledger_free_tokens(&ledger), 300);
	assert_int_equal(reserve(&ledger, vm_a, 4, 10, 0), LEDGER_STALE);
	assert_int_equal(restore(&ledger, vm_a, 5, 10, LEDGER_DECODING),
			 LEDGER_STALE);
	assert_int_equal(reserve(&ledger, restarted, 6, 10, 0), LEDGER_OK);
	assert_int_equal(ledger_vm_dead(&ledger, vm_a, 0, add_tokens, &found),
			 0);
	ledger_finish(&ledger);
}

/* Guards against a new owner that grants memory which routers still hold from
 * the previous owner.
 */
static void test_new_owner_recovers_first(void **state)
{
	ledger_t ledger;

	ledger_init(&ledger, CAPACITY, 0, OWNER_INCARNATION, 50);
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

/* Guards against an over-commitment that isn't reported or never ends: memory
 * in use is recorded beyond the capacity, memory not yet in use is not.
 */
static void test_overcommitment_ends(void **state)
{
	ledger_t ledger;
	ledger_key_t key = {{1}, 1};

	ledger_init(&ledger, CAPACITY, 0, OWNER_INCARNATION, 0);
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
 * without a grant, and against counting a request that has just ended as one.
 */
static void test_unaccounted_use(void **state)
{
	ledger_t ledger;
	ledger_key_t key = {{1}, 1};

	ledger_init(&ledger, CAPACITY, 0, OWNER_INCARNATION, 0);
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

/* Guards against more transfers at once to one engine than its link can carry.
 */
static void test_transfer_slots(void **state)
{
	ledger_t ledger;
	ledger_key_t one = {{1}, 1}, two = {{2}, 1};

	ledger_init(&ledger, CAPACITY, 1, OWNER_INCARNATION, 0);
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

/* Guards against credits that exceed the free memory, never expire or can be
 * used twice.
 */
static void test_credits(void **state)
{
	ledger_t ledger;
	ledger_grant_t wanted = grant(vm_a, 1, 100);

	ledger_init(&ledger, CAPACITY, 0, OWNER_INCARNATION, 0);
	assert_int_equal(ledger_lend(&ledger, vm_a, 9999, 2, 50, 0), 250);
	assert_int_equal(ledger_lend(&ledger, vm_a, 9999, 2, 50, 0), 0);
	assert_int_equal(ledger_use_credit(&ledger, &wanted, 10), LEDGER_OK);
	assert_int_equal(ledger_use_credit(&ledger, &wanted, 10), LEDGER_OK);
	assert_int_equal(ledger.lent_tokens, 150);
	assert_int_equal(ledger.granted_tokens, 100);
	ledger_return_credit(&ledger, vm_a, 50);
	assert_int_equal(ledger.lent_tokens, 100);
	ledger_expire(&ledger, 50, add_tokens, &(int64_t){0});
	assert_int_equal(ledger.lent_tokens, 0);
	reserve(&ledger, vm_b, 2, 900, 0);
	assert_int_equal(ledger_lend(&ledger, vm_a, 10, 2, 99, 60), 0);
	wanted = grant(vm_a, 3, 10);
	assert_int_equal(ledger_use_credit(&ledger, &wanted, 60), LEDGER_FULL);
	ledger_finish(&ledger);
}

/* Guards against a router that takes more than its fixed share while the owner
 * cannot be reached, and against use of a previous owner's credit.
 */
static void test_router_share(void **state)
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
	assert_int_equal(share_foreach_grant(&share, add_tokens, &(int64_t){0}),
			 2);
	assert_true(share_remove_grant(&share, &own.key));
	assert_false(share_remove_grant(&share, &own.key));
	assert_int_equal(share.held_tokens, 100);
	share_finish(&share);
}

/* The deployment of the random test: routers and one ledger owner at a time. */
typedef struct {
	GRand *rand;
	ledger_t ledger;
	uint64_t owner_incarnation;
	share_t shares[ROUTERS];
	ledger_vm_t vms[ROUTERS];
	bool resend_due[ROUTERS]; /* grants not yet sent to the new owner */
	int64_t now_us;
	uint32_t next_attempt;
	int64_t refused_in_recovery;
} deployment_t;

#define GRANT_US 100
#define CREDIT_US 20
#define STEP_US 5

static void restore_one(const ledger_grant_t *held, void *context)
{
	deployment_t *deployment = context;

	assert_int_equal(ledger_restore(&deployment->ledger, held,
					deployment->now_us),
			 LEDGER_OK);
}

/* Sends a router's grants to the new owner, if that is due. */
static void resend_grants(deployment_t *deployment, int i)
{
	if (!deployment->resend_due[i])
		return;
	deployment->resend_due[i] = false;
	share_set_owner(&deployment->shares[i], deployment->owner_incarnation);
	share_foreach_grant(&deployment->shares[i], restore_one, deployment);
}

/* Lets the owner die; the next one starts with an empty ledger. Each router
 * re-sends its grants at some time within the recovery period, and until then
 * can use the credit of the dead owner.
 */
static void change_owner(deployment_t *deployment)
{
	for (int i = 0; i < ROUTERS; i++)
		resend_grants(deployment, i);
	ledger_finish(&deployment->ledger);
	ledger_init(&deployment->ledger, CAPACITY, 0,
		    ++deployment->owner_incarnation,
		    deployment->now_us + CREDIT_US);
	for (int i = 0; i < ROUTERS; i++)
		deployment->resend_due[i] = true;
}

/* Reserves memory of a random size for a router, from its credit if it fits. */
static void reserve_random(deployment_t *deployment, int i)
{
	share_t *share = &deployment->shares[i];
	ledger_result_t result;
	ledger_grant_t wanted = {
		.key = {{0}, deployment->next_attempt++},
		.tokens = g_rand_int_range(deployment->rand, 1, 150),
		.deadline_us = deployment->now_us + GRANT_US,
		.vm = deployment->vms[i],
	};

	if (g_rand_int_range(deployment->rand, 0, 2) &&
	    share->credit_tokens > 0)
		wanted.tokens = MIN(wanted.tokens, share->credit_tokens);
	if (share_take_credit(share, &wanted, deployment->now_us)) {
		if (deployment->resend_due[i])
			return;
		assert_int_equal(ledger_use_credit(&deployment->ledger, &wanted,
						   deployment->now_us),
				 LEDGER_OK);
		return;
	}
	if (deployment->resend_due[i])
		return;
	result = ledger_reserve(&deployment->ledger, &wanted,
				deployment->now_us);
	deployment->refused_in_recovery += result == LEDGER_RECOVERING;
	if (result == LEDGER_OK)
		share_add_grant(share, &wanted);
}

static void copy_last_key(const ledger_grant_t *held, void *context)
{
	*(ledger_key_t *)context = held->key;
}

/* Ends a grant of a router. With `lost` its release doesn't reach the owner. */
static void release_random(deployment_t *deployment, int i, bool lost)
{
	ledger_key_t key;

	if (share_foreach_grant(&deployment->shares[i], copy_last_key, &key) ==
	    0)
		return;
	share_remove_grant(&deployment->shares[i], &key);
	if (!lost && !deployment->resend_due[i])
		assert_int_equal(ledger_release(&deployment->ledger, &key,
						deployment->vms[i]),
				 LEDGER_OK);
}

static void renew_one(const ledger_grant_t *held, void *context)
{
	deployment_t *deployment = context;
	int64_t deadline_us = deployment->now_us + GRANT_US;

	assert_int_equal(ledger_renew(&deployment->ledger, &held->key, held->vm,
				      LEDGER_DECODING, deadline_us),
			 LEDGER_OK);
	for (int i = 0; i < ROUTERS; i++)
		share_update_grant(&deployment->shares[i], &held->key,
				   LEDGER_DECODING, deadline_us);
}

/* Advances the clock, after the routers have renewed their grants, and re-sent
 * them if recovery is about to end.
 */
static void advance_clock(deployment_t *deployment)
{
	bool recovered = deployment->now_us + STEP_US >=
			 deployment->ledger.recovery_until_us;

	for (int i = 0; i < ROUTERS; i++) {
		if (recovered)
			resend_grants(deployment, i);
		if (!deployment->resend_due[i])
			share_foreach_grant(&deployment->shares[i], renew_one,
					    deployment);
	}
	deployment->now_us += STEP_US;
}

static void copy_key(const ledger_grant_t *found, void *context)
{
	*(ledger_key_t *)context = found->key;
}

static void lend_to(deployment_t *deployment, int i)
{
	int64_t lent;

	if (deployment->resend_due[i])
		return;
	lent = ledger_lend(&deployment->ledger, deployment->vms[i], 200,
			   ROUTERS, deployment->now_us + CREDIT_US,
			   deployment->now_us);
	if (lent > 0)
		share_set_credit(&deployment->shares[i], lent,
				 deployment->now_us + CREDIT_US - 1);
}

static void run_random_step(deployment_t *deployment)
{
	int i = g_rand_int_range(deployment->rand, 0, ROUTERS);
	ledger_key_t key = {0};

	switch (g_rand_int_range(deployment->rand, 0, 12)) {
	case 0:
		lend_to(deployment, i);
		break;
	case 1:
	case 2:
		release_random(deployment, i, false);
		break;
	case 3:
		release_random(deployment, i,
			       g_rand_int_range(deployment->rand, 0, 9) == 0);
		break;
	case 4:
		advance_clock(deployment);
		break;
	case 5:
		ledger_expire(&deployment->ledger, deployment->now_us, copy_key,
			      &key);
		ledger_confirm_cancelled(&deployment->ledger, &key);
		break;
	case 6:
		resend_grants(deployment, i);
		if (g_rand_int_range(deployment->rand, 0, 100) == 0)
			change_owner(deployment);
		break;
	default:
		reserve_random(deployment, i);
	}
}

/* Guards against routers that together hold more memory than the engine has,
 * after random sequences of reservations, credits, releases, lost releases,
 * expired grants and owner changes.
 */
static void test_never_more_than_capacity(void **state)
{
	static const char *const names[ROUTERS] = {"a", "b", "c", "d",
						   "e", "f", "g", "h"};
	deployment_t deployment = {.rand = g_rand_new_with_seed(SEED),
				   .owner_incarnation = OWNER_INCARNATION};
	int64_t max_held_tokens = 0;

	ledger_init(&deployment.ledger, CAPACITY, 0,
		    deployment.owner_incarnation, 0);
	for (int i = 0; i < ROUTERS; i++) {
		share_init(&deployment.shares[i], CAPACITY, ROUTERS);
		share_set_owner(&deployment.shares[i],
				deployment.owner_incarnation);
		deployment.vms[i] = (ledger_vm_t){str_from(names[i]), 1};
	}
	for (int step = 0; step < 200000; step++) {
		int64_t held = 0;

		run_random_step(&deployment);
		for (int i = 0; i < ROUTERS; i++)
			held += deployment.shares[i].held_tokens +
				share_credit_tokens(&deployment.shares[i],
						    deployment.now_us);
		assert_true(held <= CAPACITY);
		assert_true(deployment.ledger.granted_tokens +
				    deployment.ledger.lent_tokens <=
			    CAPACITY);
		assert_true(deployment.ledger.lent_tokens >= 0);
		max_held_tokens = MAX(max_held_tokens, held);
	}
	assert_true(max_held_tokens > CAPACITY * 9 / 10);
	assert_true(deployment.owner_incarnation > OWNER_INCARNATION + 50);
	assert_true(deployment.refused_in_recovery > 100);
	for (int i = 0; i < ROUTERS; i++)
		share_finish(&deployment.shares[i]);
	ledger_finish(&deployment.ledger);
	g_rand_free(deployment.rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_grants_no_memory_twice),
		cmocka_unit_test(test_expired_grant_is_cancelled_first),
		cmocka_unit_test(test_dead_vm),
		cmocka_unit_test(test_new_owner_recovers_first),
		cmocka_unit_test(test_overcommitment_ends),
		cmocka_unit_test(test_unaccounted_use),
		cmocka_unit_test(test_transfer_slots),
		cmocka_unit_test(test_credits),
		cmocka_unit_test(test_router_share),
		cmocka_unit_test(test_never_more_than_capacity),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
