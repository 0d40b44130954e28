/* Which rules the losses of servers support: the search for what the lost requests
 * have in common. Used by quarantine.c only.
 */
#ifndef PROCESS_QUARANTINE_RULES_H
#define PROCESS_QUARANTINE_RULES_H

#include "process/decide/quarantine.h"

bool quarantine_find_rules(const quarantine_t *quarantine, const GArray *losses,
			   GArray *rules);
quarantine_rule_t *quarantine_find_equal(const GArray *rules,
					 const quarantine_rule_t *rule);

#endif
