/* Which model engines change their stage. Pure. */
#ifndef PROCESS_STAGE_CHOICE_H
#define PROCESS_STAGE_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* An engine of the stage that has too many. */
typedef struct {
	int64_t streams; /* that a change has to wait for */
	unsigned zone; /* a small number for each availability zone */
	bool usable; /* may be chosen; the others only count in their zone */
	bool chosen;
} stage_candidate_t;

void stage_choose(stage_candidate_t *candidates, size_t n, unsigned zones,
		  unsigned moves);

#endif
