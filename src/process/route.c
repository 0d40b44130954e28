#include "process/route.h"

#include <math.h>

#include "process/clock.h"
#include "process/decide/duration.h"

/* For this time, free memory as told by the ledger owner is preferred to that
 * of the engine's report. The report is late and doesn't contain memory
 * reserved for requests that are still in prefill.
 */
#define OWNER_TOLD_VALID_US (500 * CLOCK_US_PER_MS)

/* Initial time per token, which the first sample replaces. */
#define PREFILL_GUESS_US 20.0
#define DECODE_GUESS_US (20.0 * (double)CLOCK_US_PER_MS)

/* Weight of one prefill in the mean excess over the expected time, and the
 * greatest excess that one prefill counts with. Without that bound, one stalled
 * prefill would raise the margin so far that no other prefill is started.
 */
#define EXCESS_WEIGHT 0.05
#define EXCESS_MAX_US (200.0 * (double)CLOCK_US_PER_MS)

/* Time without prompts in which what is expected of engines loses half of its weight against
 * a time limit.
 */
#define EXPECTATION_HALF_LIFE_US (10.0 * (double)CLOCK_US_PER_S)

/* Weight of one request in the mean number of tokens. */
#define MEAN_TOKENS_WEIGHT 0.05

/* Names in the settings. */
static const char *const policy_names[ROUTE_POLICIES_N] = {
	[ROUTE_ROUND_ROBIN] = "round_robin",
	[ROUTE_TWO_CHOICES] = "two_choices",
	[ROUTE_SHARE] = "share",
	[ROUTE_LEDGER] = "ledger",
	[ROUTE_CREDITS] = "credits",
};

/* Finds a policy by its name in the settings. Returns false if the name is
 * unknown.
 */
bool route_policy_parse(str_t name, route_policy_t *policy)
{
	for (int i = 0; i < ROUTE_POLICIES_N; i++) {
		if (str_equal(name, str_from(policy_names[i]))) {
			*policy = (route_policy_t)i;
			return true;
		}
	}
	return false;
}

/* Returns the name of a policy in the settings. */
const char *route_policy_name(route_policy_t policy)
{
	return policy_names[policy];
}

/* Orders engines by sort key, then by the last own request, least recent first.
 */
static int compare_sort_keys(const void *a, const void *b, void *context)
{
	const route_engine_t *x = a;
	const route_engine_t *y = b;

	if (x->sort_key != y->sort_key)
		return x->sort_key < y->sort_key ? -1 : 1;
	if (x->last_request != y->last_request)
		return x->last_request < y->last_request ? -1 : 1;
	return x->config.id < y->config.id ? -1 : x->config.id > y->config.id;
}

/* Orders engines by credit, greatest first. */
static int compare_credits(const void *a, const void *b, void *context)
{
	const route_engine_t *x = a;
	const route_engine_t *y = b;

	if (x->credit != y->credit)
		return x->credit > y->credit ? -1 : 1;
	return x->config.id < y->config.id ? -1 : x->config.id > y->config.id;
}

/* Sets up estimates with the initial guesses. */
static void estimates_init(engine_estimates_t *estimates)
{
	estimate_init(&estimates->prefill, PREFILL_GUESS_US);
	estimate_init(&estimates->decode, DECODE_GUESS_US);
}

/* Sets up an empty pool. The prefix table is borrowed and may be NULL. */
void route_init(route_pool_t *route, route_kind_t kind,
		const route_config_t *config, prefix_index_t *prefix)
{
	*route = (route_pool_t){
		.kind = kind,
		.config = *config,
		.prefix = prefix,
	};
	route->config.routers = MAX(config->routers, 1);
	route->engines = g_ptr_array_new();
	route->by_id = g_hash_table_new(g_direct_hash, g_direct_equal);
	route->own_zone = g_sequence_new(NULL);
	route->other_zones = g_sequence_new(NULL);
	route->credits = g_sequence_new(NULL);
	estimates_init(&route->typical);
}

/* Frees the pool and its engines. */
void route_finish(route_pool_t *route)
{
	g_sequence_free(route->own_zone);
	g_sequence_free(route->other_zones);
	g_sequence_free(route->credits);
	g_hash_table_unref(route->by_id);
	g_ptr_array_set_free_func(route->engines, g_free);
	g_ptr_array_unref(route->engines);
}

/* Returns whether an engine is in this router's zone. */
bool route_is_in_own_zone(const route_pool_t *route,
			  const route_engine_t *engine)
{
	return str_equal(engine->config.zone, route->config.zone);
}

/* Returns whether an engine may get new work. */
bool route_is_available(const route_engine_t *engine)
{
	return engine->healthy && !engine->leaving && !engine->load.leaving;
}

/*
 * Returns the estimated requests of other routers at an engine. A report
 * that is older than a request takes says little about the present requests,
 * and routers that all rely on the same old reports choose the same engines.
 * So the older the report compared with the duration of a request, the more
 * the mean over all engines replaces it.
 */
static double others_requests_at(const route_pool_t *route,
				 const route_engine_t *engine)
{
	double mean = route->others_requests / fmax(route->engines->len, 1);
	double request_us = fmax(
		exp(route->typical.prefill.log_us) * route->mean_tokens, 1);
	double report_weight = exp(-(double)engine->load.age_us / request_us);

	return mean + report_weight * (engine->others_requests - mean);
}

/* Returns the requests at an engine: own ones, which are known exactly, and the
 * estimated ones of other routers.
 */
double route_requests(const route_pool_t *route, const route_engine_t *engine)
{
	return (double)engine->own_requests + others_requests_at(route, engine);
}

/* Returns the expected time to compute prompt tokens on an engine that does
 * nothing else.
 */
int64_t route_compute_us(const route_pool_t *route,
			 const route_engine_t *engine, int64_t tokens,
			 int64_t now_us)
{
	double us = estimate_us(&engine->estimate.prefill,
				&route->typical.prefill, now_us);

	return duration_estimate_us(us * (double)tokens);
}

/* Returns the expected time until an engine has computed the prompts that it
 * has already.
 */
int64_t route_backlog_us(const route_pool_t *route,
			 const route_engine_t *engine)
{
	double others = others_requests_at(route, engine) * route->mean_tokens;

	return route_compute_us(route, engine,
				engine->own_tokens + (int64_t)others,
				route->now_us);
}

/* Returns the tokens of decode memory on an engine that this router expects to
 * be able to reserve: what is left of its share or free as last told.
 */
int64_t route_free_tokens(const route_pool_t *route,
			  const route_engine_t *engine)
{
	if (route->config.policy == ROUTE_SHARE)
		return engine->config.kv_tokens /
			       (int64_t)route->config.routers -
		       engine->own_tokens;
	return engine->free_tokens;
}

/* Returns the sort key of a decode engine: minus its free memory, reduced if
 * the engine decodes slowly.
 */
static double decode_sort_key(const route_pool_t *route,
			      const route_engine_t *engine)
{
	double speed = estimate_speed(&engine->estimate.decode,
				      &route->typical.decode, route->now_us);

	return -(double)MAX(route_free_tokens(route, engine), 0) *
	       fmin(speed, 1);
}

/* Takes an engine out of an index if it is in it. */
static void index_remove(GSequenceIter **at)
{
	if (*at)
		g_sequence_remove(*at);
	*at = NULL;
}

/* Puts an engine at its place in the index by credit after a change. */
static void update_credit_index(route_pool_t *route, route_engine_t *engine)
{
	index_remove(&engine->credits_iter);
	if (route_is_available(engine) && engine->credit > 0)
		engine->credits_iter = g_sequence_insert_sorted(
			route->credits, engine, compare_credits, NULL);
}

/* Puts an engine at its place in the index of its zone after a change. */
static void update_index(route_pool_t *route, route_engine_t *engine)
{
	GSequence *index = route_is_in_own_zone(route, engine)
				   ? route->own_zone
				   : route->other_zones;

	engine->sort_key = route->kind == ROUTE_PREFILL_POOL
				   ? (double)route_backlog_us(route, engine)
				   : decode_sort_key(route, engine);
	if (!route_is_available(engine)) {
		index_remove(&engine->index_iter);
	} else if (engine->index_iter) {
		g_sequence_sort_changed(engine->index_iter, compare_sort_keys,
					NULL);
	} else {
		engine->index_iter = g_sequence_insert_sorted(
			index, engine, compare_sort_keys, NULL);
	}
}

/* Records the time, which never goes backwards. */
static void set_now(route_pool_t *route, int64_t now_us)
{
	route->now_us = MAX(route->now_us, now_us);
}

/* Adds an engine, which counts as healthy and idle until a report says
 * otherwise. The pool owns it.
 */
route_engine_t *route_add(route_pool_t *route,
			  const route_engine_config_t *config)
{
	route_engine_t *engine = g_new0(route_engine_t, 1);

	engine->config = *config;
	engine->healthy = true;
	engine->free_tokens = config->kv_tokens;
	engine->owner_told_us = INT64_MIN / 2;
	engine->position = route->engines->len;
	estimates_init(&engine->estimate);
	g_ptr_array_add(route->engines, engine);
	g_hash_table_insert(route->by_id, GUINT_TO_POINTER(config->id), engine);
	update_index(route, engine);
	return engine;
}

/* Removes and frees an engine, which no request may use any more. */
void route_remove(route_pool_t *route, route_engine_t *engine)
{
	route_engine_t *last = route->engines->pdata[route->engines->len - 1];

	index_remove(&engine->index_iter);
	index_remove(&engine->credits_iter);
	route->others_requests -= engine->others_requests;
	g_hash_table_remove(route->by_id, GUINT_TO_POINTER(engine->config.id));
	last->position = engine->position;
	g_ptr_array_remove_index_fast(route->engines, (guint)engine->position);
	g_free(engine);
}

/* Returns the engine with an ID, or NULL. */
route_engine_t *route_find(const route_pool_t *route, uint32_t id)
{
	return g_hash_table_lookup(route->by_id, GUINT_TO_POINTER(id));
}

/* Sets whether an engine is healthy and whether it is leaving. It gets no new
 * work while it is not healthy or leaving.
 */
void route_set_state(route_pool_t *route, route_engine_t *engine, bool healthy,
		     bool leaving)
{
	engine->healthy = healthy;
	engine->leaving = leaving;
	update_index(route, engine);
	update_credit_index(route, engine);
}

/*
 * Records an engine's load report. The reported requests include the own ones.
 * The report is about one interval old, so the own requests of one interval ago
 * are subtracted to get the other routers' requests.
 */
void route_update_load(route_pool_t *route, route_engine_t *engine,
		       const route_load_t *load, int64_t now_us)
{
	bool was_leaving = engine->load.leaving;

	set_now(route, now_us);
	engine->load = *load;
	route->others_requests -= engine->others_requests;
	engine->others_requests = (double)MAX(
		load->running + load->queued - engine->own_requests_at_report,
		0);
	route->others_requests += engine->others_requests;
	engine->own_requests_at_report = engine->own_requests;
	if (now_us - engine->owner_told_us > OWNER_TOLD_VALID_US)
		engine->free_tokens = engine->config.kv_tokens -
				      MAX(load->kv_used, engine->own_tokens);
	update_index(route, engine);
	if (was_leaving != load->leaving)
		update_credit_index(route, engine);
}

/* Records the free memory of a decode engine as told by its ledger owner. */
void route_set_free_tokens(route_pool_t *route, route_engine_t *engine,
			   int64_t free_tokens, int64_t now_us)
{
	set_now(route, now_us);
	engine->free_tokens = free_tokens;
	engine->owner_told_us = now_us;
	update_index(route, engine);
}

/* Sets how many tokens of a decode engine are lent to this router. */
void route_set_credit(route_pool_t *route, route_engine_t *engine,
		      int64_t tokens)
{
	engine->credit = tokens;
	update_credit_index(route, engine);
}

/* Counts a request that this router has started on an engine. */
void route_request_begin(route_pool_t *route, route_engine_t *engine,
			 int64_t tokens)
{
	double change = (double)tokens - route->mean_tokens;

	route->mean_tokens +=
		route->mean_tokens > 0 ? MEAN_TOKENS_WEIGHT * change : change;
	engine->own_requests++;
	engine->last_request = ++route->n_requests;
	route->next_position = engine->position + 1;
	engine->own_tokens += tokens;
	engine->free_tokens -= tokens;
	update_index(route, engine);
}

/* Ends a request that route_request_begin() counted with as many tokens. */
void route_request_end(route_pool_t *route, route_engine_t *engine,
		       int64_t tokens)
{
	engine->own_requests--;
	engine->own_tokens -= tokens;
	engine->free_tokens += tokens;
	update_index(route, engine);
}

/* Returns the expected time from sending a prefill to its result, including the
 * prompts that the engine computes before it. To be called before
 * route_request_begin(), which adds the prefill itself to those.
 */
int64_t route_expected_prefill_us(const route_pool_t *route,
				  const route_engine_t *engine, int64_t tokens,
				  int64_t now_us)
{
	return route_backlog_us(route, engine) +
	       route_compute_us(route, engine, tokens, now_us);
}

/* Returns the weight, from 0 to 1, of what is expected by the prompts so far. It becomes out of
 * date without prompts, and when it allows none, no prompt could correct it.
 */
static double expectation_weight(const route_pool_t *route)
{
	const estimate_t *typical = &route->typical.prefill;
	double age_us = fmax((double)(route->now_us - typical->updated_us), 0);

	return typical->samples > 0 ? exp2(-age_us / EXPECTATION_HALF_LIFE_US)
				    : 1;
}

/* Returns how much of an expected time counts against a time limit. */
int64_t route_counted_us(const route_pool_t *route, int64_t expected_us)
{
	return (int64_t)((double)expected_us * expectation_weight(route));
}

/* Returns the margin between the expected end of a prefill and the time by
 * which it has to end: the mean excess over the expected time and twice its
 * mean deviation. Requests of other routers are known late, so without a
 * margin many prefills would end too late.
 */
int64_t route_prefill_margin_us(const route_pool_t *route)
{
	double margin_us = route->prefill_excess_us +
			   2 * route->prefill_excess_deviation_us;

	return route_counted_us(route, duration_estimate_us(margin_us));
}

/* Returns the latest time at which a prefill can start on a typical idle engine
 * and end by finish_by_us. After that time a queued request expires.
 */
int64_t route_latest_start_us(const route_pool_t *route, int64_t tokens,
			      int64_t finish_by_us)
{
	double us = exp(route->typical.prefill.log_us) * (double)tokens;

	return finish_by_us -
	       route_counted_us(route, duration_estimate_us(us)) -
	       route_prefill_margin_us(route);
}

/* Lets the mean excess over the expected time lose weight for the time without prompts. */
static void age_margin(route_pool_t *route)
{
	double weight = expectation_weight(route);

	route->prefill_excess_us *= weight;
	route->prefill_excess_deviation_us *= weight;
}

/*
 * Records the time from sending a prefill to its result. `tokens` are those
 * computed, without cached ones; expected_us is what
 * route_expected_prefill_us() returned, 0 if not known. The time includes
 * waiting at the engine, which the engine does not report. So the sample for
 * the speed is the expected computing time multiplied by the ratio of actual
 * and expected time.
 */
void route_record_prefill(route_pool_t *route, route_engine_t *engine,
			  int64_t tokens, int64_t expected_us,
			  int64_t elapsed_us, int64_t now_us)
{
	double excess = (double)(elapsed_us - expected_us);
	double compute_us =
		(double)route_compute_us(route, engine, tokens, now_us);
	int64_t sample = elapsed_us;

	set_now(route, now_us);
	age_margin(route);
	if (engine->estimate.prefill.samples > 0 && expected_us > 0)
		sample = duration_estimate_us(compute_us * (double)elapsed_us /
					      (double)expected_us);
	if (route->typical.prefill.samples > 0 && expected_us > 0) {
		excess = CLAMP(excess, -EXCESS_MAX_US, EXCESS_MAX_US);
		route->prefill_excess_us +=
			EXCESS_WEIGHT * (excess - route->prefill_excess_us);
		route->prefill_excess_deviation_us +=
			EXCESS_WEIGHT *
			(fabs(excess - route->prefill_excess_us) -
			 route->prefill_excess_deviation_us);
	}
	estimate_add(&engine->estimate.prefill, sample, tokens, now_us);
	/* Not the sample: prompts that were in progress together at many engines would each
	 * move it by as much as one prompt may.
	 */
	estimate_add(&route->typical.prefill,
		     duration_estimate_us(exp(engine->estimate.prefill.log_us) *
					  (double)tokens),
		     tokens, now_us);
}

/* Records the time elapsed_us in which one request got a number of output
 * tokens.
 */
void route_record_decode(route_pool_t *route, route_engine_t *engine,
			 int64_t tokens, int64_t elapsed_us, int64_t now_us)
{
	set_now(route, now_us);
	estimate_add(&engine->estimate.decode, elapsed_us, tokens, now_us);
	estimate_add(&route->typical.decode, elapsed_us, tokens, now_us);
}

/* Counts a transfer to an engine. Returns false if as many as allowed are in
 * progress; the transfer then has to wait or go to another engine.
 */
bool route_transfer_begin(route_pool_t *route, route_engine_t *engine)
{
	if (route->config.max_transfers > 0 &&
	    engine->own_transfers >= route->config.max_transfers)
		return false;
	engine->own_transfers++;
	return true;
}

/* Ends a transfer that route_transfer_begin() counted, also a failed one. */
void route_transfer_end(route_pool_t *route, route_engine_t *engine)
{
	engine->own_transfers--;
}
