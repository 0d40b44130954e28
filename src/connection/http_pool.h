/* HTTP calls to backend servers and the platform over connections that are
 * kept open and used again.
 *
 * A call is a request and its response. It is sent once. Whether to send it
 * again is up to the user of the pool, who learns from call_end_t whether it
 * may have run.
 */
#ifndef CONNECTION_HTTP_POOL_H
#define CONNECTION_HTTP_POOL_H

#include "connection/http_head.h"
#include "process/clock.h"
#include "process/memory_budget.h"

/* How a call ended. */
typedef enum {
	CALL_ANSWERED, /* a complete response arrived */
	CALL_NOT_SENT, /* no connection could be established */
	CALL_LOST, /* sent, but the connection ended before the response did */
	CALL_MALFORMED, /* sent, but the response is not valid HTTP */
} call_end_t;

/* Returns the name of a way to end, for log lines. */
const char *call_end_text(call_end_t end);

/* What is called while a response arrives. */
typedef struct {
	/* The head of the response, valid during the callback. Optional. */
	void (*on_head)(void *context, const http_head_t *head);
	/* A piece of the body, valid during the callback. */
	void (*on_body)(void *context, const char *data, size_t len);
	/* Called once, unless the call is cancelled. The call no longer exists
	 * by then.
	 */
	void (*on_end)(void *context, call_end_t end);
} call_handler_t;

/* A call in progress. It belongs to the pool and exists until on_end is called
 * or http_call_cancel() returns.
 */
typedef struct http_call http_call_t;

/* What the connection of a call has carried, for log lines. */
typedef struct {
	uint64_t connection; /* its number, counted from the start of the pool */
	unsigned earlier_calls; /* that it has carried before this one */
} http_call_trace_t;

/* The connections of one user, by address. */
typedef struct {
	clock_source_t clock;
	unsigned user_timeout_ms; /* for which a link may pass nothing */
	int64_t connect_timeout_us; /* for a connection to open; 0: none */
	/* Name of the header field in which servers repeat the ID of a request, in
	 * lower case; NULL: they do not. Set by the owner. A call without an ID
	 * takes no answer that has one.
	 */
	const char *id_header;
	/* Heads of responses count there, but for small ones; borrowed, set by the owner; NULL:
	 * they count nowhere. A call whose head finds no room ends as malformed.
	 */
	memory_budget_t *heads;
	uint64_t connections_opened; /* since the start */
	uint64_t stale_responses; /* skipped: they were to other requests */
	GHashTable *hosts; /* "IP:port" to http_host_t */
} http_pool_t;

/* What to send, and whom to tell about the response. */
typedef struct {
	const char *address; /* IP:port */
	const GString *message; /* head and body of the request; copied */
	GBytes *body; /* sent after `message`; shared, not copied; may be NULL */
	bool new_connection; /* don't use one that is open already */
	bool is_head; /* the method is HEAD: the response has no body */
	/* A link that passes nothing does not end the call before this time; 0: the
	 * pool's user timeout holds.
	 */
	int64_t keep_until_us;
	/* The call ends as malformed when its response has a larger body; 0: any
	 * size is allowed.
	 */
	size_t max_body_bytes;
	/* Name of the header field in which a response repeats the ID of its
	 * request, in lower case and valid for the time of the call. A response
	 * with another ID is skipped. NULL: the request has no ID.
	 */
	const char *id_header;
	/* Of this request; copied. If it is empty although there is such a field, the request uses
	 * a new connection.
	 */
	str_t id;
	const call_handler_t *handler;
	void *context;
} http_call_options_t;

void http_pool_init(http_pool_t *pool, clock_source_t clock,
		    unsigned user_timeout_ms, int64_t connect_timeout_us);
void http_pool_finish(http_pool_t *pool);
http_call_t *http_pool_call(http_pool_t *pool,
			    const http_call_options_t *options);
void http_call_cancel(http_call_t *call);
void http_call_reject(http_call_t *call);
void http_call_set_reading(http_call_t *call, bool reading);
bool http_call_is_own_response(const http_call_t *call);
http_call_trace_t http_call_trace(const http_call_t *call);
bool http_call_is_connected(const http_call_t *call);
void http_pool_close_idle(http_pool_t *pool, const char *address);
unsigned http_pool_connections(const http_pool_t *pool, const char *address);

#endif
