/* Ledger of one decode engine's KV memory, held by its owner. Pure.
 *
 * Times are on the owner's clock. A message between VMs carries the time that
 * remains, and the receiver turns it into a deadline.
 */
#ifndef PROCESS_LEDGER_H
#define PROCESS_LEDGER_H

#include <stdint.h>

#include "process/str.h"

#define LEDGER_REQUEST_ID_BYTES 16

typedef struct {
	uint8_t request[LEDGER_REQUEST_ID_BYTES];
	uint32_t attempt;
} ledger_key_t;

typedef enum {
	LEDGER_PREFILLING, /* engine memory is not in use yet */
	LEDGER_IMPORTING, /* holds one of the engine's transfer slots */
	LEDGER_DECODING, /* engine memory is in use */
} ledger_phase_t;

typedef enum {
	LEDGER_OK,
	LEDGER_FULL, /* not enough free memory now */
	LEDGER_TOO_LARGE, /* more than the engine's whole memory */
	LEDGER_RECOVERING, /* new owner, still collecting grants */
	LEDGER_NO_TRANSFER_SLOT, /* all transfer slots of the engine are taken */
	LEDGER_STALE, /* dead VM, earlier incarnation or cancelled attempt */
	LEDGER_UNKNOWN, /* no such grant */
} ledger_result_t;

/* An orphan is removed after this time even if its cancellation was never
 * confirmed; engines drop an attempt without a reader long before.
 */
#define LEDGER_ORPHAN_TIMEOUT_US INT64_C(30000000)

/* The incarnation of a VM without grants is remembered for this time. */
#define LEDGER_VM_RETENTION_US INT64_C(600000000)

/* A router as seen by the ledger. */
typedef struct {
	str_t name;
	uint64_t incarnation;
} ledger_vm_t;

typedef struct {
	ledger_key_t key;
	int64_t tokens;
	int64_t deadline_us; /* lapses unless renewed */
	ledger_phase_t phase;
	ledger_vm_t vm; /* the name is borrowed */
	uint64_t owner_incarnation; /* of the owner that recorded it, 0: none */
} ledger_grant_t;

typedef struct {
	int64_t capacity; /* tokens */
	int64_t granted; /* tokens in grants */
	int64_t lent; /* tokens in credits not yet used */
	int64_t foreign; /* tokens in use that no grant accounts for */
	int64_t granted_peak; /* since the last report */
	int64_t granted_peak_before; /* between the last two reports */
	int64_t max_transfers;
	int64_t transfers;
	uint64_t incarnation; /* of the owner */
	int64_t recovery_until_us;
	bool leaving; /* no new grants or credits */
	GHashTable *grants; /* by key */
	GHashTable *vms; /* by name */
} ledger_t;

typedef void (*ledger_grant_fn_t)(const ledger_grant_t *grant, void *context);

void ledger_init(ledger_t *ledger, int64_t capacity, int64_t max_transfers,
		 uint64_t incarnation, int64_t recovery_until_us);
void ledger_finish(ledger_t *ledger);
ledger_result_t ledger_reserve(ledger_t *ledger, const ledger_grant_t *want,
			       int64_t now_us);
ledger_result_t ledger_restore(ledger_t *ledger, const ledger_grant_t *held,
			       int64_t now_us);
ledger_result_t ledger_renew(ledger_t *ledger, const ledger_key_t *key,
			     ledger_vm_t vm, ledger_phase_t phase,
			     int64_t deadline_us);
ledger_result_t ledger_release(ledger_t *ledger, const ledger_key_t *key,
			       ledger_vm_t vm);
const ledger_grant_t *ledger_find(const ledger_t *ledger,
				  const ledger_key_t *key);

int64_t ledger_lend(ledger_t *ledger, ledger_vm_t vm, int64_t tokens,
		    unsigned routers, int64_t deadline_us, int64_t now_us);
ledger_result_t ledger_use_credit(ledger_t *ledger, const ledger_grant_t *want,
				  int64_t now_us);
void ledger_return_credit(ledger_t *ledger, ledger_vm_t vm, int64_t tokens);

size_t ledger_expire(ledger_t *ledger, int64_t now_us,
		     ledger_grant_fn_t expired, void *context);
size_t ledger_vm_dead(ledger_t *ledger, ledger_vm_t vm, int64_t now_us,
		      ledger_grant_fn_t found, void *context);
void ledger_confirm_cancelled(ledger_t *ledger, const ledger_key_t *key);
void ledger_on_usage_report(ledger_t *ledger, int64_t kv_used);
void ledger_set_capacity(ledger_t *ledger, int64_t capacity);
int64_t ledger_free_tokens(const ledger_t *ledger);
int64_t ledger_overcommitted_tokens(const ledger_t *ledger);
ledger_key_t ledger_key_make(str_t request, uint32_t attempt);
guint ledger_key_hash(const void *key);
gboolean ledger_key_equal(const void *a, const void *b);
const char *ledger_result_text(ledger_result_t result);

#endif
