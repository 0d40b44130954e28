#include "connection/engine.h"
#include "connection/engine_order.h"
#include "process/control.h"
#include "process/counters.h"
#include "process/log.h"

/* Time limit of a poll, below CONTROL_POLL_INTERVAL_US so that an engine has
 * only one poll at a time.
 */
#define POLL_DEADLINE_US (1500 * CLOCK_US_PER_MS)
/* Time between two computations of the demand. */
#define DEMAND_INTERVAL_US (2 * CLOCK_US_PER_S)

/* A poll or an order in progress; either `poll` or `order` is set. */
typedef struct {
	control_t *control;
	engine_call_t *poll;
	client_call_t *order;
	int64_t sent_us;
	str_t name; /* of the engine, owned */
} control_call_t;

/* Adds a call to an engine to those in progress. */
static control_call_t *add_call(control_t *control, const char *name)
{
	control_call_t *call = g_new0(control_call_t, 1);

	call->control = control;
	call->sent_us = clock_now(&control->clock);
	call->name = str_from(g_strdup(name));
	g_hash_table_add(control->calls, call);
	return call;
}

/* Removes a call that has ended, and frees it. */
static void remove_call(control_call_t *call)
{
	g_free((char *)call->name.data);
	g_hash_table_remove(call->control->calls, call);
}

/* Aborts all polls and orders in progress. */
void control_abort_calls(control_t *control)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, control->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		control_call_t *call = key;

		if (call->poll)
			engine_abort(call->poll);
		if (call->order)
			client_cancel(call->order);
		g_free((char *)call->name.data);
		g_hash_table_iter_remove(&iter);
	}
}

static const backend_t *find_backend(const control_t *control, str_t name)
{
	for (size_t i = 0; control->state && i < control->state->n_backends;
	     i++) {
		const backend_t *backend = &control->state->backends[i];

		if (str_equal(backend->name, name))
			return backend;
	}
	return NULL;
}

/* Stores the load of an engine, from which the demand is computed. */
static void store_load(control_t *control, str_t name,
		       const engine_load_t *load, int64_t sampled_us)
{
	const backend_t *backend = find_backend(control, name);
	control_load_t *entry;

	if (!backend || !backend->pool)
		return;
	entry = g_new0(control_load_t, 1);
	entry->role = load->role;
	entry->sampled_us = sampled_us;
	if (load->role == ROLE_PREFILL) {
		entry->used = (double)(load->running + load->queued);
		entry->capacity = (double)backend->pool->max_prefills;
	} else {
		entry->used = (double)load->kv_used;
		entry->capacity = (double)load->kv_total;
	}
	g_hash_table_replace(control->loads, str_dup(name), entry);
}

/* Passes the answer to a poll to the orders, and sends those that are now due.
 */
static void on_polled(void *context, const engine_load_t *load)
{
	control_call_t *call = context;
	control_t *control = call->control;
	/* The engine answered after the poll was sent, and its sample was
	 * age_ms old by then. The time of sending gives the earliest possible
	 * time of the sample, so that a report never seems newer than it is.
	 */
	int64_t sampled_us = call->sent_us - load->age_ms * CLOCK_US_PER_MS;

	if (load->status == ENGINE_OK) {
		order_report_t report = {
			.role = load->role,
			.model = load->model,
			.version = load->version,
			.busy = load->running + load->queued,
			.sampled_us = sampled_us,
		};

		order_report(&control->orders, call->name, &report);
		store_load(control, call->name, load, sampled_us);
	}
	remove_call(call);
	control_send_orders(control);
}

/* Polls the engines that are due at this tick. Polls are spread over the ticks
 * so that each engine is polled once in CONTROL_POLL_INTERVAL_US.
 */
void control_poll(control_t *control)
{
	const GPtrArray *engines = control->orders.engines;
	int64_t deadline_us = clock_now(&control->clock) + POLL_DEADLINE_US;
	guint ticks = CONTROL_POLL_INTERVAL_US / CONTROL_TICK_INTERVAL_US;

	control->poll_credit += engines->len;
	for (; control->poll_credit >= ticks; control->poll_credit -= ticks) {
		const order_engine_t *engine;
		control_call_t *call;

		control->poll_index = (control->poll_index + 1) % engines->len;
		engine = engines->pdata[control->poll_index];
		call = add_call(control, engine->name);
		call->poll = engine_fetch_load(control->client,
					       str_from(engine->address),
					       deadline_us, on_polled, call);
	}
}

/* Records the outcome of an order. If the fencing token was refused, the lease
 * is read again.
 */
static void on_order_answered(void *context, const client_response_t *response)
{
	control_call_t *call = context;
	control_t *control = call->control;
	order_outcome_t outcome = engine_order_outcome(response);
	int64_t now_us = clock_now(&control->clock);

	if (outcome == ORDER_STALE_TOKEN) {
		counters_add(COUNTER_ORDERS_REFUSED, 1);
		lease_suspend(&control->lease, now_us);
	}
	log_event(LOG_INFO, "order_answered", LOG_STR("engine", call->name),
		  LOG_UINT("status", response->status),
		  LOG_INT("outcome", outcome));
	order_done(&control->orders, call->name, now_us, outcome);
	remove_call(call);
	control_members_changed(control);
}

/* Sends an order with the fencing token of the lease. */
static void send_order(control_t *control, const order_action_t *order,
		       int64_t now_us)
{
	control_call_t *call = add_call(control, order->name);

	counters_add(COUNTER_ORDERS_SENT, 1);
	log_event(LOG_INFO, "order_sent", LOG_CSTR("engine", order->name),
		  LOG_INT("kind", order->kind),
		  LOG_UINT("token", control->lease.token));
	/* A new lease holder waits for LEASE_TAKEOVER_DELAY_US before its first order,
	 * so no order of the last holder is still under way by then.
	 */
	call->order = engine_order_send(control->client, order,
					control->lease.token,
					now_us + LEASE_TAKEOVER_DELAY_US,
					on_order_answered, call);
}

/* Sends the orders that are due, while the lease allows it. */
void control_send_orders(control_t *control)
{
	order_action_t order;

	while (control->token == control->lease.token &&
	       lease_may_send(&control->lease, clock_now(&control->clock)) &&
	       order_next(&control->orders, clock_now(&control->clock),
			  &order)) {
		int64_t now_us = clock_now(&control->clock);

		/* Checked again, because the process may have been paused. */
		if (!lease_may_send(&control->lease, now_us)) {
			order_done(&control->orders, str_from(order.name),
				   now_us, ORDER_FAILED);
			return;
		}
		send_order(control, &order, now_us);
	}
}

/* Returns the used fraction of the capacity of a model's engines in a role,
 * from recent loads; 0 if there are none.
 */
static double compute_pressure(const control_t *control, const model_t *model,
			       role_t role, int64_t now_us)
{
	double used = 0;
	double capacity = 0;

	for (guint i = 0; i < control->orders.engines->len; i++) {
		const order_engine_t *engine =
			control->orders.engines->pdata[i];
		const control_load_t *load =
			g_hash_table_lookup(control->loads, engine->name);

		if (!load || load->role != role ||
		    now_us - load->sampled_us > ORDER_REPORT_MAX_AGE_US ||
		    !str_equal(str_from(engine->model), model->name))
			continue;
		used += load->used;
		capacity += load->capacity;
	}
	return capacity > 0 ? used / capacity : 0;
}

/* Computes the pressure of the roles of each model in the zone from the polled
 * loads, and passes it to the orders, once in DEMAND_INTERVAL_US.
 */
void control_set_demand(control_t *control, int64_t now_us)
{
	if (!control->state || now_us < control->next_demand_us)
		return;
	control->next_demand_us = now_us + DEMAND_INTERVAL_US;
	for (size_t i = 0; i < control->state->n_models; i++) {
		const model_t *model = &control->state->models[i];
		double pressure[2];

		pressure[ROLE_PREFILL] =
			compute_pressure(control, model, ROLE_PREFILL, now_us);
		pressure[ROLE_DECODE] =
			compute_pressure(control, model, ROLE_DECODE, now_us);
		order_set_demand(&control->orders, model->name, pressure,
				 now_us);
	}
}
