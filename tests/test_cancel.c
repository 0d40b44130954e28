#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "request/cancel.h"
#include "request/retry.h"

#define NOW_US (50 * CLOCK_US_PER_S)
#define BOUND_US (NOW_US + 10 * CLOCK_US_PER_S)
#define WALK_SEED UINT64_C(88)
#define WALK_STEPS 50000

typedef struct {
	unsigned confirmed;
	unsigned abandoned;
	uint32_t last_attempt;
} ends_t;

static void on_end(const cancel_t *cancel, cancel_end_t end, int64_t now_us,
		   void *context)
{
	ends_t *ends = context;

	assert_true(now_us >= cancel->added_us);
	ends->last_attempt = cancel->attempt;
	if (end == CANCEL_CONFIRMED)
		ends->confirmed++;
	else
		ends->abandoned++;
}

/* Guards against a cancel that is sent once only, or after the bound. */
static void test_repeats_until_bound(void **state)
{
	ends_t ends = {0};
	cancel_queue_t queue;
	int64_t last_us = NOW_US;
	unsigned sends = 0;

	cancel_queue_init(&queue, 1, on_end, &ends);
	assert_true(cancel_queue_next_send_us(&queue) == INT64_MAX);
	cancel_queue_add(&queue, STR("127.0.0.1:1"), STR("r"), 3, NOW_US,
			 BOUND_US);
	while (cancel_queue_length(&queue) > 0) {
		int64_t now_us = cancel_queue_next_send_us(&queue);
		const cancel_t *cancel;

		assert_true(now_us >= last_us);
		assert_true(now_us <= BOUND_US);
		cancel = cancel_queue_next_due(&queue, now_us);
		if (!cancel)
			break;
		assert_true(now_us < BOUND_US);
		assert_string_equal(cancel->engine, "127.0.0.1:1");
		assert_string_equal(cancel->request, "r");
		assert_int_equal(cancel->attempt, 3);
		/* Not due twice at once, and never apart by more than 1 s. */
		assert_null(cancel_queue_next_due(&queue, now_us));
		assert_true(now_us - last_us <= CLOCK_US_PER_S);
		last_us = now_us;
		sends++;
	}
	assert_int_equal(ends.abandoned, 1);
	assert_int_equal(cancel_queue_length(&queue), 0);
	assert_in_range(sends, 10, 40);
	cancel_queue_finish(&queue);
}

/* Guards against a confirmation of an earlier attempt that ends the
 * cancellation of a later one.
 */
static void test_confirm_by_attempt(void **state)
{
	const str_t engine = STR("127.0.0.1:1");
	ends_t ends = {0};
	cancel_queue_t queue;

	cancel_queue_init(&queue, 1, on_end, &ends);
	cancel_queue_add(&queue, engine, STR("r"), 1, NOW_US, BOUND_US);
	assert_non_null(cancel_queue_next_due(&queue, NOW_US));
	cancel_queue_add(&queue, engine, STR("r"), 2, NOW_US, BOUND_US);
	assert_int_equal(cancel_queue_length(&queue), 1);
	assert_false(cancel_queue_confirm(&queue, engine, STR("r"), 1, NOW_US));
	assert_false(cancel_queue_confirm(&queue, engine, STR("s"), 2, NOW_US));
	assert_false(cancel_queue_confirm(&queue, STR("127.0.0.1:2"), STR("r"),
					  2, NOW_US));
	assert_int_equal(cancel_queue_next_due(&queue, NOW_US)->attempt, 2);
	assert_true(cancel_queue_confirm(&queue, engine, STR("r"), 2, NOW_US));
	assert_false(cancel_queue_confirm(&queue, engine, STR("r"), 2, NOW_US));
	assert_int_equal(ends.confirmed, 1);
	assert_int_equal(ends.last_attempt, 2);
	assert_null(cancel_queue_next_due(&queue, BOUND_US));
	/* An earlier attempt, added late, is covered by the later one. */
	cancel_queue_add(&queue, engine, STR("r"), 5, NOW_US, BOUND_US);
	cancel_queue_add(&queue, engine, STR("r"), 4, NOW_US, BOUND_US);
	assert_int_equal(cancel_queue_next_due(&queue, NOW_US)->attempt, 5);
	cancel_queue_finish(&queue);
}

/* Guards against entries lost or ended twice in any order of calls. */
static void test_random_walk(void **state)
{
	uint64_t seed = WALK_SEED;
	int64_t now_us = NOW_US;
	ends_t ends = {0};
	unsigned added = 0;
	cancel_queue_t queue;

	cancel_queue_init(&queue, seed, on_end, &ends);
	for (int i = 0; i < WALK_STEPS; i++) {
		char engine[32], request[32];
		size_t before = cancel_queue_length(&queue);
		uint32_t attempt = (uint32_t)(retry_random(&seed) % 3);

		g_snprintf(engine, sizeof(engine), "e%d",
			   (int)(retry_random(&seed) % 4));
		g_snprintf(request, sizeof(request), "r%d",
			   (int)(retry_random(&seed) % 16));
		now_us += (int64_t)(retry_random(&seed) % 20000);
		switch (retry_random(&seed) % 3) {
		case 0:
			cancel_queue_add(&queue, str_from(engine),
					 str_from(request), attempt, now_us,
					 now_us + 3 * CLOCK_US_PER_S);
			added += cancel_queue_length(&queue) > before;
			break;
		case 1:
			cancel_queue_confirm(&queue, str_from(engine),
					     str_from(request), attempt,
					     now_us);
			break;
		default:
			while (cancel_queue_next_due(&queue, now_us))
				;
			assert_true(cancel_queue_next_send_us(&queue) > now_us);
			break;
		}
		assert_int_equal(added, cancel_queue_length(&queue) +
						ends.confirmed +
						ends.abandoned);
	}
	assert_true(ends.confirmed > 100);
	while (cancel_queue_next_due(&queue, INT64_MAX))
		;
	assert_int_equal(cancel_queue_length(&queue), 0);
	assert_int_equal(added, ends.confirmed + ends.abandoned);
	cancel_queue_finish(&queue);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_repeats_until_bound),
		cmocka_unit_test(test_confirm_by_attempt),
		cmocka_unit_test(test_random_walk),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
