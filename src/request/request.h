/* One completion request from its arrival to its end. */
#ifndef REQUEST_REQUEST_H
#define REQUEST_REQUEST_H

#include "connection/engine.h"
#include "connection/reply.h"
#include "process/router.h"
#include "request/completion.h"

typedef struct {
	router_t *router;
	state_t *state; /* version that the request is decided on */
	const customer_t *customer;
	const service_t *service;
	char id[33];
	char trace[56]; /* W3C traceparent, or empty */
	int attempt;
	completion_t completion;
	reply_t reply;
	int64_t accepted_at_us;
	int64_t first_token_at_us;
	int64_t last_token_at_us;
	int64_t deadline_us;
	int64_t max_tokens;
	scheduler_ticket_t *ticket;
	int64_t decode_started_at_us;
	backend_entry_t *prefill;
	backend_entry_t *decode;
	engine_call_t *call; /* in progress */
	char *kv; /* prefill result */
	char *imported_kv; /* at the decode engine */
	int64_t kv_kept_until_us;
	int64_t next_offset; /* first token not yet forwarded */
	GString *text; /* answer that is not streamed */
	bool may_have_run;
} request_t;

void request_start(router_t *router, SoupServerMessage *message, bool chat);
void request_abort(request_t *request, verdict_code_t code);

#endif
