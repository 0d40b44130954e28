/* Exchanges the use of workspaces' limits among the serve processes. */
#ifndef PROCESS_LIMIT_EXCHANGE_H
#define PROCESS_LIMIT_EXCHANGE_H

#include "process/fleet.h"
#include "process/limit.h"

#define REPORT_PIECES_MAX 32

/* Report of another router of which some pieces have arrived. */
typedef struct {
	uint64_t round;
	uint32_t arrived; /* bit for each piece */
	GArray *usage; /* of limit_usage_t */
} partial_report_t;

typedef struct {
	limiter_t *limit; /* borrowed */
	rpc_t *rpc; /* borrowed */
	fleet_t *fleet; /* borrowed */
	clock_source_t clock;
	GPtrArray *names; /* VMs of the settings, sorted; index is the router */
	partial_report_t reports[LIMIT_ROUTERS_MAX];
	guint timer;
} limit_exchange_t;

void limit_exchange_init(limit_exchange_t *limits, limiter_t *limit, rpc_t *rpc,
			 fleet_t *fleet, const settings_t *settings,
			 clock_source_t clock);
void limit_exchange_finish(limit_exchange_t *limits);

#endif
