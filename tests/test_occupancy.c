#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "connection/announce.h"

#define MS INT64_C(1000)
#define NOW (5000 * MS)

typedef struct {
	occupancy_t occupancy;
	announce_t announce; /* only encodes */
	char suspected[64];
	char unavailable[64];
	int64_t changing_until_us;
} router_t;

static void on_suspect(void *context, const char *server)
{
	router_t *router = context;

	g_strlcpy(router->suspected, server, sizeof(router->suspected));
}

static void on_unavailable(void *context, const char *server, int64_t until_us)
{
	router_t *router = context;

	router->changing_until_us = until_us;
	g_strlcpy(router->unavailable, server, sizeof(router->unavailable));
}

static void init(router_t *router, const char *vm, uint64_t incarnation)
{
	memset(router, 0, sizeof(*router));
	occupancy_init(&router->occupancy);
	router->occupancy.on_suspect = on_suspect;
	router->occupancy.on_unavailable = on_unavailable;
	router->occupancy.context = router;
	router->announce.vm = vm;
	router->announce.incarnation = incarnation;
	router->announce.occupancy = &router->occupancy;
}

static void use(router_t *router, const char *server, int64_t streams)
{
	occupancy_use_t change = {.streams = streams,
				  .kv_tokens = streams * 1000};

	occupancy_add(&router->occupancy, server, &change);
}

static bool tell(router_t *from, router_t *to, uint32_t sequence,
		 int64_t now_us)
{
	char data[4096];
	size_t len;

	from->announce.sequence = sequence;
	assert_true(announce_encode(&from->announce, now_us, data, sizeof(data),
				    &len));
	return announce_decode(&to->occupancy, data, len, now_us);
}

static int64_t streams(router_t *router, const char *server, int64_t now_us)
{
	return occupancy_total(&router->occupancy, server, now_us).streams;
}

/* Guards against use that is counted twice, kept after its end, or taken from
 * an announcement that was overtaken.
 */
static void test_totals(void **state)
{
	router_t a, b;

	init(&a, "a", 1);
	init(&b, "b", 1);
	use(&a, "s1", 2);
	use(&b, "s1", 3);
	assert_true(tell(&b, &a, 5, NOW));
	assert_int_equal(streams(&a, "s1", NOW), 5);
	use(&b, "s1", -3);
	assert_true(tell(&b, &a, 7, NOW));
	assert_int_equal(streams(&a, "s1", NOW), 2);
	use(&b, "s1", 9);
	assert_true(tell(&b, &a, 6, NOW));
	assert_int_equal(streams(&a, "s1", NOW), 2);
	occupancy_finish(&a.occupancy);
	occupancy_finish(&b.occupancy);
}

/* Guards against places that a dead router holds, and against an announcement
 * of its earlier process.
 */
static void test_dead_peer(void **state)
{
	router_t a, b, again;

	init(&a, "a", 1);
	init(&b, "b", 1);
	init(&again, "b", 2);
	use(&b, "s1", 4);
	assert_true(tell(&b, &a, 1, NOW));
	assert_int_equal(occupancy_live_peers(&a.occupancy, NOW), 1);
	assert_int_equal(streams(&a, "s1", NOW + 1400 * MS), 4);
	assert_int_equal(streams(&a, "s1", NOW + 1600 * MS), 0);
	assert_true(tell(&again, &a, 1, NOW));
	assert_true(tell(&b, &a, 9, NOW));
	assert_int_equal(streams(&a, "s1", NOW), 0);
	occupancy_finish(&a.occupancy);
	occupancy_finish(&b.occupancy);
	occupancy_finish(&again.occupancy);
}

/* Guards against two routers that both think they come first. */
static void test_one_order(void **state)
{
	occupancy_urgency_t early = {.due_us = NOW + 100 * MS};
	occupancy_urgency_t later = {.due_us = NOW + 200 * MS};
	occupancy_urgency_t late = {.late = true, .due_us = NOW - 100 * MS};
	router_t a, b;

	init(&a, "a", 1);
	init(&b, "b", 1);
	g_array_append_val(a.occupancy.waiters, early);
	g_array_append_val(a.occupancy.waiters, late);
	g_array_append_val(b.occupancy.waiters, later);
	assert_true(tell(&a, &b, 1, NOW));
	assert_true(tell(&b, &a, 1, NOW));
	assert_int_equal(occupancy_count_ahead(&a.occupancy, &early, NOW), 0);
	assert_int_equal(occupancy_count_ahead(&b.occupancy, &later, NOW), 1);
	assert_int_equal(occupancy_count_ahead(&a.occupancy, &late, NOW), 1);
	occupancy_finish(&a.occupancy);
	occupancy_finish(&b.occupancy);
}

/* Guards against a suspicion or a stage change that peers do not learn of. */
static void test_news_of_servers(void **state)
{
	occupancy_unavailable_t change = {.server = "s3",
					  .until_us = NOW + 9000 * MS};
	router_t a, b;

	init(&a, "a", 1);
	init(&b, "b", 1);
	g_ptr_array_add(a.occupancy.suspects, g_strdup("s2"));
	g_array_append_val(a.occupancy.unavailable, change);
	assert_true(tell(&a, &b, 1, NOW));
	assert_string_equal(b.suspected, "s2");
	assert_string_equal(b.unavailable, "s3");
	assert_int_equal(b.changing_until_us, NOW + 9000 * MS);
	occupancy_finish(&a.occupancy);
	occupancy_finish(&b.occupancy);
}

/* Guards against a datagram that is cut or forged and is taken for whole, or
 * read beyond its end.
 */
static void test_malformed(void **state)
{
	uint32_t seed = 7;
	char data[4096];
	router_t a, b;
	size_t len;

	init(&a, "a", 1);
	init(&b, "b", 1);
	use(&a, "server-1", 2);
	g_ptr_array_add(a.occupancy.suspects, g_strdup("s2"));
	assert_true(
		announce_encode(&a.announce, NOW, data, sizeof(data), &len));
	for (size_t cut = 0; cut < len; cut++)
		assert_false(announce_decode(&b.occupancy, data, cut, NOW));
	for (int i = 0; i < 20000; i++) {
		char copy[4096];

		memcpy(copy, data, len);
		for (int k = 0; k < 4; k++) {
			seed = seed * 1664525 + 1013904223;
			copy[(seed >> 8) % MAX(len, 1)] = (char)(seed >> 24);
		}
		(void)announce_decode(&b.occupancy, copy, len, NOW);
	}
	occupancy_finish(&a.occupancy);
	occupancy_finish(&b.occupancy);
}

/* Guards against sums that overflow, and against places that a router gives
 * back which it never took: the sanitizer build found the former by
 * test_malformed.
 */
static void test_implausible_use(void **state)
{
	static const int64_t streams_of_peer[] = {-1, INT64_MIN / 4000,
						  INT64_MAX / 4000};

	for (size_t i = 0; i < G_N_ELEMENTS(streams_of_peer); i++) {
		router_t us, peer;

		init(&us, "us", 1);
		init(&peer, "peer", 1);
		use(&peer, "e-1", streams_of_peer[i]);
		assert_false(tell(&peer, &us, 1, NOW));
		assert_int_equal(streams(&us, "e-1", NOW), 0);
		occupancy_finish(&us.occupancy);
		occupancy_finish(&peer.occupancy);
	}
}

/* Pattern: hundreds of routers, all of which hear each other. Guards against
 * repeats that take a router's processor (750 a second at 300 routers), and
 * against a router that counts as dead because one or two repeats were lost.
 */
static void test_many_routers(void **state)
{
	static const unsigned peers[] = {1, 7, 73, 300, 750};

	for (size_t i = 0; i < G_N_ELEMENTS(peers); i++) {
		int64_t repeat_us = occupancy_repeat_us(peers[i]);
		double heard_per_s = peers[i] * 1e6 / (double)repeat_us;
		router_t us, peer;

		print_message("%u peers: %.0f a second\n", peers[i],
			      heard_per_s);
		assert_true(heard_per_s <= 200);
		assert_true(repeat_us >= 400 * MS);
		init(&us, "vm-us", 1);
		init(&peer, "vm-peer", 1);
		occupancy_set_peers(&us.occupancy, peers[i]);
		use(&peer, "e-1", 3);
		assert_true(tell(&peer, &us, 1, NOW));
		assert_int_equal(
			streams(&us, "e-1", NOW + 3 * repeat_us + 50 * MS), 3);
		assert_int_equal(streams(&us, "e-1", NOW + 4 * repeat_us), 0);
		/* It was only silent. */
		assert_true(tell(&peer, &us, 2, NOW + 5 * repeat_us));
		assert_int_equal(streams(&us, "e-1", NOW + 5 * repeat_us), 3);
		occupancy_finish(&us.occupancy);
		occupancy_finish(&peer.occupancy);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_totals),
		cmocka_unit_test(test_dead_peer),
		cmocka_unit_test(test_one_order),
		cmocka_unit_test(test_news_of_servers),
		cmocka_unit_test(test_malformed),
		cmocka_unit_test(test_implausible_use),
		cmocka_unit_test(test_many_routers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
