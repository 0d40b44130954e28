/* Reads of the store that wait for a change and whose answers are lost, or held back by the
 * store until the wait is over, while all other calls are answered.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "support_store_reader.h"
#include "support_tcp_stub.h"

/* The users' bounds: a configuration has to be in force so long after its acknowledgement,
 * and what VMs write for each other has to be known.
 */
#define CONFIG_MS 2000
#define OWN_MS 3000

#define CONFIG(version) "{\"version\":" version ",\"routes\":[]}"

/* Starts a VM that has read the first configuration and waits for changes of all tables. */
static void start(store_reader_t *reader)
{
	store_reader_init(reader);
	fake_store_put(&reader->store, TABLE_CONFIG, KEY_CONFIG, CONFIG("1"));
	reader->expected_version = 1;
	assert_true(
		support_run_loop_until(store_reader_has_config, reader, 3000));
	assert_true(support_run_loop_until(store_reader_is_registered, reader,
					   2000));
	support_run_loop_ms(300);
}

/* Writes a configuration and checks that it is in force in time. */
static void expect_config(store_reader_t *reader, const char *config,
			  int64_t version)
{
	fake_store_put(&reader->store, TABLE_CONFIG, KEY_CONFIG, config);
	reader->store.lost_feeds = NULL;
	reader->expected_version = version;
	assert_true(support_run_loop_until(store_reader_has_config, reader,
					   CONFIG_MS));
}

/* Guards against an old configuration that stays in force because one answer of the store
 * was lost, for as long as the read would have waited.
 */
static void test_lost_answer_of_configuration(void **state)
{
	store_reader_t reader;

	start(&reader);
	reader.store.lost_feeds = TABLE_CONFIG;
	expect_config(&reader, CONFIG("2"), 2);
	assert_int_equal(reader.rows.config.overdue_reads, 1);
	store_reader_finish(&reader);
}

/* Guards against the same where the store answers only when the wait is over, as it does to
 * reads that come while it drops its history.
 */
static void test_held_read_of_configuration(void **state)
{
	store_reader_t reader;

	start(&reader);
	reader.store.holds_feeds = true;
	fake_store_forget_history(&reader.store);
	fake_store_put(&reader.store, TABLE_CONFIG, KEY_CONFIG, CONFIG("2"));
	reader.expected_version = 2;
	assert_true(support_run_loop_until(store_reader_has_config, &reader,
					   CONFIG_MS));
	support_run_loop_ms(50); /* until the next read waits */
	reader.store.holds_feeds = false;
	expect_config(&reader, CONFIG("3"), 3);
	store_reader_finish(&reader);
}

static bool knows_other_vm(void *context)
{
	const store_reader_t *reader = context;

	return reader->vm_rows > 1;
}

/* Guards against rows of other VMs, as the rules on requests that crash servers, that are
 * unknown for as long as a read of them would have waited.
 */
static void test_lost_answer_of_own_table(void **state)
{
	store_reader_t reader;

	start(&reader);
	reader.store.lost_feeds = TABLE_ROUTER;
	fake_store_put(&reader.store, TABLE_ROUTER, "vm/other", "10.0.0.8:80");
	reader.store.lost_feeds = NULL;
	assert_true(support_run_loop_until(knows_other_vm, &reader, OWN_MS));
	assert_int_equal(reader.rows.own_table.overdue_reads, 1);
	store_reader_finish(&reader);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lost_answer_of_configuration),
		cmocka_unit_test(test_held_read_of_configuration),
		cmocka_unit_test(test_lost_answer_of_own_table),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
