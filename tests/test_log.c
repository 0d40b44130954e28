#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/log.h"
#include "request/verdict.h"

/* Returns the time that the context points to. */
static int64_t fixed_time(void *context)
{
	return *(int64_t *)context;
}

/*
 * Guards against values from callers that begin a second log line or forge a
 * field. This happens if line breaks, quotes or "=" are written as they are.
 */
static void test_escapes_input(void **state)
{
	static const struct {
		str_t value;
		const char *expected;
	} cases[] = {
		{STR("plain-1.2/3"), "plain-1.2/3"},
		{STR(""), "\"\""},
		{STR("a b"), "\"a b\""},
		{STR("x\nevent=forged"), "\"x\\x0aevent=forged\""},
		{STR("q\"\\"), "\"q\\\"\\\\\""},
		{STR("k=v"), "\"k=v\""},
		{STR("\0\xff"), "\"\\x00\\xff\""},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *out = g_string_new(NULL);

		log_append_value(out, cases[i].value);
		assert_string_equal(out->str, cases[i].expected);
		g_string_free(out, TRUE);
	}
}

/*
 * Guards against events that are logged with an earlier stamp than the message
 * that caused them, because the receiver's clock is behind the sender's.
 */
static void test_hlc_orders_after_receipt(void **state)
{
	int64_t now_a = 5000 * CLOCK_US_PER_MS;
	int64_t now_b = 1000 * CLOCK_US_PER_MS;
	hlc_t a, b;
	uint64_t sent, received;

	hlc_init(&a, (clock_source_t){fixed_time, &now_a});
	hlc_init(&b, (clock_source_t){fixed_time, &now_b});
	sent = hlc_now(&a);
	received = hlc_receive(&b, sent);
	assert_true(received > sent);
	assert_true(hlc_now(&b) > received);
	/* A stamp more than a minute ahead is not taken over. */
	assert_true(hlc_receive(&b, sent + (UINT64_C(70000) << 16)) <
		    sent + (UINT64_C(60000) << 16));
}

/*
 * Guards against a Retry-After of 0 s, which would make callers retry at once,
 * and against an error body without a verdict.
 */
static void test_verdict_text(void **state)
{
	verdict_t v = verdict_with_retry_at(
		verdict_make(RUN_NOT_RUN, VERDICT_OVERLOADED, "queue full"),
		10 * CLOCK_US_PER_S);
	GString *out = g_string_new(NULL);

	assert_int_equal(verdict_retry_after_s(&v, 20 * CLOCK_US_PER_S), 1);
	assert_int_equal(verdict_retry_after_s(&v, 7500000), 3);
	verdict_append_json(out, &v, 7500000);
	assert_string_equal(out->str,
			    "{\"error\":{\"code\":\"overloaded\",\"message\":"
			    "\"queue full\",\"verdict\":\"not-run\","
			    "\"retry_after_s\":3}}");
	g_string_free(out, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_escapes_input),
		cmocka_unit_test(test_hlc_orders_after_receipt),
		cmocka_unit_test(test_verdict_text),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
