/* Actions of the state machine of a model request, with the changes of its
 * state that go with them. Only for lifecycle.c.
 */
#ifndef REQUEST_LIFECYCLE_ACT_H
#define REQUEST_LIFECYCLE_ACT_H

#include "request/lifecycle.h"

/* One call of lifecycle_step(): its arguments, and the actions so far. */
typedef struct {
	lifecycle_t *request;
	const lifecycle_event_t *event;
	lifecycle_action_t *actions;
	size_t n; /* of the actions */
} step_t;

extern const retry_backoff_t act_backoff;

void act_emit(step_t *step, lifecycle_action_t action);
void act_count_stale(step_t *step);
void act_cancel(step_t *step, lifecycle_engine_t engine, uint32_t attempt);
void act_add_holder(lifecycle_t *request, lifecycle_engine_t engine,
		    uint32_t attempt);
void act_remove_holder(lifecycle_t *request, uint32_t attempt);
bool act_cancel_holders(step_t *step, lifecycle_engine_t engine);
void act_release_reservation(step_t *step, bool after_cancel);
void act_finish(step_t *step, verdict_t verdict);
run_status_t act_run_status(const lifecycle_t *request);
void act_fail(step_t *step, verdict_code_t code, const char *detail);
void act_back_off_until(step_t *step, int64_t until_us);
void act_reserve(step_t *step);
void act_start_prefill(step_t *step);
void act_repeat_prefill(step_t *step, verdict_code_t code);
void act_start_import(step_t *step);
void act_start_decode(step_t *step);
void act_change_decode_engine(step_t *step, verdict_code_t code,
			      const char *detail);
void act_resume_stream(step_t *step);

#endif
