#include "connection/listener.h"

#include <inttypes.h>
#include <sys/socket.h>

#include "process/clock.h"
#include "process/counters.h"

typedef struct {
	SoupServerMessage *message; /* not owned */
	int64_t body_bytes;
	int64_t max_body_bytes;
	guint timer;
	bool refused;
} receive_t;

/* A refused body is discarded up to this many times the limit. */
#define DISCARD_FACTOR 16

/* Connections that may wait for the main loop. The library's 10 are exceeded by
 * a burst in a single turn; the kernel drops the others, and their clients try
 * again after a second. At the target load of a VM, 112 arrive in a pause
 * of one second.
 */
#define BACKLOG 1024

#define RECEIVE_KEY "gooseberryspur-receive"

static void receive_free(gpointer data)
{
	receive_t *receive = data;

	if (receive->timer)
		g_source_remove(receive->timer);
	g_free(receive);
}

static void cut_socket(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);

	if (socket)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
}

/* A sender that is too slow gets no response: it may be holding many
 * connections open, and each is cut.
 */
static gboolean on_receive_timeout(gpointer data)
{
	receive_t *receive = data;

	receive->timer = 0;
	cut_socket(receive->message);
	return G_SOURCE_REMOVE;
}

static void on_got_body(SoupServerMessage *message, gpointer data)
{
	receive_t *receive = data;

	if (receive->timer)
		g_source_remove(receive->timer);
	receive->timer = 0;
}

static void on_request_started(SoupServer *server, SoupServerMessage *message,
			       gpointer data)
{
	listener_t *listener = data;
	receive_t *receive = g_new0(receive_t, 1);
	int64_t limit_us = listener->limits.receive_timeout_us;

	receive->message = message;
	receive->max_body_bytes = listener->limits.max_body_bytes;
	receive->timer = g_timeout_add((guint)(limit_us / CLOCK_US_PER_MS),
				       on_receive_timeout, receive);
	g_object_set_data_full(G_OBJECT(message), RECEIVE_KEY, receive,
			       receive_free);
	g_signal_connect(message, "got-body", G_CALLBACK(on_got_body), receive);
}

static void add_header_bytes(const char *name, const char *value, gpointer data)
{
	int64_t *bytes = data;

	/* Name, colon, space, value, CR and LF. */
	*bytes += (int64_t)(strlen(name) + strlen(value) + 4);
}

/* Gives a whole response. The body is copied. */
void listener_respond(SoupServerMessage *message, unsigned status,
		      const char *content_type, str_t body)
{
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, content_type,
					 SOUP_MEMORY_COPY, body.data, body.len);
}

/* Gives a verdict as a JSON error, with Retry-After if it names a time. */
void listener_refuse(SoupServerMessage *message, const verdict_t *verdict,
		     int64_t now_us)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);
	int64_t retry_s = verdict_retry_after_s(verdict, now_us);
	GString *body = g_string_new(NULL);

	counters_add(COUNTER_REQUESTS_REFUSED, 1);
	if (retry_s) {
		char text[24];

		g_snprintf(text, sizeof(text), "%" PRId64, retry_s);
		soup_message_headers_replace(headers, "Retry-After", text);
	}
	if (verdict->code == VERDICT_UNAUTHORIZED)
		soup_message_headers_replace(headers, "WWW-Authenticate",
					     "Bearer");
	if (verdict->code == VERDICT_METHOD_NOT_ALLOWED)
		soup_message_headers_replace(headers, "Allow", "POST");
	soup_message_headers_replace(headers, VERDICT_HEADER,
				     verdict_run_text(verdict->run));
	verdict_append_json(body, verdict, now_us);
	listener_respond(message, verdict_http_status(verdict),
			 "application/json", str_from_gstring(body));
	g_string_free(body, TRUE);
}

static void refuse_and_close(SoupServerMessage *message, const char *detail)
{
	verdict_t verdict =
		verdict_make(RUN_NOT_RUN, VERDICT_TOO_LARGE, detail);

	soup_message_headers_replace(
		soup_server_message_get_response_headers(message), "Connection",
		"close");
	listener_refuse(message, &verdict, 0);
}

/*
 * Counts body bytes of a request without a declared length; the body is cut
 * off as soon as it is too large.
 */
static void on_got_chunk(SoupServerMessage *message, GBytes *chunk,
			 gpointer data)
{
	receive_t *receive = data;

	receive->body_bytes += (int64_t)g_bytes_get_size(chunk);
	if (receive->body_bytes > receive->max_body_bytes &&
	    !receive->refused) {
		receive->refused = true;
		cut_socket(message);
	}
}

/*
 * Refuses a body by its declared length. The library answers after it has
 * read the body, which is discarded here within the time limit for senders.
 */
static void refuse_body(SoupServerMessage *message, receive_t *receive)
{
	soup_message_body_set_accumulate(
		soup_server_message_get_request_body(message), FALSE);
	if (receive)
		receive->max_body_bytes *= DISCARD_FACTOR;
	refuse_and_close(message, "body: too many bytes");
}

/* Runs when the head of a request is complete and its body is not read. */
static void on_head(SoupServer *server, SoupServerMessage *message,
		    const char *path, GHashTable *query, gpointer data)
{
	listener_t *listener = data;
	receive_t *receive = g_object_get_data(G_OBJECT(message), RECEIVE_KEY);
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	int64_t header_bytes = 0;

	soup_message_headers_foreach(headers, add_header_bytes, &header_bytes);
	if (header_bytes > listener->limits.max_header_bytes) {
		refuse_and_close(message, "header: too many bytes");
		return;
	}
	if (receive)
		g_signal_connect(message, "got-chunk", G_CALLBACK(on_got_chunk),
				 receive);
	if (soup_message_headers_get_content_length(headers) >
	    listener->limits.max_body_bytes)
		refuse_body(message, receive);
}

static void on_finished(SoupServerMessage *message, gpointer data)
{
	listener_t *listener = data;

	listener->open_requests--;
}

static void on_whole(SoupServer *server, SoupServerMessage *message,
		     const char *path, GHashTable *query, gpointer data)
{
	listener_t *listener = data;

	listener->open_requests++;
	g_signal_connect(message, "finished", G_CALLBACK(on_finished),
			 listener);
	listener->on_request(listener->context, message, str_from(path));
}

/* The library cannot be told the length of the queue; a second listen() on the
 * socket changes it.
 */
static void lengthen_queue(SoupServer *server)
{
	GSList *sockets = soup_server_get_listeners(server);

	for (GSList *item = sockets; item; item = item->next)
		listen(g_socket_get_fd(item->data), BACKLOG);
	g_slist_free(sockets);
}

/*
 * Listens on an IP:port. Requests are passed on when their body is complete
 * and within the limits. On failure the error is set and nothing needs
 * listener_finish().
 */
bool listener_init(listener_t *listener, const char *address,
		   const listener_limits_t *limits,
		   listener_request_fn_t on_request, void *context,
		   GError **error)
{
	GSocketConnectable *parsed = g_network_address_parse(address, 0, error);
	GSocketAddress *inet;
	bool ok;

	listener->server = NULL;
	listener->open_requests = 0;
	if (!parsed)
		return false;
	inet = g_inet_socket_address_new_from_string(
		g_network_address_get_hostname(G_NETWORK_ADDRESS(parsed)),
		g_network_address_get_port(G_NETWORK_ADDRESS(parsed)));
	g_object_unref(parsed);
	if (!inet) {
		g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT,
			    "%s: expected IP:port", address);
		return false;
	}
	listener->limits = *limits;
	listener->on_request = on_request;
	listener->context = context;
	listener->server =
		soup_server_new("server-header", "gooseberryspur ", NULL);
	g_signal_connect(listener->server, "request-started",
			 G_CALLBACK(on_request_started), listener);
	soup_server_add_early_handler(listener->server, NULL, on_head, listener,
				      NULL);
	soup_server_add_handler(listener->server, NULL, on_whole, listener,
				NULL);
	ok = soup_server_listen(listener->server, inet,
				(SoupServerListenOptions)0, error);
	g_object_unref(inet);
	if (ok)
		lengthen_queue(listener->server);
	else
		g_clear_object(&listener->server);
	return ok;
}

/* Address in use, for an address given with port 0. Freed with g_free(). */
char *listener_address(listener_t *listener)
{
	GSList *uris = soup_server_get_uris(listener->server);
	GUri *uri = uris->data;
	char *address = g_strdup_printf("%s:%d", g_uri_get_host(uri),
					g_uri_get_port(uri));

	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return address;
}

/*
 * Accepts no new connections; open ones go on. Connections that the kernel has
 * completed but that are not accepted yet would be reset without a response;
 * false is returned while there are any, and the main loop accepts them.
 */
bool listener_stop(listener_t *listener)
{
	GSList *sockets = soup_server_get_listeners(listener->server);
	bool pending = false;

	for (GSList *at = sockets; at; at = at->next)
		pending |= g_socket_condition_check(at->data, G_IO_IN) != 0;
	for (GSList *at = sockets; at && !pending; at = at->next)
		g_socket_close(at->data, NULL);
	g_slist_free(sockets);
	return !pending;
}

/* Requests whose responses have not been written whole, nor cut. */
unsigned listener_open_requests(const listener_t *listener)
{
	return listener->open_requests;
}

/* Closes everything. */
void listener_finish(listener_t *listener)
{
	if (!listener->server)
		return;
	soup_server_disconnect(listener->server);
	g_clear_object(&listener->server);
}
