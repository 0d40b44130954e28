/* What is kept of messages at a time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/memory_budget.h"

#define BUDGET_BYTES ((size_t)1 << 20)
#define MESSAGES 400
#define PIECE_BYTES 1000

/* Returns the memory that buffers have allocated. */
static size_t allocated_bytes(const kept_buffer_t *buffers, size_t n)
{
	size_t bytes = 0;

	for (size_t i = 0; i < n; i++)
		bytes += buffers[i].allocated_bytes;
	return bytes;
}

/* Guards against buffers that take more memory than the budget has, because only the bytes in
 * them are counted, and against memory that stays counted, or allocated, after its use.
 */
static void test_many_messages(void **state)
{
	char piece[PIECE_BYTES] = {0};
	kept_buffer_t buffers[MESSAGES];
	memory_budget_t budget;
	unsigned refused = 0;

	memory_budget_init(&budget, BUDGET_BYTES);
	for (size_t i = 0; i < MESSAGES; i++)
		kept_buffer_init(&buffers[i], &budget);
	for (size_t len = 0; len < (size_t)20 * PIECE_BYTES;
	     len += PIECE_BYTES) {
		for (size_t i = 0; i < MESSAGES; i++)
			refused += !kept_buffer_append(
				&buffers[i], (str_t){piece, PIECE_BYTES},
				BUDGET_BYTES);
		assert_true(allocated_bytes(buffers, MESSAGES) <=
			    BUDGET_BYTES +
				    (size_t)MESSAGES * MEMORY_SMALL_BYTES);
		assert_int_equal(budget.used_bytes,
				 allocated_bytes(buffers, MESSAGES));
	}
	assert_true(refused > 0);
	for (size_t i = 0; i < MESSAGES; i++)
		kept_buffer_clear(&buffers[i]);
	assert_int_equal(budget.used_bytes, 0);
	assert_true(allocated_bytes(buffers, MESSAGES) <=
		    (size_t)MESSAGES * MEMORY_SMALL_BYTES);
	for (size_t i = 0; i < MESSAGES; i++)
		kept_buffer_finish(&buffers[i]);
	assert_int_equal(budget.used_bytes, 0);
}

/* Guards against a small message that is refused, and a large one that is not, when others have
 * used the budget up.
 */
static void test_small_messages(void **state)
{
	char bytes[MEMORY_SMALL_BYTES + 1] = {0};
	kept_buffer_t large, small;
	memory_budget_t budget;

	memory_budget_init(&budget, (size_t)2 * MEMORY_SMALL_BYTES);
	kept_buffer_init(&large, &budget);
	kept_buffer_init(&small, &budget);
	assert_false(kept_buffer_append(&large, (str_t){bytes, sizeof(bytes)},
					MEMORY_SMALL_BYTES));
	assert_true(kept_buffer_append(&large, (str_t){bytes, sizeof(bytes)},
				       BUDGET_BYTES));
	assert_false(kept_buffer_append(&small, (str_t){bytes, sizeof(bytes)},
					BUDGET_BYTES));
	assert_int_equal(kept_buffer_bytes(&small).len, 0);
	assert_true(kept_buffer_append(
		&small, (str_t){bytes, MEMORY_SMALL_BYTES}, BUDGET_BYTES));
	assert_int_equal(kept_buffer_bytes(&small).len, MEMORY_SMALL_BYTES);
	kept_buffer_finish(&large);
	kept_buffer_finish(&small);
	assert_int_equal(budget.used_bytes, 0);
}

/* Guards against memory that is reserved beyond the budget, and against a reserved message that
 * finds no room for its bytes.
 */
static void test_reserved(void **state)
{
	static char bytes[BUDGET_BYTES / 2];
	kept_buffer_t first, second;
	memory_budget_t budget;

	memory_budget_init(&budget, BUDGET_BYTES);
	kept_buffer_init(&first, &budget);
	kept_buffer_init(&second, &budget);
	assert_true(kept_buffer_reserve(&first, sizeof(bytes)));
	assert_int_equal(budget.used_bytes, sizeof(bytes));
	assert_false(kept_buffer_reserve(&second, sizeof(bytes) + 1));
	assert_int_equal(budget.used_bytes, sizeof(bytes));
	assert_true(kept_buffer_reserve(&second, sizeof(bytes)));
	assert_true(kept_buffer_append(&first, (str_t){bytes, sizeof(bytes)},
				       BUDGET_BYTES));
	assert_false(kept_buffer_append(&first, STR("x"), BUDGET_BYTES));
	kept_buffer_reserve_beyond(&first, sizeof(bytes) + 1);
	assert_int_equal(budget.used_bytes, BUDGET_BYTES + 1);
	kept_buffer_finish(&first);
	kept_buffer_finish(&second);
	assert_int_equal(budget.used_bytes, 0);
}

/* Guards against bytes that count no longer, or count for ever, once they have left their buffer. */
static void test_taken(void **state)
{
	char text[MEMORY_SMALL_BYTES + 1] = {'t'};
	memory_budget_t budget;
	kept_buffer_t buffer;
	GBytes *bytes;

	memory_budget_init(&budget, BUDGET_BYTES);
	kept_buffer_init(&buffer, &budget);
	assert_true(kept_buffer_append(&buffer, (str_t){text, sizeof(text)},
				       BUDGET_BYTES));
	bytes = kept_buffer_take(&buffer);
	assert_int_equal(kept_buffer_bytes(&buffer).len, 0);
	kept_buffer_finish(&buffer);
	assert_int_equal(g_bytes_get_size(bytes), sizeof(text));
	assert_int_equal(budget.used_bytes, sizeof(text));
	assert_memory_equal(g_bytes_get_data(bytes, NULL), text, sizeof(text));
	g_bytes_unref(bytes);
	assert_int_equal(budget.used_bytes, 0);
	bytes = kept_buffer_take(&buffer);
	assert_int_equal(g_bytes_get_size(bytes), 0);
	g_bytes_unref(bytes);
	assert_int_equal(budget.used_bytes, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reserved),
		cmocka_unit_test(test_taken),
		cmocka_unit_test(test_many_messages),
		cmocka_unit_test(test_small_messages),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
