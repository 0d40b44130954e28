/* A caller's connection and the exchange on it; for ingress.c and exchange.c. */
#ifndef CONNECTION_INGRESS_CONNECTION_H
#define CONNECTION_INGRESS_CONNECTION_H

#include "connection/http_message.h"
#include "connection/ingress.h"
#include "connection/tcp.h"
#include "process/alarm.h"

typedef enum {
	CONNECTION_READING, /* between requests, or in one */
	CONNECTION_ANSWERING,
	CONNECTION_LINGERING, /* only waits for the caller's close */
} connection_state_t;

typedef struct ingress_connection ingress_connection_t;

struct exchange {
	ingress_connection_t *connection;
	GString *body;
	void *context;
	int64_t arrived_us;
	bool streaming;
};

struct ingress_connection {
	ingress_t *ingress;
	GList *link; /* in ingress->connections */
	tcp_t tcp;
	http_message_t message;
	GString *ahead; /* bytes after the request in progress */
	connection_state_t state;
	exchange_t exchange;
	alarm_t alarm; /* head, body, idle or linger deadline */
	unsigned reject; /* status for the request that is being read */
	bool keep; /* the caller wants to go on after the response */
	bool feeding; /* requests are being taken from `ahead` */
	bool destroyed; /* while feeding */
};

void ingress_connection_await_request(ingress_connection_t *connection);
void ingress_connection_linger(ingress_connection_t *connection);
void ingress_connection_close(ingress_connection_t *connection);
void ingress_append_text_response(GString *out, unsigned status,
				  int64_t retry_after_us, const char *text,
				  bool keep);

#endif
