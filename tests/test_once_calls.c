/* At-most-once calls through real processes: two routers, two replicas of a
 * service, and the platform with its table.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "support_deployment.h"
#include "support_http.h"

#define ROUTERS 2
#define CALLERS 6
#define WAIT_MS 20000
#define PATH "/svc/listing/reservations"
#define BODY "{\"bay\":7}"

static const deployment_config_t config = {
	.services = 2,
	.routers = ROUTERS,
	.platform = true,
	.state_file_too = true,
};

/* Calls the service through a router with a key. */
static http_answer_t reserve(const deployment_t *deployment, unsigned router,
			     const char *key, const char *body)
{
	const char *const bearer = "Bearer " DEPLOYMENT_TOKEN;
	const char *const headers[] = {"Authorization", bearer,
				       "Idempotency-Key", key, NULL};

	return http_call("POST", deployment->callers_address[router], PATH,
			 body, headers);
}

/* Returns how often the replicas together executed a call with a key. */
static int executions(const deployment_t *deployment, const char *key)
{
	char *needle = g_strdup_printf("\"key\":\"%s\"", key);
	int n = 0;

	for (unsigned i = 0; i < config.services; i++) {
		char *record = http_get_record(deployment->service_address[i]);
		const char *at = record;

		while ((at = strstr(at, needle))) {
			n++;
			at++;
		}
		g_free(record);
	}
	g_free(needle);
	return n;
}

/* Checks the status and the verdict of an answer. */
static void assert_verdict(http_answer_t *answer, unsigned status,
			   const char *verdict)
{
	if (answer->status != status)
		fail_msg("status %u: %s", answer->status, answer->text);
	assert_string_equal(http_header(answer, "Gooseberryspur-Verdict"),
			    verdict);
}

/* Sets a fault at all replicas. */
static void set_service_faults(const deployment_t *deployment,
			       const char *fault)
{
	for (unsigned i = 0; i < config.services; i++)
		http_set_faults(deployment->service_address[i], fault);
}

/* Repeats a call until it gets the status. The outcome is written only after
 * the first answer, so a repetition can come too early for it.
 */
static http_answer_t reserve_until(const deployment_t *deployment,
				   unsigned router, const char *key,
				   unsigned status)
{
	gint64 until =
		g_get_monotonic_time() + WAIT_MS * G_TIME_SPAN_MILLISECOND;
	http_answer_t answer = reserve(deployment, router, key, BODY);

	while (answer.status != status) {
		assert_true(g_get_monotonic_time() < until);
		http_answer_finish(&answer);
		answer = reserve(deployment, router, key, BODY);
	}
	return answer;
}

/* Guards against a second execution, or another answer, when a caller retries a
 * call at another router, and against the use of its key for another call.
 */
static void test_repeat_gets_the_first_outcome(void **state)
{
	deployment_t *deployment = *state;
	http_answer_t first = reserve(deployment, 0, "repeat", BODY);
	http_answer_t second;

	assert_verdict(&first, 200, "ran");
	second = reserve_until(deployment, 1, "repeat", 200);
	assert_verdict(&second, 200, "ran");
	assert_string_equal(first.text, second.text);
	assert_int_equal(executions(deployment, "repeat"), 1);
	http_answer_finish(&first);
	http_answer_finish(&second);
	second = reserve(deployment, 0, "repeat", "{\"bay\":8}");
	assert_verdict(&second, 409, "not-run");
	assert_int_equal(executions(deployment, "repeat"), 1);
	http_answer_finish(&second);
}

/* One call in a thread of its own. */
typedef struct {
	const deployment_t *deployment;
	unsigned router;
	const char *key;
	http_answer_t answer;
	GThread *thread;
} caller_t;

/* Thread function: makes the call. */
static gpointer run_caller(gpointer data)
{
	caller_t *caller = data;

	caller->answer =
		reserve(caller->deployment, caller->router, caller->key, BODY);
	return NULL;
}

/* Guards against two executions when callers use one key at the same time. */
static void test_racing_callers(void **state)
{
	deployment_t *deployment = *state;

	for (int round = 0; round < 20; round++) {
		char *key = g_strdup_printf("race-%d", round);
		caller_t callers[CALLERS];
		int ran = 0;

		for (unsigned i = 0; i < CALLERS; i++) {
			callers[i] = (caller_t){.deployment = deployment,
						.router = i % ROUTERS,
						.key = key};
			callers[i].thread =
				g_thread_new("race", run_caller, &callers[i]);
		}
		for (unsigned i = 0; i < CALLERS; i++) {
			g_thread_join(callers[i].thread);
			if (callers[i].answer.status == 200)
				ran++;
			else
				assert_verdict(&callers[i].answer, 409,
					       "may-have-run");
			http_answer_finish(&callers[i].answer);
		}
		assert_true(ran >= 1);
		assert_int_equal(executions(deployment, key), 1);
		g_free(key);
	}
}

/* Guards against a second execution after the service's answer was lost. */
static void test_lost_answer_of_the_service(void **state)
{
	deployment_t *deployment = *state;
	http_answer_t answer;

	set_service_faults(deployment, "{\"lose_answer\":1}");
	answer = reserve(deployment, 0, "lost", BODY);
	assert_verdict(&answer, 502, "may-have-run");
	assert_string_not_equal(http_header(&answer, "Retry-After"), "");
	http_answer_finish(&answer);
	answer = reserve(deployment, 1, "lost", BODY);
	assert_verdict(&answer, 409, "may-have-run");
	http_answer_finish(&answer);
	assert_int_equal(executions(deployment, "lost"), 1);
	set_service_faults(deployment, "{\"lose_answer\":0}");
}

/* Guards against a call that is sent although the table is unavailable and
 * cannot record it, and against a caller that waits long for the table.
 */
static void test_table_out(void **state)
{
	deployment_t *deployment = *state;
	gint64 start = g_get_monotonic_time();
	http_answer_t answer;

	http_set_faults(deployment->platform_address, "{\"unreachable\":1000}");
	answer = reserve(deployment, 0, "out", BODY);
	assert_verdict(&answer, 503, "not-run");
	assert_string_not_equal(http_header(&answer, "Retry-After"), "");
	http_answer_finish(&answer);
	assert_true(g_get_monotonic_time() - start < 5 * G_TIME_SPAN_SECOND);
	assert_int_equal(executions(deployment, "out"), 0);
	http_set_faults(deployment->platform_address, "{\"unreachable\":0}");
	/* The same key can be used once the table is available again, which
	 * each router notices for itself, as its circuit breaker closes.
	 */
	for (unsigned router = 0; router < 2; router++) {
		answer = reserve_until(deployment, router, "out", 200);
		http_answer_finish(&answer);
	}
	assert_int_equal(executions(deployment, "out"), 1);
}

/* Guards against a call that is executed twice or not at all when the table's
 * answers are lost although the writes took effect.
 */
static void test_lost_answers_of_the_table(void **state)
{
	deployment_t *deployment = *state;

	for (int i = 0; i < 10; i++) {
		char *key = g_strdup_printf("table-%d", i);
		http_answer_t answer;

		http_set_faults(deployment->platform_address,
				"{\"lose_write_answer\":1}");
		answer = reserve(deployment, 0, key, BODY);
		assert_verdict(&answer, 200, "ran");
		http_answer_finish(&answer);
		assert_int_equal(executions(deployment, key), 1);
		g_free(key);
	}
	http_set_faults(deployment->platform_address,
			"{\"lose_write_answer\":0}");
}

/* Guards against a call that is executed twice, or although its caller got the
 * verdict not-run, when a write takes effect after the router stopped waiting
 * for it.
 */
static void test_late_writes_of_the_table(void **state)
{
	deployment_t *deployment = *state;

	http_set_faults(deployment->platform_address, "{\"late_write_ms\":30}");
	for (int i = 0; i < 10; i++) {
		char *key = g_strdup_printf("late-%d", i);
		http_answer_t answer = reserve(deployment, 0, key, BODY);
		int n = executions(deployment, key);

		if (strcmp(http_header(&answer, "Gooseberryspur-Verdict"),
			   "not-run") == 0)
			assert_int_equal(n, 0);
		else
			assert_int_equal(n, 1);
		http_answer_finish(&answer);
		answer = reserve(deployment, 1, key, BODY);
		http_answer_finish(&answer);
		assert_true(executions(deployment, key) <= 1);
		g_free(key);
	}
	http_set_faults(deployment->platform_address, "{\"late_write_ms\":0}");
}

/* Guards against a second execution after the router of the first was killed
 * while it waited for the service.
 */
static void test_router_killed(void **state)
{
	deployment_t *deployment = *state;
	caller_t caller = {
		.deployment = deployment, .router = 0, .key = "killed"};
	http_answer_t answer;

	set_service_faults(deployment, "{\"delay_ms\":500}");
	caller.thread = g_thread_new("race", run_caller, &caller);
	while (executions(deployment, "killed") == 0)
		g_usleep(1000);
	deployment_stop_router(deployment, 0);
	g_thread_join(caller.thread);
	assert_int_equal(caller.answer.status, 0);
	http_answer_finish(&caller.answer);
	answer = reserve(deployment, 1, "killed", BODY);
	assert_verdict(&answer, 409, "may-have-run");
	http_answer_finish(&answer);
	assert_int_equal(executions(deployment, "killed"), 1);
	set_service_faults(deployment, "{\"delay_ms\":0}");
	deployment_start_router(deployment, 0);
}

/* Guards against invalid keys: they must be refused before the call is sent. */
static void test_bad_key(void **state)
{
	deployment_t *deployment = *state;
	http_answer_t answer = reserve(deployment, 0, "a b", BODY);

	assert_verdict(&answer, 400, "not-run");
	http_answer_finish(&answer);
}

static int start(void **state)
{
	deployment_t *deployment = g_new0(deployment_t, 1);

	deployment_start(deployment, &config);
	*state = deployment;
	return 0;
}

static int stop(void **state)
{
	deployment_finish(*state);
	g_free(*state);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_repeat_gets_the_first_outcome),
		cmocka_unit_test(test_racing_callers),
		cmocka_unit_test(test_lost_answer_of_the_service),
		cmocka_unit_test(test_lost_answers_of_the_table),
		cmocka_unit_test(test_late_writes_of_the_table),
		cmocka_unit_test(test_table_out),
		cmocka_unit_test(test_router_killed),
		cmocka_unit_test(test_bad_key),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
