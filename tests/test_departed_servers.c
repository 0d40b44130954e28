#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "support_store_reader.h"
#include "support_tcp_stub.h"

/* Starts a VM that knows the server i-1 as ready. */
static void start(store_reader_t *reader)
{
	store_reader_init(reader);
	reader->store.era = 1;
	fake_store_put(&reader->store, TABLE_SERVERS, "i-1",
		       STORE_READER_ENTRY("5", "ready"));
	assert_true(
		support_run_loop_until(store_reader_has_server, reader, 3000));
}

/* Starts such a VM, and removes the server from the list. */
static void start_without_server(store_reader_t *reader)
{
	start(reader);
	fake_store_remove(&reader->store, TABLE_SERVERS, "i-1");
	assert_true(support_run_loop_until(store_reader_has_no_server, reader,
					   1500));
}

/* Brings the store back from a copy that lists the server i-1 as ready. */
static void restore(store_reader_t *reader)
{
	fake_store_restore(&reader->store, 0);
	fake_store_put(&reader->store, TABLE_SERVERS, "i-1",
		       STORE_READER_ENTRY("4", "ready"));
}

static bool takes_work(void *context)
{
	const store_reader_t *reader = context;

	return server_set_count_usable(&reader->servers) > 0;
}

static bool takes_no_work(void *context)
{
	return !takes_work(context);
}

/* Guards against requests to a server that left the list without announcing it,
 * after the store came back from a copy that still lists it. A server that
 * writes its entry again lives and gets work at once.
 */
static void test_copy_lists_a_removed_server(void **state)
{
	store_reader_t reader;

	start_without_server(&reader);
	restore(&reader);
	assert_false(support_run_loop_until(takes_work, &reader, 3000));
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       STORE_READER_ENTRY("6", "ready"));
	assert_true(support_run_loop_until(takes_work, &reader, 1500));
	store_reader_finish(&reader);
}

/* Guards against a live server that stays without work because its entry was
 * missing before the store came back from a copy.
 */
static void test_copy_lists_a_live_server(void **state)
{
	store_reader_t reader;

	start_without_server(&reader);
	restore(&reader);
	assert_true(support_run_loop_until(takes_work, &reader, 8000));
	store_reader_finish(&reader);
}

/* Guards against a server that loses its work when the store comes back from a
 * copy, because its entry was missing for a while some time before.
 */
static void test_copy_lists_a_server_that_returned(void **state)
{
	store_reader_t reader;

	start_without_server(&reader);
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       STORE_READER_ENTRY("6", "ready"));
	assert_true(support_run_loop_until(takes_work, &reader, 1500));
	restore(&reader);
	assert_false(support_run_loop_until(takes_no_work, &reader, 6000));
	store_reader_finish(&reader);
}

/* Guards against requests to a leaving server whose removal this VM learned
 * from a full read, after the store came back from a copy that lists it as
 * ready.
 */
static void test_copy_lists_a_server_that_expired(void **state)
{
	store_reader_t reader;

	start(&reader);
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       STORE_READER_ENTRY("6", "draining"));
	assert_true(
		support_run_loop_until(store_reader_is_leaving, &reader, 1500));
	reader.store.busy = true; /* refuses each read */
	support_run_loop_ms(300);
	fake_store_remove(&reader.store, TABLE_SERVERS, "i-1");
	fake_store_forget_history(&reader.store);
	support_run_loop_ms(600);
	reader.store.busy = false;
	assert_true(support_run_loop_until(store_reader_has_no_server, &reader,
					   4000));
	restore(&reader);
	support_run_loop_ms(600);
	fake_store_put(&reader.store, TABLE_SERVERS, "i-1",
		       STORE_READER_ENTRY("4", "ready"));
	assert_false(support_run_loop_until(takes_work, &reader, 7000));
	store_reader_finish(&reader);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_copy_lists_a_removed_server),
		cmocka_unit_test(test_copy_lists_a_live_server),
		cmocka_unit_test(test_copy_lists_a_server_that_returned),
		cmocka_unit_test(test_copy_lists_a_server_that_expired),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
