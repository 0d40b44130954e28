/* What a VM remembers of the versions that began streams. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/decide/stream_origins.h"

#define NOW (100 * CLOCK_US_PER_S)

static void put(stream_origins_t *origins, uint64_t stream, uint64_t software,
		int64_t expires_us, bool own)
{
	stream_origin_t origin = {.stream = stream,
				  .software = software,
				  .expires_us = expires_us,
				  .own = own};

	stream_origins_put(origins, &origin);
}

/* Guards against a stream that is taken for one of another version, as an
 * announcement of a VM that served its rest arrives later, and against streams
 * that are forgotten too early or kept without end.
 */
static void test_one_version_for_a_stream(void **state)
{
	stream_origins_t origins;

	stream_origins_init(&origins);
	put(&origins, 1, 7, NOW + 10, true);
	put(&origins, 1, 8, NOW + 5, false);
	put(&origins, 2, 8, NOW + 20, false);
	assert_int_equal(stream_origins_find(&origins, 1, NOW), 7);
	assert_int_equal(stream_origins_find(&origins, 2, NOW), 8);
	assert_int_equal(stream_origins_find(&origins, 3, NOW), 0);
	assert_int_equal(stream_origins_find(&origins, 1, NOW + 10), 0);
	put(&origins, 1, 7, NOW + 15, false);
	stream_origins_expire(&origins, NOW + 10);
	assert_int_equal(stream_origins_find(&origins, 1, NOW + 10), 7);
	stream_origins_expire(&origins, NOW + 20);
	assert_int_equal(g_hash_table_size(origins.by_stream), 0);
	stream_origins_finish(&origins);
}

/* Guards against announcements that leave out the streams that have just begun,
 * or that pass on other VMs' streams all the time.
 */
static void test_newest_streams_are_announced(void **state)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(stream_origin_t));
	stream_origins_t origins;

	stream_origins_init(&origins);
	for (uint64_t i = 1; i <= 4 * STREAM_ORIGINS_ANNOUNCED; i++)
		put(&origins, i, 7, NOW + 10, i % 2 == 0);
	stream_origins_list(&origins, list, true, NOW);
	assert_int_equal(list->len, STREAM_ORIGINS_ANNOUNCED);
	for (guint i = 0; i < list->len; i++) {
		assert_true(g_array_index(list, stream_origin_t, i).own);
		assert_true(g_array_index(list, stream_origin_t, i).stream >
			    2 * STREAM_ORIGINS_ANNOUNCED);
	}
	stream_origins_list(&origins, list, false, NOW);
	assert_int_equal(g_array_index(list, stream_origin_t, 0).stream,
			 4 * STREAM_ORIGINS_ANNOUNCED);
	assert_int_equal(g_array_index(list, stream_origin_t, 1).stream,
			 4 * STREAM_ORIGINS_ANNOUNCED - 1);
	stream_origins_list(&origins, list, false, NOW + 10);
	assert_int_equal(list->len, 0);
	g_array_unref(list);
	stream_origins_finish(&origins);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_version_for_a_stream),
		cmocka_unit_test(test_newest_streams_are_announced),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
