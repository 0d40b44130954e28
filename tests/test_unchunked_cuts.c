/* Answers to callers of HTTP/1.0, at a VM that is a process of its own: such a caller knows no
 * chunks, so that a stream ends with its connection and only a reset tells that it is cut.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <errno.h>
#include <signal.h>
#include <sys/socket.h>

#include "names.h"
#include "support_address.h"
#include "support_entry.h"
#include "support_store.h"
#include "support_tcp_stub.h"
#include "support_vm_process.h"

#define SHUTDOWN_LIMIT_S 3
#define WAIT_MS 15000

/* Time between two events, so that the engine does not count as silent. */
#define EVENT_GAP_MS 50

/* A VM gives up a caller that reads nothing for 10 s, and checks this once a second. */
#define STALLED_MS 12500

/* What a caller's kernel keeps for it; with the VM's kernel less than UNREAD_EVENTS. */
#define RECEIVE_BUFFER_BYTES 4096
#define EVENT_BYTES 1024
#define UNREAD_EVENTS ((size_t)110)

#define HEAD                                             \
	"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n" \
	"Content-Type: text/event-stream\r\n"            \
	"Transfer-Encoding: chunked\r\n\r\n"
#define EVENT "f\r\nid: 1\ndata: a\n\n\r\n"
#define LAST "0\r\n\r\n"

typedef enum { OPEN, CLOSED, RESET } end_t;

typedef struct {
	fake_store_t store;
	char *store_address;
	ingress_t prefill;
	char *prefill_address;
	ingress_t plain;
	char *plain_address;
	tcp_stub_t decode;
	tcp_stub_answer_t answer; /* of the decode engine */
	vm_process_t vm;
	GSocket *caller;
	bool reads; /* the caller */
	GString *received;
	end_t end;
	const char *awaited; /* text in what is received */
} fixture_t;

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"l\",\"host\":\"h\","
	"\"pathPrefix\":\"/l/\",\"kind\":\"streaming\",\"resumable\":true,"
	"\"timeoutMs\":60000,\"targetLatencyMs\":900,\"service\":\"llm\","
	"\"maxAttempts\":2},{\"name\":\"p\",\"host\":\"h\",\"pathPrefix\":"
	"\"/p/\",\"kind\":\"unsafe\",\"timeoutMs\":60000,\"service\":\"app\","
	"\"maxAttempts\":1}],\"services\":[{\"name\":\"llm\",\"healthPath\":"
	"\"/health\",\"engine\":{\"slots\":12,\"kvTokenCapacity\":100000,"
	"\"stride\":1}},{\"name\":\"app\",\"healthPath\":\"/health\"}]}";

/* --- servers ------------------------------------------------------------- */

static void answer_well(exchange_t *exchange, str_t body)
{
	http_headers_t headers;

	http_headers_init(&headers);
	http_headers_add(&headers, STR("X-Response-Signature"), STR("s"));
	exchange_reply(exchange, 200, &headers, body);
	http_headers_finish(&headers);
}

static void prefill_on_request(void *context, exchange_t *exchange)
{
	answer_well(exchange, STR("{\"kvHandle\":\"h\",\"tokens\":10,"
				  "\"version\":1}"));
}

/* Answers all but the path "/p/silent". */
static void plain_on_request(void *context, exchange_t *exchange)
{
	if (!g_str_equal(exchange_head(exchange)->target->str, "/p/silent"))
		answer_well(exchange, STR("whole"));
}

static void server_on_gone(void *context, exchange_t *exchange)
{
}

static const ingress_handler_t prefill_handler = {
	.on_request = prefill_on_request,
	.on_gone = server_on_gone,
};

static const ingress_handler_t plain_handler = {
	.on_request = plain_on_request,
	.on_gone = server_on_gone,
};

/* --- the caller ---------------------------------------------------------- */

/* Connects and sends a request of HTTP/1.0. A caller that does not read has little room
 * in its kernel.
 */
static void send_request(fixture_t *fixture, const char *line, bool reads)
{
	char *message = g_strdup_printf(
		"%s HTTP/1.0\r\nHost: h\r\nX-Request-Id: r%d\r\n"
		"X-Deadline-Ms: 60000\r\nX-Model-Name: m\r\n"
		"X-Token-Count: 1000,200\r\nContent-Length: 0\r\n\r\n",
		line, g_random_int_range(0, G_MAXINT));
	int bytes = RECEIVE_BUFFER_BYTES;

	g_clear_object(&fixture->caller);
	fixture->caller = support_connect(fixture->vm.callers_address);
	fixture->reads = reads;
	fixture->end = OPEN;
	g_string_truncate(fixture->received, 0);
	if (!reads)
		assert_int_equal(setsockopt(g_socket_get_fd(fixture->caller),
					    SOL_SOCKET, SO_RCVBUF, &bytes,
					    sizeof(bytes)),
				 0);
	assert_int_equal(g_socket_send(fixture->caller, message,
				       strlen(message), NULL, NULL),
			 strlen(message));
	g_free(message);
}

/* Reads what has come, and notes how the connection ended. */
static void read_answer(fixture_t *fixture)
{
	char buffer[65536];
	ssize_t n = 1;

	while (fixture->reads && fixture->end == OPEN && n > 0) {
		n = recv(g_socket_get_fd(fixture->caller), buffer,
			 sizeof(buffer), MSG_DONTWAIT);
		if (n > 0)
			g_string_append_len(fixture->received, buffer, n);
		else if (n == 0)
			fixture->end = CLOSED;
		else if (errno == ECONNRESET)
			fixture->end = RESET;
		else
			assert_int_equal(errno, EAGAIN);
	}
}

static bool has_ended(void *context)
{
	read_answer(context);
	return ((fixture_t *)context)->end != OPEN;
}

static bool has_come(void *context)
{
	const fixture_t *fixture = context;

	read_answer(context);
	return strstr(fixture->received->str, fixture->awaited) != NULL;
}

static void await_text(fixture_t *fixture, const char *text)
{
	fixture->awaited = text;
	assert_true(support_run_loop_until(has_come, fixture, WAIT_MS));
}

/* Returns how the connection ends, while the engine goes on with its events. */
static end_t await_end(fixture_t *fixture, bool more_events)
{
	for (unsigned ms = 0; ms < WAIT_MS; ms += EVENT_GAP_MS) {
		if (support_run_loop_until(has_ended, fixture, EVENT_GAP_MS))
			break;
		if (more_events)
			tcp_stub_send(&fixture->decode, EVENT);
	}
	return fixture->end;
}

/* Asserts that the head of the answer tells of no framing. */
static void assert_unframed(const fixture_t *fixture)
{
	const char *text = fixture->received->str;

	assert_true(g_str_has_prefix(text, "HTTP/1.1 200 "));
	assert_null(strstr(text, "Transfer-Encoding"));
	assert_null(strstr(text, "Content-Length"));
}

/* Asserts that an answer has come to the length that its head tells. */
static void assert_whole(const fixture_t *fixture, const char *status)
{
	const char *text = fixture->received->str;
	const char *length = strstr(text, "Content-Length: ");
	const char *body = strstr(text, "\r\n\r\n");

	assert_true(g_str_has_prefix(text, status));
	assert_non_null(length);
	assert_non_null(body);
	assert_int_equal(strlen(body + 4),
			 g_ascii_strtoull(length + strlen("Content-Length: "),
					  NULL, 10));
}

/* --- fixture ------------------------------------------------------------- */

static void await_served(fixture_t *fixture)
{
	for (unsigned i = 0; i < 100; i++) {
		if (i > 0)
			support_run_loop_ms(50);
		if (g_file_test(fixture->vm.log_path, G_FILE_TEST_EXISTS) &&
		    vm_process_count_logged(&fixture->vm, "event=started")) {
			send_request(fixture, "GET /p/x", true);
			(void)await_end(fixture, false);
			if (g_str_has_prefix(fixture->received->str,
					     "HTTP/1.1 200 "))
				return;
		}
	}
	fail_msg("the VM does not serve");
}

/* Starts a VM, a plain server, a prefill engine and one decode engine that answers with
 * these bytes, and then keeps the connection.
 */
static void start(fixture_t *fixture, const char *bytes)
{
	char *entry;

	memset(fixture, 0, sizeof(*fixture));
	fixture->received = g_string_new(NULL);
	fixture->answer.bytes = bytes;
	fixture->answer.then = TCP_STUB_KEEP_OPEN;
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	fixture->prefill_address = support_server_start(
		&fixture->prefill, &fixture->store, "i-0",
		"\"service\":\"llm\",\"stage\":\"prefill\"", &prefill_handler,
		fixture);
	fixture->plain_address = support_server_start(&fixture->plain,
						      &fixture->store, "i-1",
						      "\"service\":\"app\"",
						      &plain_handler, fixture);
	tcp_stub_start(&fixture->decode, &fixture->answer, 1);
	entry = g_strdup_printf(
		"{\"service\":\"llm\",\"stage\":\"decode\",\"address\":"
		"\"%s\",\"zone\":\"z\",\"slots\":6,\"state\":\"ready\","
		"\"sequence\":1,\"born\":1000}",
		fixture->decode.address);
	fake_store_put(&fixture->store, TABLE_SERVERS, "i-2", entry);
	g_free(entry);
	vm_process_start(&fixture->vm, "vm-0", fixture->store_address,
			 SHUTDOWN_LIMIT_S);
	await_served(fixture);
}

static void finish(fixture_t *fixture)
{
	g_clear_object(&fixture->caller);
	vm_process_finish(&fixture->vm);
	ingress_finish(&fixture->prefill);
	ingress_finish(&fixture->plain);
	tcp_stub_stop(&fixture->decode);
	fake_store_stop(&fixture->store);
	g_free(fixture->prefill_address);
	g_free(fixture->plain_address);
	g_free(fixture->store_address);
	g_string_free(fixture->received, TRUE);
}

/* Returns the bytes of a whole stream, of so many events; freed with g_free(). */
static char *whole_stream(size_t events)
{
	GString *bytes = g_string_new(HEAD);
	char *text = g_strnfill(EVENT_BYTES - strlen("data: \n\n"), 'a');

	for (size_t i = 0; i < events; i++)
		g_string_append_printf(bytes, "%x\r\ndata: %s\n\n\r\n",
				       EVENT_BYTES, text);
	g_string_append(bytes, LAST);
	g_free(text);
	return g_string_free(bytes, FALSE);
}

/* Returns the bytes of the body that have come. */
static size_t body_bytes(const fixture_t *fixture)
{
	const char *body = strstr(fixture->received->str, "\r\n\r\n");

	return body ? strlen(body + 4) : 0;
}

/* Begins the stop of the VM, whose process ends within its limit. */
static void stop_vm(fixture_t *fixture)
{
	process_signal(&fixture->vm.process, SIGTERM);
}

/* --- tests --------------------------------------------------------------- */

/* Guards against a stream that looks whole although the VM's stop cut it at the end of the
 * grace period.
 */
static void test_cut_by_stop(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, HEAD EVENT);
	send_request(&fixture, "POST /l/x", true);
	await_text(&fixture, "data: a");
	stop_vm(&fixture);
	assert_int_equal(await_end(&fixture, true), RESET);
	assert_unframed(&fixture);
	assert_true(process_wait_end(&fixture.vm.process, WAIT_MS));
	assert_int_equal(vm_process_count_logged(&fixture.vm, "event=drained"),
			 1);
	finish(&fixture);
}

/* Guards against the same if the engine had sent the whole stream, and its rest still waits for
 * a caller that reads slowly.
 */
static void test_rest_cut_by_stop(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	char *bytes = whole_stream(UNREAD_EVENTS);

	start(&fixture, bytes);
	send_request(&fixture, "POST /l/x", false);
	support_run_loop_ms(500);
	stop_vm(&fixture);
	assert_true(process_wait_end(&fixture.vm.process, WAIT_MS));
	fixture.reads = true;
	assert_int_equal(await_end(&fixture, false), RESET);
	assert_true(body_bytes(&fixture) < UNREAD_EVENTS * EVENT_BYTES);
	finish(&fixture);
	g_free(bytes);
}

/* Guards against the same when the VM gives up a caller that reads nothing for long. */
static void test_rest_cut_for_stalled_caller(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	char *bytes = whole_stream(UNREAD_EVENTS);

	start(&fixture, bytes);
	send_request(&fixture, "POST /l/x", false);
	support_run_loop_ms(STALLED_MS);
	fixture.reads = true;
	assert_int_equal(await_end(&fixture, false), RESET);
	assert_true(body_bytes(&fixture) < UNREAD_EVENTS * EVENT_BYTES);
	finish(&fixture);
	g_free(bytes);
}

/* Guards against a stream that looks whole although its VM was killed. */
static void test_cut_by_kill(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, HEAD EVENT);
	send_request(&fixture, "POST /l/x", true);
	await_text(&fixture, "data: a");
	process_signal(&fixture.vm.process, SIGKILL);
	assert_int_equal(await_end(&fixture, true), RESET);
	finish(&fixture);
}

/* Guards against a stream that looks whole although its engine was lost, and there is no other
 * one that could resume it.
 */
static void test_cut_by_loss_of_engine(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, HEAD EVENT);
	send_request(&fixture, "POST /l/x", true);
	await_text(&fixture, "data: a");
	fixture.answer.bytes = NULL;
	fixture.answer.then = TCP_STUB_RESET;
	tcp_stub_close_connections(&fixture.decode);
	assert_int_equal(await_end(&fixture, false), RESET);
	assert_unframed(&fixture);
	finish(&fixture);
}

/* Guards against a whole stream that looks cut, also one that its caller reads only after the
 * VM's process has ended.
 */
static void test_whole_stream(void **state)
{
	for (unsigned late = 0; late < 2; late++) {
		static fixture_t fixture; /* outlives a failure */
		char *bytes = whole_stream(16);

		start(&fixture, bytes);
		send_request(&fixture, "POST /l/x", !late);
		if (late) {
			support_run_loop_ms(500);
			stop_vm(&fixture);
			assert_true(
				process_wait_end(&fixture.vm.process, WAIT_MS));
			fixture.reads = true;
		}
		assert_int_equal(await_end(&fixture, false), CLOSED);
		assert_int_equal(body_bytes(&fixture), 16 * EVENT_BYTES);
		assert_unframed(&fixture);
		finish(&fixture);
		g_free(bytes);
	}
}

/* Guards against a plain answer that lacks its length or is reset, also the one that tells
 * that the VM ended before the server had answered.
 */
static void test_plain_answer(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, HEAD EVENT);
	send_request(&fixture, "GET /p/x", true);
	assert_int_equal(await_end(&fixture, false), CLOSED);
	assert_whole(&fixture, "HTTP/1.1 200 ");
	send_request(&fixture, "GET /p/silent", true);
	support_run_loop_ms(200);
	stop_vm(&fixture);
	assert_int_equal(await_end(&fixture, false), CLOSED);
	assert_whole(&fixture, "HTTP/1.1 502 ");
	finish(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cut_by_stop),
		cmocka_unit_test(test_rest_cut_by_stop),
		cmocka_unit_test(test_rest_cut_for_stalled_caller),
		cmocka_unit_test(test_cut_by_kill),
		cmocka_unit_test(test_cut_by_loss_of_engine),
		cmocka_unit_test(test_whole_stream),
		cmocka_unit_test(test_plain_answer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
