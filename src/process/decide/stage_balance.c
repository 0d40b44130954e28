#include "process/decide/stage_balance.h"

#include <math.h>

#include "process/str.h"

/* Factor by which prefill engines are given more than their share of the work:
 * a request whose prompt has to queue misses its target, while one in a full
 * decode batch does not.
 */
#define PREFILL_MARGIN 1.1

/* Prefill engines wanted beyond that share. The stage often has only a few, and
 * one that is lost is a large part of it.
 */
#define SPARE_PREFILLS 0.45

/* Smallest difference from the wanted number of engines that is corrected. */
#define MIN_DIFFERENCE 0.6

/* Part of an engine that is rounded up to a whole one; the rest is not worth
 * what the engine does not serve while it changes.
 */
#define ROUND_UP 0.35

/* The same under load: the larger of this number and this share of the engines
 * that the stage which lacks some should have. An engine that changes its stage
 * then serves nothing for ten seconds or more, and the known load is out of date
 * sooner than that.
 */
#define MIN_LOADED_DIFFERENCE 1.2
#define MIN_LOADED_SHARE 0.25

/* Share of the engines that refill an empty stage while the work of a request is
 * unknown.
 */
#define REFILL_SHARE 0.25

/* Returns whether one stage has no engine although the service has two or more. */
bool stage_balance_has_empty_stage(const stage_balance_t *balance)
{
	unsigned engines = balance->prefills + balance->decodes;

	return engines >= 2 &&
	       (balance->prefills == 0 || balance->decodes == 0);
}

/* Returns how many engines refill an empty stage, as stage_balance_changes() does; 0 if
 * none is empty.
 */
static int refill_changes(const stage_balance_t *balance)
{
	int engines = (int)(balance->prefills + balance->decodes);
	int share = MAX((int)(engines * REFILL_SHARE), 1);

	if (!stage_balance_has_empty_stage(balance))
		return 0;
	return balance->decodes == 0 ? share : -share;
}

/* Returns whether the work of a request in one stage, in microseconds, is known. */
static bool is_known(double us)
{
	return us > 0 && isfinite(us);
}

/* Returns the smallest difference that is corrected, in engines, where the stage
 * that lacks some should have `wanted`.
 */
static double min_difference(const stage_balance_t *balance, double wanted)
{
	if (!balance->loaded)
		return MIN_DIFFERENCE;
	return fmax(MIN_LOADED_DIFFERENCE, MIN_LOADED_SHARE * wanted);
}

/*
 * Returns how many engines to change from prefill to decode, or as a negative
 * number from decode to prefill. At least one engine stays in each stage. 0 if
 * the work of a request is unknown and no stage is empty.
 */
int stage_balance_changes(const stage_balance_t *balance)
{
	double prefill = balance->prefill_us * PREFILL_MARGIN;
	double engines = balance->prefills + balance->decodes;
	double wanted, difference;
	int stage_changes;

	if (engines < 2)
		return 0;
	if (!is_known(balance->prefill_us) || !is_known(balance->decode_us))
		return refill_changes(balance);
	wanted = engines * prefill / (prefill + balance->decode_us) +
		 SPARE_PREFILLS;
	wanted = fmin(fmax(wanted, 1), engines - 1);
	difference = (double)balance->prefills - wanted;
	if (fabs(difference) <
	    min_difference(balance, difference < 0 ? wanted : engines - wanted))
		return refill_changes(balance);
	stage_changes = (int)(fabs(difference) + ROUND_UP);
	if (difference < 0)
		stage_changes = -stage_changes;
	if (stage_changes == 0)
		return refill_changes(balance);
	if (stage_changes > 0 && (unsigned)stage_changes >= balance->prefills)
		stage_changes = (int)balance->prefills - 1;
	if (stage_changes < 0 && (unsigned)-stage_changes >= balance->decodes)
		stage_changes = 1 - (int)balance->decodes;
	return stage_changes;
}
