#include "process/estimate.h"

#include <math.h>

#include "process/clock.h"

/* Weight of a new sample. An estimate needs about ten samples to reach a
 * changed speed, so an engine gains and loses work gradually.
 */
#define SAMPLE_WEIGHT 0.2

/* A sample counts as at most this many times slower or faster than the
 * estimate, so that one stalled call changes the estimate by at most 2^0.2, or
 * 15%.
 */
#define MAX_CHANGE_FACTOR 2.0

/* In this time without samples, an estimate moves half way to that of the
 * typical engine. An engine that was slow and therefore gets no work gives no
 * samples; this way it is tried again.
 */
#define HALF_LIFE_US (10.0 * (double)CLOCK_US_PER_S)

/* Sets up an estimate with a guess in microseconds per token, which the first
 * sample replaces.
 */
void estimate_init(estimate_t *estimate, double initial_us)
{
	*estimate = (estimate_t){.log_us = log(fmax(initial_us, 1e-3))};
}

/* Adds a sample, the logarithm of microseconds per token, to an estimate. */
static void add_log_sample(estimate_t *estimate, double log_us, int64_t now_us)
{
	double change = log_us - estimate->log_us;

	if (estimate->samples == 0) {
		estimate->log_us = log_us;
	} else {
		change = fmin(fmax(change, -log(MAX_CHANGE_FACTOR)),
			      log(MAX_CHANGE_FACTOR));
		estimate->log_us += SAMPLE_WEIGHT * change;
	}
	estimate->updated_us = now_us;
	if (estimate->samples < UINT32_MAX)
		estimate->samples++;
}

/* Returns the logarithm of microseconds per token; tokens must not be 0. */
static double log_sample(int64_t elapsed_us, int64_t tokens)
{
	return log(fmax((double)elapsed_us, 1) / (double)tokens);
}

/* Adds a measurement of elapsed_us for a number of tokens; ignored without
 * tokens.
 */
void estimate_add(estimate_t *estimate, int64_t elapsed_us, int64_t tokens,
		  int64_t now_us)
{
	if (tokens > 0)
		add_log_sample(estimate, log_sample(elapsed_us, tokens),
			       now_us);
}

/* Adds a call that was given up after elapsed_us. It shows only that the engine
 * takes at least that long, so it is ignored if the estimate is higher already.
 */
void estimate_add_lower_bound(estimate_t *estimate, int64_t elapsed_us,
			      int64_t tokens, int64_t now_us)
{
	if (tokens > 0 && log_sample(elapsed_us, tokens) > estimate->log_us)
		add_log_sample(estimate, log_sample(elapsed_us, tokens),
			       now_us);
}

/* Returns the estimated microseconds per token. The older the last sample, the
 * more the typical engine counts, unless that has no samples. An engine without
 * samples counts as typical.
 */
double estimate_us(const estimate_t *estimate, const estimate_t *typical,
		   int64_t now_us)
{
	double age = fmax((double)(now_us - estimate->updated_us), 0);
	double own_weight;

	if (typical->samples == 0)
		return exp(estimate->log_us);
	if (estimate->samples == 0)
		return exp(typical->log_us);
	own_weight = exp2(-age / HALF_LIFE_US);
	return exp(own_weight * estimate->log_us +
		   (1 - own_weight) * typical->log_us);
}

/* Returns the speed relative to the typical engine; 0.5 is half as fast. */
double estimate_speed(const estimate_t *estimate, const estimate_t *typical,
		      int64_t now_us)
{
	return exp(typical->log_us) / estimate_us(estimate, typical, now_us);
}
