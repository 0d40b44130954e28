#include "process/decide/quarantine.h"

#include "process/decide/quarantine_rules.h"
#include "process/decide/quarantine_trial.h"

/* A server that sends something between these times after a loss still runs, so
 * that only the connection was lost. What a slow VM reads earlier may have been sent
 * before the loss.
 */
#define ALIVE_FROM_US INT64_C(100000)
#define ALIVE_UNTIL_US INT64_C(1500000)

/* What a server sends later may come from a process that has started again with
 * the same ID. The list of servers tells so within this time.
 */
#define RESTART_LISTED_US INT64_C(3000000)

/* Losses are announced for this long. What an announcement of their VM no longer
 * holds before WITHDRAWN_UNTIL_US was withdrawn there.
 */
#define ANNOUNCE_US INT64_C(60000000)
#define WITHDRAWN_UNTIL_US INT64_C(5000000)

/* Stands for the process of the VM that has seen a loss which was read from the store. */
#define STORED_LOSS_VM UINT64_MAX

/* A loss that this VM has seen or that a peer has announced. */
typedef struct {
	quarantine_loss_t loss;
	uint64_t vm; /* identifies the peer's process; 0: this VM */
	server_t *server; /* owns a reference; NULL: not known */
	/* When it was first seen that the server sends again; 0: it does not. */
	int64_t heard_us;
	bool refuted; /* the server still runs: the loss does not count */
	bool confirmed; /* the server is gone */
} entry_t;

/* Frees an entry of the losses. */
static void clear_entry(gpointer data)
{
	entry_t *entry = data;

	if (entry->server)
		server_unref(entry->server);
}

/* Sets up an object without evidence and rules. */
void quarantine_init(quarantine_t *quarantine,
		     server_t *(*find_server)(void *context, uint64_t process),
		     void *context)
{
	memset(quarantine, 0, sizeof(*quarantine));
	quarantine->find_server = find_server;
	quarantine->context = context;
	quarantine->losses = g_array_new(FALSE, FALSE, sizeof(entry_t));
	g_array_set_clear_func(quarantine->losses, clear_entry);
	sound_keys_init(&quarantine->sound);
	quarantine->stored =
		g_array_new(FALSE, FALSE, sizeof(quarantine_rule_t));
	quarantine->rules =
		g_array_new(FALSE, FALSE, sizeof(quarantine_rule_t));
	quarantine->confirmed =
		g_array_new(FALSE, FALSE, sizeof(quarantine_rule_t));
	quarantine->trials =
		g_array_new(FALSE, FALSE, sizeof(quarantine_trial_t));
}

/* Frees what the object owns. */
void quarantine_finish(quarantine_t *quarantine)
{
	g_array_unref(quarantine->losses);
	sound_keys_finish(&quarantine->sound);
	g_array_unref(quarantine->stored);
	g_array_unref(quarantine->rules);
	g_array_unref(quarantine->confirmed);
	g_array_unref(quarantine->trials);
}

/* --- evidence ----------------------------------------------------------- */

/* Returns an entry of the losses. */
static entry_t *get_entry(const quarantine_t *quarantine, guint i)
{
	return &g_array_index(quarantine->losses, entry_t, i);
}

/* Returns whether a loss has a key. */
static bool has_key(const quarantine_loss_t *loss, uint64_t key)
{
	for (unsigned i = 0; i < loss->n_keys; i++) {
		if (loss->keys[i] == key)
			return true;
	}
	return false;
}

/* Returns whether a loss has all keys of a rule. */
static bool has_all_keys(const quarantine_loss_t *loss,
			 const quarantine_rule_t *rule)
{
	for (unsigned i = 0; i < rule->n_keys; i++) {
		if (!has_key(loss, rule->keys[i]))
			return false;
	}
	return true;
}

/* Marks the latest losses under a rule, each of another server. */
static void mark_latest(const quarantine_t *quarantine,
			const quarantine_rule_t *rule, bool *marked)
{
	uint64_t servers[QUARANTINE_LOSSES_OF_RULE];
	unsigned n = 0;

	for (guint i = quarantine->losses->len;
	     i-- > 0 && n < QUARANTINE_LOSSES_OF_RULE;) {
		const entry_t *entry = get_entry(quarantine, i);
		bool known = false;

		if (entry->refuted || !has_all_keys(&entry->loss, rule))
			continue;
		for (unsigned k = 0; k < n && !known; k++)
			known = servers[k] == entry->loss.server;
		if (known)
			continue;
		marked[i] = true;
		servers[n++] = entry->loss.server;
	}
}

/* Makes room for a loss when as many are kept as may be: removes the oldest one on which no rule
 * in force rests, or the oldest one.
 */
static void make_room(quarantine_t *quarantine)
{
	bool needed[QUARANTINE_LOSSES_MAX] = {false};
	guint i = 0;

	if (quarantine->losses->len < QUARANTINE_LOSSES_MAX)
		return;
	for (guint k = 0; k < quarantine->rules->len; k++)
		mark_latest(quarantine,
			    &g_array_index(quarantine->rules, quarantine_rule_t,
					   k),
			    needed);
	while (i < QUARANTINE_LOSSES_MAX && needed[i])
		i++;
	g_array_remove_index(quarantine->losses,
			     i < QUARANTINE_LOSSES_MAX ? i : 0);
}

/* Adds an entry. */
static void add_entry(quarantine_t *quarantine, const entry_t *entry)
{
	make_room(quarantine);
	g_array_append_vals(quarantine->losses, entry, 1);
	quarantine->changed = true;
}

/* Adds to a loss as many of the keys as fit that are, or are not, known to be
 * sound.
 */
static void add_keys(const quarantine_t *quarantine, quarantine_loss_t *loss,
		     const uint64_t *keys, size_t n_keys, bool sound)
{
	for (size_t i = 0; i < n_keys && loss->n_keys < QUARANTINE_KEYS_MAX;
	     i++) {
		if ((sound_keys_anywhere_us(&quarantine->sound, keys[i]) !=
		     SOUND_NEVER_US) == sound)
			loss->keys[loss->n_keys++] = keys[i];
	}
}

/* Records that the connection to a server was lost while it began a request. The
 * loss is refuted if the server turns out to run. `process` identifies the
 * server's process at all VMs.
 */
void quarantine_add_loss(quarantine_t *quarantine, server_t *server,
			 uint64_t process, const uint64_t *keys, size_t n_keys,
			 int64_t now_us)
{
	entry_t entry = {
		.loss = {.server = process, .lost_us = now_us},
	};

	if (n_keys == 0)
		return;
	add_keys(quarantine, &entry.loss, keys, n_keys, false);
	add_keys(quarantine, &entry.loss, keys, n_keys, true);
	entry.server = server_ref(server);
	add_entry(quarantine, &entry);
}

/* Returns whether a key was on a loss after a time. */
static bool is_lost_after(const quarantine_t *quarantine, uint64_t key,
			  int64_t after_us)
{
	for (guint i = 0; i < quarantine->losses->len; i++) {
		const quarantine_loss_t *loss = &get_entry(quarantine, i)->loss;

		if (loss->lost_us > after_us && has_key(loss, key))
			return true;
	}
	return false;
}

/* Records that a request with these keys has begun well. */
void quarantine_add_sound(quarantine_t *quarantine, const uint64_t *keys,
			  size_t n_keys, int64_t now_us)
{
	for (size_t i = 0; i < n_keys; i++) {
		int64_t before_us =
			sound_keys_anywhere_us(&quarantine->sound, keys[i]);

		sound_keys_add(&quarantine->sound, keys[i], now_us);
		quarantine->changed |=
			is_lost_after(quarantine, keys[i], before_us);
	}
}

/* Records that a request with a key that is on no loss has begun well. Of keys that
 * nearly each request has its own of, those that come often are kept.
 */
void quarantine_add_recent(quarantine_t *quarantine, uint64_t key,
			   int64_t now_us)
{
	sound_keys_add_recent(&quarantine->sound, key, now_us);
}

/* Records when a request with a key last began well at a peer. */
void quarantine_add_peer_sound(quarantine_t *quarantine,
			       const sound_key_t *sound)
{
	int64_t before_us =
		sound_keys_anywhere_us(&quarantine->sound, sound->key);

	if (sound->seen_us <= before_us)
		return;
	sound_keys_add_peer(&quarantine->sound, sound);
	quarantine->changed |= is_lost_after(quarantine, sound->key, before_us);
}

/* Returns whether two losses are of the same request and server. */
static bool is_same_loss(const quarantine_loss_t *a, const quarantine_loss_t *b)
{
	return a->server == b->server && a->n_keys == b->n_keys &&
	       memcmp(a->keys, b->keys, a->n_keys * sizeof(*a->keys)) == 0;
}

/* Returns whether a peer's loss is known already. */
static bool is_known(const quarantine_t *quarantine, uint64_t vm,
		     const quarantine_loss_t *loss)
{
	for (guint i = 0; i < quarantine->losses->len; i++) {
		const entry_t *entry = get_entry(quarantine, i);

		if (entry->vm == vm && is_same_loss(&entry->loss, loss))
			return true;
	}
	return false;
}

/* Drops the losses of a peer that its announcement no longer holds although they
 * are recent: the peer has withdrawn them.
 */
static void drop_withdrawn(quarantine_t *quarantine, uint64_t vm,
			   const quarantine_loss_t *losses, size_t n_losses,
			   int64_t now_us)
{
	for (guint i = quarantine->losses->len; i-- > 0;) {
		const entry_t *entry = get_entry(quarantine, i);
		bool announced = false;

		if (entry->vm != vm ||
		    now_us - entry->loss.lost_us >= WITHDRAWN_UNTIL_US)
			continue;
		for (size_t k = 0; k < n_losses; k++)
			announced |= is_same_loss(&entry->loss, &losses[k]);
		if (announced)
			continue;
		g_array_remove_index(quarantine->losses, i);
		quarantine->changed = true;
	}
}

/* Adds a loss that another VM has seen. */
static void add_loss_of(quarantine_t *quarantine, uint64_t vm,
			const quarantine_loss_t *loss)
{
	entry_t entry = {.loss = *loss, .vm = vm};

	entry.server =
		quarantine->find_server(quarantine->context, loss->server);
	if (entry.server)
		(void)server_ref(entry.server);
	add_entry(quarantine, &entry);
}

/* Applies the losses that a peer announces. `vm` identifies the peer's process and
 * is not 0; the losses of an earlier process are kept.
 */
void quarantine_apply_peer(quarantine_t *quarantine, uint64_t vm,
			   const quarantine_loss_t *losses, size_t n_losses,
			   int64_t now_us)
{
	drop_withdrawn(quarantine, vm, losses, n_losses, now_us);
	for (size_t i = 0; i < n_losses; i++) {
		if (!is_known(quarantine, vm, &losses[i]))
			add_loss_of(quarantine, vm, &losses[i]);
	}
}

/* Returns whether a loss of the same server with all keys of another loss is known. */
static bool is_covered(const quarantine_t *quarantine,
		       const quarantine_loss_t *loss)
{
	quarantine_rule_t rule = {.n_keys = loss->n_keys};

	memcpy(rule.keys, loss->keys, sizeof(rule.keys));
	for (guint i = 0; i < quarantine->losses->len; i++) {
		const quarantine_loss_t *known =
			&get_entry(quarantine, i)->loss;

		if (known->server == loss->server && has_all_keys(known, &rule))
			return true;
	}
	return false;
}

/* Adds a loss that VMs which have ended had stored, unless it is known. It counts like one
 * that a peer announces.
 */
void quarantine_add_stored_loss(quarantine_t *quarantine,
				const quarantine_loss_t *loss)
{
	if (!is_covered(quarantine, loss))
		add_loss_of(quarantine, STORED_LOSS_VM, loss);
}

/* Replaces `losses`, of quarantine_loss_t, by the latest losses of different servers under a
 * rule, QUARANTINE_LOSSES_OF_RULE at most.
 */
void quarantine_list_under(const quarantine_t *quarantine,
			   const quarantine_rule_t *rule, GArray *losses)
{
	bool marked[QUARANTINE_LOSSES_MAX] = {false};

	mark_latest(quarantine, rule, marked);
	g_array_set_size(losses, 0);
	for (guint i = 0; i < quarantine->losses->len; i++) {
		if (marked[i])
			g_array_append_val(losses,
					   get_entry(quarantine, i)->loss);
	}
}

/* Returns whether the process of a loss is gone: it is not known any more, or its
 * address answers as another one.
 */
static bool is_gone(const entry_t *entry)
{
	return !entry->server || entry->server->removed ||
	       !server_has_address(entry->server);
}

/* Returns whether the server of a loss has turned out to run, by what this VM has
 * received from it since.
 */
static bool still_runs(entry_t *entry, int64_t now_us)
{
	int64_t lost_us = entry->loss.lost_us;
	int64_t received_us = entry->server->last_received_us;

	if (received_us < lost_us + ALIVE_FROM_US ||
	    server_is_suspect(entry->server))
		return false;
	if (entry->heard_us == 0)
		entry->heard_us = now_us;
	return received_us < lost_us + ALIVE_UNTIL_US ||
	       now_us - entry->heard_us >= RESTART_LISTED_US;
}

/* Finds out which losses were of servers that still run, and which of servers that
 * are gone; one whose address was taken for another's may turn out to run. Drops those
 * that are too old to count.
 */
static void check_losses(quarantine_t *quarantine, int64_t now_us)
{
	for (guint i = quarantine->losses->len; i-- > 0;) {
		entry_t *entry = get_entry(quarantine, i);
		bool was_confirmed;

		if (now_us - entry->loss.lost_us >= QUARANTINE_US) {
			g_array_remove_index(quarantine->losses, i);
			quarantine->changed = true;
			continue;
		}
		if (entry->refuted)
			continue;
		was_confirmed = entry->confirmed;
		entry->confirmed = is_gone(entry);
		entry->refuted = !entry->confirmed && still_runs(entry, now_us);
		quarantine->changed |= entry->confirmed != was_confirmed ||
				       entry->refuted;
	}
}

/* Drops rules from the store that have ended. */
static void check_stored(quarantine_t *quarantine, int64_t now_us)
{
	for (guint i = quarantine->stored->len; i-- > 0;) {
		const quarantine_rule_t *rule = &g_array_index(
			quarantine->stored, quarantine_rule_t, i);

		if (now_us - rule->lost_us < QUARANTINE_US)
			continue;
		g_array_remove_index(quarantine->stored, i);
		quarantine->changed = true;
	}
}

/* --- rules -------------------------------------------------------------- */

/* Returns the losses of all VMs that are not refuted, or only the confirmed ones,
 * as a new array of quarantine_loss_t.
 */
static GArray *list_losses(const quarantine_t *quarantine, bool confirmed)
{
	GArray *losses = g_array_new(FALSE, FALSE, sizeof(quarantine_loss_t));

	for (guint i = 0; i < quarantine->losses->len; i++) {
		const entry_t *entry = get_entry(quarantine, i);

		if (entry->confirmed || (!confirmed && !entry->refuted))
			g_array_append_val(losses, entry->loss);
	}
	return losses;
}

/* Returns whether this VM knows all losses on which a rule from the store rested,
 * so that its own rules take the place of that one.
 */
static bool knows_losses_of(const quarantine_t *quarantine,
			    const quarantine_rule_t *rule)
{
	GHashTable *servers = g_hash_table_new(g_int64_hash, g_int64_equal);
	bool all;

	for (guint i = 0; i < quarantine->losses->len; i++) {
		quarantine_loss_t *loss = &get_entry(quarantine, i)->loss;

		if (has_all_keys(loss, rule))
			g_hash_table_add(servers, &loss->server);
	}
	all = rule->servers > 0 && g_hash_table_size(servers) >= rule->servers;
	g_hash_table_unref(servers);
	return all;
}

/* Lets a rule from the store reach to the last known loss under it. */
static void extend_stored(const quarantine_t *quarantine,
			  quarantine_rule_t *rule)
{
	for (guint i = 0; i < quarantine->losses->len; i++) {
		const entry_t *entry = get_entry(quarantine, i);

		if (!entry->refuted && has_all_keys(&entry->loss, rule))
			rule->lost_us = MAX(rule->lost_us, entry->loss.lost_us);
	}
}

/* Adds the rules from the store to those that the losses support. */
static void add_stored(quarantine_t *quarantine)
{
	for (guint i = 0; i < quarantine->stored->len; i++) {
		quarantine_rule_t *rule = &g_array_index(quarantine->stored,
							 quarantine_rule_t, i);

		extend_stored(quarantine, rule);
		if (!quarantine_find_equal(quarantine->rules, rule) &&
		    !knows_losses_of(quarantine, rule))
			g_array_append_vals(quarantine->rules, rule, 1);
	}
}

/* Returns the rule from the store under which the last loss is the oldest; there must be one. */
static quarantine_rule_t *oldest_stored(const quarantine_t *quarantine)
{
	quarantine_rule_t *oldest =
		&g_array_index(quarantine->stored, quarantine_rule_t, 0);

	for (guint i = 1; i < quarantine->stored->len; i++) {
		quarantine_rule_t *rule = &g_array_index(quarantine->stored,
							 quarantine_rule_t, i);

		if (rule->lost_us < oldest->lost_us)
			oldest = rule;
	}
	return oldest;
}

/* Adds or replaces a rule from the store; when there are QUARANTINE_STORED_MAX others, in place
 * of the oldest. Returns false if it is not used, as it is older than all of them.
 */
bool quarantine_put_stored(quarantine_t *quarantine,
			   const quarantine_rule_t *rule)
{
	quarantine_rule_t *place =
		quarantine_find_equal(quarantine->stored, rule);

	if (!place && quarantine->stored->len >= QUARANTINE_STORED_MAX) {
		place = oldest_stored(quarantine);
		if (place->lost_us >= rule->lost_us)
			return false;
	}
	if (place)
		*place = *rule;
	else
		g_array_append_vals(quarantine->stored, rule, 1);
	quarantine->changed = true;
	return true;
}

/* Ends a rule that was removed from the store, with the losses under it. */
void quarantine_remove_stored(quarantine_t *quarantine,
			      const quarantine_rule_t *rule)
{
	for (guint i = quarantine->stored->len; i-- > 0;) {
		if (quarantine_rule_equal(&g_array_index(quarantine->stored,
							 quarantine_rule_t, i),
					  rule))
			g_array_remove_index(quarantine->stored, i);
	}
	for (guint i = quarantine->losses->len; i-- > 0;) {
		if (has_all_keys(&get_entry(quarantine, i)->loss, rule))
			g_array_remove_index(quarantine->losses, i);
	}
	quarantine->changed = true;
}

/* Returns whether there are losses or rules. Without any, no request is held. */
bool quarantine_has_evidence(const quarantine_t *quarantine)
{
	return quarantine->losses->len + quarantine->stored->len +
		       quarantine->rules->len >
	       0;
}

/* Returns whether a key is on a loss or in a rule. */
bool quarantine_is_suspect(const quarantine_t *quarantine, uint64_t key)
{
	for (guint i = 0; i < quarantine->rules->len; i++) {
		const quarantine_rule_t *rule =
			&g_array_index(quarantine->rules, quarantine_rule_t, i);

		for (unsigned k = 0; k < rule->n_keys; k++) {
			if (rule->keys[k] == key)
				return true;
		}
	}
	return is_lost_after(quarantine, key, INT64_MIN);
}

/* Checks the evidence and computes the rules again if it has changed. Returns
 * whether they were. To be called at short intervals.
 */
bool quarantine_update(quarantine_t *quarantine, int64_t now_us)
{
	GArray *losses;

	if (!quarantine_has_evidence(quarantine))
		return false;
	check_losses(quarantine, now_us);
	check_stored(quarantine, now_us);
	if (!quarantine->changed)
		return false;
	quarantine->changed = false;
	losses = list_losses(quarantine, true);
	(void)quarantine_find_rules(quarantine, losses, quarantine->confirmed);
	g_array_unref(losses);
	losses = list_losses(quarantine, false);
	quarantine->overflowed =
		quarantine_find_rules(quarantine, losses, quarantine->rules);
	g_array_unref(losses);
	if (!quarantine->overflowed)
		add_stored(quarantine);
	quarantine_drop_trials(quarantine);
	return true;
}

/* Returns whether a rule holds for keys: it has one that no later success
 * clears, and all such keys are among the given ones.
 */
static bool matches(const quarantine_t *quarantine,
		    const quarantine_rule_t *rule, const uint64_t *keys,
		    size_t n_keys)
{
	bool any = false;

	for (unsigned i = 0; i < rule->n_keys; i++) {
		bool found = false;

		if (sound_keys_anywhere_us(&quarantine->sound, rule->keys[i]) >
		    rule->lost_us)
			continue;
		for (size_t k = 0; k < n_keys && !found; k++)
			found = keys[k] == rule->keys[i];
		if (!found)
			return false;
		any = true;
	}
	return any;
}

/* Returns a rule by which a request with these keys is not to be sent, or NULL;
 * valid until the rules change.
 */
const quarantine_rule_t *quarantine_match(quarantine_t *quarantine,
					  const uint64_t *keys, size_t n_keys,
					  int64_t now_us)
{
	(void)quarantine_update(quarantine, now_us);
	for (guint i = 0; n_keys > 0 && i < quarantine->rules->len; i++) {
		const quarantine_rule_t *rule =
			&g_array_index(quarantine->rules, quarantine_rule_t, i);

		if (matches(quarantine, rule, keys, n_keys))
			return rule;
	}
	return NULL;
}

/* Returns since when requests that have begun well at this VM show that a rule does not
 * hold: each of its keys has been seen sound after the last loss. SOUND_NEVER_US: they do not.
 */
int64_t quarantine_refuted_here_us(const quarantine_t *quarantine,
				   const quarantine_rule_t *rule)
{
	int64_t since_us = SOUND_NEVER_US;

	for (unsigned i = 0; i < rule->n_keys; i++) {
		int64_t sound_us =
			sound_keys_here_us(&quarantine->sound, rule->keys[i]);

		if (sound_us <= rule->lost_us)
			return SOUND_NEVER_US;
		since_us = MAX(since_us, sound_us);
	}
	return since_us;
}

/* --- announcements ------------------------------------------------------ */

/* Returns whether this VM has seen a loss under a rule itself. */
bool quarantine_has_own_loss(const quarantine_t *quarantine,
			     const quarantine_rule_t *rule)
{
	for (guint i = 0; i < quarantine->losses->len; i++) {
		const entry_t *entry = get_entry(quarantine, i);

		if (entry->vm == 0 && !entry->refuted &&
		    has_all_keys(&entry->loss, rule))
			return true;
	}
	return false;
}

/* Replaces `losses`, of quarantine_loss_t, by those of this VM that are to be
 * announced: the latest ones.
 */
void quarantine_list_own(const quarantine_t *quarantine, GArray *losses,
			 int64_t now_us)
{
	g_array_set_size(losses, 0);
	for (guint i = quarantine->losses->len;
	     i-- > 0 && losses->len < QUARANTINE_LOSSES_ANNOUNCED;) {
		const entry_t *entry = get_entry(quarantine, i);

		if (entry->vm == 0 && !entry->refuted &&
		    now_us - entry->loss.lost_us < ANNOUNCE_US)
			g_array_append_val(losses, entry->loss);
	}
}

/* Adds a key to the sound ones if this VM knows it to be sound and it is not
 * among them yet.
 */
static void list_if_sound(const quarantine_t *quarantine, uint64_t key,
			  GArray *sound)
{
	sound_key_t item = {.key = key,
			    .seen_us = sound_keys_here_us(&quarantine->sound,
							  key)};

	if (item.seen_us == SOUND_NEVER_US ||
	    sound->len >= QUARANTINE_SOUND_ANNOUNCED)
		return;
	for (guint i = 0; i < sound->len; i++) {
		if (g_array_index(sound, sound_key_t, i).key == key)
			return;
	}
	g_array_append_val(sound, item);
}

/* Replaces `sound`, of sound_key_t, by the keys that this VM knows to be
 * sound and that are to be announced: those of rules and of recent losses.
 */
void quarantine_list_sound(const quarantine_t *quarantine, GArray *sound,
			   int64_t now_us)
{
	g_array_set_size(sound, 0);
	for (guint i = 0; i < quarantine->rules->len; i++) {
		const quarantine_rule_t *rule =
			&g_array_index(quarantine->rules, quarantine_rule_t, i);

		for (unsigned k = 0; k < rule->n_keys; k++)
			list_if_sound(quarantine, rule->keys[k], sound);
	}
	for (guint i = quarantine->losses->len; i-- > 0;) {
		const quarantine_loss_t *loss = &get_entry(quarantine, i)->loss;

		for (unsigned k = 0;
		     now_us - loss->lost_us < ANNOUNCE_US && k < loss->n_keys;
		     k++)
			list_if_sound(quarantine, loss->keys[k], sound);
	}
}
