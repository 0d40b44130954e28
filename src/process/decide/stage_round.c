#include "process/decide/stage_round.h"

#include "process/clock.h"
#include "process/str.h"

/* How long the stages must have been out of balance under load, as a server
 * that crashed may be restarted.
 */
#define UNBALANCED_US (6 * CLOCK_US_PER_S)

/* The same before the first round, which corrects the stages that the engines
 * started with. Engines that start together enter the list one by one within
 * about this time of each other. A round that begins before the list is
 * complete leaves the stages out of balance until the next one.
 */
#define COMPLETE_US (1600 * CLOCK_US_PER_MS)

/* Replaces UNBALANCED_US when a server has begun to leave within the last
 * LEFT_RECENTLY_US. A server that leaves as planned does not return, so the
 * round waits only for others that leave together with it.
 */
#define UNBALANCED_LEAVING_US (400 * CLOCK_US_PER_MS)
#define LEFT_RECENTLY_US (10 * CLOCK_US_PER_S)

/* The same when one of the stages has no engine, so that the service serves nothing. A
 * server that crashed has been missing from the list for long by then.
 */
#define EMPTY_US (1 * CLOCK_US_PER_S)

/* Returns the time from which the engines count as settled, if nothing else
 * changes. The stages are out of balance.
 */
static int64_t settled_from_us(const stage_round_state_t *round,
			       const stage_round_view_t *view, int64_t now_us)
{
	int64_t complete_us = view->last_added_us + COMPLETE_US;

	if (view->last_leaving_us != 0 &&
	    now_us - view->last_leaving_us < LEFT_RECENTLY_US)
		return MAX(round->unbalanced_since_us + UNBALANCED_LEAVING_US,
			   view->empty ? complete_us : 0);
	if (view->empty)
		return MAX(round->unbalanced_since_us + EMPTY_US, complete_us);
	if (!view->first)
		return round->unbalanced_since_us + UNBALANCED_US;
	return complete_us;
}

/* Returns whether a round that changes the stages of engines may begin now.
 * Updates since when the stages are out of balance.
 */
bool stage_round_is_due(stage_round_state_t *round,
			const stage_round_view_t *view, int64_t now_us)
{
	if (view->stage_changes == 0) {
		round->unbalanced_since_us = 0;
		return false;
	}
	if (round->unbalanced_since_us == 0)
		round->unbalanced_since_us = now_us;
	return now_us >= settled_from_us(round, view, now_us) +
				 round->jitter_us &&
	       now_us >= view->no_round_before_us;
}
