/* Backend servers of `serve` that write an earlier answer once more on a kept connection,
 * before the answer that is due: a request that runs must not pass for one that has not run,
 * no engine memory may stay held, and no caller may get the answer to another one. Engines
 * and plain services repeat no IDs.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "support_deployment.h"
#include "support_http.h"

#define REQUESTS 12

/* Time limits of requests that are served, and of those that engines refuse until it ends. */
#define SERVED_MS "5000"
#define REFUSED_MS "500"
#define WAIT_MS 20000

/* Time between a copy and the answer that is due. */
#define COPY_LEAD_US (20 * G_TIME_SPAN_MILLISECOND)

/* Longest time after a request in which its cancellations arrive. */
#define CANCEL_LIMIT_MS 3000

#define TOKEN "copies-token"
#define MAX_THREADS 64
#define REFUSAL "{\"error\":\"full\"}"
#define LOAD                                                           \
	"{\"role\":\"%s\",\"model\":\"contracts\",\"version\":\"1\","  \
	"\"kv_total\":60000,\"kv_used\":0,\"running\":0,\"queued\":0," \
	"\"age_ms\":0,\"leaving\":false}"

/* Which answers a server writes once more. */
typedef enum {
	COPY_NONE,
	COPY_REFUSALS, /* refuses the first such call of each connection */
	COPY_ANSWERS,
} copy_mode_t;

/* A server on a thread of its own. */
typedef struct {
	const char *role; /* of an engine; NULL: a plain service */
	const char *path; /* of the calls whose answers it copies */
	unsigned refusal; /* status */
	char *address; /* IP:port */
	GSocketService *service;
	GMainContext *context;
	GMainLoop *loop;
	GThread *thread;
	GMutex mutex; /* for what follows */
	copy_mode_t mode;
	int round; /* counts what server_set() was called for */
	GHashTable *cancelled; /* "ID/attempt" that were cancelled once */
	GHashTable *held; /* IDs of requests whose memory it holds */
	int ran; /* calls to `path` that were not refused */
	int refused;
	int copies;
	int connections;
} server_t;

/* A connection of a server. */
typedef struct {
	server_t *server;
	GOutputStream *output;
	GDataInputStream *input;
	char *earlier; /* answer to a call to `path` in the same round, or NULL */
	int round;
	int64_t held_tokens; /* for the request that is cancelled */
	bool closes; /* the request that is being answered asks for it */
} connection_t;

/* Two engines, a plain service, and a router that uses them. */
typedef struct {
	server_t prefill;
	server_t decode;
	server_t service;
	deployment_t deployment;
	char *state_extra;
} setup_t;

/* --- the stand-in -------------------------------------------------------- */

/* Sends a text; errors show as calls without an answer. */
static void send_text(connection_t *connection, const char *text)
{
	g_output_stream_write_all(connection->output, text, strlen(text), NULL,
				  NULL, NULL);
}

/* Returns a response, to be freed with g_free(). */
static char *format_response(const connection_t *connection, unsigned status,
			     const char *type, const char *body)
{
	return g_strdup_printf(
		"HTTP/1.1 %u Status\r\nContent-Type: %s\r\n%s"
		"Keep-Alive: timeout=9\r\nContent-Length: %zu\r\n\r\n%s",
		status, type, connection->closes ? "Connection: close\r\n" : "",
		strlen(body), body);
}

static const char *get_string(JsonObject *body, const char *key)
{
	return json_object_get_string_member_with_default(body, key, "");
}

/* Returns the successful response to a call. */
static char *format_success(const connection_t *connection, const char *path,
			    JsonObject *body)
{
	const char *type = "application/json";
	char *text;
	char *response;

	if (!connection->server->role) {
		text = g_strdup("{}");
	} else if (strcmp(path, "/v1/prefill") == 0) {
		text = g_strdup_printf("{\"kv\":\"%s\",\"tokens\":1,"
				       "\"cached_tokens\":0,\"kept_ms\":900}",
				       get_string(body, "prompt"));
	} else if (strcmp(path, "/v1/kv/import") == 0) {
		text = g_strdup_printf("{\"kv\":\"%s\"}",
				       get_string(body, "kv"));
	} else if (strcmp(path, "/v1/decode") == 0) {
		type = "text/event-stream";
		text = g_strdup_printf(
			"data: {\"offset\":0,\"text\":\"%s\"}\n\n"
			"data: {\"offset\":1,\"finish\":\"stop\"}\n\n",
			get_string(body, "kv"));
	} else if (strcmp(path, "/v1/cancel") == 0) {
		text = g_strdup_printf("{\"held_tokens\":%" G_GINT64_FORMAT "}",
				       connection->held_tokens);
	} else if (g_str_has_prefix(path, "/v1/cache-events")) {
		text = g_strdup("{\"next\":0,\"events\":[]}");
	} else {
		text = g_strdup_printf(LOAD, connection->server->role);
	}
	response = format_response(connection, 200, type, text);
	g_free(text);
	return response;
}

/* Returns the request and the attempt of a call, to be freed with g_free(). */
static char *attempt_key(JsonObject *body)
{
	return g_strdup_printf(
		"%s/%" G_GINT64_FORMAT, get_string(body, "request"),
		json_object_get_int_member_with_default(body, "attempt", 0));
}

/* Notes what a call that is not refused does to the engine's memory. While cancellations are
 * copied, memory is freed by the second one of an attempt.
 */
static void note_run(connection_t *connection, const char *path,
		     JsonObject *body)
{
	server_t *server = connection->server;
	const char *request = body ? get_string(body, "request") : "";
	bool is_cancel = strcmp(path, "/v1/cancel") == 0;

	if (strcmp(path, server->path) == 0)
		server->ran++;
	if (strcmp(path, "/v1/kv/import") == 0)
		g_hash_table_add(server->held, g_strdup(request));
	connection->held_tokens =
		is_cancel && strcmp(server->path, path) == 0 &&
		g_hash_table_contains(server->held, request) &&
		g_hash_table_add(server->cancelled, attempt_key(body));
	if (strcmp(path, "/v1/decode") == 0 ||
	    (is_cancel && connection->held_tokens == 0))
		g_hash_table_remove(server->held, request);
}

/* Decides about a call. Returns whether it is refused; `copies` says whether the earlier
 * answer comes first. While cancellations are copied, all decodes are refused.
 */
static bool take_call(connection_t *connection, const char *path,
		      JsonObject *body, bool *copies)
{
	server_t *server = connection->server;
	bool counts;
	bool refuses;

	g_mutex_lock(&server->mutex);
	if (connection->round != server->round)
		g_clear_pointer(&connection->earlier, g_free);
	connection->round = server->round;
	counts = strcmp(path, server->path) == 0 && server->mode != COPY_NONE;
	*copies = counts && connection->earlier;
	refuses = (counts && server->mode == COPY_REFUSALS &&
		   !connection->earlier) ||
		  (strcmp(server->path, "/v1/cancel") == 0 &&
		   strcmp(path, "/v1/decode") == 0);
	if (refuses)
		server->refused++;
	else
		note_run(connection, path, body);
	server->copies += *copies;
	g_mutex_unlock(&server->mutex);
	return refuses;
}

/* Answers one call. */
static void answer(connection_t *connection, const char *path, JsonObject *body)
{
	server_t *server = connection->server;
	bool copies;
	bool refuses = take_call(connection, path, body, &copies);
	char *response;

	if (copies) {
		send_text(connection, connection->earlier);
		g_usleep(COPY_LEAD_US);
	}
	response = refuses ? format_response(connection, server->refusal,
					     "application/json", REFUSAL)
			   : format_success(connection, path, body);
	send_text(connection, response);
	if (!connection->earlier && strcmp(path, server->path) == 0 &&
	    connection->held_tokens == 0) {
		g_free(connection->earlier);
		connection->earlier = g_strdup(response);
	}
	g_free(response);
}

/* Reads the head after the request line. Returns the length of the body. */
static size_t read_head(connection_t *connection)
{
	size_t length = 0;
	char *line;

	while ((line = g_data_input_stream_read_line(connection->input, NULL,
						     NULL, NULL)) &&
	       *g_strchomp(line)) {
		if (g_ascii_strncasecmp(line, "content-length:", 15) == 0)
			length = strtoul(line + 15, NULL, 10);
		if (g_ascii_strcasecmp(line, "connection: close") == 0)
			connection->closes = true;
		g_free(line);
	}
	g_free(line);
	return length;
}

/* Serves one request. Returns false if the connection is to be closed. */
static bool serve_request(connection_t *connection)
{
	char *line = g_data_input_stream_read_line(connection->input, NULL,
						   NULL, NULL);
	char **words = g_strsplit(line ? line : "", " ", 3);
	bool ok = g_strv_length(words) == 3;
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;
	char *body;
	size_t length;

	if (!ok)
		goto out;
	length = read_head(connection);
	body = g_malloc(length + 1);
	g_input_stream_read_all(G_INPUT_STREAM(connection->input), body, length,
				NULL, NULL, NULL);
	if (length > 0 &&
	    json_parser_load_from_data(parser, body, (gssize)length, NULL))
		root = json_parser_get_root(parser);
	answer(connection, words[1],
	       root && JSON_NODE_HOLDS_OBJECT(root) ? json_node_get_object(root)
						    : NULL);
	g_free(body);
	ok = !connection->closes;
out:
	g_object_unref(parser);
	g_strfreev(words);
	g_free(line);
	return ok;
}

/* Serves one connection on its own thread. */
static gboolean on_connection(GThreadedSocketService *service,
			      GSocketConnection *socket, GObject *source,
			      gpointer data)
{
	GIOStream *stream = G_IO_STREAM(socket);
	connection_t connection = {
		.server = data,
		.output = g_io_stream_get_output_stream(stream),
		.input = g_data_input_stream_new(
			g_io_stream_get_input_stream(stream)),
	};

	g_data_input_stream_set_newline_type(connection.input,
					     G_DATA_STREAM_NEWLINE_TYPE_LF);
	g_mutex_lock(&connection.server->mutex);
	connection.server->connections++;
	g_mutex_unlock(&connection.server->mutex);
	while (serve_request(&connection))
		;
	g_io_stream_close(stream, NULL, NULL);
	g_object_unref(connection.input);
	g_free(connection.earlier);
	return TRUE;
}

/* Runs the main loop that accepts connections. */
static gpointer run_loop(gpointer data)
{
	server_t *server = data;

	g_main_context_push_thread_default(server->context);
	g_main_loop_run(server->loop);
	g_main_context_pop_thread_default(server->context);
	return NULL;
}

/* Starts a server on a free port. The texts are borrowed. */
static void server_start(server_t *server, const char *role, const char *path,
			 unsigned refusal)
{
	guint16 port;

	server->role = role;
	server->path = path;
	server->refusal = refusal;
	server->held =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	server->cancelled =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_mutex_init(&server->mutex);
	server->context = g_main_context_new();
	server->loop = g_main_loop_new(server->context, FALSE);
	g_main_context_push_thread_default(server->context);
	server->service = g_threaded_socket_service_new(MAX_THREADS);
	port = g_socket_listener_add_any_inet_port(
		G_SOCKET_LISTENER(server->service), NULL, NULL);
	g_signal_connect(server->service, "run", G_CALLBACK(on_connection),
			 server);
	g_socket_service_start(server->service);
	g_main_context_pop_thread_default(server->context);
	server->address = g_strdup_printf("127.0.0.1:%d", port);
	server->thread = g_thread_new("copying-server", run_loop, server);
}

/* Stops accepting. Connections end when the router has closed them; the server must outlive
 * them.
 */
static void server_stop(server_t *server)
{
	g_main_loop_quit(server->loop);
	g_thread_join(server->thread);
	g_socket_service_stop(server->service);
	g_socket_listener_close(G_SOCKET_LISTENER(server->service));
	while (g_main_context_pending(server->context))
		g_main_context_iteration(server->context, FALSE);
	g_object_unref(server->service);
	g_main_loop_unref(server->loop);
	g_main_context_unref(server->context);
	g_free(server->address);
}

/* Sets what a server copies from now on, and for calls to which path. */
static void server_set(server_t *server, copy_mode_t mode, const char *path,
		       unsigned refusal)
{
	g_mutex_lock(&server->mutex);
	server->mode = mode;
	server->round++;
	server->path = path;
	server->refusal = refusal;
	server->ran = server->refused = server->copies = 0;
	g_hash_table_remove_all(server->held);
	g_hash_table_remove_all(server->cancelled);
	g_mutex_unlock(&server->mutex);
}

static int server_ran(server_t *server)
{
	int n;

	g_mutex_lock(&server->mutex);
	n = server->ran;
	g_mutex_unlock(&server->mutex);
	return n;
}

static int server_held(server_t *server)
{
	int n;

	g_mutex_lock(&server->mutex);
	n = (int)g_hash_table_size(server->held);
	g_mutex_unlock(&server->mutex);
	return n;
}

/* --- the deployment ------------------------------------------------------ */

/* Returns the configuration of the servers here. The caller frees it. */
static char *make_state(const setup_t *setup)
{
	char *hash =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, TOKEN, -1);
	char *text = g_strdup_printf(
		"[[pools]]\nname = \"copy-prefill\"\nmodel = \"contracts\"\n"
		"role = \"prefill\"\nkv_tokens = 60000\n\n"
		"[[pools]]\nname = \"copy-decode\"\nmodel = \"contracts\"\n"
		"role = \"decode\"\nkv_tokens = 60000\n\n"
		"[[services]]\nname = \"model\"\nkind = \"model\"\n"
		"prefill = \"copy-prefill\"\ndecode = \"copy-decode\"\n"
		"first_token_ms = 2000\n\n"
		"[[services]]\nname = \"plain\"\nkind = \"plain\"\n\n"
		"[[services.routes]]\nmethod = \"POST\"\npath = \"/once\"\n"
		"repeatable = false\n\n"
		"[[services.routes]]\nmethod = \"*\"\npath = \"/\"\n"
		"repeatable = true\n\n"
		"[[backends]]\nname = \"copy-1\"\naddress = \"%s\"\n"
		"zone = \"zone-1\"\npool = \"copy-prefill\"\n\n"
		"[[backends]]\nname = \"copy-2\"\naddress = \"%s\"\n"
		"zone = \"zone-1\"\npool = \"copy-decode\"\n\n"
		"[[backends]]\nname = \"copy-3\"\naddress = \"%s\"\n"
		"zone = \"zone-1\"\nservice = \"plain\"\n\n"
		"[[customers]]\nname = \"copies\"\ntoken_sha256 = \"%s\"\n"
		"services = [\"model\", \"plain\"]\n\n",
		setup->prefill.address, setup->decode.address,
		setup->service.address, hash);

	g_free(hash);
	return text;
}

/* Makes a call as the workspace of the test, with a time limit in milliseconds. */
static http_answer_t call(const setup_t *setup, const char *path,
			  const char *body, const char *limit_ms)
{
	static const char bearer[] = "Bearer " TOKEN;
	const char *const headers[] = {"Authorization", bearer,
				       "X-Request-Timeout-Ms", limit_ms, NULL};

	return http_call("POST", setup->deployment.callers_address[0], path,
			 body, headers);
}

/* Requests a completion of a prompt of one word. */
static http_answer_t complete(const setup_t *setup, const char *prompt,
			      const char *limit_ms)
{
	char *body = g_strdup_printf("{\"model\":\"model\",\"prompt\":\"%s\","
				     "\"max_tokens\":4}",
				     prompt);
	http_answer_t answer = call(setup, "/v1/completions", body, limit_ms);

	g_free(body);
	return answer;
}

/* Makes requests until one succeeds: the router avoids engines after failures. */
static void wait_for_success(setup_t *setup)
{
	gint64 until =
		g_get_monotonic_time() + WAIT_MS * G_TIME_SPAN_MILLISECOND;
	unsigned status = 0;

	server_set(&setup->prefill, COPY_NONE, "/v1/prefill", 503);
	server_set(&setup->decode, COPY_NONE, "/v1/decode", 503);
	while (status != 200) {
		http_answer_t answer = complete(setup, "first", SERVED_MS);

		status = answer.status;
		http_answer_finish(&answer);
		assert_true(g_get_monotonic_time() < until);
	}
}

static int start(void **state)
{
	setup_t *setup = g_new0(setup_t, 1);
	deployment_config_t config = {
		.prefills = 1, .decodes = 1, .routers = 1};

	server_start(&setup->prefill, "prefill", "/v1/prefill", 503);
	server_start(&setup->decode, "decode", "/v1/decode", 503);
	server_start(&setup->service, NULL, "/once", 503);
	setup->state_extra = make_state(setup);
	config.state_extra = setup->state_extra;
	deployment_start(&setup->deployment, &config);
	*state = setup;
	return 0;
}

static int stop(void **state)
{
	setup_t *setup = *state;

	print_message("connections: prefill %d, decode %d, service %d\n",
		      setup->prefill.connections, setup->decode.connections,
		      setup->service.connections);
	deployment_finish(&setup->deployment);
	server_stop(&setup->prefill);
	server_stop(&setup->decode);
	server_stop(&setup->service);
	g_free(setup->state_extra);
	return 0;
}

/* Waits until an engine holds nothing, or for CANCEL_LIMIT_MS. */
static void wait_for_cancels(server_t *engine)
{
	gint64 until = g_get_monotonic_time() +
		       CANCEL_LIMIT_MS * G_TIME_SPAN_MILLISECOND;

	while (server_held(engine) > 0 && g_get_monotonic_time() < until)
		g_usleep(10 * G_TIME_SPAN_MILLISECOND);
}

/* --- tests --------------------------------------------------------------- */

/* Guards against "not run" for a request whose prefill runs, after the copy of the refusal of
 * an earlier prefill.
 */
static void test_copies_of_refused_prefills(void **state)
{
	setup_t *setup = *state;
	server_t *engine = &setup->prefill;
	int wrong = 0;

	wait_for_success(setup);
	server_set(engine, COPY_REFUSALS, "/v1/prefill", 503);
	for (int i = 0; i < REQUESTS; i++) {
		int ran = server_ran(engine);
		http_answer_t answer = complete(setup, "p", REFUSED_MS);

		/* The run begins when the copy is written. */
		if (server_ran(engine) > ran &&
		    strcmp(http_header(&answer, "Gooseberryspur-Verdict"),
			   "not-run") == 0)
			wrong++;
		http_answer_finish(&answer);
	}
	print_message(
		"refused %d, copies %d, ran though \"not run\" %d of %d\n",
		engine->refused, engine->copies, wrong, REQUESTS);
	assert_true(engine->refused > 0);
	assert_int_equal(wrong, 0);
}

/* Guards against memory that a decode engine holds for a request that has ended: the import
 * ran, but the copy of an earlier "memory is full" said that it had not.
 */
static void test_copies_of_refused_imports(void **state)
{
	setup_t *setup = *state;
	server_t *engine = &setup->decode;

	wait_for_success(setup);
	server_set(engine, COPY_REFUSALS, "/v1/kv/import", 507);
	for (int i = 0; i < REQUESTS; i++) {
		http_answer_t answer = complete(setup, "p", REFUSED_MS);

		http_answer_finish(&answer);
	}
	wait_for_cancels(engine);
	print_message("refused %d, copies %d, still held %d\n", engine->refused,
		      engine->copies, server_held(engine));
	assert_true(engine->refused > 0);
	assert_int_equal(server_held(engine), 0);
}

/* Guards against a caller who gets the tokens of another one. */
static void test_copies_of_streams(void **state)
{
	setup_t *setup = *state;
	server_t *engine = &setup->decode;
	int wrong = 0;
	int served = 0;

	wait_for_success(setup);
	server_set(engine, COPY_ANSWERS, "/v1/decode", 503);
	for (int i = 0; i < REQUESTS; i++) {
		char *prompt = g_strdup_printf("prompt-%d-", i);
		http_answer_t answer = complete(setup, prompt, SERVED_MS);

		if (answer.status == 200 && strstr(answer.text, prompt))
			served++;
		else if (answer.status == 200)
			wrong++;
		http_answer_finish(&answer);
		g_free(prompt);
	}
	print_message("copies %d, served %d, with other tokens %d of %d\n",
		      engine->copies, served, wrong, REQUESTS);
	assert_int_equal(wrong, 0);
	assert_int_equal(served, REQUESTS);
}

/* Guards against a cancellation that counts as confirmed by the copy of the answer to another
 * one, while the engine still holds memory.
 */
static void test_copies_of_cancels(void **state)
{
	setup_t *setup = *state;
	server_t *engine = &setup->decode;

	wait_for_success(setup);
	server_set(engine, COPY_ANSWERS, "/v1/cancel", 503);
	for (int i = 0; i < REQUESTS; i++) {
		http_answer_t answer = complete(setup, "p", REFUSED_MS);

		http_answer_finish(&answer);
	}
	wait_for_cancels(engine);
	print_message("cancels %d, copies %d, still held %d\n", engine->ran,
		      engine->copies, server_held(engine));
	assert_true(engine->ran > 0);
	assert_int_equal(server_held(engine), 0);
}

/* Guards against "not run" for a call to a plain service, repeatable or not, that runs after
 * the copy of an earlier refusal.
 */
static void test_copies_of_refused_calls(void **state)
{
	/* Only the second one may run twice. */
	static const char *const paths[] = {"/once", "/any"};
	setup_t *setup = *state;
	server_t *service = &setup->service;

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		char *path = g_strconcat("/svc/plain", paths[i], NULL);
		int wrong = 0;

		server_set(service, COPY_REFUSALS, paths[i], 503);
		for (int n = 0; n < REQUESTS; n++) {
			int ran = server_ran(service);
			http_answer_t answer =
				call(setup, path, "{}", SERVED_MS);

			ran = server_ran(service) - ran;
			if ((ran > 1 && i == 0) ||
			    (ran > 0 &&
			     strcmp(http_header(&answer,
						"Gooseberryspur-Verdict"),
				    "not-run") == 0))
				wrong++;
			http_answer_finish(&answer);
		}
		print_message("%s: refused %d, copies %d, ran %d, wrong %d\n",
			      paths[i], service->refused, service->copies,
			      service->ran, wrong);
		assert_true(service->refused > 0);
		assert_int_equal(wrong, 0);
		g_free(path);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_copies_of_refused_prefills),
		cmocka_unit_test(test_copies_of_refused_imports),
		cmocka_unit_test(test_copies_of_streams),
		cmocka_unit_test(test_copies_of_cancels),
		cmocka_unit_test(test_copies_of_refused_calls),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
