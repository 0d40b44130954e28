/* What backend servers ask for in their answers: that they leave, or want nothing from
 * this VM for a time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "support_address.h"
#include "support_entry.h"
#include "support_tcp_stub.h"

#define VMS 2
#define SERVERS 2
#define WAIT_MS 5000

/* The users' bound: at most two requests reach a server from half a second after it has
 * asked for a pause until its end.
 */
#define PAUSE_SLACK_US (500 * CLOCK_US_PER_MS)
#define PAUSE_ARRIVALS 2

/* A plain server. Each answer has the status and the header fields that are set. */
typedef struct {
	ingress_t ingress;
	char *address;
	GArray *arrivals; /* int64_t, times */
	unsigned status;
	const char *field;
	const char *value;
} stub_t;

typedef struct {
	fake_store_t store;
	char *store_address;
	support_entry_t vms[VMS];
	stub_t servers[SERVERS];
	http_pool_t callers;
	unsigned open; /* requests in progress */
	unsigned status; /* of the last answer */
	double retry_after_s; /* of the last answer */
	unsigned served;
} fixture_t;

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

static void on_request(void *context, exchange_t *exchange)
{
	stub_t *server = context;
	int64_t at_us = now_us();
	http_headers_t headers;

	g_array_append_val(server->arrivals, at_us);
	http_headers_init(&headers);
	if (server->status == 200)
		http_headers_add(&headers, STR("X-Response-Signature"),
				 STR("s"));
	else
		http_headers_add(&headers, STR("X-Not-Executed"), STR("1"));
	if (server->field)
		http_headers_add(&headers, str_from(server->field),
				 str_from(server->value));
	exchange_reply(exchange, server->status, &headers, STR("ok"));
	http_headers_finish(&headers);
}

static void on_gone(void *context, exchange_t *exchange)
{
}

static const ingress_handler_t server_handler = {
	.on_request = on_request,
	.on_gone = on_gone,
};

static bool is_ready(void *context)
{
	const fixture_t *fixture = context;

	for (unsigned i = 0; i < VMS; i++) {
		const entry_t *vm = &fixture->vms[i].entry;

		if (!vm->table ||
		    server_set_count_usable(&vm->servers) != SERVERS ||
		    occupancy_live_peers(&vm->occupancy, now_us()) != VMS - 1)
			return false;
	}
	return true;
}

static void start(fixture_t *fixture)
{
	static const char config[] =
		"{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
		"\"pathPrefix\":\"/a/\",\"kind\":\"safe\",\"timeoutMs\":1500,"
		"\"targetLatencyMs\":300,\"service\":\"app\","
		"\"maxAttempts\":2}],\"services\":[{\"name\":\"app\","
		"\"healthPath\":\"/health\"}]}";

	memset(fixture, 0, sizeof(*fixture));
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	for (unsigned i = 0; i < SERVERS; i++) {
		stub_t *server = &fixture->servers[i];

		server->status = 200;
		server->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
		server->address = support_server_start(
			&server->ingress, &fixture->store, i ? "i-1" : "i-0",
			"\"service\":\"app\"", &server_handler, server);
	}
	for (unsigned i = 0; i < VMS; i++)
		support_entry_start(&fixture->vms[i], i ? "vm-1" : "vm-0",
				    fixture->store_address);
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
	assert_true(support_run_loop_until(is_ready, fixture, WAIT_MS));
}

static void stop(fixture_t *fixture)
{
	http_pool_finish(&fixture->callers);
	for (unsigned i = 0; i < VMS; i++)
		support_entry_stop(&fixture->vms[i]);
	for (unsigned i = 0; i < SERVERS; i++) {
		ingress_finish(&fixture->servers[i].ingress);
		g_array_unref(fixture->servers[i].arrivals);
		g_free(fixture->servers[i].address);
	}
	fake_store_stop(&fixture->store);
	g_free(fixture->store_address);
}

/* --- callers ------------------------------------------------------------- */

static void call_on_head(void *context, const http_head_t *head)
{
	fixture_t *fixture = context;
	str_t retry = http_headers_get(&head->headers, "retry-after");
	char *text = str_dup(retry);

	fixture->status = head->status;
	fixture->served += head->status == 200 ? 1 : 0;
	fixture->retry_after_s = g_ascii_strtod(text, NULL);
	g_free(text);
}

static void call_on_body(void *context, const char *data, size_t len)
{
}

static void call_on_end(void *context, call_end_t end)
{
	((fixture_t *)context)->open--;
}

static const call_handler_t call_handler = {
	.on_head = call_on_head,
	.on_body = call_on_body,
	.on_end = call_on_end,
};

static bool is_answered(void *context)
{
	return ((fixture_t *)context)->open == 0;
}

/* Sends a request to a VM and waits for its answer. */
static void ask(fixture_t *fixture, unsigned vm)
{
	GString *message = g_string_new("GET /a/x HTTP/1.1\r\nHost: h\r\n"
					"X-Request-Id: r\r\n"
					"X-Deadline-Ms: 1500\r\n\r\n");
	http_call_options_t options = {
		.address = support_entry_address(&fixture->vms[vm]),
		.message = message,
		.handler = &call_handler,
		.context = fixture,
	};

	fixture->open++;
	assert_non_null(http_pool_call(&fixture->callers, &options));
	g_string_free(message, TRUE);
	assert_true(support_run_loop_until(is_answered, fixture, WAIT_MS));
}

/* Sends requests to a VM, 10 ms apart, until a time. */
static void ask_until(fixture_t *fixture, unsigned vm, int64_t until_us)
{
	while (now_us() < until_us) {
		ask(fixture, vm);
		support_run_loop_ms(10);
	}
}

/* Sends requests until a server has got one more. Returns when it came. */
static int64_t await_arrival(fixture_t *fixture, unsigned vm, stub_t *server)
{
	guint before = server->arrivals->len;

	for (unsigned i = 0; i < 100 && server->arrivals->len == before; i++)
		ask(fixture, vm);
	assert_true(server->arrivals->len > before);
	return g_array_index(server->arrivals, int64_t, before);
}

static unsigned count_arrivals(const stub_t *server, int64_t from_us,
			       int64_t until_us)
{
	unsigned n = 0;

	for (guint i = 0; i < server->arrivals->len; i++) {
		int64_t at_us = g_array_index(server->arrivals, int64_t, i);

		n += at_us >= from_us && at_us < until_us ? 1 : 0;
	}
	return n;
}

/* --- tests --------------------------------------------------------------- */

/* Guards against requests to a server that has said in an answer that it leaves, while
 * the list does not show it, from the VM that passed the answer on and from others.
 */
static void test_leaving_server_gets_no_requests(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	stub_t *server = &fixture.servers[0];
	int64_t said_us;

	start(&fixture);
	server->field = "Server-Leaving";
	server->value = "1";
	said_us = await_arrival(&fixture, 0, server);
	support_run_loop_ms(300);
	ask_until(&fixture, 0, now_us() + CLOCK_US_PER_S);
	ask_until(&fixture, 1, now_us() + CLOCK_US_PER_S);
	assert_int_equal(count_arrivals(server, said_us + 1, INT64_MAX), 0);
	assert_int_equal(fixture.status, 200);
	stop(&fixture);
}

/* Guards against requests to a server that wants none for a time, and against one that
 * is not used again afterwards.
 */
static void test_paused_server_gets_no_requests(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	stub_t *server = &fixture.servers[0];
	int64_t said_us, until_us;

	start(&fixture);
	server->status = 503;
	server->field = "Retry-After";
	server->value = "1.6";
	said_us = await_arrival(&fixture, 0, server);
	server->status = 200;
	server->field = NULL;
	until_us = said_us + 1600 * CLOCK_US_PER_MS;
	ask_until(&fixture, 0, until_us);
	assert_true(count_arrivals(server, said_us + PAUSE_SLACK_US,
				   until_us) <= PAUSE_ARRIVALS);
	(void)await_arrival(&fixture, 0, server);
	stop(&fixture);
}

/* Guards against callers that wait although all servers want no requests, and against
 * a time to come back that is not the shortest of theirs.
 */
static void test_all_servers_pause(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	int64_t asked_us;

	start(&fixture);
	for (unsigned i = 0; i < SERVERS; i++) {
		fixture.servers[i].status = 503;
		fixture.servers[i].field = "Retry-After";
		fixture.servers[i].value = i ? "9" : "3";
	}
	for (unsigned i = 0; i < SERVERS; i++)
		ask(&fixture, 0);
	asked_us = now_us();
	ask(&fixture, 0);
	assert_int_equal(fixture.status, 503);
	assert_true(now_us() - asked_us < 200 * CLOCK_US_PER_MS);
	assert_true(fixture.retry_after_s > 2 && fixture.retry_after_s <= 3);
	stop(&fixture);
}

/* Guards against a server that is not used again as its value cannot be meant. */
static void test_values_without_meaning(void **state)
{
	static const char *const values[] = {
		"-1", "soon", "", "Wed, 21 Oct 2026 07:28:00 GMT", "nan",
	};
	static fixture_t fixture; /* outlives a failure */
	stub_t *server = &fixture.servers[0];

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		start(&fixture);
		server->status = 503;
		server->field = "Retry-After";
		server->value = values[i];
		(void)await_arrival(&fixture, 0, server);
		server->status = 200;
		server->field = NULL;
		(void)await_arrival(&fixture, 0, server);
		stop(&fixture);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_leaving_server_gets_no_requests),
		cmocka_unit_test(test_paused_server_gets_no_requests),
		cmocka_unit_test(test_all_servers_pause),
		cmocka_unit_test(test_values_without_meaning),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
