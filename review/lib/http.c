#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Longest wait for bytes of the other side. */
#define READ_TIMEOUT_S 20

/* Returns the loopback address with a port. */
static struct sockaddr_in loopback(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons((unsigned short)port)};

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

/* Returns a socket that listens on a port of the loopback address, or -1. */
int listen_on(int port)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0 ||
	    listen(fd, 256) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Returns a port that is free for TCP and UDP now. */
int free_port(void)
{
	for (;;) {
		struct sockaddr_in address = loopback(0);
		socklen_t len = sizeof(address);
		int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
		bool ok = bind(tcp, (struct sockaddr *)&address, len) == 0 &&
			  getsockname(tcp, (struct sockaddr *)&address, &len) ==
				  0 &&
			  bind(udp, (struct sockaddr *)&address, len) == 0;

		close(tcp);
		close(udp);
		if (ok)
			return ntohs(address.sin_port);
	}
}

/* Sets up a connection on a descriptor, which it owns from now on. */
void conn_init(conn_t *conn, int fd)
{
	struct timeval timeout = {.tv_sec = READ_TIMEOUT_S};
	int one = 1;

	conn->fd = fd;
	conn->len = 0;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

void conn_close(conn_t *conn)
{
	if (conn->fd >= 0)
		close(conn->fd);
	conn->fd = -1;
}

/* Connects to a port of the loopback address. */
bool conn_open(conn_t *conn, int port)
{
	return conn_open_slow(conn, port, 0, 0);
}

/* The same with a receive buffer and a largest segment, as the path to a caller that is
 * not on this machine has them; 0: as the system sets them.
 */
bool conn_open_slow(conn_t *conn, int port, int receive_bytes,
		    int segment_bytes)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (receive_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
			   sizeof(receive_bytes));
	if (segment_bytes)
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
			   sizeof(segment_bytes));
	conn_init(conn, fd);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return true;
	conn_close(conn);
	return false;
}

/* Connects as the caller with a number, from 127.0.1.NUMBER. */
bool conn_open_from(conn_t *conn, int port, unsigned caller)
{
	struct sockaddr_in address = loopback(port);
	struct sockaddr_in own = loopback(0);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	own.sin_addr.s_addr = htonl(0x7f000100 + caller % 250 + 1);
	conn_init(conn, fd);
	if (bind(fd, (struct sockaddr *)&own, sizeof(own)) == 0 &&
	    connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return true;
	conn_close(conn);
	return false;
}

/* Sends all bytes. Returns false if the connection ended before. */
bool send_all(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

/* Sends a formatted text. */
bool send_text(int fd, const char *format, ...)
{
	char text[HEAD_BYTES];
	va_list arguments;
	int len;

	va_start(arguments, format);
	len = vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	return send_all(fd, text, (size_t)len);
}

/* Stores the value of a header field. Returns false if there is none. */
bool header(const message_t *message, const char *name, char *value,
	    size_t size)
{
	size_t name_len = strlen(name);
	const char *line = strstr(message->head, "\r\n");

	while (line) {
		const char *start = line + 2;
		const char *end = strstr(start, "\r\n");
		size_t len = end ? (size_t)(end - start) : strlen(start);

		if (len > name_len && start[name_len] == ':' &&
		    !strncasecmp(start, name, name_len)) {
			const char *at = start + name_len + 1;

			while (*at == ' ')
				at++;
			snprintf(value, size, "%.*s", (int)(start + len - at),
				 at);
			return true;
		}
		line = end;
	}
	return false;
}

/* Reads up to the empty line after the head. */
static bool read_head(conn_t *conn, message_t *message)
{
	for (;;) {
		char *end;
		ssize_t n;

		conn->buffer[conn->len] = '\0';
		end = strstr(conn->buffer, "\r\n\r\n");
		if (end) {
			size_t len = (size_t)(end - conn->buffer);

			memcpy(message->head, conn->buffer, len);
			message->head[len] = '\0';
			len += 4;
			conn->len -= len;
			memmove(conn->buffer, conn->buffer + len, conn->len);
			return true;
		}
		if (conn->len >= sizeof(conn->buffer) - 1)
			return false;
		n = recv(conn->fd, conn->buffer + conn->len,
			 sizeof(conn->buffer) - 1 - conn->len, 0);
		if (n <= 0)
			return false;
		conn->len += (size_t)n;
	}
}

/* Reads the start line, and how long the body is. */
static void parse_head(message_t *message)
{
	char length[32];

	if (sscanf(message->head, "HTTP/1.%*d %d", &message->status) != 1)
		(void)sscanf(message->head, "%15s %1023s", message->method,
			     message->target);
	if (header(message, "Content-Length", length, sizeof(length)))
		message->body_due = strtoul(length, NULL, 10);
}

/* Reads a message whose body has a length, in pieces with pauses between them. What has
 * arrived of a cut body is kept. Returns whether the message is complete.
 */
bool read_message_slowly(conn_t *conn, message_t *message, size_t piece,
			 int pause_ms)
{
	struct timespec pause = {.tv_nsec = pause_ms * 1000000L};
	size_t early;

	memset(message, 0, sizeof(*message));
	if (!read_head(conn, message))
		return false;
	parse_head(message);
	message->body = malloc(message->body_due + 1);
	early = conn->len < message->body_due ? conn->len : message->body_due;
	memcpy(message->body, conn->buffer, early);
	conn->len -= early;
	memmove(conn->buffer, conn->buffer + early, conn->len);
	message->body_len = early;
	while (message->body_len < message->body_due) {
		size_t left = message->body_due - message->body_len;
		ssize_t n = recv(conn->fd, message->body + message->body_len,
				 left < piece ? left : piece, 0);

		if (n <= 0)
			break;
		message->body_len += (size_t)n;
		if (pause_ms)
			nanosleep(&pause, NULL);
	}
	message->body[message->body_len] = '\0';
	message->complete = message->body_len == message->body_due;
	return message->complete;
}

/* Reads a message whose body has a length. */
bool read_message(conn_t *conn, message_t *message)
{
	return read_message_slowly(conn, message, 1 << 16, 0);
}

void message_finish(message_t *message)
{
	free(message->body);
	message->body = NULL;
}
