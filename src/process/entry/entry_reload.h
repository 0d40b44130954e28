/* Settings that change while an entry process runs. */
#ifndef PROCESS_ENTRY_RELOAD_H
#define PROCESS_ENTRY_RELOAD_H

#include "process/entry/entry.h"

void entry_record_settings_mtime(entry_t *entry);
void entry_reload(entry_t *entry);
void entry_reload_if_changed(entry_t *entry, int64_t now_us);

#endif
