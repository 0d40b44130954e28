#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/entry/store_watch.h"
#include "support_address.h"
#include "support_tcp_stub.h"
#include "support_store.h"

#define TABLE "t"

/* A watch of a store that the test controls, and what the watch told. */
typedef struct {
	fake_store_t store;
	char *address;
	http_pool_t pool;
	store_watch_t watch;
	GHashTable *rows; /* key to value, as a user of the watch keeps them */
	GHashTable *listed; /* keys of the full read in progress */
	unsigned syncs; /* full reads */
	unsigned outages; /* full reads after an outage */
	unsigned losses; /* times the store went out of reach */
	const char *expected_key;
	const char *expected; /* value, or NULL: no such row */
} watcher_t;

static void on_sync_begin(void *context)
{
	watcher_t *watcher = context;

	g_hash_table_remove_all(watcher->listed);
}

static void on_row(void *context, const store_row_t *row)
{
	watcher_t *watcher = context;

	if (!row->value) {
		g_hash_table_remove(watcher->rows, row->key);
		return;
	}
	g_hash_table_add(watcher->listed, g_strdup(row->key));
	g_hash_table_replace(watcher->rows, g_strdup(row->key),
			     g_strdup(row->value->str));
}

static gboolean is_unlisted(gpointer key, gpointer value, gpointer context)
{
	return !g_hash_table_contains(context, key);
}

static void on_sync_end(void *context, bool outage)
{
	watcher_t *watcher = context;

	g_hash_table_foreach_remove(watcher->rows, is_unlisted,
				    watcher->listed);
	watcher->syncs++;
	watcher->outages += outage ? 1 : 0;
}

static void on_reachable(void *context, bool reachable)
{
	watcher_t *watcher = context;

	watcher->losses += reachable ? 0 : 1;
}

static const store_watch_handler_t handler = {
	.on_sync_begin = on_sync_begin,
	.on_row = on_row,
	.on_sync_end = on_sync_end,
	.on_reachable = on_reachable,
};

static void init(watcher_t *watcher)
{
	store_watch_options_t options = {
		.table = TABLE,
		.wait_us = 500 * CLOCK_US_PER_MS,
		.handler = &handler,
		.context = watcher,
	};

	memset(watcher, 0, sizeof(*watcher));
	watcher->address = unused_address();
	watcher->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	watcher->listed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fake_store_start(&watcher->store, watcher->address);
	http_pool_init(&watcher->pool, clock_boottime(), 1000, 0);
	options.address = watcher->address;
	fake_store_put(&watcher->store, TABLE, "a", "1");
	store_watch_init(&watcher->watch, &watcher->pool, clock_boottime(),
			 &options);
}

static void finish(watcher_t *watcher)
{
	store_watch_finish(&watcher->watch);
	http_pool_finish(&watcher->pool);
	fake_store_stop(&watcher->store);
	g_hash_table_unref(watcher->rows);
	g_hash_table_unref(watcher->listed);
	g_free(watcher->address);
}

static bool is_as_expected(void *context)
{
	const watcher_t *watcher = context;

	return g_strcmp0(g_hash_table_lookup(watcher->rows,
					     watcher->expected_key),
			 watcher->expected) == 0;
}

static void expect(watcher_t *watcher, const char *key, const char *value,
		   unsigned limit_ms)
{
	watcher->expected_key = key;
	watcher->expected = value;
	assert_true(support_run_loop_until(is_as_expected, watcher, limit_ms));
}

/* Guards against changes that are missed or come late. Each has to be told
 * within 200 ms, well under the two seconds in which it has to be in force.
 */
static void test_changes(void **state)
{
	watcher_t watcher;

	init(&watcher);
	expect(&watcher, "a", "1", 1000);
	fake_store_put(&watcher.store, TABLE, "b", "2");
	expect(&watcher, "b", "2", 200);
	fake_store_put(&watcher.store, TABLE, "a", "3");
	expect(&watcher, "a", "3", 200);
	fake_store_remove(&watcher.store, TABLE, "b");
	expect(&watcher, "b", NULL, 200);
	/* A read that ends without a change is followed by another one. */
	support_run_loop_ms(700);
	fake_store_put(&watcher.store, TABLE, "c", "4");
	expect(&watcher, "c", "4", 200);
	assert_int_equal(watcher.syncs, 1);
	finish(&watcher);
}

/* The store drops its history of changes while the watch cannot read. Guards
 * against a row that was removed meanwhile and stays known for ever.
 */
static void test_lost_history(void **state)
{
	watcher_t watcher;

	init(&watcher);
	fake_store_put(&watcher.store, TABLE, "b", "2");
	expect(&watcher, "b", "2", 1000);
	watcher.store.busy = true;
	support_run_loop_ms(600);
	fake_store_remove(&watcher.store, TABLE, "b");
	fake_store_forget_history(&watcher.store);
	watcher.store.busy = false;
	expect(&watcher, "b", NULL, 1500);
	assert_int_equal(watcher.syncs, 2);
	finish(&watcher);
}

/* Guards against a late first read after an outage of the store, and against an
 * outage that no full read follows, although entries may have expired and come
 * back meanwhile.
 */
static void test_outage(void **state)
{
	watcher_t watcher;

	init(&watcher);
	expect(&watcher, "a", "1", 1000);
	watcher.store.busy = true;
	support_run_loop_ms(3500);
	assert_int_equal(watcher.losses, 1);
	fake_store_put(&watcher.store, TABLE, "a", "2");
	watcher.store.busy = false;
	expect(&watcher, "a", "2", 600);
	assert_int_equal(watcher.outages, 1);
	finish(&watcher);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_changes),
		cmocka_unit_test(test_lost_history),
		cmocka_unit_test(test_outage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
