/* Refusals of VMs that are frozen or stopped while their requests are at slow servers, or that
 * pass requests on: a request that must not run twice and was answered "not run" has not run and
 * does not run later. The VMs are processes of their own; VM_PROGRAM names the build of the first
 * one, to which the other one passes requests on.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "connection/http_pool.h"
#include "names.h"
#include "process/alarm.h"
#include "process/entry/store_rows.h"
#include "support_address.h"
#include "support_answer.h"
#include "support_store.h"
#include "support_tcp_stub.h"
#include "support_vm_process.h"

#define VMS 2
#define SHUTDOWN_LIMIT_S 4
#define WAIT_MS 12000
#define LATE_RUN_MS \
	500 /* in which a refused request could still come to a server */
#define FIRST_REQUEST \
	64 /* requests before this one only await that VMs serve */
#define REQUESTS 96 /* of a case, sent before the VM is disturbed */
#define LATE_REQUESTS 16 /* sent while it is */
#define MAX_REQUESTS (FIRST_REQUEST + REQUESTS + LATE_REQUESTS)
#define GAP_MS 6
#define PREFILL_MS 20
#define SLOW_PREFILL_MS 1500 /* VMs give such a prompt up */

enum { PREFILL, DECODE, PLAIN, SERVERS };

/* Requests go along these in turn; half of them have less time than slow servers take. */
static const char *const paths[] = {"/u/x", "/l/x", "/v/x", "/k/x"};

/* Times that servers take for requests, in turn. */
static const int64_t work_ms[] = {20, 150, 600, 1100, 2600};

/* What is played. */
typedef struct {
	const char *name;
	unsigned callers_vm; /* that the callers ask */
	unsigned disturbed_vm;
	int signal; /* SIGSTOP, SIGTERM; 0: none */
	unsigned frozen_ms;
	unsigned server_status; /* of answers without a statement; 0: servers serve and refuse */
} vm_case_t;

typedef struct {
	unsigned kind;
	ingress_t ingress;
	char *address;
} server_stub_t;

/* A request that a server works on. */
typedef struct {
	server_stub_t *server;
	exchange_t *exchange;
	unsigned number;
	alarm_t done;
} run_t;

/* The last VM has a store of its own, whose servers it does not reach: it passes its requests
 * on to the first one.
 */
typedef struct {
	const vm_case_t *play;
	fake_store_t stores[VMS];
	char *store_addresses[VMS];
	char *unreachable[SERVERS];
	server_stub_t servers[SERVERS];
	GQueue under_way; /* of run_t */
	vm_process_t vms[VMS];
	http_pool_t callers;
	answer_t answers[MAX_REQUESTS];
	bool sent[MAX_REQUESTS];
	unsigned runs[MAX_REQUESTS];
} fixture_t;

static fixture_t fixture; /* outlives a failure */

/* --- servers ------------------------------------------------------------- */

/* Answers a request. `field` may be NULL. */
static void answer(exchange_t *exchange, unsigned status, const char *field,
		   const char *value, const char *body)
{
	str_t id = http_headers_get(&exchange_head(exchange)->headers,
				    "x-request-id");
	http_headers_t headers;

	http_headers_init(&headers);
	if (id.len)
		http_headers_add(&headers, STR("X-Request-Id"), id);
	if (field)
		http_headers_add(&headers, str_from(field), str_from(value));
	exchange_reply(exchange, status, &headers, str_from(body));
	http_headers_finish(&headers);
}

static void free_run(run_t *run)
{
	g_queue_remove(&fixture.under_way, run);
	alarm_finish(&run->done);
	g_free(run);
}

/* Answers a request on which a server has worked. */
static void on_done(void *context)
{
	run_t *run = context;
	exchange_t *exchange = run->exchange;
	unsigned kind = run->server->kind;
	unsigned status = fixture.play->server_status;
	bool fails = status && run->number >= FIRST_REQUEST;

	free_run(run);
	if (kind == PREFILL)
		answer(exchange, 200, NULL, NULL,
		       "{\"kvHandle\":\"h\",\"tokens\":10,\"version\":1}");
	else if (fails)
		answer(exchange, status, NULL, NULL, "no");
	else
		answer(exchange, 200, "X-Response-Signature", "s",
		       kind == PLAIN ? "whole"
				     : "id: 1\ndata: a\n\nid: 2\ndata: a\n\n");
}

/* Returns how long a server takes for a request. */
static int64_t duration_ms(const server_stub_t *server, unsigned number)
{
	unsigned turn = number / G_N_ELEMENTS(paths);

	if (number < FIRST_REQUEST)
		return PREFILL_MS;
	if (server->kind == PREFILL)
		return turn % 4 == 1 ? SLOW_PREFILL_MS : PREFILL_MS;
	return work_ms[turn % G_N_ELEMENTS(work_ms)];
}

static void start_run(server_stub_t *server, exchange_t *exchange,
		      unsigned number)
{
	clock_source_t clock = clock_boottime();
	run_t *run = g_new0(run_t, 1);
	int64_t ms = duration_ms(server, number);

	run->server = server;
	run->exchange = exchange;
	run->number = number;
	exchange_set_context(exchange, run);
	alarm_init(&run->done, clock, on_done, run);
	alarm_set(&run->done, clock_now(&clock) + ms * CLOCK_US_PER_MS);
	g_queue_push_tail(&fixture.under_way, run);
	if (server->kind != PREFILL)
		fixture.runs[number]++;
}

/* Returns whether a server is full for a request. */
static bool refuses(const server_stub_t *server, unsigned number)
{
	return server->kind != PREFILL && !fixture.play->server_status &&
	       number >= FIRST_REQUEST && number % 7 == 0;
}

static void on_request(void *context, exchange_t *exchange)
{
	server_stub_t *server = context;
	const http_head_t *head = exchange_head(exchange);
	char *id = str_dup(http_headers_get(&head->headers, "x-request-id"));
	unsigned number = id[0] ? (unsigned)strtoul(id + 1, NULL, 10) : 0;

	if (!id[0])
		answer(exchange, 200, "X-Instance-Id", "i",
		       "{\"busy\":false,\"sequence\":0}");
	else if (refuses(server, number))
		answer(exchange, 503, "X-Not-Executed", "1", "full");
	else
		start_run(server, exchange, number);
	g_free(id);
}

static void on_gone(void *context, exchange_t *exchange)
{
	free_run(exchange_context(exchange));
}

static const ingress_handler_t server_handler = {
	.on_request = on_request,
	.on_gone = on_gone,
};

static void start_servers(void)
{
	static const ingress_limits_t limits = {
		.max_head_bytes = 65536,
		.max_body_bytes = 1 << 20,
		.head_timeout_us = 10 * CLOCK_US_PER_S,
		.idle_timeout_us = 60 * CLOCK_US_PER_S,
	};

	for (unsigned i = 0; i < SERVERS; i++) {
		server_stub_t *server = &fixture.servers[i];

		server->kind = i;
		server->address = unused_address();
		fixture.unreachable[i] = unused_address();
		assert_true(ingress_init(&server->ingress, server->address,
					 clock_boottime(), &limits,
					 &server_handler, server));
	}
}

/* --- fixture ------------------------------------------------------------- */

static void put_config(void)
{
	static const char route[] =
		"{\"name\":\"%s\",\"host\":\"h\",\"pathPrefix\":\"/%s/\","
		"\"kind\":\"%s\",\"timeoutMs\":%u,\"targetLatencyMs\":900,"
		"\"service\":\"%s\",\"maxAttempts\":2}";
	GString *text = g_string_new("{\"version\":1,\"routes\":[");

	g_string_append_printf(text, route, "u", "u", "unsafe", 1200U, "app");
	g_string_append_c(text, ',');
	g_string_append_printf(text, route, "v", "v", "unsafe", 5000U, "app");
	g_string_append_c(text, ',');
	g_string_append_printf(text, route, "k", "k", "streaming", 1200U,
			       "llm");
	g_string_append_c(text, ',');
	g_string_append_printf(text, route, "l", "l", "streaming", 5000U,
			       "llm");
	g_string_append(text,
			"],\"services\":["
			"{\"name\":\"app\",\"healthPath\":\"/health\"},"
			"{\"name\":\"llm\",\"healthPath\":\"/health\","
			"\"engine\":{\"slots\":64,\"kvTokenCapacity\":1000000,"
			"\"stride\":1}}]}");
	for (unsigned i = 0; i < VMS; i++)
		fake_store_put(&fixture.stores[i], TABLE_CONFIG, KEY_CONFIG,
			       text->str);
	g_string_free(text, TRUE);
}

static void list_servers(void)
{
	static const char *const members[SERVERS] = {
		"\"service\":\"llm\",\"stage\":\"prefill\"",
		"\"service\":\"llm\",\"stage\":\"decode\"",
		"\"service\":\"app\"",
	};

	for (unsigned i = 0; i < SERVERS * VMS; i++) {
		unsigned vm = i % VMS, server = i / VMS;
		char *id = g_strdup_printf("i-%u", server);
		char *entry = g_strdup_printf(
			"{%s,\"address\":\"%s\",\"zone\":\"z\",\"slots\":64,"
			"\"state\":\"ready\",\"sequence\":1,\"born\":1000}",
			members[server],
			vm == 0 ? fixture.servers[server].address
				: fixture.unreachable[server]);

		fake_store_put(&fixture.stores[vm], TABLE_SERVERS, id, entry);
		g_free(entry);
		g_free(id);
	}
}

/* Lets VMs with different stores know each other. */
static void introduce_vms(void)
{
	for (unsigned i = 0; i < VMS; i++) {
		char *key = g_strdup_printf(STORE_VM_PREFIX "vm-%u", i);

		fake_store_put(&fixture.stores[VMS - 1 - i], TABLE_ROUTER, key,
			       fixture.vms[i].peer_address);
		g_free(key);
	}
}

/* Starts a VM; only the first one from the program that the environment names, if any. */
static void start_vm(unsigned vm)
{
	char *program = g_strdup(g_getenv(VM_PROGRAM_VARIABLE));
	char *name = g_strdup_printf("vm-%u", vm);

	if (vm > 0)
		g_unsetenv(VM_PROGRAM_VARIABLE);
	vm_process_start(&fixture.vms[vm], name, fixture.store_addresses[vm],
			 SHUTDOWN_LIMIT_S);
	if (program)
		g_setenv(VM_PROGRAM_VARIABLE, program, TRUE);
	g_free(program);
	g_free(name);
}

static void start(const vm_case_t *play)
{
	memset(&fixture, 0, sizeof(fixture));
	fixture.play = play;
	g_queue_init(&fixture.under_way);
	start_servers();
	for (unsigned i = 0; i < VMS; i++) {
		fixture.store_addresses[i] = unused_address();
		fake_store_start(&fixture.stores[i],
				 fixture.store_addresses[i]);
	}
	put_config();
	list_servers();
	for (unsigned i = 0; i < VMS; i++)
		start_vm(i);
	introduce_vms();
	for (unsigned i = 0; i < MAX_REQUESTS; i++)
		answer_init(&fixture.answers[i]);
	http_pool_init(&fixture.callers, clock_boottime(), 0, 0);
}

static void stop(void)
{
	for (unsigned i = 0; i < VMS; i++)
		vm_process_finish(&fixture.vms[i]);
	while (!g_queue_is_empty(&fixture.under_way))
		free_run(g_queue_peek_head(&fixture.under_way));
	for (unsigned i = 0; i < SERVERS; i++) {
		ingress_finish(&fixture.servers[i].ingress);
		g_free(fixture.servers[i].address);
		g_free(fixture.unreachable[i]);
	}
	http_pool_finish(&fixture.callers);
	for (unsigned i = 0; i < MAX_REQUESTS; i++)
		answer_finish(&fixture.answers[i]);
	for (unsigned i = 0; i < VMS; i++) {
		fake_store_stop(&fixture.stores[i]);
		g_free(fixture.store_addresses[i]);
	}
}

/* --- callers ------------------------------------------------------------- */

/* Sends a request to a VM over a new connection. */
static void send_request(unsigned vm, unsigned number)
{
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = fixture.vms[vm].callers_address,
		.message = message,
		.new_connection = true,
		.handler = &answer_handler,
		.context = &fixture.answers[number],
	};

	assert_true(number < MAX_REQUESTS);
	g_string_printf(message,
			"POST %s HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 6000\r\n"
			"X-Model-Name: m\r\nX-Token-Count: 1000,200\r\n"
			"X-Request-Id: r%u\r\nContent-Length: 4\r\n\r\nbody",
			paths[number % G_N_ELEMENTS(paths)], number);
	fixture.sent[number] = true;
	assert_non_null(http_pool_call(&fixture.callers, &options));
	g_string_free(message, TRUE);
}

static bool have_ended(void *context)
{
	for (unsigned i = 0; i < MAX_REQUESTS; i++) {
		if (fixture.sent[i] && !fixture.answers[i].ended)
			return false;
	}
	return true;
}

/* Waits until a VM serves requests of both services. */
static void await_served(unsigned vm)
{
	unsigned served = 0;

	for (unsigned number = 0; number < FIRST_REQUEST && served < 4;
	     number++) {
		send_request(vm, number);
		assert_true(support_run_loop_until(have_ended, NULL, WAIT_MS));
		if (fixture.answers[number].status == 200) {
			served++;
			continue;
		}
		served = 0;
		support_run_loop_ms(100);
	}
	assert_int_equal(served, 4);
}

static void send_requests(unsigned from, unsigned n)
{
	for (unsigned i = 0; i < n; i++) {
		send_request(fixture.play->callers_vm, from + i);
		support_run_loop_ms(GAP_MS);
	}
}

/* --- cases --------------------------------------------------------------- */

/* How the requests of a case ended. */
typedef struct {
	unsigned under_way; /* when the VM was disturbed */
	unsigned served, refused, other;
	unsigned refused_ran; /* refused, and they ran */
	unsigned ran_twice;
} counts_t;

static bool says_not_run(unsigned status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

static void count(counts_t *counts)
{
	for (unsigned i = FIRST_REQUEST; i < MAX_REQUESTS; i++) {
		unsigned status = fixture.answers[i].status;

		counts->served += status == 200;
		counts->refused += says_not_run(status);
		counts->other += status != 200 && !says_not_run(status);
		counts->refused_ran += says_not_run(status) &&
				       fixture.runs[i] > 0;
		counts->ran_twice += fixture.runs[i] > 1;
	}
}

static void disturb(const vm_case_t *play)
{
	const process_t *process = &fixture.vms[play->disturbed_vm].process;

	if (play->signal)
		process_signal(process, play->signal);
	send_requests(FIRST_REQUEST + REQUESTS, LATE_REQUESTS);
	if (play->signal == SIGSTOP) {
		support_run_loop_ms(play->frozen_ms);
		process_signal(process, SIGCONT);
	}
}

/* Guards against a status that says "not run" for a request that has run or runs later. */
static void expect_truth(const vm_case_t *play)
{
	counts_t counts = {0};

	start(play);
	await_served(play->callers_vm);
	send_requests(FIRST_REQUEST, REQUESTS);
	counts.under_way = g_queue_get_length(&fixture.under_way);
	disturb(play);
	assert_true(support_run_loop_until(have_ended, NULL, WAIT_MS));
	support_run_loop_ms(LATE_RUN_MS);
	count(&counts);
	print_message("%s: %u under way, %u served, %u refused, %u other, %u "
		      "ran though refused, %u ran twice\n",
		      play->name, counts.under_way, counts.served,
		      counts.refused, counts.other, counts.refused_ran,
		      counts.ran_twice);
	stop();
	assert_true(counts.under_way > 0);
	assert_int_equal(counts.refused_ran, 0);
	assert_int_equal(counts.ran_twice, 0);
}

/* --- tests --------------------------------------------------------------- */

/* All timers of a VM are due at once, before it has read what has come meanwhile. */
static void test_frozen_vm(void **state)
{
	expect_truth(&(vm_case_t){
		.name = "frozen",
		.signal = SIGSTOP,
		.frozen_ms = 2000,
	});
}

/* The same with a VM that passes requests on. */
static void test_frozen_vm_that_passes_on(void **state)
{
	expect_truth(&(vm_case_t){
		.name = "frozen, passes on",
		.callers_vm = 1,
		.disturbed_vm = 1,
		.signal = SIGSTOP,
		.frozen_ms = 2000,
	});
}

/* The same with the VM that gets requests from another VM. */
static void test_frozen_vm_that_is_asked(void **state)
{
	expect_truth(&(vm_case_t){
		.name = "frozen, asked by another VM",
		.callers_vm = 1,
		.signal = SIGSTOP,
		.frozen_ms = 2000,
	});
}

/* A VM is stopped before slow servers have answered. */
static void test_stopped_vm(void **state)
{
	expect_truth(&(vm_case_t){
		.name = "stopped",
		.signal = SIGTERM,
	});
}

/* The same with the VM that gets requests from another VM. */
static void test_stopped_vm_that_is_asked(void **state)
{
	expect_truth(&(vm_case_t){
		.name = "stopped, asked by another VM",
		.callers_vm = 1,
		.signal = SIGTERM,
	});
}

/* Servers run requests and answer with a status that says the contrary, without the statement.
 * The VM that is asked may be of an earlier build, which passes such an answer on.
 */
static void test_server_without_statement(void **state)
{
	static const unsigned statuses[] = {503, 429, 408};

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++)
		expect_truth(&(vm_case_t){
			.name = "no statement, passed on",
			.callers_vm = 1,
			.server_status = statuses[i],
		});
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_frozen_vm),
		cmocka_unit_test(test_frozen_vm_that_passes_on),
		cmocka_unit_test(test_frozen_vm_that_is_asked),
		cmocka_unit_test(test_stopped_vm),
		cmocka_unit_test(test_stopped_vm_that_is_asked),
		cmocka_unit_test(test_server_without_statement),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
