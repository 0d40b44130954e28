/* Settings of one serve process, read once at its start from a TOML file. */
#ifndef PROCESS_SETTINGS_H
#define PROCESS_SETTINGS_H

#include <stdint.h>

#include "process/diag.h"
#include "process/log.h"

/*
 * Another entry VM of the deployment, to which this one sends its first
 * messages.
 */
typedef struct {
	char *vm;
	char *zone;
	char *address; /* IP:port of the RPC socket */
} settings_peer_t;

/*
 * A key for the authentication of RPC messages. Messages signed with any
 * configured key are accepted; the first key signs.
 */
typedef struct {
	uint32_t id;
	GBytes *secret;
} settings_rpc_key_t;

/* The settings. All strings are allocated and freed by settings_finish(). */
typedef struct {
	char *deployment;
	char *vm;
	char *zone;
	char *callers_address; /* IP:port of the callers' listener */
	char *operators_address; /* IP:port of the operators' listener */
	char *rpc_address; /* IP:port, UDP */
	char *platform_address; /* IP:port, or NULL when state_file is set */
	char *operator_token_sha256;
	char *state_file; /* desired state if there is no platform, or NULL */
	char *log_file; /* NULL: standard error */
	log_level_t log_level;
	int64_t drain_notice_ms; /* requests are still accepted after SIGTERM */
	int64_t shutdown_limit_ms; /* limit for requests in progress */
	GArray *peers; /* of settings_peer_t */
	GArray *keys; /* of settings_rpc_key_t */
	char *routing_policy; /* see docs/routing.md */
} settings_t;

bool settings_parse(const char *text, size_t len, const char *name,
		    settings_t *settings, diag_t *diag);
bool settings_load(const char *path, settings_t *settings, diag_t *diag);
void settings_finish(settings_t *settings);
bool settings_has_key(str_t key);

#endif
