#include "process/ledger.h"

/* Each router may be lent at most its even share of the free memory, divided by
 * this number, so that half of the free memory stays for reservations.
 */
#define LEND_DIVISOR 2

/* What the ledger knows of one router's VM. */
typedef struct {
	char *name;
	uint64_t incarnation; /* greatest one received */
	uint64_t dead_incarnation; /* this and earlier ones are dead; 0: none */
	size_t n_grants;
	int64_t lent_tokens; /* credit not yet used */
	int64_t lent_until_us;
	int64_t last_event_us; /* last message, or found dead */
} vm_t;

/* A recorded grant. */
typedef struct {
	ledger_grant_t grant; /* vm.name borrows from vm */
	vm_t *vm;
	bool orphan; /* see LEDGER_ORPHAN_TIMEOUT_US */
} grant_entry_t;

/* Returns the key of an attempt. The request ID has 32 hex digits. */
ledger_key_t ledger_key_make(str_t request, uint32_t attempt)
{
	ledger_key_t key = {.attempt = attempt};

	for (size_t i = 0;
	     i < LEDGER_REQUEST_ID_BYTES && 2 * i + 1 < request.len; i++)
		key.request[i] =
			(uint8_t)(g_ascii_xdigit_value(request.data[2 * i]) *
					  16 +
				  g_ascii_xdigit_value(
					  request.data[2 * i + 1]));
	return key;
}

/* Returns the hash of a ledger_key_t, for hash tables. */
guint ledger_key_hash(const void *data)
{
	const ledger_key_t *key = data;
	guint hash;

	/* Request IDs are random, so any four bytes are a good hash. */
	memcpy(&hash, key->request, sizeof(hash));
	return hash ^ key->attempt;
}

/* Returns whether two ledger_key_t are equal, for hash tables. */
gboolean ledger_key_equal(const void *a, const void *b)
{
	const ledger_key_t *x = a;
	const ledger_key_t *y = b;

	return x->attempt == y->attempt &&
	       !memcmp(x->request, y->request, LEDGER_REQUEST_ID_BYTES);
}

static void vm_free(void *data)
{
	vm_t *vm = data;

	g_free(vm->name);
	g_free(vm);
}

/*
 * Sets up an empty ledger of an engine. Until recovery_until_us the new owner
 * only records grants that routers re-send; that period has to be longer than
 * the validity of a credit and the interval at which routers renew.
 * max_transfers 0 means no limit.
 */
void ledger_init(ledger_t *ledger, int64_t capacity_tokens,
		 int64_t max_transfers, uint64_t incarnation,
		 int64_t recovery_until_us)
{
	*ledger = (ledger_t){
		.capacity_tokens = capacity_tokens,
		.max_transfers = max_transfers,
		.incarnation = incarnation,
		.recovery_until_us = recovery_until_us,
	};
	ledger->grants = g_hash_table_new_full(ledger_key_hash,
					       ledger_key_equal, NULL, g_free);
	ledger->vms =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, vm_free);
}

/* Frees the grants and VMs of the ledger. */
void ledger_finish(ledger_t *ledger)
{
	g_hash_table_unref(ledger->grants);
	g_hash_table_unref(ledger->vms);
}

static vm_t *find_vm(const ledger_t *ledger, str_t name)
{
	g_autofree char *key = str_dup(name);

	return g_hash_table_lookup(ledger->vms, key);
}

static vm_t *get_vm(ledger_t *ledger, str_t name)
{
	vm_t *vm = find_vm(ledger, name);

	if (vm)
		return vm;
	vm = g_new0(vm_t, 1);
	vm->name = str_dup(name);
	g_hash_table_insert(ledger->vms, vm->name, vm);
	return vm;
}

static void revoke_credit(ledger_t *ledger, vm_t *vm)
{
	ledger->lent_tokens -= vm->lent_tokens;
	vm->lent_tokens = 0;
}

/* Returns the VM that sent a message, or NULL if the message is from a dead or
 * earlier incarnation. A new incarnation has lost the credit of the one before,
 * which is therefore revoked. now_us 0 leaves the VM's last_event_us.
 */
static vm_t *accept_sender(ledger_t *ledger, ledger_vm_t from, int64_t now_us)
{
	vm_t *vm = get_vm(ledger, from.name);

	if (from.incarnation < vm->incarnation ||
	    (vm->dead_incarnation && from.incarnation <= vm->dead_incarnation))
		return NULL;
	if (from.incarnation > vm->incarnation)
		revoke_credit(ledger, vm);
	vm->incarnation = from.incarnation;
	vm->last_event_us = MAX(vm->last_event_us, now_us);
	return vm;
}

/* Returns the tokens that are neither granted, lent nor otherwise in use;
 * negative while the engine is over-committed.
 */
static int64_t unallocated_tokens(const ledger_t *ledger)
{
	return ledger->capacity_tokens - ledger->granted_tokens -
	       ledger->lent_tokens - ledger->unaccounted_tokens;
}

/* Returns the tokens that can be granted now; 0 if the engine is to stop. */
int64_t ledger_free_tokens(const ledger_t *ledger)
{
	return ledger->leaving ? 0 : MAX(unallocated_tokens(ledger), 0);
}

/* Returns the tokens granted and lent beyond the capacity. They are more than 0
 * only after a fault, and shrink as requests end, because nothing new is
 * granted meanwhile.
 */
int64_t ledger_overcommitted_tokens(const ledger_t *ledger)
{
	return MAX(ledger->granted_tokens + ledger->lent_tokens -
			   ledger->capacity_tokens,
		   0);
}

static grant_entry_t *find_entry(const ledger_t *ledger,
				 const ledger_key_t *key)
{
	return g_hash_table_lookup(ledger->grants, key);
}

/* Returns a recorded grant, borrowed until the ledger changes, or NULL. */
const ledger_grant_t *ledger_find(const ledger_t *ledger,
				  const ledger_key_t *key)
{
	const grant_entry_t *entry = find_entry(ledger, key);

	return entry ? &entry->grant : NULL;
}

static void set_phase(ledger_t *ledger, grant_entry_t *entry,
		      ledger_phase_t phase)
{
	ledger->transfers += phase == LEDGER_IMPORTING;
	ledger->transfers -= entry->grant.phase == LEDGER_IMPORTING;
	entry->grant.phase = phase;
}

static void insert_grant(ledger_t *ledger, const ledger_grant_t *grant,
			 vm_t *vm)
{
	grant_entry_t *entry = g_new0(grant_entry_t, 1);

	entry->grant = *grant;
	entry->grant.vm.name = str_from(vm->name);
	entry->grant.owner_incarnation = ledger->incarnation;
	entry->vm = vm;
	vm->n_grants++;
	ledger->granted_tokens += grant->tokens;
	ledger->granted_peak_tokens =
		MAX(ledger->granted_peak_tokens, ledger->granted_tokens);
	ledger->transfers += grant->phase == LEDGER_IMPORTING;
	g_hash_table_insert(ledger->grants, &entry->grant.key, entry);
}

/* Subtracts a grant from the totals; the caller removes it from the table. */
static void subtract_entry(ledger_t *ledger, grant_entry_t *entry)
{
	ledger->granted_tokens -= entry->grant.tokens;
	ledger->transfers -= entry->grant.phase == LEDGER_IMPORTING;
	entry->vm->n_grants--;
}

static void remove_entry(ledger_t *ledger, grant_entry_t *entry)
{
	subtract_entry(ledger, entry);
	g_hash_table_remove(ledger->grants, &entry->grant.key);
}

/* Returns whether vm may change the grant: only the VM that holds it may, and
 * only while the owner isn't cancelling the attempt.
 */
static bool is_held_by(const grant_entry_t *entry, const vm_t *vm)
{
	return vm && entry->vm == vm && !entry->orphan;
}

/* Extends a grant at a call of its VM; fails with LEDGER_STALE. */
static ledger_result_t renew_entry(grant_entry_t *entry, const vm_t *vm,
				   int64_t deadline_us)
{
	if (!is_held_by(entry, vm))
		return LEDGER_STALE;
	entry->grant.vm.incarnation = vm->incarnation;
	entry->grant.deadline_us = MAX(entry->grant.deadline_us, deadline_us);
	return LEDGER_OK;
}

/* Grants memory to an attempt. A repeated call renews the grant. Fails with
 * LEDGER_FULL, LEDGER_TOO_LARGE, LEDGER_RECOVERING or LEDGER_STALE.
 */
ledger_result_t ledger_reserve(ledger_t *ledger, const ledger_grant_t *want,
			       int64_t now_us)
{
	vm_t *vm = accept_sender(ledger, want->vm, now_us);
	grant_entry_t *entry = find_entry(ledger, &want->key);

	if (!vm)
		return LEDGER_STALE;
	if (entry)
		return renew_entry(entry, vm, want->deadline_us);
	if (want->tokens <= 0 || want->tokens > ledger->capacity_tokens)
		return LEDGER_TOO_LARGE;
	if (now_us < ledger->recovery_until_us)
		return LEDGER_RECOVERING;
	if (ledger_free_tokens(ledger) < want->tokens)
		return LEDGER_FULL;
	insert_grant(ledger, want, vm);
	return LEDGER_OK;
}

/*
 * Records a grant that an earlier owner made, or that a router took from its
 * fixed share. Memory that is already in use is always recorded, because a
 * refusal would not free it. This can over-commit the ledger, which then grants
 * nothing until enough requests have ended. Memory that is not yet in use is
 * recorded only if it fits; after LEDGER_FULL the router has to reserve at
 * another engine.
 */
ledger_result_t ledger_restore(ledger_t *ledger, const ledger_grant_t *held,
			       int64_t now_us)
{
	vm_t *vm = accept_sender(ledger, held->vm, now_us);
	grant_entry_t *entry = find_entry(ledger, &held->key);

	if (!vm)
		return LEDGER_STALE;
	if (entry) {
		ledger_result_t result =
			renew_entry(entry, vm, held->deadline_us);

		if (result == LEDGER_OK)
			set_phase(ledger, entry, held->phase);
		return result;
	}
	if (held->tokens <= 0 || held->tokens > ledger->capacity_tokens)
		return LEDGER_TOO_LARGE;
	if (held->phase != LEDGER_PREFILLING)
		ledger->unaccounted_tokens =
			MAX(ledger->unaccounted_tokens - held->tokens, 0);
	else if (unallocated_tokens(ledger) < held->tokens)
		return LEDGER_FULL;
	insert_grant(ledger, held, vm);
	return LEDGER_OK;
}

/*
 * Extends a grant and records the phase of its request. Entering
 * LEDGER_IMPORTING takes a transfer slot. With LEDGER_NO_TRANSFER_SLOT the
 * grant is extended, but the transfer must not start yet. After LEDGER_UNKNOWN
 * the router restores the grant; after LEDGER_STALE it gives the attempt up.
 */
ledger_result_t ledger_renew(ledger_t *ledger, const ledger_key_t *key,
			     ledger_vm_t vm, ledger_phase_t phase,
			     int64_t deadline_us)
{
	grant_entry_t *entry = find_entry(ledger, key);
	vm_t *from = accept_sender(ledger, vm, 0);
	ledger_result_t result;

	if (!from)
		return LEDGER_STALE;
	if (!entry)
		return LEDGER_UNKNOWN;
	result = renew_entry(entry, from, deadline_us);
	if (result != LEDGER_OK || phase == entry->grant.phase)
		return result;
	if (phase == LEDGER_IMPORTING && ledger->max_transfers > 0 &&
	    ledger->transfers >= ledger->max_transfers)
		return LEDGER_NO_TRANSFER_SLOT;
	set_phase(ledger, entry, phase);
	return LEDGER_OK;
}

/* Ends a grant and frees its memory. A repeated call returns LEDGER_UNKNOWN,
 * which does no harm. Fails with LEDGER_STALE if vm does not hold the grant.
 */
ledger_result_t ledger_release(ledger_t *ledger, const ledger_key_t *key,
			       ledger_vm_t vm)
{
	grant_entry_t *entry = find_entry(ledger, key);
	vm_t *from = accept_sender(ledger, vm, 0);

	if (!entry)
		return LEDGER_UNKNOWN;
	if (!is_held_by(entry, from))
		return LEDGER_STALE;
	remove_entry(ledger, entry);
	return LEDGER_OK;
}

/*
 * Lends a router tokens in advance: until deadline_us it may turn them into
 * grants without asking. Returns the tokens lent, which may be fewer than
 * asked for; 0 if memory is scarce or the router's last credit has neither been
 * used up nor expired. A router has one credit at a time, so that a credit
 * whose reply was lost expires too.
 */
int64_t ledger_lend(ledger_t *ledger, ledger_vm_t vm, int64_t tokens,
		    unsigned routers, int64_t deadline_us, int64_t now_us)
{
	vm_t *to = accept_sender(ledger, vm, now_us);
	int64_t max_tokens =
		ledger_free_tokens(ledger) / LEND_DIVISOR / MAX(routers, 1);

	if (!to || now_us < ledger->recovery_until_us)
		return 0;
	if (to->lent_tokens > 0 && now_us < to->lent_until_us)
		return 0;
	revoke_credit(ledger, to);
	to->lent_tokens = CLAMP(tokens, 0, max_tokens);
	to->lent_until_us = deadline_us;
	ledger->lent_tokens += to->lent_tokens;
	return to->lent_tokens;
}

/* Records a grant that the router made from its credit. If the credit has
 * expired at the owner, this is a new reservation and may fail like one.
 */
ledger_result_t ledger_use_credit(ledger_t *ledger, const ledger_grant_t *want,
				  int64_t now_us)
{
	vm_t *vm = accept_sender(ledger, want->vm, now_us);

	if (!vm)
		return LEDGER_STALE;
	if (find_entry(ledger, &want->key) || want->tokens <= 0 ||
	    want->tokens > vm->lent_tokens)
		return ledger_reserve(ledger, want, now_us);
	vm->lent_tokens -= want->tokens;
	ledger->lent_tokens -= want->tokens;
	insert_grant(ledger, want, vm);
	return LEDGER_OK;
}

/* Takes back tokens of a credit that the router doesn't need. */
void ledger_return_credit(ledger_t *ledger, ledger_vm_t vm, int64_t tokens)
{
	vm_t *from = accept_sender(ledger, vm, 0);

	if (!from)
		return;
	tokens = CLAMP(tokens, 0, from->lent_tokens);
	from->lent_tokens -= tokens;
	ledger->lent_tokens -= tokens;
}

/* Marks a grant as orphan. It keeps its memory until its cancellation is
 * confirmed or the deadline has passed.
 */
static void mark_orphan(grant_entry_t *entry, int64_t deadline_us)
{
	entry->orphan = true;
	entry->grant.deadline_us = deadline_us;
}

/* Revokes expired credits and forgets VMs that have been silent for long. */
static void expire_vms(ledger_t *ledger, int64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ledger->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		vm_t *vm = value;

		if (vm->lent_tokens > 0 && now_us >= vm->lent_until_us)
			revoke_credit(ledger, vm);
		if (vm->n_grants == 0 && vm->lent_tokens == 0 &&
		    now_us - vm->last_event_us > LEDGER_VM_RETENTION_US)
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Handles everything whose deadline has passed: credits are revoked, and
 * expired() is called for each grant that was not renewed. If its VM is dead,
 * the caller cancels the attempt at the engine first; in either case it then
 * calls ledger_confirm_cancelled(). A live router that is only cut off from the
 * owner goes on with its request, whose memory shows in the engine's load
 * reports. Callbacks must not call the ledger. Returns the number of calls.
 */
size_t ledger_expire(ledger_t *ledger, int64_t now_us,
		     ledger_grant_fn_t expired, void *context)
{
	GHashTableIter iter;
	void *value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, ledger->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		grant_entry_t *entry = value;

		if (now_us < entry->grant.deadline_us)
			continue;
		if (entry->orphan) {
			subtract_entry(ledger, entry);
			g_hash_table_iter_remove(&iter);
			continue;
		}
		mark_orphan(entry, now_us + LEDGER_ORPHAN_TIMEOUT_US);
		expired(&entry->grant, context);
		n++;
	}
	expire_vms(ledger, now_us);
	return n;
}

/*
 * Marks a VM's incarnation as dead: its messages are stale from now on, its
 * credit is revoked, and found() is called for each of its grants, which the
 * caller cancels as after ledger_expire(). Returns the number of calls.
 */
size_t ledger_vm_dead(ledger_t *ledger, ledger_vm_t vm, int64_t now_us,
		      ledger_grant_fn_t found, void *context)
{
	vm_t *dead = get_vm(ledger, vm.name);
	GHashTableIter iter;
	void *value;
	size_t n = 0;

	dead->dead_incarnation = MAX(dead->dead_incarnation, vm.incarnation);
	dead->last_event_us = MAX(dead->last_event_us, now_us);
	if (dead->incarnation <= dead->dead_incarnation)
		revoke_credit(ledger, dead);
	g_hash_table_iter_init(&iter, ledger->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		grant_entry_t *entry = value;

		if (entry->vm != dead || entry->orphan ||
		    entry->grant.vm.incarnation > dead->dead_incarnation)
			continue;
		mark_orphan(entry, now_us + LEDGER_ORPHAN_TIMEOUT_US);
		found(&entry->grant, context);
		n++;
	}
	return n;
}

/* Removes the grant of an attempt that the owner itself has cancelled. */
void ledger_confirm_cancelled(ledger_t *ledger, const ledger_key_t *key)
{
	grant_entry_t *entry = find_entry(ledger, key);

	if (entry && entry->orphan)
		remove_entry(ledger, entry);
}

/*
 * Records the tokens in use, as the engine reports them. Use beyond all grants
 * is not granted to others. The report lags behind, so it is compared with the
 * greatest sum of grants since the last report but one; otherwise the memory of
 * a request that has just ended would count as unaccounted.
 */
void ledger_on_usage_report(ledger_t *ledger, int64_t kv_used)
{
	int64_t peak = MAX(ledger->granted_peak_tokens,
			   ledger->previous_granted_peak_tokens);

	ledger->unaccounted_tokens = MAX(kv_used - peak, 0);
	ledger->previous_granted_peak_tokens = ledger->granted_peak_tokens;
	ledger->granted_peak_tokens = ledger->granted_tokens;
}

/* Sets the engine's whole memory, which a configuration change can alter. */
void ledger_set_capacity(ledger_t *ledger, int64_t capacity_tokens)
{
	ledger->capacity_tokens = capacity_tokens;
}

/* Returns the result's name for logs. */
const char *ledger_result_text(ledger_result_t result)
{
	switch (result) {
	case LEDGER_OK:
		return "ok";
	case LEDGER_FULL:
		return "full";
	case LEDGER_TOO_LARGE:
		return "too-large";
	case LEDGER_RECOVERING:
		return "recovering";
	case LEDGER_NO_TRANSFER_SLOT:
		return "busy";
	case LEDGER_STALE:
		return "stale";
	case LEDGER_UNKNOWN:
		return "unknown";
	}
	return "invalid";
}
