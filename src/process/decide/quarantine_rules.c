#include "process/decide/quarantine_rules.h"

/* Servers that must have been lost under a key for a rule, if no request with
 * it has ever begun well, or if one has before these losses.
 */
#define MIN_SERVERS 3
#define MIN_SERVERS_ONCE_SOUND 5

/* Losses that are less than this apart may have one cause that is not in the requests, as
 * when all servers lose power.
 */
#define SAME_TIME_US INT64_C(100000)

/* How often a key was on losses. */
typedef struct {
	unsigned servers; /* distinct ones */
	unsigned losses; /* of requests; several may be on one server */
	int64_t first_us; /* time of the first loss */
	int64_t last_us; /* time of the last loss */
} evidence_t;

/* Returns whether a loss has a key. */
bool quarantine_loss_has_key(const quarantine_loss_t *loss, uint64_t key)
{
	for (unsigned i = 0; i < loss->n_keys; i++) {
		if (loss->keys[i] == key)
			return true;
	}
	return false;
}

/* Returns whether a loss counts towards a rule on a key. */
static bool counts(const quarantine_t *quarantine,
		   const quarantine_loss_t *loss, uint64_t key)
{
	return loss->lost_us > quarantine_sound_at_us(quarantine, key) &&
	       quarantine_loss_has_key(loss, key);
}

/* Compares times for sorting. */
static int compare_times(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

/* Returns at how many different times servers were lost under a key. */
static unsigned count_times(const quarantine_t *quarantine,
			    const GArray *losses, uint64_t key)
{
	int64_t times[QUARANTINE_LOSSES_MAX];
	unsigned n_times = 0;
	unsigned different = 0;
	int64_t begin_us = 0;

	for (guint i = 0; i < losses->len; i++) {
		const quarantine_loss_t *loss =
			&g_array_index(losses, quarantine_loss_t, i);

		if (counts(quarantine, loss, key))
			times[n_times++] = loss->lost_us;
	}
	qsort(times, n_times, sizeof(*times), compare_times);
	for (unsigned i = 0; i < n_times; i++) {
		if (different > 0 && times[i] - begin_us < SAME_TIME_US)
			continue;
		begin_us = times[i];
		different++;
	}
	return different;
}

/* Returns whether requests with a key had begun well before. */
static bool is_once_sound(const quarantine_t *quarantine, uint64_t key)
{
	return quarantine_sound_at_us(quarantine, key) >= 0;
}

/* Returns whether enough servers were lost under a key for a rule. */
static bool is_enough(const quarantine_t *quarantine, const GArray *losses,
		      uint64_t key, const evidence_t *evidence)
{
	if (!is_once_sound(quarantine, key))
		return evidence->servers >= MIN_SERVERS;
	return evidence->servers >= MIN_SERVERS_ONCE_SOUND &&
	       count_times(quarantine, losses, key) >= MIN_SERVERS_ONCE_SOUND;
}

/* Returns how often a key was on losses, an array of quarantine_loss_t. */
static evidence_t weigh(const quarantine_t *quarantine, const GArray *losses,
			uint64_t key)
{
	GHashTable *servers = g_hash_table_new(g_int64_hash, g_int64_equal);
	evidence_t evidence = {.losses = 0};

	for (guint i = 0; i < losses->len; i++) {
		quarantine_loss_t *loss =
			&g_array_index(losses, quarantine_loss_t, i);

		if (!counts(quarantine, loss, key))
			continue;
		g_hash_table_add(servers, &loss->server);
		evidence.losses++;
		evidence.first_us = evidence.losses > 1 ? MIN(evidence.first_us,
							      loss->lost_us)
							: loss->lost_us;
		evidence.last_us = MAX(evidence.last_us, loss->lost_us);
	}
	evidence.servers = g_hash_table_size(servers);
	g_hash_table_unref(servers);
	return evidence;
}

/* Returns how well a key explains the losses that it was on: the better, the more
 * servers, and the fewer losses besides. A key that all requests share is on the
 * losses of those as well that only were on a server at the time.
 */
static double explanation(const evidence_t *evidence)
{
	return (double)evidence->servers * evidence->servers /
	       MAX(evidence->losses, 1);
}

/* Compares keys for sorting. */
static int compare_keys(const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return left < right ? -1 : left > right;
}

/* Returns whether a key was on all losses that count for another one. */
static bool is_on_all(const quarantine_t *quarantine, const GArray *losses,
		      uint64_t key, uint64_t other)
{
	for (guint i = 0; i < losses->len; i++) {
		const quarantine_loss_t *loss =
			&g_array_index(losses, quarantine_loss_t, i);

		if (counts(quarantine, loss, other) &&
		    !counts(quarantine, loss, key))
			return false;
	}
	return true;
}

/* Fills in the rule on a key: the key, and those that were on all of its losses
 * and may be the cause as well.
 */
static void fill_rule(const quarantine_t *quarantine, const GArray *losses,
		      uint64_t key, quarantine_rule_t *rule)
{
	const quarantine_loss_t *first = NULL;
	evidence_t evidence = weigh(quarantine, losses, key);

	rule->servers = evidence.servers;
	rule->once_sound = is_once_sound(quarantine, key);
	rule->first_us = evidence.first_us;
	rule->lost_us = evidence.last_us;
	for (guint i = 0; !first; i++) {
		first = &g_array_index(losses, quarantine_loss_t, i);
		if (!counts(quarantine, first, key))
			first = NULL;
	}
	for (unsigned i = 0; i < first->n_keys; i++) {
		uint64_t other = first->keys[i];

		evidence = weigh(quarantine, losses, other);
		if (other != key &&
		    (!is_enough(quarantine, losses, other, &evidence) ||
		     !is_on_all(quarantine, losses, other, key)))
			continue;
		rule->keys[rule->n_keys++] = other;
		rule->once_sound &= is_once_sound(quarantine, other);
	}
	qsort(rule->keys, rule->n_keys, sizeof(*rule->keys), compare_keys);
}

/* Returns whether a server is among those lost under a key. */
static bool is_lost_under(const quarantine_t *quarantine, const GArray *losses,
			  uint64_t server, uint64_t key)
{
	for (guint i = 0; i < losses->len; i++) {
		const quarantine_loss_t *loss =
			&g_array_index(losses, quarantine_loss_t, i);

		if (loss->server == server && counts(quarantine, loss, key))
			return true;
	}
	return false;
}

/* Returns how well a key explains the losses, 0 if they are too few for a rule. */
static double weigh_for_rule(const quarantine_t *quarantine,
			     const GArray *losses, uint64_t key)
{
	evidence_t evidence = weigh(quarantine, losses, key);

	return is_enough(quarantine, losses, key, &evidence)
		       ? explanation(&evidence)
		       : 0;
}

/* Finds the key that explains the losses best. Returns how well, 0 when too few
 * servers were lost under any key.
 */
static double find_best_key(const quarantine_t *quarantine,
			    const GArray *losses, uint64_t *key)
{
	double best = 0;

	for (guint i = 0; i < losses->len; i++) {
		const quarantine_loss_t *loss =
			&g_array_index(losses, quarantine_loss_t, i);

		for (unsigned k = 0; k < loss->n_keys; k++) {
			double weight;

			if (!counts(quarantine, loss, loss->keys[k]))
				continue;
			weight = weigh_for_rule(quarantine, losses,
						loss->keys[k]);
			if (weight <= best)
				continue;
			best = weight;
			*key = loss->keys[k];
		}
	}
	return best;
}

/* Returns whether all servers that were lost under a key were lost under another
 * one as well.
 */
static bool is_on_servers_of(const quarantine_t *quarantine,
			     const GArray *losses, uint64_t key, uint64_t other)
{
	for (guint i = 0; i < losses->len; i++) {
		const quarantine_loss_t *loss =
			&g_array_index(losses, quarantine_loss_t, i);

		if (counts(quarantine, loss, key) &&
		    !is_lost_under(quarantine, losses, loss->server, other))
			return false;
	}
	return true;
}

/* Removes all losses of the servers that a rule on a key explains: each server
 * is lost for one cause, and other requests on it were only there at the time.
 */
static void remove_explained(const quarantine_t *quarantine, GArray *losses,
			     uint64_t key)
{
	GArray *left = g_array_new(FALSE, FALSE, sizeof(quarantine_loss_t));

	for (guint i = 0; i < losses->len; i++) {
		const quarantine_loss_t *loss =
			&g_array_index(losses, quarantine_loss_t, i);

		if (!is_lost_under(quarantine, losses, loss->server, key))
			g_array_append_vals(left, loss, 1);
	}
	g_array_set_size(losses, 0);
	g_array_append_vals(losses, left->data, left->len);
	g_array_unref(left);
}

/* Returns whether two rules have the same keys. */
bool quarantine_rule_equal(const quarantine_rule_t *a,
			   const quarantine_rule_t *b)
{
	return a->n_keys == b->n_keys &&
	       memcmp(a->keys, b->keys, a->n_keys * sizeof(*a->keys)) == 0;
}

/* Returns the rule with the same keys in an array, or NULL. */
quarantine_rule_t *quarantine_find_equal(const GArray *rules,
					 const quarantine_rule_t *rule)
{
	for (guint i = 0; i < rules->len; i++) {
		quarantine_rule_t *other =
			&g_array_index(rules, quarantine_rule_t, i);

		if (quarantine_rule_equal(other, rule))
			return other;
	}
	return NULL;
}

/* Adds the rule on a key unless there is one with the same keys. */
static void add_rule(const quarantine_t *quarantine, const GArray *losses,
		     uint64_t key, GArray *rules)
{
	quarantine_rule_t rule = {0};

	fill_rule(quarantine, losses, key, &rule);
	if (!quarantine_find_equal(rules, &rule))
		g_array_append_val(rules, rule);
}

/* Adds the rules on the keys that explain the losses of the same servers as well
 * as the best one, which was found to weigh `best`: nothing tells them apart.
 */
static void add_rules(const quarantine_t *quarantine, const GArray *losses,
		      uint64_t best_key, double best, GArray *rules)
{
	for (guint i = 0; i < losses->len; i++) {
		const quarantine_loss_t *loss =
			&g_array_index(losses, quarantine_loss_t, i);

		for (unsigned k = 0; k < loss->n_keys; k++) {
			uint64_t key = loss->keys[k];

			if (counts(quarantine, loss, key) &&
			    weigh_for_rule(quarantine, losses, key) >= best &&
			    is_on_servers_of(quarantine, losses, key, best_key))
				add_rule(quarantine, losses, key, rules);
		}
	}
}

/* Finds the rules that losses support, which are consumed. With more than
 * QUARANTINE_CAUSES_MAX causes there are none. Returns whether that is so.
 */
bool quarantine_find_rules(const quarantine_t *quarantine, GArray *losses,
			   GArray *rules)
{
	unsigned causes = 0;
	uint64_t key = 0;
	double best;

	g_array_set_size(rules, 0);
	while (causes <= QUARANTINE_CAUSES_MAX &&
	       (best = find_best_key(quarantine, losses, &key)) > 0) {
		add_rules(quarantine, losses, key, best, rules);
		remove_explained(quarantine, losses, key);
		causes++;
	}
	if (causes > QUARANTINE_CAUSES_MAX)
		g_array_set_size(rules, 0);
	return causes > QUARANTINE_CAUSES_MAX;
}
