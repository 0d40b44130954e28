/* A VM whose read of the server list is late, as its link is full. It must send no new
 * work to a server for long after that has said that it leaves.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "process/decide/balance.h"
#include "process/decide/departures.h"
#include "support_address.h"
#include "support_entry.h"
#include "support_proxy.h"
#include "support_tcp_stub.h"

#define WAIT_MS 5000
#define NOW (100 * CLOCK_US_PER_S)

/* A server may get new work for so long at most after it has said that it leaves, by
 * the shortest bound of a deployment.
 */
#define DRAIN_MS 2000

typedef struct {
	fake_store_t store;
	char *store_address;
	proxy_t *proxy; /* between the store and the second VM */
	support_entry_t vms[2];
	ingress_t servers[2];
	char *addresses[2];
} fixture_t;

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

static void on_request(void *context, exchange_t *exchange)
{
	exchange_reply_text(exchange, 200, 0, "ok");
}

static void on_gone(void *context, exchange_t *exchange)
{
}

static const ingress_handler_t handler = {
	.on_request = on_request,
	.on_gone = on_gone,
};

/* Returns whether both VMs know the servers and each other. */
static bool is_ready(void *context)
{
	const fixture_t *fixture = context;

	for (unsigned i = 0; i < 2; i++) {
		const entry_t *vm = &fixture->vms[i].entry;

		if (server_set_count_usable(&vm->servers) != 2 ||
		    occupancy_live_peers(&vm->occupancy, now_us()) != 1)
			return false;
	}
	return true;
}

static void start(fixture_t *fixture, const char *fields)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fixture->proxy = proxy_new(fixture->store_address);
	for (unsigned i = 0; i < 2; i++)
		fixture->addresses[i] = support_server_start(
			&fixture->servers[i], &fixture->store,
			i ? "i-1" : "i-0", fields, &handler, NULL);
	support_entry_start(&fixture->vms[0], "vm-0", fixture->store_address);
	support_entry_start(&fixture->vms[1], "vm-1",
			    proxy_address(fixture->proxy));
	assert_true(support_run_loop_until(is_ready, fixture, WAIT_MS));
	support_run_loop_ms(500);
}

static void stop(fixture_t *fixture)
{
	for (unsigned i = 0; i < 2; i++) {
		support_entry_stop(&fixture->vms[i]);
		ingress_finish(&fixture->servers[i]);
		g_free(fixture->addresses[i]);
	}
	proxy_free(fixture->proxy);
	fake_store_stop(&fixture->store);
	g_free(fixture->store_address);
}

/* Returns whether the VM whose reads are late would send a stream to the first
 * server.
 */
static bool uses_first(const fixture_t *fixture)
{
	const server_t *server =
		server_set_find(&fixture->vms[1].entry.servers, "i-0");

	return server && server_state(server, now_us()) == SERVER_USABLE;
}

/* Guards against streams that go to an engine which is leaving, or gone from the list
 * without a word, by a VM that has not read of it yet.
 */
static void test_engine_leaves(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, "\"service\":\"llm\",\"stage\":\"decode\"");
	assert_true(uses_first(&fixture));
	proxy_set_mode(fixture.proxy, PROXY_SILENT);
	fake_store_remove(&fixture.store, TABLE_SERVERS, "i-0");
	support_run_loop_ms(DRAIN_MS);
	assert_false(uses_first(&fixture));
	stop(&fixture);
}

/* The same for plain services. */
static void test_plain_server_leaves(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	balance_request_t request = {.service = "app", .zone = "z"};

	start(&fixture, "\"service\":\"app\"");
	proxy_set_mode(fixture.proxy, PROXY_SILENT);
	fake_store_remove(&fixture.store, TABLE_SERVERS, "i-0");
	support_run_loop_ms(DRAIN_MS);
	for (unsigned i = 0; i < 10; i++) {
		server_t *server;

		request.now_us = now_us();
		server = balance_pick(&fixture.vms[1].entry.servers, &request);
		assert_non_null(server);
		assert_string_equal(server->entry.id, "i-1");
		server->last_sent_us = request.now_us;
	}
	stop(&fixture);
}

/* Guards against announcements that hold servers which left long ago, or more than
 * fit.
 */
static void test_departures_end(void **state)
{
	GArray *list =
		g_array_new(FALSE, FALSE, sizeof(occupancy_unavailable_t));
	departures_t departures;

	departures_init(&departures);
	departures_add(&departures, "i-1", NOW);
	departures_add(&departures, "i-1", NOW + CLOCK_US_PER_S);
	departures_append_to(&departures, list, NOW + CLOCK_US_PER_S);
	assert_int_equal(list->len, 1);
	assert_true(g_array_index(list, occupancy_unavailable_t, 0).until_us >
		    NOW + CLOCK_US_PER_S);
	g_array_set_size(list, 0);
	departures_append_to(&departures, list, NOW + 10 * CLOCK_US_PER_S);
	assert_int_equal(list->len, 0);
	for (unsigned i = 0; i < 1000; i++) {
		char *id = g_strdup_printf("i-%u", i);

		departures_add(&departures, id, NOW);
		g_free(id);
	}
	departures_append_to(&departures, list, NOW);
	assert_true(list->len <= OCCUPANCY_MAX_SUSPECTS);
	departures_finish(&departures);
	g_array_unref(list);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_engine_leaves),
		cmocka_unit_test(test_plain_server_leaves),
		cmocka_unit_test(test_departures_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
