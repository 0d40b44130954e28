#include "support_tcp_stub.h"

#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

typedef struct {
	tcp_stub_t *peer;
	GSocket *socket;
	GSource *source;
	GString *received;
} connection_t;

static void drop(gpointer data)
{
	connection_t *connection = data;

	g_source_destroy(connection->source);
	g_source_unref(connection->source);
	g_object_unref(connection->socket);
	g_string_free(connection->received, TRUE);
	g_free(connection);
}

static void close_socket(connection_t *connection, bool reset)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	if (reset)
		setsockopt(g_socket_get_fd(connection->socket), SOL_SOCKET,
			   SO_LINGER, &linger, sizeof(linger));
	g_socket_close(connection->socket, NULL);
	g_ptr_array_remove(connection->peer->connections, connection);
}

/* Answers one request; true while the connection is open. */
static bool answer(connection_t *connection)
{
	tcp_stub_t *peer = connection->peer;
	const tcp_stub_answer_t *chosen = &peer->answers[peer->next];

	peer->requests++;
	if (peer->next + 1 < peer->n_answers)
		peer->next++;
	if (chosen->bytes)
		g_socket_send(connection->socket, chosen->bytes,
			      strlen(chosen->bytes), NULL, NULL);
	if (chosen->then == TCP_STUB_KEEP_OPEN)
		return true;
	close_socket(connection, chosen->then == TCP_STUB_RESET);
	return false;
}

static gboolean on_readable(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	connection_t *connection = data;
	char buffer[4096];
	gssize n = g_socket_receive(socket, buffer, sizeof(buffer), NULL, NULL);
	char *end;

	if (n <= 0) {
		connection->peer->closed++;
		g_ptr_array_remove(connection->peer->connections, connection);
		return G_SOURCE_REMOVE;
	}
	g_string_append_len(connection->received, buffer, n);
	g_string_append_len(connection->peer->received, buffer, n);
	while ((end = strstr(connection->received->str, "\r\n\r\n"))) {
		g_string_erase(connection->received, 0,
			       end + 4 - connection->received->str);
		if (!answer(connection))
			return G_SOURCE_REMOVE;
	}
	return G_SOURCE_CONTINUE;
}

static gboolean on_acceptable(GSocket *socket, GIOCondition condition,
			      gpointer data)
{
	tcp_stub_t *peer = data;
	connection_t *connection = g_new0(connection_t, 1);

	connection->peer = peer;
	connection->socket = g_socket_accept(socket, NULL, NULL);
	connection->received = g_string_new(NULL);
	connection->source =
		g_socket_create_source(connection->socket, G_IO_IN, NULL);
	g_source_set_callback(connection->source, G_SOURCE_FUNC(on_readable),
			      connection, NULL);
	g_source_attach(connection->source, NULL);
	g_ptr_array_add(peer->connections, connection);
	peer->accepted++;
	return G_SOURCE_CONTINUE;
}

/* Listens on a free port of the loopback address. */
void tcp_stub_start(tcp_stub_t *peer, const tcp_stub_answer_t *answers,
		    size_t n_answers)
{
	GInetAddress *ip = g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *any = g_inet_socket_address_new(ip, 0);
	GSocketAddress *bound;

	memset(peer, 0, sizeof(*peer));
	peer->answers = answers;
	peer->n_answers = n_answers;
	peer->received = g_string_new(NULL);
	peer->connections = g_ptr_array_new_with_free_func(drop);
	peer->listener = g_socket_new(G_SOCKET_FAMILY_IPV4,
				      G_SOCKET_TYPE_STREAM,
				      G_SOCKET_PROTOCOL_TCP, NULL);
	g_assert_true(g_socket_bind(peer->listener, any, TRUE, NULL));
	g_assert_true(g_socket_listen(peer->listener, NULL));
	bound = g_socket_get_local_address(peer->listener, NULL);
	peer->address = g_strdup_printf(
		"127.0.0.1:%u",
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)));
	peer->source = g_socket_create_source(peer->listener, G_IO_IN, NULL);
	g_source_set_callback(peer->source, G_SOURCE_FUNC(on_acceptable), peer,
			      NULL);
	g_source_attach(peer->source, NULL);
	g_object_unref(bound);
	g_object_unref(any);
	g_object_unref(ip);
}

/* Closes the listener and all connections. */
void tcp_stub_stop(tcp_stub_t *peer)
{
	g_source_destroy(peer->source);
	g_source_unref(peer->source);
	g_ptr_array_unref(peer->connections);
	g_socket_close(peer->listener, NULL);
	g_object_unref(peer->listener);
	g_string_free(peer->received, TRUE);
	g_free(peer->address);
}

/* Opens a connection that does not block. */
GSocket *support_connect(const char *address)
{
	GSocketConnectable *to = g_network_address_parse(address, 0, NULL);
	GSocketAddress *any;
	GInetAddress *ip = g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, NULL);

	any = g_inet_socket_address_new(
		ip, g_network_address_get_port(G_NETWORK_ADDRESS(to)));
	g_assert_true(g_socket_connect(socket, any, NULL, NULL));
	g_socket_set_blocking(socket, FALSE);
	g_object_unref(to);
	g_object_unref(any);
	g_object_unref(ip);
	return socket;
}

static gboolean set_flag(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_CONTINUE;
}

/* Runs the main loop until a condition holds. False after the limit. */
bool support_run_loop_until(bool (*done)(void *context), void *context,
			    unsigned limit_ms)
{
	bool late = false;
	guint timer = g_timeout_add(limit_ms, set_flag, &late);

	while (!done(context) && !late)
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(timer);
	return done(context);
}

static bool never(void *context)
{
	return false;
}

/* Runs the main loop for a time. */
void support_run_loop_ms(unsigned ms)
{
	(void)support_run_loop_until(never, NULL, ms);
}
