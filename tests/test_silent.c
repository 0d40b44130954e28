/* Time until work goes on over a new connection when one goes silent. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "support_deployment.h"
#include "support_http.h"

#define ROUNDS 5
#define FIRST_TOKEN_MS 580
/* Tokens that the caller reads before the connection goes silent. */
#define TOKENS_BEFORE 20

/* Longest silence of a stream and longest wait for the first token of its
 * successor, as src/request/execute_decode.c states them.
 */
#define STREAM_BOUND_US (INT64_C(1500) * G_TIME_SPAN_MILLISECOND)
/* A silent prefill is given up after three first-token targets at the latest;
 * the next one has to meet the target.
 */
#define PREFILL_BOUND_US (INT64_C(4) * FIRST_TOKEN_MS * G_TIME_SPAN_MILLISECOND)

#define BODY                                                                \
	"{\"model\":\"summaries\",\"prompt\":\"a b c\",\"max_tokens\":100," \
	"\"stream\":true}"

static const char *const engine_args[] = {"--token-us", "5000", NULL};

static const deployment_config_t config = {
	.prefills = 2,
	.decodes = 3,
	.routers = 1,
	.engine_args = engine_args,
	.first_token_ms = FIRST_TOKEN_MS,
};

static void skip_tokens(http_stream_t *stream, unsigned n)
{
	while (n--) {
		char *event = http_stream_next(stream);

		assert_non_null(event);
		g_free(event);
	}
}

/* Reads to the end. Returns the longest time without an event. */
static int64_t longest_gap_us(http_stream_t *stream)
{
	int64_t last_us = g_get_monotonic_time();
	int64_t longest_us = 0;
	bool done = false;
	char *event;

	while ((event = http_stream_next(stream))) {
		int64_t now_us = g_get_monotonic_time();

		longest_us = MAX(longest_us, now_us - last_us);
		last_us = now_us;
		done |= strstr(event, "[DONE]") != NULL;
		g_free(event);
	}
	assert_true(done);
	return longest_us;
}

/* Index of the decode engine that holds memory. */
static unsigned busy_engine(const deployment_t *deployment)
{
	for (unsigned i = 0; i < config.decodes; i++) {
		char *record = http_get_record(deployment->decode_address[i]);
		bool idle = strstr(record, "\"holders\":[]") != NULL;

		g_free(record);
		if (!idle)
			return i;
	}
	fail_msg("no engine decodes");
	return 0;
}

/* Runs a stream whose engine goes silent. Returns the longest gap. */
static int64_t silent_stream_us(deployment_t *deployment, bool stop_process)
{
	http_stream_t stream = http_stream_open(deployment->callers_address[0],
						"/v1/completions", BODY,
						DEPLOYMENT_HEADERS);
	int64_t gap_us;
	unsigned engine;

	assert_int_equal(stream.status, 200);
	skip_tokens(&stream, TOKENS_BEFORE);
	engine = busy_engine(deployment);
	if (stop_process)
		process_signal(&deployment->decode[engine], SIGSTOP);
	else
		http_set_faults(deployment->decode_address[engine],
				"{\"stall_streams\":true}");
	gap_us = longest_gap_us(&stream);
	if (stop_process)
		process_signal(&deployment->decode[engine], SIGCONT);
	else
		http_set_faults(deployment->decode_address[engine],
				"{\"stall_streams\":false}");
	http_stream_close(&stream);
	return gap_us;
}

static void measure_streams(bool stop_process, const char *hop)
{
	deployment_t deployment;
	int64_t longest_us = 0;

	deployment_start(&deployment, &config);
	for (int i = 0; i < ROUNDS; i++) {
		int64_t gap_us = silent_stream_us(&deployment, stop_process);

		print_message("%s: %d ms\n", hop,
			      (int)(gap_us / G_TIME_SPAN_MILLISECOND));
		longest_us = MAX(longest_us, gap_us);
	}
	deployment_finish(&deployment);
	assert_true(longest_us < STREAM_BOUND_US);
}

/* Guards against streams that wait for a connection that has gone silent while
 * new ones to the engine work.
 */
static void test_silent_stream(void **state)
{
	measure_streams(false, "silent stream");
}

/* The same when the whole engine stands still. */
static void test_decode_stopped(void **state)
{
	measure_streams(true, "decode engine stopped");
}

/* Guards against requests that wait for a prefill on a connection that has
 * gone silent.
 */
static void test_prefill_stopped(void **state)
{
	for (int i = 0; i < ROUNDS; i++) {
		deployment_t deployment;
		int64_t start_us;
		int64_t took_us;
		http_stream_t stream;

		deployment_start(&deployment, &config);
		process_signal(&deployment.prefill[i % 2], SIGSTOP);
		start_us = g_get_monotonic_time();
		stream = http_stream_open(deployment.callers_address[0],
					  "/v1/completions", BODY,
					  DEPLOYMENT_HEADERS);
		assert_int_equal(stream.status, 200);
		skip_tokens(&stream, 1);
		took_us = g_get_monotonic_time() - start_us;
		print_message("prefill engine stopped: first token after "
			      "%d ms\n",
			      (int)(took_us / G_TIME_SPAN_MILLISECOND));
		assert_true(took_us < PREFILL_BOUND_US);
		http_stream_close(&stream);
		deployment_finish(&deployment);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_silent_stream),
		cmocka_unit_test(test_decode_stopped),
		cmocka_unit_test(test_prefill_stopped),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
