/* A plain server that takes long for one request, and one that has failed: what the VMs
 * tell each other of them.
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

#define VMS 4
#define SERVERS 2
#define WAIT_MS 5000

/* Time that a slow request takes: longer than a VM waits before it suspects a server that
 * has answered it nothing meanwhile.
 */
#define WORK_MS 700

/* Time after which each VM knows that a server has failed with a request of one VM. */
#define KNOWN_MS 1500

typedef struct fixture fixture_t;

/* A plain server. */
typedef struct {
	fixture_t *fixture;
	ingress_t ingress;
	char *address;
	bool has_failed; /* it answers nothing */
} stub_t;

struct fixture {
	fake_store_t store;
	char *store_address;
	support_entry_t vms[VMS];
	stub_t servers[SERVERS];
	bool work_fails; /* a server fails with the request that it gets */
	stub_t *worker; /* the server that got the request */
	exchange_t *open; /* at that server; NULL: none */
	alarm_t done; /* ends its work */
	unsigned health_checks;
	http_pool_t callers;
	unsigned status; /* of the answer to the caller */
	bool ended;
};

static const char *const server_names[SERVERS] = {"i-0", "i-1"};

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* --- the server ---------------------------------------------------------- */

static void on_done(void *context)
{
	fixture_t *fixture = context;
	http_headers_t headers;

	if (!fixture->open)
		return;
	http_headers_init(&headers);
	http_headers_add(&headers, STR("X-Response-Signature"), STR("s"));
	exchange_reply(fixture->open, 200, &headers, STR("ok"));
	http_headers_finish(&headers);
	fixture->open = NULL;
}

static void on_request(void *context, exchange_t *exchange)
{
	stub_t *server = context;
	fixture_t *fixture = server->fixture;
	const char *target = exchange_head(exchange)->target->str;
	bool is_check = g_str_equal(target, "/health");

	fixture->health_checks += is_check ? 1 : 0;
	if (!is_check) {
		fixture->worker = server;
		server->has_failed = fixture->work_fails;
	}
	if (server->has_failed)
		return;
	if (is_check) {
		exchange_reply_text(exchange, 200, 0, "ok");
		return;
	}
	fixture->open = exchange;
	alarm_set(&fixture->done, now_us() + WORK_MS * CLOCK_US_PER_MS);
}

static void on_gone(void *context, exchange_t *exchange)
{
	fixture_t *fixture = ((stub_t *)context)->fixture;

	if (fixture->open == exchange)
		fixture->open = NULL;
}

static const ingress_handler_t server_handler = {
	.on_request = on_request,
	.on_gone = on_gone,
};

/* --- VMs and caller ------------------------------------------------------ */

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
	static const char *const names[VMS] = {"vm-0", "vm-1", "vm-2", "vm-3"};
	static const char config[] =
		"{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
		"\"pathPrefix\":\"/a/\",\"kind\":\"unsafe\","
		"\"timeoutMs\":4000,\"targetLatencyMs\":300,"
		"\"service\":\"app\",\"maxAttempts\":1}],\"services\":["
		"{\"name\":\"app\",\"healthPath\":\"/health\"}]}";

	memset(fixture, 0, sizeof(*fixture));
	alarm_init(&fixture->done, clock_boottime(), on_done, fixture);
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	for (unsigned i = 0; i < SERVERS; i++) {
		stub_t *server = &fixture->servers[i];

		server->fixture = fixture;
		server->address = support_server_start(
			&server->ingress, &fixture->store, server_names[i],
			"\"service\":\"app\"", &server_handler, server);
	}
	for (unsigned i = 0; i < VMS; i++)
		support_entry_start(&fixture->vms[i], names[i],
				    fixture->store_address);
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
	assert_true(support_run_loop_until(is_ready, fixture, WAIT_MS));
}

static void stop(fixture_t *fixture)
{
	http_pool_finish(&fixture->callers);
	support_run_loop_ms(20);
	for (unsigned i = 0; i < VMS; i++)
		support_entry_stop(&fixture->vms[i]);
	alarm_finish(&fixture->done);
	for (unsigned i = 0; i < SERVERS; i++) {
		ingress_finish(&fixture->servers[i].ingress);
		g_free(fixture->servers[i].address);
	}
	fake_store_stop(&fixture->store);
	g_free(fixture->store_address);
}

static void call_on_head(void *context, const http_head_t *head)
{
	((fixture_t *)context)->status = head->status;
}

static void call_on_body(void *context, const char *data, size_t len)
{
}

static void call_on_end(void *context, call_end_t end)
{
	((fixture_t *)context)->ended = true;
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

/* Sends a request to the first VM. */
static void send_request(fixture_t *fixture)
{
	GString *message = g_string_new("POST /a/x HTTP/1.1\r\nHost: h\r\n"
					"X-Request-Id: r\r\n"
					"X-Deadline-Ms: 3000\r\n"
					"Content-Length: 0\r\n\r\n");
	http_call_options_t options = {
		.address = support_entry_address(&fixture->vms[0]),
		.message = message,
		.handler = &call_handler,
		.context = fixture,
	};

	assert_non_null(http_pool_call(&fixture->callers, &options));
	g_string_free(message, TRUE);
}

/* Returns whether all VMs suspect the server that got the request. */
static bool is_suspected(void *context)
{
	fixture_t *fixture = context;
	const char *name;

	if (!fixture->worker)
		return false;
	name = server_names[fixture->worker - fixture->servers];
	for (unsigned i = 0; i < VMS; i++) {
		const server_t *server =
			server_set_find(&fixture->vms[i].entry.servers, name);

		if (!server || !server_is_suspect(server))
			return false;
	}
	return true;
}

/* --- tests --------------------------------------------------------------- */

/* Guards against health checks from all VMs, each on a new connection, because one VM
 * has a request that takes long: the VM's own check shows that the server runs.
 */
static void test_a_slow_request_concerns_one_vm(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	send_request(&fixture);
	assert_true(support_run_loop_until(has_ended, &fixture, WAIT_MS));
	assert_int_equal(fixture.status, 200);
	assert_int_equal(fixture.health_checks, 1);
	stop(&fixture);
}

/* Guards against a server that has failed, which only the VM knows that had a request
 * there.
 */
static void test_all_know_a_failed_server(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	fixture.work_fails = true;
	send_request(&fixture);
	assert_true(support_run_loop_until(is_suspected, &fixture, KNOWN_MS));
	stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_slow_request_concerns_one_vm),
		cmocka_unit_test(test_all_know_a_failed_server),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
