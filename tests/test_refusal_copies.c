/* A backend server that writes an earlier refusal once more on a kept connection: a
 * request that it runs must not pass for one that has not run.
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

#define WAIT_MS 5000

#define FIELDS "Keep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\n"
#define ID(id) "X-Request-Id: " id "\r\n"
#define REFUSAL(id) "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n" id FIELDS "no"
#define ANSWER(id) \
	"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n" id FIELDS "ok"
#define PROMPT_READ                                                      \
	"HTTP/1.1 200 OK\r\nContent-Length: 40\r\nConnection: close\r\n" \
	"\r\n{\"kvHandle\":\"h\",\"tokens\":10,\"version\":1}"

typedef struct {
	fake_store_t store;
	char *store_address;
	support_entry_t vm;
	http_pool_t callers;
	bool ended;
	unsigned status; /* of the last answer */
} fixture_t;

/* Lists a server. `fields` are the members that name its service and stage. */
static void list(fixture_t *fixture, const char *id, const char *address,
		 const char *fields)
{
	char *entry = g_strdup_printf(
		"{%s,\"address\":\"%s\",\"zone\":\"z\",\"slots\":6,"
		"\"state\":\"ready\",\"sequence\":1,\"born\":1000}",
		fields, address);

	fake_store_put(&fixture->store, TABLE_SERVERS, id, entry);
	g_free(entry);
}

static bool is_ready(void *context)
{
	const fixture_t *fixture = context;

	return fixture->vm.entry.table &&
	       server_set_count_usable(&fixture->vm.entry.servers) > 0;
}

static void start(fixture_t *fixture)
{
	static const char config[] =
		"{\"version\":1,\"routes\":[{\"name\":\"u\",\"host\":\"h\","
		"\"pathPrefix\":\"/u/\",\"kind\":\"unsafe\",\"timeoutMs\":2000,"
		"\"targetLatencyMs\":300,\"service\":\"app\","
		"\"maxAttempts\":1},{\"name\":\"l\",\"host\":\"h\","
		"\"pathPrefix\":\"/l/\",\"kind\":\"streaming\","
		"\"timeoutMs\":4000,\"targetLatencyMs\":900,"
		"\"service\":\"llm\",\"maxAttempts\":4}],\"services\":["
		"{\"name\":\"app\",\"healthPath\":\"/health\"},"
		"{\"name\":\"llm\",\"healthPath\":\"/health\",\"engine\":{"
		"\"slots\":12,\"kvTokenCapacity\":100000,\"stride\":1}}]}";

	memset(fixture, 0, sizeof(*fixture));
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	support_entry_start(&fixture->vm, "vm-0", fixture->store_address);
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
}

static void stop(fixture_t *fixture)
{
	http_pool_finish(&fixture->callers);
	support_entry_stop(&fixture->vm);
	fake_store_stop(&fixture->store);
	g_free(fixture->store_address);
}

static void on_head(void *context, const http_head_t *head)
{
	((fixture_t *)context)->status = head->status;
}

static void on_body(void *context, const char *data, size_t len)
{
}

static void on_end(void *context, call_end_t end)
{
	((fixture_t *)context)->ended = true;
}

static const call_handler_t handler = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static bool has_ended(void *context)
{
	return ((fixture_t *)context)->ended;
}

/* Sends a request with a body. */
static void send_request(fixture_t *fixture, const char *path, const char *id,
			 size_t body_bytes)
{
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = support_entry_address(&fixture->vm),
		.message = message,
		.handler = &handler,
		.context = fixture,
	};

	g_string_append_printf(message,
			       "POST %s HTTP/1.1\r\nHost: h\r\n"
			       "X-Deadline-Ms: 4000\r\nX-Model-Name: m\r\n"
			       "X-Token-Count: 1000,200\r\nX-Request-Id: %s\r\n"
			       "Content-Length: %zu\r\n\r\n",
			       path, id, body_bytes);
	for (size_t i = 0; i < body_bytes; i++)
		g_string_append_c(message, 'x');
	fixture->ended = false;
	fixture->status = 0;
	assert_non_null(http_pool_call(&fixture->callers, &options));
	g_string_free(message, TRUE);
}

/* Sends a request with a body, and waits for its answer. Returns the status. */
static unsigned ask(fixture_t *fixture, const char *path, const char *id,
		    size_t body_bytes)
{
	send_request(fixture, path, id, body_bytes);
	assert_true(support_run_loop_until(has_ended, fixture, WAIT_MS));
	return fixture->status;
}

/* Returns whether a status tells a caller that the request has not run. */
static bool says_not_run(unsigned status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

/* --- plain servers ------------------------------------------------------- */

/* What a server sends after the second request, which it runs. */
typedef struct {
	const char *name;
	const char *bytes;
	size_t body_bytes; /* of the second request */
	unsigned status; /* that the caller gets; 0: any that does not say that the
			    request has not run */
	bool has_ids; /* the first refusal has one */
} copy_case_t;

static const copy_case_t copies[] = {
	{"with the first request's ID", REFUSAL(ID("r1")) ANSWER(ID("r2")), 10,
	 200, true},
	{"without an ID", REFUSAL("") ANSWER(ID("r2")), 10, 0, true},
	{"without an ID, before a long body", REFUSAL("") ANSWER(ID("r2")),
	 200000, 0, true},
	{"misdirected, without an ID",
	 "HTTP/1.1 421 Misdirected\r\n" FIELDS "no" ANSWER(ID("r2")), 10, 0,
	 true},
	{"alone, without an ID", REFUSAL(""), 10, 0, true},
	{"of a server that repeats no IDs", REFUSAL("") ANSWER(""), 10, 0,
	 false},
	{"the request's own refusal", REFUSAL(ID("r2")), 10, 503, true},
};

/* Guards against a copy that comes after the next request's head was written. */
static void test_copy_after_the_next_request(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++) {
		static fixture_t fixture; /* outlives a failure */
		const tcp_stub_answer_t answers[] = {
			{copies[i].has_ids ? REFUSAL(ID("r1")) : REFUSAL(""),
			 TCP_STUB_KEEP_OPEN},
			{copies[i].bytes, TCP_STUB_KEEP_OPEN},
		};
		tcp_stub_t server;
		unsigned status;

		print_message("%s\n", copies[i].name);
		tcp_stub_start(&server, answers, G_N_ELEMENTS(answers));
		start(&fixture);
		list(&fixture, "i-0", server.address, "\"service\":\"app\"");
		assert_true(
			support_run_loop_until(is_ready, &fixture, WAIT_MS));
		assert_int_equal(ask(&fixture, "/u/x", "r1", 10), 503);
		status = ask(&fixture, "/u/x", "r2", copies[i].body_bytes);
		assert_int_equal(server.accepted, 1);
		if (copies[i].status)
			assert_int_equal(status, copies[i].status);
		else
			assert_false(says_not_run(status));
		stop(&fixture);
		tcp_stub_stop(&server);
	}
}

/* Guards against a copy that comes while the connection is idle. */
static void test_copy_on_an_idle_connection(void **state)
{
	static const tcp_stub_answer_t answers[] = {
		{REFUSAL(ID("r1")), TCP_STUB_KEEP_OPEN},
		{ANSWER(ID("r2")), TCP_STUB_KEEP_OPEN},
	};
	static fixture_t fixture; /* outlives a failure */
	tcp_stub_t server;

	tcp_stub_start(&server, answers, G_N_ELEMENTS(answers));
	start(&fixture);
	list(&fixture, "i-0", server.address, "\"service\":\"app\"");
	assert_true(support_run_loop_until(is_ready, &fixture, WAIT_MS));
	assert_int_equal(ask(&fixture, "/u/x", "r1", 10), 503);
	tcp_stub_send(&server, REFUSAL(""));
	assert_int_equal(ask(&fixture, "/u/x", "r2", 10), 200);
	stop(&fixture);
	tcp_stub_stop(&server);
}

/* Guards against servers without IDs whose refusals are never believed: on a connection
 * that carried nothing before, there is nothing to copy.
 */
static void test_refusal_on_a_new_connection(void **state)
{
	static const tcp_stub_answer_t answers[] = {
		{REFUSAL(""), TCP_STUB_CLOSE},
	};
	static fixture_t fixture; /* outlives a failure */
	tcp_stub_t server;

	tcp_stub_start(&server, answers, G_N_ELEMENTS(answers));
	start(&fixture);
	list(&fixture, "i-0", server.address, "\"service\":\"app\"");
	assert_true(support_run_loop_until(is_ready, &fixture, WAIT_MS));
	for (unsigned i = 0; i < 3; i++)
		assert_int_equal(ask(&fixture, "/u/x", "r1", 10), 503);
	stop(&fixture);
	tcp_stub_stop(&server);
}

/* A server's answer to a health check, which has no ID. */
#define ILL "HTTP/1.1 503 Service Unavailable\r\n" FIELDS "no"

static server_t *find_plain_server(fixture_t *fixture)
{
	return server_set_find(&fixture->vm.entry.servers, "i-0");
}

static bool is_probed(void *context)
{
	fixture_t *fixture = context;

	return !server_is_suspect(find_plain_server(fixture));
}

static bool has_two_requests(void *context)
{
	return ((const tcp_stub_t *)context)->requests == 2;
}

/* Lets the VM check the server's health. */
static void probe(fixture_t *fixture)
{
	clock_source_t clock = clock_boottime();

	server_mark_suspect(find_plain_server(fixture), clock_now(&clock));
	assert_true(support_run_loop_until(is_probed, fixture, WAIT_MS));
}

static bool has_three_requests(void *context)
{
	return ((const tcp_stub_t *)context)->requests == 3;
}

/* Guards against a copy of an answer to a health check that passes for the answer to the
 * request after it, which the server runs: the caller would send it again. Nothing is known
 * of the server yet, so that the request has a connection of its own.
 */
static void test_copy_of_the_first_health_answer(void **state)
{
	static const tcp_stub_answer_t answers[] = {
		{ILL, TCP_STUB_KEEP_OPEN},
		{NULL, TCP_STUB_KEEP_OPEN},
	};
	static fixture_t fixture; /* outlives a failure */
	tcp_stub_t server;

	tcp_stub_start(&server, answers, G_N_ELEMENTS(answers));
	start(&fixture);
	list(&fixture, "i-0", server.address, "\"service\":\"app\"");
	assert_true(support_run_loop_until(is_ready, &fixture, WAIT_MS));
	probe(&fixture);
	send_request(&fixture, "/u/x", "r1", 10);
	assert_true(support_run_loop_until(has_two_requests, &server, WAIT_MS));
	assert_int_equal(server.accepted, 2);
	tcp_stub_send(&server, ILL);
	assert_true(support_run_loop_until(has_ended, &fixture, WAIT_MS));
	assert_false(says_not_run(fixture.status));
	stop(&fixture);
	tcp_stub_stop(&server);
}

/* The same of a server that is known to repeat IDs, on the connection of the check. */
static void test_copy_of_a_health_answer(void **state)
{
	static const tcp_stub_answer_t answers[] = {
		{ANSWER(ID("r1")), TCP_STUB_KEEP_OPEN},
		{ILL, TCP_STUB_KEEP_OPEN},
		{ILL ANSWER(ID("r2")), TCP_STUB_KEEP_OPEN},
	};
	static fixture_t fixture; /* outlives a failure */
	tcp_stub_t server;

	tcp_stub_start(&server, answers, G_N_ELEMENTS(answers));
	start(&fixture);
	list(&fixture, "i-0", server.address, "\"service\":\"app\"");
	assert_true(support_run_loop_until(is_ready, &fixture, WAIT_MS));
	assert_int_equal(ask(&fixture, "/u/x", "r1", 10), 200);
	probe(&fixture);
	send_request(&fixture, "/u/x", "r2", 10);
	assert_true(
		support_run_loop_until(has_three_requests, &server, WAIT_MS));
	assert_true(support_run_loop_until(has_ended, &fixture, WAIT_MS));
	assert_false(says_not_run(fixture.status));
	stop(&fixture);
	tcp_stub_stop(&server);
}

/* Guards against a status that tells a caller that its request has not run, of a server
 * which does not say so: the request may not be repeated.
 */
static void test_refusal_without_a_statement(void **state)
{
	static const char *const answers[] = {
		"HTTP/1.1 503 Busy\r\n" ID("r1") FIELDS "no",
		"HTTP/1.1 429 Busy\r\n" ID("r1") FIELDS "no",
		"HTTP/1.1 408 Slow\r\n" ID("r1") FIELDS "no",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		static fixture_t fixture; /* outlives a failure */
		tcp_stub_answer_t answer = {answers[i], TCP_STUB_KEEP_OPEN};
		tcp_stub_t server;

		tcp_stub_start(&server, &answer, 1);
		start(&fixture);
		list(&fixture, "i-0", server.address, "\"service\":\"app\"");
		assert_true(
			support_run_loop_until(is_ready, &fixture, WAIT_MS));
		assert_false(says_not_run(ask(&fixture, "/u/x", "r1", 10)));
		stop(&fixture);
		tcp_stub_stop(&server);
	}
}

/* --- engines ------------------------------------------------------------- */

static bool has_three_servers(void *context)
{
	const fixture_t *fixture = context;

	return fixture->vm.entry.table &&
	       server_set_count_usable(&fixture->vm.entry.servers) == 3;
}

/* Guards against a copy with the request's own ID: a request that comes back to an engine
 * which has refused it must not use the connection of that refusal.
 */
static void test_request_that_comes_back(void **state)
{
	static const tcp_stub_answer_t refusals[] = {
		{REFUSAL(ID("s1")), TCP_STUB_KEEP_OPEN},
	};
	static const tcp_stub_answer_t prompts[] = {
		{PROMPT_READ, TCP_STUB_CLOSE},
	};
	static fixture_t fixture; /* outlives a failure */
	tcp_stub_t prefill, decodes[2];
	unsigned requests = 0;

	start(&fixture);
	tcp_stub_start(&prefill, prompts, G_N_ELEMENTS(prompts));
	list(&fixture, "i-0", prefill.address,
	     "\"service\":\"llm\",\"stage\":\"prefill\"");
	for (unsigned i = 0; i < 2; i++) {
		tcp_stub_start(&decodes[i], refusals, G_N_ELEMENTS(refusals));
		list(&fixture, i ? "i-2" : "i-1", decodes[i].address,
		     "\"service\":\"llm\",\"stage\":\"decode\"");
	}
	assert_true(
		support_run_loop_until(has_three_servers, &fixture, WAIT_MS));
	assert_int_equal(ask(&fixture, "/l/x", "s1", 10), 503);
	for (unsigned i = 0; i < 2; i++) {
		requests = MAX(requests, decodes[i].requests);
		assert_int_equal(decodes[i].accepted, decodes[i].requests);
	}
	assert_true(requests > 1);
	support_run_loop_ms(50); /* the prompt's result is released */
	stop(&fixture);
	tcp_stub_stop(&prefill);
	for (unsigned i = 0; i < 2; i++)
		tcp_stub_stop(&decodes[i]);
}

static bool has_two_servers(void *context)
{
	const fixture_t *fixture = context;

	return fixture->vm.entry.table &&
	       server_set_count_usable(&fixture->vm.entry.servers) == 2;
}

static bool has_request(void *context)
{
	const tcp_stub_t *stub = context;

	return stub->requests > 0;
}

static bool has_one_server(void *context)
{
	const fixture_t *fixture = context;

	return server_set_count_usable(&fixture->vm.entry.servers) == 1;
}

/* Guards against a process that ends as it releases the result of a prompt whose engine has
 * left the list meanwhile.
 */
static void test_release_after_a_removal(void **state)
{
	static const tcp_stub_answer_t refusals[] = {
		{NULL, TCP_STUB_KEEP_OPEN},
	};
	static const tcp_stub_answer_t prompts[] = {
		{PROMPT_READ, TCP_STUB_CLOSE},
	};
	static fixture_t fixture; /* outlives a failure */
	tcp_stub_t prefill, decode;

	start(&fixture);
	tcp_stub_start(&prefill, prompts, G_N_ELEMENTS(prompts));
	tcp_stub_start(&decode, refusals, G_N_ELEMENTS(refusals));
	list(&fixture, "i-0", prefill.address,
	     "\"service\":\"llm\",\"stage\":\"prefill\"");
	list(&fixture, "i-1", decode.address,
	     "\"service\":\"llm\",\"stage\":\"decode\"");
	assert_true(support_run_loop_until(has_two_servers, &fixture, WAIT_MS));
	send_request(&fixture, "/l/x", "s1", 10);
	assert_true(support_run_loop_until(has_request, &decode, WAIT_MS));
	fake_store_remove(&fixture.store, TABLE_SERVERS, "i-0");
	assert_true(support_run_loop_until(has_one_server, &fixture, WAIT_MS));
	tcp_stub_send(&decode, REFUSAL(ID("s1")));
	assert_true(support_run_loop_until(has_ended, &fixture, WAIT_MS));
	assert_int_equal(fixture.status, 503);
	support_run_loop_ms(50);
	assert_int_equal(prefill.requests, 2);
	stop(&fixture);
	tcp_stub_stop(&prefill);
	tcp_stub_stop(&decode);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_copy_after_the_next_request),
		cmocka_unit_test(test_copy_on_an_idle_connection),
		cmocka_unit_test(test_refusal_on_a_new_connection),
		cmocka_unit_test(test_copy_of_the_first_health_answer),
		cmocka_unit_test(test_copy_of_a_health_answer),
		cmocka_unit_test(test_refusal_without_a_statement),
		cmocka_unit_test(test_request_that_comes_back),
		cmocka_unit_test(test_release_after_a_removal),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
