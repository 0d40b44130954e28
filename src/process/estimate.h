/* Online estimate of how long an engine takes for one token. Pure. */
#ifndef PROCESS_ESTIMATE_H
#define PROCESS_ESTIMATE_H

#include <stdint.h>

typedef struct {
	double log_us; /* natural logarithm of microseconds a token */
	int64_t updated_us; /* time of the last sample */
	uint32_t samples; /* 0: nothing known */
} estimate_t;

/* Estimates of one engine or, as the typical engine, of one pool. */
typedef struct {
	estimate_t prefill; /* microseconds a computed prompt token */
	estimate_t decode; /* microseconds an output token of one request */
} engine_estimates_t;

void estimate_init(estimate_t *estimate, double initial_us);
void estimate_add(estimate_t *estimate, int64_t elapsed_us, int64_t tokens,
		  int64_t now_us);
void estimate_add_lower_bound(estimate_t *estimate, int64_t elapsed_us,
			      int64_t tokens, int64_t now_us);
double estimate_us(const estimate_t *estimate, const estimate_t *typical,
		   int64_t now_us);
double estimate_speed(const estimate_t *estimate, const estimate_t *typical,
		      int64_t now_us);

#endif
