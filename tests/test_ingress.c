#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "connection/ingress.h"
#include "support_address.h"
#include "support_tcp_stub.h"

/* A server that answers when a test tells it to, and the socket of a caller. */
typedef struct {
	ingress_t ingress;
	char *address;
	exchange_t *exchange; /* in progress, or NULL */
	unsigned requests; /* calls of on_request */
	unsigned gone; /* calls of on_gone */
	bool answer_at_once; /* within on_request */
	GSocket *caller;
	GString *received;
	bool closed; /* the connection, by the server */
} server_t;

/* Answers the request in progress. */
static void answer(server_t *server)
{
	exchange_t *exchange = server->exchange;

	server->exchange = NULL;
	exchange_reply_text(exchange, 200, 0, "ok");
}

static void on_request(void *context, exchange_t *exchange)
{
	server_t *server = context;

	server->requests++;
	server->exchange = exchange;
	if (server->answer_at_once)
		answer(server);
}

static void on_gone(void *context, exchange_t *exchange)
{
	server_t *server = context;

	server->gone++;
	server->exchange = NULL;
}

static const ingress_handler_t handler = {
	.on_request = on_request,
	.on_gone = on_gone,
};

static const ingress_limits_t limits = {
	.max_head_bytes = 400,
	.max_body_bytes = 1000,
	.head_timeout_us = 200 * CLOCK_US_PER_MS,
	.idle_timeout_us = 300 * CLOCK_US_PER_MS,
};

/* Starts a server and connects the caller. */
static void init(server_t *server)
{
	memset(server, 0, sizeof(*server));
	server->address = unused_address();
	server->received = g_string_new(NULL);
	assert_true(ingress_init(&server->ingress, server->address,
				 clock_boottime(), &limits, &handler, server));
	server->caller = support_connect(server->address);
}

/* Stops the server and closes the caller's socket. */
static void finish(server_t *server)
{
	if (server->exchange)
		exchange_abort(server->exchange);
	ingress_finish(&server->ingress);
	g_object_unref(server->caller);
	g_string_free(server->received, TRUE);
	g_free(server->address);
}

/* Sends bytes as the caller. */
static void send_text(server_t *server, const char *text)
{
	assert_int_equal(g_socket_send(server->caller, text, strlen(text), NULL,
				       NULL),
			 strlen(text));
}

/* Runs the main loop for some time, then appends what the caller received. */
static void receive_for(server_t *server, unsigned ms)
{
	char buffer[4096];
	gssize n;

	support_run_loop_ms(ms);
	while ((n = g_socket_receive(server->caller, buffer, sizeof(buffer),
				     NULL, NULL)) > 0)
		g_string_append_len(server->received, buffer, n);
	if (n == 0)
		server->closed = true;
}

/* Returns how often a text occurs in what the caller received. */
static unsigned count(const server_t *server, const char *text)
{
	const char *at = server->received->str;
	unsigned n = 0;

	while ((at = strstr(at, text))) {
		at += strlen(text);
		n++;
	}
	return n;
}

/* Guards against requests on one connection that are answered out of order, or
 * of which the second begins before the first is answered. Callers may send
 * several at once.
 */
static void test_one_at_a_time(void **state)
{
	server_t server;

	init(&server);
	send_text(&server,
		  "GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\n"
		  "Content-Length: 3\r\n\r\nabcGET /3 HTTP/1.1\r\n\r\n");
	receive_for(&server, 30);
	assert_int_equal(server.requests, 1);
	answer(&server);
	receive_for(&server, 30);
	assert_int_equal(server.requests, 2);
	assert_true(str_equal(exchange_body(server.exchange), STR("abc")));
	answer(&server);
	receive_for(&server, 30);
	assert_int_equal(server.requests, 3);
	answer(&server);
	receive_for(&server, 30);
	assert_int_equal(count(&server, "HTTP/1.1 200"), 3);
	assert_false(server.closed);
	finish(&server);
}

/* Guards against input that takes up memory or a connection for ever, or from
 * which a second request is read that the caller did not send. Each input must
 * be answered with an error, and its connection closed.
 */
static void test_bad_input(void **state)
{
	static const struct {
		const char *name;
		const char *text;
		const char *status;
	} cases[] = {
		{"no HTTP", "hello\r\n\r\n", "400"},
		{"two ways of length",
		 "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		 "400"},
		{"two lengths",
		 "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		 "Content-Length: 4\r\n\r\nabcd",
		 "400"},
		{"announced body too large",
		 "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", "413"},
		{"chunked body too large",
		 "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "fff\r\n",
		 NULL},
		{"head not finished", "GET / HTTP/1.1\r\nHost:", "408"},
		{"tunnel", "CONNECT a:1 HTTP/1.1\r\n\r\n", "405"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		server_t server;

		print_message("%s\n", cases[i].name);
		init(&server);
		server.answer_at_once = true;
		send_text(&server, cases[i].text);
		if (!cases[i].status) {
			char *body = g_strnfill(4095, 'x');

			send_text(&server, body);
			g_free(body);
		}
		receive_for(&server, 400);
		assert_int_equal(server.requests, 0);
		assert_true(
			g_str_has_prefix(server.received->str, "HTTP/1.1 4"));
		assert_non_null(
			strstr(server.received->str,
			       cases[i].status ? cases[i].status : "413"));
		assert_true(server.closed);
		finish(&server);
	}
}

/* Guards against a head of unlimited size. */
static void test_head_limit(void **state)
{
	char *text = g_strnfill(600, 'x');
	server_t server;

	init(&server);
	send_text(&server, "GET / HTTP/1.1\r\nX-Long: ");
	send_text(&server, text);
	receive_for(&server, 50);
	assert_true(g_str_has_prefix(server.received->str, "HTTP/1.1 431"));
	g_free(text);
	finish(&server);
}

/* Guards against work for a caller that has closed its connection. */
static void test_caller_leaves(void **state)
{
	server_t server;

	init(&server);
	send_text(&server, "GET / HTTP/1.1\r\n\r\n");
	receive_for(&server, 20);
	assert_non_null(server.exchange);
	g_socket_close(server.caller, NULL);
	support_run_loop_ms(50);
	assert_int_equal(server.gone, 1);
	finish(&server);
}

/* Guards against a request that is lost because its connection closes at
 * shutdown. After SIGTERM every response says that its connection closes, and
 * an idle connection is closed only if no byte of a request has arrived on it.
 */
static void test_closing(void **state)
{
	server_t server;

	init(&server);
	server.answer_at_once = true;
	send_text(&server, "GET / HTTP/1.1\r\n\r\n");
	receive_for(&server, 20);
	assert_int_equal(count(&server, "Connection: close"), 0);
	ingress_set_closing(&server.ingress);
	send_text(&server, "GET / HT");
	receive_for(&server, 20);
	ingress_close_idle(&server.ingress);
	send_text(&server, "TP/1.1\r\n\r\n");
	receive_for(&server, 50);
	assert_int_equal(count(&server, "HTTP/1.1 200"), 2);
	assert_int_equal(count(&server, "Connection: close"), 1);
	assert_true(server.closed);
	finish(&server);
}

/* Guards against an idle connection that stays open for ever, or that is closed
 * sooner than callers were told.
 */
static void test_idle(void **state)
{
	server_t server;

	init(&server);
	server.answer_at_once = true;
	send_text(&server, "GET / HTTP/1.1\r\n\r\n");
	receive_for(&server, 330);
	assert_false(server.closed);
	receive_for(&server, 1200);
	assert_true(server.closed);
	finish(&server);
}

/* Guards against a stream that was cut but looks complete to the caller. */
static void test_cut_stream(void **state)
{
	http_headers_t headers;
	server_t server;

	init(&server);
	send_text(&server, "GET / HTTP/1.1\r\n\r\n");
	receive_for(&server, 20);
	http_headers_init(&headers);
	exchange_start_stream(server.exchange, 200, &headers);
	exchange_write(server.exchange, "data", 4);
	exchange_abort(server.exchange);
	server.exchange = NULL;
	receive_for(&server, 50);
	assert_non_null(strstr(server.received->str, "4\r\ndata\r\n"));
	assert_null(strstr(server.received->str, "0\r\n\r\n"));
	assert_true(server.closed);
	http_headers_finish(&headers);
	finish(&server);
}

/* Guards against requests that are cut without an answer at the end of a process, as
 * their bytes have come but were not read yet.
 */
static void test_unread_request_at_the_end(void **state)
{
	server_t server;

	init(&server);
	server.answer_at_once = true;
	support_run_loop_ms(20);
	assert_false(ingress_has_unread(&server.ingress));
	send_text(&server, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	assert_true(ingress_has_unread(&server.ingress));
	ingress_set_closing(&server.ingress);
	ingress_close_idle(&server.ingress);
	receive_for(&server, 50);
	assert_int_equal(server.requests, 1);
	assert_int_equal(count(&server, "HTTP/1.1 200"), 1);
	assert_false(ingress_has_unread(&server.ingress));
	finish(&server);
}

/* The same for a request of which a part has come, and for a connection that waits to
 * be accepted.
 */
static void test_half_a_request_at_the_end(void **state)
{
	server_t server;

	init(&server);
	server.answer_at_once = true;
	assert_true(ingress_has_unread(&server.ingress)); /* not accepted */
	send_text(&server, "GET /a HTTP/1.1\r\nHo");
	support_run_loop_ms(20);
	assert_true(ingress_has_unread(&server.ingress));
	ingress_close_idle(&server.ingress);
	send_text(&server, "st: h\r\n\r\n");
	receive_for(&server, 50);
	assert_int_equal(count(&server, "HTTP/1.1 200"), 1);
	finish(&server);
}

/* Returns whether the caller has received heads of responses alone, as many as given. */
static bool has_heads_only(const server_t *server, unsigned n)
{
	return count(server, "HTTP/1.1 ") == n &&
	       count(server, "\r\n\r\n") == n &&
	       g_str_has_suffix(server->received->str, "\r\n\r\n");
}

/* Guards against a body in a response to HEAD: its bytes stand on the connection with no
 * request waiting, or pass for the start of the next response. All ways to answer are tried,
 * one after the other on one connection.
 */
static void test_no_body_to_head(void **state)
{
	static const char request[] = "HEAD /1 HTTP/1.1\r\n\r\n";
	http_headers_t headers;
	GBytes *body = g_bytes_new_static("body", 4);
	server_t server;

	init(&server);
	http_headers_init(&headers);
	for (unsigned n = 1; n <= 4; n++) {
		send_text(&server, request);
		receive_for(&server, 30);
		assert_non_null(server.exchange);
		if (n == 1)
			exchange_reply_text(server.exchange, 503, 1000, "full");
		else if (n == 2)
			exchange_reply(server.exchange, 200, &headers,
				       STR("body"));
		else if (n == 3)
			exchange_reply_shared(server.exchange, 200, &headers,
					      body);
		else
			exchange_start_stream(server.exchange, 200, &headers);
		if (n == 4) {
			exchange_write(server.exchange, "body", 4);
			exchange_end_stream(server.exchange);
		}
		server.exchange = NULL;
		receive_for(&server, 30);
		assert_true(has_heads_only(&server, n));
	}
	http_headers_finish(&headers);
	g_bytes_unref(body);
	finish(&server);
}

/* Guards against the same in a response to a HEAD that is rejected while it is read. */
static void test_no_body_to_rejected_head(void **state)
{
	static const char *const requests[] = {
		"HEAD / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n",
		"HEAD / HTTP/1.1\r\nContent-Length: 1\r\n"
		"Content-Length: 2\r\n\r\n",
		"HEAD / HTTP/1.1\r\nbad field\r\n\r\n",
	};

	for (unsigned i = 0; i < G_N_ELEMENTS(requests); i++) {
		server_t server;

		init(&server);
		send_text(&server, requests[i]);
		receive_for(&server, 30);
		assert_int_equal(server.requests, 0);
		assert_true(has_heads_only(&server, 1));
		assert_int_equal(count(&server, "HTTP/1.1 4"), 1);
		finish(&server);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_at_a_time),
		cmocka_unit_test(test_bad_input),
		cmocka_unit_test(test_head_limit),
		cmocka_unit_test(test_caller_leaves),
		cmocka_unit_test(test_closing),
		cmocka_unit_test(test_idle),
		cmocka_unit_test(test_cut_stream),
		cmocka_unit_test(test_unread_request_at_the_end),
		cmocka_unit_test(test_half_a_request_at_the_end),
		cmocka_unit_test(test_no_body_to_head),
		cmocka_unit_test(test_no_body_to_rejected_head),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
