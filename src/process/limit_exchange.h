/* Exchanges the usage of limits among routers, from which limit.c computes each
 * router's share. A report is sent by RPC in one or more pieces.
 */
#ifndef PROCESS_LIMIT_EXCHANGE_H
#define PROCESS_LIMIT_EXCHANGE_H

#include "process/fleet.h"
#include "process/limit.h"

/* Pieces of a report; `arrived` has a bit for each. */
#define REPORT_PIECES_MAX 32

/* Report of another router, which is complete once all pieces have arrived. */
typedef struct {
	uint64_t round;
	uint32_t arrived; /* bit for each piece */
	GArray *usage; /* of limit_usage_t */
} partial_report_t;

/* Exchange of this router's usage with all others. */
typedef struct {
	limiter_t *limiter; /* borrowed */
	rpc_t *rpc; /* borrowed */
	fleet_t *fleet; /* borrowed */
	clock_source_t clock;
	GPtrArray *names; /* of the VMs in the settings, sorted; a VM's index is
			   * the index of its router
			   */
	partial_report_t reports[LIMIT_ROUTERS_MAX];
	guint timer;
} limit_exchange_t;

void limit_exchange_init(limit_exchange_t *exchange, limiter_t *limiter,
			 rpc_t *rpc, fleet_t *fleet, const settings_t *settings,
			 clock_source_t clock);
void limit_exchange_finish(limit_exchange_t *exchange);

#endif
