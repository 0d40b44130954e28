/* The losses of servers as sets, by which the search for rules compares keys: the losses and
 * the servers that each key was on. Used by quarantine_rules.c only.
 */
#ifndef PROCESS_QUARANTINE_EVIDENCE_H
#define PROCESS_QUARANTINE_EVIDENCE_H

#include "process/decide/quarantine.h"

#define EVIDENCE_SET_WORDS (QUARANTINE_LOSSES_MAX / 64)

/* A set of losses, or of the servers that were lost, by their numbers. */
typedef struct {
	uint64_t words[EVIDENCE_SET_WORDS];
} evidence_set_t;

/* What is known of a key. */
typedef struct {
	uint64_t key;
	int64_t sound_us; /* when a request with it last began well, or
			     SOUND_NEVER_US */
	evidence_set_t losses; /* with the key, and later than that time */
	evidence_set_t servers; /* those lost in them */
	double weight; /* how well it explains the losses; 0: not enough */
} evidence_key_t;

/* Losses that are not explained by a rule yet, and their keys. */
typedef struct {
	const quarantine_loss_t *losses; /* borrowed */
	unsigned n_losses;
	unsigned n_servers;
	unsigned server_of[QUARANTINE_LOSSES_MAX]; /* of a loss */
	unsigned key_of[QUARANTINE_LOSSES_MAX][QUARANTINE_KEYS_MAX];
	GArray *keys; /* of evidence_key_t */
} evidence_t;

unsigned evidence_set_count(const evidence_set_t *set);
bool evidence_set_has(const evidence_set_t *set, unsigned number);
bool evidence_set_is_within(const evidence_set_t *set,
			    const evidence_set_t *other);

void evidence_init(evidence_t *evidence, const quarantine_t *quarantine,
		   const GArray *losses);
void evidence_finish(evidence_t *evidence);
evidence_key_t *evidence_key(const evidence_t *evidence, unsigned loss,
			     unsigned key);
void evidence_remove_servers(evidence_t *evidence, evidence_set_t servers);

#endif
