#include "process/entry/entry_quarantine.h"

#include <xxhash.h>

#include "process/log.h"
#include "request/request_keys.h"

/* That there are no losses any more is announced for this long. */
#define ANNOUNCE_NONE_US (10 * CLOCK_US_PER_S)

/* Sets which losses and sound keys the announcements to peers hold. */
static void set_announced(entry_t *entry, int64_t now_us)
{
	occupancy_t *occupancy = &entry->occupancy;

	quarantine_list_own(&entry->relay.quarantine, occupancy->losses,
			    now_us);
	quarantine_list_sound(&entry->relay.quarantine, occupancy->sound,
			      now_us);
	if (occupancy->losses->len > 0)
		occupancy->losses_until_us = now_us + ANNOUNCE_NONE_US;
}

/* Announces at once that a server was lost while it began a request. */
static void on_loss(void *context)
{
	entry_t *entry = context;

	set_announced(entry, clock_now(&entry->clock));
	announce_schedule_whole(&entry->announce);
}

/* Returns a number other than 0 that identifies a peer's process. */
static uint64_t hash_process(const occupancy_announcement_t *announcement)
{
	return XXH64(announcement->vm, strlen(announcement->vm),
		     announcement->incarnation) |
	       1;
}

/* Applies the evidence that a peer has announced. */
static void on_peer_losses(void *context,
			   const occupancy_announcement_t *announcement)
{
	entry_t *entry = context;
	quarantine_t *quarantine = &entry->relay.quarantine;

	/* A server that is not known counts as gone. */
	if (!entry->rows.server_list.synced)
		return;
	quarantine_apply_peer(
		quarantine, hash_process(announcement),
		(const quarantine_loss_t *)announcement->losses->data,
		announcement->losses->len, clock_now(&entry->clock));
	for (guint i = 0; i < announcement->sound->len; i++)
		quarantine_add_peer_sound(quarantine,
					  &g_array_index(announcement->sound,
							 sound_key_t, i));
}

/* Sets the callbacks for losses that this VM has seen or that peers announce. */
void entry_set_quarantine_callbacks(entry_t *entry)
{
	entry->relay.on_loss = on_loss;
	entry->occupancy.on_losses = on_peer_losses;
}

/* Returns whether an array has a rule with the same keys. */
static bool has_rule(const GArray *rules, const quarantine_rule_t *rule)
{
	for (guint i = 0; i < rules->len; i++) {
		if (quarantine_rule_equal(
			    &g_array_index(rules, quarantine_rule_t, i), rule))
			return true;
	}
	return false;
}

/* Logs the rules of one array that another one lacks. */
static void log_missing(const GArray *rules, const GArray *others,
			const char *event)
{
	for (guint i = 0; i < rules->len; i++) {
		const quarantine_rule_t *rule =
			&g_array_index(rules, quarantine_rule_t, i);
		GString *keys;

		if (has_rule(others, rule))
			continue;
		keys = g_string_new(NULL);
		request_keys_append(keys, rule->keys, rule->n_keys, ',');
		log_event(LOG_WARN, event, LOG_CSTR("keys", keys->str),
			  LOG_UINT("servers", rule->servers));
		g_string_free(keys, TRUE);
	}
}

/* Logs which rules have begun and ended since the last call. */
static void log_rules(entry_t *entry)
{
	const quarantine_t *quarantine = &entry->relay.quarantine;

	log_missing(quarantine->rules, entry->logged_rules, "quarantine_begun");
	log_missing(entry->logged_rules, quarantine->rules, "quarantine_ended");
	g_array_set_size(entry->logged_rules, 0);
	g_array_append_vals(entry->logged_rules, quarantine->rules->data,
			    quarantine->rules->len);
}

/* Brings the rules, what is announced of them and the store up to date. To be
 * called at short intervals.
 */
void entry_update_quarantine(entry_t *entry, int64_t now_us)
{
	quarantine_t *quarantine = &entry->relay.quarantine;
	bool overflowed = quarantine->overflowed;

	if (entry->rows.server_list.synced)
		loss_rows_apply(&entry->loss_rows);
	if (quarantine_has_evidence(quarantine))
		quarantine->vm_rank = occupancy_rank(
			&entry->occupancy, entry->settings.vm, now_us);
	(void)quarantine_update(quarantine, now_us);
	log_rules(entry);
	if (quarantine->overflowed && !overflowed)
		log_event(LOG_ERROR, "quarantine_suspended",
			  LOG_CSTR("reason", "servers are lost under too many "
					     "different requests"));
	set_announced(entry, now_us);
	quarantine_rows_check(&entry->quarantine_rows,
			      entry->settings.store_address, now_us);
	loss_rows_check(&entry->loss_rows, entry->settings.store_address,
			g_hash_table_size(entry->unreached) == 0, now_us);
}
