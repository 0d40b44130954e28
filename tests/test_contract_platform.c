/*
 * Contract of the platform interface, section 6.3 of docs/design.md. With
 * GOOSEBERRYSPUR_PLATFORM set to IP:port the tests without faults run against
 * that platform, below the table prefix "contract-test/".
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "support_http.h"
#include "support_process.h"

/* Longest value of a row, section 6.3. */
#define ROW_BYTES_MAX 65536

static process_t process;
static char *address;

static int start(void **state)
{
	static const char *const args[] = {"--vm-lag-ms", "500", NULL};
	const char *given = getenv("GOOSEBERRYSPUR_PLATFORM");

	memset(&process, 0, sizeof(process));
	address = given ? g_strdup(given)
			: process_start_listening(&process, "fake_platform",
						  args);
	return address ? 0 : -1;
}

static int stop(void **state)
{
	process_finish(&process);
	g_free(address);
	return 0;
}

/* Ends a test that needs the faults of the fake. */
static void need_fake(void)
{
	if (!process.output)
		skip();
}

/* A call with one condition header; the caller finishes the answer. */
static http_answer_t call(const char *method, const char *path,
			  const char *body, const char *condition,
			  const char *value)
{
	const char *const headers[] = {condition, value, NULL};

	return http_call(method, address, path, body, headers);
}

/* PUT of a new row; returns the status. */
static unsigned put_new(const char *path, const char *value)
{
	http_answer_t answer = call("PUT", path, value, "If-None-Match", "*");
	unsigned status = answer.status;

	http_answer_finish(&answer);
	return status;
}

static char *get_etag(const char *path)
{
	http_answer_t answer = http_get(address, path);
	char *etag = g_strdup(http_header(&answer, "ETag"));

	http_answer_finish(&answer);
	return etag;
}

/* Deletes what an earlier run may have left. */
static void clear(const char *path)
{
	char *etag = get_etag(path);
	http_answer_t answer = call("DELETE", path, NULL, "If-Match", etag);

	http_answer_finish(&answer);
	g_free(etag);
}

typedef struct {
	const char *method;
	const char *condition; /* header, or NULL */
	const char *value; /* "now" and "old": the row's current, former ETag */
	unsigned status;
	const char *row; /* value afterwards, NULL when absent */
} step_t;

static const step_t steps[] = {
	{"GET", NULL, NULL, 404, NULL},
	{"PUT", "If-Match", "\"1\"", 412, NULL},
	{"DELETE", "If-Match", "\"1\"", 412, NULL},
	{"PUT", "If-None-Match", "*", 200, "v3"},
	{"PUT", "If-None-Match", "*", 412, "v3"},
	{"PUT", "If-Match", "\"999999\"", 412, "v3"},
	{"PUT", "If-Match", "now", 200, "v6"},
	{"PUT", "If-Match", "old", 412, "v6"},
	{"DELETE", "If-Match", "old", 412, "v6"},
	{"DELETE", "If-Match", "now", 200, NULL},
	{"PUT", "If-None-Match", "*", 200, "v10"},
	{"PUT", "If-Match", "old", 412, "v10"},
	{"DELETE", "If-Match", "now", 200, NULL},
};

/*
 * Guards against a write whose condition does not hold, and against a row
 * that was deleted and written again with a version that it had before.
 */
static void test_conditional_writes(void **state)
{
	const char *path = "/table/contract-test/a%20row/1";
	char *now = g_strdup(""), *old = g_strdup("");

	clear(path);
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		const step_t *step = &steps[i];
		char *value = g_strdup_printf("v%zu", i);
		const char *tag = step->value;
		http_answer_t answer;

		if (tag && !strcmp(tag, "now"))
			tag = now;
		else if (tag && !strcmp(tag, "old"))
			tag = old;
		answer = call(step->method, path,
			      !strcmp(step->method, "PUT") ? value : NULL,
			      step->condition, tag);
		if (answer.status != step->status)
			fail_msg("step %zu: status %u", i, answer.status);
		http_answer_finish(&answer);
		answer = http_get(address, path);
		if (step->row)
			assert_string_equal(answer.text, step->row);
		else
			assert_int_equal(answer.status, 404);
		if (strcmp(now, http_header(&answer, "ETag")) != 0 &&
		    answer.status == 200) {
			g_free(old);
			old = now;
			now = g_strdup(http_header(&answer, "ETag"));
		}
		http_answer_finish(&answer);
		g_free(value);
	}
	g_free(now);
	g_free(old);
}

/* Guards against values that are cut at the limit instead of rejected. */
static void test_row_limit(void **state)
{
	const char *path = "/table/contract-test/limit";
	char *value = g_strnfill(ROW_BYTES_MAX + 1, 'x');

	clear(path);
	assert_int_equal(put_new(path, value), 413);
	value[ROW_BYTES_MAX] = '\0';
	assert_int_equal(put_new(path, value), 200);
	clear(path);
	g_free(value);
}

/* Guards against listings that leave rows out or add others. */
static void test_listing(void **state)
{
	static const char *const paths[] = {"/table/contract-test/l/b",
					    "/table/contract-test/l/a",
					    "/table/contract-test/m"};
	http_answer_t answer;
	JsonArray *rows;

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		clear(paths[i]);
		assert_int_equal(put_new(paths[i], "v"), 200);
	}
	answer = http_get(address, "/table?prefix=contract-test/l/");
	assert_int_equal(answer.status, 200);
	rows = json_object_get_array_member(answer.json, "rows");
	assert_int_equal(json_array_get_length(rows), 2);
	assert_string_equal(json_object_get_string_member(
				    json_array_get_object_element(rows, 0),
				    "key"),
			    "contract-test/l/a");
	http_answer_finish(&answer);
	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++)
		clear(paths[i]);
}

/* Guards against objects that change or that cannot be put twice. */
static void test_objects(void **state)
{
	/* SHA-256 of "part". */
	const char *path = "/objects/"
			   "37a680133bd09342f934afb8dd2c7d9e"
			   "1b624da5f35e3a38adb103e37c055ed1";
	http_answer_t answer;

	for (int i = 0; i < 2; i++) {
		answer = http_call("PUT", address, path, "part", NULL);
		assert_int_equal(answer.status, 200);
		http_answer_finish(&answer);
	}
	answer = http_get(address, path);
	assert_string_equal(answer.text, "part");
	http_answer_finish(&answer);
	answer = http_get(address, "/objects/none");
	assert_int_equal(answer.status, 404);
	http_answer_finish(&answer);
}

typedef struct {
	const char *fault;
	unsigned status; /* of a write under the fault */
	bool written; /* at the latest after a while */
} fault_case_t;

static const fault_case_t faults[] = {
	{"{\"outage\":1}", 503, false},
	{"{\"unreachable\":1}", 0, false},
	{"{\"lose_write_answer\":1}", 0, true},
	{"{\"late_write_ms\":30}", 0, true},
	{"{\"delay_ms\":30}", 200, true},
	{"{\"answer_delay_ms\":30}", 200, true},
};

/* Guards against faults that write too little or too much. */
static void test_faults(void **state)
{
	need_fake();
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		const fault_case_t *c = &faults[i];
		char *path = g_strdup_printf("/table/fault/%zu", i);
		unsigned status;

		http_set_faults(address, c->fault);
		status = put_new(path, "v");
		http_set_faults(address, "{\"late_write_ms\":0,\"delay_ms\":0,"
					 "\"answer_delay_ms\":0}");
		if (status != c->status)
			fail_msg("%s: status %u", c->fault, status);
		/* A late write ends the loop by becoming visible. */
		do {
			http_answer_t answer = http_get(address, path);

			status = answer.status;
			http_answer_finish(&answer);
		} while (c->written && status != 200);
		assert_int_equal(status, c->written ? 200 : 404);
		g_free(path);
	}
}

/* Guards against a rate limit that is not applied or not recorded. */
static void test_rate_limit(void **state)
{
	static const char *const args[] = {"--writes-s", "0", NULL};
	http_answer_t answer;
	process_t limited;
	char *at, *record;

	need_fake();
	at = process_start_listening(&limited, "fake_platform", args);
	assert_non_null(at);
	answer = http_call("PUT", at, "/table/x", "v", NULL);
	assert_int_equal(answer.status, 429);
	assert_string_equal(http_header(&answer, "Retry-After"), "1");
	http_answer_finish(&answer);
	record = http_get_record(at);
	assert_non_null(strstr(record, "\"writes\":1,\"throttled\":1"));
	g_free(record);
	process_finish(&limited);
	g_free(at);
}

/* Guards against a VM list that is served without its lag, or never. */
static void test_vms_lag(void **state)
{
	http_answer_t answer;
	bool seen = false;

	need_fake();
	answer = http_post(address, "/vms",
			   "{\"vms\":[{\"name\":\"vm-1\",\"address\":"
			   "\"127.0.0.1:1\",\"zone\":\"vake\",\"state\":"
			   "\"live\"}]}");
	assert_int_equal(answer.status, 200);
	http_answer_finish(&answer);
	answer = http_get(address, "/vms");
	assert_string_equal(answer.text, "{\"vms\":[]}");
	while (!seen) {
		http_answer_finish(&answer);
		answer = http_get(address, "/vms");
		seen = strstr(answer.text, "vm-1") != NULL;
	}
	http_answer_finish(&answer);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_conditional_writes),
		cmocka_unit_test(test_row_limit),
		cmocka_unit_test(test_listing),
		cmocka_unit_test(test_objects),
		cmocka_unit_test(test_faults),
		cmocka_unit_test(test_rate_limit),
		cmocka_unit_test(test_vms_lag),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
