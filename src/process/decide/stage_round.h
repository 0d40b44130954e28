/* When a round of stage orders may begin. Pure. */
#ifndef PROCESS_STAGE_ROUND_H
#define PROCESS_STAGE_ROUND_H

#include <stdbool.h>
#include <stdint.h>

/* Of one service. */
typedef struct {
	int64_t unbalanced_since_us; /* out of balance; 0: it is not */
	int64_t jitter_us; /* of this VM's next attempt */
} stage_round_t;

/* What is known of a service's engines. */
typedef struct {
	int moves; /* engines that should change their stage */
	bool idle; /* there is no traffic yet */
	int64_t last_added_us; /* when the latest engine entered the list */
	int64_t last_leaving_us; /* when one was last seen to leave; 0: never */
	int64_t not_before_us; /* no round of any service begins earlier */
} stage_round_view_t;

bool stage_round_is_due(stage_round_t *round, const stage_round_view_t *view,
			int64_t now_us);

#endif
