/* Selection of an engine; route.c keeps the pool it selects from. */
#include "process/route.h"

#include "process/clock.h"

/* Choosing at random among the best few keeps routers that have the same late
 * reports from all choosing the same engine; one place for each router of a
 * deployment of eight.
 */
#define BEST 8

/* Prefill engines considered of each index; several, as their speeds differ. */
#define FIRST 3

/* How far an index is searched for engines that are not excluded. */
#define SEARCH 32

/* An engine in another zone has to finish this much earlier to be chosen: two
 * round trips of a prefill and of the start of its transfer at 1 ms one-way.
 */
#define ZONE_PENALTY_US (4 * CLOCK_US_PER_MS)

static uint32_t random_below(const route_pool_t *route, uint32_t n)
{
	return route->config.random(route->config.random_context) % n;
}

static route_engine_t *random_engine(const route_pool_t *route)
{
	uint32_t n = route->engines->len;

	return n ? route->engines->pdata[random_below(route, n)] : NULL;
}

/* Returns the next engine in turn that is available, NULL if none is. The turn
 * passes on in route_request_begin(), so asking without starting changes nothing.
 */
static route_engine_t *next_in_turn(const route_pool_t *route,
				    const route_engine_t *except)
{
	for (guint i = 0; i < route->engines->len; i++) {
		route_engine_t *engine =
			route->engines->pdata[(route->next + i) %
					      route->engines->len];

		if (route_is_available(engine) && engine != except)
			return engine;
	}
	return NULL;
}

/* Expected end of a prefill of which an engine has saved tokens cached. */
static int64_t finish_us(const route_pool_t *route,
			 const route_engine_t *engine,
			 const route_prefill_t *want, double saved)
{
	int64_t tokens = MAX(want->prompt_tokens - (int64_t)saved, 1);
	int64_t end =
		route->now_us +
		route_expected_prefill_us(route, engine, tokens, route->now_us);

	if (!route_is_in_own_zone(route, engine))
		end += ZONE_PENALTY_US;
	if (want->decode_zone.len > 0 &&
	    !str_equal(engine->config.zone, want->decode_zone))
		end += ZONE_PENALTY_US;
	return end;
}

/* The best engine found so far. */
typedef struct {
	route_engine_t *engine;
	int64_t finish_us;
} best_t;

static void consider_prefill(const route_pool_t *route, route_engine_t *engine,
			     const route_prefill_t *want, double saved,
			     best_t *best)
{
	int64_t end;

	if (!engine || !route_is_available(engine) || engine == want->except)
		return;
	if (engine->config.max_prefills > 0 &&
	    route_requests(route, engine) >=
		    (double)engine->config.max_prefills)
		return;
	end = finish_us(route, engine, want, saved);
	if (end > want->finish_by_us - route_prefill_margin_us(route))
		return;
	if (best->engine && end >= best->finish_us)
		return;
	best->engine = engine;
	best->finish_us = end;
}

/* Considers the first engines of an index: the least loaded, and of equal ones
 * those that this router has used least recently.
 */
static void consider_index(const route_pool_t *route, GSequence *index,
			   const route_prefill_t *want, best_t *best)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(index);

	for (int i = 0; i < FIRST && !g_sequence_iter_is_end(iter); i++) {
		consider_prefill(route, g_sequence_get(iter), want, 0, best);
		iter = g_sequence_iter_next(iter);
	}
}

static void consider_holders(const route_pool_t *route,
			     const route_prefill_t *want, best_t *best)
{
	prefix_hit_t hits[PREFIX_HOLDERS];
	size_t n = 0;

	if (route->prefix && want->prefix)
		n = prefix_find(route->prefix, want->prefix, hits);
	for (size_t i = 0; i < n; i++) {
		int64_t tokens = MAX(want->prefix_tokens, hits[i].tokens);

		consider_prefill(route, route_find(route, hits[i].engine), want,
				 hits[i].confidence * (double)tokens, best);
	}
}

/*
 * Chooses the engine with the earliest expected end among the likely holders
 * of the prefix and the least loaded engines here and in other zones. Returns NULL if none has a free place and would end by finish_by_us:
 * the request then stays in the queue.
 */
route_engine_t *route_pick_prefill(route_pool_t *route,
				   const route_prefill_t *want, int64_t now_us)
{
	best_t best = {NULL, 0};

	route->now_us = MAX(route->now_us, now_us);
	if (route->config.policy == ROUTE_ROUND_ROBIN)
		return next_in_turn(route, want->except);
	if (route->config.policy == ROUTE_TWO_CHOICES) {
		for (int i = 0; i < 2; i++)
			consider_prefill(route, random_engine(route), want, 0,
					 &best);
		return best.engine;
	}
	consider_holders(route, want, &best);
	consider_index(route, route->near, want, &best);
	consider_index(route, route->far, want, &best);
	return best.engine;
}

static bool is_excepted(const route_decode_t *want,
			const route_engine_t *engine)
{
	for (size_t i = 0; i < want->n_except; i++) {
		if (want->except[i] == engine)
			return true;
	}
	return false;
}

static bool can_decode(const route_pool_t *route, const route_decode_t *want,
		       const route_engine_t *engine, int64_t tokens)
{
	if (!route_is_available(engine) || tokens < want->tokens)
		return false;
	if (route->config.max_transfers > 0 &&
	    engine->own_transfers >= route->config.max_transfers)
		return false;
	return !is_excepted(want, engine);
}

/* Chooses the better of two random engines of the first few that fit. */
static route_engine_t *pick_from(const route_pool_t *route, GSequence *index,
				 const route_decode_t *want)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(index);
	route_engine_t *found[BEST];
	uint32_t n = 0, a, b;

	for (int i = 0; i < SEARCH && n < BEST; i++) {
		route_engine_t *engine;

		if (g_sequence_iter_is_end(iter))
			break;
		engine = g_sequence_get(iter);
		if (can_decode(route, want, engine,
			       index == route->credits
				       ? engine->credit
				       : route_free_tokens(route, engine)))
			found[n++] = engine;
		iter = g_sequence_iter_next(iter);
	}
	if (n == 0)
		return NULL;
	a = random_below(route, n);
	b = random_below(route, n);
	return found[MIN(a, b)];
}

static route_engine_t *pick_of_two(const route_pool_t *route,
				   const route_decode_t *want)
{
	route_engine_t *best = NULL;

	for (int i = 0; i < 2; i++) {
		route_engine_t *engine = random_engine(route);

		if (!engine || !can_decode(route, want, engine, INT64_MAX))
			continue;
		if (!best || route_free_tokens(route, engine) >
				     route_free_tokens(route, best))
			best = engine;
	}
	return best;
}

/*
 * Chooses the decode engine to reserve memory on; the own zone is preferred as
 * long as it has memory. Returns NULL if no engine is believed to have enough.
 * The policies without reservation return an engine whether or not it has.
 */
route_engine_t *route_pick_decode(route_pool_t *route,
				  const route_decode_t *want, int64_t now_us)
{
	route_engine_t *engine = NULL;

	route->now_us = MAX(route->now_us, now_us);
	switch (route->config.policy) {
	case ROUTE_ROUND_ROBIN:
		return next_in_turn(route,
				    want->n_except ? want->except[0] : NULL);
	case ROUTE_TWO_CHOICES:
		return pick_of_two(route, want);
	case ROUTE_CREDITS:
		engine = pick_from(route, route->credits, want);
		break;
	default:
		break;
	}
	if (!engine)
		engine = pick_from(route, route->near, want);
	if (!engine)
		engine = pick_from(route, route->far, want);
	return engine;
}

/*
 * Chooses a decode engine to wait at when none is believed to have memory: any
 * that is large enough, at random, so that the routers' waiting requests
 * spread over all engines. Returns NULL if none can be used.
 */
route_engine_t *route_pick_for_waiting(route_pool_t *route,
				       const route_decode_t *want)
{
	for (int i = 0; i < SEARCH; i++) {
		route_engine_t *engine = random_engine(route);

		if (engine &&
		    can_decode(route, want, engine, engine->config.kv_tokens))
			return engine;
	}
	return NULL;
}
