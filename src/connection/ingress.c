#include "connection/ingress_connection.h"

#include <glib-unix.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/address.h"
#include "process/log.h"
#include "process/memory_budget.h"

/* Connections that may wait in the kernel's queue to be accepted. When the
 * queue is full, the kernel drops a caller's first packet, and the caller
 * sends it again only after a second or more.
 */
#define ACCEPT_BACKLOG 1024

/* Bytes of further requests that are kept while one is in progress. Reading
 * stops when there are more.
 */
#define MAX_UNPARSED_BYTES 65536

/* A caller that does not acknowledge data for this long counts as gone. */
#define CALLER_USER_TIMEOUT_MS 10000

/* Silence after which TCP keepalive probes the caller. */
#define CALLER_KEEPALIVE_IDLE_S 5

/* Longest wait for the caller to close after the last response. Closing at once
 * could reset the connection, and the caller could lose the response.
 */
#define LINGER_TIMEOUT_US (1 * CLOCK_US_PER_S)

/* The kernel holds no more that is not sent than this for one caller, so that it takes some
 * whenever the caller has read some. Its buffer could be some MB large.
 */
#define KERNEL_UNSENT_BYTES 65536

/* A caller that reads nothing of the output that waits for it is given up after this, and time
 * between two checks of whether it reads.
 */
#define OUTPUT_STALL_US (10 * CLOCK_US_PER_S)
#define OUTPUT_CHECK_US (1 * CLOCK_US_PER_S)

/* An idle connection is closed this much later than callers are told, so that
 * it is never closed sooner than a caller expects.
 */
#define IDLE_MARGIN_US (1 * CLOCK_US_PER_S)

static void parse_requests(ingress_connection_t *connection);

/* Returns whether an exchange is in progress on a connection. */
static bool is_answering(const ingress_connection_t *connection)
{
	return connection->state == CONNECTION_ANSWERING;
}

/* Drops the body of a request that has ended, and gives back its memory. */
static void drop_body(ingress_connection_t *connection)
{
	g_clear_pointer(&connection->exchange.body, g_bytes_unref);
	request_body_clear(&connection->body);
}

/* Closes a connection and frees it, at once or when its parser returns. An
 * exchange in progress ends with it, and the handler is not called.
 */
void ingress_connection_close(ingress_connection_t *connection)
{
	ingress_t *ingress = connection->ingress;

	tcp_finish(&connection->tcp);
	if (connection->parsing) {
		connection->close_pending = true;
		return;
	}
	if (is_answering(connection))
		ingress->active--;
	g_queue_delete_link(&ingress->connections, connection->link);
	alarm_finish(&connection->alarm);
	alarm_finish(&connection->output_alarm);
	http_message_finish(&connection->message);
	g_string_free(connection->unparsed, TRUE);
	drop_body(connection);
	g_free(connection);
}

/* Watches that the caller reads, if output waits for it. */
void ingress_connection_watch_output(ingress_connection_t *connection)
{
	int64_t now_us = clock_now(&connection->ingress->clock);

	if (tcp_unsent_bytes(&connection->tcp) == 0 ||
	    connection->output_alarm.at_us >= 0)
		return;
	connection->acknowledged_bytes =
		tcp_acknowledged_bytes(&connection->tcp);
	connection->stalled_since_us = now_us;
	alarm_set(&connection->output_alarm, now_us + OUTPUT_CHECK_US);
}

/* Returns whether the caller has read nothing of the output that waits for it for too long.
 * What the kernel takes does not show that: it takes the next bytes when a third of its
 * buffer is free, for which a slow caller may need longer.
 */
static bool is_stalled(ingress_connection_t *connection, int64_t now_us)
{
	uint64_t bytes = tcp_acknowledged_bytes(&connection->tcp);

	if (bytes != connection->acknowledged_bytes) {
		connection->acknowledged_bytes = bytes;
		connection->stalled_since_us = now_us;
	}
	return now_us - connection->stalled_since_us >= OUTPUT_STALL_US;
}

/* Closes a connection whose caller has read nothing for too long. */
static void on_output_alarm(void *context)
{
	ingress_connection_t *connection = context;
	ingress_t *ingress = connection->ingress;
	int64_t now_us = clock_now(&ingress->clock);

	if (tcp_unsent_bytes(&connection->tcp) == 0)
		return;
	if (!is_stalled(connection, now_us)) {
		alarm_set(&connection->output_alarm, now_us + OUTPUT_CHECK_US);
		return;
	}
	if (is_answering(connection))
		ingress->handler->on_gone(ingress->context,
					  &connection->exchange);
	ingress_connection_close(connection);
}

/* Ends the output of a connection, all of which the kernel has, and waits for the caller to
 * close it.
 */
static void end_output(ingress_connection_t *connection)
{
	tcp_set_reset_at_end(&connection->tcp, false);
	tcp_shutdown_write(&connection->tcp);
	alarm_set(&connection->alarm,
		  clock_now(&connection->ingress->clock) + LINGER_TIMEOUT_US);
}

/* Ends a connection after its last response: sends what is left, then waits for
 * the caller to close.
 */
void ingress_connection_linger(ingress_connection_t *connection)
{
	connection->state = CONNECTION_LINGERING;
	drop_body(connection);
	alarm_set(&connection->alarm, -1);
	/* Bytes that are not read would make the close a reset. */
	tcp_set_reading(&connection->tcp, true);
	if (tcp_unsent_bytes(&connection->tcp) == 0)
		end_output(connection);
	else
		ingress_connection_watch_output(connection);
}

/* Sets the deadline by which the next part of a request must have come. */
void ingress_connection_await_part(ingress_connection_t *connection,
				   int64_t timeout_us)
{
	connection->alarm_put_off = false;
	alarm_set(&connection->alarm,
		  clock_now(&connection->ingress->clock) + timeout_us);
}

/* Starts the idle timeout of a connection. */
static void await_activity(ingress_connection_t *connection)
{
	ingress_connection_await_part(
		connection,
		connection->ingress->limits.idle_timeout_us + IDLE_MARGIN_US);
}

/* Resets a connection for its next request, and starts the idle timeout. */
void ingress_connection_await_request(ingress_connection_t *connection)
{
	const ingress_t *ingress = connection->ingress;

	connection->state = CONNECTION_READING;
	connection->reject_status = 0;
	drop_body(connection);
	connection->exchange.context = NULL;
	http_message_restart(&connection->message);
	connection->message.max_head_bytes =
		(size_t)ingress->limits.max_head_bytes;
	await_activity(connection);
}

/* Returns whether a connection may take its next request, or more of it. While the caller is
 * behind with the responses before, what it sends stays in the kernel, whose buffer
 * slows the caller down.
 */
static bool takes_requests(const ingress_connection_t *connection)
{
	return connection->state == CONNECTION_READING &&
	       !exchange_is_behind(&connection->exchange);
}

/* Reads further requests, and begins with what has been received of them, unless the caller is
 * behind with the responses before.
 */
void ingress_connection_read_on(ingress_connection_t *connection)
{
	bool takes = takes_requests(connection);

	tcp_set_reading(&connection->tcp, takes);
	/* The alarm begins the next request in its own turn of the main loop,
	 * not inside the call that ended the one before.
	 */
	if (takes && connection->unparsed->len > 0 && !connection->parsing)
		alarm_set(&connection->alarm,
			  clock_now(&connection->ingress->clock));
}

/* Closes a connection whose time is over, and logs it if bytes have arrived that were not
 * read: its caller may have sent a request.
 */
static void close_idle(ingress_connection_t *connection)
{
	if (connection->state == CONNECTION_READING &&
	    tcp_has_unread(&connection->tcp))
		log_event(LOG_WARN, "closed_unread",
			  LOG_INT("idle_ms",
				  connection->ingress->limits.idle_timeout_us /
					  CLOCK_US_PER_MS));
	ingress_connection_close(connection);
}

/* Ends a connection whose time is over: with a status 408 if a request has begun,
 * without a response if not.
 */
static void end_late(ingress_connection_t *connection)
{
	if (connection->state == CONNECTION_READING &&
	    connection->message.started)
		ingress_connection_reject(connection, 408);
	else if (connection->state == CONNECTION_READING &&
		 tcp_unsent_bytes(&connection->tcp) > 0)
		await_activity(connection); /* it reads the response still */
	else if (!is_answering(connection))
		close_idle(connection);
}

/* Reads what has arrived on a connection whose time is over. If that is not the whole part
 * that was awaited, the caller gets the same time for the rest, once: while the
 * process did not run, the kernel may have had no room for it.
 */
static void read_late(ingress_connection_t *connection)
{
	const ingress_limits_t *limits = &connection->ingress->limits;
	bool in_head = connection->message.started &&
		       !connection->message.head_done;
	bool put_off = connection->alarm_put_off;

	if (!tcp_read_unread(&connection->tcp))
		return;
	if (connection->state != CONNECTION_READING ||
	    connection->alarm.at_us >= 0)
		return;
	if (put_off) {
		end_late(connection);
		return;
	}
	ingress_connection_await_part(connection,
				      in_head ? limits->head_timeout_us
					      : limits->idle_timeout_us);
	connection->alarm_put_off = true;
}

/* Goes on with the bytes received, or ends a connection whose time is over. After a pause
 * of the process, bytes that came on time may be unread; they are read first.
 */
static void on_alarm(void *context)
{
	ingress_connection_t *connection = context;

	if (connection->state == CONNECTION_READING &&
	    !takes_requests(connection))
		await_activity(connection); /* it reads the response still */
	else if (connection->state == CONNECTION_READING &&
		 connection->unparsed->len > 0)
		parse_requests(connection);
	else if (connection->state == CONNECTION_READING &&
		 tcp_has_unread(&connection->tcp))
		read_late(connection);
	else
		end_late(connection);
}

/* Passes a complete request to the handler. */
static void begin_exchange(ingress_connection_t *connection)
{
	ingress_t *ingress = connection->ingress;

	alarm_set(&connection->alarm, -1);
	connection->state = CONNECTION_ANSWERING;
	connection->exchange.body = request_body_complete(&connection->body);
	connection->exchange.arrived_us = clock_now(&ingress->clock);
	ingress->active++;
	ingress->handler->on_request(ingress->context, &connection->exchange);
}

/* Returns the status for a request that is rejected. */
static unsigned rejection_status(const ingress_connection_t *connection,
				 http_feed_t result)
{
	if (connection->reject_status)
		return connection->reject_status;
	return result == HTTP_FEED_HEAD_TOO_LARGE ? 431 : 400;
}

/* Parses the bytes received. Stops when a request is in progress, because a
 * connection carries one exchange at a time, or the caller is behind.
 */
static void parse_requests(ingress_connection_t *connection)
{
	connection->parsing = true;
	while (!connection->close_pending && connection->unparsed->len > 0 &&
	       takes_requests(connection)) {
		bool started = connection->message.started;
		size_t used;
		http_feed_t result = http_message_feed(
			&connection->message, connection->unparsed->str,
			connection->unparsed->len, &used);

		g_string_erase(connection->unparsed, 0, (gssize)used);
		if (!started && connection->message.started &&
		    !connection->message.head_done)
			ingress_connection_await_part(
				connection,
				connection->ingress->limits.head_timeout_us);
		if (connection->reject_status ||
		    (result != HTTP_FEED_MORE && result != HTTP_FEED_DONE))
			ingress_connection_reject(connection,
						  rejection_status(connection,
								   result));
		else if (result == HTTP_FEED_DONE)
			begin_exchange(connection);
	}
	connection->parsing = false;
	if (connection->close_pending)
		ingress_connection_close(connection);
	else if (connection->unparsed->len == 0)
		memory_empty_buffer(&connection->unparsed);
}

/* Keeps the bytes received and parses them, unless a request is in progress or the caller is
 * behind.
 */
static void on_data(void *context, const char *data, size_t len)
{
	ingress_connection_t *connection = context;

	if (connection->state == CONNECTION_LINGERING)
		return;
	g_string_append_len(connection->unparsed, data, (gssize)len);
	if (takes_requests(connection))
		parse_requests(connection);
	else if (connection->unparsed->len > MAX_UNPARSED_BYTES)
		tcp_set_reading(&connection->tcp, false);
}

/* Ends the exchange when the caller closes its connection. A half-close counts
 * too: a caller that waits for a response keeps its side open.
 */
static void on_end(void *context, tcp_end_t end)
{
	ingress_connection_t *connection = context;
	ingress_t *ingress = connection->ingress;

	if (is_answering(connection))
		ingress->handler->on_gone(ingress->context,
					  &connection->exchange);
	ingress_connection_close(connection);
}

/* Tells the handler that its caller has caught up, reads the next request of a caller that was
 * behind, and shuts down the sending side after the last byte of the last response.
 */
static void on_output_sent(void *context)
{
	ingress_connection_t *connection = context;
	const ingress_t *ingress = connection->ingress;
	bool all_sent = tcp_unsent_bytes(&connection->tcp) == 0;

	if (all_sent)
		alarm_set(&connection->output_alarm, -1);
	if (all_sent && connection->state == CONNECTION_LINGERING)
		end_output(connection);
	if (takes_requests(connection) && !connection->tcp.reading) {
		await_activity(connection);
		ingress_connection_read_on(connection);
	}
	if (is_answering(connection) && ingress->handler->on_caught_up &&
	    !exchange_is_behind(&connection->exchange))
		ingress->handler->on_caught_up(ingress->context,
					       &connection->exchange);
}

static const tcp_handler_t tcp_handler = {
	.on_data = on_data,
	.on_end = on_end,
	.on_output_sent = on_output_sent,
};

/* Sets up a connection that was accepted; it owns the descriptor. */
static void accept_connection(ingress_t *ingress, int fd)
{
	static const tcp_options_t options = {
		.user_timeout_ms = CALLER_USER_TIMEOUT_MS,
		.keepalive_idle_s = CALLER_KEEPALIVE_IDLE_S,
		.kernel_unsent_bytes = KERNEL_UNSENT_BYTES,
	};
	ingress_connection_t *connection = g_new0(ingress_connection_t, 1);

	connection->ingress = ingress;
	connection->unparsed = g_string_new(NULL);
	connection->exchange.connection = connection;
	alarm_init(&connection->alarm, ingress->clock, on_alarm, connection);
	alarm_init(&connection->output_alarm, ingress->clock, on_output_alarm,
		   connection);
	http_message_init(&connection->message, true, &ingress_message_handler,
			  connection);
	g_queue_push_tail(&ingress->connections, connection);
	connection->link = g_queue_peek_tail_link(&ingress->connections);
	tcp_adopt(&connection->tcp, fd, &options, &tcp_handler, connection);
	ingress_connection_await_request(connection);
}

/* Accepts all connections that wait in the kernel's queue. */
static gboolean on_acceptable(gint fd, GIOCondition condition, gpointer data)
{
	ingress_t *ingress = data;
	int accepted;

	while ((accepted = accept4(fd, NULL, NULL,
				   SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		accept_connection(ingress, accepted);
	return G_SOURCE_CONTINUE;
}

/* Returns a socket that listens on an IP:port, or -1. Then errno says why,
 * unless the address is malformed.
 */
static int open_listening_socket(const char *address)
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
		/* Lets a restarted process use the address at once. */
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

/* Starts to listen on an IP:port. Returns false if the address cannot be used;
 * errno says why, unless it is malformed. The handler must outlive the ingress.
 */
bool ingress_init(ingress_t *ingress, const char *address, clock_source_t clock,
		  const ingress_limits_t *limits,
		  const ingress_handler_t *handler, void *context)
{
	*ingress = (ingress_t){
		.clock = clock,
		.limits = *limits,
		.handler = handler,
		.context = context,
		.fd = open_listening_socket(address),
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

/* Closes the listening socket and all connections without calling the handler.
 */
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

/* Replaces the limits. A timeout that is running, and the limit of a head that
 * is awaited, stay as they are.
 */
void ingress_set_limits(ingress_t *ingress, const ingress_limits_t *limits)
{
	ingress->limits = *limits;
}

/* Makes every response from now on tell its caller to close the connection. */
void ingress_set_closing(ingress_t *ingress)
{
	ingress->closing = true;
}

/* Returns whether a part of the next request has arrived on a connection. */
static bool has_unread(const ingress_connection_t *connection)
{
	return connection->message.started || connection->unparsed->len > 0 ||
	       tcp_has_unread(&connection->tcp);
}

/* Closes the connections on which no request has begun to arrive, once their callers have
 * all of the responses before.
 */
void ingress_close_idle(ingress_t *ingress)
{
	GList *link = ingress->connections.head;

	while (link) {
		ingress_connection_t *connection = link->data;

		link = link->next;
		if (connection->state != CONNECTION_READING ||
		    has_unread(connection))
			continue;
		if (tcp_unsent_bytes(&connection->tcp) > 0)
			ingress_connection_linger(connection);
		else
			ingress_connection_close(connection);
	}
}

/* Returns whether a request has come in part, bytes wait to be read on a connection,
 * or a connection waits to be accepted. If the process ended now, requests would be
 * cut whose senders believe them to be taken.
 */
bool ingress_has_unread(const ingress_t *ingress)
{
	struct pollfd listening = {.fd = ingress->fd, .events = POLLIN};

	if (ingress->source && poll(&listening, 1, 0) > 0)
		return true;
	for (const GList *link = ingress->connections.head; link;
	     link = link->next) {
		const ingress_connection_t *connection = link->data;

		if (connection->state == CONNECTION_READING &&
		    has_unread(connection))
			return true;
	}
	return false;
}

/* Returns whether responses are written that the kernel has not accepted yet. */
bool ingress_is_sending(const ingress_t *ingress)
{
	for (const GList *link = ingress->connections.head; link;
	     link = link->next) {
		const ingress_connection_t *connection = link->data;

		if (tcp_unsent_bytes(&connection->tcp) > 0)
			return true;
	}
	return false;
}

/* Calls a function for each exchange in progress, which may end that exchange. */
void ingress_visit_exchanges(ingress_t *ingress,
			     void (*visit)(void *context, exchange_t *exchange),
			     void *context)
{
	GList *link = ingress->connections.head;

	while (link) {
		ingress_connection_t *connection = link->data;

		link = link->next;
		if (is_answering(connection))
			visit(context, &connection->exchange);
	}
}
