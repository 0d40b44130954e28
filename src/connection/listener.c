#include "connection/listener.h"

#include <inttypes.h>
#include <sys/socket.h>

#include "process/clock.h"
#include "process/counters.h"

/* A request that is being received, or that may come on an open connection. */
typedef struct {
	listener_t *listener;
	SoupServerMessage *message; /* not owned */
	int64_t body_bytes; /* received so far */
	int64_t max_body_bytes; /* the connection is shut down above it */
	guint timer; /* source of the receive timeout; 0: none */
	bool shut_down; /* the connection, because of the body */
	bool put_off; /* the timeout, as bytes had arrived that were not read */
	bool head_read; /* only the body is missing */
} receive_state_t;

/* At most this many times max_body_bytes of a refused body are read and
 * discarded, because libsoup answers only after it has read the body.
 */
#define DISCARD_FACTOR 16

/* Connections that may wait in the kernel's queue to be accepted. libsoup sets
 * 10, which a burst exceeds in a single turn of the main loop: the kernel
 * drops the others, and their clients try again after a second. At the target
 * load of a VM, 112 arrive in a pause of one second.
 */
#define ACCEPT_BACKLOG 1024

/* Name under which a message holds its receive_state_t. */
#define RECEIVE_KEY "gooseberryspur-receive"

/* Stops the timer and frees the state, when libsoup frees the message. */
static void free_receive_state(gpointer data)
{
	receive_state_t *receive = data;

	if (receive->timer)
		g_source_remove(receive->timer);
	g_queue_remove(&receive->listener->receiving, receive);
	g_free(receive);
}

/* Shuts the connection down in both directions, so that libsoup drops it. */
static void shut_down_socket(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);

	if (socket)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
}

/* Returns whether bytes have arrived on a connection that libsoup has yet to read. */
static bool has_unread(const receive_state_t *receive)
{
	GSocket *socket = soup_server_message_get_socket(receive->message);

	return socket && g_socket_get_available_bytes(socket) > 0;
}

static void start_receive_timer(receive_state_t *receive);

/* Shuts down the connection of a client that sends too slowly, without a
 * response: such a client may be holding many connections open. If bytes wait to be
 * read, as after a pause of the process, the client gets the same time once more.
 */
static gboolean on_receive_timeout(gpointer data)
{
	receive_state_t *receive = data;

	receive->timer = 0;
	if (!receive->put_off && has_unread(receive)) {
		receive->put_off = true;
		start_receive_timer(receive);
	} else {
		shut_down_socket(receive->message);
	}
	return G_SOURCE_REMOVE;
}

/* Starts the receive timeout of a request. */
static void start_receive_timer(receive_state_t *receive)
{
	int64_t limit_us = receive->listener->limits.receive_timeout_us;

	receive->timer = g_timeout_add((guint)(limit_us / CLOCK_US_PER_MS),
				       on_receive_timeout, receive);
}

/* Stops the receive timeout once the request is complete. */
static void on_got_body(SoupServerMessage *message, gpointer data)
{
	receive_state_t *receive = data;

	if (receive->timer)
		g_source_remove(receive->timer);
	receive->timer = 0;
	g_queue_remove(&receive->listener->receiving, receive);
}

/* Starts the receive timeout and attaches the state to the message. */
static void on_request_started(SoupServer *server, SoupServerMessage *message,
			       gpointer data)
{
	listener_t *listener = data;
	receive_state_t *receive = g_new0(receive_state_t, 1);

	receive->listener = listener;
	receive->message = message;
	g_queue_push_tail(&listener->receiving, receive);
	receive->max_body_bytes = listener->limits.max_body_bytes;
	start_receive_timer(receive);
	g_object_set_data_full(G_OBJECT(message), RECEIVE_KEY, receive,
			       free_receive_state);
	g_signal_connect(message, "got-body", G_CALLBACK(on_got_body), receive);
}

/* Adds the size of a header field to the int64_t in `data`. */
static void add_header_bytes(const char *name, const char *value, gpointer data)
{
	int64_t *bytes = data;

	/* Name, colon, space, value, CR and LF. */
	*bytes += (int64_t)(strlen(name) + strlen(value) + 4);
}

/* Sets a complete response. The body is copied. */
void listener_respond(SoupServerMessage *message, unsigned status,
		      const char *content_type, str_t body)
{
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, content_type,
					 SOUP_MEMORY_COPY, body.data, body.len);
}

/* Answers with a verdict as a JSON error, with the header fields that belong to
 * its code, and with Retry-After if it names a time.
 */
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

/* Refuses a request that is too large, and closes the connection after the
 * response.
 */
static void refuse_and_close(SoupServerMessage *message, const char *detail)
{
	verdict_t verdict =
		verdict_make(RUN_NOT_RUN, VERDICT_TOO_LARGE, detail);

	soup_message_headers_replace(
		soup_server_message_get_response_headers(message), "Connection",
		"close");
	listener_refuse(message, &verdict, 0);
}

/* Counts the bytes of a body as they arrive, and shuts the connection down when
 * they are too many. This is the only limit on a body of no declared length.
 */
static void on_got_chunk(SoupServerMessage *message, GBytes *chunk,
			 gpointer data)
{
	receive_state_t *receive = data;

	receive->body_bytes += (int64_t)g_bytes_get_size(chunk);
	if (receive->body_bytes > receive->max_body_bytes &&
	    !receive->shut_down) {
		receive->shut_down = true;
		shut_down_socket(message);
	}
}

/* Refuses a request whose declared length is too large. libsoup answers only
 * after it has read the body, so the body is discarded as it arrives, within
 * the receive timeout.
 */
static void refuse_body(SoupServerMessage *message, receive_state_t *receive)
{
	soup_message_body_set_accumulate(
		soup_server_message_get_request_body(message), FALSE);
	if (receive)
		receive->max_body_bytes *= DISCARD_FACTOR;
	refuse_and_close(message, "body: too many bytes");
}

/* Checks the head of a request before its body is read. */
static void on_head(SoupServer *server, SoupServerMessage *message,
		    const char *path, GHashTable *query, gpointer data)
{
	listener_t *listener = data;
	receive_state_t *receive =
		g_object_get_data(G_OBJECT(message), RECEIVE_KEY);
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	int64_t header_bytes = 0;

	soup_message_headers_foreach(headers, add_header_bytes, &header_bytes);
	if (header_bytes > listener->limits.max_header_bytes) {
		refuse_and_close(message, "header: too many bytes");
		return;
	}
	if (receive) {
		receive->head_read = true;
		g_signal_connect(message, "got-chunk", G_CALLBACK(on_got_chunk),
				 receive);
	}
	if (soup_message_headers_get_content_length(headers) >
	    listener->limits.max_body_bytes)
		refuse_body(message, receive);
}

/* Counts a request as ended when libsoup has finished with its response. */
static void on_finished(SoupServerMessage *message, gpointer data)
{
	listener_t *listener = data;

	listener->open_requests--;
}

/* Passes a complete request to the owner. */
static void on_request_received(SoupServer *server, SoupServerMessage *message,
				const char *path, GHashTable *query,
				gpointer data)
{
	listener_t *listener = data;

	listener->open_requests++;
	g_signal_connect(message, "finished", G_CALLBACK(on_finished),
			 listener);
	listener->on_request(listener->context, message, str_from(path));
}

/* Sets the length of the kernel's accept queue. libsoup has no option for it,
 * but a second listen() on its socket changes it.
 */
static void set_backlog(SoupServer *server)
{
	GSList *sockets = soup_server_get_listeners(server);

	for (GSList *item = sockets; item; item = item->next)
		listen(g_socket_get_fd(item->data), ACCEPT_BACKLOG);
	g_slist_free(sockets);
}

/* Listens on an IP:port. Requests are passed to on_request when they are
 * complete and within the limits. Returns false with the error set if the
 * address cannot be used; listener_finish() need not be called then.
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
	g_queue_init(&listener->receiving);
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
	soup_server_add_handler(listener->server, NULL, on_request_received,
				listener, NULL);
	ok = soup_server_listen(listener->server, inet,
				(SoupServerListenOptions)0, error);
	g_object_unref(inet);
	if (ok)
		set_backlog(listener->server);
	else
		g_clear_object(&listener->server);
	return ok;
}

/* Returns the address with the port in use, which differs from the one given if
 * that had port 0. The caller frees it with g_free().
 */
char *listener_address(listener_t *listener)
{
	GSList *uris = soup_server_get_uris(listener->server);
	GUri *uri = uris->data;
	char *address = g_strdup_printf("%s:%d", g_uri_get_host(uri),
					g_uri_get_port(uri));

	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return address;
}

/* Stops listening; open connections go on. Returns false, and goes on
 * listening, while there are connections that the kernel has completed and the
 * main loop has yet to accept: closing the socket would reset them without a
 * response.
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

/* Returns the number of requests whose responses are neither written completely
 * nor cut off.
 */
unsigned listener_open_requests(const listener_t *listener)
{
	return listener->open_requests;
}

/* Returns whether a request has come in part, or bytes have come on a connection that
 * the main loop has yet to read. Closing the connections then would cut a request
 * that its sender believes to be taken.
 */
bool listener_has_unread(const listener_t *listener)
{
	for (const GList *link = listener->receiving.head; link;
	     link = link->next) {
		const receive_state_t *receive = link->data;

		if (receive->head_read || has_unread(receive))
			return true;
	}
	return false;
}

/* Closes the listening socket and all connections. */
void listener_finish(listener_t *listener)
{
	if (!listener->server)
		return;
	soup_server_disconnect(listener->server);
	g_clear_object(&listener->server);
}
