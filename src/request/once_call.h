/* Records an at-most-once call in the platform's table before and after it. */
#ifndef REQUEST_ONCE_CALL_H
#define REQUEST_ONCE_CALL_H

#include "process/platform.h"
#include "request/once.h"

typedef struct once_call once_call_t;

/* All records of a process. */
typedef struct {
	platform_t *platform; /* NULL: there is none, every call is refused */
	clock_source_t clock; /* CLOCK_BOOTTIME */
	GQueue calls; /* of once_call_t in progress */
} once_calls_t;

typedef struct {
	str_t workspace;
	str_t key; /* Idempotency-Key */
	str_t call_hash;
	str_t attempt; /* unique ID of this send */
	int64_t give_up_us;
} once_want_t;

/* ONCE_DISPATCH: the call may be sent, and once_call_end() follows.
 * ONCE_REPLAY and ONCE_ANSWER: it must not be sent; the record is freed. The
 * outcome is valid during the callback.
 */
typedef void (*once_ready_fn_t)(void *context, const once_step_t *step,
				const once_outcome_t *outcome);

void once_calls_init(once_calls_t *calls, platform_t *platform,
		     clock_source_t clock);
void once_calls_finish(once_calls_t *calls);
bool once_calls_are_idle(const once_calls_t *calls);

once_call_t *once_call_start(once_calls_t *calls, const once_want_t *want,
			     once_ready_fn_t ready, void *context);
void once_call_abandon(once_call_t *call);
void once_call_end(once_call_t *call, once_result_t result,
		   const once_outcome_t *outcome);

#endif
