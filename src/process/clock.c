#include "process/clock.h"

#include <stddef.h>
#include <time.h>

/* A remote clock further ahead than this is ignored, so that one VM with a
 * wrong clock cannot drag all others into the future.
 */
#define HLC_MAX_AHEAD_MS UINT64_C(60000)
#define HLC_COUNTER_BITS 16

/* Returns the source's time in microseconds. */
int64_t clock_now(const clock_source_t *clock)
{
	return clock->now(clock->context);
}

static int64_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * CLOCK_US_PER_S + ts.tv_nsec / 1000;
}

static int64_t read_boottime(void *context)
{
	return read_clock(CLOCK_BOOTTIME);
}

static int64_t read_realtime(void *context)
{
	return read_clock(CLOCK_REALTIME);
}

/*
 * CLOCK_BOOTTIME runs on while a VM is suspended, which CLOCK_MONOTONIC does
 * not. A lease holder that was suspended therefore sees its lease as lapsed.
 */
clock_source_t clock_boottime(void)
{
	return (clock_source_t){read_boottime, NULL};
}

/* Wall time, for log lines and the hybrid logical clock only. */
clock_source_t clock_realtime(void)
{
	return (clock_source_t){read_realtime, NULL};
}

/* Sets up a hybrid logical clock over a wall clock. */
void hlc_init(hlc_t *hlc, clock_source_t wall)
{
	hlc->wall = wall;
	hlc->last = 0;
}

/* Returns a stamp greater than every stamp returned or received before. */
uint64_t hlc_now(hlc_t *hlc)
{
	uint64_t wall = (uint64_t)(clock_now(&hlc->wall) / CLOCK_US_PER_MS)
			<< HLC_COUNTER_BITS;

	hlc->last = wall > hlc->last ? wall : hlc->last + 1;
	return hlc->last;
}

/* Takes in a stamp from a message and returns the stamp of its receipt. */
uint64_t hlc_receive(hlc_t *hlc, uint64_t remote)
{
	uint64_t wall_ms = (uint64_t)(clock_now(&hlc->wall) / CLOCK_US_PER_MS);
	uint64_t limit = (wall_ms + HLC_MAX_AHEAD_MS) << HLC_COUNTER_BITS;

	if (remote > hlc->last && remote <= limit)
		hlc->last = remote;
	return hlc_now(hlc);
}
