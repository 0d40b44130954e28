/* The router's side of reservations of decode memory: asks the ledger owner
 * of an engine, renews what it was granted, and falls back to this router's
 * fixed share while the owner cannot be reached. Callbacks are never called
 * before the function that takes them has returned.
 */
#ifndef PROCESS_RESERVE_H
#define PROCESS_RESERVE_H

#include "process/clock.h"
#include "process/fleet.h"
#include "process/ledger.h"
#include "process/owner.h"
#include "process/route.h"
#include "process/share.h"

typedef enum {
	RESERVE_GRANTED,
	RESERVE_FULL, /* not now; another engine may have room */
	RESERVE_REFUSED, /* never: larger than the engine, or a late attempt */
} reserve_code_t;

typedef struct {
	reserve_code_t code;
	int64_t free_tokens; /* of the engine; negative: not known */
} reserve_result_t;

typedef void (*reserve_done_fn_t)(void *context,
				  const reserve_result_t *result);

typedef struct {
	str_t engine; /* IP:port */
	str_t zone; /* of the engine */
	int64_t capacity; /* of the engine, tokens */
	ledger_key_t key;
	int64_t tokens;
	int priority;
	int64_t wait_until_us; /* the owner may wait for memory */
	int64_t deadline_us; /* of the request */
} reserve_request_t;

typedef struct {
	route_policy_t policy;
	unsigned routers; /* in the deployment, dead or alive */
	clock_source_t clock;
	fleet_t *fleet; /* NULL: the fixed share always applies */
	rpc_t *rpc;
	owner_t *owner; /* for engines that this VM owns itself */
	ledger_vm_t self;
	GHashTable *engines; /* address to reserve_engine_t */
	GHashTable *asks; /* id to reservation_t */
	uint32_t next_ask;
	GArray *deferred; /* releases that wait for a cancellation */
	guint renew_timer;
} reserve_t;

void reserve_init(reserve_t *reserve, route_policy_t policy, unsigned routers,
		  clock_source_t clock);
void reserve_attach(reserve_t *reserve, rpc_t *rpc, fleet_t *fleet,
		    owner_t *owner, ledger_vm_t self);
void reserve_finish(reserve_t *reserve);
uint32_t reserve_start(reserve_t *reserve, const reserve_request_t *want,
		       reserve_done_fn_t fn, void *context);
void reserve_cancel(reserve_t *reserve, uint32_t ask);
void reserve_release(reserve_t *reserve, str_t engine, const ledger_key_t *key,
		     bool after_cancel);
void reserve_cancel_confirmed(reserve_t *reserve, str_t engine,
			      const ledger_key_t *key);

#endif
