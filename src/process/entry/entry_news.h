/* What an entry process does with news: from the store, from its peers and from
 * its own requests.
 */
#ifndef PROCESS_ENTRY_ENTRY_NEWS_H
#define PROCESS_ENTRY_ENTRY_NEWS_H

#include "process/entry/entry.h"

extern const store_rows_handler_t entry_rows_handler;

void entry_follow_store(entry_t *entry);
void entry_follow_news(entry_t *entry);
void entry_share_retries(entry_t *entry);
void entry_publish_servers(entry_t *entry, int64_t now_us);

#endif
