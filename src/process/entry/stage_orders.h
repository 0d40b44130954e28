/* Orders to model engines to change their stage, given by one VM at a time.
 *
 * A round of orders begins with a conditional write to the store that names
 * the holder, its fencing token and the engines. All VMs follow that row: they
 * leave the engines alone until the change is done, and none begins another
 * round before the holder's orders are long past.
 */
#ifndef PROCESS_STAGE_ORDERS_H
#define PROCESS_STAGE_ORDERS_H

#include "process/decide/occupancy.h"
#include "process/decide/server_set.h"
#include "process/decide/stage_balance.h"
#include "process/decide/stage_choice.h"
#include "process/decide/stage_round.h"
#include "process/entry/store.h"
#include "version/route_table.h"

/* Keys of the rows of rounds begin so. */
#define STAGE_ROUND_PREFIX "stage/"

typedef struct {
	clock_source_t clock;
	http_pool_t *server_pool;
	server_set_t *servers;
	occupancy_t *occupancy;
	const char *vm;
	char *store_address;
	store_call_t call;
	char *service; /* of the round that is being prepared */
	GPtrArray *chosen; /* of server_t, to be ordered */
	stage_t to_stage;
	unsigned moves; /* engines to choose */
	int64_t fence; /* of the round being prepared */
	int64_t write_sent_us;
	GHashTable *rounds; /* service to stage_round_t */
	int64_t next_round_us; /* none begins earlier */
	uint64_t seed;
} stage_orders_t;

void stage_orders_init(stage_orders_t *orders, clock_source_t clock,
		       http_pool_t *store_pool, http_pool_t *server_pool,
		       server_set_t *servers, occupancy_t *occupancy,
		       const char *vm, const char *store_address);
void stage_orders_finish(stage_orders_t *orders);
void stage_orders_start_if_due(stage_orders_t *orders,
			       const table_service_t *service,
			       const stage_balance_t *work, bool idle);
void stage_orders_round_seen(stage_orders_t *orders, str_t value,
			     const route_table_t *table);

#endif
