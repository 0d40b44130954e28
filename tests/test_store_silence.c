#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "support_store_reader.h"
#include "support_tcp_stub.h"

/* The users' bounds: three seconds after the store is back, a VM has to act on
 * what the store acknowledges within two seconds.
 */
#define SETTLE_MS 3000
#define APPLY_MS 2000

/* The soak's bound: time for the recovery after the last fault. */
#define RECOVER_MS 1750

#define CONFIG(version) "{\"version\":" version ",\"routes\":[]}"

/* Guards against requests to a leaving server by a VM whose read of the server
 * list was swallowed while the store was silent.
 */
static void test_leaving_server_after_silence(void **state)
{
	store_reader_t reader;

	store_reader_init(&reader);
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       STORE_READER_ENTRY("1", "ready"));
	assert_true(
		support_run_loop_until(store_reader_has_server, &reader, 3000));
	reader.store.silent = true;
	support_run_loop_ms(1200);
	reader.store.silent = false;
	support_run_loop_ms(SETTLE_MS);
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       STORE_READER_ENTRY("9", "draining"));
	assert_true(support_run_loop_until(store_reader_is_leaving, &reader,
					   APPLY_MS));
	store_reader_finish(&reader);
}

/* Guards against an outdated configuration at a VM whose waiting read was to be
 * answered while the store was silent.
 */
static void test_configuration_after_silence(void **state)
{
	store_reader_t reader;

	store_reader_init(&reader);
	fake_store_put(&reader.store, TABLE_CONFIG, KEY_CONFIG, CONFIG("1"));
	reader.expected_version = 1;
	assert_true(
		support_run_loop_until(store_reader_has_config, &reader, 3000));
	support_run_loop_ms(300); /* until the next read waits */
	reader.store.silent = true;
	support_run_loop_ms(600);
	fake_store_put(&reader.store, TABLE_CONFIG, KEY_CONFIG, CONFIG("2"));
	support_run_loop_ms(600);
	reader.store.silent = false;
	reader.expected_version = 2;
	assert_true(support_run_loop_until(store_reader_has_config, &reader,
					   SETTLE_MS));
	store_reader_finish(&reader);
}

/* Begins a silence of the store between two reads of the server list, and ends
 * it when a number of them are lost.
 */
static void lose_reads(store_reader_t *reader, unsigned n)
{
	const store_watch_t *watch = &reader->rows.server_list;
	uint64_t last = watch->reads + n;

	while (store_call_is_busy(&watch->call))
		g_main_context_iteration(NULL, TRUE);
	reader->store.silent = true;
	while (watch->reads < last)
		g_main_context_iteration(NULL, TRUE);
	support_run_loop_ms(50); /* until it has arrived */
	reader->store.silent = false;
}

/* Guards against a VM that refuses requests for seconds after its link to the
 * store works again, since it does not know yet of servers that have joined.
 */
static void test_new_server_after_silence(void **state)
{
	for (unsigned n = 1; n <= 3; n++) {
		store_reader_t reader;

		store_reader_init(&reader);
		support_run_loop_ms(300);
		lose_reads(&reader, n);
		fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
			       STORE_READER_ENTRY("1", "ready"));
		assert_true(support_run_loop_until(store_reader_has_server,
						   &reader, RECOVER_MS));
		store_reader_finish(&reader);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_leaving_server_after_silence),
		cmocka_unit_test(test_configuration_after_silence),
		cmocka_unit_test(test_new_server_after_silence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
