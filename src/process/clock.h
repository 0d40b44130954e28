/* Time sources, which tests can replace, and a hybrid logical clock. */
#ifndef PROCESS_CLOCK_H
#define PROCESS_CLOCK_H

#include <stdint.h>

#define CLOCK_US_PER_MS INT64_C(1000)
#define CLOCK_US_PER_S INT64_C(1000000)

/* Returns the microseconds of a clock. */
typedef int64_t (*clock_fn_t)(void *context);

/* A clock, given to each part that needs the time. */
typedef struct {
	clock_fn_t now;
	void *context;
} clock_source_t;

int64_t clock_now(const clock_source_t *clock);
clock_source_t clock_boottime(void);
clock_source_t clock_realtime(void);

/*
 * Hybrid logical clock. Its stamps order the events of several VMs although
 * their wall clocks differ. The upper 48 bits of a stamp are milliseconds of
 * wall time, the lower 16 bits count events within a millisecond.
 */
typedef struct {
	clock_source_t wall;
	uint64_t last; /* greatest stamp returned or taken over */
} hlc_t;

void hlc_init(hlc_t *hlc, clock_source_t wall);
uint64_t hlc_now(hlc_t *hlc);
uint64_t hlc_receive(hlc_t *hlc, uint64_t remote);

#endif
