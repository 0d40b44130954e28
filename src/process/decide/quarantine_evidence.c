#include "process/decide/quarantine_evidence.h"

#define WORD_BITS 64u

/* Adds a number to a set. */
static void add(evidence_set_t *set, unsigned number)
{
	set->words[number / WORD_BITS] |= UINT64_C(1) << number % WORD_BITS;
}

/* Removes the members of another set. */
static void subtract(evidence_set_t *set, const evidence_set_t *other)
{
	for (unsigned i = 0; i < EVIDENCE_SET_WORDS; i++)
		set->words[i] &= ~other->words[i];
}

/* Returns the number of members. */
unsigned evidence_set_count(const evidence_set_t *set)
{
	unsigned count = 0;

	for (unsigned i = 0; i < EVIDENCE_SET_WORDS; i++)
		count += (unsigned)__builtin_popcountll(set->words[i]);
	return count;
}

/* Returns whether a number is a member. */
bool evidence_set_has(const evidence_set_t *set, unsigned number)
{
	return set->words[number / WORD_BITS] >> number % WORD_BITS & 1;
}

/* Returns whether all members are members of another set as well. */
bool evidence_set_is_within(const evidence_set_t *set,
			    const evidence_set_t *other)
{
	for (unsigned i = 0; i < EVIDENCE_SET_WORDS; i++) {
		if (set->words[i] & ~other->words[i])
			return false;
	}
	return true;
}

/* Returns the number of a 64-bit ID, `*n` for one that is not in the table yet, and then adds
 * it and counts it in `*n`. Numbers begin at 0; the table holds number + 1.
 */
static unsigned number_of(GHashTable *numbers, const uint64_t *id, unsigned *n)
{
	gpointer known = g_hash_table_lookup(numbers, id);

	if (known)
		return GPOINTER_TO_UINT(known) - 1;
	g_hash_table_insert(numbers, (gpointer)id, GUINT_TO_POINTER(*n + 1));
	return (*n)++;
}

/* Adds a loss, with the next number, to the keys that it has. */
static void add_loss(evidence_t *evidence, const quarantine_t *quarantine,
		     GHashTable *servers, GHashTable *keys)
{
	unsigned number = evidence->n_losses++;
	const quarantine_loss_t *loss = &evidence->losses[number];
	unsigned server =
		number_of(servers, &loss->server, &evidence->n_servers);

	evidence->server_of[number] = server;
	for (unsigned i = 0; i < loss->n_keys; i++) {
		unsigned n = evidence->keys->len;
		unsigned place = number_of(keys, &loss->keys[i], &n);
		evidence_key_t *key;

		if (n > evidence->keys->len) {
			evidence_key_t added = {
				.key = loss->keys[i],
				.sound_us = sound_keys_anywhere_us(
					&quarantine->sound, loss->keys[i]),
			};

			g_array_append_val(evidence->keys, added);
		}
		evidence->key_of[number][i] = place;
		key = &g_array_index(evidence->keys, evidence_key_t, place);
		if (loss->lost_us <= key->sound_us)
			continue;
		add(&key->losses, number);
		add(&key->servers, server);
	}
}

/* Sets up the evidence of losses, an array of at most QUARANTINE_LOSSES_MAX
 * quarantine_loss_t, which must outlive it.
 */
void evidence_init(evidence_t *evidence, const quarantine_t *quarantine,
		   const GArray *losses)
{
	GHashTable *servers = g_hash_table_new(g_int64_hash, g_int64_equal);
	GHashTable *keys = g_hash_table_new(g_int64_hash, g_int64_equal);

	g_assert(losses->len <= QUARANTINE_LOSSES_MAX);
	evidence->losses = (const quarantine_loss_t *)losses->data;
	evidence->n_losses = 0;
	evidence->n_servers = 0;
	evidence->keys = g_array_new(FALSE, FALSE, sizeof(evidence_key_t));
	for (guint i = 0; i < losses->len; i++)
		add_loss(evidence, quarantine, servers, keys);
	g_hash_table_unref(servers);
	g_hash_table_unref(keys);
}

/* Frees what the evidence owns. */
void evidence_finish(evidence_t *evidence)
{
	g_array_unref(evidence->keys);
}

/* Returns what is known of a key of a loss, both given by their numbers. */
evidence_key_t *evidence_key(const evidence_t *evidence, unsigned loss,
			     unsigned key)
{
	return &g_array_index(evidence->keys, evidence_key_t,
			      evidence->key_of[loss][key]);
}

/* Removes all losses of servers: they are explained. */
void evidence_remove_servers(evidence_t *evidence, evidence_set_t servers)
{
	evidence_set_t losses = {{0}};

	for (unsigned i = 0; i < evidence->n_losses; i++) {
		if (evidence_set_has(&servers, evidence->server_of[i]))
			add(&losses, i);
	}
	for (guint i = 0; i < evidence->keys->len; i++) {
		evidence_key_t *key =
			&g_array_index(evidence->keys, evidence_key_t, i);

		subtract(&key->losses, &losses);
		subtract(&key->servers, &servers);
	}
}
