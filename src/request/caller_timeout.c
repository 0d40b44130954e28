#include "request/caller_timeout.h"

#include <stdbool.h>

/* A request that states less than the longest time by no more than this counts
 * as stating the same.
 */
#define TOLERANCE_US INT64_C(20000)

/* From this share of requests with the longest time on, all callers are assumed
 * to have the same timeout, so that any difference is time already spent.
 */
#define SAME_TIMEOUT_SHARE 0.6

/* Weight of the latest request in the moving average. */
#define LATEST_WEIGHT 0.05

/* Where callers have different timeouts, a request counts as a retry only if it
 * lacks more than this share of the longest time: first attempts differ by
 * less.
 */
#define RETRY_MISSING_SHARE 0.16

/*
 * Records the time that a request's caller still waits. Returns how long the
 * caller has waited in earlier attempts, or 0 when that is unknown.
 */
int64_t caller_timeout_elapsed_us(caller_timeout_t *timeout,
				  int64_t time_left_us)
{
	int64_t missing_us;
	bool same;

	if (time_left_us > timeout->longest_us) {
		timeout->longest_us = time_left_us;
		timeout->longest_share = 1;
	}
	missing_us = timeout->longest_us - time_left_us;
	same = missing_us <= TOLERANCE_US;
	timeout->longest_share +=
		LATEST_WEIGHT * ((same ? 1.0 : 0.0) - timeout->longest_share);
	if (same)
		return 0;
	if (timeout->longest_share >= SAME_TIMEOUT_SHARE ||
	    (double)missing_us >
		    RETRY_MISSING_SHARE * (double)timeout->longest_us)
		return missing_us;
	return 0;
}
