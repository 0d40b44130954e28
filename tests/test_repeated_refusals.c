/* Servers that write a refusal once more before each later answer on its connection, also when
 * the refused request has come back and runs: its caller must not be told that it has not run.
 * The VMs and the servers are processes of their own.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "connection/http_pool.h"
#include "names.h"
#include "process/entry/store_rows.h"
#include "support_address.h"
#include "support_store.h"
#include "support_tcp_stub.h"
#include "support_vm_process.h"

#define VMS 2
#define SHUTDOWN_LIMIT_S 5
#define WAIT_MS 10000
#define REQUESTS 8 /* of a case */
#define MAX_REQUESTS \
	256 /* requests before the first one of a case are never refused */
#define FIRST_REQUEST 128
#define PREFILL_MS 20
#define WORK_MS 60
#define ENTRY_CHANGE_MS 200

enum { PREFILL, DECODE, DECODE_2, PLAIN, SERVERS };

/* What is played. */
typedef struct {
	const char *name;
	const char *line; /* of the requests */
	unsigned refusals[SERVERS]; /* of each request */
	unsigned status; /* of refusals */
	unsigned attempts; /* of the caller, with one ID */
	unsigned vms[2]; /* that the first and the second attempt go to */
	bool one_decode; /* the second decode engine is not listed */
	bool entry_changes; /* between the attempts the server gets another entry */
} refusal_case_t;

/* What the processes share. */
typedef struct {
	refusal_case_t play;
	char addresses[SERVERS][32];
	gint arrivals[SERVERS][MAX_REQUESTS];
	gint runs[MAX_REQUESTS];
	gint copies; /* of refusals */
	gint own_copies; /* of them, written while their request runs */
} shared_t;

static shared_t *shared;

/* --- servers (a process of their own) ------------------------------------ */

/* A connection to a server, which has a thread of its own. */
typedef struct {
	unsigned server;
	int fd;
	GString *received;
	char *refusal; /* NULL: none so far */
	unsigned refused; /* request of that refusal */
} connection_t;

/* A request that was read. */
typedef struct {
	char *head;
	unsigned number;
	bool has_id;
} server_request_t;

static void send_text(const connection_t *connection, const char *text)
{
	(void)!send(connection->fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Returns the value of a header field, or NULL. The caller frees it. */
static char *field_of(const char *head, const char *name)
{
	char *key = g_strdup_printf("\r\n%s:", name);
	char *lower = g_ascii_strdown(head, -1);
	const char *at = strstr(lower, key);
	const char *end = at ? strstr(at + strlen(key), "\r\n") : NULL;
	char *value = end ? g_strndup(at + strlen(key),
				      (gsize)(end - at) - strlen(key))
			  : NULL;

	g_free(lower);
	g_free(key);
	return value ? g_strstrip(value) : NULL;
}

/* Reads one request with its body. False at the end of the connection. */
static bool read_request(connection_t *connection, server_request_t *request)
{
	GString *received = connection->received;
	char *end, *length, *id;
	gsize size;
	char buffer[4096];

	for (;;) {
		end = strstr(received->str, "\r\n\r\n");
		if (end) {
			request->head =
				g_strndup(received->str,
					  (gsize)(end + 4 - received->str));
			length = field_of(request->head, "content-length");
			size = strlen(request->head) +
			       (length ? strtoul(length, NULL, 10) : 0);
			g_free(length);
			if (received->len >= size)
				break;
			g_free(request->head);
		}
		ssize_t n = recv(connection->fd, buffer, sizeof(buffer), 0);

		if (n <= 0)
			return false;
		g_string_append_len(received, buffer, n);
	}
	g_string_erase(received, 0, (gssize)size);
	id = field_of(request->head, "x-request-id");
	request->has_id = id != NULL;
	request->number =
		id ? (unsigned)strtoul(id + 1, NULL, 10) % MAX_REQUESTS : 0;
	g_free(id);
	return true;
}

/* Sends an answer, before it what the connection has of an earlier refusal. */
static void answer(const connection_t *connection,
		   const server_request_t *request, const char *status,
		   const char *fields, const char *body)
{
	char *id = request->has_id ? g_strdup_printf("X-Request-Id: r%u\r\n",
						     request->number)
				   : g_strdup("");
	char *text = g_strdup_printf("HTTP/1.1 %s\r\n%s%s"
				     "Keep-Alive: timeout=9\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
				     status, id, fields, strlen(body), body);

	send_text(connection, text);
	g_free(text);
	g_free(id);
}

/* Writes the refusal of the connection once more, if there is one. */
static void write_copy(const connection_t *connection,
		       const server_request_t *request)
{
	if (!connection->refusal)
		return;
	g_atomic_int_inc(&shared->copies);
	if (request->has_id && request->number == connection->refused)
		g_atomic_int_inc(&shared->own_copies);
	send_text(connection, connection->refusal);
}

static void refuse(connection_t *connection, const server_request_t *request)
{
	g_free(connection->refusal);
	connection->refused = request->number;
	connection->refusal = g_strdup_printf(
		"HTTP/1.1 %u No\r\nX-Not-Executed: 1\r\nX-Request-Id: r%u\r\n"
		"Keep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nno",
		shared->play.status, request->number);
	send_text(connection, connection->refusal);
}

/* Runs a request, or reads its prompt. The copy of the refusal comes first. */
static void run(const connection_t *connection, const server_request_t *request)
{
	bool is_prefill = strstr(request->head, "X-Serving-Stage") ||
			  strstr(request->head, "x-serving-stage");

	if (!is_prefill)
		g_atomic_int_inc(&shared->runs[request->number]);
	write_copy(connection, request);
	g_usleep((is_prefill ? PREFILL_MS : WORK_MS) * CLOCK_US_PER_MS);
	if (is_prefill)
		answer(connection, request, "200 OK", "",
		       "{\"kvHandle\":\"h\",\"tokens\":10,\"version\":1}");
	else if (connection->server == PLAIN)
		answer(connection, request, "200 OK",
		       "X-Response-Signature: s\r\n", "whole");
	else
		answer(connection, request, "200 OK",
		       "X-Response-Signature: s\r\n"
		       "Content-Type: text/event-stream\r\n",
		       "id: 1\ndata: a\n\nid: 2\ndata: a\n\n");
}

static void take_request(connection_t *connection,
			 const server_request_t *request)
{
	unsigned server = connection->server;
	gint arrived;

	if (!request->has_id || strstr(request->head, "/report") ||
	    strstr(request->head, "/kv-handle/")) {
		write_copy(connection, request);
		answer(connection, request, "200 OK", "X-Instance-Id: i\r\n",
		       "{\"busy\":false,\"sequence\":0}");
		return;
	}
	arrived =
		g_atomic_int_add(&shared->arrivals[server][request->number], 1);
	if (request->number >= FIRST_REQUEST &&
	    arrived < (gint)shared->play.refusals[server])
		refuse(connection, request);
	else
		run(connection, request);
}

static gpointer serve_connection(gpointer data)
{
	connection_t *connection = data;
	server_request_t request;

	connection->received = g_string_new(NULL);
	while (read_request(connection, &request)) {
		take_request(connection, &request);
		g_free(request.head);
	}
	close(connection->fd);
	g_string_free(connection->received, TRUE);
	g_free(connection->refusal);
	g_free(connection);
	return NULL;
}

typedef struct {
	unsigned server;
	int fd;
} listener_t;

static gpointer accept_connections(gpointer data)
{
	const listener_t *listener = data;

	for (;;) {
		int fd = accept(listener->fd, NULL, NULL);
		connection_t *connection;

		if (fd < 0)
			_exit(1);
		connection = g_new0(connection_t, 1);
		connection->server = listener->server;
		connection->fd = fd;
		g_thread_unref(g_thread_new("connection", serve_connection,
					    connection));
	}
	return NULL;
}

/* Listens on a free port, whose address goes to the shared memory. Returns the socket. */
static int listen_on_free_port(char address[32])
{
	struct sockaddr_in any = {.sin_family = AF_INET};
	socklen_t size = sizeof(any);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_true(fd >= 0);
	assert_int_equal(bind(fd, (struct sockaddr *)&any, size), 0);
	assert_int_equal(listen(fd, 64), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&any, &size), 0);
	g_snprintf(address, 32, "127.0.0.1:%u", ntohs(any.sin_port));
	return fd;
}

/* Starts the process of the servers. */
static pid_t start_servers(void)
{
	static listener_t listeners[SERVERS];
	pid_t pid;

	for (unsigned i = 0; i < SERVERS; i++)
		listeners[i] = (listener_t){
			.server = i,
			.fd = listen_on_free_port(shared->addresses[i]),
		};
	pid = fork();
	assert_true(pid >= 0);
	for (unsigned i = 0; i < SERVERS && pid > 0; i++)
		close(listeners[i].fd);
	if (pid > 0)
		return pid;
	(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
	for (unsigned i = 0; i < SERVERS; i++)
		g_thread_unref(g_thread_new("listener", accept_connections,
					    &listeners[i]));
	for (;;)
		pause();
}

/* --- fixture ------------------------------------------------------------- */

/* The last VM has a store of its own, whose servers it does not reach: it passes its requests
 * on to the first one.
 */
typedef struct {
	fake_store_t stores[VMS];
	char *store_addresses[VMS];
	char *unreachable[SERVERS];
	vm_process_t vms[VMS];
	pid_t servers;
	http_pool_t callers;
	unsigned next_number; /* of a request that is not refused */
	bool ended;
	unsigned status; /* of the last answer */
	unsigned entries; /* that the servers have had */
} fixture_t;

static void put_config(fixture_t *fixture)
{
	static const char config[] =
		"{\"version\":1,\"routes\":["
		"{\"name\":\"u\",\"host\":\"h\",\"pathPrefix\":\"/u/\","
		"\"kind\":\"unsafe\",\"timeoutMs\":3000,"
		"\"targetLatencyMs\":300,\"service\":\"app\","
		"\"maxAttempts\":1},"
		"{\"name\":\"l\",\"host\":\"h\",\"pathPrefix\":\"/l/\","
		"\"kind\":\"streaming\",\"timeoutMs\":6000,"
		"\"targetLatencyMs\":900,\"service\":\"llm\","
		"\"maxAttempts\":1},"
		"{\"name\":\"m\",\"host\":\"h\",\"pathPrefix\":\"/m/\","
		"\"kind\":\"streaming\",\"timeoutMs\":6000,"
		"\"targetLatencyMs\":900,\"service\":\"llm\","
		"\"maxAttempts\":4}],\"services\":["
		"{\"name\":\"app\",\"healthPath\":\"/health\"},"
		"{\"name\":\"llm\",\"healthPath\":\"/health\",\"engine\":{"
		"\"slots\":12,\"kvTokenCapacity\":100000,\"stride\":1}}]}";

	for (unsigned i = 0; i < VMS; i++)
		fake_store_put(&fixture->stores[i], TABLE_CONFIG, KEY_CONFIG,
			       config);
}

static void put_servers(fixture_t *fixture)
{
	static const char *const stages[SERVERS] = {",\"stage\":\"prefill\"",
						    ",\"stage\":\"decode\"",
						    ",\"stage\":\"decode\"",
						    ""};
	bool one_decode = shared->play.one_decode;

	for (unsigned i = 0; i < SERVERS; i++) {
		char *id = g_strdup_printf("i-%u-%u", i, fixture->entries);

		for (unsigned j = 0; j < VMS && !(one_decode && i == DECODE_2);
		     j++) {
			char *text = g_strdup_printf(
				"{\"service\":\"%s\",\"address\":\"%s\","
				"\"zone\":\"z\",\"slots\":12,"
				"\"state\":\"ready\",\"sequence\":1,"
				"\"born\":1000%s}",
				i == PLAIN ? "app" : "llm",
				j == 0 ? shared->addresses[i]
				       : fixture->unreachable[i],
				stages[i]);

			fake_store_put(&fixture->stores[j], TABLE_SERVERS, id,
				       text);
			g_free(text);
		}
		g_free(id);
	}
}

static void remove_servers(fixture_t *fixture)
{
	for (unsigned i = 0; i < SERVERS; i++) {
		char *id = g_strdup_printf("i-%u-%u", i, fixture->entries);

		for (unsigned j = 0; j < VMS; j++) {
			if (fake_store_row_version(&fixture->stores[j],
						   TABLE_SERVERS, id))
				fake_store_remove(&fixture->stores[j],
						  TABLE_SERVERS, id);
		}
		g_free(id);
	}
}

/* Lets VMs with different stores know each other. */
static void introduce_vms(fixture_t *fixture)
{
	for (unsigned i = 0; i < VMS; i++) {
		char *key = g_strdup_printf(STORE_VM_PREFIX "vm-%u", i);

		fake_store_put(&fixture->stores[VMS - 1 - i], TABLE_ROUTER, key,
			       fixture->vms[i].peer_address);
		g_free(key);
	}
}

static void start(fixture_t *fixture, const refusal_case_t *play)
{
	shared = mmap(NULL, sizeof(*shared), PROT_READ | PROT_WRITE,
		      MAP_SHARED | MAP_ANONYMOUS, -1, 0);
	assert_ptr_not_equal(shared, MAP_FAILED);
	memset(fixture, 0, sizeof(*fixture));
	shared->play = *play;
	fixture->servers = start_servers();
	for (unsigned i = 0; i < SERVERS; i++)
		fixture->unreachable[i] = unused_address();
	for (unsigned i = 0; i < VMS; i++) {
		fixture->store_addresses[i] = unused_address();
		fake_store_start(&fixture->stores[i],
				 fixture->store_addresses[i]);
	}
	put_config(fixture);
	put_servers(fixture);
	for (unsigned i = 0; i < VMS; i++) {
		char *name = g_strdup_printf("vm-%u", i);

		vm_process_start(&fixture->vms[i], name,
				 fixture->store_addresses[i], SHUTDOWN_LIMIT_S);
		g_free(name);
	}
	introduce_vms(fixture);
	http_pool_init(&fixture->callers, clock_boottime(), 0, 0);
}

static void stop(fixture_t *fixture)
{
	http_pool_finish(&fixture->callers);
	for (unsigned i = 0; i < VMS; i++) {
		vm_process_finish(&fixture->vms[i]);
		fake_store_stop(&fixture->stores[i]);
		g_free(fixture->store_addresses[i]);
	}
	(void)kill(fixture->servers, SIGKILL);
	(void)waitpid(fixture->servers, NULL, 0);
	for (unsigned i = 0; i < SERVERS; i++)
		g_free(fixture->unreachable[i]);
	(void)munmap(shared, sizeof(*shared));
}

/* --- callers ------------------------------------------------------------- */

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

/* Sends a request to a VM over a new connection and waits for its answer. Returns the status;
 * 0: none.
 */
static unsigned ask(fixture_t *fixture, unsigned vm, unsigned number)
{
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = fixture->vms[vm].callers_address,
		.message = message,
		.new_connection = true,
		.handler = &handler,
		.context = fixture,
	};

	g_string_printf(message,
			"%s HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 6000\r\n"
			"X-Model-Name: m\r\nX-Token-Count: 1000,200\r\n"
			"X-Request-Id: r%u\r\nContent-Length: 4\r\n\r\nbody",
			shared->play.line, number);
	fixture->ended = false;
	fixture->status = 0;
	assert_non_null(http_pool_call(&fixture->callers, &options));
	assert_true(support_run_loop_until(has_ended, fixture, WAIT_MS));
	g_string_free(message, TRUE);
	return fixture->status;
}

/* Waits until a VM serves requests. */
static void await_served(fixture_t *fixture, unsigned vm)
{
	while (ask(fixture, vm, fixture->next_number++) != 200) {
		assert_true(fixture->next_number < FIRST_REQUEST);
		support_run_loop_ms(100);
	}
}

/* Replaces the entries of the servers, whose processes and connections stay. */
static void change_entries(fixture_t *fixture)
{
	remove_servers(fixture);
	fixture->entries++;
	put_servers(fixture);
	support_run_loop_ms(ENTRY_CHANGE_MS);
}

static bool says_not_run(unsigned status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

/* How the requests of a case ended. */
typedef struct {
	unsigned refused; /* answers that say that the request has not run */
	unsigned served, other; /* other answers */
	unsigned refused_ran; /* requests that ran though all attempts were refused, or more often
				 than attempts were not */
} counts_t;

/* Sends one request, again while it is refused and attempts are left. */
static void play_request(fixture_t *fixture, unsigned number, counts_t *counts)
{
	const refusal_case_t *play = &shared->play;
	unsigned attempts = 0, refused = 0, status = 503;

	while (says_not_run(status) && attempts < play->attempts) {
		if (attempts > 0 && play->entry_changes)
			change_entries(fixture);
		status = ask(fixture, play->vms[MIN(attempts, 1)], number);
		attempts++;
		refused += says_not_run(status);
	}
	support_run_loop_ms(WORK_MS);
	counts->refused += refused;
	counts->served += status == 200;
	counts->other += status != 200 && !says_not_run(status);
	counts->refused_ran +=
		(unsigned)g_atomic_int_get(&shared->runs[number]) >
		attempts - refused;
}

static counts_t play(const refusal_case_t *play_case)
{
	static fixture_t fixture; /* outlives a failure */
	counts_t counts = {0};

	start(&fixture, play_case);
	await_served(&fixture, play_case->vms[0]);
	for (unsigned i = 0; i < REQUESTS; i++)
		play_request(&fixture, FIRST_REQUEST + i, &counts);
	print_message("%s: %u refused, %u served, %u other, %u ran though "
		      "refused; %d copies, %d of the request under way\n",
		      play_case->name, counts.refused, counts.served,
		      counts.other, counts.refused_ran, shared->copies,
		      shared->own_copies);
	stop(&fixture);
	return counts;
}

/* Guards against a refusal that is believed although it is the copy of an earlier one of the
 * same request.
 */
static void expect_truth(const refusal_case_t *play_case)
{
	counts_t counts = play(play_case);

	assert_int_equal(counts.refused_ran, 0);
	assert_int_equal(counts.served, REQUESTS);
}

/* --- tests --------------------------------------------------------------- */

/* A VM sends a stream that two decode engines refuse to the first one again. */
static void test_stream_that_a_vm_sends_again(void **state)
{
	expect_truth(&(refusal_case_t){
		.name = "refused by two engines in turn",
		.line = "POST /m/x",
		.refusals = {0, 1, 1, 0},
		.status = 503,
		.attempts = 1,
	});
}

/* A caller sends a refused call again with its ID. */
static void test_call_that_a_caller_sends_again(void **state)
{
	expect_truth(&(refusal_case_t){
		.name = "call sent again by its caller",
		.line = "POST /u/x",
		.refusals = {0, 0, 0, 1},
		.status = 503,
		.attempts = 2,
	});
}

/* A caller sends a refused stream again with its ID. */
static void test_stream_that_a_caller_sends_again(void **state)
{
	expect_truth(&(refusal_case_t){
		.name = "stream sent again by its caller",
		.line = "POST /l/x",
		.refusals = {0, 1, 0, 0},
		.status = 503,
		.attempts = 2,
		.one_decode = true,
	});
}

/* A VM that reaches no server passes both attempts on to the same VM. */
static void test_call_that_a_vm_passes_on_again(void **state)
{
	expect_truth(&(refusal_case_t){
		.name = "call passed on twice",
		.line = "POST /u/x",
		.refusals = {0, 0, 0, 1},
		.status = 503,
		.attempts = 2,
		.vms = {1, 1},
	});
}

/* A VM gets the first attempt from another VM and the second one from the caller. */
static void test_call_that_comes_by_two_ways(void **state)
{
	expect_truth(&(refusal_case_t){
		.name = "call passed on, then sent by its caller",
		.line = "POST /u/x",
		.refusals = {0, 0, 0, 1},
		.status = 503,
		.attempts = 2,
		.vms = {1, 0},
	});
}

/* The entry of the server changes between the attempts, and its connections stay. */
static void test_call_after_a_change_of_the_entry(void **state)
{
	expect_truth(&(refusal_case_t){
		.name = "call sent again to another entry",
		.line = "POST /u/x",
		.refusals = {0, 0, 0, 1},
		.status = 503,
		.attempts = 2,
		.entry_changes = true,
	});
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stream_that_a_vm_sends_again),
		cmocka_unit_test(test_call_that_a_caller_sends_again),
		cmocka_unit_test(test_stream_that_a_caller_sends_again),
		cmocka_unit_test(test_call_that_a_vm_passes_on_again),
		cmocka_unit_test(test_call_that_comes_by_two_ways),
		cmocka_unit_test(test_call_after_a_change_of_the_entry),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
