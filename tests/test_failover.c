/* Failures of real engine processes, and shutdown of the router, in the middle
 * of streams. Several callers stream at once and check every token that they
 * get.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "process/clock.h"
#include "request/retry.h"
#include "support_caller.h"
#include "support_deployment.h"
#include "support_http.h"

#define CALLERS 24
#define MAX_TOKENS 60
#define ALL_TOKENS (CALLERS * MAX_TOKENS)
#define SEED UINT64_C(31)
#define WAIT_MS 20000

static const char *const engine_args[] = {"--token-us", "5000", NULL};

static const deployment_config_t config = {
	.prefills = 2,
	.decodes = 3,
	.routers = 1,
	.engine_args = engine_args,
	.first_token_ms = 580,
};

typedef struct {
	deployment_t deployment;
	caller_t callers[CALLERS];
	gint tokens; /* received by all callers */
	uint64_t seed; /* of the moment of the failure */
} trial_t;

/* Starts the deployment, with these arguments of the engines. */
static void trial_begin_with(trial_t *trial, uint64_t seed,
			     const char *const *args)
{
	deployment_config_t own = config;

	own.engine_args = args;
	memset(trial, 0, sizeof(*trial));
	trial->seed = seed;
	deployment_start(&trial->deployment, &own);
}

static void trial_begin(trial_t *trial, uint64_t seed)
{
	trial_begin_with(trial, seed, engine_args);
}

static void start_callers(trial_t *trial)
{
	for (int i = 0; i < CALLERS; i++) {
		trial->callers[i] = (caller_t){
			.address = trial->deployment.callers_address[0],
			.token = DEPLOYMENT_TOKEN,
			.number = i,
			.prompt_words = 50,
			.max_tokens = MAX_TOKENS,
			.leave_after_tokens = CALLER_STAYS,
			.leave_after_us = CALLER_STAYS,
			.all_tokens = &trial->tokens,
		};
		caller_start(&trial->callers[i]);
	}
}

/* Waits until the callers have received n tokens together. */
static void wait_tokens(trial_t *trial, int n)
{
	gint64 until =
		g_get_monotonic_time() + WAIT_MS * G_TIME_SPAN_MILLISECOND;

	while (g_atomic_int_get(&trial->tokens) < n) {
		assert_true(g_get_monotonic_time() < until);
		g_usleep(500);
	}
}

/* Waits until every caller has received a token. */
static void wait_all_started(trial_t *trial)
{
	gint64 until =
		g_get_monotonic_time() + WAIT_MS * G_TIME_SPAN_MILLISECOND;

	for (int i = 0; i < CALLERS; i++) {
		while (g_atomic_int_get(&trial->callers[i].tokens) == 0) {
			assert_true(g_get_monotonic_time() < until);
			g_usleep(500);
		}
	}
}

/* Returns a number of tokens, received by all callers, to fail an engine at. */
static int random_point(trial_t *trial)
{
	return (int)(retry_random(&trial->seed) % (ALL_TOKENS * 3 / 4));
}

/*
 * Waits for all callers. Checks that each has its own complete answer, or an
 * error that says when to retry and has a verdict that fits: never that the
 * request ran, and after a token not that it did not run. Returns the number of
 * complete answers.
 */
static int join_callers(trial_t *trial)
{
	int complete = 0;

	for (int i = 0; i < CALLERS; i++) {
		caller_t *caller = &trial->callers[i];

		caller_join(caller);
		if (caller->fault)
			fail_msg("caller %d: %s", i, caller->fault);
		if (caller->complete) {
			complete++;
		} else {
			assert_non_null(caller->code);
			assert_string_not_equal(caller->verdict, "ran");
			assert_true(caller->tokens == 0 ||
				    strcmp(caller->verdict, "not-run") != 0);
			assert_true(caller->retry_after);
			print_message("caller %d: %s (%s) %s after %d tokens\n",
				      i, caller->code, caller->message,
				      caller->verdict, caller->tokens);
		}
		caller_finish(caller);
	}
	return complete;
}

/* Returns a counter of the router, or -1 when it is missing. */
static int64_t metric(const trial_t *trial, const char *name)
{
	http_answer_t answer =
		http_get(trial->deployment.operators_address[0], "/metrics");
	char *key = g_strdup_printf("\ngooseberryspur_%s_total ", name);
	const char *at = strstr(answer.text, key);
	int64_t value = at ? strtoll(at + strlen(key), NULL, 10) : -1;

	g_free(key);
	http_answer_finish(&answer);
	return value;
}

/* Tells whether an engine holds memory for no request. */
static bool holds_nothing(const char *address)
{
	char *record = http_get_record(address);
	bool nothing = strstr(record, "\"holders\":[]") != NULL;

	g_free(record);
	return nothing;
}

/* Waits until no live engine holds memory for a request. The first engines of
 * each role are dead, as many as given.
 */
static void wait_released(trial_t *trial, unsigned dead_prefill,
			  unsigned dead_decode)
{
	deployment_t *deployment = &trial->deployment;
	gint64 until =
		g_get_monotonic_time() + WAIT_MS * G_TIME_SPAN_MILLISECOND;
	bool held = true;

	while (held) {
		held = false;
		for (unsigned i = dead_prefill; i < config.prefills; i++)
			held |= !holds_nothing(deployment->prefill_address[i]);
		for (unsigned i = dead_decode; i < config.decodes; i++)
			held |= !holds_nothing(deployment->decode_address[i]);
		assert_true(g_get_monotonic_time() < until);
	}
}

static void trial_end(trial_t *trial)
{
	deployment_finish(&trial->deployment);
}

/* Guards against answers that are lost, mixed up or cut when a decode engine is
 * killed. Its streams must go on at another engine, at the first token that the
 * caller has not received.
 */
static void test_decode_killed(void **state)
{
	for (uint64_t round = 0; round < 3; round++) {
		trial_t trial;
		int complete;

		trial_begin(&trial, SEED + round);
		start_callers(&trial);
		wait_tokens(&trial, random_point(&trial));
		process_signal(&trial.deployment.decode[0], SIGKILL);
		complete = join_callers(&trial);
		print_message("decode killed: %d of %d complete, %d prefills\n",
			      complete, CALLERS,
			      (int)metric(&trial, "prefills"));
		assert_int_equal(complete, CALLERS);
		wait_released(&trial, 0, 1);
		trial_end(&trial);
	}
}

/* Guards against requests that fail when a prefill engine is killed, although
 * another one is alive and the retry budget is not spent.
 */
static void test_prefill_killed(void **state)
{
	for (uint64_t round = 0; round < 3; round++) {
		trial_t trial;
		int complete;

		trial_begin(&trial, SEED + round);
		http_set_faults(trial.deployment.prefill_address[0],
				"{\"slow_factor\":10}");
		start_callers(&trial);
		wait_tokens(&trial, 1 + random_point(&trial) / 20);
		process_signal(&trial.deployment.prefill[0], SIGKILL);
		complete = join_callers(&trial);
		print_message("prefill killed: %d of %d complete\n", complete,
			      CALLERS);
		assert_int_equal(complete, CALLERS);
		wait_released(&trial, 1, 0);
		trial_end(&trial);
	}
}

/* Guards against streams that wait for a stopped decode engine, and against its
 * tokens, which arrive after it continues and the stream has moved elsewhere.
 */
static void test_decode_frozen(void **state)
{
	for (uint64_t round = 0; round < 2; round++) {
		trial_t trial;
		int complete;

		trial_begin(&trial, SEED + round);
		start_callers(&trial);
		wait_tokens(&trial, random_point(&trial));
		process_signal(&trial.deployment.decode[0], SIGSTOP);
		/* Most tokens have been received: streams of other engines
		 * have ended, and those of the stopped one wait or have moved.
		 */
		wait_tokens(&trial, ALL_TOKENS * 9 / 10);
		process_signal(&trial.deployment.decode[0], SIGCONT);
		complete = join_callers(&trial);
		print_message("decode frozen: %d of %d complete, %d prefills\n",
			      complete, CALLERS,
			      (int)metric(&trial, "prefills"));
		assert_int_equal(complete, CALLERS);
		wait_released(&trial, 0, 0);
		trial_end(&trial);
	}
}

/* Guards against requests that wait for a stopped prefill engine. */
static void test_prefill_frozen(void **state)
{
	trial_t trial;
	int complete;

	trial_begin(&trial, SEED);
	process_signal(&trial.deployment.prefill[0], SIGSTOP);
	start_callers(&trial);
	complete = join_callers(&trial);
	print_message("prefill frozen: %d of %d complete\n", complete, CALLERS);
	process_signal(&trial.deployment.prefill[0], SIGCONT);
	assert_true(complete >= CALLERS / 2);
	wait_released(&trial, 0, 0);
	trial_end(&trial);
}

/* Guards against streams that wait forever when their connection stays open but
 * nothing more arrives. They are resumed without another prefill.
 */
static void test_silent_streams(void **state)
{
	trial_t trial;

	trial_begin(&trial, SEED);
	start_callers(&trial);
	wait_tokens(&trial, random_point(&trial));
	for (unsigned i = 0; i < config.decodes; i++)
		http_set_faults(trial.deployment.decode_address[i],
				"{\"stall_streams\":1}");
	assert_int_equal(join_callers(&trial), CALLERS);
	assert_true(metric(&trial, "decodes_resumed") > 0);
	assert_int_equal(metric(&trial, "prefills"), CALLERS);
	wait_released(&trial, 0, 0);
	trial_end(&trial);
}

/* Guards against requests that hang, or need another prefill, when the transfer
 * of a prefill result stalls while the prefill engine still retains it.
 */
static void test_stalled_transfers(void **state)
{
	/* Longer than engines retain results, so that a busy machine does not
	 * turn a repeated import into a repeated prefill.
	 */
	static const char *const args[] = {"--token-us", "5000", "--kept-ms",
					   "3000", NULL};
	trial_t trial;

	trial_begin_with(&trial, SEED, args);
	http_set_faults(trial.deployment.prefill_address[0],
			"{\"stall_transfers\":3}");
	http_set_faults(trial.deployment.prefill_address[1],
			"{\"stall_transfers\":3}");
	start_callers(&trial);
	assert_int_equal(join_callers(&trial), CALLERS);
	assert_true(metric(&trial, "imports") > CALLERS);
	assert_int_equal(metric(&trial, "prefills"), CALLERS);
	wait_released(&trial, 0, 0);
	trial_end(&trial);
}

/* Guards against duplicate and reordered tokens of an engine that are passed on
 * to the caller.
 */
static void test_duplicate_and_reordered_tokens(void **state)
{
	trial_t trial;

	trial_begin(&trial, SEED);
	for (unsigned i = 0; i < config.decodes; i++)
		http_set_faults(trial.deployment.decode_address[i],
				"{\"duplicate\":20,\"reorder\":10}");
	start_callers(&trial);
	assert_int_equal(join_callers(&trial), CALLERS);
	assert_true(metric(&trial, "stale_answers") > 0);
	wait_released(&trial, 0, 0);
	trial_end(&trial);
}

/* Guards against a graceful shutdown, by one SIGTERM, that cuts responses. */
static void test_graceful_shutdown(void **state)
{
	trial_t trial;

	trial_begin(&trial, SEED);
	start_callers(&trial);
	wait_all_started(&trial);
	process_signal(&trial.deployment.router[0], SIGTERM);
	assert_int_equal(join_callers(&trial), CALLERS);
	assert_true(process_wait_end(&trial.deployment.router[0], WAIT_MS));
	assert_int_equal(trial.deployment.router[0].status, 0);
	trial_end(&trial);
}

/* Guards against a forced shutdown, by a second SIGTERM, that cuts responses
 * without a verdict or leaves memory held at engines.
 */
static void test_forced_shutdown(void **state)
{
	trial_t trial;

	trial_begin(&trial, SEED);
	start_callers(&trial);
	wait_all_started(&trial);
	process_signal(&trial.deployment.router[0], SIGTERM);
	process_signal(&trial.deployment.router[0], SIGTERM);
	join_callers(&trial);
	assert_true(process_wait_end(&trial.deployment.router[0], WAIT_MS));
	assert_int_equal(trial.deployment.router[0].status, 0);
	wait_released(&trial, 0, 0);
	trial_end(&trial);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_decode_killed),
		cmocka_unit_test(test_prefill_killed),
		cmocka_unit_test(test_decode_frozen),
		cmocka_unit_test(test_prefill_frozen),
		cmocka_unit_test(test_silent_streams),
		cmocka_unit_test(test_stalled_transfers),
		cmocka_unit_test(test_duplicate_and_reordered_tokens),
		cmocka_unit_test(test_graceful_shutdown),
		cmocka_unit_test(test_forced_shutdown),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
