/* How many model engines of a service should do prefill and how many decode.
 * A stage without an engine is refilled whatever is known of the load. Pure: no clock,
 * no I/O.
 */
#ifndef PROCESS_STAGE_BALANCE_H
#define PROCESS_STAGE_BALANCE_H

#include <stdbool.h>

/* The engines of a service and the mean work that a request gives them. */
typedef struct {
	unsigned prefills; /* engines of each stage */
	unsigned decodes;
	double prefill_us; /* time of one engine for a request's prefill */
	double decode_us; /* time of one engine for a request's decode: the
			     share of the engine's slots or memory that the
			     stream takes, times its duration */
	bool loaded; /* there is traffic that an engine which changes its stage
			cannot serve */
} stage_balance_t;

int stage_balance_changes(const stage_balance_t *balance);
bool stage_balance_has_empty_stage(const stage_balance_t *balance);

#endif
