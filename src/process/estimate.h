/* Running estimate of how long an engine takes for one token. The code does no
 * I/O and reads no clock; callers pass the time.
 */
#ifndef PROCESS_ESTIMATE_H
#define PROCESS_ESTIMATE_H

#include <stdint.h>

/* Exponential average of the time per token. It is kept as a logarithm, so
 * that a sample of half the time counts as much as one of twice the time.
 */
typedef struct {
	double log_us; /* natural logarithm of microseconds per token */
	int64_t updated_us; /* time of the last sample */
	uint32_t samples; /* 0: log_us is only the initial guess */
} estimate_t;

/* Estimates of one engine, or of the typical engine of a pool. */
typedef struct {
	estimate_t prefill; /* per computed prompt token */
	estimate_t decode; /* per output token of one request */
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
