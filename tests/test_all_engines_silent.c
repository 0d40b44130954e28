/* Engines that fall silent all at the same time for a second or so and go on, while streams
 * run or wait. All are processes of their own; their sockets stay open.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "support_caller.h"
#include "support_deployment.h"
#include "support_http.h"

#define CALLERS 32
#define MAX_TOKENS 300
#define WAIT_MS 20000

/* Streams that run and streams that have yet to begin as the engines fall silent. */
#define RUNNING (CALLERS * 3 / 4)

/* Tokens that all callers together have before. */
#define TOKENS_BEFORE 200

static const char *const engine_args[] = {"--token-us", "5000", NULL};

static const deployment_config_t config = {
	.prefills = 2,
	.decodes = 3,
	.routers = 1,
	.engine_args = engine_args,
	.first_token_ms = 580,
};

/* Which engines fall silent, and for how long. */
typedef struct {
	const char *name;
	bool prefills, decodes;
	unsigned ms;
	int callers; /* those that come in the silence are the last ones */
} silence_t;

typedef struct {
	deployment_t deployment;
	caller_t callers[CALLERS];
	gint tokens; /* received by all callers */
} trial_t;

static void start_caller(trial_t *trial, int number)
{
	trial->callers[number] = (caller_t){
		.address = trial->deployment.callers_address[0],
		.token = DEPLOYMENT_TOKEN,
		.number = number,
		.prompt_words = 50,
		.max_tokens = MAX_TOKENS,
		.leave_after_tokens = CALLER_STAYS,
		.leave_after_us = CALLER_STAYS,
		.all_tokens = &trial->tokens,
	};
	caller_start(&trial->callers[number]);
}

/* Waits until the first callers have received n tokens together, and each has one. */
static void wait_running(trial_t *trial, int n)
{
	gint64 until =
		g_get_monotonic_time() + WAIT_MS * G_TIME_SPAN_MILLISECOND;

	for (int i = 0; i < RUNNING; i++) {
		while (g_atomic_int_get(&trial->callers[i].tokens) == 0 ||
		       g_atomic_int_get(&trial->tokens) < n) {
			assert_true(g_get_monotonic_time() < until);
			g_usleep(500);
		}
	}
}

static void signal_engines(trial_t *trial, const silence_t *silence, int number)
{
	for (unsigned i = 0; silence->decodes && i < config.decodes; i++)
		process_signal(&trial->deployment.decode[i], number);
	for (unsigned i = 0; silence->prefills && i < config.prefills; i++)
		process_signal(&trial->deployment.prefill[i], number);
}

/* Returns the router's number of a caller's request, as in its log, or NULL. */
static char *find_request(char **lines, const caller_t *caller)
{
	for (char **line = lines; *line; line++) {
		char *at = strstr(*line, " request=");

		if (at && strstr(*line, caller->trace))
			return g_strndup(at, strcspn(at + 1, " ") + 1);
	}
	return NULL;
}

/* Prints what the log of the router says of a caller's stream. */
static void print_trace(const trial_t *trial, const caller_t *caller)
{
	char *log = deployment_log(&trial->deployment, 0);
	char **lines = g_strsplit(log, "\n", -1);
	char *request = find_request(lines, caller);

	for (char **line = lines; request && *line; line++) {
		if (strstr(*line, request))
			print_message("  %s\n", strstr(*line, "time="));
	}
	g_free(request);
	g_strfreev(lines);
	g_free(log);
}

/* Waits for all callers. Returns how many streams ended without a whole answer. */
static unsigned join_callers(trial_t *trial, const silence_t *silence)
{
	unsigned lost = 0;

	for (int i = 0; i < silence->callers; i++) {
		caller_t *caller = &trial->callers[i];

		caller_join(caller);
		if (caller->fault)
			fail_msg("caller %d: %s", i, caller->fault);
		if (!caller->complete) {
			print_message("%s, %u ms, %s: status %u, %s (%s) %s "
				      "after %d tokens\n",
				      silence->name, silence->ms,
				      i < RUNNING ? "running" : "new",
				      caller->status, caller->code,
				      caller->message, caller->verdict,
				      caller->tokens);
			if (!lost++)
				print_trace(trial, caller);
		}
	}
	return lost;
}

/* Lets engines fall silent while streams run; others come in the silence. Returns how many
 * streams ended without a whole answer.
 */
static unsigned count_lost(const silence_t *silence)
{
	static trial_t trial; /* outlives a failure */
	unsigned lost;

	memset(&trial, 0, sizeof(trial));
	deployment_start(&trial.deployment, &config);
	for (int i = 0; i < RUNNING; i++)
		start_caller(&trial, i);
	wait_running(&trial, TOKENS_BEFORE);
	signal_engines(&trial, silence, SIGSTOP);
	for (int i = RUNNING; i < silence->callers; i++)
		start_caller(&trial, i);
	g_usleep(silence->ms * G_TIME_SPAN_MILLISECOND);
	signal_engines(&trial, silence, SIGCONT);
	lost = join_callers(&trial, silence);
	print_message("%s, %u ms: %u of %d lost\n", silence->name, silence->ms,
		      lost, silence->callers);
	for (int i = 0; i < silence->callers; i++)
		caller_finish(&trial.callers[i]);
	deployment_finish(&trial.deployment);
	return lost;
}

/* Guards against streams of callers who wait that end without a whole answer because no
 * engine says anything for a second or so.
 */
static void test_all_engines_silent(void **state)
{
	static const silence_t silences[] = {
		{"decode engines", false, true, 1000, CALLERS},
		{"decode engines", false, true, 1300, CALLERS},
		{"prefill engines", true, false, 1000, CALLERS},
		{"prefill engines", true, false, 1300, CALLERS},
		{"all engines", true, true, 1000, CALLERS},
		{"all engines", true, true, 1300, CALLERS},
	};
	unsigned lost = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(silences); i++)
		lost += count_lost(&silences[i]);
	assert_int_equal(lost, 0);
}

/* Guards against a prompt that is given up at one silent engine, and then at the other, although
 * none would answer it sooner than the one that has it. A single caller comes in the silence:
 * failures of others would keep its prompt from the second engine.
 */
static void test_one_prompt_in_the_silence(void **state)
{
	static const silence_t silences[] = {
		{"prefill engines", true, false, 1300, RUNNING + 1},
		{"all engines", true, true, 1300, RUNNING + 1},
	};
	unsigned lost = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(silences); i++)
		lost += count_lost(&silences[i]);
	assert_int_equal(lost, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_engines_silent),
		cmocka_unit_test(test_one_prompt_in_the_silence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
