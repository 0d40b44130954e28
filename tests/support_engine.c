#include "support_engine.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "process/clock.h"

static int64_t now_ms(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock) / CLOCK_US_PER_MS;
}

static char *start_engine(process_t *process, const char *role,
			  const char *const *extra)
{
	const char *args[16] = {"--role",	 role,	  "--speed",   "10",
				"--kept-ms",	 "20000", "--hold-ms", "200000",
				"--load-lag-ms", "0"};
	size_t n = 10;
	char *address;

	for (size_t i = 0; extra && extra[i] && n < 15; i++)
		args[n++] = extra[i];
	address = process_start_listening(process, "fake_engine", args);
	assert_non_null(address);
	return address;
}

/* Starts both engines; `faulty` says that the test needs the fake. */
void engines_start(engines_t *e, const char *const *prefill_extra,
		   const char *const *decode_extra, bool faulty)
{
	const char *prefill = getenv("GOOSEBERRYSPUR_PREFILL");
	const char *decode = getenv("GOOSEBERRYSPUR_DECODE");

	memset(e, 0, sizeof(*e));
	if (prefill && decode) {
		if (faulty)
			skip();
		e->prefill_address = g_strdup(prefill);
		e->decode_address = g_strdup(decode);
		return;
	}
	e->prefill_address =
		start_engine(&e->prefill, "prefill", prefill_extra);
	e->decode_address = start_engine(&e->decode, "decode", decode_extra);
}

/* Ends the fakes and frees everything. */
void engines_stop(engines_t *e)
{
	process_finish(&e->prefill);
	process_finish(&e->decode);
	g_free(e->prefill_address);
	g_free(e->decode_address);
	g_free(e->kv);
}

static char *make_prompt(const char *word, int n_words)
{
	GString *prompt = g_string_new(NULL);

	for (int i = 0; i < n_words; i++)
		g_string_append_printf(prompt, "%s%d ", word, i);
	return g_string_free(prompt, FALSE);
}

/* Body of a prefill whose words are WORD0, WORD1, ...; freed by the caller. */
char *engines_prefill_body(int request, int attempt, int priority,
			   const char *word, int n_words)
{
	char *prompt = make_prompt(word, n_words);
	char *body = g_strdup_printf(
		"{\"request\":\"r%d\",\"attempt\":%d,\"priority\":%d,"
		"\"prompt\":\"%s\",\"prompt_tokens\":%d}",
		request, attempt, priority, prompt, n_words);

	g_free(prompt);
	return body;
}

/* Prefills the current request; the caller finishes the answer. */
http_answer_t engines_prefill(engines_t *e, int attempt, const char *word)
{
	char *body = engines_prefill_body(e->request, attempt, 0, word,
					  ENGINE_PROMPT_WORDS);
	http_answer_t answer =
		http_post(e->prefill_address, "/v1/prefill", body);

	g_free(body);
	return answer;
}

/* Body of an import; the caller frees it. */
char *engines_import_body(const engines_t *e, int attempt, const char *source,
			  const char *kv, int reserve)
{
	return g_strdup_printf(
		"{\"request\":\"r%d\",\"attempt\":%d,\"source\":\"%s\","
		"\"kv\":\"%s\",\"tokens\":%d,\"reserve_tokens\":%d}",
		e->request, attempt, source, kv, ENGINE_PROMPT_WORDS, reserve);
}

/* Imports a KV handle of `source`; the caller finishes the answer. */
http_answer_t engines_import(engines_t *e, int attempt, const char *source,
			     const char *kv, int reserve)
{
	char *body = engines_import_body(e, attempt, source, kv, reserve);
	http_answer_t answer =
		http_post(e->decode_address, "/v1/kv/import", body);

	g_free(body);
	return answer;
}

/* Opens a stream; the caller closes it. */
http_stream_t engines_decode(engines_t *e, int attempt, const char *kv,
			     int offset, int max_tokens)
{
	char *body = g_strdup_printf(
		"{\"request\":\"r%d\",\"attempt\":%d,\"kv\":\"%s\","
		"\"offset\":%d,\"max_tokens\":%d,\"priority\":0}",
		e->request, attempt, kv, offset, max_tokens);
	http_stream_t stream =
		http_stream_open(e->decode_address, "/v1/decode", body, NULL);

	g_free(body);
	return stream;
}

/* Cancels a request; returns the tokens still held, -1 without an answer. */
int64_t engine_cancel(const char *address, int request, int attempt)
{
	char *body = g_strdup_printf("{\"request\":\"r%d\",\"attempt\":%d}",
				     request, attempt);
	http_answer_t answer = http_post(address, "/v1/cancel", body);
	int64_t held = http_json_int(&answer, "held_tokens");

	g_free(body);
	http_answer_finish(&answer);
	return held;
}

/* Prefills and imports request `e->request`, so that it can be decoded. */
void engines_bring(engines_t *e)
{
	http_answer_t done = engines_prefill(e, 1, "w");
	http_answer_t moved;

	assert_int_equal(done.status, 200);
	assert_int_equal(http_json_int(&done, "tokens"), ENGINE_PROMPT_WORDS);
	assert_true(http_json_int(&done, "kept_ms") > 0);
	moved = engines_import(e, 1, e->prefill_address,
			       http_json_string(&done, "kv"),
			       ENGINE_PROMPT_WORDS + 50);
	assert_int_equal(moved.status, 200);
	g_free(e->kv);
	e->kv = g_strdup(http_json_string(&moved, "kv"));
	http_answer_finish(&done);
	http_answer_finish(&moved);
}

/* Tokens of memory in use as reported, -1 without an answer. */
int64_t engine_kv_used(const char *address)
{
	http_answer_t load = http_get(address, "/v1/load");
	int64_t used = http_json_int(&load, "kv_used");

	http_answer_finish(&load);
	return used;
}

static int64_t engine_load(const char *address, const char *key)
{
	http_answer_t load = http_get(address, "/v1/load");
	int64_t value = http_json_int(&load, key);

	http_answer_finish(&load);
	return value;
}

/* Waits until a load figure has a value. */
void engine_wait_load(const char *address, const char *key, int64_t want)
{
	int64_t deadline_ms = now_ms() + ENGINE_WAIT_MS;

	while (engine_load(address, key) != want)
		assert_true(now_ms() < deadline_ms);
}

/* The offsets of a stream as text, ending in "stop" or "cut". */
char *engine_read_offsets(http_stream_t *stream)
{
	GString *out = g_string_new(NULL);
	bool stopped = false;
	char *data;

	while ((data = http_stream_next(stream))) {
		const char *offset = strstr(data, "\"offset\":");

		assert_non_null(offset);
		g_string_append_printf(out, "%ld ",
				       strtol(offset + strlen("\"offset\":"),
					      NULL, 10));
		stopped = strstr(data, "\"finish\":\"stop\"") != NULL;
		g_free(data);
	}
	g_string_append(out, stopped ? "stop" : "cut");
	return g_string_free(out, FALSE);
}
