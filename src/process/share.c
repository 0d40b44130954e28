#include "process/share.h"

/* Sets up the view of an engine with capacity tokens. */
void share_init(share_t *share, int64_t capacity, unsigned routers)
{
	*share = (share_t){
		.capacity = capacity,
		.routers = MAX(routers, 1),
	};
	share->grants = g_hash_table_new_full(ledger_key_hash, ledger_key_equal,
					      NULL, g_free);
}

/* Frees the view. */
void share_finish(share_t *share)
{
	g_hash_table_unref(share->grants);
}

/* Records an own grant; a repeated call replaces it. */
void share_add_grant(share_t *share, const ledger_grant_t *grant)
{
	ledger_grant_t *held;

	share_remove_grant(share, &grant->key);
	held = g_new(ledger_grant_t, 1);
	*held = *grant;
	share->held += grant->tokens;
	g_hash_table_insert(share->grants, &held->key, held);
}

/* Forgets an own grant. Returns whether it was held. */
bool share_remove_grant(share_t *share, const ledger_key_t *key)
{
	const ledger_grant_t *held = g_hash_table_lookup(share->grants, key);

	if (!held)
		return false;
	share->held -= held->tokens;
	return g_hash_table_remove(share->grants, key);
}

/* Notes the phase and deadline of a grant that the owner has recorded. */
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

/* Returns what is left of the fixed share. Everything held counts, so that a
 * router that already has more than its share starts nothing new.
 */
int64_t share_fixed_free_tokens(const share_t *share)
{
	int64_t fixed = share->capacity / share->routers;

	return MAX(fixed - share->held, 0);
}

/* Takes a grant from the fixed share while the owner cannot be reached. */
bool share_take_fixed(share_t *share, const ledger_grant_t *grant)
{
	ledger_grant_t own = *grant;

	if (grant->tokens > share_fixed_free_tokens(share))
		return false;
	own.owner_incarnation = 0;
	share_add_grant(share, &own);
	return true;
}

/* Returns the tokens of the credit that has not lapsed. */
int64_t share_credit_tokens(const share_t *share, int64_t now_us)
{
	return now_us < share->credit_deadline_us ? share->credit : 0;
}

/* Takes a grant from the credit; the owner is to be told of it. */
bool share_take_credit(share_t *share, const ledger_grant_t *grant,
		       int64_t now_us)
{
	if (grant->tokens > share_credit_tokens(share, now_us))
		return false;
	share->credit -= grant->tokens;
	share_add_grant(share, grant);
	return true;
}

/* Notes a new credit. deadline_us must be before the owner's, as the owner
 * lends the tokens to another router once it has lapsed there.
 */
void share_set_credit(share_t *share, int64_t tokens, int64_t deadline_us)
{
	share->credit = tokens;
	share->credit_deadline_us = deadline_us;
}

/* Notes the incarnation in an owner's reply. Returns true if the owner is a
 * new one, which does not know this router's grants: they have to be re-sent
 * with ledger_restore(), and credits of the old owner are void.
 */
bool share_set_owner(share_t *share, uint64_t incarnation)
{
	if (incarnation == share->owner_incarnation)
		return false;
	share->owner_incarnation = incarnation;
	share->credit = 0;
	return true;
}

/* Calls visit() for each own grant. Returns their number. */
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
