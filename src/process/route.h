/* Selection of engines from one pool, as one router sees it. Pure. */
#ifndef PROCESS_ROUTE_H
#define PROCESS_ROUTE_H

#include <stdint.h>

#include "process/estimate.h"
#include "process/prefix.h"
#include "process/str.h"

typedef enum {
	ROUTE_ROUND_ROBIN, /* in turn, no reservation */
	ROUTE_TWO_CHOICES, /* less loaded of two random engines */
	ROUTE_SHARE, /* fixed share of each engine for each router */
	ROUTE_LEDGER, /* reservation at the ledger owner */
	ROUTE_CREDITS, /* credits lent ahead, otherwise as ROUTE_LEDGER */
	ROUTE_POLICIES_N,
} route_policy_t;

/* Returns a uniformly distributed number. */
typedef uint32_t (*route_random_fn_t)(void *context);

typedef struct {
	route_policy_t policy;
	str_t zone; /* of this router; borrowed for the pool's life */
	unsigned routers; /* in the deployment, at least 1 */
	int64_t max_transfers; /* own transfers at once to one engine */
	route_random_fn_t random;
	void *random_context;
} route_config_t;

/* An engine's report. It lags by age_us. */
typedef struct {
	int64_t kv_used; /* tokens */
	int64_t running; /* requests */
	int64_t queued; /* requests */
	int64_t age_us;
	bool leaving;
} route_load_t;

typedef struct {
	uint32_t id; /* as in prefix_index_t; unique in the pool */
	str_t zone; /* borrowed until the engine is removed */
	int64_t kv_tokens;
	int64_t max_prefills;
	void *context;
} route_engine_config_t;

typedef struct {
	route_engine_config_t config;
	bool healthy;
	bool leaving;
	route_load_t load;
	engine_estimates_t estimate;
	int64_t own_requests; /* in progress from this router */
	int64_t own_tokens; /* prompt tokens (prefill) or KV tokens (decode) */
	int64_t own_transfers;
	int64_t credit; /* tokens lent to this router */
	int64_t free_tokens; /* as last told by the ledger owner or a report */
	int64_t learned_us; /* when the ledger owner told it */
	int64_t own_before; /* own_requests when the last report came */
	double others; /* requests of other routers, from the reports */
	uint64_t used; /* number of the last own request */
	size_t at; /* position in the pool's array */
	double key; /* order in the index, least first */
	GSequenceIter *in_index; /* NULL while it gets no new work */
	GSequenceIter *in_credits; /* NULL while it has no credit */
} route_engine_t;

typedef enum {
	ROUTE_PREFILL_POOL,
	ROUTE_DECODE_POOL,
} route_kind_t;

typedef struct {
	route_kind_t kind;
	route_config_t config;
	GPtrArray *engines; /* of route_engine_t */
	GHashTable *by_id;
	GSequence *near; /* own zone, preferred engine first */
	GSequence *far; /* other zones */
	GSequence *credits; /* engines with credit, greatest first */
	prefix_index_t *prefix; /* borrowed; NULL: no hints */
	engine_estimates_t typical; /* over all engines of the pool */
	size_t next; /* round robin */
	double others; /* sum over the engines */
	uint64_t used; /* number of the last own request */
	double mean_tokens; /* of own requests */
	double excess_us; /* mean of actual minus expected prefill times */
	double excess_deviation_us; /* mean deviation from that */
	int64_t now_us; /* last time passed in */
} route_pool_t;

typedef struct {
	int64_t prompt_tokens;
	int64_t prefix_tokens; /* saved by a cached prefix, at least */
	uint64_t prefix; /* ID; 0: none */
	int64_t finish_by_us; /* an engine that is slower is not chosen */
	str_t decode_zone; /* where the result goes; empty: not known */
	const route_engine_t *except; /* failed before, or NULL */
} route_prefill_t;

typedef struct {
	int64_t tokens; /* prompt and maximum output */
	const route_engine_t *const *except; /* refused or failed before */
	size_t n_except;
} route_decode_t;

bool route_policy_parse(str_t name, route_policy_t *policy);
const char *route_policy_name(route_policy_t policy);

void route_init(route_pool_t *route, route_kind_t kind,
		const route_config_t *config, prefix_index_t *prefix);
void route_finish(route_pool_t *route);
route_engine_t *route_add(route_pool_t *route,
			  const route_engine_config_t *config);
void route_remove(route_pool_t *route, route_engine_t *engine);
route_engine_t *route_find(const route_pool_t *route, uint32_t id);
void route_set_state(route_pool_t *route, route_engine_t *engine, bool healthy,
		     bool leaving);
void route_update_load(route_pool_t *route, route_engine_t *engine,
		       const route_load_t *load, int64_t now_us);
void route_set_free_tokens(route_pool_t *route, route_engine_t *engine,
			   int64_t free_tokens, int64_t now_us);
bool route_is_in_own_zone(const route_pool_t *route,
			  const route_engine_t *engine);
bool route_is_available(const route_engine_t *engine);
double route_requests(const route_pool_t *route, const route_engine_t *engine);
int64_t route_backlog_us(const route_pool_t *route,
			 const route_engine_t *engine);
int64_t route_free_tokens(const route_pool_t *route,
			  const route_engine_t *engine);
void route_set_credit(route_pool_t *route, route_engine_t *engine,
		      int64_t tokens);

route_engine_t *route_pick_prefill(route_pool_t *route,
				   const route_prefill_t *want, int64_t now_us);
route_engine_t *route_pick_decode(route_pool_t *route,
				  const route_decode_t *want, int64_t now_us);
route_engine_t *route_pick_for_waiting(route_pool_t *route,
				       const route_decode_t *want);
int64_t route_compute_us(const route_pool_t *route,
			 const route_engine_t *engine, int64_t tokens,
			 int64_t now_us);
void route_request_begin(route_pool_t *route, route_engine_t *engine,
			 int64_t tokens);
void route_request_end(route_pool_t *route, route_engine_t *engine,
		       int64_t tokens);
void route_record_prefill(route_pool_t *route, route_engine_t *engine,
			  int64_t tokens, int64_t expected_us,
			  int64_t elapsed_us, int64_t now_us);
int64_t route_expected_prefill_us(const route_pool_t *route,
				  const route_engine_t *engine, int64_t tokens,
				  int64_t now_us);
int64_t route_prefill_margin_us(const route_pool_t *route);
int64_t route_latest_start_us(const route_pool_t *route, int64_t tokens,
			      int64_t finish_by_us);
void route_record_decode(route_pool_t *route, route_engine_t *engine,
			 int64_t tokens, int64_t elapsed_us, int64_t now_us);
bool route_transfer_begin(route_pool_t *route, route_engine_t *engine);
void route_transfer_end(route_pool_t *route, route_engine_t *engine);

#endif
