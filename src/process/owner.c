#include "process/owner.h"

#include "process/counters.h"
#include "process/log.h"

/*
 * A new owner collects the grants of its predecessor for this time: longer
 * than two intervals at which routers renew, so that one lost renewal does
 * not leave a grant out.
 */
#define RECOVERY_US (1500 * CLOCK_US_PER_MS)

#define EXPIRE_INTERVAL_MS 20

/* Answer of a full ledger: memory is freed within some tens of tokens. */
#define FULL_RETRY_MS 50

/* Requests that wait for memory of one engine at most. */
#define MAX_WAITING 256

typedef struct {
	uint64_t key;
	char *address;
	ledger_t ledger;
	bool standby; /* another VM owns the engine; see owner_renew() */
	GQueue waiting; /* of waiter_t, first served first */
} engine_ledger_t;

/* A reservation that is answered when memory is free or its time is over. */
typedef struct {
	ledger_grant_t want; /* the VM's name is owned */
	unsigned priority;
	int64_t since_us;
	int64_t until_us;
	owner_answer_fn_t answer;
	void *context;
} waiter_t;

static void waiter_free(gpointer data)
{
	waiter_t *waiter = data;

	if (waiter->answer)
		waiter->answer(waiter->context, NULL);
	g_free((gpointer)waiter->want.vm.name.data);
	g_free(waiter);
}

static void engine_free(gpointer data)
{
	engine_ledger_t *engine = data;

	g_queue_clear_full(&engine->waiting, waiter_free);
	ledger_finish(&engine->ledger);
	g_free(engine->address);
	g_free(engine);
}

static backend_entry_t *find_backend(const owner_t *owner, uint64_t key)
{
	GPtrArray *entries = owner->backends->entries;

	for (guint i = 0; i < entries->len; i++) {
		backend_entry_t *entry = g_ptr_array_index(entries, i);

		if (entry->key == key)
			return entry;
	}
	return NULL;
}

/* Tells whether this VM is the ledger owner of an engine. */
bool owner_is_self(const owner_t *owner, const backend_entry_t *entry)
{
	const member_t *member = fleet_owner(owner->fleet, entry->zone,
					     str_from(entry->address));

	return member && fleet_is_self(owner->fleet, member);
}

static bool has_ledger(const backend_entry_t *entry)
{
	return entry->present && *entry->pool && !entry->prefill;
}

/* Unique also when an engine is lost and gained again. */
static uint64_t next_incarnation(owner_t *owner)
{
	clock_source_t wall = clock_realtime();

	owner->last_incarnation =
		MAX(owner->last_incarnation + 1, (uint64_t)clock_now(&wall));
	return owner->last_incarnation;
}

static engine_ledger_t *add_ledger(owner_t *owner, const backend_entry_t *entry)
{
	engine_ledger_t *engine = g_new0(engine_ledger_t, 1);

	engine->key = entry->key;
	engine->address = g_strdup(entry->address);
	engine->standby = true;
	ledger_init(&engine->ledger, entry->kv_total, owner->max_transfers, 0,
		    0);
	g_hash_table_insert(owner->engines, &engine->key, engine);
	return engine;
}

static void become_owner(owner_t *owner, engine_ledger_t *engine)
{
	engine->standby = false;
	engine->ledger.incarnation = next_incarnation(owner);
	engine->ledger.recovery_until_us =
		clock_now(&owner->clock) + RECOVERY_US;
	log_event(LOG_INFO, "ledger_gained",
		  LOG_CSTR("engine", engine->address),
		  LOG_UINT("incarnation", engine->ledger.incarnation));
}

/* Returns the ledger of an engine, owned or on standby; NULL if the engine is
 * not known.
 */
static engine_ledger_t *get_ledger(owner_t *owner, uint64_t key)
{
	engine_ledger_t *engine = g_hash_table_lookup(owner->engines, &key);
	backend_entry_t *entry;

	if (engine)
		return engine;
	entry = find_backend(owner, key);
	if (!entry || !has_ledger(entry))
		return NULL;
	engine = add_ledger(owner, entry);
	if (owner_is_self(owner, entry))
		become_owner(owner, engine);
	return engine;
}

/* Returns the ledger of an engine that this VM owns, or NULL. */
static engine_ledger_t *find_ledger(owner_t *owner, uint64_t key)
{
	engine_ledger_t *engine = g_hash_table_lookup(owner->engines, &key);

	return engine && !engine->standby ? engine : NULL;
}

static peer_reserve_result result_of(const engine_ledger_t *engine,
				     peer_grant_code code)
{
	return (peer_reserve_result){
		.code = code,
		.owner = engine->ledger.incarnation,
		.valid_ms = OWNER_GRANT_MS,
		.free_tokens = (u_int)ledger_free_tokens(&engine->ledger),
		.retry_ms = FULL_RETRY_MS,
	};
}

static void answer_waiter(engine_ledger_t *engine, GList *link,
			  peer_grant_code code)
{
	waiter_t *waiter = link->data;
	peer_reserve_result result = result_of(engine, code);

	g_queue_delete_link(&engine->waiting, link);
	waiter->answer(waiter->context, &result);
	waiter->answer = NULL;
	waiter_free(waiter);
}

/* Another VM owns the engine now; what is known here stays on standby. */
static void stand_by(engine_ledger_t *engine)
{
	engine->standby = true;
	log_event(LOG_INFO, "ledger_lost", LOG_CSTR("engine", engine->address));
	while (engine->waiting.head)
		answer_waiter(engine, engine->waiting.head, PEER_NOT_OWNER);
}

static gboolean is_unused(gpointer key, gpointer value, gpointer data)
{
	engine_ledger_t *engine = value;
	const backend_entry_t *entry = find_backend(data, engine->key);

	return engine->standby &&
	       (!entry || !has_ledger(entry) ||
		g_hash_table_size(engine->ledger.grants) == 0);
}

/*
 * Takes over and hands over ledgers after a change of the members or of the
 * state. Ledgers of engines gained are set up at once, so that their recovery
 * is over when the first request asks.
 */
void owner_update(owner_t *owner)
{
	GPtrArray *entries = owner->backends->entries;

	for (guint i = 0; i < entries->len; i++) {
		backend_entry_t *entry = g_ptr_array_index(entries, i);
		engine_ledger_t *engine =
			g_hash_table_lookup(owner->engines, &entry->key);
		bool own = has_ledger(entry) && owner_is_self(owner, entry);

		if (own && !engine)
			engine = add_ledger(owner, entry);
		if (own && engine->standby)
			become_owner(owner, engine);
		else if (!own && engine && !engine->standby)
			stand_by(engine);
	}
	g_hash_table_foreach_remove(owner->engines, is_unused, owner);
}

static void serve_waiting(owner_t *owner, engine_ledger_t *engine);

typedef struct {
	owner_t *owner;
	engine_ledger_t *engine;
} orphan_context_t;

static void cancel_orphan(const ledger_grant_t *grant, void *context)
{
	orphan_context_t *orphan = context;

	orphan_cancel(&orphan->owner->orphans, orphan->engine->address,
		      grant->vm.name, &grant->key);
}

static void keep_lapsed(const ledger_grant_t *grant, void *context)
{
	orphan_context_t *orphan = context;

	orphan_add_lapsed(&orphan->owner->orphans, orphan->engine->address,
			  grant);
}

/*
 * Cancels at the engines what a dead VM's incarnation has left there. If it
 * was only cut off and returns, it finds its attempts cancelled and resumes
 * under a higher attempt number.
 */
void owner_vm_dead(owner_t *owner, str_t vm, uint64_t incarnation)
{
	GHashTableIter iter;
	gpointer value;
	ledger_vm_t dead = {vm, incarnation};

	g_hash_table_iter_init(&iter, owner->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		orphan_context_t context = {owner, value};

		ledger_vm_dead(&context.engine->ledger, dead,
			       clock_now(&owner->clock), cancel_orphan,
			       &context);
	}
	orphan_cancel_lapsed(&owner->orphans, dead);
}

/* Frees the grant of a dead VM once the engine holds nothing for it. */
void owner_cancel_confirmed(owner_t *owner, str_t engine,
			    const ledger_key_t *key)
{
	uint64_t hash = member_key(engine);
	engine_ledger_t *found = g_hash_table_lookup(owner->engines, &hash);

	if (!found)
		return;
	ledger_confirm_cancelled(&found->ledger, key);
	serve_waiting(owner, found);
}

/* Takes in an engine's load report, which shows memory in use by others. */
void owner_on_load_report(owner_t *owner, const backend_entry_t *entry)
{
	engine_ledger_t *engine =
		g_hash_table_lookup(owner->engines, &entry->key);

	if (!engine)
		return;
	ledger_set_capacity(&engine->ledger, entry->kv_total);
	engine->ledger.leaving = entry->leaving;
	ledger_on_usage_report(&engine->ledger, entry->kv_used);
	serve_waiting(owner, engine);
}

static peer_grant_code code_of(ledger_result_t result)
{
	switch (result) {
	case LEDGER_OK:
	case LEDGER_NO_TRANSFER_SLOT:
		return PEER_GRANTED;
	case LEDGER_STALE:
	case LEDGER_TOO_LARGE:
		return PEER_STALE;
	case LEDGER_RECOVERING:
		/* The router uses its fixed share and restores the grant. */
		return PEER_NOT_OWNER;
	case LEDGER_FULL:
	case LEDGER_UNKNOWN:
		break;
	}
	return PEER_FULL;
}

static ledger_grant_t grant_of(const owner_t *owner, ledger_vm_t from,
			       const peer_hold *hold, ledger_phase_t phase)
{
	ledger_grant_t grant = {
		.key.attempt = hold->attempt,
		.tokens = hold->tokens,
		.deadline_us = clock_now(&owner->clock) +
			       OWNER_GRANT_MS * CLOCK_US_PER_MS,
		.phase = phase,
		.vm = from,
	};

	memcpy(grant.key.request, hold->request, LEDGER_REQUEST_ID_BYTES);
	return grant;
}

/* A request that has waited for half of its time is not overtaken any more,
 * so that small requests cannot keep a large one waiting for ever.
 */
static bool blocks_others(const waiter_t *waiter, int64_t now_us)
{
	return now_us - waiter->since_us >
	       (waiter->until_us - waiter->since_us) / 2;
}

/* Gives free memory to those that wait for it. */
static void serve_waiting(owner_t *owner, engine_ledger_t *engine)
{
	int64_t now_us = clock_now(&owner->clock);
	GList *next;

	for (GList *at = engine->waiting.head; at; at = next) {
		waiter_t *waiter = at->data;
		ledger_result_t result;

		next = at->next;
		waiter->want.deadline_us =
			now_us + OWNER_GRANT_MS * CLOCK_US_PER_MS;
		result = ledger_reserve(&engine->ledger, &waiter->want, now_us);
		if (result != LEDGER_FULL)
			answer_waiter(engine, at, code_of(result));
		else if (now_us >= waiter->until_us)
			answer_waiter(engine, at, PEER_FULL);
		else if (blocks_others(waiter, now_us))
			break;
	}
}

static void enqueue_waiter(engine_ledger_t *engine, waiter_t *waiter)
{
	GList *at = engine->waiting.tail;

	while (at && ((waiter_t *)at->data)->priority > waiter->priority)
		at = at->prev;
	g_queue_insert_after(&engine->waiting, at, waiter);
}

static void add_waiter(owner_t *owner, engine_ledger_t *engine,
		       const ledger_grant_t *want, const peer_reserve *call,
		       owner_answer_fn_t answer, void *context)
{
	waiter_t *waiter = g_new0(waiter_t, 1);

	waiter->want = *want;
	waiter->want.vm.name =
		(str_t){str_dup(want->vm.name), want->vm.name.len};
	waiter->priority = call->priority;
	waiter->since_us = clock_now(&owner->clock);
	waiter->until_us = waiter->since_us + call->wait_ms * CLOCK_US_PER_MS;
	waiter->answer = answer;
	waiter->context = context;
	enqueue_waiter(engine, waiter);
}

/*
 * Answers a reservation: at once if it can be decided, otherwise when memory
 * is free or the call's wait_ms are over. A release of the same key withdraws
 * a waiting one, which is then not answered.
 */
void owner_reserve(owner_t *owner, ledger_vm_t from, const peer_reserve *call,
		   owner_answer_fn_t answer, void *context)
{
	engine_ledger_t *engine = find_ledger(owner, call->engine);
	ledger_grant_t want =
		grant_of(owner, from, &call->hold, LEDGER_PREFILLING);
	peer_reserve_result result = {.code = PEER_NOT_OWNER};
	ledger_result_t decided = LEDGER_FULL;

	if (!engine) {
		answer(context, &result);
		return;
	}
	/* Those that wait already come first. */
	if (g_queue_is_empty(&engine->waiting))
		decided = ledger_reserve(&engine->ledger, &want,
					 clock_now(&owner->clock));
	if (decided == LEDGER_FULL && call->wait_ms > 0 &&
	    g_queue_get_length(&engine->waiting) < MAX_WAITING) {
		add_waiter(owner, engine, &want, call, answer, context);
		serve_waiting(owner, engine);
		return;
	}
	result = result_of(engine, code_of(decided));
	answer(context, &result);
}

static void withdraw_waiter(engine_ledger_t *engine, const ledger_key_t *key)
{
	for (GList *at = engine->waiting.head; at; at = at->next) {
		waiter_t *waiter = at->data;

		if (!ledger_key_equal(&waiter->want.key, key))
			continue;
		g_queue_delete_link(&engine->waiting, at);
		waiter_free(waiter);
		return;
	}
}

static ledger_result_t renew_one(owner_t *owner, ledger_t *ledger,
				 ledger_vm_t from, const peer_hold *hold)
{
	/* The message does not tell the phase. Memory that may be in use has
	 * to be recorded, so a restored grant counts as in use.
	 */
	ledger_grant_t held = grant_of(owner, from, hold, LEDGER_DECODING);
	const ledger_grant_t *known = ledger_find(ledger, &held.key);
	ledger_result_t result = LEDGER_UNKNOWN;

	if (known)
		result = ledger_renew(ledger, &held.key, from, known->phase,
				      held.deadline_us);
	if (result == LEDGER_UNKNOWN)
		result =
			ledger_restore(ledger, &held, clock_now(&owner->clock));
	return result;
}

/*
 * Answers PEER_RENEW. A VM that does not own the engine records the grants on
 * standby: the owner of an engine sends its own grants to its successor, so
 * that they are cancelled if it dies.
 */
void owner_renew(owner_t *owner, ledger_vm_t from, const peer_renew *call,
		 peer_renew_result *result)
{
	engine_ledger_t *engine = get_ledger(owner, call->engine);

	memset(result, 0, sizeof(*result));
	result->code = PEER_NOT_OWNER;
	if (!engine)
		return;
	for (u_int i = 0; i < call->holds.holds_len; i++)
		if (renew_one(owner, &engine->ledger, from,
			      &call->holds.holds_val[i]) != LEDGER_OK)
			result->refused |= 1U << i;
	if (engine->standby)
		return;
	result->code = PEER_GRANTED;
	result->owner = engine->ledger.incarnation;
	result->valid_ms = OWNER_GRANT_MS;
	result->free_tokens = (u_int)ledger_free_tokens(&engine->ledger);
}

/* Answers PEER_RELEASE. */
void owner_release(owner_t *owner, ledger_vm_t from, const peer_release *call,
		   peer_release_result *result)
{
	engine_ledger_t *engine = get_ledger(owner, call->engine);

	memset(result, 0, sizeof(*result));
	if (!engine) {
		result->code = PEER_NOT_OWNER;
		return;
	}
	for (u_int i = 0; i < call->holds.holds_len; i++) {
		ledger_grant_t held = grant_of(owner, from,
					       &call->holds.holds_val[i],
					       LEDGER_DECODING);

		withdraw_waiter(engine, &held.key);
		ledger_release(&engine->ledger, &held.key, from);
	}
	serve_waiting(owner, engine);
	result->code = engine->standby ? PEER_NOT_OWNER : PEER_GRANTED;
	result->free_tokens = (u_int)ledger_free_tokens(&engine->ledger);
}

static gboolean on_expire(gpointer data)
{
	owner_t *owner = data;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		orphan_context_t context = {owner, value};

		ledger_expire(&context.engine->ledger, clock_now(&owner->clock),
			      keep_lapsed, &context);
		serve_waiting(owner, context.engine);
	}
	g_hash_table_foreach_remove(owner->engines, is_unused, owner);
	orphan_expire_lapsed(&owner->orphans);
	return G_SOURCE_CONTINUE;
}

/* Sets up without ledgers; what it is given must outlive owner_finish(). */
void owner_init(owner_t *owner, rpc_t *rpc, fleet_t *fleet,
		backends_t *backends, canceller_t *canceller,
		clock_source_t clock, unsigned routers)
{
	memset(owner, 0, sizeof(*owner));
	owner->rpc = rpc;
	owner->fleet = fleet;
	owner->backends = backends;
	owner->clock = clock;
	owner->routers = routers;
	owner->engines = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, engine_free);
	orphan_init(&owner->orphans, canceller, clock);
	owner->timer = g_timeout_add(EXPIRE_INTERVAL_MS, on_expire, owner);
}

/* Drops all ledgers. */
void owner_finish(owner_t *owner)
{
	g_source_remove(owner->timer);
	orphan_finish(&owner->orphans);
	g_hash_table_unref(owner->engines);
}
