#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/limit.h"

#define ROUTERS 8
#define RATE 100.0
#define CONCURRENCY INT64_C(40)
#define SEED 20261203u
#define STEP_US (10 * CLOCK_US_PER_MS)
#define ALL_ROUTERS ((UINT64_C(1) << ROUTERS) - 1)

/* A report between two routers that has not arrived yet. */
typedef struct {
	int64_t at_us;
	unsigned from;
	unsigned to;
	uint64_t round;
	GArray *usage;
} message_t;

/* All routers of a deployment, their calls and the messages between them. */
typedef struct {
	GRand *rand;
	limiter_t routers[ROUTERS];
	bool running[ROUTERS];
	unsigned partition[ROUTERS]; /* messages pass only within one */
	double demand[ROUTERS]; /* requests a second */
	double loss; /* probability that a report is lost */
	GPtrArray *messages;
	uint64_t id;
	int64_t now;
	double max_rate_sum; /* greatest sum of shares in a run */
	double max_rate_complete; /* while no fixed shares apply */
	int64_t max_concurrency_sum;
} simulation_t;

static void message_free(void *data)
{
	message_t *message = data;

	g_array_unref(message->usage);
	g_free(message);
}

static void start(simulation_t *sim, unsigned i)
{
	limit_init(&sim->routers[i], ROUTERS, i, sim->now);
	limit_set(&sim->routers[i], sim->id,
		  (limit_values_t){RATE, CONCURRENCY}, sim->now);
	limit_set_members(&sim->routers[i], ALL_ROUTERS, ROUTERS);
	sim->running[i] = true;
}

static void setup(simulation_t *sim)
{
	*sim = (simulation_t){.rand = g_rand_new_with_seed(SEED)};
	sim->messages = g_ptr_array_new_with_free_func(message_free);
	sim->id = limit_id(STR("customer"), STR("service"));
	for (unsigned i = 0; i < ROUTERS; i++)
		start(sim, i);
}

static void teardown(simulation_t *sim)
{
	for (int i = 0; i < ROUTERS; i++)
		limit_finish(&sim->routers[i]);
	g_ptr_array_unref(sim->messages);
	g_rand_free(sim->rand);
}

static void append(const limit_usage_t *usage, void *context)
{
	g_array_append_vals(context, usage, 1);
}

static void send_report(simulation_t *sim, unsigned from, uint64_t round)
{
	for (unsigned to = 0; to < ROUTERS; to++) {
		message_t *message;

		if (g_rand_double(sim->rand) < sim->loss)
			continue;
		message = g_new0(message_t, 1);
		message->at_us =
			sim->now + g_rand_int_range(sim->rand, 1, 200000);
		message->from = from;
		message->to = to;
		message->round = round;
		message->usage =
			g_array_new(FALSE, FALSE, sizeof(limit_usage_t));
		limit_visit_usage(&sim->routers[from], round, append,
				  message->usage);
		g_ptr_array_add(sim->messages, message);
	}
}

static void deliver(simulation_t *sim)
{
	for (guint i = sim->messages->len; i-- > 0;) {
		message_t *m = sim->messages->pdata[i];

		if (m->at_us > sim->now)
			continue;
		if (sim->running[m->to] && sim->running[m->from] &&
		    sim->partition[m->to] == sim->partition[m->from])
			limit_receive_report(
				&sim->routers[m->to], m->from, m->round,
				(limit_usage_t *)(void *)m->usage->data,
				m->usage->len, sim->now);
		g_ptr_array_remove_index_fast(sim->messages, i);
	}
}

static void make_calls(simulation_t *sim, unsigned i)
{
	double chance =
		sim->demand[i] * (double)STEP_US / (double)CLOCK_US_PER_S;
	int64_t retry_at;

	if (g_rand_double(sim->rand) < chance)
		limit_request_begin(&sim->routers[i], sim->id, sim->now,
				    &retry_at);
	/* A request takes 500 ms on average. */
	if (g_rand_double(sim->rand) < 0.2)
		limit_request_end(&sim->routers[i], sim->id);
}

static void step(simulation_t *sim)
{
	double rate = 0;
	int64_t concurrency = 0;
	bool complete = true;

	sim->now += STEP_US;
	deliver(sim);
	for (unsigned i = 0; i < ROUTERS; i++) {
		limiter_t *limit = &sim->routers[i];
		unsigned reports;

		if (!sim->running[i])
			continue;
		make_calls(sim, i);
		reports = limit_tick(limit, sim->now);
		if (reports > 1)
			send_report(sim, i, limit->round - 1);
		if (reports > 0)
			send_report(sim, i, limit->round);
		complete = complete && !limit_uses_fixed_shares(limit);
		rate += limit_share_rate(limit, sim->id);
		concurrency += limit_share_concurrency(limit, sim->id);
	}
	sim->max_rate_sum = MAX(sim->max_rate_sum, rate);
	if (complete)
		sim->max_rate_complete = MAX(sim->max_rate_complete, rate);
	sim->max_concurrency_sum = MAX(sim->max_concurrency_sum, concurrency);
}

static void run(simulation_t *sim, int seconds)
{
	int64_t end = sim->now + seconds * CLOCK_US_PER_S;

	sim->max_rate_sum = 0;
	sim->max_rate_complete = 0;
	sim->max_concurrency_sum = 0;
	while (sim->now < end)
		step(sim);
}

static void change_demand(simulation_t *sim)
{
	for (int i = 0; i < ROUTERS; i++)
		sim->demand[i] = g_rand_double_range(sim->rand, 0, 99);
	run(sim, 3);
}

/* Guards against routers that together exceed a limit while their shares follow
 * the demand: delayed reports make them switch shares at different times. When
 * lost reports make a round time out, the bound for cut-off routers applies.
 */
static void test_shares_follow_demand_within_limit(void **state)
{
	simulation_t sim;

	setup(&sim);
	for (int phase = 0; phase < 20; phase++) {
		change_demand(&sim);
		assert_true(sim.max_rate_sum <= RATE + 1e-6);
		assert_true(sim.max_concurrency_sum <= CONCURRENCY);
	}
	sim.loss = 0.1;
	for (int phase = 0; phase < 40; phase++) {
		change_demand(&sim);
		assert_true(sim.max_rate_complete <= RATE + 1e-6);
		assert_true(sim.max_rate_sum < 2 * RATE);
		assert_true(sim.max_concurrency_sum < 2 * CONCURRENCY);
	}
	sim.loss = 0;
	for (int i = 0; i < ROUTERS; i++)
		sim.demand[i] = i == 3 ? 90 : 0;
	run(&sim, 15);
	assert_false(limit_uses_fixed_shares(&sim.routers[3]));
	assert_true(limit_share_rate(&sim.routers[3], sim.id) > 0.7 * RATE);
	assert_true(limit_share_concurrency(&sim.routers[3], sim.id) >
		    CONCURRENCY * 7 / 10);
	teardown(&sim);
}

/* Guards against a router that keeps a large share while a partition cuts it
 * off, and against one that does not take part again afterwards. The sum of
 * the shares must stay below twice the limit until the rounds time out, and
 * within the limit from then on.
 */
static void test_cut_off_falls_back(void **state)
{
	simulation_t sim;
	int timeout_s = 1 + (int)(LIMIT_ROUND_TIMEOUT_US / CLOCK_US_PER_S);

	setup(&sim);
	sim.demand[2] = 95;
	run(&sim, 10);
	assert_true(limit_share_rate(&sim.routers[2], sim.id) > 0.7 * RATE);
	sim.partition[2] = 1;
	run(&sim, timeout_s);
	assert_true(sim.max_rate_sum < 2 * RATE);
	assert_true(sim.max_concurrency_sum < 2 * CONCURRENCY);
	run(&sim, 10);
	assert_true(limit_uses_fixed_shares(&sim.routers[2]));
	assert_true(limit_uses_fixed_shares(&sim.routers[0]));
	assert_true(sim.max_rate_sum <= RATE + 1e-6);
	assert_true(sim.max_concurrency_sum <= CONCURRENCY);
	/* The others find that it is not reachable and go on without it. */
	for (int i = 0; i < ROUTERS; i++)
		limit_set_members(&sim.routers[i],
				  i == 2 ? 4 : ALL_ROUTERS & ~UINT64_C(4),
				  ROUTERS);
	sim.demand[0] = 95;
	run(&sim, 10);
	assert_true(sim.max_rate_sum <= RATE + 1e-6);
	assert_true(sim.max_concurrency_sum <= CONCURRENCY);
	assert_true(limit_share_rate(&sim.routers[0], sim.id) > 0.5 * RATE);
	assert_true(limit_share_rate(&sim.routers[2], sim.id) <=
		    RATE / ROUTERS);
	/* The partition ends. */
	sim.partition[2] = 0;
	for (int i = 0; i < ROUTERS; i++)
		limit_set_members(&sim.routers[i], ALL_ROUTERS, ROUTERS);
	sim.demand[2] = 0;
	run(&sim, 10);
	for (int i = 0; i < ROUTERS; i++)
		assert_false(limit_uses_fixed_shares(&sim.routers[i]));
	run(&sim, 10);
	assert_true(sim.max_rate_sum <= RATE + 1e-6);
	teardown(&sim);
}

/* Guards against a restarted router that begins with round 1 and never reaches
 * the round of the others.
 */
static void test_restarted_router_joins(void **state)
{
	simulation_t sim;

	setup(&sim);
	run(&sim, 20);
	limit_finish(&sim.routers[5]);
	start(&sim, 5);
	assert_true(limit_uses_fixed_shares(&sim.routers[5]));
	run(&sim, 10);
	assert_true(sim.max_rate_sum < 2 * RATE);
	for (int i = 0; i < ROUTERS; i++)
		assert_false(limit_uses_fixed_shares(&sim.routers[i]));
	teardown(&sim);
}

/* Guards against a router that admits more than its share of a rate or of a
 * concurrency, and against a refusal without a time to retry.
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

/* Guards against memory kept for limits that are not set, and against writing
 * beyond the memory for reports when more routers join than were configured.
 */
static void test_memory_is_bounded(void **state)
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

/* Guards against fixed concurrency shares that add up to more or less than the
 * limit when it is not a multiple of the number of routers.
 */
static void test_fixed_shares_add_up(void **state)
{
	for (int64_t concurrency = 1; concurrency < 30; concurrency++) {
		int64_t sum = 0;

		for (unsigned i = 0; i < ROUTERS; i++) {
			limiter_t limit;

			limit_init(&limit, ROUTERS, i, 0);
			limit_set(&limit, 1, (limit_values_t){0, concurrency},
				  0);
			sum += limit_share_concurrency(&limit, 1);
			limit_finish(&limit);
		}
		assert_int_equal(sum, concurrency);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_shares_follow_demand_within_limit),
		cmocka_unit_test(test_cut_off_falls_back),
		cmocka_unit_test(test_restarted_router_joins),
		cmocka_unit_test(test_enforces_share),
		cmocka_unit_test(test_memory_is_bounded),
		cmocka_unit_test(test_fixed_shares_add_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
