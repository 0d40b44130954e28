/* Records which router may use how much of one decode engine's KV memory. The
 * ledger is kept by the engine's owner, one of the entry VMs. It makes no calls
 * and reads no clock.
 *
 * Times are on the owner's clock. A message between VMs carries the time that
 * remains, and the receiver turns it into a deadline.
 */
#ifndef PROCESS_LEDGER_H
#define PROCESS_LEDGER_H

#include <stdint.h>

#include "process/str.h"

#define LEDGER_REQUEST_ID_BYTES 16

/* Identifies one attempt of a request. */
typedef struct {
	uint8_t request[LEDGER_REQUEST_ID_BYTES];
	uint32_t attempt;
} ledger_key_t;

/* What the request of a grant is doing. */
typedef enum {
	LEDGER_PREFILLING, /* engine memory is not in use yet */
	LEDGER_IMPORTING, /* occupies one of the engine's transfer slots */
	LEDGER_DECODING, /* engine memory is in use */
} ledger_phase_t;

/* Outcome of a call for one grant. */
typedef enum {
	LEDGER_OK,
	LEDGER_FULL, /* not enough free memory now */
	LEDGER_TOO_LARGE, /* more than the engine's whole memory */
	LEDGER_RECOVERING, /* new owner, still collecting earlier grants */
	LEDGER_NO_TRANSFER_SLOT, /* all of the engine's are taken */
	LEDGER_STALE, /* dead VM, earlier incarnation or cancelled attempt */
	LEDGER_UNKNOWN, /* no such grant */
} ledger_result_t;

/* An orphan is a grant that its router no longer renews, or whose VM is dead.
 * It is removed after this time even if its cancellation was never confirmed:
 * engines drop an attempt whose output nobody reads long before.
 */
#define LEDGER_ORPHAN_TIMEOUT_US INT64_C(30000000)

/* The incarnation of a VM that has no grants is kept for this time, so that
 * late messages of an earlier or dead incarnation are still rejected.
 */
#define LEDGER_VM_RETENTION_US INT64_C(600000000)

/* One run of the router on a VM; each restart has a greater incarnation. */
typedef struct {
	str_t name;
	uint64_t incarnation;
} ledger_vm_t;

/* Memory granted to one attempt of a request. */
typedef struct {
	ledger_key_t key;
	int64_t tokens;
	int64_t deadline_us; /* the grant expires then unless renewed */
	ledger_phase_t phase;
	ledger_vm_t vm; /* holder; the name is borrowed */
	uint64_t owner_incarnation; /* of the owner that recorded it, 0: none */
} ledger_grant_t;

typedef struct {
	int64_t capacity_tokens; /* the engine's whole memory */
	int64_t granted_tokens;
	int64_t lent_tokens; /* in credits not yet used */
	int64_t unaccounted_tokens; /* in use at the engine, without a grant */
	int64_t granted_peak_tokens; /* since the last load report */
	int64_t previous_granted_peak_tokens; /* between the last two reports */
	int64_t max_transfers; /* at once to the engine; 0: no limit */
	int64_t transfers; /* grants in LEDGER_IMPORTING */
	uint64_t incarnation; /* of the owner */
	int64_t recovery_until_us; /* no new grants or credits before it */
	bool leaving; /* the engine is to stop: no new grants or credits */
	GHashTable *grants; /* ledger_key_t to grant_entry_t */
	GHashTable *vms; /* name to vm_t */
} ledger_t;

/* Receives one grant, which it must not keep. */
typedef void (*ledger_grant_fn_t)(const ledger_grant_t *grant, void *context);

void ledger_init(ledger_t *ledger, int64_t capacity_tokens,
		 int64_t max_transfers, uint64_t incarnation,
		 int64_t recovery_until_us);
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
void ledger_set_capacity(ledger_t *ledger, int64_t capacity_tokens);
int64_t ledger_free_tokens(const ledger_t *ledger);
int64_t ledger_overcommitted_tokens(const ledger_t *ledger);
ledger_key_t ledger_key_make(str_t request, uint32_t attempt);
guint ledger_key_hash(const void *key);
gboolean ledger_key_equal(const void *a, const void *b);
const char *ledger_result_text(ledger_result_t result);

#endif
