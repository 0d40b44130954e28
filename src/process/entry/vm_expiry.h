/* Removes the rows of entry VMs that are gone for good. Each VM enters itself
 * in the store and may end without a word; its row would be read, and its
 * address told of everything, for ever.
 */
#ifndef PROCESS_ENTRY_VM_EXPIRY_H
#define PROCESS_ENTRY_VM_EXPIRY_H

#include "connection/announce.h"
#include "process/entry/store.h"

/* A VM that was not heard for this long is gone. */
#define VM_EXPIRY_US (600 * CLOCK_US_PER_S)

typedef struct {
	clock_source_t clock;
	const announce_t *announce;
	GHashTable *versions; /* VM name to the version of its row, int64_t */
	store_call_t call;
	int64_t next_us; /* next look for such VMs */
	uint64_t seed;
} vm_expiry_t;

void vm_expiry_init(vm_expiry_t *lapse, clock_source_t clock, http_pool_t *pool,
		    const announce_t *announce);
void vm_expiry_finish(vm_expiry_t *lapse);
void vm_expiry_set_row(vm_expiry_t *lapse, const char *vm, int64_t row_version);
void vm_expiry_check(vm_expiry_t *lapse, const char *store_address,
		     int64_t now_us);

#endif
