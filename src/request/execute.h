/* Carries out the actions of a request's state machine: makes the engine calls,
 * and passes their results to the state machine as events.
 */
#ifndef REQUEST_EXECUTE_H
#define REQUEST_EXECUTE_H

#include "request/request.h"

/* An engine that leaves a load poll (sent every 250 ms) unanswered for longer is
 * probably down, or silent for a while.
 */
#define EXECUTE_POLL_MISSED_US (300 * CLOCK_US_PER_MS)

int64_t execute_now(const request_t *request);
lifecycle_engine_t execute_engine_number(request_t *request,
					 backend_entry_t *entry);
backend_entry_t *execute_engine_by_number(const request_t *request,
					  lifecycle_engine_t number);
engine_attempt_t execute_attempt_id(const request_t *request);
lifecycle_event_t execute_make_event(request_t *request,
				     lifecycle_event_kind_t kind);
void execute_stop_timer(request_t *request);
void execute_abort_call(request_t *request);
void execute_begin_call(request_t *request, backend_entry_t *engine,
			uint32_t attempt);
bool execute_is_pool_silent(const request_t *request);
void execute_count_wasted_prefill(request_t *request);
void execute_log_call(const request_t *request, const char *call,
		      engine_status_t status);
void execute_action(request_t *request, const lifecycle_action_t *action);
void execute_on_reserved(void *context, uint32_t attempt,
			 backend_entry_t *engine, int64_t retry_at_us);
void execute_prefill(request_t *request, const lifecycle_action_t *action);
void execute_import(request_t *request, const lifecycle_action_t *action);
void execute_decode(request_t *request, const lifecycle_action_t *action);

#endif
