#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "version/sync.h"

#define MS INT64_C(1000)
#define S INT64_C(1000000)
#define START (100 * S)

/* Version N with a hash that starts with a letter. */
static sync_version_t make_version(uint64_t version, char letter)
{
	sync_version_t v = {.version = version};

	memset(v.hash, letter, MANIFEST_HASH_DIGITS);
	return v;
}

typedef enum {
	HEAR, /* peer `who` says it has `version` */
	POLL, /* a poll ends with `version`; 0: failed */
	ABSENT, /* a poll ends without a row */
	FETCHED, /* the fetch under way succeeds */
	FAILED, /* the fetch under way fails */
	LATE, /* time passes */
} event_kind_t;

typedef struct {
	event_kind_t kind;
	const char *who;
	uint64_t version;
	char letter; /* of the hash; 0: 'a' */
	int64_t after_us;
	uint64_t current; /* version in effect afterwards */
	sync_action_kind_t action; /* what is then to be done first */
} event_t;

typedef struct {
	const char *name;
	bool reader;
	event_t events[10];
} case_t;

static const case_t cases[] = {
	{"a reader polls and fetches",
	 true,
	 {{POLL, NULL, 1, 0, 0, 0, SYNC_FETCH},
	  {FETCHED, NULL, 0, 0, 0, 1, SYNC_WAIT},
	  {LATE, NULL, 0, 0, 2 * S, 1, SYNC_POLL},
	  {POLL, NULL, 2, 0, 0, 1, SYNC_FETCH},
	  {FETCHED, NULL, 0, 0, 0, 2, SYNC_WAIT}}},
	{"a stale read does not bring an older version back",
	 true,
	 {{POLL, NULL, 5, 0, 0, 0, SYNC_FETCH},
	  {FETCHED, NULL, 0, 0, 0, 5, SYNC_WAIT},
	  {LATE, NULL, 0, 0, 2 * S, 5, SYNC_POLL},
	  {POLL, NULL, 4, 0, 0, 5, SYNC_WAIT}}},
	{"a reordered heartbeat does not bring an older version back",
	 false,
	 {{HEAR, "p", 3, 0, 0, 0, SYNC_FETCH},
	  {FETCHED, NULL, 0, 0, 0, 3, SYNC_WAIT},
	  {HEAR, "p", 2, 0, 0, 3, SYNC_WAIT},
	  {HEAR, "q", 1, 0, 0, 3, SYNC_WAIT}}},
	{"another content of the same version is ignored",
	 false,
	 {{HEAR, "p", 3, 0, 0, 0, SYNC_FETCH},
	  {FETCHED, NULL, 0, 0, 0, 3, SYNC_WAIT},
	  {HEAR, "q", 3, 'b', 0, 3, SYNC_WAIT}}},
	{"a newer version during a fetch follows it",
	 false,
	 {{HEAR, "p", 3, 0, 0, 0, SYNC_FETCH},
	  {HEAR, "q", 4, 'b', 0, 0, SYNC_WAIT},
	  {FETCHED, NULL, 0, 0, 0, 3, SYNC_FETCH},
	  {FETCHED, NULL, 0, 0, 0, 4, SYNC_WAIT}}},
	{"a failed fetch is repeated after a while",
	 false,
	 {{HEAR, "p", 3, 0, 0, 0, SYNC_FETCH},
	  {FAILED, NULL, 0, 0, 0, 0, SYNC_WAIT},
	  {LATE, NULL, 0, 0, 300 * MS, 0, SYNC_FETCH},
	  {FAILED, NULL, 0, 0, 0, 0, SYNC_WAIT},
	  {LATE, NULL, 0, 0, 3 * S, 0, SYNC_FETCH},
	  {FETCHED, NULL, 0, 0, 0, 3, SYNC_WAIT}}},
	{"a newer version is fetched without waiting for a retry",
	 false,
	 {{HEAR, "p", 3, 0, 0, 0, SYNC_FETCH},
	  {FAILED, NULL, 0, 0, 0, 0, SYNC_WAIT},
	  {HEAR, "q", 4, 0, 0, 0, SYNC_FETCH}}},
	{"without a platform the state comes from peers",
	 false,
	 {{POLL, NULL, 0, 0, 0, 0, SYNC_WAIT},
	  {HEAR, "p", 7, 0, 0, 0, SYNC_FETCH},
	  {FETCHED, NULL, 0, 0, 0, 7, SYNC_WAIT}}},
	{"a deleted row changes nothing",
	 true,
	 {{POLL, NULL, 2, 0, 0, 0, SYNC_FETCH},
	  {FETCHED, NULL, 0, 0, 0, 2, SYNC_WAIT},
	  {LATE, NULL, 0, 0, 2 * S, 2, SYNC_POLL},
	  {ABSENT, NULL, 0, 0, 0, 2, SYNC_WAIT}}},
	{"members that hear of their version do not poll",
	 false,
	 {{HEAR, "p", 1, 0, 0, 0, SYNC_FETCH},
	  {FETCHED, NULL, 0, 0, 0, 1, SYNC_WAIT},
	  {POLL, NULL, 1, 0, 0, 1, SYNC_WAIT},
	  {HEAR, "p", 1, 0, 2 * S, 1, SYNC_WAIT},
	  {HEAR, "p", 1, 0, 2 * S, 1, SYNC_WAIT},
	  {HEAR, "p", 1, 0, 2 * S, 1, SYNC_WAIT},
	  {HEAR, "p", 1, 0, 2 * S, 1, SYNC_WAIT},
	  {LATE, NULL, 0, 0, 7 * S, 1, SYNC_POLL}}},
	{"a version that no one has does not hide the platform's",
	 true,
	 {{POLL, NULL, 0, 0, 0, 0, SYNC_WAIT},
	  {HEAR, "p", 99, 0, 0, 0, SYNC_FETCH},
	  {POLL, NULL, 5, 0, 0, 0, SYNC_WAIT},
	  {FAILED, NULL, 0, 0, 0, 0, SYNC_WAIT},
	  {LATE, NULL, 0, 0, 700 * MS, 0, SYNC_FETCH},
	  {FAILED, NULL, 0, 0, 0, 0, SYNC_WAIT},
	  {LATE, NULL, 0, 0, 700 * MS, 0, SYNC_FETCH},
	  {FAILED, NULL, 0, 0, 0, 0, SYNC_POLL},
	  {LATE, NULL, 0, 0, 900 * MS, 0, SYNC_FETCH},
	  {FETCHED, NULL, 0, 0, 0, 5, SYNC_WAIT}}},
	{"a peer that restarted without a version is no source",
	 false,
	 {{HEAR, "p", 0, 0, 0, 0, SYNC_WAIT},
	  {LATE, NULL, 0, 0, 7 * S, 0, SYNC_POLL}}},
};

static void apply_event(sync_t *sync, const event_t *event, int64_t *now_us)
{
	sync_version_t version = make_version(
		event->version, event->letter ? event->letter : 'a');

	*now_us += event->after_us;
	switch (event->kind) {
	case HEAR:
		sync_hear(sync, event->who, true, &version, SYNC_AGE_UNKNOWN,
			  *now_us);
		break;
	case POLL:
		sync_polled(sync,
			    event->version ? SYNC_POLL_FOUND : SYNC_POLL_FAILED,
			    &version, *now_us);
		break;
	case ABSENT:
		sync_polled(sync, SYNC_POLL_ABSENT, NULL, *now_us);
		break;
	case FETCHED:
		assert_true(sync->fetching);
		sync_fetched(sync, true, *now_us);
		break;
	case FAILED:
		assert_true(sync->fetching);
		sync_fetched(sync, false, *now_us);
		break;
	case LATE:
		break;
	}
}

/* Guards against an older version in effect, missed versions and needless or
 * missing polls.
 */
static void test_cases(void **unused)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const case_t *c = &cases[i];
		int64_t now_us = START;
		sync_t sync;

		sync_init(&sync, "self", 1 + i, now_us);
		sync_set_zone(&sync,
			      c->reader ? (const char *[]){"self"}
					: (const char *[]){"p", "q"},
			      c->reader ? 1 : 2);
		/* Whether "self" wins against p and q depends on the hash. */
		sync.is_reader = c->reader;
		assert_int_equal(sync_step(&sync, now_us).kind, SYNC_POLL);
		if (c->events[0].kind != POLL)
			sync_polled(&sync, SYNC_POLL_FAILED, NULL, now_us);
		for (size_t j = 0; j < G_N_ELEMENTS(c->events); j++) {
			const event_t *event = &c->events[j];
			sync_action_t action;

			/* Events of the kind 0 without a peer are padding. */
			if (event->kind == HEAR && !event->who)
				break;
			apply_event(&sync, event, &now_us);
			action = sync_step(&sync, now_us);
			if (sync.current.version != event->current ||
			    action.kind != event->action)
				fail_msg("%s, event %zu: version %d, action %d",
					 c->name, j, (int)sync.current.version,
					 (int)action.kind);
		}
	}
}

/* Guards against a zone with no reader, or with several in one view. */
static void test_one_reader_in_each_zone(void **unused)
{
	static const char *const vms[] = {"vm-1", "vm-2", "vm-3", "vm-4",
					  "vm-5"};
	size_t moved = 0;

	for (size_t n = 1; n <= G_N_ELEMENTS(vms); n++) {
		size_t readers = 0;

		for (size_t i = 0; i < n; i++) {
			sync_t sync;

			sync_init(&sync, vms[i], 1, START);
			sync_set_zone(&sync, vms, n);
			readers += sync.is_reader;
		}
		assert_int_equal(readers, 1);
	}
	for (int key = 0; key < 1000; key++) {
		char text[16];

		g_snprintf(text, sizeof(text), "key-%d", key);
		moved += sync_wins(text, "vm-5", vms, 5);
	}
	/* A fifth of the keys, as they are spread evenly. */
	assert_in_range(moved, 150, 250);
}

/* Guards against peers that do not have the version or that keep failing. */
static void test_candidates(void **unused)
{
	sync_version_t two = make_version(2, 'a');
	sync_version_t one = make_version(1, 'b');
	sync_action_t action;
	sync_t sync;

	sync_init(&sync, "self", 1, START);
	sync_hear(&sync, "far", false, &two, 0, START);
	sync_hear(&sync, "near", true, &two, 0, START);
	sync_hear(&sync, "old", true, &one, 0, START);
	sync_hear(&sync, "bad", true, &two, 0, START);
	sync_peer_failed(&sync, "bad");
	action = sync_step(&sync, START);
	assert_int_equal(action.kind, SYNC_FETCH);
	assert_false(action.platform_first);
	assert_int_equal(action.n_peers, 3);
	assert_string_equal(action.peers[0], "near");
	assert_string_equal(action.peers[1], "far");
	assert_string_equal(action.peers[2], "bad");
	sync_fetched(&sync, false, START);
	/* Peers that have not been heard for long are not asked. */
	action = sync_step(&sync, START + SYNC_PEER_AGE_US + S);
	assert_int_equal(action.kind, SYNC_FETCH);
	assert_int_equal(action.n_peers, 0);
}

/* Guards against an age that looks younger than it is. */
static void test_age_is_passed_on(void **unused)
{
	sync_version_t one = make_version(1, 'a');
	int64_t now_us = START;
	sync_t sync;

	sync_init(&sync, "self", 1, now_us);
	assert_int_equal(sync_age_us(&sync, now_us), SYNC_AGE_UNKNOWN);
	sync_hear(&sync, "p", true, &one, 60 * S, now_us);
	assert_int_equal(sync_step(&sync, now_us).kind, SYNC_FETCH);
	assert_true(sync_fetched(&sync, true, now_us));
	assert_int_equal(sync_age_us(&sync, now_us), 60 * S);
	/* An old confirmation does not replace a younger one. */
	sync_hear(&sync, "q", true, &one, 90 * S, now_us);
	assert_int_equal(sync_age_us(&sync, now_us + S), 61 * S);
	sync_polled(&sync, SYNC_POLL_FOUND, &one, now_us + 2 * S);
	assert_int_equal(sync_age_us(&sync, now_us + 3 * S), S);
}

/* Guards against members that all poll a recovering platform at once. */
static void test_polls_are_spread(void **unused)
{
	int64_t first = 0;
	int64_t lowest = INT64_MAX;
	int64_t highest = 0;

	for (uint64_t seed = 1; seed <= 200; seed++) {
		sync_version_t one = make_version(1, 'a');
		int64_t wait_us;
		sync_t sync;

		sync_init(&sync, "self", seed, START);
		sync_set_current(&sync, &one);
		sync_polled(&sync, SYNC_POLL_FOUND, &one, START);
		wait_us = sync_next_us(&sync) - START;
		lowest = MIN(lowest, wait_us);
		highest = MAX(highest, wait_us);
		first = wait_us;
	}
	assert_true(lowest >= SYNC_QUIET_US);
	assert_true(highest <= SYNC_QUIET_MAX_US);
	assert_true(highest - lowest > (SYNC_QUIET_MAX_US - SYNC_QUIET_US) / 2);
	assert_true(first > 0);
}

/*
 * Guards against a version that falls under any order of messages. Seeded and
 * bounded.
 */
static void test_versions_only_rise(void **unused)
{
	GRand *rand = g_rand_new_with_seed(99);
	int64_t now_us = START;
	uint64_t highest = 0;
	sync_t sync;

	sync_init(&sync, "self", 3, now_us);
	for (int i = 0; i < 200000; i++) {
		uint64_t before = sync.current.version;
		sync_version_t version = make_version(
			(uint64_t)g_rand_int_range(rand, 0, i / 100 + 2), 'a');
		char peer[8];

		now_us += g_rand_int_range(rand, 0, 500000);
		g_snprintf(peer, sizeof(peer), "p%d",
			   g_rand_int_range(rand, 0, 30));
		switch (g_rand_int_range(rand, 0, 4)) {
		case 0:
			sync_hear(&sync, peer, true, &version, 0, now_us);
			highest = MAX(highest, version.version);
			break;
		case 1:
			if (!sync.polling || version.version == 0)
				break;
			sync_polled(&sync, SYNC_POLL_FOUND, &version, now_us);
			highest = MAX(highest, version.version);
			break;
		case 2:
			if (sync.fetching)
				sync_fetched(&sync, g_rand_boolean(rand),
					     now_us);
			break;
		default:
			sync_step(&sync, now_us);
		}
		assert_true(sync.current.version >= before);
		assert_true(sync.current.version <= highest);
	}
	assert_true(sync.current.version > 0);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cases),
		cmocka_unit_test(test_one_reader_in_each_zone),
		cmocka_unit_test(test_candidates),
		cmocka_unit_test(test_age_is_passed_on),
		cmocka_unit_test(test_polls_are_spread),
		cmocka_unit_test(test_versions_only_rise),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
