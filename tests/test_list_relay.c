/* VMs of which eight read the server list from the store and pass it on to the others,
 * as in large fleets.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "support_address.h"
#include "support_entry.h"
#include "support_proxy.h"
#include "support_tcp_stub.h"

#define VMS 20
#define WAIT_MS 10000

/* A server may get new work for so long at most after it has said that it leaves, by
 * the shortest bound of a deployment.
 */
#define DRAIN_MS 2000

/* A configuration has to be in force so long after its acknowledgement, likewise. */
#define CONFIG_MS 2000

typedef struct {
	fake_store_t store;
	char *store_address;
	proxy_t *proxies[VMS]; /* between the store and each VM */
	support_entry_t vms[VMS];
	bool stopped[VMS];
	ingress_t servers[3];
	char *addresses[3];
	const char *awaited; /* a server of which all VMs have to learn */
	int64_t awaited_version; /* of the configuration */
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

/* Returns whether a VM has the list passed on by another one. */
static bool is_relayed(const fixture_t *fixture, unsigned vm)
{
	return fixture->vms[vm].entry.rows.server_list.relayed;
}

static unsigned count_relayed(const fixture_t *fixture)
{
	unsigned n = 0;

	for (unsigned i = 0; i < VMS; i++)
		n += !fixture->stopped[i] && is_relayed(fixture, i) ? 1 : 0;
	return n;
}

/* Returns whether all VMs know two servers and each other, and eight read the store. */
static bool is_ready(void *context)
{
	const fixture_t *fixture = context;

	for (unsigned i = 0; i < VMS; i++) {
		const entry_t *vm = &fixture->vms[i].entry;

		if (server_set_count_usable(&vm->servers) != 2 || !vm->table ||
		    occupancy_live_peers(&vm->occupancy, now_us()) != VMS - 1)
			return false;
	}
	return count_relayed(fixture) == VMS - 8;
}

static void put_config(fixture_t *fixture, int version)
{
	char *config = g_strdup_printf(
		"{\"version\":%d,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
		"\"pathPrefix\":\"/a/\",\"kind\":\"safe\",\"timeoutMs\":1000,"
		"\"targetLatencyMs\":300,\"service\":\"app\","
		"\"maxAttempts\":2}],\"services\":[{\"name\":\"app\","
		"\"healthPath\":\"/health\"}]}",
		version);

	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	fixture->awaited_version = version;
	g_free(config);
}

static void start_server(fixture_t *fixture, unsigned i, const char *id)
{
	fixture->addresses[i] =
		support_server_start(&fixture->servers[i], &fixture->store, id,
				     "\"service\":\"app\"", &handler, NULL);
}

static void start(fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	put_config(fixture, 1);
	start_server(fixture, 0, "i-0");
	start_server(fixture, 1, "i-1");
	for (unsigned i = 0; i < VMS; i++) {
		char *name = g_strdup_printf("vm-%u", i);

		fixture->proxies[i] = proxy_new(fixture->store_address);
		support_entry_start(&fixture->vms[i], name,
				    proxy_address(fixture->proxies[i]));
		g_free(name);
	}
	assert_true(support_run_loop_until(is_ready, fixture, WAIT_MS));
}

static void stop_vm(fixture_t *fixture, unsigned vm)
{
	support_entry_stop(&fixture->vms[vm]);
	fixture->stopped[vm] = true;
}

static void stop(fixture_t *fixture)
{
	for (unsigned i = 0; i < VMS; i++) {
		if (!fixture->stopped[i])
			support_entry_stop(&fixture->vms[i]);
		proxy_free(fixture->proxies[i]);
	}
	for (unsigned i = 0; i < G_N_ELEMENTS(fixture->servers); i++) {
		if (!fixture->addresses[i])
			continue;
		ingress_finish(&fixture->servers[i]);
		g_free(fixture->addresses[i]);
	}
	fake_store_stop(&fixture->store);
	g_free(fixture->store_address);
}

/* Sets how the store's calls of all VMs that read it, or of the others, fare. */
static void set_mode(fixture_t *fixture, bool relayed, proxy_mode_t mode)
{
	for (unsigned i = 0; i < VMS; i++) {
		if (!fixture->stopped[i] && is_relayed(fixture, i) == relayed)
			proxy_set_mode(fixture->proxies[i], mode);
	}
}

/* Returns how many VMs would send work to a server. */
static unsigned count_using(const fixture_t *fixture, const char *id)
{
	unsigned n = 0;

	for (unsigned i = 0; i < VMS; i++) {
		const server_t *server;

		if (fixture->stopped[i])
			continue;
		server = server_set_find(&fixture->vms[i].entry.servers, id);
		n += server && !server->removed && !server->entry.leaving &&
				     server_state(server, now_us()) ==
					     SERVER_USABLE
			     ? 1
			     : 0;
	}
	return n;
}

static unsigned count_running(const fixture_t *fixture)
{
	unsigned n = 0;

	for (unsigned i = 0; i < VMS; i++)
		n += fixture->stopped[i] ? 0 : 1;
	return n;
}

static bool all_use_awaited(void *context)
{
	const fixture_t *fixture = context;

	return count_using(fixture, fixture->awaited) == count_running(fixture);
}

static bool none_uses_awaited(void *context)
{
	const fixture_t *fixture = context;

	return count_using(fixture, fixture->awaited) == 0;
}

static bool all_have_config(void *context)
{
	const fixture_t *fixture = context;

	for (unsigned i = 0; i < VMS; i++) {
		if (!fixture->stopped[i] &&
		    fixture->vms[i].entry.table->version !=
			    fixture->awaited_version)
			return false;
	}
	return true;
}

/* Checks that all VMs learn in time that a server leaves. */
static void expect_departure(fixture_t *fixture, const char *id)
{
	fixture->awaited = id;
	fake_store_remove(&fixture->store, TABLE_SERVERS, id);
	assert_true(
		support_run_loop_until(none_uses_awaited, fixture, DRAIN_MS));
}

/* Guards against changes that are not passed on, and against VMs that go on reading
 * the store.
 */
static void test_changes_are_passed_on(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	uint64_t before = 0, after = 0;

	start(&fixture);
	for (unsigned i = 0; i < VMS; i++)
		before += fixture.vms[i].entry.rows.server_list.reads;
	fixture.awaited = "i-2";
	start_server(&fixture, 2, "i-2");
	assert_true(support_run_loop_until(all_use_awaited, &fixture, 1000));
	expect_departure(&fixture, "i-0");
	for (unsigned i = 0; i < VMS; i++)
		after += fixture.vms[i].entry.rows.server_list.reads;
	assert_int_equal(count_relayed(&fixture), VMS - 8);
	/* Three seconds, of which each reader reads 2.5 times a second at most. */
	assert_true(after - before <= (uint64_t)(8 * 3 * 2.5));
	stop(&fixture);
}

/* Guards against a departure that VMs learn too late, as the readers end in the same
 * moment.
 */
static void test_all_readers_end(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	for (unsigned i = 0; i < VMS; i++) {
		if (!is_relayed(&fixture, i))
			stop_vm(&fixture, i);
	}
	expect_departure(&fixture, "i-0");
	stop(&fixture);
}

/* Guards against the same as no reader hears from the store any longer. */
static void test_all_readers_lose_the_store(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	set_mode(&fixture, false, PROXY_SILENT);
	fixture.awaited = "i-0";
	fake_store_remove(&fixture.store, TABLE_SERVERS, "i-0");
	support_run_loop_ms(DRAIN_MS);
	assert_int_equal(count_using(&fixture, "i-0"), 0);
	stop(&fixture);
}

/* Guards against VMs without the store that lose sight of the servers while others
 * could tell them.
 */
static void test_others_lose_the_store(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	set_mode(&fixture, true, PROXY_SILENT);
	fixture.awaited = "i-2";
	start_server(&fixture, 2, "i-2");
	assert_true(support_run_loop_until(all_use_awaited, &fixture, 1000));
	expect_departure(&fixture, "i-0");
	stop(&fixture);
}

/* Lets nothing pass on the connections that are open, while new ones work. */
static void silence_open_connections(proxy_t *proxy)
{
	proxy_set_mode(proxy, PROXY_SILENT);
	proxy_set_mode(proxy, PROXY_PASS);
}

/* Guards against VMs whose reads the store refuses, as those of some of the readers, and
 * that do not ask the readers whose reads it answers.
 */
static void test_store_refuses_most_vms(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	unsigned readers = 0;

	start(&fixture);
	set_mode(&fixture, true, PROXY_REFUSE);
	for (unsigned i = 0; i < VMS && readers < 5; i++) {
		if (is_relayed(&fixture, i))
			continue;
		proxy_set_mode(fixture.proxies[i], PROXY_REFUSE);
		readers++;
	}
	support_run_loop_ms(500);
	fixture.awaited = "i-2";
	start_server(&fixture, 2, "i-2");
	assert_true(
		support_run_loop_until(all_use_awaited, &fixture, DRAIN_MS));
	expect_departure(&fixture, "i-0");
	stop(&fixture);
}

/* Guards against a configuration that comes late to VMs whose open connections to the
 * store go silent, while new ones work: none of their own reads shows it, as they have
 * the server list passed on.
 */
static void test_config_behind_silent_connections(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	for (unsigned i = 0; i < VMS; i++) {
		if (is_relayed(&fixture, i))
			silence_open_connections(fixture.proxies[i]);
	}
	put_config(&fixture, 2);
	assert_true(
		support_run_loop_until(all_have_config, &fixture, CONFIG_MS));
	stop(&fixture);
}

/* Guards against a configuration that comes late because the reads of all VMs that wait for it
 * were held back by the store, as after it dropped its history: also no reader hears of it.
 */
static void test_config_while_reads_are_held(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	fake_store_hold_feeds(&fixture.store);
	put_config(&fixture, 2);
	assert_true(
		support_run_loop_until(all_have_config, &fixture, CONFIG_MS));
	stop(&fixture);
}

/* Guards against the same when the store's answers to all of them are lost. */
static void test_config_in_lost_answers(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	fixture.store.lost_feeds = TABLE_CONFIG;
	put_config(&fixture, 2);
	fixture.store.lost_feeds = NULL;
	assert_true(
		support_run_loop_until(all_have_config, &fixture, CONFIG_MS));
	stop(&fixture);
}

/* Guards against VMs that relied on the readers for what they lack, and go on waiting when
 * these end and they read the list themselves.
 */
static void test_config_after_readers_end(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	support_run_loop_ms(1500); /* until the others rely on the readers */
	fake_store_hold_feeds(&fixture.store);
	for (unsigned i = 0; i < VMS; i++) {
		if (!is_relayed(&fixture, i))
			stop_vm(&fixture, i);
	}
	put_config(&fixture, 2);
	assert_true(
		support_run_loop_until(all_have_config, &fixture, CONFIG_MS));
	stop(&fixture);
}

/* Returns how many reads of the configuration and of the VMs' own table were sent by the VMs
 * that have the server list passed on.
 */
static uint64_t count_other_reads(const fixture_t *fixture)
{
	uint64_t reads = 0;

	for (unsigned i = 0; i < VMS; i++) {
		const store_rows_t *rows = &fixture->vms[i].entry.rows;

		if (is_relayed(fixture, i))
			reads += rows->config.reads + rows->own_table.reads;
	}
	return reads;
}

/* Guards against reads of all VMs at short intervals, which the store of a large fleet could
 * not answer: only those of the readers may be. The others' wait for 15 s.
 */
static void test_others_read_seldom(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	uint64_t before;

	start(&fixture);
	support_run_loop_ms(3500); /* until the others rely on the readers */
	before = count_other_reads(&fixture);
	support_run_loop_ms(6000);
	/* Each of the two reads of each VM ends once in 15 s. */
	assert_true(count_other_reads(&fixture) - before <=
		    (uint64_t)2 * (VMS - 8));
	stop(&fixture);
}

/* Guards against VMs that read a table again and again after a full read: it does not bring the
 * row that was removed last, which the readers name as the newest.
 */
static void test_full_read_after_removal(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	uint64_t before;

	start(&fixture);
	fake_store_put(&fixture.store, TABLE_ROUTER, "later-build", "1");
	fake_store_remove(&fixture.store, TABLE_ROUTER, "later-build");
	support_run_loop_ms(3500); /* until the others rely on the readers */
	for (unsigned i = 0; i < VMS; i++) {
		if (is_relayed(&fixture, i))
			store_watch_read_all(
				&fixture.vms[i].entry.rows.own_table);
	}
	before = count_other_reads(&fixture);
	support_run_loop_ms(6000);
	/* Each sends the first read after the full one. */
	assert_true(count_other_reads(&fixture) - before <=
		    (uint64_t)3 * (VMS - 8));
	stop(&fixture);
}

/* Guards against servers that come back from an older copy of the store. */
static void test_store_is_restored(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	fixture.store.era = 1;
	support_run_loop_ms(1500);
	expect_departure(&fixture, "i-0");
	fixture.awaited = "i-2";
	start_server(&fixture, 2, "i-2");
	assert_true(support_run_loop_until(all_use_awaited, &fixture, 2000));
	stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_changes_are_passed_on),
		cmocka_unit_test(test_all_readers_end),
		cmocka_unit_test(test_all_readers_lose_the_store),
		cmocka_unit_test(test_others_lose_the_store),
		cmocka_unit_test(test_store_refuses_most_vms),
		cmocka_unit_test(test_config_behind_silent_connections),
		cmocka_unit_test(test_config_while_reads_are_held),
		cmocka_unit_test(test_config_in_lost_answers),
		cmocka_unit_test(test_config_after_readers_end),
		cmocka_unit_test(test_others_read_seldom),
		cmocka_unit_test(test_full_read_after_removal),
		cmocka_unit_test(test_store_is_restored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
