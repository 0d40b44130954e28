#include "process/throttle.h"

#include <glib.h>

#include "process/clock.h"
#include "request/retry.h"

/* Tolerance for rounding errors in the number of calls. */
#define EPSILON 1e-6

/* Interval at which callers check a breaker while a probe is in progress. */
#define PROBE_POLL_US INT64_C(50000)

/* Sets up a full bucket. */
void bucket_init(bucket_t *bucket, double calls_per_s, double burst,
		 int64_t now_us)
{
	*bucket = (bucket_t){calls_per_s, burst, burst, now_us};
}

/* Adds the calls for the time since the last refill, up to the burst. */
static void refill(bucket_t *bucket, int64_t now_us)
{
	double elapsed_s =
		(double)(now_us - bucket->updated_us) / (double)CLOCK_US_PER_S;

	if (elapsed_s <= 0)
		return;
	bucket->updated_us = now_us;
	bucket->tokens = MIN(bucket->burst,
			     bucket->tokens + elapsed_s * bucket->calls_per_s);
}

/* Takes one call out of the bucket. Returns false if it is empty. */
bool bucket_take(bucket_t *bucket, int64_t now_us)
{
	refill(bucket, now_us);
	if (bucket->tokens < 1 - EPSILON)
		return false;
	bucket->tokens -= 1;
	return true;
}

/* Returns the time at which the bucket allows one more call. */
int64_t bucket_ready_at_us(bucket_t *bucket, int64_t now_us)
{
	double missing;

	refill(bucket, now_us);
	missing = 1 - bucket->tokens;
	if (missing <= EPSILON)
		return now_us;
	return bucket->updated_us + 1 +
	       (int64_t)(missing / bucket->calls_per_s *
			 (double)CLOCK_US_PER_S);
}

/* Sets up a closed breaker. Processes use different seeds, so that they do not
 * send their probes at the same time.
 */
void breaker_init(breaker_t *breaker, uint64_t seed)
{
	*breaker = (breaker_t){.seed = seed};
}

/* Returns whether calls are stopped except for probes. */
static bool is_open(const breaker_t *breaker)
{
	return breaker->failures >= BREAKER_FAILURES;
}

/*
 * Returns whether a call may be sent. While the breaker is open, one call is
 * allowed as a probe after each waiting time, and its result closes the breaker
 * or starts the next waiting time.
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

/* Returns the time at which to call breaker_allow() again after it returned
 * false.
 */
int64_t breaker_ready_at_us(const breaker_t *breaker, int64_t now_us)
{
	if (breaker->probing)
		return now_us + PROBE_POLL_US;
	return MAX(breaker->open_until_us, now_us);
}

/* Closes the breaker, as the platform has answered. */
void breaker_record_success(breaker_t *breaker)
{
	breaker->failures = 0;
	breaker->probing = false;
}

/* Counts a call that the platform did not answer or could not serve. Opens the
 * breaker if there are enough of them in a row; each further one makes the
 * waiting time longer.
 */
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

/* Ends a call that its caller cancelled. It shows nothing about the platform,
 * so a cancelled probe is simply repeated.
 */
void breaker_record_cancelled(breaker_t *breaker)
{
	breaker->probing = false;
}
