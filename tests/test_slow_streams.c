/* Engines that are slow but sound, and engines that stall and send a byte now and then. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "support_address.h"
#include "support_entry.h"
#include "support_tcp_stub.h"

#define WAIT_MS 15000

/* A stream has to end so soon after its caller's deadline or its route's timeout. */
#define END_SLACK_MS 500

/* What a decode engine sends after its first event, each `pause_ms`: the bytes, so many
 * times (0: for ever), and then the rest.
 */
typedef struct {
	const char *bytes;
	const char *rest; /* NULL: the stream does not end */
	unsigned pause_ms;
	unsigned times;
} script_t;

typedef struct {
	fake_store_t store;
	char *store_address;
	ingress_t prefill, decode;
	char *prefill_address, *decode_address;
	support_entry_t vm;
	http_pool_t callers;
	const script_t *script;
	unsigned pause_ms; /* of this process, VM included, after the prefill
			      engine has answered */
	exchange_t *open; /* at the decode engine; NULL: none */
	unsigned sent; /* times */
	alarm_t next;
	GString *body;
	unsigned status;
	bool ended;
	call_end_t end;
	int64_t ended_us;
} fixture_t;

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* --- engines ------------------------------------------------------------- */

static void prefill_on_request(void *context, exchange_t *exchange)
{
	const fixture_t *fixture = context;
	http_headers_t headers;

	http_headers_init(&headers);
	exchange_reply(exchange, 200, &headers,
		       STR("{\"kvHandle\":\"h\",\"tokens\":10,\"version\":1}"));
	http_headers_finish(&headers);
	g_usleep(fixture->pause_ms * CLOCK_US_PER_MS);
}

static void ignore_gone(void *context, exchange_t *exchange)
{
}

static const ingress_handler_t prefill_handler = {
	.on_request = prefill_on_request,
	.on_gone = ignore_gone,
};

static void on_next(void *context)
{
	fixture_t *fixture = context;
	const script_t *script = fixture->script;

	if (!fixture->open)
		return;
	if (script->times == 0 || fixture->sent < script->times) {
		fixture->sent++;
		exchange_write(fixture->open, script->bytes,
			       strlen(script->bytes));
		alarm_set(&fixture->next,
			  now_us() + script->pause_ms * CLOCK_US_PER_MS);
		return;
	}
	exchange_write(fixture->open, script->rest, strlen(script->rest));
	exchange_end_stream(fixture->open);
	fixture->open = NULL;
}

static void decode_on_request(void *context, exchange_t *exchange)
{
	fixture_t *fixture = context;
	http_headers_t headers;

	if (exchange_head(exchange)->method->str[0] == 'G') {
		exchange_reply_text(exchange, 200, 0, "ok");
		return;
	}
	http_headers_init(&headers);
	http_headers_add(&headers, STR("X-Response-Signature"), STR("s"));
	exchange_start_stream(exchange, 200, &headers);
	http_headers_finish(&headers);
	exchange_write(exchange, "id: 1\ndata: a\n\n",
		       strlen("id: 1\ndata: a\n\n"));
	fixture->open = exchange;
	alarm_set(&fixture->next,
		  now_us() + fixture->script->pause_ms * CLOCK_US_PER_MS);
}

static void decode_on_gone(void *context, exchange_t *exchange)
{
	((fixture_t *)context)->open = NULL;
}

static const ingress_handler_t decode_handler = {
	.on_request = decode_on_request,
	.on_gone = decode_on_gone,
};

/* --- the VM and its caller ------------------------------------------------ */

static bool is_ready(void *context)
{
	const entry_t *vm = &((fixture_t *)context)->vm.entry;

	return vm->table && server_set_count_usable(&vm->servers) == 2;
}

static void start(fixture_t *fixture, const script_t *script)
{
	static const char config[] =
		"{\"version\":1,\"routes\":[{\"name\":\"l\",\"host\":\"h\","
		"\"pathPrefix\":\"/l/\",\"kind\":\"streaming\","
		"\"timeoutMs\":14000,\"targetLatencyMs\":900,"
		"\"gapAimMs\":300,\"service\":\"llm\",\"maxAttempts\":2}],"
		"\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\","
		"\"engine\":{\"slots\":12,\"kvTokenCapacity\":100000,"
		"\"stride\":1}}]}";

	memset(fixture, 0, sizeof(*fixture));
	fixture->script = script;
	fixture->body = g_string_new(NULL);
	alarm_init(&fixture->next, clock_boottime(), on_next, fixture);
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	fixture->prefill_address = support_server_start(
		&fixture->prefill, &fixture->store, "i-0",
		"\"service\":\"llm\",\"stage\":\"prefill\"", &prefill_handler,
		fixture);
	fixture->decode_address =
		support_server_start(&fixture->decode, &fixture->store, "i-1",
				     "\"service\":\"llm\",\"stage\":\"decode\"",
				     &decode_handler, fixture);
	support_entry_start(&fixture->vm, "vm-0", fixture->store_address);
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
	assert_true(support_run_loop_until(is_ready, fixture, WAIT_MS));
}

static void stop(fixture_t *fixture)
{
	http_pool_finish(&fixture->callers);
	support_run_loop_ms(50);
	support_entry_stop(&fixture->vm);
	alarm_finish(&fixture->next);
	ingress_finish(&fixture->prefill);
	ingress_finish(&fixture->decode);
	fake_store_stop(&fixture->store);
	g_string_free(fixture->body, TRUE);
	g_free(fixture->prefill_address);
	g_free(fixture->decode_address);
	g_free(fixture->store_address);
}

static void call_on_head(void *context, const http_head_t *head)
{
	((fixture_t *)context)->status = head->status;
}

static void call_on_body(void *context, const char *data, size_t len)
{
	g_string_append_len(((fixture_t *)context)->body, data, (gssize)len);
}

static void call_on_end(void *context, call_end_t end)
{
	fixture_t *fixture = context;

	fixture->ended = true;
	fixture->end = end;
	fixture->ended_us = now_us();
}

static const call_handler_t call_handler = {
	.on_head = call_on_head,
	.on_body = call_on_body,
	.on_end = call_on_end,
};

static bool has_ended(void *context)
{
	return ((fixture_t *)context)->ended;
}

/* Sends a request and waits for the end of its stream. Returns its duration. */
static int64_t ask(fixture_t *fixture, unsigned deadline_ms)
{
	GString *message = g_string_new(NULL);
	int64_t sent_us = now_us();
	http_call_options_t options = {
		.address = support_entry_address(&fixture->vm),
		.message = message,
		.handler = &call_handler,
		.context = fixture,
	};

	fixture->ended = false;
	g_string_truncate(fixture->body, 0);
	g_string_printf(message,
			"POST /l/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n"
			"X-Deadline-Ms: %u\r\nX-Token-Count: 1000,200\r\n"
			"Content-Length: 0\r\n\r\n",
			deadline_ms);
	assert_non_null(http_pool_call(&fixture->callers, &options));
	g_string_free(message, TRUE);
	assert_true(support_run_loop_until(has_ended, fixture, WAIT_MS));
	return (fixture->ended_us - sent_us) / CLOCK_US_PER_MS;
}

/* --- tests --------------------------------------------------------------- */

/* Guards against a stream that is cut because its pauses are long. */
static void test_slow_stream_ends_whole(void **state)
{
	static const script_t script = {"id: 2\ndata: b\n\n",
					"id: 3\ndata: c\n\n", 1900, 3};
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, &script);
	(void)ask(&fixture, 14000);
	assert_int_equal(fixture.status, 200);
	assert_int_equal(fixture.end, CALL_ANSWERED);
	assert_non_null(strstr(fixture.body->str, "id: 3\n"));
	stop(&fixture);
}

/* Bytes that bring no event. */
static const script_t stalls[] = {
	{":", NULL, 200, 0},
	{": a comment\n\n", NULL, 200, 0},
	{"\n", NULL, 200, 0},
	{"data: half of an event\n", NULL, 200, 0},
};

/* Guards against a stalled stream that goes on after its caller's deadline as bytes come
 * now and then, one that looks whole at its end, and an engine that works on.
 */
static void test_stalled_stream_ends_at_its_deadline(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	for (size_t i = 0; i < G_N_ELEMENTS(stalls); i++) {
		start(&fixture, &stalls[i]);
		assert_true(ask(&fixture, 2500) <= 2500 + END_SLACK_MS);
		assert_int_not_equal(fixture.end, CALL_ANSWERED);
		support_run_loop_ms(100);
		assert_null(fixture.open);
		stop(&fixture);
	}
}

/* Guards against half of an event that reaches the caller. */
static void test_half_an_event_is_not_passed_on(void **state)
{
	static const script_t script = {"data: half of an event\n", NULL, 200,
					0};
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, &script);
	(void)ask(&fixture, 1500);
	assert_string_equal(fixture.body->str, "id: 1\ndata: a\n\n");
	stop(&fixture);
}

/* Guards against prompts that are given up as not answered after the VM's process was
 * paused, although their answers have come meanwhile.
 */
static void test_pause_after_an_answer(void **state)
{
	static const script_t script = {"id: 2\ndata: b\n\n",
					"id: 3\ndata: c\n\n", 10, 1};
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, &script);
	(void)ask(&fixture, 14000); /* shows how fast the engine is */
	fixture.pause_ms = 2000;
	(void)ask(&fixture, 14000);
	assert_int_equal(fixture.status, 200);
	assert_int_equal(fixture.end, CALL_ANSWERED);
	stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_stream_ends_whole),
		cmocka_unit_test(test_stalled_stream_ends_at_its_deadline),
		cmocka_unit_test(test_half_an_event_is_not_passed_on),
		cmocka_unit_test(test_pause_after_an_answer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
