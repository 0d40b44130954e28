#include "process/estimate.h"

#include <math.h>

#include "process/clock.h"

/* Weight of a new sample. About ten samples move an estimate to a changed
 * speed, so an engine gains and loses work gradually.
 */
#define GAIN 0.2

/* A sample counts as at most this many times slower or faster than the
 * estimate, so that one stalled call shifts it by at most 2^0.2, or 15%.
 */
#define CLIP 2.0

/* An engine that gets no work gives no samples. Its estimate moves half way
 * back to the typical engine of its pool in this time, so that it is tried
 * again after it has been slow.
 */
#define HALF_LIFE_US (10.0 * (double)CLOCK_US_PER_S)

/* Sets up an estimate with a guess that the first sample replaces. */
void estimate_init(estimate_t *estimate, double initial_us)
{
	*estimate = (estimate_t){.log_us = log(fmax(initial_us, 1e-3))};
}

static void add(estimate_t *estimate, double log_us, int64_t now_us)
{
	double change = log_us - estimate->log_us;

	if (estimate->samples == 0) {
		estimate->log_us = log_us;
	} else {
		change = fmin(fmax(change, -log(CLIP)), log(CLIP));
		estimate->log_us += GAIN * change;
	}
	estimate->updated_us = now_us;
	if (estimate->samples < UINT32_MAX)
		estimate->samples++;
}

static double log_sample(int64_t elapsed_us, int64_t tokens)
{
	return log(fmax((double)elapsed_us, 1) / (double)tokens);
}

/* Adds a measurement of elapsed_us for a number of tokens. */
void estimate_add(estimate_t *estimate, int64_t elapsed_us, int64_t tokens,
		  int64_t now_us)
{
	if (tokens > 0)
		add(estimate, log_sample(elapsed_us, tokens), now_us);
}

/* Adds a call that was given up after elapsed_us: it shows only that the
 * engine is at least that slow.
 */
void estimate_add_lower_bound(estimate_t *estimate, int64_t elapsed_us,
			      int64_t tokens, int64_t now_us)
{
	if (tokens > 0 && log_sample(elapsed_us, tokens) > estimate->log_us)
		add(estimate, log_sample(elapsed_us, tokens), now_us);
}

/* Returns microseconds a token. An engine without samples counts as typical. */
double estimate_us(const estimate_t *estimate, const estimate_t *typical,
		   int64_t now_us)
{
	double age = fmax((double)(now_us - estimate->updated_us), 0);
	double trust;

	if (typical->samples == 0)
		return exp(estimate->log_us);
	if (estimate->samples == 0)
		return exp(typical->log_us);
	trust = exp2(-age / HALF_LIFE_US);
	return exp(trust * estimate->log_us + (1 - trust) * typical->log_us);
}

/* Returns the speed relative to the typical engine: 0.5 is half as fast. */
double estimate_speed(const estimate_t *estimate, const estimate_t *typical,
		      int64_t now_us)
{
	return exp(typical->log_us) / estimate_us(estimate, typical, now_us);
}
