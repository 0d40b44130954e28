/* One completion request from its arrival to its end. */
#ifndef REQUEST_REQUEST_H
#define REQUEST_REQUEST_H

#include "connection/engine.h"
#include "connection/reply.h"
#include "process/router.h"
#include "request/completion.h"
#include "request/lifecycle.h"

typedef struct {
	router_t *router;
	state_t *state; /* version that the request is decided on */
	const workspace_t *workspace;
	const service_t *service;
	char id[33];
	char trace[56]; /* W3C traceparent, or empty */
	completion_t completion;
	reply_t reply;
	int64_t accepted_at_us;
	int64_t first_token_at_us;
	int64_t last_token_at_us;
	int64_t deadline_us;
	int64_t max_tokens;
	scheduler_ticket_t *ticket;

	lifecycle_t lifecycle;
	GArray *events; /* of lifecycle_event_t, to be fed after this one */
	bool stepping; /* inside lifecycle_step() or its actions */
	GPtrArray *engines; /* backend_entry_t by engine number, from 1 */
	guint deadline_timer;
	guint timer; /* back-off, or the watch over the current call */

	engine_call_t *call; /* in progress */
	uint32_t attempt; /* of the call */
	backend_entry_t *engine; /* of the call */
	int64_t call_started_us;
	int64_t call_give_up_us; /* when the call counts as silent */
	uint32_t import_source; /* attempt of the import that waits */
	backend_entry_t *avoid_prefill; /* failed before, or NULL */
	backend_entry_t *prefill; /* that holds the result */
	char *kv; /* prefill result */
	int64_t kv_kept_until_us;
	int64_t computed_tokens; /* by the prefill of that result */
	char *imported_kv; /* at the decode engine */
	const engine_token_t *token; /* of the event being fed */
	int64_t last_stream_event_us; /* last event of the stream; 0: none */
	int64_t stream_first_offset; /* first offset of the stream */
	int64_t finish_offset; /* of the event that ends the answer, or -1 */
	char *finish; /* reason in that event */
	int64_t sent_tokens;
	GString *text; /* answer that is not streamed */
} request_t;

void request_start(router_t *router, SoupServerMessage *message, bool chat);
void request_abort(request_t *request);
void request_feed(request_t *request, lifecycle_event_t event);
void request_forward_token(request_t *request);

#endif
