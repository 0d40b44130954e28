#include "connection/tcp.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 16384
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

typedef struct {
	GSource source;
	tcp_t *tcp;
} tcp_source_t;

static void set_int(int fd, int level, int name, int value)
{
	/* The connection works without the option, only less promptly. */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void set_options(int fd, const tcp_options_t *options)
{
	set_int(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	if (options->user_timeout_ms)
		set_int(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
			(int)options->user_timeout_ms);
	if (options->keepalive_idle_s) {
		set_int(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
		set_int(fd, IPPROTO_TCP, TCP_KEEPIDLE,
			options->keepalive_idle_s);
		set_int(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
		set_int(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	}
}

static void update_events(tcp_t *tcp)
{
	GIOCondition events = G_IO_ERR | G_IO_HUP;

	if (!tcp->source)
		return;
	if (tcp->reading && !tcp->connecting)
		events |= G_IO_IN;
	if (tcp->connecting || tcp_unsent_bytes(tcp) > 0)
		events |= G_IO_OUT;
	g_source_modify_unix_fd(tcp->source, tcp->tag, events);
}

static void end(tcp_t *tcp, tcp_end_t reason)
{
	const tcp_handler_t *handler = tcp->handler;
	void *context = tcp->context;

	tcp_finish(tcp);
	handler->on_end(context, reason);
}

/* Writes what the kernel accepts. False when the connection failed. */
static bool flush(tcp_t *tcp)
{
	while (tcp_unsent_bytes(tcp) > 0) {
		ssize_t n = send(tcp->fd, tcp->out->str + tcp->out_at,
				 tcp_unsent_bytes(tcp), MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return errno == EAGAIN || errno == EWOULDBLOCK;
		tcp->out_at += (size_t)n;
	}
	g_string_truncate(tcp->out, 0);
	tcp->out_at = 0;
	return true;
}

static int socket_error(int fd)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0)
		return errno;
	return error;
}

static void write_ready(tcp_t *tcp)
{
	if (tcp->connecting) {
		if (socket_error(tcp->fd)) {
			end(tcp, TCP_END_NOT_CONNECTED);
			return;
		}
		tcp->connecting = false;
	}
	if (!flush(tcp)) {
		end(tcp, TCP_END_RESET);
		return;
	}
	update_events(tcp);
	if (tcp_unsent_bytes(tcp) == 0 && tcp->handler->on_output_flushed)
		tcp->handler->on_output_flushed(tcp->context);
}

static void read_ready(tcp_t *tcp)
{
	char buffer[READ_BYTES];
	ssize_t n = recv(tcp->fd, buffer, sizeof(buffer), 0);

	if (n > 0)
		tcp->handler->on_data(tcp->context, buffer, (size_t)n);
	else if (n == 0)
		end(tcp, TCP_END_EOF);
	else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
		end(tcp, TCP_END_RESET);
}

static gboolean dispatch(GSource *source, GSourceFunc fn, gpointer data)
{
	tcp_t *tcp = ((tcp_source_t *)source)->tcp;
	GIOCondition ready = g_source_query_unix_fd(source, tcp->tag);
	bool finished = false;

	tcp->finished = &finished;
	if (ready & G_IO_OUT || (tcp->connecting && ready))
		write_ready(tcp);
	if (!finished && !tcp->connecting) {
		if (ready & G_IO_IN && tcp->reading)
			read_ready(tcp);
		else if (ready & (G_IO_ERR | G_IO_HUP))
			/* A half-open end that is not being read. */
			end(tcp, TCP_END_RESET);
	}
	if (!finished)
		tcp->finished = NULL;
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = {.dispatch = dispatch};

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
	tcp->tag = g_source_add_unix_fd(tcp->source, fd, G_IO_IN);
	update_events(tcp);
	g_source_attach(tcp->source, g_main_context_get_thread_default());
}

/*
 * Opens a connection. False when it failed at once; the handler is not called
 * then. Output may be written before the connection is established.
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

/* Takes over an accepted, non-blocking descriptor. */
void tcp_adopt(tcp_t *tcp, int fd, const tcp_options_t *options,
	       const tcp_handler_t *handler, void *context)
{
	memset(tcp, 0, sizeof(*tcp));
	set_options(fd, options);
	attach(tcp, fd, handler, context);
}

/*
 * Queues output and sends as much as possible. A failure is reported by
 * on_end in a later turn of the loop, never from here.
 */
void tcp_write(tcp_t *tcp, const char *data, size_t len)
{
	bool idle = tcp_unsent_bytes(tcp) == 0;

	if (!tcp->source)
		return;
	g_string_append_len(tcp->out, data, (gssize)len);
	if (idle && !tcp->connecting)
		(void)flush(tcp); /* an error is seen again when polled */
	update_events(tcp);
}

/* Starts or stops reading. While stopped, the peer's close is not noticed. */
void tcp_set_reading(tcp_t *tcp, bool reading)
{
	tcp->reading = reading;
	update_events(tcp);
}

/* Tells the peer that no more output follows. */
void tcp_shutdown_write(tcp_t *tcp)
{
	if (tcp->source && !tcp->connecting)
		(void)shutdown(tcp->fd, SHUT_WR);
}

/* Bytes of output that the kernel has not accepted yet. */
size_t tcp_unsent_bytes(const tcp_t *tcp)
{
	return tcp->out ? tcp->out->len - tcp->out_at : 0;
}

/* Closes the connection without calling the handler. Allowed twice. */
void tcp_finish(tcp_t *tcp)
{
	if (!tcp->source)
		return;
	if (tcp->finished)
		*tcp->finished = true;
	tcp->finished = NULL;
	g_source_destroy(tcp->source);
	g_source_unref(tcp->source);
	tcp->source = NULL;
	close(tcp->fd);
	g_string_free(tcp->out, TRUE);
	tcp->out = NULL;
	tcp->out_at = 0;
}

/* Closes with a reset, so that a cut answer cannot look complete. */
void tcp_finish_reset(tcp_t *tcp)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	if (tcp->source)
		(void)setsockopt(tcp->fd, SOL_SOCKET, SO_LINGER, &linger,
				 sizeof(linger));
	tcp_finish(tcp);
}
