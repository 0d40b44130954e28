/* HTTP calls to backend servers and the platform over kept connections.
 *
 * A call is sent once. Whether it may be sent again is up to the caller, who
 * learns from call_end_t what may have happened to it.
 */
#ifndef CONNECTION_HTTP_POOL_H
#define CONNECTION_HTTP_POOL_H

#include "connection/http_head.h"
#include "process/clock.h"

typedef enum {
	CALL_ANSWERED, /* a whole response arrived */
	CALL_NOT_SENT, /* no connection could be made */
	CALL_LOST, /* sent, and the connection ended before the response did */
	CALL_MALFORMED, /* sent, and what came back is not HTTP */
} call_end_t;

typedef struct {
	/* The head of the response; borrowed. Optional. */
	void (*on_head)(void *context, const http_head_t *head);
	void (*on_body)(void *context, const char *data, size_t len);
	/* Once, unless the call is cancelled; the call no longer exists. */
	void (*on_end)(void *context, call_end_t end);
} call_handler_t;

typedef struct http_call http_call_t;

typedef struct {
	clock_source_t clock;
	unsigned user_timeout_ms; /* unacknowledged data ends a connection */
	int64_t connect_timeout_us; /* a new connection is given up */
	uint64_t connections_opened; /* connections made */
	uint64_t stale_responses; /* responses to other requests, skipped */
	GHashTable *hosts; /* "IP:port" to http_host_t */
} http_pool_t;

typedef struct {
	const char *address; /* IP:port */
	const GString *message; /* head and body; copied */
	bool fresh; /* on a connection of its own */
	bool is_head; /* a HEAD request: the response has no body */
	/* When set, a response with another X-Request-Id is skipped. */
	const char *id_header; /* lower case; NULL: responses have no ID */
	str_t id; /* copied */
	const call_handler_t *handler;
	void *context;
} http_call_options_t;

void http_pool_init(http_pool_t *pool, clock_source_t clock,
		    unsigned user_timeout_ms, int64_t connect_timeout_us);
void http_pool_finish(http_pool_t *pool);
http_call_t *http_pool_call(http_pool_t *pool,
			    const http_call_options_t *options);
void http_call_cancel(http_call_t *call);
bool http_call_is_connected(const http_call_t *call);
void http_pool_close_idle(http_pool_t *pool, const char *address);
unsigned http_pool_connections(const http_pool_t *pool, const char *address);

#endif
