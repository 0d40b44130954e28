/* A non-blocking TCP connection on the thread-default main loop. Output that
 * the kernel does not accept at once is buffered without a limit: who writes has to
 * heed tcp_unsent_bytes().
 */
#ifndef CONNECTION_TCP_H
#define CONNECTION_TCP_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

#include "process/str.h"

/* How many keep-alive probes in a row without a reply end a connection that has no user
 * timeout.
 */
#define TCP_KEEPALIVE_PROBES 2

/* Most bytes that are read of a connection at a time. */
#define TCP_READ_BYTES 16384

/* Why a connection ended. */
typedef enum {
	TCP_END_NOT_CONNECTED, /* the connection was never established */
	TCP_END_EOF, /* the other side closed it in order */
	TCP_END_RESET, /* the other side reset it, or closed both directions */
	TCP_END_TIMED_OUT, /* the other side took nothing, or answered no probe, for too long */
} tcp_end_t;

/* Callbacks of a connection. Each may call tcp_finish(). */
typedef struct {
	/* Takes received bytes, which are valid during the callback only. */
	void (*on_data)(void *context, const char *data, size_t len);
	/* Called once, after the connection was closed because the other side
	 * or the network ended it; not after tcp_finish().
	 */
	void (*on_end)(void *context, tcp_end_t end);
	/* Optional. Called when the main loop has handed buffered output to the
	 * kernel, of which tcp_unsent_bytes() may be left; also when none was
	 * buffered as the connection was established; not for output that
	 * tcp_write() hands over at once.
	 */
	void (*on_output_sent)(void *context);
} tcp_handler_t;

/* A connection; all zero before it is opened. */
typedef struct {
	GSource *source; /* NULL: closed */
	gpointer fd_tag; /* of the file descriptor in the source */
	GString *out; /* buffered output */
	size_t out_sent_bytes; /* bytes of `out` that the kernel has accepted */
	GBytes *body; /* sent after `out`; NULL: none */
	size_t body_sent_bytes; /* bytes of `body` that the kernel has accepted */
	uint64_t sent_bytes; /* all bytes that it has accepted */
	bool closed_unacknowledged; /* see tcp_has_unacknowledged() */
	const tcp_handler_t *handler;
	void *context;
	bool *finished; /* set to true by tcp_finish() during a callback */
	int fd;
	bool connecting;
	bool reading;
} tcp_t;

/* Time limits after which a silent connection is ended; 0 sets none. And how much the kernel
 * takes.
 */
typedef struct {
	unsigned user_timeout_ms; /* for written data without an acknowledgment */
	int keepalive_idle_s; /* idle time before the first keep-alive probe */
	/* The kernel takes output until it holds this much that is not sent; 0: until
	 * its buffer is full.
	 */
	int kernel_unsent_bytes;
} tcp_options_t;

const char *tcp_end_text(tcp_end_t end);
bool tcp_has_unread(const tcp_t *tcp);
bool tcp_has_unacknowledged(const tcp_t *tcp);
bool tcp_read_unread(tcp_t *tcp);
bool tcp_is_readable(const tcp_t *tcp);
bool tcp_connect(tcp_t *tcp, GSocketAddress *address,
		 const tcp_options_t *options, const tcp_handler_t *handler,
		 void *context);
void tcp_adopt(tcp_t *tcp, int fd, const tcp_options_t *options,
	       const tcp_handler_t *handler, void *context);
void tcp_write(tcp_t *tcp, const char *data, size_t len);
void tcp_write_with_body(tcp_t *tcp, str_t head, GBytes *body);
void tcp_set_silence_limits(tcp_t *tcp, unsigned user_timeout_ms,
			    int keepalive_probes);
void tcp_set_reading(tcp_t *tcp, bool reading);
void tcp_shutdown_write(tcp_t *tcp);
size_t tcp_unsent_bytes(const tcp_t *tcp);
uint64_t tcp_acknowledged_bytes(const tcp_t *tcp);
void tcp_set_reset_at_end(tcp_t *tcp, bool reset);
void tcp_finish(tcp_t *tcp);
void tcp_finish_reset(tcp_t *tcp);

#endif
