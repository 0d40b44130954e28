/* The process of an entry VM on the users' platform: takes callers' requests
 * and passes them on to the platform's backend servers.
 */
#ifndef PROCESS_ENTRY_H
#define PROCESS_ENTRY_H

#include "connection/announce.h"
#include "connection/ingress.h"
#include "process/decide/drain.h"
#include "process/entry/entry_settings.h"
#include "process/entry/stage_orders.h"
#include "process/entry/store_rows.h"
#include "process/entry/vm_expiry.h"
#include "request/relay.h"

typedef struct {
	const char *settings_path;
	int64_t settings_mtime_us;
	int64_t next_settings_check_us;
	int64_t next_stages_us; /* next look at the balance of stages */
	entry_settings_t settings;
	clock_source_t clock;
	GMainLoop *loop;
	drain_t drain;
	ingress_t callers;
	ingress_t ready;
	ingress_t metrics;
	http_pool_t server_pool;
	http_pool_t store_pool;
	server_set_t servers;
	occupancy_t occupancy;
	announce_t announce;
	store_rows_t rows;
	relay_t relay;
	stage_orders_t orders;
	vm_expiry_t lapse;
	route_table_t *table; /* NULL: no configuration is known yet */
	alarm_t tick;
	alarm_t admit;
	guint term_source;
	guint hup_source;
	unsigned routers; /* known in the store */
	bool was_ready;
} entry_t;

bool entry_init(entry_t *entry, const char *settings_path,
		entry_settings_t *settings, clock_source_t clock);
void entry_run(entry_t *entry);
void entry_finish(entry_t *entry);

#endif
