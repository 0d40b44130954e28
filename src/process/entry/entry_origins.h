/* How an entry process shares which version began each resumable stream. */
#ifndef PROCESS_ENTRY_ORIGINS_H
#define PROCESS_ENTRY_ORIGINS_H

#include "process/entry/entry.h"

bool entry_has_waiting(entry_t *entry);
void entry_set_software_kept(entry_t *entry);
void entry_set_origin_callbacks(entry_t *entry);
void entry_update_origins(entry_t *entry, int64_t now_us);

#endif
