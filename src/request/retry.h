/* Retries: budget, backoff and the decision whether to send again. */
#ifndef REQUEST_RETRY_H
#define REQUEST_RETRY_H

#include <stdint.h>

#include "request/verdict.h"

/* Token bucket of one process. Each first send adds `share` of a retry, so the
 * fleet's retries stay below that share of its first sends without messages
 * between processes.
 */
typedef struct {
	double share; /* retries for each first send */
	double tokens;
	double capacity;
	uint64_t denied; /* retries denied since it was last reset */
} retry_budget_t;

/* Jittered exponential backoff. */
typedef struct {
	int64_t base_us; /* upper bound of the first wait */
	int64_t limit_us; /* upper bound of any wait */
} retry_backoff_t;

typedef struct {
	verdict_t verdict; /* of the send that failed */
	bool repeatable; /* the route may run twice */
	bool answered; /* part of a response was received */
	unsigned retries; /* already made for this request */
	unsigned max_retries;
	int64_t now_us;
	int64_t deadline_us; /* no retry starts at or after it */
} retry_input_t;

typedef enum {
	RETRY_NEVER, /* not safe, or too late */
	RETRY_DENIED, /* safe, but the budget is empty */
	RETRY_AT,
} retry_action_t;

typedef struct {
	retry_action_t action;
	int64_t at_us; /* RETRY_AT: when to send again */
} retry_decision_t;

void retry_budget_init(retry_budget_t *budget, double share, double capacity);
void retry_budget_set_share(retry_budget_t *budget, double share);
void retry_budget_add_first_send(retry_budget_t *budget);
bool retry_budget_take(retry_budget_t *budget);
uint64_t retry_random(uint64_t *seed);
int64_t retry_backoff_us(const retry_backoff_t *backoff, unsigned retries,
			 uint64_t *seed);
retry_decision_t retry_decide(const retry_input_t *input,
			      const retry_backoff_t *backoff,
			      retry_budget_t *budget, uint64_t *seed);

#endif
