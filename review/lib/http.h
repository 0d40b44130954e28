/* Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the cases. */
#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include <stdbool.h>
#include <stddef.h>

#define HEAD_BYTES 16384

/* A connection and what was read from it but not used yet. */
typedef struct {
	int fd;
	char buffer[HEAD_BYTES];
	size_t len;
} conn_t;

/* The head and the body of a message. */
typedef struct {
	char head[HEAD_BYTES]; /* up to the empty line, null-terminated */
	char method[16]; /* of a request */
	char target[1024];
	int status; /* of a response */
	char *body; /* owned */
	size_t body_len; /* what has arrived of the body */
	size_t body_due; /* by Content-Length */
	bool complete;
} message_t;

int listen_on(int port);
int free_port(void);
void conn_init(conn_t *conn, int fd);
void conn_close(conn_t *conn);
bool conn_open(conn_t *conn, int port);
bool conn_open_from(conn_t *conn, int port, unsigned caller);
bool conn_open_slow(conn_t *conn, int port, int receive_bytes,
		    int segment_bytes);
bool send_all(int fd, const char *data, size_t len);
bool send_text(int fd, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
bool read_message(conn_t *conn, message_t *message);
bool read_message_slowly(conn_t *conn, message_t *message, size_t piece,
			 int pause_ms);
void message_finish(message_t *message);
bool header(const message_t *message, const char *name, char *value,
	    size_t size);

#endif
