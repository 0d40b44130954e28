#include "process/decide/server_limits.h"

#include <math.h>

#include "process/clock.h"
#include "process/decide/arrival_rate.h"

/* Time for which a number of requests is drawn. */
#define PERIOD_US (1 * CLOCK_US_PER_S)

/* Share of a limit that the VMs use. The rest makes it unlikely that the draws
 * of many VMs exceed the limit.
 */
#define USE_SHARE 0.85

/* An answer without a limit withdraws it only after this time without one that
 * names it: answers may overtake each other.
 */
#define WITHDRAWN_AFTER_US (1 * CLOCK_US_PER_S)

/* Least rate of all VMs at a server, whatever its limit: without any request,
 * no answer could withdraw the limit.
 */
#define MIN_RATE_PER_S 0.2

/* A limit that no VM has seen in an answer for this long is dropped. */
#define UNSEEN_EXPIRES_US (60 * CLOCK_US_PER_S)

/* A withdrawn limit is announced for this long. */
#define ANNOUNCE_WITHDRAWN_US (5 * CLOCK_US_PER_S)

/* See server_limits_t, until server_limits_set_vms() is called. */
#define DEMAND_TTL_US (2 * CLOCK_US_PER_S)

/* Least demand of a VM in requests per second, so that one that was idle has a
 * share too.
 */
#define MIN_DEMAND_PER_S 0.1

/* The demand of another VM for one service. */
typedef struct {
	double per_s;
	int64_t received_us;
} demand_t;

/* The limit of one server. */
typedef struct {
	char *service;
	bool limited;
	double per_s;
	int64_t seen_us; /* see server_limit_t */
	GHashTable *demands; /* VM name to demand_t, of other VMs */
	double share_per_s; /* as computed for the period */
	unsigned requests_left; /* in the period */
	int64_t period_ends_us;
} entry_t;

/* Frees an entry. */
static void free_entry(gpointer data)
{
	entry_t *entry = data;

	g_free(entry->service);
	g_hash_table_unref(entry->demands);
	g_free(entry);
}

/* Sets up an object without limits, for a single VM. */
void server_limits_init(server_limits_t *limits, uint32_t seed)
{
	*limits = (server_limits_t){
		.vm_count = 1,
		.demand_ttl_us = DEMAND_TTL_US,
		.random = g_rand_new_with_seed(seed),
	};
	limits->by_server = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, free_entry);
	limits->demands =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees what the object owns. */
void server_limits_finish(server_limits_t *limits)
{
	g_clear_pointer(&limits->by_server, g_hash_table_unref);
	g_clear_pointer(&limits->demands, g_hash_table_unref);
	g_clear_pointer(&limits->random, g_rand_free);
}

/* Sets the number of VMs, this one included, and for how long an announced
 * demand holds.
 */
void server_limits_set_vms(server_limits_t *limits, unsigned vm_count,
			   int64_t demand_ttl_us)
{
	limits->vm_count = vm_count;
	limits->demand_ttl_us = demand_ttl_us;
}

/* Records a request for a service at this VM. */
void server_limits_add_request(server_limits_t *limits, const char *service,
			       int64_t now_us)
{
	arrival_rate_t *rate = g_hash_table_lookup(limits->demands, service);

	if (!rate) {
		rate = g_new0(arrival_rate_t, 1);
		g_hash_table_insert(limits->demands, g_strdup(service), rate);
	}
	arrival_rate_add(rate, now_us);
}

/* Returns this VM's requests per second for a service. */
static double own_demand(const server_limits_t *limits, const char *service,
			 int64_t now_us)
{
	const arrival_rate_t *rate =
		g_hash_table_lookup(limits->demands, service);

	return fmax(rate ? arrival_rate_per_s(rate, now_us) : 0,
		    MIN_DEMAND_PER_S);
}

/* Adds an entry without a limit. */
static entry_t *add_entry(server_limits_t *limits, const char *server,
			  const char *service)
{
	entry_t *entry = g_new0(entry_t, 1);

	entry->service = g_strdup(service);
	entry->demands =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(limits->by_server, g_strdup(server), entry);
	return entry;
}

/* Sets what is known of a limit. Returns whether it has changed. */
static bool set_limit(entry_t *entry, bool limited, double per_s,
		      int64_t seen_us)
{
	bool changed = entry->limited != limited || entry->per_s != per_s;

	entry->limited = limited;
	entry->per_s = per_s;
	entry->seen_us = seen_us;
	return changed;
}

/* Records whether a server's answer names a limit. Returns whether what is
 * known of the limit has changed.
 */
bool server_limits_observe(server_limits_t *limits, const char *server,
			   const char *service, bool limited, double per_s,
			   int64_t now_us)
{
	entry_t *entry = g_hash_table_lookup(limits->by_server, server);

	if (limited) {
		if (!entry)
			entry = add_entry(limits, server, service);
		return set_limit(entry, true, per_s, now_us);
	}
	if (!entry || !entry->limited ||
	    now_us - entry->seen_us < WITHDRAWN_AFTER_US)
		return false;
	return set_limit(entry, false, 0, now_us);
}

/* Applies what another VM has announced. The newer observation holds. */
void server_limits_apply_peer(server_limits_t *limits, const char *server,
			      const char *service, const char *vm,
			      const server_limit_t *limit, int64_t now_us)
{
	entry_t *entry = g_hash_table_lookup(limits->by_server, server);
	demand_t demand = {.per_s = limit->demand_per_s, .received_us = now_us};

	if (!entry && !limit->limited)
		return;
	if (!entry)
		entry = add_entry(limits, server, service);
	g_hash_table_replace(entry->demands, g_strdup(vm),
			     g_memdup2(&demand, sizeof(demand)));
	if (limit->seen_us > entry->seen_us)
		(void)set_limit(entry, limit->limited, limit->per_s,
				limit->seen_us);
}

/* Returns the part of a limit that the VMs use, in requests per second. */
static double usable_rate(const entry_t *entry)
{
	return fmax(entry->per_s * USE_SHARE, MIN_RATE_PER_S);
}

/* Returns this VM's share of a limit in requests per second, by the demands as
 * they are known now.
 */
static double compute_share(const server_limits_t *limits, const entry_t *entry,
			    int64_t now_us)
{
	double own = own_demand(limits, entry->service, now_us);
	double sum = own;
	unsigned known = 1;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->demands);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const demand_t *demand = value;

		if (now_us - demand->received_us > limits->demand_ttl_us)
			continue;
		sum += fmax(demand->per_s, MIN_DEMAND_PER_S);
		known++;
	}
	return usable_rate(entry) * own / sum * known /
	       MAX(limits->vm_count, known);
}

/* Draws the number of requests that a share allows in one period. */
static unsigned draw_requests(double share_per_s, GRand *random)
{
	double requests =
		share_per_s * (double)PERIOD_US / (double)CLOCK_US_PER_S;
	double whole = floor(requests);
	bool one_more = g_rand_double(random) < requests - whole;

	return (unsigned)fmin(whole + (one_more ? 1 : 0), G_MAXUINT);
}

/*
 * Begins a period and draws its requests. The lower of the shares of this
 * period and the one before counts, since VMs learn of a change of the demands
 * at different times: a share must not grow before the others have shrunk. An
 * equal part of the limit stands for the share before if that is too old.
 */
static void begin_period(server_limits_t *limits, entry_t *entry,
			 int64_t now_us)
{
	double before = usable_rate(entry) / limits->vm_count;

	if (now_us < entry->period_ends_us + PERIOD_US)
		before = entry->share_per_s;
	entry->share_per_s = compute_share(limits, entry, now_us);
	entry->requests_left =
		draw_requests(fmin(before, entry->share_per_s), limits->random);
	entry->period_ends_us = now_us + PERIOD_US;
}

/* Returns the entry of a server that names a limit, with its period brought up
 * to date, or NULL if the server has none.
 */
static entry_t *find_limited(server_limits_t *limits, const char *server,
			     int64_t now_us)
{
	entry_t *entry = g_hash_table_lookup(limits->by_server, server);

	if (!entry || !entry->limited)
		return NULL;
	if (now_us >= entry->period_ends_us)
		begin_period(limits, entry, now_us);
	return entry;
}

/* Returns whether this VM may send a request to a server now. */
bool server_limits_allow(server_limits_t *limits, const char *server,
			 int64_t now_us)
{
	const entry_t *entry = find_limited(limits, server, now_us);

	return !entry || entry->requests_left > 0;
}

/* Records that a request was sent to a server. */
void server_limits_record_send(server_limits_t *limits, const char *server,
			       int64_t now_us)
{
	entry_t *entry = find_limited(limits, server, now_us);

	if (entry && entry->requests_left > 0)
		entry->requests_left--;
}

/* Visits the limits that are to be announced, with this VM's demand. */
void server_limits_visit(server_limits_t *limits, int64_t now_us,
			 server_limit_fn_t visit, void *context)
{
	GHashTableIter iter;
	gpointer server, value;

	g_hash_table_iter_init(&iter, limits->by_server);
	while (g_hash_table_iter_next(&iter, &server, &value)) {
		const entry_t *entry = value;
		server_limit_t limit = {
			.limited = entry->limited,
			.per_s = entry->per_s,
			.seen_us = entry->seen_us,
			.demand_per_s =
				own_demand(limits, entry->service, now_us),
		};

		visit(context, server, &limit);
	}
}

/* Drops limits that were withdrawn, or last seen, some time ago. */
void server_limits_expire(server_limits_t *limits, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->by_server);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const entry_t *entry = value;
		int64_t kept_us = entry->limited ? UNSEEN_EXPIRES_US
						 : ANNOUNCE_WITHDRAWN_US;

		if (now_us - entry->seen_us > kept_us)
			g_hash_table_iter_remove(&iter);
	}
}
