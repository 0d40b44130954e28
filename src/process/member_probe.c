#include "process/member_probe.h"

/* Multiplies the waits of a process whose probes fail without any answer from
 * the helpers either: the fault is then probably its own.
 */
#define LOCAL_HEALTH_PENALTY_MAX 2
/* Answers in a row without news that end joining. */
#define JOIN_STALE_ANSWERS 3

/* Returns a random number from 0 to below the limit. */
uint32_t member_random_below(members_t *members, uint32_t limit)
{
	return members->random(members->context) % limit;
}

/* Lengthens a wait while the own process seems to be in trouble. */
int64_t member_scale_wait(const members_t *members, int64_t wait_us)
{
	return wait_us * (1 + (int64_t)members->local_health_penalty);
}

/*
 * Takes in the answer to a heartbeat. A probe succeeds only when the answer
 * comes from the VM that was probed, as another may have its address now.
 */
void member_receive_ack(members_t *members, int64_t now_us, uint64_t probe,
			const member_message_t *message)
{
	uint64_t updates_applied = members->updates_applied;

	member_merge_message(members, now_us, message);
	members->join_stale_answers = members->updates_applied ==
						      updates_applied
					      ? members->join_stale_answers + 1
					      : 0;
	if (members->probe.active && members->probe.id == probe &&
	    strcmp(members->probe.vm, message->self.vm) == 0) {
		members->probe.active = false;
		if (members->local_health_penalty > 0)
			members->local_health_penalty--;
	}
}

/* Takes in a helper's answer: whether it reached the target. */
void member_receive_indirect_result(members_t *members, uint64_t probe,
				    bool reached)
{
	if (!members->probe.active || members->probe.id != probe)
		return;
	members->probe.helper_answered = true;
	if (reached)
		members->probe.active = false;
}

static bool is_live_address(const members_t *members, const char *address)
{
	if (strcmp(address, members->self.info.address) == 0)
		return true;
	for (guint i = 0; i < members->list->len; i++) {
		const member_t *member = g_ptr_array_index(members->list, i);

		if (member_is_live(member) &&
		    strcmp(member->info.address, address) == 0)
			return true;
	}
	return false;
}

static void collect_unknown(const members_t *members, const GPtrArray *from,
			    GPtrArray *to)
{
	for (guint i = 0; i < from->len; i++) {
		char *address = g_ptr_array_index(from, i);

		if (!is_live_address(members, address))
			g_ptr_array_add(to, address);
	}
}

/* Picks an address that no live member has: a first contact, one of the VM
 * list or a dead member.
 */
static bool pick_contact(members_t *members, char address[MEMBER_ADDRESS_SIZE])
{
	GPtrArray *candidates = g_ptr_array_new();
	bool found;

	collect_unknown(members, members->contact_addresses, candidates);
	collect_unknown(members, members->vm_list_addresses, candidates);
	for (guint i = 0; i < members->list->len; i++) {
		member_t *member = g_ptr_array_index(members->list, i);

		if (member->info.state == MEMBER_DEAD &&
		    !is_live_address(members, member->info.address))
			g_ptr_array_add(candidates, member->info.address);
	}
	found = candidates->len > 0;
	if (found) {
		guint chosen = member_random_below(members, candidates->len);

		g_strlcpy(address, candidates->pdata[chosen],
			  MEMBER_ADDRESS_SIZE);
	}
	g_ptr_array_unref(candidates);
	return found;
}

/* Picks a random live member other than the named one; NULL when none. */
static member_t *pick_live(members_t *members, const char *except)
{
	guint n = members->list->len;
	guint start = n > 0 ? member_random_below(members, n) : 0;

	for (guint i = 0; i < n; i++) {
		member_t *member =
			g_ptr_array_index(members->list, (start + i) % n);

		if (member && member_is_live(member) &&
		    strcmp(member->info.vm, except) != 0)
			return member;
	}
	return NULL;
}

static void shuffle(members_t *members)
{
	for (guint i = members->list->len; i > 1; i--) {
		guint j = member_random_below(members, i);
		gpointer *data = members->list->pdata;
		gpointer swapped = data[i - 1];

		data[i - 1] = data[j];
		data[j] = swapped;
	}
}

/* Returns the next live member in probing order; every member is probed once
 * in each round.
 */
static member_t *next_target(members_t *members)
{
	for (guint tries = members->list->len; tries > 0; tries--) {
		member_t *member;

		if (members->probe_index >= members->list->len) {
			shuffle(members);
			members->probe_index = 0;
		}
		member = g_ptr_array_index(members->list,
					   members->probe_index++);
		if (member_is_live(member))
			return member;
	}
	return NULL;
}

typedef struct {
	member_action_t *list;
	size_t n;
} actions_t;

static member_action_t *add_action(actions_t *actions,
				   member_action_kind_t kind,
				   const char *address, int64_t deadline_us)
{
	member_action_t *action = &actions->list[actions->n++];

	memset(action, 0, sizeof(*action));
	action->kind = kind;
	action->deadline_us = deadline_us;
	g_strlcpy(action->address, address, sizeof(action->address));
	return action;
}

static void start_probe(members_t *members, int64_t now_us, actions_t *actions)
{
	member_probe_t *probe = &members->probe;
	member_t *target = next_target(members);
	member_action_t *action;

	members->next_probe_us =
		now_us + member_scale_wait(members, MEMBER_PROBE_PERIOD_US);
	if (!target)
		return;
	memset(probe, 0, sizeof(*probe));
	probe->id = ++members->last_probe_id;
	probe->active = true;
	probe->direct_end_us =
		now_us + member_scale_wait(members, MEMBER_DIRECT_WAIT_US);
	probe->end_us = members->next_probe_us;
	g_strlcpy(probe->vm, target->info.vm, sizeof(probe->vm));
	action = add_action(actions, MEMBER_PING, target->info.address,
			    probe->end_us);
	action->probe = probe->id;
	g_strlcpy(action->vm, target->info.vm, sizeof(action->vm));
}

static void ask_helpers(members_t *members, actions_t *actions)
{
	member_probe_t *probe = &members->probe;
	const member_t *target = g_hash_table_lookup(members->by_vm, probe->vm);
	const member_t *asked[MEMBER_HELPERS_MAX];

	probe->relayed = true;
	if (!target)
		return;
	for (size_t n = 0; n < MEMBER_HELPERS_MAX; n++) {
		member_action_t *action;
		bool again = false;

		asked[n] = pick_live(members, probe->vm);
		for (size_t i = 0; i < n; i++)
			again = again || asked[i] == asked[n];
		if (!asked[n] || again)
			continue;
		probe->asked = true;
		action = add_action(actions, MEMBER_PING_REQ,
				    asked[n]->info.address, probe->end_us);
		action->probe = probe->id;
		g_strlcpy(action->vm, target->info.vm, sizeof(action->vm));
		g_strlcpy(action->target, target->info.address,
			  sizeof(action->target));
	}
}

static void fail_probe(members_t *members, int64_t now_us)
{
	member_probe_t *probe = &members->probe;
	member_t *target = g_hash_table_lookup(members->by_vm, probe->vm);

	probe->active = false;
	if (probe->asked && !probe->helper_answered &&
	    members->local_health_penalty < LOCAL_HEALTH_PENALTY_MAX)
		members->local_health_penalty++;
	if (target && target->info.state < MEMBER_SUSPECT)
		member_change_state(members, target, MEMBER_SUSPECT, now_us);
}

static void update_probe(members_t *members, int64_t now_us, actions_t *actions)
{
	member_probe_t *probe = &members->probe;

	if (probe->active && now_us >= probe->end_us)
		fail_probe(members, now_us);
	if (probe->active && !probe->relayed && now_us >= probe->direct_end_us)
		ask_helpers(members, actions);
	if (now_us >= members->next_probe_us)
		start_probe(members, now_us, actions);
}

/* Ends suspicions, and forgets members that have been dead for long. */
static void expire_states(members_t *members, int64_t now_us)
{
	for (guint i = members->list->len; i > 0; i--) {
		member_t *member = g_ptr_array_index(members->list, i - 1);

		if (member->info.state < MEMBER_SUSPECT ||
		    now_us < member->state_end_us)
			continue;
		if (member->info.state == MEMBER_SUSPECT) {
			member_change_state(members, member, MEMBER_DEAD,
					    now_us);
			continue;
		}
		g_ptr_array_remove_index(members->list, i - 1);
		g_hash_table_remove(members->by_vm, member->info.vm);
	}
}

static void ping_contact(members_t *members, int64_t now_us, actions_t *actions)
{
	bool alone = pick_live(members, "") == NULL;
	char address[MEMBER_ADDRESS_SIZE];

	if (now_us < members->next_contact_us)
		return;
	members->next_contact_us = now_us + (alone ? MEMBER_PROBE_PERIOD_US
						   : MEMBER_CONTACT_PERIOD_US);
	if (pick_contact(members, address))
		add_action(actions, MEMBER_PING, address,
			   now_us + MEMBER_PROBE_PERIOD_US);
}

/* Pings more often at the start, until the answers teach nothing new. */
static void ping_while_joining(members_t *members, int64_t now_us,
			       actions_t *actions)
{
	const member_t *member;

	if (members->join_stale_answers >= JOIN_STALE_ANSWERS ||
	    now_us < members->next_join_us)
		return;
	members->next_join_us = now_us + MEMBER_JOIN_PERIOD_US;
	member = pick_live(members, "");
	if (member)
		add_action(actions, MEMBER_PING, member->info.address,
			   now_us + MEMBER_PROBE_PERIOD_US);
}

/*
 * A process that was stopped and continues has missed answers and refutations.
 * It drops its probe and gives every suspect the missed time again.
 */
static void check_pause(members_t *members, int64_t now_us)
{
	int64_t late_us = now_us - members->expected_tick_us;

	if (late_us < MEMBER_PAUSE_MIN_US)
		return;
	members->probe.active = false;
	for (guint i = 0; i < members->list->len; i++) {
		member_t *member = g_ptr_array_index(members->list, i);

		if (member->info.state == MEMBER_SUSPECT)
			member->state_end_us += late_us;
	}
}

/* Returns when member_tick() is to be called next. */
int64_t member_next_tick_us(const members_t *members)
{
	const member_probe_t *probe = &members->probe;
	int64_t next_us = MIN(members->next_probe_us, members->next_contact_us);

	if (probe->active && !probe->relayed)
		next_us = MIN(next_us, probe->direct_end_us);
	if (members->join_stale_answers < JOIN_STALE_ANSWERS)
		next_us = MIN(next_us, members->next_join_us);
	return next_us;
}

/*
 * Runs what is due and stores the messages to send; returns their number. To
 * be called at member_next_tick_us(), which may come earlier after every call.
 */
size_t member_tick(members_t *members, int64_t now_us,
		   member_action_t actions[MEMBER_ACTIONS_MAX])
{
	actions_t out = {actions, 0};

	check_pause(members, now_us);
	expire_states(members, now_us);
	update_probe(members, now_us, &out);
	ping_contact(members, now_us, &out);
	ping_while_joining(members, now_us, &out);
	members->expected_tick_us = member_next_tick_us(members);
	return out.n;
}

/*
 * Gives heartbeats to several members at once, to announce a change of the own
 * state; returns their number.
 */
size_t member_announce(members_t *members, int64_t now_us,
		       member_action_t actions[MEMBER_ACTIONS_MAX])
{
	actions_t out = {actions, 0};
	guint n = members->list->len;
	guint start = n > 0 ? member_random_below(members, n) : 0;

	for (guint i = 0; i < n && out.n < MEMBER_ACTIONS_MAX; i++) {
		const member_t *member =
			g_ptr_array_index(members->list, (start + i) % n);

		if (member_is_live(member))
			add_action(&out, MEMBER_PING, member->info.address,
				   now_us + MEMBER_PROBE_PERIOD_US);
	}
	return out.n;
}
