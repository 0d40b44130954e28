#include "process/entry/vm_expiry.h"

#include "process/entry/store_rows.h"
#include "process/log.h"
#include "request/retry.h"

/* Mean interval between the checks of all VMs together: each VM checks the less
 * often, the more VMs there are.
 */
#define CHECK_US (10 * CLOCK_US_PER_S)

/* Deadline of a removal. */
#define CALL_TIMEOUT_US (1500 * CLOCK_US_PER_MS)

/* Sets up the removal of rows. The first check comes after VM_EXPIRY_US: before
 * that, this VM cannot have missed another one for so long.
 */
void vm_expiry_init(vm_expiry_t *expiry, clock_source_t clock,
		    http_pool_t *pool, const announce_t *announce)
{
	*expiry = (vm_expiry_t){
		.clock = clock,
		.announce = announce,
		.next_check_us = clock_now(&clock) + VM_EXPIRY_US,
		.seed = g_str_hash(announce->vm) + (uint64_t)clock_now(&clock),
	};
	expiry->row_versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store_call_init(&expiry->call, pool);
}

/* Cancels a removal in progress and frees what the struct owns. */
void vm_expiry_finish(vm_expiry_t *expiry)
{
	store_call_finish(&expiry->call);
	g_hash_table_unref(expiry->row_versions);
}

/* Records the version of a VM's row; 0: the row was removed. */
void vm_expiry_set_row(vm_expiry_t *expiry, const char *vm, int64_t row_version)
{
	if (row_version == 0)
		g_hash_table_remove(expiry->row_versions, vm);
	else
		g_hash_table_replace(expiry->row_versions, g_strdup(vm),
				     g_memdup2(&row_version,
					       sizeof(row_version)));
}

/* Logs how the removal of a row ended. A failed one is not retried here: a
 * later check of some VM finds the row again.
 */
static void on_removed(void *context, store_result_t result, str_t body)
{
	log_event(LOG_INFO, "vm_row_removed", LOG_INT("result", result));
}

/*
 * Removes the row of one dead VM, if a check is due and finds one. The removal
 * names the row's version, so that a VM which has written its row again since
 * it was read keeps it. A live VM whose row is removed by mistake writes it
 * again when it reads of the removal.
 */
void vm_expiry_check(vm_expiry_t *expiry, const char *store_address,
		     int64_t now_us)
{
	unsigned vm_count = g_hash_table_size(expiry->row_versions) + 1;
	const char *vm;
	const int64_t *version;
	char *key;

	if (now_us < expiry->next_check_us || store_call_is_busy(&expiry->call))
		return;
	expiry->next_check_us = now_us + CHECK_US / 2 +
				(int64_t)(retry_random(&expiry->seed) %
					  (uint64_t)(CHECK_US * vm_count));
	vm = announce_longest_silent_peer(expiry->announce, now_us,
					  VM_EXPIRY_US);
	version = vm ? g_hash_table_lookup(expiry->row_versions, vm) : NULL;
	if (!version)
		return;
	log_event(LOG_INFO, "vm_lapsed", LOG_CSTR("peer", vm),
		  LOG_INT("row_version", *version));
	key = g_strconcat(STORE_VM_PREFIX, vm, NULL);
	store_call_remove_own(&expiry->call, store_address, key, *version,
			      now_us + CALL_TIMEOUT_US, on_removed, expiry);
	g_free(key);
}
