/* Backend servers that name a limit on the requests that they take from all VMs
 * together, in front of them several VMs that share one main loop.
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

#define VMS 5
#define SERVERS 3
#define MAX_CALLS 2000

/* A server's limit holds from this time after it first named it. */
#define SETTLE_US (3 * CLOCK_US_PER_S)

/* The users' bound: in any 4 s, one and a half times what the limit allows, and
 * five requests.
 */
#define WINDOW_US (4 * CLOCK_US_PER_S)
#define ALLOWED(limit_per_s) (1.5 * 4 * (limit_per_s) + 5)

/* A plain backend server that answers at once. */
typedef struct {
	ingress_t ingress;
	char *address;
	char *id;
	const char *limit; /* named in its answers; NULL: none */
	GArray *arrivals; /* int64_t, times */
} server_stub_t;

typedef struct fixture fixture_t;

/* One request of a caller. */
typedef struct {
	fixture_t *fixture;
	int64_t sent_us;
	int64_t queued_us; /* of queued_us(), when it was sent */
	unsigned status;
} call_t;

struct fixture {
	fake_store_t store;
	char *store_address;
	support_entry_t vms[VMS];
	server_stub_t servers[SERVERS];
	http_pool_t callers;
	call_t calls[MAX_CALLS];
	unsigned sent, served, refused, failed;
	unsigned per_s; /* requests of all callers */
	int64_t longest_refusal_us; /* without the time in the run queue */
	int64_t longest_wait_us; /* with it */
	alarm_t next;
	int64_t next_us; /* time of the next request */
};

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* Returns how long the thread has waited for a processor since its start while it could
 * run: the second figure of its schedstat. VMs, servers and callers share the thread. 0 if the
 * kernel does not count it, so that all time counts as that of the VMs.
 */
static int64_t queued_us(void)
{
	char *text = NULL;
	const char *second = NULL;
	int64_t ns = 0;

	if (g_file_get_contents("/proc/thread-self/schedstat", &text, NULL,
				NULL))
		second = strchr(text, ' ');
	if (second)
		ns = g_ascii_strtoll(second, NULL, 10);
	g_free(text);
	return ns / 1000;
}

/* --- servers ------------------------------------------------------------ */

static void server_on_request(void *context, exchange_t *exchange)
{
	server_stub_t *server = context;
	int64_t at_us = now_us();
	http_headers_t headers;

	g_array_append_val(server->arrivals, at_us);
	http_headers_init(&headers);
	http_headers_add(&headers, STR("X-Response-Signature"),
			 str_from(server->id));
	http_headers_add(&headers, STR("Keep-Alive"), STR("timeout=5"));
	if (server->limit)
		http_headers_add(&headers, STR("Server-Limit"),
				 str_from(server->limit));
	exchange_reply(exchange, 200, &headers, STR("ok"));
	http_headers_finish(&headers);
}

static void server_on_gone(void *context, exchange_t *exchange)
{
}

static const ingress_handler_t server_handler = {
	.on_request = server_on_request,
	.on_gone = server_on_gone,
};

static void start_server(fixture_t *fixture, size_t i)
{
	server_stub_t *server = &fixture->servers[i];

	server->id = g_strdup_printf("i-%zu", i);
	server->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
	server->address = support_server_start(&server->ingress,
					       &fixture->store, server->id,
					       "\"service\":\"app\"",
					       &server_handler, server);
}

/* Returns the most arrivals in a window from a time on. */
static unsigned most_arrivals(const server_stub_t *server, int64_t from_us)
{
	unsigned most = 0;

	for (guint i = 0; i < server->arrivals->len; i++) {
		int64_t start_us = g_array_index(server->arrivals, int64_t, i);
		unsigned n = 0;

		if (start_us < from_us)
			continue;
		for (guint k = i; k < server->arrivals->len; k++)
			n += g_array_index(server->arrivals, int64_t, k) -
						     start_us <
					     WINDOW_US
				     ? 1
				     : 0;
		most = MAX(most, n);
	}
	return most;
}

/* Returns the arrivals from a time on. */
static unsigned arrivals_since(const server_stub_t *server, int64_t from_us)
{
	unsigned n = 0;

	for (guint i = 0; i < server->arrivals->len; i++)
		n += g_array_index(server->arrivals, int64_t, i) >= from_us;
	return n;
}

/* --- callers ------------------------------------------------------------ */

/* Returns the requests that callers have sent from a time on. */
static unsigned sent_since(const fixture_t *fixture, int64_t from_us)
{
	unsigned n = 0;

	for (unsigned i = 0; i < fixture->sent; i++)
		n += fixture->calls[i].sent_us >= from_us;
	return n;
}

static void call_on_head(void *context, const http_head_t *head)
{
	call_t *call = context;

	call->status = head->status;
}

static void call_on_body(void *context, const char *data, size_t len)
{
}

/* Counts a refusal. The VMs answer for its time but for that in which the machine did not
 * run them.
 */
static void note_refusal(const call_t *call)
{
	fixture_t *fixture = call->fixture;
	int64_t wait_us = now_us() - call->sent_us;
	int64_t refusal_us = wait_us - (queued_us() - call->queued_us);

	fixture->refused++;
	fixture->longest_wait_us = MAX(fixture->longest_wait_us, wait_us);
	fixture->longest_refusal_us =
		MAX(fixture->longest_refusal_us, refusal_us);
}

static void call_on_end(void *context, call_end_t end)
{
	call_t *call = context;
	fixture_t *fixture = call->fixture;

	if (end == CALL_ANSWERED && call->status == 200) {
		fixture->served++;
	} else if (end == CALL_ANSWERED && call->status == 503) {
		note_refusal(call);
	} else {
		fixture->failed++;
	}
}

static const call_handler_t call_handler = {
	.on_head = call_on_head,
	.on_body = call_on_body,
	.on_end = call_on_end,
};

/* Sends one request, half of them to the first VM. */
static void on_next(void *context)
{
	fixture_t *fixture = context;
	unsigned n = fixture->sent++;
	call_t *call = &fixture->calls[n];
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = support_entry_address(
			&fixture->vms[n % 2 ? 0 : n / 2 % VMS]),
		.message = message,
		.handler = &call_handler,
		.context = call,
	};

	assert_true(fixture->sent < MAX_CALLS);
	*call = (call_t){.fixture = fixture,
			 .sent_us = now_us(),
			 .queued_us = queued_us()};
	g_string_printf(message,
			"POST /p/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%u\r\n"
			"X-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n",
			n);
	assert_non_null(http_pool_call(&fixture->callers, &options));
	g_string_free(message, TRUE);
	fixture->next_us += CLOCK_US_PER_S / fixture->per_s;
	alarm_set(&fixture->next, fixture->next_us);
}

/* --- VMs ----------------------------------------------------------------- */

static void put_config(fixture_t *fixture)
{
	fake_store_put(
		&fixture->store, TABLE_CONFIG, KEY_CONFIG,
		"{\"version\":1,\"routes\":[{\"name\":\"u\",\"host\":\"h\","
		"\"pathPrefix\":\"/p/\",\"kind\":\"unsafe\",\"timeoutMs\":"
		"1500,\"targetLatencyMs\":300,\"service\":\"app\","
		"\"maxAttempts\":1}],\"services\":[{\"name\":\"app\","
		"\"healthPath\":\"/health\"}]}");
}

static bool are_ready(void *context)
{
	const fixture_t *fixture = context;

	for (size_t i = 0; i < VMS; i++) {
		const entry_t *vm = &fixture->vms[i].entry;

		if (!vm->table || vm->vm_count < VMS ||
		    server_set_count_usable(&vm->servers) < SERVERS)
			return false;
	}
	return true;
}

/* Starts the store, the servers and the VMs, then the callers. */
static fixture_t *start(unsigned per_s)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->per_s = per_s;
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	put_config(fixture);
	for (size_t i = 0; i < SERVERS; i++)
		start_server(fixture, i);
	for (size_t i = 0; i < VMS; i++) {
		char *name = g_strdup_printf("vm-%zu", i);

		support_entry_start(&fixture->vms[i], name,
				    fixture->store_address);
		g_free(name);
	}
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
	assert_true(support_run_loop_until(are_ready, fixture, 5000));
	alarm_init(&fixture->next, clock_boottime(), on_next, fixture);
	fixture->next_us = now_us();
	alarm_set(&fixture->next, fixture->next_us);
	return fixture;
}

static void stop(fixture_t *fixture)
{
	alarm_set(&fixture->next, -1);
	support_run_loop_ms(300); /* until all calls have ended */
	alarm_finish(&fixture->next);
	http_pool_finish(&fixture->callers);
	for (size_t i = 0; i < VMS; i++)
		support_entry_stop(&fixture->vms[i]);
	for (size_t i = 0; i < SERVERS; i++) {
		ingress_finish(&fixture->servers[i].ingress);
		g_array_unref(fixture->servers[i].arrivals);
		g_free(fixture->servers[i].address);
		g_free(fixture->servers[i].id);
	}
	fake_store_stop(&fixture->store);
	g_free(fixture->store_address);
	g_free(fixture);
}

/* Guards against more requests than a server in need takes, summed over all
 * VMs, while other servers have room, and against a server that stays without
 * requests after it has withdrawn its limit.
 */
static void test_limit_over_all_vms(void **state)
{
	fixture_t *fixture = start(60);
	server_stub_t *limited = &fixture->servers[1];
	int64_t named_us, lifted_us;
	unsigned most;

	support_run_loop_ms(1000);
	named_us = now_us();
	limited->limit = "5.0";
	support_run_loop_ms(9000);
	most = most_arrivals(limited, named_us + SETTLE_US);
	print_message("most in 4 s: %u\n", most);
	assert_true(most <= ALLOWED(5.0));
	assert_true(arrivals_since(limited, named_us + SETTLE_US) > 0);
	assert_int_equal(fixture->refused + fixture->failed, 0);
	lifted_us = now_us();
	limited->limit = NULL;
	support_run_loop_ms(5000);
	print_message("without its limit: %u of %u requests\n",
		      arrivals_since(limited, lifted_us + SETTLE_US),
		      sent_since(fixture, lifted_us + SETTLE_US));
	assert_true(arrivals_since(limited, lifted_us + SETTLE_US) > 20);
	stop(fixture);
}

/* Guards against more requests than the servers take when all of them name a
 * limit, and against requests that wait before they are refused.
 */
static void test_limits_of_all_servers(void **state)
{
	fixture_t *fixture = start(60);
	int64_t named_us = now_us();

	for (size_t i = 0; i < SERVERS; i++)
		fixture->servers[i].limit = "6.5";
	support_run_loop_ms(9000);
	for (size_t i = 0; i < SERVERS; i++) {
		unsigned most = most_arrivals(&fixture->servers[i],
					      named_us + SETTLE_US);

		print_message("most in 4 s: %u\n", most);
		assert_true(most <= ALLOWED(6.5));
		/* Half of what the limit allows, from 3 to 9 s. */
		assert_true(arrivals_since(&fixture->servers[i],
					   named_us + SETTLE_US) > 6 * 6.5 / 2);
	}
	assert_int_equal(fixture->failed, 0);
	print_message("longest refusal: %" G_GINT64_FORMAT
		      " us, %" G_GINT64_FORMAT
		      " us with the time in the run queue\n",
		      fixture->longest_refusal_us, fixture->longest_wait_us);
	assert_true(fixture->refused > 0);
	assert_true(fixture->longest_refusal_us < 100 * CLOCK_US_PER_MS);
	stop(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limit_over_all_vms),
		cmocka_unit_test(test_limits_of_all_servers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
