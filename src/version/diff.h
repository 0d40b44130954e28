/* Differences between two desired states, for people. */
#ifndef VERSION_DIFF_H
#define VERSION_DIFF_H

#include "version/state.h"

size_t diff_states(const state_t *from, const state_t *to, GString *out);

#endif
