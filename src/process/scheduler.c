#include "process/scheduler.h"

#include "process/log.h"

/* Prefixes remembered as hints: about 8 MB. */
#define MAX_PREFIXES 65536

#define MAX_ROUTERS 64

static uint32_t random_number(void *context)
{
	scheduler_t *scheduler = context;

	/* xorshift64*: placement needs spread, not secrecy. */
	scheduler->random_state ^= scheduler->random_state >> 12;
	scheduler->random_state ^= scheduler->random_state << 25;
	scheduler->random_state ^= scheduler->random_state >> 27;
	return (uint32_t)((scheduler->random_state *
			   UINT64_C(0x2545F4914F6CDD1D)) >>
			  32);
}

static int64_t now_of(const scheduler_t *scheduler)
{
	return clock_now(&scheduler->clock);
}

static void pool_free(gpointer data)
{
	scheduler_pool_t *pool = data;

	if (pool->timer)
		g_source_remove(pool->timer);
	g_queue_clear(&pool->waiting);
	queue_finish(&pool->queue);
	route_finish(&pool->route);
	g_free(pool->name);
	g_free(pool);
}

/* This router's index among all routers, in the order of their names. */
static unsigned own_index(const settings_t *settings)
{
	unsigned index = 0;

	for (guint i = 0; i < settings->peers->len; i++) {
		const settings_peer_t *peer =
			&g_array_index(settings->peers, settings_peer_t, i);

		index += strcmp(peer->vm, settings->vm) < 0;
	}
	return index;
}

/* Sets up the scheduler; what it is given must outlive it. */
void scheduler_init(scheduler_t *scheduler, backends_t *backends,
		    reserve_t *reserve, clock_source_t clock,
		    const settings_t *settings, uint64_t seed)
{
	unsigned routers = MIN(settings->peers->len + 1, MAX_ROUTERS);

	memset(scheduler, 0, sizeof(*scheduler));
	scheduler->backends = backends;
	scheduler->reserve = reserve;
	scheduler->clock = clock;
	scheduler->random_state = seed | 1;
	scheduler->zone = g_strdup(settings->zone);
	scheduler->config = (route_config_t){
		.policy = reserve->policy,
		.zone = str_from(scheduler->zone),
		.routers = routers,
		.random = random_number,
		.random_context = scheduler,
	};
	prefix_init(&scheduler->prefix, MAX_PREFIXES);
	limit_init(&scheduler->limit, routers,
		   MIN(own_index(settings), MAX_ROUTERS - 1),
		   now_of(scheduler));
	scheduler->limit_ids = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	scheduler->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
}

/* All tickets must have left. */
void scheduler_finish(scheduler_t *scheduler)
{
	g_hash_table_unref(scheduler->pools);
	g_hash_table_unref(scheduler->limit_ids);
	limit_finish(&scheduler->limit);
	prefix_finish(&scheduler->prefix);
	g_free(scheduler->zone);
}

/* Returns the pool with a name, or NULL. */
scheduler_pool_t *scheduler_find_pool(scheduler_t *scheduler, str_t name)
{
	char *key = str_dup(name);
	scheduler_pool_t *pool = g_hash_table_lookup(scheduler->pools, key);

	g_free(key);
	return pool;
}

static void add_pool(scheduler_t *scheduler, const state_t *state,
		     const pool_t *from)
{
	scheduler_pool_t *pool = scheduler_find_pool(scheduler, from->name);
	bool prefill = from->role == ROLE_PREFILL;

	if (pool)
		return;
	pool = g_new0(scheduler_pool_t, 1);
	pool->scheduler = scheduler;
	pool->name = str_dup(from->name);
	g_queue_init(&pool->waiting);
	/* Each router bounds its own part of an engine's transfers. */
	scheduler->config.max_transfers =
		MAX(state->limits.transfers_per_link /
			    (int64_t)scheduler->config.routers,
		    1);
	route_init(&pool->route,
		   prefill ? ROUTE_PREFILL_POOL : ROUTE_DECODE_POOL,
		   &scheduler->config, prefill ? &scheduler->prefix : NULL);
	queue_init(&pool->queue, (size_t)state->limits.max_queue);
	g_hash_table_insert(scheduler->pools, pool->name, pool);
}

static uint64_t workspace_limit_id(const workspace_t *workspace)
{
	return limit_id(workspace->name, STR(""));
}

static gboolean is_removed(gpointer key, gpointer value, gpointer context)
{
	scheduler_t *scheduler = context;
	bool removed = value != GUINT_TO_POINTER(scheduler->states);

	if (removed)
		limit_remove(&scheduler->limit, *(uint64_t *)key);
	return removed;
}

/* Sets the limits of all workspaces and removes those of former ones. */
static void apply_limits(scheduler_t *scheduler, const state_t *state)
{
	scheduler->states++;
	for (size_t i = 0; i < state->n_workspaces; i++) {
		const workspace_t *workspace = &state->workspaces[i];
		uint64_t id = workspace_limit_id(workspace);
		limit_values_t values = {
			.requests_s = workspace->requests_s,
			.concurrency = workspace->concurrency,
		};

		limit_set(&scheduler->limit, id, values, now_of(scheduler));
		g_hash_table_insert(scheduler->limit_ids,
				    g_memdup2(&id, sizeof(id)),
				    GUINT_TO_POINTER(scheduler->states));
	}
	g_hash_table_foreach_remove(scheduler->limit_ids, is_removed,
				    scheduler);
}

/* Takes over the pools and limits of a state, after backends_apply(). */
void scheduler_apply(scheduler_t *scheduler, const state_t *state)
{
	for (size_t i = 0; i < state->n_pools; i++)
		add_pool(scheduler, state, &state->pools[i]);
	apply_limits(scheduler, state);
	for (guint i = 0; i < scheduler->backends->entries->len; i++)
		scheduler_backend_changed(
			scheduler,
			g_ptr_array_index(scheduler->backends->entries, i),
			false);
}

/* Moves an engine between pools once no request uses it. */
static void place_entry(scheduler_t *scheduler, backend_entry_t *entry)
{
	scheduler_pool_t *pool =
		*entry->pool && entry->present
			? g_hash_table_lookup(scheduler->pools, entry->pool)
			: NULL;
	route_engine_config_t config = {
		.zone = str_from(entry->zone),
		.kv_tokens = entry->kv_total,
		.max_prefills = entry->max_prefills,
		.context = entry,
	};

	if (entry->engine && entry->route != (pool ? &pool->route : NULL)) {
		if (entry->engine->own_requests ||
		    entry->engine->own_transfers) {
			route_set_state(entry->route, entry->engine, false,
					true);
			return;
		}
		prefix_forget_engine(&scheduler->prefix,
				     entry->engine->config.id);
		route_remove(entry->route, entry->engine);
		entry->engine = NULL;
		entry->route = NULL;
	}
	if (!pool || entry->engine)
		return;
	config.id = ++scheduler->next_engine;
	entry->route = &pool->route;
	entry->engine = route_add(&pool->route, &config);
}

/*
 * Takes over a change of a backend server: health, leaving, its place in the
 * state or, if `reported`, a new load report.
 */
void scheduler_backend_changed(scheduler_t *scheduler, backend_entry_t *entry,
			       bool reported)
{
	int64_t now_us = now_of(scheduler);
	bool healthy = entry->present && now_us >= entry->failed_until_us;

	place_entry(scheduler, entry);
	if (!entry->engine)
		return;
	entry->engine->config.zone = str_from(entry->zone);
	route_set_state(entry->route, entry->engine, healthy, entry->leaving);
	if (reported) {
		route_load_t load = {
			.kv_used = entry->kv_used,
			.running = entry->running,
			.queued = entry->queued,
			.age_us = now_us - entry->reported_at_us,
			.leaving = entry->leaving,
		};

		route_update_load(entry->route, entry->engine, &load, now_us);
	}
}

/* Requests queued over all pools. */
size_t scheduler_queued(const scheduler_t *scheduler)
{
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, scheduler->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((scheduler_pool_t *)value)->queue.n_entries;
	return n;
}

/*
 * Counts a request against its workspace's limits. False with a not-run verdict
 * if it exceeds them; otherwise scheduler_limit_end() follows.
 */
bool scheduler_limit_begin(scheduler_t *scheduler, const workspace_t *workspace,
			   verdict_t *verdict)
{
	int64_t now_us = now_of(scheduler);
	int64_t retry_at_us = now_us + CLOCK_US_PER_S;
	limit_result_t result = limit_request_begin(
		&scheduler->limit, workspace_limit_id(workspace), now_us,
		&retry_at_us);

	if (result == LIMIT_ADMITTED)
		return true;
	*verdict = verdict_with_retry_at(
		verdict_make(RUN_NOT_RUN, VERDICT_RATE_LIMITED,
			     result == LIMIT_RATE
				     ? "customer's request rate exceeded"
				     : "customer's concurrency exceeded"),
		retry_at_us);
	return false;
}

/* Ends what scheduler_limit_begin() began. */
void scheduler_limit_end(scheduler_t *scheduler, const workspace_t *workspace)
{
	limit_request_end(&scheduler->limit, workspace_limit_id(workspace));
}
