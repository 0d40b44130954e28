#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "connection/announce.h"

#define MS INT64_C(1000)
#define NOW (5000 * MS)

/* A VM's router, and what its peers have last announced of servers. */
typedef struct {
	occupancy_t occupancy;
	announce_t announce; /* only used for encoding */
	char suspected[64];
	char unavailable[64];
	int64_t unavailable_until_us;
} router_t;

/* Records the server that a peer suspects. */
static void on_suspect(void *context, const occupancy_peer_t *peer,
		       const char *server)
{
	router_t *router = context;

	g_strlcpy(router->suspected, server, sizeof(router->suspected));
}

/* Records the server that a peer calls unavailable. */
static void on_unavailable(void *context, const char *server, int64_t until_us)
{
	router_t *router = context;

	router->unavailable_until_us = until_us;
	g_strlcpy(router->unavailable, server, sizeof(router->unavailable));
}

/* Sets up a router on a VM that uses no server. */
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

/* Adds streams, of 1000 tokens each, to a router's own use of a server. */
static void use(router_t *router, const char *server, int64_t streams)
{
	occupancy_use_t change = {.streams = streams,
				  .kv_tokens = streams * 1000};

	occupancy_add(&router->occupancy, server, &change);
}

/* Encodes one router's announcement and decodes it at another. Returns whether
 * it was accepted as well-formed.
 */
static bool announce_to(router_t *from, router_t *to, uint32_t sequence,
			int64_t now_us)
{
	char data[4096];
	size_t len;

	from->announce.sequence = sequence;
	assert_true(announce_encode(&from->announce, from->occupancy.origins,
				    now_us, data, sizeof(data), &len));
	return announce_decode(&to->occupancy, data, len, now_us);
}

/* Returns the streams that a router counts at a server, its peers' included. */
static int64_t streams(router_t *router, const char *server, int64_t now_us)
{
	return occupancy_total(&router->occupancy, server, now_us).streams;
}

/* Guards against use that is counted twice, counted after its end, or taken
 * from an announcement that arrives after a later one.
 */
static void test_totals(void **state)
{
	router_t a, b;

	init(&a, "a", 1);
	init(&b, "b", 1);
	use(&a, "s1", 2);
	use(&b, "s1", 3);
	assert_true(announce_to(&b, &a, 5, NOW));
	assert_int_equal(streams(&a, "s1", NOW), 5);
	use(&b, "s1", -3);
	assert_true(announce_to(&b, &a, 7, NOW));
	assert_int_equal(streams(&a, "s1", NOW), 2);
	use(&b, "s1", 9);
	assert_true(announce_to(&b, &a, 6, NOW));
	assert_int_equal(streams(&a, "s1", NOW), 2);
	occupancy_finish(&a.occupancy);
	occupancy_finish(&b.occupancy);
}

/* Guards against slots that stay counted for a dead router, and against an
 * announcement from the earlier process of a router that has restarted.
 */
static void test_dead_peer(void **state)
{
	router_t a, b, again;

	init(&a, "a", 1);
	init(&b, "b", 1);
	init(&again, "b", 2);
	use(&b, "s1", 4);
	assert_true(announce_to(&b, &a, 1, NOW));
	assert_int_equal(occupancy_live_peers(&a.occupancy, NOW), 1);
	assert_int_equal(streams(&a, "s1", NOW + 1400 * MS), 4);
	assert_int_equal(streams(&a, "s1", NOW + 1600 * MS), 0);
	assert_true(announce_to(&again, &a, 1, NOW));
	assert_true(announce_to(&b, &a, 9, NOW));
	assert_int_equal(streams(&a, "s1", NOW), 0);
	occupancy_finish(&a.occupancy);
	occupancy_finish(&b.occupancy);
	occupancy_finish(&again.occupancy);
}

/* Guards against two routers that each put their own request first. */
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
	assert_true(announce_to(&a, &b, 1, NOW));
	assert_true(announce_to(&b, &a, 1, NOW));
	assert_int_equal(occupancy_count_ahead(&a.occupancy, &early, NOW), 0);
	assert_int_equal(occupancy_count_ahead(&b.occupancy, &later, NOW), 1);
	assert_int_equal(occupancy_count_ahead(&a.occupancy, &late, NOW), 1);
	occupancy_finish(&a.occupancy);
	occupancy_finish(&b.occupancy);
}

/* Guards against a suspect or unavailable server that peers do not learn of. */
static void test_announced_servers(void **state)
{
	occupancy_unavailable_t unavailable = {.server = "s3",
					       .until_us = NOW + 9000 * MS};
	router_t a, b;

	init(&a, "a", 1);
	init(&b, "b", 1);
	g_ptr_array_add(a.occupancy.suspects, g_strdup("s2"));
	g_array_append_val(a.occupancy.unavailable, unavailable);
	assert_true(announce_to(&a, &b, 1, NOW));
	assert_string_equal(b.suspected, "s2");
	assert_string_equal(b.unavailable, "s3");
	assert_int_equal(b.unavailable_until_us, NOW + 9000 * MS);
	occupancy_finish(&a.occupancy);
	occupancy_finish(&b.occupancy);
}

/* Returns the length of a router's announcement in the earlier release, which
 * has no observations of services.
 */
static size_t earlier_release_len(const router_t *router)
{
	char data[4096];
	size_t len;
	router_t copy = *router;
	GHashTable *none = g_hash_table_new(g_str_hash, g_str_equal);

	copy.occupancy.workloads = none;
	copy.announce.occupancy = &copy.occupancy;
	assert_true(announce_encode(&copy.announce, copy.occupancy.origins, NOW,
				    data, sizeof(data), &len));
	g_hash_table_unref(none);
	return len - sizeof(uint32_t);
}

/* Guards against accepting a truncated datagram, and against reading a corrupt
 * one beyond its end. An announcement that ends before the observations of
 * services is a whole one of the earlier release.
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
	workload_observe_request(occupancy_own_workload(&a.occupancy, "llm"),
				 NOW, 100, 10);
	assert_true(announce_encode(&a.announce, a.occupancy.origins, NOW, data,
				    sizeof(data), &len));
	for (size_t cut = 0; cut < len; cut++)
		assert_int_equal(announce_decode(&b.occupancy, data, cut, NOW),
				 cut == earlier_release_len(&a));
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

/* Keeps the limit that a peer announces. */
static void on_limit(void *context, const char *vm, const char *server,
		     const server_limit_t *limit)
{
	occupancy_limit_t *received = context;

	assert_string_equal(vm, "a");
	g_strlcpy(received->server, server, sizeof(received->server));
	received->limit = *limit;
}

/* Guards against a server's limit that gets lost or changed between VMs, against
 * a truncated one, and against an announcement of the earlier release, which ends
 * before the limits, that is dropped.
 */
static void test_limits(void **state)
{
	occupancy_limit_t sent = {.server = "server-1",
				  .limit = {.limited = true,
					    .per_s = 7.1,
					    .seen_us = NOW - 200 * MS,
					    .demand_per_s = 12.5}};
	occupancy_limit_t received = {.server = ""};
	char data[4096];
	size_t len, earlier_len;
	router_t a, b;

	init(&a, "a", 1);
	init(&b, "b", 1);
	assert_true(announce_encode(&a.announce, a.occupancy.origins, NOW, data,
				    sizeof(data), &earlier_len));
	g_array_append_val(a.occupancy.limits, sent);
	assert_true(announce_encode(&a.announce, a.occupancy.origins, NOW, data,
				    sizeof(data), &len));
	for (size_t cut = earlier_len + 1; cut < len; cut++)
		assert_false(announce_decode(&b.occupancy, data, cut, NOW));
	assert_true(announce_decode(&b.occupancy, data, earlier_len, NOW));
	b.occupancy.on_limit = on_limit;
	b.occupancy.context = &received;
	a.announce.sequence++;
	assert_true(announce_encode(&a.announce, a.occupancy.origins, NOW, data,
				    sizeof(data), &len));
	assert_true(announce_decode(&b.occupancy, data, len, NOW + 5 * MS));
	assert_string_equal(received.server, "server-1");
	assert_true(received.limit.limited);
	assert_true(received.limit.per_s == 7.1);
	assert_true(received.limit.demand_per_s == 12.5);
	assert_int_equal(received.limit.seen_us, NOW - 195 * MS);
	occupancy_finish(&a.occupancy);
	occupancy_finish(&b.occupancy);
}

/* Keeps the evidence that a peer announces. */
static void on_losses(void *context,
		      const occupancy_announcement_t *announcement)
{
	occupancy_announcement_t *received = context;

	g_array_append_vals(received->losses, announcement->losses->data,
			    announcement->losses->len);
	g_array_append_vals(received->sound, announcement->sound->data,
			    announcement->sound->len);
}

/* Guards against evidence on requests that crash servers which gets lost or
 * changed between VMs, against a truncated one, and against more keys than a loss
 * has room for. An announcement that ends after the limits is a whole one of an
 * earlier release.
 */
static void test_losses(void **state)
{
	quarantine_loss_t loss = {.server = 5,
				  .lost_us = NOW - 200 * MS,
				  .n_keys = 2,
				  .keys = {7, UINT64_MAX}};
	sound_key_t sound = {.key = 9, .seen_us = NOW - 100 * MS};
	occupancy_announcement_t received;
	const quarantine_loss_t *got;
	char data[4096];
	size_t len, earlier_len;
	router_t a, b;

	init(&a, "a", 1);
	init(&b, "b", 1);
	occupancy_announcement_init(&received);
	assert_true(announce_encode(&a.announce, a.occupancy.origins, NOW, data,
				    sizeof(data), &earlier_len));
	g_array_append_val(a.occupancy.losses, loss);
	g_array_append_val(a.occupancy.sound, sound);
	assert_true(announce_encode(&a.announce, a.occupancy.origins, NOW, data,
				    sizeof(data), &len));
	for (size_t cut = earlier_len + 1; cut < len; cut++)
		assert_int_equal(announce_decode(&b.occupancy, data, cut, NOW),
				 cut == earlier_len + sizeof(uint32_t));
	a.announce.sequence++;
	assert_true(announce_encode(&a.announce, a.occupancy.origins, NOW, data,
				    sizeof(data), &len));
	b.occupancy.on_losses = on_losses;
	b.occupancy.context = &received;
	assert_true(announce_decode(&b.occupancy, data, len, NOW + 5 * MS));
	assert_int_equal(received.losses->len, 1);
	got = &g_array_index(received.losses, quarantine_loss_t, 0);
	assert_int_equal(got->server, 5);
	assert_int_equal(got->lost_us, NOW - 195 * MS);
	assert_int_equal(got->n_keys, 2);
	assert_true(got->keys[1] == UINT64_MAX);
	assert_int_equal(received.sound->len, 1);
	assert_int_equal(g_array_index(received.sound, sound_key_t, 0).seen_us,
			 NOW - 95 * MS);
	g_array_index(a.occupancy.losses, quarantine_loss_t, 0).n_keys =
		QUARANTINE_KEYS_MAX + 1;
	assert_false(announce_encode(&a.announce, a.occupancy.origins, NOW,
				     data, sizeof(data), &len));
	occupancy_announcement_finish(&received);
	occupancy_finish(&a.occupancy);
	occupancy_finish(&b.occupancy);
}

/* Keeps the stream that a peer announces. */
static void on_origin(void *context, const stream_origin_t *origin)
{
	*(stream_origin_t *)context = *origin;
}

static void on_new_process(void *context, const char *vm)
{
	stream_origin_t *received = context;

	assert_string_equal(vm, "a");
	received->announced_until_us = 1;
}

/* Guards against versions of streams that get lost or changed between VMs, and
 * against a truncated announcement. One that ends before them is a whole one of
 * an earlier release. When there is no room for all, the first ones are sent.
 */
static void test_origins(void **state)
{
	stream_origin_t sent = {.stream = 5,
				.software = UINT64_MAX,
				.expires_us = NOW + 900 * MS};
	stream_origin_t received = {0};
	char data[4096];
	size_t len, earlier_len;
	router_t a, b;

	init(&a, "a", 1);
	init(&b, "b", 1);
	g_array_append_val(a.occupancy.origins, sent);
	assert_true(announce_encode(&a.announce, a.occupancy.origins, NOW, data,
				    sizeof(data), &len));
	earlier_len = len - 24; /* count, two numbers, time left */
	for (size_t cut = earlier_len + 1; cut < len; cut++)
		assert_false(announce_decode(&b.occupancy, data, cut, NOW));
	assert_true(announce_decode(&b.occupancy, data, earlier_len, NOW));
	b.occupancy.on_origin = on_origin;
	b.occupancy.on_new_process = on_new_process;
	b.occupancy.context = &received;
	a.announce.sequence++;
	assert_true(announce_encode(&a.announce, a.occupancy.origins, NOW, data,
				    sizeof(data), &len));
	assert_true(announce_decode(&b.occupancy, data, len, NOW + 5 * MS));
	assert_int_equal(received.stream, 5);
	assert_true(received.software == UINT64_MAX);
	assert_int_equal(received.expires_us, NOW + 905 * MS);
	assert_int_equal(received.announced_until_us, 0);
	a.announce.incarnation++;
	for (uint64_t i = 0; i < STREAM_ORIGINS_ANNOUNCED; i++) {
		sent.stream = 100 + i;
		g_array_append_val(a.occupancy.origins, sent);
	}
	assert_true(announce_encode(&a.announce, a.occupancy.origins, NOW, data,
				    len + 25, &len));
	assert_true(announce_decode(&b.occupancy, data, len, NOW));
	assert_int_equal(received.stream, 100);
	assert_int_equal(received.announced_until_us, 1);
	occupancy_finish(&a.occupancy);
	occupancy_finish(&b.occupancy);
}

/* A VM restarts in a surge, while its peer has observed the service for long.
 * Guards against a VM that decides without the observations of its peers, and
 * against those of a dead peer.
 */
static void test_observations_of_peers(void **state)
{
	const workload_t *total;
	router_t a, b;

	init(&a, "a", 1);
	init(&b, "b", 1);
	for (int i = 0; i < 40; i++)
		workload_observe_request(occupancy_own_workload(&b.occupancy,
								"llm"),
					 NOW, 3000, 800);
	total = occupancy_workload(&a.occupancy, "llm", NOW);
	assert_true(workload_prompt_tokens(total) == 0);
	assert_true(announce_to(&b, &a, 1, NOW));
	total = occupancy_workload(&a.occupancy, "llm", NOW + 100 * MS);
	assert_float_equal(workload_prompt_tokens(total), 3000, 1);
	assert_float_equal(total->sums[WORKLOAD_REQUESTS], 40, 1);
	workload_observe_request(occupancy_own_workload(&a.occupancy, "llm"),
				 NOW + 100 * MS, 7100, 800);
	/* An announcement without observations leaves those that are known. */
	b.announce.workloads_at_us = NOW + 300 * MS;
	assert_true(announce_to(&b, &a, 2, NOW + 150 * MS));
	total = occupancy_workload(&a.occupancy, "llm", NOW + 200 * MS);
	assert_float_equal(workload_prompt_tokens(total), 3100, 10);
	total = occupancy_workload(&a.occupancy, "llm", NOW + 5000 * MS);
	assert_float_equal(workload_prompt_tokens(total), 7100, 1);
	occupancy_finish(&a.occupancy);
	occupancy_finish(&b.occupancy);
}

/* Guards against announced use that overflows the sums, as the corrupt
 * datagrams of test_malformed can hold, and against negative use, which would
 * free slots of other routers.
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
		assert_false(announce_to(&peer, &us, 1, NOW));
		assert_int_equal(streams(&us, "e-1", NOW), 0);
		occupancy_finish(&us.occupancy);
		occupancy_finish(&peer.occupancy);
	}
}

/* Hundreds of routers all receive each other's announcements. Guards against
 * repeats that use up a router's processor (750 a second at 300 routers), and
 * against a router that counts as dead because one or two repeats were lost.
 */
static void test_many_routers(void **state)
{
	static const unsigned peers[] = {1, 7, 73, 300, 750};

	for (size_t i = 0; i < G_N_ELEMENTS(peers); i++) {
		int64_t repeat_us = occupancy_repeat_us(peers[i]);
		double received_per_s = peers[i] * 1e6 / (double)repeat_us;
		router_t us, peer;

		print_message("%u peers: %.0f repeats a second\n", peers[i],
			      received_per_s);
		assert_true(received_per_s <= 200);
		assert_true(repeat_us >= 400 * MS);
		init(&us, "vm-us", 1);
		init(&peer, "vm-peer", 1);
		occupancy_set_peers(&us.occupancy, peers[i]);
		use(&peer, "e-1", 3);
		assert_true(announce_to(&peer, &us, 1, NOW));
		assert_int_equal(
			streams(&us, "e-1", NOW + 3 * repeat_us + 50 * MS), 3);
		assert_int_equal(streams(&us, "e-1", NOW + 4 * repeat_us), 0);
		/* The peer was silent, not dead: it counts again. */
		assert_true(announce_to(&peer, &us, 2, NOW + 5 * repeat_us));
		assert_int_equal(streams(&us, "e-1", NOW + 5 * repeat_us), 3);
		occupancy_finish(&us.occupancy);
		occupancy_finish(&peer.occupancy);
	}
}

/* The sums that a VM has observed of one service are larger than those that others accept.
 * Guards against an announcement that is dropped as a whole, so that the VM's use and the
 * other services count for nothing.
 */
static void test_large_sums_are_not_announced(void **state)
{
	router_t a, b;

	init(&a, "a", 1);
	init(&b, "b", 1);
	use(&b, "s1", 4);
	workload_observe_request(occupancy_own_workload(&b.occupancy, "llm"),
				 NOW, 3000, 700);
	for (int i = 0; i < 3; i++)
		workload_observe_prefill(
			occupancy_own_workload(&b.occupancy, "slow"), NOW,
			100000, 0, INT64_C(3600) * 1000 * MS);
	assert_true(announce_to(&b, &a, 1, NOW));
	assert_int_equal(streams(&a, "s1", NOW), 4);
	assert_float_equal(workload_prompt_tokens(occupancy_workload(
				   &a.occupancy, "llm", NOW)),
			   3000, 1);
	occupancy_finish(&a.occupancy);
	occupancy_finish(&b.occupancy);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_totals),
		cmocka_unit_test(test_dead_peer),
		cmocka_unit_test(test_one_order),
		cmocka_unit_test(test_announced_servers),
		cmocka_unit_test(test_malformed),
		cmocka_unit_test(test_limits),
		cmocka_unit_test(test_losses),
		cmocka_unit_test(test_origins),
		cmocka_unit_test(test_observations_of_peers),
		cmocka_unit_test(test_implausible_use),
		cmocka_unit_test(test_large_sums_are_not_announced),
		cmocka_unit_test(test_many_routers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
