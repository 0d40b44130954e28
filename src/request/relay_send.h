/* One send of a caller's request to a backend server, and the response. */
#ifndef REQUEST_RELAY_SEND_H
#define REQUEST_RELAY_SEND_H

#include "request/outcome.h"
#include "request/relay.h"

/* A send of a request to one backend server and its response. The same object
 * is used for the next send.
 */
typedef struct {
	relay_t *relay;
	server_t *server; /* owns a reference; NULL: none in progress */
	relay_request_t *request; /* outlives the send */
	http_call_t *call; /* NULL when it has ended */
	int64_t sent_us;
	int64_t read_again_us; /* when it was read again last; 0: never */
	bool paused; /* it is not read, as its caller is behind */
	unsigned status; /* of the response; 0: none has arrived */
	bool body_until_close; /* see http_head_t */
	response_fields_t fields;
	http_headers_t headers; /* of the response, as the caller gets them */
	bool waits_for_deadline; /* a silent link does not end the send sooner, as that
				    would help nobody; set by the owner */
	bool for_peer; /* the caller is another VM */
	bool is_own; /* the response can be to no earlier request */
	http_call_trace_t trace; /* of the connection, once a head has come */
	kept_buffer_t body; /* of a response that is kept until it is complete */
	answer_wait_t wait; /* of that response, for room */
} relay_send_t;

void relay_send_init(relay_send_t *send, relay_t *relay);
void relay_send_finish(relay_send_t *send);
bool relay_send_start(relay_send_t *send, relay_request_t *request,
		      server_t *server, const forward_fields_t *fields,
		      const call_handler_t *handler, void *context);
void relay_send_read_head(relay_send_t *send, const http_head_t *head);
void relay_send_keep(relay_send_t *send, const char *data, size_t len);
void relay_send_pause(relay_send_t *send);
void relay_send_read_again(relay_send_t *send);
void relay_send_release(relay_send_t *send);
void relay_send_cancel(relay_send_t *send);
outcome_t relay_send_record_outcome(relay_send_t *send, call_end_t end,
				    bool timed_out, bool repeatable);

#endif
