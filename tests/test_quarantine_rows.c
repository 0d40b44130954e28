/* Rules on requests that crash servers, in a store that the test controls. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <inttypes.h>

#include "names.h"
#include "process/entry/quarantine_rows.h"
#include "support_address.h"
#include "support_store.h"
#include "support_tcp_stub.h"

#define SERVERS 3
#define ROWS 10000
#define SICK 0x91bd3f06
#define ROW "crash/91bd3f06"

typedef struct {
	fake_store_t store;
	char *store_address;
	http_pool_t pool;
	quarantine_t quarantine;
	quarantine_rows_t rows;
	server_t servers[SERVERS];
	int64_t now_us;
} vm_t;

/* No server is listed any more. */
static server_t *find_server(void *context, uint64_t process)
{
	return NULL;
}

static void init(vm_t *vm)
{
	clock_source_t clock = clock_boottime();

	memset(vm, 0, sizeof(*vm));
	vm->now_us = clock_now(&clock);
	vm->store_address = unused_address();
	fake_store_start(&vm->store, vm->store_address);
	http_pool_init(&vm->pool, clock, 1000, 0);
	quarantine_init(&vm->quarantine, find_server, vm);
	quarantine_rows_init(&vm->rows, clock, &vm->pool, &vm->quarantine,
			     "vm-0");
}

static void finish(vm_t *vm)
{
	quarantine_rows_finish(&vm->rows);
	quarantine_finish(&vm->quarantine);
	http_pool_finish(&vm->pool);
	fake_store_stop(&vm->store);
	g_free(vm->store_address);
}

/* Loses servers under requests with the part, `age_us` ago. */
static void lose_servers(vm_t *vm, int64_t age_us)
{
	const uint64_t key = SICK;

	for (uint64_t i = 0; i < SERVERS; i++) {
		vm->servers[i].refs = 2; /* the test's own, and the loss */
		quarantine_add_loss(&vm->quarantine, &vm->servers[i], i, &key,
				    1, vm->now_us - age_us);
		vm->servers[i].removed = age_us > 0;
	}
}

/* The list of servers tells that the lost ones are gone. */
static void remove_servers(vm_t *vm)
{
	for (size_t i = 0; i < SERVERS; i++)
		vm->servers[i].removed = true;
}

/* Checks the rules at a time from now, and lets a write end. */
static void check(vm_t *vm, int64_t after_us)
{
	vm->rows.next_check_us = 0;
	(void)quarantine_update(&vm->quarantine, vm->now_us + after_us);
	quarantine_rows_check(&vm->rows, vm->store_address,
			      vm->now_us + after_us);
	support_run_loop_ms(100);
}

static int64_t row_version(vm_t *vm)
{
	return fake_store_row_version(&vm->store, TABLE_ROUTER, ROW);
}

/* Lets the VM read the row. */
static void read_row(vm_t *vm)
{
	char *text = fake_store_text(&vm->store, TABLE_ROUTER, ROW);

	quarantine_rows_put(&vm->rows, ROW, str_from(text), row_version(vm));
	g_free(text);
}

static bool is_held(vm_t *vm)
{
	const uint64_t key = SICK;

	return quarantine_match(&vm->quarantine, &key, 1, vm->now_us) != NULL;
}

/* Guards against a rule that never reaches the store or is written again and
 * again, and against one that rests on losses of servers that may still run.
 */
static void test_rule_is_stored(void **state)
{
	vm_t vm, later;
	int64_t version;
	char *text;

	init(&vm);
	init(&later);
	lose_servers(&vm, 0);
	check(&vm, 0);
	assert_int_equal(row_version(&vm), 0);
	remove_servers(&vm);
	check(&vm, 2 * CLOCK_US_PER_S);
	version = row_version(&vm);
	assert_true(version > 0);
	read_row(&vm);
	check(&vm, 5 * CLOCK_US_PER_S);
	assert_int_equal(row_version(&vm), version);
	/* Another VM that has seen none of it applies the row. */
	text = fake_store_text(&vm.store, TABLE_ROUTER, ROW);
	assert_false(is_held(&later));
	quarantine_rows_put(&later.rows, ROW, str_from(text), version);
	assert_true(is_held(&later));
	quarantine_rows_put(&later.rows, ROW, (str_t){NULL, 0}, 0);
	assert_false(is_held(&later));
	g_free(text);
	finish(&vm);
	finish(&later);
}

/* Guards against a rule that is gone with what the store lost when it was
 * restored from an older copy.
 */
static void test_store_restored(void **state)
{
	vm_t vm;

	init(&vm);
	lose_servers(&vm, 10 * CLOCK_US_PER_S);
	check(&vm, 0);
	read_row(&vm);
	fake_store_remove(&vm.store, TABLE_ROUTER, ROW);
	quarantine_rows_begin_sync(&vm.rows);
	assert_true(is_held(&vm));
	check(&vm, 0);
	assert_true(row_version(&vm) > 0);
	finish(&vm);
}

/* Guards against rows that stay after their rules have ended. */
static void test_ended_rule_is_removed(void **state)
{
	vm_t vm;

	init(&vm);
	lose_servers(&vm, 10 * CLOCK_US_PER_S);
	check(&vm, 0);
	read_row(&vm);
	check(&vm, QUARANTINE_US - 20 * CLOCK_US_PER_S);
	assert_true(row_version(&vm) > 0);
	check(&vm, QUARANTINE_US + 60 * CLOCK_US_PER_S);
	assert_int_equal(row_version(&vm), 0);
	finish(&vm);
}

/* Guards against a row that holds requests at VMs which start later although a request
 * like them has begun well.
 */
static void test_refuted_rule_is_removed(void **state)
{
	const uint64_t key = SICK;
	vm_t vm;

	init(&vm);
	lose_servers(&vm, 10 * CLOCK_US_PER_S);
	check(&vm, 0);
	read_row(&vm);
	assert_true(row_version(&vm) > 0);
	quarantine_add_sound(&vm.quarantine, &key, 1, vm.now_us);
	assert_false(is_held(&vm));
	check(&vm, 31 * CLOCK_US_PER_S);
	assert_int_equal(row_version(&vm), 0);
	finish(&vm);
}

/* Guards against trials that begin anew at each start of a VM: the row tells how long the
 * losses have gone on. A row of an earlier build does not.
 */
static void test_trials_after_a_start(void **state)
{
	const quarantine_rule_t *rule;
	vm_t vm;
	char *text;
	clock_source_t wall = clock_realtime();

	init(&vm);
	text = g_strdup_printf("%" G_GINT64_FORMAT " 5 20000 1",
			       clock_now(&wall) / CLOCK_US_PER_MS);
	quarantine_rows_put(&vm.rows, ROW, str_from(text), 5);
	assert_true(is_held(&vm));
	rule = &g_array_index(vm.quarantine.rules, quarantine_rule_t, 0);
	assert_int_equal(rule->lost_us - rule->first_us, 20 * CLOCK_US_PER_S);
	assert_true(rule->once_sound);
	g_free(text);
	text = g_strdup_printf("%" G_GINT64_FORMAT " 5",
			       clock_now(&wall) / CLOCK_US_PER_MS);
	quarantine_rows_put(&vm.rows, ROW, str_from(text), 6);
	assert_true(is_held(&vm));
	rule = &g_array_index(vm.quarantine.rules, quarantine_rule_t, 0);
	assert_int_equal(rule->lost_us, rule->first_us);
	assert_false(rule->once_sound);
	g_free(text);
	finish(&vm);
}

/* Guards against rows of another form that make a rule, or end the process. */
static void test_unreadable_rows(void **state)
{
	static const char *const rows[][2] = {
		{"crash/", "1 3"},
		{"crash/xyz", "1 3"},
		{"crash/91bd3f06-", "1 3"},
		{"crash/1-2-3-4-5-6-7-8-9", "1 3"},
		{ROW, ""},
		{ROW, "x"},
		{ROW, "-5 3"},
		{ROW, "9223372036854775807 3"},
	};
	vm_t vm;

	init(&vm);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		quarantine_rows_put(&vm.rows, rows[i][0], str_from(rows[i][1]),
				    5);
		assert_false(is_held(&vm));
		assert_int_equal(vm.quarantine.rules->len, 0);
	}
	finish(&vm);
}

/* Guards against rows of another writer, without an end, that take a VM's memory and its time for
 * each request.
 */
static void test_too_many_rows(void **state)
{
	clock_source_t wall = clock_realtime();
	int64_t begin_ms = clock_now(&wall) / CLOCK_US_PER_MS - 100000;
	char *latest;
	vm_t vm;

	init(&vm);
	for (int64_t i = 1; i <= ROWS; i++) {
		char *key = g_strdup_printf("crash/%" PRIx64, i);
		char *value = g_strdup_printf("%" PRId64 " 3", begin_ms + i);

		quarantine_rows_put(&vm.rows, key, str_from(value), 5);
		g_free(key);
		g_free(value);
	}
	latest = g_strdup_printf("%" PRId64 " 3", begin_ms + ROWS + 1);
	quarantine_rows_put(&vm.rows, ROW, str_from(latest), 5);
	g_free(latest);
	assert_true(is_held(&vm));
	assert_int_equal(vm.quarantine.rules->len, QUARANTINE_STORED_MAX);
	assert_true(g_hash_table_size(vm.rows.rows) <= ROWS / 2);
	quarantine_rows_put(&vm.rows, ROW, STR(""), 0);
	assert_false(is_held(&vm));
	finish(&vm);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rule_is_stored),
		cmocka_unit_test(test_store_restored),
		cmocka_unit_test(test_ended_rule_is_removed),
		cmocka_unit_test(test_refuted_rule_is_removed),
		cmocka_unit_test(test_trials_after_a_start),
		cmocka_unit_test(test_unreadable_rows),
		cmocka_unit_test(test_too_many_rows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
