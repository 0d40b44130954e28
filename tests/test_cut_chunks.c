/* A response with chunked transfer encoding whose connection closes between two
 * chunks. No chunk is incomplete then, so that only the missing last chunk
 * shows that the response is not complete.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "connection/client.h"
#include "support_raw.h"

#define TIMEOUT_US (5 * CLOCK_US_PER_S)

typedef struct {
	GMainLoop *loop;
	client_outcome_t outcome;
} result_t;

static void on_done(void *context, const client_response_t *response)
{
	result_t *result = context;

	result->outcome = response->outcome;
	g_main_loop_quit(result->loop);
}

/* Guards against a client that takes a response without its last chunk for a
 * complete one.
 */
static void test_cut_before_last_chunk(void **state)
{
	result_t result = {.loop = g_main_loop_new(NULL, FALSE)};
	clock_source_t clock = clock_boottime();
	client_request_t request = {
		.method = "POST",
		.path = "/x",
		.deadline_us = clock_now(&clock) + TIMEOUT_US,
		.on_done = on_done,
		.context = &result,
	};
	raw_peer_t peer;
	client_t client;

	raw_peer_start(&peer);
	g_atomic_int_set(&peer.mode, RAW_CLOSE_BEFORE_LAST_CHUNK);
	request.address = str_from(peer.address);
	client_init(&client, clock);
	client_send(&client, &request);
	g_main_loop_run(result.loop);
	client_finish(&client);
	raw_peer_stop(&peer);
	g_main_loop_unref(result.loop);
	assert_int_equal(result.outcome, CLIENT_LOST);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cut_before_last_chunk),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
