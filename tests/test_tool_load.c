/* The load driver must not take a bad response for a good one. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib-unix.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support_http.h"
#include "support_process.h"

/* How the router of this test treats the middle or the end of a response. */
typedef enum {
	WHOLE,
	SPLIT, /* each token in two events */
	DOUBLE,
	SWAP,
	OMIT,
	MIX_UP,
	TOO_LONG,
	SHORT_DONE,
	STOP_EARLY,
	ABORT,
	ERROR_EVENT,
	STAY_OPEN,
	REFUSE,
	FAIL,
} treatment_t;

typedef struct {
	const char *outcome; /* that the driver has to report */
	const char *fault; /* in its result file */
	const char *verdict;
	unsigned status;
	treatment_t treatment;
} answer_t;

static const answer_t answers[] = {
	{"answered", "none", "ran", 200, WHOLE},
	{"answered", "none", "ran", 200, SPLIT},
	{"wrong", "doubled", "ran", 200, DOUBLE},
	{"wrong", "missing", "ran", 200, SWAP},
	{"wrong", "missing", "ran", 200, OMIT},
	{"wrong", "mixed", "ran", 200, MIX_UP},
	{"wrong", "doubled", "ran", 200, TOO_LONG},
	{"wrong", "short", "ran", 200, SHORT_DONE},
	{"cut", "none", "ran", 200, STOP_EARLY},
	{"cut", "none", "ran", 200, ABORT},
	{"failed", "none", "ran", 200, ERROR_EVENT},
	{"refused", "none", "not-run", 503, REFUSE},
	{"failed", "none", "may-have-run", 502, FAIL},
};

typedef struct {
	const answer_t *answer;
	SoupServer *server;
	GMainLoop *loop;
	char *address;
	int requests;
	int hangups; /* callers seen leaving */
} router_t;

static void append_event(GString *out, const char *text)
{
	g_string_append_printf(
		out, "data: {\"choices\":[{\"index\":0,\"text\":\"%s\"}]}\n\n",
		text);
}

static void append_token(GString *out, const char *hash, int64_t offset,
			 treatment_t treatment)
{
	char *text = g_strdup_printf("%s:%" G_GINT64_FORMAT, hash, offset);

	append_event(out, text);
	if (treatment != SPLIT)
		g_string_truncate(out, out->len - strlen("\"}]}\n\n"));
	if (treatment == SPLIT)
		append_event(out, " ");
	else
		g_string_append(out, " \"}]}\n\n");
	g_free(text);
}

/* Appends the middle token as the treatment says. */
static void append_middle(GString *out, const char *hash, int64_t offset,
			  treatment_t treatment)
{
	if (treatment == SWAP)
		append_token(out, hash, offset + 1, treatment);
	if (treatment == OMIT)
		return;
	append_token(out, treatment == MIX_UP ? "0123456789ab" : hash, offset,
		     treatment);
	if (treatment == DOUBLE)
		append_token(out, hash, offset, treatment);
}

/* Appends the events of a response with n tokens. */
static void append_events(GString *out, const char *hash, int64_t n,
			  treatment_t treatment)
{
	int64_t middle = n / 2;
	int64_t end = n;

	if (treatment == STOP_EARLY || treatment == ABORT ||
	    treatment == ERROR_EVENT || treatment == STAY_OPEN)
		end = middle;
	if (treatment == SHORT_DONE)
		end = n - 1;
	if (treatment == TOO_LONG)
		end = n + 1;
	for (int64_t i = 0; i < end; i++) {
		if (i == middle)
			append_middle(out, hash, i, treatment);
		else if (i != middle + 1 || treatment != SWAP)
			append_token(out, hash, i, treatment);
	}
	if (treatment == ERROR_EVENT)
		g_string_append(out, "event: error\ndata: {\"error\":"
				     "{\"code\":\"backend_failed\"},"
				     "\"verdict\":\"may-have-run\"}\n\n");
	else if (end >= n - 1)
		g_string_append(out, "data: [DONE]\n\n");
}

/* The prompt's hash and the output length that it asks for. */
static char *read_prompt(SoupServerMessage *message, int64_t *n)
{
	GBytes *bytes = soup_message_body_flatten(
		soup_server_message_get_request_body(message));
	JsonParser *parser = json_parser_new();
	const char *prompt;
	char *hash;

	assert_true(json_parser_load_from_data(
		parser, g_bytes_get_data(bytes, NULL),
		(gssize)g_bytes_get_size(bytes), NULL));
	prompt = json_object_get_string_member(
		json_node_get_object(json_parser_get_root(parser)), "prompt");
	hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, prompt, -1);
	hash[12] = '\0';
	*n = strtoll(strstr(prompt, "output:") + strlen("output:"), NULL, 10);
	g_object_unref(parser);
	g_bytes_unref(bytes);
	return hash;
}

static gboolean on_hangup(GSocket *socket, GIOCondition condition,
			  gpointer user_data)
{
	((router_t *)user_data)->hangups++;
	return G_SOURCE_REMOVE;
}

/* Leaves the response open and counts the caller that goes away. */
static void stay_open(router_t *router, SoupServerMessage *message)
{
	GSource *watch = g_socket_create_source(
		soup_server_message_get_socket(message),
		(GIOCondition)(G_IO_HUP | G_IO_ERR | POLLRDHUP), NULL);

	g_source_set_callback(watch, G_SOURCE_FUNC(on_hangup), router, NULL);
	g_source_attach(watch, NULL);
	g_source_unref(watch);
}

static void set_headers(SoupServerMessage *message, const answer_t *answer,
			const char *hash)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);

	soup_server_message_set_status(message, answer->status, NULL);
	soup_message_headers_replace(headers, "Gooseberryspur-Verdict",
				     answer->verdict);
	soup_message_headers_replace(headers, "X-Request-Id", hash);
	if (answer->status == 200) {
		soup_message_headers_set_encoding(headers,
						  SOUP_ENCODING_CHUNKED);
		soup_message_headers_replace(headers, "Content-Type",
					     "text/event-stream");
	} else {
		soup_message_headers_replace(headers, "Retry-After", "0");
	}
}

/* Sends a chunked response by hand and aborts the connection. */
static void abort_response(SoupServerMessage *message, const GString *events)
{
	GSocket *socket = soup_server_message_get_socket(message);
	GString *out = g_string_new("HTTP/1.1 200 OK\r\n"
				    "Content-Type: text/event-stream\r\n"
				    "Gooseberryspur-Verdict: ran\r\n"
				    "Transfer-Encoding: chunked\r\n\r\n");

	g_string_append_printf(out, "%zx\r\n%s\r\n", events->len, events->str);
	assert_int_equal(g_socket_send(socket, out->str, out->len, NULL, NULL),
			 (gssize)out->len);
	g_socket_shutdown(socket, TRUE, TRUE, NULL);
	g_string_free(out, TRUE);
}

static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer user_data)
{
	router_t *router = user_data;
	const answer_t *answer = router->answer;
	SoupMessageBody *body = soup_server_message_get_response_body(message);
	GString *out = g_string_new(NULL);
	int64_t n;
	char *hash = read_prompt(message, &n);

	router->requests++;
	if (answer->status == 200)
		append_events(out, hash, n, answer->treatment);
	set_headers(message, answer, hash);
	soup_message_body_append(body, SOUP_MEMORY_COPY, out->str, out->len);
	if (answer->treatment == STAY_OPEN)
		stay_open(router, message);
	else
		soup_message_body_complete(body);
	if (answer->treatment == ABORT || answer->treatment == ERROR_EVENT)
		abort_response(message, out);
	g_string_free(out, TRUE);
	g_free(hash);
}

static void router_init(router_t *router)
{
	GSList *uris;

	memset(router, 0, sizeof(*router));
	router->loop = g_main_loop_new(NULL, FALSE);
	router->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(router->server, "/v1/completions", on_request,
				router, NULL);
	assert_true(soup_server_listen_local(
		router->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
	uris = soup_server_get_uris(router->server);
	router->address =
		g_strdup_printf("127.0.0.1:%d", g_uri_get_port(uris->data));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
}

static void router_finish(router_t *router)
{
	soup_server_disconnect(router->server);
	g_object_unref(router->server);
	g_main_loop_unref(router->loop);
	g_free(router->address);
}

static gboolean on_process_end(gint fd, GIOCondition condition, gpointer data)
{
	g_main_loop_quit(data);
	return G_SOURCE_REMOVE;
}

/* Runs the driver against the router; returns its report line. */
static char *run_driver(router_t *router, const char *results,
			const char *const *extra)
{
	const char *args[32] = {"--router",	router->address, "--mix",
				"skladnik",	"--rate",	 "100",
				"--duration-s", "0.2",		 "--scale",
				"0.01",		"--drain-s",	 "1",
				"--results",	results};
	size_t n = 14;
	process_t process;
	char *line;

	for (size_t i = 0; extra && extra[i]; i++)
		args[n++] = extra[i];
	assert_true(process_start(&process, "tool_load", args, NULL));
	g_unix_fd_add(process.pidfd, G_IO_IN, on_process_end, router->loop);
	g_main_loop_run(router->loop);
	line = process_read_line(&process, 1000);
	assert_non_null(line);
	assert_int_equal(process_stop(&process), 0);
	process_finish(&process);
	return line;
}

/* The value of a key in a report line. */
static double report_value(const char *line, const char *key)
{
	char *pattern = g_strdup_printf(" %s=", key);
	const char *at = strstr(line, pattern);
	double value;

	assert_non_null(at);
	value = g_ascii_strtod(at + strlen(pattern), NULL);
	g_free(pattern);
	return value;
}

/* Temporary file path; the caller removes the file and frees the path. */
static char *make_path(void)
{
	char *path = NULL;
	int fd = g_file_open_tmp("load-XXXXXX", &path, NULL);

	assert_true(fd >= 0);
	g_close(fd, NULL);
	return path;
}

static int count(const char *text, const char *pattern)
{
	int n = 0;

	for (const char *at = text; (at = strstr(at, pattern)); at++)
		n++;
	return n;
}

/* Guards against a bad response that counts as good, and the reverse. */
static void test_outcomes(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		const answer_t *answer = &answers[i];
		char *path = make_path();
		char *line, *results, *fault;
		router_t router;

		router_init(&router);
		router.answer = answer;
		line = run_driver(&router, path, NULL);
		assert_true(router.requests > 0);
		if ((int)report_value(line, answer->outcome) != router.requests)
			fail_msg("treatment %d: %s", answer->treatment, line);
		assert_int_equal(report_value(line, "good") > 0,
				 !strcmp(answer->outcome, "answered"));
		assert_true(g_file_get_contents(path, &results, NULL, NULL));
		fault = g_strdup_printf("\"fault\":\"%s\"", answer->fault);
		assert_int_equal(count(results, fault), router.requests);
		router_finish(&router);
		remove(path);
		g_free(fault);
		g_free(results);
		g_free(line);
		g_free(path);
	}
}

/* Guards against callers that leave but keep their connection. */
static void test_leaving(void **state)
{
	static const char *const extra[] = {"--leave-share", "1", NULL};
	static const answer_t open = {"left", "none", "ran", 200, STAY_OPEN};
	char *path = make_path();
	router_t router;
	char *line;

	router_init(&router);
	router.answer = &open;
	line = run_driver(&router, path, extra);
	/* Callers that want to leave after more tokens than came stay. */
	assert_true(report_value(line, "left") > 0);
	assert_int_equal(report_value(line, "left") +
				 report_value(line, "unfinished"),
			 router.requests);
	while (router.hangups < router.requests)
		g_main_context_iteration(NULL, TRUE);
	router_finish(&router);
	remove(path);
	g_free(line);
	g_free(path);
}

/* Guards against callers that ignore Retry-After or are not counted. */
static void test_returning(void **state)
{
	static const char *const extra[] = {"--max-returns", "2", NULL};
	char *path = make_path();
	router_t router;
	char *line;

	router_init(&router);
	router.answer = &answers[G_N_ELEMENTS(answers) - 2];
	assert_int_equal(router.answer->treatment, REFUSE);
	line = run_driver(&router, path, extra);
	assert_int_equal(report_value(line, "refused"), router.requests);
	assert_int_equal(report_value(line, "returned") * 3,
			 router.requests * 2);
	assert_int_equal(report_value(line, "returned_in"), 0);
	router_finish(&router);
	remove(path);
	g_free(line);
	g_free(path);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_outcomes),
		cmocka_unit_test(test_leaving),
		cmocka_unit_test(test_returning),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
