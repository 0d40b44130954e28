#include "process/poll_interval.h"

#include <stdint.h>
#include <time.h>

#include "process/clock.h"

/*
 * Each iteration of the main loop takes time for every open connection, also
 * for idle ones. Waiting this long for further events gives fewer iterations
 * and larger chunks. It delays a token by up to this time, which is short
 * compared with the 46 ms between tokens.
 */
#define MIN_POLL_INTERVAL_US (2 * CLOCK_US_PER_MS)

/* When the last poll began. */
static int64_t last_poll_us;

/* Sleeps for a time, or less if a signal arrives. */
static void sleep_us(int64_t us)
{
	struct timespec ts = {
		.tv_sec = us / CLOCK_US_PER_S,
		.tv_nsec = us % CLOCK_US_PER_S * 1000,
	};

	nanosleep(&ts, NULL);
}

/* Polls no sooner than MIN_POLL_INTERVAL_US after the last poll, except when
 * the main loop has work to do at once and the timeout is 0. The time slept
 * counts against the timeout. Parameters and result are those of g_poll().
 */
static gint poll_at_interval(GPollFD *fds, guint n, gint timeout_ms)
{
	clock_source_t clock = clock_boottime();
	int64_t wait_us =
		last_poll_us + MIN_POLL_INTERVAL_US - clock_now(&clock);

	if (timeout_ms != 0 && wait_us > 0 && wait_us <= MIN_POLL_INTERVAL_US) {
		if (timeout_ms > 0)
			wait_us = MIN(wait_us, timeout_ms * CLOCK_US_PER_MS);
		sleep_us(wait_us);
	}
	last_poll_us = clock_now(&clock);
	return g_poll(fds, n,
		      timeout_ms < 0 ? timeout_ms
				     : MAX(timeout_ms - (gint)(MAX(wait_us, 0) /
							       CLOCK_US_PER_MS),
					   0));
}

/* Limits the poll rate of a main context. Only one context in a process can be
 * limited, since the time of the last poll is kept in a static variable.
 */
void poll_interval_install(GMainContext *context)
{
	g_main_context_set_poll_func(context, poll_at_interval);
}
