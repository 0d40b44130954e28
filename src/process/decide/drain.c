#include "process/decide/drain.h"

#include "process/clock.h"

/* Time from SIGTERM until the load balancer sends no new requests: it checks
 * the health once a second and leaves after two failed checks.
 */
#define BALANCER_LEAVES_US (2600 * CLOCK_US_PER_MS)

/* Time before the limit that the process needs for its own exit. */
#define STOP_MARGIN_US (400 * CLOCK_US_PER_MS)

/* Time within which nearly every plain request ends. */
#define PLAIN_REQUEST_US (1000 * CLOCK_US_PER_MS)

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

/*
 * Returns whether a request is accepted. When most VMs of a zone are leaving,
 * requests may still arrive after the load balancer should have stopped sending
 * them. A stream that began then would be cut off at the limit, so it is
 * refused with the verdict that it has not run.
 */
bool drain_accepts(const drain_t *drain, const table_route_t *route,
		   int64_t now_us)
{
	if (!drain_has_started(drain))
		return true;
	if (route->kind == CALL_STREAM)
		return now_us < drain->started_us + BALANCER_LEAVES_US;
	return now_us < drain->limit_us - STOP_MARGIN_US - PLAIN_REQUEST_US;
}

/* Returns what to do now, with `active` requests in progress. */
drain_step_t drain_next(const drain_t *drain, unsigned active, int64_t now_us)
{
	if (!drain_has_started(drain))
		return DRAIN_CONTINUE;
	if (now_us >= drain->limit_us - STOP_MARGIN_US)
		return DRAIN_STOP;
	if (now_us < drain->started_us + BALANCER_LEAVES_US)
		return DRAIN_CONTINUE;
	return active > 0 ? DRAIN_CLOSE_IDLE : DRAIN_STOP;
}
