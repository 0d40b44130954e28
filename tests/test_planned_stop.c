/* A VM's process that is stopped with SIGTERM while callers still come to it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <signal.h>
#include <cmocka.h>

#include <glib/gstdio.h>

#include "connection/http_pool.h"
#include "names.h"
#include "support_address.h"
#include "support_entry.h"
#include "support_process.h"
#include "support_store.h"
#include "support_tcp_stub.h"

/* Time from SIGTERM to the kill of the process, and to the last callers of a test. */
#define LIMIT_MS 5000
#define CALLERS_UNTIL_MS 4900

#define CALLER_PAUSE_MS 20

/* Work of the server on a request: the VM always has some in progress. */
#define WORK_MS 60

#define MAX_CALLS 512

typedef struct stop_fixture stop_fixture_t;

/* One request and what its caller sees. */
typedef struct {
	stop_fixture_t *fixture;
	unsigned number;
	unsigned status; /* 0: no answer */
	bool ended;
	bool arrived; /* at the server */
} call_t;

/* A request that the server works on. */
typedef struct {
	exchange_t *exchange;
	int64_t until_us;
} work_t;

struct stop_fixture {
	fake_store_t store;
	char *store_address;
	ingress_t server;
	char *server_address;
	GQueue work; /* of work_t, oldest first */
	int64_t silent_from_us; /* the server answers nothing that comes later; 0:
				   it answers all */
	char *folder;
	char *settings;
	char *callers_address;
	char *peer_address;
	process_t vm;
	http_pool_t pool;
	call_t calls[MAX_CALLS];
	unsigned n_calls;
	int64_t stopped_us; /* time of the SIGTERM */
};

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* --- server -------------------------------------------------------------- */

static void answer(exchange_t *exchange)
{
	str_t id = http_headers_get(&exchange_head(exchange)->headers,
				    "x-request-id");
	http_headers_t headers;

	http_headers_init(&headers);
	if (id.len)
		http_headers_add(&headers, STR("X-Request-Id"), id);
	http_headers_add(&headers, STR("X-Response-Signature"), STR("s"));
	exchange_reply(exchange, 200, &headers, STR("ok"));
	http_headers_finish(&headers);
}

static void begin_work(stop_fixture_t *fixture, exchange_t *exchange)
{
	bool silent = fixture->silent_from_us &&
		      now_us() >= fixture->silent_from_us;
	work_t *work = g_new(work_t, 1);

	work->exchange = exchange;
	work->until_us = silent ? INT64_MAX
				: now_us() + WORK_MS * CLOCK_US_PER_MS;
	g_queue_push_tail(&fixture->work, work);
}

/* Answers the requests on which the work is done. */
static void answer_due(stop_fixture_t *fixture)
{
	work_t *work = g_queue_peek_head(&fixture->work);

	while (work && work->until_us <= now_us()) {
		answer(work->exchange);
		g_free(g_queue_pop_head(&fixture->work));
		work = g_queue_peek_head(&fixture->work);
	}
}

static void on_request(void *context, exchange_t *exchange)
{
	stop_fixture_t *fixture = context;
	char *id = str_dup(http_headers_get(&exchange_head(exchange)->headers,
					    "x-request-id"));
	unsigned number;

	if (sscanf(id, "r%u", &number) == 1)
		fixture->calls[number].arrived = true;
	g_free(id);
	if (g_str_equal(exchange_head(exchange)->target->str, "/health"))
		answer(exchange);
	else
		begin_work(fixture, exchange);
}

static void on_gone(void *context, exchange_t *exchange)
{
	stop_fixture_t *fixture = context;
	GList *link = fixture->work.head;

	while (link && ((work_t *)link->data)->exchange != exchange)
		link = link->next;
	if (!link)
		return;
	g_free(link->data);
	g_queue_delete_link(&fixture->work, link);
}

static const ingress_handler_t server_handler = {
	.on_request = on_request,
	.on_gone = on_gone,
};

/* --- callers ------------------------------------------------------------- */

static void call_on_head(void *context, const http_head_t *head)
{
	((call_t *)context)->status = head->status;
}

static void call_on_body(void *context, const char *data, size_t len)
{
}

static void call_on_end(void *context, call_end_t end)
{
	call_t *call = context;

	call->ended = true;
	if (end != CALL_ANSWERED)
		call->status = 0;
}

static const call_handler_t call_handler = {
	.on_head = call_on_head,
	.on_body = call_on_body,
	.on_end = call_on_end,
};

/* Sends a request on a new connection, as a caller or, with the version of the
 * configuration, as another VM.
 */
static call_t *send_request(stop_fixture_t *fixture, const char *path,
			    bool from_peer)
{
	call_t *call = &fixture->calls[fixture->n_calls];
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = from_peer ? fixture->peer_address
				     : fixture->callers_address,
		.message = message,
		.new_connection = true,
		.handler = &call_handler,
		.context = call,
	};

	assert_true(fixture->n_calls < MAX_CALLS);
	*call = (call_t){.fixture = fixture, .number = fixture->n_calls++};
	g_string_append_printf(message,
			       "GET %s HTTP/1.1\r\nHost: h\r\n"
			       "X-Deadline-Ms: 20000\r\n"
			       "X-Request-Id: r%u\r\n%s\r\n",
			       path, call->number,
			       from_peer ? "Gooseberryspur-Config: 1\r\n" : "");
	if (!http_pool_call(&fixture->pool, &options))
		call->ended = true;
	g_string_free(message, TRUE);
	return call;
}

/* Lets the server work, and returns whether all requests have ended. */
static bool are_ended(void *context)
{
	stop_fixture_t *fixture = context;

	answer_due(fixture);
	for (unsigned i = 0; i < fixture->n_calls; i++) {
		if (!fixture->calls[i].ended)
			return false;
	}
	return true;
}

static bool is_served(void *context)
{
	stop_fixture_t *fixture = context;
	call_t *call;

	fixture->n_calls = 0;
	call = send_request(fixture, "/u/x", false);
	return support_run_loop_until(are_ended, fixture, 1000) &&
	       call->status == 200;
}

/* --- fixture ------------------------------------------------------------- */

static void start_vm(stop_fixture_t *fixture)
{
	const char *args[] = {"entry", NULL, NULL};
	char *ready = unused_address();
	char *metrics = unused_address();
	char *text;
	char *log;

	fixture->folder = g_dir_make_tmp("stop-XXXXXX", NULL);
	fixture->settings = g_build_filename(fixture->folder, "vm.toml", NULL);
	fixture->callers_address = unused_address();
	fixture->peer_address = unused_address();
	text = g_strdup_printf("vm = \"vm-0\"\nzone = \"z\"\n"
			       "callers_address = \"%s\"\n"
			       "ready_address = \"%s\"\n"
			       "metrics_address = \"%s\"\n"
			       "peer_address = \"%s\"\n"
			       "store_address = \"%s\"\n"
			       "shutdown_limit_s = %d\n",
			       fixture->callers_address, ready, metrics,
			       fixture->peer_address, fixture->store_address,
			       LIMIT_MS / 1000);
	assert_true(g_file_set_contents(fixture->settings, text, -1, NULL));
	log = g_build_filename(fixture->folder, "log", NULL);
	args[1] = fixture->settings;
	assert_true(process_start_logged(&fixture->vm, "gooseberryspur", args,
					 log, log));
	g_free(text);
	g_free(log);
	g_free(ready);
	g_free(metrics);
}

/* Starts a store, a server and a VM that serves. The routes have timeouts of 1.5 s
 * ("/u/") and 9 s ("/l/").
 */
static void start(stop_fixture_t *fixture)
{
	static const char config[] =
		"{\"version\":1,\"routes\":[{\"name\":\"u\",\"host\":\"h\","
		"\"pathPrefix\":\"/u/\",\"kind\":\"unsafe\","
		"\"timeoutMs\":1500,\"service\":\"app\",\"maxAttempts\":1},"
		"{\"name\":\"l\",\"host\":\"h\",\"pathPrefix\":\"/l/\","
		"\"kind\":\"unsafe\",\"timeoutMs\":9000,\"service\":\"app\","
		"\"maxAttempts\":1}],\"services\":[{\"name\":\"app\","
		"\"healthPath\":\"/health\"}]}";

	memset(fixture, 0, sizeof(*fixture));
	g_queue_init(&fixture->work);
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	fixture->server_address = support_server_start(
		&fixture->server, &fixture->store, "i-0", "\"service\":\"app\"",
		&server_handler, fixture);
	start_vm(fixture);
	http_pool_init(&fixture->pool, clock_boottime(), 0, 0);
	for (unsigned i = 0; i < 50 && !is_served(fixture); i++)
		support_run_loop_ms(100);
	assert_int_equal(fixture->calls[0].status, 200);
	fixture->n_calls = 0;
}

static void finish(stop_fixture_t *fixture)
{
	char *log = g_build_filename(fixture->folder, "log", NULL);

	http_pool_finish(&fixture->pool);
	(void)process_wait_end(&fixture->vm, LIMIT_MS);
	process_finish(&fixture->vm);
	ingress_finish(&fixture->server);
	fake_store_stop(&fixture->store);
	g_queue_clear_full(&fixture->work, g_free);
	(void)g_remove(log);
	(void)g_remove(fixture->settings);
	(void)g_rmdir(fixture->folder);
	g_free(log);
	g_free(fixture->folder);
	g_free(fixture->settings);
	g_free(fixture->callers_address);
	g_free(fixture->peer_address);
	g_free(fixture->store_address);
	g_free(fixture->server_address);
}

static void stop_vm(stop_fixture_t *fixture)
{
	process_signal(&fixture->vm, SIGTERM);
	fixture->stopped_us = now_us();
}

static int64_t after_stop_us(const stop_fixture_t *fixture, int64_t ms)
{
	return fixture->stopped_us + ms * CLOCK_US_PER_MS;
}

/* Asserts that no request that came to the server ended without an answer, and that none
 * of those that were refused as not run has come there. Returns how many were served.
 */
static unsigned assert_all_answered(stop_fixture_t *fixture)
{
	unsigned served = 0;

	assert_true(support_run_loop_until(are_ended, fixture, LIMIT_MS));
	for (unsigned i = 0; i < fixture->n_calls; i++) {
		const call_t *call = &fixture->calls[i];

		if (call->arrived && call->status == 0)
			fail_msg("request %u was cut", i);
		if (call->arrived && call->status == 503)
			fail_msg("request %u ran and is answered 503", i);
		served += call->status == 200 ? 1 : 0;
	}
	return served;
}

/* Sends requests until a time after SIGTERM while the server is silent from a time on. */
static void send_until_end(stop_fixture_t *fixture, const char *path,
			   bool from_peer)
{
	fixture->silent_from_us = after_stop_us(fixture, 3300);
	while (now_us() < after_stop_us(fixture, CALLERS_UNTIL_MS) &&
	       !process_wait_end(&fixture->vm, 0)) {
		(void)send_request(fixture, path, from_peer);
		support_run_loop_ms(CALLER_PAUSE_MS);
		answer_due(fixture);
	}
}

/* --- tests --------------------------------------------------------------- */

/* Guards against requests that a stopping VM takes although it ends before their
 * deadline, so that their callers are cut off while a server runs them.
 */
static void test_late_requests(void **state)
{
	static stop_fixture_t fixture; /* outlives a failure */

	start(&fixture);
	stop_vm(&fixture);
	send_until_end(&fixture, "/u/x", false);
	/* Those that end before the process does are still served. */
	assert_true(assert_all_answered(&fixture) > 50);
	finish(&fixture);
}

/* The same for requests that another VM has passed on. */
static void test_late_requests_of_peers(void **state)
{
	static stop_fixture_t fixture; /* outlives a failure */

	start(&fixture);
	stop_vm(&fixture);
	send_until_end(&fixture, "/u/x", true);
	assert_true(assert_all_answered(&fixture) > 50);
	finish(&fixture);
}

/* Guards against requests that end without an answer if they were taken while the load
 * balancer still sent callers, and their server has not answered when the process ends.
 */
static void test_unanswered_at_the_end(void **state)
{
	static stop_fixture_t fixture; /* outlives a failure */

	start(&fixture);
	(void)send_request(&fixture, "/l/x", false);
	support_run_loop_ms(100);
	fixture.silent_from_us = now_us();
	(void)send_request(&fixture, "/l/x", false);
	stop_vm(&fixture);
	support_run_loop_ms(500);
	(void)send_request(&fixture, "/l/x", false);
	assert_int_equal(assert_all_answered(&fixture), 1);
	assert_int_equal(fixture.calls[1].status, 502);
	assert_int_equal(fixture.calls[2].status, 502);
	finish(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_late_requests),
		cmocka_unit_test(test_late_requests_of_peers),
		cmocka_unit_test(test_unanswered_at_the_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
