/* What all requests of one serve process share. */
#ifndef PROCESS_ROUTER_H
#define PROCESS_ROUTER_H

#include "connection/client.h"
#include "process/backends.h"
#include "process/scheduler.h"
#include "process/settings.h"
#include "request/canceller.h"
#include "request/retry.h"
#include "version/state.h"

typedef struct {
	const settings_t *settings;
	clock_source_t clock; /* CLOCK_BOOTTIME */
	hlc_t hlc;
	client_t client;
	backends_t backends;
	reserve_t reserve;
	scheduler_t scheduler;
	canceller_t canceller;
	retry_budget_t retry_budget;
	state_t *state; /* version in effect; NULL until one is known */
	uint64_t incarnation; /* microseconds of wall time at start */
	uint64_t id_prefix; /* from VM and incarnation */
	uint64_t id_counter;
	GQueue requests; /* of request_t, in progress */
	GQueue forwards; /* of forward_t, in progress */
	bool draining; /* no longer ready, finishing what is in progress */
	GMainLoop *loop;
} router_t;

void router_make_id(router_t *router, char id[33]);

#endif
