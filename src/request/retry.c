#include "request/retry.h"

/*
 * Sets up a budget to which each first send adds `share` retries, up to
 * `capacity`. It starts full: otherwise the first failure after a restart of
 * the process could not be retried.
 */
void retry_budget_init(retry_budget_t *budget, double share, double capacity)
{
	*budget = (retry_budget_t){
		.share = share,
		.retries_left = capacity,
		.capacity = capacity,
	};
}

/* Applies the share of a new configuration version. */
void retry_budget_set_share(retry_budget_t *budget, double share)
{
	budget->share = share;
}

/* Adds the share of a retry for the first send of a request. */
void retry_budget_add_first_send(retry_budget_t *budget)
{
	budget->retries_left += budget->share;
	if (budget->retries_left > budget->capacity)
		budget->retries_left = budget->capacity;
}

/* Takes one retry out of the budget. If less than one is left, counts a denial
 * and returns false.
 */
bool retry_budget_take(retry_budget_t *budget)
{
	if (budget->retries_left < 1) {
		budget->denied++;
		return false;
	}
	budget->retries_left -= 1;
	return true;
}

/* Returns the next number of a splitmix64 generator. Every seed is valid. */
uint64_t retry_random(uint64_t *seed)
{
	uint64_t z = *seed += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

/*
 * Returns the time to wait before the next retry, in microseconds. A bound
 * doubles with each retry, and the wait is random between half of it and all of
 * it. The fixed half puts time between the retries of one request; the random
 * half spreads the retries of requests that failed together.
 */
int64_t retry_backoff_us(const retry_backoff_t *backoff, unsigned retries,
			 uint64_t *seed)
{
	int64_t bound_us = backoff->base_us;
	int64_t half_us;

	while (retries-- > 0 && bound_us < backoff->limit_us)
		bound_us *= 2;
	if (bound_us > backoff->limit_us)
		bound_us = backoff->limit_us;
	half_us = bound_us / 2;
	return bound_us - half_us +
	       (int64_t)(retry_random(seed) % (uint64_t)(half_us + 1));
}

/* Tells whether the request may be sent again: never after part of a response
 * or when it has run to its end, and only if it is repeatable when it may have
 * run.
 */
static bool is_safe(const retry_input_t *input)
{
	if (input->response_started || input->verdict.run == RUN_RAN)
		return false;
	return input->repeatable || input->verdict.run == RUN_NOT_RUN;
}

/*
 * Decides whether a failed send is repeated: if that is safe, allowed by the
 * limit of retries and in time. The budget is asked last, so that only a retry
 * that is made takes from it.
 */
retry_decision_t retry_decide(const retry_input_t *input,
			      const retry_backoff_t *backoff,
			      retry_budget_t *budget, uint64_t *seed)
{
	int64_t at_us;

	if (!is_safe(input) || input->retries >= input->max_retries)
		return (retry_decision_t){.action = RETRY_NEVER};
	at_us = input->now_us + retry_backoff_us(backoff, input->retries, seed);
	/* The backend server may ask for a longer wait. */
	if (at_us < input->verdict.retry_at_us)
		at_us = input->verdict.retry_at_us;
	if (at_us >= input->deadline_us)
		return (retry_decision_t){.action = RETRY_NEVER};
	if (!retry_budget_take(budget))
		return (retry_decision_t){.action = RETRY_DENIED};
	return (retry_decision_t){.action = RETRY_ALLOWED, .at_us = at_us};
}
