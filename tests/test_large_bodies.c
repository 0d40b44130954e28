/* Memory of a VM, a process of its own, while many callers send large bodies slowly, and the
 * small requests of others beside them.
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

/* Sets another number of callers, for measurements by hand. */
#define CALLERS_VARIABLE "LARGE_BODY_CALLERS"
#define MAX_CALLERS 256

/* The smallest VMs have 88 MB in all, of which the system and the kernel's buffers of its
 * connections take some.
 */
#define VM_BYTES (INT64_C(88) << 20)
#define SYSTEM_BYTES (INT64_C(16) << 20)
#define KERNEL_BUFFER_BYTES (INT64_C(16) << 20)
#define ALLOWED_BYTES (VM_BYTES - SYSTEM_BYTES - KERNEL_BUFFER_BYTES)

/* The default of maxBodyBytes, sent in so many pieces at equal gaps. */
#define BODY_BYTES ((size_t)4 << 20)
#define PIECES 64
#define PIECE_GAP_US (40 * CLOCK_US_PER_MS)

/* A caller sends its body so long after its head, unless it was answered by then. */
#define BODY_DELAY_US (500 * CLOCK_US_PER_MS)

/* All bodies and their answers. */
#define ALL_MS 20000

/* Small requests of others. */
#define OTHER_GAP_US (20 * CLOCK_US_PER_MS)
#define MAX_OTHERS 4096
#define SMALL_BODY_BYTES 1000

/* How a caller states its body. */
typedef enum { HAS_LENGTH, EXPECTS_CONTINUE, IS_CHUNKED, WAYS } way_t;

typedef struct fixture fixture_t;

/* A caller that sends a large body slowly. */
typedef struct {
	fixture_t *fixture;
	way_t way;
	int fd;
	alarm_t next;
	GString *piece; /* what is left of the piece that is being sent */
	unsigned pieces; /* begun */
	GString *received;
	bool ended;
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
	caller_t callers[MAX_CALLERS];
	unsigned n_callers;
	http_pool_t others;
	alarm_t next_other;
	unsigned others_sent, others_ended, others_served;
	int64_t others_us[MAX_OTHERS];
	char *small_body;
};

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"p\",\"host\":\"h\","
	"\"pathPrefix\":\"/p/\",\"kind\":\"unsafe\",\"timeoutMs\":10000,"
	"\"service\":\"app\",\"maxAttempts\":1}],"
	"\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\"}]}";

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* --- the server ---------------------------------------------------------- */

/* Answers with the number of bytes that the body has. */
static void server_on_request(void *context, exchange_t *exchange)
{
	char *text = g_strdup_printf("%zu", exchange_body(exchange).len);
	http_headers_t headers;

	http_headers_init(&headers);
	http_headers_add(&headers, STR("X-Response-Signature"), STR("s"));
	exchange_reply(exchange, 200, &headers, (str_t){text, strlen(text)});
	http_headers_finish(&headers);
	g_free(text);
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

/* Sends a small request. Each second one has its body in a chunk. */
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
	bool chunked = fixture->others_sent % 2 == 1;

	assert_true(fixture->others_sent < MAX_OTHERS);
	other->fixture = fixture;
	other->sent_us = now_us();
	g_string_append_printf(message,
			       "POST /p/small HTTP/1.1\r\nHost: h\r\n"
			       "X-Request-Id: o%u\r\nX-Deadline-Ms: 2000\r\n",
			       fixture->others_sent++);
	if (chunked)
		g_string_append_printf(
			message,
			"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n"
			"0\r\n\r\n",
			SMALL_BODY_BYTES, fixture->small_body);
	else
		g_string_append_printf(message, "Content-Length: %d\r\n\r\n%s",
				       SMALL_BODY_BYTES, fixture->small_body);
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

/* --- callers with large bodies ------------------------------------------- */

/* Returns whether the text of an answer has a part. */
static bool got(const caller_t *caller, const char *text)
{
	return strstr(caller->received->str, text) != NULL;
}

/* Reads what has come. A caller stops with its body at an answer, and ends with it. */
static void caller_read(caller_t *caller)
{
	char buffer[4096];
	ssize_t n = recv(caller->fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	if (n > 0)
		g_string_append_len(caller->received, buffer, n);
	if (n == 0 || (n < 0 && errno != EAGAIN) || got(caller, " 200 OK") ||
	    got(caller, " 503 "))
		caller->ended = true;
}

/* Makes the next piece of the body. */
static void make_piece(caller_t *caller)
{
	size_t bytes = BODY_BYTES / PIECES;

	caller->pieces++;
	if (caller->way == IS_CHUNKED)
		g_string_append_printf(caller->piece, "%zx\r\n", bytes);
	for (size_t i = 0; i < bytes; i += 16)
		g_string_append(caller->piece, "0123456789abcdef");
	if (caller->way == IS_CHUNKED)
		g_string_append(caller->piece, "\r\n");
	if (caller->way == IS_CHUNKED && caller->pieces == PIECES)
		g_string_append(caller->piece, "0\r\n\r\n");
}

/* Reads, and sends the next piece or the rest of the last one. */
static void on_caller_next(void *context)
{
	caller_t *caller = context;
	bool waits = caller->way == EXPECTS_CONTINUE &&
		     !got(caller, "HTTP/1.1 100 ");
	ssize_t n;

	caller_read(caller);
	if (caller->ended)
		return;
	if (!waits && caller->piece->len == 0 && caller->pieces < PIECES)
		make_piece(caller);
	if (caller->piece->len > 0) {
		n = send(caller->fd, caller->piece->str, caller->piece->len,
			 MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n > 0)
			g_string_erase(caller->piece, 0, n);
	}
	alarm_set(&caller->next, now_us() + PIECE_GAP_US);
}

/* Sends the head of a request with a large body. */
static void caller_start(fixture_t *fixture, way_t way)
{
	caller_t *caller = &fixture->callers[fixture->n_callers];
	GSocket *socket = support_connect(fixture->vms[0].callers_address);
	GString *head = g_string_new(NULL);

	*caller = (caller_t){.fixture = fixture, .way = way};
	caller->fd = dup(g_socket_get_fd(socket));
	g_object_unref(socket);
	caller->piece = g_string_new(NULL);
	caller->received = g_string_new(NULL);
	g_string_append_printf(head,
			       "POST /p/large HTTP/1.1\r\nHost: h\r\n"
			       "X-Request-Id: l%u\r\nX-Deadline-Ms: 10000\r\n",
			       fixture->n_callers++);
	if (way == IS_CHUNKED)
		g_string_append(head, "Transfer-Encoding: chunked\r\n");
	else
		g_string_append_printf(head, "Content-Length: %zu\r\n",
				       BODY_BYTES);
	if (way == EXPECTS_CONTINUE)
		g_string_append(head, "Expect: 100-continue\r\n");
	g_string_append(head, "\r\n");
	assert_int_equal(send(caller->fd, head->str, head->len, MSG_NOSIGNAL),
			 head->len);
	g_string_free(head, TRUE);
	alarm_init(&caller->next, clock_boottime(), on_caller_next, caller);
	alarm_set(&caller->next, now_us() + BODY_DELAY_US);
}

static bool callers_have_ended(void *context)
{
	const fixture_t *fixture = context;

	for (unsigned i = 0; i < fixture->n_callers; i++) {
		if (!fixture->callers[i].ended)
			return false;
	}
	return true;
}

/* Returns whether a caller got the server's answer to its whole body. */
static bool is_served(const caller_t *caller)
{
	char *end = g_strdup_printf("\r\n\r\n%zu", BODY_BYTES);
	bool served = got(caller, " 200 OK\r\n") && got(caller, end);

	g_free(end);
	return served;
}

/* Returns whether a caller was refused before it had sent its body. One in chunks may have
 * sent the first piece, as its length is not known before.
 */
static bool is_refused(const caller_t *caller)
{
	return got(caller, "HTTP/1.1 503 ") &&
	       got(caller, "\r\nRetry-After: ") &&
	       !got(caller, "HTTP/1.1 100 ") &&
	       caller->pieces <= (caller->way == IS_CHUNKED ? 2 : 0);
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

/* Starts the VM that callers ask, and if it is to pass their requests on, another one. */
static void start(fixture_t *fixture, bool over_peer)
{
	static const ingress_limits_t server_limits = {
		.max_head_bytes = 65536,
		.max_body_bytes = 16 << 20,
		.head_timeout_us = 10 * CLOCK_US_PER_S,
		.idle_timeout_us = 60 * CLOCK_US_PER_S,
	};
	int64_t until_us = now_us() + WAIT_MS * CLOCK_US_PER_MS;
	unsigned n_vms = over_peer ? 2 : 1;

	memset(fixture, 0, sizeof(*fixture));
	fixture->small_body = g_strnfill(SMALL_BODY_BYTES, 'b');
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
	ingress_set_limits(&fixture->server, &server_limits);
	for (unsigned i = 0; i < n_vms; i++)
		vm_start(fixture);
	if (over_peer)
		introduce_vms(fixture);
	http_pool_init(&fixture->others, clock_boottime(), 0, 0);
	alarm_init(&fixture->next_other, clock_boottime(), on_next_other,
		   fixture);
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

static void callers_finish(fixture_t *fixture)
{
	for (unsigned i = 0; i < fixture->n_callers; i++) {
		caller_t *caller = &fixture->callers[i];

		alarm_finish(&caller->next);
		g_string_free(caller->piece, TRUE);
		g_string_free(caller->received, TRUE);
		(void)close(caller->fd);
	}
	fixture->n_callers = 0;
}

static void finish(fixture_t *fixture)
{
	alarm_finish(&fixture->next_other);
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
	g_free(fixture->server_address);
	g_free(fixture->small_body);
}

/* Counts the callers that were served and refused; all others were treated badly. */
static void count_callers(const fixture_t *fixture, unsigned *served,
			  unsigned *refused)
{
	*served = *refused = 0;
	for (unsigned i = 0; i < fixture->n_callers; i++) {
		*served += is_served(&fixture->callers[i]) ? 1 : 0;
		*refused += is_refused(&fixture->callers[i]) ? 1 : 0;
	}
}

/* Lets callers send large bodies in the given ways, in turn, until all are answered. Returns
 * how many were served; all others were refused before they sent a body.
 */
static unsigned play_wave(fixture_t *fixture, unsigned n, const way_t *ways,
			  size_t n_ways)
{
	unsigned served, refused;

	for (unsigned i = 0; i < n; i++)
		caller_start(fixture, ways[i % n_ways]);
	(void)support_run_loop_until(callers_have_ended, fixture, ALL_MS);
	count_callers(fixture, &served, &refused);
	print_message("%u callers: %u served, %u refused\n", n, served,
		      refused);
	assert_true(served > 0);
	assert_int_equal(served + refused, n);
	callers_finish(fixture);
	return served;
}

/* Checks the memory that a VM has used; with a sanitizer, whose own does not count, the growth. */
static void check_peak(const vm_process_t *vm, const vm_memory_t *quiet)
{
	vm_memory_t peak = vm_process_peak(vm);

	print_message("peak %" G_GINT64_FORMAT " KiB, %" G_GINT64_FORMAT
		      " KiB before\n",
		      peak.resident_bytes >> 10, quiet->resident_bytes >> 10);
	assert_true(peak.resident_bytes > 0);
#ifdef __SANITIZE_ADDRESS__
	assert_true(vm_memory_growth(quiet, &peak) <= ALLOWED_BYTES);
#else
	assert_true(peak.resident_bytes <= ALLOWED_BYTES);
#endif
}

/* Plays waves of callers at a VM and checks its memory, that the second one finds the room of the
 * first one, and the answers to others.
 */
static void play(unsigned n, const way_t *ways, size_t n_ways, bool over_peer)
{
	fixture_t *fixture = g_new(fixture_t, 1);
	const char *wanted = g_getenv(CALLERS_VARIABLE);
	unsigned served;
	vm_memory_t quiet;

	if (wanted)
		n = (unsigned)g_ascii_strtoull(wanted, NULL, 10);
	assert_true(n <= MAX_CALLERS);
	start(fixture, over_peer);
	quiet = vm_process_peak(&fixture->vms[0]);
	alarm_set(&fixture->next_other, now_us());
	served = play_wave(fixture, n, ways, n_ways);
	assert_true(play_wave(fixture, n, ways, n_ways) >= served);
	alarm_set(&fixture->next_other, -1);
	(void)support_run_loop_until(others_have_ended, fixture, 3000);
	print_message("%u callers: %u of %u others served, p99 "
		      "%" G_GINT64_FORMAT " us\n",
		      n, fixture->others_served, fixture->others_sent,
		      others_p99_us(fixture));
	for (unsigned i = 0; i < fixture->n_vms; i++)
		check_peak(&fixture->vms[i], &quiet);
	assert_int_equal(fixture->others_served, fixture->others_sent);
	finish(fixture);
	g_free(fixture);
}

/* Guards against bodies whose length is stated and that together fill the VM, with and without
 * Expect: 100-continue; and against bodies that are cut once they were begun.
 */
static void test_stated_lengths(void **state)
{
	static const way_t ways[] = {HAS_LENGTH, EXPECTS_CONTINUE};

	play(50, ways, G_N_ELEMENTS(ways), false);
}

/* The same with bodies in chunks, whose length is known at their end only. */
static void test_chunks(void **state)
{
	static const way_t ways[] = {IS_CHUNKED};

	play(50, ways, G_N_ELEMENTS(ways), false);
}

/* Guards against requests that a VM passes on and the other one refuses, for what the first one
 * has taken already.
 */
static void test_passed_on(void **state)
{
	static const way_t ways[] = {EXPECTS_CONTINUE, IS_CHUNKED};

	play(50, ways, G_N_ELEMENTS(ways), true);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stated_lengths),
		cmocka_unit_test(test_chunks),
		cmocka_unit_test(test_passed_on),
	};

	/* The address sanitizer's store of freed memory would count as the VM's. */
	(void)g_setenv(
		"ASAN_OPTIONS",
		"quarantine_size_mb=1:thread_local_quarantine_size_kb=64",
		FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
