#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/estimate.h"
#include "process/prefix.h"

#define STEP_US (100 * CLOCK_US_PER_MS)

static void add(estimate_t *estimate, int n, int64_t us_per_token, int64_t now)
{
	for (int i = 0; i < n; i++)
		estimate_add(estimate, us_per_token * 100, 100, now);
}

/* Guards against one stalled call that takes an engine out of use. */
static void test_outlier_shifts_little(void **state)
{
	estimate_t one, pool;

	estimate_init(&one, 1);
	estimate_init(&pool, 1);
	add(&one, 20, 50, 0);
	add(&one, 1, 50000, 0);
	assert_true(estimate_us(&one, &pool, 0) < 50 * 1.2);
	/* A call that was given up early shows nothing about speed. */
	estimate_add_lower_bound(&one, 100, 100, 0);
	assert_true(estimate_us(&one, &pool, 0) > 50);
	/* Samples without tokens or time are no reason to crash. */
	estimate_add(&one, 100, 0, 0);
	estimate_add(&one, -5, 100, 0);
	assert_true(estimate_us(&one, &pool, 0) > 40);
}

/* Guards against an engine that keeps its work after it became slow, loses it
 * all at once, or never regains it once it has recovered without any samples.
 */
static void test_slow_engine_changes_gradually(void **state)
{
	estimate_t one, pool;
	double speed, last = 1.0001;
	int64_t now = 0;

	estimate_init(&one, 1);
	estimate_init(&pool, 1);
	add(&pool, 20, 50, 0);
	add(&one, 20, 50, 0);
	for (int i = 0; i < 20; i++) {
		now += STEP_US;
		add(&one, 1, 200, now);
		speed = estimate_speed(&one, &pool, now);
		assert_true(speed <= last && speed > last * 0.8);
		last = speed;
	}
	assert_true(last < 0.3);
	for (int i = 0; i < 600; i++) {
		now += STEP_US;
		speed = estimate_speed(&one, &pool, now);
		assert_true(speed >= last && speed < last * 1.1);
		last = speed;
	}
	assert_true(last > 0.9);
}

static size_t find(prefix_index_t *prefix, uint64_t id)
{
	prefix_hit_t hits[PREFIX_HOLDERS];

	return prefix_find(prefix, id, hits);
}

/* Guards against hints that outlive an eviction or a lost event by long. */
static void test_hints_follow_events(void **state)
{
	prefix_index_t prefix;
	prefix_hit_t hits[PREFIX_HOLDERS];

	prefix_init(&prefix, 100);
	prefix_on_event(&prefix, 1, 1, true, 7);
	prefix_on_event(&prefix, 2, 1, true, 7);
	assert_int_equal(find(&prefix, 7), 2);
	prefix_on_event(&prefix, 1, 2, false, 7);
	assert_int_equal(find(&prefix, 7), 1);
	/* A repeated event does not bring the hint back. */
	prefix_on_event(&prefix, 1, 1, true, 7);
	assert_int_equal(find(&prefix, 7), 1);
	/* Each gap makes the engine's older hints less certain. */
	prefix_on_event(&prefix, 2, 9, true, 8);
	assert_int_equal(prefix_find(&prefix, 7, hits), 1);
	assert_true(hits[0].confidence < 1);
	prefix_on_event(&prefix, 2, 19, true, 8);
	prefix_on_event(&prefix, 2, 29, true, 8);
	assert_int_equal(find(&prefix, 7), 0);
	assert_int_equal(prefix_find(&prefix, 8, hits), 1);
	assert_true(hits[0].confidence == 1);
	/* A restarted engine holds nothing and counts from the start. */
	prefix_forget_engine(&prefix, 2);
	assert_int_equal(find(&prefix, 8), 0);
	prefix_on_event(&prefix, 2, 1, true, 9);
	assert_int_equal(find(&prefix, 9), 1);
	assert_int_equal(find(&prefix, 8), 0);
	prefix_finish(&prefix);
}

/* Guards against losing what the responses tell: how much a hit saved. */
static void test_learns_saved_tokens(void **state)
{
	prefix_index_t prefix;
	prefix_hit_t hits[PREFIX_HOLDERS];

	prefix_init(&prefix, 10);
	prefix_on_prefill(&prefix, 1, 7, 0);
	assert_int_equal(prefix_find(&prefix, 7, hits), 1);
	assert_int_equal(hits[0].tokens, 0);
	prefix_on_prefill(&prefix, 1, 7, 640);
	prefix_on_prefill(&prefix, 2, 7, 0);
	assert_int_equal(prefix_find(&prefix, 7, hits), 2);
	assert_int_equal(hits[0].tokens, 640);
	assert_int_equal(hits[1].tokens, 640);
	prefix_finish(&prefix);
}

/* Guards against memory that grows with the number of prompts or engines. */
static void test_hints_are_bounded(void **state)
{
	prefix_index_t prefix;

	prefix_init(&prefix, 100);
	for (uint64_t id = 0; id < 10000; id++) {
		for (uint32_t engine = 0; engine < 10; engine++)
			prefix_on_prefill(&prefix, engine, id, 0);
		assert_true(find(&prefix, id) <= PREFIX_HOLDERS);
		assert_true(find(&prefix, id) > 0);
		find(&prefix, 0);
	}
	assert_int_equal(prefix_count(&prefix), 100);
	/* The least recently used are dropped first. */
	assert_int_equal(find(&prefix, 1), 0);
	assert_true(find(&prefix, 0) > 0);
	prefix_finish(&prefix);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_outlier_shifts_little),
		cmocka_unit_test(test_slow_engine_changes_gradually),
		cmocka_unit_test(test_hints_follow_events),
		cmocka_unit_test(test_learns_saved_tokens),
		cmocka_unit_test(test_hints_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
