/* The choice of the VM that is asked to serve a request for a service which this
 * VM does not reach.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "process/decide/peer_choice.h"

#define NOW (100 * CLOCK_US_PER_S)
#define TRIES 30

typedef struct {
	occupancy_t occupancy;
	server_set_t servers;
} fixture_t;

static void put_server(fixture_t *fixture, const char *id, const char *service,
		       stage_t stage)
{
	server_entry_t entry = {
		.id = g_strdup(id),
		.service = g_strdup(service),
		.address = g_strdup_printf("%s:1", id),
		.zone = g_strdup("z"),
		.software = g_strdup("v1"),
		.stage = stage,
	};

	(void)server_set_put(&fixture->servers, &entry, NOW);
}

/* Applies an announcement of a VM that suspects one server, or none (NULL). */
static void announce(fixture_t *fixture, const char *vm, const char *suspect,
		     int64_t at_us)
{
	occupancy_announcement_t announcement;

	occupancy_announcement_init(&announcement);
	g_strlcpy(announcement.vm, vm, sizeof(announcement.vm));
	announcement.incarnation = 1;
	announcement.sequence = (uint32_t)(at_us / CLOCK_US_PER_MS);
	if (suspect)
		g_ptr_array_add(announcement.suspects, g_strdup(suspect));
	occupancy_apply_announcement(&fixture->occupancy, &announcement, at_us);
	occupancy_announcement_finish(&announcement);
}

/* Sets up a plain service "app" with one server and a model service "llm". */
static void start(fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	occupancy_init(&fixture->occupancy);
	server_set_init(&fixture->servers);
	put_server(fixture, "i-1", "app", STAGE_NONE);
	put_server(fixture, "i-2", "llm", STAGE_PREFILL);
	put_server(fixture, "i-3", "llm", STAGE_DECODE);
	put_server(fixture, "i-4", "llm", STAGE_DECODE);
}

static void stop(fixture_t *fixture)
{
	occupancy_finish(&fixture->occupancy);
	server_set_finish(&fixture->servers);
}

/* Returns the name of the chosen VM, or NULL. */
static const char *choose(fixture_t *fixture, const char *service,
			  const peer_tries_t *tries)
{
	const occupancy_peer_t *peer = peer_choose(
		&fixture->occupancy, &fixture->servers, service, tries, NOW);

	return peer ? peer->vm : NULL;
}

/* Guards against requests that are passed on to VMs which are cut off as well:
 * of the whole service, or of all engines of one stage.
 */
static void test_vms_that_are_cut_off_too(void **state)
{
	peer_tries_t none = {.n = 0};
	fixture_t fixture;

	start(&fixture);
	announce(&fixture, "a", "i-1", NOW);
	announce(&fixture, "b", "i-2", NOW);
	assert_string_equal(choose(&fixture, "app", &none), "b");
	assert_string_equal(choose(&fixture, "llm", &none), "a");
	announce(&fixture, "a", "i-3", NOW + CLOCK_US_PER_MS);
	assert_string_equal(choose(&fixture, "llm", &none), "a");
	assert_null(choose(&fixture, "unknown", &none));
	stop(&fixture);
}

/* Guards against requests that are passed on to a VM that has ended, or twice to
 * the same one, and against tries without end.
 */
static void test_vms_that_have_ended(void **state)
{
	peer_tries_t tries = {.n = 0};
	fixture_t fixture;

	start(&fixture);
	announce(&fixture, "a", NULL, NOW - CLOCK_US_PER_S);
	assert_null(choose(&fixture, "app", &tries));
	announce(&fixture, "b", NULL, NOW);
	announce(&fixture, "c", NULL, NOW);
	announce(&fixture, "d", NULL, NOW);
	peer_tries_add(&tries, choose(&fixture, "app", &tries));
	assert_string_not_equal(choose(&fixture, "app", &tries), tries.vms[0]);
	peer_tries_add(&tries, choose(&fixture, "app", &tries));
	assert_null(choose(&fixture, "app", &tries));
	peer_tries_finish(&tries);
	stop(&fixture);
}

/* Guards against one VM that gets the requests of all that are cut off. */
static void test_requests_are_spread(void **state)
{
	peer_tries_t none = {.n = 0};
	unsigned counts[3] = {0};
	fixture_t fixture;

	start(&fixture);
	announce(&fixture, "a", NULL, NOW);
	announce(&fixture, "b", NULL, NOW);
	announce(&fixture, "c", NULL, NOW);
	for (int i = 0; i < TRIES; i++) {
		occupancy_peer_t *peer = peer_choose(&fixture.occupancy,
						     &fixture.servers, "app",
						     &none, NOW);

		counts[peer->vm[0] - 'a']++;
		peer->passed_on_us = NOW + i;
		if (peer->vm[0] == 'c')
			peer->passed_on++; /* it does not answer */
	}
	assert_int_equal(counts[2], 1);
	assert_in_range(counts[0], TRIES / 2 - 1, TRIES / 2);
	stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_vms_that_are_cut_off_too),
		cmocka_unit_test(test_vms_that_have_ended),
		cmocka_unit_test(test_requests_are_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
