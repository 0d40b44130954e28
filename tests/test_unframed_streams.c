/* Streams that a decode engine sends with neither a length nor chunks, so that
 * they end with its connection.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "support_address.h"
#include "support_answer.h"
#include "support_entry.h"
#include "support_store.h"
#include "support_tcp_stub.h"

#define HEAD                                             \
	"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n" \
	"Content-Type: text/event-stream\r\n"
#define UNFRAMED HEAD "Connection: close\r\n\r\n"

typedef struct {
	fake_store_t store;
	char *store_address;
	support_entry_t vm;
	ingress_t prefill;
	char *prefill_address;
	tcp_stub_t decode;
	http_pool_t callers;
	answer_t answer; /* to the caller */
} fixture_t;

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

static bool is_ready(void *context)
{
	const fixture_t *fixture = context;
	const entry_t *vm = &fixture->vm.entry;

	return vm->table && server_set_count_usable(&vm->servers) == 2;
}

/* Starts a VM, a prefill engine and a decode engine that answers with these
 * bytes and closes the connection. Streams may be resumed if `resumable`, but no
 * other engine is there.
 */
static void start(fixture_t *fixture, const tcp_stub_answer_t *answer,
		  bool resumable)
{
	char *config = g_strdup_printf(
		"{\"version\":1,\"routes\":[{\"name\":\"l\",\"host\":\"h\","
		"\"pathPrefix\":\"/l/\",\"kind\":\"streaming\","
		"\"resumable\":%s,\"timeoutMs\":3000,"
		"\"targetLatencyMs\":900,\"service\":\"llm\","
		"\"maxAttempts\":2}],\"services\":[{\"name\":\"llm\","
		"\"healthPath\":\"/health\",\"engine\":{\"slots\":12,"
		"\"kvTokenCapacity\":100000,\"stride\":1}}]}",
		resumable ? "true" : "false");
	char *entry;

	memset(fixture, 0, sizeof(*fixture));
	answer_init(&fixture->answer);
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	fixture->prefill_address = support_server_start(
		&fixture->prefill, &fixture->store, "i-0",
		"\"service\":\"llm\",\"stage\":\"prefill\"", &prefill_handler,
		fixture);
	tcp_stub_start(&fixture->decode, answer, 1);
	entry = g_strdup_printf(
		"{\"service\":\"llm\",\"stage\":\"decode\",\"address\":"
		"\"%s\",\"zone\":\"z\",\"slots\":6,\"state\":\"ready\","
		"\"sequence\":1,\"born\":1000}",
		fixture->decode.address);
	fake_store_put(&fixture->store, TABLE_SERVERS, "i-1", entry);
	support_entry_start(&fixture->vm, "vm-0", fixture->store_address);
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
	assert_true(support_run_loop_until(is_ready, fixture, 5000));
	g_free(entry);
	g_free(config);
}

static void stop(fixture_t *fixture)
{
	http_pool_finish(&fixture->callers);
	support_entry_stop(&fixture->vm);
	ingress_finish(&fixture->prefill);
	tcp_stub_stop(&fixture->decode);
	fake_store_stop(&fixture->store);
	g_free(fixture->prefill_address);
	g_free(fixture->store_address);
	answer_finish(&fixture->answer);
}

/* Sends a request and waits for the end of the answer to it. */
static void send_request(fixture_t *fixture)
{
	GString *message = g_string_new(
		"POST /l/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
		"X-Deadline-Ms: 3000\r\nX-Model-Name: m\r\n"
		"X-Token-Count: 1000,200\r\nContent-Length: 0\r\n\r\n");
	http_call_options_t options = {
		.address = support_entry_address(&fixture->vm),
		.message = message,
		.handler = &answer_handler,
		.context = &fixture->answer,
	};

	assert_non_null(http_pool_call(&fixture->callers, &options));
	assert_true(support_run_loop_until(answer_has_ended, &fixture->answer,
					   5000));
	g_string_free(message, TRUE);
}

/* Guards against a whole stream that is taken for a broken one because nothing
 * but its connection's end tells that it is whole.
 */
static void test_whole_stream(void **state)
{
	static const tcp_stub_answer_t answer = {
		UNFRAMED "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		TCP_STUB_CLOSE};
	fixture_t fixture;

	start(&fixture, &answer, false);
	send_request(&fixture);
	assert_int_equal(fixture.answer.end, CALL_ANSWERED);
	assert_int_equal(fixture.answer.status, 200);
	assert_string_equal(fixture.answer.body->str,
			    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
	stop(&fixture);
}

/* Guards against a stream that ends inside an event and looks whole to the
 * caller, whatever its framing.
 */
static void test_end_inside_an_event(void **state)
{
	static const tcp_stub_answer_t answers[] = {
		{UNFRAMED "id: 1\ndata: a\n\nid: 2\ndata: b", TCP_STUB_CLOSE},
		{UNFRAMED "id: 1\ndata: a\n\nid: 2\ndata: b\n", TCP_STUB_CLOSE},
		{HEAD "Content-Length: 22\r\n\r\nid: 1\ndata: a\n\nid: 2\nd",
		 TCP_STUB_CLOSE},
	};

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(answers); i++) {
		fixture_t fixture;

		start(&fixture, &answers[i / 2], i % 2);
		send_request(&fixture);
		assert_int_equal(fixture.answer.end, CALL_LOST);
		assert_string_equal(fixture.answer.body->str,
				    "id: 1\ndata: a\n\n");
		stop(&fixture);
	}
}

/* Guards against a stream that ends before its first event and looks whole. */
static void test_end_before_the_first_event(void **state)
{
	static const tcp_stub_answer_t answer = {UNFRAMED, TCP_STUB_CLOSE};
	fixture_t fixture;

	start(&fixture, &answer, false);
	send_request(&fixture);
	assert_int_equal(fixture.answer.end, CALL_LOST);
	assert_string_equal(fixture.answer.body->str, "");
	stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_whole_stream),
		cmocka_unit_test(test_end_inside_an_event),
		cmocka_unit_test(test_end_before_the_first_event),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
