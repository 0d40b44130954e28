#include "process/entry/vm_expiry.h"

#include "names.h"
#include "process/entry/store_rows.h"
#include "process/log.h"
#include "request/retry.h"
#include "store_call.h"

/* All VMs together look about this often. */
#define CHECK_US (10 * CLOCK_US_PER_S)

#define CALL_TIMEOUT_US (1500 * CLOCK_US_PER_MS)

/* Sets up the removal of rows; the first look comes after the first lapse. */
void vm_expiry_init(vm_expiry_t *lapse, clock_source_t clock, http_pool_t *pool,
		    const announce_t *announce)
{
	*lapse = (vm_expiry_t){
		.clock = clock,
		.announce = announce,
		.next_us = clock_now(&clock) + VM_EXPIRY_US,
		.seed = g_str_hash(announce->vm) + (uint64_t)clock_now(&clock),
	};
	lapse->versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store_call_init(&lapse->call, pool);
}

/* Gives up a removal in progress. */
void vm_expiry_finish(vm_expiry_t *lapse)
{
	store_call_finish(&lapse->call);
	g_hash_table_unref(lapse->versions);
}

/* Takes note of a VM's row; version 0: it was removed. */
void vm_expiry_set_row(vm_expiry_t *lapse, const char *vm, int64_t row_version)
{
	if (row_version == 0)
		g_hash_table_remove(lapse->versions, vm);
	else
		g_hash_table_replace(lapse->versions, g_strdup(vm),
				     g_memdup2(&row_version,
					       sizeof(row_version)));
}

static void on_removed(void *context, store_result_t result, str_t body)
{
	log_event(LOG_INFO, "vm_row_removed", LOG_INT("result", result));
}

/* Removes the row of one VM that is gone. A VM that has entered itself again
 * since its row was read keeps it, and one that is removed although it lives
 * enters itself again when it reads that.
 */
void vm_expiry_check(vm_expiry_t *lapse, const char *store_address,
		     int64_t now_us)
{
	unsigned vms = g_hash_table_size(lapse->versions) + 1;
	const char *vm;
	const int64_t *version;
	GString *message;
	char *key;

	if (now_us < lapse->next_us || store_call_is_busy(&lapse->call))
		return;
	lapse->next_us = now_us + CHECK_US / 2 +
			 (int64_t)(retry_random(&lapse->seed) %
				   (uint64_t)(CHECK_US * vms));
	vm = announce_longest_silent_peer(lapse->announce, now_us,
					  VM_EXPIRY_US);
	version = vm ? g_hash_table_lookup(lapse->versions, vm) : NULL;
	if (!version)
		return;
	log_event(LOG_INFO, "vm_lapsed", LOG_CSTR("peer", vm),
		  LOG_INT("row_version", *version));
	key = g_strconcat(STORE_VM_PREFIX, vm, NULL);
	message = g_string_new(NULL);
	store_append_remove_if(message, store_address, TABLE_ROUTER, key,
			       *version);
	store_call_send(&lapse->call, store_address, message,
			now_us + CALL_TIMEOUT_US, on_removed, lapse);
	g_string_free(message, TRUE);
	g_free(key);
}
