/* Keeps the rules on requests that crash servers in the platform's store, for
 * VMs that start later. Each rule has a row of its own, which any VM may write,
 * and remove when the rule has ended.
 */
#ifndef PROCESS_QUARANTINE_ROWS_H
#define PROCESS_QUARANTINE_ROWS_H

#include "process/decide/quarantine.h"
#include "process/entry/store.h"

typedef struct {
	clock_source_t clock;
	quarantine_t *quarantine; /* borrowed */
	GHashTable *rows; /* key to a private type */
	store_call_t call;
	int64_t next_check_us;
	int64_t removal_delay_us; /* differs between VMs */
	bool has_left_rows; /* there are more than are used; logged */
} quarantine_rows_t;

char *quarantine_rows_format_key(const char *prefix,
				 const quarantine_rule_t *rule);
bool quarantine_rows_read_keys(const char *text, quarantine_rule_t *rule);
int64_t quarantine_rows_wall_ms(int64_t time_us, int64_t now_us);
bool quarantine_rows_time_us(int64_t wall_ms, int64_t now_us, int64_t *time_us);
void quarantine_rows_init(quarantine_rows_t *rows, clock_source_t clock,
			  http_pool_t *pool, quarantine_t *quarantine,
			  const char *vm);
void quarantine_rows_finish(quarantine_rows_t *rows);
void quarantine_rows_begin_sync(quarantine_rows_t *rows);
void quarantine_rows_put(quarantine_rows_t *rows, const char *key, str_t value,
			 int64_t row_version);
void quarantine_rows_check(quarantine_rows_t *rows, const char *store_address,
			   int64_t now_us);

#endif
