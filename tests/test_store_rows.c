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

/* What a VM reads of the store. */
typedef struct {
	fake_store_t store;
	char *address;
	http_pool_t pool;
	server_set_t servers;
	store_rows_t rows;
	unsigned changes; /* of the server list */
	unsigned routers;
	int64_t entered; /* version of the own row at first */
} reader_t;

static void on_config(void *context, route_table_t *table)
{
}

static void on_servers(void *context)
{
	reader_t *reader = context;

	reader->changes++;
}

static void on_router(void *context, const char *vm, str_t address,
		      int64_t row_version)
{
	reader_t *reader = context;

	store_rows_set_vm_count(&reader->rows, ++reader->routers);
}

static void on_round(void *context, str_t value)
{
}

static const store_rows_handler_t handler = {
	.on_config = on_config,
	.on_servers = on_servers,
	.on_router = on_router,
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

static bool is_entered(void *context)
{
	reader_t *reader = context;

	return fake_store_row_version(&reader->store, TABLE_ROUTER,
				      "vm/vm-us") > reader->entered;
}

/* Pattern: thousands of servers that write their entries each second. Guards
 * against work for each of these writes, and against a change that is taken
 * for one of them.
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

/* Guards against a server that is removed by a full read although the read
 * names it, as its row says what it said before; and against one that stays
 * although the row has gone, or does not return with the same row.
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

/* Guards against a VM that others took for gone and that stays unknown. */
static void test_removed_vm_enters_again(void **state)
{
	reader_t reader;

	init(&reader);
	assert_true(support_run_loop_until(is_entered, &reader, 2000));
	reader.entered =
		fake_store_row_version(&reader.store, TABLE_ROUTER, "vm/vm-us");
	support_run_loop_ms(300);
	fake_store_remove(&reader.store, TABLE_ROUTER, "vm/vm-us");
	assert_true(support_run_loop_until(is_entered, &reader, 2000));
	finish(&reader);
}

/* Pattern: all VMs start at once. Guards against a read for each VM that
 * enters, at each VM: the store then answers nobody for half a minute (found by
 * the sweep at 300 VMs).
 */
static void test_mass_start(void **state)
{
	reader_t reader;
	uint64_t calls;

	init(&reader);
	assert_true(support_run_loop_until(is_entered, &reader, 2000));
	calls = reader.rows.own.calls;
	for (unsigned i = 0; i < 100; i++) {
		char *key = g_strdup_printf("vm/vm-%u", i);

		fake_store_put(&reader.store, TABLE_ROUTER, key, "10.0.0.8:80");
		g_free(key);
		support_run_loop_ms(20);
	}
	support_run_loop_ms(1200);
	assert_true(reader.routers >= 100);
	assert_in_range(reader.rows.own.calls - calls, 1, 20);
	finish(&reader);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_heartbeats_change_nothing),
		cmocka_unit_test(test_heartbeat_after_full_read),
		cmocka_unit_test(test_removed_vm_enters_again),
		cmocka_unit_test(test_mass_start),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
