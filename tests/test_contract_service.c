/*
 * Contract of the fake plain service. With GOOSEBERRYSPUR_SERVICE set to
 * IP:port the test without faults runs against that service.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support_http.h"
#include "support_process.h"

#define RECORD_TEMPLATE "service-record-XXXXXX"

/* Starts the fake; the caller frees the address. */
static char *start(process_t *process, const char *const *args)
{
	char *address = process_start_listening(process, "fake_service", args);

	assert_non_null(address);
	return address;
}

/* Number of executed calls in a record. */
static int count_ran(const char *record)
{
	int n = 0;

	for (const char *at = record; (at = strstr(at, "\"ran\":true")); at++)
		n++;
	return n;
}

/* Guards against calls that are changed or not executed on their way. */
static void test_echo(void **state)
{
	static const char *const headers[] = {"Idempotency-Key", "k1",
					      "X-Request-Id", "q1", NULL};
	const char *given = getenv("GOOSEBERRYSPUR_SERVICE");
	process_t process = {0};
	http_answer_t answer;
	char *address;

	address = given ? g_strdup(given) : start(&process, NULL);
	answer = http_call("PATCH", address, "/rooms/7?status=409&x=a%20b",
			   "{\"a\":1}", headers);
	assert_int_equal(answer.status, 409);
	assert_string_equal(http_json_string(&answer, "method"), "PATCH");
	assert_string_equal(http_json_string(&answer, "path"), "/rooms/7");
	assert_string_equal(http_json_string(&answer, "query"),
			    "status=409&x=a%20b");
	assert_string_equal(http_json_string(&answer, "body"), "{\"a\":1}");
	http_answer_finish(&answer);
	if (!given) {
		char *record = http_get_record(address);

		assert_non_null(strstr(record, "\"request\":\"q1\""));
		assert_non_null(strstr(record, "\"key\":\"k1\""));
		assert_int_equal(count_ran(record), 1);
		g_free(record);
	}
	process_finish(&process);
	g_free(address);
}

typedef struct {
	const char *fault;
	unsigned status; /* of the call; 0: no answer */
	int executed; /* as recorded in the file */
	bool crashes;
} fault_case_t;

static const fault_case_t faults[] = {
	{"{\"refuse\":1}", 503, 0, false},
	{"{\"lose_answer\":1}", 0, 1, false},
	{"{\"crash_before_call\":1}", 0, 0, true},
	{"{\"crash_after_call\":1}", 0, 1, true},
	{"{\"delay_ms\":30}", 200, 1, false},
};

/* Executed calls in a record file, which may hold two lines for a call. */
static int count_file(const char *path)
{
	char *text = NULL;
	int n = 0;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	for (const char *at = text; (at = strstr(at, "\"outcome\":\"done\""));
	     at++)
		n++;
	g_free(text);
	return n;
}

/* Guards against faults that execute too little or too much. */
static void test_faults(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		const fault_case_t *c = &faults[i];
		char *dir = g_dir_make_tmp(RECORD_TEMPLATE, NULL);
		char *path = g_build_filename(dir, "record", NULL);
		const char *args[] = {"--record-file", path, NULL};
		http_answer_t answer;
		process_t process;
		char *address = start(&process, args);

		http_set_faults(address, c->fault);
		answer = http_post(address, "/book", "{}");
		if (answer.status != c->status)
			fail_msg("%s: status %u", c->fault, answer.status);
		if (c->crashes)
			assert_true(process_wait_end(&process, 10000));
		assert_int_equal(count_file(path), c->executed);
		http_answer_finish(&answer);
		process_finish(&process);
		remove(path);
		remove(dir);
		g_free(path);
		g_free(dir);
		g_free(address);
	}
}

/* Guards against a stalled call that is not executed or blocks others. */
static void test_stall(void **state)
{
	background_call_t stalled;
	http_answer_t answer;
	process_t process;
	char *address = start(&process, NULL);
	char *record = NULL;

	http_set_faults(address, "{\"stall\":1}");
	http_call_start(&stalled, "POST", address, "/a", "{}");
	do {
		g_free(record);
		record = http_get_record(address);
	} while (count_ran(record) == 0);
	answer = http_post(address, "/b", "{}");
	assert_int_equal(answer.status, 200);
	assert_int_equal(http_json_int(&answer, "counter"), 2);
	http_answer_finish(&answer);
	process_finish(&process);
	answer = http_call_join(&stalled);
	assert_int_equal(answer.status, 0);
	http_answer_finish(&answer);
	g_free(record);
	g_free(address);
}

/* Guards against a limit that is not reported or not kept. */
static void test_limit(void **state)
{
	static const char *const args[] = {"--max-running", "1", NULL};
	background_call_t first;
	http_answer_t answer;
	process_t process;
	char *address = start(&process, args);
	int64_t running;

	http_set_faults(address, "{\"stall\":1}");
	http_call_start(&first, "POST", address, "/a", "{}");
	do {
		answer = http_get(address, "/load");
		running = http_json_int(&answer, "running");
		http_answer_finish(&answer);
	} while (running == 0);
	answer = http_post(address, "/b", "{}");
	assert_int_equal(answer.status, 503);
	http_answer_finish(&answer);
	process_finish(&process);
	answer = http_call_join(&first);
	http_answer_finish(&answer);
	g_free(address);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_echo),
		cmocka_unit_test(test_faults),
		cmocka_unit_test(test_stall),
		cmocka_unit_test(test_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
