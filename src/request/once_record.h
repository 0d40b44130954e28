/* Records an at-most-once call in the platform's table before and after it. */
#ifndef REQUEST_ONCE_CALL_H
#define REQUEST_ONCE_CALL_H

#include "process/platform.h"
#include "request/once.h"

typedef struct once_record once_record_t;

/* All records of a process. */
typedef struct {
	platform_t *platform; /* NULL: there is none, every call is refused */
	clock_source_t clock; /* CLOCK_BOOTTIME */
	GQueue calls; /* of once_record_t in progress */
} once_records_t;

typedef struct {
	str_t workspace;
	str_t key; /* Idempotency-Key */
	str_t call_hash;
	str_t attempt; /* unique ID of this send */
	int64_t give_up_us;
} once_params_t;

/* ONCE_DISPATCH: the call may be sent, and once_record_end() follows.
 * ONCE_REPLAY and ONCE_ANSWER: it must not be sent; the record is freed. The
 * outcome is valid during the callback.
 */
typedef void (*once_decision_fn_t)(void *context, const once_step_t *step,
				   const once_outcome_t *outcome);

void once_records_init(once_records_t *calls, platform_t *platform,
		       clock_source_t clock);
void once_records_finish(once_records_t *calls);
bool once_records_are_idle(const once_records_t *calls);

once_record_t *once_record_start(once_records_t *calls,
				 const once_params_t *want,
				 once_decision_fn_t ready, void *context);
void once_record_abandon(once_record_t *call);
void once_record_end(once_record_t *call, once_call_result_t result,
		     const once_outcome_t *outcome);

#endif
