/* A whole availability zone that stands still and comes back. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>

#include "support_deployment.h"
#include "support_http.h"
#include "support_load.h"

#define SEED 51
#define ZONES 3
#define RELEASE_BOUND_US (INT64_C(10) * G_USEC_PER_SEC)
/* Longer than the membership takes to find a VM dead, about 2.5 s. */
#define CUT_US (INT64_C(4) * G_USEC_PER_SEC)
#define BEFORE_US (INT64_C(1) * G_USEC_PER_SEC)
#define BODY "{\"model\":\"summaries\",\"prompt\":\"a b c\",\"max_tokens\":2}"

static const char *const engine_args[] = {
	"--hold-ms", "60000", "--token-us", "5000", "--prefill-us-per-token",
	"50",	     NULL};

static const deployment_config_t config = {
	.prefills = ZONES,
	.decodes = ZONES,
	.services = ZONES,
	.routers = 2 * ZONES,
	.zones = ZONES,
	.platform = true,
	.state_file_too = true,
	.engine_args = engine_args,
	.first_token_ms = 580,
};

static const load_run_config_t load = {
	.seed = SEED,
	.rate = 40,
	.duration_ms = 6000,
	.timeout_ms = 10000,
	.leave_percent = 10,
	.plain_percent = 10,
};

/* Signals everything in the first zone, whose members have the indices 0,
 * ZONES, 2 * ZONES and so on.
 */
static void signal_zone(deployment_t *deployment, int signal_number)
{
	for (unsigned i = 0; i < config.routers; i += ZONES)
		process_signal(&deployment->router[i], signal_number);
	process_signal(&deployment->prefill[0], signal_number);
	process_signal(&deployment->decode[0], signal_number);
	process_signal(&deployment->service[0], signal_number);
}

/* Calls the other zones for so long. Returns the number of calls that did not
 * get a whole answer; `n` is the number of all.
 */
static unsigned call_others(const deployment_t *deployment, int64_t length_us,
			    unsigned *n)
{
	int64_t end_us = g_get_monotonic_time() + length_us;
	unsigned bad = 0;

	for (*n = 0; g_get_monotonic_time() < end_us; (*n)++) {
		unsigned router = *n % config.routers;
		http_answer_t answer;

		if (router % ZONES == 0)
			router++;
		answer = http_call("POST", deployment->callers_address[router],
				   "/v1/completions", BODY, DEPLOYMENT_HEADERS);
		bad += answer.status != 200;
		http_answer_finish(&answer);
	}
	return bad;
}

/* Guards against zones that stop serving with another one, and against harm by
 * processes that return late: answers given twice, memory held, calls repeated.
 */
static void test_zone_frozen(void **state)
{
	deployment_t deployment;
	audit_counts_t counts;
	load_run_t run;
	unsigned calls;
	unsigned bad;

	deployment_start(&deployment, &config);
	load_run_start(&run, &deployment, &load);
	g_usleep(BEFORE_US);
	signal_zone(&deployment, SIGSTOP);
	bad = call_others(&deployment, CUT_US, &calls);
	signal_zone(&deployment, SIGCONT);
	print_message("calls to the other zones: %u, without answer: %u\n",
		      calls, bad);
	load_run_join(&run);
	print_message("%s\n", run.line);
	assert_true(load_run_audit(&run, RELEASE_BOUND_US, &counts));
	assert_int_equal(load_run_count(&run, "unfinished"), 0);
	assert_int_equal(load_run_count(&run, "cut"), 0);
	assert_int_equal(load_run_count(&run, "wrong"), 0);
	assert_int_equal(bad, 0);
	assert_true(calls > 0);
	load_run_finish(&run);
	deployment_finish(&deployment);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_zone_frozen),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
