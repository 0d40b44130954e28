/* Desired states of any size for tests. */
#ifndef TESTS_SUPPORT_STATE_H
#define TESTS_SUPPORT_STATE_H

#include "version/state.h"

GString *support_state_text(size_t n_backends, size_t n_workspaces);
void support_state_add_workspace(GString *text, size_t i, double requests_s);
state_t *support_state_parse(const char *text);

#endif
