/* HTTP server built on libsoup. Enforces limits on size and time, and passes
 * complete requests to its owner.
 */
#ifndef CONNECTION_LISTENER_H
#define CONNECTION_LISTENER_H

#include <libsoup/soup.h>

#include "process/str.h"
#include "request/verdict.h"

/* Called with a request whose body is complete. The path is borrowed. */
typedef void (*listener_request_fn_t)(void *context, SoupServerMessage *message,
				      str_t path);

/* What clients may send, and how long they may take. */
typedef struct {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int64_t receive_timeout_us; /* from the first byte to the last */
} listener_limits_t;

/* A server on one address. */
typedef struct {
	SoupServer *server; /* NULL: not listening */
	listener_limits_t limits;
	listener_request_fn_t on_request;
	void *context;
	unsigned open_requests; /* received, but not answered completely */
	GQueue receiving; /* of a private type: on open connections, requests
			     that are being received or have yet to come */
} listener_t;

bool listener_init(listener_t *listener, const char *address,
		   const listener_limits_t *limits,
		   listener_request_fn_t on_request, void *context,
		   GError **error);
void listener_finish(listener_t *listener);
bool listener_stop(listener_t *listener);
unsigned listener_open_requests(const listener_t *listener);
bool listener_has_unread(const listener_t *listener);
char *listener_address(listener_t *listener);
void listener_respond(SoupServerMessage *message, unsigned status,
		      const char *content_type, str_t body);
void listener_refuse(SoupServerMessage *message, const verdict_t *verdict,
		     int64_t now_us);

#endif
