/* Reads a desired state from a TOML tree and checks it. */
#ifndef VERSION_READ_H
#define VERSION_READ_H

#include "process/toml.h"
#include "version/state.h"

void read_state(const toml_node_t *root, const char *file, state_t *state,
		diag_t *diag);
bool read_has_key(str_t key);

#endif
