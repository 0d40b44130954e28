/* VMs that give stage orders to model engines around a hand-over: one that is frozen, one
 * whose write was not answered, and two that begin a round in the same moment.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "process/entry/stage_orders.h"
#include "support_address.h"
#include "support_store.h"
#include "support_tcp_stub.h"

#define ENGINES 8
#define VMS 2
#define ROUNDS 12
#define ROUND_KEY STAGE_ROUND_PREFIX "llm"

/* An order of another holder may reach an engine so long after one of the first, not
 * before.
 */
#define LEASE_US (3 * CLOCK_US_PER_S)

/* An order that an engine has accepted. */
typedef struct {
	char *holder;
	int64_t fence;
	int64_t at_us; /* on the common clock */
} accepted_t;

typedef struct fixture fixture_t;

/* A model engine. */
typedef struct {
	fixture_t *fixture;
	ingress_t ingress;
	char *address;
	GArray *accepted; /* of accepted_t */
} engine_t;

/* The stage orders of one VM. */
typedef struct {
	fixture_t *fixture;
	http_pool_t pool;
	server_set_t servers;
	occupancy_t occupancy;
	stage_orders_t orders;
	int64_t ahead_us; /* of its clock */
} vm_t;

struct fixture {
	fake_store_t store;
	char *store_address;
	engine_t engines[ENGINES];
	vm_t vms[VMS];
	table_service_t service;
	int64_t skipped_us; /* by the common clock */
};

static int64_t common_now(const fixture_t *fixture)
{
	return fixture->skipped_us + g_get_monotonic_time();
}

static int64_t vm_now(void *context)
{
	vm_t *vm = context;

	return common_now(vm->fixture) + vm->ahead_us;
}

/* --- engines ------------------------------------------------------------- */

/* Returns the text of a member of a JSON object, or of a number; to be freed. */
static char *get_member(const char *json, const char *name)
{
	char *key = g_strdup_printf("\"%s\":", name);
	const char *at = strstr(json, key);

	g_free(key);
	assert_non_null(at);
	at += strlen(name) + 3;
	at += *at == '"' ? 1 : 0;
	return g_strndup(at, strcspn(at, "\",}"));
}

static void accept_order(engine_t *engine, str_t body)
{
	char *json = str_dup(body);
	char *fence = get_member(json, "fencingToken");
	accepted_t order = {
		.holder = get_member(json, "holder"),
		.fence = g_ascii_strtoll(fence, NULL, 10),
		.at_us = common_now(engine->fixture),
	};

	g_array_append_val(engine->accepted, order);
	g_free(fence);
	g_free(json);
}

static void on_request(void *context, exchange_t *exchange)
{
	engine_t *engine = context;
	http_headers_t headers;
	char *report;

	if (exchange_head(exchange)->method->str[0] == 'P') {
		accept_order(engine, exchange_body(exchange));
		exchange_reply_text(exchange, 202, 0, "accepted");
		return;
	}
	http_headers_init(&headers);
	report = g_strdup_printf("{\"stage\":\"prefill\",\"busy\":false,"
				 "\"sequence\":%u}",
				 engine->accepted->len);
	exchange_reply(exchange, 200, &headers, str_from(report));
	g_free(report);
	http_headers_finish(&headers);
}

static void on_gone(void *context, exchange_t *exchange)
{
}

static const ingress_handler_t engine_handler = {
	.on_request = on_request,
	.on_gone = on_gone,
};

static void free_accepted(gpointer order)
{
	g_free(((accepted_t *)order)->holder);
}

static void start_engine(fixture_t *fixture, unsigned i)
{
	engine_t *engine = &fixture->engines[i];
	static const ingress_limits_t limits = {
		.max_head_bytes = 65536,
		.max_body_bytes = 65536,
		.head_timeout_us = 10 * CLOCK_US_PER_S,
		.idle_timeout_us = 60 * CLOCK_US_PER_S,
	};

	engine->fixture = fixture;
	engine->address = unused_address();
	engine->accepted = g_array_new(FALSE, FALSE, sizeof(accepted_t));
	g_array_set_clear_func(engine->accepted, free_accepted);
	assert_true(ingress_init(&engine->ingress, engine->address,
				 clock_boottime(), &limits, &engine_handler,
				 engine));
}

/* --- VMs ----------------------------------------------------------------- */

static void start_vm(fixture_t *fixture, unsigned i)
{
	vm_t *vm = &fixture->vms[i];
	clock_source_t clock = {vm_now, vm};

	vm->fixture = fixture;
	http_pool_init(&vm->pool, clock, 1000, 0);
	server_set_init(&vm->servers);
	occupancy_init(&vm->occupancy);
	for (unsigned k = 0; k < ENGINES; k++) {
		server_entry_t entry = {
			.id = g_strdup_printf("engine-%u", k),
			.service = g_strdup("llm"),
			.address = g_strdup(fixture->engines[k].address),
			.zone = g_strdup("z"),
			.stage = k < ENGINES - 1 ? STAGE_PREFILL : STAGE_DECODE,
			.slots = 4,
		};

		server_set_put(&vm->servers, &entry, 0);
	}
	stage_orders_init(&vm->orders, clock, &vm->pool, &vm->pool,
			  &vm->servers, &vm->occupancy, i ? "vm-1" : "vm-0",
			  fixture->store_address);
}

static void start(fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fixture->service =
		(table_service_t){.name = (char *)"llm", .is_engine = true};
	for (unsigned i = 0; i < ENGINES; i++)
		start_engine(fixture, i);
	for (unsigned i = 0; i < VMS; i++)
		start_vm(fixture, i);
}

static void stop(fixture_t *fixture)
{
	for (unsigned i = 0; i < VMS; i++) {
		vm_t *vm = &fixture->vms[i];

		stage_orders_finish(&vm->orders);
		occupancy_finish(&vm->occupancy);
		server_set_finish(&vm->servers);
		http_pool_finish(&vm->pool);
	}
	for (unsigned i = 0; i < ENGINES; i++) {
		engine_t *engine = &fixture->engines[i];

		ingress_finish(&engine->ingress);
		g_array_unref(engine->accepted);
		g_free(engine->address);
	}
	fake_store_stop(&fixture->store);
	g_free(fixture->store_address);
}

/* Lets VMs check the balance of the stages for a while. */
static void check_stages(fixture_t *fixture, unsigned from, unsigned to)
{
	const stage_balance_t cost = {.prefill_us = 1, .decode_us = 7};

	for (unsigned ms = 0; ms < 600; ms += 5) {
		for (unsigned i = from; i < to; i++)
			stage_orders_start_if_due(&fixture->vms[i].orders,
						  &fixture->service, &cost);
		support_run_loop_ms(5);
	}
}

/* Lets all VMs see the row of the latest round, as their feeds bring it, and dates it to
 * the start of the store's clock, which does not skip time as those of the VMs do.
 */
static void show_round(fixture_t *fixture)
{
	char *text = fake_store_text(&fixture->store, TABLE_ROUTER, ROUND_KEY);
	char **words;

	if (!text)
		return;
	for (unsigned i = 0; i < VMS; i++)
		stage_orders_round_seen(&fixture->vms[i].orders, "llm",
					str_from(text), NULL);
	words = g_strsplit(text, " ", 4);
	g_free(text);
	text = g_strjoin(" ", words[0], words[1], "0", words[3], NULL);
	fake_store_put(&fixture->store, TABLE_ROUTER, ROUND_KEY, text);
	g_strfreev(words);
	g_free(text);
}

static unsigned count_accepted(const fixture_t *fixture)
{
	unsigned n = 0;

	for (unsigned i = 0; i < ENGINES; i++)
		n += fixture->engines[i].accepted->len;
	return n;
}

/* Checks that no engine has got an order of an older token after a newer one, or of two
 * holders within the time of a lease or with the same token.
 */
static void check_orders(const fixture_t *fixture)
{
	for (unsigned i = 0; i < ENGINES; i++) {
		const GArray *accepted = fixture->engines[i].accepted;

		for (guint k = 1; k < accepted->len; k++) {
			const accepted_t *before =
				&g_array_index(accepted, accepted_t, k - 1);
			const accepted_t *order =
				&g_array_index(accepted, accepted_t, k);

			assert_true(order->fence >= before->fence);
			if (g_str_equal(order->holder, before->holder))
				continue;
			assert_true(order->fence > before->fence);
			assert_true(order->at_us - before->at_us >= LEASE_US);
		}
	}
}

/* --- tests --------------------------------------------------------------- */

/* Guards against orders of both VMs when they begin rounds in the same moments, round
 * after round.
 */
static void test_two_vms_begin_rounds(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	for (unsigned round = 0; round < ROUNDS; round++) {
		fixture.skipped_us += 10 * CLOCK_US_PER_S;
		check_stages(&fixture, 0, VMS);
		show_round(&fixture);
		check_orders(&fixture);
	}
	assert_true(count_accepted(&fixture) > 0);
	stop(&fixture);
}

/* Guards against orders of a VM that was frozen between the write of its round and the
 * answer to it, for longer than it holds: another VM may have begun a round.
 */
static void test_holder_is_frozen_after_its_write(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	const stage_balance_t cost = {.prefill_us = 1, .decode_us = 7};
	vm_t *vm = &fixture.vms[0];

	start(&fixture);
	fixture.skipped_us += 10 * CLOCK_US_PER_S;
	for (unsigned ms = 0; ms < 5000; ms++) {
		if (fake_store_row_version(&fixture.store, TABLE_ROUTER,
					   ROUND_KEY))
			break;
		stage_orders_start_if_due(&vm->orders, &fixture.service, &cost);
		g_main_context_iteration(NULL, FALSE);
		g_usleep(1000);
	}
	/* The row is written; its answer is read after the freeze. */
	assert_int_not_equal(fake_store_row_version(&fixture.store,
						    TABLE_ROUTER, ROUND_KEY),
			     0);
	assert_int_equal(count_accepted(&fixture), 0);
	fixture.skipped_us += 2 * CLOCK_US_PER_S;
	support_run_loop_ms(500);
	assert_int_equal(count_accepted(&fixture), 0);
	stop(&fixture);
}

/* Guards against orders of a VM whose write took effect without an answer, and against a
 * second round of another VM right after it.
 */
static void test_write_is_not_answered(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	fixture.store.responses_to_drop = 1;
	fixture.skipped_us += 10 * CLOCK_US_PER_S;
	check_stages(&fixture, 0, 1);
	assert_int_not_equal(fake_store_row_version(&fixture.store,
						    TABLE_ROUTER, ROUND_KEY),
			     0);
	check_stages(&fixture, 1, VMS);
	assert_int_equal(count_accepted(&fixture), 0);
	stop(&fixture);
}

/* Guards against a fencing token that falls when the clocks of VMs differ. */
static void test_clocks_differ(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	fixture.vms[1].ahead_us = 3600 * CLOCK_US_PER_S;
	for (unsigned round = 0; round < ROUNDS / 2; round++) {
		fixture.skipped_us += 10 * CLOCK_US_PER_S;
		check_stages(&fixture, round % VMS, round % VMS + 1);
		show_round(&fixture);
		check_orders(&fixture);
	}
	assert_true(count_accepted(&fixture) > 0);
	stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_two_vms_begin_rounds),
		cmocka_unit_test(test_holder_is_frozen_after_its_write),
		cmocka_unit_test(test_write_is_not_answered),
		cmocka_unit_test(test_clocks_differ),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
