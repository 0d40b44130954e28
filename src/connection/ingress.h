/* HTTP/1.1 server for callers: reads requests from connections that are kept
 * open, one request at a time on each, and writes their responses.
 */
#ifndef CONNECTION_INGRESS_H
#define CONNECTION_INGRESS_H

#include "connection/http_head.h"
#include "process/clock.h"
#include "process/memory_budget.h"

/* One request and its response. It exists from on_request until its response is
 * complete (exchange_reply(), exchange_reply_text() or exchange_end_stream()),
 * exchange_abort() is called or on_gone returns.
 */
typedef struct exchange exchange_t;

/* Text of the answer to a request for whose body there is no room. */
#define INGRESS_NO_ROOM_REASON "no memory for the body"

/* What callers may send, and how long they may take. */
typedef struct {
	int64_t max_head_bytes;
	int64_t max_body_bytes;
	int64_t head_timeout_us; /* from its first byte to its end */
	int64_t idle_timeout_us; /* between requests, and for a body */
} ingress_limits_t;

/* What an ingress calls for its requests. */
typedef struct {
	/* A complete request was received. */
	void (*on_request)(void *context, exchange_t *exchange);
	/* The caller has closed its connection before the response was
	 * complete. The exchange no longer exists after the return.
	 */
	void (*on_gone)(void *context, exchange_t *exchange);
	/* Optional. The caller has read, and exchange_is_behind() is false; also
	 * called when it was false before.
	 */
	void (*on_caught_up)(void *context, exchange_t *exchange);
	/* Optional. A request was answered with 503 before its body was read, as
	 * there is no room for it. Of the exchange only the head is known.
	 */
	void (*on_no_room)(void *context, const exchange_t *exchange,
			   int64_t retry_after_us);
} ingress_handler_t;

/* A listening socket and the connections accepted on it. */
typedef struct {
	clock_source_t clock;
	ingress_limits_t limits;
	const ingress_handler_t *handler;
	void *context;
	GSource *source; /* of the listening socket; NULL: not listening */
	int fd; /* the listening socket */
	GQueue connections; /* of ingress_connection_t */
	unsigned active; /* exchanges in progress */
	bool closing; /* every response tells the caller to close */
	bool from_peers; /* the callers are other VMs; set by the owner */
	/* Header lines of a refusal to read a request, with their ends; set by the owner. NULL:
	 * none.
	 */
	const char *refusal_lines;
	/* Bodies of requests count there until their exchanges have ended; borrowed, set by the
	 * owner before any request; NULL: they count nowhere.
	 */
	memory_budget_t *bodies;
} ingress_t;

bool ingress_init(ingress_t *ingress, const char *address, clock_source_t clock,
		  const ingress_limits_t *limits,
		  const ingress_handler_t *handler, void *context);
void ingress_finish(ingress_t *ingress);
void ingress_set_limits(ingress_t *ingress, const ingress_limits_t *limits);
void ingress_set_closing(ingress_t *ingress);
void ingress_close_idle(ingress_t *ingress);
bool ingress_has_unread(const ingress_t *ingress);
bool ingress_is_sending(const ingress_t *ingress);
void ingress_visit_exchanges(ingress_t *ingress,
			     void (*visit)(void *context, exchange_t *exchange),
			     void *context);

const http_head_t *exchange_head(const exchange_t *exchange);
str_t exchange_body(const exchange_t *exchange);
GBytes *exchange_shared_body(const exchange_t *exchange);
int64_t exchange_arrived_us(const exchange_t *exchange);
bool exchange_is_from_peer(const exchange_t *exchange);
char *exchange_caller_address(const exchange_t *exchange);
void exchange_set_context(exchange_t *exchange, void *context);
void *exchange_context(const exchange_t *exchange);

void exchange_reply(exchange_t *exchange, unsigned status,
		    const http_headers_t *headers, str_t body);
void exchange_reply_shared(exchange_t *exchange, unsigned status,
			   const http_headers_t *headers, GBytes *body);
void exchange_reply_text(exchange_t *exchange, unsigned status,
			 int64_t retry_after_us, const char *text);
void exchange_reply_lines(exchange_t *exchange, unsigned status,
			  int64_t retry_after_us, const char *lines,
			  const char *text);
void exchange_start_stream(exchange_t *exchange, unsigned status,
			   const http_headers_t *headers);
void exchange_write(exchange_t *exchange, const char *data, size_t len);
bool exchange_is_behind(const exchange_t *exchange);
void exchange_end_stream(exchange_t *exchange);
void exchange_abort(exchange_t *exchange);

#endif
