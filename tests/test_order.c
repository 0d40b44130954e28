/* Guards against orders that take the last engine of a role, interrupt work,
 * overload the weight store or follow every change of demand.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/order.h"

#define S CLOCK_US_PER_S
#define ENGINES 6

/* An engine as it is. */
typedef struct {
	role_t role;
	const char *model;
	const char *version;
	int64_t busy;
} engine_t;

typedef struct {
	orders_t orders;
	engine_t engines[ENGINES];
	order_desired_t desired[ENGINES];
	size_t n;
	int64_t now_us;
	int sent[ORDER_ADAPTER + 1];
} fixture_t;

static const char *const names[ENGINES] = {"e0", "e1", "e2", "e3", "e4", "e5"};
static const str_t adapters[] = {{"legal", 5}, {"travel", 6}};

/* Engines with a role each ('p' or 'd'), all as desired. */
static void fill(fixture_t *f, const char *roles)
{
	f->n = strlen(roles);
	for (size_t i = 0; i < f->n; i++) {
		role_t role = roles[i] == 'p' ? ROLE_PREFILL : ROLE_DECODE;

		f->engines[i] = (engine_t){role, "m", "1", 0};
		f->desired[i] = (order_desired_t){.name = str_from(names[i]),
						  .address = STR("a"),
						  .role = role,
						  .model = STR("m"),
						  .version = STR("1")};
	}
	order_set_desired(&f->orders, f->desired, f->n);
}

static void report_all(fixture_t *f)
{
	for (size_t i = 0; i < f->n; i++) {
		const engine_t *e = &f->engines[i];
		order_report_t report = {.role = e->role,
					 .model = str_from(e->model),
					 .version = str_from(e->version),
					 .busy = e->busy,
					 .sampled_us = f->now_us};

		order_report(&f->orders, str_from(names[i]), &report);
	}
}

static size_t index_of(const char *name)
{
	return (size_t)(name[1] - '0');
}

static void apply(fixture_t *f, const order_action_t *action)
{
	engine_t *e = &f->engines[index_of(action->name)];

	f->sent[action->kind]++;
	if (action->kind == ORDER_ROLE)
		e->role = action->role;
	if (action->kind == ORDER_MODEL) {
		e->model = action->model;
		e->version = action->version;
	}
}

static int serving(const fixture_t *f, role_t role)
{
	int n = 0;

	for (size_t i = 0; i < f->n; i++)
		n += f->engines[i].role == role &&
		     strcmp(f->engines[i].model, "m") == 0;
	return n;
}

/* Lets routers know of all drains at once. */
static void publish(fixture_t *f)
{
	GString *note = g_string_new(NULL);

	order_print_note(&f->orders, note);
	order_note_published(&f->orders, str_from_gstring(note), f->now_us);
	g_string_free(note, TRUE);
}

/* Lets time pass by seconds; every order is executed at once. */
static void run(fixture_t *f, int seconds)
{
	order_action_t action;

	for (int i = 0; i < seconds; i++) {
		f->now_us += S;
		report_all(f);
		while (order_next(&f->orders, f->now_us, &action)) {
			assert_int_equal(f->engines[index_of(action.name)].busy,
					 0);
			apply(f, &action);
			order_done(&f->orders, str_from(action.name), f->now_us,
				   ORDER_APPLIED);
			assert_true(serving(f, ROLE_PREFILL) > 0);
			assert_true(serving(f, ROLE_DECODE) > 0);
		}
		publish(f);
	}
}

static int setup(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->now_us = S;
	order_init(&f->orders);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *f = *state;

	order_finish(&f->orders);
	g_free(f);
	return 0;
}

static int total(const fixture_t *f)
{
	return f->sent[ORDER_ROLE] + f->sent[ORDER_MODEL] +
	       f->sent[ORDER_ADAPTER];
}

static void test_nothing_to_do(void **state)
{
	fixture_t *f = *state;

	fill(f, "ppdd");
	run(f, 60);
	assert_int_equal(total(f), 0);
	assert_true(order_is_settled(&f->orders));
}

/* A changed role: the engine is drained first, and one of the role stays. */
static void test_role(void **state)
{
	static const struct {
		const char *before;
		size_t engine;
		int64_t busy;
		bool changes;
	} cases[] = {
		{"ppdd", 1, 0, true},
		{"ppdd", 1, 3, false}, /* it never becomes idle */
		{"pddd", 0, 0, false}, /* the last of its role, still wanted */
		{"ppd", 0, 0, true},
	};
	fixture_t *f = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		size_t engine = cases[i].engine;

		order_finish(&f->orders);
		order_init(&f->orders);
		fill(f, cases[i].before);
		f->engines[engine].busy = cases[i].busy;
		f->desired[engine].role = ROLE_DECODE;
		/* In the third case another engine is wanted for prefill but
		 * cannot be changed.
		 */
		f->desired[2].role = i == 2 ? ROLE_PREFILL : ROLE_DECODE;
		f->engines[2].busy = i == 2 ? 1 : 0;
		order_set_desired(&f->orders, f->desired, f->n);
		run(f, 4);
		assert_int_equal(f->engines[engine].role, ROLE_PREFILL);
		assert_int_equal(order_find(&f->orders, str_from(names[engine]))
					 ->draining,
				 i != 2);
		run(f, 60);
		assert_int_equal(f->engines[engine].role == ROLE_DECODE,
				 cases[i].changes);
	}
}

/* An engine is not taken before routers could know that it is draining. */
static void test_unpublished(void **state)
{
	fixture_t *f = *state;
	order_action_t action;

	fill(f, "ppdd");
	f->desired[1].role = ROLE_DECODE;
	order_set_desired(&f->orders, f->desired, f->n);
	for (int i = 0; i < 60; i++) {
		f->now_us += S;
		report_all(f);
		assert_false(order_next(&f->orders, f->now_us, &action));
	}
	run(f, 10);
	assert_int_equal(f->sent[ORDER_ROLE], 1);
}

/* A new version reaches every engine within a bounded number of loads at a time,
 * although a repeated order starts the load of 20 s anew.
 */
static void test_version(void **state)
{
	fixture_t *f = *state;
	int open[ENGINES] = {0};

	fill(f, "pppddd");
	for (size_t i = 0; i < f->n; i++)
		f->desired[i].version = STR("2");
	order_set_desired(&f->orders, f->desired, f->n);
	for (int second = 0; second < 600; second++) {
		order_action_t action;
		int loading = 0;

		f->now_us += S;
		report_all(f);
		while (order_next(&f->orders, f->now_us, &action)) {
			f->sent[action.kind]++;
			open[index_of(action.name)] = 20;
			order_done(&f->orders, str_from(action.name), f->now_us,
				   ORDER_APPLIED);
		}
		publish(f);
		for (size_t i = 0; i < f->n; i++) {
			loading += open[i] > 0;
			if (open[i] > 0 && --open[i] == 0)
				f->engines[i].version = "2";
		}
		assert_in_range(loading, 0, ORDER_LOADS_MAX);
	}
	assert_true(order_is_settled(&f->orders));
	/* Ordered once, after 10 s, and at most once more after 20 s. */
	assert_in_range(f->sent[ORDER_MODEL], f->n, 3 * f->n);
}

/* The only engine of a role still gets a new version. */
static void test_version_of_last(void **state)
{
	fixture_t *f = *state;

	fill(f, "pd");
	f->desired[0].version = STR("2");
	order_set_desired(&f->orders, f->desired, f->n);
	run(f, 30);
	assert_string_equal(f->engines[0].version, "2");
	assert_int_equal(f->sent[ORDER_MODEL], 1);
}

static void test_adapters(void **state)
{
	fixture_t *f = *state;

	fill(f, "pd");
	f->desired[0].adapters = adapters;
	f->desired[0].n_adapters = 2;
	order_set_desired(&f->orders, f->desired, f->n);
	run(f, 30);
	assert_int_equal(f->sent[ORDER_ADAPTER], 2);
	/* A new holder does not know which adapters were loaded. */
	order_forget_sent(&f->orders);
	run(f, 30);
	assert_int_equal(f->sent[ORDER_ADAPTER], 4);
	assert_int_equal(total(f), 4);
}

/* Answers to an order: when it is repeated, and what then is sent. */
static void test_answers(void **state)
{
	static const struct {
		order_outcome_t outcome;
		bool executed;
		int again_min_s; /* no repetition before */
		bool again;
	} cases[] = {
		{ORDER_APPLIED, true, 60, false},
		{ORDER_APPLIED, false, 1, true},
		{ORDER_FAILED, false, 2, true},
		{ORDER_UNKNOWN, false, 2, true},
		{ORDER_UNKNOWN, true, 60, false},
		{ORDER_STALE_TOKEN, false, 60, false},
	};
	fixture_t *f = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		order_action_t action;
		int64_t sent_us;
		bool again = false;

		order_finish(&f->orders);
		order_init(&f->orders);
		fill(f, "ppd");
		f->desired[0].role = ROLE_DECODE;
		order_set_desired(&f->orders, f->desired, f->n);
		report_all(f);
		while (!order_next(&f->orders, f->now_us, &action)) {
			publish(f);
			f->now_us += S;
			report_all(f);
		}
		sent_us = f->now_us;
		if (cases[i].executed)
			apply(f, &action);
		order_done(&f->orders, STR("e0"), f->now_us, cases[i].outcome);
		assert_int_equal(f->orders.token_refused,
				 cases[i].outcome == ORDER_STALE_TOKEN);
		while (!again && f->now_us < sent_us + 60 * S) {
			f->now_us += S;
			report_all(f);
			again = order_next(&f->orders, f->now_us, &action);
		}
		assert_int_equal(again, cases[i].again);
		if (again)
			assert_true(f->now_us - sent_us >=
				    cases[i].again_min_s * S);
	}
}

/* Engines without recent reports, and leaving ones, get no orders. */
static void test_no_orders(void **state)
{
	fixture_t *f = *state;
	order_action_t action;

	fill(f, "ppdd");
	f->desired[1].version = STR("2");
	order_set_desired(&f->orders, f->desired, f->n);
	report_all(f);
	f->now_us += ORDER_REPORT_MAX_AGE_US + S;
	assert_false(order_next(&f->orders, f->now_us, &action));
	f->desired[1].leaving = true;
	order_set_desired(&f->orders, f->desired, f->n);
	run(f, 60);
	assert_int_equal(total(f), 0);
}

static void demand(fixture_t *f, double prefill, double decode, int seconds)
{
	const double pressure[] = {prefill, decode};

	for (int i = 0; i < seconds; i++) {
		order_set_demand(&f->orders, STR("m"), pressure, f->now_us);
		run(f, 1);
	}
}

/* Lasting demand moves one engine, and back when it is over; short or
 * alternating demand moves none; the last of a role stays.
 */
static void test_demand(void **state)
{
	fixture_t *f = *state;

	fill(f, "ppdd");
	for (int i = 0; i < 10; i++) {
		demand(f, 1.0, 0.1, 20);
		demand(f, 0.1, 1.0, 20);
	}
	assert_int_equal(total(f), 0);
	demand(f, 1.0, 0.6, 100);
	assert_int_equal(total(f), 0);
	demand(f, 1.0, 0.2, 100);
	assert_int_equal(serving(f, ROLE_PREFILL), 3);
	demand(f, 1.0, 0.2, 1000);
	assert_int_equal(serving(f, ROLE_PREFILL), 3);
	assert_int_equal(serving(f, ROLE_DECODE), 1);
	demand(f, 0.6, 0.6, 1000);
	assert_int_equal(f->sent[ORDER_ROLE], 1);
	demand(f, 0.1, 0.1, 100);
	assert_int_equal(serving(f, ROLE_PREFILL), 2);
	assert_int_equal(f->sent[ORDER_ROLE], 2);
}

/* A successor keeps loans and drains; the operator's change ends a loan. */
static void test_note(void **state)
{
	fixture_t *f = *state;
	GString *note = g_string_new(NULL);

	fill(f, "ppdd");
	demand(f, 1.0, 0.2, 100);
	f->engines[0].busy = 1;
	f->desired[0].version = STR("2");
	order_set_desired(&f->orders, f->desired, f->n);
	run(f, 2);
	order_print_note(&f->orders, note);
	assert_true(order_note_has_drain(str_from_gstring(note), STR("e0")));
	assert_false(order_note_has_drain(str_from_gstring(note), STR("e1")));
	order_finish(&f->orders);
	order_init(&f->orders);
	order_set_desired(&f->orders, f->desired, f->n);
	order_read_note(&f->orders, STR("lent\nx\nlent e9 decode\n\n "));
	order_read_note(&f->orders, str_from_gstring(note));
	run(f, 30);
	assert_int_equal(serving(f, ROLE_PREFILL), 3);
	assert_true(order_find(&f->orders, STR("e0"))->draining);
	f->desired[2].role = ROLE_PREFILL;
	f->desired[3].role = ROLE_DECODE;
	order_set_desired(&f->orders, f->desired, f->n);
	assert_int_equal(order_find(&f->orders, STR("e2"))->role, ROLE_PREFILL);
	g_string_free(note, TRUE);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_nothing_to_do),   TEST(test_role),
		TEST(test_unpublished),	    TEST(test_version),
		TEST(test_version_of_last), TEST(test_adapters),
		TEST(test_answers),	    TEST(test_no_orders),
		TEST(test_demand),	    TEST(test_note),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
