/* How an entry process, which accepts callers' requests and relays them to
 * backend servers, reacts to changes: in the store, in its peers' announcements
 * and in its own requests.
 */
#ifndef PROCESS_ENTRY_ENTRY_UPDATES_H
#define PROCESS_ENTRY_ENTRY_UPDATES_H

#include "process/entry/entry.h"

extern const store_rows_handler_t entry_rows_handler;

void entry_follow_store(entry_t *entry);
void entry_init_orders(entry_t *entry);
void entry_set_callbacks(entry_t *entry);
void entry_set_retry_budget(entry_t *entry);
void entry_announce_servers(entry_t *entry, int64_t now_us);
void entry_announce_limits(entry_t *entry, int64_t now_us);

#endif
