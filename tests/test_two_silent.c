/* Repeatable plain requests that meet a server whose link is silent for a second or so, while
 * the other server of the service is silent too, refuses them or cannot be reached.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "support_address.h"
#include "support_entry.h"
#include "support_link.h"
#include "support_tcp_stub.h"

#define WAIT_MS 8000
#define SERVERS 2

/* Silences of sound servers last a second or so. */
#define SILENT_MS 1300

/* Deadline of the requests, and how much later one may end. */
#define DEADLINE_MS 5000
#define SHORT_DEADLINE_MS 1500
#define END_SLACK_MS 500

/* An answer that waits for no silent server comes within this time, one that a silent server
 * was tried for before within the second.
 */
#define AT_ONCE_MS 200
#define AFTER_SILENCE_MS 700

/* A check of a server's health ends within this time. */
#define CHECK_MS 600

/* Requests that are in progress together, and the share of failures that one failure makes. */
#define MANY 20
#define SHARE_OF_ONE_FAILURE 0.08

/* What a server does with a request. */
typedef enum {
	ANSWERS,
	REFUSES, /* says that it does not run it */
	FAILS, /* with an error of its own */
} way_t;

typedef struct {
	ingress_t ingress;
	char *address;
	way_t way;
	unsigned requests;
} server_stub_t;

typedef struct {
	fake_store_t store;
	char *store_address;
	support_entry_t vm;
	server_stub_t servers[SERVERS];
	bool link_up[SERVERS];
	alarm_t heal; /* ends the silence */
	http_pool_t callers;
	GString *body; /* of the answer to the caller */
	unsigned sent; /* requests of the caller */
	unsigned status;
	unsigned answers;
	unsigned many_ended; /* requests that were sent at once */
	int64_t sent_us, ended_us;
	bool ended;
	call_end_t end;
} fixture_t;

static const char *const server_names[SERVERS] = {"i-0", "i-1"};

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* --- servers ------------------------------------------------------------- */

static void server_on_request(void *context, exchange_t *exchange)
{
	server_stub_t *server = context;
	const http_head_t *head = exchange_head(exchange);
	http_headers_t headers;

	http_headers_init(&headers);
	http_headers_add(&headers, STR("X-Request-Id"),
			 http_headers_get(&head->headers, "x-request-id"));
	if (g_str_has_prefix(head->target->str, "/health")) {
		exchange_reply(exchange, 200, &headers, STR("ok"));
	} else if (server->way == REFUSES) {
		http_headers_add(&headers, STR("X-Not-Executed"), STR("1"));
		exchange_reply(exchange, 503, &headers, STR(""));
	} else {
		server->requests++;
		http_headers_add(&headers, STR("X-Response-Signature"),
				 STR("s"));
		exchange_reply(exchange, server->way == FAILS ? 500 : 200,
			       &headers, STR("whole"));
	}
	http_headers_finish(&headers);
}

static void server_on_gone(void *context, exchange_t *exchange)
{
}

static const ingress_handler_t server_handler = {
	.on_request = server_on_request,
	.on_gone = server_on_gone,
};

static void set_link(fixture_t *fixture, unsigned i, bool up)
{
	if (fixture->link_up[i] != up)
		support_link_set(&fixture->servers[i].ingress, up);
	fixture->link_up[i] = up;
}

static void on_heal(void *context)
{
	for (unsigned i = 0; i < SERVERS; i++)
		set_link(context, i, true);
}

/* --- the caller ---------------------------------------------------------- */

static void call_on_head(void *context, const http_head_t *head)
{
	fixture_t *fixture = context;

	fixture->status = head->status;
	fixture->answers++;
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

/* Sends a request and waits for the end of its answer. */
static void ask(fixture_t *fixture, const char *line, unsigned deadline_ms)
{
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = support_entry_address(&fixture->vm),
		.message = message,
		.handler = &call_handler,
		.context = fixture,
	};

	fixture->ended = false;
	fixture->status = 0;
	fixture->answers = 0;
	g_string_truncate(fixture->body, 0);
	g_string_printf(message,
			"%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%u\r\n"
			"X-Deadline-Ms: %u\r\nContent-Length: 0\r\n\r\n",
			line, fixture->sent++, deadline_ms);
	fixture->sent_us = now_us();
	assert_non_null(http_pool_call(&fixture->callers, &options));
	g_string_free(message, TRUE);
	assert_true(support_run_loop_until(has_ended, fixture, WAIT_MS));
}

static void one_of_many_on_head(void *context, const http_head_t *head)
{
	if (head->status == 200)
		((fixture_t *)context)->answers++;
}

static void one_of_many_on_body(void *context, const char *data, size_t len)
{
}

static void one_of_many_on_end(void *context, call_end_t end)
{
	((fixture_t *)context)->many_ended++;
}

static const call_handler_t one_of_many_handler = {
	.on_head = one_of_many_on_head,
	.on_body = one_of_many_on_body,
	.on_end = one_of_many_on_end,
};

static bool have_many_ended(void *context)
{
	return ((fixture_t *)context)->many_ended == MANY;
}

/* Sends requests at once, each on a connection of its own, and waits for all answers. */
static void ask_many(fixture_t *fixture)
{
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = support_entry_address(&fixture->vm),
		.message = message,
		.new_connection = true,
		.handler = &one_of_many_handler,
		.context = fixture,
	};

	fixture->many_ended = 0;
	fixture->answers = 0;
	for (unsigned i = 0; i < MANY; i++) {
		g_string_printf(message,
				"GET /s/x HTTP/1.1\r\nHost: h\r\n"
				"X-Request-Id: r%u\r\nX-Deadline-Ms: %u\r\n"
				"Content-Length: 0\r\n\r\n",
				fixture->sent++, DEADLINE_MS);
		assert_non_null(http_pool_call(&fixture->callers, &options));
	}
	g_string_free(message, TRUE);
	assert_true(support_run_loop_until(have_many_ended, fixture, WAIT_MS));
}

static int took_ms(const fixture_t *fixture)
{
	return (int)((fixture->ended_us - fixture->sent_us) / CLOCK_US_PER_MS);
}

/* --- fixture ------------------------------------------------------------- */

static bool is_ready(void *context)
{
	const entry_t *vm = &((fixture_t *)context)->vm.entry;

	return vm->table && server_set_count_usable(&vm->servers) == SERVERS;
}

static void start(fixture_t *fixture)
{
	static const char config[] =
		"{\"version\":1,\"routes\":[{\"name\":\"s\",\"host\":\"h\","
		"\"pathPrefix\":\"/s/\",\"kind\":\"safe\","
		"\"timeoutMs\":5000,\"service\":\"app\",\"maxAttempts\":2},"
		"{\"name\":\"u\",\"host\":\"h\",\"pathPrefix\":\"/u/\","
		"\"kind\":\"unsafe\",\"timeoutMs\":5000,"
		"\"service\":\"app\",\"maxAttempts\":2}],"
		"\"services\":[{\"name\":\"app\","
		"\"healthPath\":\"/health\"}]}";

	memset(fixture, 0, sizeof(*fixture));
	fixture->body = g_string_new(NULL);
	alarm_init(&fixture->heal, clock_boottime(), on_heal, fixture);
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	for (unsigned i = 0; i < SERVERS; i++) {
		server_stub_t *server = &fixture->servers[i];

		fixture->link_up[i] = true;
		server->address = support_server_start(
			&server->ingress, &fixture->store, server_names[i],
			"\"service\":\"app\"", &server_handler, server);
	}
	support_entry_start(&fixture->vm, "vm-0", fixture->store_address);
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
	assert_true(support_run_loop_until(is_ready, fixture, WAIT_MS));
}

static server_t *known_server(fixture_t *fixture, unsigned i)
{
	server_t *server =
		server_set_find(&fixture->vm.entry.servers, server_names[i]);

	assert_non_null(server);
	return server;
}

static void stop(fixture_t *fixture)
{
	on_heal(fixture);
	http_pool_finish(&fixture->callers);
	/* No check of a server is in progress when the VM ends. */
	for (unsigned i = 0; i < SERVERS; i++)
		known_server(fixture, i)->suspect_since_us = 0;
	support_run_loop_ms(CHECK_MS);
	support_entry_stop(&fixture->vm);
	alarm_finish(&fixture->heal);
	for (unsigned i = 0; i < SERVERS; i++) {
		if (fixture->servers[i].address)
			ingress_finish(&fixture->servers[i].ingress);
		g_free(fixture->servers[i].address);
	}
	fake_store_stop(&fixture->store);
	g_string_free(fixture->body, TRUE);
	g_free(fixture->store_address);
}

/* Makes the VM trust both servers and keep a connection to each. Returns which one it sends
 * the next request to.
 */
static unsigned prepare(fixture_t *fixture)
{
	for (unsigned i = 0; i < SERVERS; i++) {
		set_link(fixture, i, true);
		fixture->servers[i].way = ANSWERS;
	}
	assert_true(support_run_loop_until(is_ready, fixture, WAIT_MS));
	for (unsigned i = 0; i < SERVERS; i++) {
		server_t *server = known_server(fixture, i);

		/* Earlier failures would decide which one is first. */
		server->failure_share = 0;
		server->reported_us = 0;
	}
	for (unsigned i = 0; i < SERVERS; i++) {
		ask(fixture, "GET /s/x", DEADLINE_MS);
		assert_int_equal(fixture->status, 200);
	}
	for (unsigned i = 0; i < SERVERS; i++)
		fixture->servers[i].requests = 0;
	return known_server(fixture, 0)->last_sent_us <
			       known_server(fixture, 1)->last_sent_us
		       ? 0
		       : 1;
}

static void close_connections(fixture_t *fixture, unsigned i)
{
	http_pool_close_idle(&fixture->vm.entry.server_pool,
			     fixture->servers[i].address);
}

/* Cuts the link to a server for a second or so. */
static void silence(fixture_t *fixture, unsigned i)
{
	set_link(fixture, i, false);
	alarm_set(&fixture->heal, now_us() + SILENT_MS * CLOCK_US_PER_MS);
}

static void assert_answered(const fixture_t *fixture, unsigned status,
			    int limit_ms)
{
	print_message("%u after %d ms, %u and %u requests at the servers\n",
		      fixture->status, took_ms(fixture),
		      fixture->servers[0].requests,
		      fixture->servers[1].requests);
	assert_int_equal(fixture->status, status);
	assert_int_equal(fixture->end, CALL_ANSWERED);
	assert_int_equal(fixture->answers, 1);
	if (status == 200)
		assert_string_equal(fixture->body->str, "whole");
	assert_true(took_ms(fixture) < limit_ms);
}

/* --- tests --------------------------------------------------------------- */

/* Guards against an error for a request whose first server is silent for a second, because
 * the second one, silent as well, cannot be connected to meanwhile.
 */
static void test_second_is_silent_too(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	unsigned first;

	start(&fixture);
	first = prepare(&fixture);
	close_connections(&fixture, 1 - first);
	for (unsigned i = 0; i < SERVERS; i++)
		silence(&fixture, i);
	ask(&fixture, "GET /s/x", DEADLINE_MS);
	assert_answered(&fixture, 200, DEADLINE_MS);
	stop(&fixture);
}

/* Guards against an error for such a request because the second server refuses it. */
static void test_second_refuses(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	unsigned first;

	start(&fixture);
	first = prepare(&fixture);
	fixture.servers[1 - first].way = REFUSES;
	silence(&fixture, first);
	ask(&fixture, "GET /s/x", DEADLINE_MS);
	assert_answered(&fixture, 200, DEADLINE_MS);
	stop(&fixture);
}

/* Guards against an answer that says that the request may have run when neither server was
 * connected to, and against one that comes late.
 */
static void test_neither_is_connected(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	(void)prepare(&fixture);
	for (unsigned i = 0; i < SERVERS; i++) {
		close_connections(&fixture, i);
		silence(&fixture, i);
	}
	ask(&fixture, "GET /s/x", DEADLINE_MS);
	assert_answered(&fixture, 503, AFTER_SILENCE_MS);
	stop(&fixture);
}

/* Guards against a request that waits for its silent server although the other one has
 * answered it, and against a second answer when the silent server goes on.
 */
static void test_second_answers(void **state)
{
	static const way_t ways[] = {ANSWERS, FAILS};
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
		unsigned first = prepare(&fixture);

		fixture.servers[1 - first].way = ways[i];
		silence(&fixture, first);
		ask(&fixture, "GET /s/x", DEADLINE_MS);
		assert_answered(&fixture, ways[i] == ANSWERS ? 200 : 500,
				AFTER_SILENCE_MS);
		support_run_loop_ms(2 * SILENT_MS);
		assert_int_equal(fixture.answers, 1);
		assert_int_equal(fixture.servers[1 - first].requests, 1);
		assert_in_range(fixture.servers[first].requests, 0, 1);
	}
	stop(&fixture);
}

/* Guards against a request that has no answer at its deadline. */
static void test_deadline_in_the_silence(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	(void)prepare(&fixture);
	for (unsigned i = 0; i < SERVERS; i++)
		silence(&fixture, i);
	alarm_set(&fixture.heal, -1);
	ask(&fixture, "GET /s/x", SHORT_DEADLINE_MS);
	assert_answered(&fixture, 504, SHORT_DEADLINE_MS + END_SLACK_MS);
	stop(&fixture);
}

/* Guards against a request that may not be repeated and is sent to a second server. */
static void test_unsafe_request_runs_once(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	silence(&fixture, prepare(&fixture));
	ask(&fixture, "POST /u/x", DEADLINE_MS);
	assert_answered(&fixture, 200, DEADLINE_MS);
	support_run_loop_ms(2 * SILENT_MS);
	assert_int_equal(
		fixture.servers[0].requests + fixture.servers[1].requests, 1);
	stop(&fixture);
}

/* Guards against a wait for servers that refuse connections. */
static void test_closed_servers(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	unsigned first;

	start(&fixture);
	first = prepare(&fixture);
	ingress_finish(&fixture.servers[first].ingress);
	g_clear_pointer(&fixture.servers[first].address, g_free);
	ask(&fixture, "GET /s/x", DEADLINE_MS);
	assert_answered(&fixture, 200, AT_ONCE_MS);
	ingress_finish(&fixture.servers[1 - first].ingress);
	g_clear_pointer(&fixture.servers[1 - first].address, g_free);
	ask(&fixture, "GET /s/x", DEADLINE_MS);
	assert_answered(&fixture, 503, AT_ONCE_MS);
	memset(fixture.link_up, true, sizeof(fixture.link_up));
	stop(&fixture);
}

/* Guards against a sound server that counts as failing because many requests were in progress
 * at it in the one second in which it was silent: each would count as a failure, and nothing
 * but requests, which it then does not get, would withdraw that.
 */
static void test_one_silence_is_one_failure(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	unsigned first;
	double share;

	start(&fixture);
	first = prepare(&fixture);
	silence(&fixture, first);
	ask_many(&fixture);
	assert_int_equal(fixture.answers, MANY);
	share = known_server(&fixture, first)->failure_share;
	print_message("share of failures after the silence: %.3f\n", share);
	assert_true(share > 0);
	assert_true(share <= SHARE_OF_ONE_FAILURE * 1.001);
	support_run_loop_ms(SILENT_MS);
	stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_second_is_silent_too),
		cmocka_unit_test(test_second_refuses),
		cmocka_unit_test(test_neither_is_connected),
		cmocka_unit_test(test_second_answers),
		cmocka_unit_test(test_deadline_in_the_silence),
		cmocka_unit_test(test_unsafe_request_runs_once),
		cmocka_unit_test(test_closed_servers),
		cmocka_unit_test(test_one_silence_is_one_failure),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
