/* Events that come in pieces of any size. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/memory_budget.h"
#include "request/event_split.h"

/* Largest event that a VM takes, and the time in which it must have read one. */
#define EVENT_BYTES ((size_t)256 << 10)
#define EVENT_US (1 * CLOCK_US_PER_S)

static const char events[] = "id: 1\ndata: a\n\n"
			     "id: 2\r\ndata: b\r\n\r\n"
			     ": comment\n\n\n"
			     "data: c\nid:3\n\n";
static const char partial[] = "id: 4\ndata: d\n";

/* Adds bytes in pieces; appends the complete events to `out`. */
static void add_in_pieces(event_split_t *split, str_t bytes, size_t piece,
			  GString *out)
{
	for (size_t at = 0; at < bytes.len; at += piece) {
		str_t complete = event_split_add(
			split,
			(str_t){bytes.data + at, MIN(piece, bytes.len - at)});

		g_string_append_len(out, complete.data, (gssize)complete.len);
		event_split_consume(split);
	}
}

/* Guards against events that are lost, or passed on before their end, because of where the
 * pieces of a stream end; also after a partial event that was dropped.
 */
static void test_pieces(void **state)
{
	char *all = g_strconcat(events, partial, NULL);

	for (size_t piece = 1; piece <= strlen(all); piece++) {
		GString *out = g_string_new(NULL);
		event_split_t split;

		event_split_init(&split);
		for (unsigned i = 0; i < 2; i++) {
			g_string_truncate(out, 0);
			add_in_pieces(&split, str_from(all), piece, out);
			assert_string_equal(out->str, events);
			assert_true(str_equal(event_split_last_id(&split),
					      STR("3")));
			assert_true(str_equal(event_split_partial(&split),
					      str_from(partial)));
			event_split_drop_partial(&split);
		}
		assert_int_equal(split.events_with_id, 6);
		event_split_finish(&split);
		g_string_free(out, TRUE);
	}
	g_free(all);
}

/* Guards against time that grows with the square of an event which comes in small pieces. */
static void test_time(void **state)
{
	clock_source_t clock = clock_boottime();
	int64_t begin_us = clock_now(&clock);
	event_split_t split;

	event_split_init(&split);
	for (size_t i = 0; i < EVENT_BYTES; i++)
		assert_int_equal(event_split_add(&split, STR("a")).len, 0);
	assert_true(clock_now(&clock) - begin_us < EVENT_US);
	event_split_finish(&split);
}

/* Guards against room for a large event that each stream holds on to after the event, and
 * against IDs that are kept uncounted.
 */
static void test_memory(void **state)
{
	char *text = g_strnfill(EVENT_BYTES / 2, 'a');
	char *large = g_strconcat("data: ", text, "\n\nda", NULL);
	char *large_id = g_strconcat("id: ", text, "\n\n", NULL);
	event_split_t split;

	event_split_init(&split);
	assert_true(event_split_add(&split, str_from(large)).len > 0);
	event_split_consume(&split);
	assert_true(str_equal(event_split_partial(&split), STR("da")));
	assert_true(event_split_memory(&split) <=
		    (size_t)2 * MEMORY_SMALL_BYTES);
	(void)event_split_add(&split, str_from(text));
	assert_true(event_split_memory(&split) >= EVENT_BYTES / 2);
	event_split_drop_partial(&split);
	assert_true(event_split_memory(&split) <=
		    (size_t)2 * MEMORY_SMALL_BYTES);
	(void)event_split_add(&split, str_from(large_id));
	event_split_consume(&split);
	assert_true(event_split_memory(&split) >= EVENT_BYTES / 2);
	event_split_finish(&split);
	g_free(text);
	g_free(large);
	g_free(large_id);
}

/* Guards against room for a long ID that a stream holds on to when its later IDs are short: it
 * counts for as long as the stream lasts, and no check of what the stream keeps ends it.
 */
static void test_memory_after_long_id(void **state)
{
	char *text = g_strnfill(EVENT_BYTES / 2, 'a');
	char *long_id = g_strconcat("id: ", text, "\n\nid: 2\n\n", NULL);
	event_split_t split;

	event_split_init(&split);
	(void)event_split_add(&split, str_from(long_id));
	event_split_consume(&split);
	assert_true(str_equal(event_split_last_id(&split), STR("2")));
	assert_true(event_split_memory(&split) <=
		    (size_t)2 * MEMORY_SMALL_BYTES);
	event_split_finish(&split);
	g_free(text);
	g_free(long_id);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pieces),
		cmocka_unit_test(test_time),
		cmocka_unit_test(test_memory),
		cmocka_unit_test(test_memory_after_long_id),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
