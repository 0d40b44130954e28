#include "process/ledger.h"

/* A lent credit is at most this part of the free memory of one router's even
 * share, so that at least half of the free memory stays for reservations.
 */
#define LEND_DIVISOR 2

typedef struct {
	char *name;
	uint64_t incarnation; /* greatest seen */
	uint64_t dead; /* incarnations up to this one are dead; 0: none */
	size_t n_grants;
	int64_t lent;
	int64_t lent_until_us;
	int64_t seen_us;
} vm_t;

typedef struct {
	ledger_grant_t grant; /* vm.name borrows from vm */
	vm_t *vm;
	bool orphan; /* being cancelled by the owner */
} slot_t;

/* Makes a key from a request ID of 32 hex digits. */
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

/* Hash of a ledger_key_t, for hash tables. */
guint ledger_key_hash(const void *data)
{
	const ledger_key_t *key = data;
	guint hash;

	/* Request IDs are random, so any four bytes are a good hash. */
	memcpy(&hash, key->request, sizeof(hash));
	return hash ^ key->attempt;
}

/* Equality of two ledger_key_t, for hash tables. */
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
 * Sets up an empty ledger of an engine with capacity tokens. Until
 * recovery_until_us the new owner only records grants that routers re-send;
 * that period has to be longer than the life of a credit and the interval at
 * which routers renew. max_transfers 0 means no limit.
 */
void ledger_init(ledger_t *ledger, int64_t capacity, int64_t max_transfers,
		 uint64_t incarnation, int64_t recovery_until_us)
{
	*ledger = (ledger_t){
		.capacity = capacity,
		.max_transfers = max_transfers,
		.incarnation = incarnation,
		.recovery_until_us = recovery_until_us,
	};
	ledger->grants = g_hash_table_new_full(ledger_key_hash,
					       ledger_key_equal, NULL, g_free);
	ledger->vms =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, vm_free);
}

/* Frees the ledger. */
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

static void drop_credit(ledger_t *ledger, vm_t *vm)
{
	ledger->lent -= vm->lent;
	vm->lent = 0;
}

/* Returns the VM of a message, NULL if the message is from a dead or earlier
 * incarnation. A new incarnation has lost the credits of the one before.
 */
static vm_t *current_vm(ledger_t *ledger, ledger_vm_t from, int64_t now_us)
{
	vm_t *vm = get_vm(ledger, from.name);

	if (from.incarnation < vm->incarnation ||
	    (vm->dead && from.incarnation <= vm->dead))
		return NULL;
	if (from.incarnation > vm->incarnation)
		drop_credit(ledger, vm);
	vm->incarnation = from.incarnation;
	vm->seen_us = MAX(vm->seen_us, now_us);
	return vm;
}

/* Memory that is neither granted, lent nor otherwise in use; negative while
 * over-committed.
 */
static int64_t spare(const ledger_t *ledger)
{
	return ledger->capacity - ledger->granted - ledger->lent -
	       ledger->foreign;
}

/* Returns the tokens that can be granted now. */
int64_t ledger_free_tokens(const ledger_t *ledger)
{
	return ledger->leaving ? 0 : MAX(spare(ledger), 0);
}

/* Returns the tokens granted and lent beyond the capacity. This happens only
 * after a fault and shrinks as requests end, as nothing new is granted.
 */
int64_t ledger_overcommitted_tokens(const ledger_t *ledger)
{
	return MAX(ledger->granted + ledger->lent - ledger->capacity, 0);
}

static slot_t *find_slot(const ledger_t *ledger, const ledger_key_t *key)
{
	return g_hash_table_lookup(ledger->grants, key);
}

/* Returns a recorded grant, or NULL. */
const ledger_grant_t *ledger_find(const ledger_t *ledger,
				  const ledger_key_t *key)
{
	const slot_t *slot = find_slot(ledger, key);

	return slot ? &slot->grant : NULL;
}

static void set_phase(ledger_t *ledger, slot_t *slot, ledger_phase_t phase)
{
	ledger->transfers += phase == LEDGER_IMPORTING;
	ledger->transfers -= slot->grant.phase == LEDGER_IMPORTING;
	slot->grant.phase = phase;
}

static void insert(ledger_t *ledger, const ledger_grant_t *grant, vm_t *vm)
{
	slot_t *slot = g_new0(slot_t, 1);

	slot->grant = *grant;
	slot->grant.vm.name = str_from(vm->name);
	slot->grant.owner_incarnation = ledger->incarnation;
	slot->vm = vm;
	vm->n_grants++;
	ledger->granted += grant->tokens;
	ledger->granted_peak = MAX(ledger->granted_peak, ledger->granted);
	ledger->transfers += grant->phase == LEDGER_IMPORTING;
	g_hash_table_insert(ledger->grants, &slot->grant.key, slot);
}

/* Takes a grant out of the sums; the caller removes it from the table. */
static void settle(ledger_t *ledger, slot_t *slot)
{
	ledger->granted -= slot->grant.tokens;
	ledger->transfers -= slot->grant.phase == LEDGER_IMPORTING;
	slot->vm->n_grants--;
}

static void remove_slot(ledger_t *ledger, slot_t *slot)
{
	settle(ledger, slot);
	g_hash_table_remove(ledger->grants, &slot->grant.key);
}

/* A message for a grant is valid only from the VM that holds it. */
static bool holds(const slot_t *slot, const vm_t *vm)
{
	return vm && slot->vm == vm && !slot->orphan;
}

static ledger_result_t repeat(slot_t *slot, const vm_t *vm, int64_t deadline_us)
{
	if (!holds(slot, vm))
		return LEDGER_STALE;
	slot->grant.vm.incarnation = vm->incarnation;
	slot->grant.deadline_us = MAX(slot->grant.deadline_us, deadline_us);
	return LEDGER_OK;
}

/* Grants memory for an attempt. A repeated call renews the grant. Fails with
 * LEDGER_FULL, LEDGER_TOO_LARGE, LEDGER_RECOVERING or LEDGER_STALE.
 */
ledger_result_t ledger_reserve(ledger_t *ledger, const ledger_grant_t *want,
			       int64_t now_us)
{
	vm_t *vm = current_vm(ledger, want->vm, now_us);
	slot_t *slot = find_slot(ledger, &want->key);

	if (!vm)
		return LEDGER_STALE;
	if (slot)
		return repeat(slot, vm, want->deadline_us);
	if (want->tokens <= 0 || want->tokens > ledger->capacity)
		return LEDGER_TOO_LARGE;
	if (now_us < ledger->recovery_until_us)
		return LEDGER_RECOVERING;
	if (ledger_free_tokens(ledger) < want->tokens)
		return LEDGER_FULL;
	insert(ledger, want, vm);
	return LEDGER_OK;
}

/*
 * Records a grant of an earlier owner, or one that a router took from its
 * fixed share. Memory that is already in use is always recorded, because a
 * refusal would not free it; this can over-commit the ledger, which then
 * grants nothing until enough requests have ended. A grant that is not yet in
 * use is recorded only if it fits; after LEDGER_FULL the router has to reserve
 * elsewhere.
 */
ledger_result_t ledger_restore(ledger_t *ledger, const ledger_grant_t *held,
			       int64_t now_us)
{
	vm_t *vm = current_vm(ledger, held->vm, now_us);
	slot_t *slot = find_slot(ledger, &held->key);

	if (!vm)
		return LEDGER_STALE;
	if (slot) {
		ledger_result_t result = repeat(slot, vm, held->deadline_us);

		if (result == LEDGER_OK)
			set_phase(ledger, slot, held->phase);
		return result;
	}
	if (held->tokens <= 0 || held->tokens > ledger->capacity)
		return LEDGER_TOO_LARGE;
	if (held->phase != LEDGER_PREFILLING)
		ledger->foreign = MAX(ledger->foreign - held->tokens, 0);
	else if (spare(ledger) < held->tokens)
		return LEDGER_FULL;
	insert(ledger, held, vm);
	return LEDGER_OK;
}

/*
 * Prolongs a grant and reports the phase of its request. Entering
 * LEDGER_IMPORTING takes a transfer slot; with LEDGER_NO_TRANSFER_SLOT the grant is
 * prolonged, but the transfer must not start yet. After LEDGER_UNKNOWN the
 * router restores the grant, after LEDGER_STALE it gives the attempt up.
 */
ledger_result_t ledger_renew(ledger_t *ledger, const ledger_key_t *key,
			     ledger_vm_t vm, ledger_phase_t phase,
			     int64_t deadline_us)
{
	slot_t *slot = find_slot(ledger, key);
	vm_t *from = current_vm(ledger, vm, 0);
	ledger_result_t result;

	if (!from)
		return LEDGER_STALE;
	if (!slot)
		return LEDGER_UNKNOWN;
	result = repeat(slot, from, deadline_us);
	if (result != LEDGER_OK || phase == slot->grant.phase)
		return result;
	if (phase == LEDGER_IMPORTING && ledger->max_transfers > 0 &&
	    ledger->transfers >= ledger->max_transfers)
		return LEDGER_NO_TRANSFER_SLOT;
	set_phase(ledger, slot, phase);
	return LEDGER_OK;
}

/* Ends a grant. LEDGER_UNKNOWN after a repeated call is harmless. */
ledger_result_t ledger_release(ledger_t *ledger, const ledger_key_t *key,
			       ledger_vm_t vm)
{
	slot_t *slot = find_slot(ledger, key);
	vm_t *from = current_vm(ledger, vm, 0);

	if (!slot)
		return LEDGER_UNKNOWN;
	if (!holds(slot, from))
		return LEDGER_STALE;
	remove_slot(ledger, slot);
	return LEDGER_OK;
}

/*
 * Lends a router up to tokens in advance, which it may turn into grants
 * without asking until deadline_us. Returns the tokens lent, 0 if memory is
 * scarce or the last credit has neither been used up nor lapsed: only one
 * credit a router is outstanding, so one whose reply was lost lapses too.
 */
int64_t ledger_lend(ledger_t *ledger, ledger_vm_t vm, int64_t tokens,
		    unsigned routers, int64_t deadline_us, int64_t now_us)
{
	vm_t *to = current_vm(ledger, vm, now_us);
	int64_t most =
		ledger_free_tokens(ledger) / LEND_DIVISOR / MAX(routers, 1);

	if (!to || now_us < ledger->recovery_until_us)
		return 0;
	if (to->lent > 0 && now_us < to->lent_until_us)
		return 0;
	drop_credit(ledger, to);
	to->lent = CLAMP(tokens, 0, most);
	to->lent_until_us = deadline_us;
	ledger->lent += to->lent;
	return to->lent;
}

/* Records a grant that the router made from its credit. If the credit has
 * lapsed here, it counts as a new reservation and may fail like one.
 */
ledger_result_t ledger_use_credit(ledger_t *ledger, const ledger_grant_t *want,
				  int64_t now_us)
{
	vm_t *vm = current_vm(ledger, want->vm, now_us);

	if (!vm)
		return LEDGER_STALE;
	if (find_slot(ledger, &want->key) || want->tokens <= 0 ||
	    want->tokens > vm->lent)
		return ledger_reserve(ledger, want, now_us);
	vm->lent -= want->tokens;
	ledger->lent -= want->tokens;
	insert(ledger, want, vm);
	return LEDGER_OK;
}

/* Takes back tokens of a credit that the router does not need. */
void ledger_return_credit(ledger_t *ledger, ledger_vm_t vm, int64_t tokens)
{
	vm_t *from = current_vm(ledger, vm, 0);

	if (!from)
		return;
	tokens = CLAMP(tokens, 0, from->lent);
	from->lent -= tokens;
	ledger->lent -= tokens;
}

/* An orphan keeps its memory until its cancellation is confirmed. */
static void make_orphan(slot_t *slot, int64_t deadline_us)
{
	slot->orphan = true;
	slot->grant.deadline_us = deadline_us;
}

static void expire_vms(ledger_t *ledger, int64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, ledger->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		vm_t *vm = value;

		if (vm->lent > 0 && now_us >= vm->lent_until_us)
			drop_credit(ledger, vm);
		if (vm->n_grants == 0 && vm->lent == 0 &&
		    now_us - vm->seen_us > LEDGER_VM_RETENTION_US)
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Handles everything whose deadline has passed: credits lapse, and expired()
 * is called for each grant that was not renewed. If its VM is dead, the caller
 * cancels the attempt at the engine first; in either case it then calls
 * ledger_confirm_cancelled(). A live router that is only cut off from the owner
 * goes on with its request, whose memory shows in the engine's reports.
 * Callbacks must not call the ledger. Returns the number of calls.
 */
size_t ledger_expire(ledger_t *ledger, int64_t now_us,
		     ledger_grant_fn_t expired, void *context)
{
	GHashTableIter iter;
	void *value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, ledger->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *slot = value;

		if (now_us < slot->grant.deadline_us)
			continue;
		if (slot->orphan) {
			settle(ledger, slot);
			g_hash_table_iter_remove(&iter);
			continue;
		}
		make_orphan(slot, now_us + LEDGER_ORPHAN_TIMEOUT_US);
		expired(&slot->grant, context);
		n++;
	}
	expire_vms(ledger, now_us);
	return n;
}

/*
 * Marks a VM's incarnation as dead: its messages are stale from now on, its
 * credit is taken back, and found() is called for each of its grants, which
 * the caller cancels as after ledger_expire(). Returns the number of calls.
 */
size_t ledger_vm_dead(ledger_t *ledger, ledger_vm_t vm, int64_t now_us,
		      ledger_grant_fn_t found, void *context)
{
	vm_t *dead = get_vm(ledger, vm.name);
	GHashTableIter iter;
	void *value;
	size_t n = 0;

	dead->dead = MAX(dead->dead, vm.incarnation);
	dead->seen_us = MAX(dead->seen_us, now_us);
	if (dead->incarnation <= dead->dead)
		drop_credit(ledger, dead);
	g_hash_table_iter_init(&iter, ledger->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *slot = value;

		if (slot->vm != dead || slot->orphan ||
		    slot->grant.vm.incarnation > dead->dead)
			continue;
		make_orphan(slot, now_us + LEDGER_ORPHAN_TIMEOUT_US);
		found(&slot->grant, context);
		n++;
	}
	return n;
}

/* Frees the memory of an attempt that the owner itself has cancelled. */
void ledger_confirm_cancelled(ledger_t *ledger, const ledger_key_t *key)
{
	slot_t *slot = find_slot(ledger, key);

	if (slot && slot->orphan)
		remove_slot(ledger, slot);
}

/*
 * Takes in the engine's own report of used tokens. Use beyond all grants is
 * kept free. The report lags, so it is compared with the greatest sum of
 * grants since the last report but one; otherwise a request that has just
 * ended would be mistaken for unaccounted use.
 */
void ledger_on_usage_report(ledger_t *ledger, int64_t kv_used)
{
	int64_t peak = MAX(ledger->granted_peak, ledger->granted_peak_before);

	ledger->foreign = MAX(kv_used - peak, 0);
	ledger->granted_peak_before = ledger->granted_peak;
	ledger->granted_peak = ledger->granted;
}

/* Changes the engine's memory after a configuration change. */
void ledger_set_capacity(ledger_t *ledger, int64_t capacity)
{
	ledger->capacity = capacity;
}

/* Returns a name for logs. */
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
