/* Callers that leave: engine memory must be freed soon after. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <json-glib/json-glib.h>

#include "process/clock.h"
#include "request/retry.h"
#include "support_caller.h"
#include "support_deployment.h"
#include "support_http.h"

#define CALLERS 200
#define AT_ONCE 20
#define SEED UINT64_C(9)
#define WAIT_MS 20000

/* Bound on memory held after a caller left: the time for which engines retain
 * a prefill result anyway (under one second).
 */
#define HELD_LIMIT_US (1 * CLOCK_US_PER_S)

static const char *const engine_args[] = {
	"--token-us", "5000", "--prefill-us-per-token", "200", NULL};

static const deployment_config_t config = {
	.prefills = 2,
	.decodes = 2,
	.routers = 1,
	.engine_args = engine_args,
	.first_token_ms = 580,
};

typedef struct {
	int64_t start_us;
	int64_t end_us; /* latest end of work for the request */
	int64_t cancel_us; /* latest cancel; 0: none */
	bool running;
} use_t;

/* Maps traces to request IDs, from the router's log. */
static GHashTable *read_requests(const deployment_t *deployment)
{
	GHashTable *map =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	char *log = deployment_log(deployment, 0);
	char **lines = g_strsplit(log, "\n", -1);

	for (size_t i = 0; lines[i]; i++) {
		const char *request = strstr(lines[i], " request=");
		const char *trace = strstr(lines[i], " trace=");

		if (!strstr(lines[i], "event=request_end") || !request ||
		    !trace)
			continue;
		g_hash_table_replace(
			map, g_strndup(trace + 7, strcspn(trace + 7, " ")),
			g_strndup(request + 9, strcspn(request + 9, " ")));
	}
	g_strfreev(lines);
	g_free(log);
	return map;
}

static void take_record_line(GHashTable *uses, const char *line)
{
	JsonParser *parser = json_parser_new();
	JsonObject *object;
	const char *request;
	use_t *use;
	int64_t start_us, end_us;

	if (!json_parser_load_from_data(parser, line, -1, NULL) ||
	    !json_parser_get_root(parser)) {
		g_object_unref(parser);
		return;
	}
	object = json_node_get_object(json_parser_get_root(parser));
	request = json_object_get_string_member_with_default(object, "request",
							     "");
	start_us =
		json_object_get_int_member_with_default(object, "start_us", 0);
	end_us = json_object_get_int_member_with_default(object, "end_us", 0);
	use = g_hash_table_lookup(uses, request);
	if (!use) {
		use = g_new0(use_t, 1);
		g_hash_table_insert(uses, g_strdup(request), use);
	}
	if (strcmp(json_object_get_string_member_with_default(object, "kind",
							      ""),
		   "cancel") == 0) {
		use->cancel_us = MAX(use->cancel_us, start_us);
	} else {
		use->end_us = MAX(use->end_us, end_us);
		use->running |= end_us == 0;
	}
	g_object_unref(parser);
}

/* What one engine did for each request. */
static GHashTable *read_uses(const char *address)
{
	GHashTable *uses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	char *record = http_get_record(address);
	char **lines = g_strsplit(record, "\n", -1);

	for (size_t i = 0; lines[i]; i++)
		take_record_line(uses, lines[i]);
	g_strfreev(lines);
	g_free(record);
	return uses;
}

static bool holds_nothing(const char *address)
{
	char *record = http_get_record(address);
	bool nothing = strstr(record, "\"holders\":[]") != NULL;

	g_free(record);
	return nothing;
}

static void wait_released(const deployment_t *deployment)
{
	gint64 until =
		g_get_monotonic_time() + WAIT_MS * G_TIME_SPAN_MILLISECOND;
	bool held = true;

	while (held) {
		held = false;
		for (unsigned i = 0; i < config.prefills; i++)
			held |= !holds_nothing(deployment->prefill_address[i]);
		for (unsigned i = 0; i < config.decodes; i++)
			held |= !holds_nothing(deployment->decode_address[i]);
		assert_true(g_get_monotonic_time() < until);
	}
}

/* How long an engine held memory after a caller left, microseconds. Memory is
 * freed by a cancel; without one, when the work for the request ended.
 */
static int64_t held_after(const use_t *use, int64_t left_us)
{
	int64_t freed_us = use->cancel_us ? use->cancel_us : use->end_us;

	assert_false(use->running);
	return MAX(freed_us - left_us, 0);
}

static gint by_value(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Adds, for each caller that left, the longest time over all engines. */
static void measure(const deployment_t *deployment, const caller_t *callers,
		    GArray *held)
{
	GHashTable *requests = read_requests(deployment);
	GHashTable *uses[DEPLOYMENT_MAX];
	unsigned n = 0;

	for (unsigned i = 0; i < config.prefills; i++)
		uses[n++] = read_uses(deployment->prefill_address[i]);
	for (unsigned i = 0; i < config.decodes; i++)
		uses[n++] = read_uses(deployment->decode_address[i]);
	for (int i = 0; i < CALLERS; i++) {
		const char *request =
			g_hash_table_lookup(requests, callers[i].trace);
		int64_t longest_us = 0;

		if (!callers[i].left_us || !request)
			continue;
		for (unsigned j = 0; j < n; j++) {
			const use_t *use =
				g_hash_table_lookup(uses[j], request);

			if (use)
				longest_us = MAX(
					longest_us,
					held_after(use, callers[i].left_us));
		}
		g_array_append_val(held, longest_us);
	}
	for (unsigned i = 0; i < n; i++)
		g_hash_table_unref(uses[i]);
	g_hash_table_unref(requests);
}

static caller_t make_caller(const deployment_t *deployment, int number,
			    uint64_t *seed)
{
	caller_t caller = {
		.address = deployment->callers_address[0],
		.token = DEPLOYMENT_TOKEN,
		.number = number,
		.prompt_words = 100,
		.max_tokens = 60,
		.leave_after_tokens = CALLER_STAYS,
		.leave_after_us = CALLER_STAYS,
		.reset = retry_random(seed) % 2,
	};

	/* Half leave before or around the first token, half in the stream. */
	if (retry_random(seed) % 2)
		caller.leave_after_us = (int64_t)(retry_random(seed) % 60000);
	else
		caller.leave_after_tokens = (int)(retry_random(seed) % 50);
	return caller;
}

/* Guards against engine memory that stays held after its caller has closed or
 * reset the connection at any point.
 */
static void test_memory_after_departure(void **state)
{
	static caller_t callers[CALLERS];
	GArray *held = g_array_new(FALSE, FALSE, sizeof(int64_t));
	deployment_t deployment;
	uint64_t seed = SEED;
	int64_t most_us;

	deployment_start(&deployment, &config);
	for (int i = 0; i < CALLERS; i += AT_ONCE) {
		for (int j = i; j < i + AT_ONCE; j++) {
			callers[j] = make_caller(&deployment, j, &seed);
			caller_start(&callers[j]);
		}
		for (int j = i; j < i + AT_ONCE; j++) {
			caller_join(&callers[j]);
			assert_null(callers[j].fault);
		}
	}
	wait_released(&deployment);
	measure(&deployment, callers, held);
	g_array_sort(held, by_value);
	assert_true(held->len > CALLERS / 2);
	most_us = g_array_index(held, int64_t, held->len - 1);
	print_message("%u departures: memory held for at most %d us, "
		      "99th percentile %d us, median %d us\n",
		      held->len, (int)most_us,
		      (int)g_array_index(held, int64_t, held->len * 99 / 100),
		      (int)g_array_index(held, int64_t, held->len / 2));
	assert_true(most_us < HELD_LIMIT_US);
	for (int i = 0; i < CALLERS; i++)
		caller_finish(&callers[i]);
	g_array_unref(held);
	deployment_finish(&deployment);
}

/* Guards against cancels that are given up when their answers are lost. */
static void test_lost_cancel_answers(void **state)
{
	deployment_t deployment;
	caller_t caller;

	deployment_start(&deployment, &config);
	for (unsigned i = 0; i < config.decodes; i++)
		http_set_faults(
			deployment.decode_address[i],
			"{\"lose_cancel_answer\":2,\"cancel_delay_ms\":50}");
	caller = (caller_t){.address = deployment.callers_address[0],
			    .token = DEPLOYMENT_TOKEN,
			    .prompt_words = 20,
			    .max_tokens = 1000,
			    .leave_after_tokens = 3,
			    .leave_after_us = CALLER_STAYS};
	caller_start(&caller);
	caller_join(&caller);
	assert_null(caller.fault);
	wait_released(&deployment);
	caller_finish(&caller);
	deployment_finish(&deployment);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_memory_after_departure),
		cmocka_unit_test(test_lost_cancel_answers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
