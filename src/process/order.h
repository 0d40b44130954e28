/* Orders to the model engines of one zone: compares the desired state with
 * what engines report and yields the next order. Contains no sockets and reads
 * no clock. Every order is absolute and may be repeated.
 */
#ifndef PROCESS_ORDER_H
#define PROCESS_ORDER_H

#include <stdint.h>

#include "process/clock.h"
#include "process/str.h"
#include "version/state.h"

/* Weights that engines may load at once; the weight store limits its rate. */
#define ORDER_LOADS_MAX 2
/* An order without a confirming report is repeated after this. */
#define ORDER_REPEAT_US (10 * CLOCK_US_PER_S)
/* A load that no report confirms frees its place after this. */
#define ORDER_LOAD_TIMEOUT_US (600 * CLOCK_US_PER_S)
/* Time for all routers to hear that an engine gets no new work. */
#define ORDER_DRAIN_NOTICE_US (5 * CLOCK_US_PER_S)
/* Reports older than this say nothing. */
#define ORDER_REPORT_MAX_AGE_US (10 * CLOCK_US_PER_S)

/* Pressure of a role, in busy parts of its capacity: above HIGH it takes an
 * engine of the other role, when that is below LOW. Both must hold for HOLD,
 * and changes of one model are PAUSE apart. The distance of the two limits
 * keeps an engine that has just moved from moving back: moving one of two
 * engines doubles the other's pressure.
 */
#define ORDER_PRESSURE_HIGH 0.9
#define ORDER_PRESSURE_LOW 0.4
#define ORDER_PRESSURE_HOLD_US (30 * CLOCK_US_PER_S)
#define ORDER_ROLE_CHANGE_INTERVAL_US (120 * CLOCK_US_PER_S)

typedef enum {
	ORDER_ROLE,
	ORDER_MODEL, /* model and version: loads weights */
	ORDER_ADAPTER, /* loads an adapter */
} order_kind_t;

/* What an engine is to be. The strings are borrowed during the call. */
typedef struct {
	str_t name;
	str_t address; /* IP:port */
	role_t role;
	str_t model;
	str_t version;
	const str_t *adapters;
	size_t n_adapters;
	bool leaving;
} order_desired_t;

/* What an engine says that it is. */
typedef struct {
	role_t role;
	str_t model;
	str_t version;
	int64_t busy; /* requests running and queued */
	int64_t sampled_us; /* when this was so */
} order_report_t;

typedef enum {
	ORDER_APPLIED,
	ORDER_STALE_TOKEN, /* the engine knows a higher token */
	ORDER_FAILED, /* not executed */
	ORDER_UNKNOWN, /* the answer was lost */
} order_outcome_t;

typedef struct {
	order_kind_t kind;
	const char *name; /* of the engine; borrowed until the next call */
	const char *address;
	role_t role; /* ORDER_ROLE */
	const char *model;
	const char *version;
	const char *adapter; /* ORDER_ADAPTER */
} order_action_t;

typedef struct {
	char *name;
	char *address;
	char *model;
	char *version;
	GPtrArray *adapters; /* of char * */
	role_t pool_role; /* of its pool */
	role_t role; /* wanted now; differs while lent by demand */
	bool leaving;
	bool in_desired; /* used while the desired state is replaced */
	bool reported;
	char *reported_model;
	char *reported_version;
	role_t reported_role;
	int64_t busy;
	int64_t sampled_us;
	bool draining; /* routers are to send no new work */
	int64_t drain_published_us; /* since when routers can know it; 0: not yet */
	bool in_flight; /* an order was sent and not answered */
	bool loading; /* counts against ORDER_LOADS_MAX */
	int64_t load_since_us; /* since when */
	unsigned load_repeats; /* of the order to load */
	order_kind_t sent_kind; /* of the last order */
	int64_t sent_us; /* answer to the last order; 0: none */
	int64_t not_before_us; /* no order before */
	guint adapters_ordered; /* adapters that were ordered */
} order_engine_t;

/* Demand for one model. */
typedef struct {
	char *model;
	int64_t short_since_us[2]; /* since when a role is short; 0: it is not */
	int64_t low_since_us; /* since when neither role is busy; 0: not so */
	int64_t role_changed_us; /* last change of a role; 0: none */
} order_demand_t;

typedef struct {
	GPtrArray *engines; /* of order_engine_t, owned, by name */
	GPtrArray *demands; /* of order_demand_t, owned */
	bool token_refused; /* an engine has refused the token */
} orders_t;

order_engine_t *order_find(const orders_t *orders, str_t name);
void order_init(orders_t *orders);
void order_finish(orders_t *orders);
void order_forget_sent(orders_t *orders);
void order_set_desired(orders_t *orders, const order_desired_t *desired,
		       size_t n);
void order_report(orders_t *orders, str_t name, const order_report_t *report);
void order_set_demand(orders_t *orders, str_t model, const double pressure[2],
		      int64_t now_us);
bool order_next(orders_t *orders, int64_t now_us, order_action_t *action);
void order_done(orders_t *orders, str_t name, int64_t now_us,
		order_outcome_t outcome);
bool order_is_settled(const orders_t *orders);
void order_print_note(const orders_t *orders, GString *note);
void order_read_note(orders_t *orders, str_t note);
void order_note_published(orders_t *orders, str_t note, int64_t now_us);
bool order_note_has_drain(str_t note, str_t name);

#endif
