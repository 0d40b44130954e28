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

/* A watch of a store that the test controls, and what the watch reported. */
typedef struct {
	fake_store_t store;
	char *address;
	http_pool_t pool;
	store_watch_t watch;
	GHashTable *rows; /* key to value, as a user of the watch keeps them */
	GHashTable *listed; /* keys of the full read in progress */
	unsigned full_reads;
	unsigned reads_after_outage; /* full reads after an outage */
	unsigned times_unreachable; /* times the store became unreachable */
	unsigned rows_seen; /* by on_row() */
	const char *expected_key;
	const char *expected; /* value, or NULL: no such row */
} fixture_t;

static void on_sync_begin(void *context, bool restored)
{
	fixture_t *fixture = context;

	g_hash_table_remove_all(fixture->listed);
}

static void on_row(void *context, const store_row_t *row)
{
	fixture_t *fixture = context;

	fixture->rows_seen++;
	if (!row->value) {
		g_hash_table_remove(fixture->rows, row->key);
		return;
	}
	g_hash_table_add(fixture->listed, g_strdup(row->key));
	g_hash_table_replace(fixture->rows, g_strdup(row->key),
			     g_strdup(row->value->str));
}

static gboolean is_unlisted(gpointer key, gpointer value, gpointer context)
{
	return !g_hash_table_contains(context, key);
}

static void on_sync_end(void *context, bool outage)
{
	fixture_t *fixture = context;

	g_hash_table_foreach_remove(fixture->rows, is_unlisted,
				    fixture->listed);
	fixture->full_reads++;
	fixture->reads_after_outage += outage ? 1 : 0;
}

static void on_reachable(void *context, bool reachable)
{
	fixture_t *fixture = context;

	fixture->times_unreachable += reachable ? 0 : 1;
}

static void on_silence(void *context)
{
}

static const store_watch_handler_t handler = {
	.on_sync_begin = on_sync_begin,
	.on_row = on_row,
	.on_sync_end = on_sync_end,
	.on_reachable = on_reachable,
	.on_silence = on_silence,
};

static void init(fixture_t *fixture)
{
	store_watch_options_t options = {
		.table = TABLE,
		.wait_us = 500 * CLOCK_US_PER_MS,
		.handler = &handler,
		.context = fixture,
	};

	memset(fixture, 0, sizeof(*fixture));
	fixture->address = unused_address();
	fixture->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fixture->listed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fake_store_start(&fixture->store, fixture->address);
	http_pool_init(&fixture->pool, clock_boottime(), 1000, 0);
	options.address = fixture->address;
	fake_store_put(&fixture->store, TABLE, "a", "1");
	store_watch_init(&fixture->watch, &fixture->pool, clock_boottime(),
			 &options);
}

static void finish(fixture_t *fixture)
{
	store_watch_finish(&fixture->watch);
	http_pool_finish(&fixture->pool);
	fake_store_stop(&fixture->store);
	g_hash_table_unref(fixture->rows);
	g_hash_table_unref(fixture->listed);
	g_free(fixture->address);
}

static bool is_as_expected(void *context)
{
	const fixture_t *fixture = context;

	return g_strcmp0(g_hash_table_lookup(fixture->rows,
					     fixture->expected_key),
			 fixture->expected) == 0;
}

static void expect(fixture_t *fixture, const char *key, const char *value,
		   unsigned limit_ms)
{
	fixture->expected_key = key;
	fixture->expected = value;
	assert_true(support_run_loop_until(is_as_expected, fixture, limit_ms));
}

/* Guards against changes that are missed or come late. Each has to be reported
 * within 200 ms, well under the two seconds in which a change of the
 * configuration has to be in force.
 */
static void test_changes(void **state)
{
	fixture_t fixture;

	init(&fixture);
	expect(&fixture, "a", "1", 1000);
	fake_store_put(&fixture.store, TABLE, "b", "2");
	expect(&fixture, "b", "2", 200);
	fake_store_put(&fixture.store, TABLE, "a", "3");
	expect(&fixture, "a", "3", 200);
	fake_store_remove(&fixture.store, TABLE, "b");
	expect(&fixture, "b", NULL, 200);
	/* A read that ends without a change is followed by another one. */
	support_run_loop_ms(700);
	fake_store_put(&fixture.store, TABLE, "c", "4");
	expect(&fixture, "c", "4", 200);
	assert_int_equal(fixture.full_reads, 1);
	finish(&fixture);
}

/* The store drops its history of changes while it refuses the watch's reads.
 * Guards against a row that was removed meanwhile and stays in the user's rows.
 */
static void test_lost_history(void **state)
{
	fixture_t fixture;

	init(&fixture);
	fake_store_put(&fixture.store, TABLE, "b", "2");
	expect(&fixture, "b", "2", 1000);
	fixture.store.busy = true; /* refuses each read */
	support_run_loop_ms(600);
	fake_store_remove(&fixture.store, TABLE, "b");
	fake_store_forget_history(&fixture.store);
	fixture.store.busy = false;
	expect(&fixture, "b", NULL, 1500);
	assert_int_equal(fixture.full_reads, 2);
	finish(&fixture);
}

/* Guards against a late first read after an outage of the store, and against a
 * missing full read after it: rows may have expired and been written again
 * meanwhile, which the feed does not show.
 */
static void test_outage(void **state)
{
	fixture_t fixture;

	init(&fixture);
	expect(&fixture, "a", "1", 1000);
	fixture.store.busy = true; /* refuses each read */
	support_run_loop_ms(3500); /* more than OUTAGE_US of the watch */
	assert_int_equal(fixture.times_unreachable, 1);
	fake_store_put(&fixture.store, TABLE, "a", "2");
	fixture.store.busy = false;
	expect(&fixture, "a", "2", 600);
	assert_int_equal(fixture.reads_after_outage, 1);
	finish(&fixture);
}

/* Guards against a second read while a full read that was asked for between two
 * reads is in progress: the store's call has room for one.
 */
static void test_full_read_in_pause(void **state)
{
	fixture_t fixture;
	uint64_t reads;

	init(&fixture);
	fixture.watch.options.pause_us = 300 * CLOCK_US_PER_MS;
	expect(&fixture, "a", "1", 1000);
	fake_store_put(&fixture.store, TABLE, "a", "2");
	expect(&fixture, "a", "2", 1000); /* the pause has begun */
	fixture.store.silent = true;
	reads = fixture.watch.reads;
	store_watch_read_all(&fixture.watch);
	support_run_loop_ms(600);
	assert_int_equal(fixture.watch.reads, reads + 1);
	finish(&fixture);
}

/* Rows of one answer, and most of them in one turn of the main loop: a row of a server takes
 * some 20 us, with sanitizers ten times as long, and other work waits no more than 20 ms.
 */
#define MANY_ROWS 1500
#define MAX_ROWS_PER_TURN 100

/* Runs single turns of the main loop until so many rows were seen. Returns the most that were
 * decoded or seen in one turn.
 */
static unsigned most_rows_per_turn(fixture_t *fixture, unsigned rows)
{
	int64_t until_us = g_get_monotonic_time() + 10 * CLOCK_US_PER_S;
	unsigned most = 0;

	fixture->rows_seen = 0;
	while (fixture->rows_seen < rows) {
		const GArray *page = fixture->watch.page.rows;
		unsigned seen = fixture->rows_seen;
		unsigned decoded = page ? page->len : 0;

		assert_true(g_get_monotonic_time() < until_us);
		g_main_context_iteration(NULL, TRUE);
		page = fixture->watch.page.rows;
		most = MAX(most, fixture->rows_seen - seen);
		if (page && page->len > decoded)
			most = MAX(most, page->len - decoded);
	}
	return most;
}

static void put_many(fixture_t *fixture, const char *value)
{
	for (unsigned i = 0; i < MANY_ROWS; i++) {
		char *key = g_strdup_printf("k%u", i);

		fake_store_put(&fixture->store, TABLE, key, value);
		g_free(key);
	}
}

/* Guards against an answer of the store whose rows are all decoded or applied in one turn of
 * the main loop: the requests of callers wait for it, up to a second for the largest ones.
 */
static void test_many_rows(void **state)
{
	fixture_t fixture;
	unsigned changed, all;

	init(&fixture);
	expect(&fixture, "a", "1", 1000);
	/* The first changed row ends the read that waits. */
	fixture.store.busy = true;
	support_run_loop_ms(600);
	put_many(&fixture, "1");
	fixture.store.busy = false;
	changed = most_rows_per_turn(&fixture, MANY_ROWS);
	expect(&fixture, "k0", "1", 1000);
	assert_int_equal(fixture.full_reads, 1);
	store_watch_read_all(&fixture.watch);
	all = most_rows_per_turn(&fixture, MANY_ROWS);
	print_message(
		"most rows in one turn: %u of a feed, %u of a full read\n",
		changed, all);
	assert_true(changed <= MAX_ROWS_PER_TURN);
	assert_true(all <= MAX_ROWS_PER_TURN);
	assert_int_equal(g_hash_table_size(fixture.rows), MANY_ROWS + 1);
	finish(&fixture);
}

static bool was_read_twice(void *context)
{
	return ((fixture_t *)context)->full_reads >= 2;
}

/* Guards against a full read that is asked for while the rows of an answer are applied, and
 * against a watch that ends then: rows that are applied twice, or after the end.
 */
static void test_full_read_between_rows(void **state)
{
	fixture_t fixture;

	init(&fixture);
	expect(&fixture, "a", "1", 1000);
	put_many(&fixture, "1");
	store_watch_read_all(&fixture.watch);
	fixture.rows_seen = 0;
	while (fixture.rows_seen == 0)
		g_main_context_iteration(NULL, TRUE);
	assert_true(fixture.rows_seen < MANY_ROWS);
	store_watch_read_now(&fixture.watch);
	store_watch_read_all(&fixture.watch);
	fixture.rows_seen = 0;
	assert_true(support_run_loop_until(was_read_twice, &fixture, 10000));
	assert_int_equal(fixture.full_reads, 2);
	assert_int_equal(fixture.rows_seen, MANY_ROWS + 1);
	store_watch_read_all(&fixture.watch);
	fixture.rows_seen = 0;
	while (fixture.rows_seen == 0)
		g_main_context_iteration(NULL, TRUE);
	finish(&fixture);
}

/* Guards against rows of an answer that is malformed behind them, which are applied. */
static void test_malformed_end(void **state)
{
	fixture_t fixture;

	init(&fixture);
	expect(&fixture, "a", "1", 1000);
	put_many(&fixture, "1");
	fake_store_put(&fixture.store, TABLE, "k", "1");
	fixture.store.garbles_last = true;
	store_watch_read_all(&fixture.watch);
	fixture.rows_seen = 0;
	support_run_loop_ms(500);
	assert_int_equal(fixture.rows_seen, 0);
	assert_true(fixture.times_unreachable > 0);
	fixture.store.garbles_last = false;
	expect(&fixture, "k1499", "1", 10000);
	finish(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_changes),
		cmocka_unit_test(test_lost_history),
		cmocka_unit_test(test_outage),
		cmocka_unit_test(test_full_read_in_pause),
		cmocka_unit_test(test_many_rows),
		cmocka_unit_test(test_full_read_between_rows),
		cmocka_unit_test(test_malformed_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
