/* A whole deployment on loopback for tests: fakes and serve processes. */
#ifndef SUPPORT_DEPLOYMENT_H
#define SUPPORT_DEPLOYMENT_H

#include "support_process.h"

#define DEPLOYMENT_MAX 8
#define DEPLOYMENT_TOKEN "test-token"
#define DEPLOYMENT_OPERATOR_TOKEN "test-operator-token"
#define DEPLOYMENT_HEADERS                                                  \
	((const char *const[]){"Authorization", "Bearer " DEPLOYMENT_TOKEN, \
			       NULL})

typedef struct {
	unsigned prefills; /* engines, at most DEPLOYMENT_MAX of each kind */
	unsigned decodes;
	unsigned services; /* replicas of the plain service "listing" */
	unsigned routers;
	unsigned zones; /* zone-1 to zone-N, members in turn; 0: one */
	bool platform; /* otherwise routers read the state from a file */
	bool state_file_too; /* read from the file although there is one */
	const char *policy; /* NULL: the default */
	const char *const *engine_args; /* NULL-terminated, may be NULL */
	const char *state_extra; /* appended to the state, may be NULL */
	int64_t kv_tokens; /* of each engine; 0: 60000 */
	int64_t first_token_ms; /* target; 0: 5000 */
	int64_t shutdown_limit_ms; /* 0: 5000 */
	int64_t drain_notice_ms; /* 0: 100 */
} deployment_config_t;

typedef struct {
	deployment_config_t config;
	char *dir; /* temporary, removed by deployment_finish() */
	process_t prefill[DEPLOYMENT_MAX];
	process_t decode[DEPLOYMENT_MAX];
	process_t service[DEPLOYMENT_MAX];
	process_t router[DEPLOYMENT_MAX];
	process_t platform;
	char *prefill_address[DEPLOYMENT_MAX];
	char *decode_address[DEPLOYMENT_MAX];
	char *service_address[DEPLOYMENT_MAX];
	char *callers_address[DEPLOYMENT_MAX];
	char *operators_address[DEPLOYMENT_MAX];
	char *rpc_address[DEPLOYMENT_MAX];
	char *platform_address;
	char *state_path;
} deployment_t;

typedef enum {
	DEPLOYMENT_PREFILL,
	DEPLOYMENT_DECODE,
	DEPLOYMENT_SERVICE,
} deployment_role_t;

void deployment_start(deployment_t *deployment,
		      const deployment_config_t *config);
void deployment_finish(deployment_t *deployment);
void deployment_start_router(deployment_t *deployment, unsigned index);
void deployment_stop_router(deployment_t *deployment, unsigned index);
int deployment_apply(const deployment_t *deployment, const char *path,
		     const char *base);
void deployment_wait_ready(const deployment_t *deployment, unsigned index);
void deployment_restart_backend(deployment_t *deployment,
				deployment_role_t role, unsigned index);
char *deployment_record_path(const deployment_t *deployment, const char *role,
			     unsigned index);
char *deployment_log(const deployment_t *deployment, unsigned index);
char *deployment_log_path(const deployment_t *deployment, unsigned index);

#endif
