#include "process/route.h"

#include <math.h>

#include "process/clock.h"

/* A ledger owner's word on free memory counts more than the engine's report,
 * which lags and does not include memory reserved for prefills, for this time.
 */
#define LEARNED_US (500 * CLOCK_US_PER_MS)

/* Guesses before the first samples; the first sample replaces them. */
#define PREFILL_GUESS_US 20.0
#define DECODE_GUESS_US (20.0 * (double)CLOCK_US_PER_MS)

/* Weight of a prefill in the mean excess over the expected time, and the bound
 * on one prefill, so that a stalled one does not stop all others.
 */
#define EXCESS_GAIN 0.05
#define EXCESS_MAX_US (200.0 * (double)CLOCK_US_PER_MS)

/* Weight of a request in the mean number of tokens. */
#define MEAN_GAIN 0.05

static const char *const policy_names[ROUTE_POLICIES_N] = {
	[ROUTE_ROUND_ROBIN] = "round_robin",
	[ROUTE_TWO_CHOICES] = "two_choices",
	[ROUTE_SHARE] = "share",
	[ROUTE_LEDGER] = "ledger",
	[ROUTE_CREDITS] = "credits",
};

/* Finds a policy by its name in the settings. Returns false if unknown. */
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

/* Returns the name of a policy. */
const char *route_policy_name(route_policy_t policy)
{
	return policy_names[policy];
}

static int compare_keys(const void *a, const void *b, void *context)
{
	const route_engine_t *x = a;
	const route_engine_t *y = b;

	if (x->key != y->key)
		return x->key < y->key ? -1 : 1;
	if (x->used != y->used)
		return x->used < y->used ? -1 : 1;
	return x->config.id < y->config.id ? -1 : x->config.id > y->config.id;
}

static int compare_credits(const void *a, const void *b, void *context)
{
	const route_engine_t *x = a;
	const route_engine_t *y = b;

	if (x->credit != y->credit)
		return x->credit > y->credit ? -1 : 1;
	return x->config.id < y->config.id ? -1 : x->config.id > y->config.id;
}

static void estimates_init(engine_estimates_t *estimates)
{
	estimate_init(&estimates->prefill, PREFILL_GUESS_US);
	estimate_init(&estimates->decode, DECODE_GUESS_US);
}

/* Sets up an empty pool. The prefix hints are borrowed and may be NULL. */
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
	route->near = g_sequence_new(NULL);
	route->far = g_sequence_new(NULL);
	route->credits = g_sequence_new(NULL);
	estimates_init(&route->typical);
}

/* Frees the pool and its engines. */
void route_finish(route_pool_t *route)
{
	g_sequence_free(route->near);
	g_sequence_free(route->far);
	g_sequence_free(route->credits);
	g_hash_table_unref(route->by_id);
	g_ptr_array_set_free_func(route->engines, g_free);
	g_ptr_array_unref(route->engines);
}

/* Tells whether an engine is in this router's zone. */
bool route_is_in_own_zone(const route_pool_t *route,
			  const route_engine_t *engine)
{
	return str_equal(engine->config.zone, route->config.zone);
}

/* Tells whether an engine may get new work. */
bool route_is_available(const route_engine_t *engine)
{
	return engine->healthy && !engine->leaving && !engine->load.leaving;
}

/*
 * Returns the requests of other routers at an engine. A report tells little
 * about requests that take less time than it lags, and routers that follow the
 * same old reports choose the same engines. The older it is compared with a
 * request's duration, the more the mean over all engines takes its place.
 */
static double others_at(const route_pool_t *route, const route_engine_t *engine)
{
	double mean = route->others / fmax(route->engines->len, 1);
	double request_us = fmax(
		exp(route->typical.prefill.log_us) * route->mean_tokens, 1);
	double trust = exp(-(double)engine->load.age_us / request_us);

	return mean + trust * (engine->others - mean);
}

/* Returns the requests at an engine: own ones, which are known exactly, and
 * those of other routers, as far as the late reports tell.
 */
double route_requests(const route_pool_t *route, const route_engine_t *engine)
{
	return (double)engine->own_requests + others_at(route, engine);
}

/* Returns the expected time to compute tokens on an engine. */
int64_t route_compute_us(const route_pool_t *route,
			 const route_engine_t *engine, int64_t tokens,
			 int64_t now_us)
{
	double us = estimate_us(&engine->estimate.prefill,
				&route->typical.prefill, now_us);

	return (int64_t)(us * (double)tokens);
}

/* Returns the expected time until an engine has computed what it has already. */
int64_t route_backlog_us(const route_pool_t *route,
			 const route_engine_t *engine)
{
	double others = others_at(route, engine) * route->mean_tokens;

	return route_compute_us(route, engine,
				engine->own_tokens + (int64_t)others,
				route->now_us);
}

/* Returns the tokens of decode memory that this router believes it can have. */
int64_t route_free_tokens(const route_pool_t *route,
			  const route_engine_t *engine)
{
	if (route->config.policy == ROUTE_SHARE)
		return engine->config.kv_tokens /
			       (int64_t)route->config.routers -
		       engine->own_tokens;
	return engine->free_tokens;
}

/* Spare memory counts less on an engine that decodes slowly. */
static double decode_key(const route_pool_t *route,
			 const route_engine_t *engine)
{
	double speed = estimate_speed(&engine->estimate.decode,
				      &route->typical.decode, route->now_us);

	return -(double)MAX(route_free_tokens(route, engine), 0) *
	       fmin(speed, 1);
}

static void index_remove(GSequenceIter **at)
{
	if (*at)
		g_sequence_remove(*at);
	*at = NULL;
}

static void index_credit(route_pool_t *route, route_engine_t *engine)
{
	index_remove(&engine->in_credits);
	if (route_is_available(engine) && engine->credit > 0)
		engine->in_credits = g_sequence_insert_sorted(
			route->credits, engine, compare_credits, NULL);
}

/* Puts an engine at its place in the index after any change. */
static void reindex(route_pool_t *route, route_engine_t *engine)
{
	GSequence *index = route_is_in_own_zone(route, engine) ? route->near
							       : route->far;

	engine->key = route->kind == ROUTE_PREFILL_POOL
			      ? (double)route_backlog_us(route, engine)
			      : decode_key(route, engine);
	if (!route_is_available(engine)) {
		index_remove(&engine->in_index);
	} else if (engine->in_index) {
		g_sequence_sort_changed(engine->in_index, compare_keys, NULL);
	} else {
		engine->in_index = g_sequence_insert_sorted(index, engine,
							    compare_keys, NULL);
	}
}

static void set_now(route_pool_t *route, int64_t now_us)
{
	route->now_us = MAX(route->now_us, now_us);
}

/* Adds an engine, healthy and empty until a report says otherwise. */
route_engine_t *route_add(route_pool_t *route,
			  const route_engine_config_t *config)
{
	route_engine_t *engine = g_new0(route_engine_t, 1);

	engine->config = *config;
	engine->healthy = true;
	engine->free_tokens = config->kv_tokens;
	engine->learned_us = INT64_MIN / 2;
	engine->at = route->engines->len;
	estimates_init(&engine->estimate);
	g_ptr_array_add(route->engines, engine);
	g_hash_table_insert(route->by_id, GUINT_TO_POINTER(config->id), engine);
	reindex(route, engine);
	return engine;
}

/* Removes and frees an engine that no request uses any more. */
void route_remove(route_pool_t *route, route_engine_t *engine)
{
	route_engine_t *last = route->engines->pdata[route->engines->len - 1];

	index_remove(&engine->in_index);
	index_remove(&engine->in_credits);
	route->others -= engine->others;
	g_hash_table_remove(route->by_id, GUINT_TO_POINTER(engine->config.id));
	last->at = engine->at;
	g_ptr_array_remove_index_fast(route->engines, (guint)engine->at);
	g_free(engine);
}

/* Returns the engine with an ID, or NULL. */
route_engine_t *route_find(const route_pool_t *route, uint32_t id)
{
	return g_hash_table_lookup(route->by_id, GUINT_TO_POINTER(id));
}

/* Sets whether an engine is reachable and whether it is being withdrawn. */
void route_set_state(route_pool_t *route, route_engine_t *engine, bool healthy,
		     bool leaving)
{
	engine->healthy = healthy;
	engine->leaving = leaving;
	reindex(route, engine);
	index_credit(route, engine);
}

/*
 * Takes in an engine's report. Own requests are part of what it reports; as
 * the report lags by about one interval, those of one interval ago are
 * subtracted to estimate the other routers' requests.
 */
void route_update_load(route_pool_t *route, route_engine_t *engine,
		       const route_load_t *load, int64_t now_us)
{
	bool was_leaving = engine->load.leaving;

	set_now(route, now_us);
	engine->load = *load;
	route->others -= engine->others;
	engine->others = (double)MAX(
		load->running + load->queued - engine->own_before, 0);
	route->others += engine->others;
	engine->own_before = engine->own_requests;
	if (now_us - engine->learned_us > LEARNED_US)
		engine->free_tokens = engine->config.kv_tokens -
				      MAX(load->kv_used, engine->own_tokens);
	reindex(route, engine);
	if (was_leaving != load->leaving)
		index_credit(route, engine);
}

/* Takes in the free memory of a decode engine from its ledger owner. */
void route_set_free_tokens(route_pool_t *route, route_engine_t *engine,
			   int64_t free_tokens, int64_t now_us)
{
	set_now(route, now_us);
	engine->free_tokens = free_tokens;
	engine->learned_us = now_us;
	reindex(route, engine);
}

/* Sets the tokens of a decode engine that are lent to this router. */
void route_set_credit(route_pool_t *route, route_engine_t *engine,
		      int64_t tokens)
{
	engine->credit = tokens;
	index_credit(route, engine);
}

/* Notes that a request of this router has started on an engine. */
void route_request_begin(route_pool_t *route, route_engine_t *engine,
			 int64_t tokens)
{
	double change = (double)tokens - route->mean_tokens;

	route->mean_tokens += route->mean_tokens > 0 ? MEAN_GAIN * change
						     : change;
	engine->own_requests++;
	engine->used = ++route->used;
	route->next = engine->at + 1;
	engine->own_tokens += tokens;
	engine->free_tokens -= tokens;
	reindex(route, engine);
}

/* Notes that a request of this router has ended on an engine. */
void route_request_end(route_pool_t *route, route_engine_t *engine,
		       int64_t tokens)
{
	engine->own_requests--;
	engine->own_tokens -= tokens;
	engine->free_tokens += tokens;
	reindex(route, engine);
}

/* Returns the expected time from sending a prefill of tokens to its result,
 * with what the engine has to compute before it. Called before route_request_begin().
 */
int64_t route_expected_prefill_us(const route_pool_t *route,
				  const route_engine_t *engine, int64_t tokens,
				  int64_t now_us)
{
	return route_backlog_us(route, engine) +
	       route_compute_us(route, engine, tokens, now_us);
}

/* Returns the time by which prefills are to be expected earlier than they
 * have to end, so that most end in time although other routers' requests are
 * known late: the mean excess and twice the mean deviation.
 */
int64_t route_prefill_margin_us(const route_pool_t *route)
{
	return (int64_t)fmax(route->excess_us + 2 * route->excess_deviation_us,
			     0);
}

/* Returns when a prefill of tokens has to start on a typical idle engine to
 * end by finish_by_us: the request's place in the queue expires then.
 */
int64_t route_latest_start_us(const route_pool_t *route, int64_t tokens,
			      int64_t finish_by_us)
{
	double us = exp(route->typical.prefill.log_us);

	return finish_by_us - (int64_t)(us * (double)tokens) -
	       route_prefill_margin_us(route);
}

/*
 * Takes in the time from sending a prefill to its result. tokens are those
 * computed, not cached; expected_us is what route_expected_prefill_us() returned, 0 if
 * not known. The time includes waiting at the engine, which the engine does not report, so
 * the speed is corrected by the ratio of actual and expected time.
 */
void route_record_prefill(route_pool_t *route, route_engine_t *engine,
			  int64_t tokens, int64_t expected_us,
			  int64_t elapsed_us, int64_t now_us)
{
	double excess = (double)(elapsed_us - expected_us);
	double compute =
		(double)route_compute_us(route, engine, tokens, now_us);
	int64_t sample = elapsed_us;

	set_now(route, now_us);
	if (engine->estimate.prefill.samples > 0 && expected_us > 0)
		sample = (int64_t)(compute * (double)elapsed_us /
				   (double)expected_us);
	if (route->typical.prefill.samples > 0 && expected_us > 0) {
		excess = CLAMP(excess, -EXCESS_MAX_US, EXCESS_MAX_US);
		route->excess_us += EXCESS_GAIN * (excess - route->excess_us);
		route->excess_deviation_us +=
			EXCESS_GAIN * (fabs(excess - route->excess_us) -
				       route->excess_deviation_us);
	}
	estimate_add(&engine->estimate.prefill, sample, tokens, now_us);
	estimate_add(&route->typical.prefill, sample, tokens, now_us);
}

/* Takes in the measured time between output tokens of one request. */
void route_record_decode(route_pool_t *route, route_engine_t *engine,
			 int64_t tokens, int64_t elapsed_us, int64_t now_us)
{
	set_now(route, now_us);
	estimate_add(&engine->estimate.decode, elapsed_us, tokens, now_us);
	estimate_add(&route->typical.decode, elapsed_us, tokens, now_us);
}

/* Takes one of the transfer slots to an engine. Returns false if all are in
 * use: the transfer waits or goes to another engine.
 */
bool route_transfer_begin(route_pool_t *route, route_engine_t *engine)
{
	if (route->config.max_transfers > 0 &&
	    engine->own_transfers >= route->config.max_transfers)
		return false;
	engine->own_transfers++;
	return true;
}

/* Gives a transfer slot back, also after a failed transfer. */
void route_transfer_end(route_pool_t *route, route_engine_t *engine)
{
	engine->own_transfers--;
}
