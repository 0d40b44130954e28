/* State machine of one model request. It does no I/O and reads no clock: the
 * caller passes it events with their time, and carries out the actions that it
 * returns, in order.
 */
#ifndef REQUEST_LIFECYCLE_H
#define REQUEST_LIFECYCLE_H

#include <stdint.h>

#include "request/retry.h"
#include "request/verdict.h"

/* Number that the caller gives to an engine, unique within a request; 0: none.
 */
typedef uint32_t lifecycle_engine_t;

typedef enum {
	LIFECYCLE_QUEUED, /* waits for admission */
	LIFECYCLE_RESERVING, /* waits for decode memory, nothing computed yet */
	LIFECYCLE_PREFILLING, /* a prefill engine computes the prompt */
	LIFECYCLE_IMPORTING, /* a decode engine fetches the KV cache */
	LIFECYCLE_DECODING, /* a decode engine streams tokens */
	LIFECYCLE_RESUMING, /* waits for memory at another decode engine */
	LIFECYCLE_FINISHED,
} lifecycle_state_t;

/* Kinds of events. A comment names the fields of lifecycle_event_t that are set
 * beside kind and now_us; events of engine calls also have the attempt.
 */
typedef enum {
	/* Admission */
	EVENT_ADMITTED,
	EVENT_REFUSED, /* verdict */
	/* Answer to ACTION_RESERVE, exactly one for each; attempt */
	EVENT_RESERVED, /* engine */
	EVENT_RESERVE_FAILED, /* verdict.retry_at_us */
	/* Prefill */
	EVENT_PREFILL_SENT, /* engine; comes before any bytes are sent, and
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
	EVENT_TIMER, /* the time of the last ACTION_BACK_OFF has come */
	EVENT_CALLER_GONE,
	EVENT_DEADLINE,
	EVENT_SHUTDOWN, /* the process ends before the request can */
} lifecycle_event_kind_t;

/* All times are CLOCK_BOOTTIME. */
typedef struct {
	lifecycle_event_kind_t kind;
	int64_t now_us;
	uint32_t attempt; /* of the call that the event belongs to */
	lifecycle_engine_t engine; /* that answered */
	int64_t offset; /* of a token in the answer, from 0 */
	int64_t kept_until_us; /* the engine retains the prefill result */
	verdict_t verdict;
} lifecycle_event_t;

/* Kinds of actions, with the fields of lifecycle_action_t that are set. */
typedef enum {
	ACTION_RESERVE, /* attempt; engine: not this one if possible */
	ACTION_RELEASE, /* engine, attempt of its RESERVE, after_cancel */
	ACTION_START_PREFILL, /* attempt; engine: not this one if possible */
	ACTION_START_IMPORT, /* engine, attempt, source_attempt */
	ACTION_START_DECODE, /* engine, attempt, source_attempt, offset; a
				stream that is open is closed first */
	ACTION_FORWARD, /* offset; sends the event's token to the caller */
	ACTION_CANCEL, /* engine, attempt */
	ACTION_COUNT_STALE, /* an event came too late or twice */
	ACTION_BACK_OFF, /* until_us; replaces an earlier timer */
	ACTION_FINISH, /* verdict; only late answers lead to actions after it */
} lifecycle_action_kind_t;

typedef struct {
	lifecycle_action_kind_t kind;
	uint32_t attempt;
	lifecycle_engine_t engine;
	uint32_t source_attempt; /* the prefill that an import fetches from, or
				  * the import that a decode builds on
				  */
	int64_t offset;
	int64_t until_us;
	bool after_cancel; /* memory may be held until the engine confirms */
	verdict_t verdict;
} lifecycle_action_t;

/* Most engine calls of one request. More of them cost the engines more than the
 * answer is worth.
 *
 * Attempts are numbered in blocks of this size, one block for each reservation.
 * A reservation has the last number of its block. A cancel covers its attempt
 * and all earlier ones, so a ledger owner that cancels by the attempt of the
 * grant covers every call made under it.
 */
#define LIFECYCLE_MAX_ATTEMPTS 16
/* Most actions of one step: a cancel for every engine call, and the others. */
#define LIFECYCLE_MAX_ACTIONS (LIFECYCLE_MAX_ATTEMPTS + 8)

/* An engine that may hold memory for the request. */
typedef struct {
	lifecycle_engine_t engine;
	uint32_t attempt;
	int64_t held_until_us; /* freed by then; INT64_MAX: unknown */
} lifecycle_holder_t;

/* What the state machine needs to know of a request. */
typedef struct {
	int64_t start_by_us; /* latest start that meets the latency target */
	int64_t deadline_us;
	retry_budget_t *budget; /* shared by all requests of the process */
	uint64_t seed; /* for the jitter of retry times */
} lifecycle_config_t;

/* State of one request. Only lifecycle.c and lifecycle_act.c change it. */
typedef struct {
	lifecycle_config_t config;
	lifecycle_state_t state;
	unsigned calls; /* engine calls made */
	uint32_t last_attempt; /* highest number given to an engine call */
	uint32_t attempt; /* engine call that is waited for, or 0 */
	bool backing_off; /* EVENT_TIMER is waited for */

	uint32_t reserve_attempt; /* last number of the reservation's block */
	bool reserve_outstanding; /* ACTION_RESERVE has no answer yet */
	unsigned reserve_failures; /* since the last reservation */
	lifecycle_engine_t reserved_engine; /* decode engine, or 0 */
	lifecycle_engine_t avoid_decode_engine; /* released last, or 0 */

	uint32_t prefill_attempt; /* whose result is retained, or 0 */
	int64_t kept_until_us; /* end of the retention of that result */
	unsigned imports_failed; /* of that result */
	unsigned prefills_repeated; /* after a result was lost */
	unsigned prefills_refused;
	lifecycle_engine_t prefill_engine; /* of the latest prefill, or 0 */

	uint32_t import_attempt; /* whose KV cache the decode engine has */
	bool resumed_on_same_engine; /* and no token has come since */
	int64_t next_offset; /* first token not forwarded */

	unsigned prefills_maybe_run; /* prefills sent and not refused */
	lifecycle_holder_t holders[LIFECYCLE_MAX_ATTEMPTS];
	size_t n_holders;
	verdict_t verdict; /* set in LIFECYCLE_FINISHED */
} lifecycle_t;

void lifecycle_init(lifecycle_t *request, const lifecycle_config_t *config);
void lifecycle_step(lifecycle_t *request, const lifecycle_event_t *event,
		    lifecycle_action_t *actions, size_t *n_actions);
int64_t lifecycle_retry_limit_us(const lifecycle_t *request);
const char *lifecycle_state_text(lifecycle_state_t state);

#endif
