/* Selects an engine from the pool that route.c maintains. */
#include "process/route.h"

#include "process/clock.h"

/* Decode engines among which one is chosen at random. Routers that have the
 * same late reports would otherwise all choose the best one. Eight is one for
 * each router of a deployment of that size.
 */
#define CANDIDATES_MAX 8

/* Prefill engines considered in each index. The one with the shortest
 * backlog may take longer for the prompt itself, as speeds differ.
 */
#define PREFILLS_PER_INDEX 3

/* Engines looked at in an index, or drawn at random, to find usable ones. */
#define SEARCH_MAX 32

/* An engine in another zone has to finish this much earlier to be chosen. A
 * prefill and the start of its transfer take two round trips, at 1 ms one way.
 */
#define ZONE_PENALTY_US (4 * CLOCK_US_PER_MS)

/* Returns a random number from 0 to n - 1. */
static uint32_t random_below(const route_pool_t *route, uint32_t n)
{
	return route->config.random(route->config.random_context) % n;
}

/* Returns a random engine, whether or not it is available; NULL if the pool is
 * empty.
 */
static route_engine_t *random_engine(const route_pool_t *route)
{
	uint32_t n = route->engines->len;

	return n ? route->engines->pdata[random_below(route, n)] : NULL;
}

/* Returns the next available engine of the round robin, NULL if there is none.
 * The position advances in route_request_begin(), so that a choice without a
 * request has no effect.
 */
static route_engine_t *next_round_robin(const route_pool_t *route,
					const route_engine_t *except)
{
	for (guint i = 0; i < route->engines->len; i++) {
		route_engine_t *engine =
			route->engines->pdata[(route->next_position + i) %
					      route->engines->len];

		if (route_is_available(engine) && engine != except)
			return engine;
	}
	return NULL;
}

/* Returns when a prefill would end on an engine that has cached_tokens of it,
 * with a penalty for other zones.
 */
static int64_t expected_end_us(const route_pool_t *route,
			       const route_engine_t *engine,
			       const route_prefill_t *want,
			       double cached_tokens)
{
	int64_t tokens = MAX(want->prompt_tokens - (int64_t)cached_tokens, 1);
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
	int64_t expected_end_us;
} best_t;

/* Makes an engine the best one if it is available, has a free place, would end
 * in time and earlier than the best so far.
 */
static void consider_prefill(const route_pool_t *route, route_engine_t *engine,
			     const route_prefill_t *want, double cached_tokens,
			     best_t *best)
{
	int64_t end, latest;

	if (!engine || !route_is_available(engine) || engine == want->except)
		return;
	if (engine->config.max_prefills > 0 &&
	    route_requests(route, engine) >=
		    (double)engine->config.max_prefills)
		return;
	end = expected_end_us(route, engine, want, cached_tokens);
	latest = want->finish_by_us - route_prefill_margin_us(route);
	if (route->now_us + route_counted_us(route, end - route->now_us) >
	    latest)
		return;
	if (best->engine && end >= best->expected_end_us)
		return;
	best->engine = engine;
	best->expected_end_us = end;
}

/* Considers the first engines of an index: those with the shortest backlog,
 * and of equal ones those that this router has used least recently.
 */
static void consider_index(const route_pool_t *route, GSequence *index,
			   const route_prefill_t *want, best_t *best)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(index);

	for (int i = 0; i < PREFILLS_PER_INDEX && !g_sequence_iter_is_end(iter);
	     i++) {
		consider_prefill(route, g_sequence_get(iter), want, 0, best);
		iter = g_sequence_iter_next(iter);
	}
}

/* Considers the engines that probably have the prefix of a prompt in their
 * cache.
 */
static void consider_prefix_holders(const route_pool_t *route,
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
 * Chooses the prefill engine with the earliest expected end among the probable
 * holders of the prefix and the least loaded engines of the own and the other
 * zones. Returns NULL if none has a free place and would end by finish_by_us;
 * the request then stays in the queue.
 */
route_engine_t *route_pick_prefill(route_pool_t *route,
				   const route_prefill_t *want, int64_t now_us)
{
	best_t best = {NULL, 0};

	route->now_us = MAX(route->now_us, now_us);
	if (route->config.policy == ROUTE_ROUND_ROBIN)
		return next_round_robin(route, want->except);
	if (route->config.policy == ROUTE_TWO_CHOICES) {
		for (int i = 0; i < 2; i++)
			consider_prefill(route, random_engine(route), want, 0,
					 &best);
		return best.engine;
	}
	consider_prefix_holders(route, want, &best);
	consider_index(route, route->own_zone, want, &best);
	consider_index(route, route->other_zones, want, &best);
	return best.engine;
}

/* Returns whether an engine is not to be chosen. */
static bool is_excepted(const route_decode_t *want,
			const route_engine_t *engine)
{
	for (size_t i = 0; i < want->n_except; i++) {
		if (want->except[i] == engine)
			return true;
	}
	return false;
}

/* Returns whether an engine that has `tokens` free can take a decode. */
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

/* Chooses the better of two engines drawn from the first ones of an index that
 * can take the decode. Returns NULL if none can.
 */
static route_engine_t *pick_from_index(const route_pool_t *route,
				       GSequence *index,
				       const route_decode_t *want)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(index);
	route_engine_t *found[CANDIDATES_MAX];
	uint32_t n = 0, a, b;

	for (int i = 0; i < SEARCH_MAX && n < CANDIDATES_MAX; i++) {
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

/* Chooses the engine with more free memory of two random ones. Returns NULL if
 * neither is usable.
 */
static route_engine_t *pick_better_of_two(const route_pool_t *route,
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
 * Chooses the decode engine to reserve memory on. The own zone is preferred
 * as long as it has memory. Returns NULL if no engine seems to have enough
 * memory; the policies without reservation don't check that.
 */
route_engine_t *route_pick_decode(route_pool_t *route,
				  const route_decode_t *want, int64_t now_us)
{
	route_engine_t *engine = NULL;

	route->now_us = MAX(route->now_us, now_us);
	switch (route->config.policy) {
	case ROUTE_ROUND_ROBIN:
		return next_round_robin(route, want->n_except ? want->except[0]
							      : NULL);
	case ROUTE_TWO_CHOICES:
		return pick_better_of_two(route, want);
	case ROUTE_CREDITS:
		engine = pick_from_index(route, route->credits, want);
		break;
	default:
		break;
	}
	if (!engine)
		engine = pick_from_index(route, route->own_zone, want);
	if (!engine)
		engine = pick_from_index(route, route->other_zones, want);
	return engine;
}

/*
 * Chooses a decode engine to wait for when none seems to have enough memory: a
 * random one that is large enough, so that the waiting requests of all routers
 * spread over the engines. Returns NULL if none is found.
 */
route_engine_t *route_pick_for_waiting(route_pool_t *route,
				       const route_decode_t *want)
{
	for (int i = 0; i < SEARCH_MAX; i++) {
		route_engine_t *engine = random_engine(route);

		if (engine &&
		    can_decode(route, want, engine, engine->config.kv_tokens))
			return engine;
	}
	return NULL;
}
