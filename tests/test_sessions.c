#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "support_deployment.h"
#include "support_http.h"

#define PROMPT "Summarise the clauses of this lease."
#define STREAM_BODY                                                            \
	"{\"model\":\"summaries\",\"prompt\":\"" PROMPT "\",\"max_tokens\":4," \
	"\"stream\":true}"

/* Replaces each request ID, 32 hex digits, by the letters ID. */
static char *mask_ids(const char *text)
{
	GRegex *regex = g_regex_new("[0-9a-f]{32}", 0, 0, NULL);
	char *masked =
		g_regex_replace_literal(regex, text, -1, 0, "ID", 0, NULL);

	g_regex_unref(regex);
	return masked;
}

/*
 * Compares a session with tests/golden/NAME. With UPDATE_GOLDEN set in the
 * environment the file is written instead.
 */
static void assert_golden(const char *name, const GString *session)
{
	const char *source = getenv("SOURCE_DIR");
	char *path = g_build_filename(source ? source : ".", "tests", "golden",
				      name, NULL);
	char *masked = mask_ids(session->str);
	char *want = NULL;

	if (getenv("UPDATE_GOLDEN"))
		assert_true(g_file_set_contents(path, masked, -1, NULL));
	assert_true(g_file_get_contents(path, &want, NULL, NULL));
	assert_string_equal(masked, want);
	g_free(want);
	g_free(masked);
	g_free(path);
}

static void add_header(GString *session, const char *name, const char *value)
{
	if (value && *value)
		g_string_append_printf(session, "%s: %s\n", name, value);
}

static void add_answer(GString *session, const http_answer_t *answer)
{
	g_string_append_printf(session, "status %u\n", answer->status);
	add_header(session, "Gooseberryspur-Verdict",
		   http_header(answer, "Gooseberryspur-Verdict"));
	add_header(session, "Retry-After", http_header(answer, "Retry-After"));
	g_string_append_printf(session, "%s\n", answer->text);
}

static void add_events(GString *session, http_stream_t *stream)
{
	char *event;

	while ((event = http_stream_next(stream))) {
		g_string_append_printf(session, "%s\n", event);
		g_free(event);
	}
	g_string_append(session, "end of stream\n");
}

static void start(deployment_t *deployment)
{
	static const char *const engine_args[] = {"--token-us", "10000", NULL};
	deployment_config_t config = {
		.prefills = 1,
		.decodes = 2,
		.services = 1,
		.routers = 1,
		.engine_args = engine_args,
	};

	deployment_start(deployment, &config);
}

/* Guards against answers in another form than callers' libraries expect. */
static void test_good(void **state)
{
	deployment_t deployment;
	GString *session = g_string_new(NULL);
	http_stream_t stream;
	http_answer_t answer;

	start(&deployment);
	stream = http_stream_open(deployment.callers_address[0],
				  "/v1/completions", STREAM_BODY,
				  DEPLOYMENT_HEADERS);
	g_string_append_printf(session, "status %u\n", stream.status);
	add_header(session, "Content-Type",
		   http_stream_header(&stream, "Content-Type"));
	add_header(session, "Gooseberryspur-Verdict",
		   http_stream_header(&stream, "Gooseberryspur-Verdict"));
	add_events(session, &stream);
	http_stream_close(&stream);
	answer = http_call("POST", deployment.callers_address[0],
			   "/v1/chat/completions",
			   "{\"model\":\"summaries\",\"max_tokens\":3,"
			   "\"messages\":[{\"role\":\"user\","
			   "\"content\":\"Which bays are free?\"}]}",
			   DEPLOYMENT_HEADERS);
	add_answer(session, &answer);
	http_answer_finish(&answer);
	assert_golden("good.txt", session);
	g_string_free(session, TRUE);
	deployment_finish(&deployment);
}

typedef struct {
	const char *method;
	const char *path;
	const char *body;
	bool with_token;
} refused_t;

/* Guards against bad requests that reach an engine or get no clear error. */
static void test_refused(void **state)
{
	static const refused_t cases[] = {
		{"POST", "/v1/completions", STREAM_BODY, false},
		{"POST", "/v1/completions", "{", true},
		{"POST", "/v1/completions", "[]", true},
		{"POST", "/v1/completions", "{\"model\":\"summaries\"}", true},
		{"POST", "/v1/completions",
		 "{\"model\":\"other\",\"prompt\":\"a\"}", true},
		{"POST", "/v1/completions",
		 "{\"model\":\"summaries\",\"prompt\":\"a\",\"max_tokens\":0}",
		 true},
		{"POST", "/v1/completions",
		 "{\"model\":\"listing\",\"prompt\":\"a\"}", true},
		{"GET", "/v1/completions", NULL, true},
		{"GET", "/metrics", NULL, true},
		{"GET", "/v1/admin/status", NULL, true},
		{"GET", "/svc/unknown/x", NULL, true},
	};
	deployment_t deployment;
	GString *session = g_string_new(NULL);
	char *record;

	start(&deployment);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const refused_t *c = &cases[i];
		http_answer_t answer = http_call(
			c->method, deployment.callers_address[0], c->path,
			c->body, c->with_token ? DEPLOYMENT_HEADERS : NULL);

		g_string_append_printf(session, "%s %s %s\n", c->method,
				       c->path, c->body ? c->body : "");
		add_answer(session, &answer);
		http_answer_finish(&answer);
	}
	assert_golden("refused.txt", session);
	record = http_get_record(deployment.prefill_address[0]);
	assert_null(strstr(record, "\"kind\":\"prefill\""));
	g_free(record);
	g_string_free(session, TRUE);
	deployment_finish(&deployment);
}

/* Waits until no engine holds memory; false at the deadline. */
static bool wait_until_free(const char *engine, int64_t timeout_ms)
{
	gint64 deadline_us = g_get_monotonic_time() + timeout_ms * 1000;
	bool held = true;

	while (held && g_get_monotonic_time() < deadline_us) {
		char *record = http_get_record(engine);

		held = !strstr(record, "\"kind\":\"held\",\"tokens\":0,");
		g_free(record);
	}
	return !held;
}

/* Guards against engine memory that stays held after the caller left (P1). */
static void test_cancelled(void **state)
{
	deployment_t deployment;
	GString *session = g_string_new(NULL);
	http_stream_t stream;
	char *event;

	start(&deployment);
	stream = http_stream_open(
		deployment.callers_address[0], "/v1/completions",
		"{\"model\":\"summaries\",\"prompt\":\"" PROMPT
		"\",\"max_tokens\":500,\"stream\":true}",
		DEPLOYMENT_HEADERS);
	event = http_stream_next(&stream);
	g_string_append_printf(session, "status %u\n%s\ncaller leaves\n",
			       stream.status, event ? event : "no event");
	g_free(event);
	http_stream_close(&stream);
	for (unsigned i = 0; i < 2; i++)
		g_string_append_printf(
			session, "decode-%u free: %d\n", i + 1,
			wait_until_free(deployment.decode_address[i], 2000));
	assert_golden("cancelled.txt", session);
	g_string_free(session, TRUE);
	deployment_finish(&deployment);
}

static bool is_streaming(const char *engine)
{
	char *record = http_get_record(engine);
	bool streaming = !strstr(record, "\"kind\":\"held\",\"tokens\":0,");

	g_free(record);
	return streaming;
}

/* Guards against a lost decode engine that cuts or repeats an answer. */
static void test_failed_over(void **state)
{
	deployment_t deployment;
	GString *session = g_string_new(NULL);
	http_stream_t stream;
	char *event;

	start(&deployment);
	stream = http_stream_open(
		deployment.callers_address[0], "/v1/completions",
		"{\"model\":\"summaries\",\"prompt\":\"" PROMPT
		"\",\"max_tokens\":20,\"stream\":true}",
		DEPLOYMENT_HEADERS);
	g_string_append_printf(session, "status %u\n", stream.status);
	event = http_stream_next(&stream);
	g_string_append_printf(session, "%s\nthe decode engine is killed\n",
			       event ? event : "no event");
	g_free(event);
	for (unsigned i = 0; i < 2; i++)
		if (is_streaming(deployment.decode_address[i])) {
			process_signal(&deployment.decode[i], SIGKILL);
			break;
		}
	add_events(session, &stream);
	http_stream_close(&stream);
	assert_golden("failed_over.txt", session);
	g_string_free(session, TRUE);
	deployment_finish(&deployment);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_good),
		cmocka_unit_test(test_refused),
		cmocka_unit_test(test_cancelled),
		cmocka_unit_test(test_failed_over),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
