#include "process/clock.h"

#include <stddef.h>
#include <time.h>

/*
 * A received stamp further ahead of the own wall clock than this is ignored,
 * so that one VM with a wrong clock cannot advance the clocks of all others.
 */
#define HLC_MAX_AHEAD_MS UINT64_C(60000)
#define HLC_COUNTER_BITS 16

/* Returns the time of a clock in microseconds. */
int64_t clock_now(const clock_source_t *clock)
{
	return clock->now(clock->context);
}

/* Returns the time of a system clock in microseconds. */
static int64_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * CLOCK_US_PER_S + ts.tv_nsec / 1000;
}

/* Returns the time since boot in microseconds. */
static int64_t read_boottime(void *context)
{
	return read_clock(CLOCK_BOOTTIME);
}

/* Returns the wall time in microseconds. */
static int64_t read_realtime(void *context)
{
	return read_clock(CLOCK_REALTIME);
}

/*
 * Returns the clock for all time limits. CLOCK_BOOTTIME goes on while a VM is
 * suspended, unlike CLOCK_MONOTONIC, so that a lease holder that was suspended
 * sees that its lease has lapsed.
 */
clock_source_t clock_boottime(void)
{
	return (clock_source_t){read_boottime, NULL};
}

/*
 * Returns the wall clock, which is only for log lines, recorded times and the
 * hybrid logical clock, since it may be set back.
 */
clock_source_t clock_realtime(void)
{
	return (clock_source_t){read_realtime, NULL};
}

/* Sets up a hybrid logical clock on a wall clock. */
void hlc_init(hlc_t *hlc, clock_source_t wall)
{
	hlc->wall = wall;
	hlc->last = 0;
}

/*
 * Returns a stamp greater than all stamps that were returned or received
 * before.
 */
uint64_t hlc_now(hlc_t *hlc)
{
	uint64_t wall = (uint64_t)(clock_now(&hlc->wall) / CLOCK_US_PER_MS)
			<< HLC_COUNTER_BITS;

	hlc->last = wall > hlc->last ? wall : hlc->last + 1;
	return hlc->last;
}

/*
 * Advances the clock to the stamp of a message and returns a stamp for its
 * receipt.
 */
uint64_t hlc_receive(hlc_t *hlc, uint64_t remote)
{
	uint64_t wall_ms = (uint64_t)(clock_now(&hlc->wall) / CLOCK_US_PER_MS);
	uint64_t limit = (wall_ms + HLC_MAX_AHEAD_MS) << HLC_COUNTER_BITS;

	if (remote > hlc->last && remote <= limit)
		hlc->last = remote;
	return hlc_now(hlc);
}
