/* Measures the membership in memory: time to detect a crash, false removals,
 * bytes and CPU of a node by number of members and loss. The CPU includes the
 * simulation itself; signing is measured apart.
 *
 * usage: tool_member [SEEDS]
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "support_members.h"

#define FIRST_SEED 1
#define QUIET_S 300
#define WARM_S 60
#define DETECT_S 60
#define SIGNATURES 20000

typedef struct {
	double first_s; /* a first member has removed the crashed one */
	double last_s; /* all have */
	int undetected; /* members that had not after DETECT_S */
	int false_removals; /* views, in QUIET_S */
	double bytes_s; /* sent by a node */
	double messages_s; /* sent by a node */
	double cpu; /* part of a core for a node */
} result_t;

static memsim_t sim;

static double cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void sum(int64_t *messages, int64_t *bytes, int *removals)
{
	*messages = 0;
	*bytes = 0;
	*removals = 0;
	for (int i = 0; i < sim.n; i++) {
		*messages += sim.nodes[i].messages;
		*bytes += sim.nodes[i].bytes;
		*removals += sim.nodes[i].removals;
	}
}

static void measure_quiet(result_t *result)
{
	double start_s = cpu_s();
	double node_s = (double)sim.n * QUIET_S;
	int64_t messages[2];
	int64_t bytes[2];
	int removals[2];

	sum(&messages[0], &bytes[0], &removals[0]);
	memsim_run_for(&sim, QUIET_S);
	sum(&messages[1], &bytes[1], &removals[1]);
	result->messages_s = (double)(messages[1] - messages[0]) / node_s;
	result->bytes_s = (double)(bytes[1] - bytes[0]) / node_s;
	result->false_removals = removals[1] - removals[0];
	result->cpu = (cpu_s() - start_s) / node_s;
}

static void measure_crash(result_t *result)
{
	int victim = g_rand_int_range(sim.rand, 0, sim.n);
	int64_t start_us = sim.now_us;
	int64_t first_us = INT64_MAX;
	int64_t last_us = start_us;

	for (int i = 0; i < sim.n; i++)
		sim.nodes[i].last_removal_us = 0;
	sim.nodes[victim].up = false;
	memsim_run_for(&sim, DETECT_S);
	result->undetected = 0;
	for (int i = 0; i < sim.n; i++) {
		if (i == victim)
			continue;
		if (memsim_known_state(&sim, i, victim) < MEMBER_DEAD) {
			result->undetected++;
			continue;
		}
		first_us = MIN(first_us, sim.nodes[i].last_removal_us);
		last_us = MAX(last_us, sim.nodes[i].last_removal_us);
	}
	result->first_s = (double)(first_us - start_us) / 1e6;
	result->last_s = (double)(last_us - start_us) / 1e6;
}

static void run_case(int n, double loss, uint32_t seeds)
{
	result_t worst = {0};
	double mean_s = 0;

	for (uint32_t seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++) {
		result_t result;

		memsim_init(&sim, seed, loss);
		memsim_add_nodes(&sim, n);
		memsim_run_for(&sim, WARM_S);
		measure_quiet(&result);
		measure_crash(&result);
		memsim_finish(&sim);
		mean_s += result.last_s / seeds;
		worst.first_s = MAX(worst.first_s, result.first_s);
		worst.last_s = MAX(worst.last_s, result.last_s);
		worst.undetected += result.undetected;
		worst.false_removals += result.false_removals;
		worst.bytes_s = MAX(worst.bytes_s, result.bytes_s);
		worst.messages_s = MAX(worst.messages_s, result.messages_s);
		worst.cpu = MAX(worst.cpu, result.cpu);
	}
	printf("%4d %5.0f%% %9.2f %9.2f %9.2f %6d %8d %9.0f %7.1f %8.4f%%\n", n,
	       loss * 100, worst.first_s, mean_s, worst.last_s,
	       worst.undetected, worst.false_removals, worst.bytes_s,
	       worst.messages_s, worst.cpu * 100);
	fflush(stdout);
}

/* Measures signing and checking one heartbeat of the usual size. */
static void measure_signing(void)
{
	settings_rpc_key_t key = {1, g_bytes_new("secret", 6)};
	GArray *list = g_array_new(FALSE, FALSE, sizeof(key));
	wire_keys_t keys = {"deployment", list};
	wire_call_t call = {.procedure = PEER_PING, .sender = {.vm = "vm-1"}};
	wire_call_t got;
	wire_buffer_t body;
	wire_buffer_t datagram;
	member_message_t message;
	double start_s;

	g_array_append_val(list, key);
	memsim_init(&sim, FIRST_SEED, 0);
	memsim_add_nodes(&sim, 8);
	memsim_run_for(&sim, WARM_S);
	member_fill_message(&sim.nodes[1].members, "", &message);
	heartbeat_encode(&message, &body);
	call.body = (str_t){(char *)body.data, body.len};
	start_s = cpu_s();
	for (int i = 0; i < SIGNATURES; i++) {
		wire_encode_call(&keys, "127.0.0.1:7000", &call, &datagram);
		wire_decode_call(&keys, "127.0.0.1:7000",
				 (str_t){(char *)datagram.data, datagram.len},
				 &got);
	}
	printf("heartbeat: body %zu bytes, datagram %zu bytes, "
	       "sign and check %.2f us\n",
	       body.len, datagram.len, (cpu_s() - start_s) / SIGNATURES * 1e6);
	memsim_finish(&sim);
	g_bytes_unref(key.secret);
	g_array_unref(list);
}

int main(int argc, char **argv)
{
	static const int sizes[] = {8, 50, 200};
	static const double losses[] = {0, 0.02, 0.1};
	uint32_t seeds = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 5;

	measure_signing();
	printf("seeds %d to %d, %d s quiet, then a crash; delay %.1f to 4 ms\n"
	       "times in s until the first, mean and last removal; false "
	       "removals over all views\n"
	       "   n  loss     first      mean      last  undet    false   "
	       "bytes/s  msgs/s    cpu\n",
	       FIRST_SEED, (int)(FIRST_SEED + seeds - 1), QUIET_S,
	       MEMSIM_DELAY_MIN_US / 1000.0);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(losses); j++)
			run_case(sizes[i], losses[j], seeds);
	}
	return 0;
}
