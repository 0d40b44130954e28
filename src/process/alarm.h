/* Timer of the main loop, set to a deadline on a given clock. */
#ifndef PROCESS_ALARM_H
#define PROCESS_ALARM_H

#include <glib.h>

#include "process/clock.h"

/* Called when the deadline has passed. */
typedef void (*alarm_fn_t)(void *context);

/* A timer. It must not move in memory after alarm_init(). */
typedef struct {
	GSource *source;
	clock_source_t clock;
	alarm_fn_t fn;
	void *context;
	int64_t at_us; /* deadline on `clock`; -1: not set */
} alarm_t;

void alarm_init(alarm_t *alarm, clock_source_t clock, alarm_fn_t fn,
		void *context);
void alarm_set(alarm_t *alarm, int64_t at_us);
void alarm_finish(alarm_t *alarm);

#endif
