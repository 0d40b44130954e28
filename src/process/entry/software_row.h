/* Keeps the record of the servers' versions of their software in the platform's
 * store. All VMs follow its row; the one whose turn it is writes it when it is not
 * what it should be.
 */
#ifndef PROCESS_SOFTWARE_ROW_H
#define PROCESS_SOFTWARE_ROW_H

#include "connection/announce.h"
#include "process/decide/software_record.h"
#include "process/entry/store.h"

typedef struct {
	clock_source_t clock;
	const announce_t *announce; /* borrowed; knows the other VMs */
	software_history_t *history; /* borrowed */
	bool first_start; /* no VM has run before, unless there is a record */
	software_record_t record; /* as read last */
	int64_t row_version; /* 0: the store does not have it */
	int64_t started_us;
	int64_t wrong_since_us; /* since when it has to be written; 0: it has
				   not */
	store_call_t call;
	int64_t next_check_us;
} software_row_t;

void software_row_init(software_row_t *row, clock_source_t clock,
		       http_pool_t *pool, const announce_t *announce,
		       software_history_t *history, bool first_start);
void software_row_finish(software_row_t *row);
void software_row_begin_sync(software_row_t *row);
void software_row_put(software_row_t *row, str_t value, int64_t row_version);
bool software_row_is_recorder(const software_row_t *row);
void software_row_check(software_row_t *row, const char *store_address,
			int64_t era, int64_t now_us);

#endif
