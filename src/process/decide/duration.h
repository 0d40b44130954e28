/* Conversion of calculated durations to whole microseconds. */
#ifndef PROCESS_DURATION_H
#define PROCESS_DURATION_H

#include <stdint.h>

#include "process/clock.h"

/* Longest time that is estimated, in microseconds. Callers wait an hour at most; sums of
 * many such times and the current time fit into an int64_t.
 */
#define DURATION_MAX_ESTIMATE_US (INT64_C(24) * 3600 * CLOCK_US_PER_S)

int64_t duration_estimate_us(double us);

#endif
