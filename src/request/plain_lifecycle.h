/* State machine of one call to a plain service, without I/O or a clock. */
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
	PLAIN_EVENT_REFUSED, /* verdict */
	PLAIN_EVENT_NOT_SENT, /* not connected, or no backend server */
	PLAIN_EVENT_ANSWER, /* the response has begun */
	PLAIN_EVENT_ANSWER_END, /* the response is complete */
	PLAIN_EVENT_LOST, /* closed or malformed */
	PLAIN_EVENT_SILENT, /* no bytes in time */
	PLAIN_EVENT_TIMER,
	PLAIN_EVENT_CALLER_GONE,
	PLAIN_EVENT_DEADLINE,
	PLAIN_EVENT_SHUTDOWN,
} plain_event_kind_t;

typedef struct {
	plain_event_kind_t kind;
	int64_t now_us;
	uint32_t attempt;
	verdict_t verdict;
} plain_event_t;

typedef enum {
	PLAIN_ACTION_SEND, /* attempt */
	PLAIN_ACTION_FORWARD, /* the response of the event */
	PLAIN_ACTION_ABORT, /* attempt: close its connection */
	PLAIN_ACTION_COUNT_STALE,
	PLAIN_ACTION_BACK_OFF, /* until_us */
	PLAIN_ACTION_FINISH, /* verdict */
} plain_action_kind_t;

typedef struct {
	plain_action_kind_t kind;
	uint32_t attempt;
	int64_t until_us;
	verdict_t verdict;
} plain_action_t;

#define PLAIN_MAX_ACTIONS 4

typedef struct {
	bool repeatable; /* the route may run twice */
	int64_t deadline_us;
	retry_budget_t *budget;
	uint64_t seed; /* for jitter */
} plain_config_t;

typedef struct {
	plain_config_t config;
	plain_state_t state;
	uint32_t attempt; /* latest send */
	unsigned retries;
	bool may_have_run; /* a send may have reached a backend server */
	verdict_t verdict; /* FINISHED */
} plain_lifecycle_t;

void plain_lifecycle_init(plain_lifecycle_t *call,
			  const plain_config_t *config);
void plain_lifecycle_step(plain_lifecycle_t *call, const plain_event_t *event,
			  plain_action_t *actions, size_t *n_actions);

#endif
