/* Settings of the process of an entry VM on the users' platform. */
#ifndef PROCESS_ENTRY_SETTINGS_H
#define PROCESS_ENTRY_SETTINGS_H

#include <stdint.h>

#include "process/diag.h"
#include "process/log.h"

/* Each field has the name of its key in the file. The texts are owned. */
typedef struct {
	char *vm; /* name of this VM, unlike that of any other */
	char *zone; /* availability zone of this VM */
	char *callers_address; /* IP:port of the callers' listener */
	char *ready_address; /* IP:port where the balancer checks health */
	char *metrics_address; /* IP:port where metrics are read */
	char *peer_address; /* IP:port, UDP, for other entry VMs */
	char *store_address; /* IP:port of the platform's store */
	log_level_t log_level;
	double shutdown_limit_s; /* the process ends within it after SIGTERM */
	bool bootstrap; /* the deployment starts for the first time */
	double retry_share; /* retries of all VMs for each request */
	double retry_slack; /* further retries of all VMs in a time window */
} entry_settings_t;

bool entry_settings_parse(const char *text, size_t len, const char *name,
			  entry_settings_t *settings, diag_t *diag);
bool entry_settings_load(const char *path, entry_settings_t *settings,
			 diag_t *diag);
void entry_settings_finish(entry_settings_t *settings);

#endif
