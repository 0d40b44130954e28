#include <string.h>

#include "process/order.h"

static order_demand_t *find_demand(orders_t *orders, str_t model)
{
	order_demand_t *demand;

	for (guint i = 0; i < orders->demands->len; i++) {
		demand = orders->demands->pdata[i];
		if (str_equal(str_from(demand->model), model))
			return demand;
	}
	demand = g_new0(order_demand_t, 1);
	demand->model = str_dup(model);
	g_ptr_array_add(orders->demands, demand);
	return demand;
}

static bool is_candidate(const order_engine_t *engine, str_t model, role_t role)
{
	return !engine->leaving && engine->reported && engine->role == role &&
	       engine->reported_role == role &&
	       str_equal(str_from(engine->model), model);
}

/* Prefers engines that return to their own role, then those with less work. */
static bool is_better(const order_engine_t *engine, const order_engine_t *best)
{
	bool returns = engine->pool_role != engine->role;
	bool best_returns = best->pool_role != best->role;

	if (returns != best_returns)
		return returns;
	return engine->busy < best->busy;
}

/* Picks an engine that can leave a role; NULL when only one would remain
 * without it.
 */
static order_engine_t *pick_donor(const orders_t *orders, str_t model,
				  role_t role)
{
	order_engine_t *best = NULL;
	guint n = 0;

	for (guint i = 0; i < orders->engines->len; i++) {
		order_engine_t *engine = orders->engines->pdata[i];

		if (!is_candidate(engine, model, role))
			continue;
		n++;
		if (!best || is_better(engine, best))
			best = engine;
	}
	return n >= 2 ? best : NULL;
}

static order_engine_t *pick_lent(const orders_t *orders, str_t model)
{
	for (guint i = 0; i < orders->engines->len; i++) {
		order_engine_t *engine = orders->engines->pdata[i];

		if (is_candidate(engine, model, engine->role) &&
		    engine->role != engine->pool_role)
			return engine;
	}
	return NULL;
}

/* Sets or clears the start of a condition. */
static void track(int64_t *since_us, bool holds, int64_t now_us)
{
	if (!holds)
		*since_us = 0;
	else if (*since_us == 0)
		*since_us = now_us;
}

static bool has_held(int64_t since_us, int64_t now_us)
{
	return since_us != 0 && now_us - since_us >= ORDER_PRESSURE_HOLD_US;
}

static void change_role(order_demand_t *demand, order_engine_t *engine,
			role_t role, int64_t now_us)
{
	engine->role = role;
	demand->role_changed_us = now_us;
	memset(demand->short_since_us, 0, sizeof(demand->short_since_us));
	demand->low_since_us = 0;
}

/*
 * Takes in the pressure of both roles of a model in the zone (busy part of the
 * capacity, by role_t), to be called every few seconds. Lends an engine to a
 * role that has been short for long, and lets it return when neither is busy.
 */
void order_set_demand(orders_t *orders, str_t model, const double pressure[2],
		      int64_t now_us)
{
	order_demand_t *demand = find_demand(orders, model);
	bool relaxed = true;
	order_engine_t *engine;

	for (int role = ROLE_PREFILL; role <= ROLE_DECODE; role++) {
		int other = ROLE_DECODE - role;

		track(&demand->short_since_us[role],
		      pressure[role] >= ORDER_PRESSURE_HIGH &&
			      pressure[other] <= ORDER_PRESSURE_LOW,
		      now_us);
		relaxed = relaxed && pressure[role] <= ORDER_PRESSURE_LOW;
	}
	track(&demand->low_since_us, relaxed, now_us);
	if (demand->role_changed_us != 0 &&
	    now_us - demand->role_changed_us < ORDER_ROLE_CHANGE_INTERVAL_US)
		return;
	for (int role = ROLE_PREFILL; role <= ROLE_DECODE; role++) {
		if (!has_held(demand->short_since_us[role], now_us))
			continue;
		engine =
			pick_donor(orders, model, (role_t)(ROLE_DECODE - role));
		if (engine) {
			change_role(demand, engine, (role_t)role, now_us);
			return;
		}
	}
	engine = has_held(demand->low_since_us, now_us)
			 ? pick_lent(orders, model)
			 : NULL;
	if (engine)
		change_role(demand, engine, engine->pool_role, now_us);
}

static const char *const role_names[] = {"prefill", "decode"};

/*
 * Appends what a successor has to know and routers have to follow, as lines
 * "lent NAME ROLE" and "draining NAME".
 */
void order_print_note(const orders_t *orders, GString *note)
{
	for (guint i = 0; i < orders->engines->len; i++) {
		const order_engine_t *engine = orders->engines->pdata[i];

		if (engine->role != engine->pool_role)
			g_string_append_printf(note, "lent %s %s\n",
					       engine->name,
					       role_names[engine->role]);
		if (engine->draining)
			g_string_append_printf(note, "draining %s\n",
					       engine->name);
	}
}

static void read_line(orders_t *orders, char **words)
{
	order_engine_t *engine =
		words[0] && words[1] ? order_find(orders, str_from(words[1]))
				     : NULL;

	if (!engine)
		return;
	if (strcmp(words[0], "draining") == 0) {
		engine->draining = true;
		engine->drain_published_us = 0;
	} else if (strcmp(words[0], "lent") == 0 && words[2]) {
		engine->role = strcmp(words[2], role_names[ROLE_DECODE]) == 0
				       ? ROLE_DECODE
				       : ROLE_PREFILL;
	}
}

/* Takes over the previous holder's loans and drains in place of the own ones;
 * unknown lines and engines are skipped.
 */
void order_read_note(orders_t *orders, str_t note)
{
	char *text = str_dup(note);
	char **lines = g_strsplit(text, "\n", -1);

	for (guint i = 0; i < orders->engines->len; i++) {
		order_engine_t *engine = orders->engines->pdata[i];

		engine->role = engine->pool_role;
		engine->draining = false;
	}
	for (char **line = lines; *line; line++) {
		char **words = g_strsplit(*line, " ", 4);

		read_line(orders, words);
		g_strfreev(words);
	}
	g_strfreev(lines);
	g_free(text);
}

/* Tells whether a note says that an engine is to get no new work. */
bool order_note_has_drain(str_t note, str_t name)
{
	char *text = str_dup(note);
	char **lines = g_strsplit(text, "\n", -1);
	char *wanted = g_strdup_printf("draining %.*s", STR_ARG(name));
	bool found = g_strv_contains((const gchar *const *)lines, wanted);

	g_free(wanted);
	g_strfreev(lines);
	g_free(text);
	return found;
}
