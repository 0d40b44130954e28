/* The desired state of a deployment, as applied by an operator: immutable and
 * reference-counted. A request holds one reference from start to end, so that
 * it is decided on one version.
 */
#ifndef VERSION_STATE_H
#define VERSION_STATE_H

#include <stdint.h>

#include "process/diag.h"
#include "process/str.h"
#include "process/toml.h"

typedef enum {
	ROLE_PREFILL,
	ROLE_DECODE,
} role_t;

typedef enum {
	SERVICE_MODEL, /* served by a prefill and a decode pool */
	SERVICE_PLAIN, /* forwarded as a whole to one backend server */
} service_kind_t;

typedef struct {
	str_t name;
	str_t version;
	str_t *adapters;
	size_t n_adapters;
} model_t;

/* A set of engines with one model and one role. */
typedef struct {
	str_t name;
	const model_t *model;
	role_t role;
	int64_t kv_tokens; /* KV memory of each engine, tokens */
	bool checks_fencing; /* engines refuse orders with an old token */
	int64_t max_prefills; /* prefills at once on each engine */
} pool_t;

/* A route of a plain service; the longest matching prefix applies. */
typedef struct {
	str_t method; /* "*" matches every method */
	str_t path; /* prefix below /svc/NAME */
	bool repeatable; /* a call may be sent again */
} route_rule_t;

typedef struct {
	str_t name;
	service_kind_t kind;
	const pool_t *prefill; /* SERVICE_MODEL only */
	const pool_t *decode; /* SERVICE_MODEL only */
	str_t adapter; /* may be empty */
	int priority; /* 0 (first) to 9 */
	double worth; /* value of one request answered in time */
	int64_t first_token_ms;
	int64_t inter_token_ms;
	int64_t timeout_ms; /* default and upper limit of a request */
	int64_t max_output_tokens;
	route_rule_t *routes; /* SERVICE_PLAIN only */
	size_t n_routes;
} service_t;

typedef struct {
	str_t name;
	str_t address; /* IP:port */
	str_t zone;
	const pool_t *pool; /* NULL for a plain service */
	const service_t *service; /* NULL for an engine */
	bool leaving; /* gets no new work */
} backend_t;

typedef struct {
	str_t name;
	str_t token_sha256; /* 64 lower-case hex digits */
	const service_t **services;
	size_t n_services;
	double weight; /* share under contention */
	double requests_s; /* rate limit over the fleet; 0: none */
	int64_t concurrency; /* over the fleet; 0: none */
} workspace_t;

typedef struct {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int64_t max_requests; /* in progress on one VM */
	int64_t max_queue; /* queued on one VM */
	int64_t receive_timeout_ms; /* whole request head and body */
	int64_t piece_tokens; /* KV cache piece */
	int64_t transfers_per_link; /* transfers at once to one engine */
	int64_t kv_kept_ms; /* how long engines keep a result */
	double retry_share; /* retries as a share of first sends */
} state_limits_t;

typedef struct {
	int refs;
	uint64_t version; /* 0 until submitted */
	str_t deployment;
	str_t *zones;
	size_t n_zones;
	model_t *models;
	size_t n_models;
	pool_t *pools;
	size_t n_pools;
	service_t *services;
	size_t n_services;
	backend_t *backends;
	size_t n_backends;
	workspace_t *workspaces;
	size_t n_workspaces;
	state_limits_t limits;
	GStringChunk *strings; /* owns the bytes of every str_t here */
	GHashTable *by_token; /* token_sha256 (char *) to workspace_t */
} state_t;

bool state_parse(const char *text, size_t len, const char *name,
		 state_t **state, diag_t *diag);
bool state_from_tree(const toml_node_t *root, const char *name, state_t **state,
		     diag_t *diag);
state_t *state_ref(state_t *state);
void state_unref(state_t *state);
const service_t *state_find_service(const state_t *state, str_t name);
const workspace_t *state_find_workspace(const state_t *state,
					const char *token_sha256);
bool workspace_may_call(const workspace_t *workspace, const service_t *service);
const route_rule_t *service_find_route(const service_t *service, str_t method,
				       str_t path);

#endif
