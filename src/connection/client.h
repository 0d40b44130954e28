/* HTTP client for engines, plain services and the platform. */
#ifndef CONNECTION_CLIENT_H
#define CONNECTION_CLIENT_H

#include <libsoup/soup.h>

#include "connection/http_pool.h"
#include "process/clock.h"
#include "process/str.h"

typedef enum {
	CLIENT_ANSWERED, /* a whole response arrived, of any status */
	CLIENT_NOT_SENT, /* no byte of the request left this process */
	CLIENT_LOST, /* sent, and the connection failed */
	CLIENT_TIMED_OUT, /* sent, and the deadline or idle limit passed */
} client_outcome_t;

typedef struct {
	client_outcome_t outcome;
	unsigned status; /* 0 without a response head */
	SoupMessageHeaders *headers; /* valid during the callback, or NULL */
	GBytes *body; /* valid during the callback, or NULL */
} client_response_t;

typedef void (*client_done_fn_t)(void *context,
				 const client_response_t *response);
typedef void (*client_data_fn_t)(void *context, const char *data, size_t len);

typedef struct {
	http_pool_t pool;
	GPtrArray *calls; /* of client_call_t, in progress */
	clock_source_t clock;
} client_t;

typedef struct client_call client_call_t;

typedef struct {
	const char *method;
	str_t address; /* IP:port */
	const char *path;
	SoupMessageHeaders *headers; /* copied; may be NULL */
	const char *content_type; /* may be NULL without a body */
	GBytes *body; /* may be NULL */
	bool new_connection; /* of its own, closed after the response */
	int64_t deadline_us; /* of the whole call */
	int64_t idle_limit_us; /* longest silence of a stream; 0: none */
	client_data_fn_t on_data; /* streams the body of a 200 response */
	client_done_fn_t on_done; /* exactly once, unless aborted */
	void *context;
} client_request_t;

void client_init(client_t *client, clock_source_t clock);
void client_finish(client_t *client);
client_call_t *client_send(client_t *client, const client_request_t *request);
void client_cancel(client_call_t *call);

#endif
