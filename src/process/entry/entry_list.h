/* What an entry process tells its peers of the list of backend servers, as their own
 * reads of it may be late.
 */
#ifndef PROCESS_ENTRY_LIST_H
#define PROCESS_ENTRY_LIST_H

#include "process/entry/entry.h"

bool entry_is_among(const entry_t *entry, unsigned n);
const char *entry_choose_list_reader(void *context, bool store_fails);
void entry_on_list_reader_failed(void *context);
void entry_on_said_leaving(void *context, const char *server);
void entry_on_departure(void *context, const char *server);
void entry_on_return(void *context, const char *server);

#endif
