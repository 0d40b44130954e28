#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "support_deployment.h"
#include "support_http.h"

/* "After a few seconds" of the requirements. */
#define LEAVING_BOUND_US (INT64_C(3) * G_USEC_PER_SEC)

#define BODY "{\"model\":\"summaries\",\"prompt\":\"a b c\",\"max_tokens\":1}"

static unsigned count(const char *text, const char *what)
{
	unsigned n = 0;

	for (const char *at = text; (at = strstr(at, what)); at++)
		n++;
	return n;
}

static unsigned prefills_at(const char *engine)
{
	char *record = http_get_record(engine);
	unsigned n = count(record, "\"kind\":\"prefill\"");

	g_free(record);
	return n;
}

static void call_router(const deployment_t *deployment, unsigned router)
{
	http_answer_t answer =
		http_call("POST", deployment->callers_address[router],
			  "/v1/completions", BODY, DEPLOYMENT_HEADERS);

	assert_int_equal(answer.status, 200);
	http_answer_finish(&answer);
}

/* Sends requests until the engine has got none for many in a row, or the time
 * is over. Returns the time of the last one that it got, after the start.
 */
static int64_t last_work_us(const deployment_t *deployment, const char *engine)
{
	int64_t start_us = g_get_monotonic_time();
	int64_t last_us = 0;
	unsigned n = prefills_at(engine);

	while (g_get_monotonic_time() - start_us < 2 * LEAVING_BOUND_US) {
		for (unsigned i = 0; i < deployment->config.routers; i++) {
			unsigned now;

			call_router(deployment, i);
			now = prefills_at(engine);
			if (now != n)
				last_us = g_get_monotonic_time() - start_us;
			n = now;
		}
	}
	return last_us;
}

/* Guards against new work for an engine that says that it is leaving (P6). */
static void test_engine_says_leaving(void **state)
{
	deployment_config_t config = {
		.prefills = 2,
		.decodes = 1,
		.routers = 2,
	};
	deployment_t deployment;

	deployment_start(&deployment, &config);
	http_set_faults(deployment.prefill_address[0], "{\"leaving\":true}");
	assert_true(last_work_us(&deployment, deployment.prefill_address[0]) <
		    LEAVING_BOUND_US);
	deployment_finish(&deployment);
}

/* Guards against new work for an engine whose VM the platform takes away (P6).
 * The bound counts from when the list shows it, so the list's lag is off.
 */
static void test_list_says_leaving(void **state)
{
	deployment_config_t config = {
		.prefills = 2,
		.decodes = 1,
		.routers = 2,
		.platform = true,
		.state_file_too = true,
	};
	deployment_t deployment;
	char *body;
	http_answer_t answer;

	deployment_start(&deployment, &config);
	body = g_strdup_printf("{\"vms\":[{\"name\":\"prefill-1\","
			       "\"address\":\"%s\",\"zone\":\"zone-1\","
			       "\"state\":\"leaving\"}]}",
			       deployment.prefill_address[0]);
	answer = http_post(deployment.platform_address, "/vms?at-once=1", body);
	assert_int_equal(answer.status, 200);
	http_answer_finish(&answer);
	g_free(body);
	assert_true(last_work_us(&deployment, deployment.prefill_address[0]) <
		    LEAVING_BOUND_US);
	deployment_finish(&deployment);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_engine_says_leaving),
		cmocka_unit_test(test_list_says_leaving),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
