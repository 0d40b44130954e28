#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>

#include "process/apply.h"
#include "support_config.h"
#include "support_http.h"
#include "support_process.h"
#include "support_state.h"

/* Guards against configuration changes that take effect late, never or not at
 * all VMs, with a stand-in for the platform that can fail.
 */

/* Time within which a change has to be in effect at all VMs. */
#define EFFECT_LIMIT_MS 5000

#define N_VMS 8
#define N_ZONES 4

static process_t process;
static char *address;
static vms_sim_t sim;

/* Starts the stand-in for the platform and all VMs. */
static int start(void **state)
{
	address = process_start_listening(&process, "fake_platform",
					  (const char *[]){NULL});
	if (!address)
		return -1;
	vms_sim_init(&sim, address, N_VMS, N_ZONES);
	for (size_t i = 0; i < N_VMS; i++)
		vms_sim_start(&sim, i);
	return 0;
}

/* Stops the VMs and the stand-in. */
static int stop(void **state)
{
	vms_sim_finish(&sim);
	process_finish(&process);
	g_free(address);
	return 0;
}

/* An operator's change that is submitted while the VMs run. */
typedef struct {
	client_t client;
	platform_t platform;
	apply_t apply;
	state_t *state;
	bool done;
} submission_t;

/* Marks a submission as ended. */
static void on_done(void *context, const apply_t *apply)
{
	((submission_t *)context)->done = true;
}

/* Starts submitting a state that differs in one workspace's request rate. */
static void submit_start(submission_t *s, double rate, const char *author)
{
	GString *text = support_state_text(14, 100);

	support_state_add_workspace(text, 1000, rate);
	memset(s, 0, sizeof(*s));
	s->state = support_state_parse(text->str);
	client_init(&s->client, clock_boottime());
	platform_init(&s->platform, &s->client, address,
		      &(platform_budget_t){1000, 1000, 1}, 7);
	s->apply.platform = &s->platform;
	s->apply.state = s->state;
	s->apply.author = author;
	s->apply.deadline_us =
		clock_now(&s->client.clock) + 10 * CLOCK_US_PER_S;
	s->apply.done = on_done;
	s->apply.context = s;
	apply_start(&s->apply);
	g_string_free(text, TRUE);
}

/* Frees a submission. */
static void submit_finish(submission_t *s)
{
	apply_finish(&s->apply);
	platform_finish(&s->platform);
	client_finish(&s->client);
	state_unref(s->state);
}

/* Submits a change; returns its version, or 0 when it was not accepted. */
static uint64_t submit(double rate)
{
	submission_t s;
	uint64_t version = 0;

	submit_start(&s, rate, "ann");
	while (!s.done)
		g_main_context_iteration(NULL, TRUE);
	if (s.apply.result == APPLY_ACCEPTED)
		version = s.apply.version;
	submit_finish(&s);
	return version;
}

/* Compares two times for sorting. */
static int compare_times(gconstpointer a, gconstpointer b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	return (*x > *y) - (*x < *y);
}

/* Returns a quantile of sorted times in milliseconds. */
static double quantile(const GArray *sorted, double share)
{
	guint i = (guint)(share * (double)(sorted->len - 1));

	return (double)g_array_index(sorted, int64_t, i) /
	       (double)CLOCK_US_PER_MS;
}

/* Sorts times and prints their distribution. */
static void print_times(const char *what, GArray *times)
{
	g_array_sort(times, compare_times);
	print_message("%s: n=%u p50=%.0f ms p90=%.0f ms p99=%.0f ms "
		      "max=%.0f ms\n",
		      what, times->len, quantile(times, 0.5),
		      quantile(times, 0.9), quantile(times, 0.99),
		      quantile(times, 1));
}

/*
 * Guards against changes that take effect late, or not at all VMs. Submits
 * three changes, or as many as GOOSEBERRYSPUR_CONFIG_CHANGES says, and prints
 * the times until they are in effect.
 */
static void test_changes_take_effect(void **state)
{
	const char *n_text = getenv("GOOSEBERRYSPUR_CONFIG_CHANGES");
	int n = n_text ? atoi(n_text) : 3;
	GArray *times_each_vm = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GArray *times_all_vms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	uint64_t platform_objects = 0;
	uint64_t bytes = 0;

	for (int i = 0; i < n; i++) {
		uint64_t version = submit(10 + i);
		int64_t accepted_us = clock_now(&sim.client.clock);
		int64_t last_us = 0;

		assert_true(version > 0);
		assert_true(vms_sim_wait(&sim, version, EFFECT_LIMIT_MS));
		for (size_t j = 0; j < N_VMS; j++) {
			int64_t after_us =
				MAX(sim.vms[j].changed_us - accepted_us, 0);

			g_array_append_val(times_each_vm, after_us);
			last_us = MAX(last_us, after_us);
		}
		g_array_append_val(times_all_vms, last_us);
		vms_sim_run(g_rand_int_range(sim.rand, 0, 300));
	}
	print_times("in effect at one VM", times_each_vm);
	print_times("in effect at all VMs", times_all_vms);
	for (size_t j = 0; j < N_VMS; j++) {
		platform_objects += sim.vms[j].config.objects.from_platform;
		bytes += sim.vms[j].config.objects.fetched_bytes;
	}
	print_message("changes=%d vms=%d objects_from_platform=%lu "
		      "bytes_fetched=%lu\n",
		      n, N_VMS, (unsigned long)platform_objects,
		      (unsigned long)bytes);
	g_array_unref(times_each_vm);
	g_array_unref(times_all_vms);
}

#define NO_FAULTS                                         \
	"{\"outage\":0,\"unreachable\":0,\"delay_ms\":0," \
	"\"lose_write_answer\":0,\"lose_read_answer\":0," \
	"\"answer_delay_ms\":0,\"hang\":0}"

/*
 * Guards against VMs that lose their version in an outage of the platform,
 * against a VM that cannot start during one, since it does not read from its
 * peers, and against a change that is missed afterwards.
 */
static void test_outage(void **state)
{
	uint64_t version = sim.vms[0].version;
	uint64_t next;
	state_t *held;

	http_set_faults(address, "{\"outage\":-1}");
	vms_sim_stop(&sim, 0);
	vms_sim_run(1000);
	vms_sim_start(&sim, 0);
	assert_true(vms_sim_wait(&sim, version, EFFECT_LIMIT_MS));
	assert_int_equal(sim.vms[0].config.objects.from_platform, 0);
	vms_sim_run(1500);
	/* The new VM knows that its version was not confirmed since. */
	assert_true(config_age_ms(&sim.vms[0].config) > 1500);
	assert_true(config_age_ms(&sim.vms[1].config) > 1500);
	held = config_current(&sim.vms[0].config);
	assert_int_equal(held->version, version);
	http_set_faults(address, NO_FAULTS);
	next = submit(500);
	assert_true(next > 0);
	assert_true(vms_sim_wait(&sim, next, EFFECT_LIMIT_MS));
	/* A request that holds a reference to the old version keeps it. */
	assert_int_equal(held->version, version);
	state_unref(held);
}

static const struct {
	const char *fault;
	int64_t extra_ms;
} slow_faults[] = {
	{"{\"delay_ms\":700}", 5000},
	{"{\"lose_read_answer\":6}", 0},
	{"{\"unreachable\":6}", 0},
	{"{\"hang\":2}", 3000},
};

/* Guards against a change that is missed because reads of the platform fail or
 * are slow.
 */
static void test_slow_and_lossy_platform(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(slow_faults); i++) {
		uint64_t version = submit(600 + (double)i);

		assert_true(version > 0);
		http_set_faults(address, slow_faults[i].fault);
		if (!vms_sim_wait(&sim, version,
				  EFFECT_LIMIT_MS + slow_faults[i].extra_ms))
			fail_msg("%s", slow_faults[i].fault);
		http_set_faults(address, NO_FAULTS);
	}
}

/* Guards against VMs with different states after two operators have submitted
 * changes at the same time: one is accepted, the other refused.
 */
static void test_two_operators(void **state)
{
	submission_t a, b;
	const submission_t *winner;

	submit_start(&a, 701, "ann");
	submit_start(&b, 702, "bob");
	while (!a.done || !b.done)
		g_main_context_iteration(NULL, TRUE);
	winner = a.apply.result == APPLY_ACCEPTED ? &a : &b;
	assert_int_equal(winner->apply.result, APPLY_ACCEPTED);
	assert_int_equal((winner == &a ? &b : &a)->apply.result, APPLY_REFUSED);
	assert_true(vms_sim_wait(&sim, winner->apply.version, EFFECT_LIMIT_MS));
	for (size_t i = 0; i < N_VMS; i++) {
		const state_t *in_effect = sim.vms[i].config.state;
		char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
							   "customer-1000", -1);

		assert_true(state_find_workspace(in_effect, hash)->requests_s ==
			    (winner == &a ? 701 : 702));
		g_free(hash);
	}
	submit_finish(&a);
	submit_finish(&b);
}

/* Guards against a change that does not take effect because VMs wait for peers
 * that do not answer.
 */
static void test_silent_peers(void **state)
{
	uint64_t version;

	for (size_t i = 0; i < N_VMS; i += 2)
		sim.vms[i].silent = true;
	version = submit(800);
	assert_true(version > 0);
	/* The silent VMs receive no heartbeats and poll the platform
	 * themselves after SYNC_QUIET_US to SYNC_QUIET_MAX_US.
	 */
	assert_true(vms_sim_wait(&sim, version, 2 * (int64_t)EFFECT_LIMIT_MS));
	for (size_t i = 0; i < N_VMS; i++)
		sim.vms[i].silent = false;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_changes_take_effect),
		cmocka_unit_test(test_outage),
		cmocka_unit_test(test_slow_and_lossy_platform),
		cmocka_unit_test(test_two_operators),
		cmocka_unit_test(test_silent_peers),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
