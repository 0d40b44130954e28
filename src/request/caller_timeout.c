#include "request/caller_timeout.h"

#include <stdbool.h>

/* Within this, a request gives as much time as the most patient one. */
#define SAME_US INT64_C(20000)

/* With this share of requests at the most, callers are equally patient, and any
 * difference is time that was spent.
 */
#define EQUAL_SHARE 0.6

#define SHARE_WEIGHT 0.05

/* Where callers differ, only one that has lost this share of the most time
 * counts as coming back: first attempts differ by less.
 */
#define BACK_SHARE 0.16

/* Returns how long a caller has waited before, given the time that it still
 * waits; 0 when that cannot be told.
 */
int64_t caller_timeout_elapsed_us(caller_timeout_t *patience,
				  int64_t time_left_us)
{
	int64_t lost_us;
	bool same;

	if (time_left_us > patience->most_us) {
		patience->most_us = time_left_us;
		patience->at_most = 1;
	}
	lost_us = patience->most_us - time_left_us;
	same = lost_us <= SAME_US;
	patience->at_most +=
		SHARE_WEIGHT * ((same ? 1.0 : 0.0) - patience->at_most);
	if (same)
		return 0;
	if (patience->at_most >= EQUAL_SHARE ||
	    (double)lost_us > BACK_SHARE * (double)patience->most_us)
		return lost_us;
	return 0;
}
