/*
 * Seeded mixes of faults under load. Without an argument the fixed seeds run;
 * with FIRST [N], or FAULT_SEEDS="FIRST N" in the environment, those seeds.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>

#include "request/retry.h"
#include "support_deployment.h"
#include "support_faults.h"
#include "support_load.h"

#define LOAD_US (INT64_C(3) * G_USEC_PER_SEC)
/* From the failure of an entry VM to free engine memory, as in test_orphans:
 * time to suspect and remove a member, and the cancellation.
 */
#define RELEASE_BOUND_US (INT64_C(10) * G_USEC_PER_SEC)

/* Engines keep unused memory longer than the bound, so that what frees it is a
 * cancellation.
 */
static const char *const engine_args[] = {
	"--hold-ms", "60000", "--token-us", "5000", "--prefill-us-per-token",
	"50",	     NULL};

static uint64_t first_seed;
static uint64_t seeds; /* 0: the fixed ones */

static void draw_config(deployment_config_t *config, uint64_t *seed)
{
	*config = (deployment_config_t){
		.prefills = 2 + (unsigned)(retry_random(seed) % 2),
		.decodes = 3,
		.services = 2,
		.routers = 4 + (unsigned)(retry_random(seed) % 5),
		.zones = 2 + (unsigned)(retry_random(seed) % 3),
		.platform = true,
		.state_file_too = true,
		.engine_args = engine_args,
		.first_token_ms = 580,
	};
}

/* Guards against a serve process that ends by itself. */
static unsigned dead_routers(deployment_t *deployment)
{
	unsigned dead = 0;

	for (unsigned i = 0; i < deployment->config.routers; i++)
		dead += process_wait_end(&deployment->router[i], 0);
	return dead;
}

/* Copies the logs and records of a failed run to FAULT_KEEP/SEED. */
static void keep_logs(const deployment_t *deployment, uint64_t seed)
{
	const char *to = getenv("FAULT_KEEP");
	char *dir;
	GDir *from;
	const char *name;

	if (!to)
		return;
	dir = g_strdup_printf("%s/%d", to, (int)seed);
	g_mkdir_with_parents(dir, 0755);
	from = g_dir_open(deployment->dir, 0, NULL);
	while (from && (name = g_dir_read_name(from))) {
		char *source = g_build_filename(deployment->dir, name, NULL);
		char *target = g_build_filename(dir, name, NULL);
		char *text;
		gsize len;

		if (g_file_get_contents(source, &text, &len, NULL)) {
			g_file_set_contents(target, text, (gssize)len, NULL);
			g_free(text);
		}
		g_free(source);
		g_free(target);
	}
	if (from)
		g_dir_close(from);
	g_free(dir);
}

/* Runs the mix of a seed. Returns what it broke, or NULL. */
static const char *run_seed(uint64_t seed)
{
	load_run_config_t load = {
		.seed = seed,
		.rate = 40,
		.duration_ms = LOAD_US / G_TIME_SPAN_MILLISECOND,
		.timeout_ms = 8000,
		.leave_percent = 15,
		.plain_percent = 15,
	};
	uint64_t state = seed;
	const char *broken = NULL;
	deployment_config_t config;
	deployment_t deployment;
	audit_counts_t counts;
	faults_t faults;
	load_run_t run;

	draw_config(&config, &state);
	faults_draw(&faults, 1 + (unsigned)(seed % FAULTS_MAX), &config,
		    LOAD_US, &state);
	printf("seed %d: routers=%u zones=%u prefills=%u", (int)seed,
	       config.routers, config.zones, config.prefills);
	faults_print(&faults);
	deployment_start(&deployment, &config);
	load_run_start(&run, &deployment, &load);
	faults_run(&faults, &deployment);
	load_run_join(&run);
	if (!load_run_audit(&run, RELEASE_BOUND_US, &counts))
		broken = "a promise was broken";
	else if (dead_routers(&deployment))
		broken = "a serve process ended by itself";
	else if (load_run_count(&run, "unfinished"))
		broken = "a request has no response";
	else if (load_run_count(&run, "cut") && !faults_kill_router(&faults))
		broken = "a response was cut without a verdict";
	else if (!load_run_count(&run, "answered"))
		broken = "no request was answered";
	printf("seed %d: %s\n  %s\n", (int)seed, broken ? broken : "ok",
	       run.line);
	fflush(stdout);
	if (broken)
		keep_logs(&deployment, seed);
	load_run_finish(&run);
	deployment_finish(&deployment);
	return broken;
}

static void run_seeds(const uint64_t *list, size_t n)
{
	unsigned broken = 0;

	for (size_t i = 0; i < n; i++)
		broken += run_seed(list[i]) != NULL;
	assert_int_equal(broken, 0);
}

/* Guards against promises that one fault breaks. */
static void test_one_fault(void **state)
{
	static const uint64_t fixed[] = {2, 8};

	run_seeds(fixed, G_N_ELEMENTS(fixed));
}

/* Guards against promises that two faults at a time break. */
static void test_two_faults(void **state)
{
	static const uint64_t fixed[] = {129, 131};

	run_seeds(fixed, G_N_ELEMENTS(fixed));
}

/* The same for seeds of choice. */
static void test_seeds(void **state)
{
	unsigned broken = 0;

	for (uint64_t i = 0; i < seeds; i++)
		broken += run_seed(first_seed + i) != NULL;
	assert_int_equal(broken, 0);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_fault),
		cmocka_unit_test(test_two_faults),
	};
	const struct CMUnitTest chosen[] = {
		cmocka_unit_test(test_seeds),
	};
	const char *list = getenv("FAULT_SEEDS");
	char *end;

	if (argc > 1) {
		first_seed = strtoull(argv[1], NULL, 10);
		seeds = argc > 2 ? strtoull(argv[2], NULL, 10) : 1;
	} else if (list) {
		first_seed = strtoull(list, &end, 10);
		seeds = MAX(strtoull(end, NULL, 10), 1);
	}
	if (seeds)
		return cmocka_run_group_tests(chosen, NULL, NULL);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
