/* Links to servers that pass nothing any more, beneath TCP, while safe requests wait at one
 * of two servers. The VM is a process of its own.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include <linux/filter.h>
#include <sys/socket.h>

#include "connection/http_pool.h"
#include "connection/ingress_connection.h"
#include "names.h"
#include "support_address.h"
#include "support_entry.h"
#include "support_store.h"
#include "support_tcp_stub.h"
#include "support_vm_process.h"

#define WAIT_MS 15000
#define SHUTDOWN_LIMIT_S 5
#define SERVERS 2

/* A server has lost power: its request is at the other one by then, well before its deadline
 * of 9 s.
 */
#define MOVED_MS 4000

/* How long a server works before its link is dead, less than the time after which a server
 * that has answered nothing counts as silent.
 */
#define WORK_MS 100

/* What the server has sent before its link is dead. */
typedef enum { SENT_NOTHING, SENT_OTHER_ANSWER, SENT_HEAD } sent_t;

typedef struct fixture fixture_t;

typedef struct {
	fixture_t *fixture;
	ingress_t ingress;
	char *address;
} backend_t;

struct fixture {
	fake_store_t store;
	char *store_address;
	backend_t servers[SERVERS];
	vm_process_t vm;
	http_pool_t callers;
	sent_t sent;
	backend_t *holder; /* of the first request for "/s/hold" */
	exchange_t *held;
	unsigned ended, served;
	unsigned status; /* of the last answer */
};

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* --- servers ------------------------------------------------------------- */

static void drop_all(int fd)
{
	struct sock_filter drop = {.code = BPF_RET | BPF_K, .k = 0};
	struct sock_fprog program = {.len = 1, .filter = &drop};

	assert_int_equal(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
				    sizeof(program)),
			 0);
}

/* Makes the kernel drop all segments that come to a server from now on. */
static void cut_links(backend_t *server)
{
	drop_all(server->ingress.fd);
	for (GList *link = server->ingress.connections.head; link;
	     link = link->next)
		drop_all(((ingress_connection_t *)link->data)->tcp.fd);
}

static void add_fields(const exchange_t *exchange, http_headers_t *headers)
{
	str_t id = http_headers_get(&exchange_head(exchange)->headers,
				    "x-request-id");

	http_headers_init(headers);
	if (id.len)
		http_headers_add(headers, STR("X-Request-Id"), id);
	http_headers_add(headers, STR("X-Response-Signature"), STR("s"));
}

static void on_request(void *context, exchange_t *exchange)
{
	backend_t *server = context;
	fixture_t *fixture = server->fixture;
	const char *target = exchange_head(exchange)->target->str;
	http_headers_t headers;

	add_fields(exchange, &headers);
	if (!g_str_has_prefix(target, "/s/hold") || fixture->holder) {
		exchange_reply(exchange, 200, &headers,
			       STR("{\"busy\":false,\"sequence\":0}"));
		http_headers_finish(&headers);
		return;
	}
	fixture->holder = server;
	fixture->held = exchange;
	if (fixture->sent == SENT_HEAD) {
		exchange_start_stream(exchange, 200, &headers);
		exchange_write(exchange, "a", 1);
	}
	http_headers_finish(&headers);
}

static void on_gone(void *context, exchange_t *exchange)
{
	backend_t *server = context;

	if (server->fixture->held == exchange)
		server->fixture->held = NULL;
}

static const ingress_handler_t handler = {
	.on_request = on_request,
	.on_gone = on_gone,
};

/* --- callers ------------------------------------------------------------- */

static void call_on_head(void *context, const http_head_t *head)
{
	((fixture_t *)context)->status = head->status;
}

static void call_on_body(void *context, const char *data, size_t len)
{
}

static void call_on_end(void *context, call_end_t end)
{
	fixture_t *fixture = context;

	fixture->ended++;
	fixture->served += end == CALL_ANSWERED && fixture->status == 200;
}

static const call_handler_t call_handler = {
	.on_head = call_on_head,
	.on_body = call_on_body,
	.on_end = call_on_end,
};

static void ask(fixture_t *fixture, const char *path)
{
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = fixture->vm.callers_address,
		.message = message,
		.new_connection = true,
		.handler = &call_handler,
		.context = fixture,
	};

	g_string_printf(message,
			"GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%d\r\n"
			"X-Deadline-Ms: 14000\r\n\r\n",
			path, g_random_int_range(0, G_MAXINT));
	assert_non_null(http_pool_call(&fixture->callers, &options));
	g_string_free(message, TRUE);
}

static bool has_ended(void *context)
{
	return ((fixture_t *)context)->ended > 0;
}

static bool is_held(void *context)
{
	return ((fixture_t *)context)->holder != NULL;
}

/* --- fixture ------------------------------------------------------------- */

static void await_served(fixture_t *fixture)
{
	for (unsigned i = 0; i < 200 && fixture->served < 20; i++) {
		fixture->ended = 0;
		ask(fixture, "/s/x");
		assert_true(
			support_run_loop_until(has_ended, fixture, WAIT_MS));
		support_run_loop_ms(20);
	}
	assert_int_equal(fixture->served, 20);
}

static void start(fixture_t *fixture, sent_t sent)
{
	static const char config[] =
		"{\"version\":1,\"routes\":["
		"{\"name\":\"s\",\"host\":\"h\",\"pathPrefix\":\"/s/\","
		"\"kind\":\"safe\",\"timeoutMs\":9000,\"service\":\"app\","
		"\"maxAttempts\":2}],"
		"\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\"}]}";

	memset(fixture, 0, sizeof(*fixture));
	fixture->sent = sent;
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	for (unsigned i = 0; i < SERVERS; i++) {
		backend_t *server = &fixture->servers[i];
		char *id = g_strdup_printf("i-%u", i);

		server->fixture = fixture;
		server->address = support_server_start(&server->ingress,
						       &fixture->store, id,
						       "\"service\":\"app\"",
						       &handler, server);
		g_free(id);
	}
	vm_process_start(&fixture->vm, "vm-0", fixture->store_address,
			 SHUTDOWN_LIMIT_S);
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
	await_served(fixture);
}

static void finish(fixture_t *fixture)
{
	http_pool_finish(&fixture->callers);
	vm_process_finish(&fixture->vm);
	for (unsigned i = 0; i < SERVERS; i++) {
		ingress_finish(&fixture->servers[i].ingress);
		g_free(fixture->servers[i].address);
	}
	fake_store_stop(&fixture->store);
	g_free(fixture->store_address);
}

/* --- tests --------------------------------------------------------------- */

/* Sends a safe request to a server whose link is dead soon after. Returns whether the other
 * server has answered it in time.
 */
static bool is_moved(sent_t sent)
{
	static fixture_t fixture; /* outlives a failure */
	int64_t begun_us;
	bool moved;

	start(&fixture, sent);
	ask(&fixture, "/s/hold");
	assert_true(support_run_loop_until(is_held, &fixture, WAIT_MS));
	/* Without load at the holder the next requests go to both servers. */
	if (sent == SENT_OTHER_ANSWER)
		for (unsigned i = 0; i < 20; i++)
			ask(&fixture, "/s/x");
	support_run_loop_ms(WORK_MS);
	cut_links(fixture.holder);
	begun_us = now_us();
	fixture.ended = fixture.served = 0;
	(void)support_run_loop_until(has_ended, &fixture, WAIT_MS);
	moved = fixture.served == 1 &&
		now_us() - begun_us < MOVED_MS * CLOCK_US_PER_MS;
	print_message("sent %d: status %u after %d ms\n", sent, fixture.status,
		      (int)((now_us() - begun_us) / CLOCK_US_PER_MS));
	finish(&fixture);
	return moved;
}

/* Guards against a safe request that is not moved from a server that answers nothing. */
static void test_nothing_sent(void **state)
{
	assert_true(is_moved(SENT_NOTHING));
}

/* Guards against a safe request that waits for a dead link to its deadline, because its
 * server has answered another request since it was sent.
 */
static void test_other_answer_sent(void **state)
{
	assert_true(is_moved(SENT_OTHER_ANSWER));
}

/* Guards against the same because the head of its answer has come. */
static void test_head_sent(void **state)
{
	assert_true(is_moved(SENT_HEAD));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_sent),
		cmocka_unit_test(test_other_answer_sent),
		cmocka_unit_test(test_head_sent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
