/* Retries: the budget that limits them, the backoff between them, and the
 * decision whether a failed send is repeated.
 */
#ifndef REQUEST_RETRY_H
#define REQUEST_RETRY_H

#include <stdint.h>

#include "request/verdict.h"

/* Token bucket that limits the retries of one process. A token is one retry,
 * and each first send of a request adds `share` retries_left. As every process keeps
 * to its share, so do all processes together, without messages between them.
 */
typedef struct {
	double share; /* retries for each first send */
	double retries_left; /* retries available now */
	double capacity; /* most retries_left that are kept */
	uint64_t denied; /* retries denied since it was last reset */
} retry_budget_t;

/* Exponential backoff with jitter. */
typedef struct {
	int64_t base_us; /* upper bound of the first wait */
	int64_t limit_us; /* upper bound of any wait */
} retry_backoff_t;

/* A failed send and what is known of its request. */
typedef struct {
	verdict_t verdict; /* of the send that failed */
	bool repeatable; /* the request may run twice */
	bool response_started; /* part of a response was received */
	unsigned retries; /* already made for this request */
	unsigned max_retries;
	int64_t now_us;
	int64_t deadline_us; /* no retry starts at or after it */
} retry_input_t;

typedef enum {
	RETRY_NEVER, /* not safe, too late, or too many retries */
	RETRY_DENIED, /* safe and in time, but the budget is empty */
	RETRY_ALLOWED,
} retry_action_t;

typedef struct {
	retry_action_t action;
	int64_t at_us; /* RETRY_ALLOWED: when to send again */
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
