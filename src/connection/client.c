#include "connection/client.h"

#define MAX_CONNECTIONS 16384
#define MAX_CONNECTIONS_HOST 2048
#define IDLE_CONNECTION_S 30
#define READ_BYTES 8192
#define MAX_RESPONSE_BYTES (32 << 20)

struct client_call {
	client_t *client;
	SoupMessage *message;
	GCancellable *cancellable;
	GInputStream *input;
	GByteArray *body;
	goffset received; /* bytes of the body */
	client_data_fn_t on_data;
	client_done_fn_t on_done; /* NULL once aborted */
	void *context;
	int64_t deadline_us;
	int64_t idle_limit_us;
	int64_t idle_deadline_us; /* 0: no idle limit */
	guint timer;
	bool started; /* bytes of the request may have left this process */
	bool timed_out;
	char buffer[READ_BYTES];
};

/*
 * Sets up the session. Redirects, proxies from the environment and content
 * decoding are off: a router passes on what the backend server answered. The
 * library's limit of two connections for a host would queue calls unseen.
 */
void client_init(client_t *client, clock_source_t clock)
{
	client->clock = clock;
	client->session = soup_session_new_with_options(
		"max-conns", MAX_CONNECTIONS, "max-conns-per-host",
		MAX_CONNECTIONS_HOST, "timeout", 0, "idle-timeout",
		IDLE_CONNECTION_S, "proxy-resolver", NULL, NULL);
	soup_session_remove_feature_by_type(client->session,
					    SOUP_TYPE_CONTENT_DECODER);
}

/* Ends the session. Calls still open end with CLIENT_LOST or were aborted. */
void client_finish(client_t *client)
{
	soup_session_abort(client->session);
	g_clear_object(&client->session);
}

static void call_free(client_call_t *call)
{
	if (call->timer)
		g_source_remove(call->timer);
	g_clear_object(&call->input);
	g_clear_object(&call->message);
	g_clear_object(&call->cancellable);
	g_byte_array_unref(call->body);
	g_free(call);
}

static client_outcome_t outcome_of_failure(const client_call_t *call)
{
	if (!call->started)
		return CLIENT_NOT_SENT;
	return call->timed_out ? CLIENT_TIMED_OUT : CLIENT_LOST;
}

static void call_end(client_call_t *call, bool whole)
{
	client_response_t response = {
		.outcome = whole ? CLIENT_DONE : outcome_of_failure(call),
		.status = soup_message_get_status(call->message),
		.headers = soup_message_get_response_headers(call->message),
	};

	if (call->on_done) {
		response.body = g_byte_array_free_to_bytes(
			g_byte_array_ref(call->body));
		call->body = g_byte_array_new();
		call->on_done(call->context, &response);
		g_bytes_unref(response.body);
	}
	call_free(call);
}

static gboolean on_timer(gpointer data);

static void call_arm(client_call_t *call)
{
	int64_t now_us = clock_now(&call->client->clock);
	int64_t at_us = call->deadline_us;

	if (call->idle_deadline_us && call->idle_deadline_us < at_us)
		at_us = call->idle_deadline_us;
	call->timer = g_timeout_add(
		at_us > now_us ? (guint)((at_us - now_us) / CLOCK_US_PER_MS) + 1
			       : 0,
		on_timer, call);
}

static gboolean on_timer(gpointer data)
{
	client_call_t *call = data;
	int64_t now_us = clock_now(&call->client->clock);

	call->timer = 0;
	if (now_us < call->deadline_us &&
	    (!call->idle_deadline_us || now_us < call->idle_deadline_us)) {
		call_arm(call);
		return G_SOURCE_REMOVE;
	}
	call->timed_out = true;
	g_cancellable_cancel(call->cancellable);
	return G_SOURCE_REMOVE;
}

static void touch(client_call_t *call)
{
	if (call->idle_limit_us)
		call->idle_deadline_us =
			clock_now(&call->client->clock) + call->idle_limit_us;
}

static void read_more(client_call_t *call);

static bool take_data(client_call_t *call, size_t len)
{
	if (call->on_data && soup_message_get_status(call->message) == 200) {
		call->on_data(call->context, call->buffer, len);
		return true;
	}
	if (call->body->len + len > MAX_RESPONSE_BYTES)
		return false;
	g_byte_array_append(call->body, (guint8 *)call->buffer, (guint)len);
	return true;
}

/*
 * Tells whether the body that ended is whole. The library takes a body that was
 * cut for a whole one on connections that are not kept alive. Without a length
 * or chunks, an end cannot be told from a cut, even in the head.
 */
static bool is_whole(const client_call_t *call)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(call->message);
	unsigned status = soup_message_get_status(call->message);

	if (status == SOUP_STATUS_NO_CONTENT ||
	    status == SOUP_STATUS_NOT_MODIFIED ||
	    strcmp(soup_message_get_method(call->message), "HEAD") == 0)
		return true;
	switch (soup_message_headers_get_encoding(headers)) {
	case SOUP_ENCODING_CONTENT_LENGTH:
		return call->received ==
		       soup_message_headers_get_content_length(headers);
	case SOUP_ENCODING_EOF:
		return false;
	default:
		return true;
	}
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	client_call_t *call = data;
	gssize n = g_input_stream_read_finish(call->input, result, NULL);

	touch(call);
	if (n <= 0 || !call->on_done) {
		call_end(call, n == 0 && is_whole(call));
		return;
	}
	call->received += n;
	if (!take_data(call, (size_t)n)) {
		call_end(call, false);
		return;
	}
	read_more(call);
}

static void read_more(client_call_t *call)
{
	g_input_stream_read_async(call->input, call->buffer, READ_BYTES,
				  G_PRIORITY_DEFAULT, call->cancellable,
				  on_read, call);
}

static void on_sent(GObject *source, GAsyncResult *result, gpointer data)
{
	client_call_t *call = data;

	call->input =
		soup_session_send_finish(SOUP_SESSION(source), result, NULL);
	if (!call->input) {
		call_end(call, false);
		return;
	}
	touch(call);
	read_more(call);
}

/* Emitted before the first byte of the request is written. */
static void on_starting(SoupMessage *message, gpointer data)
{
	client_call_t *call = data;

	call->started = true;
}

static void copy_header(const char *name, const char *value, gpointer data)
{
	soup_message_headers_append(data, name, value);
}

/*
 * libsoup sends a call other than POST again when its kept-alive connection
 * closes without a response. libsoup 3.2.3 then leaves out the body, so that a
 * PUT would write an empty value; with GETs it was seen to crash.
 * Nothing is sent again on a new connection. Closing it afterwards keeps idle
 * connections from filling the pool.
 */
static void add_connection_flags(const client_request_t *request,
				 SoupMessage *message)
{
	if (!strcmp(request->method, "POST") && request->reuse_connection &&
	    !request->new_connection) {
		soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
		return;
	}
	soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
	soup_message_headers_replace(soup_message_get_request_headers(message),
				     "Connection", "close");
}

static SoupMessage *make_message(const client_request_t *request)
{
	char *uri = g_strdup_printf("http://%.*s%s", STR_ARG(request->address),
				    request->path);
	SoupMessage *message = soup_message_new(request->method, uri);

	g_free(uri);
	if (!message)
		return NULL;
	soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
	if (request->headers)
		soup_message_headers_foreach(
			request->headers, copy_header,
			soup_message_get_request_headers(message));
	add_connection_flags(request, message);
	if (request->body)
		soup_message_set_request_body_from_bytes(
			message, request->content_type, request->body);
	return message;
}

/*
 * Starts a call. The address and path must form a valid URI; NULL is returned
 * if they don't. Every call opens a new connection unless it is a POST with
 * reuse_connection, which only calls that may run twice should have. With on_data, the body
 * of a 200 response is passed on as it arrives.
 */
client_call_t *client_send(client_t *client, const client_request_t *request)
{
	SoupMessage *message = make_message(request);
	client_call_t *call;

	if (!message)
		return NULL;
	call = g_new0(client_call_t, 1);
	call->client = client;
	call->message = message;
	call->cancellable = g_cancellable_new();
	call->body = g_byte_array_new();
	call->on_data = request->on_data;
	call->on_done = request->on_done;
	call->context = request->context;
	call->deadline_us = request->deadline_us;
	call->idle_limit_us = request->idle_limit_us;
	touch(call);
	call_arm(call);
	g_signal_connect(message, "starting", G_CALLBACK(on_starting), call);
	soup_session_send_async(client->session, message, G_PRIORITY_DEFAULT,
				call->cancellable, on_sent, call);
	return call;
}

/* Gives up a call; its callbacks are not called again. */
void client_abort(client_call_t *call)
{
	if (!call)
		return;
	call->on_done = NULL;
	call->on_data = NULL;
	g_cancellable_cancel(call->cancellable);
}
