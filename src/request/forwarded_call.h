/* One call to a plain service, forwarded as a whole. */
#ifndef REQUEST_FORWARDED_CALL_H
#define REQUEST_FORWARDED_CALL_H

#include "connection/reply.h"
#include "process/router.h"
#include "request/once_record.h"
#include "request/plain_lifecycle.h"

typedef struct {
	router_t *router;
	state_t *state;
	const workspace_t *workspace;
	const service_t *service;
	const route_rule_t *rule;
	char id[33];
	int64_t accepted_at_us;
	reply_t reply;
	bool limited; /* counts against the workspace's limits */

	/* The call as it is sent to a backend server. */
	char *method;
	char *target; /* path and query */
	char *content_type; /* may be NULL */
	SoupMessageHeaders *headers;
	GBytes *body;

	char *key; /* Idempotency-Key of an unrepeatable call, or NULL */
	once_record_t *once; /* record in the table; NULL without a key */
	once_outcome_t outcome; /* to be stored in that record */

	plain_lifecycle_t plain;
	backend_entry_t *backend; /* of the current send */
	client_call_t *http; /* in progress */
	const client_response_t *response; /* of the event being fed */
	guint timer; /* back-off */
	guint deadline_timer;
} forwarded_call_t;

void forwarded_call_start(router_t *router, SoupServerMessage *message,
			  str_t path);
void forwarded_call_abort(forwarded_call_t *call);

#endif
