#include "process/limit.h"

#include <math.h>
#include <xxhash.h>

#include "process/clock.h"

/* This part of a limit is spread evenly, so that a workspace that turns to
 * another router finds a share there before the next rounds.
 */
#define EVEN_PART 0.25

/* Weight of the last round in the demand. */
#define DEMAND_GAIN 0.5

/* A refused caller may come back within these bounds. */
#define RETRY_MIN_US (50 * CLOCK_US_PER_MS)
#define RETRY_MAX_US (10 * CLOCK_US_PER_S)

/* A router's report on one limit. */
typedef struct {
	uint64_t round; /* 0: none */
	double demand_s;
	int64_t running;
} usage_t;

typedef struct {
	double rate;
	int64_t concurrency;
} share_pair_t;

typedef struct {
	uint64_t id;
	limit_values_t values;
	int64_t running;
	int64_t arrivals; /* since the last round began */
	double demand_s;
	double tokens; /* of the token bucket */
	int64_t filled_us;
	share_pair_t shares[2]; /* of the last even and odd round */
	usage_t *usage; /* two for each router: of the last even, odd round */
} entry_t;

static void entry_free(void *data)
{
	entry_t *entry = data;

	g_free(entry->usage);
	g_free(entry);
}

static usage_t *slot_of(const entry_t *entry, unsigned router, uint64_t round)
{
	return &entry->usage[2 * (size_t)router + (round & 1)];
}

static entry_t *find(const limiter_t *limit, uint64_t id)
{
	return g_hash_table_lookup(limit->entries, &id);
}

static uint64_t bit(unsigned router)
{
	return UINT64_C(1) << router;
}

/* Records the own usage as the report of the round that begins. The demand is
 * rounded to what a message carries, as all routers must compute the shares
 * from the same numbers.
 */
static void begin_round(limiter_t *limit, uint64_t round, int64_t now_us)
{
	GHashTableIter iter;
	void *value;
	double elapsed_s = (double)(now_us - limit->round_started_us) /
			   (double)CLOCK_US_PER_S;

	limit->round = round;
	limit->round_started_us = now_us;
	limit->sent_us = now_us;
	limit->reported[round & 1] |= bit(limit->self);
	g_hash_table_iter_init(&iter, limit->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;
		double demand = (double)entry->arrivals / fmax(elapsed_s, 0.1);

		entry->demand_s += DEMAND_GAIN * (demand - entry->demand_s);
		entry->arrivals = 0;
		*slot_of(entry, limit->self, round) = (usage_t){
			.round = round,
			.demand_s = rint(entry->demand_s * 1000) / 1000,
			.running = entry->running,
		};
	}
}

/* Sets up without limits; fixed shares apply until two rounds are complete. */
void limit_init(limiter_t *limit, unsigned routers, unsigned self,
		int64_t now_us)
{
	*limit = (limiter_t){
		.routers = CLAMP(routers, 1, LIMIT_ROUTERS_MAX),
		.self = MIN(self, LIMIT_ROUTERS_MAX - 1),
		.slots = MAX(CLAMP(routers, 1, LIMIT_ROUTERS_MAX),
			     MIN(self, LIMIT_ROUTERS_MAX - 1) + 1),
		.round_started_us = now_us,
	};
	limit->members = bit(limit->self);
	limit->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, entry_free);
	begin_round(limit, 1, now_us);
}

/* Frees the limits. */
void limit_finish(limiter_t *limit)
{
	g_hash_table_unref(limit->entries);
}

/* Returns the ID of the limit of a workspace at a service; an empty service
 * stands for all services of the workspace.
 */
uint64_t limit_id(str_t workspace, str_t service)
{
	XXH64_hash_t seed = XXH64(service.data, service.len, 0);

	return XXH64(workspace.data, workspace.len, seed);
}

static share_pair_t fixed_share(const limiter_t *limit, const entry_t *entry)
{
	int64_t whole = entry->values.concurrency;
	int64_t n = limit->routers;
	int64_t i = limit->self;

	return (share_pair_t){
		.rate = entry->values.requests_s / limit->routers,
		.concurrency = whole * (i + 1) / n - whole * i / n,
	};
}

/* Fixed shares take the place of both last rounds. They add up to the limit as
 * the shares of a round do, so the rule of the lower of two shares also holds
 * on the way back from them.
 */
static void use_fixed_shares(limiter_t *limit)
{
	GHashTableIter iter;
	void *value;

	limit->complete = 0;
	g_hash_table_iter_init(&iter, limit->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;

		entry->shares[0] = fixed_share(limit, entry);
		entry->shares[1] = entry->shares[0];
	}
}

/* Adds or changes a limit. Requests in progress stay counted. Without a rate
 * and a concurrency there is no limit, and nothing is kept.
 */
void limit_set(limiter_t *limit, uint64_t id, limit_values_t values,
	       int64_t now_us)
{
	entry_t *entry = find(limit, id);

	if (values.requests_s <= 0 && values.concurrency <= 0) {
		limit_remove(limit, id);
		return;
	}
	if (entry) {
		entry->values = values;
		if (limit_uses_fixed_shares(limit))
			use_fixed_shares(limit);
		return;
	}
	entry = g_new0(entry_t, 1);
	entry->id = id;
	entry->usage = g_new0(usage_t, 2 * limit->slots);
	entry->values = values;
	entry->tokens = 1;
	entry->filled_us = now_us;
	g_hash_table_insert(limit->entries, &entry->id, entry);
	/* A limit that the last rounds did not know starts with fixed shares. */
	entry->shares[0] = fixed_share(limit, entry);
	entry->shares[1] = entry->shares[0];
}

/* Removes a limit that is no longer configured. */
void limit_remove(limiter_t *limit, uint64_t id)
{
	g_hash_table_remove(limit->entries, &id);
}

/* Makes place for the reports of one more router. */
static void grow(limiter_t *limit)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, limit->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;

		entry->usage =
			g_renew(usage_t, entry->usage, 2 * (limit->slots + 1));
		memset(&entry->usage[2 * (size_t)limit->slots], 0,
		       2 * sizeof(usage_t));
	}
	limit->slots++;
}

/* Sets the routers that take part in rounds, and how many the deployment has
 * according to the platform. The own number is always a member.
 */
void limit_set_members(limiter_t *limit, uint64_t members, unsigned routers)
{
	limit->members = members | bit(limit->self);
	limit->routers = CLAMP(routers, 1, LIMIT_ROUTERS_MAX);
	while (limit->slots < LIMIT_ROUTERS_MAX &&
	       limit->members >> limit->slots)
		grow(limit);
}

/* Part of the limits that the members may use. If they are fewer than the
 * routers of the deployment, the others may be alive on the far side of a
 * partition.
 */
static double members_part(const limiter_t *limit)
{
	double members = __builtin_popcountll(limit->members);

	return fmin(members / limit->routers, 1);
}

typedef struct {
	double demand_s;
	int64_t running;
	unsigned members;
} totals_t;

static const usage_t *usage_of(const entry_t *entry, unsigned router,
			       uint64_t round)
{
	static const usage_t none;
	const usage_t *usage = slot_of(entry, router, round);

	return usage->round == round ? usage : &none;
}

static totals_t sum_usage(const limiter_t *limit, const entry_t *entry,
			  uint64_t round)
{
	totals_t totals = {0, 0, 0};

	for (unsigned i = 0; i < limit->slots; i++) {
		const usage_t *usage = usage_of(entry, i, round);

		if (!(limit->members & bit(i)))
			continue;
		totals.members++;
		totals.demand_s += usage->demand_s;
		totals.running += usage->running;
	}
	return totals;
}

/* A member's part of a limit: an even one and one by demand. */
static double part_of(const usage_t *usage, const totals_t *totals)
{
	double even = 1.0 / totals->members;

	if (totals->demand_s <= 0)
		return even;
	return EVEN_PART * even +
	       (1 - EVEN_PART) * usage->demand_s / totals->demand_s;
}

/* A member keeps what it has in progress and gets a part of the rest. */
static double places_of(const usage_t *usage, const totals_t *totals,
			double concurrency)
{
	double rest = concurrency - (double)totals->running;

	if (rest < 0)
		return (double)usage->running * concurrency /
		       (double)totals->running;
	return (double)usage->running + rest * part_of(usage, totals);
}

/* Whole places are differences of a rounded running sum, so that all routers
 * together give out exactly the limit and not one place each more or less.
 */
static share_pair_t compute_share(const limiter_t *limit, const entry_t *entry,
				  uint64_t round)
{
	totals_t totals = sum_usage(limit, entry, round);
	double part = members_part(limit);
	double places = 0;
	double before = 0;
	share_pair_t share = {0, 0};

	for (unsigned i = 0; i <= limit->self; i++) {
		const usage_t *usage = usage_of(entry, i, round);

		if (!(limit->members & bit(i)))
			continue;
		before = places;
		places += places_of(usage, &totals,
				    part * (double)entry->values.concurrency);
		share.rate = part * entry->values.requests_s *
			     part_of(usage, &totals);
	}
	/* The sum may be just below a whole number after rounding errors. */
	share.concurrency =
		(int64_t)floor(places + 1e-6) - (int64_t)floor(before + 1e-6);
	return share;
}

static void complete_round(limiter_t *limit, int64_t now_us)
{
	uint64_t round = limit->round;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, limit->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;

		entry->shares[round & 1] = compute_share(limit, entry, round);
	}
	limit->reported[round & 1] = 0;
	limit->complete = MIN(limit->complete + 1, 2);
	begin_round(limit, round + 1, now_us);
}

/*
 * To be called several times in each LIMIT_ROUND_US. Returns how many reports
 * to send to all members: 0, 1 (of the current round) or 2 (also of the round
 * before, as a member that missed it cannot go on).
 */
unsigned limit_tick(limiter_t *limit, int64_t now_us)
{
	uint64_t missing = limit->members & ~limit->reported[limit->round & 1];

	if (now_us - limit->round_started_us >= LIMIT_ROUND_US && !missing) {
		complete_round(limit, now_us);
		return 1;
	}
	if (now_us - limit->round_started_us >= LIMIT_ROUND_TIMEOUT_US)
		use_fixed_shares(limit);
	if (now_us - limit->sent_us < LIMIT_ROUND_US)
		return 0;
	limit->sent_us = now_us;
	return 2;
}

/* Calls visit() for each limit in use in the own report of the current round
 * or the one before. Returns the number of calls.
 */
size_t limit_visit_usage(const limiter_t *limit, uint64_t round,
			 limit_usage_fn_t visit, void *context)
{
	GHashTableIter iter;
	void *value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, limit->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const entry_t *entry = value;
		const usage_t *own = usage_of(entry, limit->self, round);
		limit_usage_t usage = {entry->id, own->demand_s, own->running};

		if (own->running == 0 && own->demand_s == 0)
			continue;
		visit(&usage, context);
		n++;
	}
	return n;
}

/* A router that has just started, or was cut off for long, joins the round of
 * the others and reports the one before too, which some may still be in.
 */
static void join_round(limiter_t *limit, uint64_t round, int64_t now_us)
{
	use_fixed_shares(limit);
	limit->reported[0] = 0;
	limit->reported[1] = 0;
	begin_round(limit, round - 1, now_us);
	limit->reported[(round - 1) & 1] = 0;
	begin_round(limit, round, now_us);
	limit->sent_us = now_us - LIMIT_ROUND_US;
}

/* Takes in a whole report of another router. */
void limit_receive_report(limiter_t *limit, unsigned router, uint64_t round,
			  const limit_usage_t *usage, size_t n_usage,
			  int64_t now_us)
{
	if (router >= limit->slots || router == limit->self)
		return;
	if (round > limit->round + 1)
		join_round(limit, round, now_us);
	if (round < limit->round)
		return;
	for (size_t i = 0; i < n_usage; i++) {
		entry_t *entry = find(limit, usage[i].id);

		if (!entry)
			continue;
		*slot_of(entry, router, round) = (usage_t){
			.round = round,
			.demand_s = fmax(usage[i].demand_s, 0),
			.running = MAX(usage[i].running, 0),
		};
	}
	limit->reported[round & 1] |= bit(router);
}

/* Tells whether fixed shares apply, as the exchange of usage fails. */
bool limit_uses_fixed_shares(const limiter_t *limit)
{
	return limit->complete < 2;
}

static double share_rate(const entry_t *entry)
{
	return fmin(entry->shares[0].rate, entry->shares[1].rate);
}

static int64_t share_concurrency(const entry_t *entry)
{
	return MIN(entry->shares[0].concurrency, entry->shares[1].concurrency);
}

/* Returns this router's share of the rate, in requests per second. */
double limit_share_rate(const limiter_t *limit, uint64_t id)
{
	const entry_t *entry = find(limit, id);

	return entry ? share_rate(entry) : 0;
}

/* Returns this router's share of the requests in progress. */
int64_t limit_share_concurrency(const limiter_t *limit, uint64_t id)
{
	const entry_t *entry = find(limit, id);

	return entry ? share_concurrency(entry) : 0;
}

static void fill(entry_t *entry, double rate, int64_t now_us)
{
	double us = (double)MAX(now_us - entry->filled_us, 0);
	double most =
		fmax(rate * (double)LIMIT_BURST_US / (double)CLOCK_US_PER_S, 1);

	entry->tokens += rate * us / (double)CLOCK_US_PER_S;
	entry->tokens = fmin(entry->tokens, most);
	entry->filled_us = MAX(now_us, entry->filled_us);
}

/* Time until the bucket has a token; about a round if it does not fill now. */
static int64_t wait_us(const entry_t *entry, double rate)
{
	double wait =
		rate > 0 ? (1 - entry->tokens) / rate * (double)CLOCK_US_PER_S
			 : (double)LIMIT_ROUND_US;

	return (int64_t)fmin(fmax(wait, RETRY_MIN_US), RETRY_MAX_US);
}

/* Admits a request or refuses it, with the time to come back. Every admitted
 * request is ended with limit_request_end(). A workspace without a limit is admitted.
 */
limit_result_t limit_request_begin(limiter_t *limit, uint64_t id,
				   int64_t now_us, int64_t *retry_at_us)
{
	entry_t *entry = find(limit, id);
	double rate;

	if (!entry)
		return LIMIT_ADMITTED;
	rate = share_rate(entry);
	fill(entry, rate, now_us);
	entry->arrivals++;
	if (entry->values.concurrency > 0 &&
	    entry->running >= share_concurrency(entry)) {
		*retry_at_us = now_us + LIMIT_ROUND_US;
		return LIMIT_CONCURRENCY;
	}
	if (entry->values.requests_s > 0) {
		if (entry->tokens < 1) {
			*retry_at_us = now_us + wait_us(entry, rate);
			return LIMIT_RATE;
		}
		entry->tokens--;
	}
	entry->running++;
	return LIMIT_ADMITTED;
}

/* Ends an admitted request. */
void limit_request_end(limiter_t *limit, uint64_t id)
{
	entry_t *entry = find(limit, id);

	if (entry && entry->running > 0)
		entry->running--;
}
