/* The HTTP library retries some requests by itself when a connection ends
 * without a response. A call could then run twice though the router has sent it
 * once. The backend server here ends connections at all stages of a call and
 * counts the calls that it receives.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "support_deployment.h"
#include "support_http.h"
#include "support_raw.h"

#define WAIT_MS 20000
#define TOKEN "raw-token"
#define BEARER ("Bearer " TOKEN)

/* A deployment with a backend server and a prefill engine that fail as
 * instructed.
 */
typedef struct {
	raw_peer_t service;
	raw_peer_t engine;
	deployment_t deployment;
	char *state_extra;
} setup_t;

static const char *const mode_names[RAW_MODES_N] = {
	[RAW_ANSWER] = "answer",
	[RAW_ANSWER_AND_CLOSE_IDLE] = "answer, close idle",
	[RAW_CLOSE_AT_ACCEPT] = "close at accept",
	[RAW_CLOSE_AFTER_LINE] = "close after the request line",
	[RAW_CLOSE_AFTER_HEAD] = "close after the head",
	[RAW_CLOSE_AFTER_BODY] = "close after the body",
	[RAW_RESET_AFTER_BODY] = "reset after the body",
	[RAW_CLOSE_IN_STATUS_LINE] = "close in the status line",
	[RAW_CLOSE_AFTER_STATUS_LINE] = "close after the status line",
	[RAW_CLOSE_IN_BODY] = "close in the response body",
	[RAW_CLOSE_IN_CHUNK] = "close in a chunk",
};

/* Returns the configuration of a service whose calls are not repeatable, and of
 * a model whose only prefill engine is the raw peer. The caller frees it.
 */
static char *make_state(const setup_t *setup)
{
	char *hash =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, TOKEN, -1);
	char *text = g_strdup_printf(
		"[[pools]]\nname = \"raw-prefill\"\nmodel = \"contracts\"\n"
		"role = \"prefill\"\nkv_tokens = 60000\n\n"
		"[[services]]\nname = \"raw-model\"\nkind = \"model\"\n"
		"prefill = \"raw-prefill\"\ndecode = \"decode\"\n"
		"first_token_ms = 2000\n\n"
		"[[services]]\nname = \"raw\"\nkind = \"plain\"\n\n"
		"[[services.routes]]\nmethod = \"*\"\npath = \"/\"\n"
		"repeatable = false\n\n"
		"[[backends]]\nname = \"raw-1\"\naddress = \"%s\"\n"
		"zone = \"zone-1\"\nservice = \"raw\"\n\n"
		"[[backends]]\nname = \"raw-2\"\naddress = \"%s\"\n"
		"zone = \"zone-1\"\npool = \"raw-prefill\"\n\n"
		"[[customers]]\nname = \"raw\"\ntoken_sha256 = \"%s\"\n"
		"services = [\"raw\", \"raw-model\"]\n\n",
		setup->service.address, setup->engine.address, hash);

	g_free(hash);
	return text;
}

/* Makes a call as the workspace of the test. */
static http_answer_t call(const setup_t *setup, const char *method,
			  const char *path, const char *body)
{
	static const char *const headers[] = {
		"Authorization", BEARER, "X-Request-Timeout-Ms", "5000", NULL};

	return http_call(method, setup->deployment.callers_address[0], path,
			 body, headers);
}

/* Calls until the peer answers: the router avoids it for some time after the
 * failures that it caused.
 */
static void wait_for_answer(setup_t *setup)
{
	gint64 until =
		g_get_monotonic_time() + WAIT_MS * G_TIME_SPAN_MILLISECOND;
	unsigned status = 0;

	g_atomic_int_set(&setup->service.mode, RAW_ANSWER);
	while (status != 200) {
		http_answer_t answer = call(setup, "POST", "/svc/raw/x", "{}");

		status = answer.status;
		http_answer_finish(&answer);
		assert_true(g_get_monotonic_time() < until);
	}
}

/* Checks that a call that is not repeatable reaches the peer at most once, or
 * exactly once if the peer answers, and that its verdict says whether it may
 * have run.
 */
static void check_service_call(setup_t *setup, const char *method,
			       raw_mode_t mode)
{
	http_answer_t answer;
	const char *verdict;
	int calls;

	/* The connection of this call stays open and could be reused. */
	wait_for_answer(setup);
	calls = g_atomic_int_get(&setup->service.calls);
	g_atomic_int_set(&setup->service.mode, mode);
	answer = call(setup, method, "/svc/raw/x", "{\"a\":1}");
	calls = g_atomic_int_get(&setup->service.calls) - calls;
	verdict = http_header(&answer, "Gooseberryspur-Verdict");
	if (calls > 1)
		fail_msg("%s, %s: received %d times", method, mode_names[mode],
			 calls);
	if (mode <= RAW_ANSWER_AND_CLOSE_IDLE
		    ? strcmp(verdict, "ran") != 0 || calls != 1
		    : strcmp(verdict, "may-have-run") != 0)
		fail_msg("%s, %s: verdict \"%s\", received %d times: %s",
			 method, mode_names[mode], verdict, calls, answer.text);
	http_answer_finish(&answer);
}

/* Guards against a call that is not repeatable and that the library retries. */
static void test_service_calls(void **state)
{
	static const char *const methods[] = {"POST", "PUT", "DELETE", "PATCH"};

	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		for (int mode = 0; mode < RAW_MODES_N; mode++)
			check_service_call(*state, methods[i],
					   (raw_mode_t)mode);
	}
}

/* Guards against a call that is lost or sent twice because the peer has closed
 * the idle connection on which it is sent.
 */
static void test_idle_connection_closed(void **state)
{
	setup_t *setup = *state;
	raw_peer_t *peer = &setup->service;

	wait_for_answer(setup);
	g_atomic_int_set(&peer->mode, RAW_ANSWER_AND_CLOSE_IDLE);
	for (int i = 0; i < 20; i++) {
		int calls = g_atomic_int_get(&peer->calls);
		http_answer_t answer =
			call(setup, "POST", "/svc/raw/x", "{\"a\":1}");

		assert_int_equal(answer.status, 200);
		assert_int_equal(g_atomic_int_get(&peer->calls) - calls, 1);
		http_answer_finish(&answer);
	}
	assert_true(g_atomic_int_get(&peer->idle_closed) > 0);
}

/* Guards against a call that is not repeatable on a reused connection: there
 * the library retries the methods that it considers idempotent.
 */
static void test_own_connection(void **state)
{
	static const char *const methods[] = {"POST", "PUT", "DELETE", "PATCH"};
	setup_t *setup = *state;
	raw_peer_t *peer = &setup->service;

	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		http_answer_t answer;
		int connections;

		wait_for_answer(setup);
		connections = g_atomic_int_get(&peer->connections);
		answer = call(setup, methods[i], "/svc/raw/x", "{}");
		assert_int_equal(answer.status, 200);
		assert_int_equal(g_atomic_int_get(&peer->connections),
				 connections + 1);
		http_answer_finish(&answer);
	}
}

/* Returns the number of prefills that the router has sent, from its metrics, or
 * -1 if they do not hold it.
 */
static int count_prefills(const setup_t *setup)
{
	const char *key = "\ngooseberryspur_prefills_total ";
	http_answer_t answer =
		http_get(setup->deployment.operators_address[0], "/metrics");
	const char *at = strstr(answer.text, key);
	int n = at ? atoi(at + strlen(key)) : -1;

	http_answer_finish(&answer);
	return n;
}

/* Makes one request whose prefill engine fails. Returns the number of prefills
 * that the router has sent: none while it avoids the engine after earlier
 * failures.
 */
static int check_engine_call(setup_t *setup, raw_mode_t mode)
{
	raw_peer_t *peer = &setup->engine;
	int calls = g_atomic_int_get(&peer->calls);
	int sent = count_prefills(setup);
	http_answer_t answer = call(setup, "POST", "/v1/completions",
				    "{\"model\":\"raw-model\",\"prompt\":"
				    "\"a b\",\"max_tokens\":2}");

	calls = g_atomic_int_get(&peer->calls) - calls;
	sent = count_prefills(setup) - sent;
	if (calls > sent || sent > 2)
		fail_msg("%s: sent %d, received %d", mode_names[mode], sent,
			 calls);
	assert_true(answer.status >= 500);
	assert_string_equal(http_header(&answer, "Gooseberryspur-Verdict"),
			    sent ? "may-have-run" : "not-run");
	http_answer_finish(&answer);
	return sent;
}

/* Guards against prefills that the library retries. The router itself repeats a
 * prefill at most once, as a new attempt, and says that it may have run.
 */
static void test_engine_calls(void **state)
{
	setup_t *setup = *state;
	gint64 until = g_get_monotonic_time() + 60 * (gint64)G_TIME_SPAN_SECOND;

	for (int mode = RAW_CLOSE_AFTER_LINE; mode < RAW_MODES_N; mode++) {
		g_atomic_int_set(&setup->engine.mode, mode);
		while (check_engine_call(setup, (raw_mode_t)mode) == 0)
			assert_true(g_get_monotonic_time() < until);
	}
}

static int start(void **state)
{
	setup_t *setup = g_new0(setup_t, 1);
	deployment_config_t config = {
		.prefills = 1, .decodes = 1, .routers = 1};

	raw_peer_start(&setup->service);
	raw_peer_start(&setup->engine);
	setup->state_extra = make_state(setup);
	config.state_extra = setup->state_extra;
	deployment_start(&setup->deployment, &config);
	*state = setup;
	return 0;
}

static int stop(void **state)
{
	setup_t *setup = *state;

	deployment_finish(&setup->deployment);
	raw_peer_stop(&setup->service);
	raw_peer_stop(&setup->engine);
	g_free(setup->state_extra);
	g_free(setup);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_service_calls),
		cmocka_unit_test(test_idle_connection_closed),
		cmocka_unit_test(test_own_connection),
		cmocka_unit_test(test_engine_calls),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
