/* Canonical TOML text of a desired state: equal states give equal bytes. */
#ifndef VERSION_WRITE_H
#define VERSION_WRITE_H

#include "version/state.h"

void write_head(const state_t *state, GString *out);
void write_zones(const state_t *state, GString *out);
void write_models(const state_t *state, GString *out);
void write_pools(const state_t *state, GString *out);
void write_services(const state_t *state, GString *out);
void write_backend(const backend_t *backend, GString *out);
void write_workspace(const workspace_t *workspace, GString *out);
GPtrArray *write_sorted_backends(const state_t *state);
GPtrArray *write_sorted_workspaces(const state_t *state);
void write_state(const state_t *state, GString *out);

#endif
