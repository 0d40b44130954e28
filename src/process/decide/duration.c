#include "process/decide/duration.h"

/* Returns an estimated time in whole microseconds, rounded down and between 0 and
 * DURATION_MAX_ESTIMATE_US. One that is not a number counts as the longest.
 */
int64_t duration_estimate_us(double us)
{
	if (us <= 0)
		return 0;
	if (us < (double)DURATION_MAX_ESTIMATE_US)
		return (int64_t)us;
	return DURATION_MAX_ESTIMATE_US;
}
