#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include <string.h>

#include "connection/request_body.h"

#define BUDGET_BYTES ((size_t)100000)
#define LONGEST_BYTES ((size_t)60000)
#define LARGE_BYTES 50000

/* Appends so many bytes at once. */
static body_result_t append(request_body_t *body, size_t len)
{
	char *data = g_strnfill(len, 'x');
	body_result_t result = request_body_append(body, (str_t){data, len});

	g_free(data);
	return result;
}

static void complete(request_body_t *body, size_t len)
{
	GBytes *bytes = request_body_complete(body);

	assert_int_equal(g_bytes_get_size(bytes), len);
	g_bytes_unref(bytes);
}

/* Guards against bodies that together take more than the budget, and against one that is cut
 * although it was begun.
 */
static void test_reserves_before_reading(void **state)
{
	memory_budget_t budget;
	request_body_t first = {0}, second = {0}, third = {0};

	memory_budget_init(&budget, BUDGET_BYTES);
	assert_true(request_body_begin(&first, &budget, LARGE_BYTES,
				       LONGEST_BYTES));
	assert_true(request_body_begin(&second, &budget, LARGE_BYTES,
				       LONGEST_BYTES));
	assert_false(request_body_begin(&third, &budget, LARGE_BYTES,
					LONGEST_BYTES));
	assert_int_equal(append(&first, LARGE_BYTES), BODY_TAKEN);
	assert_int_equal(append(&second, LARGE_BYTES), BODY_TAKEN);
	assert_int_equal(budget.used_bytes, 2 * LARGE_BYTES);
	complete(&first, LARGE_BYTES);
	complete(&second, LARGE_BYTES);
	assert_int_equal(budget.used_bytes, 2 * LARGE_BYTES);
	request_body_clear(&first);
	request_body_clear(&second);
	request_body_clear(&third);
	assert_int_equal(budget.used_bytes, 0);
}

/* Guards against a body in chunks that is refused in its midst, or that holds more than it
 * needs once it is complete.
 */
static void test_unknown_length(void **state)
{
	memory_budget_t budget;
	request_body_t first = {0}, second = {0};

	memory_budget_init(&budget, BUDGET_BYTES);
	assert_true(request_body_begin(&first, &budget, -1, LONGEST_BYTES));
	assert_int_equal(budget.used_bytes, LONGEST_BYTES);
	assert_false(request_body_begin(&second, &budget, -1, LONGEST_BYTES));
	assert_int_equal(append(&second, MEMORY_SMALL_BYTES), BODY_TAKEN);
	assert_int_equal(append(&second, 1), BODY_NO_ROOM);
	for (unsigned i = 0; i < 5; i++)
		assert_int_equal(append(&first, 2000), BODY_TAKEN);
	complete(&first, 10000);
	assert_int_equal(budget.used_bytes, 10000);
	request_body_clear(&first);
	request_body_clear(&second);
	assert_int_equal(budget.used_bytes, 0);
}

/* Guards against small bodies that are refused because there is no room for large ones. */
static void test_small_bodies(void **state)
{
	memory_budget_t budget;
	request_body_t stated = {0}, chunked = {0};

	memory_budget_init(&budget, BUDGET_BYTES);
	budget.used_bytes = BUDGET_BYTES;
	assert_true(request_body_begin(&stated, &budget, MEMORY_SMALL_BYTES,
				       LONGEST_BYTES));
	assert_int_equal(append(&stated, MEMORY_SMALL_BYTES), BODY_TAKEN);
	(void)request_body_begin(&chunked, &budget, -1, LONGEST_BYTES);
	assert_int_equal(append(&chunked, MEMORY_SMALL_BYTES), BODY_TAKEN);
	complete(&stated, MEMORY_SMALL_BYTES);
	complete(&chunked, MEMORY_SMALL_BYTES);
	assert_int_equal(budget.used_bytes, BUDGET_BYTES);
}

/* Guards against a body that is allowed by its length and could never be sent, as it is longer
 * than all that bodies may take.
 */
static void test_longer_than_the_budget(void **state)
{
	memory_budget_t budget;
	request_body_t first = {0}, second = {0};

	memory_budget_init(&budget, BUDGET_BYTES);
	assert_true(request_body_begin(&first, &budget,
				       (int64_t)(2 * BUDGET_BYTES),
				       3 * BUDGET_BYTES));
	assert_false(
		request_body_begin(&second, &budget, 5000, 3 * BUDGET_BYTES));
	request_body_clear(&first);
	assert_true(
		request_body_begin(&second, &budget, 5000, 3 * BUDGET_BYTES));
	assert_false(request_body_begin(&first, &budget,
					(int64_t)(2 * BUDGET_BYTES),
					3 * BUDGET_BYTES));
	request_body_clear(&second);
	request_body_clear(&first);
}

/* Guards against bodies that leave no room for responses, and against responses that count for
 * themselves only.
 */
static void test_part_of_a_whole(void **state)
{
	memory_budget_t whole, part, other;
	request_body_t body = {0};
	kept_buffer_t buffer;
	size_t others_bytes = 0;
	char *text;

	memory_budget_init(&whole, BUDGET_BYTES);
	memory_budget_init(&part, LONGEST_BYTES);
	memory_budget_init(&other, LONGEST_BYTES);
	part.whole = &whole;
	other.whole = &whole;
	kept_buffer_init(&buffer, &other);
	assert_true(
		request_body_begin(&body, &part, LARGE_BYTES, LONGEST_BYTES));
	assert_int_equal(whole.used_bytes, LARGE_BYTES);
	request_body_clear(&body);
	text = g_strnfill(LARGE_BYTES / 2, 'x');
	assert_true(kept_buffer_append(&buffer, str_from(text), LONGEST_BYTES));
	g_free(text);
	assert_int_equal(whole.used_bytes, other.used_bytes);
	assert_true(
		request_body_begin(&body, &part, LARGE_BYTES, LONGEST_BYTES));
	memory_budget_recount(&whole, &others_bytes,
			      BUDGET_BYTES - whole.used_bytes);
	request_body_clear(&body);
	assert_true(
		request_body_begin(&body, &part, LARGE_BYTES, LONGEST_BYTES));
	request_body_clear(&body);
	memory_budget_recount(&whole, &others_bytes, others_bytes + 1);
	assert_false(
		request_body_begin(&body, &part, LARGE_BYTES, LONGEST_BYTES));
	memory_budget_recount(&whole, &others_bytes, 0);
	kept_buffer_finish(&buffer);
	assert_int_equal(whole.used_bytes, 0);
}

/* Guards against a body that is longer than its limit. */
static void test_too_large(void **state)
{
	request_body_t body = {0};

	assert_true(request_body_begin(&body, NULL, -1, 1000));
	assert_int_equal(append(&body, 1000), BODY_TAKEN);
	assert_int_equal(append(&body, 1), BODY_TOO_LARGE);
	request_body_clear(&body);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reserves_before_reading),
		cmocka_unit_test(test_unknown_length),
		cmocka_unit_test(test_small_bodies),
		cmocka_unit_test(test_longer_than_the_budget),
		cmocka_unit_test(test_part_of_a_whole),
		cmocka_unit_test(test_too_large),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
