#include "process/decide/quarantine_trial.h"

#include "process/decide/quarantine_rules.h"

/* Least time from the last loss under a rule to a trial: a sound request is served again
 * within the time that callers allow for a recovery.
 */
#define TRIAL_AFTER_US INT64_C(10000000)

/* The same, as a multiple of the time from the first loss to the last one. */
#define TRIAL_SPAN_FACTOR 3

/* Both for a rule on requests that had begun well before: what has changed since may be
 * the servers.
 */
#define ONCE_SOUND_AFTER_US INT64_C(2000000)
#define ONCE_SOUND_SPAN_FACTOR 1

/* The number of VMs that may try doubles each time this has passed: one of them should
 * know the result of the other's trial, and a rare request comes at any VM.
 */
#define GROUP_DOUBLES_US INT64_C(1000000)

/* Time for the result of a trial before this VM begins another one. */
#define RESULT_US INT64_C(5000000)

/* Returns when the first VM may let a request through. */
int64_t quarantine_trial_due_us(const quarantine_rule_t *rule)
{
	int64_t span_us = rule->first_us != 0 ? rule->lost_us - rule->first_us
					      : 0;

	if (rule->once_sound)
		return rule->lost_us + MAX(ONCE_SOUND_AFTER_US,
					   ONCE_SOUND_SPAN_FACTOR * span_us);
	return rule->lost_us + MAX(TRIAL_AFTER_US, TRIAL_SPAN_FACTOR * span_us);
}

/* Returns how much later than the first VM one may try that has `rank` VMs before it. */
static int64_t group_delay_us(unsigned rank)
{
	int64_t delay_us = 0;

	for (unsigned n = 1; n <= rank && n < UINT_MAX / 2; n *= 2)
		delay_us += GROUP_DOUBLES_US;
	return delay_us;
}

/* Returns the trials under a rule, which are added if there were none. */
static quarantine_trial_t *get_trial(quarantine_t *quarantine,
				     const quarantine_rule_t *rule,
				     int64_t now_us)
{
	quarantine_trial_t trial = {.rule = *rule, .seen_us = now_us};

	for (guint i = 0; i < quarantine->trials->len; i++) {
		quarantine_trial_t *known = &g_array_index(
			quarantine->trials, quarantine_trial_t, i);

		if (quarantine_rule_equal(&known->rule, rule))
			return known;
	}
	g_array_append_val(quarantine->trials, trial);
	return &g_array_index(quarantine->trials, quarantine_trial_t,
			      quarantine->trials->len - 1);
}

/* Returns whether a request that a rule holds is let through now, which counts as begun
 * then. A VM that has just learned of the rule waits for its turn as well: others may have
 * read it from the store at the same time.
 */
bool quarantine_take_trial(quarantine_t *quarantine,
			   const quarantine_rule_t *rule, int64_t now_us)
{
	quarantine_trial_t *trial = get_trial(quarantine, rule, now_us);
	int64_t from_us = MAX(quarantine_trial_due_us(rule), trial->seen_us) +
			  group_delay_us(quarantine->vm_rank);

	if (now_us < from_us ||
	    (trial->tried_us != 0 && now_us < trial->tried_us + RESULT_US))
		return false;
	trial->tried_us = now_us;
	return true;
}

/* Forgets the trials under rules that have ended. */
void quarantine_drop_trials(quarantine_t *quarantine)
{
	for (guint i = quarantine->trials->len; i-- > 0;) {
		const quarantine_trial_t *trial = &g_array_index(
			quarantine->trials, quarantine_trial_t, i);

		if (!quarantine_find_equal(quarantine->rules, &trial->rule))
			g_array_remove_index(quarantine->trials, i);
	}
}
