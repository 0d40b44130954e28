/* Rate of arrivals over the last seconds. Pure: no clock, no I/O. */
#ifndef PROCESS_ARRIVAL_RATE_H
#define PROCESS_ARRIVAL_RATE_H

#include <stdint.h>

/* An empty struct has a rate of 0. */
typedef struct {
	double weight; /* sum of the arrivals, each decaying with its age */
	int64_t updated_us; /* the time for which the sum is right */
} arrival_rate_t;

void arrival_rate_add(arrival_rate_t *rate, int64_t now_us);
double arrival_rate_per_s(const arrival_rate_t *rate, int64_t now_us);

#endif
