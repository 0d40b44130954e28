/* Removes the rows of dead entry VMs from the store. Each VM writes a row of
 * its own and may die without removing it. Without this, all other VMs would
 * read the row, and send announcements to its address, for ever.
 */
#ifndef PROCESS_ENTRY_VM_EXPIRY_H
#define PROCESS_ENTRY_VM_EXPIRY_H

#include "connection/announce.h"
#include "process/entry/store.h"

/* A VM from which nothing was received for this long counts as dead. */
#define VM_EXPIRY_US (600 * CLOCK_US_PER_S)

typedef struct {
	clock_source_t clock;
	const announce_t *announce;
	GHashTable *row_versions; /* VM name to the version of its row, int64_t */
	store_call_t call;
	int64_t next_check_us;
	uint64_t seed;
} vm_expiry_t;

void vm_expiry_init(vm_expiry_t *expiry, clock_source_t clock,
		    http_pool_t *pool, const announce_t *announce);
void vm_expiry_finish(vm_expiry_t *expiry);
void vm_expiry_set_row(vm_expiry_t *expiry, const char *vm,
		       int64_t row_version);
void vm_expiry_check(vm_expiry_t *expiry, const char *store_address,
		     int64_t now_us);

#endif
