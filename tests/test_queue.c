#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/queue.h"

#define FAR (1000 * CLOCK_US_PER_S)
#define SEED 20261203u

static queue_request_t request(const char *workspace, int priority,
			       double worth, int64_t cost, intptr_t label)
{
	return (queue_request_t){
		.workspace = str_from(workspace),
		.weight = 1,
		.priority = priority,
		.worth = worth,
		.cost_tokens = cost,
		.start_by_us = FAR,
		.context = (void *)label,
	};
}

static queue_outcome_t push(queue_t *queue, queue_request_t r)
{
	return queue_push(queue, &r, 0);
}

static intptr_t pop(queue_t *queue)
{
	return (intptr_t)queue_pop(queue, 0);
}

/* Guards against serving less urgent or less valuable requests first. */
static void test_orders_by_priority_worth_deadline(void **state)
{
	queue_t queue;
	queue_request_t r;

	queue_init(&queue, 10);
	push(&queue, request("a", 1, 8, 10, 1));
	push(&queue, request("a", 0, 1, 10, 2));
	push(&queue, request("a", 0, 4, 10, 3));
	r = request("a", 0, 4, 10, 4);
	r.start_by_us = FAR / 2;
	push(&queue, r);
	assert_int_equal((intptr_t)queue_peek(&queue), 4);
	assert_int_equal(pop(&queue), 4);
	assert_int_equal(pop(&queue), 3);
	assert_int_equal(pop(&queue), 2);
	assert_int_equal(pop(&queue), 1);
	assert_int_equal(pop(&queue), 0);
	queue_finish(&queue);
}

/* Guards against a workspace's surge that starves another workspace, also when
 * the surge's requests are small or the other workspace comes late.
 */
static void test_surge_does_not_starve(void **state)
{
	queue_t queue;
	int64_t served[3] = {0};

	queue_init(&queue, 1000);
	for (int i = 0; i < 500; i++)
		push(&queue, request("surge", 0, 1, 10, 1));
	for (int i = 0; i < 100; i++)
		pop(&queue);
	for (int i = 0; i < 20; i++)
		push(&queue, request("small", 0, 1, 100, 2));
	for (int i = 0; i < 110; i++) {
		intptr_t who = pop(&queue);

		served[who] += who == 1 ? 10 : 100;
	}
	assert_in_range(served[2], served[1] - 100, served[1] + 100);
	queue_finish(&queue);
}

/* Guards against a workspace's short burst that waits for the surge of another
 * although it has been idle before, and against more than a short burst.
 */
static void test_idle_workspace_may_burst(void **state)
{
	queue_t queue;
	queue_request_t r = request("surge", 0, 1, 100, 1);
	int64_t now = 0;
	int first = 0;

	queue_init(&queue, 1000);
	for (int i = 0; i < 300; i++)
		queue_push(&queue, &r, now);
	for (; now < 10 * CLOCK_US_PER_S; now += 100 * CLOCK_US_PER_MS)
		queue_pop(&queue, now);
	r = request("idle", 0, 1, 100, 2);
	for (int i = 0; i < 20; i++)
		queue_push(&queue, &r, now);
	while ((intptr_t)queue_pop(&queue, now) == 2)
		first++;
	/* At 1,000 tokens a second, 0.5 s are five requests. */
	assert_in_range(first, 4, 6);
	queue_finish(&queue);
}

/* Guards against weights that are ignored. */
static void test_shares_follow_weights(void **state)
{
	queue_t queue;
	int served[3] = {0};

	queue_init(&queue, 1000);
	for (int i = 0; i < 300; i++) {
		queue_request_t heavy = request("heavy", 0, 1, 10, 1);

		heavy.weight = 3;
		push(&queue, heavy);
		push(&queue, request("light", 0, 1, 10, 2));
	}
	for (int i = 0; i < 200; i++)
		served[pop(&queue)]++;
	assert_in_range(served[1], 148, 152);
	queue_finish(&queue);
}

/* Guards against a queue that one workspace fills so that others are refused,
 * and against one that grows beyond its bound.
 */
static void test_full_queue_evicts_largest_backlog(void **state)
{
	queue_t queue;
	queue_outcome_t outcome;

	queue_init(&queue, 4);
	for (int i = 0; i < 4; i++)
		push(&queue, request("surge", 1, i, 10, 10 + i));
	outcome = push(&queue, request("surge", 1, 0, 10, 20));
	assert_int_equal(outcome.result, QUEUE_FULL);
	assert_true(outcome.retry_at_us > 0);
	outcome = push(&queue, request("other", 1, 0, 10, 21));
	assert_int_equal(outcome.result, QUEUE_ACCEPTED);
	assert_int_equal((intptr_t)outcome.evicted, 10);
	/* A more valuable request replaces the workspace's own least one. */
	outcome = push(&queue, request("surge", 1, 8, 10, 22));
	assert_int_equal((intptr_t)outcome.evicted, 11);
	/* A lower priority never displaces a higher one, but the reverse. */
	outcome = push(&queue, request("third", 2, 9, 10, 23));
	assert_int_equal(outcome.result, QUEUE_FULL);
	outcome = push(&queue, request("third", 0, 0, 10, 24));
	assert_int_equal(outcome.result, QUEUE_ACCEPTED);
	assert_int_equal(queue.n_entries, 4);
	queue_finish(&queue);
}

/* Guards against keeping a request that can only miss its target, and against
 * a Retry-After that does not follow from the drain rate.
 */
static void test_refuses_what_would_be_late(void **state)
{
	queue_t queue;
	queue_request_t r = request("a", 0, 1, 100, 1);
	queue_outcome_t outcome;
	int64_t now = 0;

	queue_init(&queue, 1000);
	for (int i = 0; i < 200; i++)
		queue_push(&queue, &r, now);
	/* Drains 1,000 tokens a second. */
	for (; now < 10 * CLOCK_US_PER_S; now += 100 * CLOCK_US_PER_MS)
		queue_pop(&queue, now);
	assert_in_range((int64_t)queue_drain_rate(&queue), 950, 1050);
	/* 10,000 tokens are left, hence 10 s. */
	r.start_by_us = now + 4 * CLOCK_US_PER_S;
	outcome = queue_push(&queue, &r, now);
	assert_int_equal(outcome.result, QUEUE_LATE);
	/* In 6 s the wait has shrunk to the 4 s that it can bear. */
	assert_in_range(outcome.retry_at_us - now, 5 * CLOCK_US_PER_S,
			7 * CLOCK_US_PER_S);
	/* Another workspace has to wait for about one request of the first. */
	r.workspace = STR("b");
	r.start_by_us = now + CLOCK_US_PER_S;
	outcome = queue_push(&queue, &r, now);
	assert_int_equal(outcome.result, QUEUE_ACCEPTED);
	/* What was popped before is not refused for the wait. */
	r.workspace = STR("a");
	r.returning = true;
	outcome = queue_push(&queue, &r, now);
	assert_int_equal(outcome.result, QUEUE_ACCEPTED);
	r.start_by_us = now - 1;
	outcome = queue_push(&queue, &r, now);
	assert_int_equal(outcome.result, QUEUE_LATE);
	queue_finish(&queue);
}

/* Guards against requests that are popped and come back being counted as
 * drained, which made a queue that did not move look fast.
 */
static void test_returning_is_not_drained(void **state)
{
	queue_t queue;
	queue_request_t r = request("a", 0, 1, 100, 1);
	int64_t now = 0;

	queue_init(&queue, 100);
	for (int i = 0; i < 20; i++)
		queue_push(&queue, &r, now);
	r.returning = true;
	for (; now < 5 * CLOCK_US_PER_S; now += 10 * CLOCK_US_PER_MS) {
		queue_pop(&queue, now);
		queue_push(&queue, &r, now);
	}
	assert_in_range((int64_t)queue_drain_rate(&queue), 0, 10);
	r.returning = false;
	r.start_by_us = now + CLOCK_US_PER_S;
	assert_int_equal(queue_push(&queue, &r, now).result, QUEUE_LATE);
	queue_finish(&queue);
}

/* Guards against a drain rate taken only from the periods in which the queue
 * was stuck, which refused a quarter of all requests although most of the time
 * none was waiting.
 */
static void test_rate_counts_pops_that_empty_the_queue(void **state)
{
	queue_t queue;
	queue_request_t r = request("a", 0, 1, 100, 1);
	int64_t now = 0;

	queue_init(&queue, 100);
	/* Each request waits for 50 ms, hence 2,000 tokens a second; each
	 * tenth has to wait for 500 ms.
	 */
	for (int i = 0; i < 200; i++) {
		queue_push(&queue, &r, now);
		now += (i % 10 ? 50 : 500) * CLOCK_US_PER_MS;
		queue_pop(&queue, now);
		now += CLOCK_US_PER_S;
	}
	/* 1,000 tokens in 950 ms; a tenth of the requests only show 200. */
	assert_in_range((int64_t)queue_drain_rate(&queue), 700, 1500);
	queue_finish(&queue);
}

static void count_expired(void *entry_context, void *context)
{
	*(intptr_t *)context += (intptr_t)entry_context;
}

/* Guards against expired requests and those of callers that left. */
static void test_expires_and_removes(void **state)
{
	queue_t queue;
	queue_request_t r = request("a", 0, 1, 10, 1);
	queue_entry_t *entry;
	intptr_t expired = 0;

	queue_init(&queue, 10);
	assert_int_equal(queue_next_expiry(&queue), INT64_MAX);
	r.start_by_us = 100;
	queue_push(&queue, &r, 0);
	r = request("a", 0, 1, 10, 2);
	entry = push(&queue, r).entry;
	push(&queue, request("b", 0, 1, 10, 4));
	assert_int_equal(queue_next_expiry(&queue), 100);
	assert_int_equal(queue_expire(&queue, 100, count_expired, &expired), 0);
	assert_int_equal(queue_expire(&queue, 101, count_expired, &expired), 1);
	assert_int_equal(expired, 1);
	queue_remove(&queue, entry);
	assert_int_equal(pop(&queue), 4);
	assert_null(queue_pop(&queue, 0));
	queue_finish(&queue);
}

/* Guards against a workspace that is charged twice for a request that had to
 * wait again.
 */
static void test_returning_is_not_charged_twice(void **state)
{
	queue_t queue;
	queue_request_t r;

	queue_init(&queue, 10);
	push(&queue, request("a", 0, 1, 100, 1));
	push(&queue, request("a", 0, 1, 100, 2));
	push(&queue, request("b", 0, 1, 100, 3));
	assert_int_equal(pop(&queue), 1);
	r = request("a", 0, 2, 100, 1);
	r.returning = true;
	push(&queue, r);
	assert_int_equal(pop(&queue), 1);
	assert_int_equal(pop(&queue), 3);
	assert_int_equal(pop(&queue), 2);
	queue_finish(&queue);
}

/* Guards against lost or doubled entries and wrong sums after any sequence of
 * operations.
 */
static void test_random_operations(void **state)
{
	static const char *const names[] = {"a", "b", "c", "d", "e"};
	GRand *rand = g_rand_new_with_seed(SEED);
	queue_entry_t *entries[65] = {NULL};
	queue_t queue;
	size_t held = 0;

	queue_init(&queue, 32);
	for (int step = 0; step < 50000; step++) {
		int i = g_rand_int_range(rand, 1, 65);
		queue_request_t r = request(names[g_rand_int_range(rand, 0, 5)],
					    g_rand_int_range(rand, 0, 3),
					    g_rand_double_range(rand, 0, 9),
					    g_rand_int_range(rand, 1, 99), i);
		intptr_t out = 0;

		if (g_rand_int_range(rand, 0, 5) == 0) {
			out = (intptr_t)queue_pop(&queue, step);
			assert_true(out > 0 || held == 0);
		} else if (entries[i]) {
			queue_remove(&queue, entries[i]);
			out = i;
		} else {
			queue_outcome_t o = queue_push(&queue, &r, step);

			entries[i] = o.entry;
			held += o.entry != NULL;
			out = (intptr_t)o.evicted;
		}
		if (out) {
			assert_non_null(entries[out]);
			entries[out] = NULL;
			held--;
		}
		assert_int_equal(queue.n_entries, held);
		assert_true(held <= 32);
	}
	while (queue_pop(&queue, 0))
		held--;
	assert_int_equal(held, 0);
	for (int p = 0; p < QUEUE_PRIORITIES; p++)
		assert_int_equal(queue.classes[p].cost_tokens, 0);
	queue_finish(&queue);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_orders_by_priority_worth_deadline),
		cmocka_unit_test(test_surge_does_not_starve),
		cmocka_unit_test(test_idle_workspace_may_burst),
		cmocka_unit_test(test_shares_follow_weights),
		cmocka_unit_test(test_full_queue_evicts_largest_backlog),
		cmocka_unit_test(test_refuses_what_would_be_late),
		cmocka_unit_test(test_expires_and_removes),
		cmocka_unit_test(test_returning_is_not_charged_twice),
		cmocka_unit_test(test_returning_is_not_drained),
		cmocka_unit_test(test_rate_counts_pops_that_empty_the_queue),
		cmocka_unit_test(test_random_operations),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
