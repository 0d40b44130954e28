#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/decide/duration.h"
#include "process/route.h"

#define SEED 20261203u
#define FAR_US (1000 * CLOCK_US_PER_S)

static uint32_t random_number(void *context)
{
	return g_rand_int(context);
}

/* How long a prompt takes, and a silence of all engines. */
#define PROMPT_US (20 * CLOCK_US_PER_MS)
#define SILENCE_US (1300 * CLOCK_US_PER_MS)

/* Time without prompts after which what was known is out of date. */
#define QUIET_US (30 * CLOCK_US_PER_S)

typedef struct {
	GRand *rand;
	prefix_index_t prefix;
	route_pool_t route;
	route_engine_t *engines[10];
} fixture_t;

static void setup(fixture_t *f, route_kind_t kind, route_policy_t policy,
		  int n_near, int n_far)
{
	route_config_t config = {
		.policy = policy,
		.zone = STR("near"),
		.routers = 4,
		.max_transfers = 2,
		.random = random_number,
	};

	f->rand = g_rand_new_with_seed(SEED);
	config.random_context = f->rand;
	prefix_init(&f->prefix, 100);
	route_init(&f->route, kind, &config, &f->prefix);
	for (int i = 0; i < n_near + n_far; i++) {
		route_engine_config_t engine = {
			.id = (uint32_t)i + 1,
			.zone = i < n_near ? STR("near") : STR("far"),
			.kv_tokens = 1000,
			.max_prefills = 4,
		};

		f->engines[i] = route_add(&f->route, &engine);
	}
}

static void teardown(fixture_t *f)
{
	route_finish(&f->route);
	prefix_finish(&f->prefix);
	g_rand_free(f->rand);
}

static route_engine_t *prefill(fixture_t *f, int64_t prompt, uint64_t prefix)
{
	route_prefill_t want = {
		.prompt_tokens = prompt,
		.prefix_tokens = 64,
		.prefix = prefix,
		.finish_by_us = FAR_US,
	};

	return route_pick_prefill(&f->route, &want, 0);
}

static route_engine_t *decode(fixture_t *f, int64_t tokens)
{
	route_decode_t want = {.tokens = tokens};

	return route_pick_decode(&f->route, &want, 0);
}

/* Guards against a name in the settings that selects the wrong policy, also one
 * that is only the beginning of a name.
 */
static void test_policy_names(void **state)
{
	route_policy_t policy;

	for (int i = 0; i < ROUTE_POLICIES_N; i++) {
		const char *name = route_policy_name((route_policy_t)i);

		assert_true(route_policy_parse(str_from(name), &policy));
		assert_int_equal(policy, i);
	}
	assert_false(route_policy_parse(STR("led"), &policy));
}

/* Guards against a policy that gives new work to an engine that is not healthy
 * or is leaving, whether the configuration or the engine's report says so.
 */
static void test_no_work_for_leaving_engines(void **state)
{
	for (int p = 0; p < ROUTE_POLICIES_N; p++) {
		for (int kind = 0; kind < 2; kind++) {
			fixture_t f;
			route_load_t load = {.leaving = true};

			setup(&f, (route_kind_t)kind, (route_policy_t)p, 4, 0);
			for (int i = 0; i < 4; i++)
				route_set_credit(&f.route, f.engines[i], 500);
			route_set_state(&f.route, f.engines[0], false, false);
			route_set_state(&f.route, f.engines[1], true, true);
			route_update_load(&f.route, f.engines[2], &load, 0);
			for (int i = 0; i < 50; i++) {
				route_engine_t *e = kind ? decode(&f, 10)
							 : prefill(&f, 10, 0);

				/* Both random engines may be unavailable. */
				assert_true(e == f.engines[3] ||
					    (p == ROUTE_TWO_CHOICES && !e));
			}
			teardown(&f);
		}
	}
}

/* Guards against a round robin that advances with each choice instead of each
 * request: a caller that chooses several times per request then always gets the
 * same engine.
 */
static void test_choice_does_not_advance_round_robin(void **state)
{
	fixture_t f;

	setup(&f, ROUTE_PREFILL_POOL, ROUTE_ROUND_ROBIN, 3, 0);
	for (int i = 0; i < 9; i++) {
		route_engine_t *e = prefill(&f, 10, 0);

		assert_ptr_equal(e, f.engines[i % 3]);
		assert_ptr_equal(prefill(&f, 10, 0), e);
		assert_ptr_equal(prefill(&f, 10, 0), e);
		route_request_begin(&f.route, e, 10);
	}
	teardown(&f);
}

/* Guards against ignoring a cached prefix, and against preferring an engine
 * that has it cached although its backlog takes longer than the prefix saves.
 */
static void test_cached_prefix_bounded_by_load(void **state)
{
	fixture_t f;

	setup(&f, ROUTE_PREFILL_POOL, ROUTE_LEDGER, 5, 0);
	prefix_on_prefill(&f.prefix, 3, 99, 64);
	assert_ptr_equal(prefill(&f, 100, 99), f.engines[2]);
	route_request_begin(&f.route, f.engines[2], 60);
	assert_ptr_equal(prefill(&f, 100, 99), f.engines[2]);
	route_request_begin(&f.route, f.engines[2], 60);
	assert_ptr_not_equal(prefill(&f, 100, 99), f.engines[2]);
	route_request_end(&f.route, f.engines[2], 60);
	assert_ptr_equal(prefill(&f, 100, 99), f.engines[2]);
	teardown(&f);
}

/* Guards against starting a prefill that would end too late, or on an engine
 * that has as many prefills as it can take.
 */
static void test_prefill_not_started_too_late(void **state)
{
	fixture_t f;
	route_prefill_t want = {.prompt_tokens = 1000,
				.finish_by_us = 10 * CLOCK_US_PER_MS};

	setup(&f, ROUTE_PREFILL_POOL, ROUTE_LEDGER, 2, 0);
	for (int i = 0; i < 2; i++)
		route_record_prefill(&f.route, f.engines[i], 1000, 0,
				     20 * CLOCK_US_PER_MS, 0);
	assert_null(route_pick_prefill(&f.route, &want, 0));
	want.finish_by_us = 21 * CLOCK_US_PER_MS;
	assert_non_null(route_pick_prefill(&f.route, &want, 0));
	want.finish_by_us = FAR_US;
	for (int i = 0; i < 8; i++)
		route_request_begin(&f.route, f.engines[i % 2], 1);
	assert_null(route_pick_prefill(&f.route, &want, 0));
	route_request_end(&f.route, f.engines[1], 1);
	assert_ptr_equal(route_pick_prefill(&f.route, &want, 0), f.engines[1]);
	teardown(&f);
}

/* Guards against starting prefills that end too late because requests of other
 * routers are not known yet: the margin has to follow from earlier prefills.
 * One stalled prefill must not raise it so far that no prefill is started.
 */
static void test_margin_follows_prefills(void **state)
{
	fixture_t f;
	int64_t margin;

	setup(&f, ROUTE_PREFILL_POOL, ROUTE_LEDGER, 1, 0);
	for (int i = 0; i < 200; i++) {
		int64_t expected = route_expected_prefill_us(
			&f.route, f.engines[0], 1000, 0);
		int64_t jitter = g_rand_int_range(f.rand, -10, 11);

		route_record_prefill(
			&f.route, f.engines[0], 1000, expected,
			20 * CLOCK_US_PER_MS + jitter * CLOCK_US_PER_MS, 0);
	}
	/* The mean deviation is 5 ms, and the margin twice that. */
	margin = route_prefill_margin_us(&f.route);
	assert_in_range(margin, 5 * CLOCK_US_PER_MS, 20 * CLOCK_US_PER_MS);
	assert_true(route_latest_start_us(&f.route, 1000, 0) < -margin);
	route_record_prefill(&f.route, f.engines[0], 1000, 20 * CLOCK_US_PER_MS,
			     60 * CLOCK_US_PER_S, 0);
	assert_true(route_prefill_margin_us(&f.route) <
		    margin + 35 * CLOCK_US_PER_MS);
	teardown(&f);
}

/* Sends a prompt of 1,000 tokens that has to be computed within `target_us`, unless no engine is
 * expected to do that. Returns the engine, or NULL.
 */
static route_engine_t *send_prompt(fixture_t *f, int64_t target_us,
				   int64_t now_us, int64_t *expected_us)
{
	route_prefill_t want = {
		.prompt_tokens = 1000,
		.finish_by_us = now_us + target_us,
	};
	route_engine_t *engine = route_pick_prefill(&f->route, &want, now_us);

	if (!engine)
		return NULL;
	*expected_us =
		route_expected_prefill_us(&f->route, engine, 1000, now_us);
	route_request_begin(&f->route, engine, 1000);
	return engine;
}

static void end_prompt(fixture_t *f, route_engine_t *engine,
		       int64_t expected_us, int64_t elapsed_us, int64_t now_us)
{
	route_request_end(&f->route, engine, 1000);
	route_record_prefill(&f->route, engine, 1000, expected_us, elapsed_us,
			     now_us);
}

/* Sends prompts one after the other, each of which must be taken. Returns the time then. */
static int64_t play_prompts(fixture_t *f, int64_t target_us, int64_t now_us)
{
	for (int i = 0; i < 200; i++) {
		int64_t expected_us = 0;
		route_engine_t *engine =
			send_prompt(f, target_us, now_us, &expected_us);

		assert_non_null(engine);
		now_us += PROMPT_US;
		end_prompt(f, engine, expected_us, PROMPT_US, now_us);
	}
	return now_us;
}

/* Guards against engines that get no prompt any more because those that were in progress in one
 * moment of silence made all seem late: only prompts could show that they are not.
 */
static void test_prompts_after_a_silence(void **state)
{
	static const int64_t targets_us[] = {240 * CLOCK_US_PER_MS,
					     520 * CLOCK_US_PER_MS};

	for (size_t i = 0; i < G_N_ELEMENTS(targets_us); i++) {
		int64_t now_us = CLOCK_US_PER_S;
		int64_t expected_us[32];
		route_engine_t *engines[32];
		unsigned n = 0;
		fixture_t f;

		setup(&f, ROUTE_PREFILL_POOL, ROUTE_LEDGER, 8, 0);
		now_us = play_prompts(&f, targets_us[i], now_us);
		while (n < 32 &&
		       (engines[n] = send_prompt(&f, targets_us[i], now_us,
						 &expected_us[n])))
			n++;
		assert_int_equal(n, 32);
		now_us += SILENCE_US;
		while (n-- > 0)
			end_prompt(&f, engines[n], expected_us[n], SILENCE_US,
				   now_us);
		now_us += QUIET_US;
		(void)play_prompts(&f, targets_us[i], now_us);
		teardown(&f);
	}
}

/* Guards against choosing an engine in another zone while the own zone has
 * memory or a short backlog, and against staying in the own zone when it has
 * not.
 */
static void test_zone_preference_spills_over(void **state)
{
	fixture_t f;

	setup(&f, ROUTE_DECODE_POOL, ROUTE_LEDGER, 2, 2);
	for (int i = 0; i < 20; i++)
		assert_true(route_is_in_own_zone(&f.route, decode(&f, 500)));
	route_set_free_tokens(&f.route, f.engines[0], 400, 0);
	route_set_free_tokens(&f.route, f.engines[1], 400, 0);
	assert_false(route_is_in_own_zone(&f.route, decode(&f, 500)));
	assert_true(route_is_in_own_zone(&f.route, decode(&f, 400)));
	assert_null(decode(&f, 1001));
	teardown(&f);
	setup(&f, ROUTE_PREFILL_POOL, ROUTE_LEDGER, 2, 2);
	assert_true(route_is_in_own_zone(&f.route, prefill(&f, 100, 0)));
	route_request_begin(&f.route, f.engines[0], 1000);
	route_request_begin(&f.route, f.engines[1], 1000);
	assert_false(route_is_in_own_zone(&f.route, prefill(&f, 100, 0)));
	teardown(&f);
}

/* Guards against exceeding a fixed share, against not using credit, and against
 * choosing an engine that has refused before.
 */
static void test_decode_policies(void **state)
{
	fixture_t f;
	const route_engine_t *except[1];
	route_decode_t want = {.tokens = 100, .except = except, .n_except = 1};

	setup(&f, ROUTE_DECODE_POOL, ROUTE_SHARE, 1, 0);
	assert_non_null(decode(&f, 250));
	assert_null(decode(&f, 251));
	route_request_begin(&f.route, f.engines[0], 100);
	assert_null(decode(&f, 151));
	teardown(&f);
	setup(&f, ROUTE_DECODE_POOL, ROUTE_CREDITS, 4, 0);
	route_set_credit(&f.route, f.engines[2], 100);
	assert_ptr_equal(decode(&f, 100), f.engines[2]);
	except[0] = f.engines[2];
	for (int i = 0; i < 20; i++)
		assert_ptr_not_equal(route_pick_decode(&f.route, &want, 0),
				     f.engines[2]);
	route_set_credit(&f.route, f.engines[2], 0);
	assert_non_null(decode(&f, 100));
	teardown(&f);
}

/* Guards against more transfers to one engine at a time than are allowed, and
 * against choosing an engine that can take none.
 */
static void test_transfers_are_bounded(void **state)
{
	fixture_t f;

	setup(&f, ROUTE_DECODE_POOL, ROUTE_LEDGER, 1, 0);
	assert_true(route_transfer_begin(&f.route, f.engines[0]));
	assert_true(route_transfer_begin(&f.route, f.engines[0]));
	assert_false(route_transfer_begin(&f.route, f.engines[0]));
	assert_null(decode(&f, 10));
	route_transfer_end(&f.route, f.engines[0]);
	assert_non_null(decode(&f, 10));
	teardown(&f);
}

/* Guards against a slow engine that gets as many requests as the fast ones. */
static void test_slow_engine_gets_less(void **state)
{
	fixture_t f;
	int slow = 0;

	setup(&f, ROUTE_PREFILL_POOL, ROUTE_LEDGER, 4, 0);
	for (int step = 0; step < 400; step++) {
		route_engine_t *e = prefill(&f, 1000, 0);
		int64_t us = e == f.engines[0] ? 200000 : 20000;

		slow += step >= 100 && e == f.engines[0];
		route_request_begin(&f.route, e, 1000);
		route_request_end(&f.route, e, 1000);
		route_record_prefill(&f.route, e, 1000,
				     route_expected_prefill_us(&f.route, e,
							       1000, step),
				     us, step);
	}
	/* A quarter would be 75. */
	assert_in_range(slow, 0, 30);
	teardown(&f);
}

/* Guards against routers that all choose the same engine because they rely on
 * the same old reports: the older a report, the less its difference from the
 * mean may count.
 */
static void test_old_reports_count_less(void **state)
{
	fixture_t f;
	route_load_t busy = {.running = 8};
	double fresh, old;

	setup(&f, ROUTE_PREFILL_POOL, ROUTE_LEDGER, 4, 0);
	route_request_begin(&f.route, f.engines[3], 1000);
	route_record_prefill(&f.route, f.engines[3], 1000, 0, 100000, 0);
	route_request_end(&f.route, f.engines[3], 1000);
	route_update_load(&f.route, f.engines[0], &busy, 0);
	fresh = route_requests(&f.route, f.engines[0]);
	busy.age_us = 200000;
	route_update_load(&f.route, f.engines[0], &busy, 0);
	old = route_requests(&f.route, f.engines[0]);
	assert_true(fresh == 8);
	/* The mean is 2, and a report twice as old as a prefill counts 14%. */
	assert_true(old > 2 && old < 3);
	/* Of equal engines, the least recently used is chosen. */
	for (int i = 0; i < 3; i++) {
		route_engine_t *e = prefill(&f, 1000, 0);

		assert_int_equal(e->last_request, i == 2 ? 1 : 0);
		route_request_begin(&f.route, e, 1000);
		route_request_end(&f.route, e, 1000);
	}
	teardown(&f);
}

/* Guards against an index or array that is wrong after engines were removed,
 * and against counting own requests twice because reports include them.
 */
static void test_added_and_removed_engines(void **state)
{
	fixture_t f;
	route_load_t load = {.running = 3, .kv_used = 300};

	setup(&f, ROUTE_DECODE_POOL, ROUTE_LEDGER, 5, 5);
	route_request_begin(&f.route, f.engines[4], 100);
	route_update_load(&f.route, f.engines[4], &load, 0);
	route_update_load(&f.route, f.engines[4], &load, 0);
	assert_true(route_requests(&f.route, f.engines[4]) == 3);
	assert_int_equal(route_free_tokens(&f.route, f.engines[4]), 700);
	for (int i = 0; i < 10; i++) {
		if (i != 4)
			route_remove(&f.route, f.engines[i]);
	}
	assert_ptr_equal(decode(&f, 700), f.engines[4]);
	assert_ptr_equal(route_find(&f.route, 5), f.engines[4]);
	assert_null(route_find(&f.route, 1));
	assert_null(decode(&f, 701));
	route_remove(&f.route, f.engines[4]);
	assert_null(decode(&f, 1));
	teardown(&f);
}

/* The estimated speed of engines is no usual number. Guards against times that are
 * negative, by which the slowest engine counts as the fastest, and against sums that
 * overflow.
 */
static void test_odd_speeds(void **state)
{
	static const double logs_us[] = {40, 800, INFINITY, NAN};

	for (size_t i = 0; i < sizeof(logs_us) / sizeof(logs_us[0]); i++) {
		fixture_t f;

		print_message("case %zu\n", i);
		setup(&f, ROUTE_PREFILL_POOL, ROUTE_LEDGER, 1, 0);
		f.engines[0]->estimate.prefill.log_us = logs_us[i];
		f.route.typical.prefill.log_us = logs_us[i];
		route_request_begin(&f.route, f.engines[0], 1000);
		assert_int_equal(route_expected_prefill_us(
					 &f.route, f.engines[0], 1000, 0),
				 2 * DURATION_MAX_ESTIMATE_US);
		assert_true(route_latest_start_us(&f.route, 1000, FAR_US) < 0);
		route_request_end(&f.route, f.engines[0], 1000);
		teardown(&f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_policy_names),
		cmocka_unit_test(test_no_work_for_leaving_engines),
		cmocka_unit_test(test_choice_does_not_advance_round_robin),
		cmocka_unit_test(test_cached_prefix_bounded_by_load),
		cmocka_unit_test(test_prefill_not_started_too_late),
		cmocka_unit_test(test_margin_follows_prefills),
		cmocka_unit_test(test_prompts_after_a_silence),
		cmocka_unit_test(test_zone_preference_spills_over),
		cmocka_unit_test(test_decode_policies),
		cmocka_unit_test(test_transfers_are_bounded),
		cmocka_unit_test(test_slow_engine_gets_less),
		cmocka_unit_test(test_old_reports_count_less),
		cmocka_unit_test(test_added_and_removed_engines),
		cmocka_unit_test(test_odd_speeds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
