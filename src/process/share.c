#include "process/share.h"

/* Sets up the record of an engine of which nothing is held. */
void share_init(share_t *share, int64_t capacity_tokens, unsigned routers)
{
	*share = (share_t){
		.capacity_tokens = capacity_tokens,
		.routers = MAX(routers, 1),
	};
	share->grants = g_hash_table_new_full(ledger_key_hash, ledger_key_equal,
					      NULL, g_free);
}

/* Frees the grants. */
void share_finish(share_t *share)
{
	g_hash_table_unref(share->grants);
}

/* Records a copy of a grant of this router; a repeated call replaces it. */
void share_add_grant(share_t *share, const ledger_grant_t *grant)
{
	ledger_grant_t *held;

	share_remove_grant(share, &grant->key);
	held = g_new(ledger_grant_t, 1);
	*held = *grant;
	share->held_tokens += grant->tokens;
	g_hash_table_insert(share->grants, &held->key, held);
}

/* Removes a grant of this router. Returns whether it was held. */
bool share_remove_grant(share_t *share, const ledger_key_t *key)
{
	const ledger_grant_t *held = g_hash_table_lookup(share->grants, key);

	if (!held)
		return false;
	share->held_tokens -= held->tokens;
	return g_hash_table_remove(share->grants, key);
}

/* Updates the phase and deadline of a grant that the owner has renewed. */
void share_update_grant(share_t *share, const ledger_key_t *key,
			ledger_phase_t phase, int64_t deadline_us)
{
	ledger_grant_t *held = g_hash_table_lookup(share->grants, key);

	if (!held)
		return;
	held->phase = phase;
	held->deadline_us = deadline_us;
	held->owner_incarnation = share->owner_incarnation;
}

/* Returns what is left of the fixed share, which is the capacity divided by the
 * routers. Everything held counts, so that a router that already has more than
 * its share starts nothing new.
 */
int64_t share_fixed_free_tokens(const share_t *share)
{
	int64_t fixed_tokens = share->capacity_tokens / share->routers;

	return MAX(fixed_tokens - share->held_tokens, 0);
}

/* Records a grant if the fixed share has the memory for it, and returns whether
 * it has. For use while the owner cannot be reached.
 */
bool share_take_fixed(share_t *share, const ledger_grant_t *grant)
{
	ledger_grant_t own_grant = *grant;

	if (grant->tokens > share_fixed_free_tokens(share))
		return false;
	own_grant.owner_incarnation = 0;
	share_add_grant(share, &own_grant);
	return true;
}

/* Returns the tokens that are left of the credit; 0 once it has expired. */
int64_t share_credit_tokens(const share_t *share, int64_t now_us)
{
	return now_us < share->credit_deadline_us ? share->credit_tokens : 0;
}

/* Records a grant if the credit has the memory for it, and returns whether it
 * has. The caller then reports the grant to the owner.
 */
bool share_take_credit(share_t *share, const ledger_grant_t *grant,
		       int64_t now_us)
{
	if (grant->tokens > share_credit_tokens(share, now_us))
		return false;
	share->credit_tokens -= grant->tokens;
	share_add_grant(share, grant);
	return true;
}

/* Records a new credit. deadline_us must be before the owner's deadline,
 * because the owner lends the tokens to another router after that.
 */
void share_set_credit(share_t *share, int64_t tokens, int64_t deadline_us)
{
	share->credit_tokens = tokens;
	share->credit_deadline_us = deadline_us;
}

/* Records the incarnation in an owner's reply. Returns true if it is a new
 * owner, which does not know this router's grants: the caller has to re-send
 * them for ledger_restore(). The credit of the old owner is void.
 */
bool share_set_owner(share_t *share, uint64_t incarnation)
{
	if (incarnation == share->owner_incarnation)
		return false;
	share->owner_incarnation = incarnation;
	share->credit_tokens = 0;
	return true;
}

/* Calls visit() for each grant of this router. Returns their number. */
size_t share_foreach_grant(const share_t *share, ledger_grant_fn_t visit,
			   void *context)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, share->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(value, context);
	return g_hash_table_size(share->grants);
}
