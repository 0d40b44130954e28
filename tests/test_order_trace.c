/* Guards against an engine that is left with the wrong role or model when two
 * processes both believe that they hold the lease. Random traces with pauses
 * (also between the check of the lease and the send), lost and late table
 * calls, lost and late orders, for engines that check fencing tokens and for
 * engines that ignore them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/lease.h"
#include "process/order.h"

#define MS CLOCK_US_PER_MS
#define S CLOCK_US_PER_S
#define STEP_US (50 * MS)
#define SEEDS 60
#define FAULTY_US (180 * S)
#define CALM_US (180 * S)
#define ENGINES 4
#define REPORT_LAG_US (500 * MS)

static const char *const names[ENGINES] = {"e0", "e1", "e2", "e3"};

typedef struct {
	role_t role;
	char version[8];
	uint64_t fence;
	uint64_t executed_fence; /* of the last executed order */
} engine_t;

/* A call to the table, or an order, on its way or answered. */
typedef struct {
	int64_t arrives_us; /* 0: executed or lost */
	int64_t answered_us;
	bool lost;
	bool answer_lost;
	bool busy;
	lease_action_kind_t kind;
	uint64_t expected_version;
	char *value;
	lease_call_outcome_t outcome;
	uint64_t version;
} table_call_t;

typedef struct {
	int64_t arrives_us; /* 0: executed or lost */
	int64_t answered_us;
	bool waiting; /* the sender waits for the answer */
	bool refused;
	bool answer_lost;
	uint64_t fence;
	order_kind_t kind;
	role_t role;
	char version[8];
	size_t engine;
} order_call_t;

typedef struct {
	lease_t lease;
	orders_t orders;
	order_desired_t desired[ENGINES];
	uint64_t token; /* that the orders were restarted for */
	int64_t paused_until_us;
	table_call_t call;
	GArray *sent; /* of order_call_t */
} process_t;

static struct {
	GRand *rand;
	int64_t now_us;
	bool faulty;
	bool checks;
	engine_t engines[ENGINES];
	engine_t seen[ENGINES]; /* as reported */
	int64_t seen_us;
	uint64_t version;
	char *value;
	process_t processes[2];
	int late_orders; /* executed although the sender's lease had lapsed */
} sim;

static bool chance(double probability)
{
	return sim.faulty && g_rand_double(sim.rand) < probability;
}

static int64_t delay(int64_t max_us)
{
	return g_rand_int_range(sim.rand, 1,
				(gint32)(sim.faulty ? max_us : 20 * MS));
}

static void maybe_pause(process_t *p, double probability)
{
	if (chance(probability))
		p->paused_until_us = sim.now_us + delay(40 * S);
}

static void start_call(process_t *p, const lease_action_t *action)
{
	table_call_t *call = &p->call;

	memset(call, 0, sizeof(*call));
	call->busy = true;
	call->kind = action->kind;
	call->expected_version = action->expected_version;
	if (action->kind == LEASE_WRITE)
		call->value = g_strdup(action->value->str);
	call->lost = chance(0.1);
	call->answer_lost = chance(0.1);
	call->arrives_us = sim.now_us + delay(3 * S);
	call->answered_us = call->arrives_us + delay(1 * S);
}

static void execute_call(table_call_t *call)
{
	call->arrives_us = 0;
	call->outcome = LEASE_CALL_DONE;
	if (call->lost)
		return;
	if (call->kind == LEASE_READ) {
		if (sim.version == 0)
			call->outcome = LEASE_CALL_REFUSED;
		call->value = g_strdup(sim.value ? sim.value : "");
	} else if (call->expected_version != sim.version) {
		call->outcome = LEASE_CALL_REFUSED;
	} else {
		sim.version++;
		g_free(sim.value);
		sim.value = g_strdup(call->value);
	}
	call->version = sim.version;
}

static void finish_call(process_t *p)
{
	table_call_t *call = &p->call;

	call->busy = false;
	if (call->lost || call->answer_lost)
		call->outcome = LEASE_CALL_UNKNOWN;
	if (call->kind == LEASE_READ)
		lease_on_read(&p->lease, sim.now_us, call->outcome,
			      call->version,
			      str_from(call->value ? call->value : ""));
	else
		lease_on_write(&p->lease, sim.now_us, call->outcome,
			       call->version);
	g_clear_pointer(&call->value, g_free);
}

static void step_table(process_t *p)
{
	table_call_t *call = &p->call;

	if (call->busy && call->arrives_us && sim.now_us >= call->arrives_us)
		execute_call(call);
}

static void execute_order(order_call_t *order)
{
	engine_t *engine = &sim.engines[order->engine];

	order->arrives_us = 0;
	if (sim.checks && order->fence < engine->fence) {
		order->refused = true;
		return;
	}
	engine->fence = MAX(engine->fence, order->fence);
	if (sim.checks)
		assert_true(order->fence >= engine->executed_fence);
	else if (order->fence < engine->executed_fence)
		sim.late_orders++;
	engine->executed_fence = order->fence;
	if (order->kind == ORDER_ROLE)
		engine->role = order->role;
	else
		g_strlcpy(engine->version, order->version,
			  sizeof(engine->version));
}

static void step_orders(process_t *p)
{
	for (guint i = 0; i < p->sent->len; i++) {
		order_call_t *order = &g_array_index(p->sent, order_call_t, i);

		if (order->arrives_us && sim.now_us >= order->arrives_us)
			execute_order(order);
	}
}

static void take_answers(process_t *p)
{
	for (guint i = 0; i < p->sent->len; i++) {
		order_call_t *order = &g_array_index(p->sent, order_call_t, i);
		order_outcome_t outcome = ORDER_APPLIED;

		if (!order->waiting || sim.now_us < order->answered_us)
			continue;
		order->waiting = false;
		if (order->answer_lost || order->arrives_us)
			outcome = ORDER_UNKNOWN;
		else if (order->refused)
			outcome = ORDER_STALE_TOKEN;
		order_done(&p->orders, str_from(names[order->engine]),
			   sim.now_us, outcome);
		if (outcome == ORDER_STALE_TOKEN)
			lease_suspend(&p->lease, sim.now_us);
	}
}

/* Sends an order. The check of the lease came just before; the process may be
 * paused in between, and the order then leaves after the pause.
 */
static void send_order(process_t *p, const order_action_t *action)
{
	order_call_t order = {.waiting = true,
			      .fence = p->lease.token,
			      .kind = action->kind,
			      .role = action->role,
			      .engine = (size_t)(action->name[1] - '0')};
	int64_t leaves_us;

	g_strlcpy(order.version, action->version, sizeof(order.version));
	maybe_pause(p, 0.1);
	leaves_us = MAX(sim.now_us, p->paused_until_us);
	order.arrives_us = leaves_us + delay(LEASE_TAKEOVER_DELAY_US);
	order.answered_us = leaves_us + LEASE_TAKEOVER_DELAY_US;
	if (chance(0.1))
		order.arrives_us = 0;
	order.answer_lost = chance(0.2) || order.arrives_us == 0;
	g_array_append_val(p->sent, order);
}

static void report(process_t *p)
{
	for (size_t i = 0; i < ENGINES; i++) {
		order_report_t entry = {.role = sim.seen[i].role,
					.model = STR("m"),
					.version =
						str_from(sim.seen[i].version),
					.sampled_us = sim.seen_us};

		order_report(&p->orders, str_from(names[i]), &entry);
	}
}

static void publish(process_t *p)
{
	GString *note = g_string_new(NULL);

	order_print_note(&p->orders, note);
	order_note_published(&p->orders, str_from_gstring(note), sim.now_us);
	g_string_free(note, TRUE);
}

static void step_process(process_t *p)
{
	lease_action_t call;
	order_action_t action;

	maybe_pause(p, 0.002);
	if (sim.now_us < p->paused_until_us)
		return;
	if (p->call.busy && sim.now_us >= p->call.answered_us)
		finish_call(p);
	take_answers(p);
	if (!p->call.busy) {
		call = lease_step(&p->lease, sim.now_us);
		if (call.kind != LEASE_NOTHING)
			start_call(p, &call);
	}
	report(p);
	publish(p);
	while (lease_may_send(&p->lease, sim.now_us) &&
	       sim.now_us >= p->paused_until_us) {
		if (p->token != p->lease.token || p->orders.token_refused)
			order_forget_sent(&p->orders);
		p->token = p->lease.token;
		if (!order_next(&p->orders, sim.now_us, &action))
			break;
		send_order(p, &action);
	}
}

static void init_process(int number)
{
	process_t *p = &sim.processes[number];

	memset(p, 0, sizeof(*p));
	p->sent = g_array_new(FALSE, TRUE, sizeof(order_call_t));
	lease_init(&p->lease, number ? "vm-1" : "vm-0", 7, sim.now_us);
	lease_set_wanted(&p->lease, true, sim.now_us);
	order_init(&p->orders);
	for (size_t i = 0; i < ENGINES; i++) {
		/* The two want different versions, and roles of "e1". */
		bool prefill = i == 0 || (i == 1 && number == 0);

		p->desired[i] = (order_desired_t){
			.name = str_from(names[i]),
			.address = STR("a"),
			.role = prefill ? ROLE_PREFILL : ROLE_DECODE,
			.model = STR("m"),
			.version = number ? STR("v1") : STR("v0")};
	}
	order_set_desired(&p->orders, p->desired, ENGINES);
}

static void init(uint32_t seed, bool checks)
{
	memset(&sim, 0, sizeof(sim));
	sim.rand = g_rand_new_with_seed(seed);
	sim.now_us = S;
	sim.checks = checks;
	for (size_t i = 0; i < ENGINES; i++) {
		sim.engines[i].role = i < 2 ? ROLE_PREFILL : ROLE_DECODE;
		g_strlcpy(sim.engines[i].version, "old", 8);
	}
	init_process(0);
	init_process(1);
}

static void finish(void)
{
	for (int i = 0; i < 2; i++) {
		lease_finish(&sim.processes[i].lease);
		order_finish(&sim.processes[i].orders);
		g_array_unref(sim.processes[i].sent);
		g_free(sim.processes[i].call.value);
	}
	g_free(sim.value);
	g_rand_free(sim.rand);
}

static void run_until(int64_t until_us)
{
	for (; sim.now_us < until_us; sim.now_us += STEP_US) {
		if (sim.now_us >= sim.seen_us + 2 * REPORT_LAG_US) {
			memcpy(sim.seen, sim.engines, sizeof(sim.seen));
			sim.seen_us = sim.now_us;
		}
		for (int i = 0; i < 2; i++) {
			step_table(&sim.processes[i]);
			step_orders(&sim.processes[i]);
		}
		for (int i = 0; i < 2; i++)
			step_process(&sim.processes[i]);
		/* Also a paused process would find that it may not send. */
		assert_false(
			lease_may_send(&sim.processes[0].lease, sim.now_us) &&
			lease_may_send(&sim.processes[1].lease, sim.now_us));
	}
}

static void check_end(void)
{
	const process_t *holder = NULL;

	for (int i = 0; i < 2; i++) {
		if (lease_may_send(&sim.processes[i].lease, sim.now_us))
			holder = &sim.processes[i];
	}
	if (!holder)
		fail_msg("nobody holds the lease");
	for (size_t i = 0; holder && i < ENGINES; i++) {
		assert_int_equal(sim.engines[i].role, holder->desired[i].role);
		assert_true(str_equal(str_from(sim.engines[i].version),
				      holder->desired[i].version));
	}
}

static int run_traces(bool checks)
{
	int late = 0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		print_message("seed %u\n", seed);
		init(seed, checks);
		sim.faulty = true;
		run_until(FAULTY_US);
		sim.faulty = false;
		run_until(FAULTY_US + CALM_US);
		check_end();
		late += sim.late_orders;
		finish();
	}
	return late;
}

static void test_engines_that_check(void **state)
{
	run_traces(true);
}

static void test_engines_that_ignore(void **state)
{
	/* The traces must contain what they are to guard against. */
	assert_true(run_traces(false) > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_engines_that_check),
		cmocka_unit_test(test_engines_that_ignore),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
