/*
 * Contract of the engine interface, section 6.2 of docs/design.md. With
 * GOOSEBERRYSPUR_PREFILL and GOOSEBERRYSPUR_DECODE set to IP:port the tests
 * without faults run against those engines instead of the fake.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "process/clock.h"
#include "support_engine.h"

/* Guards against a stream with a gap, a wrong end or memory left behind. */
static void test_whole_session(void **state)
{
	http_stream_t stream;
	engines_t e;
	char *offsets;

	engines_start(&e, NULL, NULL, false);
	engines_bring(&e);
	assert_true(engine_kv_used(e.decode_address) >= ENGINE_PROMPT_WORDS);
	stream = engines_decode(&e, 1, e.kv, 0, 5);
	assert_int_equal(stream.status, 200);
	offsets = engine_read_offsets(&stream);
	assert_string_equal(offsets, "0 1 2 3 4 5 stop");
	assert_int_equal(engine_cancel(e.decode_address, 0, 1), 0);
	assert_int_equal(engine_cancel(e.prefill_address, 0, 1), 0);
	g_free(offsets);
	http_stream_close(&stream);
	engines_stop(&e);
}

/*
 * Guards against a resumed stream that starts elsewhere or has other tokens,
 * and against memory that is freed because a connection was lost.
 */
static void test_resume_at_offset(void **state)
{
	http_stream_t first, second;
	engines_t e;
	char *token, *again;

	engines_start(&e, NULL, NULL, false);
	engines_bring(&e);
	first = engines_decode(&e, 1, e.kv, 0, 1000);
	g_free(http_stream_next(&first));
	token = http_stream_next(&first);
	http_stream_close(&first);
	second = engines_decode(&e, 2, e.kv, 1, 1000);
	assert_int_equal(second.status, 200);
	again = http_stream_next(&second);
	assert_string_equal(again, token);
	assert_true(engine_kv_used(e.decode_address) > 0);
	/* A cancel of the earlier attempt leaves the later one alone. */
	engine_cancel(e.decode_address, 0, 1);
	g_free(again);
	again = http_stream_next(&second);
	assert_non_null(again);
	assert_int_equal(engine_cancel(e.decode_address, 0, 2), 0);
	engine_wait_load(e.decode_address, "kv_used", 0);
	g_free(token);
	g_free(again);
	http_stream_close(&second);
	engines_stop(&e);
}

typedef struct {
	const char *name;
	const char *path;
	const char *fault; /* set at that engine before the call, or NULL */
	const char *body; /* %s, %s: source address and its KV handle */
	unsigned status;
	bool at_decode;
} rejection_t;

#define IMPORT(attempt, reserve)                                         \
	"{\"request\":\"r0\",\"attempt\":" attempt ",\"source\":\"%s\"," \
	"\"kv\":\"%s\",\"tokens\":100,\"reserve_tokens\":" reserve "}"

static const rejection_t rejections[] = {
	{"no JSON", "/v1/prefill", NULL, "no", 400, false},
	{"prefill at decode", "/v1/prefill", NULL, "{}", 503, true},
	{"decode at prefill", "/v1/decode", NULL, "{}", 503, false},
	{"prefill refused", "/v1/prefill", "{\"refuse\":1}", "{}", 503, false},
	{"prefill full", "/v1/prefill", "{\"memory_full\":1}", "{}", 503,
	 false},
	{"import refused", "/v1/kv/import", "{\"refuse\":1}",
	 IMPORT("1", "150"), 503, true},
	{"import full by fault", "/v1/kv/import", "{\"memory_full\":1}",
	 IMPORT("1", "150"), 507, true},
	{"import too large", "/v1/kv/import", NULL, IMPORT("1", "9000000"), 507,
	 true},
	{"import of unknown", "/v1/kv/import", NULL,
	 "{\"request\":\"r0\",\"attempt\":1,\"source\":\"%s\",\"kv\":\"none\","
	 "\"tokens\":100}",
	 410, true},
	{"import without source", "/v1/kv/import", NULL,
	 "{\"request\":\"r0\",\"attempt\":1}", 400, true},
	{"import from nowhere", "/v1/kv/import", NULL,
	 "{\"request\":\"r0\",\"attempt\":1,\"source\":\"127.0.0.1:1\","
	 "\"kv\":\"x\",\"tokens\":100}",
	 502, true},
	{"decode of unknown", "/v1/decode", NULL,
	 "{\"request\":\"r0\",\"attempt\":1,\"kv\":\"none\"}", 410, true},
};

/* Guards against a rejection with a status that says something else. */
static void test_rejections(void **state)
{
	engines_t e;
	http_answer_t done;

	engines_start(&e, NULL, NULL, true);
	done = engines_prefill(&e, 1, "w");
	for (size_t i = 0; i < G_N_ELEMENTS(rejections); i++) {
		const rejection_t *c = &rejections[i];
		const char *address = c->at_decode ? e.decode_address
						   : e.prefill_address;
		char **parts = g_strsplit(c->body, "%s", 3);
		GString *body = g_string_new(parts[0]);
		http_answer_t answer;

		if (parts[1])
			g_string_append_printf(body, "%s%s", e.prefill_address,
					       parts[1]);
		if (parts[1] && parts[2])
			g_string_append_printf(body, "%s%s",
					       http_json_string(&done, "kv"),
					       parts[2]);
		if (c->fault)
			http_set_faults(address, c->fault);
		answer = http_post(address, c->path, body->str);
		if (answer.status != c->status)
			fail_msg("%s: status %u, want %u", c->name,
				 answer.status, c->status);
		http_answer_finish(&answer);
		g_string_free(body, TRUE);
		g_strfreev(parts);
	}
	assert_int_equal(engine_kv_used(e.decode_address), 0);
	http_answer_finish(&done);
	engines_stop(&e);
}

/* Guards against work that starts although its cancel came first. */
static void test_cancel_before_work(void **state)
{
	http_answer_t answer;
	engines_t e;

	engines_start(&e, NULL, NULL, false);
	assert_int_equal(engine_cancel(e.prefill_address, 0, 2), 0);
	answer = engines_prefill(&e, 2, "w");
	assert_int_equal(answer.status, 409);
	http_answer_finish(&answer);
	answer = engines_prefill(&e, 3, "w");
	assert_int_equal(answer.status, 200);
	http_answer_finish(&answer);
	engines_stop(&e);
}

/* Guards against results that are retained beyond their time. */
static void test_result_expires(void **state)
{
	static const char *const short_kept[] = {"--kept-ms", "10", NULL};
	http_answer_t done, answer;
	engines_t e;

	engines_start(&e, short_kept, NULL, true);
	done = engines_prefill(&e, 1, "w");
	engine_wait_load(e.prefill_address, "kv_used", 0);
	answer = engines_import(&e, 1, e.prefill_address,
				http_json_string(&done, "kv"), 150);
	assert_int_equal(answer.status, 410);
	assert_int_equal(engine_kv_used(e.decode_address), 0);
	http_answer_finish(&answer);
	http_answer_finish(&done);
	engines_stop(&e);
}

/* Guards against low priority that is served before high. */
static void test_priority(void **state)
{
	static const char *const one_lane[] = {
		"--max-prefills", "1", "--prefill-us-per-token", "20000", NULL};
	static const int priorities[] = {5, 1, 9};
	background_call_t calls[3];
	int64_t ends[3];
	engines_t e;

	engines_start(&e, one_lane, NULL, true);
	for (int i = 0; i < 3; i++) {
		char *body = engines_prefill_body(i, 1, priorities[i],
						  i ? "a" : "w",
						  i ? 1 : ENGINE_PROMPT_WORDS);

		http_call_start(&calls[i], "POST", e.prefill_address,
				"/v1/prefill", body);
		engine_wait_load(e.prefill_address, i ? "queued" : "running",
				 i ? i : 1);
		g_free(body);
	}
	for (int i = 0; i < 3; i++) {
		http_answer_t answer = http_call_join(&calls[i]);
		const char *end;
		char *record, *line;

		assert_int_equal(answer.status, 200);
		http_answer_finish(&answer);
		record = http_get_record(e.prefill_address);
		line = g_strdup_printf("\"request\":\"r%d\"", i);
		end = strstr(strstr(record, line), "\"end_us\":");
		ends[i] = strtoll(end + strlen("\"end_us\":"), NULL, 10);
		g_free(line);
		g_free(record);
	}
	assert_true(ends[0] <= ends[2]);
	assert_true(ends[2] <= ends[1]);
	engines_stop(&e);
}

/* Guards against a cache that reports hits or events it does not have. */
static void test_cache_events(void **state)
{
	static const char *const losses[] = {"0", "1"};

	for (size_t i = 0; i < G_N_ELEMENTS(losses); i++) {
		const char *extra[] = {"--event-loss", losses[i],
				       "--event-lag-ms", "0", NULL};
		http_answer_t answer;
		engines_t e;

		engines_start(&e, extra, NULL, true);
		answer = engines_prefill(&e, 1, "w");
		assert_int_equal(http_json_int(&answer, "cached_tokens"), 0);
		http_answer_finish(&answer);
		answer = engines_prefill(&e, 2, "w");
		assert_int_equal(http_json_int(&answer, "cached_tokens"), 64);
		http_answer_finish(&answer);
		answer =
			http_get(e.prefill_address, "/v1/cache-events?after=0");
		assert_int_equal(strstr(answer.text, "store") != NULL, i == 0);
		http_answer_finish(&answer);
		engines_stop(&e);
	}
}

/* Guards against a stale order that is applied where fences are checked. */
static void test_fencing(void **state)
{
	static const char *const modes[] = {"--check-fencing",
					    "--cancel-on-close"};

	for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
		const char *extra[] = {modes[i], NULL};
		http_answer_t answer;
		engines_t e;

		engines_start(&e, extra, NULL, true);
		answer = http_post(e.prefill_address, "/v1/orders",
				   "{\"fence\":7,\"model\":\"m7\"}");
		assert_int_equal(answer.status, 200);
		http_answer_finish(&answer);
		answer = http_post(e.prefill_address, "/v1/orders",
				   "{\"fence\":6,\"model\":\"m6\"}");
		assert_int_equal(answer.status, i == 0 ? 409 : 200);
		http_answer_finish(&answer);
		answer = http_get(e.prefill_address, "/v1/load");
		assert_string_equal(http_json_string(&answer, "model"),
				    i == 0 ? "m7" : "m6");
		http_answer_finish(&answer);
		engines_stop(&e);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_whole_session),
		cmocka_unit_test(test_resume_at_offset),
		cmocka_unit_test(test_rejections),
		cmocka_unit_test(test_cancel_before_work),
		cmocka_unit_test(test_result_expires),
		cmocka_unit_test(test_priority),
		cmocka_unit_test(test_cache_events),
		cmocka_unit_test(test_fencing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
