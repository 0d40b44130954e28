/* Exchanges the use of workspaces' limits among the serve processes. */
#ifndef PROCESS_LIMITS_H
#define PROCESS_LIMITS_H

#include "process/fleet.h"
#include "process/limit.h"

#define LIMITS_PIECES_MAX 32

/* Report of another router of which some pieces have arrived. */
typedef struct {
	uint64_t round;
	uint32_t arrived; /* bit for each piece */
	GArray *usage; /* of limit_usage_t */
} limits_report_t;

typedef struct {
	limit_t *limit; /* borrowed */
	rpc_t *rpc; /* borrowed */
	fleet_t *fleet; /* borrowed */
	clock_source_t clock;
	GPtrArray *names; /* VMs of the settings, sorted; index is the router */
	limits_report_t reports[LIMIT_ROUTERS_MAX];
	guint timer;
} limits_t;

void limits_init(limits_t *limits, limit_t *limit, rpc_t *rpc, fleet_t *fleet,
		 const settings_t *settings, clock_source_t clock);
void limits_finish(limits_t *limits);

#endif
