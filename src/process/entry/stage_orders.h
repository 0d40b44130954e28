/* Orders to model engines to change their stage, given by one VM at a time.
 *
 * A round of orders begins with a conditional write to the store that names the
 * VM that gives the orders (the holder), its fencing token and the engines. All
 * VMs follow that row: they send the engines no work until the change is done,
 * and none begins another round of the service for ROUND_INTERVAL_US (10 s) or names
 * the same engines for ENGINE_INTERVAL_US (20 s), after which none of the holder's orders
 * can be carried out any more. A model engine is a
 * backend server that has a stage, so engines are held as server_t.
 */
#ifndef PROCESS_STAGE_ORDERS_H
#define PROCESS_STAGE_ORDERS_H

#include "process/decide/occupancy.h"
#include "process/decide/server_set.h"
#include "process/decide/stage_balance.h"
#include "process/decide/stage_choice.h"
#include "process/decide/stage_round.h"
#include "process/entry/stage_order_call.h"
#include "process/entry/store.h"
#include "version/route_table.h"

/* Prefix of the keys of rows that hold the latest round of a service. The
 * service's name follows.
 */
#define STAGE_ROUND_PREFIX "stage/"

/* The rounds of one VM. At most one is prepared at a time: its row is read, the
 * engines are chosen, the row is written.
 */
typedef struct {
	clock_source_t clock;
	http_pool_t *server_pool;
	server_set_t *servers;
	occupancy_t *occupancy;
	const char *vm; /* name of this VM; borrowed */
	char *store_address;
	store_call_t call; /* reads or writes the row of a round */
	GQueue order_calls; /* to engines, in progress */
	memory_budget_t reports; /* of these engines */
	char *service; /* of the round being prepared */
	GPtrArray *chosen; /* of server_t: engines to order, with references */
	stage_t to_stage; /* that the engines are to change to */
	unsigned stage_changes; /* number of engines to choose */
	int64_t fencing_token; /* of the round being prepared */
	int64_t write_sent_us; /* when the write of the row was sent */
	GHashTable *service_rounds; /* service name to service_rounds_t */
	bool round_seen; /* or attempted, of any service */
	int64_t seen_fencing_token; /* the highest of the rounds seen */
	GHashTable
		*seen_rounds; /* set of "HOLDER TOKEN", of rounds seen lately */
	uint64_t seed;
	/* Called with the head of each answer of an engine; set by the owner, may
	 * be NULL.
	 */
	stage_order_answer_fn_t on_answer;
	void *context; /* for on_answer */
} stage_orders_t;

void stage_orders_init(stage_orders_t *orders, clock_source_t clock,
		       http_pool_t *store_pool, http_pool_t *server_pool,
		       server_set_t *servers, occupancy_t *occupancy,
		       const char *vm, const char *store_address);
void stage_orders_finish(stage_orders_t *orders);
void stage_orders_start_if_due(stage_orders_t *orders,
			       const table_service_t *service,
			       const stage_balance_t *mean_cost);
void stage_orders_round_seen(stage_orders_t *orders, const char *service,
			     str_t value, const route_table_t *table);

#endif
