/* Decides when a round of stage orders may begin. A round tells some engines of
 * a service to change their stage. Pure: no clock, no I/O.
 */
#ifndef PROCESS_STAGE_ROUND_H
#define PROCESS_STAGE_ROUND_H

#include <stdbool.h>
#include <stdint.h>

/* State of one service between calls. */
typedef struct {
	int64_t unbalanced_since_us; /* 0: its stages are in balance */
	int64_t jitter_us; /* random delay of this VM's next round */
} stage_round_state_t;

/* What is known of a service's engines. */
typedef struct {
	int stage_changes; /* engines that should change their stage: > 0 to
			      decode, < 0 to prefill, 0: none */
	bool first; /* no round has changed the service's stages yet */
	bool empty; /* one stage has no engine */
	int64_t last_added_us; /* when an engine last entered the list */
	int64_t last_leaving_us; /* when one last began to leave; 0: never */
	int64_t no_round_before_us; /* after the latest round of the service */
} stage_round_view_t;

bool stage_round_is_due(stage_round_state_t *round,
			const stage_round_view_t *view, int64_t now_us);

#endif
