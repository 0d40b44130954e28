/* Orders to model engines whose answers have no end. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>
#include <cmocka.h>

#include <glib-unix.h>
#include <unistd.h>

#include "connection/address.h"
#include "process/entry/stage_order_call.h"
#include "support_address.h"
#include "support_tcp_stub.h"

/* Engines that one round may name. */
#define ENGINES 300
#define BUDGET_BYTES ((size_t)4 << 20)
#define WAIT_MS 10000

/* What an engine sends of a report, below the limit of one. */
#define SENT_BYTES 60000

/* An engine that answers each request with a body that has no end. */
typedef struct {
	GSocket *listener;
	guint source;
	GPtrArray *connections; /* of connection_t */
	char *address;
} engine_t;

typedef struct {
	GSocket *socket;
	guint source;
	size_t sent_bytes; /* with the head */
} connection_t;

typedef struct {
	engine_t engine;
	http_pool_t pool;
	memory_budget_t reports;
	GQueue calls;
	unsigned answers;
	size_t most_bytes; /* that counted in `reports` */
} fixture_t;

static void free_connection(gpointer data)
{
	connection_t *connection = data;

	if (connection->source)
		g_source_remove(connection->source);
	g_object_unref(connection->socket);
	g_free(connection);
}

static gboolean on_connection(gint fd, GIOCondition condition, gpointer data)
{
	static const char head[] =
		"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
		"Content-Length: 100000000\r\n\r\n";
	static char bytes[4096];
	connection_t *connection = data;
	bool is_first = connection->sent_bytes == 0;
	ssize_t n;

	if (condition & (G_IO_HUP | G_IO_ERR)) {
		connection->source = 0;
		return G_SOURCE_REMOVE;
	}
	memset(bytes, 'x', sizeof(bytes));
	n = send(fd, is_first ? head : bytes,
		 is_first ? sizeof(head) - 1 : sizeof(bytes), MSG_NOSIGNAL);
	connection->sent_bytes += n > 0 ? (size_t)n : 0;
	if (connection->sent_bytes < SENT_BYTES)
		return G_SOURCE_CONTINUE;
	connection->source = g_unix_fd_add(fd, G_IO_HUP | G_IO_ERR,
					   on_connection, connection);
	return G_SOURCE_REMOVE;
}

static gboolean on_acceptable(gint fd, GIOCondition condition, gpointer data)
{
	engine_t *engine = data;
	connection_t *connection = g_new0(connection_t, 1);

	connection->socket = g_socket_accept(engine->listener, NULL, NULL);
	assert_non_null(connection->socket);
	connection->source = g_unix_fd_add(g_socket_get_fd(connection->socket),
					   G_IO_OUT | G_IO_HUP | G_IO_ERR,
					   on_connection, connection);
	g_ptr_array_add(engine->connections, connection);
	return G_SOURCE_CONTINUE;
}

static void engine_start(engine_t *engine)
{
	GSocketAddress *address;

	engine->address = unused_address();
	engine->connections = g_ptr_array_new_with_free_func(free_connection);
	engine->listener = g_socket_new(G_SOCKET_FAMILY_IPV4,
					G_SOCKET_TYPE_STREAM,
					G_SOCKET_PROTOCOL_TCP, NULL);
	address = address_parse(engine->address);
	assert_true(g_socket_bind(engine->listener, address, TRUE, NULL));
	g_object_unref(address);
	g_socket_set_listen_backlog(engine->listener, ENGINES);
	assert_true(g_socket_listen(engine->listener, NULL));
	engine->source = g_unix_fd_add(g_socket_get_fd(engine->listener),
				       G_IO_IN, on_acceptable, engine);
}

static void engine_stop(engine_t *engine)
{
	g_source_remove(engine->source);
	g_ptr_array_unref(engine->connections);
	g_object_unref(engine->listener);
	g_free(engine->address);
}

static void on_answer(void *context, server_t *server, const http_head_t *head)
{
	((fixture_t *)context)->answers++;
}

/* Gives an order to an engine of its own at the address of the stand-in. */
static void send_order(fixture_t *fixture, unsigned number)
{
	clock_source_t clock = clock_boottime();
	server_t *server = g_new0(server_t, 1);
	stage_order_request_t request = {
		.pool = &fixture->pool,
		.server = server,
		.vm = "vm-us",
		.fencing_token = 1,
		.valid_until_us = clock_now(&clock) + 5 * CLOCK_US_PER_S,
		.to_stage = STAGE_DECODE,
		.calls = &fixture->calls,
		.reports = &fixture->reports,
		.on_answer = on_answer,
		.context = fixture,
	};

	server->refs = 1;
	server->entry.id = g_strdup_printf("i-%u", number);
	server->entry.address = g_strdup(fixture->engine.address);
	stage_order_send(&request);
	server_unref(server);
}

static bool have_ended(void *context)
{
	fixture_t *fixture = context;

	fixture->most_bytes =
		MAX(fixture->most_bytes, fixture->reports.used_bytes);
	return g_queue_is_empty(&fixture->calls);
}

/* Guards against reports without an end that fill a VM's memory, as a round may give orders to
 * hundreds of engines: each report has a limit, and all together need one.
 */
static void test_reports_without_end(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	memset(&fixture, 0, sizeof(fixture));
	engine_start(&fixture.engine);
	http_pool_init(&fixture.pool, clock_boottime(), 0, 0);
	memory_budget_init(&fixture.reports, BUDGET_BYTES);
	for (unsigned i = 0; i < ENGINES; i++)
		send_order(&fixture, i);
	assert_true(support_run_loop_until(have_ended, &fixture, WAIT_MS));
	print_message("%u answers, %zu bytes of reports at most\n",
		      fixture.answers, fixture.most_bytes);
	assert_int_equal(fixture.answers, ENGINES);
	assert_true(fixture.most_bytes > BUDGET_BYTES / 2);
	assert_true(fixture.most_bytes <=
		    BUDGET_BYTES + (size_t)ENGINES * MEMORY_SMALL_BYTES);
	assert_int_equal(fixture.reports.used_bytes, 0);
	http_pool_finish(&fixture.pool);
	engine_stop(&fixture.engine);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reports_without_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
