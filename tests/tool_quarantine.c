/* Cost of what a VM concludes from lost servers, with all the losses that it keeps: the time of
 * one loss and one announcement, each with the search for rules that follows, and of checking
 * a request against eight rules. docs/CAPACITY.md has the figures.
 *
 * tool_quarantine COUNT [SEED]
 */
#include <stdio.h>
#include <stdlib.h>

#include "process/clock.h"
#include "process/decide/quarantine.h"

#define SERVERS 64
#define START_US (1000 * CLOCK_US_PER_S)

/* The key that all requests have. */
#define COMMON_KEY 1

typedef struct {
	quarantine_t quarantine;
	server_t servers[SERVERS];
	GRand *rand;
	clock_source_t clock;
	int64_t now_us; /* simulated */
	unsigned causes;
	uint64_t next_key; /* of a key that no other loss has */
} bench_t;

typedef struct {
	int64_t sum_us;
	int64_t worst_us;
	unsigned count;
} cost_t;

static server_t *find_server(void *context, uint64_t process)
{
	bench_t *bench = context;

	return &bench->servers[process % SERVERS];
}

/* Draws the keys of a request: the common one, one of a cause, own ones. */
static void draw_keys(bench_t *bench, uint64_t *keys)
{
	keys[0] = COMMON_KEY;
	keys[1] = 100 + (uint64_t)g_rand_int_range(bench->rand, 0,
						   (gint32)bench->causes);
	for (unsigned i = 2; i < QUARANTINE_KEYS_MAX; i++)
		keys[i] = bench->next_key++;
}

/* Loses a server while it begins a request. */
static void lose(bench_t *bench)
{
	uint64_t server = (uint64_t)g_rand_int_range(bench->rand, 0, SERVERS);
	uint64_t keys[QUARANTINE_KEYS_MAX];

	draw_keys(bench, keys);
	bench->now_us += 200 * CLOCK_US_PER_MS;
	quarantine_add_loss(&bench->quarantine, &bench->servers[server], server,
			    keys, QUARANTINE_KEYS_MAX, bench->now_us);
}

static void bench_init(bench_t *bench, unsigned causes, guint32 seed)
{
	*bench = (bench_t){
		.rand = g_rand_new_with_seed(seed),
		.clock = clock_boottime(),
		.now_us = START_US,
		.causes = causes,
		.next_key = 1000,
	};
	for (unsigned i = 0; i < SERVERS; i++)
		bench->servers[i].refs = 1;
	quarantine_init(&bench->quarantine, find_server, bench);
	for (unsigned i = 0; i < QUARANTINE_LOSSES_MAX; i++)
		lose(bench);
	(void)quarantine_update(&bench->quarantine, bench->now_us);
}

static void bench_finish(bench_t *bench)
{
	quarantine_finish(&bench->quarantine);
	g_rand_free(bench->rand);
}

static void count_cost(const bench_t *bench, cost_t *cost, int64_t begin_us)
{
	int64_t us = clock_now(&bench->clock) - begin_us;

	cost->sum_us += us;
	cost->worst_us = MAX(cost->worst_us, us);
	cost->count++;
}

static void measure_loss(bench_t *bench, cost_t *cost)
{
	int64_t begin_us = clock_now(&bench->clock);

	lose(bench);
	(void)quarantine_update(&bench->quarantine, bench->now_us);
	count_cost(bench, cost, begin_us);
}

static void measure_announcement(bench_t *bench, cost_t *cost)
{
	quarantine_loss_t losses[QUARANTINE_LOSSES_ANNOUNCED];
	int64_t begin_us;

	bench->now_us += 200 * CLOCK_US_PER_MS;
	for (size_t i = 0; i < G_N_ELEMENTS(losses); i++) {
		losses[i].server =
			(uint64_t)g_rand_int_range(bench->rand, 0, SERVERS);
		losses[i].lost_us = bench->now_us;
		losses[i].n_keys = QUARANTINE_KEYS_MAX;
		draw_keys(bench, losses[i].keys);
	}
	begin_us = clock_now(&bench->clock);
	quarantine_apply_peer(&bench->quarantine, 7, losses,
			      G_N_ELEMENTS(losses), bench->now_us);
	(void)quarantine_update(&bench->quarantine, bench->now_us);
	count_cost(bench, cost, begin_us);
}

static void print_cost(const char *name, unsigned causes, const cost_t *cost)
{
	printf("%s, %u causes: %.3f ms in the mean, %.3f ms at most\n", name,
	       causes, (double)cost->sum_us / cost->count / CLOCK_US_PER_MS,
	       (double)cost->worst_us / CLOCK_US_PER_MS);
}

static void measure_causes(unsigned causes, unsigned count, guint32 seed)
{
	cost_t losses = {0}, announcements = {0};
	bench_t bench;

	bench_init(&bench, causes, seed);
	for (unsigned i = 0; i < count; i++)
		measure_loss(&bench, &losses);
	print_cost("a loss", causes, &losses);
	for (unsigned i = 0; i < count; i++)
		measure_announcement(&bench, &announcements);
	print_cost("an announcement of 16 losses", causes, &announcements);
	bench_finish(&bench);
}

/* Measures requests that are checked against the rules, none of which holds them. */
static void measure_match(unsigned count, guint32 seed)
{
	uint64_t keys[QUARANTINE_KEYS_MAX];
	unsigned held = 0;
	int64_t begin_us;
	bench_t bench;

	bench_init(&bench, 4, seed);
	for (unsigned i = 0; i < 8; i++) {
		quarantine_rule_t rule = {
			.n_keys = 1, .keys = {10 + i}, .lost_us = bench.now_us};

		quarantine_put_stored(&bench.quarantine, &rule);
	}
	(void)quarantine_update(&bench.quarantine, bench.now_us);
	for (unsigned i = 0; i < QUARANTINE_KEYS_MAX; i++)
		keys[i] = bench.next_key++;
	begin_us = clock_now(&bench.clock);
	for (unsigned i = 0; i < count; i++)
		held += quarantine_match(&bench.quarantine, keys,
					 QUARANTINE_KEYS_MAX,
					 bench.now_us) != NULL;
	printf("a request against %u rules: %.2f us, %u of %u held\n",
	       bench.quarantine.rules->len,
	       (double)(clock_now(&bench.clock) - begin_us) / count, held,
	       count);
	bench_finish(&bench);
}

int main(int argc, char **argv)
{
	unsigned count = argc > 1 ? (unsigned)strtoul(argv[1], NULL, 10) : 0;
	guint32 seed = argc > 2 ? (guint32)strtoul(argv[2], NULL, 10) : 1;

	if (count == 0) {
		(void)fputs("usage: tool_quarantine COUNT [SEED]\n", stderr);
		return 2;
	}
	for (unsigned causes = 3; causes <= 12; causes += 3)
		measure_causes(causes, count, seed);
	measure_match(count * 100, seed);
	return 0;
}
