#include "process/throttle.h"

#include <glib.h>

#include "process/clock.h"
#include "request/retry.h"

/* Tolerance for the rounding of fractions of calls. */
#define EPSILON 1e-6

/* Time between looks at a breaker whose probe is under way. */
#define PROBE_POLL_US INT64_C(50000)

/* Sets up a full bucket. */
void bucket_init(bucket_t *bucket, double rate_s, double burst, int64_t now_us)
{
	*bucket = (bucket_t){rate_s, burst, burst, now_us};
}

static void refill(bucket_t *bucket, int64_t now_us)
{
	double elapsed_s =
		(double)(now_us - bucket->at_us) / (double)CLOCK_US_PER_S;

	if (elapsed_s <= 0)
		return;
	bucket->at_us = now_us;
	bucket->tokens =
		MIN(bucket->burst, bucket->tokens + elapsed_s * bucket->rate_s);
}

/* Takes one call out of the bucket; false when it is empty. */
bool bucket_take(bucket_t *bucket, int64_t now_us)
{
	refill(bucket, now_us);
	if (bucket->tokens < 1 - EPSILON)
		return false;
	bucket->tokens -= 1;
	return true;
}

/* When the bucket has room for one more call. */
int64_t bucket_ready_at_us(bucket_t *bucket, int64_t now_us)
{
	double missing;

	refill(bucket, now_us);
	missing = 1 - bucket->tokens;
	if (missing <= EPSILON)
		return now_us;
	return bucket->at_us + 1 +
	       (int64_t)(missing / bucket->rate_s * (double)CLOCK_US_PER_S);
}

/* Sets up a closed breaker. Different seeds keep processes apart. */
void breaker_init(breaker_t *breaker, uint64_t seed)
{
	*breaker = (breaker_t){.seed = seed};
}

static bool is_open(const breaker_t *breaker)
{
	return breaker->failures >= BREAKER_FAILURES;
}

/*
 * Tells whether a call may be sent. While the breaker is open, one call is
 * let through after each waiting time; its result decides.
 */
bool breaker_allow(breaker_t *breaker, int64_t now_us)
{
	if (!is_open(breaker))
		return true;
	if (breaker->probing || now_us < breaker->open_until_us)
		return false;
	breaker->probing = true;
	return true;
}

/* When breaker_allow() may be asked again after it refused. */
int64_t breaker_ready_at_us(const breaker_t *breaker, int64_t now_us)
{
	if (breaker->probing)
		return now_us + PROBE_POLL_US;
	return MAX(breaker->open_until_us, now_us);
}

/* The platform answered. */
void breaker_record_success(breaker_t *breaker)
{
	breaker->failures = 0;
	breaker->probing = false;
}

/* The platform did not answer, or answered that it cannot. */
void breaker_record_failure(breaker_t *breaker, int64_t now_us)
{
	static const retry_backoff_t backoff = {BREAKER_OPEN_BASE_US,
						BREAKER_OPEN_MAX_US};

	breaker->probing = false;
	if (breaker->failures < UINT32_MAX)
		breaker->failures++;
	if (is_open(breaker))
		breaker->open_until_us =
			now_us +
			retry_backoff_us(&backoff,
					 breaker->failures - BREAKER_FAILURES,
					 &breaker->seed);
}

/* A call was cancelled by its caller, so nothing is known. */
void breaker_record_cancelled(breaker_t *breaker)
{
	breaker->probing = false;
}
