/* How an entry process shares and applies its evidence on requests that crash
 * backend servers.
 */
#ifndef PROCESS_ENTRY_QUARANTINE_H
#define PROCESS_ENTRY_QUARANTINE_H

#include "process/entry/entry.h"

void entry_set_quarantine_callbacks(entry_t *entry);
void entry_update_quarantine(entry_t *entry, int64_t now_us);

#endif
