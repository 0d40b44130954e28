/* Requests that crash the backend servers which begin to run them.
 *
 * What requests have in common is named by keys, such as the parts of a prompt.
 * When a server is lost while it begins a request, the request's keys become
 * evidence. A key under which several servers were lost, and with which no
 * request has begun well since, is quarantined: requests with it are not sent.
 * Keys that were on all of the losses and are not known to be sound are
 * quarantined together, so that only requests with all of them are held back.
 *
 * Servers may also crash at once for another reason. A key with which requests had begun
 * well before is held only after losses at several times, and quarantine_trial.h lets a
 * request through now and then.
 *
 * The VMs announce their losses to each other, and which keys they know to be
 * sound. Rules are also kept in the platform's store. Pure: no clock, no I/O.
 */
#ifndef PROCESS_QUARANTINE_H
#define PROCESS_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "process/decide/server_set.h"
#include "process/decide/sound_keys.h"

/* Most keys of one loss and of one rule. */
#define QUARANTINE_KEYS_MAX 8

/* Most losses that are kept. */
#define QUARANTINE_LOSSES_MAX 128

/* Most causes of losses at a time. More of them show that the servers are at
 * fault, not the requests: then no rule holds.
 */
#define QUARANTINE_CAUSES_MAX 8

/* Most rules from the store that are used: each request is checked against them. */
#define QUARANTINE_STORED_MAX 64

/* How long a rule holds after the last loss under it. */
#define QUARANTINE_US (600 * INT64_C(1000000))

/* Most losses, and most sound keys, in one announcement. */
#define QUARANTINE_LOSSES_ANNOUNCED 16
#define QUARANTINE_SOUND_ANNOUNCED 32

/* Most losses, of different servers, that are kept of a rule in force when others need the
 * room, and that are listed of a rule: more than any rule has to rest on.
 */
#define QUARANTINE_LOSSES_OF_RULE 8

/* A server that was lost while it began a request. */
typedef struct {
	uint64_t server; /* identifies its process */
	int64_t lost_us;
	unsigned n_keys;
	uint64_t keys[QUARANTINE_KEYS_MAX];
} quarantine_loss_t;

/* Requests with all of these keys are not sent. */
typedef struct {
	unsigned n_keys;
	uint64_t keys[QUARANTINE_KEYS_MAX]; /* ascending */
	unsigned servers; /* lost under it; 0: not known */
	bool once_sound; /* requests with them had begun well before */
	int64_t first_us; /* the first loss; 0: not known */
	int64_t lost_us; /* the last one */
} quarantine_rule_t;

/* The evidence and the rules of one VM. */
typedef struct {
	GArray *losses; /* of a private type: those of all VMs */
	sound_keys_t sound; /* keys with which requests have begun well */
	GArray *stored; /* of quarantine_rule_t, from the platform's store */
	GArray *rules; /* of quarantine_rule_t, in force; from all the above */
	GArray *confirmed; /* those of them under which all servers are gone */
	GArray *trials; /* of quarantine_trial_t, under rules in force */
	unsigned vm_rank; /* how many VMs come before this one in trials */
	/* Finds the server of a process by its number, without a new reference;
	 * NULL if it is not known (any more).
	 */
	server_t *(*find_server)(void *context, uint64_t process);
	void *context; /* for find_server */
	bool changed; /* rules have to be computed again */
	bool overflowed; /* more than QUARANTINE_CAUSES_MAX were found */
} quarantine_t;

void quarantine_init(quarantine_t *quarantine,
		     server_t *(*find_server)(void *context, uint64_t process),
		     void *context);
void quarantine_finish(quarantine_t *quarantine);
void quarantine_add_loss(quarantine_t *quarantine, server_t *server,
			 uint64_t process, const uint64_t *keys, size_t n_keys,
			 int64_t now_us);
void quarantine_add_sound(quarantine_t *quarantine, const uint64_t *keys,
			  size_t n_keys, int64_t now_us);
void quarantine_add_recent(quarantine_t *quarantine, uint64_t key,
			   int64_t now_us);
void quarantine_add_peer_sound(quarantine_t *quarantine,
			       const sound_key_t *sound);
void quarantine_apply_peer(quarantine_t *quarantine, uint64_t vm,
			   const quarantine_loss_t *losses, size_t n_losses,
			   int64_t now_us);
void quarantine_add_stored_loss(quarantine_t *quarantine,
				const quarantine_loss_t *loss);
void quarantine_list_under(const quarantine_t *quarantine,
			   const quarantine_rule_t *rule, GArray *losses);
bool quarantine_put_stored(quarantine_t *quarantine,
			   const quarantine_rule_t *rule);
void quarantine_remove_stored(quarantine_t *quarantine,
			      const quarantine_rule_t *rule);
bool quarantine_has_evidence(const quarantine_t *quarantine);
bool quarantine_is_suspect(const quarantine_t *quarantine, uint64_t key);
bool quarantine_update(quarantine_t *quarantine, int64_t now_us);
const quarantine_rule_t *quarantine_match(quarantine_t *quarantine,
					  const uint64_t *keys, size_t n_keys,
					  int64_t now_us);
int64_t quarantine_refuted_here_us(const quarantine_t *quarantine,
				   const quarantine_rule_t *rule);
bool quarantine_has_own_loss(const quarantine_t *quarantine,
			     const quarantine_rule_t *rule);
void quarantine_list_own(const quarantine_t *quarantine, GArray *losses,
			 int64_t now_us);
void quarantine_list_sound(const quarantine_t *quarantine, GArray *sound,
			   int64_t now_us);
bool quarantine_rule_equal(const quarantine_rule_t *a,
			   const quarantine_rule_t *b);

#endif
