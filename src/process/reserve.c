#include "process/reserve.h"

#include "process/counters.h"
#include "process/log.h"

/* A grant lapses at its owner after OWNER_GRANT_MS; six renewals fit in. */
#define RENEW_INTERVAL_MS 500
/* A release that waits for a cancellation is sent at the latest after this
 * time; an engine that does not confirm by then is not reachable.
 */
#define DEFERRED_US (1 * CLOCK_US_PER_S)

/* Time beyond the owner's waiting after which the owner counts as unreachable:
 * some round trips of at most a few milliseconds, with retransmissions.
 */
#define ANSWER_MARGIN_US (50 * CLOCK_US_PER_MS)

#define CALL_TIMEOUT_US (400 * CLOCK_US_PER_MS)

typedef struct {
	char *address;
	char *zone;
	uint64_t key;
	share_t share;
	uint32_t renewing; /* call in progress, or 0 */
	reserve_t *reserve;
} reserve_engine_t;

/* A question whose callback has not been called. */
typedef struct {
	reserve_t *reserve;
	uint32_t id;
	reserve_engine_t *engine;
	ledger_grant_t grant;
	reserve_done_fn_t fn;
	void *context;
	guint source; /* the answer is known */
	uint32_t call; /* the owner was asked */
	reserve_result_t result;
} reservation_t;

typedef struct {
	char *address;
	ledger_key_t key;
	int64_t until_us;
} deferred_t;

static void deferred_clear(gpointer data)
{
	deferred_t *deferred = data;

	g_free(deferred->address);
}

static void engine_free(gpointer data)
{
	reserve_engine_t *engine = data;

	if (engine->renewing)
		rpc_cancel(engine->reserve->rpc, engine->renewing);
	share_finish(&engine->share);
	g_free(engine->address);
	g_free(engine->zone);
	g_free(engine);
}

static void ask_free(gpointer data)
{
	reservation_t *ask = data;

	if (ask->source)
		g_source_remove(ask->source);
	if (ask->call)
		rpc_cancel(ask->reserve->rpc, ask->call);
	g_free(ask);
}

/* Sets up reservations for a deployment with that many routers. */
void reserve_init(reserve_t *reserve, route_policy_t policy, unsigned routers,
		  clock_source_t clock)
{
	memset(reserve, 0, sizeof(*reserve));
	reserve->policy = policy;
	reserve->routers = routers;
	reserve->clock = clock;
	reserve->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 engine_free);
	reserve->asks = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					      NULL, ask_free);
	reserve->deferred = g_array_new(FALSE, FALSE, sizeof(deferred_t));
	g_array_set_clear_func(reserve->deferred, deferred_clear);
}

/* Frees everything; open questions are not answered. */
void reserve_finish(reserve_t *reserve)
{
	if (reserve->renew_timer)
		g_source_remove(reserve->renew_timer);
	g_array_unref(reserve->deferred);
	g_hash_table_unref(reserve->asks);
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
				    const reserve_request_t *want)
{
	reserve_engine_t *engine = find_engine(reserve, want->engine);

	if (engine)
		return engine;
	engine = g_new0(reserve_engine_t, 1);
	engine->reserve = reserve;
	engine->address = str_dup(want->engine);
	engine->zone = str_dup(want->zone);
	engine->key = member_key(want->engine);
	share_init(&engine->share, want->capacity, reserve->routers);
	g_hash_table_insert(reserve->engines, engine->address, engine);
	return engine;
}

/* Returns the engine's ledger owner; NULL if none is asked. */
static const member_t *owner_of(const reserve_t *reserve,
				const reserve_engine_t *engine)
{
	if (!reserve->fleet || (reserve->policy != ROUTE_LEDGER &&
				reserve->policy != ROUTE_CREDITS))
		return NULL;
	return fleet_owner(reserve->fleet, engine->zone,
			   str_from(engine->address));
}

static void put_hold(const ledger_grant_t *grant, peer_hold *hold)
{
	memcpy(hold->request, grant->key.request, LEDGER_REQUEST_ID_BYTES);
	hold->attempt = grant->key.attempt;
	hold->tokens = (u_int)grant->tokens;
}

static gboolean report(gpointer data)
{
	reservation_t *ask = data;
	reserve_result_t result = ask->result;
	reserve_done_fn_t fn = ask->fn;
	void *context = ask->context;

	ask->source = 0;
	g_hash_table_remove(ask->reserve->asks, GUINT_TO_POINTER(ask->id));
	fn(context, &result);
	return G_SOURCE_REMOVE;
}

static void report_later(reservation_t *ask, reserve_code_t code,
			 int64_t free_tokens)
{
	ask->result.code = code;
	ask->result.free_tokens = free_tokens;
	ask->source = g_idle_add_full(G_PRIORITY_DEFAULT, report, ask, NULL);
}

/* Decides without the owner: by the fixed share, or without any bound for the
 * policies that reserve nothing.
 */
static void decide_alone(reservation_t *ask)
{
	share_t *share = &ask->engine->share;
	bool taken = true;

	if (ask->reserve->policy == ROUTE_ROUND_ROBIN ||
	    ask->reserve->policy == ROUTE_TWO_CHOICES)
		share_add_grant(share, &ask->grant);
	else
		taken = share_take_fixed(share, &ask->grant);
	report_later(ask, taken ? RESERVE_GRANTED : RESERVE_FULL, -1);
}

static void send_release(reserve_t *reserve, reserve_engine_t *engine,
			 const ledger_key_t *key);
static void renew_engine(reserve_t *reserve, reserve_engine_t *engine);

/*
 * Falls back to the fixed share. The owner may have granted the memory without
 * being heard: a grant taken here has the same key and is renewed there; one
 * that is not taken is released. The renewal is sent at once, because this VM
 * may die before the next one is due, and nobody else knows of the grant.
 */
static void fall_back(reservation_t *ask)
{
	counters_add(COUNTER_LEDGER_FALLBACKS, 1);
	decide_alone(ask);
	if (ask->result.code == RESERVE_GRANTED)
		renew_engine(ask->reserve, ask->engine);
	else
		send_release(ask->reserve, ask->engine, &ask->grant.key);
}

static void take_result(reservation_t *ask, const peer_reserve_result *result)
{
	reserve_engine_t *engine = ask->engine;
	bool new_owner;

	if (result->code == PEER_NOT_OWNER) {
		fall_back(ask);
		return;
	}
	new_owner = share_set_owner(&engine->share, result->owner);
	if (result->code == PEER_GRANTED) {
		ask->grant.owner_incarnation = result->owner;
		share_add_grant(&engine->share, &ask->grant);
		report_later(ask, RESERVE_GRANTED, result->free_tokens);
	} else {
		report_later(ask,
			     result->code == PEER_FULL ? RESERVE_FULL
						       : RESERVE_REFUSED,
			     result->free_tokens);
	}
	if (new_owner)
		renew_engine(ask->reserve, engine);
}

static void on_reserve_reply(void *context, verdict_t verdict, str_t body,
			     const wire_sender_t *from)
{
	reservation_t *ask = context;
	peer_reserve_result result;

	ask->call = 0;
	if (verdict.code == VERDICT_OK &&
	    rpc_decode(peer_reserve_result, body, &result))
		take_result(ask, &result);
	else
		fall_back(ask);
}

/* A grant of this VM to itself is renewed at once, which tells the successor:
 * this VM may die before the next renewal is due.
 */
static void on_own_answer(void *context, const peer_reserve_result *result)
{
	reservation_t *ask = context;

	if (!result)
		return;
	take_result(ask, result);
	if (result->code == PEER_GRANTED)
		renew_engine(ask->reserve, ask->engine);
}

static void ask_owner(reservation_t *ask, const member_t *member,
		      const reserve_request_t *want)
{
	reserve_t *reserve = ask->reserve;
	peer_reserve call = {
		.engine = ask->engine->key,
		.priority = (u_int)want->priority,
	};
	int64_t wait_us = want->wait_until_us - clock_now(&reserve->clock);
	wire_buffer_t body;

	put_hold(&ask->grant, &call.hold);
	call.wait_ms = wait_us > 0 ? (u_int)(wait_us / CLOCK_US_PER_MS) : 0;
	if (fleet_is_self(reserve->fleet, member)) {
		owner_reserve(reserve->owner, reserve->self, &call,
			      on_own_answer, ask);
		return;
	}
	if (rpc_encode(peer_reserve, &call, &body))
		ask->call = rpc_send(reserve->rpc, member->info.address,
				     PEER_RESERVE, rpc_body(&body),
				     want->wait_until_us + ANSWER_MARGIN_US,
				     on_reserve_reply, ask);
	if (!ask->call)
		fall_back(ask);
}

/*
 * Asks for memory of one engine. The callback follows once, unless the
 * question is cancelled. A grant is renewed until reserve_release().
 */
uint32_t reserve_start(reserve_t *reserve, const reserve_request_t *want,
		       reserve_done_fn_t fn, void *context)
{
	reservation_t *ask = g_new0(reservation_t, 1);
	const member_t *member;

	ask->reserve = reserve;
	if (++reserve->next_ask == 0)
		reserve->next_ask = 1;
	ask->id = reserve->next_ask;
	ask->engine = get_engine(reserve, want);
	ask->grant.key = want->key;
	ask->grant.tokens = want->tokens;
	ask->grant.deadline_us = want->deadline_us;
	ask->fn = fn;
	ask->context = context;
	g_hash_table_insert(reserve->asks, GUINT_TO_POINTER(ask->id), ask);
	member = owner_of(reserve, ask->engine);
	if (member)
		ask_owner(ask, member, want);
	else
		decide_alone(ask);
	return ask->id;
}

/* Withdraws a question; what it was or may have been granted is released. */
void reserve_cancel(reserve_t *reserve, uint32_t id)
{
	reservation_t *ask =
		g_hash_table_lookup(reserve->asks, GUINT_TO_POINTER(id));

	if (!ask)
		return;
	share_remove_grant(&ask->engine->share, &ask->grant.key);
	send_release(reserve, ask->engine, &ask->grant.key);
	g_hash_table_remove(reserve->asks, GUINT_TO_POINTER(id));
}

/* A release that is lost does no harm: the grant lapses without renewal. */
static void on_release_reply(void *context, verdict_t verdict, str_t body,
			     const wire_sender_t *from)
{
}

static void send_release(reserve_t *reserve, reserve_engine_t *engine,
			 const ledger_key_t *key)
{
	const member_t *member = owner_of(reserve, engine);
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
	put_hold(&grant, &hold);
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
 * Gives memory back. With after_cancel the engine may hold it until its
 * cancellation is confirmed; it is released by reserve_cancel_confirmed() or
 * after a while.
 */
void reserve_release(reserve_t *reserve, str_t engine, const ledger_key_t *key,
		     bool after_cancel)
{
	deferred_t deferred = {.key = *key};

	if (!after_cancel) {
		release_now(reserve, engine, key);
		return;
	}
	deferred.address = str_dup(engine);
	deferred.until_us = clock_now(&reserve->clock) + DEFERRED_US;
	g_array_append_val(reserve->deferred, deferred);
}

static void release_deferred(reserve_t *reserve, guint index)
{
	deferred_t *deferred =
		&g_array_index(reserve->deferred, deferred_t, index);

	release_now(reserve, str_from(deferred->address), &deferred->key);
	g_array_remove_index_fast(reserve->deferred, index);
}

/* Releases what waited for the cancellation of an attempt, or an earlier one
 * of the same request, at an engine.
 */
void reserve_cancel_confirmed(reserve_t *reserve, str_t engine,
			      const ledger_key_t *key)
{
	for (guint i = reserve->deferred->len; i-- > 0;) {
		deferred_t *deferred =
			&g_array_index(reserve->deferred, deferred_t, i);

		if (!memcmp(deferred->key.request, key->request,
			    LEDGER_REQUEST_ID_BYTES) &&
		    str_equal(str_from(deferred->address), engine))
			release_deferred(reserve, i);
	}
}

static void release_overdue(reserve_t *reserve)
{
	int64_t now_us = clock_now(&reserve->clock);

	for (guint i = reserve->deferred->len; i-- > 0;)
		if (now_us >=
		    g_array_index(reserve->deferred, deferred_t, i).until_us)
			release_deferred(reserve, i);
}

static void on_renew_reply(void *context, verdict_t verdict, str_t body,
			   const wire_sender_t *from)
{
	reserve_engine_t *engine = context;
	peer_renew_result result;

	engine->renewing = 0;
	if (verdict.code != VERDICT_OK ||
	    !rpc_decode(peer_renew_result, body, &result) ||
	    result.code != PEER_GRANTED)
		return;
	share_set_owner(&engine->share, result.owner);
}

typedef struct {
	peer_hold holds[PEER_HOLDS_MAX];
	u_int n;
	reserve_t *reserve;
	reserve_engine_t *engine;
} renewal_t;

static void on_standby_reply(void *context, verdict_t verdict, str_t body,
			     const wire_sender_t *from)
{
}

/* Nobody else would know of the grants that this VM gives to itself; the
 * owner's successor cancels them if this VM dies.
 */
static void tell_successor(reserve_t *reserve, const reserve_engine_t *engine,
			   str_t body)
{
	const member_t *member = fleet_successor(reserve->fleet, engine->zone,
						 str_from(engine->address));

	if (member)
		rpc_send(reserve->rpc, member->info.address, PEER_RENEW, body,
			 clock_now(&reserve->clock) + CALL_TIMEOUT_US,
			 on_standby_reply, NULL);
}

static void send_renewal(renewal_t *renewal)
{
	reserve_t *reserve = renewal->reserve;
	reserve_engine_t *engine = renewal->engine;
	const member_t *member = owner_of(reserve, engine);
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
		tell_successor(reserve, engine, rpc_body(&body));
		return;
	}
	if (engine->renewing)
		rpc_cancel(reserve->rpc, engine->renewing);
	engine->renewing = rpc_send(
		reserve->rpc, member->info.address, PEER_RENEW, rpc_body(&body),
		clock_now(&reserve->clock) + CALL_TIMEOUT_US, on_renew_reply,
		engine);
}

static void add_hold(const ledger_grant_t *grant, void *context)
{
	renewal_t *renewal = context;

	put_hold(grant, &renewal->holds[renewal->n++]);
	if (renewal->n == PEER_HOLDS_MAX)
		send_renewal(renewal);
}

static void renew_engine(reserve_t *reserve, reserve_engine_t *engine)
{
	renewal_t renewal = {.reserve = reserve, .engine = engine};

	share_foreach_grant(&engine->share, add_hold, &renewal);
	if (renewal.n)
		send_renewal(&renewal);
}

static gboolean on_renew(gpointer data)
{
	reserve_t *reserve = data;
	GHashTableIter iter;
	gpointer value;

	release_overdue(reserve);
	g_hash_table_iter_init(&iter, reserve->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		renew_engine(reserve, value);
	return G_SOURCE_CONTINUE;
}

/*
 * Lets reservations be asked of ledger owners; what it is given must outlive
 * reserve_finish().
 */
void reserve_attach(reserve_t *reserve, rpc_t *rpc, fleet_t *fleet,
		    owner_t *owner, ledger_vm_t self)
{
	reserve->rpc = rpc;
	reserve->fleet = fleet;
	reserve->owner = owner;
	reserve->self = self;
	reserve->renew_timer =
		g_timeout_add(RENEW_INTERVAL_MS, on_renew, reserve);
}
