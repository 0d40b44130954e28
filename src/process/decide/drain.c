#include "process/decide/drain.h"

#include "process/clock.h"

/* The balancer asks once a second and leaves after two misses. */
#define BALANCER_LEAVES_US (2600 * CLOCK_US_PER_MS)

/* Left before the limit for the end of the process itself. */
#define STOP_MARGIN_US (400 * CLOCK_US_PER_MS)

/* Time in which a plain request ends in all likelihood. */
#define PLAIN_US (1000 * CLOCK_US_PER_MS)

/* Notes SIGTERM; the process is killed at the limit. */
void drain_start(drain_t *drain, int64_t now_us, int64_t limit_us)
{
	drain->started_us = now_us;
	drain->limit_us = limit_us;
}

/* Tells whether SIGTERM came. */
bool drain_has_started(const drain_t *drain)
{
	return drain->started_us != 0;
}

/*
 * Tells whether a request is taken on. Callers may still reach a process after
 * the balancer has left, when most of its zone is leaving: a stream that begins
 * then would be cut at the limit, so it is refused as not run.
 */
bool drain_accepts(const drain_t *drain, const table_route_t *route,
		   int64_t now_us)
{
	if (!drain_has_started(drain))
		return true;
	if (route->kind == CALL_STREAM)
		return now_us < drain->started_us + BALANCER_LEAVES_US;
	return now_us < drain->limit_us - STOP_MARGIN_US - PLAIN_US;
}

/* Tells what to do now, with `active` requests in progress. */
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
