/* Callers that read large answers slowly, or not at all, while their connection is to
 * close.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <sys/socket.h>

#include "connection/address.h"
#include "connection/ingress.h"
#include "support_address.h"
#include "support_tcp_stub.h"

/* More than the kernel's buffers hold. */
#define BODY_BYTES ((size_t)12 << 20)
#define SMALL_BUFFER_BYTES 4096
#define USUAL_BUFFER_BYTES 262144

/* The caller begins to read only after this: longer than a connection lingers. */
#define PAUSE_MS 1800

/* Time after which a caller that reads nothing may hold a connection no longer. */
#define GIVEN_UP_MS 13000

/* What a caller reads at a time, 33 KB/s, when it reads little. */
#define TRICKLE_BYTES 16384
#define TRICKLE_MS 500

/* How the answer is written and how its connection is to end. */
typedef enum {
	END_BY_CALLER, /* the request says that its connection closes */
	END_BY_STOP, /* the process is stopping */
	END_WHEN_IDLE, /* a kept connection is closed as idle */
} ending_t;

typedef struct {
	ingress_t ingress;
	char *address;
	GString *body;
	bool streams; /* the answer is sent in pieces */
	unsigned requests;
	GSocket *caller;
	size_t received;
	bool ended;
} fixture_t;

static void on_request(void *context, exchange_t *exchange)
{
	fixture_t *fixture = context;
	size_t piece = fixture->body->len / 16;
	http_headers_t headers;

	fixture->requests++;
	http_headers_init(&headers);
	if (!fixture->streams) {
		exchange_reply(exchange, 200, &headers,
			       str_from_gstring(fixture->body));
	} else {
		exchange_start_stream(exchange, 200, &headers);
		for (size_t i = 0; i < 16; i++)
			exchange_write(exchange, fixture->body->str + i * piece,
				       piece);
		exchange_end_stream(exchange);
	}
	http_headers_finish(&headers);
}

static void on_gone(void *context, exchange_t *exchange)
{
}

static const ingress_handler_t handler = {
	.on_request = on_request,
	.on_gone = on_gone,
};

/* Connects a caller whose kernel takes little before it reads. */
static GSocket *connect_slow(const char *address, int buffer_bytes)
{
	GSocketAddress *to = address_parse(address);
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, NULL);

	assert_true(g_socket_set_option(socket, SOL_SOCKET, SO_RCVBUF,
					buffer_bytes, NULL));
	assert_true(g_socket_connect(socket, to, NULL, NULL));
	g_socket_set_blocking(socket, FALSE);
	g_object_unref(to);
	return socket;
}

static bool was_asked(void *context)
{
	return ((fixture_t *)context)->requests > 0;
}

/* Reads what has come, and returns whether the connection has ended. */
static bool read_all(void *context)
{
	fixture_t *fixture = context;
	static char buffer[1 << 16];
	gssize n;

	if (fixture->ended)
		return true;
	do {
		n = g_socket_receive(fixture->caller, buffer, sizeof(buffer),
				     NULL, NULL);
		fixture->received += n > 0 ? (size_t)n : 0;
	} while (n > 0);
	fixture->ended = n == 0;
	return fixture->ended || fixture->received > fixture->body->len;
}

static void start(fixture_t *fixture, ending_t ending, bool streams,
		  int buffer_bytes)
{
	static const ingress_limits_t limits = {
		.max_head_bytes = 65536,
		.max_body_bytes = 1 << 20,
		.head_timeout_us = 10 * CLOCK_US_PER_S,
		.idle_timeout_us = 500 * CLOCK_US_PER_MS,
	};
	const char *request = ending == END_BY_CALLER
				      ? "GET / HTTP/1.1\r\nHost: h\r\n"
					"Connection: close\r\n\r\n"
				      : "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

	memset(fixture, 0, sizeof(*fixture));
	fixture->body = g_string_new(NULL);
	g_string_set_size(fixture->body, BODY_BYTES);
	memset(fixture->body->str, 'x', BODY_BYTES);
	fixture->streams = streams;
	fixture->address = unused_address();
	assert_true(ingress_init(&fixture->ingress, fixture->address,
				 clock_boottime(), &limits, &handler, fixture));
	fixture->caller = connect_slow(fixture->address, buffer_bytes);
	if (ending == END_BY_STOP)
		ingress_set_closing(&fixture->ingress);
	assert_true(g_socket_send(fixture->caller, request, strlen(request),
				  NULL, NULL) > 0);
	assert_true(support_run_loop_until(was_asked, fixture, 2000));
}

static void stop(fixture_t *fixture)
{
	g_object_unref(fixture->caller);
	ingress_finish(&fixture->ingress);
	g_string_free(fixture->body, TRUE);
	g_free(fixture->address);
}

/* Guards against an answer that is cut because its caller does not read it at once, although
 * it goes on reading: in a stop, on a connection that the caller closes, and on a kept one
 * that counts as idle.
 */
static void test_slow_reader(void **state)
{
	for (unsigned i = 0; i < 6; i++) {
		static fixture_t fixture; /* outlives a failure */
		ending_t ending = i / 2;

		print_message("ending %u, streams %u\n", i / 2, i % 2);
		start(&fixture, ending, i % 2, SMALL_BUFFER_BYTES);
		assert_true(ingress_is_sending(&fixture.ingress));
		if (ending == END_WHEN_IDLE)
			ingress_close_idle(&fixture.ingress);
		support_run_loop_ms(PAUSE_MS);
		assert_true(support_run_loop_until(read_all, &fixture, 10000));
		assert_true(fixture.received > BODY_BYTES);
		assert_false(ingress_is_sending(&fixture.ingress));
		stop(&fixture);
	}
}

/* Reads a little each time. */
static bool read_little(void *context)
{
	fixture_t *fixture = context;
	static char buffer[TRICKLE_BYTES];
	gssize n = g_socket_receive(fixture->caller, buffer, sizeof(buffer),
				    NULL, NULL);

	fixture->received += n > 0 ? (size_t)n : 0;
	fixture->ended = n == 0;
	return fixture->ended;
}

/* Guards against a caller that is given up although it reads all the time, but so little that
 * its kernel takes nothing new for longer than a caller may read nothing.
 */
static void test_trickle(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	int64_t until_ms;

	start(&fixture, END_BY_CALLER, true, USUAL_BUFFER_BYTES);
	for (until_ms = 0; until_ms < GIVEN_UP_MS; until_ms += TRICKLE_MS) {
		assert_false(read_little(&fixture));
		support_run_loop_ms(TRICKLE_MS);
	}
	assert_true(support_run_loop_until(read_all, &fixture, 10000));
	assert_true(fixture.received > BODY_BYTES);
	stop(&fixture);
}

static bool has_no_connection(void *context)
{
	fixture_t *fixture = context;

	return g_queue_is_empty(&fixture->ingress.connections);
}

/* Guards against a caller that never reads and holds a connection, and the memory of its
 * answer, for ever.
 */
static void test_caller_that_never_reads(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, END_BY_CALLER, false, SMALL_BUFFER_BYTES);
	assert_true(support_run_loop_until(has_no_connection, &fixture,
					   GIVEN_UP_MS));
	stop(&fixture);
}

/* Reads what has come, and returns whether three answers have. */
static bool read_three(void *context)
{
	fixture_t *fixture = context;

	(void)read_all(fixture);
	return fixture->received > 3 * BODY_BYTES;
}

/* Sends further requests while the answer to the first one is not read. */
static void send_more(fixture_t *fixture, unsigned n)
{
	static const char request[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

	for (unsigned i = 0; i < n; i++)
		assert_true(g_socket_send(fixture->caller, request,
					  strlen(request), NULL, NULL) > 0);
}

/* Guards against a caller that sends further requests, reads no answer, and has all of them
 * begun and their answers kept; and against such requests that are never begun, or dropped as the
 * connection counts as idle, once it reads.
 */
static void test_requests_of_a_slow_reader(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, END_WHEN_IDLE, false, SMALL_BUFFER_BYTES);
	send_more(&fixture, 2);
	support_run_loop_ms(PAUSE_MS);
	assert_int_equal(fixture.requests, 1);
	assert_true(ingress_has_unread(&fixture.ingress));
	ingress_close_idle(&fixture.ingress);
	assert_true(support_run_loop_until(read_all, &fixture, 10000));
	assert_true(fixture.requests <= 2);
	assert_true(support_run_loop_until(read_three, &fixture, 10000));
	assert_int_equal(fixture.requests, 3);
	assert_false(fixture.ended);
	assert_false(ingress_is_sending(&fixture.ingress));
	stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_reader),
		cmocka_unit_test(test_requests_of_a_slow_reader),
		cmocka_unit_test(test_trickle),
		cmocka_unit_test(test_caller_that_never_reads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
