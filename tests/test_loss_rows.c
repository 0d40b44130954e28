/* Losses of servers under a rule on requests that crash them, in a store that the test controls,
 * and VMs that start while it is not known yet whether the servers are gone.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <inttypes.h>

#include "names.h"
#include "process/entry/loss_rows.h"
#include "support_address.h"
#include "support_store.h"
#include "support_tcp_stub.h"

#define SERVERS 3
#define ROWS 10000
#define SICK 0x91bd3f06
#define ROW "losses/91bd3f06"

typedef struct {
	http_pool_t pool;
	quarantine_t quarantine;
	loss_rows_t rows;
	server_t servers[SERVERS]; /* as listed at this VM */
	bool lists_servers;
	int64_t now_us;
} vm_t;

typedef struct {
	fake_store_t store;
	char *store_address;
	vm_t vm, later; /* one that sees the losses, and one that starts then */
} fixture_t;

static server_t *find_server(void *context, uint64_t process)
{
	vm_t *vm = context;

	return vm->lists_servers && process < SERVERS ? &vm->servers[process]
						      : NULL;
}

/* Starts a VM at a time from now. */
static void start_vm(vm_t *vm, int64_t after_us)
{
	clock_source_t clock = clock_boottime();

	vm->now_us = clock_now(&clock) + after_us;
	vm->lists_servers = true;
	for (size_t i = 0; i < SERVERS; i++)
		vm->servers[i].refs = 1;
	http_pool_init(&vm->pool, clock, 1000, 0);
	quarantine_init(&vm->quarantine, find_server, vm);
	loss_rows_init(&vm->rows, clock, &vm->pool, &vm->quarantine, "vm-0");
	vm->rows.started_us = vm->now_us;
}

static void finish_vm(vm_t *vm)
{
	loss_rows_finish(&vm->rows);
	quarantine_finish(&vm->quarantine);
	http_pool_finish(&vm->pool);
}

static void init(fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	start_vm(&fixture->vm, 0);
	start_vm(&fixture->later, 2 * CLOCK_US_PER_S);
}

static void finish(fixture_t *fixture)
{
	finish_vm(&fixture->vm);
	finish_vm(&fixture->later);
	fake_store_stop(&fixture->store);
	g_free(fixture->store_address);
}

/* Loses a number of servers under requests with the part, which they begin. */
static void lose_servers(vm_t *vm, unsigned n)
{
	const uint64_t key = SICK;

	for (uint64_t i = 0; i < n; i++)
		quarantine_add_loss(&vm->quarantine, &vm->servers[i], i, &key,
				    1, vm->now_us);
}

/* Has a VM write or remove what is due at a time from its start, and lets the call end. */
static void check(fixture_t *fixture, vm_t *vm, int64_t after_us,
		  bool may_write)
{
	vm->rows.next_check_us = 0;
	(void)quarantine_update(&vm->quarantine, vm->now_us + after_us);
	loss_rows_check(&vm->rows, fixture->store_address, may_write,
			vm->now_us + after_us);
	support_run_loop_ms(100);
}

static int64_t row_version(fixture_t *fixture)
{
	return fake_store_row_version(&fixture->store, TABLE_ROUTER, ROW);
}

/* Lets a VM read the row and apply it. */
static void read_row(fixture_t *fixture, vm_t *vm)
{
	char *text = fake_store_text(&fixture->store, TABLE_ROUTER, ROW);

	assert_non_null(text);
	loss_rows_put(&vm->rows, ROW, str_from(text), row_version(fixture));
	loss_rows_apply(&vm->rows);
	g_free(text);
}

static bool is_held(vm_t *vm, int64_t after_us)
{
	const uint64_t key = SICK;

	return quarantine_match(&vm->quarantine, &key, 1,
				vm->now_us + after_us) != NULL;
}

/* Guards against servers that crash again under a known request after all VMs were lost before
 * its rule was stored: that takes until the list tells that the servers are gone.
 */
static void test_losses_outlive_all_vms(void **state)
{
	fixture_t fixture;

	init(&fixture);
	lose_servers(&fixture.vm, SERVERS);
	check(&fixture, &fixture.vm, 0, true);
	assert_true(row_version(&fixture) > 0);
	assert_false(is_held(&fixture.later, 0));
	read_row(&fixture, &fixture.later);
	assert_true(is_held(&fixture.later, 0));
	/* The same once they are gone. */
	fixture.later.lists_servers = false;
	assert_true(is_held(&fixture.later, 4 * CLOCK_US_PER_S));
	finish(&fixture);
}

/* Guards against calls to the store for losses that make no rule, or by a VM whose links may be
 * what is lost, and against a row that is written again and again.
 */
static void test_written_once(void **state)
{
	fixture_t fixture;
	int64_t version;

	init(&fixture);
	lose_servers(&fixture.vm, SERVERS - 1);
	check(&fixture, &fixture.vm, 0, true);
	assert_int_equal(row_version(&fixture), 0);
	lose_servers(&fixture.vm, SERVERS);
	check(&fixture, &fixture.vm, 0, false);
	assert_int_equal(row_version(&fixture), 0);
	check(&fixture, &fixture.vm, 0, true);
	version = row_version(&fixture);
	assert_true(version > 0);
	read_row(&fixture, &fixture.vm);
	check(&fixture, &fixture.vm, CLOCK_US_PER_S, true);
	assert_int_equal(row_version(&fixture), version);
	finish(&fixture);
}

/* Guards against requests that are held on the word of a row although the servers run. */
static void test_servers_still_run(void **state)
{
	fixture_t fixture;

	init(&fixture);
	lose_servers(&fixture.vm, SERVERS);
	check(&fixture, &fixture.vm, 0, true);
	read_row(&fixture, &fixture.later);
	assert_true(is_held(&fixture.later, 0));
	for (size_t i = 0; i < SERVERS; i++)
		fixture.later.servers[i].last_received_us =
			fixture.later.now_us;
	assert_true(is_held(&fixture.later, 100 * CLOCK_US_PER_MS));
	assert_false(is_held(&fixture.later, 4 * CLOCK_US_PER_S));
	finish(&fixture);
}

/* Guards against losses that count twice at a VM that has seen or heard of them. */
static void test_known_losses(void **state)
{
	fixture_t fixture;
	guint losses;

	init(&fixture);
	lose_servers(&fixture.vm, SERVERS);
	check(&fixture, &fixture.vm, 0, true);
	losses = fixture.vm.quarantine.losses->len;
	read_row(&fixture, &fixture.vm);
	assert_int_equal(fixture.vm.quarantine.losses->len, losses);
	read_row(&fixture, &fixture.later);
	loss_rows_apply(&fixture.later.rows);
	read_row(&fixture, &fixture.later);
	assert_int_equal(fixture.later.quarantine.losses->len, losses);
	finish(&fixture);
}

/* Guards against rows that stay in the store. */
static void test_old_row_is_removed(void **state)
{
	fixture_t fixture;

	init(&fixture);
	lose_servers(&fixture.vm, SERVERS);
	check(&fixture, &fixture.vm, 0, true);
	read_row(&fixture, &fixture.later);
	check(&fixture, &fixture.later, 50 * CLOCK_US_PER_S, true);
	assert_true(row_version(&fixture) > 0);
	check(&fixture, &fixture.later, 100 * CLOCK_US_PER_S, true);
	assert_int_equal(row_version(&fixture), 0);
	finish(&fixture);
}

/* Guards against rows of another form that make a rule or end the process, and against rows
 * without an end.
 */
static void test_odd_rows(void **state)
{
	static const char *const rows[][2] = {
		{"losses/", "1 3;1 4;1 5;"},
		{"losses/xyz", "1 3;1 4;1 5;"},
		{"losses/1-2-3-4-5-6-7-8-9", "1 3;1 4;1 5;"},
		{ROW, ""},
		{ROW, "x"},
		{ROW, "-5 3;-5 4;-5 5;"},
		{ROW, "9223372036854775807 3;1 4;1 5;"},
		{ROW, "1 1;1 2;1 3;1 4;1 5;1 6;1 7;1 8;1 9;"},
	};
	fixture_t fixture;

	init(&fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		loss_rows_put(&fixture.vm.rows, rows[i][0],
			      str_from(rows[i][1]), 5);
	loss_rows_apply(&fixture.vm.rows);
	assert_int_equal(fixture.vm.quarantine.losses->len, 0);
	for (unsigned i = 1; i <= ROWS; i++) {
		char *key = g_strdup_printf("losses/%x", i);

		loss_rows_put(&fixture.vm.rows, key, STR("1 3;1 4;1 5;"), 5);
		g_free(key);
	}
	assert_true(g_hash_table_size(fixture.vm.rows.rows) <= 64);
	finish(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_losses_outlive_all_vms),
		cmocka_unit_test(test_written_once),
		cmocka_unit_test(test_servers_still_run),
		cmocka_unit_test(test_known_losses),
		cmocka_unit_test(test_old_row_is_removed),
		cmocka_unit_test(test_odd_rows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
