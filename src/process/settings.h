/* Settings of one serve process, read once from a TOML file. */
#ifndef PROCESS_SETTINGS_H
#define PROCESS_SETTINGS_H

#include <stdint.h>

#include "process/diag.h"
#include "process/log.h"

/* An own process, as far as it is known from the settings. */
typedef struct {
	char *vm;
	char *zone;
	char *address; /* IP:port of the RPC socket */
} settings_peer_t;

/* A key for authenticating RPC messages; all are accepted, the first signs. */
typedef struct {
	uint32_t id;
	GBytes *secret;
} settings_rpc_key_t;

typedef struct {
	char *deployment;
	char *vm;
	char *zone;
	char *callers_address; /* IP:port of the callers' listener */
	char *operators_address; /* IP:port of the operators' listener */
	char *rpc_address; /* IP:port, UDP */
	char *platform_address; /* IP:port, or NULL when state_file is set */
	char *operator_token_sha256;
	char *state_file; /* start state for use without a platform, or NULL */
	char *log_file; /* NULL: standard error */
	log_level_t log_level;
	int64_t drain_notice_ms; /* still accepting after SIGTERM */
	int64_t shutdown_limit_ms; /* in-flight requests end within this */
	GArray *peers; /* of settings_peer_t; first contacts */
	GArray *keys; /* of settings_rpc_key_t */
	char *routing_policy; /* see docs/routing.md */
} settings_t;

bool settings_parse(const char *text, size_t len, const char *name,
		    settings_t *settings, diag_t *diag);
bool settings_load(const char *path, settings_t *settings, diag_t *diag);
void settings_finish(settings_t *settings);
bool settings_has_key(str_t key);

#endif
