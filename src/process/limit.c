#include "process/limit.h"

#include <math.h>
#include <xxhash.h>

#include "process/clock.h"

/* This fraction of a limit is divided evenly among the routers. A workspace
 * whose calls move to another router has a share there before the next rounds.
 */
#define EVEN_FRACTION 0.25

/* Weight of the last round in the average demand. */
#define DEMAND_GAIN 0.5

/* Bounds of the time after which a refused caller may retry. */
#define RETRY_MIN_US (50 * CLOCK_US_PER_MS)
#define RETRY_MAX_US (10 * CLOCK_US_PER_S)

/* What a router reported on one limit in one round. */
typedef struct {
	uint64_t round; /* 0: no report yet */
	double demand_per_s;
	int64_t running;
} router_usage_t;

/* A router's share of one limit. */
typedef struct {
	double rate; /* requests per second */
	int64_t concurrency; /* requests in progress */
} share_t;

/* One limit and its use at this router. */
typedef struct {
	uint64_t id;
	limit_values_t values;
	int64_t running; /* requests in progress */
	int64_t arrivals; /* since the current round began */
	double demand_per_s; /* average of the arrivals */
	double tokens; /* requests that the token bucket holds */
	int64_t filled_us; /* when `tokens` was current */
	share_t shares[2]; /* of the last two rounds */
	router_usage_t *usage; /* see usage_slot() */
} entry_t;

/* Frees an entry. */
static void entry_free(void *data)
{
	entry_t *entry = data;

	g_free(entry->usage);
	g_free(entry);
}

/* Returns where the usage of a router in a round is kept. A later round of the
 * same parity overwrites it.
 */
static router_usage_t *usage_slot(const entry_t *entry, unsigned router,
				  uint64_t round)
{
	return &entry->usage[2 * (size_t)router + (round & 1)];
}

/* Returns the entry of a limit, or NULL if the limit is not set. */
static entry_t *find_entry(const limiter_t *limiter, uint64_t id)
{
	return g_hash_table_lookup(limiter->entries, &id);
}

/* Returns the bit of a router in the masks of a limiter. */
static uint64_t router_bit(unsigned router)
{
	return UINT64_C(1) << router;
}

/* Begins a round and records the own usage as the own report in it. The demand
 * is rounded to the precision of a message, since all routers must compute the
 * shares from the same numbers.
 */
static void begin_round(limiter_t *limiter, uint64_t round, int64_t now_us)
{
	GHashTableIter iter;
	void *value;
	double elapsed_s = (double)(now_us - limiter->round_started_us) /
			   (double)CLOCK_US_PER_S;

	limiter->round = round;
	limiter->round_started_us = now_us;
	limiter->reports_sent_us = now_us;
	limiter->reported[round & 1] |= router_bit(limiter->self);
	g_hash_table_iter_init(&iter, limiter->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;
		double demand = (double)entry->arrivals / fmax(elapsed_s, 0.1);

		entry->demand_per_s +=
			DEMAND_GAIN * (demand - entry->demand_per_s);
		entry->arrivals = 0;
		*usage_slot(entry, limiter->self, round) = (router_usage_t){
			.round = round,
			.demand_per_s = rint(entry->demand_per_s * 1000) / 1000,
			.running = entry->running,
		};
	}
}

/* Sets up a limiter without limits. Fixed shares apply until two rounds are
 * complete.
 */
void limit_init(limiter_t *limiter, unsigned routers, unsigned self,
		int64_t now_us)
{
	*limiter = (limiter_t){
		.routers = CLAMP(routers, 1, LIMIT_ROUTERS_MAX),
		.self = MIN(self, LIMIT_ROUTERS_MAX - 1),
		.n_report_slots = MAX(CLAMP(routers, 1, LIMIT_ROUTERS_MAX),
				      MIN(self, LIMIT_ROUTERS_MAX - 1) + 1),
		.round_started_us = now_us,
	};
	limiter->members = router_bit(limiter->self);
	limiter->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, entry_free);
	begin_round(limiter, 1, now_us);
}

/* Frees all limits. */
void limit_finish(limiter_t *limiter)
{
	g_hash_table_unref(limiter->entries);
}

/* Returns the ID of the limit of a workspace at a service. An empty service
 * means all services of the workspace.
 */
uint64_t limit_id(str_t workspace, str_t service)
{
	XXH64_hash_t seed = XXH64(service.data, service.len, 0);

	return XXH64(workspace.data, workspace.len, seed);
}

/* Returns the share that needs no reports: an even one. The whole numbers of
 * all routers add up to the limit.
 */
static share_t fixed_share(const limiter_t *limiter, const entry_t *entry)
{
	int64_t whole = entry->values.concurrency;
	int64_t n = limiter->routers;
	int64_t i = limiter->self;

	return (share_t){
		.rate = entry->values.requests_s / limiter->routers,
		.concurrency = whole * (i + 1) / n - whole * i / n,
	};
}

/* Replaces the shares of both last rounds by fixed shares. These add up to the
 * limit as the shares of a round do, so applying the lower of two shares also
 * keeps the limit while rounds complete again.
 */
static void use_fixed_shares(limiter_t *limiter)
{
	GHashTableIter iter;
	void *value;

	limiter->completed_rounds = 0;
	g_hash_table_iter_init(&iter, limiter->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;

		entry->shares[0] = fixed_share(limiter, entry);
		entry->shares[1] = entry->shares[0];
	}
}

/* Adds or changes a limit. Requests in progress stay counted. A limit without a
 * rate and a concurrency is removed.
 */
void limit_set(limiter_t *limiter, uint64_t id, limit_values_t values,
	       int64_t now_us)
{
	entry_t *entry = find_entry(limiter, id);

	if (values.requests_s <= 0 && values.concurrency <= 0) {
		limit_remove(limiter, id);
		return;
	}
	if (entry) {
		entry->values = values;
		if (limit_uses_fixed_shares(limiter))
			use_fixed_shares(limiter);
		return;
	}
	entry = g_new0(entry_t, 1);
	entry->id = id;
	entry->usage = g_new0(router_usage_t, 2 * limiter->n_report_slots);
	entry->values = values;
	entry->tokens = 1;
	entry->filled_us = now_us;
	g_hash_table_insert(limiter->entries, &entry->id, entry);
	/* The last rounds have computed no share of a new limit. */
	entry->shares[0] = fixed_share(limiter, entry);
	entry->shares[1] = entry->shares[0];
}

/* Removes a limit that is no longer configured. */
void limit_remove(limiter_t *limiter, uint64_t id)
{
	g_hash_table_remove(limiter->entries, &id);
}

/* Allocates memory for the reports of one more router. */
static void add_report_slot(limiter_t *limiter)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, limiter->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;

		entry->usage = g_renew(router_usage_t, entry->usage,
				       2 * (limiter->n_report_slots + 1));
		memset(&entry->usage[2 * (size_t)limiter->n_report_slots], 0,
		       2 * sizeof(router_usage_t));
	}
	limiter->n_report_slots++;
}

/* Sets the routers that take part in rounds, a bit for each, and how many
 * routers the deployment has. The own router is always a member.
 */
void limit_set_members(limiter_t *limiter, uint64_t members, unsigned routers)
{
	limiter->members = members | router_bit(limiter->self);
	limiter->routers = CLAMP(routers, 1, LIMIT_ROUTERS_MAX);
	while (limiter->n_report_slots < LIMIT_ROUTERS_MAX &&
	       limiter->members >> limiter->n_report_slots)
		add_report_slot(limiter);
}

/* Returns the fraction of a limit that all members together may use. It is
 * below 1 if they are fewer than the routers of the deployment, since the
 * others may be running on the other side of a network partition.
 */
static double members_fraction(const limiter_t *limiter)
{
	double members = __builtin_popcountll(limiter->members);

	return fmin(members / limiter->routers, 1);
}

/* Sums over the members that a share is computed from. */
typedef struct {
	double demand_per_s;
	int64_t running;
	unsigned members;
} totals_t;

/* Returns the usage that a router reported in a round, zeros if none. */
static const router_usage_t *usage_in_round(const entry_t *entry,
					    unsigned router, uint64_t round)
{
	static const router_usage_t none;
	const router_usage_t *usage = usage_slot(entry, router, round);

	return usage->round == round ? usage : &none;
}

/* Adds up the usage of all members in a round. */
static totals_t sum_usage(const limiter_t *limiter, const entry_t *entry,
			  uint64_t round)
{
	totals_t totals = {0, 0, 0};

	for (unsigned i = 0; i < limiter->n_report_slots; i++) {
		const router_usage_t *usage = usage_in_round(entry, i, round);

		if (!(limiter->members & router_bit(i)))
			continue;
		totals.members++;
		totals.demand_per_s += usage->demand_per_s;
		totals.running += usage->running;
	}
	return totals;
}

/* Returns a member's fraction of a limit: a part is divided evenly, the rest in
 * proportion to demand.
 */
static double member_fraction(const router_usage_t *usage,
			      const totals_t *totals)
{
	double even = 1.0 / totals->members;

	if (totals->demand_per_s <= 0)
		return even;
	return EVEN_FRACTION * even +
	       (1 - EVEN_FRACTION) * usage->demand_per_s / totals->demand_per_s;
}

/* Returns a member's share of a concurrency: what it has in progress and its
 * fraction of what is left. If more is in progress than allowed, all members
 * are cut in proportion.
 */
static double member_concurrency(const router_usage_t *usage,
				 const totals_t *totals, double concurrency)
{
	double rest = concurrency - (double)totals->running;

	if (rest < 0)
		return (double)usage->running * concurrency /
		       (double)totals->running;
	return (double)usage->running + rest * member_fraction(usage, totals);
}

/* Returns this router's share of a limit after a complete round. The
 * concurrency is the difference of two rounded running sums over the members:
 * rounded one by one, the shares could add up to more or less than the limit.
 */
static share_t compute_share(const limiter_t *limiter, const entry_t *entry,
			     uint64_t round)
{
	totals_t totals = sum_usage(limiter, entry, round);
	double part = members_fraction(limiter);
	double sum = 0;
	double before = 0;
	share_t share = {0, 0};

	for (unsigned i = 0; i <= limiter->self; i++) {
		const router_usage_t *usage = usage_in_round(entry, i, round);

		if (!(limiter->members & router_bit(i)))
			continue;
		before = sum;
		sum += member_concurrency(
			usage, &totals,
			part * (double)entry->values.concurrency);
		share.rate = part * entry->values.requests_s *
			     member_fraction(usage, &totals);
	}
	/* The sum may be just below a whole number after rounding errors. */
	share.concurrency =
		(int64_t)floor(sum + 1e-6) - (int64_t)floor(before + 1e-6);
	return share;
}

/* Computes the shares of the current round and begins the next one. */
static void complete_round(limiter_t *limiter, int64_t now_us)
{
	uint64_t round = limiter->round;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, limiter->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;

		entry->shares[round & 1] = compute_share(limiter, entry, round);
	}
	limiter->reported[round & 1] = 0;
	limiter->completed_rounds = MIN(limiter->completed_rounds + 1, 2);
	begin_round(limiter, round + 1, now_us);
}

/*
 * Completes the round if all members have reported, or falls back to fixed
 * shares if the round has timed out. To be called several times in each
 * LIMIT_ROUND_US. Returns how many reports to send to all members: 0, 1 (that
 * of the current round) or 2 (also that of the round before, since a member
 * that missed it cannot complete its round).
 */
unsigned limit_tick(limiter_t *limiter, int64_t now_us)
{
	uint64_t missing = limiter->members &
			   ~limiter->reported[limiter->round & 1];

	if (now_us - limiter->round_started_us >= LIMIT_ROUND_US && !missing) {
		complete_round(limiter, now_us);
		return 1;
	}
	if (now_us - limiter->round_started_us >= LIMIT_ROUND_TIMEOUT_US)
		use_fixed_shares(limiter);
	if (now_us - limiter->reports_sent_us < LIMIT_ROUND_US)
		return 0;
	limiter->reports_sent_us = now_us;
	return 2;
}

/* Calls visit() for each limit in use in the own report of a round: the current
 * one or the one before. Returns the number of calls.
 */
size_t limit_visit_usage(const limiter_t *limiter, uint64_t round,
			 limit_usage_fn_t visit, void *context)
{
	GHashTableIter iter;
	void *value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, limiter->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const entry_t *entry = value;
		const router_usage_t *own =
			usage_in_round(entry, limiter->self, round);
		limit_usage_t usage = {entry->id, own->demand_per_s,
				       own->running};

		if (own->running == 0 && own->demand_per_s == 0)
			continue;
		visit(&usage, context);
		n++;
	}
	return n;
}

/* Joins the round of the others after a start or a long time without contact.
 * The own usage is also recorded as the report of the round before, which some
 * routers may still be in.
 */
static void join_round(limiter_t *limiter, uint64_t round, int64_t now_us)
{
	use_fixed_shares(limiter);
	limiter->reported[0] = 0;
	limiter->reported[1] = 0;
	begin_round(limiter, round - 1, now_us);
	limiter->reported[(round - 1) & 1] = 0;
	begin_round(limiter, round, now_us);
	limiter->reports_sent_us = now_us - LIMIT_ROUND_US;
}

/* Records a whole report of another router, unless it is of a past round. Usage
 * of limits that are not set here is skipped.
 */
void limit_receive_report(limiter_t *limiter, unsigned router, uint64_t round,
			  const limit_usage_t *usage, size_t n_usage,
			  int64_t now_us)
{
	if (router >= limiter->n_report_slots || router == limiter->self)
		return;
	if (round > limiter->round + 1)
		join_round(limiter, round, now_us);
	if (round < limiter->round)
		return;
	for (size_t i = 0; i < n_usage; i++) {
		entry_t *entry = find_entry(limiter, usage[i].id);

		if (!entry)
			continue;
		*usage_slot(entry, router, round) = (router_usage_t){
			.round = round,
			.demand_per_s = fmax(usage[i].demand_per_s, 0),
			.running = MAX(usage[i].running, 0),
		};
	}
	limiter->reported[round & 1] |= router_bit(router);
}

/* Returns whether fixed shares apply, since the last two rounds are not
 * complete.
 */
bool limit_uses_fixed_shares(const limiter_t *limiter)
{
	return limiter->completed_rounds < 2;
}

/* Returns the lower rate of the last two shares. */
static double share_rate(const entry_t *entry)
{
	return fmin(entry->shares[0].rate, entry->shares[1].rate);
}

/* Returns the lower concurrency of the last two shares. */
static int64_t share_concurrency(const entry_t *entry)
{
	return MIN(entry->shares[0].concurrency, entry->shares[1].concurrency);
}

/* Returns this router's share of the rate, in requests per second; 0 if the
 * limit is not set.
 */
double limit_share_rate(const limiter_t *limiter, uint64_t id)
{
	const entry_t *entry = find_entry(limiter, id);

	return entry ? share_rate(entry) : 0;
}

/* Returns this router's share of the concurrency; 0 if the limit is not set. */
int64_t limit_share_concurrency(const limiter_t *limiter, uint64_t id)
{
	const entry_t *entry = find_entry(limiter, id);

	return entry ? share_concurrency(entry) : 0;
}

/* Adds the tokens for the time since the last call to the bucket. */
static void fill_bucket(entry_t *entry, double rate, int64_t now_us)
{
	double us = (double)MAX(now_us - entry->filled_us, 0);
	double most =
		fmax(rate * (double)LIMIT_BURST_US / (double)CLOCK_US_PER_S, 1);

	entry->tokens += rate * us / (double)CLOCK_US_PER_S;
	entry->tokens = fmin(entry->tokens, most);
	entry->filled_us = MAX(now_us, entry->filled_us);
}

/* Returns the time until the bucket has a token. If the share is zero, that is
 * a round, after which the share may have changed.
 */
static int64_t token_wait_us(const entry_t *entry, double rate)
{
	double wait =
		rate > 0 ? (1 - entry->tokens) / rate * (double)CLOCK_US_PER_S
			 : (double)LIMIT_ROUND_US;

	return (int64_t)fmin(fmax(wait, RETRY_MIN_US), RETRY_MAX_US);
}

/* Admits a request, or refuses it and sets the time at which to retry. The
 * caller calls limit_request_end() for each admitted request. Without a limit
 * of this ID, each request is admitted.
 */
limit_result_t limit_request_begin(limiter_t *limiter, uint64_t id,
				   int64_t now_us, int64_t *retry_at_us)
{
	entry_t *entry = find_entry(limiter, id);
	double rate;

	if (!entry)
		return LIMIT_ADMITTED;
	rate = share_rate(entry);
	fill_bucket(entry, rate, now_us);
	entry->arrivals++;
	if (entry->values.concurrency > 0 &&
	    entry->running >= share_concurrency(entry)) {
		*retry_at_us = now_us + LIMIT_ROUND_US;
		return LIMIT_CONCURRENCY;
	}
	if (entry->values.requests_s > 0) {
		if (entry->tokens < 1) {
			*retry_at_us = now_us + token_wait_us(entry, rate);
			return LIMIT_RATE;
		}
		entry->tokens--;
	}
	entry->running++;
	return LIMIT_ADMITTED;
}

/* Ends an admitted request, so that it no longer counts as in progress. */
void limit_request_end(limiter_t *limiter, uint64_t id)
{
	entry_t *entry = find_entry(limiter, id);

	if (entry && entry->running > 0)
		entry->running--;
}
