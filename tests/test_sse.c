#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "request/retry.h"
#include "request/sse.h"

#define MAX_BYTES 64
#define FUZZ_SEED UINT64_C(20261203)
#define FUZZ_RUNS 20000

/* Writes "name|data;" for each event. */
static void record(const sse_event_t *event, void *context)
{
	GString *out = context;

	g_string_append_len(out, event->name.data, (gssize)event->name.len);
	g_string_append_c(out, '|');
	g_string_append_len(out, event->data.data, (gssize)event->data.len);
	g_string_append_c(out, ';');
}

/* Parses in chunks of at most `chunk` bytes, or of random size for 0. Sets
 * *between to whether the input ended between two events.
 */
static bool parse(str_t input, size_t chunk, uint64_t *seed, GString *out,
		  bool *between)
{
	sse_parser_t parser;
	bool ok = true;

	sse_parser_init(&parser, MAX_BYTES, record, out);
	while (input.len > 0) {
		size_t n = chunk ? chunk : 1 + retry_random(seed) % 7;

		n = MIN(n, input.len);
		ok = sse_parser_feed(&parser, input.data, n);
		input.data += n;
		input.len -= n;
	}
	*between = sse_parser_is_between_events(&parser);
	sse_parser_finish(&parser);
	return ok;
}

/* Guards against fields and line ends that are parsed differently from the
 * standard, and against limits that are off by one. Parses each input in chunks
 * of every size.
 */
static void test_parser(void **state)
{
	static const struct {
		str_t input;
		const char *want;
		bool ok;
		bool between;
	} cases[] = {
		{STR("data: a\n\n"), "|a;", true, true},
		{STR("data: a\r\rdata:b\r\r"), "|a;|b;", true, true},
		{STR("data: a\r\n\r\ndata: b\r\n\r\n"), "|a;|b;", true, true},
		{STR("data: a\r\n\ndata: b\n\r\n"), "|a;|b;", true, true},
		{STR("event: error\ndata: x\n\n"), "error|x;", true, true},
		{STR("data: a\ndata: b\n\n"), "|a\nb;", true, true},
		{STR("data\ndata\n\n"), "|\n;", true, true},
		{STR("data:\n\n"), "|;", true, true},
		{STR("data:  two\n\n"), "| two;", true, true},
		{STR(": comment\n\nid: 7\nretry: 5\ndata: a\n\n"), "|a;", true,
		 true},
		{STR("event: lost\n\ndata: a\n\n"), "|a;", true, true},
		{STR("\xef\xbb\xbf"
		     "data: a\n\n"),
		 "|a;", true, true},
		{STR("Data: a\nxdata: b\n\n"), "", true, true},
		/* Truncated: no event is reported, and the end is noticed. */
		{STR("data: a\n\ndata: b\n"), "|a;", true, false},
		{STR("data: a\n\ndata: b"), "|a;", true, false},
		{STR("data: a\n\nevent: e\n"), "|a;", true, false},
		/* One byte too long: a line of 65, data of 64 and LF. */
		{STR("data: "
		     "01234567890123456789012345678901234567890123456789"
		     "012345678\n\n"),
		 "", false, false},
		{STR("data:01234567890123456789012345678901234567890123456789\n"
		     "data:0123456789012\n\n"),
		 "|01234567890123456789012345678901234567890123456789\n"
		 "0123456789012;",
		 true, true},
		{STR("data:01234567890123456789012345678901234567890123456789\n"
		     "data:01234567890123\n\n"),
		 "", false, false},
	};
	bool between;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (size_t chunk = 1; chunk <= cases[i].input.len; chunk++) {
			GString *out = g_string_new(NULL);
			bool ok = parse(cases[i].input, chunk, NULL, out,
					&between);

			assert_string_equal(out->str, cases[i].want);
			assert_int_equal(ok, cases[i].ok);
			assert_int_equal(between, cases[i].between);
			g_string_free(out, TRUE);
		}
	}
}

/* Guards against text that is read back as another field or event, and against
 * lost line breaks.
 */
static void test_writer(void **state)
{
	static const struct {
		str_t name;
		str_t data;
		const char *want;
	} cases[] = {
		{STR(""), STR("a"), "data: a\n\n"},
		{STR("error"), STR("x"), "event: error\ndata: x\n\n"},
		{STR(""), STR(""), "data: \n\n"},
		{STR(""), STR("a\n\ndata: b"),
		 "data: a\ndata: \ndata: data: b\n\n"},
		{STR(""), STR("a\r\nb\rc\n"),
		 "data: a\ndata: b\ndata: c\ndata: \n\n"},
		{STR("e\ndata: f"), STR("x"), "event: e\ndata: x\n\n"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *out = g_string_new(NULL);

		sse_append(out, cases[i].name, cases[i].data);
		assert_string_equal(out->str, cases[i].want);
		g_string_free(out, TRUE);
	}
}

/* Fills the buffer with random pieces of the format, and returns them. */
static str_t random_input(uint64_t *seed, char *buffer, size_t size)
{
	static const str_t words[] = {
		STR("data: "),	STR("data"), STR(":"),
		STR("event: "), STR("\n"),   STR("\r"),
		STR("\r\n"),	STR("\n\n"), STR("x"),
		STR("\0"),	STR(" "),    STR("\xef\xbb\xbf"),
		STR("id: 1"),	STR("\xff"), STR("01234567890123456789"),
	};
	size_t n = retry_random(seed) % 40;
	size_t len = 0;

	for (size_t i = 0; i < n; i++) {
		str_t word = words[retry_random(seed) % G_N_ELEMENTS(words)];

		if (len + word.len > size)
			break;
		memcpy(buffer + len, word.data, word.len);
		len += word.len;
	}
	return (str_t){buffer, len};
}

/* Guards against results that depend on how the input is cut into chunks, and
 * against memory errors on malformed input.
 */
static void test_fuzz_chunking(void **state)
{
	uint64_t seed = FUZZ_SEED;
	char buffer[512];

	for (int run = 0; run < FUZZ_RUNS; run++) {
		str_t input = random_input(&seed, buffer, sizeof(buffer));
		GString *whole = g_string_new(NULL);
		GString *split = g_string_new(NULL);
		bool between_whole, between_split, ok;

		ok = parse(input, sizeof(buffer), NULL, whole, &between_whole);
		assert_int_equal(ok,
				 parse(input, 0, &seed, split, &between_split));
		assert_true(g_string_equal(whole, split));
		assert_int_equal(between_whole, between_split);
		g_string_free(whole, TRUE);
		g_string_free(split, TRUE);
	}
}

/* Guards against data that the parser does not read back as it was written. */
static void test_fuzz_round_trip(void **state)
{
	uint64_t seed = FUZZ_SEED;
	char buffer[24];

	for (int run = 0; run < FUZZ_RUNS; run++) {
		str_t data = random_input(&seed, buffer, sizeof(buffer));
		GString *text = g_string_new(NULL);
		GString *want = g_string_new("e|");
		GString *out = g_string_new(NULL);
		bool between;

		for (size_t i = 0; i < data.len; i++) {
			bool crlf = data.data[i] == '\r' && i + 1 < data.len &&
				    data.data[i + 1] == '\n';

			if (!crlf)
				g_string_append_c(want, data.data[i] == '\r'
								? '\n'
								: data.data[i]);
		}
		g_string_append_c(want, ';');
		sse_append(text, STR("e"), data);
		assert_true(
			parse(str_from_gstring(text), 0, &seed, out, &between));
		assert_true(between);
		assert_true(g_string_equal(out, want));
		g_string_free(text, TRUE);
		g_string_free(want, TRUE);
		g_string_free(out, TRUE);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_parser),
		cmocka_unit_test(test_writer),
		cmocka_unit_test(test_fuzz_chunking),
		cmocka_unit_test(test_fuzz_round_trip),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
