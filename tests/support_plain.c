#include "support_plain.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "names.h"
#include "support_address.h"
#include "support_tcp_stub.h"

/* Names the VM to which a caller sends its request; servers get it unchanged. */
#define HEADER_VM "X-Test-Vm"

int64_t plain_now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* --- servers ------------------------------------------------------------- */

static void answer(const plain_server_t *server, exchange_t *exchange)
{
	const http_headers_t *sent = &exchange_head(exchange)->headers;
	str_t id = http_headers_get(sent, "x-request-id");
	http_headers_t headers;

	http_headers_init(&headers);
	if (id.len)
		http_headers_add(&headers, STR("X-Request-Id"), id);
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

/* Returns whether a request is meant for another server than this one. */
static bool is_misdirected(const plain_server_t *server,
			   const http_head_t *head)
{
	str_t expected = http_headers_get(&head->headers, "x-expect-instance");

	return expected.len && !str_equal(expected, str_from(server->id));
}

/* Answers that another server than the expected one has the address. */
static void answer_misdirected(const plain_server_t *server,
			       exchange_t *exchange)
{
	const http_headers_t *sent = &exchange_head(exchange)->headers;
	str_t id = http_headers_get(sent, "x-request-id");
	http_headers_t headers;

	http_headers_init(&headers);
	if (id.len)
		http_headers_add(&headers, STR("X-Request-Id"), id);
	http_headers_add(&headers, STR("X-Instance-Id"), str_from(server->id));
	exchange_reply(exchange, 421, &headers, STR(""));
	http_headers_finish(&headers);
}

static void on_request(void *context, exchange_t *exchange)
{
	plain_server_t *server = context;
	const http_head_t *head = exchange_head(exchange);
	char *vm = str_dup(http_headers_get(&head->headers, "x-test-vm"));
	plain_arrival_t arrival = {
		.at_us = plain_now_us(),
		.vm = (unsigned)atoi(vm),
		.is_check = g_str_equal(head->target->str, "/health"),
	};

	g_free(vm);
	if (is_misdirected(server, head)) {
		server->misdirected++;
		answer_misdirected(server, exchange);
		return;
	}
	g_array_append_val(server->arrivals, arrival);
	if (server->holds && !arrival.is_check)
		g_ptr_array_add(server->held, exchange);
	else
		answer(server, exchange);
}

static void on_gone(void *context, exchange_t *exchange)
{
	plain_server_t *server = context;

	g_ptr_array_remove(server->held, exchange);
}

static const ingress_handler_t server_handler = {
	.on_request = on_request,
	.on_gone = on_gone,
};

/* Sets what a server answers from now on. `field` may be NULL. */
void plain_say(plain_server_t *server, unsigned status, const char *field,
	       const char *value)
{
	server->status = status;
	server->field = field;
	server->value = value;
}

/* Lets a server answer as one that has nothing to say. */
void plain_say_nothing(plain_server_t *server)
{
	plain_say(server, 200, NULL, NULL);
}

/* Answers the requests that a server holds. */
void plain_answer_held(plain_server_t *server)
{
	while (server->held->len > 0)
		answer(server, g_ptr_array_remove_index(server->held, 0));
}

/* Writes an entry with the address of a server under another ID, as that of an earlier
 * process there. `rest` is "" or further members, each after a comma.
 */
void plain_list_as(plain_fixture_t *fixture, const plain_server_t *server,
		   const char *id, const char *rest)
{
	char *entry = g_strdup_printf(
		"{\"service\":\"app\",\"address\":\"%s\",\"zone\":\"z\","
		"\"slots\":6,\"state\":\"ready\",\"sequence\":1%s}",
		server->address, rest);

	fake_store_put(&fixture->store, TABLE_SERVERS, id, entry);
	g_free(entry);
}

/* Writes the entry of a server. `rest` is "" or further members, each after a comma. */
void plain_list(plain_fixture_t *fixture, const plain_server_t *server,
		const char *state, const char *rest)
{
	char *entry = g_strdup_printf(
		"{\"service\":\"app\",\"address\":\"%s\",\"zone\":\"z\","
		"\"slots\":6,\"state\":\"%s\",\"sequence\":1%s}",
		server->address, state, rest);

	fake_store_put(&fixture->store, TABLE_SERVERS, server->id, entry);
	g_free(entry);
}

/* Removes the entry of a server, as when it has lapsed. */
void plain_unlist(plain_fixture_t *fixture, const plain_server_t *server)
{
	fake_store_remove(&fixture->store, TABLE_SERVERS, server->id);
}

/* Ends the process of a server, which cuts the requests that it holds. The next process
 * at its address, with another ID, answers and is listed at once.
 */
void plain_crash(plain_fixture_t *fixture, plain_server_t *server,
		 const char *next_id)
{
	while (server->held->len > 0)
		exchange_abort(g_ptr_array_remove_index(server->held, 0));
	plain_unlist(fixture, server);
	g_free(server->id);
	server->id = g_strdup(next_id);
	server->holds = false;
	plain_list(fixture, server, "ready", ",\"born\":2000");
}

static void start_server(plain_fixture_t *fixture, unsigned index)
{
	plain_server_t *server = &fixture->servers[index];

	server->status = 200;
	server->arrivals = g_array_new(FALSE, FALSE, sizeof(plain_arrival_t));
	server->held = g_ptr_array_new();
	server->id = g_strdup_printf("i-%u", index);
	server->address = support_server_start(&server->ingress,
					       &fixture->store, server->id,
					       "\"service\":\"app\"",
					       &server_handler, server);
}

static void stop_server(plain_server_t *server)
{
	ingress_finish(&server->ingress);
	g_array_unref(server->arrivals);
	g_ptr_array_unref(server->held);
	g_free(server->id);
	g_free(server->address);
}

/* Counts the requests, without health checks, that a server got in a time and that
 * callers had sent to a VM.
 */
unsigned plain_count(const plain_server_t *server, unsigned vm, int64_t from_us,
		     int64_t until_us)
{
	unsigned n = 0;

	for (guint i = 0; i < server->arrivals->len; i++) {
		const plain_arrival_t *arrival =
			&g_array_index(server->arrivals, plain_arrival_t, i);

		n += !arrival->is_check && arrival->vm == vm &&
				     arrival->at_us >= from_us &&
				     arrival->at_us < until_us
			     ? 1
			     : 0;
	}
	return n;
}

/* --- VMs ----------------------------------------------------------------- */

typedef struct {
	const plain_fixture_t *fixture;
	unsigned servers;
} wanted_t;

static bool know_servers(void *context)
{
	const wanted_t *wanted = context;

	for (unsigned i = 0; i < PLAIN_VMS; i++) {
		const entry_t *vm = &wanted->fixture->vms[i].entry;

		if (!vm->table ||
		    g_hash_table_size(vm->servers.by_id) != wanted->servers ||
		    occupancy_live_peers(&vm->occupancy, plain_now_us()) !=
			    PLAIN_VMS - 1)
			return false;
	}
	return true;
}

/* Waits until all VMs know each other and this many servers. */
void plain_await_servers(plain_fixture_t *fixture, unsigned servers)
{
	wanted_t wanted = {fixture, servers};

	assert_true(
		support_run_loop_until(know_servers, &wanted, PLAIN_WAIT_MS));
}

/* Starts the VMs and the servers. */
void plain_start(plain_fixture_t *fixture)
{
	static const char config[] =
		"{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
		"\"pathPrefix\":\"/a/\",\"kind\":\"safe\",\"timeoutMs\":1500,"
		"\"targetLatencyMs\":300,\"service\":\"app\","
		"\"maxAttempts\":2},{\"name\":\"u\",\"host\":\"h\","
		"\"pathPrefix\":\"/u/\",\"kind\":\"unsafe\","
		"\"timeoutMs\":4000,\"targetLatencyMs\":300,"
		"\"service\":\"app\",\"maxAttempts\":1}],\"services\":[{\"name\":\"app\","
		"\"healthPath\":\"/health\"}]}";

	memset(fixture, 0, sizeof(*fixture));
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	for (unsigned i = 0; i < PLAIN_SERVERS; i++)
		start_server(fixture, i);
	for (unsigned i = 0; i < PLAIN_VMS; i++)
		support_entry_start(&fixture->vms[i], i ? "vm-1" : "vm-0",
				    fixture->store_address);
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
	plain_await_servers(fixture, PLAIN_SERVERS);
}

/* Stops them. */
void plain_stop(plain_fixture_t *fixture)
{
	http_pool_finish(&fixture->callers);
	for (unsigned i = 0; i < PLAIN_VMS; i++)
		support_entry_stop(&fixture->vms[i]);
	for (unsigned i = 0; i < PLAIN_SERVERS; i++)
		stop_server(&fixture->servers[i]);
	fake_store_stop(&fixture->store);
	g_free(fixture->store_address);
}

/* --- callers ------------------------------------------------------------- */

static void call_on_head(void *context, const http_head_t *head)
{
	plain_fixture_t *fixture = context;
	char *text = str_dup(http_headers_get(&head->headers, "retry-after"));

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
	((plain_fixture_t *)context)->open--;
}

static const call_handler_t call_handler = {
	.on_head = call_on_head,
	.on_body = call_on_body,
	.on_end = call_on_end,
};

static void send_request(plain_fixture_t *fixture, unsigned vm,
			 const char *path)
{
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = support_entry_address(&fixture->vms[vm]),
		.message = message,
		.handler = &call_handler,
		.context = fixture,
	};

	g_string_append_printf(message,
			       "GET %s HTTP/1.1\r\nHost: h\r\n"
			       "X-Deadline-Ms: 4000\r\n"
			       "X-Request-Id: r%u\r\n" HEADER_VM ": %u\r\n\r\n",
			       path, ++fixture->requests, vm);
	fixture->open++;
	assert_non_null(http_pool_call(&fixture->callers, &options));
	g_string_free(message, TRUE);
}

/* Sends a request that may be repeated to a VM. */
void plain_send(plain_fixture_t *fixture, unsigned vm)
{
	send_request(fixture, vm, "/a/x");
}

static bool is_answered(void *context)
{
	return ((plain_fixture_t *)context)->open == 0;
}

/* Sends a request to a VM and waits for its answer. */
void plain_ask(plain_fixture_t *fixture, unsigned vm)
{
	plain_send(fixture, vm);
	assert_true(
		support_run_loop_until(is_answered, fixture, PLAIN_WAIT_MS));
}

/* Sends requests to a VM, 10 ms apart, until a time. */
void plain_ask_until(plain_fixture_t *fixture, unsigned vm, int64_t until_us)
{
	while (plain_now_us() < until_us) {
		plain_ask(fixture, vm);
		support_run_loop_ms(10);
	}
}

/* Sends requests until a server has got one more. Returns when it came. */
int64_t plain_await_arrival(plain_fixture_t *fixture, unsigned vm,
			    plain_server_t *server)
{
	guint before = server->arrivals->len;

	for (unsigned i = 0; i < 100 && server->arrivals->len == before; i++)
		plain_ask(fixture, vm);
	assert_true(server->arrivals->len > before);
	return g_array_index(server->arrivals, plain_arrival_t, before).at_us;
}

static bool has_held(void *context)
{
	const plain_server_t *server = context;

	return server->held->len > 0;
}

/* Sends requests that must not run twice until a server holds one: a VM gives up one
 * that may run again when it takes long.
 */
void plain_await_held(plain_fixture_t *fixture, unsigned vm,
		      plain_server_t *server)
{
	server->holds = true;
	for (unsigned i = 0; i < 4 && server->held->len == 0; i++) {
		send_request(fixture, vm, "/u/x");
		support_run_loop_ms(10);
	}
	assert_true(support_run_loop_until(has_held, server, PLAIN_WAIT_MS));
}
