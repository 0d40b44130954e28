/* Selects engines of one pool for the requests of one router. The code does no
 * I/O and reads no clock; callers pass the time.
 */
#ifndef PROCESS_ROUTE_H
#define PROCESS_ROUTE_H

#include <stdint.h>

#include "process/estimate.h"
#include "process/prefix.h"
#include "process/str.h"

/* How an engine is selected, and how decode memory is reserved on it. */
typedef enum {
	ROUTE_ROUND_ROBIN, /* engines in turn, no reservation */
	ROUTE_TWO_CHOICES, /* better of two random engines, no reservation */
	ROUTE_SHARE, /* each router has a fixed share of each engine */
	ROUTE_LEDGER, /* reservation at the owner of the engine's ledger */
	ROUTE_CREDITS, /* memory lent to this router, else as ROUTE_LEDGER */
	ROUTE_POLICIES_N,
} route_policy_t;

/* Returns a random number, uniform over all 32 bits. */
typedef uint32_t (*route_random_fn_t)(void *context);

/* Settings of a pool. */
typedef struct {
	route_policy_t policy;
	str_t zone; /* of this router; borrowed until route_finish() */
	unsigned routers; /* in the deployment, at least 1 */
	int64_t max_transfers; /* own transfers to one engine; 0: no limit */
	route_random_fn_t random;
	void *random_context;
} route_config_t;

/* An engine's load report; age_us is how old it is when it is read. */
typedef struct {
	int64_t kv_used; /* tokens */
	int64_t running; /* requests */
	int64_t queued; /* requests */
	int64_t age_us;
	bool leaving;
} route_load_t;

/* Properties of an engine. */
typedef struct {
	uint32_t id; /* as in prefix_index_t; unique in the pool */
	str_t zone; /* borrowed until the engine is removed */
	int64_t kv_tokens; /* size of the KV cache */
	int64_t max_prefills; /* prefills at once; 0: no limit */
	void *context; /* of the caller, borrowed */
} route_engine_config_t;

/* An engine of the pool, as this router knows it. "Own" is what this router has
 * started.
 */
typedef struct {
	route_engine_config_t config;
	bool healthy;
	bool leaving; /* withdrawn by the configuration or the backend server */
	route_load_t load; /* last report */
	engine_estimates_t estimate;
	int64_t own_requests; /* in progress */
	int64_t own_tokens; /* prompt tokens (prefill) or KV tokens (decode) */
	int64_t own_transfers; /* of KV caches, in progress */
	int64_t credit; /* tokens lent to this router */
	int64_t free_tokens; /* from the ledger owner or a report */
	int64_t owner_told_us; /* when the ledger owner told free_tokens */
	int64_t own_requests_at_report; /* when the last report came */
	double others_requests; /* of other routers, from the reports */
	uint64_t last_request; /* number of the last own request; 0: none */
	size_t position; /* in the pool's array */
	double sort_key; /* order in the index, least first */
	GSequenceIter *index_iter; /* NULL while it gets no new work */
	GSequenceIter *credits_iter; /* NULL while it has no credit */
} route_engine_t;

/* Whether the engines of a pool compute prompts or output tokens. */
typedef enum {
	ROUTE_PREFILL_POOL,
	ROUTE_DECODE_POOL,
} route_kind_t;

/* A pool of engines. The indexes hold the engines that may get new work. */
typedef struct {
	route_kind_t kind;
	route_config_t config;
	GPtrArray *engines; /* of route_engine_t, owned */
	GHashTable *by_id; /* the same engines */
	GSequence *own_zone; /* index of this router's zone, best first */
	GSequence *other_zones; /* index of all other zones, best first */
	GSequence *credits; /* engines with credit, greatest first */
	prefix_index_t
		*prefix; /* engines that cache a prefix; borrowed or NULL */
	engine_estimates_t typical; /* over all engines of the pool */
	size_t next_position; /* next engine for round robin */
	double others_requests; /* sum over the engines */
	uint64_t n_requests; /* own requests started so far */
	double mean_tokens; /* of own requests */
	double prefill_excess_us; /* mean of actual minus expected time */
	double prefill_excess_deviation_us; /* mean deviation from that */
	int64_t now_us; /* latest time passed in */
} route_pool_t;

/* A prefill that needs an engine. */
typedef struct {
	int64_t prompt_tokens;
	int64_t prefix_tokens; /* least that a cached prefix saves */
	uint64_t prefix; /* ID; 0: none */
	int64_t finish_by_us; /* engines that would end later are not chosen */
	str_t decode_zone; /* where the KV cache goes; empty: not known */
	const route_engine_t *except; /* not to be chosen, or NULL */
} route_prefill_t;

/* A decode that needs an engine. */
typedef struct {
	int64_t tokens; /* prompt and maximum output */
	const route_engine_t *const *except; /* have refused or failed */
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
int64_t route_counted_us(const route_pool_t *route, int64_t expected_us);
int64_t route_prefill_margin_us(const route_pool_t *route);
int64_t route_latest_start_us(const route_pool_t *route, int64_t tokens,
			      int64_t finish_by_us);
void route_record_decode(route_pool_t *route, route_engine_t *engine,
			 int64_t tokens, int64_t elapsed_us, int64_t now_us);
bool route_transfer_begin(route_pool_t *route, route_engine_t *engine);
void route_transfer_end(route_pool_t *route, route_engine_t *engine);

#endif
