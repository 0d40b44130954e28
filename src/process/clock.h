/* Injected time source and hybrid logical clock. */
#ifndef PROCESS_CLOCK_H
#define PROCESS_CLOCK_H

#include <stdint.h>

#define CLOCK_US_PER_MS INT64_C(1000)
#define CLOCK_US_PER_S INT64_C(1000000)

/* Microseconds on a clock that never goes back. */
typedef int64_t (*clock_fn_t)(void *context);

typedef struct {
	clock_fn_t now; /* returns microseconds */
	void *context;
} clock_source_t;

int64_t clock_now(const clock_source_t *clock);
clock_source_t clock_boottime(void);
clock_source_t clock_realtime(void);

/*
 * Hybrid logical clock: events of several VMs are ordered by it although
 * their wall clocks differ. The upper 48 bits are milliseconds of wall time,
 * the lower 16 bits count events within one millisecond.
 */
typedef struct {
	clock_source_t wall;
	uint64_t last;
} hlc_t;

void hlc_init(hlc_t *hlc, clock_source_t wall);
uint64_t hlc_now(hlc_t *hlc);
uint64_t hlc_receive(hlc_t *hlc, uint64_t remote);

#endif
