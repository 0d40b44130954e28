#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "connection/http_message.h"

#define BUDGET_BYTES ((size_t)1 << 20)
#define MESSAGES 100
#define LARGE_VALUE_BYTES 60000
#define SMALL_VALUE_BYTES 3000
#define STATUS_LINE "HTTP/1.1 200 OK\r\n"

static bool on_head(void *context, http_head_t *head)
{
	return true;
}

static void on_body(void *context, const char *data, size_t len)
{
}

static const http_message_handler_t handler = {
	.on_head = on_head,
	.on_body = on_body,
};

/* Feeds the status line and the begin of a field. */
static http_feed_t feed_value(http_message_t *message, size_t len)
{
	char *value = g_strnfill(len, 'v');
	char *text = g_strconcat(STATUS_LINE "a: ", value, NULL);
	size_t used;
	http_feed_t result =
		http_message_feed(message, text, strlen(text), &used);

	g_free(text);
	g_free(value);
	return result;
}

static http_feed_t feed_end(http_message_t *message)
{
	static const char end[] = "\r\nContent-Length: 0\r\n\r\n";
	size_t used;

	return http_message_feed(message, end, sizeof(end) - 1, &used);
}

static void start(http_message_t *messages, memory_budget_t *budget)
{
	memory_budget_init(budget, BUDGET_BYTES);
	for (unsigned i = 0; i < MESSAGES; i++) {
		http_message_init(&messages[i], false, &handler, NULL);
		messages[i].budget = budget;
	}
}

static void finish(http_message_t *messages, memory_budget_t *budget)
{
	for (unsigned i = 0; i < MESSAGES; i++)
		http_message_finish(&messages[i]);
	assert_int_equal(budget->used_bytes, 0);
}

/* Guards against heads that each are within their limit and that together pass the budget, and
 * against small ones that are refused because of them.
 */
static void test_many_heads(void **state)
{
	static http_message_t messages[MESSAGES];
	memory_budget_t budget;
	unsigned refused = 0;

	start(messages, &budget);
	for (unsigned i = 0; i < MESSAGES - 1; i++) {
		if (feed_value(&messages[i], LARGE_VALUE_BYTES) !=
		    HTTP_FEED_MORE)
			refused++;
		assert_true(budget.used_bytes <= BUDGET_BYTES);
	}
	assert_in_range(refused, 1, MESSAGES - 2);
	assert_true((MESSAGES - 1 - refused) * (size_t)LARGE_VALUE_BYTES <=
		    BUDGET_BYTES);
	assert_int_equal(feed_value(&messages[MESSAGES - 1], SMALL_VALUE_BYTES),
			 HTTP_FEED_MORE);
	assert_int_equal(feed_end(&messages[MESSAGES - 1]), HTTP_FEED_DONE);
	finish(messages, &budget);
}

/* Guards against heads that hold on to their room after the next message has begun. */
static void test_gives_back(void **state)
{
	static http_message_t messages[MESSAGES];
	memory_budget_t budget;

	start(messages, &budget);
	for (unsigned i = 0; i < MESSAGES; i++) {
		assert_int_equal(feed_value(&messages[i], LARGE_VALUE_BYTES),
				 HTTP_FEED_MORE);
		assert_int_equal(feed_end(&messages[i]), HTTP_FEED_DONE);
		assert_true(budget.used_bytes > LARGE_VALUE_BYTES);
		http_message_restart(&messages[i]);
		assert_int_equal(budget.used_bytes, 0);
		assert_true(messages[i].head.headers.text->allocated_len <=
			    MEMORY_SMALL_BYTES);
	}
	finish(messages, &budget);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_many_heads),
		cmocka_unit_test(test_gives_back),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
