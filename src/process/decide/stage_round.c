#include "process/decide/stage_round.h"

#include "process/clock.h"

/* How long the stages must have been out of balance. Servers crash and come
 * back; before there is any traffic, only the list has to be complete.
 */
#define SETTLED_US (6 * CLOCK_US_PER_S)

/* Engines that start together enter the list one by one within about this
 * time of each other, and a round that begins before the list is complete
 * leaves the stages out of balance until the next one.
 */
#define COMPLETE_US (1600 * CLOCK_US_PER_MS)

/* A server that leaves as planned does not come back, so that there is nothing
 * to wait for but its fellows.
 */
#define SETTLED_LEAVING_US (400 * CLOCK_US_PER_MS)
#define LEFT_LATELY_US (10 * CLOCK_US_PER_S)

static int64_t settled_from_us(const stage_round_t *round,
			       const stage_round_view_t *view, int64_t now_us)
{
	if (view->last_leaving_us != 0 &&
	    now_us - view->last_leaving_us < LEFT_LATELY_US)
		return round->unbalanced_since_us + SETTLED_LEAVING_US;
	if (!view->idle)
		return round->unbalanced_since_us + SETTLED_US;
	return (view->last_added_us > round->unbalanced_since_us
			? view->last_added_us
			: round->unbalanced_since_us) +
	       COMPLETE_US;
}

/* Tells whether the time has come for a round that would move engines. */
bool stage_round_is_due(stage_round_t *round, const stage_round_view_t *view,
			int64_t now_us)
{
	if (view->moves == 0) {
		round->unbalanced_since_us = 0;
		return false;
	}
	if (round->unbalanced_since_us == 0)
		round->unbalanced_since_us = now_us;
	return now_us >= settled_from_us(round, view, now_us) +
				 round->jitter_us &&
	       now_us >= view->not_before_us;
}
