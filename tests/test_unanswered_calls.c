/* Engines that never answer the release of a prefill result, a stage order or a probe. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/entry/server_probe.h"
#include "process/entry/stage_order_call.h"
#include "request/prefill_release.h"
#include "rows.h"
#include "support_address.h"
#include "support_tcp_stub.h"

/* An engine drops a result by itself, and carries out an order, within so long. */
#define ANSWER_MS 2500

/* Most connections that unanswered releases may hold. */
#define MAX_CONNECTIONS 64

#define RELEASES 200

typedef struct {
	ingress_t engine;
	char *address;
	unsigned open; /* requests without an answer */
	unsigned most_open;
	unsigned requests;
	bool answers_report;
	http_pool_t pool;
	server_set_t servers;
	occupancy_t occupancy;
	relay_t relay;
	server_t *server;
} fixture_t;

static void on_request(void *context, exchange_t *exchange)
{
	fixture_t *fixture = context;

	fixture->requests++;
	if (fixture->answers_report &&
	    exchange_head(exchange)->method->str[0] == 'G') {
		http_headers_t headers;

		http_headers_init(&headers);
		exchange_reply(exchange, 200, &headers,
			       STR("{\"busy\":false,\"sequence\":0}"));
		http_headers_finish(&headers);
		return;
	}
	fixture->open++;
	fixture->most_open = MAX(fixture->most_open, fixture->open);
}

static void on_gone(void *context, exchange_t *exchange)
{
	((fixture_t *)context)->open--;
}

static const ingress_handler_t handler = {
	.on_request = on_request,
	.on_gone = on_gone,
};

static void start(fixture_t *fixture)
{
	static const ingress_limits_t limits = {
		.max_head_bytes = 65536,
		.max_body_bytes = 1 << 20,
		.head_timeout_us = 10 * CLOCK_US_PER_S,
		.idle_timeout_us = 60 * CLOCK_US_PER_S,
	};
	server_entry_t entry = {
		.id = g_strdup("i-0"),
		.service = g_strdup("llm"),
		.zone = g_strdup("z"),
		.stage = STAGE_PREFILL,
		.slots = 6,
	};

	memset(fixture, 0, sizeof(*fixture));
	fixture->address = unused_address();
	entry.address = g_strdup(fixture->address);
	assert_true(ingress_init(&fixture->engine, fixture->address,
				 clock_boottime(), &limits, &handler, fixture));
	http_pool_init(&fixture->pool, clock_boottime(), 0, 0);
	server_set_init(&fixture->servers);
	occupancy_init(&fixture->occupancy);
	relay_init(&fixture->relay, clock_boottime(), &fixture->pool,
		   &fixture->servers, &fixture->occupancy, "z");
	fixture->server = server_set_put(&fixture->servers, &entry, 1);
}

static void finish(fixture_t *fixture)
{
	prefill_releases_cancel(&fixture->relay);
	server_probes_cancel(&fixture->relay);
	relay_finish(&fixture->relay);
	occupancy_finish(&fixture->occupancy);
	server_set_finish(&fixture->servers);
	http_pool_finish(&fixture->pool);
	ingress_finish(&fixture->engine);
	g_free(fixture->address);
}

/* Guards against releases that wait for ever at an engine which does not answer, each with a
 * connection, and against connections without a bound.
 */
static void test_releases(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	char *source;

	start(&fixture);
	source = g_strdup_printf("%s/handle", fixture.address);
	for (unsigned i = 0; i < RELEASES; i++)
		prefill_release_start(&fixture.relay, fixture.server, source,
				      "handle");
	support_run_loop_ms(300);
	assert_true(fixture.most_open > 0);
	assert_true(fixture.most_open <= MAX_CONNECTIONS);
	support_run_loop_ms(ANSWER_MS);
	assert_int_equal(fixture.open, 0);
	g_free(source);
	finish(&fixture);
}

/* Guards against a stage order, or the question before it, that waits for ever. */
static void check_order(bool answers_report)
{
	static fixture_t fixture; /* outlives a failure */
	GQueue calls = G_QUEUE_INIT;
	stage_order_request_t request = {
		.vm = "vm-0",
		.fencing_token = 1,
		.valid_until_us = INT64_MAX,
		.to_stage = STAGE_DECODE,
		.calls = &calls,
	};

	start(&fixture);
	fixture.answers_report = answers_report;
	request.pool = &fixture.pool;
	request.server = fixture.server;
	stage_order_send(&request);
	support_run_loop_ms(300);
	assert_int_equal(fixture.open, 1);
	assert_int_equal(fixture.requests, answers_report ? 2 : 1);
	support_run_loop_ms(ANSWER_MS);
	assert_int_equal(fixture.open, 0);
	assert_true(g_queue_is_empty(&calls));
	finish(&fixture);
}

static void test_stage_order(void **state)
{
	check_order(true);
}

static void test_report_before_a_stage_order(void **state)
{
	check_order(false);
}

/* The process ends while a probe is in progress. Guards against a probe that ends after the
 * connections and the servers were freed, which the sanitizer build shows.
 */
static void test_probe_at_the_end(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	route_table_t *table = config_row_read(
		STR("{\"version\":1,\"routes\":[],\"services\":[{\"name\":"
		    "\"llm\",\"healthPath\":\"/health\",\"engine\":{\"slots\":"
		    "4,\"kvTokenCapacity\":1000,\"stride\":1}}]}"));

	assert_non_null(table);
	start(&fixture);
	server_mark_suspect(fixture.server, 1);
	server_probe_send_due(&fixture.relay, table,
			      clock_now(&fixture.relay.clock));
	support_run_loop_ms(100);
	assert_int_equal(fixture.open, 1);
	finish(&fixture);
	support_run_loop_ms(ANSWER_MS);
	route_table_unref(table);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_releases),
		cmocka_unit_test(test_stage_order),
		cmocka_unit_test(test_report_before_a_stage_order),
		cmocka_unit_test(test_probe_at_the_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
