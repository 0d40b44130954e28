#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "process/entry/stage_orders.h"
#include "rows.h"
#include "support_address.h"
#include "support_store.h"
#include "support_tcp_stub.h"

#define ENGINES 8
#define ROUND_KEY STAGE_ROUND_PREFIX "llm"

/* One VM's rounds, with a store that the test controls and eight engines of the
 * prefill stage that cannot be reached.
 */
typedef struct {
	fake_store_t store;
	char *store_address;
	http_pool_t pool;
	server_set_t servers;
	occupancy_t occupancy;
	stage_orders_t orders;
	table_service_t service;
	int64_t skipped_us; /* by the VM's clock */
} vm_t;

static int64_t vm_now(void *context)
{
	return ((vm_t *)context)->skipped_us + g_get_monotonic_time();
}

static void init(vm_t *vm)
{
	clock_source_t clock = {vm_now, vm};

	memset(vm, 0, sizeof(*vm));
	vm->store_address = unused_address();
	fake_store_start(&vm->store, vm->store_address);
	http_pool_init(&vm->pool, clock_boottime(), 1000, 0);
	server_set_init(&vm->servers);
	occupancy_init(&vm->occupancy);
	vm->service =
		(table_service_t){.name = (char *)"llm", .is_engine = true};
	for (int i = 0; i < ENGINES; i++) {
		server_entry_t entry = {
			.id = g_strdup_printf("engine-%d", i),
			.service = g_strdup("llm"),
			.address = unused_address(),
			.zone = g_strdup("z"),
			.stage = i < ENGINES - 1 ? STAGE_PREFILL : STAGE_DECODE,
			.slots = 4,
		};

		server_set_put(&vm->servers, &entry, 0);
	}
	stage_orders_init(&vm->orders, clock, &vm->pool, &vm->pool,
			  &vm->servers, &vm->occupancy, "vm-us",
			  vm->store_address);
}

static void finish(vm_t *vm)
{
	stage_orders_finish(&vm->orders);
	occupancy_finish(&vm->occupancy);
	server_set_finish(&vm->servers);
	http_pool_finish(&vm->pool);
	fake_store_stop(&vm->store);
	g_free(vm->store_address);
}

/* Lets the VM check its stages for a while, as its tick does. */
static void check_stages(vm_t *vm)
{
	const stage_balance_t cost = {.prefill_us = 1, .decode_us = 7};
	int64_t until_us = g_get_monotonic_time() + 600 * CLOCK_US_PER_MS;

	vm->skipped_us += 10 * CLOCK_US_PER_S;
	while (g_get_monotonic_time() < until_us) {
		stage_orders_start_if_due(&vm->orders, &vm->service, &cost);
		g_main_context_iteration(NULL, FALSE);
		g_usleep(1000);
	}
}

/* Returns the fencing token in the text of a round's row. */
static int64_t token_of(const char *text)
{
	return g_ascii_strtoll(strchr(text, ' ') + 1, NULL, 10);
}

/* Guards against a round that is not begun at all, which the other tests here
 * would not notice.
 */
static void test_first_round(void **state)
{
	vm_t vm;

	init(&vm);
	check_stages(&vm);
	assert_int_not_equal(
		fake_store_row_version(&vm.store, TABLE_ROUTER, ROUND_KEY), 0);
	finish(&vm);
}

/* A VM is cut off from the store while another one begins the first round, and
 * reaches it again later. Guards against a second first round by that VM, which
 * changes as many engines again, by a list of servers from before the cut: one
 * prefill engine of four was left.
 */
static void test_round_after_a_cut(void **state)
{
	int64_t version;
	vm_t vm;

	init(&vm);
	/* Begun at the start of the store's clock, long ago. */
	fake_store_put(&vm.store, TABLE_ROUTER, ROUND_KEY,
		       "vm-other 1 0 decode engine-0 engine-1 engine-2");
	version = fake_store_row_version(&vm.store, TABLE_ROUTER, ROUND_KEY);
	check_stages(&vm);
	assert_int_equal(fake_store_row_version(&vm.store, TABLE_ROUTER,
						ROUND_KEY),
			 version);
	/* Once it knows the round, it may begin the next one. */
	check_stages(&vm);
	assert_int_not_equal(fake_store_row_version(&vm.store, TABLE_ROUTER,
						    ROUND_KEY),
			     version);
	finish(&vm);
}

/* As above, but the VM learns of the round while it reads the row. Guards
 * against a round that was prepared before.
 */
static void test_round_seen_while_reading(void **state)
{
	const char *text = "vm-other 1 0 decode engine-0 engine-1 engine-2";
	const stage_balance_t cost = {.prefill_us = 1, .decode_us = 7};
	int64_t version;
	vm_t vm;

	init(&vm);
	fake_store_put(&vm.store, TABLE_ROUTER, ROUND_KEY, text);
	version = fake_store_row_version(&vm.store, TABLE_ROUTER, ROUND_KEY);
	vm.skipped_us += 10 * CLOCK_US_PER_S;
	while (!store_call_is_busy(&vm.orders.call)) {
		stage_orders_start_if_due(&vm.orders, &vm.service, &cost);
		g_usleep(1000);
	}
	stage_orders_round_seen(&vm.orders, "llm", str_from(text), NULL);
	while (store_call_is_busy(&vm.orders.call))
		g_main_context_iteration(NULL, TRUE);
	assert_int_equal(fake_store_row_version(&vm.store, TABLE_ROUTER,
						ROUND_KEY),
			 version);
	finish(&vm);
}

/* The store comes back from a copy that is older than the row of the latest
 * round. Guards against a fencing token that is given out again or falls.
 */
static void test_token_after_restore(void **state)
{
	char *before, *after;
	vm_t vm;

	init(&vm);
	check_stages(&vm);
	before = fake_store_text(&vm.store, TABLE_ROUTER, ROUND_KEY);
	fake_store_restore(&vm.store, 0);
	assert_null(fake_store_text(&vm.store, TABLE_ROUTER, ROUND_KEY));
	check_stages(&vm);
	check_stages(&vm);
	after = fake_store_text(&vm.store, TABLE_ROUTER, ROUND_KEY);
	assert_non_null(after);
	assert_true(token_of(after) > token_of(before));
	g_free(before);
	g_free(after);
	finish(&vm);
}

/* A service is to have an engine in an empty stage again within this time, beside the
 * time that the engine needs to change.
 */
#define REFILL_MS 2000

/* Lets the VM check its stages for a time on its clock, without known costs. Returns
 * whether it has begun a round by then.
 */
static bool begins_round_within(vm_t *vm, unsigned limit_ms)
{
	const stage_balance_t unknown = {0};
	int64_t before =
		fake_store_row_version(&vm->store, TABLE_ROUTER, ROUND_KEY);

	for (unsigned ms = 0; ms < limit_ms; ms += 50) {
		vm->skipped_us += 40 * CLOCK_US_PER_MS;
		stage_orders_start_if_due(&vm->orders, &vm->service, &unknown);
		support_run_loop_ms(10);
	}
	return fake_store_row_version(&vm->store, TABLE_ROUTER, ROUND_KEY) !=
	       before;
}

/* Removes the only decode engine, as after its planned leave. */
static void empty_decode_stage(vm_t *vm)
{
	char *id = g_strdup_printf("engine-%d", ENGINES - 1);

	server_set_mark_leaving(&vm->servers, server_set_find(&vm->servers, id),
				vm_now(vm));
	g_free(id);
}

/* Both stages have engines; a VM that has just started knows no costs. Guards against
 * a round that is begun all the same.
 */
static void test_no_round_without_costs(void **state)
{
	vm_t vm;

	init(&vm);
	assert_false(begins_round_within(&vm, 3 * REFILL_MS));
	finish(&vm);
}

/* The last decode engine leaves while nothing is known of the load. Guards against a
 * stage that stays empty for good: no stream can be served by which costs would become
 * known.
 */
static void test_empty_stage_is_refilled_without_costs(void **state)
{
	vm_t vm;
	char *text;

	init(&vm);
	assert_false(begins_round_within(&vm, REFILL_MS));
	empty_decode_stage(&vm);
	assert_true(begins_round_within(&vm, REFILL_MS));
	text = fake_store_text(&vm.store, TABLE_ROUTER, ROUND_KEY);
	assert_non_null(strstr(text, " decode engine-"));
	g_free(text);
	finish(&vm);
}

/* The row of an old round is read again and again, as when the store's history is
 * compacted. Guards against a wait for the next round that starts anew each time.
 */
static void test_old_round_is_read_again(void **state)
{
	vm_t vm;

	init(&vm);
	fake_store_put(&vm.store, TABLE_ROUTER, ROUND_KEY,
		       "vm-other 1 0 decode engine-0");
	for (unsigned i = 0; i < 5; i++) {
		stage_orders_round_seen(&vm.orders, "llm",
					STR("vm-other 1 0 decode engine-0"),
					NULL);
		assert_false(begins_round_within(&vm, 2000));
	}
	stage_orders_round_seen(&vm.orders, "llm",
				STR("vm-other 1 0 decode engine-0"), NULL);
	empty_decode_stage(&vm);
	assert_true(begins_round_within(&vm, REFILL_MS));
	finish(&vm);
}

/* Rounds of two services are read, the one with the lower token last, as in a full read.
 * Guards against a round that is taken for one that was seen, so that its engines get
 * work while they change.
 */
static void test_rounds_of_two_services(void **state)
{
	route_table_t *table = config_row_read(
		STR("{\"version\":1,\"routes\":[],\"services\":[{\"name\":"
		    "\"llm\",\"healthPath\":\"/health\",\"engine\":{\"slots\":"
		    "4,\"kvTokenCapacity\":1000,\"stride\":1}}]}"));
	const server_t *server;
	vm_t vm;

	init(&vm);
	assert_non_null(table);
	stage_orders_round_seen(&vm.orders, "other",
				STR("vm-other 9 0 decode other-1"), table);
	stage_orders_round_seen(&vm.orders, "llm",
				STR("vm-other 5 0 decode engine-0"), table);
	server = server_set_find(&vm.servers, "engine-0");
	assert_int_equal(server_state(server, vm_now(&vm)), SERVER_CHANGING);
	route_table_unref(table);
	finish(&vm);
}

/* Engines enter the list one by one, and the first ones all have the same stage. Guards
 * against orders to engines before the list is complete.
 */
static void test_list_that_is_not_complete(void **state)
{
	vm_t vm;

	init(&vm);
	empty_decode_stage(&vm);
	server_set_find(&vm.servers, "engine-0")->added_us = vm_now(&vm);
	assert_false(begins_round_within(&vm, 1500));
	finish(&vm);
}

/* Lists a server of another service. */
static void list_other_server(vm_t *vm, unsigned number)
{
	server_entry_t entry = {
		.id = g_strdup_printf("other-%u", number),
		.service = g_strdup("other"),
		.address = unused_address(),
		.zone = g_strdup("z"),
		.slots = 4,
	};

	server_set_put(&vm->servers, &entry, vm_now(vm));
}

/* Guards against an empty stage that is not refilled while servers of other services enter
 * the list one by one, so that the wait for a complete list begins anew with each.
 */
static void test_refill_while_other_servers_start(void **state)
{
	bool begun = false;
	vm_t vm;

	init(&vm);
	empty_decode_stage(&vm);
	for (unsigned i = 0; i < 3 && !begun; i++) {
		list_other_server(&vm, i);
		begun = begins_round_within(&vm, REFILL_MS / 2);
	}
	assert_true(begun);
	finish(&vm);
}

/* A round of another service has just begun. Guards against an empty stage that is not
 * refilled for the interval between rounds, which concerns the engines of one service.
 */
static void test_refill_after_round_of_another_service(void **state)
{
	vm_t vm;

	init(&vm);
	stage_orders_round_seen(&vm.orders, "other",
				STR("vm-other 9 0 decode other-1"), NULL);
	empty_decode_stage(&vm);
	assert_true(begins_round_within(&vm, REFILL_MS));
	finish(&vm);
}

/* A VM that knows a round of another service, with a higher token, is cut off from the
 * store while a round of this one begins. Guards against another round at once, by a list
 * of servers from before.
 */
static void test_round_after_a_cut_beside_another_service(void **state)
{
	int64_t version;
	vm_t vm;

	init(&vm);
	stage_orders_round_seen(&vm.orders, "other",
				STR("vm-other 9 0 decode other-1"), NULL);
	fake_store_put(&vm.store, TABLE_ROUTER, ROUND_KEY,
		       "vm-other 1 0 decode engine-0 engine-1 engine-2");
	version = fake_store_row_version(&vm.store, TABLE_ROUTER, ROUND_KEY);
	/* Out of balance since the first of these checks. */
	check_stages(&vm);
	check_stages(&vm);
	assert_int_equal(fake_store_row_version(&vm.store, TABLE_ROUTER,
						ROUND_KEY),
			 version);
	finish(&vm);
}

/* A sound engine may be silent for about a second. Beyond this time it counts as lost. */
#define SILENT_MS 1500

/* Lets the VM check its stages for a time on its clock, without known costs, while the
 * engines below `answering` answer requests. Returns whether it has begun a round by then.
 */
static bool begins_round_beside_answers(vm_t *vm, unsigned limit_ms,
					unsigned answering)
{
	bool begun = false;

	for (unsigned ms = 0; ms < limit_ms && !begun; ms += 50) {
		for (unsigned i = 0; i < answering; i++) {
			char *id = g_strdup_printf("engine-%u", i);

			server_record_received(
				server_set_find(&vm->servers, id), vm_now(vm));
			g_free(id);
		}
		begun = begins_round_within(vm, 50);
	}
	return begun;
}

/* The only decode engine crashes; its entry stays for some seconds. Guards against a stage
 * that is not refilled before the entry has gone.
 */
static void test_refill_after_a_crash(void **state)
{
	char *text;
	vm_t vm;

	init(&vm);
	server_mark_suspect(server_set_find(&vm.servers, "engine-7"),
			    vm_now(&vm));
	assert_true(begins_round_beside_answers(&vm, SILENT_MS + REFILL_MS,
						ENGINES - 1));
	text = fake_store_text(&vm.store, TABLE_ROUTER, ROUND_KEY);
	assert_non_null(strstr(text, " decode engine-"));
	assert_null(strstr(text, "engine-7"));
	g_free(text);
	finish(&vm);
}

/* Guards against orders because the only engine of a stage is silent for a second and then
 * goes on.
 */
static void test_no_refill_after_a_short_silence(void **state)
{
	vm_t vm;

	init(&vm);
	server_mark_suspect(server_set_find(&vm.servers, "engine-7"),
			    vm_now(&vm));
	assert_false(begins_round_beside_answers(&vm, SILENT_MS, ENGINES - 1));
	assert_false(begins_round_beside_answers(&vm, 2 * REFILL_MS, ENGINES));
	finish(&vm);
}

/* A VM is cut off from all engines, or from those in one zone, and the first it notices is
 * the only decode engine. Guards against orders by a VM whose links are at fault.
 */
static void test_no_refill_by_a_vm_that_is_cut_off(void **state)
{
	for (unsigned others = 0; others < 2; others++) {
		server_t *server;
		vm_t vm;

		init(&vm);
		server = server_set_find(&vm.servers, "engine-7");
		if (others > 0) {
			g_free(server->entry.zone);
			server->entry.zone = g_strdup("y");
		}
		server_mark_suspect(server, vm_now(&vm));
		assert_false(begins_round_beside_answers(
			&vm, 3 * REFILL_MS, others * (ENGINES - 1)));
		finish(&vm);
	}
}

/* A VM gets no new connections to engines, while its old ones to their neighbours live on.
 * Guards against orders by that VM while others have work at the engine that is silent
 * for it; when their work has ended, the stage is refilled.
 */
static void test_no_refill_while_the_engine_has_work(void **state)
{
	static const occupancy_use_t uses[] = {{.streams = 1, .kv_tokens = 100},
					       {.prefill_tokens = 100}};

	for (size_t i = 0; i < G_N_ELEMENTS(uses); i++) {
		occupancy_use_t ended = {
			.streams = -uses[i].streams,
			.kv_tokens = -uses[i].kv_tokens,
			.prefill_tokens = -uses[i].prefill_tokens,
		};
		vm_t vm;

		init(&vm);
		server_mark_suspect(server_set_find(&vm.servers, "engine-7"),
				    vm_now(&vm));
		occupancy_add(&vm.occupancy, "engine-7", &uses[i]);
		assert_false(begins_round_beside_answers(&vm, 3 * REFILL_MS,
							 ENGINES - 1));
		occupancy_add(&vm.occupancy, "engine-7", &ended);
		assert_true(begins_round_beside_answers(&vm, REFILL_MS,
							ENGINES - 1));
		finish(&vm);
	}
}

/* Guards against orders while another engine of the stage serves. */
static void test_no_refill_beside_a_sound_engine(void **state)
{
	vm_t vm;

	init(&vm);
	server_set_find(&vm.servers, "engine-6")->entry.stage = STAGE_DECODE;
	server_mark_suspect(server_set_find(&vm.servers, "engine-7"),
			    vm_now(&vm));
	assert_false(
		begins_round_beside_answers(&vm, 3 * REFILL_MS, ENGINES - 1));
	finish(&vm);
}

/* Engines of the prefill stage crash just before the first round, which is to change five of
 * the seven. Guards against a round that leaves the stage with crashed engines only, so that
 * it serves nothing.
 */
static void test_round_leaves_a_sound_engine(void **state)
{
	unsigned left = 0;
	char *text;
	vm_t vm;

	init(&vm);
	for (unsigned i = 0; i < 2; i++) {
		char *id = g_strdup_printf("engine-%u", i);

		server_mark_suspect(server_set_find(&vm.servers, id),
				    vm_now(&vm));
		g_free(id);
	}
	check_stages(&vm);
	text = fake_store_text(&vm.store, TABLE_ROUTER, ROUND_KEY);
	assert_non_null(text);
	assert_non_null(strstr(text, " decode engine-"));
	for (unsigned i = 2; i < ENGINES - 1; i++) {
		char *id = g_strdup_printf(" engine-%u", i);

		left += strstr(text, id) ? 0 : 1;
		g_free(id);
	}
	assert_int_equal(left, 1);
	g_free(text);
	finish(&vm);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_round),
		cmocka_unit_test(test_round_after_a_cut),
		cmocka_unit_test(test_round_seen_while_reading),
		cmocka_unit_test(test_token_after_restore),
		cmocka_unit_test(test_no_round_without_costs),
		cmocka_unit_test(test_empty_stage_is_refilled_without_costs),
		cmocka_unit_test(test_old_round_is_read_again),
		cmocka_unit_test(test_list_that_is_not_complete),
		cmocka_unit_test(test_rounds_of_two_services),
		cmocka_unit_test(test_refill_while_other_servers_start),
		cmocka_unit_test(test_refill_after_round_of_another_service),
		cmocka_unit_test(test_round_after_a_cut_beside_another_service),
		cmocka_unit_test(test_refill_after_a_crash),
		cmocka_unit_test(test_no_refill_after_a_short_silence),
		cmocka_unit_test(test_no_refill_by_a_vm_that_is_cut_off),
		cmocka_unit_test(test_no_refill_while_the_engine_has_work),
		cmocka_unit_test(test_no_refill_beside_a_sound_engine),
		cmocka_unit_test(test_round_leaves_a_sound_engine),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
