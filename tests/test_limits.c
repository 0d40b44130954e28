#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/limit.h"
#include "support_deployment.h"
#include "support_http.h"

#define RATE 20
#define SECONDS 4
#define ROUTERS 4

/* Requests that the saved-up rate of all shares allows. */
#define BURST (unsigned)(RATE * LIMIT_BURST_US / G_USEC_PER_SEC)

#define STATE_EXTRA                                                  \
	"[[customers]]\nname = \"limited\"\ntoken_sha256 = \"%s\"\n" \
	"services = [\"listing\"]\nrequests_s = " G_STRINGIFY(RATE) "\n"

static deployment_t deployment;

static int start_group(void **state)
{
	char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
						   "limited-token", -1);
	char *extra = g_strdup_printf(STATE_EXTRA, hash);
	deployment_config_t config = {
		.prefills = 1,
		.decodes = 1,
		.services = 1,
		.routers = ROUTERS,
		.state_extra = extra,
	};

	deployment_start(&deployment, &config);
	g_free(extra);
	g_free(hash);
	return 0;
}

static int finish_group(void **state)
{
	deployment_finish(&deployment);
	return 0;
}

/* Calls the first routers in turn without a pause. Returns how many calls were
 * admitted; all others must be refused as not run, with Retry-After.
 */
static unsigned count_admitted(unsigned routers, int64_t seconds)
{
	static const char *const headers[] = {"Authorization",
					      "Bearer limited-token", NULL};
	int64_t end_us = g_get_monotonic_time() + seconds * G_USEC_PER_SEC;
	unsigned admitted = 0;

	for (unsigned i = 0; g_get_monotonic_time() < end_us; i++) {
		http_answer_t answer = http_call(
			"GET", deployment.callers_address[i % routers],
			"/svc/listing/bays", NULL, headers);

		if (answer.status == 200) {
			admitted++;
		} else {
			assert_int_equal(answer.status, 429);
			assert_string_equal(
				http_header(&answer, "Gooseberryspur-Verdict"),
				"not-run");
			assert_string_not_equal(
				http_header(&answer, "Retry-After"), "");
		}
		http_answer_finish(&answer);
	}
	return admitted;
}

/* Guards against a limit that each router grants in full, so that a workspace
 * gets several times its rate by calling all routers.
 */
static void test_rate_holds_over_all_routers(void **state)
{
	unsigned most = RATE * SECONDS + BURST;
	unsigned admitted = count_admitted(ROUTERS, SECONDS);

	print_message("admitted %u of at most %u\n", admitted, most);
	assert_true(admitted <= most + ROUTERS);
	assert_true(admitted >= RATE * SECONDS / 2);
}

/* Guards against shares that stay even when a workspace calls one router only,
 * so that it gets just a fraction of its rate.
 */
static void test_share_follows_demand(void **state)
{
	unsigned admitted;

	count_admitted(1, SECONDS);
	admitted = count_admitted(1, SECONDS);
	print_message("admitted %u at one router\n", admitted);
	assert_true(admitted > RATE * SECONDS / 2);
	assert_true(admitted <= RATE * SECONDS + BURST);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rate_holds_over_all_routers),
		cmocka_unit_test(test_share_follows_demand),
	};

	return cmocka_run_group_tests(tests, start_group, finish_group);
}
