/* Responses of sound servers while others take what a VM may keep of responses. The VM is a
 * process of its own.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "connection/http_pool.h"
#include "connection/ingress.h"
#include "names.h"
#include "process/alarm.h"
#include "support_address.h"
#include "support_entry.h"
#include "support_store.h"
#include "support_tcp_stub.h"
#include "support_vm_process.h"

#define WAIT_MS 15000
#define SHUTDOWN_LIMIT_S 5
#define MAX_OPEN 512

/* Bodies that are kept at a time: 13.2 MB of the 16 MB that all may have. */
#define BODIES 6
#define BODY_BYTES ((size_t)2200 << 10)

/* A body of usual size, beside streams whose engine stops inside an event that is smaller
 * than the largest one allowed.
 */
#define SMALL_BODY_BYTES 8000
#define STREAMS 130
#define PART_BYTES 140000

/* Ordinary streams that wait for their next event, and the size of the last one. */
#define IDLE_STREAMS 80
#define EVENT_BYTES 3000

/* Time in which the VM has read what was sent. */
#define READ_MS 1000

typedef struct fixture fixture_t;

typedef struct {
	fixture_t *fixture;
	unsigned status;
	size_t body_bytes;
} call_t;

struct fixture {
	fake_store_t store;
	char *store_address;
	ingress_t prefill, decode, plain;
	char *addresses[3];
	vm_process_t vm;
	http_pool_t callers;
	char *bytes; /* of a body, or of a part of an event */
	size_t body_bytes; /* of a response of the plain server */
	bool holds; /* the plain server keeps the last byte of a body back */
	bool stops; /* the decode engine stops inside an event */
	bool idles; /* the decode engine stops after an event */
	exchange_t *open[MAX_OPEN];
	unsigned n_open;
	unsigned ended, served;
};

/* --- servers ------------------------------------------------------------- */

static void add_fields(const exchange_t *exchange, http_headers_t *headers)
{
	str_t id = http_headers_get(&exchange_head(exchange)->headers,
				    "x-request-id");

	http_headers_init(headers);
	if (id.len)
		http_headers_add(headers, STR("X-Request-Id"), id);
	http_headers_add(headers, STR("X-Response-Signature"), STR("s"));
}

static void reply(exchange_t *exchange, str_t body)
{
	http_headers_t headers;

	add_fields(exchange, &headers);
	exchange_reply(exchange, 200, &headers, body);
	http_headers_finish(&headers);
}

static void begin(exchange_t *exchange, str_t body)
{
	http_headers_t headers;

	add_fields(exchange, &headers);
	exchange_start_stream(exchange, 200, &headers);
	exchange_write(exchange, body.data, body.len);
	http_headers_finish(&headers);
}

static bool is_check(const exchange_t *exchange)
{
	return strstr(exchange_head(exchange)->target->str, "/health");
}

static void prefill_on_request(void *context, exchange_t *exchange)
{
	reply(exchange,
	      STR("{\"kvHandle\":\"h\",\"tokens\":10,\"version\":1}"));
}

static void decode_on_request(void *context, exchange_t *exchange)
{
	fixture_t *fixture = context;

	if (is_check(exchange)) {
		reply(exchange, STR("{\"busy\":false,\"sequence\":0}"));
		return;
	}
	begin(exchange, STR("id: 1\ndata: a\n\n"));
	if (!fixture->stops && !fixture->idles) {
		exchange_end_stream(exchange);
		return;
	}
	assert_true(fixture->n_open < MAX_OPEN);
	fixture->open[fixture->n_open++] = exchange;
	exchange_write(exchange, "data: ", strlen("data: "));
	if (fixture->stops) {
		exchange_write(exchange, fixture->bytes, PART_BYTES);
		return;
	}
	exchange_write(exchange, fixture->bytes, EVENT_BYTES);
	exchange_write(exchange, "\n\n", 2);
}

static void plain_on_request(void *context, exchange_t *exchange)
{
	fixture_t *fixture = context;

	if (is_check(exchange)) {
		reply(exchange, STR("{\"busy\":false,\"sequence\":0}"));
		return;
	}
	if (!fixture->holds) {
		reply(exchange, (str_t){fixture->bytes, fixture->body_bytes});
		return;
	}
	assert_true(fixture->n_open < MAX_OPEN);
	fixture->open[fixture->n_open++] = exchange;
	begin(exchange, (str_t){fixture->bytes, fixture->body_bytes - 1});
}

static void on_gone(void *context, exchange_t *exchange)
{
	fixture_t *fixture = context;

	for (unsigned i = 0; i < fixture->n_open; i++) {
		if (fixture->open[i] == exchange)
			fixture->open[i] = NULL;
	}
}

static const ingress_handler_t prefill_handler = {
	.on_request = prefill_on_request,
	.on_gone = on_gone,
};

static const ingress_handler_t decode_handler = {
	.on_request = decode_on_request,
	.on_gone = on_gone,
};

static const ingress_handler_t plain_handler = {
	.on_request = plain_on_request,
	.on_gone = on_gone,
};

/* Sends the last byte of each body that was kept back. */
static void end_bodies(fixture_t *fixture)
{
	for (unsigned i = 0; i < fixture->n_open; i++) {
		if (!fixture->open[i])
			continue;
		exchange_write(fixture->open[i], "a", 1);
		exchange_end_stream(fixture->open[i]);
	}
	fixture->n_open = 0;
}

/* --- callers ------------------------------------------------------------- */

static void call_on_head(void *context, const http_head_t *head)
{
	((call_t *)context)->status = head->status;
}

static void call_on_body(void *context, const char *data, size_t len)
{
	((call_t *)context)->body_bytes += len;
}

static void call_on_end(void *context, call_end_t end)
{
	call_t *call = context;
	fixture_t *fixture = call->fixture;

	fixture->ended++;
	fixture->served += end == CALL_ANSWERED && call->status == 200 &&
			   (fixture->body_bytes == 0 ||
			    call->body_bytes == fixture->body_bytes);
	g_free(call);
}

static const call_handler_t call_handler = {
	.on_head = call_on_head,
	.on_body = call_on_body,
	.on_end = call_on_end,
};

static void ask(fixture_t *fixture, const char *path)
{
	call_t *call = g_new0(call_t, 1);
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = fixture->vm.callers_address,
		.message = message,
		.new_connection = true,
		.handler = &call_handler,
		.context = call,
	};

	call->fixture = fixture;
	g_string_printf(message,
			"POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%d\r\n"
			"X-Deadline-Ms: 14000\r\nX-Token-Count: 100,20\r\n"
			"Content-Length: 0\r\n\r\n",
			path, g_random_int_range(0, G_MAXINT));
	assert_non_null(http_pool_call(&fixture->callers, &options));
	g_string_free(message, TRUE);
}

static bool has_ended(void *context)
{
	return ((fixture_t *)context)->ended > 0;
}

static bool bodies_have_ended(void *context)
{
	return ((fixture_t *)context)->ended == BODIES;
}

static void reset(fixture_t *fixture)
{
	fixture->ended = 0;
	fixture->served = 0;
}

static void await_served(fixture_t *fixture)
{
	static const char *const paths[] = {"/p/x", "/l/x"};

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		for (unsigned tries = 0; tries < 100; tries++) {
			reset(fixture);
			ask(fixture, paths[i]);
			assert_true(support_run_loop_until(has_ended, fixture,
							   WAIT_MS));
			if (fixture->served)
				break;
			support_run_loop_ms(50);
		}
		assert_int_equal(fixture->served, 1);
	}
	reset(fixture);
}

/* --- fixture ------------------------------------------------------------- */

static void start(fixture_t *fixture)
{
	static const char config[] =
		"{\"version\":1,\"routes\":[{\"name\":\"l\",\"host\":\"h\","
		"\"pathPrefix\":\"/l/\",\"kind\":\"streaming\","
		"\"timeoutMs\":14000,\"targetLatencyMs\":900,"
		"\"gapAimMs\":300,\"service\":\"llm\",\"maxAttempts\":1},"
		"{\"name\":\"p\",\"host\":\"h\",\"pathPrefix\":\"/p/\","
		"\"kind\":\"unsafe\",\"timeoutMs\":14000,\"service\":\"app\","
		"\"maxAttempts\":1}],"
		"\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\","
		"\"engine\":{\"slots\":512,\"kvTokenCapacity\":10000000,"
		"\"stride\":1}},{\"name\":\"app\",\"healthPath\":\"/health\"}]}";

	memset(fixture, 0, sizeof(*fixture));
	fixture->bytes = g_strnfill(BODY_BYTES, 'a');
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	fixture->addresses[0] = support_server_start(
		&fixture->prefill, &fixture->store, "i-0",
		"\"service\":\"llm\",\"stage\":\"prefill\",\"slots\":512",
		&prefill_handler, fixture);
	fixture->addresses[1] = support_server_start(
		&fixture->decode, &fixture->store, "i-1",
		"\"service\":\"llm\",\"stage\":\"decode\",\"slots\":512",
		&decode_handler, fixture);
	fixture->addresses[2] = support_server_start(&fixture->plain,
						     &fixture->store, "i-2",
						     "\"service\":\"app\"",
						     &plain_handler, fixture);
	vm_process_start(&fixture->vm, "vm-0", fixture->store_address,
			 SHUTDOWN_LIMIT_S);
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
	await_served(fixture);
}

static void finish(fixture_t *fixture)
{
	vm_process_finish(&fixture->vm);
	support_run_loop_ms(200);
	http_pool_finish(&fixture->callers);
	ingress_finish(&fixture->prefill);
	ingress_finish(&fixture->decode);
	ingress_finish(&fixture->plain);
	fake_store_stop(&fixture->store);
	for (size_t i = 0; i < G_N_ELEMENTS(fixture->addresses); i++)
		g_free(fixture->addresses[i]);
	g_free(fixture->store_address);
	g_free(fixture->bytes);
}

/* --- tests --------------------------------------------------------------- */

/* Guards against sound responses that are rejected although all together are smaller than
 * what a VM may keep, because buffers are larger than what is in them.
 */
static void test_bodies_at_a_time(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	unsigned too_large;

	start(&fixture);
	fixture.body_bytes = BODY_BYTES;
	fixture.holds = true;
	for (unsigned i = 0; i < BODIES; i++)
		ask(&fixture, "/p/x");
	support_run_loop_ms(READ_MS);
	end_bodies(&fixture);
	assert_true(
		support_run_loop_until(bodies_have_ended, &fixture, WAIT_MS));
	too_large = vm_process_count_logged(&fixture.vm,
					    "event=response_too_large");
	print_message("%u of %d served, %u too large\n", fixture.served, BODIES,
		      too_large);
	assert_int_equal(fixture.served, BODIES);
	finish(&fixture);
}

/* Guards against a response of usual size that is rejected because the engine of another
 * service stops inside its events while ordinary streams are open.
 */
static void test_body_beside_parts_of_events(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	unsigned open = 0;

	start(&fixture);
	fixture.stops = true;
	for (unsigned i = 0; i < STREAMS; i++)
		ask(&fixture, "/l/x");
	support_run_loop_ms(READ_MS);
	fixture.stops = false;
	fixture.idles = true;
	for (unsigned i = 0; i < IDLE_STREAMS; i++)
		ask(&fixture, "/l/x");
	support_run_loop_ms(READ_MS);
	for (unsigned i = 0; i < fixture.n_open; i++)
		open += fixture.open[i] != NULL;
	print_message("%u of %u streams open, %u events too large\n", open,
		      fixture.n_open,
		      vm_process_count_logged(&fixture.vm,
					      "event=event_too_large"));
	reset(&fixture);
	fixture.body_bytes = SMALL_BODY_BYTES;
	ask(&fixture, "/p/x");
	support_run_loop_ms(READ_MS);
	print_message("%u served, %u too large\n", fixture.served,
		      vm_process_count_logged(&fixture.vm,
					      "event=response_too_large"));
	assert_int_equal(fixture.served, 1);
	finish(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bodies_at_a_time),
		cmocka_unit_test(test_body_beside_parts_of_events),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
