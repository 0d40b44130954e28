#include "process/reserve.h"

typedef struct {
	char *address;
	share_t share;
} reserve_engine_t;

/* A question whose callback has not been called. */
typedef struct {
	reserve_t *reserve;
	uint32_t id;
	reserve_engine_t *engine;
	ledger_grant_t grant;
	reserve_fn_t fn;
	void *context;
	guint source;
} reserve_ask_t;

static void engine_free(gpointer data)
{
	reserve_engine_t *engine = data;

	share_finish(&engine->share);
	g_free(engine->address);
	g_free(engine);
}

static void ask_free(gpointer data)
{
	reserve_ask_t *ask = data;

	if (ask->source)
		g_source_remove(ask->source);
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
}

/* Frees everything; open questions are not answered. */
void reserve_finish(reserve_t *reserve)
{
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
				    const reserve_want_t *want)
{
	reserve_engine_t *engine = find_engine(reserve, want->engine);

	if (engine)
		return engine;
	engine = g_new0(reserve_engine_t, 1);
	engine->address = str_dup(want->engine);
	share_init(&engine->share, want->capacity, reserve->routers);
	g_hash_table_insert(reserve->engines, engine->address, engine);
	return engine;
}

static bool take(reserve_ask_t *ask)
{
	switch (ask->reserve->policy) {
	case ROUTE_ROUND_ROBIN:
	case ROUTE_TWO_CHOICES:
		share_hold(&ask->engine->share, &ask->grant);
		return true;
	default:
		return share_take_fixed(&ask->engine->share, &ask->grant);
	}
}

static gboolean on_answer(gpointer data)
{
	reserve_ask_t *ask = data;
	reserve_result_t result = {
		.code = take(ask) ? RESERVE_GRANTED : RESERVE_FULL,
		.free_tokens = -1,
	};
	reserve_fn_t fn = ask->fn;
	void *context = ask->context;

	ask->source = 0;
	g_hash_table_remove(ask->reserve->asks, GUINT_TO_POINTER(ask->id));
	fn(context, &result);
	return G_SOURCE_REMOVE;
}

/*
 * Asks for memory of one engine. The callback follows once, unless the
 * question is cancelled. A grant is renewed until reserve_release().
 */
uint32_t reserve_ask(reserve_t *reserve, const reserve_want_t *want,
		     reserve_fn_t fn, void *context)
{
	reserve_ask_t *ask = g_new0(reserve_ask_t, 1);

	ask->reserve = reserve;
	ask->id = ++reserve->next_ask ? reserve->next_ask : ++reserve->next_ask;
	ask->engine = get_engine(reserve, want);
	ask->grant.key = want->key;
	ask->grant.tokens = want->tokens;
	ask->grant.deadline_us = want->deadline_us;
	ask->fn = fn;
	ask->context = context;
	ask->source = g_idle_add_full(G_PRIORITY_DEFAULT, on_answer, ask, NULL);
	g_hash_table_insert(reserve->asks, GUINT_TO_POINTER(ask->id), ask);
	return ask->id;
}

/* Withdraws a question; what it may have been granted is released. */
void reserve_cancel(reserve_t *reserve, uint32_t ask)
{
	g_hash_table_remove(reserve->asks, GUINT_TO_POINTER(ask));
}

/*
 * Gives memory back. after_cancel tells that the engine may hold it until its
 * cancellation is confirmed.
 */
void reserve_release(reserve_t *reserve, str_t engine, const ledger_key_t *key,
		     bool after_cancel)
{
	reserve_engine_t *found = find_engine(reserve, engine);

	if (found)
		share_drop(&found->share, key);
}

/* Tells the owner, with the next renewal, how far the request has come. */
void reserve_set_phase(reserve_t *reserve, str_t engine,
		       const ledger_key_t *key, ledger_phase_t phase)
{
}
