#include "support_raw.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Body of every complete response: an engine's load report, as its polls
 * expect.
 */
#define RESPONSE_BODY                                             \
	"{\"role\":\"prefill\",\"kv_total\":60000,\"kv_used\":0," \
	"\"held_tokens\":0}"

/* Enough connections for the polls and calls of one router. */
#define MAX_THREADS 64

/* Sends a text; errors are ignored. */
static void send_text(GSocketConnection *connection, const char *text)
{
	g_output_stream_write_all(
		g_io_stream_get_output_stream(G_IO_STREAM(connection)), text,
		strlen(text), NULL, NULL, NULL);
}

/* Sends a complete response. */
static void send_response(GSocketConnection *connection)
{
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n"
				     "Content-Type: application/json\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
				     strlen(RESPONSE_BODY), RESPONSE_BODY);

	send_text(connection, text);
	g_free(text);
}

/* Makes the later close of the connection a reset. */
static void close_with_reset(GSocketConnection *connection)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	setsockopt(g_socket_get_fd(g_socket_connection_get_socket(connection)),
		   SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

/* Reads the head after the request line. Returns the length of the body. */
static size_t read_head(GDataInputStream *lines)
{
	size_t length = 0;
	char *line;

	while ((line = g_data_input_stream_read_line(lines, NULL, NULL,
						     NULL)) &&
	       *g_strchomp(line)) {
		if (g_ascii_strncasecmp(line, "content-length:", 15) == 0)
			length = strtoul(line + 15, NULL, 10);
		g_free(line);
	}
	g_free(line);
	return length;
}

/* Reads a body and discards it. */
static void read_body(GDataInputStream *lines, size_t length)
{
	char *body = g_malloc(length + 1);

	g_input_stream_read_all(G_INPUT_STREAM(lines), body, length, NULL, NULL,
				NULL);
	g_free(body);
}

/* Does what a mode says after a complete request. Returns false if the
 * connection is to be closed.
 */
static bool respond(raw_peer_t *peer, GSocketConnection *connection,
		    raw_mode_t mode)
{
	switch (mode) {
	case RAW_ANSWER:
		send_response(connection);
		return true;
	case RAW_ANSWER_AND_CLOSE_IDLE:
		send_response(connection);
		return false;
	case RAW_RESET_AFTER_BODY:
		close_with_reset(connection);
		break;
	case RAW_CLOSE_IN_STATUS_LINE:
		send_text(connection, "HTTP/1.1 2");
		break;
	case RAW_CLOSE_AFTER_STATUS_LINE:
		send_text(connection, "HTTP/1.1 200 OK\r\n");
		break;
	case RAW_CLOSE_IN_BODY:
		send_text(connection, "HTTP/1.1 200 OK\r\n"
				      "Content-Length: 100\r\n\r\n{\"ro");
		break;
	case RAW_CLOSE_IN_CHUNK:
		send_text(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
				      "chunked\r\n\r\n10\r\n{\"ro");
		break;
	case RAW_CLOSE_BEFORE_LAST_CHUNK:
		send_text(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
				      "chunked\r\n\r\n2\r\n{}\r\n");
		break;
	default:
		break;
	}
	return false;
}

/* Serves one request. Returns false if the connection is to be closed. */
static bool serve_request(raw_peer_t *peer, GSocketConnection *connection,
			  GDataInputStream *lines)
{
	raw_mode_t mode;
	char *line = g_data_input_stream_read_line(lines, NULL, NULL, NULL);
	bool is_other_call = line && strstr(line, " /v1/") &&
			     !strstr(line, " /v1/prefill ");

	if (!line)
		return false;
	g_free(line);
	if (is_other_call) {
		read_body(lines, read_head(lines));
		send_response(connection);
		return true;
	}
	g_atomic_int_inc(&peer->calls);
	/* Read only now: the mode may have changed while an idle connection
	 * waited for this request.
	 */
	mode = (raw_mode_t)g_atomic_int_get(&peer->mode);
	if (mode == RAW_CLOSE_AFTER_LINE)
		return false;
	if (mode == RAW_CLOSE_AFTER_HEAD) {
		read_head(lines);
		return false;
	}
	read_body(lines, read_head(lines));
	return respond(peer, connection, mode);
}

/* Serves one connection on its own thread. */
static gboolean on_connection(GThreadedSocketService *service,
			      GSocketConnection *connection, GObject *source,
			      gpointer data)
{
	raw_peer_t *peer = data;
	GDataInputStream *lines = g_data_input_stream_new(
		g_io_stream_get_input_stream(G_IO_STREAM(connection)));

	g_data_input_stream_set_newline_type(lines,
					     G_DATA_STREAM_NEWLINE_TYPE_LF);
	g_atomic_int_inc(&peer->connections);
	if (g_atomic_int_get(&peer->mode) != RAW_CLOSE_AT_ACCEPT) {
		while (serve_request(peer, connection, lines))
			;
	}
	if (g_atomic_int_get(&peer->mode) == RAW_ANSWER_AND_CLOSE_IDLE)
		g_atomic_int_inc(&peer->idle_closed);
	g_io_stream_close(G_IO_STREAM(connection), NULL, NULL);
	g_object_unref(lines);
	return TRUE;
}

/* Runs the main loop that accepts connections. */
static gpointer run_loop(gpointer data)
{
	raw_peer_t *peer = data;

	g_main_context_push_thread_default(peer->context);
	g_main_loop_run(peer->loop);
	g_main_context_pop_thread_default(peer->context);
	return NULL;
}

/* Starts a server on a free port, with the mode RAW_ANSWER. */
void raw_peer_start(raw_peer_t *peer)
{
	guint16 port;

	memset(peer, 0, sizeof(*peer));
	peer->context = g_main_context_new();
	peer->loop = g_main_loop_new(peer->context, FALSE);
	g_main_context_push_thread_default(peer->context);
	peer->service = g_threaded_socket_service_new(MAX_THREADS);
	port = g_socket_listener_add_any_inet_port(
		G_SOCKET_LISTENER(peer->service), NULL, NULL);
	g_signal_connect(peer->service, "run", G_CALLBACK(on_connection), peer);
	g_socket_service_start(peer->service);
	g_main_context_pop_thread_default(peer->context);
	peer->address = g_strdup_printf("127.0.0.1:%d", port);
	peer->thread = g_thread_new("raw-peer", run_loop, peer);
}

/* Stops accepting and frees the server. Its open connections end when the
 * client closes them.
 */
void raw_peer_stop(raw_peer_t *peer)
{
	/* The loop ends first: while it runs, it may be about to accept again,
	 * and GLib then loses the source of the accept that was cancelled.
	 */
	g_main_loop_quit(peer->loop);
	g_thread_join(peer->thread);
	g_socket_service_stop(peer->service);
	g_socket_listener_close(G_SOCKET_LISTENER(peer->service));
	while (g_main_context_pending(peer->context))
		g_main_context_iteration(peer->context, FALSE);
	g_object_unref(peer->service);
	g_main_loop_unref(peer->loop);
	g_main_context_unref(peer->context);
	g_free(peer->address);
}
