#include "process/member.h"

#include "process/member_probe.h"

#include <math.h>
#include <xxhash.h>

/* Messages that carry an update, for each doubling of the number of members.
 * Gossip reaches all members after a number of rounds that grows with the
 * logarithm of their number.
 */
#define UPDATE_SENDS_FACTOR 3

/* Copies a string into an array of the given size. */
static void copy_text(char *to, const char *from, size_t size)
{
	g_strlcpy(to, from, size);
}

/* Sets up a membership whose only member is this process. VM, zone, address and
 * incarnation are taken from self; context must outlive the membership.
 */
void member_init(members_t *members, const member_info_t *self,
		 member_random_fn_t random, member_change_fn_t changed,
		 void *context, int64_t now_us)
{
	memset(members, 0, sizeof(*members));
	members->self.info = *self;
	members->random = random;
	members->changed = changed;
	members->context = context;
	members->by_vm =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	members->list = g_ptr_array_new();
	members->contact_addresses = g_ptr_array_new_with_free_func(g_free);
	members->vm_list_addresses = g_ptr_array_new_with_free_func(g_free);
	members->next_probe_us = now_us;
	members->next_contact_us = now_us;
	members->next_join_us = now_us;
	members->expected_tick_us = now_us;
}

/* Frees the members and the addresses. */
void member_finish(members_t *members)
{
	g_ptr_array_unref(members->vm_list_addresses);
	g_ptr_array_unref(members->contact_addresses);
	g_ptr_array_unref(members->list);
	g_hash_table_unref(members->by_vm);
}

/* Returns whether a member is neither dead nor has left. A suspect is live. */
bool member_is_live(const member_t *member)
{
	return member->info.state < MEMBER_DEAD;
}

/* Returns how many messages carry an update before it is no longer new. */
static unsigned update_sends_max(const members_t *members)
{
	return UPDATE_SENDS_FACTOR * g_bit_storage(members->list->len + 1);
}

/* Returns the time from suspicion to removal. It grows with the logarithm of
 * the number of members, as a refutation takes longer to reach all of them.
 */
static int64_t suspicion_wait_us(const members_t *members)
{
	double size = log10((double)members->list->len + 2);

	return (int64_t)((double)member_scale_wait(members,
						   MEMBER_PROBE_PERIOD_US) *
			 MEMBER_SUSPECT_PERIODS * MAX(size, 1.0));
}

/* Adds the address (IP:port) of a first contact, which is pinged now and then
 * while no live member has it. Ignored beyond MEMBER_CONTACTS_MAX.
 */
void member_add_contact(members_t *members, const char *address)
{
	if (members->contact_addresses->len < MEMBER_CONTACTS_MAX)
		g_ptr_array_add(members->contact_addresses, g_strdup(address));
}

/* Calls the callback for a change of a member, if one is set. */
static void notify(members_t *members, const member_t *member,
		   member_state_t before)
{
	if (members->changed)
		members->changed(members->context, member, before);
}

/* Sets a member's state, starts the timer of that state and calls the callback
 * when the state has changed. The update counts as new and is sent again.
 */
void member_change_state(members_t *members, member_t *member,
			 member_state_t state, int64_t now_us)
{
	member_state_t before = member->info.state;

	member->info.state = state;
	member->times_sent = 0;
	if (state == MEMBER_LEAVING)
		member->leaving = true;
	if (state == MEMBER_SUSPECT)
		member->state_end_us = now_us + suspicion_wait_us(members);
	if (state >= MEMBER_DEAD)
		member->state_end_us = now_us + MEMBER_DEAD_KEPT_US;
	if (state != before)
		notify(members, member, before);
}

/* Returns a positive number when update a is newer than b, a negative one when
 * it is older, 0 when both have the same age.
 */
static int compare_age(const member_info_t *a, const member_info_t *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation ? 1 : -1;
	if (a->refutation != b->refutation)
		return a->refutation > b->refutation ? 1 : -1;
	return 0;
}

/*
 * Refutes an update about this process that is wrong, by raising the refutation
 * or the incarnation. A higher incarnation at the address of this process is
 * from before a restart during which the clock went back. At another address
 * it belongs to a newer process with the same VM name, which supersedes this
 * one.
 */
static void merge_update_about_self(members_t *members,
				    const member_info_t *info)
{
	member_info_t *self = &members->self.info;
	int age = compare_age(info, self);

	if (age < 0 || (age == 0 && info->state <= self->state))
		return;
	if (info->incarnation > self->incarnation) {
		if (strcmp(info->address, self->address) != 0) {
			members->superseded = true;
			return;
		}
		self->incarnation = info->incarnation + 1;
		self->refutation = 0;
	} else {
		self->refutation = info->refutation + 1;
	}
	members->self.times_sent = 0;
}

/* Declares members dead whose address a newer process of another VM has. */
static void end_previous_at_address(members_t *members,
				    const member_info_t *info, int64_t now_us)
{
	for (guint i = 0; i < members->list->len; i++) {
		member_t *other = g_ptr_array_index(members->list, i);

		if (member_is_live(other) &&
		    other->info.incarnation < info->incarnation &&
		    strcmp(other->info.address, info->address) == 0 &&
		    strcmp(other->info.vm, info->vm) != 0)
			member_change_state(members, other, MEMBER_DEAD,
					    now_us);
	}
}

/* Returns whether a live member with another VM name and a higher incarnation
 * has the address that an update gives.
 */
static bool has_newer_at_address(const members_t *members,
				 const member_info_t *info)
{
	for (guint i = 0; i < members->list->len; i++) {
		const member_t *other = g_ptr_array_index(members->list, i);

		if (member_is_live(other) &&
		    other->info.incarnation > info->incarnation &&
		    strcmp(other->info.address, info->address) == 0 &&
		    strcmp(other->info.vm, info->vm) != 0)
			return true;
	}
	return false;
}

/* Adds the member that an update is about, which must not be known yet. */
static void add_member(members_t *members, const member_info_t *info,
		       int64_t now_us)
{
	member_t *member;
	guint place;

	/* A dead member that isn't known needs no record. */
	if (info->state >= MEMBER_DEAD || members->list->len >= MEMBER_MAX ||
	    has_newer_at_address(members, info))
		return;
	member = g_new0(member_t, 1);
	member->info = *info;
	/* The callback gets "left" as the state before the member was added. */
	member->info.state = MEMBER_LEFT;
	g_hash_table_insert(members->by_vm, member->info.vm, member);
	/* The place in the probing order is random, so that members that learn
	 * of the new one at the same time don't all probe it at the same time.
	 */
	place = member_random_below(members, members->list->len + 1);
	g_ptr_array_insert(members->list, (gint)place, member);
	members->updates_applied++;
	member_change_state(members, member, info->state, now_us);
}

/*
 * Returns whether an update shows that the known process of a live member has
 * ended. A newer incarnation at the same address does, even if the process was
 * restarted before any member suspected it. With another address the old
 * process may still be draining.
 */
static bool ends_previous_process(const member_t *member,
				  const member_info_t *info)
{
	return member_is_live(member) &&
	       info->incarnation > member->info.incarnation &&
	       strcmp(info->address, member->info.address) == 0;
}

/* Applies an update about a known member. It is ignored when it is older than
 * what is known, or as old without a higher state.
 */
static void update_member(members_t *members, member_t *member,
			  const member_info_t *info, int64_t now_us)
{
	int age = compare_age(info, &member->info);

	if (age < 0 || (age == 0 && info->state <= member->info.state))
		return;
	if (ends_previous_process(member, info))
		member_change_state(members, member, MEMBER_DEAD, now_us);
	if (info->incarnation > member->info.incarnation) {
		member->leaving = false;
		copy_text(member->info.zone, info->zone,
			  sizeof(member->info.zone));
		copy_text(member->info.address, info->address,
			  sizeof(member->info.address));
	}
	member->info.incarnation = info->incarnation;
	member->info.refutation = info->refutation;
	members->updates_applied++;
	member_change_state(members, member, info->state, now_us);
}

/* Applies one update, which may be about this process, a known member or a new
 * one.
 */
static void merge_update(members_t *members, const member_info_t *info,
			 int64_t now_us)
{
	member_t *member;

	if (info->vm[0] == 0)
		return;
	if (strcmp(info->vm, members->self.info.vm) == 0) {
		merge_update_about_self(members, info);
		return;
	}
	if (info->state < MEMBER_DEAD)
		end_previous_at_address(members, info, now_us);
	member = g_hash_table_lookup(members->by_vm, info->vm);
	if (member)
		update_member(members, member, info, now_us);
	else
		add_member(members, info, now_us);
}

/* Applies the updates of a message, be it a heartbeat or an answer, and records
 * the configuration version of its sender.
 */
void member_merge_message(members_t *members, int64_t now_us,
			  const member_message_t *message)
{
	member_t *sender;
	bool trusted;

	merge_update(members, &message->self, now_us);
	sender = g_hash_table_lookup(members->by_vm, message->self.vm);
	trusted = sender && member_is_live(sender);
	if (sender && compare_age(&message->self, &sender->info) >= 0) {
		sender->last_message_us = now_us;
		sender->config_version = message->config_version;
		memcpy(sender->manifest, message->manifest,
		       sizeof(sender->manifest));
	}
	/* A sender that is considered dead here may be cut off and consider all
	 * others dead. Of its updates only those about this process are used,
	 * as they lead to a refutation.
	 */
	for (size_t i = 0; i < message->n_updates; i++) {
		const member_info_t *update = &message->updates[i];

		if (trusted || strcmp(update->vm, members->self.info.vm) == 0)
			merge_update(members, update, now_us);
	}
}

/* Applies a received heartbeat. The caller answers it with a message that
 * member_fill_message() fills in.
 */
void member_receive(members_t *members, int64_t now_us,
		    const member_message_t *message)
{
	member_merge_message(members, now_us, message);
}

/*
 * Takes addresses and leaving marks from the platform's VM list. The list lags,
 * so an entry only gives an address to ping or marks a member as leaving; a
 * member without an entry isn't removed.
 */
void member_set_vm_list(members_t *members, const member_info_t *vms, size_t n)
{
	g_ptr_array_set_size(members->vm_list_addresses, 0);
	for (size_t i = 0; i < n; i++) {
		member_t *member =
			g_hash_table_lookup(members->by_vm, vms[i].vm);
		bool starts_leaving = member &&
				      vms[i].state == MEMBER_LEAVING &&
				      !member->leaving;

		if (members->vm_list_addresses->len < MEMBER_CONTACTS_MAX)
			g_ptr_array_add(members->vm_list_addresses,
					g_strdup(vms[i].address));
		if (starts_leaving) {
			member->leaving = true;
			notify(members, member, member->info.state);
		}
	}
}

/* Sets the configuration version and manifest hash that heartbeats carry. */
void member_set_config(members_t *members, uint64_t config_version,
		       const uint8_t manifest[MEMBER_HASH_BYTES])
{
	members->self.config_version = config_version;
	memcpy(members->self.manifest, manifest, MEMBER_HASH_BYTES);
}

/*
 * Sets the state of this process to leaving or left, which the next heartbeats
 * carry. A lower state than the present one is ignored: leaving isn't undone.
 */
void member_set_own_state(members_t *members, member_state_t state)
{
	member_t *self = &members->self;

	if (state <= self->info.state)
		return;
	self->info.state = state;
	self->leaving = true;
	self->times_sent = 0;
}

/* Returns whether a message has an update about a member already. */
static bool has_update(const member_message_t *message, const member_t *member)
{
	for (size_t i = 0; i < message->n_updates; i++) {
		if (strcmp(message->updates[i].vm, member->info.vm) == 0)
			return true;
	}
	return false;
}

/* Adds an update about a member if there is room and none about it yet. */
static void add_update(member_message_t *message, member_t *member)
{
	if (message->n_updates >= MEMBER_UPDATES_MAX ||
	    has_update(message, member))
		return;
	message->updates[message->n_updates++] = member->info;
	member->times_sent++;
}

/* Returns the member whose update was sent least often and isn't in the message
 * yet; NULL when all were sent often enough.
 */
static member_t *next_unsent(const members_t *members,
			     const member_message_t *message)
{
	member_t *best = NULL;

	for (guint i = 0; i < members->list->len; i++) {
		member_t *member = g_ptr_array_index(members->list, i);

		if (member->times_sent < update_sends_max(members) &&
		    (!best || member->times_sent < best->times_sent) &&
		    !has_update(message, member))
			best = member;
	}
	return best;
}

/* Fills the rest of a message with live members in turn, so that updates that
 * were lost are repeated sooner or later.
 */
static void add_round_robin(members_t *members, member_message_t *message)
{
	for (guint tries = members->list->len;
	     tries > 0 && message->n_updates < MEMBER_UPDATES_MAX; tries--) {
		member_t *member;

		if (members->fill_index >= members->list->len)
			members->fill_index = 0;
		member =
			g_ptr_array_index(members->list, members->fill_index++);
		if (member_is_live(member) && !has_update(message, member))
			message->updates[message->n_updates++] = member->info;
	}
}

/*
 * Fills in a message to a VM, whose name is empty when it isn't known. First
 * comes a suspicion or death of the VM itself, so that it can refute it, then
 * new updates, then other live members in turn.
 */
void member_fill_message(members_t *members, const char *to_vm,
			 member_message_t *message)
{
	member_t *receiver = g_hash_table_lookup(members->by_vm, to_vm);
	member_t *unsent;

	message->self = members->self.info;
	message->config_version = members->self.config_version;
	memcpy(message->manifest, members->self.manifest,
	       sizeof(message->manifest));
	message->n_updates = 0;
	if (receiver && receiver->info.state >= MEMBER_SUSPECT)
		add_update(message, receiver);
	while (message->n_updates < MEMBER_UPDATES_MAX &&
	       (unsent = next_unsent(members, message)) != NULL)
		add_update(message, unsent);
	add_round_robin(members, message);
}

/* Returns the member with a VM name, which may be this process; NULL when not
 * known. The membership keeps ownership.
 */
const member_t *member_find(const members_t *members, const char *vm)
{
	if (strcmp(vm, members->self.info.vm) == 0)
		return &members->self;
	return g_hash_table_lookup(members->by_vm, vm);
}

/* Returns the number of live members, including this process. */
size_t member_count_live(const members_t *members)
{
	size_t n = 1;

	for (guint i = 0; i < members->list->len; i++) {
		if (member_is_live(g_ptr_array_index(members->list, i)))
			n++;
	}
	return n;
}

/* Returns the hash of a name that member_owner() takes as key. */
uint64_t member_key(str_t name)
{
	return XXH3_64bits(name.data, name.len);
}

/* Returns whether a member can own keys in a zone; NULL stands for all zones.
 * A member that is leaving gets none.
 */
static bool can_own(const member_t *member, const char *zone)
{
	return member_is_live(member) && !member->leaving &&
	       (!zone || strcmp(member->info.zone, zone) == 0);
}

/* Returns the weight of a member for a key: the highest one owns the key. */
static uint64_t rendezvous_weight(const member_t *member, uint64_t key)
{
	return XXH3_64bits_withSeed(member->info.vm, strlen(member->info.vm),
				    key);
}

/* Returns whether a member has precedence over another for a key. Equal weights
 * are decided by name, so that all members agree.
 */
static bool outranks(const member_t *member, const member_t *other,
		     uint64_t key)
{
	uint64_t own = rendezvous_weight(member, key);
	uint64_t others = rendezvous_weight(other, key);

	if (own != others)
		return own > others;
	return strcmp(member->info.vm, other->info.vm) > 0;
}

/* Returns the member of a zone with the highest weight for a key, leaving out
 * one member; NULL if there is none.
 */
static const member_t *best_member(const members_t *members, const char *zone,
				   uint64_t key, const member_t *except)
{
	const member_t *best = NULL;

	if (can_own(&members->self, zone) && except != &members->self)
		best = &members->self;
	for (guint i = 0; i < members->list->len; i++) {
		const member_t *member = g_ptr_array_index(members->list, i);

		if (member == except || !can_own(member, zone))
			continue;
		if (!best || outranks(member, best, key))
			best = member;
	}
	return best;
}

/*
 * Returns the member of a zone that owns a key. Rendezvous hashing is used, so
 * that only the keys of a member move when it leaves. A suspect keeps its keys
 * until it is removed. Returns NULL when the zone has no member that can own
 * keys.
 */
const member_t *member_owner(const members_t *members, const char *zone,
			     uint64_t key)
{
	return best_member(members, zone, key, NULL);
}

/*
 * Returns the member that becomes the owner of a key when the present owner is
 * removed. If the zone has no other candidate, the member is of any zone: it
 * then knows at least what the owner told it. Returns NULL if there is none.
 */
const member_t *member_successor(const members_t *members, const char *zone,
				 uint64_t key)
{
	const member_t *owner = best_member(members, zone, key, NULL);
	const member_t *next = best_member(members, zone, key, owner);

	return next ? next : best_member(members, NULL, key, owner);
}
