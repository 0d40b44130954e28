#include "process/decide/quarantine_rules.h"

#include "process/decide/quarantine_evidence.h"

/* Servers that must have been lost under a key for a rule, if no request with
 * it has ever begun well, or if one has before these losses.
 */
#define MIN_SERVERS 3
#define MIN_SERVERS_ONCE_SOUND 5

/* Losses that are less than this apart may have one cause that is not in the requests, as
 * when all servers lose power.
 */
#define SAME_TIME_US INT64_C(100000)

/* Compares times for sorting. */
static int compare_times(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

/* Returns at how many different times servers were lost under a key. */
static unsigned count_times(const evidence_t *evidence,
			    const evidence_key_t *key)
{
	int64_t times[QUARANTINE_LOSSES_MAX];
	unsigned n_times = 0;
	unsigned different = 0;
	int64_t begin_us = 0;

	for (unsigned i = 0; i < evidence->n_losses; i++) {
		if (evidence_set_has(&key->losses, i))
			times[n_times++] = evidence->losses[i].lost_us;
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
static bool is_once_sound(const evidence_key_t *key)
{
	return key->sound_us != SOUND_NEVER_US;
}

/* Returns whether enough servers were lost under a key for a rule. */
static bool is_enough(const evidence_t *evidence, const evidence_key_t *key)
{
	unsigned servers = evidence_set_count(&key->servers);

	if (!is_once_sound(key))
		return servers >= MIN_SERVERS;
	return servers >= MIN_SERVERS_ONCE_SOUND &&
	       count_times(evidence, key) >= MIN_SERVERS_ONCE_SOUND;
}

/* Returns how well a key explains the losses that it was on: the better, the more
 * servers, and the fewer losses besides. A key that all requests share is on the
 * losses of those as well that only were on a server at the time. Returns 0 if they are too
 * few for a rule.
 */
static double weigh(const evidence_t *evidence, const evidence_key_t *key)
{
	double servers = evidence_set_count(&key->servers);

	return is_enough(evidence, key)
		       ? servers * servers / evidence_set_count(&key->losses)
		       : 0;
}

/* Compares keys for sorting. */
static int compare_keys(const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return left < right ? -1 : left > right;
}

/* Returns the first loss of a key, which must have one, and sets the rule's times. */
static unsigned find_losses(const evidence_t *evidence,
			    const evidence_key_t *key, quarantine_rule_t *rule)
{
	unsigned first = evidence->n_losses;

	for (unsigned i = 0; i < evidence->n_losses; i++) {
		int64_t lost_us = evidence->losses[i].lost_us;

		if (!evidence_set_has(&key->losses, i))
			continue;
		if (first == evidence->n_losses) {
			first = i;
			rule->first_us = lost_us;
			rule->lost_us = lost_us;
		}
		rule->first_us = MIN(rule->first_us, lost_us);
		rule->lost_us = MAX(rule->lost_us, lost_us);
	}
	return first;
}

/* Fills in the rule on a key: the key, and those that were on all of its losses
 * and may be the cause as well.
 */
static void fill_rule(const evidence_t *evidence, const evidence_key_t *key,
		      quarantine_rule_t *rule)
{
	unsigned first = find_losses(evidence, key, rule);

	rule->servers = evidence_set_count(&key->servers);
	rule->once_sound = is_once_sound(key);
	for (unsigned i = 0; i < evidence->losses[first].n_keys; i++) {
		const evidence_key_t *other = evidence_key(evidence, first, i);

		if (other != key &&
		    (!is_enough(evidence, other) ||
		     !evidence_set_is_within(&key->losses, &other->losses)))
			continue;
		rule->keys[rule->n_keys++] = other->key;
		rule->once_sound &= is_once_sound(other);
	}
	qsort(rule->keys, rule->n_keys, sizeof(*rule->keys), compare_keys);
}

/* Weighs all keys. Returns the one that explains the losses best, the one of the earliest loss
 * of several; NULL when too few servers were lost under any key.
 */
static const evidence_key_t *find_best_key(const evidence_t *evidence)
{
	const evidence_key_t *best = NULL;

	for (guint i = 0; i < evidence->keys->len; i++) {
		evidence_key_t *key =
			&g_array_index(evidence->keys, evidence_key_t, i);

		key->weight = weigh(evidence, key);
	}
	for (unsigned i = 0; i < evidence->n_losses; i++) {
		for (unsigned k = 0; k < evidence->losses[i].n_keys; k++) {
			const evidence_key_t *key =
				evidence_key(evidence, i, k);

			if (evidence_set_has(&key->losses, i) &&
			    key->weight > (best ? best->weight : 0))
				best = key;
		}
	}
	return best;
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

/* Adds the rules on the keys that explain the losses of the same servers as well
 * as the best one: nothing tells them apart.
 */
static void add_rules(const evidence_t *evidence, const evidence_key_t *best,
		      GArray *rules)
{
	for (guint i = 0; i < evidence->keys->len; i++) {
		const evidence_key_t *key =
			&g_array_index(evidence->keys, evidence_key_t, i);
		quarantine_rule_t rule = {0};

		if (key->weight < best->weight ||
		    !evidence_set_is_within(&key->servers, &best->servers))
			continue;
		fill_rule(evidence, key, &rule);
		if (!quarantine_find_equal(rules, &rule))
			g_array_append_val(rules, rule);
	}
}

/* Finds the rules that losses support, an array of quarantine_loss_t. With more than
 * QUARANTINE_CAUSES_MAX causes there are none. Returns whether that is so.
 */
bool quarantine_find_rules(const quarantine_t *quarantine, const GArray *losses,
			   GArray *rules)
{
	const evidence_key_t *best;
	evidence_t evidence;
	unsigned causes = 0;

	g_array_set_size(rules, 0);
	evidence_init(&evidence, quarantine, losses);
	while (causes <= QUARANTINE_CAUSES_MAX &&
	       (best = find_best_key(&evidence))) {
		add_rules(&evidence, best, rules);
		evidence_remove_servers(&evidence, best->servers);
		causes++;
	}
	evidence_finish(&evidence);
	if (causes > QUARANTINE_CAUSES_MAX)
		g_array_set_size(rules, 0);
	return causes > QUARANTINE_CAUSES_MAX;
}
