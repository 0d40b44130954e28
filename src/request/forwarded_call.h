/* A call to a plain service that the `serve` command forwards to a backend
 * server; plain_call.h does the same for the `entry` command. The request and
 * the response are each held whole. The state machine of plain_lifecycle.h
 * decides when to send, when to retry and when to answer.
 */
#ifndef REQUEST_FORWARDED_CALL_H
#define REQUEST_FORWARDED_CALL_H

#include "connection/reply.h"
#include "process/router.h"
#include "request/once_record.h"
#include "request/plain_lifecycle.h"

/* One call. It is freed when its lifecycle has finished. */
typedef struct {
	router_t *router;
	state_t *state; /* configuration version in effect on arrival; owned
			   reference */
	const workspace_t *workspace; /* of the caller's token */
	const service_t *service;
	const route_rule_t *rule; /* of the service, for this method and path */
	char id[33]; /* request ID */
	int64_t accepted_at_us;
	reply_t reply;
	bool counted; /* among the workspace's calls in progress */

	/* The call as it is sent to a backend server. */
	char *method;
	char *target; /* path and query */
	char *content_type; /* may be NULL */
	SoupMessageHeaders *headers;
	GBytes *body;

	/* Idempotency-Key of a call that is not repeatable, or NULL */
	char *idempotency_key;
	once_record_t *once; /* at-most-once record in the platform's table;
			      NULL: none, or closed */
	once_outcome_t outcome; /* response to store in that record */

	plain_lifecycle_t lifecycle;
	backend_entry_t *backend; /* of the latest send; NULL: none was found */
	client_call_t *http_call; /* in progress, or NULL */
	const client_response_t *response; /* of the event being handled */
	guint timer; /* back-off, or the report of a send that failed at once */
	guint deadline_timer;
} forwarded_call_t;

void forwarded_call_start(router_t *router, SoupServerMessage *message,
			  str_t path);
void forwarded_call_abort(forwarded_call_t *call);

#endif
