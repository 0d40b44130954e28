#include "connection/tcp.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process/memory_budget.h"

/* Time between keep-alive probes. */
#define KEEPALIVE_INTERVAL_S 1

/* The event source of a connection. */
typedef struct {
	GSource source;
	tcp_t *tcp;
} tcp_source_t;

/* Sets a socket option. A failure is ignored. */
static void set_socket_option(int fd, int level, int name, int value)
{
	/* Without the option the connection still works, but sends later or
	 * notices a dead connection later.
	 */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

/* Turns off the delay of small segments and sets the time limits. */
static void set_options(int fd, const tcp_options_t *options)
{
	set_socket_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	if (options->user_timeout_ms)
		set_socket_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
				  (int)options->user_timeout_ms);
	if (options->kernel_unsent_bytes)
		set_socket_option(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT,
				  options->kernel_unsent_bytes);
	if (options->keepalive_idle_s) {
		set_socket_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
		set_socket_option(fd, IPPROTO_TCP, TCP_KEEPIDLE,
				  options->keepalive_idle_s);
		set_socket_option(fd, IPPROTO_TCP, TCP_KEEPINTVL,
				  KEEPALIVE_INTERVAL_S);
		set_socket_option(fd, IPPROTO_TCP, TCP_KEEPCNT,
				  TCP_KEEPALIVE_PROBES);
	}
}

/* Sets the events to poll for from the state of the connection. */
static void update_events(tcp_t *tcp)
{
	GIOCondition events = G_IO_ERR | G_IO_HUP;

	if (!tcp->source)
		return;
	if (tcp->reading && !tcp->connecting)
		events |= G_IO_IN;
	if (tcp->connecting || tcp_unsent_bytes(tcp) > 0)
		events |= G_IO_OUT;
	g_source_modify_unix_fd(tcp->source, tcp->fd_tag, events);
}

/* Returns the name of a reason for log lines. */
const char *tcp_end_text(tcp_end_t end)
{
	static const char *const texts[] = {
		[TCP_END_NOT_CONNECTED] = "not_connected",
		[TCP_END_EOF] = "closed",
		[TCP_END_RESET] = "reset",
		[TCP_END_TIMED_OUT] = "timed_out",
	};

	return texts[end];
}

/* Returns why a connection ended on which a call of the kernel failed with this errno
 * value.
 */
static tcp_end_t end_of_error(int error)
{
	return error == ETIMEDOUT ? TCP_END_TIMED_OUT : TCP_END_RESET;
}

/* Closes the connection and reports why. */
static void end_connection(tcp_t *tcp, tcp_end_t reason)
{
	const tcp_handler_t *handler = tcp->handler;
	void *context = tcp->context;

	tcp_finish(tcp);
	handler->on_end(context, reason);
}

/* Returns the bytes of `body` that the kernel has not accepted yet. */
static str_t unsent_body(const tcp_t *tcp)
{
	size_t len = 0;
	const char *data = tcp->body ? g_bytes_get_data(tcp->body, &len) : NULL;

	if (!data)
		return STR("");
	return (str_t){data + tcp->body_sent_bytes, len - tcp->body_sent_bytes};
}

/* Lets go of a body. */
static void drop_body(tcp_t *tcp)
{
	g_clear_pointer(&tcp->body, g_bytes_unref);
	tcp->body_sent_bytes = 0;
}

/* Hands output to the kernel once: what is buffered, or else the body. Returns what send()
 * does.
 */
static ssize_t send_once(tcp_t *tcp)
{
	size_t len = tcp->out->len - tcp->out_sent_bytes;
	str_t body = unsent_body(tcp);
	ssize_t n;

	if (len > 0) {
		n = send(tcp->fd, tcp->out->str + tcp->out_sent_bytes, len,
			 MSG_NOSIGNAL | (body.len > 0 ? MSG_MORE : 0));
		tcp->out_sent_bytes += n > 0 ? (size_t)n : 0;
	} else {
		n = send(tcp->fd, body.data, body.len, MSG_NOSIGNAL);
		tcp->body_sent_bytes += n > 0 ? (size_t)n : 0;
	}
	return n;
}

/* Hands output to the kernel until it accepts no more. Returns false if the connection
 * failed.
 */
static bool flush(tcp_t *tcp)
{
	while (tcp_unsent_bytes(tcp) > 0) {
		ssize_t n = send_once(tcp);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return errno == EAGAIN || errno == EWOULDBLOCK;
		tcp->sent_bytes += (uint64_t)n;
	}
	memory_empty_buffer(&tcp->out);
	tcp->out_sent_bytes = 0;
	drop_body(tcp);
	return true;
}

/* Returns the pending error of a socket (an errno value), or 0. */
static int socket_error(int fd)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0)
		return errno;
	return error;
}

/* Finishes connecting and sends buffered output when the socket is writable. */
static void write_ready(tcp_t *tcp)
{
	if (tcp->connecting) {
		if (socket_error(tcp->fd)) {
			end_connection(tcp, TCP_END_NOT_CONNECTED);
			return;
		}
		tcp->connecting = false;
	}
	if (!flush(tcp)) {
		end_connection(tcp, end_of_error(errno));
		return;
	}
	update_events(tcp);
	if (tcp->handler->on_output_sent)
		tcp->handler->on_output_sent(tcp->context);
}

/* Returns the number of bytes that have arrived and were not read yet. */
static int unread_bytes(const tcp_t *tcp)
{
	int bytes = 0;

	if (!tcp->source || ioctl(tcp->fd, FIONREAD, &bytes) < 0)
		return 0;
	return bytes;
}

/* Reads once when the socket is readable and reports the data or the end. */
static void read_ready(tcp_t *tcp)
{
	char buffer[TCP_READ_BYTES];
	ssize_t n = recv(tcp->fd, buffer, sizeof(buffer), 0);

	if (n > 0)
		tcp->handler->on_data(tcp->context, buffer, (size_t)n);
	else if (n == 0)
		end_connection(tcp, TCP_END_EOF);
	else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
		end_connection(tcp, end_of_error(errno));
}

/* Reads the bytes that have arrived on an open connection, without waiting for the main
 * loop, and reports them or the end. Returns whether the connection is still open.
 */
bool tcp_read_unread(tcp_t *tcp)
{
	GSource *source = g_source_ref(tcp->source);
	int bytes = unread_bytes(tcp);
	bool open = true;

	while (open && tcp->reading && bytes > 0) {
		read_ready(tcp);
		bytes -= TCP_READ_BYTES;
		open = !g_source_is_destroyed(source);
	}
	g_source_unref(source);
	return open;
}

/* Handles the events of a connection, which a callback may have closed. */
static gboolean dispatch(GSource *source, GSourceFunc fn, gpointer data)
{
	tcp_t *tcp = ((tcp_source_t *)source)->tcp;
	GIOCondition ready = g_source_query_unix_fd(source, tcp->fd_tag);
	bool finished = false;

	tcp->finished = &finished;
	if (ready & G_IO_OUT || (tcp->connecting && ready))
		write_ready(tcp);
	if (!finished && !tcp->connecting) {
		/* The connection was reset or timed out, or both directions are
		 * closed: what has come before is read, also while reading is
		 * stopped.
		 */
		if ((ready & G_IO_IN && tcp->reading) ||
		    ready & (G_IO_ERR | G_IO_HUP))
			read_ready(tcp);
	}
	if (!finished)
		tcp->finished = NULL;
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = {.dispatch = dispatch};

/* Sets up the connection on a descriptor and polls it on the main loop. */
static void attach(tcp_t *tcp, int fd, const tcp_handler_t *handler,
		   void *context)
{
	tcp->fd = fd;
	tcp->handler = handler;
	tcp->context = context;
	tcp->reading = true;
	tcp->out = g_string_new(NULL);
	tcp->source = g_source_new(&source_funcs, sizeof(tcp_source_t));
	((tcp_source_t *)tcp->source)->tcp = tcp;
	tcp->fd_tag = g_source_add_unix_fd(tcp->source, fd, G_IO_IN);
	update_events(tcp);
	g_source_attach(tcp->source, g_main_context_get_thread_default());
}

/* Returns whether bytes have arrived that were not read yet. */
bool tcp_has_unread(const tcp_t *tcp)
{
	return unread_bytes(tcp) > 0;
}

/* Returns whether the other side has sent bytes, closed or reset the connection, which
 * the main loop has not handled yet.
 */
bool tcp_is_readable(const tcp_t *tcp)
{
	struct pollfd poll_fd = {.fd = tcp->fd, .events = POLLIN};

	return tcp->source && poll(&poll_fd, 1, 0) != 0;
}

/*
 * Starts to open a connection. Returns false if that failed at once, and does
 * not call the handler then. Output may be written before the connection is
 * established. The handler and the context are borrowed.
 */
bool tcp_connect(tcp_t *tcp, GSocketAddress *address,
		 const tcp_options_t *options, const tcp_handler_t *handler,
		 void *context)
{
	struct sockaddr_storage native;
	gssize size = g_socket_address_get_native_size(address);
	int fd;

	memset(tcp, 0, sizeof(*tcp));
	if (!g_socket_address_to_native(address, &native, sizeof(native), NULL))
		return false;
	fd = socket(native.ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return false;
	set_options(fd, options);
	if (connect(fd, (struct sockaddr *)&native, (socklen_t)size) < 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return false;
	}
	tcp->connecting = true;
	attach(tcp, fd, handler, context);
	return true;
}

/* Takes ownership of a non-blocking descriptor of an accepted connection. The
 * handler and the context are borrowed.
 */
void tcp_adopt(tcp_t *tcp, int fd, const tcp_options_t *options,
	       const tcp_handler_t *handler, void *context)
{
	memset(tcp, 0, sizeof(*tcp));
	set_options(fd, options);
	attach(tcp, fd, handler, context);
}

/* Drops the sent part of the buffered output once it is the larger part. */
static void drop_sent(tcp_t *tcp)
{
	if (tcp->out_sent_bytes <= tcp->out->len / 2)
		return;
	g_string_erase(tcp->out, 0, (gssize)tcp->out_sent_bytes);
	tcp->out_sent_bytes = 0;
}

/*
 * Buffers output and hands as much as possible to the kernel. A failure is
 * reported by on_end from the main loop, never from within this function. Does
 * nothing on a closed connection.
 */
void tcp_write(tcp_t *tcp, const char *data, size_t len)
{
	tcp_write_with_body(tcp, (str_t){data, len}, NULL);
}

/* The same with a body after it, or NULL. A large one is not copied: the connection shares it
 * until the kernel has accepted it.
 */
void tcp_write_with_body(tcp_t *tcp, str_t head, GBytes *body)
{
	bool idle = tcp_unsent_bytes(tcp) == 0;
	str_t before = unsent_body(tcp);
	size_t len = 0;
	const char *data = body ? g_bytes_get_data(body, &len) : NULL;

	if (!tcp->source)
		return;
	drop_sent(tcp);
	if (before.len > 0)
		g_string_append_len(tcp->out, before.data, (gssize)before.len);
	drop_body(tcp);
	g_string_append_len(tcp->out, head.data, (gssize)head.len);
	if (len > MEMORY_SMALL_BYTES)
		tcp->body = g_bytes_ref(body);
	else if (len > 0)
		g_string_append_len(tcp->out, data, (gssize)len);
	if (idle && !tcp->connecting)
		(void)flush(tcp); /* an error shows again when polled */
	update_events(tcp);
}

/* Sets what ends the connection when the link passes nothing, not even an acknowledgment: the
 * user timeout (0: none), or without one so many probes in a row without a reply, after the
 * idle time and each at an interval of a second. Does nothing on a closed connection.
 */
void tcp_set_silence_limits(tcp_t *tcp, unsigned user_timeout_ms,
			    int keepalive_probes)
{
	if (!tcp->source)
		return;
	set_socket_option(tcp->fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
			  (int)user_timeout_ms);
	set_socket_option(tcp->fd, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

/* Starts or stops reading. While stopped, an orderly close by the other side is
 * not noticed.
 */
void tcp_set_reading(tcp_t *tcp, bool reading)
{
	tcp->reading = reading;
	update_events(tcp);
}

/* Tells the other side that no more output follows. Does nothing before the
 * connection is established.
 */
void tcp_shutdown_write(tcp_t *tcp)
{
	if (tcp->source && !tcp->connecting)
		(void)shutdown(tcp->fd, SHUT_WR);
}

/* Returns the bytes of output that the kernel has not accepted yet. */
size_t tcp_unsent_bytes(const tcp_t *tcp)
{
	if (!tcp->out)
		return 0;
	return tcp->out->len - tcp->out_sent_bytes + unsent_body(tcp).len;
}

/* Returns the bytes of output that the other side has acknowledged. Its kernel acknowledges what
 * it can keep; more only when the other side reads.
 */
uint64_t tcp_acknowledged_bytes(const tcp_t *tcp)
{
	int bytes = 0;

	if (!tcp->source || ioctl(tcp->fd, SIOCOUTQ, &bytes) < 0)
		return tcp->sent_bytes;
	return tcp->sent_bytes - MIN((uint64_t)bytes, tcp->sent_bytes);
}

/* Returns whether output may not have arrived: it is buffered here, or the other side has
 * not acknowledged it. On a closed connection: whether that was so when it was closed.
 */
bool tcp_has_unacknowledged(const tcp_t *tcp)
{
	if (!tcp->source)
		return tcp->closed_unacknowledged;
	return tcp_unsent_bytes(tcp) > 0 ||
	       tcp_acknowledged_bytes(tcp) < tcp->sent_bytes;
}

/* Closes the connection without calling the handler, and drops buffered output.
 * May be called again.
 */
void tcp_finish(tcp_t *tcp)
{
	if (!tcp->source)
		return;
	if (tcp->finished)
		*tcp->finished = true;
	tcp->finished = NULL;
	tcp->closed_unacknowledged = tcp_has_unacknowledged(tcp);
	g_source_destroy(tcp->source);
	g_source_unref(tcp->source);
	tcp->source = NULL;
	close(tcp->fd);
	g_string_free(tcp->out, TRUE);
	drop_body(tcp);
	tcp->out = NULL;
	tcp->out_sent_bytes = 0;
}

/* Sets whether the end of the connection is a reset, which drops what the other side has not
 * got. It also holds when the process ends or is killed. Does nothing on a closed
 * connection; a failure is ignored, the close is an orderly one then.
 */
void tcp_set_reset_at_end(tcp_t *tcp, bool reset)
{
	struct linger linger = {.l_onoff = reset ? 1 : 0, .l_linger = 0};

	if (tcp->source)
		(void)setsockopt(tcp->fd, SOL_SOCKET, SO_LINGER, &linger,
				 sizeof(linger));
}

/* Closes the connection with a reset, so that the other side cannot take a
 * truncated answer for a complete one.
 */
void tcp_finish_reset(tcp_t *tcp)
{
	tcp_set_reset_at_end(tcp, true);
	tcp_finish(tcp);
}
