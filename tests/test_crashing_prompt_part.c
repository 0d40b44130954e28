/* Requests with one part in their prompts that crashes each engine which begins
 * to write an answer on it, or to read it, beside sound requests that share the
 * first part. Several VMs share one main loop.
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
#define DECODES 6
#define PREFILLS 3
#define MAX_CALLS 2000
#define EVENTS 12 /* of one answer */
#define EVENT_GAP_US (50 * CLOCK_US_PER_MS)

/* From the begin of an answer on the part until its engine ends, and from then
 * until the engine is back.
 */
#define CRASH_DELAY_US (40 * CLOCK_US_PER_MS)
#define RESTART_US (700 * CLOCK_US_PER_MS)

/* Time between two requests, of which each SICK_EACH has the part. */
#define REQUEST_GAP_US (40 * CLOCK_US_PER_MS)
#define SICK_EACH 4

/* The users' bound: so many requests may reach servers later than this time
 * after so many crashes.
 */
#define COUNTED_CRASHES 5
#define STABLE_US (3 * CLOCK_US_PER_S)
#define ALLOWED_LATER 3

/* Parts of the prompts: the first part of all, the part that crashes engines
 * and the ones that sound requests have in its place.
 */
#define FIRST_PART "5c1e07a2"
#define SICK_PART "91bd3f06"
#define SOUND_PARTS 3

typedef struct fixture fixture_t;
typedef struct engine engine_t;

/* One answer that a decode engine writes. */
typedef struct {
	engine_t *engine;
	exchange_t *exchange;
	unsigned events; /* written */
} answer_t;

/* An engine's place. The process there may end and start again. */
struct engine {
	fixture_t *fixture;
	ingress_t ingress;
	char *address; /* NULL: no process */
	char *id;
	stage_t stage;
	GQueue answers; /* of answer_t */
	alarm_t next_event;
	alarm_t crash;
	alarm_t restart;
};

/* One request of a caller. */
typedef struct {
	fixture_t *fixture;
	bool sick;
	bool counted; /* sent while the users' bound holds */
	bool began; /* a byte of the answer has arrived */
	unsigned status;
} call_t;

struct fixture {
	fake_store_t store;
	char *store_address;
	support_entry_t vms[VMS];
	engine_t engines[PREFILLS + DECODES];
	unsigned starts; /* of engines */
	stage_t sick_stage; /* engines that end on the part */
	bool same_request; /* the part is the request's own, which comes again */
	http_pool_t callers;
	call_t calls[MAX_CALLS];
	unsigned sent;
	unsigned sound_sent, sound_began; /* after the bound holds */
	unsigned sick_later; /* that reached an engine after the bound holds */
	unsigned sick_refused;
	unsigned crashes;
	int64_t bound_from_us; /* 0: fewer than COUNTED_CRASHES */
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

/* --- engines ------------------------------------------------------------ */

static bool is_sick(const exchange_t *exchange)
{
	str_t parts = http_headers_get(&exchange_head(exchange)->headers,
				       "x-prompt-prefix");

	return g_strstr_len(parts.data, (gssize)parts.len, SICK_PART) != NULL;
}

static void answer_prefill(exchange_t *exchange)
{
	http_headers_t headers;

	http_headers_init(&headers);
	exchange_reply(exchange, 200, &headers,
		       STR("{\"kvHandle\":\"h\",\"tokens\":10,"
			   "\"version\":1}"));
	http_headers_finish(&headers);
}

static void start_answer(engine_t *engine, exchange_t *exchange)
{
	answer_t *answer = g_new0(answer_t, 1);
	http_headers_t headers;

	answer->engine = engine;
	answer->exchange = exchange;
	exchange_set_context(exchange, answer);
	g_queue_push_tail(&engine->answers, answer);
	http_headers_init(&headers);
	http_headers_add(&headers, STR("X-Response-Signature"),
			 str_from(engine->id));
	http_headers_add(&headers, STR("Content-Type"),
			 STR("text/event-stream"));
	exchange_start_stream(exchange, 200, &headers);
	http_headers_finish(&headers);
	if (engine->next_event.at_us < 0)
		alarm_set(&engine->next_event, now_us());
}

static void engine_on_request(void *context, exchange_t *exchange)
{
	engine_t *engine = context;
	fixture_t *fixture = engine->fixture;
	const http_head_t *head = exchange_head(exchange);

	if (g_str_equal(head->method->str, "GET") ||
	    g_str_equal(head->method->str, "DELETE")) {
		exchange_reply_text(exchange, 200, 0, "{}");
		return;
	}
	if (is_sick(exchange) && is_bound(fixture))
		fixture->sick_later++;
	if (is_sick(exchange) && engine->stage == fixture->sick_stage &&
	    engine->crash.at_us < 0)
		alarm_set(&engine->crash, now_us() + CRASH_DELAY_US);
	/* The crash cuts prompts as well that are read at the time. */
	if (engine->stage == STAGE_DECODE || engine->crash.at_us >= 0)
		start_answer(engine, exchange);
	else
		answer_prefill(exchange);
}

static void engine_on_gone(void *context, exchange_t *exchange)
{
	engine_t *engine = context;
	answer_t *answer = exchange_context(exchange);

	if (answer)
		g_queue_remove(&engine->answers, answer);
	g_free(answer);
}

static const ingress_handler_t engine_handler = {
	.on_request = engine_on_request,
	.on_gone = engine_on_gone,
};

/* Writes an event of each answer on a sound prompt, and ends those that are
 * whole.
 */
static void on_next_event(void *context)
{
	engine_t *engine = context;
	GList *link = engine->answers.head;

	while (link) {
		answer_t *answer = link->data;
		char *event;

		link = link->next;
		if (is_sick(answer->exchange))
			continue;
		event = g_strdup_printf("id: %u\ndata: x\n\n",
					++answer->events);
		exchange_write(answer->exchange, event, strlen(event));
		g_free(event);
		if (answer->events < EVENTS)
			continue;
		g_queue_remove(&engine->answers, answer);
		exchange_end_stream(answer->exchange);
		g_free(answer);
	}
	if (!g_queue_is_empty(&engine->answers))
		alarm_set(&engine->next_event, now_us() + EVENT_GAP_US);
}

/* Starts a process at an engine's place, with a new ID and address. */
static void start_engine(void *context)
{
	engine_t *engine = context;
	fixture_t *fixture = engine->fixture;

	g_free(engine->id);
	g_free(engine->address);
	engine->id = g_strdup_printf("i-%u", fixture->starts++);
	engine->address = support_server_start(
		&engine->ingress, &fixture->store, engine->id,
		engine->stage == STAGE_PREFILL
			? "\"service\":\"llm\",\"stage\":\"prefill\""
			: "\"service\":\"llm\",\"stage\":\"decode\"",
		&engine_handler, engine);
}

/* Ends the process at an engine's place, in the middle of its answers. */
static void on_crash(void *context)
{
	engine_t *engine = context;
	fixture_t *fixture = engine->fixture;
	answer_t *answer;

	while ((answer = g_queue_pop_head(&engine->answers))) {
		exchange_abort(answer->exchange);
		g_free(answer);
	}
	alarm_set(&engine->next_event, -1);
	ingress_finish(&engine->ingress);
	g_clear_pointer(&engine->address, g_free);
	fake_store_remove(&fixture->store, TABLE_SERVERS, engine->id);
	if (++fixture->crashes == COUNTED_CRASHES)
		fixture->bound_from_us = now_us() + STABLE_US;
	alarm_set(&engine->restart, now_us() + RESTART_US);
}

static void init_engine(fixture_t *fixture, size_t i)
{
	engine_t *engine = &fixture->engines[i];
	clock_source_t clock = clock_boottime();

	engine->fixture = fixture;
	engine->stage = i < PREFILLS ? STAGE_PREFILL : STAGE_DECODE;
	g_queue_init(&engine->answers);
	alarm_init(&engine->next_event, clock, on_next_event, engine);
	alarm_init(&engine->crash, clock, on_crash, engine);
	alarm_init(&engine->restart, clock, start_engine, engine);
	start_engine(engine);
}

static void finish_engine(engine_t *engine)
{
	answer_t *answer;

	alarm_finish(&engine->next_event);
	alarm_finish(&engine->crash);
	alarm_finish(&engine->restart);
	while ((answer = g_queue_pop_head(&engine->answers))) {
		exchange_abort(answer->exchange);
		g_free(answer);
	}
	if (engine->address)
		ingress_finish(&engine->ingress);
	g_free(engine->address);
	g_free(engine->id);
}

/* --- callers ------------------------------------------------------------ */

static void call_on_head(void *context, const http_head_t *head)
{
	call_t *call = context;

	call->status = head->status;
	if (call->sick && head->status == 503)
		call->fixture->sick_refused++;
}

static void call_on_body(void *context, const char *data, size_t len)
{
	call_t *call = context;

	if (call->counted && !call->began && call->status == 200)
		call->fixture->sound_began++;
	call->began = true;
}

static void call_on_end(void *context, call_end_t end)
{
}

static const call_handler_t call_handler = {
	.on_head = call_on_head,
	.on_body = call_on_body,
	.on_end = call_on_end,
};

/* Sends one request; each SICK_EACH-th has the part that crashes engines. */
static void on_next(void *context)
{
	fixture_t *fixture = context;
	unsigned n = fixture->sent++;
	call_t *call = &fixture->calls[n];
	char *sound = g_strdup_printf("e4402b0%u", n % SOUND_PARTS);
	char *parts;
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
	if (call->counted)
		fixture->sound_sent++;
	parts = call->sick && fixture->same_request
			? g_strdup(FIRST_PART ":200," SICK_PART ":800")
			: g_strdup_printf(FIRST_PART ":200,%s:300,%x:500",
					  call->sick ? SICK_PART : sound,
					  0x1000 + n);
	g_string_printf(message,
			"POST /l/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%u\r\n"
			"X-Deadline-Ms: 6000\r\nX-Model-Name: m\r\n"
			"X-Token-Count: 1000,200\r\n"
			"X-Prompt-Prefix: %s\r\nContent-Length: %zu\r\n\r\n%s",
			n, parts, strlen(parts), parts);
	assert_non_null(http_pool_call(&fixture->callers, &options));
	g_string_free(message, TRUE);
	g_free(parts);
	g_free(sound);
	alarm_set(&fixture->next, now_us() + REQUEST_GAP_US);
}

/* --- VMs ----------------------------------------------------------------- */

static void put_config(fixture_t *fixture)
{
	fake_store_put(
		&fixture->store, TABLE_CONFIG, KEY_CONFIG,
		"{\"version\":1,\"routes\":["
		"{\"name\":\"l\",\"host\":\"h\",\"pathPrefix\":\"/l/\","
		"\"kind\":\"streaming\",\"timeoutMs\":6000,"
		"\"targetLatencyMs\":900,\"service\":\"llm\","
		"\"maxAttempts\":2}],"
		"\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\","
		"\"engine\":{\"slots\":12,\"kvTokenCapacity\":100000,"
		"\"stride\":1}}]}");
}

static void start_vm(fixture_t *fixture, size_t i)
{
	char *name = g_strdup_printf("vm-%zu", i);

	support_entry_start(&fixture->vms[i], name, fixture->store_address);
	g_free(name);
}

static bool are_ready(void *context)
{
	const fixture_t *fixture = context;

	for (size_t i = 0; i < VMS; i++) {
		const entry_t *vm = &fixture->vms[i].entry;

		if (!vm->table || vm->vm_count < VMS ||
		    server_set_count_usable(&vm->servers) < PREFILLS)
			return false;
	}
	return true;
}

/* Starts the store, the engines and the VMs, then the callers. */
static fixture_t *start(stage_t sick_stage)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->sick_stage = sick_stage;
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	put_config(fixture);
	for (size_t i = 0; i < PREFILLS + DECODES; i++)
		init_engine(fixture, i);
	for (size_t i = 0; i < VMS; i++)
		start_vm(fixture, i);
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
	assert_true(support_run_loop_until(are_ready, fixture, 5000));
	alarm_init(&fixture->next, clock_boottime(), on_next, fixture);
	alarm_set(&fixture->next, now_us());
	return fixture;
}

static void stop(fixture_t *fixture)
{
	alarm_finish(&fixture->next);
	support_run_loop_ms(1500); /* until all calls have ended */
	for (size_t i = 0; i < VMS; i++)
		support_entry_stop(&fixture->vms[i]);
	for (size_t i = 0; i < PREFILLS + DECODES; i++)
		finish_engine(&fixture->engines[i]);
	http_pool_finish(&fixture->callers);
	fake_store_stop(&fixture->store);
	g_free(fixture->store_address);
	g_free(fixture);
}

/* Checks the users' bounds on requests with the part, and on sound ones with
 * the same first part.
 */
static void check(const fixture_t *fixture)
{
	print_message("crashes %u, sick later %u, sick refused %u, sound %u "
		      "of %u\n",
		      fixture->crashes, fixture->sick_later,
		      fixture->sick_refused, fixture->sound_began,
		      fixture->sound_sent);
	assert_true(fixture->sick_later <= ALLOWED_LATER);
	assert_true(fixture->sound_sent >= 20);
	assert_true(2 * fixture->sound_began >= fixture->sound_sent);
}

/* Makes the bounds hold from now on, if fewer engines than counted have ended.
 */
static void set_bound(fixture_t *fixture)
{
	if (!fixture->bound_from_us)
		fixture->bound_from_us = now_us();
}

/* Guards against requests with a part that crashes engines which go on to
 * reach engines, each at another VM, and against the refusal of sound ones.
 */
static void test_part_that_crashes_engines(void **state)
{
	fixture_t *fixture = start(STAGE_DECODE);

	support_run_loop_ms(6000);
	set_bound(fixture);
	support_run_loop_ms(6000);
	check(fixture);
	stop(fixture);
}

/* Guards against one request that comes again and goes on to crash engines,
 * although it shares no part with others that does.
 */
static void test_request_that_crashes_engines(void **state)
{
	fixture_t *fixture = start(STAGE_DECODE);

	fixture->same_request = true;
	support_run_loop_ms(6000);
	set_bound(fixture);
	support_run_loop_ms(6000);
	check(fixture);
	stop(fixture);
}

/* The same with a part that crashes the engines which read it. */
static void test_part_that_crashes_prefill(void **state)
{
	fixture_t *fixture = start(STAGE_PREFILL);

	support_run_loop_ms(6000);
	set_bound(fixture);
	support_run_loop_ms(6000);
	check(fixture);
	stop(fixture);
}

/* Guards against VMs that all start again and have forgotten what crashes
 * engines.
 */
static void test_vms_that_start_again(void **state)
{
	fixture_t *fixture = start(STAGE_DECODE);

	support_run_loop_ms(4000);
	alarm_set(&fixture->next, -1);
	support_run_loop_ms(1500); /* until no call is in progress */
	for (size_t i = 0; i < VMS; i++)
		support_entry_stop(&fixture->vms[i]);
	for (size_t i = 0; i < VMS; i++)
		start_vm(fixture, i);
	assert_true(support_run_loop_until(are_ready, fixture, 5000));
	support_run_loop_ms(300); /* until the rows of the store are read */
	set_bound(fixture);
	alarm_set(&fixture->next, now_us());
	support_run_loop_ms(3000);
	check(fixture);
	stop(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_part_that_crashes_engines),
		cmocka_unit_test(test_part_that_crashes_prefill),
		cmocka_unit_test(test_request_that_crashes_engines),
		cmocka_unit_test(test_vms_that_start_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
