/* A router's own side of one decode engine's memory: what it holds, the
 * credits lent to it, and the fixed share that applies while the ledger owner
 * cannot be reached. Pure.
 */
#ifndef PROCESS_SHARE_H
#define PROCESS_SHARE_H

#include <stdint.h>

#include "process/ledger.h"

typedef struct {
	int64_t capacity; /* tokens of the engine */
	unsigned routers; /* in the deployment, dead or alive */
	int64_t held; /* tokens of own grants, however they were obtained */
	int64_t credit; /* tokens lent and not used */
	int64_t credit_deadline_us;
	uint64_t owner_incarnation; /* of the last owner that answered */
	GHashTable *grants; /* by key */
} share_t;

void share_init(share_t *share, int64_t capacity, unsigned routers);
void share_finish(share_t *share);
void share_add_grant(share_t *share, const ledger_grant_t *grant);
bool share_remove_grant(share_t *share, const ledger_key_t *key);
void share_update_grant(share_t *share, const ledger_key_t *key,
			ledger_phase_t phase, int64_t deadline_us);
bool share_take_fixed(share_t *share, const ledger_grant_t *grant);
int64_t share_fixed_free_tokens(const share_t *share);
bool share_take_credit(share_t *share, const ledger_grant_t *grant,
		       int64_t now_us);
void share_set_credit(share_t *share, int64_t tokens, int64_t deadline_us);
int64_t share_credit_tokens(const share_t *share, int64_t now_us);
bool share_set_owner(share_t *share, uint64_t incarnation);
size_t share_foreach_grant(const share_t *share, ledger_grant_fn_t visit,
			   void *context);

#endif
