/* A completion request of the `serve` command from its arrival to its end. Its
 * events drive the state machine of lifecycle.h, whose actions are executed by
 * execute.h.
 */
#ifndef REQUEST_REQUEST_H
#define REQUEST_REQUEST_H

#include "connection/engine.h"
#include "connection/reply.h"
#include "process/router.h"
#include "request/completion.h"
#include "request/lifecycle.h"

/* One completion request. It is freed when its lifecycle has finished and the
 * caller has been answered.
 */
typedef struct {
	router_t *router;
	state_t *state; /* configuration version in effect on arrival; owned
			   reference */
	const workspace_t *workspace; /* of the caller's token */
	const service_t *service;
	char id[33]; /* request ID */
	char trace[56]; /* W3C traceparent, or empty */
	completion_t completion;
	reply_t reply;
	int64_t accepted_at_us;
	int64_t first_token_at_us; /* 0: none yet */
	int64_t last_token_at_us; /* sent to the caller */
	int64_t deadline_us;
	int64_t max_tokens; /* output limit of the caller and the service */
	scheduler_ticket_t *ticket; /* place in the admission queue, and the
				       reserved decode memory */

	lifecycle_t lifecycle;
	GArray *events; /* of lifecycle_event_t, raised by actions; handled
			   after the current event */
	bool stepping; /* an event is being handled */
	GPtrArray *engines; /* backend_entry_t; engine number N of the lifecycle
			       is at N - 1 */
	guint deadline_timer;
	guint timer; /* back-off, or the check of the current call */

	engine_call_t *call; /* in progress */
	uint32_t attempt; /* of the call */
	backend_entry_t *engine; /* of the call */
	int64_t call_started_us;
	int64_t call_give_up_us; /* when to stop waiting for a free engine, or
				    for the answer to the call */
	uint32_t import_source; /* attempt of the pending import */
	backend_entry_t *avoid_prefill; /* its prefill failed before, or NULL */
	backend_entry_t *prefill; /* engine that holds the prefill result */
	char *kv; /* handle of the prefill result */
	int64_t kv_kept_until_us; /* the engine may drop the result then */
	int64_t computed_tokens; /* prompt tokens that the prefill computed,
				    without cached ones */
	char *imported_kv; /* handle of the KV cache at the decode engine */
	const engine_token_t *token; /* of the event being handled */
	int64_t last_stream_event_us; /* of the decode stream; 0: none yet */
	int64_t stream_first_offset; /* of the first token that it sends */
	int64_t finish_offset; /* of the event that ends the answer, or -1 */
	char *finish; /* finish reason in that event */
	int64_t sent_tokens;
	GString *text; /* text of an answer that is not streamed */
} request_t;

void request_start(router_t *router, SoupServerMessage *message, bool chat);
void request_abort(request_t *request);
void request_feed(request_t *request, lifecycle_event_t event);
void request_forward_token(request_t *request);

#endif
