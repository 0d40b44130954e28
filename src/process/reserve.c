#include "process/reserve.h"

#include "process/counters.h"
#include "process/log.h"

/* A grant expires at its owner after OWNER_GRANT_MS, which is six intervals. */
#define RENEW_INTERVAL_MS 500

/* A release that waits for a cancellation is sent after this time at the
 * latest: an engine that has not confirmed by then cannot be reached.
 */
#define DEFERRED_RELEASE_MAX_US (1 * CLOCK_US_PER_S)

/* An owner counts as unreachable this long after the end of the wait that the
 * request allows it. Covers some round trips of a few milliseconds each, with
 * retransmissions.
 */
#define REPLY_MARGIN_US (50 * CLOCK_US_PER_MS)

/* Timeout of renewals and releases. */
#define CALL_TIMEOUT_US (400 * CLOCK_US_PER_MS)

/* One decode engine and what this router holds of it. */
typedef struct {
	char *address;
	char *zone;
	uint64_t key; /* member_key() of the address */
	share_t share;
	uint32_t renew_call; /* call in progress, or 0 */
	reserve_t *reserve;
} reserve_engine_t;

/* A reservation whose done() has not been called. */
typedef struct {
	reserve_t *reserve;
	uint32_t id;
	reserve_engine_t *engine;
	ledger_grant_t grant;
	reserve_done_fn_t done;
	void *context;
	guint idle_source; /* set once the result is known; calls done() */
	uint32_t owner_call; /* to the owner, in progress; 0: none */
	reserve_result_t result;
} reservation_t;

/* A release that waits until the engine confirms the attempt's cancellation. */
typedef struct {
	char *address;
	ledger_key_t key;
	int64_t until_us; /* then it is sent without a confirmation */
} deferred_release_t;

static void deferred_release_clear(gpointer data)
{
	deferred_release_t *deferred = data;

	g_free(deferred->address);
}

static void engine_free(gpointer data)
{
	reserve_engine_t *engine = data;

	if (engine->renew_call)
		rpc_cancel(engine->reserve->rpc, engine->renew_call);
	share_finish(&engine->share);
	g_free(engine->address);
	g_free(engine->zone);
	g_free(engine);
}

static void reservation_free(gpointer data)
{
	reservation_t *reservation = data;

	if (reservation->idle_source)
		g_source_remove(reservation->idle_source);
	if (reservation->owner_call)
		rpc_cancel(reservation->reserve->rpc, reservation->owner_call);
	g_free(reservation);
}

/* Sets up reservations in a deployment with that many routers. No
 * ledger owner is asked before reserve_attach().
 */
void reserve_init(reserve_t *reserve, route_policy_t policy, unsigned routers,
		  clock_source_t clock)
{
	memset(reserve, 0, sizeof(*reserve));
	reserve->policy = policy;
	reserve->routers = routers;
	reserve->clock = clock;
	reserve->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 engine_free);
	reserve->reservations = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, reservation_free);
	reserve->deferred_releases =
		g_array_new(FALSE, FALSE, sizeof(deferred_release_t));
	g_array_set_clear_func(reserve->deferred_releases,
			       deferred_release_clear);
}

/* Frees everything. Callbacks that are still due are not called. */
void reserve_finish(reserve_t *reserve)
{
	if (reserve->renew_timer)
		g_source_remove(reserve->renew_timer);
	g_array_unref(reserve->deferred_releases);
	g_hash_table_unref(reserve->reservations);
	g_hash_table_unref(reserve->engines);
}

static reserve_engine_t *find_engine(reserve_t *reserve, str_t address)
{
	char *key = str_dup(address);
	reserve_engine_t *engine = g_hash_table_lookup(reserve->engines, key);

	g_free(key);
	return engine;
}

static reserve_engine_t *get_engine(reserve_t *reserve,
				    const reserve_request_t *request)
{
	reserve_engine_t *engine = find_engine(reserve, request->engine);

	if (engine)
		return engine;
	engine = g_new0(reserve_engine_t, 1);
	engine->reserve = reserve;
	engine->address = str_dup(request->engine);
	engine->zone = str_dup(request->zone);
	engine->key = member_key(request->engine);
	share_init(&engine->share, request->capacity_tokens, reserve->routers);
	g_hash_table_insert(reserve->engines, engine->address, engine);
	return engine;
}

/* Returns the engine's ledger owner, or NULL if there is none or the policy
 * asks none.
 */
static const member_t *find_owner(const reserve_t *reserve,
				  const reserve_engine_t *engine)
{
	if (!reserve->fleet || (reserve->policy != ROUTE_LEDGER &&
				reserve->policy != ROUTE_CREDITS))
		return NULL;
	return fleet_owner(reserve->fleet, engine->zone,
			   str_from(engine->address));
}

static void fill_hold(const ledger_grant_t *grant, peer_hold *hold)
{
	memcpy(hold->request, grant->key.request, LEDGER_REQUEST_ID_BYTES);
	hold->attempt = grant->key.attempt;
	hold->tokens = (u_int)grant->tokens;
}

/* Removes the reservation, then reports its result. */
static gboolean call_done(gpointer data)
{
	reservation_t *reservation = data;
	reserve_result_t result = reservation->result;
	reserve_done_fn_t done = reservation->done;
	void *context = reservation->context;

	reservation->idle_source = 0;
	g_hash_table_remove(reservation->reserve->reservations,
			    GUINT_TO_POINTER(reservation->id));
	done(context, &result);
	return G_SOURCE_REMOVE;
}

static void schedule_done(reservation_t *reservation, reserve_code_t code,
			  int64_t free_tokens)
{
	reservation->result.code = code;
	reservation->result.free_tokens = free_tokens;
	reservation->idle_source = g_idle_add_full(
		G_PRIORITY_DEFAULT, call_done, reservation, NULL);
}

/* Decides without the owner: by the fixed share, or always with a grant under
 * the policies that reserve nothing.
 */
static void reserve_locally(reservation_t *reservation)
{
	share_t *share = &reservation->engine->share;
	bool granted = true;

	if (reservation->reserve->policy == ROUTE_ROUND_ROBIN ||
	    reservation->reserve->policy == ROUTE_TWO_CHOICES)
		share_add_grant(share, &reservation->grant);
	else
		granted = share_take_fixed(share, &reservation->grant);
	schedule_done(reservation, granted ? RESERVE_GRANTED : RESERVE_FULL,
		      -1);
}

static void send_release(reserve_t *reserve, reserve_engine_t *engine,
			 const ledger_key_t *key);
static void renew_engine(reserve_t *reserve, reserve_engine_t *engine);

/*
 * Falls back to the fixed share. The owner may have granted the memory although
 * its reply did not arrive. A grant from the fixed share has the same key, so
 * that its renewals reach the owner's grant; if the fixed share grants nothing,
 * the owner's grant is released. The first renewal is sent at once, because
 * this VM may die before the next one is due and nobody else knows of the
 * grant.
 */
static void fall_back(reservation_t *reservation)
{
	counters_add(COUNTER_LEDGER_FALLBACKS, 1);
	reserve_locally(reservation);
	if (reservation->result.code == RESERVE_GRANTED)
		renew_engine(reservation->reserve, reservation->engine);
	else
		send_release(reservation->reserve, reservation->engine,
			     &reservation->grant.key);
}

/* Handles the owner's answer. A new owner is sent all grants of this router. */
static void apply_result(reservation_t *reservation,
			 const peer_reserve_result *result)
{
	reserve_engine_t *engine = reservation->engine;
	bool new_owner;

	if (result->code == PEER_NOT_OWNER) {
		fall_back(reservation);
		return;
	}
	new_owner = share_set_owner(&engine->share, result->owner);
	if (result->code == PEER_GRANTED) {
		reservation->grant.owner_incarnation = result->owner;
		share_add_grant(&engine->share, &reservation->grant);
		schedule_done(reservation, RESERVE_GRANTED,
			      result->free_tokens);
	} else {
		schedule_done(reservation,
			      result->code == PEER_FULL ? RESERVE_FULL
							: RESERVE_REFUSED,
			      result->free_tokens);
	}
	if (new_owner)
		renew_engine(reservation->reserve, engine);
}

static void on_reserve_reply(void *context, verdict_t verdict, str_t body,
			     const wire_sender_t *from)
{
	reservation_t *reservation = context;
	peer_reserve_result result;

	reservation->owner_call = 0;
	if (verdict.code == VERDICT_OK &&
	    rpc_decode(peer_reserve_result, body, &result))
		apply_result(reservation, &result);
	else
		fall_back(reservation);
}

/* Handles the answer of this VM's own ledger; result is NULL if the reservation
 * was withdrawn. A grant is renewed at once, which copies it to the owner's
 * successor: this VM may die before the next renewal is due.
 */
static void on_local_answer(void *context, const peer_reserve_result *result)
{
	reservation_t *reservation = context;

	if (!result)
		return;
	apply_result(reservation, result);
	if (result->code == PEER_GRANTED)
		renew_engine(reservation->reserve, reservation->engine);
}

/* Asks the engine's owner, which may be this VM itself. */
static void ask_owner(reservation_t *reservation, const member_t *member,
		      const reserve_request_t *request)
{
	reserve_t *reserve = reservation->reserve;
	peer_reserve call = {
		.engine = reservation->engine->key,
		.priority = (u_int)request->priority,
	};
	int64_t wait_us = request->wait_until_us - clock_now(&reserve->clock);
	wire_buffer_t body;

	fill_hold(&reservation->grant, &call.hold);
	call.wait_ms = wait_us > 0 ? (u_int)(wait_us / CLOCK_US_PER_MS) : 0;
	if (fleet_is_self(reserve->fleet, member)) {
		owner_reserve(reserve->owner, reserve->self, &call,
			      on_local_answer, reservation);
		return;
	}
	if (rpc_encode(peer_reserve, &call, &body))
		reservation->owner_call =
			rpc_send(reserve->rpc, member->info.address,
				 PEER_RESERVE, rpc_body(&body),
				 request->wait_until_us + REPLY_MARGIN_US,
				 on_reserve_reply, reservation);
	if (!reservation->owner_call)
		fall_back(reservation);
}

/*
 * Reserves memory of one engine. Calls done() once, unless reserve_cancel() is
 * called first. A grant is renewed until reserve_release(). Returns the ID for
 * reserve_cancel(), never 0.
 */
uint32_t reserve_start(reserve_t *reserve, const reserve_request_t *request,
		       reserve_done_fn_t done, void *context)
{
	reservation_t *reservation = g_new0(reservation_t, 1);
	const member_t *member;

	reservation->reserve = reserve;
	if (++reserve->last_id == 0)
		reserve->last_id = 1;
	reservation->id = reserve->last_id;
	reservation->engine = get_engine(reserve, request);
	reservation->grant.key = request->key;
	reservation->grant.tokens = request->tokens;
	reservation->grant.deadline_us = request->deadline_us;
	reservation->done = done;
	reservation->context = context;
	g_hash_table_insert(reserve->reservations,
			    GUINT_TO_POINTER(reservation->id), reservation);
	member = find_owner(reserve, reservation->engine);
	if (member)
		ask_owner(reservation, member, request);
	else
		reserve_locally(reservation);
	return reservation->id;
}

/* Withdraws a reservation before its callback, and releases what it was or may
 * have been granted. Ignores an unknown ID.
 */
void reserve_cancel(reserve_t *reserve, uint32_t id)
{
	reservation_t *reservation = g_hash_table_lookup(reserve->reservations,
							 GUINT_TO_POINTER(id));

	if (!reservation)
		return;
	share_remove_grant(&reservation->engine->share,
			   &reservation->grant.key);
	send_release(reserve, reservation->engine, &reservation->grant.key);
	g_hash_table_remove(reserve->reservations, GUINT_TO_POINTER(id));
}

/* Ignores the reply: after a lost release the grant expires without renewal. */
static void on_release_reply(void *context, verdict_t verdict, str_t body,
			     const wire_sender_t *from)
{
}

/* Tells the engine's owner that a grant is released. */
static void send_release(reserve_t *reserve, reserve_engine_t *engine,
			 const ledger_key_t *key)
{
	const member_t *member = find_owner(reserve, engine);
	ledger_grant_t grant = {.key = *key};
	peer_hold hold;
	peer_release call = {
		.engine = engine->key,
		.holds = {.holds_len = 1, .holds_val = &hold},
	};
	peer_release_result result;
	wire_buffer_t body;

	if (!member)
		return;
	fill_hold(&grant, &hold);
	if (fleet_is_self(reserve->fleet, member))
		owner_release(reserve->owner, reserve->self, &call, &result);
	else if (rpc_encode(peer_release, &call, &body))
		rpc_send(reserve->rpc, member->info.address, PEER_RELEASE,
			 rpc_body(&body),
			 clock_now(&reserve->clock) + CALL_TIMEOUT_US,
			 on_release_reply, NULL);
}

static void release_now(reserve_t *reserve, str_t address,
			const ledger_key_t *key)
{
	reserve_engine_t *engine = find_engine(reserve, address);

	if (engine && share_remove_grant(&engine->share, key))
		send_release(reserve, engine, key);
}

/*
 * Releases the memory of an attempt. With after_cancel the engine may use it
 * until it has confirmed the cancellation, so it is released only by
 * reserve_cancel_confirmed() or after DEFERRED_RELEASE_MAX_US.
 */
void reserve_release(reserve_t *reserve, str_t engine, const ledger_key_t *key,
		     bool after_cancel)
{
	deferred_release_t deferred = {.key = *key};

	if (!after_cancel) {
		release_now(reserve, engine, key);
		return;
	}
	deferred.address = str_dup(engine);
	deferred.until_us =
		clock_now(&reserve->clock) + DEFERRED_RELEASE_MAX_US;
	g_array_append_val(reserve->deferred_releases, deferred);
}

static void release_deferred(reserve_t *reserve, guint index)
{
	deferred_release_t *deferred = &g_array_index(
		reserve->deferred_releases, deferred_release_t, index);

	release_now(reserve, str_from(deferred->address), &deferred->key);
	g_array_remove_index_fast(reserve->deferred_releases, index);
}

/* Releases the memory that waited for an engine to cancel an attempt. This
 * covers all attempts of the same request at that engine.
 */
void reserve_cancel_confirmed(reserve_t *reserve, str_t engine,
			      const ledger_key_t *key)
{
	for (guint i = reserve->deferred_releases->len; i-- > 0;) {
		deferred_release_t *deferred = &g_array_index(
			reserve->deferred_releases, deferred_release_t, i);

		if (!memcmp(deferred->key.request, key->request,
			    LEDGER_REQUEST_ID_BYTES) &&
		    str_equal(str_from(deferred->address), engine))
			release_deferred(reserve, i);
	}
}

/* Releases what was not confirmed in time. */
static void release_expired(reserve_t *reserve)
{
	int64_t now_us = clock_now(&reserve->clock);

	for (guint i = reserve->deferred_releases->len; i-- > 0;)
		if (now_us >= g_array_index(reserve->deferred_releases,
					    deferred_release_t, i)
				      .until_us)
			release_deferred(reserve, i);
}

static void on_renew_reply(void *context, verdict_t verdict, str_t body,
			   const wire_sender_t *from)
{
	reserve_engine_t *engine = context;
	peer_renew_result result;

	engine->renew_call = 0;
	if (verdict.code != VERDICT_OK ||
	    !rpc_decode(peer_renew_result, body, &result) ||
	    result.code != PEER_GRANTED)
		return;
	share_set_owner(&engine->share, result.owner);
}

/* A renewal message that is being filled. */
typedef struct {
	peer_hold holds[PEER_HOLDS_MAX];
	u_int n;
	reserve_t *reserve;
	reserve_engine_t *engine;
} renewal_t;

/* Ignores the reply; the next renewal repeats the grants. */
static void on_standby_reply(void *context, verdict_t verdict, str_t body,
			     const wire_sender_t *from)
{
}

/* Sends this VM's grants from its own ledger to the VM that would own the
 * engine next. Nobody else knows of them, and that VM cancels them if this one
 * dies.
 */
static void renew_at_successor(reserve_t *reserve,
			       const reserve_engine_t *engine, str_t body)
{
	const member_t *member = fleet_successor(reserve->fleet, engine->zone,
						 str_from(engine->address));

	if (member)
		rpc_send(reserve->rpc, member->info.address, PEER_RENEW, body,
			 clock_now(&reserve->clock) + CALL_TIMEOUT_US,
			 on_standby_reply, NULL);
}

/* Sends a filled renewal message to the owner and empties it. */
static void send_renewal(renewal_t *renewal)
{
	reserve_t *reserve = renewal->reserve;
	reserve_engine_t *engine = renewal->engine;
	const member_t *member = find_owner(reserve, engine);
	peer_renew call = {
		.engine = engine->key,
		.owner = engine->share.owner_incarnation,
		.holds = {.holds_len = renewal->n, .holds_val = renewal->holds},
	};
	peer_renew_result result;
	wire_buffer_t body;

	renewal->n = 0;
	if (!member || !rpc_encode(peer_renew, &call, &body))
		return;
	if (fleet_is_self(reserve->fleet, member)) {
		owner_renew(reserve->owner, reserve->self, &call, &result);
		renew_at_successor(reserve, engine, rpc_body(&body));
		return;
	}
	if (engine->renew_call)
		rpc_cancel(reserve->rpc, engine->renew_call);
	engine->renew_call = rpc_send(
		reserve->rpc, member->info.address, PEER_RENEW, rpc_body(&body),
		clock_now(&reserve->clock) + CALL_TIMEOUT_US, on_renew_reply,
		engine);
}

static void add_hold(const ledger_grant_t *grant, void *context)
{
	renewal_t *renewal = context;

	fill_hold(grant, &renewal->holds[renewal->n++]);
	if (renewal->n == PEER_HOLDS_MAX)
		send_renewal(renewal);
}

/* Renews all grants at one engine. */
static void renew_engine(reserve_t *reserve, reserve_engine_t *engine)
{
	renewal_t renewal = {.reserve = reserve, .engine = engine};

	share_foreach_grant(&engine->share, add_hold, &renewal);
	if (renewal.n)
		send_renewal(&renewal);
}

static gboolean on_renew_timer(gpointer data)
{
	reserve_t *reserve = data;
	GHashTableIter iter;
	gpointer value;

	release_expired(reserve);
	g_hash_table_iter_init(&iter, reserve->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		renew_engine(reserve, value);
	return G_SOURCE_CONTINUE;
}

/*
 * Starts to ask ledger owners and to renew grants. The caller keeps the
 * ownership of rpc, fleet and owner, which must outlive reserve_finish().
 */
void reserve_attach(reserve_t *reserve, rpc_t *rpc, fleet_t *fleet,
		    owner_t *owner, ledger_vm_t self)
{
	reserve->rpc = rpc;
	reserve->fleet = fleet;
	reserve->owner = owner;
	reserve->self = self;
	reserve->renew_timer =
		g_timeout_add(RENEW_INTERVAL_MS, on_renew_timer, reserve);
}
