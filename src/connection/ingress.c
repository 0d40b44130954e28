#include "connection/ingress_connection.h"

#include <glib-unix.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/address.h"

/* Pending connections in the kernel's queue. When it is full, the opening
 * packet is lost and sent again only after seconds.
 */
#define ACCEPT_BACKLOG 1024

/* Bytes of further requests that are kept while one is in progress. */
#define MAX_AHEAD_BYTES 65536

/* A caller that does not acknowledge data for this long has gone. */
#define CALLER_USER_TIMEOUT_MS 10000
#define CALLER_KEEPALIVE_IDLE_S 5

/* Waits this long for the caller's close after the last response, so that it
 * is not lost to a reset.
 */
#define LINGER_US (1 * CLOCK_US_PER_S)

/* An idle connection is closed this much later than callers are told. */
#define IDLE_MARGIN_US (1 * CLOCK_US_PER_S)

static void take_requests(ingress_connection_t *connection);

static bool is_active(const ingress_connection_t *connection)
{
	return connection->state == CONNECTION_ANSWERING;
}

/* Closes a connection; an exchange in progress ends with it. */
void ingress_connection_close(ingress_connection_t *connection)
{
	ingress_t *ingress = connection->ingress;

	tcp_finish(&connection->tcp);
	if (connection->feeding) {
		connection->destroyed = true;
		return;
	}
	if (is_active(connection))
		ingress->active--;
	g_queue_delete_link(&ingress->connections, connection->link);
	alarm_finish(&connection->alarm);
	http_message_finish(&connection->message);
	g_string_free(connection->ahead, TRUE);
	g_string_free(connection->exchange.body, TRUE);
	g_free(connection);
}

/* Waits for the caller's close after the last response. */
void ingress_connection_linger(ingress_connection_t *connection)
{
	connection->state = CONNECTION_LINGERING;
	if (tcp_unsent_bytes(&connection->tcp) == 0)
		tcp_shutdown_write(&connection->tcp);
	alarm_set(&connection->alarm,
		  clock_now(&connection->ingress->clock) + LINGER_US);
}

/* Gets ready for the next request. */
void ingress_connection_await_request(ingress_connection_t *connection)
{
	const ingress_t *ingress = connection->ingress;

	connection->state = CONNECTION_READING;
	connection->reject = 0;
	g_string_truncate(connection->exchange.body, 0);
	connection->exchange.context = NULL;
	connection->exchange.streaming = false;
	http_message_restart(&connection->message);
	connection->message.max_head_bytes =
		(size_t)ingress->limits.max_head_bytes;
	alarm_set(&connection->alarm, clock_now(&ingress->clock) +
					      ingress->limits.idle_timeout_us +
					      IDLE_MARGIN_US);
}

/* Appends a response of the router's own. */
void ingress_append_text_response(GString *out, unsigned status,
				  int64_t retry_after_us, const char *text,
				  bool keep)
{
	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", status,
			       http_reason(status));
	if (retry_after_us > 0)
		g_string_append_printf(out, "Retry-After: %.3f\r\n",
				       (double)retry_after_us /
					       (double)CLOCK_US_PER_S);
	if (!keep)
		g_string_append(out, "Connection: close\r\n");
	g_string_append_printf(out,
			       "Content-Type: text/plain\r\n"
			       "Content-Length: %zu\r\n\r\n%s\n",
			       strlen(text) + 1, text);
}

/* Answers a request that was not read whole, and closes. */
static void reject(ingress_connection_t *connection, unsigned status)
{
	GString *out = g_string_new(NULL);

	ingress_append_text_response(out, status, 0, http_reason(status),
				     false);
	tcp_write(&connection->tcp, out->str, out->len);
	g_string_free(out, TRUE);
	ingress_connection_linger(connection);
}

static void on_alarm(void *context)
{
	ingress_connection_t *connection = context;

	if (connection->state == CONNECTION_READING &&
	    connection->ahead->len > 0)
		take_requests(connection);
	else if (connection->state == CONNECTION_READING &&
		 connection->message.started)
		reject(connection, 408);
	else if (!is_active(connection))
		ingress_connection_close(connection);
}

static bool on_head(void *context, http_head_t *head)
{
	ingress_connection_t *connection = context;
	const ingress_t *ingress = connection->ingress;
	str_t expect;
	int64_t length;

	connection->keep = head->keep_alive;
	if (http_parse_uint(http_headers_get(&head->headers, "content-length"),
			    &length) &&
	    length > ingress->limits.max_body_bytes) {
		connection->reject = 413;
		return false;
	}
	if (g_str_equal(head->method->str, "CONNECT")) {
		connection->reject = 405;
		return false;
	}
	if (http_headers_find(&head->headers, "expect", &expect) &&
	    http_name_is(expect, "100-continue"))
		tcp_write(&connection->tcp, "HTTP/1.1 100 Continue\r\n\r\n",
			  25);
	/* The body may take as long again as the caller may stay idle. */
	alarm_set(&connection->alarm,
		  clock_now(&ingress->clock) + ingress->limits.idle_timeout_us);
	return true;
}

static void on_body(void *context, const char *data, size_t len)
{
	ingress_connection_t *connection = context;
	GString *body = connection->exchange.body;

	if (body->len + len >
	    (size_t)connection->ingress->limits.max_body_bytes) {
		connection->reject = 413;
		return;
	}
	g_string_append_len(body, data, (gssize)len);
}

static const http_message_handler_t message_handler = {
	.on_head = on_head,
	.on_body = on_body,
};

/* Hands over a request that was read whole. */
static void begin_exchange(ingress_connection_t *connection)
{
	ingress_t *ingress = connection->ingress;

	alarm_set(&connection->alarm, -1);
	connection->state = CONNECTION_ANSWERING;
	connection->exchange.arrived_us = clock_now(&ingress->clock);
	ingress->active++;
	ingress->handler->on_request(ingress->context, &connection->exchange);
}

static unsigned status_of(const ingress_connection_t *connection,
			  http_feed_t fed)
{
	if (connection->reject)
		return connection->reject;
	return fed == HTTP_FEED_HEAD_TOO_LARGE ? 431 : 400;
}

/* Parses what was received; stops at a request that is in progress. */
static void take_requests(ingress_connection_t *connection)
{
	connection->feeding = true;
	while (!connection->destroyed && connection->ahead->len > 0 &&
	       connection->state == CONNECTION_READING) {
		bool started = connection->message.started;
		size_t used;
		http_feed_t fed = http_message_feed(&connection->message,
						    connection->ahead->str,
						    connection->ahead->len,
						    &used);

		g_string_erase(connection->ahead, 0, (gssize)used);
		if (!started && connection->message.started &&
		    !connection->message.head_done)
			alarm_set(&connection->alarm,
				  clock_now(&connection->ingress->clock) +
					  connection->ingress->limits
						  .head_timeout_us);
		if (connection->reject ||
		    (fed != HTTP_FEED_MORE && fed != HTTP_FEED_DONE))
			reject(connection, status_of(connection, fed));
		else if (fed == HTTP_FEED_DONE)
			begin_exchange(connection);
	}
	connection->feeding = false;
	if (connection->destroyed)
		ingress_connection_close(connection);
}

static void on_data(void *context, const char *data, size_t len)
{
	ingress_connection_t *connection = context;

	if (connection->state == CONNECTION_LINGERING)
		return;
	g_string_append_len(connection->ahead, data, (gssize)len);
	if (connection->state == CONNECTION_READING)
		take_requests(connection);
	else if (connection->ahead->len > MAX_AHEAD_BYTES)
		tcp_set_reading(&connection->tcp, false);
}

/* The caller closed. A half-close counts as leaving: a caller that waits for
 * a response keeps its side open.
 */
static void on_end(void *context, tcp_end_t end)
{
	ingress_connection_t *connection = context;
	ingress_t *ingress = connection->ingress;

	if (is_active(connection))
		ingress->handler->on_gone(ingress->context,
					  &connection->exchange);
	ingress_connection_close(connection);
}

static void on_output_flushed(void *context)
{
	ingress_connection_t *connection = context;

	if (connection->state == CONNECTION_LINGERING)
		tcp_shutdown_write(&connection->tcp);
}

static const tcp_handler_t tcp_handler = {
	.on_data = on_data,
	.on_end = on_end,
	.on_output_flushed = on_output_flushed,
};

static void accept_connection(ingress_t *ingress, int fd)
{
	static const tcp_options_t options = {
		.user_timeout_ms = CALLER_USER_TIMEOUT_MS,
		.keepalive_idle_s = CALLER_KEEPALIVE_IDLE_S,
	};
	ingress_connection_t *connection = g_new0(ingress_connection_t, 1);

	connection->ingress = ingress;
	connection->ahead = g_string_new(NULL);
	connection->exchange.connection = connection;
	connection->exchange.body = g_string_new(NULL);
	alarm_init(&connection->alarm, ingress->clock, on_alarm, connection);
	http_message_init(&connection->message, true, &message_handler,
			  connection);
	g_queue_push_tail(&ingress->connections, connection);
	connection->link = g_queue_peek_tail_link(&ingress->connections);
	tcp_adopt(&connection->tcp, fd, &options, &tcp_handler, connection);
	ingress_connection_await_request(connection);
}

static gboolean on_acceptable(gint fd, GIOCondition condition, gpointer data)
{
	ingress_t *ingress = data;
	int accepted;

	while ((accepted = accept4(fd, NULL, NULL,
				   SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		accept_connection(ingress, accepted);
	return G_SOURCE_CONTINUE;
}

static int listen_on(const char *address)
{
	GSocketAddress *parsed = address_parse(address);
	struct sockaddr_storage native;
	int one = 1;
	int fd = -1;

	if (!parsed)
		return -1;
	if (g_socket_address_to_native(parsed, &native, sizeof(native), NULL))
		fd = socket(native.ss_family,
			    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0) {
		/* A restarted process takes over the address at once. */
		(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one,
				 sizeof(one));
		if (bind(fd, (struct sockaddr *)&native,
			 (socklen_t)g_socket_address_get_native_size(parsed)) <
			    0 ||
		    listen(fd, ACCEPT_BACKLOG) < 0) {
			close(fd);
			fd = -1;
		}
	}
	g_object_unref(parsed);
	return fd;
}

/* Starts to listen. False when the address cannot be used; errno says why. */
bool ingress_init(ingress_t *ingress, const char *address, clock_source_t clock,
		  const ingress_limits_t *limits,
		  const ingress_handler_t *handler, void *context)
{
	*ingress = (ingress_t){
		.clock = clock,
		.limits = *limits,
		.handler = handler,
		.context = context,
		.fd = listen_on(address),
	};
	g_queue_init(&ingress->connections);
	if (ingress->fd < 0)
		return false;
	ingress->source = g_unix_fd_source_new(ingress->fd, G_IO_IN);
	g_source_set_callback(ingress->source, G_SOURCE_FUNC(on_acceptable),
			      ingress, NULL);
	g_source_attach(ingress->source, g_main_context_get_thread_default());
	return true;
}

/* Closes the listener and all connections. */
void ingress_finish(ingress_t *ingress)
{
	if (!ingress->source)
		return;
	g_source_destroy(ingress->source);
	g_source_unref(ingress->source);
	ingress->source = NULL;
	close(ingress->fd);
	while (!g_queue_is_empty(&ingress->connections))
		ingress_connection_close(
			g_queue_peek_head(&ingress->connections));
}

/* Applies other limits. A request that is being read, and a connection that
 * is idle, keep the limits under which they began.
 */
void ingress_set_limits(ingress_t *ingress, const ingress_limits_t *limits)
{
	ingress->limits = *limits;
}

/* From now on each response tells the caller to close its connection. */
void ingress_set_closing(ingress_t *ingress)
{
	ingress->closing = true;
}

/* Closes connections on which no byte of a request has arrived. */
void ingress_close_idle(ingress_t *ingress)
{
	GList *link = ingress->connections.head;

	while (link) {
		ingress_connection_t *connection = link->data;

		link = link->next;
		if (connection->state == CONNECTION_READING &&
		    !connection->message.started)
			ingress_connection_close(connection);
	}
}
