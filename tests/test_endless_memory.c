/* Memory of a VM, a process of its own, while a server, the store or a server behind another
 * VM sends bytes that do not end, to callers that read, read slowly or do not read.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include <errno.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/address.h"
#include "connection/http_message.h"
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
#define MAX_CONNECTIONS 2048
#define MAX_CALLERS 512

/* Small, so that the kernel keeps little for servers and callers. */
#define SOCKET_BUFFER_BYTES 32768

/* A flood stops after so many bytes on all connections, to spare the machine. */
#define STOP_BYTES (INT64_C(256) << 20)
#define WRITE_BYTES 65536

/* Time of a flood to callers that never read; the requests have a bit less. */
#define FLOOD_MS 1900
#define DEADLINE_MS 1800

/* A small request of another caller is sent this often. */
#define OTHER_GAP_US (50 * CLOCK_US_PER_MS)

/* What a caller reads at a time when it reads slowly. */
#define SLOW_BYTES 65536
#define SLOW_GAP_US (10 * CLOCK_US_PER_MS)

/* Now and then it reads nothing for longer than an engine may send nothing. */
#define READS_PER_PAUSE 100
#define SLOW_PAUSE_US (600 * CLOCK_US_PER_MS)

/* Time for a sound stream to a slow caller. */
#define STREAM_MS 20000

typedef enum {
	ROLE_PLAIN,
	ROLE_PREFILL,
	ROLE_DECODE,
	ROLES,
	ROLE_STORE = ROLES,
} role_t;

typedef enum { READS_ALL, READS_SLOWLY, READS_NOTHING } reading_t;

/* What a server sends once for each request, and then again and again. */
typedef struct {
	const char *name;
	const char *first;
	const char *again;
	size_t stop_bytes; /* of one connection; 0: none of its own */
	role_t role;
	reading_t reading; /* of the callers */
	unsigned callers;
	unsigned events; /* not 0: a sound stream of so many events */
	bool over_peer; /* the callers ask a VM that passes their requests on */
	bool health_only; /* only health checks are answered */
	bool releases_only; /* the decode engine fails, which has results released */
} flood_t;

typedef struct fixture fixture_t;

/* A server that answers well until the flood begins. */
typedef struct {
	fixture_t *fixture;
	role_t role;
	int fd;
	guint source;
	char *address;
} server_stub_t;

typedef struct {
	server_stub_t *server;
	int fd;
	guint source;
	GString *received;
	bool flooding;
	size_t sent_bytes;
} connection_t;

typedef struct {
	fixture_t *fixture;
	int fd;
	guint source;
	alarm_t next_read;
	unsigned reads;
	GString *received; /* kept of a sound stream only */
	bool ended;
} caller_t;

struct fixture {
	const flood_t *flood;
	bool flood_begun;
	int64_t sent_bytes; /* of the flood */
	GString *chunk; /* the repeated bytes, or those of a sound stream */
	GString *body; /* of the sound stream */
	size_t stop_bytes; /* of one connection */
	fake_store_t stores[2];
	char *store_addresses[2];
	vm_process_t vms[2];
	unsigned n_vms;
	server_stub_t servers[ROLES + 1];
	ingress_t sound;
	char *sound_address;
	connection_t *connections;
	unsigned n_connections;
	caller_t callers[MAX_CALLERS];
	unsigned n_callers;
	http_pool_t others;
	alarm_t next_other;
	unsigned others_sent, others_ended, others_served;
	unsigned status; /* of the last request of ask() */
	bool ended;
};

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

static void limit_buffer(int fd, int option)
{
	int bytes = SOCKET_BUFFER_BYTES;

	assert_int_equal(
		setsockopt(fd, SOL_SOCKET, option, &bytes, sizeof(bytes)), 0);
}

/* --- servers ------------------------------------------------------------- */

#define ENGINE_ERROR                                       \
	"HTTP/1.1 500 Oops\r\nX-Response-Signature: s\r\n" \
	"Connection: close\r\nContent-Length: 0\r\n\r\n"

static const char *sound_answer(role_t role)
{
	if (role == ROLE_PREFILL)
		return "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
		       "Connection: close\r\nContent-Length: 41\r\n\r\n"
		       "{\"kvHandle\":\"h\",\"tokens\":10,\"version\":1}\n";
	if (role == ROLE_DECODE)
		return "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
		       "Connection: close\r\nContent-Length: 16\r\n\r\n"
		       "id: 1\ndata: ab\n\n";
	return "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
	       "Connection: close\r\nContent-Length: 2\r\n\r\nok";
}

/* Returns whether all was sent on a connection that a flood holds for it. */
static bool is_flooded(const connection_t *connection)
{
	const fixture_t *fixture = connection->server->fixture;

	return fixture->sent_bytes >= STOP_BYTES ||
	       connection->sent_bytes >= fixture->stop_bytes;
}

/* Writes the same bytes until the kernel takes no more. The pieces end where a repeated
 * text ends, and what the kernel does not take of one is sent before the next one.
 */
static void flood(connection_t *connection)
{
	fixture_t *fixture = connection->server->fixture;

	while (!is_flooded(connection)) {
		size_t at = connection->sent_bytes % fixture->chunk->len;
		ssize_t n = send(connection->fd, fixture->chunk->str + at,
				 fixture->chunk->len - at, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		connection->sent_bytes += (size_t)n;
		fixture->sent_bytes += n;
	}
}

static void close_connection(connection_t *connection)
{
	(void)close(connection->fd);
	connection->source = 0;
}

static gboolean on_connection(gint fd, GIOCondition condition, gpointer data);

static void watch(connection_t *connection, GIOCondition events)
{
	connection->source = g_unix_fd_add(connection->fd,
					   events | G_IO_HUP | G_IO_ERR,
					   on_connection, connection);
}

/* Answers a request: well, with the flood, or not at all. */
static bool answer(connection_t *connection)
{
	fixture_t *fixture = connection->server->fixture;
	role_t role = connection->server->role;
	const flood_t *bytes = fixture->flood;
	bool is_check = g_str_has_prefix(connection->received->str, "GET /h");
	bool is_release =
		g_str_has_prefix(connection->received->str, "DELETE ");
	bool sound = role != bytes->role ||
		     (bytes->releases_only && !is_release);
	const char *text;

	if (fixture->flood_begun && bytes->releases_only &&
	    role == ROLE_DECODE) {
		(void)send(connection->fd, ENGINE_ERROR, strlen(ENGINE_ERROR),
			   MSG_NOSIGNAL);
		return false;
	}
	if (!fixture->flood_begun || sound) {
		text = sound_answer(role);
		(void)send(connection->fd, text, strlen(text), MSG_NOSIGNAL);
		return false;
	}
	if (bytes->health_only && !is_check)
		return true;
	connection->flooding = true;
	(void)send(connection->fd, bytes->first, strlen(bytes->first),
		   MSG_NOSIGNAL);
	return true;
}

static gboolean on_connection(gint fd, GIOCondition condition, gpointer data)
{
	connection_t *connection = data;
	char buffer[4096];
	ssize_t n;

	if (condition & (G_IO_HUP | G_IO_ERR)) {
		close_connection(connection);
		return G_SOURCE_REMOVE;
	}
	if (condition & G_IO_IN) {
		n = recv(fd, buffer, sizeof(buffer), 0);
		if (n <= 0) {
			close_connection(connection);
			return G_SOURCE_REMOVE;
		}
		g_string_append_len(connection->received, buffer, n);
		if (!connection->flooding &&
		    strstr(connection->received->str, "\r\n\r\n")) {
			if (!answer(connection)) {
				close_connection(connection);
				return G_SOURCE_REMOVE;
			}
			if (connection->flooding) {
				watch(connection, G_IO_IN | G_IO_OUT);
				return G_SOURCE_REMOVE;
			}
		}
	}
	if (condition & G_IO_OUT) {
		flood(connection);
		if (is_flooded(connection)) {
			watch(connection, G_IO_IN);
			return G_SOURCE_REMOVE;
		}
	}
	return G_SOURCE_CONTINUE;
}

static gboolean on_acceptable(gint fd, GIOCondition condition, gpointer data)
{
	server_stub_t *server = data;
	fixture_t *fixture = server->fixture;
	int accepted;

	while ((accepted = accept4(fd, NULL, NULL,
				   SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		connection_t *connection;

		assert_true(fixture->n_connections < MAX_CONNECTIONS);
		connection = &fixture->connections[fixture->n_connections++];
		connection->server = server;
		connection->fd = accepted;
		connection->received = g_string_new(NULL);
		limit_buffer(accepted, SO_SNDBUF);
		watch(connection, G_IO_IN);
	}
	return G_SOURCE_CONTINUE;
}

/* Starts a server at an address, or at a free one. */
static void server_start(fixture_t *fixture, role_t role, const char *address)
{
	server_stub_t *server = &fixture->servers[role];
	struct sockaddr_storage native;
	GSocketAddress *parsed;
	int one = 1;

	server->fixture = fixture;
	server->role = role;
	server->address = address ? g_strdup(address) : unused_address();
	parsed = address_parse(server->address);
	assert_true(g_socket_address_to_native(parsed, &native, sizeof(native),
					       NULL));
	server->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	(void)setsockopt(server->fd, SOL_SOCKET, SO_REUSEADDR, &one,
			 sizeof(one));
	assert_int_equal(
		bind(server->fd, (struct sockaddr *)&native,
		     (socklen_t)g_socket_address_get_native_size(parsed)),
		0);
	assert_int_equal(listen(server->fd, 512), 0);
	server->source =
		g_unix_fd_add(server->fd, G_IO_IN, on_acceptable, server);
	g_object_unref(parsed);
}

static void servers_finish(fixture_t *fixture)
{
	for (unsigned i = 0; i <= ROLES; i++) {
		server_stub_t *server = &fixture->servers[i];

		if (!server->fixture)
			continue;
		g_source_remove(server->source);
		(void)close(server->fd);
		g_free(server->address);
	}
	for (unsigned i = 0; i < fixture->n_connections; i++) {
		connection_t *connection = &fixture->connections[i];

		if (connection->source) {
			g_source_remove(connection->source);
			(void)close(connection->fd);
		}
		g_string_free(connection->received, TRUE);
	}
	g_free(fixture->connections);
}

static void sound_on_request(void *context, exchange_t *exchange)
{
	http_headers_t headers;

	http_headers_init(&headers);
	http_headers_add(&headers, STR("X-Response-Signature"), STR("s"));
	exchange_reply(exchange, 200, &headers, STR("ok"));
	http_headers_finish(&headers);
}

static void sound_on_gone(void *context, exchange_t *exchange)
{
}

static const ingress_handler_t sound_handler = {
	.on_request = sound_on_request,
	.on_gone = sound_on_gone,
};

/* --- other callers ------------------------------------------------------- */

typedef struct {
	fixture_t *fixture;
	unsigned status;
} other_t;

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
	bool served = end == CALL_ANSWERED && other->status == 200;

	fixture->others_ended++;
	fixture->others_served += served ? 1 : 0;
	fixture->status = end == CALL_ANSWERED ? other->status : 0;
	fixture->ended = true;
	g_free(other);
}

static const call_handler_t other_handler = {
	.on_head = other_on_head,
	.on_body = other_on_body,
	.on_end = other_on_end,
};

static void append_request(GString *message, const char *line,
			   unsigned deadline_ms)
{
	g_string_append_printf(message,
			       "%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%d\r\n"
			       "Connection: close\r\n"
			       "X-Deadline-Ms: %u\r\nX-Model-Name: m\r\n"
			       "X-Token-Count: 100,20\r\n"
			       "Content-Length: 0\r\n\r\n",
			       line, g_random_int_range(0, G_MAXINT),
			       deadline_ms);
}

static void send_other(fixture_t *fixture, const char *line)
{
	other_t *other = g_new0(other_t, 1);
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = fixture->vms[0].callers_address,
		.message = message,
		.handler = &other_handler,
		.context = other,
	};

	other->fixture = fixture;
	append_request(message, line, DEADLINE_MS);
	fixture->others_sent++;
	if (!http_pool_call(&fixture->others, &options))
		other_on_end(other, CALL_NOT_SENT);
	g_string_free(message, TRUE);
}

static void on_next_other(void *context)
{
	fixture_t *fixture = context;

	send_other(fixture, "GET /q/x");
	alarm_set(&fixture->next_other, now_us() + OTHER_GAP_US);
}

static bool has_ended(void *context)
{
	return ((fixture_t *)context)->ended;
}

/* Sends a request and returns the status of its answer. */
static unsigned ask(fixture_t *fixture, const char *line)
{
	fixture->ended = false;
	send_other(fixture, line);
	assert_true(support_run_loop_until(has_ended, fixture, WAIT_MS));
	return fixture->status;
}

static bool others_have_ended(void *context)
{
	const fixture_t *fixture = context;

	return fixture->others_ended == fixture->others_sent;
}

/* --- callers of the flooding server -------------------------------------- */

/* Reads once; returns whether more may come. */
static bool caller_read(caller_t *caller, size_t len)
{
	static char buffer[1 << 18];
	ssize_t n = recv(caller->fd, buffer, len, MSG_DONTWAIT);

	if (n > 0 && caller->fixture->body)
		g_string_append_len(caller->received, buffer, n);
	if (n == 0 || (n < 0 && errno != EAGAIN))
		caller->ended = true;
	return !caller->ended;
}

static gboolean on_caller_readable(gint fd, GIOCondition condition,
				   gpointer data)
{
	caller_t *caller = data;

	if (caller_read(caller, 1 << 18))
		return G_SOURCE_CONTINUE;
	caller->source = 0;
	return G_SOURCE_REMOVE;
}

static void on_next_read(void *context)
{
	caller_t *caller = context;
	int64_t gap_us = SLOW_GAP_US;

	if (++caller->reads % READS_PER_PAUSE == 0)
		gap_us = SLOW_PAUSE_US;
	if (caller_read(caller, SLOW_BYTES))
		alarm_set(&caller->next_read, now_us() + gap_us);
}

static void caller_start(fixture_t *fixture)
{
	static const char *const lines[] = {"POST /p/x", "POST /l/x",
					    "POST /l/x", "POST /p/x"};
	caller_t *caller = &fixture->callers[fixture->n_callers++];
	GSocket *socket = support_connect(fixture->vms[0].callers_address);
	GString *message = g_string_new(NULL);

	caller->fixture = fixture;
	caller->received = g_string_new(NULL);
	caller->fd = dup(g_socket_get_fd(socket));
	g_object_unref(socket);
	limit_buffer(caller->fd, SO_RCVBUF);
	alarm_init(&caller->next_read, clock_boottime(), on_next_read, caller);
	append_request(message, lines[fixture->flood->role],
		       fixture->body ? STREAM_MS : DEADLINE_MS);
	assert_int_equal(send(caller->fd, message->str, message->len,
			      MSG_NOSIGNAL),
			 message->len);
	g_string_free(message, TRUE);
	if (fixture->flood->reading == READS_ALL)
		caller->source = g_unix_fd_add(caller->fd,
					       G_IO_IN | G_IO_HUP | G_IO_ERR,
					       on_caller_readable, caller);
	else if (fixture->flood->reading == READS_SLOWLY)
		alarm_set(&caller->next_read, now_us());
}

static void callers_finish(fixture_t *fixture)
{
	for (unsigned i = 0; i < fixture->n_callers; i++) {
		caller_t *caller = &fixture->callers[i];

		if (caller->source)
			g_source_remove(caller->source);
		alarm_finish(&caller->next_read);
		g_string_free(caller->received, TRUE);
		(void)close(caller->fd);
	}
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

/* --- the deployment ------------------------------------------------------ */

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"l\",\"host\":\"h\","
	"\"pathPrefix\":\"/l/\",\"kind\":\"streaming\","
	"\"timeoutMs\":60000,\"targetLatencyMs\":900,"
	"\"service\":\"llm\",\"maxAttempts\":1},"
	"{\"name\":\"p\",\"host\":\"h\",\"pathPrefix\":\"/p/\","
	"\"kind\":\"unsafe\",\"timeoutMs\":60000,\"service\":\"app\","
	"\"maxAttempts\":1},"
	"{\"name\":\"q\",\"host\":\"h\",\"pathPrefix\":\"/q/\","
	"\"kind\":\"safe\",\"timeoutMs\":1000,\"service\":\"sound\","
	"\"maxAttempts\":2}],"
	"\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\","
	"\"engine\":{\"slots\":512,\"kvTokenCapacity\":10000000,"
	"\"stride\":1}},{\"name\":\"app\",\"healthPath\":\"/health\"},"
	"{\"name\":\"sound\",\"healthPath\":\"/health\"}]}";

static void list_server(fake_store_t *store, role_t role, const char *address)
{
	static const char *const fields[] = {
		"\"service\":\"app\"",
		"\"service\":\"llm\",\"stage\":\"prefill\"",
		"\"service\":\"llm\",\"stage\":\"decode\"",
	};
	char *id = g_strdup_printf("i-%d", (int)role);
	char *entry = g_strdup_printf(
		"{%s,\"address\":\"%s\",\"zone\":\"z\",\"slots\":512,"
		"\"state\":\"ready\",\"sequence\":1,\"born\":1000}",
		fields[role], address);

	fake_store_put(store, TABLE_SERVERS, id, entry);
	g_free(entry);
	g_free(id);
}

/* Starts a VM with a store of its own. Without links, it reaches no server but the sound
 * one.
 */
static void vm_start(fixture_t *fixture, bool has_links)
{
	unsigned index = fixture->n_vms++;
	fake_store_t *store = &fixture->stores[index];
	char *name = g_strdup_printf("vm-%u", index);

	fixture->store_addresses[index] = unused_address();
	fake_store_start(store, fixture->store_addresses[index]);
	fake_store_put(store, TABLE_CONFIG, KEY_CONFIG, config);
	for (role_t role = ROLE_PLAIN; role < ROLES; role++) {
		char *nowhere = unused_address();

		list_server(store, role,
			    has_links ? fixture->servers[role].address
				      : nowhere);
		g_free(nowhere);
	}
	if (index == 0)
		fixture->sound_address = support_server_start(
			&fixture->sound, store, "i-9", "\"service\":\"sound\"",
			&sound_handler, fixture);
	vm_process_start(&fixture->vms[index], name,
			 fixture->store_addresses[index], SHUTDOWN_LIMIT_S);
	g_free(name);
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

static void await_served(fixture_t *fixture)
{
	static const char *const lines[] = {"GET /q/x", "POST /p/x",
					    "POST /l/x"};
	int64_t until_us = now_us() + WAIT_MS * CLOCK_US_PER_MS;

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		while (ask(fixture, lines[i]) != 200) {
			assert_true(now_us() < until_us);
			support_run_loop_ms(20);
		}
	}
}

/* Makes the bytes that a server sends: repeated ones, or a sound stream. */
static void make_bytes(fixture_t *fixture)
{
	const flood_t *bytes = fixture->flood;

	fixture->chunk = g_string_new(NULL);
	fixture->stop_bytes = bytes->stop_bytes ? bytes->stop_bytes : SIZE_MAX;
	if (bytes->events == 0) {
		while (fixture->chunk->len + strlen(bytes->again) <=
		       WRITE_BYTES)
			g_string_append(fixture->chunk, bytes->again);
		return;
	}
	fixture->body = g_string_new(NULL);
	for (unsigned i = 1; i <= bytes->events; i++) {
		char *event = g_strdup_printf("id: %u\ndata: %s\n\n", i,
					      bytes->again);

		g_string_append(fixture->body, event);
		g_string_append_printf(fixture->chunk, "%zx\r\n%s\r\n",
				       strlen(event), event);
		g_free(event);
	}
	g_string_append(fixture->chunk, "0\r\n\r\n");
	fixture->stop_bytes = fixture->chunk->len;
}

static void start(fixture_t *fixture, const flood_t *bytes)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->flood = bytes;
	fixture->connections = g_new0(connection_t, MAX_CONNECTIONS);
	make_bytes(fixture);
	for (role_t role = ROLE_PLAIN; role < ROLES; role++)
		server_start(fixture, role, NULL);
	vm_start(fixture, !bytes->over_peer);
	if (bytes->over_peer) {
		vm_start(fixture, true);
		introduce_vms(fixture);
	}
	http_pool_init(&fixture->others, clock_boottime(), 0, 0);
	alarm_init(&fixture->next_other, clock_boottime(), on_next_other,
		   fixture);
	await_served(fixture);
}

static void finish(fixture_t *fixture)
{
	alarm_finish(&fixture->next_other);
	callers_finish(fixture);
	for (unsigned i = 0; i < fixture->n_vms; i++)
		vm_process_finish(&fixture->vms[i]);
	/* The calls end with the VM. */
	assert_true(
		support_run_loop_until(others_have_ended, fixture, WAIT_MS));
	http_pool_finish(&fixture->others);
	servers_finish(fixture);
	ingress_finish(&fixture->sound);
	for (unsigned i = 0; i < fixture->n_vms; i++) {
		if (fixture->flood->role != ROLE_STORE)
			fake_store_stop(&fixture->stores[i]);
		g_free(fixture->store_addresses[i]);
	}
	g_free(fixture->sound_address);
	g_string_free(fixture->chunk, TRUE);
	if (fixture->body)
		g_string_free(fixture->body, TRUE);
}

/* Puts a flood in the place of the store. */
static void replace_store(fixture_t *fixture)
{
	fake_store_stop(&fixture->stores[0]);
	server_start(fixture, ROLE_STORE, fixture->store_addresses[0]);
}

static bool body_on_head(void *context, http_head_t *head)
{
	return true;
}

static void body_on_body(void *context, const char *data, size_t len)
{
	g_string_append_len(context, data, (gssize)len);
}

static const http_message_handler_t body_handler = {
	.on_head = body_on_head,
	.on_body = body_on_body,
};

/* Returns whether a caller has the whole stream as it was sent, and nothing else. */
static bool got_the_stream(const caller_t *caller)
{
	GString *body = g_string_new(NULL);
	http_message_t message;
	size_t used;
	bool whole;

	http_message_init(&message, false, &body_handler, body);
	whole = http_message_feed(&message, caller->received->str,
				  caller->received->len,
				  &used) == HTTP_FEED_DONE &&
		g_string_equal(body, caller->fixture->body);
	if (!whole)
		print_message("a caller has %zu of %zu bytes\n", body->len,
			      caller->fixture->body->len);
	http_message_finish(&message);
	g_string_free(body, TRUE);
	return whole;
}

/* Returns whether all callers have the whole stream, and its engine never counted as
 * silent.
 */
static bool all_got_the_stream(const fixture_t *fixture)
{
	bool all = vm_process_count_logged(&fixture->vms[0],
					   "event=server_silent") == 0;

	if (!all)
		print_message("the engine counts as silent\n");
	for (unsigned i = 0; i < fixture->n_callers; i++)
		all &= got_the_stream(&fixture->callers[i]);
	return all;
}

/* Plays one flood. Returns whether the VMs kept within their memory, and the small requests
 * of other callers were served meanwhile.
 */
static bool plays_well(const flood_t *bytes)
{
	static fixture_t fixture; /* outlives a failure */
	vm_memory_t quiet[2] = {{0}};
	int64_t grown = 0;
	bool alive = true;

	start(&fixture, bytes);
	for (unsigned i = 0; i < fixture.n_vms; i++)
		quiet[i] = vm_process_peak(&fixture.vms[i]);
	fixture.others_sent = fixture.others_ended = fixture.others_served = 0;
	fixture.flood_begun = true;
	alarm_set(&fixture.next_other, now_us());
	if (bytes->role == ROLE_STORE)
		replace_store(&fixture);
	for (unsigned i = 0; i < bytes->callers; i++)
		caller_start(&fixture);
	if (bytes->reading == READS_NOTHING || bytes->callers == 0)
		support_run_loop_ms(FLOOD_MS);
	else
		(void)support_run_loop_until(callers_have_ended, &fixture,
					     bytes->events ? STREAM_MS
							   : FLOOD_MS);
	alarm_set(&fixture.next_other, -1);
	(void)support_run_loop_until(others_have_ended, &fixture, 2000);
	for (unsigned i = 0; i < fixture.n_vms; i++) {
		vm_memory_t peak = vm_process_peak(&fixture.vms[i]);

		alive &= peak.resident_bytes > 0;
		grown = MAX(grown, vm_memory_growth(&quiet[i], &peak));
	}
	print_message("%s: %" G_GINT64_FORMAT " KiB above %" G_GINT64_FORMAT
		      " KiB, %" G_GINT64_FORMAT
		      " KiB sent, %u of %u others served%s\n",
		      bytes->name, grown >> 10, quiet[0].resident_bytes >> 10,
		      fixture.sent_bytes >> 10, fixture.others_served,
		      fixture.others_sent, alive ? "" : ", ended");
	alive &= fixture.sent_bytes > 0 && grown <= VM_GROWTH_ALLOWED_BYTES &&
		 fixture.others_served == fixture.others_sent &&
		 (!bytes->events || all_got_the_stream(&fixture));
	finish(&fixture);
	return alive;
}

#define OK_HEAD "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
#define CHUNKED OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define TEXT64                             \
	"0123456789abcdef0123456789abcdef" \
	"0123456789abcdef0123456789abcdef"
#define CHUNK "40\r\n" TEXT64 "\r\n"
#define TEXT512 TEXT64 TEXT64 TEXT64 TEXT64 TEXT64 TEXT64 TEXT64 TEXT64
#define TEXT4096 TEXT512 TEXT512 TEXT512 TEXT512 TEXT512 TEXT512 TEXT512 TEXT512
#define LARGE_CHUNK "1000\r\n" TEXT4096 "\r\n"
#define EVENT "1008\r\ndata: " TEXT4096 "\n\n\r\n"

/* Returns the number of floods that fill a VM or disturb its other callers. */
static unsigned count_bad(const flood_t *floods, size_t n)
{
	unsigned bad = 0;

	for (size_t i = 0; i < n; i++)
		bad += !plays_well(&floods[i]);
	return bad;
}

/* Guards against servers, many connections at once, whose bytes without an end are kept
 * although they are no answer.
 */
static void test_no_answers(void **state)
{
	static const flood_t floods[] = {
		{
			.name = "head",
			.role = ROLE_PLAIN,
			.first = "HTTP/1.1 200 OK\r\n",
			.again = "X-Y: z\r\n",
			.reading = READS_ALL,
			.callers = 400,
		},
		{
			.name = "field",
			.role = ROLE_PLAIN,
			.first = "HTTP/1.1 200 OK\r\nX-Y: ",
			.again = "z",
			.reading = READS_ALL,
			.callers = 400,
		},
		{
			.name = "status line",
			.role = ROLE_PLAIN,
			.first = "HTTP/1.1 200 ",
			.again = "z",
			.reading = READS_ALL,
			.callers = 64,
		},
		{
			.name = "interim answers",
			.role = ROLE_PLAIN,
			.first = "",
			.again = "HTTP/1.1 100 Continue\r\nX-Y: " TEXT64
				 "\r\n\r\n",
			.reading = READS_ALL,
			.callers = 64,
		},
		{
			.name = "chunk extension",
			.role = ROLE_PLAIN,
			.first = CHUNKED "1;",
			.again = "z",
			.reading = READS_ALL,
			.callers = 64,
		},
		{
			.name = "trailer",
			.role = ROLE_PLAIN,
			.first = CHUNKED "0\r\n",
			.again = "X-Y: z\r\n",
			.reading = READS_ALL,
			.callers = 64,
		},
		{
			.name = "body",
			.role = ROLE_PLAIN,
			.first = CHUNKED,
			.again = CHUNK,
			.reading = READS_ALL,
			.callers = 64,
		},
		{
			.name = "prompt result",
			.role = ROLE_PREFILL,
			.first = CHUNKED,
			.again = CHUNK,
			.reading = READS_ALL,
			.callers = 64,
		},
		{
			.name = "error of a decode engine",
			.role = ROLE_DECODE,
			.first =
				"HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n",
			.again = CHUNK,
			.reading = READS_ALL,
			.callers = 64,
		},
	};

	assert_int_equal(count_bad(floods, G_N_ELEMENTS(floods)), 0);
}

/* Guards against answers to health checks that are kept without a bound. */
static void test_health_checks(void **state)
{
	static const flood_t floods[] = {
		{
			.name = "health check",
			.role = ROLE_PLAIN,
			.first = CHUNKED,
			.again = CHUNK,
			.reading = READS_ALL,
			.callers = 8,
			.health_only = true,
		},
	};

	assert_int_equal(count_bad(floods, G_N_ELEMENTS(floods)), 0);
}

/* Guards against answers to releases of prompt results that are kept without a bound, one more
 * with each request.
 */
static void test_releases(void **state)
{
	static const flood_t floods[] = {
		{
			.name = "head of a release",
			.role = ROLE_PREFILL,
			.first = "HTTP/1.1 200 OK\r\n",
			.again = "X-Y: z\r\n",
			.reading = READS_NOTHING,
			.callers = 64,
			.releases_only = true,
		},
		{
			.name = "body of a release",
			.role = ROLE_PREFILL,
			.first = CHUNKED,
			.again = CHUNK,
			.reading = READS_NOTHING,
			.callers = 64,
			.releases_only = true,
		},
	};

	assert_int_equal(count_bad(floods, G_N_ELEMENTS(floods)), 0);
}

/* Guards against answers of the store that are kept without a bound. */
static void test_store(void **state)
{
	static const flood_t floods[] = {
		{
			.name = "head of the store",
			.role = ROLE_STORE,
			.first = "HTTP/1.1 200 OK\r\n",
			.again = "X-Y: z\r\n",
		},
		{
			.name = "body of the store",
			.role = ROLE_STORE,
			.first = CHUNKED,
			.again = CHUNK,
		},
	};

	assert_int_equal(count_bad(floods, G_N_ELEMENTS(floods)), 0);
}

/* Guards against parts of events that many streams keep at a time, and against work that
 * grows with the square of what is kept.
 */
static void test_parts_of_events(void **state)
{
	static const flood_t floods[] = {
		{
			.name = "parts of events",
			.role = ROLE_DECODE,
			.first = CHUNKED,
			.again = CHUNK,
			.reading = READS_ALL,
			.callers = 400,
			.stop_bytes = 250000,
		},
		{
			.name = "parts of events, large chunks",
			.role = ROLE_DECODE,
			.first = CHUNKED,
			.again = LARGE_CHUNK,
			.reading = READS_ALL,
			.callers = 400,
			.stop_bytes = 250000,
		},
		{
			.name = "event in small chunks",
			.role = ROLE_DECODE,
			.first = CHUNKED,
			.again = "1\r\na\r\n",
			.reading = READS_ALL,
			.callers = 8,
		},
	};

	assert_int_equal(count_bad(floods, G_N_ELEMENTS(floods)), 0);
}

/* Guards against events without an end that are kept for callers which do not read them
 * as fast as they come.
 */
static void test_events(void **state)
{
	static const flood_t floods[] = {
		{
			.name = "events, read",
			.role = ROLE_DECODE,
			.first = CHUNKED,
			.again = EVENT,
			.reading = READS_ALL,
			.callers = 8,
		},
		{
			.name = "events, read slowly",
			.role = ROLE_DECODE,
			.first = CHUNKED,
			.again = EVENT,
			.reading = READS_SLOWLY,
			.callers = 8,
		},
		{
			.name = "events, not read",
			.role = ROLE_DECODE,
			.first = CHUNKED,
			.again = EVENT,
			.reading = READS_NOTHING,
			.callers = 8,
		},
		{
			.name = "events, not read by 40",
			.role = ROLE_DECODE,
			.first = CHUNKED,
			.again = EVENT,
			.reading = READS_NOTHING,
			.callers = 40,
		},
	};

	assert_int_equal(count_bad(floods, G_N_ELEMENTS(floods)), 0);
}

/* Guards against sound streams that fill the memory of a VM because their callers read
 * slowly, and against streams that are cut or reordered, or an engine that counts as silent,
 * because the VM reads from it no faster than its caller.
 */
static void test_sound_streams(void **state)
{
	static const flood_t floods[] = {
		{.name = "sound streams",
		 .role = ROLE_DECODE,
		 .first = CHUNKED,
		 .again = TEXT4096,
		 .reading = READS_SLOWLY,
		 .callers = 6,
		 .events = 4000},
		{.name = "sound streams, passed on",
		 .role = ROLE_DECODE,
		 .first = CHUNKED,
		 .again = TEXT4096,
		 .reading = READS_SLOWLY,
		 .callers = 6,
		 .events = 4000,
		 .over_peer = true},
	};

	assert_int_equal(count_bad(floods, G_N_ELEMENTS(floods)), 0);
}

/* The same at a VM that passes requests on, and at the one that they are passed to. */
static void test_passed_on(void **state)
{
	static const flood_t floods[] = {
		{
			.name = "body, passed on",
			.role = ROLE_PLAIN,
			.first = CHUNKED,
			.again = CHUNK,
			.reading = READS_ALL,
			.callers = 64,
			.over_peer = true,
		},
		{
			.name = "events, passed on, not read",
			.role = ROLE_DECODE,
			.first = CHUNKED,
			.again = EVENT,
			.reading = READS_NOTHING,
			.callers = 8,
			.over_peer = true,
		},
	};

	assert_int_equal(count_bad(floods, G_N_ELEMENTS(floods)), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_answers),
		cmocka_unit_test(test_health_checks),
		cmocka_unit_test(test_releases),
		cmocka_unit_test(test_store),
		cmocka_unit_test(test_parts_of_events),
		cmocka_unit_test(test_events),
		cmocka_unit_test(test_sound_streams),
		cmocka_unit_test(test_passed_on),
	};

	/* The address sanitizer's store of freed memory would count as the VM's. */
	(void)g_setenv(
		"ASAN_OPTIONS",
		"quarantine_size_mb=1:thread_local_quarantine_size_kb=64",
		FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
