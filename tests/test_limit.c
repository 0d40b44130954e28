#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/limit.h"

#define ROUTERS 8
#define RATE 100.0
#define PLACES INT64_C(40)
#define SEED 20261203u
#define STEP_US (10 * CLOCK_US_PER_MS)
#define EVERYONE ((UINT64_C(1) << ROUTERS) - 1)

/* A report on its way. */
typedef struct {
	int64_t at_us;
	unsigned from;
	unsigned to;
	uint64_t round;
	GArray *usage;
} message_t;

typedef struct {
	GRand *rand;
	limiter_t routers[ROUTERS];
	bool up[ROUTERS];
	unsigned side[ROUTERS]; /* messages pass only within a side */
	double demand[ROUTERS]; /* requests a second */
	double loss;
	GPtrArray *messages;
	uint64_t id;
	int64_t now;
	double most_rate; /* greatest sum of shares seen */
	double most_rate_complete; /* the same while no router is cut off */
	int64_t most_places;
} fleet_t;

static void message_free(void *data)
{
	message_t *message = data;

	g_array_unref(message->usage);
	g_free(message);
}

static void start(fleet_t *fleet, unsigned i)
{
	limit_init(&fleet->routers[i], ROUTERS, i, fleet->now);
	limit_set(&fleet->routers[i], fleet->id, (limit_values_t){RATE, PLACES},
		  fleet->now);
	limit_set_members(&fleet->routers[i], EVERYONE, ROUTERS);
	fleet->up[i] = true;
}

static void setup(fleet_t *fleet)
{
	*fleet = (fleet_t){.rand = g_rand_new_with_seed(SEED)};
	fleet->messages = g_ptr_array_new_with_free_func(message_free);
	fleet->id = limit_id(STR("customer"), STR("service"));
	for (unsigned i = 0; i < ROUTERS; i++)
		start(fleet, i);
}

static void teardown(fleet_t *fleet)
{
	for (int i = 0; i < ROUTERS; i++)
		limit_finish(&fleet->routers[i]);
	g_ptr_array_unref(fleet->messages);
	g_rand_free(fleet->rand);
}

static void append(const limit_usage_t *usage, void *context)
{
	g_array_append_vals(context, usage, 1);
}

static void send_report(fleet_t *fleet, unsigned from, uint64_t round)
{
	for (unsigned to = 0; to < ROUTERS; to++) {
		message_t *message;

		if (g_rand_double(fleet->rand) < fleet->loss)
			continue;
		message = g_new0(message_t, 1);
		message->at_us =
			fleet->now + g_rand_int_range(fleet->rand, 1, 200000);
		message->from = from;
		message->to = to;
		message->round = round;
		message->usage =
			g_array_new(FALSE, FALSE, sizeof(limit_usage_t));
		limit_visit_usage(&fleet->routers[from], round, append,
				  message->usage);
		g_ptr_array_add(fleet->messages, message);
	}
}

static void deliver(fleet_t *fleet)
{
	for (guint i = fleet->messages->len; i-- > 0;) {
		message_t *m = fleet->messages->pdata[i];

		if (m->at_us > fleet->now)
			continue;
		if (fleet->up[m->to] && fleet->up[m->from] &&
		    fleet->side[m->to] == fleet->side[m->from])
			limit_receive_report(
				&fleet->routers[m->to], m->from, m->round,
				(limit_usage_t *)(void *)m->usage->data,
				m->usage->len, fleet->now);
		g_ptr_array_remove_index_fast(fleet->messages, i);
	}
}

static void call(fleet_t *fleet, unsigned i)
{
	double chance =
		fleet->demand[i] * (double)STEP_US / (double)CLOCK_US_PER_S;
	int64_t retry_at;

	if (g_rand_double(fleet->rand) < chance)
		limit_request_begin(&fleet->routers[i], fleet->id, fleet->now,
				    &retry_at);
	/* A request takes 500 ms on average. */
	if (g_rand_double(fleet->rand) < 0.2)
		limit_request_end(&fleet->routers[i], fleet->id);
}

static void step(fleet_t *fleet)
{
	double rate = 0;
	int64_t places = 0;
	bool complete = true;

	fleet->now += STEP_US;
	deliver(fleet);
	for (unsigned i = 0; i < ROUTERS; i++) {
		limiter_t *limit = &fleet->routers[i];
		unsigned reports;

		if (!fleet->up[i])
			continue;
		call(fleet, i);
		reports = limit_tick(limit, fleet->now);
		if (reports > 1)
			send_report(fleet, i, limit->round - 1);
		if (reports > 0)
			send_report(fleet, i, limit->round);
		complete = complete && !limit_uses_fixed_shares(limit);
		rate += limit_share_rate(limit, fleet->id);
		places += limit_share_concurrency(limit, fleet->id);
	}
	fleet->most_rate = MAX(fleet->most_rate, rate);
	if (complete)
		fleet->most_rate_complete =
			MAX(fleet->most_rate_complete, rate);
	fleet->most_places = MAX(fleet->most_places, places);
}

static void run(fleet_t *fleet, int seconds)
{
	int64_t end = fleet->now + seconds * CLOCK_US_PER_S;

	fleet->most_rate = 0;
	fleet->most_rate_complete = 0;
	fleet->most_places = 0;
	while (fleet->now < end)
		step(fleet);
}

static void change_demand(fleet_t *fleet)
{
	for (int i = 0; i < ROUTERS; i++)
		fleet->demand[i] = g_rand_double_range(fleet->rand, 0, 99);
	run(fleet, 3);
}

/* Guards against routers that together exceed a limit while their shares move
 * with the demand. Reports are delayed; where some are lost so often that a
 * round times out, the bound for routers that are cut off applies.
 */
static void test_shares_follow_demand_within_limit(void **state)
{
	fleet_t fleet;

	setup(&fleet);
	for (int phase = 0; phase < 20; phase++) {
		change_demand(&fleet);
		assert_true(fleet.most_rate <= RATE + 1e-6);
		assert_true(fleet.most_places <= PLACES);
	}
	fleet.loss = 0.1;
	for (int phase = 0; phase < 40; phase++) {
		change_demand(&fleet);
		assert_true(fleet.most_rate_complete <= RATE + 1e-6);
		assert_true(fleet.most_rate < 2 * RATE);
		assert_true(fleet.most_places < 2 * PLACES);
	}
	fleet.loss = 0;
	for (int i = 0; i < ROUTERS; i++)
		fleet.demand[i] = i == 3 ? 90 : 0;
	run(&fleet, 15);
	assert_false(limit_uses_fixed_shares(&fleet.routers[3]));
	assert_true(limit_share_rate(&fleet.routers[3], fleet.id) > 0.7 * RATE);
	assert_true(limit_share_concurrency(&fleet.routers[3], fleet.id) >
		    PLACES * 7 / 10);
	teardown(&fleet);
}

/* Guards against a router that is cut off and keeps a large share, and against
 * one that does not return to the exchange: while cut off, the sum stays below
 * twice the limit until the rounds time out, and below the limit afterwards.
 */
static void test_cut_off_falls_back(void **state)
{
	fleet_t fleet;
	int timeout_s = 1 + (int)(LIMIT_ROUND_TIMEOUT_US / CLOCK_US_PER_S);

	setup(&fleet);
	fleet.demand[2] = 95;
	run(&fleet, 10);
	assert_true(limit_share_rate(&fleet.routers[2], fleet.id) > 0.7 * RATE);
	fleet.side[2] = 1;
	run(&fleet, timeout_s);
	assert_true(fleet.most_rate < 2 * RATE);
	assert_true(fleet.most_places < 2 * PLACES);
	run(&fleet, 10);
	assert_true(limit_uses_fixed_shares(&fleet.routers[2]));
	assert_true(limit_uses_fixed_shares(&fleet.routers[0]));
	assert_true(fleet.most_rate <= RATE + 1e-6);
	assert_true(fleet.most_places <= PLACES);
	/* The others learn that it is not reachable and go on without it. */
	for (int i = 0; i < ROUTERS; i++)
		limit_set_members(&fleet.routers[i],
				  i == 2 ? 4 : EVERYONE & ~UINT64_C(4),
				  ROUTERS);
	fleet.demand[0] = 95;
	run(&fleet, 10);
	assert_true(fleet.most_rate <= RATE + 1e-6);
	assert_true(fleet.most_places <= PLACES);
	assert_true(limit_share_rate(&fleet.routers[0], fleet.id) > 0.5 * RATE);
	assert_true(limit_share_rate(&fleet.routers[2], fleet.id) <=
		    RATE / ROUTERS);
	/* Heals. */
	fleet.side[2] = 0;
	for (int i = 0; i < ROUTERS; i++)
		limit_set_members(&fleet.routers[i], EVERYONE, ROUTERS);
	fleet.demand[2] = 0;
	run(&fleet, 10);
	for (int i = 0; i < ROUTERS; i++)
		assert_false(limit_uses_fixed_shares(&fleet.routers[i]));
	run(&fleet, 10);
	assert_true(fleet.most_rate <= RATE + 1e-6);
	teardown(&fleet);
}

/* Guards against a restarted router that never joins the others' rounds. */
static void test_restarted_router_joins(void **state)
{
	fleet_t fleet;

	setup(&fleet);
	run(&fleet, 20);
	limit_finish(&fleet.routers[5]);
	start(&fleet, 5);
	assert_true(limit_uses_fixed_shares(&fleet.routers[5]));
	run(&fleet, 10);
	assert_true(fleet.most_rate < 2 * RATE);
	for (int i = 0; i < ROUTERS; i++)
		assert_false(limit_uses_fixed_shares(&fleet.routers[i]));
	teardown(&fleet);
}

/* Guards against a rate or concurrency above the share at one router, and
 * against a refusal without a time to come back.
 */
static void test_enforces_share(void **state)
{
	limiter_t limit;
	uint64_t id = limit_id(STR("c"), STR("s"));
	int admitted = 0;
	int64_t now = 0;
	int64_t retry_at = 0;

	assert_true(id != limit_id(STR("c"), STR("")));
	limit_init(&limit, 4, 1, 0);
	assert_int_equal(limit_request_begin(&limit, id, 0, &retry_at),
			 LIMIT_ADMITTED);
	limit_set(&limit, id, (limit_values_t){40, 0}, 0);
	for (; now < 10 * CLOCK_US_PER_S; now += STEP_US) {
		limit_result_t r =
			limit_request_begin(&limit, id, now, &retry_at);

		if (r == LIMIT_ADMITTED) {
			admitted++;
			limit_request_end(&limit, id);
		} else {
			assert_int_equal(r, LIMIT_RATE);
			assert_true(retry_at > now);
		}
	}
	/* A quarter of 40 a second for 10 s, and the saved-up tokens. */
	assert_in_range(admitted, 98, 106);
	limit_set(&limit, id, (limit_values_t){0, 8}, now);
	limit_request_begin(&limit, id, now, &retry_at);
	limit_request_begin(&limit, id, now, &retry_at);
	assert_int_equal(limit_request_begin(&limit, id, now, &retry_at),
			 LIMIT_CONCURRENCY);
	assert_true(retry_at > now);
	limit_request_end(&limit, id);
	assert_int_equal(limit_request_begin(&limit, id, now, &retry_at),
			 LIMIT_ADMITTED);
	limit_remove(&limit, id);
	assert_int_equal(limit_request_begin(&limit, id, now, &retry_at),
			 LIMIT_ADMITTED);
	limit_finish(&limit);
}

/* Guards against memory for workspaces without a limit, and against writing
 * beyond the reports' places when more routers join than were configured.
 */
static void test_keeps_what_is_needed(void **state)
{
	limiter_t limit;
	limit_usage_t usage = {1, 50, 3};
	int64_t retry_at;

	limit_init(&limit, 2, 0, 0);
	limit_set(&limit, 1, (limit_values_t){0, 0}, 0);
	assert_int_equal(g_hash_table_size(limit.entries), 0);
	limit_set(&limit, 1, (limit_values_t){0, 10}, 0);
	limit_request_begin(&limit, 1, 0, &retry_at);
	limit_receive_report(&limit, 63, 1, &usage, 1, 0);
	limit_set_members(&limit, UINT64_C(1) << 63, 64);
	limit_receive_report(&limit, 63, 1, &usage, 1, 0);
	assert_int_equal(limit_tick(&limit, LIMIT_ROUND_US), 1);
	limit_set(&limit, 1, (limit_values_t){0, 0}, 0);
	assert_int_equal(g_hash_table_size(limit.entries), 0);
	limit_request_end(&limit, 1);
	limit_finish(&limit);
}

/* Guards against fixed shares that lose or add places when the limit is not a
 * multiple of the number of routers.
 */
static void test_fixed_shares_add_up(void **state)
{
	for (int64_t places = 1; places < 30; places++) {
		int64_t sum = 0;

		for (unsigned i = 0; i < ROUTERS; i++) {
			limiter_t limit;

			limit_init(&limit, ROUTERS, i, 0);
			limit_set(&limit, 1, (limit_values_t){0, places}, 0);
			sum += limit_share_concurrency(&limit, 1);
			limit_finish(&limit);
		}
		assert_int_equal(sum, places);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_shares_follow_demand_within_limit),
		cmocka_unit_test(test_cut_off_falls_back),
		cmocka_unit_test(test_restarted_router_joins),
		cmocka_unit_test(test_enforces_share),
		cmocka_unit_test(test_keeps_what_is_needed),
		cmocka_unit_test(test_fixed_shares_add_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
