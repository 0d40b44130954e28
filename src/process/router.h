/* What all requests of one serve process share. */
#ifndef PROCESS_ROUTER_H
#define PROCESS_ROUTER_H

#include "connection/client.h"
#include "process/backends.h"
#include "process/config.h"
#include "process/control.h"
#include "process/fleet.h"
#include "process/limit_exchange.h"
#include "process/owner.h"
#include "process/object_transfer.h"
#include "process/platform.h"
#include "process/scheduler.h"
#include "process/settings.h"
#include "process/vms.h"
#include "request/canceller.h"
#include "request/once_record.h"
#include "request/retry.h"
#include "version/state.h"

/* Called when a newer process uses this VM's name. */
typedef void (*router_superseded_fn_t)(void *context);

/* Called after a version has taken effect. */
typedef void (*router_state_fn_t)(void *context);

/* The router of one serve process. */
typedef struct {
	const settings_t *settings;
	clock_source_t clock; /* CLOCK_BOOTTIME */
	hlc_t hlc;
	client_t client;
	backends_t backends;
	reserve_t reserve;
	scheduler_t scheduler;
	canceller_t canceller;
	retry_budget_t retry_budget;
	state_t *state; /* version in effect; NULL until one is known */
	uint64_t incarnation; /* microseconds of wall time at start */
	uint64_t id_prefix; /* of request IDs: hash of VM and incarnation */
	uint64_t id_counter; /* of request IDs */
	GQueue requests; /* of request_t, in progress */
	GQueue forwarded_calls; /* of forwarded_call_t, in progress */
	rpc_t rpc;
	fleet_t fleet;
	owner_t owner;
	limit_exchange_t limits;
	platform_t platform;
	once_records_t once_records;
	bool has_platform; /* its address is in the settings */
	vms_t vms; /* this and the next three: with a platform only */
	object_transfer_t object_transfer;
	config_t config;
	control_t control;
	bool joined; /* rpc, fleet and owner are set up */
	router_superseded_fn_t on_superseded;
	void *superseded_context;
	router_state_fn_t on_state; /* may be NULL */
	void *on_state_context;
	bool draining; /* not ready; finishes what is in progress */
	GMainLoop *loop;
} router_t;

void router_init(router_t *router, const settings_t *settings);
bool router_join(router_t *router, router_superseded_fn_t superseded,
		 void *context, GError **error);
void router_finish(router_t *router);
void router_set_state(router_t *router, state_t *state);
void router_update_gauges(router_t *router);
void router_drain(router_t *router);
void router_make_request_id(router_t *router, char id[33]);

/* Defined in router_config.c. */
void router_config_start(router_t *router);
void router_config_finish(router_t *router);
void router_config_heartbeat_received(router_t *router, const member_t *member);
void router_config_update_members(router_t *router);

#endif
