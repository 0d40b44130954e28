#include "process/decide/stage_choice.h"

#include "process/str.h"

/* Number of streams that one more engine in the same zone outweighs. */
#define ZONE_WEIGHT 10

/*
 * Marks up to `stage_changes` of the `n` candidates, whose zones are below `zones`, as
 * chosen. Each choice prefers the zone with the most engines of the stage, so
 * that every zone keeps engines of both stages if it can, and then the engine
 * with the fewest streams, as its change begins only when they have ended.
 */
void stage_choose(stage_candidate_t *candidates, size_t n, unsigned zones,
		  unsigned stage_changes)
{
	int64_t *left = g_new0(int64_t, MAX(zones, 1));

	for (size_t i = 0; i < n; i++)
		left[candidates[i].zone]++;
	while (stage_changes-- > 0) {
		stage_candidate_t *best = NULL;
		int64_t best_score = 0;

		for (size_t i = 0; i < n; i++) {
			stage_candidate_t *candidate = &candidates[i];
			int64_t score = ZONE_WEIGHT * left[candidate->zone] -
					candidate->streams;

			if (!candidate->usable || candidate->chosen ||
			    (best && score <= best_score))
				continue;
			best = candidate;
			best_score = score;
		}
		if (!best)
			break;
		best->chosen = true;
		left[best->zone]--;
	}
	g_free(left);
}
