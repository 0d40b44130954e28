/* How many model engines of a service should prefill and how many decode.
 * Pure.
 */
#ifndef PROCESS_STAGE_BALANCE_H
#define PROCESS_STAGE_BALANCE_H

#include <stdbool.h>

typedef struct {
	unsigned prefills; /* engines of each stage */
	unsigned decodes;
	double prefill_us; /* of one engine, for one request */
	double decode_us; /* of one engine, for one request: its part of the
			     batch, or of the memory, times its duration */
	bool loaded; /* a change now takes an engine from its requests */
} stage_balance_t;

int stage_balance_moves(const stage_balance_t *balance);

#endif
