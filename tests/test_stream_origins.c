/* What a VM remembers of the versions that began streams. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/decide/stream_origins.h"

#define NOW (100 * CLOCK_US_PER_S)

/* More streams than one announcement holds. */
#define STREAMS ((uint64_t)(4 * STREAM_ORIGINS_ANNOUNCED))

static void put(stream_origins_t *origins, uint64_t stream, uint64_t software,
		int64_t expires_us, int64_t announced_until_us)
{
	stream_origin_t origin = {.stream = stream,
				  .software = software,
				  .expires_us = expires_us,
				  .announced_until_us = announced_until_us};

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
	put(&origins, 1, 7, NOW + 10, NOW + 5);
	put(&origins, 1, 8, NOW + 5, 0);
	put(&origins, 2, 8, NOW + 20, 0);
	assert_int_equal(stream_origins_find(&origins, 1, NOW), 7);
	assert_int_equal(stream_origins_find(&origins, 2, NOW), 8);
	assert_int_equal(stream_origins_find(&origins, 3, NOW), 0);
	assert_int_equal(stream_origins_find(&origins, 1, NOW + 10), 0);
	put(&origins, 1, 7, NOW + 15, 0);
	stream_origins_expire(&origins, NOW + 10);
	assert_int_equal(stream_origins_find(&origins, 1, NOW + 10), 7);
	stream_origins_expire(&origins, NOW + 20);
	assert_int_equal(g_hash_table_size(origins.by_stream), 0);
	stream_origins_finish(&origins);
}

/* Guards against announcements that leave out the streams that have just begun,
 * and that hold streams of other VMs or old ones all the time: 256 streams to 86
 * peers three times a second fill a link of 10 Mbit/s.
 */
static void test_only_new_streams_are_announced(void **state)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(stream_origin_t));
	stream_origins_t origins;

	stream_origins_init(&origins);
	for (uint64_t i = 1; i <= STREAMS; i++)
		put(&origins, i, 7, NOW + 10, i % 100 == 0 ? NOW + 5 : 0);
	stream_origins_list_new(&origins, list, NOW);
	assert_int_equal(list->len, STREAMS / 100);
	for (guint i = 0; i < list->len; i++)
		assert_int_equal(
			g_array_index(list, stream_origin_t, i).stream % 100,
			0);
	stream_origins_list_new(&origins, list, NOW + 5);
	assert_int_equal(list->len, 0);
	g_array_unref(list);
	stream_origins_finish(&origins);
}

/* Guards against a VM that has just started and learns of the oldest streams only.
 */
static void test_newest_streams_for_a_new_vm(void **state)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(stream_origin_t));
	stream_origins_t origins;

	stream_origins_init(&origins);
	for (uint64_t i = 1; i <= STREAMS; i++)
		put(&origins, i, 7, NOW + 10, 0);
	stream_origins_list_all(&origins, list, NOW);
	assert_int_equal(list->len, STREAM_ORIGINS_ANNOUNCED);
	assert_int_equal(g_array_index(list, stream_origin_t, 0).stream,
			 STREAMS);
	stream_origins_list_all(&origins, list, NOW + 10);
	assert_int_equal(list->len, 0);
	g_array_unref(list);
	stream_origins_finish(&origins);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_version_for_a_stream),
		cmocka_unit_test(test_only_new_streams_are_announced),
		cmocka_unit_test(test_newest_streams_for_a_new_vm),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
