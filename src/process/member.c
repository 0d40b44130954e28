#include "process/member.h"

#include "process/member_probe.h"

#include <math.h>
#include <xxhash.h>

/* Times a statement is passed on, for each doubling of the members. */
#define UPDATE_SENDS_FACTOR 3

static void copy_text(char *to, const char *from, size_t size)
{
	g_strlcpy(to, from, size);
}

/* Sets up a membership of one. The statement about self gives VM, zone,
 * address and incarnation.
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

/* Releases everything. */
void member_finish(members_t *members)
{
	g_ptr_array_unref(members->vm_list_addresses);
	g_ptr_array_unref(members->contact_addresses);
	g_ptr_array_unref(members->list);
	g_hash_table_unref(members->by_vm);
}

/* Tells whether a member takes part, suspected or not. */
bool member_is_live(const member_t *member)
{
	return member->info.state < MEMBER_DEAD;
}

static unsigned update_sends_max(const members_t *members)
{
	return UPDATE_SENDS_FACTOR * g_bit_storage(members->list->len + 1);
}

static int64_t suspicion_wait_us(const members_t *members)
{
	double size = log10((double)members->list->len + 2);

	return (int64_t)((double)member_scale_wait(members,
						   MEMBER_PROBE_PERIOD_US) *
			 MEMBER_SUSPECT_PERIODS * MAX(size, 1.0));
}

/* Adds a first contact (IP:port). It is probed until a live member has it. */
void member_add_contact(members_t *members, const char *address)
{
	if (members->contact_addresses->len < MEMBER_CONTACTS_MAX)
		g_ptr_array_add(members->contact_addresses, g_strdup(address));
}

static void notify(members_t *members, const member_t *member,
		   member_state_t before)
{
	if (members->changed)
		members->changed(members->context, member, before);
}

/* Sets a member's state and starts its time; tells of a change. */
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

/* Returns above 0 when statement a is newer than b, below 0 when older. */
static int compare_age(const member_info_t *a, const member_info_t *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation ? 1 : -1;
	if (a->refutation != b->refutation)
		return a->refutation > b->refutation ? 1 : -1;
	return 0;
}

/*
 * Contradicts a statement about the own process that is not true. A higher
 * incarnation at the own address comes from before a restart with a clock
 * that went back; at another address it belongs to this VM's successor.
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

/* Removes the members that an address was taken from by a newer process. */
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

static void add_member(members_t *members, const member_info_t *info,
		       int64_t now_us)
{
	member_t *member;
	guint place;

	/* A dead member that is not known needs no record. */
	if (info->state >= MEMBER_DEAD || members->list->len >= MEMBER_MAX ||
	    has_newer_at_address(members, info))
		return;
	member = g_new0(member_t, 1);
	member->info = *info;
	/* "Left" is the state before appearing. */
	member->info.state = MEMBER_LEFT;
	g_hash_table_insert(members->by_vm, member->info.vm, member);
	/* A random place in the probing order, so that members that learn of
	 * it at the same time do not all probe it at the same time.
	 */
	place = member_random_below(members, members->list->len + 1);
	g_ptr_array_insert(members->list, (gint)place, member);
	members->updates_applied++;
	member_change_state(members, member, info->state, now_us);
}

/*
 * A newer incarnation at the same address means that the process of the old
 * one has ended, even if it was restarted before anybody missed it. At another
 * address the old one may still be ending gracefully.
 */
static bool ends_previous_process(const member_t *member,
				  const member_info_t *info)
{
	return member_is_live(member) &&
	       info->incarnation > member->info.incarnation &&
	       strcmp(info->address, member->info.address) == 0;
}

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

/* Takes in one statement about any member. */
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

/* Takes in a message, whether a heartbeat or an answer. */
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
	/* A member that is held for dead may be cut off and hold everyone else
	 * for dead. Only what it says about the own process is heard, which
	 * leads to a refutation.
	 */
	for (size_t i = 0; i < message->n_updates; i++) {
		const member_info_t *update = &message->updates[i];

		if (trusted || strcmp(update->vm, members->self.info.vm) == 0)
			merge_update(members, update, now_us);
	}
}

/* Takes in a heartbeat; member_fill_message() then gives the answer. */
void member_receive(members_t *members, int64_t now_us,
		    const member_message_t *message)
{
	member_merge_message(members, now_us, message);
}

/*
 * Sets the addresses and states from the platform's VM list. The list lags, so
 * an entry only gives an address to probe or marks a member as leaving; a
 * missing entry means nothing.
 */
void member_set_vm_list(members_t *members, const member_info_t *vms, size_t n)
{
	g_ptr_array_set_size(members->vm_list_addresses, 0);
	for (size_t i = 0; i < n; i++) {
		member_t *member =
			g_hash_table_lookup(members->by_vm, vms[i].vm);
		bool newly = member && vms[i].state == MEMBER_LEAVING &&
			     !member->leaving;

		if (members->vm_list_addresses->len < MEMBER_CONTACTS_MAX)
			g_ptr_array_add(members->vm_list_addresses,
					g_strdup(vms[i].address));
		if (newly) {
			member->leaving = true;
			notify(members, member, member->info.state);
		}
	}
}

/* Sets the configuration version that heartbeats carry. */
void member_set_config(members_t *members, uint64_t config_version,
		       const uint8_t manifest[MEMBER_HASH_BYTES])
{
	members->self.config_version = config_version;
	memcpy(members->self.manifest, manifest, MEMBER_HASH_BYTES);
}

/*
 * Announces that the own process is leaving, or has left. The states only
 * rise: leaving is not taken back.
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

static bool has_update(const member_message_t *message, const member_t *member)
{
	for (size_t i = 0; i < message->n_updates; i++) {
		if (strcmp(message->updates[i].vm, member->info.vm) == 0)
			return true;
	}
	return false;
}

static void add_update(member_message_t *message, member_t *member)
{
	if (message->n_updates >= MEMBER_UPDATES_MAX ||
	    has_update(message, member))
		return;
	message->updates[message->n_updates++] = member->info;
	member->times_sent++;
}

/* Returns the statement that was passed on least often; NULL when all were
 * passed on often enough.
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

/* Adds live members in turn, so that every member is told of every other again
 * and again, whatever was lost.
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
 * Fills in a message to a VM (empty when its name is not known): first what is
 * said against the VM itself, so that it can refute it, then news, then others
 * in turn.
 */
void member_fill_message(members_t *members, const char *to_vm,
			 member_message_t *message)
{
	member_t *receiver = g_hash_table_lookup(members->by_vm, to_vm);
	member_t *news;

	message->self = members->self.info;
	message->config_version = members->self.config_version;
	memcpy(message->manifest, members->self.manifest,
	       sizeof(message->manifest));
	message->n_updates = 0;
	if (receiver && receiver->info.state >= MEMBER_SUSPECT)
		add_update(message, receiver);
	while (message->n_updates < MEMBER_UPDATES_MAX &&
	       (news = next_unsent(members, message)) != NULL)
		add_update(message, news);
	add_round_robin(members, message);
}

/* Finds a member by VM name; NULL when not known. */
const member_t *member_find(const members_t *members, const char *vm)
{
	if (strcmp(vm, members->self.info.vm) == 0)
		return &members->self;
	return g_hash_table_lookup(members->by_vm, vm);
}

/* Counts the live members, with the own process. */
size_t member_count_live(const members_t *members)
{
	size_t n = 1;

	for (guint i = 0; i < members->list->len; i++) {
		if (member_is_live(g_ptr_array_index(members->list, i)))
			n++;
	}
	return n;
}

/* Returns the key of a name for member_owner(). */
uint64_t member_key(str_t name)
{
	return XXH3_64bits(name.data, name.len);
}

/* A NULL zone stands for all zones. */
static bool can_own(const member_t *member, const char *zone)
{
	return member_is_live(member) && !member->leaving &&
	       (!zone || strcmp(member->info.zone, zone) == 0);
}

static uint64_t rendezvous_weight(const member_t *member, uint64_t key)
{
	return XXH3_64bits_withSeed(member->info.vm, strlen(member->info.vm),
				    key);
}

/* Tells whether a member comes before another one for a key. */
static bool outranks(const member_t *member, const member_t *other,
		     uint64_t key)
{
	uint64_t own = rendezvous_weight(member, key);
	uint64_t others = rendezvous_weight(other, key);

	if (own != others)
		return own > others;
	return strcmp(member->info.vm, other->info.vm) > 0;
}

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
 * Returns the live member of a zone that owns a key, by rendezvous hashing:
 * when a member leaves, only its keys move. A suspect keeps its keys until it
 * is removed. Returns NULL when the zone has no live member.
 */
const member_t *member_owner(const members_t *members, const char *zone,
			     uint64_t key)
{
	return best_member(members, zone, key, NULL);
}

/*
 * Returns the member that becomes the owner of a key if its present owner is
 * removed; if the zone has no other live member, one of any zone, which knows
 * at least what the owner told it. NULL if there is none.
 */
const member_t *member_successor(const members_t *members, const char *zone,
				 uint64_t key)
{
	const member_t *owner = best_member(members, zone, key, NULL);
	const member_t *next = best_member(members, zone, key, owner);

	return next ? next : best_member(members, NULL, key, owner);
}
