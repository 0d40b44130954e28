#include "process/decide/stage_balance.h"

#include <math.h>

/* Prefill engines are given this much more than their share of the work: a
 * prompt that queues misses the target, while a full decode batch does not.
 */
#define PREFILL_MARGIN 1.25

/* Smaller differences are left as they are. */
#define LEAST_DIFFERENCE 0.6

/* Under load an engine that changes its stage serves nothing for ten seconds
 * or more, and what is known of the load changes in less time than that.
 */
#define LEAST_LOADED_DIFFERENCE 1.2
#define LEAST_LOADED_SHARE 0.15

static double least_difference(const stage_balance_t *balance, double engines)
{
	if (!balance->loaded)
		return LEAST_DIFFERENCE;
	return fmax(LEAST_LOADED_DIFFERENCE, LEAST_LOADED_SHARE * engines);
}

/*
 * Engines to turn from prefill to decode; negative: the other way. Each stage
 * keeps an engine.
 */
int stage_balance_moves(const stage_balance_t *balance)
{
	double prefill = balance->prefill_us * PREFILL_MARGIN;
	double engines = balance->prefills + balance->decodes;
	double wanted, difference;
	int moves;

	if (engines < 2 || prefill <= 0 || balance->decode_us <= 0)
		return 0;
	wanted = engines * prefill / (prefill + balance->decode_us);
	wanted = fmin(fmax(wanted, 1), engines - 1);
	difference = (double)balance->prefills - wanted;
	if (fabs(difference) < least_difference(balance, engines))
		return 0;
	moves = (int)lround(difference);
	if (moves == 0)
		moves = difference > 0 ? 1 : -1;
	if (moves > 0 && (unsigned)moves >= balance->prefills)
		moves = (int)balance->prefills - 1;
	if (moves < 0 && (unsigned)-moves >= balance->decodes)
		moves = 1 - (int)balance->decodes;
	return moves;
}
