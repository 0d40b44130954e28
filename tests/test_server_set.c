#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/decide/server_set.h"

#define MS CLOCK_US_PER_MS
#define NOW (5000 * MS)

/* Puts the entry of a prefill engine into a set. */
static server_t *put(server_set_t *set, const char *id, const char *address,
		     int64_t started_ms)
{
	server_entry_t entry = {
		.id = g_strdup(id),
		.service = g_strdup("llm"),
		.address = g_strdup(address),
		.zone = g_strdup("z0"),
		.stage = STAGE_PREFILL,
		.started_ms = started_ms,
	};

	return server_set_put(set, &entry, NOW);
}

/* An engine's answer is lost on its connection while the engine goes on to
 * answer other prompts. Guards against waiting for that answer until the caller
 * leaves, against sending prompts again that are only queued, and against
 * suspecting an engine that works.
 */
static void test_prefill_answer(void **state)
{
	static const struct {
		int64_t received_ms; /* after this prompt was sent */
		int64_t answered_ms; /* send time of another, answered prompt */
		int64_t now_ms;
		prefill_answer_t answer;
	} cases[] = {
		{-10, -20, 999, PREFILL_PENDING},
		{-10, -20, 1000, PREFILL_SILENT},
		{0, -20, 1000, PREFILL_SILENT},
		/* The engine still reads earlier prompts. */
		{900, -20, 1000, PREFILL_PENDING},
		/* A shorter prompt overtook this one, which is not overdue. */
		{900, 20, 999, PREFILL_PENDING},
		{900, 20, 1000, PREFILL_LOST},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		server_t server = {.last_received_us =
					   NOW + cases[i].received_ms * MS};

		print_message("case %zu\n", i);
		server_record_prefill(&server, NOW + cases[i].answered_ms * MS,
				      NOW + cases[i].received_ms * MS, 1000, 1);
		assert_int_equal(
			server_prefill_answer(&server, NOW, NOW + 1000 * MS,
					      NOW + cases[i].now_ms * MS),
			cases[i].answer);
	}
}

/* Guards against an engine that counts as many times slower than it has ever been, because
 * each of the prompts that were sent to it before the first answer makes it slower again.
 */
static void test_slowness_of_prompts_sent_together(void **state)
{
	server_t server = {0};

	for (int i = 0; i < 300; i++)
		server_record_prefill(&server, NOW, NOW + 400 * MS, 100 * MS,
				      1);
	assert_true(server_prefill_slowness(&server, NOW + 400 * MS) > 3.9);
	assert_true(server_prefill_slowness(&server, NOW + 400 * MS) <= 4);
}

/* Guards against an estimate that does not follow an engine which has become slower, or fast
 * again, one prompt after the other.
 */
static void test_slowness_follows(void **state)
{
	static const double speeds[] = {3, 1};
	server_t server = {0};
	int64_t now_us = NOW;

	for (size_t i = 0; i < G_N_ELEMENTS(speeds); i++) {
		double known;

		for (int n = 0; n < 40; n++) {
			double slowness =
				server_prefill_slowness(&server, now_us);
			double expected_us = 100.0 * MS * slowness;
			int64_t sent_us = now_us;

			now_us += (int64_t)(100.0 * MS * speeds[i]);
			server_record_prefill(&server, sent_us, now_us,
					      (int64_t)expected_us, slowness);
		}
		known = server_prefill_slowness(&server, now_us);
		print_message("slowness %.3f\n", known);
		assert_true(known > speeds[i] * 0.99);
		assert_true(known < speeds[i] * 1.01);
	}
}

/* Guards against a sound engine that counts as slow for good, as it was silent once and has got no
 * prompts since that would show how fast it is.
 */
static void test_slowness_without_prompts(void **state)
{
	server_t server = {0};
	int64_t now_us = NOW + 400 * MS;

	for (int i = 0; i < 10; i++)
		server_record_prefill(&server, NOW, now_us, 100 * MS, 1);
	assert_true(server_prefill_slowness(&server, now_us) > 3);
	assert_true(server_prefill_slowness(&server, now_us + 10000 * MS) > 3);
	assert_true(server_prefill_slowness(&server, now_us + 60000 * MS) <
		    1.1);
}

/* Guards against treating a server that restarted under its old ID as the old
 * process: neither its requests nor its failures are those of the new one.
 */
static void test_restart_under_old_id(void **state)
{
	server_set_t set;
	server_t *server;

	memset(&set, 0, sizeof(set));
	server_set_init(&set);
	server = put(&set, "i-1", "10.0.0.1:80", 1000);
	server_mark_suspect(server, NOW);
	server_work_failed(server, NOW, NOW);
	server = put(&set, "i-1", "10.0.0.1:80", 1000);
	assert_true(server_is_suspect(server));
	server = put(&set, "i-1", "10.0.0.1:80", 2000);
	assert_false(server_is_suspect(server));
	assert_int_equal(server->avoided_until_us, 0);
	server_set_finish(&set);
}

/* Guards against requests to a server whose address another one has taken, and
 * against the removal of the former affecting the latter.
 */
static void test_address_reused(void **state)
{
	server_set_t set;
	server_t *server, *other;

	memset(&set, 0, sizeof(set));
	server_set_init(&set);
	server = put(&set, "i-1", "10.0.0.1:80", 1000);
	other = put(&set, "i-2", "10.0.0.1:80", 2000);
	assert_false(server_takes_work(server));
	assert_true(server_takes_work(other));
	/* Removing the first entry leaves the address to the second. */
	server_set_remove(&set, "i-1", 0);
	server = put(&set, "i-3", "10.0.0.1:80", 3000);
	assert_false(server_takes_work(other));
	assert_true(server_takes_work(server));
	server_set_remove(&set, "i-3", 0);
	server_set_remove(&set, "i-2", 0);
	server_set_remove(&set, "i-2", 0);
	assert_true(server_takes_work(put(&set, "i-4", "10.0.0.1:80", 1)));
	server_set_finish(&set);
}

/* Puts the entry of a process that does not state its start, from a row. */
static server_t *put_row(server_set_t *set, const char *id, int64_t row_version)
{
	server_entry_t entry = {
		.id = g_strdup(id),
		.service = g_strdup("llm"),
		.address = g_strdup("10.0.0.1:80"),
		.zone = g_strdup("z0"),
		.row_version = row_version,
	};

	return server_set_put(set, &entry, NOW);
}

/* Guards against an address that goes to the entry which is read last: a full read is in
 * the order of the keys. Later starts and later rows tell, in any order.
 */
static void test_address_in_order_of_keys(void **state)
{
	server_set_t set;
	server_t *newer, *older;

	server_set_init(&set);
	newer = put(&set, "i-1", "10.0.0.1:80", 2000);
	older = put(&set, "i-2", "10.0.0.1:80", 1000);
	assert_true(server_takes_work(newer));
	assert_false(server_takes_work(older));
	server_set_finish(&set);
	server_set_init(&set);
	newer = put_row(&set, "i-1", 20);
	older = put_row(&set, "i-2", 10);
	assert_true(server_takes_work(newer));
	assert_false(server_takes_work(older));
	/* The later row was a write of a process before, carried out late. */
	server_set_heartbeat(&set, older, 30);
	assert_true(server_takes_work(older));
	server_set_heartbeat(&set, newer, 31);
	assert_true(server_takes_work(newer));
	assert_false(server_takes_work(older));
	server_set_finish(&set);
}

/* Guards against an address that is lost with the entry of the server that had it last,
 * or that another entry has only named: it goes back to the server that is left.
 */
static void test_address_given_back(void **state)
{
	server_set_t set;
	server_t *server, *other;

	server_set_init(&set);
	server = put(&set, "i-1", "10.0.0.1:80", 1000);
	other = put(&set, "i-2", "10.0.0.1:80", 2000);
	assert_false(server_takes_work(server));
	assert_true(server_set_mark_misdirected(&set, other, NOW));
	assert_true(server_takes_work(server));
	assert_false(server_takes_work(other));
	assert_true(server_set_clear_misdirected(&set, other));
	assert_true(server_takes_work(other));
	server_set_remove(&set, "i-2", NOW);
	assert_true(server_takes_work(server));
	/* A full read that misses the later entry. */
	(void)put(&set, "i-3", "10.0.0.1:80", 3000);
	server_set_begin_sync(&set);
	(void)put(&set, "i-1", "10.0.0.1:80", 1000);
	server_set_end_sync(&set, NOW + 2000 * MS);
	assert_true(server_takes_work(server));
	assert_true(server_set_expire(&set, NOW + 2000 * MS));
	assert_true(server_takes_work(server));
	server_set_finish(&set);
}

/* Guards against a read of the list at each start of a VM whose cost grows with
 * the square of the number of servers: 64 million comparisons at 8,000.
 */
static void test_many_servers_enter(void **state)
{
	int64_t start_us = g_get_monotonic_time();
	server_set_t set;

	memset(&set, 0, sizeof(set));
	server_set_init(&set);
	for (unsigned i = 0; i < 30000; i++) {
		char *id = g_strdup_printf("i-%u", i);
		char *address =
			g_strdup_printf("10.1.%u.%u:80", i / 250, i % 250);

		(void)put(&set, id, address, 1000);
		g_free(id);
		g_free(address);
	}
	assert_int_equal(server_set_count_usable(&set), 30000);
	assert_true(g_get_monotonic_time() - start_us < 2 * CLOCK_US_PER_S);
	server_set_finish(&set);
}

/* Number of servers that a VM's list holds if their rows are short, and most processor time
 * for a heartbeat of each of them: a quarter of the second in which they come.
 */
#define SHARERS 20000
#define ROUND_CPU_US (250 * MS)

/* Returns the processor time that this thread has used, in microseconds, which does not
 * count how long it waited for a processor.
 */
static int64_t cpu_us(void)
{
	struct timespec time;

	assert_int_equal(clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time), 0);
	return (int64_t)time.tv_sec * CLOCK_US_PER_S + time.tv_nsec / 1000;
}

/* Writes the rows of all servers of an address once more, each with a change. */
static void rewrite_rows(server_set_t *set, int64_t row_version)
{
	for (unsigned i = 0; i < SHARERS; i++) {
		char *id = g_strdup_printf("i-%u", i);

		(void)put_row(set, id, row_version + i);
		g_free(id);
	}
}

/* Guards against heartbeats, changed rows and a full read without the servers that cost a
 * look at each of the servers which name the same address: a VM that is busy for seconds
 * with a list in which all do, and serves no one meanwhile.
 */
static void test_many_servers_of_one_address(void **state)
{
	int64_t start_us, heartbeats_us, rows_us, missed_us;
	server_t **servers = g_new0(server_t *, SHARERS);
	server_set_t set;

	memset(&set, 0, sizeof(set));
	server_set_init(&set);
	for (unsigned i = 0; i < SHARERS; i++) {
		char *id = g_strdup_printf("i-%u", i);

		servers[i] = put_row(&set, id, i + 1);
		g_free(id);
	}
	assert_int_equal(server_set_count_usable(&set), 1);
	start_us = cpu_us();
	for (unsigned i = 0; i < SHARERS; i++) {
		server_set_heartbeat(&set, servers[i], SHARERS + i + 1);
		assert_false(servers[i]->superseded);
	}
	heartbeats_us = cpu_us() - start_us;
	assert_true(server_takes_work(servers[SHARERS - 1]));
	assert_int_equal(server_set_count_usable(&set), 1);
	start_us = cpu_us();
	rewrite_rows(&set, 2 * SHARERS + 1);
	rows_us = cpu_us() - start_us;
	assert_true(server_takes_work(servers[SHARERS - 1]));
	start_us = cpu_us();
	server_set_begin_sync(&set);
	(void)put_row(&set, "i-7", 3 * SHARERS + 1);
	server_set_end_sync(&set, NOW);
	assert_true(server_takes_work(servers[7]));
	assert_true(server_set_expire(&set, NOW));
	missed_us = cpu_us() - start_us;
	print_message("%d servers of one address: heartbeats %" G_GINT64_FORMAT
		      " us, rows %" G_GINT64_FORMAT
		      " us, removal %" G_GINT64_FORMAT " us\n",
		      SHARERS, heartbeats_us, rows_us, missed_us);
	assert_true(heartbeats_us < ROUND_CPU_US);
	assert_true(rows_us < ROUND_CPU_US);
	assert_true(missed_us < ROUND_CPU_US);
	assert_int_equal(server_set_count_usable(&set), 1);
	server_set_finish(&set);
	g_free(servers);
}

/* Guards against a server that keeps an address when what is known of it has become worse:
 * it is looked for among the others then, also among those that were not preferred before.
 */
static void test_address_of_a_weaker_claim(void **state)
{
	server_set_t set;
	server_t *first, *second, *third;

	server_set_init(&set);
	first = put_row(&set, "i-1", 10);
	second = put_row(&set, "i-2", 20);
	(void)put_row(&set, "i-3", 30);
	/* A store that was restored from a copy gives out versions again. */
	third = put_row(&set, "i-3", 15);
	assert_true(server_takes_work(second));
	assert_false(server_takes_work(third));
	second = put_row(&set, "i-2", 12);
	assert_true(server_takes_work(third));
	assert_true(server_set_mark_misdirected(&set, third, NOW));
	assert_true(server_takes_work(second));
	assert_true(server_set_mark_misdirected(&set, second, NOW));
	assert_true(server_takes_work(first));
	assert_true(server_set_mark_misdirected(&set, first, NOW));
	assert_false(third->superseded);
	server_set_remove(&set, "i-3", NOW);
	assert_false(second->superseded);
	assert_true(first->superseded);
	/* The heartbeats of the one that has the address count too. */
	server_set_heartbeat(&set, second, 50);
	server_set_heartbeat(&set, first, 45);
	assert_false(second->superseded);
	(void)put_row(&set, "i-2", 44);
	assert_true(second->superseded);
	assert_false(first->superseded);
	server_set_finish(&set);
}

/* Guards against servers that get no requests while a full read of several pages has not
 * brought them yet, and against ones that stay although it has ended without them.
 */
static void test_full_read_in_progress(void **state)
{
	server_set_t set;
	server_t *later, *gone;

	server_set_init(&set);
	later = put(&set, "i-1", "10.0.0.1:80", 1);
	gone = put(&set, "i-2", "10.0.0.2:80", 1);
	server_set_begin_sync(&set);
	assert_true(server_takes_work(later));
	assert_true(server_takes_work(gone));
	/* A read that begins anew. */
	server_set_begin_sync(&set);
	assert_ptr_equal(put(&set, "i-1", "10.0.0.1:80", 1), later);
	assert_true(server_takes_work(gone));
	server_set_end_sync(&set, NOW);
	assert_true(later->listed);
	assert_false(gone->listed);
	assert_true(server_set_expire(&set, NOW));
	assert_null(server_set_find(&set, "i-2"));
	server_set_finish(&set);
}

/* Guards against losing all servers after an outage of the store: servers that
 * a full read does not contain are kept until they had time to enter themselves
 * again.
 */
static void test_missing_after_outage(void **state)
{
	server_set_t set;

	memset(&set, 0, sizeof(set));
	server_set_init(&set);
	(void)put(&set, "i-1", "10.0.0.1:80", 1000);
	(void)put(&set, "i-2", "10.0.0.2:80", 1000);
	server_set_begin_sync(&set);
	(void)put(&set, "i-2", "10.0.0.2:80", 1000);
	server_set_end_sync(&set, NOW + 2000 * MS);
	assert_int_equal(server_set_count_usable(&set), 2);
	assert_false(server_set_expire(&set, NOW + 1999 * MS));
	assert_true(server_set_expire(&set, NOW + 2000 * MS));
	assert_null(server_set_find(&set, "i-1"));
	assert_non_null(server_set_find(&set, "i-2"));
	server_set_finish(&set);
}

/* A peer cannot reach a server that this VM can reach. Guards against the
 * peer's suspicion taking the server out of use, and against it doing so again
 * at once after the server has answered a probe.
 */
static void test_suspicion_of_peers(void **state)
{
	server_t server = {.last_received_us = NOW};

	server_suspected_by_peer(&server, NOW + 100 * MS);
	assert_false(server_is_suspect(&server));
	server_suspected_by_peer(&server, NOW + 200 * MS);
	assert_true(server_is_suspect(&server));
	server_record_received(&server, NOW + 300 * MS);
	assert_false(server_is_suspect(&server));
	server_suspected_by_peer(&server, NOW + 1200 * MS);
	assert_false(server_is_suspect(&server));
	server_suspected_by_peer(&server, NOW + 1300 * MS);
	assert_true(server_is_suspect(&server));
}

/* A server that fails at once has no queue and would attract all work. Guards
 * against giving it work without a pause, and against never trying it again.
 */
static void test_failures_in_row(void **state)
{
	server_t server = {0};
	int64_t first_us;

	server_work_failed(&server, NOW, NOW);
	first_us = server.avoided_until_us - NOW;
	assert_true(first_us > 0);
	server_work_failed(&server, NOW, NOW);
	assert_int_equal(server.avoided_until_us - NOW, 2 * first_us);
	for (int i = 0; i < 100; i++)
		server_work_failed(&server, NOW, NOW);
	assert_true(server.avoided_until_us - NOW <= 5000 * MS);
	server_work_succeeded(&server);
	assert_int_equal(server.avoided_until_us, 0);
}

/* Guards against forgetting at once what is remembered of all servers that were
 * removed, when there are many.
 */
static void test_many_removed(void **state)
{
	const unsigned others = 5000;
	server_set_t set;
	char id[16];

	server_set_init(&set);
	for (unsigned i = 0; i < others; i++) {
		g_snprintf(id, sizeof(id), "i-%u", i);
		(void)put(&set, id, id, 1000);
		if (i == 4000) {
			server_t *server = put(&set, "leaving", "l", 1000);

			assert_true(server_set_mark_leaving(&set, server, NOW));
			server_set_remove(&set, "leaving", NOW);
		}
		server_set_remove(&set, id, NOW);
	}
	assert_false(server_takes_work(put(&set, "leaving", "l", 1000)));
	server_set_finish(&set);
}

/* Guards against a server that is avoided for seconds because several requests that were
 * sent to it side by side met the same moment in which it was full.
 */
static void test_failures_of_one_moment_count_once(void **state)
{
	server_t server = {.entry = {.slots = 6}};
	int64_t first_us;

	server_work_failed(&server, NOW - 1, NOW);
	first_us = server.avoided_until_us;
	for (int i = 1; i <= 20; i++)
		server_work_failed(&server, NOW - 1, NOW + i);
	assert_int_equal(server.consecutive_failures, 1);
	assert_int_equal(server.avoided_until_us, first_us);
	server_work_failed(&server, first_us, first_us + 1);
	assert_int_equal(server.consecutive_failures, 2);
	assert_true(server.avoided_until_us - first_us > first_us - NOW);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_failures_of_one_moment_count_once),
		cmocka_unit_test(test_prefill_answer),
		cmocka_unit_test(test_slowness_of_prompts_sent_together),
		cmocka_unit_test(test_slowness_follows),
		cmocka_unit_test(test_slowness_without_prompts),
		cmocka_unit_test(test_restart_under_old_id),
		cmocka_unit_test(test_address_reused),
		cmocka_unit_test(test_address_in_order_of_keys),
		cmocka_unit_test(test_address_given_back),
		cmocka_unit_test(test_many_servers_of_one_address),
		cmocka_unit_test(test_address_of_a_weaker_claim),
		cmocka_unit_test(test_many_servers_enter),
		cmocka_unit_test(test_full_read_in_progress),
		cmocka_unit_test(test_missing_after_outage),
		cmocka_unit_test(test_suspicion_of_peers),
		cmocka_unit_test(test_failures_in_row),
		cmocka_unit_test(test_many_removed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
