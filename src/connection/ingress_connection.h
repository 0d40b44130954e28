/* A caller's connection and the exchange on it, shared by ingress.c,
 * ingress_read.c and exchange.c only.
 */
#ifndef CONNECTION_INGRESS_CONNECTION_H
#define CONNECTION_INGRESS_CONNECTION_H

#include "connection/http_message.h"
#include "connection/ingress.h"
#include "connection/request_body.h"
#include "connection/tcp.h"
#include "process/alarm.h"

/* What a connection waits for. */
typedef enum {
	CONNECTION_READING, /* for a request or the rest of one */
	CONNECTION_ANSWERING, /* for the response to a request */
	CONNECTION_LINGERING, /* only for the caller to close it */
} connection_state_t;

typedef struct ingress_connection ingress_connection_t;

/* The exchange of a connection; in use while the connection is answering. */
struct exchange {
	ingress_connection_t *connection;
	GBytes *body; /* of the request */
	void *context; /* of the handler, see exchange_set_context() */
	int64_t arrived_us; /* when the request was complete */
};

/* A connection from a caller. */
struct ingress_connection {
	ingress_t *ingress;
	GList *link; /* in ingress->connections */
	tcp_t tcp;
	http_message_t message;
	GString *unparsed; /* received, not yet parsed */
	request_body_t
		body; /* of the request; holds its bytes while it is read */
	connection_state_t state;
	exchange_t exchange;
	/* Deadline of the head, body, idle or linger time. Also begins the next
	 * request if it has been received already.
	 */
	alarm_t alarm;
	bool alarm_put_off; /* once, as bytes had arrived that were not read */
	/* Checks that the caller reads; set while output is unsent. */
	alarm_t output_alarm;
	/* What the caller had acknowledged at the last check, and since when it has not
	 * acknowledged more.
	 */
	uint64_t acknowledged_bytes;
	int64_t stalled_since_us;
	unsigned reject_status; /* for the request being read; 0: accepted */
	bool keep_alive; /* the request lets the connection stay open */
	bool takes_chunks; /* see http_head_t */
	bool parsing; /* the parser runs, so it must not be freed */
	bool close_pending; /* closed while parsing; freed after it */
};

extern const http_message_handler_t ingress_message_handler;

void ingress_connection_await_part(ingress_connection_t *connection,
				   int64_t timeout_us);
void ingress_connection_reject(ingress_connection_t *connection,
			       unsigned status);
void ingress_connection_await_request(ingress_connection_t *connection);
void ingress_connection_read_on(ingress_connection_t *connection);
void ingress_connection_watch_output(ingress_connection_t *connection);
void ingress_connection_linger(ingress_connection_t *connection);
void ingress_connection_close(ingress_connection_t *connection);
void ingress_append_text_response(GString *out, unsigned status,
				  int64_t retry_after_us, const char *lines,
				  const char *text, bool keep_alive,
				  bool has_body);
bool ingress_connection_is_head(const ingress_connection_t *connection);

#endif
