/* State machine of one call to a plain service. It does no I/O and reads no
 * clock: the owner feeds it events and executes the actions that it returns.
 */
#ifndef REQUEST_PLAIN_LIFECYCLE_H
#define REQUEST_PLAIN_LIFECYCLE_H

#include <stdint.h>

#include "request/retry.h"
#include "request/verdict.h"

typedef enum {
	PLAIN_QUEUED, /* waits for admission */
	PLAIN_SENT, /* no part of a response yet */
	PLAIN_ANSWERING, /* part of a response was received */
	PLAIN_BACKING_OFF,
	PLAIN_FINISHED,
} plain_state_t;

typedef enum {
	PLAIN_EVENT_ADMITTED,
	PLAIN_EVENT_REFUSED, /* not admitted: verdict */
	PLAIN_EVENT_NOT_SENT, /* not connected, or no backend server */
	PLAIN_EVENT_ANSWER, /* a part of the response was received */
	PLAIN_EVENT_ANSWER_END, /* the response is complete */
	PLAIN_EVENT_LOST, /* connection closed, or response malformed */
	PLAIN_EVENT_SILENT, /* no response in time */
	PLAIN_EVENT_TIMER, /* the back-off is over */
	PLAIN_EVENT_CALLER_GONE,
	PLAIN_EVENT_DEADLINE,
	PLAIN_EVENT_SHUTDOWN, /* the process ends before the call can */
} plain_event_kind_t;

/* What has happened to a call. */
typedef struct {
	plain_event_kind_t kind;
	int64_t now_us;
	uint32_t attempt; /* number of the send that the event belongs to */
	verdict_t verdict; /* REFUSED; of a failed send, only retry_at_us */
} plain_event_t;

typedef enum {
	PLAIN_ACTION_SEND, /* attempt */
	PLAIN_ACTION_FORWARD, /* the response of the event */
	PLAIN_ACTION_ABORT, /* attempt: close its connection */
	PLAIN_ACTION_COUNT_STALE, /* the result of an abandoned send */
	PLAIN_ACTION_BACK_OFF, /* until_us */
	PLAIN_ACTION_FINISH, /* verdict */
} plain_action_kind_t;

/* What the owner of a call has to do. */
typedef struct {
	plain_action_kind_t kind;
	uint32_t attempt;
	int64_t until_us;
	verdict_t verdict;
} plain_action_t;

/* Most actions that one event can cause. */
#define PLAIN_MAX_ACTIONS 4

typedef struct {
	bool repeatable; /* the call may run twice */
	int64_t deadline_us;
	retry_budget_t *budget; /* shared by all calls; not owned */
	uint64_t seed; /* for jitter */
} plain_config_t;

typedef struct {
	plain_config_t config;
	plain_state_t state;
	uint32_t attempt; /* number of the latest send; 0: none */
	unsigned retries;
	bool may_have_run; /* because of a send that has failed */
	verdict_t verdict; /* PLAIN_FINISHED: of the whole call */
} plain_lifecycle_t;

void plain_lifecycle_init(plain_lifecycle_t *call,
			  const plain_config_t *config);
void plain_lifecycle_step(plain_lifecycle_t *call, const plain_event_t *event,
			  plain_action_t *actions, size_t *n_actions);

#endif
