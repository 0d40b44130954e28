#include "process/decide/drain.h"

#include "process/clock.h"

/* Time from SIGTERM until the load balancer sends no new requests: it checks
 * the health once a second and leaves after two failed checks.
 */
#define BALANCER_LEAVES_US (2600 * CLOCK_US_PER_MS)

/* Time before the limit that the process needs for its own exit. */
#define STOP_MARGIN_US (400 * CLOCK_US_PER_MS)

/* Time from the deadline of a request until its answer is sent: this process notices the
 * end of the time, and another VM that has the request answers later still.
 */
#define ANSWER_MARGIN_US (200 * CLOCK_US_PER_MS)

/* Records SIGTERM, and the time at which the process is killed. */
void drain_start(drain_t *drain, int64_t now_us, int64_t limit_us)
{
	drain->started_us = now_us;
	drain->limit_us = limit_us;
}

/* Returns whether SIGTERM was received. */
bool drain_has_started(const drain_t *drain)
{
	return drain->started_us != 0;
}

/* Returns when the process ends at the latest. */
static int64_t stop_us(const drain_t *drain)
{
	return drain->limit_us - STOP_MARGIN_US;
}

/*
 * Returns whether a request with this deadline is accepted. When most VMs of a zone are
 * leaving, requests may still arrive after the load balancer should have stopped sending
 * them. One that may last until after the end of the process would be cut off, so it is
 * refused with the verdict that it has not run.
 */
bool drain_accepts(const drain_t *drain, int64_t deadline_us, int64_t now_us)
{
	return !drain_has_started(drain) ||
	       now_us < drain->started_us + BALANCER_LEAVES_US ||
	       deadline_us + ANSWER_MARGIN_US <= stop_us(drain);
}

/* Returns what to do now, with `active` requests in progress. */
drain_step_t drain_next(const drain_t *drain, unsigned active, int64_t now_us)
{
	if (!drain_has_started(drain))
		return DRAIN_CONTINUE;
	if (now_us >= stop_us(drain))
		return DRAIN_STOP;
	if (now_us < drain->started_us + BALANCER_LEAVES_US)
		return DRAIN_CONTINUE;
	return active > 0 ? DRAIN_CLOSE_IDLE : DRAIN_STOP;
}
