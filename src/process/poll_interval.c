#include "process/poll_interval.h"

#include <stdint.h>
#include <time.h>

#include "process/clock.h"

/*
 * A turn of the loop costs time for each open connection, whatever happened on
 * them. Waiting this long for further events makes turns fewer and chunks
 * larger; it delays a token by as much, which is small against 46 ms between
 * tokens.
 */
#define MIN_TURN_US (2 * CLOCK_US_PER_MS)

static int64_t last_turn_us;

static void sleep_us(int64_t us)
{
	struct timespec ts = {
		.tv_sec = us / CLOCK_US_PER_S,
		.tv_nsec = us % CLOCK_US_PER_S * 1000,
	};

	nanosleep(&ts, NULL);
}

/* Polls at most once in MIN_TURN_US unless something is ready already. */
static gint paced_poll(GPollFD *fds, guint n, gint timeout_ms)
{
	clock_source_t clock = clock_boottime();
	int64_t wait_us = last_turn_us + MIN_TURN_US - clock_now(&clock);

	if (timeout_ms != 0 && wait_us > 0 && wait_us <= MIN_TURN_US) {
		if (timeout_ms > 0)
			wait_us = MIN(wait_us, timeout_ms * CLOCK_US_PER_MS);
		sleep_us(wait_us);
	}
	last_turn_us = clock_now(&clock);
	return g_poll(fds, n,
		      timeout_ms < 0 ? timeout_ms
				     : MAX(timeout_ms - (gint)(MAX(wait_us, 0) /
							       CLOCK_US_PER_MS),
					   0));
}

/* Paces a main context; the process has one. */
void poll_interval_install(GMainContext *context)
{
	g_main_context_set_poll_func(context, paced_poll);
}
