#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "support_deployment.h"
#include "support_http.h"

#define ROUTERS 4

/* "In force everywhere within seconds": today's target. */
#define EFFECT_BOUND_US (INT64_C(5) * G_USEC_PER_SEC)

#define CHANGES 10

static deployment_t deployment;

static int start_group(void **state)
{
	deployment_config_t config = {
		.prefills = 1,
		.decodes = 1,
		.routers = ROUTERS,
		.zones = 2,
		.platform = true,
	};

	deployment_start(&deployment, &config);
	return 0;
}

static int finish_group(void **state)
{
	deployment_finish(&deployment);
	return 0;
}

/* Returns the version in effect at a VM, -1 if it has none or does not answer. */
static int64_t version_at(unsigned router)
{
	static const char *const headers[] = {
		"Authorization", "Bearer " DEPLOYMENT_OPERATOR_TOKEN, NULL};
	http_answer_t answer = http_call("GET",
					 deployment.operators_address[router],
					 "/v1/admin/status", NULL, headers);
	int64_t version = answer.json ? http_json_int(&answer, "version") : -1;

	http_answer_finish(&answer);
	return version;
}

/* Writes the start state with one more workspace, so that each is a change. */
static char *write_change(unsigned number)
{
	char *path = g_strdup_printf("%s/change.toml", deployment.dir);
	char *name = g_strdup_printf("customer-%u", number);
	char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, name, -1);
	char *text = NULL;
	char *changed;

	assert_true(
		g_file_get_contents(deployment.state_path, &text, NULL, NULL));
	changed = g_strdup_printf("%s[[customers]]\nname = \"%s\"\n"
				  "token_sha256 = \"%s\"\n"
				  "services = [\"listing\"]\n",
				  text, name, hash);
	assert_true(g_file_set_contents(path, changed, -1, NULL));
	g_free(changed);
	g_free(text);
	g_free(hash);
	g_free(name);
	return path;
}

/* Time until a version is in effect at all VMs; each VM's version is checked
 * never to fall meanwhile.
 */
static int64_t wait_for_version(int64_t version)
{
	int64_t start_us = g_get_monotonic_time();
	int64_t seen[ROUTERS] = {0};
	int64_t took_us = 0;
	unsigned done = 0;

	while (done < ROUTERS && took_us < 4 * EFFECT_BOUND_US) {
		done = 0;
		for (unsigned i = 0; i < ROUTERS; i++) {
			int64_t now = version_at(i);

			assert_true(now >= seen[i]);
			seen[i] = now;
			done += now >= version;
		}
		took_us = g_get_monotonic_time() - start_us;
	}
	return took_us;
}

/* Guards against changes that are late somewhere (P8). */
static void test_changes_take_effect(void **state)
{
	int64_t most_us = 0;

	assert_true(wait_for_version(1) < EFFECT_BOUND_US);
	for (unsigned i = 0; i < CHANGES; i++) {
		char *path = write_change(i);
		char *base = g_strdup_printf("%u", i + 1);
		int64_t took_us;

		assert_int_equal(deployment_apply(&deployment, path, base), 0);
		took_us = wait_for_version(i + 2);
		print_message("%" G_GINT64_FORMAT " ms ", took_us / 1000);
		most_us = MAX(most_us, took_us);
		g_free(base);
		g_free(path);
	}
	print_message("\n");
	assert_true(most_us < EFFECT_BOUND_US);
}

/* Guards against two operators who overwrite each other's state. */
static void test_older_base_is_refused(void **state)
{
	char *path = write_change(100);

	assert_int_equal(deployment_apply(&deployment, path, "1"), 3);
	g_free(path);
	assert_int_equal(version_at(0), CHANGES + 1);
}

/* Guards against a bad file that changes something somewhere. */
static void test_bad_file_changes_nothing(void **state)
{
	char *path = g_strdup_printf("%s/bad.toml", deployment.dir);

	assert_true(g_file_set_contents(path, "deployment = \"test\"\nx = 1\n",
					-1, NULL));
	assert_int_equal(deployment_apply(&deployment, path, NULL), 2);
	g_free(path);
	for (unsigned i = 0; i < ROUTERS; i++)
		assert_int_equal(version_at(i), CHANGES + 1);
}

/* Guards against a VM that cannot start while the platform is out, or that
 * brings back an older version.
 */
static void test_start_during_outage(void **state)
{
	http_set_faults(deployment.platform_address, "{\"outage\":true}");
	deployment_stop_router(&deployment, 3);
	deployment_start_router(&deployment, 3);
	deployment_wait_ready(&deployment, 3);
	assert_int_equal(version_at(3), CHANGES + 1);
	http_set_faults(deployment.platform_address, "{\"outage\":false}");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_changes_take_effect),
		cmocka_unit_test(test_older_base_is_refused),
		cmocka_unit_test(test_bad_file_changes_nothing),
		cmocka_unit_test(test_start_during_outage),
	};

	return cmocka_run_group_tests(tests, start_group, finish_group);
}
