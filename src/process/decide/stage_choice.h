/* Chooses the model engines that change their stage. Pure: no clock, no I/O. */
#ifndef PROCESS_STAGE_CHOICE_H
#define PROCESS_STAGE_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* An engine of the stage that has too many engines. */
typedef struct {
	int64_t streams; /* in progress; have to end before it changes */
	unsigned zone; /* index of its availability zone, from 0 */
	bool usable; /* may be chosen; otherwise it only counts in its zone */
	bool chosen; /* the result */
} stage_candidate_t;

void stage_choose(stage_candidate_t *candidates, size_t n, unsigned zones,
		  unsigned stage_changes);

#endif
