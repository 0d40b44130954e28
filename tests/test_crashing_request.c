/* A request to a plain service that crashes each server which begins to run it
 * and comes again at other VMs, beside sound requests. Several VMs share one main
 * loop.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "support_address.h"
#include "support_entry.h"
#include "support_store.h"
#include "support_tcp_stub.h"

#define VMS 4
#define SERVERS 3
#define MAX_CALLS 2000

/* From the begin of the request until its server ends, and from then until the
 * server is back; the time that a sound request takes.
 */
#define CRASH_DELAY_US (40 * CLOCK_US_PER_MS)
#define RESTART_US (700 * CLOCK_US_PER_MS)
#define WORK_US (30 * CLOCK_US_PER_MS)

/* Time between two requests, of which each SICK_EACH is the one that crashes
 * servers.
 */
#define REQUEST_GAP_US (40 * CLOCK_US_PER_MS)
#define SICK_EACH 5

/* The users' bound: so many times may the request reach servers later than this
 * time after it has crashed so many.
 */
#define COUNTED_CRASHES 3
#define STABLE_US (3 * CLOCK_US_PER_S)
#define ALLOWED_LATER 3

typedef struct fixture fixture_t;
typedef struct server server_stub_t;

/* One request that a server runs. */
typedef struct {
	server_stub_t *server;
	exchange_t *exchange;
	alarm_t done;
} run_t;

/* A server's place. The process there may end and start again. */
struct server {
	fixture_t *fixture;
	ingress_t ingress;
	char *address; /* NULL: no process */
	char *id;
	GQueue runs; /* of run_t */
	alarm_t crash;
	alarm_t restart;
};

/* One request of a caller. */
typedef struct {
	fixture_t *fixture;
	bool sick;
	bool counted; /* sent while the users' bound holds */
	unsigned status;
} call_t;

struct fixture {
	fake_store_t store;
	char *store_address;
	support_entry_t vms[VMS];
	server_stub_t servers[SERVERS];
	unsigned starts; /* of servers */
	http_pool_t callers;
	call_t calls[MAX_CALLS];
	unsigned sent;
	unsigned sound_sent, sound_served; /* after the bound holds */
	unsigned sick_later; /* that reached a server after the bound holds */
	unsigned crashes;
	int64_t bound_from_us; /* 0: fewer than COUNTED_CRASHES */
	const char *sick_caller; /* the only one whose request crashes servers;
				    NULL: all */
	alarm_t next;
};

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* Returns whether the users' bound holds now. */
static bool is_bound(const fixture_t *fixture)
{
	return fixture->bound_from_us && now_us() >= fixture->bound_from_us;
}

/* --- servers ------------------------------------------------------------- */

static bool is_sick(const fixture_t *fixture, const exchange_t *exchange)
{
	str_t caller = http_headers_get(&exchange_head(exchange)->headers,
					"authorization");

	return str_equal(exchange_body(exchange), STR("sick")) &&
	       (!fixture->sick_caller ||
		str_equal(caller, str_from(fixture->sick_caller)));
}

static void free_run(run_t *run)
{
	alarm_finish(&run->done);
	g_free(run);
}

static void on_done(void *context)
{
	run_t *run = context;
	server_stub_t *server = run->server;
	http_headers_t headers;

	http_headers_init(&headers);
	http_headers_add(&headers, STR("X-Response-Signature"),
			 str_from(server->id));
	http_headers_add(&headers, STR("Keep-Alive"), STR("timeout=5"));
	g_queue_remove(&server->runs, run);
	exchange_reply(run->exchange, 200, &headers, STR("ok"));
	http_headers_finish(&headers);
	free_run(run);
}

static void server_on_request(void *context, exchange_t *exchange)
{
	server_stub_t *server = context;
	fixture_t *fixture = server->fixture;
	run_t *run;

	if (g_str_equal(exchange_head(exchange)->method->str, "GET")) {
		exchange_reply_text(exchange, 200, 0, "healthy");
		return;
	}
	run = g_new0(run_t, 1);
	run->server = server;
	run->exchange = exchange;
	exchange_set_context(exchange, run);
	g_queue_push_tail(&server->runs, run);
	alarm_init(&run->done, clock_boottime(), on_done, run);
	if (!is_sick(fixture, exchange)) {
		alarm_set(&run->done, now_us() + WORK_US);
		return;
	}
	fixture->sick_later += is_bound(fixture) ? 1 : 0;
	if (server->crash.at_us < 0)
		alarm_set(&server->crash, now_us() + CRASH_DELAY_US);
}

static void server_on_gone(void *context, exchange_t *exchange)
{
	server_stub_t *server = context;
	run_t *run = exchange_context(exchange);

	if (!run)
		return;
	g_queue_remove(&server->runs, run);
	free_run(run);
}

static const ingress_handler_t server_handler = {
	.on_request = server_on_request,
	.on_gone = server_on_gone,
};

/* Starts a process at a server's place, with a new ID and address. */
static void start_server(void *context)
{
	server_stub_t *server = context;
	fixture_t *fixture = server->fixture;

	g_free(server->id);
	server->id = g_strdup_printf("i-%u", fixture->starts++);
	server->address = support_server_start(&server->ingress,
					       &fixture->store, server->id,
					       "\"service\":\"app\"",
					       &server_handler, server);
}

/* Cuts the requests that a server runs. */
static void abort_runs(server_stub_t *server)
{
	run_t *run;

	while ((run = g_queue_pop_head(&server->runs))) {
		exchange_abort(run->exchange);
		free_run(run);
	}
}

/* Ends the process at a server's place, with the requests that it runs. */
static void on_crash(void *context)
{
	server_stub_t *server = context;
	fixture_t *fixture = server->fixture;

	abort_runs(server);
	ingress_finish(&server->ingress);
	g_clear_pointer(&server->address, g_free);
	fake_store_remove(&fixture->store, TABLE_SERVERS, server->id);
	if (++fixture->crashes == COUNTED_CRASHES)
		fixture->bound_from_us = now_us() + STABLE_US;
	alarm_set(&server->restart, now_us() + RESTART_US);
}

static void init_server(fixture_t *fixture, size_t i)
{
	server_stub_t *server = &fixture->servers[i];

	server->fixture = fixture;
	g_queue_init(&server->runs);
	alarm_init(&server->crash, clock_boottime(), on_crash, server);
	alarm_init(&server->restart, clock_boottime(), start_server, server);
	start_server(server);
}

static void finish_server(server_stub_t *server)
{
	alarm_finish(&server->crash);
	alarm_finish(&server->restart);
	abort_runs(server);
	if (server->address)
		ingress_finish(&server->ingress);
	g_free(server->address);
	g_free(server->id);
}

/* --- callers ------------------------------------------------------------ */

static void call_on_head(void *context, const http_head_t *head)
{
	call_t *call = context;

	call->status = head->status;
}

static void call_on_body(void *context, const char *data, size_t len)
{
}

static void call_on_end(void *context, call_end_t end)
{
	call_t *call = context;

	if (call->counted && end == CALL_ANSWERED && call->status == 200)
		call->fixture->sound_served++;
}

static const call_handler_t call_handler = {
	.on_head = call_on_head,
	.on_body = call_on_body,
	.on_end = call_on_end,
};

/* Sends one request; each SICK_EACH-th is the one that crashes servers. Where
 * only one caller's does, another caller's follows it.
 */
static void on_next(void *context)
{
	fixture_t *fixture = context;
	unsigned n = fixture->sent++;
	call_t *call = &fixture->calls[n];
	bool same = n % SICK_EACH == 0 ||
		    (fixture->sick_caller && n % SICK_EACH == 1);
	char *body = same ? g_strdup("sick") : g_strdup_printf("sound %u", n);
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = support_entry_address(&fixture->vms[n % VMS]),
		.message = message,
		.handler = &call_handler,
		.context = call,
	};

	assert_true(fixture->sent < MAX_CALLS);
	*call = (call_t){.fixture = fixture, .sick = n % SICK_EACH == 0};
	call->counted = !call->sick && is_bound(fixture);
	fixture->sound_sent += call->counted ? 1 : 0;
	g_string_printf(message,
			"POST /p/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%u\r\n"
			"X-Deadline-Ms: 1500\r\nAuthorization: %s\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			n, call->sick ? "sick" : "sound", strlen(body), body);
	assert_non_null(http_pool_call(&fixture->callers, &options));
	g_string_free(message, TRUE);
	g_free(body);
	alarm_set(&fixture->next, now_us() + REQUEST_GAP_US);
}

/* --- VMs ----------------------------------------------------------------- */

static void put_config(fixture_t *fixture, const char *kind)
{
	char *config = g_strdup_printf(
		"{\"version\":1,\"routes\":[{\"name\":\"p\",\"host\":\"h\","
		"\"pathPrefix\":\"/p/\",\"kind\":\"%s\",\"timeoutMs\":1500,"
		"\"targetLatencyMs\":300,\"service\":\"app\","
		"\"maxAttempts\":2}],\"services\":[{\"name\":\"app\","
		"\"healthPath\":\"/health\"}]}",
		kind);

	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	g_free(config);
}

static bool are_ready(void *context)
{
	const fixture_t *fixture = context;

	for (size_t i = 0; i < VMS; i++) {
		const entry_t *vm = &fixture->vms[i].entry;

		if (!vm->table || vm->vm_count < VMS ||
		    server_set_count_usable(&vm->servers) < 1)
			return false;
	}
	return true;
}

/* Starts the store, the servers and the VMs, then the callers. */
static fixture_t *start(const char *kind, const char *sick_caller)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->sick_caller = sick_caller;
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	put_config(fixture, kind);
	for (size_t i = 0; i < SERVERS; i++)
		init_server(fixture, i);
	for (size_t i = 0; i < VMS; i++) {
		char *name = g_strdup_printf("vm-%zu", i);

		support_entry_start(&fixture->vms[i], name,
				    fixture->store_address);
		g_free(name);
	}
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
	assert_true(support_run_loop_until(are_ready, fixture, 5000));
	alarm_init(&fixture->next, clock_boottime(), on_next, fixture);
	alarm_set(&fixture->next, now_us());
	return fixture;
}

static void stop(fixture_t *fixture)
{
	alarm_finish(&fixture->next);
	support_run_loop_ms(1600); /* until all calls have ended */
	for (size_t i = 0; i < VMS; i++)
		support_entry_stop(&fixture->vms[i]);
	for (size_t i = 0; i < SERVERS; i++)
		finish_server(&fixture->servers[i]);
	http_pool_finish(&fixture->callers);
	fake_store_stop(&fixture->store);
	g_free(fixture->store_address);
	g_free(fixture);
}

/* Plays requests for some seconds and checks the users' bound on the one that
 * crashes servers, and that sound ones are served.
 */
static void play(const char *kind, const char *sick_caller)
{
	fixture_t *fixture = start(kind, sick_caller);

	support_run_loop_ms(6000);
	if (!fixture->bound_from_us)
		fixture->bound_from_us = now_us();
	support_run_loop_ms(5000);
	print_message("crashes %u, sick later %u, sound %u of %u\n",
		      fixture->crashes, fixture->sick_later,
		      fixture->sound_served, fixture->sound_sent);
	assert_true(fixture->sick_later <= ALLOWED_LATER);
	assert_true(fixture->sound_sent >= 50);
	assert_true(10 * fixture->sound_served >= 9 * fixture->sound_sent);
	stop(fixture);
}

/* Guards against a repeatable request that crashes servers and goes on to reach
 * them, by retries of VMs and by callers that ask again.
 */
static void test_repeatable_request(void **state)
{
	play("safe", NULL);
}

/* The same with a request that each attempt may run once at most. */
static void test_request_that_runs_once(void **state)
{
	play("unsafe", NULL);
}

/* Guards against a request of one caller that goes on to crash servers because
 * the same request of another caller is sound, and against the refusal of that.
 */
static void test_request_of_one_caller(void **state)
{
	play("safe", "sick");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_repeatable_request),
		cmocka_unit_test(test_request_that_runs_once),
		cmocka_unit_test(test_request_of_one_caller),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
