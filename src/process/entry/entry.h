/* The process of an entry VM on the users' platform: takes callers' requests
 * and passes them on to the platform's backend servers.
 */
#ifndef PROCESS_ENTRY_H
#define PROCESS_ENTRY_H

#include "connection/announce.h"
#include "connection/ingress.h"
#include "process/decide/departures.h"
#include "process/decide/drain.h"
#include "process/decide/list_readers.h"
#include "process/entry/entry_settings.h"
#include "process/entry/loss_rows.h"
#include "process/entry/origin_rows.h"
#include "process/entry/quarantine_rows.h"
#include "process/entry/software_row.h"
#include "process/entry/stage_orders.h"
#include "process/entry/store_rows.h"
#include "process/entry/vm_expiry.h"
#include "request/relay.h"

/* All state of the process. Everything runs on one main loop. */
typedef struct {
	const char *settings_path; /* borrowed */
	int64_t settings_mtime_us; /* of the file as last read; -1: none */
	int64_t next_settings_check_us;
	int64_t next_stage_check_us; /* of the balance of stages */
	int64_t next_reached_check_us; /* of entry_log_reached() */
	entry_settings_t settings;
	clock_source_t clock;
	GMainLoop *loop;
	drain_t drain;
	ingress_t callers; /* listener for callers' requests */
	ingress_t peers; /* listener for requests that other VMs pass on */
	ingress_t ready; /* listener for the balancer's health checks */
	ingress_t metrics; /* listener for reads of the metrics */
	http_pool_t server_pool; /* connections to backend servers */
	http_pool_t peer_pool; /* connections to other VMs */
	http_pool_t store_pool; /* connections to the platform's store */
	server_set_t servers;
	departures_t departures;
	list_readers_t list_readers;
	char *list_reader; /* VM that passes the server list on; NULL: none */
	occupancy_t occupancy;
	announce_t announce;
	store_rows_t rows;
	memory_budget_t
		kept; /* bodies of requests and all that the relay keeps */
	memory_budget_t bodies; /* the part of it for requests */
	relay_t relay; /* passes requests on to backend servers */
	stage_orders_t orders;
	vm_expiry_t vm_expiry;
	quarantine_rows_t quarantine_rows;
	loss_rows_t loss_rows;
	software_row_t software_row;
	origin_rows_t origin_rows;
	int64_t origins_era; /* of the store, when streams were last written */
	int64_t next_software_us; /* next observation of the servers */
	int64_t next_origins_expiry_us;
	GHashTable *unreached; /* names of services, as last logged */
	GArray *logged_rules; /* of quarantine_rule_t: the log says they hold */
	route_table_t *table; /* owns a reference; NULL: none was read yet */
	alarm_t tick; /* next on_tick() */
	int64_t tick_due_us; /* time for which that was set */
	bool tick_put_off; /* until what has arrived is read */
	alarm_t admission_alarm; /* next admission of waiting streams */
	guint term_source;
	guint hup_source;
	unsigned vm_count; /* entry VMs in the store, with this one */
	bool was_ready; /* as the last health check was answered */
} entry_t;

bool entry_init(entry_t *entry, const char *settings_path,
		entry_settings_t *settings, clock_source_t clock);
void entry_run(entry_t *entry);
void entry_finish(entry_t *entry);

#endif
