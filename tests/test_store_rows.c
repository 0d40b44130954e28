#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "process/entry/store_rows.h"
#include "support_address.h"
#include "support_tcp_stub.h"
#include "support_store.h"

#define ENTRY(sequence, state)                                              \
	"{\"service\":\"llm\",\"address\":\"10.0.0.1:80\",\"zone\":\"z0\"," \
	"\"slots\":4,\"state\":\"" state "\",\"sequence\":" sequence        \
	",\"born\":1000}"

/* An entry VM that reads rows of a store that the test controls. */
typedef struct {
	fake_store_t store;
	char *address;
	http_pool_t pool;
	server_set_t servers;
	store_rows_t rows;
	unsigned changes; /* of the server list, as reported */
	unsigned vm_rows; /* rows of VMs, as reported */
	int64_t removed_version; /* of the VM's row before its removal; 0: none */
} reader_t;

static void on_config(void *context, route_table_t *table)
{
}

static void on_servers(void *context)
{
	reader_t *reader = context;

	reader->changes++;
}

static void on_vm(void *context, const char *vm, str_t address,
		  int64_t row_version)
{
	reader_t *reader = context;

	store_rows_set_vm_count(&reader->rows, ++reader->vm_rows);
}

static void on_round(void *context, str_t value)
{
}

static const store_rows_handler_t handler = {
	.on_config = on_config,
	.on_servers = on_servers,
	.on_vm = on_vm,
	.on_round = on_round,
};

static void init(reader_t *reader)
{
	memset(reader, 0, sizeof(*reader));
	reader->address = unused_address();
	fake_store_start(&reader->store, reader->address);
	http_pool_init(&reader->pool, clock_boottime(), 1000, 0);
	server_set_init(&reader->servers);
	store_rows_init(&reader->rows, &reader->pool, clock_boottime(),
			reader->address, "vm-us", "10.0.0.9:80",
			&reader->servers, &handler, reader);
	store_rows_set_vm_count(&reader->rows, 1);
}

static void finish(reader_t *reader)
{
	store_rows_finish(&reader->rows);
	server_set_finish(&reader->servers);
	http_pool_finish(&reader->pool);
	fake_store_stop(&reader->store);
	g_free(reader->address);
}

static bool has_server(void *context)
{
	const reader_t *reader = context;

	return server_set_find(&reader->servers, "i-1") != NULL;
}

static bool is_leaving(void *context)
{
	const reader_t *reader = context;
	const server_t *server = server_set_find(&reader->servers, "i-1");

	return server && server->entry.leaving;
}

static bool has_no_server(void *context)
{
	return !has_server(context);
}

static bool is_registered(void *context)
{
	reader_t *reader = context;

	return fake_store_row_version(&reader->store, TABLE_ROUTER,
				      "vm/vm-us") > reader->removed_version;
}

/* Thousands of servers write their entries each second. Guards against work for
 * each of these heartbeats, and against a change of an entry that is mistaken
 * for a heartbeat.
 */
static void test_heartbeats_change_nothing(void **state)
{
	reader_t reader;
	unsigned changes;

	init(&reader);
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       ENTRY("1", "ready"));
	assert_true(support_run_loop_until(has_server, &reader, 3000));
	support_run_loop_ms(1200);
	changes = reader.changes;
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       ENTRY("2", "ready"));
	support_run_loop_ms(1200);
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       ENTRY("3", "ready"));
	support_run_loop_ms(1200);
	assert_int_equal(reader.changes, changes);
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       ENTRY("4", "draining"));
	assert_true(support_run_loop_until(is_leaving, &reader, 1500));
	finish(&reader);
}

/* Rows that repeat a known entry are skipped. Guards against a full read that
 * therefore removes a server which it lists, against a server that stays after
 * its row was removed, and against one that does not return with the same row.
 */
static void test_heartbeat_after_full_read(void **state)
{
	reader_t reader;

	init(&reader);
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       ENTRY("1", "ready"));
	assert_true(support_run_loop_until(has_server, &reader, 3000));
	fake_store_forget_history(&reader.store);
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       ENTRY("2", "ready"));
	support_run_loop_ms(3000);
	assert_true(has_server(&reader));
	fake_store_remove(&reader.store, TABLE_SERVERS, "i-1");
	assert_true(support_run_loop_until(has_no_server, &reader, 1500));
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       ENTRY("3", "ready"));
	assert_true(support_run_loop_until(has_server, &reader, 1500));
	finish(&reader);
}

/* Guards against a VM that stays unknown to the others after one of them took
 * it for dead and removed its row.
 */
static void test_removed_vm_registers_again(void **state)
{
	reader_t reader;

	init(&reader);
	assert_true(support_run_loop_until(is_registered, &reader, 2000));
	reader.removed_version =
		fake_store_row_version(&reader.store, TABLE_ROUTER, "vm/vm-us");
	support_run_loop_ms(300);
	fake_store_remove(&reader.store, TABLE_ROUTER, "vm/vm-us");
	assert_true(support_run_loop_until(is_registered, &reader, 2000));
	finish(&reader);
}

/* All VMs start at once. Guards against a read at each VM for each VM that
 * registers: with 300 VMs, the store then answers nobody for half a minute.
 */
static void test_mass_start(void **state)
{
	reader_t reader;
	uint64_t reads;

	init(&reader);
	assert_true(support_run_loop_until(is_registered, &reader, 2000));
	reads = reader.rows.own_table.reads;
	for (unsigned i = 0; i < 100; i++) {
		char *key = g_strdup_printf("vm/vm-%u", i);

		fake_store_put(&reader.store, TABLE_ROUTER, key, "10.0.0.8:80");
		g_free(key);
		support_run_loop_ms(20);
	}
	support_run_loop_ms(1200);
	assert_true(reader.vm_rows >= 100);
	assert_in_range(reader.rows.own_table.reads - reads, 1, 20);
	finish(&reader);
}

static bool is_registered_now(void *context)
{
	reader_t *reader = context;

	return fake_store_row_version(&reader->store, TABLE_ROUTER,
				      "vm/vm-us") != 0;
}

/* The store comes back from a copy that is older than this VM's row, twice in a
 * row, and gives out the lost versions again. Guards against a VM that stays
 * unknown to the others, and against one that compares versions from before and
 * after: it would follow the feed from a version that other rows have by now
 * and never see a server that was written meanwhile.
 */
static void test_restored_store(void **state)
{
	reader_t reader;
	int64_t copy;

	init(&reader);
	reader.store.era = 1;
	copy = reader.store.version;
	for (int i = 0; i < 2; i++) {
		assert_true(support_run_loop_until(is_registered_now, &reader,
						   4000));
		support_run_loop_ms(700);
		fake_store_restore(&reader.store, copy);
		/* More versions than before the copy are given out at once. */
		fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
			       ENTRY("1", "ready"));
		for (int k = 0; k < 5; k++)
			fake_store_put(&reader.store, "other", "key", "text");
		assert_true(support_run_loop_until(has_server, &reader, 3000));
		assert_true(support_run_loop_until(is_registered_now, &reader,
						   4000));
		fake_store_remove(&reader.store, TABLE_SERVERS, "i-1");
		assert_true(
			support_run_loop_until(has_no_server, &reader, 3000));
	}
	finish(&reader);
}

/* A server leaves, and the store comes back from a copy that lists it as ready.
 * Guards against requests to a server whose leaving this VM has acknowledged,
 * also when its row was gone meanwhile.
 */
static void test_restored_store_lists_a_leaving_server(void **state)
{
	reader_t reader;

	init(&reader);
	reader.store.era = 1;
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       ENTRY("1", "ready"));
	assert_true(support_run_loop_until(has_server, &reader, 3000));
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       ENTRY("2", "draining"));
	assert_true(support_run_loop_until(is_leaving, &reader, 1500));
	fake_store_restore(&reader.store, 0);
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       ENTRY("1", "ready"));
	support_run_loop_ms(1500);
	assert_true(is_leaving(&reader));
	fake_store_remove(&reader.store, TABLE_SERVERS, "i-1");
	assert_true(support_run_loop_until(has_no_server, &reader, 3000));
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       ENTRY("3", "ready"));
	assert_true(support_run_loop_until(is_leaving, &reader, 3000));
	finish(&reader);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_heartbeats_change_nothing),
		cmocka_unit_test(test_heartbeat_after_full_read),
		cmocka_unit_test(test_removed_vm_registers_again),
		cmocka_unit_test(test_mass_start),
		cmocka_unit_test(test_restored_store),
		cmocka_unit_test(test_restored_store_lists_a_leaving_server),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
