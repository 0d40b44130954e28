#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "support_deployment.h"
#include "support_http.h"

#define BODY                                                                 \
	"{\"model\":\"summaries\",\"prompt\":\"a b c\",\"max_tokens\":2000," \
	"\"stream\":true}"

/* Stated bound from the failure of an entry VM to free engine memory: time to
 * suspect and remove a member, and the cancellation.
 */
#define ORPHAN_BOUND_US (INT64_C(10) * G_USEC_PER_SEC)

/* Engines keep unused memory longer than the bound, so that what frees it is
 * the cancellation by another entry VM.
 */
static const char *const engine_args[] = {"--hold-ms", "60000", "--token-us",
					  "20000", NULL};

static int64_t held_tokens(const deployment_t *deployment)
{
	int64_t held = 0;

	for (unsigned i = 0; i < deployment->config.decodes; i++) {
		char *record = http_get_record(deployment->decode_address[i]);
		const char *at =
			strstr(record, "\"kind\":\"held\",\"tokens\":");

		assert_non_null(at);
		held += strtoll(at + strlen("\"kind\":\"held\",\"tokens\":"),
				NULL, 10);
		g_free(record);
	}
	return held;
}

/* Starts a stream on each router and waits for the first token of each and for
 * the renewals that tell the owners' successors.
 */
static void open_streams(const deployment_t *deployment,
			 http_stream_t streams[DEPLOYMENT_MAX])
{
	for (unsigned i = 0; i < deployment->config.routers; i++) {
		streams[i] = http_stream_open(deployment->callers_address[i],
					      "/v1/completions", BODY,
					      DEPLOYMENT_HEADERS);
		assert_int_equal(streams[i].status, 200);
	}
	/* 40 tokens of 20 ms are longer than the interval of renewals. */
	for (unsigned i = 0; i < deployment->config.routers; i++)
		for (unsigned n = 0; n < 40; n++) {
			char *event = http_stream_next(&streams[i]);

			assert_non_null(event);
			g_free(event);
		}
}

/* Ends one entry VM in the middle of its streams. All others leave their
 * streams, so that what stays held is what the lost VM left.
 */
static int64_t time_to_free_us(int signal_number)
{
	deployment_config_t config = {
		.prefills = 1,
		.decodes = 3,
		.routers = 4,
		.engine_args = engine_args,
	};
	deployment_t deployment;
	http_stream_t streams[DEPLOYMENT_MAX];
	int64_t start_us;
	int64_t took_us;

	deployment_start(&deployment, &config);
	open_streams(&deployment, streams);
	process_signal(&deployment.router[0], signal_number);
	start_us = g_get_monotonic_time();
	for (unsigned i = 1; i < config.routers; i++)
		http_stream_close(&streams[i]);
	do {
		took_us = g_get_monotonic_time() - start_us;
	} while (held_tokens(&deployment) > 0 && took_us < 3 * ORPHAN_BOUND_US);
	print_message("freed after %" G_GINT64_FORMAT " ms\n", took_us / 1000);
	http_stream_close(&streams[0]);
	deployment_finish(&deployment);
	return took_us;
}

/* Guards against engine memory that stays held for the requests of an entry VM
 * that died (P1).
 */
static void test_killed(void **state)
{
	assert_true(time_to_free_us(SIGKILL) < ORPHAN_BOUND_US);
}

/* The same for one that stands still. */
static void test_frozen(void **state)
{
	assert_true(time_to_free_us(SIGSTOP) < ORPHAN_BOUND_US);
}

/* Ends an entry VM right after the first tokens of its streams, one at each
 * engine, so that it owns some of these engines. Returns the time until the
 * engines hold nothing.
 */
static int64_t time_to_free_early_us(bool restart)
{
	deployment_config_t config = {
		.prefills = 1,
		.decodes = DEPLOYMENT_MAX,
		.routers = 2,
		.engine_args = engine_args,
	};
	http_stream_t streams[DEPLOYMENT_MAX];
	deployment_t deployment;
	int64_t start_us;
	int64_t took_us;

	deployment_start(&deployment, &config);
	for (unsigned i = 0; i < config.decodes; i++) {
		streams[i] = http_stream_open(deployment.callers_address[0],
					      "/v1/completions", BODY,
					      DEPLOYMENT_HEADERS);
		assert_int_equal(streams[i].status, 200);
	}
	deployment_stop_router(&deployment, 0);
	if (restart)
		deployment_start_router(&deployment, 0);
	start_us = g_get_monotonic_time();
	do {
		took_us = g_get_monotonic_time() - start_us;
	} while (held_tokens(&deployment) > 0 && took_us < 2 * ORPHAN_BOUND_US);
	print_message("freed after %" G_GINT64_FORMAT " ms\n", took_us / 1000);
	for (unsigned i = 0; i < config.decodes; i++)
		http_stream_close(&streams[i]);
	deployment_finish(&deployment);
	return took_us;
}

/* Guards against memory whose grant only the dead VM knew: an owner's own
 * grants, when it dies before the next renewal is due.
 */
static void test_killed_before_renewal(void **state)
{
	assert_true(time_to_free_early_us(false) < ORPHAN_BOUND_US);
}

/* Guards against an entry VM that is restarted before the others have found it
 * dead, so that nobody cancels what its first process left.
 */
static void test_killed_and_restarted(void **state)
{
	assert_true(time_to_free_early_us(true) < ORPHAN_BOUND_US);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_killed),
		cmocka_unit_test(test_frozen),
		cmocka_unit_test(test_killed_before_renewal),
		cmocka_unit_test(test_killed_and_restarted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
