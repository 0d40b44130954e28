/* Callers that state sizes and times which no request of the service has. */
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

/* Usual requests before an odd one, and after it. */
#define USUAL_BEFORE 5
#define USUAL_AFTER 5

#define USUAL_FIELDS \
	"X-Token-Count: 1000,80\r\nX-Length-Hint: 40\r\nX-Deadline-Ms: 14000\r\n"

/* Time in which a usual request has its whole answer. */
#define USUAL_MS 1000

typedef struct {
	fake_store_t store;
	char *store_address;
	ingress_t prefill, decode;
	char *prefill_address, *decode_address;
	support_entry_t vms[2];
	http_pool_t callers;
	unsigned requests;
	unsigned status;
	bool ended;
} fixture_t;

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* --- engines ------------------------------------------------------------- */

static void add_fields(const exchange_t *exchange, http_headers_t *headers)
{
	str_t id = http_headers_get(&exchange_head(exchange)->headers,
				    "x-request-id");

	http_headers_init(headers);
	if (id.len)
		http_headers_add(headers, STR("X-Request-Id"), id);
	http_headers_add(headers, STR("X-Response-Signature"), STR("s"));
}

static void prefill_on_request(void *context, exchange_t *exchange)
{
	http_headers_t headers;

	add_fields(exchange, &headers);
	exchange_reply(
		exchange, 200, &headers,
		STR("{\"kvHandle\":\"h\",\"tokens\":1000,\"version\":1}"));
	http_headers_finish(&headers);
}

static void decode_on_request(void *context, exchange_t *exchange)
{
	static const char events[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
	http_headers_t headers;

	add_fields(exchange, &headers);
	exchange_start_stream(exchange, 200, &headers);
	http_headers_finish(&headers);
	exchange_write(exchange, events, strlen(events));
	exchange_end_stream(exchange);
}

static void ignore_gone(void *context, exchange_t *exchange)
{
}

static const ingress_handler_t prefill_handler = {
	.on_request = prefill_on_request,
	.on_gone = ignore_gone,
};

static const ingress_handler_t decode_handler = {
	.on_request = decode_on_request,
	.on_gone = ignore_gone,
};

/* --- VMs and callers ------------------------------------------------------ */

static bool are_ready(void *context)
{
	fixture_t *fixture = context;

	for (size_t i = 0; i < G_N_ELEMENTS(fixture->vms); i++) {
		const entry_t *vm = &fixture->vms[i].entry;

		if (!vm->table || server_set_count_usable(&vm->servers) != 2 ||
		    g_hash_table_size(vm->occupancy.peers) != 1)
			return false;
	}
	return true;
}

/* Starts two VMs and an engine of each stage with memory for 100,000 tokens. */
static void start(fixture_t *fixture)
{
	static const char config[] =
		"{\"version\":1,\"routes\":[{\"name\":\"l\",\"host\":\"h\","
		"\"pathPrefix\":\"/l/\",\"kind\":\"streaming\","
		"\"timeoutMs\":14000,\"targetLatencyMs\":900,"
		"\"gapAimMs\":300,\"service\":\"llm\",\"maxAttempts\":1}],"
		"\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\","
		"\"engine\":{\"slots\":6,\"kvTokenCapacity\":100000,"
		"\"stride\":1}}]}";

	memset(fixture, 0, sizeof(*fixture));
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
	support_entry_start(&fixture->vms[0], "vm-0", fixture->store_address);
	support_entry_start(&fixture->vms[1], "vm-1", fixture->store_address);
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
	assert_true(support_run_loop_until(are_ready, fixture, WAIT_MS));
}

static void stop(fixture_t *fixture)
{
	http_pool_finish(&fixture->callers);
	support_run_loop_ms(50);
	support_entry_stop(&fixture->vms[0]);
	support_entry_stop(&fixture->vms[1]);
	ingress_finish(&fixture->prefill);
	ingress_finish(&fixture->decode);
	fake_store_stop(&fixture->store);
	g_free(fixture->prefill_address);
	g_free(fixture->decode_address);
	g_free(fixture->store_address);
}

static void call_on_head(void *context, const http_head_t *head)
{
	((fixture_t *)context)->status = head->status;
}

static void ignore_body(void *context, const char *data, size_t len)
{
}

static void call_on_end(void *context, call_end_t end)
{
	fixture_t *fixture = context;

	fixture->ended = true;
	if (end != CALL_ANSWERED)
		fixture->status = 0;
}

static const call_handler_t call_handler = {
	.on_head = call_on_head,
	.on_body = ignore_body,
	.on_end = call_on_end,
};

static bool has_ended(void *context)
{
	return ((fixture_t *)context)->ended;
}

/* Sends a request with these header fields to a VM. Returns the status, 0 if the answer
 * is not whole.
 */
static unsigned ask(fixture_t *fixture, unsigned vm, const char *fields)
{
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = support_entry_address(&fixture->vms[vm]),
		.message = message,
		.handler = &call_handler,
		.context = fixture,
	};

	fixture->ended = false;
	fixture->status = 0;
	g_string_printf(message,
			"POST /l/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%u\r\n"
			"%sContent-Length: 0\r\n\r\n",
			++fixture->requests, fields);
	assert_non_null(http_pool_call(&fixture->callers, &options));
	g_string_free(message, TRUE);
	assert_true(support_run_loop_until(has_ended, fixture, WAIT_MS));
	return fixture->status;
}

/* Sends usual requests to both VMs in turn. Returns how many were not served in time. */
static unsigned count_unserved(fixture_t *fixture, unsigned requests)
{
	unsigned unserved = 0;

	for (unsigned i = 0; i < requests; i++) {
		int64_t sent_us = now_us();

		if (ask(fixture, i % 2, USUAL_FIELDS) != 200 ||
		    now_us() - sent_us > USUAL_MS * CLOCK_US_PER_MS)
			unserved++;
	}
	return unserved;
}

/* --- tests --------------------------------------------------------------- */

/* A request that states what no other one does. */
typedef struct {
	const char *fields;
	unsigned status; /* that it gets; 0: any */
} odd_request_t;

/* Sends odd requests one after the other, each between usual ones, all of which have to
 * be served.
 */
static void check_odd_requests(fixture_t *fixture, const odd_request_t *odd,
			       size_t n)
{
	for (size_t i = 0; i < n; i++) {
		unsigned status;
		unsigned unserved;

		start(fixture);
		assert_int_equal(count_unserved(fixture, USUAL_BEFORE), 0);
		status = ask(fixture, 0, odd[i].fields);
		/* Several announcements of the VMs to each other. */
		support_run_loop_ms(600);
		unserved = count_unserved(fixture, USUAL_AFTER);
		print_message("%.*s: %u, then %u of %u unserved\n",
			      (int)strcspn(odd[i].fields, "\r"), odd[i].fields,
			      status, unserved, USUAL_AFTER);
		if (odd[i].status)
			assert_int_equal(status, odd[i].status);
		assert_int_equal(unserved, 0);
		stop(fixture);
	}
}

/* Guards against one request with a size that no engine can hold, after which the VMs
 * refuse all streams of the service.
 */
static void test_size_beyond_the_memory(void **state)
{
	static const odd_request_t odd[] = {
		{"X-Token-Count: 1000000000,80\r\nX-Deadline-Ms: 3000\r\n",
		 400},
		{"X-Token-Count: 100000000000000000,80\r\n"
		 "X-Deadline-Ms: 3000\r\n",
		 400},
		{"X-Token-Count: 100001,80\r\nX-Deadline-Ms: 3000\r\n", 400},
		{"X-Token-Count: 1000,1000000000000\r\nX-Deadline-Ms: 3000\r\n",
		 200},
		{"X-Length-Hint: 100000000000000000\r\n"
		 "X-Token-Count: 1000,1000000000000\r\nX-Deadline-Ms: 3000\r\n",
		 200},
	};
	static fixture_t fixture; /* outlives a failure */

	check_odd_requests(&fixture, odd, G_N_ELEMENTS(odd));
}

/* Guards against a time to the deadline that makes all later requests of the route seem to
 * be late, or that overflows.
 */
static void test_odd_time_left(void **state)
{
	static const odd_request_t odd[] = {
		{"X-Deadline-Ms: 1000000000\r\nX-Token-Count: 1000,80\r\n",
		 200},
		{"X-Deadline-Ms: 999999999999999999\r\n"
		 "X-Token-Count: 1000,80\r\n",
		 200},
	};
	static fixture_t fixture; /* outlives a failure */

	check_odd_requests(&fixture, odd, G_N_ELEMENTS(odd));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_size_beyond_the_memory),
		cmocka_unit_test(test_odd_time_left),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
