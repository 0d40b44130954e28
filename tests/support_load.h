/* Open-loop load on a deployment and the audit of what became of it. */
#ifndef SUPPORT_LOAD_H
#define SUPPORT_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "shared_audit.h"
#include "support_deployment.h"

typedef struct {
	uint64_t seed;
	unsigned rate; /* arrivals in a second */
	unsigned duration_ms; /* of arrivals */
	unsigned timeout_ms; /* of a request */
	unsigned leave_percent; /* callers that leave early */
	unsigned plain_percent; /* each of repeatable and unrepeatable calls */
} load_run_config_t;

typedef struct {
	deployment_t *deployment;
	load_run_config_t config;
	process_t process;
	char *results; /* path */
	char *line; /* what tool_load printed */
} load_run_t;

void load_run_start(load_run_t *run, deployment_t *deployment,
		    const load_run_config_t *config);
void load_run_join(load_run_t *run);
int64_t load_run_count(const load_run_t *run, const char *key);
unsigned load_run_unexplained(const load_run_t *run);
bool load_run_audit(const load_run_t *run, int64_t release_bound_us,
		    audit_counts_t *counts);
void load_run_finish(load_run_t *run);

#endif
