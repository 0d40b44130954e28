#include "request/caller_timeout.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

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

/* Returns whether two times are those of first attempts of callers of one route. */
static bool are_alike(int64_t one_us, int64_t other_us)
{
	int64_t longer_us = MAX(one_us, other_us);

	return (double)llabs(one_us - other_us) <=
	       RETRY_MISSING_SHARE * (double)longer_us;
}

/* Takes a time that is longer than all before once a second request has stated about as
 * much: a single one may be odd.
 */
static void note_longer(caller_timeout_t *timeout, int64_t time_left_us)
{
	int64_t confirmed_us = MIN(timeout->unconfirmed_us, time_left_us);
	bool is_confirmed = are_alike(timeout->unconfirmed_us, time_left_us);

	timeout->unconfirmed_us = time_left_us;
	if (!is_confirmed || confirmed_us <= timeout->longest_us)
		return;
	if (!are_alike(timeout->longest_us, confirmed_us))
		timeout->longest_share = 1;
	timeout->longest_us = confirmed_us;
}

/*
 * Records the time that a request's caller still waits. Returns how long the
 * caller has waited in earlier attempts, or 0 when that is unknown.
 */
int64_t caller_timeout_elapsed_us(caller_timeout_t *timeout,
				  int64_t time_left_us)
{
	int64_t missing_us;
	bool same;

	if (time_left_us > timeout->longest_us)
		note_longer(timeout, time_left_us);
	missing_us = MAX(timeout->longest_us - time_left_us, 0);
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
