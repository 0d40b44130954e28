/* Load pattern: a backend server in need names a limit on the requests that it
 * takes from all VMs together, while the traffic would be many times that.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/decide/server_limits.h"

#define MAX_VMS 300
#define STEP_US (10 * CLOCK_US_PER_MS)
#define ANNOUNCE_US (400 * CLOCK_US_PER_MS)
#define START_US (1000 * CLOCK_US_PER_S)
#define SERVER "i-1"

/* The users' bound: in any 4 s, one and a half times what the limit allows, and
 * five requests.
 */
#define WINDOW_US (4 * CLOCK_US_PER_S)
#define ALLOWED(limit_per_s) (1.5 * 4 * (limit_per_s) + 5)

/* VMs in front of one server, and their traffic. */
typedef struct {
	unsigned vms;
	double limit_per_s;
	double demand_per_s; /* of all VMs */
	double first_share; /* part of the demand that is at the first VM */
	int64_t idle_us; /* no traffic from the first announcement for so long */
	unsigned cut; /* VMs that hear nothing and are not heard */
	int64_t until_us; /* end of the run, from its start */
} load_t;

/* What the server got. */
typedef struct {
	unsigned most_in_window;
	unsigned total;
} result_t;

typedef struct {
	const load_t *load;
	server_limits_t vms[MAX_VMS];
	double credit[MAX_VMS]; /* requests that are due at each VM */
	int64_t announced_us[MAX_VMS];
	GArray *arrivals; /* int64_t, times */
	int64_t now_us;
	GRand *random;
} model_t;

/* One VM's announcement on its way to the others. */
typedef struct {
	model_t *model;
	unsigned from;
} announcement_t;

static void deliver(void *context, const char *server,
		    const server_limit_t *limit)
{
	const announcement_t *announcement = context;
	model_t *model = announcement->model;
	char vm[16];

	g_snprintf(vm, sizeof(vm), "vm-%u", announcement->from);
	for (unsigned i = model->load->cut; i < model->load->vms; i++) {
		if (i != announcement->from)
			server_limits_apply_peer(&model->vms[i], server, "app",
						 vm, limit, model->now_us);
	}
}

static void announce_due(model_t *model)
{
	for (unsigned i = model->load->cut; i < model->load->vms; i++) {
		announcement_t announcement = {.model = model, .from = i};

		if (model->now_us < model->announced_us[i] + ANNOUNCE_US)
			continue;
		model->announced_us[i] = model->now_us;
		server_limits_visit(&model->vms[i], model->now_us, deliver,
				    &announcement);
	}
}

/* Sends a request if the limit allows; the answer names the limit. */
static void request(model_t *model, unsigned vm)
{
	server_limits_t *limits = &model->vms[vm];

	server_limits_add_request(limits, "app", model->now_us);
	if (!server_limits_allow(limits, SERVER, model->now_us))
		return;
	server_limits_record_send(limits, SERVER, model->now_us);
	g_array_append_val(model->arrivals, model->now_us);
	server_limits_observe(limits, SERVER, "app", true,
			      model->load->limit_per_s, model->now_us);
}

/* Lets the requests of one step arrive. */
static void step(model_t *model)
{
	const load_t *load = model->load;
	double per_step =
		load->demand_per_s * (double)STEP_US / (double)CLOCK_US_PER_S;

	for (unsigned i = 0; i < load->vms; i++) {
		double share =
			i == 0 ? load->first_share
			       : (1 - load->first_share) / (load->vms - 1);

		model->credit[i] +=
			per_step * share * 2 * g_rand_double(model->random);
		for (; model->credit[i] >= 1; model->credit[i] -= 1)
			request(model, i);
	}
}

/* Returns the most arrivals in a window. */
static unsigned most_in_window(const GArray *arrivals)
{
	unsigned most = 0;
	guint first = 0;

	for (guint i = 0; i < arrivals->len; i++) {
		while (g_array_index(arrivals, int64_t, i) -
			       g_array_index(arrivals, int64_t, first) >=
		       WINDOW_US)
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

/* Plays a load; every VM knows the limit from the start. */
static result_t play(const load_t *load, uint32_t seed)
{
	model_t *model = g_new0(model_t, 1);
	result_t result;

	model->load = load;
	model->now_us = START_US;
	model->random = g_rand_new_with_seed(seed);
	model->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (unsigned i = 0; i < load->vms; i++) {
		server_limits_init(&model->vms[i], seed * MAX_VMS + i);
		server_limits_set_vms(&model->vms[i], load->vms,
				      4 * ANNOUNCE_US);
		server_limits_observe(&model->vms[i], SERVER, "app", true,
				      load->limit_per_s, START_US);
		model->announced_us[i] =
			START_US -
			g_rand_int_range(model->random, 0, (gint32)ANNOUNCE_US);
	}
	for (; model->now_us < START_US + load->until_us;
	     model->now_us += STEP_US) {
		announce_due(model);
		if (model->now_us >= START_US + load->idle_us)
			step(model);
	}
	result = (result_t){.most_in_window = most_in_window(model->arrivals),
			    .total = model->arrivals->len};
	for (unsigned i = 0; i < load->vms; i++)
		server_limits_finish(&model->vms[i]);
	g_array_unref(model->arrivals);
	g_rand_free(model->random);
	g_free(model);
	return result;
}

/* Plays a load with several seeds. The bound holds for each, and the server gets
 * at least `min_share` of what its limit allows.
 */
static void check(const char *name, const load_t *load, uint32_t seeds,
		  double min_share)
{
	for (uint32_t seed = 1; seed <= seeds; seed++) {
		result_t result = play(load, seed);
		double allowed_total =
			load->limit_per_s *
			(double)(load->until_us - load->idle_us) /
			(double)CLOCK_US_PER_S;

		print_message("%s: %u in 4 s of %.0f, %u of %.0f in all\n",
			      name, result.most_in_window,
			      ALLOWED(load->limit_per_s), result.total,
			      allowed_total);
		assert_true(result.most_in_window <=
			    ALLOWED(load->limit_per_s));
		assert_true(result.total >= allowed_total * min_share);
	}
}

/* Guards against VMs that apply a server's limit each for itself, and against a
 * limit that is left unused because most of the traffic is at one VM.
 */
static void test_uneven_traffic(void **state)
{
	const load_t load = {.vms = 8,
			     .limit_per_s = 7.1,
			     .demand_per_s = 56,
			     .first_share = 0.6,
			     .until_us = 30 * CLOCK_US_PER_S};

	check("uneven", &load, 5, 0.5);
}

/* Guards against more requests than the limit allows when there are many more
 * VMs than requests a second, and against none at all.
 */
static void test_many_vms(void **state)
{
	load_t load = {.vms = 87,
		       .limit_per_s = 6.4,
		       .demand_per_s = 180,
		       .first_share = 0.02,
		       .until_us = 30 * CLOCK_US_PER_S};

	check("87 VMs", &load, 3, 0.5);
	load.vms = 300;
	load.demand_per_s = 600;
	load.until_us = 8 * CLOCK_US_PER_S;
	check("300 VMs", &load, 2, 0.4);
}

/* Guards against requests that idle VMs have saved up and send at the same time
 * when traffic begins.
 */
static void test_surge_after_idle_time(void **state)
{
	const load_t load = {.vms = 87,
			     .limit_per_s = 6.4,
			     .demand_per_s = 500,
			     .first_share = 0.02,
			     .idle_us = 20 * CLOCK_US_PER_S,
			     .until_us = 32 * CLOCK_US_PER_S};

	check("surge", &load, 3, 0.5);
}

/* Guards against VMs that are cut off from all others and then use the whole
 * limit each.
 */
static void test_vms_without_peers(void **state)
{
	const load_t load = {.vms = 8,
			     .limit_per_s = 7.1,
			     .demand_per_s = 100,
			     .first_share = 0.125,
			     .cut = 5,
			     .until_us = 30 * CLOCK_US_PER_S};

	check("cut", &load, 5, 0.5);
}

/* Guards against a limit that ends when an answer without it was overtaken by
 * one that names it, and against one that never ends.
 */
static void test_withdrawn(void **state)
{
	server_limits_t limits;
	int64_t now_us = START_US;

	server_limits_init(&limits, 1);
	assert_true(
		server_limits_observe(&limits, SERVER, "app", true, 0, now_us));
	assert_false(server_limits_allow(&limits, SERVER, now_us));
	assert_true(server_limits_allow(&limits, "i-2", now_us));
	now_us += 900 * CLOCK_US_PER_MS;
	assert_false(server_limits_observe(&limits, SERVER, "app", false, 0,
					   now_us));
	assert_false(server_limits_allow(&limits, SERVER, now_us));
	now_us += 200 * CLOCK_US_PER_MS;
	assert_true(server_limits_observe(&limits, SERVER, "app", false, 0,
					  now_us));
	assert_true(server_limits_allow(&limits, SERVER, now_us));
	server_limits_expire(&limits, now_us + 4 * CLOCK_US_PER_S);
	assert_int_equal(g_hash_table_size(limits.by_server), 1);
	server_limits_expire(&limits, now_us + 6 * CLOCK_US_PER_S);
	assert_int_equal(g_hash_table_size(limits.by_server), 0);
	server_limits_finish(&limits);
}

/* Guards against a limit of 0 that never ends, because no request is sent whose
 * answer could withdraw it, and against one that is kept for a server of which
 * nothing more is heard.
 */
static void test_limit_of_zero(void **state)
{
	server_limits_t limits;
	unsigned allowed = 0;

	server_limits_init(&limits, 1);
	server_limits_observe(&limits, SERVER, "app", true, 0, START_US);
	for (int64_t s = 0; s < 60; s++) {
		int64_t now_us = START_US + s * CLOCK_US_PER_S;

		server_limits_add_request(&limits, "app", now_us);
		if (!server_limits_allow(&limits, SERVER, now_us))
			continue;
		server_limits_record_send(&limits, SERVER, now_us);
		allowed++;
	}
	assert_in_range(allowed, 1, 20);
	server_limits_expire(&limits, START_US + 30 * CLOCK_US_PER_S);
	assert_int_equal(g_hash_table_size(limits.by_server), 1);
	server_limits_expire(&limits, START_US + 61 * CLOCK_US_PER_S);
	assert_int_equal(g_hash_table_size(limits.by_server), 0);
	server_limits_finish(&limits);
}

/* Guards against a VM that sends without a limit until it was told itself, and
 * against an older announcement that revives a withdrawn limit.
 */
static void test_limit_from_peer(void **state)
{
	server_limit_t limit = {.limited = true,
				.per_s = 0,
				.seen_us = START_US,
				.demand_per_s = 3};
	server_limits_t limits;

	server_limits_init(&limits, 1);
	server_limits_apply_peer(&limits, SERVER, "app", "vm-2", &limit,
				 START_US);
	assert_false(server_limits_allow(&limits, SERVER, START_US));
	assert_true(server_limits_observe(&limits, SERVER, "app", false, 0,
					  START_US + 2 * CLOCK_US_PER_S));
	server_limits_apply_peer(&limits, SERVER, "app", "vm-2", &limit,
				 START_US + 2 * CLOCK_US_PER_S);
	assert_true(server_limits_allow(&limits, SERVER,
					START_US + 2 * CLOCK_US_PER_S));
	server_limits_finish(&limits);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_uneven_traffic),
		cmocka_unit_test(test_many_vms),
		cmocka_unit_test(test_surge_after_idle_time),
		cmocka_unit_test(test_vms_without_peers),
		cmocka_unit_test(test_withdrawn),
		cmocka_unit_test(test_limit_of_zero),
		cmocka_unit_test(test_limit_from_peer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
