/* Faults of the fake engine, on which other tests rely. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "process/clock.h"
#include "support_engine.h"

static int64_t now_ms(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock) / CLOCK_US_PER_MS;
}

/* Waits until the record of a fake contains a text. */
static void wait_record(const char *address, const char *text)
{
	int64_t deadline_ms = now_ms() + ENGINE_WAIT_MS;
	bool found = false;

	while (!found) {
		char *record = http_get_record(address);

		found = strstr(record, text) != NULL;
		g_free(record);
		assert_true(now_ms() < deadline_ms);
	}
}

typedef struct {
	const char *fault;
	const char *offsets; /* of the events, in order of arrival */
} stream_fault_t;

static const stream_fault_t stream_faults[] = {
	{"{\"duplicate\":1}", "0 0 1 2 3 4 stop"},
	{"{\"reorder\":1}", "1 0 2 3 4 stop"},
	{"{\"lose_answer\":1}", "0 1 2 3 cut"},
	{"{\"crash_after_tokens\":2}", "0 1 cut"},
};

/* Guards against fakes whose stream faults do not do what tests rely on. */
static void test_stream_faults(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(stream_faults); i++) {
		const stream_fault_t *c = &stream_faults[i];
		http_stream_t stream;
		engines_t e;
		char *offsets;

		engines_start(&e, NULL, NULL, true);
		engines_bring(&e);
		http_set_faults(e.decode_address, c->fault);
		stream = engines_decode(&e, 1, e.kv, 0, 4);
		offsets = engine_read_offsets(&stream);
		/* The last token can be lost together with the connection. */
		if (!g_str_has_suffix(c->offsets, "cut"))
			assert_string_equal(offsets, c->offsets);
		else
			assert_true(g_str_has_suffix(offsets, "cut"));
		g_free(offsets);
		http_stream_close(&stream);
		engines_stop(&e);
	}
}

/* Guards against a silent stream that blocks its successor. */
static void test_silent_stream_is_resumed(void **state)
{
	http_stream_t silent, next;
	engines_t e;
	char *offsets;

	engines_start(&e, NULL, NULL, true);
	engines_bring(&e);
	silent = engines_decode(&e, 1, e.kv, 0, 1000);
	g_free(http_stream_next(&silent));
	http_set_faults(e.decode_address, "{\"stall_streams\":true}");
	next = engines_decode(&e, 2, e.kv, 1, 4);
	offsets = engine_read_offsets(&next);
	assert_string_equal(offsets, "1 2 3 4 stop");
	g_free(offsets);
	http_stream_close(&silent);
	http_stream_close(&next);
	engines_stop(&e);
}

/* Guards against a cancel that is confirmed while memory is still held. */
static void test_slow_cancel(void **state)
{
	int64_t deadline_ms = now_ms() + ENGINE_WAIT_MS;
	engines_t e;

	engines_start(&e, NULL, NULL, true);
	engines_bring(&e);
	http_set_faults(e.decode_address, "{\"cancel_delay_ms\":50}");
	assert_int_equal(engine_cancel(e.decode_address, 0, 1),
			 ENGINE_PROMPT_WORDS + 50);
	while (engine_cancel(e.decode_address, 0, 1) != 0)
		assert_true(now_ms() < deadline_ms);
	engines_stop(&e);
}

/* Guards against a transfer that cannot be abandoned and moved. */
static void test_stalled_transfer_moves(void **state)
{
	http_answer_t done, answer;
	background_call_t call;
	engines_t e;
	char *body;

	engines_start(&e, NULL, NULL, true);
	done = engines_prefill(&e, 1, "w");
	http_set_faults(e.prefill_address, "{\"stall_transfers\":1}");
	body = engines_import_body(&e, 1, e.prefill_address,
				   http_json_string(&done, "kv"), 150);
	http_call_start(&call, "POST", e.decode_address, "/v1/kv/import", body);
	wait_record(e.prefill_address, "\"stalled\"");
	assert_int_equal(engine_cancel(e.decode_address, 0, 1), 0);
	answer = http_call_join(&call);
	assert_int_equal(answer.status, 409);
	http_answer_finish(&answer);
	answer = engines_import(&e, 2, e.prefill_address,
				http_json_string(&done, "kv"), 150);
	assert_int_equal(answer.status, 200);
	http_answer_finish(&answer);
	http_answer_finish(&done);
	g_free(body);
	engines_stop(&e);
}

/* Guards against an answer that is lost before its work instead of after. */
static void test_lost_answer_after_work(void **state)
{
	http_answer_t answer;
	engines_t e;
	char *record;

	engines_start(&e, NULL, NULL, true);
	http_set_faults(e.prefill_address, "{\"lose_answer\":1}");
	answer = engines_prefill(&e, 1, "w");
	assert_int_equal(answer.status, 0);
	record = http_get_record(e.prefill_address);
	assert_non_null(strstr(record, "\"outcome\":\"done\""));
	assert_int_equal(engine_kv_used(e.prefill_address),
			 ENGINE_PROMPT_WORDS);
	g_free(record);
	http_answer_finish(&answer);
	engines_stop(&e);
}

/* Guards against --cancel-on-close that does not notice a closed caller. */
static void test_cancel_on_close(void **state)
{
	static const char *const extra[] = {"--cancel-on-close", NULL};
	http_stream_t stream;
	engines_t e;

	engines_start(&e, NULL, extra, true);
	engines_bring(&e);
	http_set_faults(e.decode_address, "{\"stall_new_streams\":1}");
	stream = engines_decode(&e, 1, e.kv, 0, 1000);
	for (int i = 0; i < 3; i++)
		g_free(http_stream_next(&stream));
	http_stream_close(&stream);
	engine_wait_load(e.decode_address, "kv_used", 0);
	engines_stop(&e);
}

/* Guards against a stalled prefill that cannot be cancelled. */
static void test_stalled_prefill(void **state)
{
	static const char *const one_lane[] = {"--max-prefills", "1", NULL};
	http_answer_t answer;
	background_call_t call;
	engines_t e;
	char *body;

	engines_start(&e, one_lane, NULL, true);
	http_set_faults(e.prefill_address, "{\"stall_prefills\":1}");
	body = engines_prefill_body(0, 1, 0, "w", ENGINE_PROMPT_WORDS);
	http_call_start(&call, "POST", e.prefill_address, "/v1/prefill", body);
	engine_wait_load(e.prefill_address, "running", 1);
	assert_int_equal(engine_cancel(e.prefill_address, 0, 1), 0);
	answer = http_call_join(&call);
	assert_int_equal(answer.status, 409);
	http_answer_finish(&answer);
	/* The lane is free again. */
	answer = engines_prefill(&e, 2, "w");
	assert_int_equal(answer.status, 200);
	http_answer_finish(&answer);
	g_free(body);
	engines_stop(&e);
}

/* Guards against a link that gives each of two transfers its whole rate. */
static void test_link_is_shared(void **state)
{
	/* With the speed of 10, a prompt takes 50 ms alone. */
	static const char *const slow[] = {"--link-tokens-s", "200", NULL};
	background_call_t calls[2];
	engines_t e;
	int64_t start_ms;

	engines_start(&e, slow, NULL, true);
	start_ms = now_ms();
	for (e.request = 0; e.request < 2; e.request++) {
		http_answer_t done = engines_prefill(&e, 1, "w");
		char *body = engines_import_body(&e, 1, e.prefill_address,
						 http_json_string(&done, "kv"),
						 150);

		http_call_start(&calls[e.request], "POST", e.decode_address,
				"/v1/kv/import", body);
		http_answer_finish(&done);
		g_free(body);
	}
	for (int i = 0; i < 2; i++) {
		http_answer_t answer = http_call_join(&calls[i]);

		assert_int_equal(answer.status, 200);
		http_answer_finish(&answer);
	}
	assert_true(now_ms() - start_ms >= 100);
	engines_stop(&e);
}

/* Guards against work that is not slowed, and load that hides a departure. */
static void test_slow_and_leaving(void **state)
{
	http_answer_t answer;
	engines_t e;
	int64_t start_ms;

	engines_start(&e, NULL, NULL, true);
	/* 100 tokens take 1 ms at the speed of 10. */
	http_set_faults(e.prefill_address,
			"{\"slow_factor\":50,\"leaving\":true}");
	start_ms = now_ms();
	answer = engines_prefill(&e, 1, "w");
	assert_int_equal(answer.status, 200);
	assert_true(now_ms() - start_ms >= 50);
	http_answer_finish(&answer);
	answer = http_get(e.prefill_address, "/v1/load");
	assert_true(json_object_get_boolean_member(answer.json, "leaving"));
	http_answer_finish(&answer);
	engines_stop(&e);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stream_faults),
		cmocka_unit_test(test_silent_stream_is_resumed),
		cmocka_unit_test(test_slow_cancel),
		cmocka_unit_test(test_stalled_transfer_moves),
		cmocka_unit_test(test_lost_answer_after_work),
		cmocka_unit_test(test_cancel_on_close),
		cmocka_unit_test(test_stalled_prefill),
		cmocka_unit_test(test_link_is_shared),
		cmocka_unit_test(test_slow_and_leaving),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
