/* Control of the zone's engines: one process of the zone holds a lease in the
 * platform's table and sends the engines orders until they are in the desired
 * state.
 */
#ifndef PROCESS_CONTROL_H
#define PROCESS_CONTROL_H

#include "process/alarm.h"
#include "process/fleet.h"
#include "process/lease.h"
#include "process/order.h"
#include "process/platform.h"
#include "version/state.h"

/* Time between two checks for polls and orders that are due, while this process
 * holds the lease.
 */
#define CONTROL_TICK_INTERVAL_US (200 * CLOCK_US_PER_MS)
/* Time between two polls of the same engine by the lease holder. */
#define CONTROL_POLL_INTERVAL_US (2 * CLOCK_US_PER_S)
/* Time between two reads of the draining engines, in every process. It is less
 * than half of ORDER_DRAIN_NOTICE_US, so that one read may fail.
 */
#define CONTROL_DRAINING_READ_INTERVAL_US (2 * CLOCK_US_PER_S)

/* Load of an engine, from which the pressure of its role is computed: prefills
 * for a prefill engine, tokens of KV cache for a decode engine.
 */
typedef struct {
	role_t role;
	double used;
	double capacity;
	int64_t sampled_us; /* time of the sample */
} control_load_t;

/* Called when the set of draining engines has changed. */
typedef void (*control_draining_changed_fn_t)(void *context);

/* Controller of one process: the lease, the orders and the draining engines. */
typedef struct {
	const settings_t *settings; /* borrowed */
	fleet_t *fleet; /* borrowed */
	platform_t *platform; /* borrowed */
	client_t *client; /* borrowed */
	clock_source_t clock;
	state_t *state; /* desired; owned reference, NULL until one is known */
	lease_t lease;
	char *key; /* of the lease's row */
	platform_call_t *lease_call; /* in progress */
	bool lease_writes; /* lease_call is a write */
	GString *written_note; /* note in the last write to the lease row */
	uint64_t token; /* fencing token that the orders use; 0: none */
	orders_t orders;
	GHashTable *calls; /* control_call_t of polls and orders, owned */
	GHashTable *loads; /* engine name to control_load_t, owned */
	guint poll_index; /* of the last polled engine in orders.engines */
	guint poll_credit; /* polls due, times ticks per poll interval */
	int64_t next_demand_us; /* when the demand is computed next */
	platform_call_t *draining_read_call; /* in progress */
	int64_t next_draining_read_us; /* when they are read next */
	GHashTable *draining; /* names of draining engines of all zones */
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

/* Implemented in control_engine.c, for control.c */
void control_poll(control_t *control);
void control_send_orders(control_t *control);
void control_set_demand(control_t *control, int64_t now_us);
void control_abort_calls(control_t *control);

#endif
