/* Requests that are let through although a rule holds requests like them back, to learn
 * whether they still crash servers.
 *
 * A rule may rest on servers that crashed for another reason, and a cause may be mended.
 * While all requests under a rule are held, nothing else could show that. Over all VMs, about
 * one request is let through at a time. If it begins well the rule ends at all VMs; if its
 * server is lost, the next trial comes after a multiple of the time since the first loss.
 */
#ifndef PROCESS_QUARANTINE_TRIAL_H
#define PROCESS_QUARANTINE_TRIAL_H

#include "process/decide/quarantine.h"

/* What is known of the trials under a rule at this VM. */
typedef struct {
	quarantine_rule_t rule;
	int64_t seen_us; /* when a request was first held by the rule here */
	int64_t tried_us; /* the last trial of this VM; 0: none */
} quarantine_trial_t;

int64_t quarantine_trial_due_us(const quarantine_rule_t *rule);
bool quarantine_take_trial(quarantine_t *quarantine,
			   const quarantine_rule_t *rule, int64_t now_us);
void quarantine_drop_trials(quarantine_t *quarantine);

#endif
