/* Memory of a VM, a process of its own, while large answers wait for callers that read slowly or
 * not at all, and the small requests of others beside them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/address.h"
#include "connection/http_pool.h"
#include "connection/ingress.h"
#include "names.h"
#include "process/alarm.h"
#include "support_address.h"
#include "support_entry.h"
#include "support_store.h"
#include "support_tcp_stub.h"
#include "support_vm_process.h"

#define WAIT_MS 15000
#define SHUTDOWN_LIMIT_S 5

/* The answers that wait, each of one letter. */
#define ANSWER_BYTES ((size_t)1 << 20)
#define LETTERS 26

/* Requests that one caller sends before it reads, and for how long it reads
 * nothing: less than the time after which a caller is given up.
 */
#define PIPELINED 200
#define UNREAD_MS 4000

/* Callers with one request each, all at once, or one after the other at a gap. So many of them
 * read nothing.
 */
#define CALLERS 50
#define MORE_CALLERS 120
#define CALLER_GAP_MS 25
#define SILENT 20
#define MAX_CALLERS 128

/* What the kernel keeps for a caller that does not read, and what a slow caller
 * reads at a time. */
#define RECEIVE_BUFFER_BYTES 65536
#define SLOW_READ_BYTES 16384
#define SLOW_GAP_US (20 * CLOCK_US_PER_MS)
#define FAST_GAP_US (1 * CLOCK_US_PER_MS)

/* All answers to the callers that read. */
#define ALL_MS 20000

/* Small requests of others. */
#define OTHER_GAP_US (20 * CLOCK_US_PER_MS)
#define MAX_OTHERS 4096

/* How much a caller reads. */
typedef enum { READS_NOTHING, READS_SLOWLY, READS_ALL } pace_t;

typedef struct fixture fixture_t;

/* A caller of large answers. */
typedef struct {
	fixture_t *fixture;
	pace_t pace;
	int fd;
	alarm_t next;
	unsigned first; /* number of its first request */
	unsigned requests;
	GString *head; /* of the answer that is being read, up to its end */
	size_t body_left; /* of that answer */
	unsigned answers; /* that are whole */
	bool refused; /* with 503 and Retry-After */
	unsigned wrong; /* bytes of another answer, or another status */
	bool ended; /* its connection */
} caller_t;

/* A small request of another caller. */
typedef struct {
	fixture_t *fixture;
	int64_t sent_us;
	unsigned status;
} other_t;

struct fixture {
	/* The second VM is there if the first one reaches no server. */
	fake_store_t stores[2];
	char *store_addresses[2];
	vm_process_t vms[2];
	unsigned n_vms;
	ingress_t server;
	char *server_address;
	char *bodies[LETTERS];
	unsigned large_run; /* requests for large answers that came to the server */
	bool has_run[MAX_CALLERS]; /* by the number of such a request */
	caller_t callers[MAX_CALLERS];
	unsigned n_callers;
	http_pool_t others;
	alarm_t next_other;
	unsigned others_sent, others_ended, others_served;
	int64_t others_us[MAX_OTHERS];
};

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"p\",\"host\":\"h\","
	"\"pathPrefix\":\"/p/\",\"kind\":\"unsafe\",\"timeoutMs\":15000,"
	"\"service\":\"app\",\"maxAttempts\":1},"
	"{\"name\":\"s\",\"host\":\"h\","
	"\"pathPrefix\":\"/s/\",\"kind\":\"unsafe\",\"timeoutMs\":15000,"
	"\"service\":\"app\",\"maxAttempts\":1}],"
	"\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\"}]}";

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* --- the server ---------------------------------------------------------- */

/* Answers "/p/large/N" with many bytes of the letter of N, all else with two
 * bytes. */
static void server_on_request(void *context, exchange_t *exchange)
{
	static const char prefix[] = "/p/large/";
	fixture_t *fixture = context;
	const char *target = exchange_head(exchange)->target->str;
	str_t body = STR("ok");
	http_headers_t headers;

	if (g_str_has_prefix(target, prefix)) {
		uint64_t number =
			g_ascii_strtoull(target + strlen(prefix), NULL, 10);

		fixture->large_run++;
		fixture->has_run[number % MAX_CALLERS] = true;
		body = (str_t){fixture->bodies[number % LETTERS], ANSWER_BYTES};
	}
	http_headers_init(&headers);
	http_headers_add(&headers, STR("X-Response-Signature"), STR("s"));
	exchange_reply(exchange, 200, &headers, body);
	http_headers_finish(&headers);
}

static void server_on_gone(void *context, exchange_t *exchange)
{
}

static const ingress_handler_t server_handler = {
	.on_request = server_on_request,
	.on_gone = server_on_gone,
};

/* --- others -------------------------------------------------------------- */

static void other_on_head(void *context, const http_head_t *head)
{
	((other_t *)context)->status = head->status;
}

static void other_on_body(void *context, const char *data, size_t len)
{
}

static void other_on_end(void *context, call_end_t end)
{
	other_t *other = context;
	fixture_t *fixture = other->fixture;

	fixture->others_us[fixture->others_ended++] = now_us() - other->sent_us;
	if (end == CALL_ANSWERED && other->status == 200)
		fixture->others_served++;
	g_free(other);
}

static const call_handler_t other_handler = {
	.on_head = other_on_head,
	.on_body = other_on_body,
	.on_end = other_on_end,
};

/* Sends a small request. */
static void send_other(fixture_t *fixture)
{
	other_t *other = g_new0(other_t, 1);
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = fixture->vms[0].callers_address,
		.message = message,
		.handler = &other_handler,
		.context = other,
	};

	assert_true(fixture->others_sent < MAX_OTHERS);
	other->fixture = fixture;
	other->sent_us = now_us();
	g_string_append_printf(message,
			       "POST /s/small HTTP/1.1\r\nHost: h\r\n"
			       "X-Request-Id: o%u\r\nX-Deadline-Ms: 2000\r\n"
			       "Content-Length: 2\r\n\r\nhi",
			       fixture->others_sent++);
	if (!http_pool_call(&fixture->others, &options))
		other_on_end(other, CALL_NOT_SENT);
	g_string_free(message, TRUE);
}

static void on_next_other(void *context)
{
	fixture_t *fixture = context;

	send_other(fixture);
	alarm_set(&fixture->next_other, now_us() + OTHER_GAP_US);
}

static bool others_have_ended(void *context)
{
	const fixture_t *fixture = context;

	return fixture->others_ended == fixture->others_sent;
}

static int compare_times(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

/* Returns the 99th percentile of the times that the small requests took. */
static int64_t others_p99_us(fixture_t *fixture)
{
	unsigned n = fixture->others_ended;

	qsort(fixture->others_us, n, sizeof(int64_t), compare_times);
	return n ? fixture->others_us[(n - 1) * 99 / 100] : 0;
}

/* --- callers of large answers -------------------------------------------- */

/* Takes bytes of the head of an answer, and returns how many. */
static size_t take_head(caller_t *caller, const char *data, size_t len)
{
	size_t used = 0;

	while (used < len && caller->body_left == 0) {
		g_string_append_c(caller->head, data[used++]);
		if (!g_str_has_suffix(caller->head->str, "\r\n\r\n"))
			continue;
		caller->refused =
			g_str_has_prefix(caller->head->str, "HTTP/1.1 503 ") &&
			strstr(caller->head->str, "\r\nRetry-After: ");
		if (caller->refused)
			return len;
		caller->body_left = ANSWER_BYTES;
		if (!g_str_has_prefix(caller->head->str, "HTTP/1.1 200 ") ||
		    !strstr(caller->head->str, "Content-Length: 1048576\r\n")) {
			print_message("%s", caller->head->str);
			caller->wrong++;
		}
		g_string_truncate(caller->head, 0);
	}
	return used;
}

/* Takes bytes of the body of an answer, and returns how many. */
static size_t take_body(caller_t *caller, const char *data, size_t len)
{
	size_t used = MIN(len, caller->body_left);
	unsigned number = caller->first + caller->answers;

	for (size_t i = 0; i < used; i++)
		caller->wrong += data[i] != (char)('a' + number % LETTERS);
	caller->body_left -= used;
	if (used > 0 && caller->body_left == 0)
		caller->answers++;
	return used;
}

/* Reads once, and returns whether there was something. */
static bool caller_read(caller_t *caller)
{
	char buffer[SLOW_READ_BYTES];
	ssize_t n = recv(caller->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	size_t len = n > 0 ? (size_t)n : 0;
	size_t used = 0;

	while (used < len) {
		used += take_head(caller, buffer + used, len - used);
		used += take_body(caller, buffer + used, len - used);
	}
	if (n == 0 || (n < 0 && errno != EAGAIN))
		caller->ended = true;
	return n > 0;
}

static bool is_finished(const caller_t *caller)
{
	return caller->ended || caller->refused ||
	       caller->answers == caller->requests;
}

/* Reads as the caller does. */
static void on_caller_next(void *context)
{
	caller_t *caller = context;
	bool more = caller->pace != READS_NOTHING && caller_read(caller);

	while (more && caller->pace == READS_ALL)
		more = caller_read(caller);
	if (!is_finished(caller))
		alarm_set(&caller->next,
			  now_us() + (caller->pace == READS_ALL ? FAST_GAP_US
								: SLOW_GAP_US));
}

/* Connects a caller whose kernel takes little before it reads. */
static int connect_caller(const char *address)
{
	GSocketAddress *to = address_parse(address);
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, NULL);
	int fd;

	assert_true(g_socket_set_option(socket, SOL_SOCKET, SO_RCVBUF,
					RECEIVE_BUFFER_BYTES, NULL));
	assert_true(g_socket_connect(socket, to, NULL, NULL));
	fd = dup(g_socket_get_fd(socket));
	g_object_unref(to);
	g_object_unref(socket);
	return fd;
}

/* Sends the requests of a caller, all at once. */
static void caller_start(fixture_t *fixture, unsigned requests, pace_t pace)
{
	unsigned index = fixture->n_callers++;
	caller_t *caller = &fixture->callers[index];
	GString *text = g_string_new(NULL);

	assert_true(index < MAX_CALLERS);
	*caller = (caller_t){
		.fixture = fixture,
		.pace = pace,
		.first = index,
		.requests = requests,
		.head = g_string_new(NULL),
		.fd = connect_caller(fixture->vms[0].callers_address),
	};
	for (unsigned i = 0; i < requests; i++)
		g_string_append_printf(text,
				       "GET /p/large/%u HTTP/1.1\r\nHost: h\r\n"
				       "X-Request-Id: l%u-%u\r\n\r\n",
				       index + i, index, i);
	assert_int_equal(send(caller->fd, text->str, text->len, MSG_NOSIGNAL),
			 text->len);
	g_string_free(text, TRUE);
	alarm_init(&caller->next, clock_boottime(), on_caller_next, caller);
	alarm_set(&caller->next, now_us() + SLOW_GAP_US);
}

/* Returns whether the callers that read have all that they will get. */
static bool readers_have_finished(void *context)
{
	const fixture_t *fixture = context;

	for (unsigned i = 0; i < fixture->n_callers; i++) {
		const caller_t *caller = &fixture->callers[i];

		if (caller->pace != READS_NOTHING && !is_finished(caller))
			return false;
	}
	return true;
}

static void callers_finish(fixture_t *fixture)
{
	for (unsigned i = 0; i < fixture->n_callers; i++) {
		caller_t *caller = &fixture->callers[i];

		alarm_finish(&caller->next);
		g_string_free(caller->head, TRUE);
		(void)close(caller->fd);
	}
	fixture->n_callers = 0;
}

/* --- the deployment ------------------------------------------------------ */

/* Starts a VM with a store of its own that has the configuration. */
static void vm_start(fixture_t *fixture)
{
	unsigned index = fixture->n_vms++;
	char *name = g_strdup_printf("vm-%u", index);

	vm_process_start(&fixture->vms[index], name,
			 fixture->store_addresses[index], SHUTDOWN_LIMIT_S);
	g_free(name);
}

/* Lists a server that nobody reaches. */
static void list_unreached_server(fake_store_t *store)
{
	char *address = unused_address();
	char *entry = g_strdup_printf(
		"{\"service\":\"app\",\"address\":\"%s\",\"zone\":\"z\","
		"\"slots\":6,\"state\":\"ready\",\"sequence\":1,\"born\":1000}",
		address);

	fake_store_put(store, TABLE_SERVERS, "i-1", entry);
	g_free(entry);
	g_free(address);
}

/* Makes two VMs known to each other. */
static void introduce_vms(fixture_t *fixture)
{
	for (unsigned i = 0; i < 2; i++) {
		char *key = g_strdup_printf(STORE_VM_PREFIX "vm-%u", 1 - i);

		fake_store_put(&fixture->stores[i], TABLE_ROUTER, key,
			       fixture->vms[1 - i].peer_address);
		g_free(key);
	}
}

/* Waits until the VM that callers ask serves them. */
static void await_service(fixture_t *fixture)
{
	int64_t until_us = now_us() + WAIT_MS * CLOCK_US_PER_MS;

	while (fixture->others_served < 2) {
		send_other(fixture);
		assert_true(support_run_loop_until(others_have_ended, fixture,
						   WAIT_MS));
		assert_true(now_us() < until_us);
		support_run_loop_ms(20);
	}
	fixture->others_sent = fixture->others_ended = 0;
	fixture->others_served = 0;
}

/* Starts the VM that callers ask, and if it is to pass their requests on,
 * another one. */
static void start(fixture_t *fixture, bool over_peer)
{
	unsigned n_vms = over_peer ? 2 : 1;

	memset(fixture, 0, sizeof(*fixture));
	for (unsigned i = 0; i < LETTERS; i++)
		fixture->bodies[i] = g_strnfill(ANSWER_BYTES, (char)('a' + i));
	for (unsigned i = 0; i < n_vms; i++) {
		fixture->store_addresses[i] = unused_address();
		fake_store_start(&fixture->stores[i],
				 fixture->store_addresses[i]);
		fake_store_put(&fixture->stores[i], TABLE_CONFIG, KEY_CONFIG,
			       config);
	}
	if (over_peer)
		list_unreached_server(&fixture->stores[0]);
	fixture->server_address = support_server_start(
		&fixture->server, &fixture->stores[n_vms - 1], "i-1",
		"\"service\":\"app\"", &server_handler, fixture);
	for (unsigned i = 0; i < n_vms; i++)
		vm_start(fixture);
	if (over_peer)
		introduce_vms(fixture);
	http_pool_init(&fixture->others, clock_boottime(), 0, 0);
	alarm_init(&fixture->next_other, clock_boottime(), on_next_other,
		   fixture);
	await_service(fixture);
	alarm_set(&fixture->next_other, now_us());
}

static void finish(fixture_t *fixture)
{
	callers_finish(fixture);
	for (unsigned i = 0; i < fixture->n_vms; i++)
		vm_process_finish(&fixture->vms[i]);
	/* The calls end with the VM. */
	assert_true(
		support_run_loop_until(others_have_ended, fixture, WAIT_MS));
	http_pool_finish(&fixture->others);
	ingress_finish(&fixture->server);
	for (unsigned i = 0; i < fixture->n_vms; i++) {
		fake_store_stop(&fixture->stores[i]);
		g_free(fixture->store_addresses[i]);
	}
	for (unsigned i = 0; i < LETTERS; i++)
		g_free(fixture->bodies[i]);
	g_free(fixture->server_address);
}

/* Stops the small requests, and checks them and the memory that the VMs have
 * used. */
static void check_vms(fixture_t *fixture, const vm_memory_t *quiet)
{
	alarm_set(&fixture->next_other, -1);
	(void)support_run_loop_until(others_have_ended, fixture, 3000);
	print_message("%u of %u others served, p99 %" G_GINT64_FORMAT " us\n",
		      fixture->others_served, fixture->others_sent,
		      others_p99_us(fixture));
	for (unsigned i = 0; i < fixture->n_vms; i++) {
		vm_memory_t peak = vm_process_peak(&fixture->vms[i]);

		print_message("peak %" G_GINT64_FORMAT " KiB, %" G_GINT64_FORMAT
			      " KiB before\n",
			      peak.resident_bytes >> 10,
			      quiet[i].resident_bytes >> 10);
		assert_true(peak.resident_bytes > 0);
		assert_true(vm_memory_growth(&quiet[i], &peak) <=
			    VM_GROWTH_ALLOWED_BYTES);
	}
	assert_int_equal(fixture->others_served, fixture->others_sent);
}

/* Notes the memory that the VMs have used so far. */
static void note_quiet(const fixture_t *fixture, vm_memory_t *quiet)
{
	for (unsigned i = 0; i < fixture->n_vms; i++)
		quiet[i] = vm_process_peak(&fixture->vms[i]);
}

/* Guards against a caller that sends many requests on one connection, reads no
 * answer, and gets all of them into the VM's memory; and against answers that
 * are lost, or begun in another order, once it reads.
 */
static void test_pipelined(void **state)
{
	fixture_t *fixture = g_new(fixture_t, 1);
	vm_memory_t quiet[2] = {{0}};
	const caller_t *caller;

	start(fixture, false);
	note_quiet(fixture, quiet);
	caller_start(fixture, PIPELINED, READS_NOTHING);
	caller = &fixture->callers[0];
	support_run_loop_ms(UNREAD_MS);
	print_message("%u of %u requests sent to the server, none read\n",
		      fixture->large_run, PIPELINED);
	fixture->callers[0].pace = READS_ALL;
	(void)support_run_loop_until(readers_have_finished, fixture, ALL_MS);
	print_message("%u answers read\n", caller->answers);
	check_vms(fixture, quiet);
	assert_int_equal(caller->answers, PIPELINED);
	assert_int_equal(caller->wrong, 0);
	assert_int_equal(fixture->large_run, PIPELINED);
	finish(fixture);
	g_free(fixture);
}

/* Plays callers with one large answer each, of whom some read nothing and all others slowly.
 * Returns how many of these were refused before their requests were sent to the server;
 * all others have to get their whole answers.
 */
static unsigned play_callers(unsigned n, unsigned gap_ms, bool over_peer)
{
	fixture_t *fixture = g_new(fixture_t, 1);
	vm_memory_t quiet[2] = {{0}};
	unsigned whole = 0;
	unsigned refused = 0;
	unsigned wrong = 0;

	start(fixture, over_peer);
	note_quiet(fixture, quiet);
	for (unsigned i = 0; i < n; i++) {
		caller_start(fixture, 1,
			     i * SILENT / n != (i + 1) * SILENT / n
				     ? READS_NOTHING
				     : READS_SLOWLY);
		if (gap_ms)
			support_run_loop_ms(gap_ms);
	}
	(void)support_run_loop_until(readers_have_finished, fixture, ALL_MS);
	for (unsigned i = 0; i < n; i++) {
		const caller_t *caller = &fixture->callers[i];

		whole += caller->answers;
		refused += caller->refused ? 1 : 0;
		wrong += caller->wrong +
			 (caller->refused && fixture->has_run[i] ? 1 : 0);
	}
	print_message("of %u slow callers %u have their whole answers, %u are "
		      "refused\n",
		      n - SILENT, whole, refused);
	check_vms(fixture, quiet);
	assert_int_equal(whole + refused, n - SILENT);
	assert_int_equal(wrong, 0);
	finish(fixture);
	g_free(fixture);
	return refused;
}

/* Guards against answers that wait for many callers and together fill the VM, and against slow
 * callers whose requests have run and whose answers find no memory.
 */
static void test_many_callers(void **state)
{
	assert_int_equal(play_callers(CALLERS, 0, false), 0);
}

/* The same with requests that the VM passes on. */
static void test_passed_on(void **state)
{
	assert_int_equal(play_callers(CALLERS, 0, true), 0);
}

/* Guards against requests that are sent although answers that wait for their callers leave no
 * room for theirs, and against refused requests that run.
 */
static void test_callers_in_turn(void **state)
{
	assert_true(play_callers(MORE_CALLERS, CALLER_GAP_MS, false) <
		    MORE_CALLERS - SILENT);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pipelined),
		cmocka_unit_test(test_many_callers),
		cmocka_unit_test(test_passed_on),
		cmocka_unit_test(test_callers_in_turn),
	};

	/* The address sanitizer's store of freed memory would count as the VM's. */
	(void)g_setenv(
		"ASAN_OPTIONS",
		"quarantine_size_mb=1:thread_local_quarantine_size_kb=64",
		FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
