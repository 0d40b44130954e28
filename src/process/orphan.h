/* Requests that a dead entry VM has left at engines. */
#ifndef PROCESS_ORPHAN_H
#define PROCESS_ORPHAN_H

#include "process/ledger.h"
#include "request/canceller.h"

typedef struct {
	canceller_t *canceller; /* borrowed */
	clock_source_t clock;
	GArray *lapsed; /* grants that were not renewed in time */
} orphans_t;

void orphan_init(orphans_t *orphans, canceller_t *canceller,
		 clock_source_t clock);
void orphan_finish(orphans_t *orphans);
void orphan_cancel(orphans_t *orphans, const char *engine, str_t vm,
		   const ledger_key_t *key);
void orphan_add_lapsed(orphans_t *orphans, const char *engine,
		       const ledger_grant_t *grant);
void orphan_cancel_lapsed(orphans_t *orphans, ledger_vm_t dead);
void orphan_expire_lapsed(orphans_t *orphans);

#endif
