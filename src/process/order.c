#include "process/order.h"

/* Wait after an order that was not executed or whose answer was lost. */
#define FAILED_RETRY_US (2 * CLOCK_US_PER_S)
/* Highest number of times that the wait between repeats of a load doubles. */
#define REPEAT_DOUBLINGS 4
/* Wait after an engine refused the fencing token. */
#define STALE_TOKEN_RETRY_US (30 * CLOCK_US_PER_S)

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

/* Sets up an empty desired state. */
void order_init(orders_t *orders)
{
	memset(orders, 0, sizeof(*orders));
	orders->engines = g_ptr_array_new_with_free_func(free_engine);
	orders->demands = g_ptr_array_new_with_free_func(free_demand);
}

/* Frees the memory of all engines and demands. */
void order_finish(orders_t *orders)
{
	g_ptr_array_unref(orders->engines);
	g_ptr_array_unref(orders->demands);
}

/* Returns the engine with a name, owned by `orders`, or NULL if it is not in
 * the desired state.
 */
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
 * Forgets which orders were sent, at the start of a new lease: another holder
 * may have sent orders in the meantime. Desired roles, reports and drains are
 * kept.
 */
void order_forget_sent(orders_t *orders)
{
	orders->token_refused = false;
	for (guint i = 0; i < orders->engines->len; i++) {
		order_engine_t *engine = orders->engines->pdata[i];

		engine->in_flight = false;
		engine->loading = false;
		engine->answered_us = 0;
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

/* Returns whether an engine has the desired adapters, in the same order. */
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

/* Sets the adapters of an engine. If they differ, all of them are ordered anew.
 */
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

/* Adds an engine with the name and role of the desired state. */
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

/* Adds or updates an engine of the desired state. */
static void set_engine(orders_t *orders, const order_desired_t *desired)
{
	order_engine_t *engine = order_find(orders, desired->name);

	if (!engine)
		engine = add_engine(orders, desired);
	/* When the operator changes the role, a temporary role ends. */
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
 * The engines are sorted by name, so that a new lease holder starts with those
 * that the previous one was loading.
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

/* Returns whether an engine reports the desired model and version. */
static bool reports_desired_model(const order_engine_t *engine)
{
	return g_strcmp0(engine->reported_model, engine->model) == 0 &&
	       g_strcmp0(engine->reported_version, engine->version) == 0;
}

/* Stores the report of an engine. A report that is older than the last one, or
 * of an unknown engine, is dropped.
 */
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
	/* Adapters are lost when the engine runs another model. */
	if (!reports_desired_model(engine))
		engine->adapters_ordered = 0;
	else if (engine->sampled_us > engine->answered_us && !engine->in_flight)
		engine->loading = false;
}

/* Returns whether the last report is no older than ORDER_REPORT_MAX_AGE_US. */
static bool has_recent_report(const order_engine_t *engine, int64_t now_us)
{
	return engine->reported &&
	       now_us - engine->sampled_us <= ORDER_REPORT_MAX_AGE_US;
}

/* Returns whether an engine reports a model and a role. */
static bool serves(const order_engine_t *engine, const char *model, role_t role)
{
	return g_strcmp0(engine->reported_model, model) == 0 &&
	       engine->reported_role == role;
}

/* Counts the engines that should have a model and a role and are not leaving.
 */
static guint count_desired(const orders_t *orders, const char *model,
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

/* Counts of the other engines that report the same model and role as an engine.
 * If several are draining, as can happen after a change of lease holder, a
 * draining engine ignores those that follow it by name, so that one can go on.
 */
typedef struct {
	guint serving; /* with a recent report; neither changing nor leaving */
	guint changing; /* draining, loading, or an order is in flight */
} role_counts_t;

static role_counts_t count_others(const orders_t *orders,
				  const order_engine_t *self, int64_t now_us)
{
	role_counts_t others = {0, 0};

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
		else if (has_recent_report(engine, now_us) && !engine->leaving)
			others.serving++;
	}
	return others;
}

/* Counts the engines that are loading weights or an adapter. */
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

/* Returns whether an engine differs from its desired state, and stores the kind
 * of order that must come first.
 */
static bool first_difference(const order_engine_t *engine, order_kind_t *kind)
{
	if (!reports_desired_model(engine))
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
 * Returns whether an engine may stop its present work. The last serving engine
 * of a role may not, except if the desired state has no engine for the role, or
 * to load a new version if it has only one.
 */
static bool may_interrupt(const orders_t *orders, const order_engine_t *engine,
			  order_kind_t kind, int64_t now_us)
{
	guint n_desired = count_desired(orders, engine->reported_model,
					engine->reported_role);
	role_counts_t others = count_others(orders, engine, now_us);
	bool same_role_and_model =
		kind == ORDER_MODEL && engine->role == engine->reported_role &&
		g_strcmp0(engine->model, engine->reported_model) == 0;

	if (n_desired == 0 || others.serving > 0)
		return others.changing == 0 || n_desired == 0;
	return same_role_and_model && n_desired == 1 && others.changing == 0;
}

/* Starts to drain an engine if it is not draining yet. Returns true when
 * routers send it no more work and it has none left.
 */
static bool drain(const orders_t *orders, order_engine_t *engine,
		  int64_t now_us)
{
	int64_t routers_know_us =
		engine->drain_published_us + ORDER_DRAIN_NOTICE_US;

	if (count_desired(orders, engine->reported_model,
			  engine->reported_role) == 0 &&
	    engine->busy == 0)
		return true;
	if (!engine->draining) {
		engine->draining = true;
		engine->drain_published_us = 0;
		return false;
	}
	return engine->drain_published_us != 0 && now_us >= routers_know_us &&
	       engine->sampled_us >= routers_know_us && engine->busy == 0;
}

/* Returns how long to wait before a load is ordered again. The wait doubles
 * with each repeat, because some engines restart the load at each order.
 */
static int64_t repeat_wait_us(const order_engine_t *engine)
{
	return ORDER_REPEAT_US << MIN(engine->load_repeats, REPEAT_DOUBLINGS);
}

/* Returns whether an order may be sent although the last one was of the same
 * kind: a report must have had time to show the effect of that one.
 */
static bool may_repeat(const order_engine_t *engine, order_kind_t kind,
		       int64_t now_us)
{
	if (engine->answered_us == 0 || kind != engine->sent_kind)
		return true;
	if (kind == ORDER_MODEL)
		return now_us >= engine->answered_us + repeat_wait_us(engine);
	return kind == ORDER_ADAPTER ||
	       engine->sampled_us > engine->answered_us ||
	       now_us >= engine->answered_us + ORDER_REPEAT_US;
}

/* Returns whether an order may be sent now; starts to drain the engine if that
 * must come first.
 */
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
	/* While one engine of a role drains, no other one of that role may
	 * change.
	 */
	return may_interrupt(orders, engine, kind, now_us) &&
	       drain(orders, engine, now_us);
}

/*
 * Records that routers can read a note since `now_us`. ORDER_DRAIN_NOTICE_US
 * starts for each engine that the note lists as draining.
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

static void set_action(const order_engine_t *engine, order_kind_t kind,
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

/* Records that an order is going to be sent to an engine. */
static void set_in_flight(order_engine_t *engine, order_kind_t kind,
			  int64_t now_us)
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

/* Ends a load that has taken too long, and a drain that is no longer needed. */
static void clear_finished(order_engine_t *engine, int64_t now_us)
{
	order_kind_t kind;

	if (engine->loading && !engine->in_flight &&
	    now_us >= engine->load_since_us + ORDER_LOAD_TIMEOUT_US)
		engine->loading = false;
	if (engine->draining &&
	    (!first_difference(engine, &kind) || kind == ORDER_ADAPTER))
		engine->draining = false;
}

/*
 * Stores the next order to send and returns true, or returns false if none is
 * due. The caller must report the result with order_done(). Call this until it
 * returns false, and after every report. An engine without a recent report gets
 * no orders.
 */
bool order_next(orders_t *orders, int64_t now_us, order_action_t *action)
{
	for (guint i = 0; i < orders->engines->len && !orders->token_refused;
	     i++) {
		order_engine_t *engine = orders->engines->pdata[i];
		order_kind_t kind;

		if (!has_recent_report(engine, now_us))
			continue;
		clear_finished(engine, now_us);
		if (engine->leaving || engine->in_flight ||
		    !first_difference(engine, &kind) ||
		    !is_due(orders, engine, kind, now_us))
			continue;
		set_in_flight(engine, kind, now_us);
		set_action(engine, kind, action);
		return true;
	}
	return false;
}

/* Records the outcome of the last order that order_next() returned for an
 * engine.
 */
void order_done(orders_t *orders, str_t name, int64_t now_us,
		order_outcome_t outcome)
{
	order_engine_t *engine = order_find(orders, name);

	if (!engine || !engine->in_flight)
		return;
	engine->in_flight = false;
	engine->answered_us = now_us;
	switch (outcome) {
	case ORDER_APPLIED:
		if (engine->sent_kind != ORDER_ADAPTER)
			break;
		/* Reports don't list adapters, so the answer must do. */
		engine->adapters_ordered++;
		engine->loading = false;
		break;
	case ORDER_STALE_TOKEN:
		/* The lease is read again. If it is still held, the other
		 * engines must not wait for the one that refused the token.
		 */
		orders->token_refused = true;
		engine->not_before_us = now_us + STALE_TOKEN_RETRY_US;
		engine->loading = false;
		break;
	case ORDER_FAILED:
		engine->answered_us = 0;
		engine->not_before_us = now_us + FAILED_RETRY_US;
		engine->loading = false;
		break;
	case ORDER_UNKNOWN:
		/* The engine may be loading; may_repeat() decides when the
		 * order is sent again.
		 */
		engine->not_before_us = now_us + FAILED_RETRY_US;
		break;
	}
}

/* Returns whether every engine that is not leaving is in its desired state. */
bool order_is_settled(const orders_t *orders)
{
	for (guint i = 0; i < orders->engines->len; i++) {
		const order_engine_t *engine = orders->engines->pdata[i];
		order_kind_t kind;

		if (!engine->leaving &&
		    (!engine->reported || first_difference(engine, &kind)))
			return false;
	}
	return true;
}
