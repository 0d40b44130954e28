/* Seeded mixes of faults for a deployment under load. */
#ifndef SUPPORT_FAULTS_H
#define SUPPORT_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include "support_deployment.h"

#define FAULTS_MAX 2

typedef enum {
	FAULT_AT_PREFILL,
	FAULT_AT_DECODE,
	FAULT_AT_SERVICE,
	FAULT_AT_ROUTER,
	FAULT_AT_PLATFORM,
} fault_place_t;

typedef enum {
	FAULT_KILL, /* SIGKILL, and a restart at the end */
	FAULT_STOP, /* SIGSTOP, and SIGCONT at the end */
	FAULT_CRASH, /* as FAULT_KILL, at a point that `on` chooses */
	FAULT_SET, /* `on` at the begin, `off` at the end */
} fault_action_t;

typedef struct {
	const char *name;
	fault_place_t place;
	fault_action_t action;
	const char *on; /* bodies of POST /fault */
	const char *off;
} fault_kind_t;

typedef struct {
	const fault_kind_t *kind;
	unsigned index; /* of the process */
	int64_t begin_us; /* after the start of the load */
	int64_t end_us;
} fault_t;

typedef struct {
	fault_t faults[FAULTS_MAX];
	unsigned n;
} faults_t;

void faults_draw(faults_t *faults, unsigned n,
		 const deployment_config_t *config, int64_t load_us,
		 uint64_t *seed);
void faults_print(const faults_t *faults);
void faults_run(const faults_t *faults, deployment_t *deployment);
bool faults_kill_router(const faults_t *faults);

#endif
