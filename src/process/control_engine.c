#include "connection/engine.h"
#include "connection/engine_order.h"
#include "process/control.h"
#include "process/counters.h"
#include "process/log.h"

/* Below CONTROL_POLL_INTERVAL_US, so that an engine has one poll at a time. */
#define POLL_DEADLINE_US (1500 * CLOCK_US_PER_MS)
#define DEMAND_US (2 * CLOCK_US_PER_S)

/* Context of a poll or an order in progress. */
typedef struct {
	control_t *control;
	engine_call_t *poll; /* one of the two */
	client_call_t *order;
	int64_t sent_us;
	str_t name; /* owned */
} pending_t;

static pending_t *add_pending(control_t *control, const char *name)
{
	pending_t *pending = g_new0(pending_t, 1);

	pending->control = control;
	pending->sent_us = clock_now(&control->clock);
	pending->name = str_from(g_strdup(name));
	g_hash_table_add(control->calls, pending);
	return pending;
}

static void remove_pending(pending_t *pending)
{
	g_free((char *)pending->name.data);
	g_hash_table_remove(pending->control->calls, pending);
}

/* Aborts all polls and orders in progress. */
void control_abort_calls(control_t *control)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, control->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		pending_t *pending = key;

		if (pending->poll)
			engine_abort(pending->poll);
		if (pending->order)
			client_cancel(pending->order);
		g_free((char *)pending->name.data);
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

static void note_load(control_t *control, str_t name, const engine_load_t *load,
		      int64_t sampled_us)
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

static void polled(void *context, const engine_load_t *load)
{
	pending_t *pending = context;
	control_t *control = pending->control;
	/* The engine took the sample after the request was sent, less the age
	 * that it tells. The earlier time is the safe one.
	 */
	int64_t sampled_us = pending->sent_us - load->age_ms * CLOCK_US_PER_MS;

	if (load->status == ENGINE_OK) {
		order_report_t report = {
			.role = load->role,
			.model = load->model,
			.version = load->version,
			.busy = load->running + load->queued,
			.sampled_us = sampled_us,
		};

		order_report(&control->orders, pending->name, &report);
		note_load(control, pending->name, load, sampled_us);
	}
	remove_pending(pending);
	control_send_orders(control);
}

/* Polls the next engines of the zone, so that each has its turn once in
 * CONTROL_POLL_INTERVAL_US.
 */
void control_poll(control_t *control)
{
	const GPtrArray *engines = control->orders.engines;
	int64_t deadline_us = clock_now(&control->clock) + POLL_DEADLINE_US;
	guint ticks = CONTROL_POLL_INTERVAL_US / CONTROL_TICK_INTERVAL_US;

	control->poll_credit += engines->len;
	for (; control->poll_credit >= ticks; control->poll_credit -= ticks) {
		const order_engine_t *engine;
		pending_t *pending;

		control->poll_index = (control->poll_index + 1) % engines->len;
		engine = engines->pdata[control->poll_index];
		pending = add_pending(control, engine->name);
		pending->poll = engine_fetch_load(control->client,
						  str_from(engine->address),
						  deadline_us, polled, pending);
	}
}

static void ordered(void *context, const client_response_t *response)
{
	pending_t *pending = context;
	control_t *control = pending->control;
	order_outcome_t outcome = engine_order_outcome(response);
	int64_t now_us = clock_now(&control->clock);

	if (outcome == ORDER_STALE_TOKEN) {
		counters_add(COUNTER_ORDERS_REFUSED, 1);
		lease_suspend(&control->lease, now_us);
	}
	log_event(LOG_INFO, "order_answered", LOG_STR("engine", pending->name),
		  LOG_UINT("status", response->status),
		  LOG_INT("outcome", outcome));
	order_done(&control->orders, pending->name, now_us, outcome);
	remove_pending(pending);
	control_members_changed(control);
}

static void send_order(control_t *control, const order_action_t *order,
		       int64_t now_us)
{
	pending_t *pending = add_pending(control, order->name);

	counters_add(COUNTER_ORDERS_SENT, 1);
	log_event(LOG_INFO, "order_sent", LOG_CSTR("engine", order->name),
		  LOG_INT("kind", order->kind),
		  LOG_UINT("token", control->lease.token));
	/* A new holder waits for this deadline before its own first order. */
	pending->order = engine_order_send(control->client, order,
					   control->lease.token,
					   now_us + LEASE_TAKEOVER_DELAY_US,
					   ordered, pending);
}

/* Sends the orders that are due, if the lease allows it at this moment. */
void control_send_orders(control_t *control)
{
	order_action_t order;

	while (control->token == control->lease.token &&
	       lease_may_send(&control->lease, clock_now(&control->clock)) &&
	       order_next(&control->orders, clock_now(&control->clock),
			  &order)) {
		int64_t now_us = clock_now(&control->clock);

		/* Again, because the process may have been paused since. */
		if (!lease_may_send(&control->lease, now_us)) {
			order_done(&control->orders, str_from(order.name),
				   now_us, ORDER_FAILED);
			return;
		}
		send_order(control, &order, now_us);
	}
}

static double role_pressure(const control_t *control, const model_t *model,
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

/* Computes the pressure of each model's roles in the zone from the polls. */
void control_set_demand(control_t *control, int64_t now_us)
{
	if (!control->state || now_us < control->next_demand_us)
		return;
	control->next_demand_us = now_us + DEMAND_US;
	for (size_t i = 0; i < control->state->n_models; i++) {
		const model_t *model = &control->state->models[i];
		double pressure[2];

		pressure[ROLE_PREFILL] =
			role_pressure(control, model, ROLE_PREFILL, now_us);
		pressure[ROLE_DECODE] =
			role_pressure(control, model, ROLE_DECODE, now_us);
		order_set_demand(&control->orders, model->name, pressure,
				 now_us);
	}
}
