#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/decide/balance.h"

#define MS CLOCK_US_PER_MS
#define NOW (5000 * MS)

/* Adds a server with six slots. */
static server_t *add(server_set_t *set, const char *id, const char *zone)
{
	server_entry_t entry = {
		.id = g_strdup(id),
		.service = g_strdup("app"),
		.address = g_strconcat(id, ":80", NULL),
		.zone = g_strdup(zone),
		.slots = 6,
	};

	return server_set_put(set, &entry, NOW);
}

/* Chooses a server other than `except` for a router in zone z0. */
static server_t *pick(const server_set_t *set, const server_t *except)
{
	balance_request_t request = {
		.service = "app",
		.zone = "z0",
		.except = &except,
		.n_except = except ? 1 : 0,
		.now_us = NOW,
	};

	return balance_pick(set, &request);
}

/* Many routers with little traffic each, and several servers in a zone. Guards
 * against one server getting the requests of all routers, as each of them finds
 * all servers idle and takes the first.
 */
static void test_idle_servers_take_turns(void **state)
{
	unsigned used[4] = {0};
	server_t *servers[4];
	server_set_t set;

	memset(&set, 0, sizeof(set));
	server_set_init(&set);
	for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
		char *id = g_strdup_printf("i-%zu", i);

		servers[i] = add(&set, id, "z0");
		g_free(id);
	}
	for (int64_t n = 1; n <= 40; n++) {
		server_t *server = pick(&set, NULL);

		server_record_send(server, NOW + n * MS);
		server_record_end(server);
		for (size_t i = 0; i < G_N_ELEMENTS(servers); i++)
			used[i] += servers[i] == server ? 1 : 0;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(servers); i++)
		assert_int_equal(used[i], 10);
	server_set_finish(&set);
}

/* Guards against needless traffic between zones, and against requests to a full
 * server of the own zone while one in another zone is idle.
 */
static void test_same_zone_until_loaded(void **state)
{
	server_t *local, *remote;
	server_set_t set;

	memset(&set, 0, sizeof(set));
	server_set_init(&set);
	remote = add(&set, "i-remote", "z1");
	local = add(&set, "i-local", "z0");
	server_record_send(local, NOW);
	assert_ptr_equal(pick(&set, NULL), local);
	for (int i = 0; i < 5; i++)
		server_record_send(local, NOW);
	assert_ptr_equal(pick(&set, NULL), remote);
	server_set_finish(&set);
}

/* One server fails many of its requests at once while its health check
 * succeeds. Guards against that server attracting all requests because it never
 * has a queue, and against avoiding a server for failures that all servers
 * share.
 */
static void test_failing_server(void **state)
{
	server_t *failing, *healthy;
	server_set_t set;

	memset(&set, 0, sizeof(set));
	server_set_init(&set);
	failing = add(&set, "i-failing", "z0");
	healthy = add(&set, "i-healthy", "z0");
	for (int i = 0; i < 20; i++)
		server_record_result(failing, true);
	for (int i = 0; i < 6; i++)
		server_record_send(healthy, NOW);
	assert_ptr_equal(pick(&set, NULL), healthy);
	for (int i = 0; i < 100; i++)
		server_record_result(healthy, true);
	assert_ptr_equal(pick(&set, NULL), failing);
	server_set_finish(&set);
}

/* Guards against a sound server that gets no requests while the other one is full, as many were
 * in progress at it in one moment of silence; and against one that counts as sound although it
 * leaves some of its requests unanswered, while it answers others.
 */
static void test_unanswered_requests(void **state)
{
	server_t *silent, *other;
	server_set_t set;

	memset(&set, 0, sizeof(set));
	server_set_init(&set);
	silent = add(&set, "i-silent", "z0");
	other = add(&set, "i-other", "z0");
	for (int64_t i = 0; i < 20; i++)
		server_record_unanswered(silent, NOW + i, NOW + 300 * MS + i);
	for (int i = 0; i < 6; i++)
		server_record_send(other, NOW);
	assert_ptr_equal(pick(&set, NULL), silent);
	for (int64_t i = 0; i < 20; i++) {
		server_record_received(silent, NOW + 400 * MS + 2 * i);
		server_record_unanswered(silent, NOW + i,
					 NOW + 400 * MS + 2 * i + 1);
	}
	assert_ptr_equal(pick(&set, NULL), other);
	server_set_finish(&set);
}

/* Guards against preferring a silent server because it seems idle, and against
 * refusing requests while silent servers are left.
 */
static void test_silent_server_is_last(void **state)
{
	server_t *silent, *busy;
	server_set_t set;

	memset(&set, 0, sizeof(set));
	server_set_init(&set);
	silent = add(&set, "i-silent", "z0");
	busy = add(&set, "i-busy", "z1");
	server_mark_suspect(silent, NOW);
	for (int i = 0; i < 20; i++)
		server_record_send(busy, NOW);
	assert_ptr_equal(pick(&set, NULL), busy);
	assert_ptr_equal(pick(&set, busy), silent);
	silent->entry.leaving = true;
	assert_null(pick(&set, busy));
	server_set_finish(&set);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_idle_servers_take_turns),
		cmocka_unit_test(test_same_zone_until_loaded),
		cmocka_unit_test(test_failing_server),
		cmocka_unit_test(test_unanswered_requests),
		cmocka_unit_test(test_silent_server_is_last),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
