/* Reading of decode events: the fast path must never differ from JSON. */
#include <json-glib/json-glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "connection/token_event.h"

#define FUZZ_SEED 7
#define FUZZ_RUNS 20000

/* Fails when the fast path takes what JSON refuses or reads otherwise. */
static bool check_against_json(str_t data)
{
	JsonParser *parser = json_parser_new_immutable();
	engine_token_t token;
	JsonObject *object;
	const char *text;

	if (!token_event_parse_fast(data, &token)) {
		g_object_unref(parser);
		return false;
	}
	assert_true(json_parser_load_from_data(parser, data.data,
					       (gssize)data.len, NULL));
	object = json_node_get_object(json_parser_get_root(parser));
	assert_int_equal(json_object_get_size(object), 2);
	assert_int_equal(json_object_get_int_member(object, "offset"),
			 token.offset);
	text = json_object_get_string_member(object, "text");
	assert_true(str_equal(str_from(text), token.text));
	assert_int_equal(token.finish.len, 0);
	g_object_unref(parser);
	return true;
}

/* Guards against a fast path that never applies. */
static void test_usual_events(void **state)
{
	assert_true(check_against_json(STR("{\"offset\":0,\"text\":\"\"}")));
	assert_true(
		check_against_json(STR("{\"offset\":12,\"text\":\"a b \"}")));
	assert_true(check_against_json(
		STR("{\"offset\":7,\"text\":\"n\xc3\xa1jem{},:\"}")));
}

/* Guards against events that only the JSON parser may read or refuse. */
static void test_left_to_json(void **state)
{
	static const char *const events[] = {
		"",
		"{\"offset\":",
		"{\"offset\":1",
		"{\"offset\":1,\"text\":\"",
		"{\"offset\":1,\"text\":\"}",
		"{\"offset\":1,\"text\":\"a\"",
		"{\"offset\":,\"text\":\"a\"}",
		"{\"offset\":-1,\"text\":\"a\"}",
		"{\"offset\":01,\"text\":\"a\"}",
		"{\"offset\":1.5,\"text\":\"a\"}",
		"{\"offset\":1234567890123456,\"text\":\"a\"}",
		"{\"offset\":99999999999999999999,\"text\":\"a\"}",
		"{\"offset\": 1,\"text\":\"a\"}",
		"{\"offset\":1,\"text\":\"a\\n\"}",
		"{\"offset\":1,\"text\":\"a\\\"}",
		"{\"offset\":1,\"text\":\"a\"b\"}",
		"{\"offset\":1,\"text\":\"a\tb\"}",
		"{\"offset\":1,\"text\":\"\xc3\"}",
		"{\"offset\":1,\"text\":\"a\",\"finish\":\"stop\"}",
		"{\"offset\":1,\"finish\":\"stop\"}",
		"{\"text\":\"a\",\"offset\":1}",
	};
	engine_token_t token;

	for (size_t i = 0; i < G_N_ELEMENTS(events); i++)
		assert_false(
			token_event_parse_fast(str_from(events[i]), &token));
	assert_false(token_event_parse_fast((str_t){NULL, 0}, &token));
}

/* Guards against a changed byte being taken for a token. */
static void test_fuzz(void **state)
{
	static const char bytes[] = "{}[]\":,\\0195-. aet\t\n\x01\xc3\xa1\xff";
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	int taken = 0;

	for (int run = 0; run < FUZZ_RUNS; run++) {
		GString *event =
			g_string_new("{\"offset\":105,\"text\":\"ab c\"}");
		int changes = g_rand_int_range(rand, 0, 4);

		for (int i = 0; i < changes; i++) {
			gint at = g_rand_int_range(rand, 0, (gint)event->len);
			char byte = bytes[g_rand_int_range(rand, 0,
							   sizeof(bytes) - 1)];

			if (g_rand_boolean(rand))
				event->str[at] = byte;
			else
				g_string_insert_c(event, at, byte);
		}
		taken += check_against_json(str_from_gstring(event));
		g_string_free(event, TRUE);
	}
	assert_true(taken > FUZZ_RUNS / 8);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_usual_events),
		cmocka_unit_test(test_left_to_json),
		cmocka_unit_test(test_fuzz),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
