/* Backend servers in trouble whose bytes go on until the router closes the
 * connection: in a head, in a body, as an event without an end.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib-unix.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "names.h"
#include "support_address.h"
#include "support_entry.h"
#include "support_store.h"
#include "support_tcp_stub.h"

/* What a server sends once for each request, and then again and again. */
typedef struct {
	const char *name;
	const char *first;
	const char *again;
} flood_t;

#define MAX_CONNECTIONS 64
#define REQUESTS 8 /* at the same time */
#define PROBE_MS 80 /* until a suspect server is probed */

#define CHUNK_BYTES 16384 /* in one write of the server */

/* The server stops after so many bytes on a connection, to spare the machine. */
#define STOP_BYTES (INT64_C(32) << 20)

/* Most bytes that a server may send on one connection, and on all that are open at
 * a time, with what the kernel buffers: all of them count as memory of a VM, which
 * has 88 MB at least.
 */
#define ALLOWED_BYTES (INT64_C(16) << 20)
#define ALLOWED_BYTES_IN_ALL (INT64_C(64) << 20)

typedef struct fixture fixture_t;

/* A connection to the flooding server. */
typedef struct {
	fixture_t *fixture;
	int fd;
	guint source;
	GString *received;
	bool flooding;
	int64_t sent_bytes;
} connection_t;

struct fixture {
	const flood_t *flood;
	fake_store_t store;
	char *store_address;
	support_entry_t vm;
	ingress_t prefill;
	char *prefill_address;
	int listener;
	guint listener_source;
	char *address; /* of the flooding server */
	connection_t connections[MAX_CONNECTIONS];
	unsigned accepted;
	http_pool_t callers;
	int64_t most_open_bytes; /* sent on the connections open at a time */
	unsigned ended; /* requests */
	unsigned succeeded;
};

/* --- the flooding server ------------------------------------------------ */

/* Notes how much was sent on the connections that are open now. */
static void count_open_bytes(fixture_t *fixture)
{
	int64_t bytes = 0;

	for (unsigned i = 0; i < fixture->accepted; i++) {
		if (fixture->connections[i].source)
			bytes += fixture->connections[i].sent_bytes;
	}
	fixture->most_open_bytes = MAX(fixture->most_open_bytes, bytes);
}

/* Writes the same bytes until the kernel takes no more. */
static void flood(connection_t *connection)
{
	const char *again = connection->fixture->flood->again;
	GString *chunk = g_string_new(NULL);

	while (chunk->len + strlen(again) <= CHUNK_BYTES)
		g_string_append(chunk, again);
	while (connection->sent_bytes < STOP_BYTES) {
		ssize_t n = send(connection->fd, chunk->str, chunk->len,
				 MSG_NOSIGNAL);

		if (n <= 0)
			break;
		connection->sent_bytes += n;
		if ((size_t)n < chunk->len)
			break;
	}
	g_string_free(chunk, TRUE);
}

static gboolean on_connection(gint fd, GIOCondition condition, gpointer data)
{
	connection_t *connection = data;
	const flood_t *bytes = connection->fixture->flood;
	char buffer[4096];
	ssize_t n;

	if (condition & (G_IO_HUP | G_IO_ERR))
		goto closed;
	if (condition & G_IO_IN) {
		n = recv(fd, buffer, sizeof(buffer), 0);
		if (n <= 0)
			goto closed;
		g_string_append_len(connection->received, buffer, n);
		if (!connection->flooding &&
		    strstr(connection->received->str, "\r\n\r\n")) {
			connection->flooding = true;
			(void)send(fd, bytes->first, strlen(bytes->first),
				   MSG_NOSIGNAL);
		}
	}
	if (connection->flooding)
		flood(connection);
	count_open_bytes(connection->fixture);
	return G_SOURCE_CONTINUE;

closed:
	(void)close(fd);
	connection->fd = -1;
	connection->source = 0;
	return G_SOURCE_REMOVE;
}

static gboolean on_acceptable(gint fd, GIOCondition condition, gpointer data)
{
	fixture_t *fixture = data;
	connection_t *connection;
	int accepted = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	assert_true(accepted >= 0);
	assert_true(fixture->accepted < MAX_CONNECTIONS);
	connection = &fixture->connections[fixture->accepted++];
	connection->fixture = fixture;
	connection->fd = accepted;
	connection->received = g_string_new(NULL);
	connection->source = g_unix_fd_add(
		accepted, G_IO_IN | G_IO_OUT | G_IO_HUP | G_IO_ERR,
		on_connection, connection);
	return G_SOURCE_CONTINUE;
}

static void start_flooding_server(fixture_t *fixture)
{
	struct sockaddr_in any = {.sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(any);

	fixture->listener =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	assert_int_equal(bind(fixture->listener, (struct sockaddr *)&any, len),
			 0);
	assert_int_equal(listen(fixture->listener, 64), 0);
	assert_int_equal(getsockname(fixture->listener, (struct sockaddr *)&any,
				     &len),
			 0);
	fixture->address = g_strdup_printf("127.0.0.1:%u", ntohs(any.sin_port));
	fixture->listener_source = g_unix_fd_add(fixture->listener, G_IO_IN,
						 on_acceptable, fixture);
}

static void stop_flooding_server(fixture_t *fixture)
{
	g_source_remove(fixture->listener_source);
	(void)close(fixture->listener);
	for (unsigned i = 0; i < fixture->accepted; i++) {
		connection_t *connection = &fixture->connections[i];

		if (connection->source) {
			g_source_remove(connection->source);
			(void)close(connection->fd);
		}
		g_string_free(connection->received, TRUE);
	}
	g_free(fixture->address);
}

/* --- the deployment -------------------------------------------------------- */

static void prefill_on_request(void *context, exchange_t *exchange)
{
	http_headers_t headers;

	http_headers_init(&headers);
	exchange_reply(exchange, 200, &headers,
		       STR("{\"kvHandle\":\"h\",\"tokens\":10,"
			   "\"version\":1}"));
	http_headers_finish(&headers);
}

static void prefill_on_gone(void *context, exchange_t *exchange)
{
}

static const ingress_handler_t prefill_handler = {
	.on_request = prefill_on_request,
	.on_gone = prefill_on_gone,
};

static void put_server(fixture_t *fixture, const char *id, const char *fields)
{
	char *entry = g_strdup_printf(
		"{%s,\"address\":\"%s\",\"zone\":\"z\",\"slots\":12,"
		"\"state\":\"ready\",\"sequence\":1,\"born\":1000}",
		fields, fixture->address);

	fake_store_put(&fixture->store, TABLE_SERVERS, id, entry);
	g_free(entry);
}

static void put_config(fixture_t *fixture)
{
	fake_store_put(
		&fixture->store, TABLE_CONFIG, KEY_CONFIG,
		"{\"version\":1,\"routes\":["
		"{\"name\":\"p\",\"host\":\"h\",\"pathPrefix\":\"/p/\","
		"\"kind\":\"unsafe\",\"timeoutMs\":1500,"
		"\"targetLatencyMs\":300,\"service\":\"app\","
		"\"maxAttempts\":1},"
		"{\"name\":\"l\",\"host\":\"h\",\"pathPrefix\":\"/l/\","
		"\"kind\":\"streaming\",\"timeoutMs\":1500,"
		"\"targetLatencyMs\":900,\"service\":\"llm\","
		"\"maxAttempts\":1}],"
		"\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\"},"
		"{\"name\":\"llm\",\"healthPath\":\"/health\",\"engine\":{"
		"\"slots\":12,\"kvTokenCapacity\":100000,\"stride\":1}}]}");
}

static bool is_ready(void *context)
{
	const fixture_t *fixture = context;
	const entry_t *vm = &fixture->vm.entry;

	return vm->table && server_set_count_usable(&vm->servers) > 0;
}

/* Starts a VM in front of a flooding server for this stage, and a good prefill
 * engine if the flooding one is a decode engine.
 */
static void start(fixture_t *fixture, const flood_t *bytes, stage_t stage)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->flood = bytes;
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	put_config(fixture);
	start_flooding_server(fixture);
	if (stage == STAGE_NONE)
		put_server(fixture, "i-0", "\"service\":\"app\"");
	else
		put_server(fixture, "i-0",
			   stage == STAGE_DECODE
				   ? "\"service\":\"llm\",\"stage\":\"decode\""
				   : "\"service\":\"llm\",\"stage\":"
				     "\"prefill\"");
	if (stage != STAGE_NONE)
		fixture->prefill_address = support_server_start(
			&fixture->prefill, &fixture->store, "i-1",
			stage == STAGE_DECODE
				? "\"service\":\"llm\",\"stage\":\"prefill\""
				: "\"service\":\"llm\",\"stage\":\"decode\"",
			&prefill_handler, fixture);
	support_entry_start(&fixture->vm, "vm-0", fixture->store_address);
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
	assert_true(support_run_loop_until(is_ready, fixture, 5000));
	support_run_loop_ms(100);
}

static void stop(fixture_t *fixture)
{
	http_pool_finish(&fixture->callers);
	support_entry_stop(&fixture->vm);
	stop_flooding_server(fixture);
	if (fixture->prefill_address)
		ingress_finish(&fixture->prefill);
	fake_store_stop(&fixture->store);
	g_free(fixture->prefill_address);
	g_free(fixture->store_address);
}

static void call_on_body(void *context, const char *data, size_t len)
{
}

static void call_on_head(void *context, const http_head_t *head)
{
	fixture_t *fixture = context;

	if (head->status == 200)
		fixture->succeeded++;
}

static void call_on_end(void *context, call_end_t end)
{
	fixture_t *fixture = context;

	fixture->ended++;
}

static const call_handler_t call_handler = {
	.on_head = call_on_head,
	.on_body = call_on_body,
	.on_end = call_on_end,
};

static void send_request(fixture_t *fixture, const char *path, unsigned n)
{
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = support_entry_address(&fixture->vm),
		.message = message,
		.handler = &call_handler,
		.context = fixture,
	};

	g_string_printf(message,
			"POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%u\r\n"
			"X-Deadline-Ms: 1500\r\nX-Model-Name: m\r\n"
			"X-Token-Count: 1000,200\r\nContent-Length: 0\r\n\r\n",
			path, n);
	assert_non_null(http_pool_call(&fixture->callers, &options));
	g_string_free(message, TRUE);
}

static bool all_ended(void *context)
{
	const fixture_t *fixture = context;

	return fixture->ended == REQUESTS;
}

/* Returns whether the router has closed all connections to the server. */
static bool all_closed(void *context)
{
	const fixture_t *fixture = context;

	for (unsigned i = 0; i < fixture->accepted; i++) {
		if (fixture->connections[i].source)
			return false;
	}
	return true;
}

/* Sends some requests at the same time to a flooding server. Returns whether the
 * router kept within the bounds on what it takes and ended all requests.
 */
static bool plays_well(const flood_t *bytes, stage_t stage, bool may_succeed)
{
	fixture_t fixture;
	int64_t most = 0;
	bool ended, closed;

	start(&fixture, bytes, stage);
	for (unsigned i = 0; i < REQUESTS; i++)
		send_request(&fixture, stage == STAGE_NONE ? "/p/x" : "/l/x",
			     i);
	ended = support_run_loop_until(all_ended, &fixture, 4000);
	/* Probes and releases go on for a while. */
	support_run_loop_ms(PROBE_MS);
	closed = support_run_loop_until(all_closed, &fixture, 1500);
	for (unsigned i = 0; i < fixture.accepted; i++)
		most = MAX(most, fixture.connections[i].sent_bytes);
	print_message("%s: %" G_GINT64_FORMAT " KiB of one, %" G_GINT64_FORMAT
		      " KiB at a time, %u ended, %u succeeded, %s\n",
		      bytes->name, most >> 10, fixture.most_open_bytes >> 10,
		      fixture.ended, fixture.succeeded,
		      closed ? "closed" : "left open");
	stop(&fixture);
	return ended && most <= ALLOWED_BYTES &&
	       fixture.most_open_bytes <= ALLOWED_BYTES_IN_ALL && closed &&
	       (may_succeed || fixture.succeeded == 0);
}

#define OK_HEAD                                          \
	"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n" \
	"Keep-Alive: timeout=5\r\n"
#define CHUNKED OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define CHUNK                                                    \
	"40\r\n0123456789abcdef0123456789abcdef0123456789abcdef" \
	"0123456789abcdef\r\n"
#define UNFRAMED OK_HEAD "Connection: close\r\n\r\n"

static const flood_t floods[] = {
	{"head", "HTTP/1.1 200 OK\r\n", "X-Y: z\r\n"},
	{"field", "HTTP/1.1 200 OK\r\nX-Y: ", "z"},
	{"status line", "HTTP/1.1 200 ", "z"},
	{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"no response", "\x16\x03\x01", "\x02zz"},
	{"chunks", CHUNKED, CHUNK},
	{"chunk extension", CHUNKED "10;", "z"},
	{"body without a length", UNFRAMED, "0123456789abcdef"},
	{"body with a large length",
	 OK_HEAD "Content-Length: 99999999999\r\n\r\n", "0123456789abcdef"},
	{"error body", "HTTP/1.1 500 Oops\r\n\r\n", "0123456789abcdef"},
	{"response to another request",
	 OK_HEAD "X-Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
	 CHUNK},
};

/* Guards against a server of a plain service whose bytes without an end fill the
 * VM's memory.
 */
static void test_plain(void **state)
{
	unsigned failures = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(floods); i++)
		failures += !plays_well(&floods[i], STAGE_NONE, false);
	assert_int_equal(failures, 0);
}

/* The same with an engine that reads prompts. */
static void test_prefill(void **state)
{
	unsigned failures = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(floods); i++)
		failures += !plays_well(&floods[i], STAGE_PREFILL, false);
	assert_int_equal(failures, 0);
}

/* The same with a decode engine, also with an event without an end. Of a stream
 * the head is passed on at once.
 */
static void test_decode(void **state)
{
	static const flood_t event = {"event", CHUNKED,
				      "10\r\ndata: 9abcdef01\n\r\n"};
	unsigned failures = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(floods); i++)
		failures += !plays_well(&floods[i], STAGE_DECODE, true);
	failures += !plays_well(&event, STAGE_DECODE, true);
	assert_int_equal(failures, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_plain),
		cmocka_unit_test(test_prefill),
		cmocka_unit_test(test_decode),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
