/* A non-blocking TCP connection on the main loop, with buffered output. */
#ifndef CONNECTION_TCP_H
#define CONNECTION_TCP_H

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

#include "process/str.h"

typedef enum {
	TCP_END_NOT_CONNECTED, /* the connection was never established */
	TCP_END_EOF, /* the peer closed it in order */
	TCP_END_RESET, /* reset, or unacknowledged for too long */
} tcp_end_t;

typedef struct {
	void (*on_data)(void *context, const char *data, size_t len);
	/* Once, when the peer or the network ended the connection. */
	void (*on_end)(void *context, tcp_end_t end);
	/* Optional: all output was handed to the kernel. */
	void (*on_output_flushed)(void *context);
} tcp_handler_t;

typedef struct {
	GSource *source; /* NULL: closed */
	gpointer tag; /* of the descriptor in the source */
	GString *out; /* not yet accepted by the kernel */
	size_t out_at; /* bytes of `out` that were sent */
	const tcp_handler_t *handler;
	void *context;
	bool *finished; /* set by tcp_finish() during a callback */
	int fd;
	bool connecting;
	bool reading;
} tcp_t;

/* How long written data may stay unacknowledged, and how soon an idle
 * connection that went silent is found out. Milliseconds; seconds.
 */
typedef struct {
	unsigned user_timeout_ms;
	int keepalive_idle_s;
} tcp_options_t;

bool tcp_connect(tcp_t *tcp, GSocketAddress *address,
		 const tcp_options_t *options, const tcp_handler_t *handler,
		 void *context);
void tcp_adopt(tcp_t *tcp, int fd, const tcp_options_t *options,
	       const tcp_handler_t *handler, void *context);
void tcp_write(tcp_t *tcp, const char *data, size_t len);
void tcp_set_reading(tcp_t *tcp, bool reading);
void tcp_shutdown_write(tcp_t *tcp);
size_t tcp_unsent_bytes(const tcp_t *tcp);
void tcp_finish(tcp_t *tcp);
void tcp_finish_reset(tcp_t *tcp);

#endif
