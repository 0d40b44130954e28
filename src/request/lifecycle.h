/* State machine of one model request. It does no I/O and reads no clock: the
 * owner feeds it events and executes the actions that it returns, in order.
 */
#ifndef REQUEST_LIFECYCLE_H
#define REQUEST_LIFECYCLE_H

#include <stdint.h>

#include "request/retry.h"
#include "request/verdict.h"

/* Engine number given by the owner, unique within a request; 0: none. */
typedef uint32_t lifecycle_engine_t;

typedef enum {
	LIFECYCLE_QUEUED, /* waits for admission */
	LIFECYCLE_RESERVING, /* waits for decode memory, nothing computed yet */
	LIFECYCLE_PREFILLING,
	LIFECYCLE_IMPORTING,
	LIFECYCLE_DECODING,
	LIFECYCLE_RESUMING, /* waits for memory at another decode engine */
	LIFECYCLE_FINISHED,
} lifecycle_state_t;

typedef enum {
	/* Admission */
	EVENT_ADMITTED,
	EVENT_REFUSED, /* verdict */
	/* Reservation of the given attempt; one of these for each RESERVE */
	EVENT_RESERVED, /* engine */
	EVENT_RESERVE_FAILED, /* verdict.retry_at_us */
	/* Prefill */
	EVENT_PREFILL_SENT, /* engine; before any bytes can have left, and
			       never after ACTION_FINISH */
	EVENT_PREFILL_DONE, /* kept_until_us */
	EVENT_PREFILL_REFUSED, /* not run: full, not connected, no engine;
				  verdict.retry_at_us */
	EVENT_PREFILL_FAILED,
	EVENT_PREFILL_SILENT, /* no answer in time */
	/* Import */
	EVENT_IMPORT_DONE,
	EVENT_IMPORT_GONE, /* the result is no longer retained */
	EVENT_IMPORT_FULL, /* the decode engine's memory is full */
	EVENT_IMPORT_FAILED, /* no answer in time, or the call failed */
	/* Decode stream */
	EVENT_TOKEN, /* offset */
	EVENT_STREAM_FINISHED, /* offset: number of tokens */
	EVENT_STREAM_LOST, /* closed, malformed or silent */
	EVENT_STREAM_REFUSED, /* not connected, or an error status */
	/* Others */
	EVENT_PEER_CANCELLED, /* a peer cancelled this and earlier attempts */
	EVENT_TIMER, /* the time of the last BACK_OFF has come */
	EVENT_CALLER_GONE,
	EVENT_DEADLINE,
	EVENT_SHUTDOWN, /* the process ends before the request can */
} lifecycle_event_kind_t;

typedef struct {
	lifecycle_event_kind_t kind;
	int64_t now_us;
	uint32_t attempt; /* of the call that the event belongs to */
	lifecycle_engine_t engine; /* that answered */
	int64_t offset;
	int64_t kept_until_us;
	verdict_t verdict;
} lifecycle_event_t;

typedef enum {
	ACTION_RESERVE, /* attempt; engine: not this one if possible */
	ACTION_RELEASE, /* engine, attempt of its RESERVE, after_cancel */
	ACTION_START_PREFILL, /* attempt; engine: not this one if possible */
	ACTION_START_IMPORT, /* engine, attempt, source_attempt */
	ACTION_START_DECODE, /* engine, attempt, source_attempt, offset; the
				stream that is open is closed first */
	ACTION_FORWARD, /* the token of the event */
	ACTION_CANCEL, /* engine, attempt */
	ACTION_COUNT_STALE,
	ACTION_BACK_OFF, /* until_us; replaces an earlier timer */
	ACTION_FINISH, /* verdict; the last action but for late answers */
} lifecycle_action_kind_t;

typedef struct {
	lifecycle_action_kind_t kind;
	uint32_t attempt;
	lifecycle_engine_t engine;
	uint32_t source_attempt; /* prefill of an import, import of a decode */
	int64_t offset;
	int64_t until_us;
	bool after_cancel; /* memory may be held until cancel is confirmed */
	verdict_t verdict;
} lifecycle_action_t;

/* Engine calls of one request. More of them cost the fleet more than the
 * answer is worth.
 *
 * Attempt numbers come in blocks of this size, one for each reservation. A
 * reservation has the last number of its block, so that a ledger owner that
 * cancels by the number of the grant covers every call made under it.
 */
#define LIFECYCLE_MAX_ATTEMPTS 16
/* Every engine call can need a cancel; the rest is for the other actions. */
#define LIFECYCLE_MAX_ACTIONS (LIFECYCLE_MAX_ATTEMPTS + 8)

/* An engine that may hold memory for the request. */
typedef struct {
	lifecycle_engine_t engine;
	uint32_t attempt;
	int64_t held_until_us; /* freed by itself then; INT64_MAX: unknown */
} lifecycle_holder_t;

typedef struct {
	int64_t start_by_us; /* latest start that meets the latency target */
	int64_t deadline_us;
	retry_budget_t *budget; /* shared by all requests of the process */
	uint64_t seed; /* for jitter */
} lifecycle_config_t;

typedef struct {
	lifecycle_config_t config;
	lifecycle_state_t state;
	unsigned calls; /* engine calls made */
	uint32_t last_attempt; /* highest number given to an engine call */
	uint32_t attempt; /* call that is waited for, or 0 */
	bool backing_off;

	uint32_t reserve_attempt; /* highest number under the reservation */
	bool reserve_outstanding;
	unsigned reserve_failures; /* since the last success */
	lifecycle_engine_t reserved_engine; /* decode engine, or 0 */
	lifecycle_engine_t avoid_decode_engine;

	uint32_t prefill_attempt; /* whose result is retained, or 0 */
	int64_t kept_until_us;
	unsigned imports_failed; /* of that result */
	unsigned prefills_repeated;
	unsigned prefills_refused;
	lifecycle_engine_t prefill_engine; /* latest that was sent to, or 0 */

	uint32_t import_attempt; /* whose KV cache the decode engine has */
	bool resumed_on_same_engine; /* no token since a resume at the same engine */
	int64_t next_offset; /* first token not forwarded */

	unsigned prefills_maybe_run; /* prefills sent and not refused */
	lifecycle_holder_t holders[LIFECYCLE_MAX_ATTEMPTS];
	size_t n_holders;
	verdict_t verdict; /* FINISHED */
} lifecycle_t;

void lifecycle_init(lifecycle_t *request, const lifecycle_config_t *config);
void lifecycle_step(lifecycle_t *request, const lifecycle_event_t *event,
		    lifecycle_action_t *actions, size_t *n_actions);
int64_t lifecycle_retry_limit_us(const lifecycle_t *request);
const char *lifecycle_state_text(lifecycle_state_t state);

#endif
