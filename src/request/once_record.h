/* Keeps the record of an at-most-once call in the platform's table: writes its
 * row before the call is sent, and its outcome afterwards.
 */
#ifndef REQUEST_ONCE_RECORD_H
#define REQUEST_ONCE_RECORD_H

#include "process/platform.h"
#include "request/once.h"

typedef struct once_record once_record_t;

/* All records that the process is writing. */
typedef struct {
	platform_t *platform; /* NULL: no table, so every call is refused */
	clock_source_t clock; /* CLOCK_BOOTTIME */
	GQueue in_progress; /* of once_record_t in progress */
} once_records_t;

/* Arguments of once_record_start(); the texts are copied. */
typedef struct {
	str_t workspace;
	str_t key; /* Idempotency-Key */
	str_t call_hash; /* of once_call_hash() */
	str_t attempt; /* unique ID of this send */
	int64_t give_up_us; /* no table call starts then or later */
} once_params_t;

/* Called with what the owner of a record has to do. ONCE_DISPATCH: send the
 * call, and then call once_record_end(). ONCE_REPLAY, with the outcome, and
 * ONCE_ANSWER: don't send it; the record has been freed. The outcome is valid
 * during the callback.
 */
typedef void (*once_decision_fn_t)(void *context, const once_step_t *step,
				   const once_outcome_t *outcome);

void once_records_init(once_records_t *records, platform_t *platform,
		       clock_source_t clock);
void once_records_finish(once_records_t *records);
bool once_records_are_idle(const once_records_t *records);

once_record_t *once_record_start(once_records_t *records,
				 const once_params_t *params,
				 once_decision_fn_t on_decision, void *context);
void once_record_abandon(once_record_t *record);
void once_record_end(once_record_t *record, once_call_result_t result,
		     const once_outcome_t *outcome);

#endif
