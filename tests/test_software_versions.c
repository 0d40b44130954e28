/* Model engines of two versions of their software in one service: a stream goes
 * on only at the version that began it, whether a VM resumes it or its caller
 * asks another VM for the rest. Several VMs share one main loop.
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

#define VMS 3
#define ENGINES 4
#define STREAMS 12
#define WAIT_MS 5000

/* Longest time until a stream that cannot go on is refused. */
#define REFUSAL_US (300 * CLOCK_US_PER_MS)

typedef struct fixture fixture_t;

/* A decode engine. It sends two events of a new stream and then waits; of a
 * stream that goes on it sends one more event and ends it.
 */
typedef struct {
	ingress_t ingress;
	char *address;
	const char *software;
	unsigned started; /* new streams */
	unsigned continued; /* streams that went on here */
	GPtrArray *open; /* of exchange_t */
} engine_stub_t;

/* One request of a caller. */
typedef struct {
	http_call_t *call; /* NULL: ended */
	GString *body;
	unsigned status;
	call_end_t end;
	int64_t sent_us, ended_us;
} attempt_t;

struct fixture {
	fake_store_t store;
	char *store_address;
	unsigned vm_count;
	support_entry_t vms[VMS];
	ingress_t prefill;
	char *prefill_address;
	unsigned engine_count;
	engine_stub_t engines[ENGINES];
	http_pool_t callers;
	attempt_t first[STREAMS];
	attempt_t second[STREAMS];
	const attempt_t *awaited; /* STREAMS of them */
};

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* --- engines ------------------------------------------------------------- */

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

static void write_event(const engine_stub_t *engine, exchange_t *exchange,
			int64_t id)
{
	char *event = g_strdup_printf("id: %" G_GINT64_FORMAT "\ndata: %s\n\n",
				      id, engine->software);

	exchange_write(exchange, event, strlen(event));
	g_free(event);
}

static void engine_on_request(void *context, exchange_t *exchange)
{
	engine_stub_t *engine = context;
	const http_headers_t *sent = &exchange_head(exchange)->headers;
	str_t last = http_headers_get(sent, "last-event-id");
	http_headers_t headers;
	int64_t after = 0;

	if (exchange_head(exchange)->method->str[0] == 'G') {
		exchange_reply_text(exchange, 200, 0, "ok");
		return;
	}
	http_headers_init(&headers);
	http_headers_add(&headers, STR("X-Response-Signature"), STR("s"));
	exchange_start_stream(exchange, 200, &headers);
	http_headers_finish(&headers);
	if (last.len > 0) {
		assert_true(http_parse_uint(last, &after));
		engine->continued++;
		write_event(engine, exchange, after + 1);
		exchange_end_stream(exchange);
		return;
	}
	engine->started++;
	write_event(engine, exchange, 1);
	write_event(engine, exchange, 2);
	g_ptr_array_add(engine->open, exchange);
}

static void engine_on_gone(void *context, exchange_t *exchange)
{
	engine_stub_t *engine = context;

	g_ptr_array_remove(engine->open, exchange);
}

static const ingress_handler_t engine_handler = {
	.on_request = engine_on_request,
	.on_gone = engine_on_gone,
};

/* Breaks all streams that an engine has begun. */
static void break_streams(engine_stub_t *engine)
{
	while (engine->open->len > 0)
		exchange_abort(g_ptr_array_remove_index(engine->open, 0));
}

/* Sends the last event of all streams that an engine has begun. */
static void end_streams(engine_stub_t *engine)
{
	while (engine->open->len > 0) {
		exchange_t *exchange =
			g_ptr_array_remove_index(engine->open, 0);

		write_event(engine, exchange, 3);
		exchange_end_stream(exchange);
	}
}

static void engine_start(fixture_t *fixture, unsigned index,
			 const char *software)
{
	engine_stub_t *engine = &fixture->engines[index];
	char *id = g_strdup_printf("i-%u", index + 1);
	char *fields = g_strdup_printf("\"service\":\"llm\",\"stage\":"
				       "\"decode\",\"version\":\"%s\"",
				       software);

	engine->software = software;
	engine->open = g_ptr_array_new();
	engine->address = support_server_start(&engine->ingress,
					       &fixture->store, id, fields,
					       &engine_handler, engine);
	g_free(fields);
	g_free(id);
}

/* --- VMs ----------------------------------------------------------------- */

/* Returns whether all VMs know the engines, and each other. */
static bool is_ready(void *context)
{
	const fixture_t *fixture = context;

	for (unsigned i = 0; i < fixture->vm_count; i++) {
		const entry_t *vm = &fixture->vms[i].entry;

		if (!vm->table ||
		    server_set_count_usable(&vm->servers) !=
			    fixture->engine_count + 1 ||
		    g_hash_table_size(vm->announce.peers) !=
			    fixture->vm_count - 1 ||
		    occupancy_live_peers(&vm->occupancy, now_us()) !=
			    fixture->vm_count - 1)
			return false;
	}
	return true;
}

static void vm_start(fixture_t *fixture, unsigned index)
{
	char *name = g_strdup_printf("vm-%u", index);

	support_entry_start(&fixture->vms[index], name, fixture->store_address);
	g_free(name);
}

/* Starts VMs, a prefill engine and decode engines with these versions. */
static void start(fixture_t *fixture, unsigned vms, unsigned engines,
		  const char *const *software)
{
	static const char config[] =
		"{\"version\":1,\"routes\":[{\"name\":\"l\",\"host\":\"h\","
		"\"pathPrefix\":\"/l/\",\"kind\":\"streaming\","
		"\"resumable\":true,\"timeoutMs\":14000,"
		"\"targetLatencyMs\":900,\"service\":\"llm\","
		"\"maxAttempts\":2}],\"services\":[{\"name\":\"llm\","
		"\"healthPath\":\"/health\",\"engine\":{\"slots\":12,"
		"\"kvTokenCapacity\":100000,\"stride\":1}}]}";

	memset(fixture, 0, sizeof(*fixture));
	fixture->vm_count = vms;
	fixture->engine_count = engines;
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	fixture->prefill_address = support_server_start(
		&fixture->prefill, &fixture->store, "i-0",
		"\"service\":\"llm\",\"stage\":\"prefill\",\"version\":\"v1\"",
		&prefill_handler, fixture);
	for (unsigned i = 0; i < engines; i++)
		engine_start(fixture, i, software[i]);
	for (unsigned i = 0; i < vms; i++)
		vm_start(fixture, i);
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
	assert_true(support_run_loop_until(is_ready, fixture, WAIT_MS));
}

/* Ends a VM after it has seen that its callers are gone. */
static void vm_stop(fixture_t *fixture, unsigned index)
{
	support_run_loop_ms(50);
	support_entry_stop(&fixture->vms[index]);
}

static void stop_after(fixture_t *fixture, unsigned first_vm)
{
	http_pool_finish(&fixture->callers);
	for (unsigned i = first_vm; i < fixture->vm_count; i++)
		vm_stop(fixture, i);
	for (unsigned i = 0; i < fixture->engine_count; i++) {
		engine_stub_t *engine = &fixture->engines[i];

		ingress_finish(&engine->ingress);
		g_ptr_array_unref(engine->open);
		g_free(engine->address);
	}
	for (unsigned i = 0; i < STREAMS; i++) {
		if (fixture->first[i].body)
			g_string_free(fixture->first[i].body, TRUE);
		if (fixture->second[i].body)
			g_string_free(fixture->second[i].body, TRUE);
	}
	ingress_finish(&fixture->prefill);
	fake_store_stop(&fixture->store);
	g_free(fixture->prefill_address);
	g_free(fixture->store_address);
}

/* --- callers ------------------------------------------------------------- */

static void attempt_on_head(void *context, const http_head_t *head)
{
	attempt_t *attempt = context;

	attempt->status = head->status;
}

static void attempt_on_body(void *context, const char *data, size_t len)
{
	attempt_t *attempt = context;

	g_string_append_len(attempt->body, data, (gssize)len);
}

static void attempt_on_end(void *context, call_end_t end)
{
	attempt_t *attempt = context;

	attempt->call = NULL;
	attempt->end = end;
	attempt->ended_us = now_us();
}

static const call_handler_t attempt_handler = {
	.on_head = attempt_on_head,
	.on_body = attempt_on_body,
	.on_end = attempt_on_end,
};

/* Sends a request. `rest_of` is NULL or the ID of the attempt that brought two
 * events before.
 */
static void send_attempt(fixture_t *fixture, attempt_t *attempt, unsigned vm,
			 const char *id, const char *rest_of)
{
	GString *message = g_string_new("POST /l/x HTTP/1.1\r\nHost: h\r\n"
					"X-Deadline-Ms: 14000\r\n"
					"X-Model-Name: m\r\n"
					"X-Token-Count: 1000,200\r\n"
					"Content-Length: 0\r\n");
	http_call_options_t options = {
		.address = support_entry_address(&fixture->vms[vm]),
		.message = message,
		.handler = &attempt_handler,
		.context = attempt,
	};

	g_string_append_printf(message, "X-Request-Id: %s\r\n", id);
	if (rest_of)
		g_string_append_printf(message,
				       "Last-Event-Id: 2\r\nResumes: %s\r\n",
				       rest_of);
	g_string_append(message, "\r\n");
	attempt->body = g_string_new(NULL);
	attempt->sent_us = now_us();
	attempt->call = http_pool_call(&fixture->callers, &options);
	assert_non_null(attempt->call);
	g_string_free(message, TRUE);
}

static bool all_have_two_events(void *context)
{
	const fixture_t *fixture = context;

	for (unsigned i = 0; i < STREAMS; i++) {
		if (!strstr(fixture->first[i].body->str, "id: 2\n"))
			return false;
	}
	return true;
}

static bool all_have_ended(void *context)
{
	const fixture_t *fixture = context;

	for (unsigned i = 0; i < STREAMS; i++) {
		if (fixture->awaited[i].call)
			return false;
	}
	return true;
}

static void await_end(fixture_t *fixture, const attempt_t *attempts)
{
	fixture->awaited = attempts;
	assert_true(support_run_loop_until(all_have_ended, fixture, WAIT_MS));
}

/* Begins all streams at one VM. */
static void begin_streams(fixture_t *fixture, unsigned vm)
{
	for (unsigned i = 0; i < STREAMS; i++) {
		char *id = g_strdup_printf("first-%u", i);

		send_attempt(fixture, &fixture->first[i], vm, id, NULL);
		g_free(id);
	}
	assert_true(
		support_run_loop_until(all_have_two_events, fixture, WAIT_MS));
}

/* Ends all attempts as if the callers' connections were reset. */
static void lose_connections(fixture_t *fixture)
{
	for (unsigned i = 0; i < STREAMS; i++) {
		http_call_cancel(fixture->first[i].call);
		fixture->first[i].call = NULL;
	}
	support_run_loop_ms(50);
}

/* Asks one VM for the rest of all streams. The order is the reverse of that of
 * their begin, so that a choice by load brings streams to other engines.
 */
static void ask_for_the_rest(fixture_t *fixture, unsigned vm)
{
	for (unsigned i = STREAMS; i-- > 0;) {
		char *id = g_strdup_printf("second-%u", i);
		char *first = g_strdup_printf("first-%u", i);

		send_attempt(fixture, &fixture->second[i], vm, id, first);
		g_free(first);
		g_free(id);
	}
	await_end(fixture, fixture->second);
}

/* Returns whether a text names both versions. */
static bool is_mixed(const char *text)
{
	return strstr(text, "data: v1\n") && strstr(text, "data: v2\n");
}

/* Checks that all streams went on to their end, each at one version. */
static void assert_all_went_on(const fixture_t *fixture)
{
	unsigned went_on = 0, mixed = 0;

	for (unsigned i = 0; i < STREAMS; i++) {
		char *events = g_strconcat(fixture->first[i].body->str,
					   fixture->second[i].body->str, NULL);

		went_on += strstr(events, "id: 3\n") != NULL ? 1 : 0;
		mixed += is_mixed(events) ? 1 : 0;
		g_free(events);
	}
	assert_int_equal(mixed, 0);
	assert_int_equal(went_on, STREAMS);
}

static const char *const one_version[] = {"v1", "v1", "v1", "v1"};
static const char *const two_versions[] = {"v1", "v2", "v1", "v2"};

/* --- tests --------------------------------------------------------------- */

/* Guards against an answer that joins events of two software versions: a VM
 * resumed a broken stream at whichever engine had room.
 */
static void test_resumed_in_one_answer(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, 1, 2, two_versions);
	begin_streams(&fixture, 0);
	assert_true(fixture.engines[0].started > 0);
	break_streams(&fixture.engines[0]);
	break_streams(&fixture.engines[1]);
	await_end(&fixture, fixture.first);
	for (unsigned i = 0; i < STREAMS; i++) {
		assert_false(is_mixed(fixture.first[i].body->str));
		assert_int_equal(fixture.first[i].end, CALL_LOST);
	}
	stop_after(&fixture, 0);
}

/* Guards against streams that no longer go on at another engine of the same
 * version.
 */
static void test_resumed_at_the_same_version(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, 1, 4, two_versions);
	begin_streams(&fixture, 0);
	break_streams(&fixture.engines[0]);
	break_streams(&fixture.engines[1]);
	end_streams(&fixture.engines[2]);
	end_streams(&fixture.engines[3]);
	await_end(&fixture, fixture.first);
	for (unsigned i = 0; i < STREAMS; i++) {
		const attempt_t *attempt = &fixture.first[i];

		assert_false(is_mixed(attempt->body->str));
		assert_int_equal(attempt->end, CALL_ANSWERED);
		assert_non_null(strstr(attempt->body->str, "id: 3\n"));
	}
	stop_after(&fixture, 0);
}

/* Guards against a stream that goes on at another version when its caller asks
 * another VM for the rest, after the VM that began it has ended.
 */
static void test_rest_from_another_vm(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, 2, 4, two_versions);
	begin_streams(&fixture, 0);
	lose_connections(&fixture);
	vm_stop(&fixture, 0);
	ask_for_the_rest(&fixture, 1);
	assert_all_went_on(&fixture);
	stop_after(&fixture, 1);
}

/* Guards against the same at a VM that has started since the stream began, after
 * the VM that began it has ended.
 */
static void test_rest_from_a_restarted_vm(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, 3, 4, two_versions);
	begin_streams(&fixture, 0);
	lose_connections(&fixture);
	vm_stop(&fixture, 0);
	vm_stop(&fixture, 1);
	vm_start(&fixture, 1);
	support_run_loop_ms(1000);
	ask_for_the_rest(&fixture, 1);
	assert_all_went_on(&fixture);
	stop_after(&fixture, 1);
}

/* Guards against a guess: no VM knows which version began the streams. */
static void test_unknown_version(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, 1, 4, two_versions);
	ask_for_the_rest(&fixture, 0);
	for (unsigned i = 0; i < STREAMS; i++)
		assert_int_equal(fixture.second[i].status, 503);
	for (unsigned i = 0; i < fixture.engine_count; i++)
		assert_int_equal(fixture.engines[i].continued, 0);
	stop_after(&fixture, 0);
}

/* Guards against refusals where there is nothing to guess: all engines have one
 * version.
 */
static void test_unknown_but_only_one_version(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, 1, 4, one_version);
	ask_for_the_rest(&fixture, 0);
	for (unsigned i = 0; i < STREAMS; i++) {
		assert_int_equal(fixture.second[i].status, 200);
		assert_non_null(strstr(fixture.second[i].body->str, "id: 3\n"));
	}
	stop_after(&fixture, 0);
}

/* Guards against a caller that is kept waiting for the rest of a stream whose
 * version has left.
 */
static void test_version_that_has_left(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	unsigned refused = 0, went_on = 0;

	start(&fixture, 1, 2, two_versions);
	begin_streams(&fixture, 0);
	lose_connections(&fixture);
	fake_store_remove(&fixture.store, TABLE_SERVERS, "i-1");
	support_run_loop_ms(100);
	ask_for_the_rest(&fixture, 0);
	for (unsigned i = 0; i < STREAMS; i++) {
		const attempt_t *attempt = &fixture.second[i];

		if (attempt->status == 503 &&
		    attempt->ended_us - attempt->sent_us < REFUSAL_US)
			refused++;
		went_on += attempt->status == 200 ? 1 : 0;
	}
	assert_int_equal(went_on, fixture.engines[1].started);
	assert_int_equal(refused, fixture.engines[0].started);
	stop_after(&fixture, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_resumed_in_one_answer),
		cmocka_unit_test(test_resumed_at_the_same_version),
		cmocka_unit_test(test_rest_from_another_vm),
		cmocka_unit_test(test_rest_from_a_restarted_vm),
		cmocka_unit_test(test_unknown_version),
		cmocka_unit_test(test_unknown_but_only_one_version),
		cmocka_unit_test(test_version_that_has_left),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
