/*
 * Cost of routing decisions: does a number of operations of one kind on a pool
 * or queue of a given size. Run under callgrind with the operation's function
 * as --toggle-collect and divide by the count; docs/routing.md has the
 * commands and figures.
 *
 * tool_route prefill|decode|report|scan|queue SIZE COUNT
 */
#include <stdio.h>
#include <stdlib.h>

#include "process/clock.h"
#include "process/queue.h"
#include "process/route.h"

#define SEED 1u
#define WORKSPACES 100
#define ZONES 4
#define KV_TOKENS 100000

/* Keeps a function whole, so that callgrind finds it by its name. */
#define OPERATION __attribute__((noipa))

static uint32_t draw(void *context)
{
	return g_rand_int(context);
}

typedef struct {
	GRand *rand;
	prefix_index_t prefix;
	route_pool_t route;
	int64_t now;
} bench_t;

static void add_engine(bench_t *bench, uint32_t id)
{
	static const char *const zones[ZONES] = {"a", "b", "c", "d"};
	route_engine_config_t config = {
		.id = id,
		.zone = str_from(zones[id % ZONES]),
		.kv_tokens = KV_TOKENS,
	};
	route_engine_t *engine = route_add(&bench->route, &config);

	route_set_free_tokens(&bench->route, engine,
			      g_rand_int_range(bench->rand, 0, KV_TOKENS),
			      bench->now);
	for (int i = 0; i < 10; i++) {
		int64_t us = g_rand_int_range(bench->rand, 10000, 20000);

		route_record_prefill(&bench->route, engine, 1000, 0, us,
				     bench->now);
		route_record_decode(&bench->route, engine, 1, us, bench->now);
	}
	prefix_on_prefill(&bench->prefix, id, id % 50 + 1, 0);
}

static void bench_init(bench_t *bench, route_kind_t kind, uint32_t size)
{
	route_config_t config = {
		.policy = ROUTE_LEDGER,
		.zone = STR("a"),
		.routers = 8,
		.max_transfers = 4,
		.random = draw,
	};

	bench->rand = g_rand_new_with_seed(SEED);
	bench->now = CLOCK_US_PER_S;
	config.random_context = bench->rand;
	prefix_init(&bench->prefix, 10000);
	route_init(&bench->route, kind, &config, &bench->prefix);
	for (uint32_t id = 1; id <= size; id++)
		add_engine(bench, id);
}

/* One decision with its accounting; the engine's request ends later. */
OPERATION void measure_prefill(bench_t *bench, route_engine_t **engine);
void measure_prefill(bench_t *bench, route_engine_t **engine)
{
	route_prefill_t want = {
		.prompt_tokens = 2000,
		.prefix_tokens = 64,
		.prefix = (uint64_t)bench->now % 50 + 1,
		.finish_by_us = INT64_MAX,
	};

	*engine = route_pick_prefill(&bench->route, &want, bench->now);
	route_request_begin(&bench->route, *engine, want.prompt_tokens);
}

OPERATION void measure_decode(bench_t *bench, route_engine_t **engine);
void measure_decode(bench_t *bench, route_engine_t **engine)
{
	route_decode_t want = {.tokens = 2500};

	*engine = route_pick_decode(&bench->route, &want, bench->now);
	route_request_begin(&bench->route, *engine, want.tokens);
}

OPERATION void measure_report(bench_t *bench, route_engine_t *engine);
void measure_report(bench_t *bench, route_engine_t *engine)
{
	route_load_t load = {
		.kv_used = (bench->now * 7919) % KV_TOKENS,
		.running = 5,
	};

	route_update_load(&bench->route, engine, &load, bench->now);
}

/* For comparison: the least loaded engine found by looking at all. */
OPERATION void measure_scan(bench_t *bench, route_engine_t **best);
void measure_scan(bench_t *bench, route_engine_t **best)
{
	const GPtrArray *engines = bench->route.engines;
	int64_t least = INT64_MAX;

	*best = NULL;
	for (guint i = 0; i < engines->len; i++) {
		route_engine_t *engine = engines->pdata[i];
		int64_t load = route_backlog_us(&bench->route, engine);

		if (!route_is_available(engine) || load >= least)
			continue;
		least = load;
		*best = engine;
	}
}

static bool is(const char *what, const char *name)
{
	return str_equal(str_from(what), str_from(name));
}

static void run_route(const char *what, uint32_t size, int count)
{
	bool prefill = is(what, "prefill") || is(what, "scan");
	route_kind_t kind = prefill ? ROUTE_PREFILL_POOL : ROUTE_DECODE_POOL;
	bench_t bench;
	route_engine_t *engine;

	bench_init(&bench, kind, size);
	for (int i = 0; i < count; i++) {
		bench.now += 1000;
		if (is(what, "prefill")) {
			measure_prefill(&bench, &engine);
			route_request_end(&bench.route, engine, 2000);
		} else if (is(what, "decode")) {
			measure_decode(&bench, &engine);
			route_request_end(&bench.route, engine, 2500);
		} else if (is(what, "scan")) {
			measure_scan(&bench, &engine);
		} else {
			engine = bench.route.engines->pdata[(guint)i % size];
			measure_report(&bench, engine);
		}
	}
	route_finish(&bench.route);
	prefix_finish(&bench.prefix);
	g_rand_free(bench.rand);
}

OPERATION void measure_push(queue_t *queue, const queue_request_t *request);
void measure_push(queue_t *queue, const queue_request_t *request)
{
	queue_push(queue, request, 0);
}

OPERATION void measure_pop(queue_t *queue);
void measure_pop(queue_t *queue)
{
	queue_pop(queue, 0);
}

static void run_queue(int size, int count)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	queue_t queue;

	queue_init(&queue, (size_t)size + 1);
	for (int i = 0; i < size + count; i++) {
		char workspace[16];
		queue_request_t request = {
			.weight = 1,
			.priority = g_rand_int_range(rand, 0, 3),
			.worth = g_rand_double_range(rand, 0.5, 9),
			.cost_tokens = g_rand_int_range(rand, 100, 9000),
			.start_by_us = g_rand_int_range(rand, 1, INT32_MAX),
		};

		g_snprintf(workspace, sizeof(workspace), "customer-%d",
			   g_rand_int_range(rand, 0, WORKSPACES));
		request.workspace = str_from(workspace);
		if (i < size) {
			queue_push(&queue, &request, 0);
			continue;
		}
		measure_push(&queue, &request);
		measure_pop(&queue);
	}
	queue_finish(&queue);
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	int size = argc == 4 ? atoi(argv[2]) : 0;
	int count = argc == 4 ? atoi(argv[3]) : 0;

	if (size <= 0 || count <= 0) {
		fputs("usage: tool_route prefill|decode|report|scan|queue "
		      "SIZE COUNT\n",
		      stderr);
		return 2;
	}
	if (is(argv[1], "queue"))
		run_queue(size, count);
	else
		run_route(argv[1], (uint32_t)size, count);
	return 0;
}
