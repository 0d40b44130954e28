#include "connection/reply.h"

#include <gio/gio.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

/*
 * A caller that acknowledges nothing for this long is treated as gone: the
 * kernel then resets the connection, which the socket watch reports.
 */
#define CALLER_SILENT_MS 5000

/* Keepalive finds silent callers while nothing is being sent to them. */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3

/* A caller that leaves this much unread is too slow to go on serving. */
#define MAX_UNWRITTEN_BYTES (1 << 20)

static void set_socket_options(GSocket *socket)
{
	int fd = g_socket_get_fd(socket);
	unsigned silent_ms = CALLER_SILENT_MS;
	int idle = KEEPALIVE_IDLE_S;
	int interval = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;

	g_socket_set_keepalive(socket, TRUE);
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms,
		   sizeof(silent_ms));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static void stop_watching(reply_t *reply)
{
	if (!reply->watch)
		return;
	g_source_destroy(reply->watch);
	g_clear_pointer(&reply->watch, g_source_unref);
}

/* Cuts the connection, so that the library notices on its next write. */
static void cut_connection(reply_t *reply)
{
	GSocket *socket = soup_server_message_get_socket(reply->message);

	if (socket)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
	if (!reply->done) {
		reply->done = true;
		soup_message_body_complete(
			soup_server_message_get_response_body(reply->message));
		if (!reply->finished)
			soup_server_message_unpause(reply->message);
	}
}

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
	cut_connection(reply);
	reply->on_gone = NULL;
	if (on_gone)
		on_gone(reply->context);
}

/*
 * The library does not notice a caller that closes while the response is
 * paused or waits for its next chunk, so the socket is watched here. A
 * half-close looks the same as a close and counts as a caller that has gone.
 */
static gboolean on_socket(GSocket *socket, GIOCondition condition,
			  gpointer data)
{
	report_gone(data);
	return G_SOURCE_REMOVE;
}

static void on_wrote(SoupServerMessage *message, guint size, gpointer data)
{
	reply_t *reply = data;

	reply->unwritten -= size;
}

static void on_message_finished(SoupServerMessage *message, gpointer data)
{
	reply_t *reply = data;

	reply->finished = true;
	report_gone(reply);
}

static void set_common_headers(reply_t *reply)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(reply->message);

	soup_message_headers_replace(headers, "X-Request-Id", reply->id);
}

/*
 * Takes over a request's response. The message is paused until a response is
 * given. on_gone is called once if the caller leaves before its end.
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
	g_snprintf(reply->id, sizeof(reply->id), "%.*s", STR_ARG(id));
	set_common_headers(reply);
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(message), FALSE);
	g_signal_connect(message, "wrote-body-data", G_CALLBACK(on_wrote),
			 reply);
	g_signal_connect(message, "finished", G_CALLBACK(on_message_finished),
			 reply);
	soup_server_message_pause(message);
	if (!socket)
		return;
	set_socket_options(socket);
	reply->watch = g_socket_create_source(
		socket, G_IO_HUP | G_IO_ERR | (GIOCondition)POLLRDHUP, NULL);
	g_source_set_callback(reply->watch, G_SOURCE_FUNC(on_socket), reply,
			      NULL);
	g_source_attach(reply->watch, g_main_context_get_thread_default());
}

/*
 * Releases the reply. A response that has not been given whole is cut, so
 * that it cannot be taken for a whole one.
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
		cut_connection(reply);
	g_clear_object(&reply->message);
	g_string_free(reply->pending, TRUE);
	reply->pending = NULL;
}

static void set_verdict_header(reply_t *reply, run_status_t run)
{
	soup_message_headers_replace(
		soup_server_message_get_response_headers(reply->message),
		VERDICT_HEADER, verdict_run_text(run));
}

/* Gives a whole response with a verdict header. The body is copied. */
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

static void append_chunk(reply_t *reply)
{
	gsize len = reply->pending->len;

	if (!len)
		return;
	soup_message_body_append_bytes(
		soup_server_message_get_response_body(reply->message),
		g_string_free_to_bytes(reply->pending));
	reply->pending = g_string_new(NULL);
	reply->unwritten += (int64_t)len;
	soup_server_message_unpause(reply->message);
}

static gboolean on_flush(gpointer data)
{
	reply_t *reply = data;

	reply->flush_source = 0;
	if (reply->unwritten > MAX_UNWRITTEN_BYTES) {
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

/*
 * Returns the buffer to which the caller of this function appends events.
 * What is appended in one turn of the main loop goes out as one chunk, which
 * saves most of the cost of writing.
 */
GString *reply_stream_buffer(reply_t *reply)
{
	if (!reply->flush_source && !reply->done)
		reply->flush_source = g_idle_add_full(G_PRIORITY_DEFAULT,
						      on_flush, reply, NULL);
	return reply->pending;
}

static void stop_flushing(reply_t *reply)
{
	if (!reply->flush_source)
		return;
	g_source_remove(reply->flush_source);
	reply->flush_source = 0;
}

/* Ends a whole stream with "data: [DONE]" and the last chunk. */
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

/* Bytes of an aborted stream that are still to be written. */
typedef struct {
	int64_t unwritten;
} abort_state_t;

static void on_abort_wrote_data(SoupServerMessage *message, guint size,
				gpointer data)
{
	abort_state_t *state = data;

	state->unwritten -= size;
}

/* Cuts the connection once the error event has been written whole. */
static void on_abort_wrote_chunk(SoupServerMessage *message, gpointer data)
{
	abort_state_t *state = data;
	GSocket *socket = soup_server_message_get_socket(message);

	if (state->unwritten > 0)
		return;
	if (socket)
		g_socket_shutdown(socket, FALSE, TRUE, NULL);
	soup_message_body_complete(
		soup_server_message_get_response_body(message));
	soup_server_message_unpause(message);
}

static void free_abort_state(gpointer data, GClosure *closure)
{
	g_free(data);
}

static void abort_stream(reply_t *reply, const verdict_t *verdict)
{
	abort_state_t *state;

	stop_flushing(reply);
	/* Whole events only: what is pending ends with a whole event. */
	g_string_append(reply->pending, "event: error\ndata: ");
	verdict_append_json(reply->pending, verdict, clock_now(&reply->clock));
	g_string_append(reply->pending, "\n\n");
	reply->done = true;
	stop_watching(reply);
	state = g_new0(abort_state_t, 1);
	state->unwritten = reply->unwritten + (int64_t)reply->pending->len;
	g_signal_connect(reply->message, "wrote-body-data",
			 G_CALLBACK(on_abort_wrote_data), state);
	g_signal_connect_data(reply->message, "wrote-chunk",
			      G_CALLBACK(on_abort_wrote_chunk), state,
			      free_abort_state, (GConnectFlags)0);
	append_chunk(reply);
}

/*
 * Gives the final verdict: as a JSON error before the stream began, as an
 * error event and a cut connection after it began.
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
