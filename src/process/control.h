/* Control of the zone's engines: one process of the zone holds a lease in the
 * platform's table and orders the engines to be as the desired state says.
 */
#ifndef PROCESS_CONTROL_H
#define PROCESS_CONTROL_H

#include "process/alarm.h"
#include "process/fleet.h"
#include "process/lease.h"
#include "process/order.h"
#include "process/platform.h"
#include "version/state.h"

/* How often something is looked at while the lease is held. */
#define CONTROL_TICK_INTERVAL_US (200 * CLOCK_US_PER_MS)
/* How often each engine of the zone is asked for its state by the holder. */
#define CONTROL_POLL_INTERVAL_US (2 * CLOCK_US_PER_S)
/* How often every process reads which engines are draining. Less than half of
 * ORDER_DRAIN_NOTICE_US, so that one read may fail.
 */
#define CONTROL_DRAINING_READ_INTERVAL_US (2 * CLOCK_US_PER_S)

/* Load of an engine, for the pressure of its role. */
typedef struct {
	role_t role;
	double used;
	double capacity;
	int64_t sampled_us;
} control_load_t;

typedef void (*control_draining_changed_fn_t)(void *context);

typedef struct {
	const settings_t *settings; /* borrowed */
	fleet_t *fleet; /* borrowed */
	platform_t *platform; /* borrowed */
	client_t *client; /* borrowed */
	clock_source_t clock;
	state_t *state; /* in effect; NULL until one is known */
	lease_t lease;
	char *key; /* of the lease's row */
	platform_call_t *lease_call; /* in progress */
	bool lease_writes; /* lease_call is a write */
	GString *written_note; /* note of the last write */
	uint64_t token; /* that the orders were started for; 0: none */
	orders_t orders;
	GHashTable *calls; /* contexts of polls and orders, owned */
	GHashTable *loads; /* engine name to control_load_t, owned */
	guint poll_index; /* index in the orders' engines */
	guint poll_credit; /* engines to poll, times ticks in CONTROL_POLL_INTERVAL_US */
	int64_t next_demand_us; /* next look at the demand */
	platform_call_t *draining_read_call; /* in progress */
	int64_t next_draining_read_us; /* next read */
	GHashTable *draining; /* names of all zones' draining engines */
	control_draining_changed_fn_t draining_changed; /* may be NULL */
	void *context;
	alarm_t alarm;
} control_t;

void control_init(control_t *control, const settings_t *settings,
		  fleet_t *fleet, platform_t *platform, client_t *client,
		  control_draining_changed_fn_t draining_changed,
		  void *context);
void control_finish(control_t *control);
void control_set_state(control_t *control, state_t *state);
void control_members_changed(control_t *control);
bool control_is_draining(const control_t *control, const char *engine);

/* Of control_engine.c */
void control_poll(control_t *control);
void control_send_orders(control_t *control);
void control_set_demand(control_t *control, int64_t now_us);
void control_abort_calls(control_t *control);

#endif
