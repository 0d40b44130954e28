#include "process/order.h"

/* Wait after an order that was not executed. */
#define RETRY_US (2 * CLOCK_US_PER_S)
#define REPEAT_DOUBLINGS 4
/* Wait after an engine refused the token. */
#define STALE_RETRY_US (30 * CLOCK_US_PER_S)

static void free_engine(gpointer data)
{
	order_engine_t *engine = data;

	g_free(engine->name);
	g_free(engine->address);
	g_free(engine->model);
	g_free(engine->version);
	g_free(engine->reported_model);
	g_free(engine->reported_version);
	g_ptr_array_unref(engine->adapters);
	g_free(engine);
}

static void free_demand(gpointer data)
{
	order_demand_t *demand = data;

	g_free(demand->model);
	g_free(demand);
}

/* Sets up without any engine. */
void order_init(orders_t *orders)
{
	memset(orders, 0, sizeof(*orders));
	orders->engines = g_ptr_array_new_with_free_func(free_engine);
	orders->demands = g_ptr_array_new_with_free_func(free_demand);
}

/* Releases everything. */
void order_finish(orders_t *orders)
{
	g_ptr_array_unref(orders->engines);
	g_ptr_array_unref(orders->demands);
}

/* Finds an engine by name; NULL when it is not in the desired state. */
order_engine_t *order_find(const orders_t *orders, str_t name)
{
	for (guint i = 0; i < orders->engines->len; i++) {
		order_engine_t *engine = orders->engines->pdata[i];

		if (str_equal(str_from(engine->name), name))
			return engine;
	}
	return NULL;
}

/*
 * Forgets what was sent, at the start of a new lease: another holder may have
 * sent orders since. Desired roles, reports and drains stay.
 */
void order_forget_sent(orders_t *orders)
{
	orders->token_refused = false;
	for (guint i = 0; i < orders->engines->len; i++) {
		order_engine_t *engine = orders->engines->pdata[i];

		engine->in_flight = false;
		engine->loading = false;
		engine->sent_us = 0;
		engine->adapters_ordered = 0;
	}
}

static void set_text(char **field, str_t text)
{
	if (str_equal(str_from(*field), text))
		return;
	g_free(*field);
	*field = str_dup(text);
}

static bool same_adapters(const order_engine_t *engine,
			  const order_desired_t *desired)
{
	if (engine->adapters->len != desired->n_adapters)
		return false;
	for (guint i = 0; i < engine->adapters->len; i++) {
		if (!str_equal(str_from(engine->adapters->pdata[i]),
			       desired->adapters[i]))
			return false;
	}
	return true;
}

static void set_adapters(order_engine_t *engine, const order_desired_t *desired)
{
	if (same_adapters(engine, desired))
		return;
	g_ptr_array_set_size(engine->adapters, 0);
	for (size_t i = 0; i < desired->n_adapters; i++)
		g_ptr_array_add(engine->adapters,
				str_dup(desired->adapters[i]));
	engine->adapters_ordered = 0;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	const order_engine_t *const *one = a;
	const order_engine_t *const *other = b;

	return strcmp((*one)->name, (*other)->name);
}

static order_engine_t *add_engine(orders_t *orders,
				  const order_desired_t *desired)
{
	order_engine_t *engine = g_new0(order_engine_t, 1);

	engine->name = str_dup(desired->name);
	engine->adapters = g_ptr_array_new_with_free_func(g_free);
	engine->pool_role = desired->role;
	engine->role = desired->role;
	g_ptr_array_add(orders->engines, engine);
	return engine;
}

static void set_engine(orders_t *orders, const order_desired_t *desired)
{
	order_engine_t *engine = order_find(orders, desired->name);

	if (!engine)
		engine = add_engine(orders, desired);
	/* A change by the operator ends a loan. */
	if (engine->pool_role != desired->role) {
		engine->pool_role = desired->role;
		engine->role = desired->role;
	}
	set_text(&engine->address, desired->address);
	set_text(&engine->model, desired->model);
	set_text(&engine->version, desired->version);
	set_adapters(engine, desired);
	engine->leaving = desired->leaving;
	engine->in_desired = true;
}

/*
 * Replaces the desired state; engines that are not in it get no more orders.
 * Engines are taken in the order of their names, so that a new holder starts
 * with those that the previous one was loading.
 */
void order_set_desired(orders_t *orders, const order_desired_t *desired,
		       size_t n)
{
	for (guint i = 0; i < orders->engines->len; i++) {
		order_engine_t *engine = orders->engines->pdata[i];

		engine->in_desired = false;
	}
	for (size_t i = 0; i < n; i++)
		set_engine(orders, &desired[i]);
	for (guint i = orders->engines->len; i > 0; i--) {
		const order_engine_t *engine = orders->engines->pdata[i - 1];

		if (!engine->in_desired)
			g_ptr_array_remove_index(orders->engines, i - 1);
	}
	g_ptr_array_sort(orders->engines, compare_names);
}

static bool model_matches(const order_engine_t *engine)
{
	return g_strcmp0(engine->reported_model, engine->model) == 0 &&
	       g_strcmp0(engine->reported_version, engine->version) == 0;
}

/* Takes in a report. One that is older than the last is dropped. */
void order_report(orders_t *orders, str_t name, const order_report_t *report)
{
	order_engine_t *engine = order_find(orders, name);

	if (!engine ||
	    (engine->reported && report->sampled_us < engine->sampled_us))
		return;
	engine->reported = true;
	set_text(&engine->reported_model, report->model);
	set_text(&engine->reported_version, report->version);
	engine->reported_role = report->role;
	engine->busy = report->busy;
	engine->sampled_us = report->sampled_us;
	/* Another model has none of the adapters. */
	if (!model_matches(engine))
		engine->adapters_ordered = 0;
	else if (engine->sampled_us > engine->sent_us && !engine->in_flight)
		engine->loading = false;
}

static bool is_fresh(const order_engine_t *engine, int64_t now_us)
{
	return engine->reported &&
	       now_us - engine->sampled_us <= ORDER_REPORT_MAX_AGE_US;
}

static bool serves(const order_engine_t *engine, const char *model, role_t role)
{
	return g_strcmp0(engine->reported_model, model) == 0 &&
	       engine->reported_role == role;
}

static guint count_wanted(const orders_t *orders, const char *model,
			  role_t role)
{
	guint n = 0;

	for (guint i = 0; i < orders->engines->len; i++) {
		const order_engine_t *engine = orders->engines->pdata[i];

		if (!engine->leaving && engine->role == role &&
		    g_strcmp0(engine->model, model) == 0)
			n++;
	}
	return n;
}

/* What the other engines of an engine's present model and role do. Of several
 * that drain, as after a change of holder, the first by name goes on.
 */
typedef struct {
	guint serving;
	guint changing; /* draining, ordered or loading */
} others_t;

static others_t count_others(const orders_t *orders, const order_engine_t *self,
			     int64_t now_us)
{
	others_t others = {0, 0};

	for (guint i = 0; i < orders->engines->len; i++) {
		const order_engine_t *engine = orders->engines->pdata[i];

		if (engine == self ||
		    !serves(engine, self->reported_model, self->reported_role))
			continue;
		if (engine->in_flight || engine->loading ||
		    (engine->draining &&
		     (!self->draining || strcmp(engine->name, self->name) < 0)))
			others.changing++;
		else if (engine->draining)
			continue;
		else if (is_fresh(engine, now_us) && !engine->leaving)
			others.serving++;
	}
	return others;
}

static guint count_loads(const orders_t *orders)
{
	guint n = 0;

	for (guint i = 0; i < orders->engines->len; i++) {
		const order_engine_t *engine = orders->engines->pdata[i];

		if (engine->loading)
			n++;
	}
	return n;
}

/* Tells whether an engine differs from the desired state, and in what first. */
static bool find_need(const order_engine_t *engine, order_kind_t *kind)
{
	if (!model_matches(engine))
		*kind = ORDER_MODEL;
	else if (engine->reported_role != engine->role)
		*kind = ORDER_ROLE;
	else if (engine->adapters_ordered < engine->adapters->len)
		*kind = ORDER_ADAPTER;
	else
		return false;
	return true;
}

/*
 * Tells whether an engine may be taken from what it does now. The last one of
 * a role is not taken, but for a new version when the role has only one.
 */
static bool may_take(const orders_t *orders, const order_engine_t *engine,
		     order_kind_t kind, int64_t now_us)
{
	guint wanted = count_wanted(orders, engine->reported_model,
				    engine->reported_role);
	others_t others = count_others(orders, engine, now_us);
	bool same_place = kind == ORDER_MODEL &&
			  engine->role == engine->reported_role &&
			  g_strcmp0(engine->model, engine->reported_model) == 0;

	if (wanted == 0 || others.serving > 0)
		return others.changing == 0 || wanted == 0;
	return same_place && wanted == 1 && others.changing == 0;
}

/* Drains an engine; returns true when routers send nothing to it any more and
 * it has no work.
 */
static bool drain(const orders_t *orders, order_engine_t *engine,
		  int64_t now_us)
{
	int64_t noticed_us = engine->drain_published_us + ORDER_DRAIN_NOTICE_US;

	if (count_wanted(orders, engine->reported_model,
			 engine->reported_role) == 0 &&
	    engine->busy == 0)
		return true;
	if (!engine->draining) {
		engine->draining = true;
		engine->drain_published_us = 0;
		return false;
	}
	return engine->drain_published_us != 0 && now_us >= noticed_us &&
	       engine->sampled_us >= noticed_us && engine->busy == 0;
}

/* Wait until a load is ordered again. It grows, as the order may start the load
 * anew in some engines.
 */
static int64_t repeat_wait_us(const order_engine_t *engine)
{
	return ORDER_REPEAT_US << MIN(engine->load_repeats, REPEAT_DOUBLINGS);
}

/* Tells whether the last order had the time to show in a report. */
static bool may_repeat(const order_engine_t *engine, order_kind_t kind,
		       int64_t now_us)
{
	if (engine->sent_us == 0 || kind != engine->sent_kind)
		return true;
	if (kind == ORDER_MODEL)
		return now_us >= engine->sent_us + repeat_wait_us(engine);
	return kind == ORDER_ADAPTER || engine->sampled_us > engine->sent_us ||
	       now_us >= engine->sent_us + ORDER_REPEAT_US;
}

static bool is_due(const orders_t *orders, order_engine_t *engine,
		   order_kind_t kind, int64_t now_us)
{
	if (now_us < engine->not_before_us || !may_repeat(engine, kind, now_us))
		return false;
	if (kind != ORDER_ROLE && !engine->loading &&
	    count_loads(orders) >= ORDER_LOADS_MAX)
		return false;
	if (kind == ORDER_ADAPTER || (kind == ORDER_MODEL && engine->loading))
		return true;
	/* A drain that has begun keeps its place; nothing else of the role
	 * changes meanwhile.
	 */
	return may_take(orders, engine, kind, now_us) &&
	       drain(orders, engine, now_us);
}

/*
 * Routers can now read a note. The time that they have to follow it starts,
 * for each drain that it has.
 */
void order_note_published(orders_t *orders, str_t note, int64_t now_us)
{
	for (guint i = 0; i < orders->engines->len; i++) {
		order_engine_t *engine = orders->engines->pdata[i];

		if (engine->draining && engine->drain_published_us == 0 &&
		    order_note_has_drain(note, str_from(engine->name)))
			engine->drain_published_us = now_us;
	}
}

static void fill_action(const order_engine_t *engine, order_kind_t kind,
			order_action_t *action)
{
	*action = (order_action_t){
		.kind = kind,
		.name = engine->name,
		.address = engine->address,
		.role = engine->role,
		.model = engine->model,
		.version = engine->version,
	};
	if (kind == ORDER_ADAPTER)
		action->adapter =
			engine->adapters->pdata[engine->adapters_ordered];
}

static void mark_sent(order_engine_t *engine, order_kind_t kind, int64_t now_us)
{
	engine->in_flight = true;
	if (kind == ORDER_MODEL && engine->loading)
		engine->load_repeats++;
	else
		engine->load_repeats = 0;
	engine->sent_kind = kind;
	if (kind == ORDER_ROLE)
		return;
	if (!engine->loading)
		engine->load_since_us = now_us;
	engine->loading = true;
}

/* Brings an engine's state in line with its last report. */
static void review(order_engine_t *engine, int64_t now_us)
{
	order_kind_t kind;

	if (engine->loading && !engine->in_flight &&
	    now_us >= engine->load_since_us + ORDER_LOAD_TIMEOUT_US)
		engine->loading = false;
	if (engine->draining &&
	    (!find_need(engine, &kind) || kind == ORDER_ADAPTER))
		engine->draining = false;
}

/*
 * Gives the next order to send, if any; order_done() must follow. To be asked
 * again until it returns false, and after every report. An engine without a
 * recent report gets no orders.
 */
bool order_next(orders_t *orders, int64_t now_us, order_action_t *action)
{
	for (guint i = 0; i < orders->engines->len && !orders->token_refused;
	     i++) {
		order_engine_t *engine = orders->engines->pdata[i];
		order_kind_t kind;

		if (!is_fresh(engine, now_us))
			continue;
		review(engine, now_us);
		if (engine->leaving || engine->in_flight ||
		    !find_need(engine, &kind) ||
		    !is_due(orders, engine, kind, now_us))
			continue;
		mark_sent(engine, kind, now_us);
		fill_action(engine, kind, action);
		return true;
	}
	return false;
}

/* Takes in the answer to the order that was given last for an engine. */
void order_done(orders_t *orders, str_t name, int64_t now_us,
		order_outcome_t outcome)
{
	order_engine_t *engine = order_find(orders, name);

	if (!engine || !engine->in_flight)
		return;
	engine->in_flight = false;
	engine->sent_us = now_us;
	switch (outcome) {
	case ORDER_APPLIED:
		if (engine->sent_kind != ORDER_ADAPTER)
			break;
		/* No report shows adapters. */
		engine->adapters_ordered++;
		engine->loading = false;
		break;
	case ORDER_STALE_TOKEN:
		/* The lease is checked again; an engine that refuses the
		 * holder of the lease must not hold up the others.
		 */
		orders->token_refused = true;
		engine->not_before_us = now_us + STALE_RETRY_US;
		engine->loading = false;
		break;
	case ORDER_FAILED:
		engine->sent_us = 0;
		engine->not_before_us = now_us + RETRY_US;
		engine->loading = false;
		break;
	case ORDER_UNKNOWN:
		/* Repeated by may_repeat(); a load may be going on. */
		engine->not_before_us = now_us + RETRY_US;
		break;
	}
}

/* Tells whether every engine that is not leaving is as desired. */
bool order_is_settled(const orders_t *orders)
{
	for (guint i = 0; i < orders->engines->len; i++) {
		const order_engine_t *engine = orders->engines->pdata[i];
		order_kind_t kind;

		if (!engine->leaving &&
		    (!engine->reported || find_need(engine, &kind)))
			return false;
	}
	return true;
}
