#include "process/decide/arrival_rate.h"

#include <math.h>

#include "process/str.h"

/* Time in which the weight of an arrival decays to 1/e. Surges begin and end
 * within seconds.
 */
#define RATE_DECAY_US 2000000.0

/* Returns the weight of the arrivals as it has decayed until now. */
static double decayed_weight(const arrival_rate_t *rate, int64_t now_us)
{
	double age_us = (double)MAX(now_us - rate->updated_us, 0);

	return rate->weight * exp(-age_us / RATE_DECAY_US);
}

/* Records an arrival. */
void arrival_rate_add(arrival_rate_t *rate, int64_t now_us)
{
	rate->weight = decayed_weight(rate, now_us) + 1;
	rate->updated_us = now_us;
}

/* Returns the arrivals per second over the last seconds. */
double arrival_rate_per_s(const arrival_rate_t *rate, int64_t now_us)
{
	return decayed_weight(rate, now_us) / (RATE_DECAY_US / 1e6);
}
