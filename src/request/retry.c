#include "request/retry.h"

/*
 * Adds share for each first send, up to capacity. A new process starts with a
 * full bucket: otherwise the first failure after a restart could not be
 * retried.
 */
void retry_budget_init(retry_budget_t *budget, double share, double capacity)
{
	*budget = (retry_budget_t){
		.share = share,
		.tokens = capacity,
		.capacity = capacity,
	};
}

/* Applies the share of a new configuration version. */
void retry_budget_set_share(retry_budget_t *budget, double share)
{
	budget->share = share;
}

/* Counts the first send of a request. */
void retry_budget_add_first_send(retry_budget_t *budget)
{
	budget->tokens += budget->share;
	if (budget->tokens > budget->capacity)
		budget->tokens = budget->capacity;
}

/* Takes one retry out of the budget; false when none is left. */
bool retry_budget_take(retry_budget_t *budget)
{
	if (budget->tokens < 1) {
		budget->denied++;
		return false;
	}
	budget->tokens -= 1;
	return true;
}

/* Next number of a splitmix64 generator; every seed is valid. */
uint64_t retry_random(uint64_t *seed)
{
	uint64_t z = *seed += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

/*
 * Time to wait before the next retry, in microseconds: uniform between half of
 * and the whole bound, which doubles with each retry. The lower half keeps
 * retries apart, the upper half keeps requests that failed together apart.
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

static bool is_safe(const retry_input_t *input)
{
	if (input->answered || input->verdict.run == RUN_RAN)
		return false;
	return input->repeatable || input->verdict.run == RUN_NOT_RUN;
}

/*
 * Decides whether a failed send is repeated. Only safe and timely retries take
 * from the budget: a call that was answered in part is never repeated, one
 * that may have run only where the route is repeatable.
 */
retry_decision_t retry_decide(const retry_input_t *input,
			      const retry_backoff_t *backoff,
			      retry_budget_t *budget, uint64_t *seed)
{
	int64_t at_us;

	if (!is_safe(input) || input->retries >= input->max_retries)
		return (retry_decision_t){.action = RETRY_NEVER};
	at_us = input->now_us + retry_backoff_us(backoff, input->retries, seed);
	/* The backend server's own time to come back is honoured. */
	if (at_us < input->verdict.retry_at_us)
		at_us = input->verdict.retry_at_us;
	if (at_us >= input->deadline_us)
		return (retry_decision_t){.action = RETRY_NEVER};
	if (!retry_budget_take(budget))
		return (retry_decision_t){.action = RETRY_DENIED};
	return (retry_decision_t){.action = RETRY_AT, .at_us = at_us};
}
