#include "connection/reply.h"

#include <gio/gio.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

/* A caller that acknowledges nothing for this long counts as gone: the kernel
 * then resets the connection, which on_socket_closed() learns of.
 */
#define CALLER_USER_TIMEOUT_MS 5000

/* TCP keepalive finds out that a caller is gone while nothing is being sent to
 * it: probes follow this silence, at this interval, up to this number.
 */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3

/* A caller that leaves more than this unread counts as gone, which bounds the
 * memory that a slow caller can hold.
 */
#define MAX_UNWRITTEN_BYTES (1 << 20)

/* Makes the kernel reset the connection of a caller that stops responding. */
static void set_socket_options(GSocket *socket)
{
	int fd = g_socket_get_fd(socket);
	unsigned user_timeout_ms = CALLER_USER_TIMEOUT_MS;
	int idle = KEEPALIVE_IDLE_S;
	int interval = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;

	g_socket_set_keepalive(socket, TRUE);
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
		   sizeof(user_timeout_ms));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

/* Stops waiting for the caller's close. */
static void stop_watching(reply_t *reply)
{
	if (!reply->socket_watch)
		return;
	g_source_destroy(reply->socket_watch);
	g_clear_pointer(&reply->socket_watch, g_source_unref);
}

/* Shuts the connection down and ends the response, so that libsoup's next write
 * fails.
 */
static void shut_down_connection(reply_t *reply)
{
	GSocket *socket = soup_server_message_get_socket(reply->message);

	if (socket)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
	if (!reply->done) {
		reply->done = true;
		soup_message_body_complete(
			soup_server_message_get_response_body(reply->message));
		if (!reply->message_finished)
			soup_server_message_unpause(reply->message);
	}
}

/* Ends the response because the caller is gone, and tells the owner. If the
 * response has ended already, only stops the watch and the pending chunk.
 */
static void report_gone(reply_t *reply)
{
	reply_gone_fn_t on_gone = reply->on_gone;

	stop_watching(reply);
	if (reply->flush_source) {
		g_source_remove(reply->flush_source);
		reply->flush_source = 0;
	}
	if (reply->done)
		return;
	shut_down_connection(reply);
	reply->on_gone = NULL;
	if (on_gone)
		on_gone(reply->context);
}

/* Handles a caller's close. libsoup does not notice one while the response is
 * paused or waits for its next chunk, so the socket is watched here. A
 * half-close looks the same as a close, and counts as one.
 */
static gboolean on_socket_closed(GSocket *socket, GIOCondition condition,
				 gpointer data)
{
	report_gone(data);
	return G_SOURCE_REMOVE;
}

/* Counts bytes that libsoup has written. */
static void on_wrote_data(SoupServerMessage *message, guint size, gpointer data)
{
	reply_t *reply = data;

	reply->unwritten_bytes -= size;
}

/* Handles the end of the message. If the response has not ended, the connection
 * has.
 */
static void on_message_finished(SoupServerMessage *message, gpointer data)
{
	reply_t *reply = data;

	reply->message_finished = true;
	report_gone(reply);
}

/* Sets the header field that repeats the request ID. */
static void set_request_id_header(reply_t *reply)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(reply->message);

	soup_message_headers_replace(headers, "X-Request-Id",
				     reply->request_id);
}

/* Sets up the response to a message, of which it takes a reference. The
 * message is paused until a response is given. on_gone is called once if the
 * caller closes its connection before the response ends.
 */
void reply_init(reply_t *reply, SoupServerMessage *message, str_t id,
		clock_source_t clock, reply_gone_fn_t on_gone, void *context)
{
	GSocket *socket = soup_server_message_get_socket(message);

	memset(reply, 0, sizeof(*reply));
	reply->message = g_object_ref(message);
	reply->clock = clock;
	reply->on_gone = on_gone;
	reply->context = context;
	reply->pending = g_string_new(NULL);
	g_snprintf(reply->request_id, sizeof(reply->request_id), "%.*s",
		   STR_ARG(id));
	set_request_id_header(reply);
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(message), FALSE);
	g_signal_connect(message, "wrote-body-data", G_CALLBACK(on_wrote_data),
			 reply);
	g_signal_connect(message, "finished", G_CALLBACK(on_message_finished),
			 reply);
	soup_server_message_pause(message);
	if (!socket)
		return;
	set_socket_options(socket);
	reply->socket_watch = g_socket_create_source(
		socket, G_IO_HUP | G_IO_ERR | (GIOCondition)POLLRDHUP, NULL);
	g_source_set_callback(reply->socket_watch,
			      G_SOURCE_FUNC(on_socket_closed), reply, NULL);
	g_source_attach(reply->socket_watch,
			g_main_context_get_thread_default());
}

/* Frees the reply. If its response is not complete, the connection is shut
 * down, so that the caller cannot take the response for a complete one.
 */
void reply_finish(reply_t *reply)
{
	if (!reply->message)
		return;
	stop_watching(reply);
	if (reply->flush_source)
		g_source_remove(reply->flush_source);
	g_signal_handlers_disconnect_by_data(reply->message, reply);
	if (!reply->done)
		shut_down_connection(reply);
	g_clear_object(&reply->message);
	g_string_free(reply->pending, TRUE);
	reply->pending = NULL;
}

/* Sets the header field that says whether the request may have run. */
static void set_verdict_header(reply_t *reply, run_status_t run)
{
	soup_message_headers_replace(
		soup_server_message_get_response_headers(reply->message),
		VERDICT_HEADER, verdict_run_text(run));
}

/* Sends a complete response with a verdict header. The body is copied. */
void reply_send(reply_t *reply, unsigned status, run_status_t run,
		const char *content_type, str_t body)
{
	if (reply->done)
		return;
	reply->done = true;
	stop_watching(reply);
	set_verdict_header(reply, run);
	soup_server_message_set_status(reply->message, status, NULL);
	soup_server_message_set_response(reply->message, content_type,
					 SOUP_MEMORY_COPY, body.data, body.len);
	soup_server_message_unpause(reply->message);
}

/* Gives the pending bytes to libsoup as one chunk. */
static void append_chunk(reply_t *reply)
{
	gsize len = reply->pending->len;

	if (!len)
		return;
	soup_message_body_append_bytes(
		soup_server_message_get_response_body(reply->message),
		g_string_free_to_bytes(reply->pending));
	reply->pending = g_string_new(NULL);
	reply->unwritten_bytes += (int64_t)len;
	soup_server_message_unpause(reply->message);
}

/* Sends what was appended in this turn of the main loop. */
static gboolean on_flush(gpointer data)
{
	reply_t *reply = data;

	reply->flush_source = 0;
	if (reply->unwritten_bytes > MAX_UNWRITTEN_BYTES) {
		report_gone(reply);
		return G_SOURCE_REMOVE;
	}
	append_chunk(reply);
	return G_SOURCE_REMOVE;
}

/* Sends the head of an event stream. */
void reply_stream_start(reply_t *reply)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(reply->message);

	if (reply->done || reply->streaming)
		return;
	reply->streaming = true;
	/* The head is sent before the outcome is known; the last event of the
	 * stream carries the final verdict.
	 */
	set_verdict_header(reply, RUN_MAY_HAVE_RUN);
	soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
	soup_message_headers_replace(headers, "Content-Type",
				     "text/event-stream");
	soup_message_headers_replace(headers, "Cache-Control", "no-cache");
	soup_server_message_set_status(reply->message, 200, NULL);
	soup_server_message_unpause(reply->message);
}

/* Returns the buffer of the stream, to which whole events are appended. What
 * is appended in one turn of the main loop is sent as one chunk, which saves
 * most of the cost of writing. The buffer is valid until the next turn.
 */
GString *reply_stream_buffer(reply_t *reply)
{
	if (!reply->flush_source && !reply->done)
		reply->flush_source = g_idle_add_full(G_PRIORITY_DEFAULT,
						      on_flush, reply, NULL);
	return reply->pending;
}

/* Unschedules the next chunk. */
static void stop_flushing(reply_t *reply)
{
	if (!reply->flush_source)
		return;
	g_source_remove(reply->flush_source);
	reply->flush_source = 0;
}

/* Ends a complete stream with "data: [DONE]" and the last chunk. */
void reply_stream_end(reply_t *reply)
{
	if (reply->done)
		return;
	stop_flushing(reply);
	g_string_append(reply->pending, "data: [DONE]\n\n");
	append_chunk(reply);
	reply->done = true;
	stop_watching(reply);
	soup_message_body_complete(
		soup_server_message_get_response_body(reply->message));
	soup_server_message_unpause(reply->message);
}

/* Bytes of an aborted stream that are still to be written. It belongs to the
 * message, because the reply may be freed earlier.
 */
typedef struct {
	int64_t unwritten_bytes;
} abort_state_t;

/* Counts bytes of an aborted stream that libsoup has written. */
static void on_abort_wrote_data(SoupServerMessage *message, guint size,
				gpointer data)
{
	abort_state_t *state = data;

	state->unwritten_bytes -= size;
}

/* Shuts down the sending side once the error event is written completely. */
static void on_abort_wrote_chunk(SoupServerMessage *message, gpointer data)
{
	abort_state_t *state = data;
	GSocket *socket = soup_server_message_get_socket(message);

	if (state->unwritten_bytes > 0)
		return;
	if (socket)
		g_socket_shutdown(socket, FALSE, TRUE, NULL);
	soup_message_body_complete(
		soup_server_message_get_response_body(message));
	soup_server_message_unpause(message);
}

/* Frees the state together with its signal handler. */
static void free_abort_state(gpointer data, GClosure *closure)
{
	g_free(data);
}

/* Ends a stream with an error event, then shuts the connection down. */
static void abort_stream(reply_t *reply, const verdict_t *verdict)
{
	abort_state_t *state;

	stop_flushing(reply);
	/* The pending bytes end with a whole event, so another can follow. */
	g_string_append(reply->pending, "event: error\ndata: ");
	verdict_append_json(reply->pending, verdict, clock_now(&reply->clock));
	g_string_append(reply->pending, "\n\n");
	reply->done = true;
	stop_watching(reply);
	state = g_new0(abort_state_t, 1);
	state->unwritten_bytes =
		reply->unwritten_bytes + (int64_t)reply->pending->len;
	g_signal_connect(reply->message, "wrote-body-data",
			 G_CALLBACK(on_abort_wrote_data), state);
	g_signal_connect_data(reply->message, "wrote-chunk",
			      G_CALLBACK(on_abort_wrote_chunk), state,
			      free_abort_state, (GConnectFlags)0);
	append_chunk(reply);
}

/* Ends the response with an error verdict: as a JSON error if no stream has
 * begun, else as an error event after which the connection is shut down.
 */
void reply_verdict(reply_t *reply, const verdict_t *verdict)
{
	int64_t now_us = clock_now(&reply->clock);
	int64_t retry_s = verdict_retry_after_s(verdict, now_us);
	GString *body;

	if (reply->done)
		return;
	if (reply->streaming) {
		abort_stream(reply, verdict);
		return;
	}
	if (retry_s) {
		char text[24];

		g_snprintf(text, sizeof(text), "%" PRId64, retry_s);
		soup_message_headers_replace(
			soup_server_message_get_response_headers(
				reply->message),
			"Retry-After", text);
	}
	body = g_string_new(NULL);
	verdict_append_json(body, verdict, now_us);
	reply_send(reply, verdict_http_status(verdict), verdict->run,
		   "application/json", str_from_gstring(body));
	g_string_free(body, TRUE);
}
