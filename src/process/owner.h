/* The ledgers of the engines that this VM owns: answers reservations of other
 * routers and its own, and cancels what a dead VM has left at the engines.
 */
#ifndef PROCESS_OWNER_H
#define PROCESS_OWNER_H

#include "process/backends.h"
#include "process/fleet.h"
#include "process/ledger.h"
#include "process/orphan.h"

/* A grant lapses unless it is renewed within this time. */
#define OWNER_GRANT_MS 3000

/* Called once with the answer to owner_reserve(), or with NULL if it was withdrawn;
 * the context is then only to be freed.
 */
typedef void (*owner_answer_fn_t)(void *context,
				  const peer_reserve_result *result);

typedef struct {
	rpc_t *rpc;
	fleet_t *fleet;
	backends_t *backends;
	clock_source_t clock;
	unsigned routers; /* in the deployment, dead or alive */
	int64_t max_transfers; /* at once to one engine; 0: no limit */
	uint64_t last_incarnation; /* of a ledger */
	GHashTable *engines; /* member_key() of the address to the ledger */
	orphans_t orphans;
	guint timer;
} owner_t;

void owner_init(owner_t *owner, rpc_t *rpc, fleet_t *fleet,
		backends_t *backends, canceller_t *canceller,
		clock_source_t clock, unsigned routers);
void owner_finish(owner_t *owner);
void owner_listen(owner_t *owner);
void owner_unlisten(owner_t *owner);
void owner_update(owner_t *owner);
void owner_vm_dead(owner_t *owner, str_t vm, uint64_t incarnation);
void owner_cancel_confirmed(owner_t *owner, str_t engine,
			    const ledger_key_t *key);
void owner_on_load_report(owner_t *owner, const backend_entry_t *entry);
bool owner_is_self(const owner_t *owner, const backend_entry_t *entry);

void owner_reserve(owner_t *owner, ledger_vm_t from, const peer_reserve *call,
		   owner_answer_fn_t answer, void *context);
void owner_renew(owner_t *owner, ledger_vm_t from, const peer_renew *call,
		 peer_renew_result *result);
void owner_release(owner_t *owner, ledger_vm_t from, const peer_release *call,
		   peer_release_result *result);

#endif
