/* Keeps the losses of servers under a rule on requests that crash servers in the platform's
 * store, from the rule's begin until it is known whether the servers are gone: then either the
 * rule has a row of its own (quarantine_rows.h) or the losses did not count. VMs that have
 * started since apply them as they apply those that other VMs announce.
 */
#ifndef PROCESS_LOSS_ROWS_H
#define PROCESS_LOSS_ROWS_H

#include "process/decide/quarantine.h"
#include "process/entry/store.h"

typedef struct {
	clock_source_t clock;
	quarantine_t *quarantine; /* borrowed */
	GHashTable *rows; /* key to a private type */
	GArray *losses; /* of quarantine_loss_t, those under one rule */
	store_call_t call;
	int64_t started_us;
	int64_t next_check_us;
	int64_t removal_delay_us; /* differs between VMs */
} loss_rows_t;

void loss_rows_init(loss_rows_t *rows, clock_source_t clock, http_pool_t *pool,
		    quarantine_t *quarantine, const char *vm);
void loss_rows_finish(loss_rows_t *rows);
void loss_rows_begin_sync(loss_rows_t *rows);
void loss_rows_put(loss_rows_t *rows, const char *key, str_t value,
		   int64_t row_version);
void loss_rows_apply(loss_rows_t *rows);
void loss_rows_check(loss_rows_t *rows, const char *store_address,
		     bool may_write, int64_t now_us);

#endif
