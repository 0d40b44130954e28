/* Which VMs read the server list from the store, at sizes of a fleet. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <math.h>

#include "process/clock.h"
#include "process/decide/list_readers.h"

#define NOW (100 * CLOCK_US_PER_S)

/* What one VM hears of the others: all VMs below `vms` but those from `silent` on. */
static void hear(occupancy_t *occupancy, unsigned self, unsigned vms,
		 const bool *silent, int64_t now_us)
{
	for (unsigned i = 0; i < vms; i++) {
		occupancy_announcement_t news;

		if (i == self || (silent && silent[i]))
			continue;
		occupancy_announcement_init(&news);
		g_snprintf(news.vm, sizeof(news.vm), "front-zone-%u-%u", i % 6,
			   i / 6);
		news.incarnation = 1;
		news.sequence = (uint32_t)(now_us / CLOCK_US_PER_MS);
		occupancy_apply_announcement(occupancy, &news, now_us);
		occupancy_announcement_finish(&news);
	}
}

/* A fleet of which each VM has chosen its reader. */
typedef struct {
	unsigned reading; /* VMs that read the store */
	unsigned most; /* VMs that one reader serves */
	unsigned served_by_silent; /* VMs whose reader is not heard */
} outcome_t;

static outcome_t choose_all(unsigned vms, const bool *silent)
{
	GHashTable *load =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	outcome_t outcome = {0};

	for (unsigned i = 0; i < vms; i++) {
		list_readers_t readers;
		occupancy_t occupancy;
		char name[OCCUPANCY_NAME_BYTES];
		const char *chosen;
		unsigned n;

		if (silent && silent[i])
			continue;
		list_readers_init(&readers);
		occupancy_init(&occupancy);
		occupancy_set_peers(&occupancy, vms - 1);
		hear(&occupancy, i, vms, silent, NOW);
		g_snprintf(name, sizeof(name), "front-zone-%u-%u", i % 6,
			   i / 6);
		chosen = list_readers_choose(&readers, &occupancy, name, false,
					     NOW);
		if (!chosen) {
			outcome.reading++;
		} else {
			n = GPOINTER_TO_UINT(
				    g_hash_table_lookup(load, chosen)) +
			    1;
			g_hash_table_replace(load, g_strdup(chosen),
					     GUINT_TO_POINTER(n));
			outcome.most = MAX(outcome.most, n);
		}
		occupancy_finish(&occupancy);
		list_readers_finish(&readers);
	}
	g_hash_table_unref(load);
	return outcome;
}

/* Guards against calls to the store that grow with the number of VMs, and against
 * readers that serve far more VMs than others.
 */
static void test_readers_at_each_size(void **state)
{
	static const unsigned sizes[] = {23, 87, 195, 300, 750};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		unsigned readers = list_readers_count(sizes[i]);
		outcome_t outcome = choose_all(sizes[i], NULL);
		double mean = (double)(sizes[i] - readers) / readers;

		assert_true(readers <= 8 ||
			    readers * LIST_READERS_SHARE <= sizes[i]);
		assert_int_equal(outcome.reading, readers);
		/* Four standard deviations of an even choice by chance. */
		assert_true(outcome.most <= mean + 4 * sqrt(mean) + 1);
	}
}

/* Guards against a change for small deployments, where nothing is to be gained. */
static void test_small_deployments_read_the_store(void **state)
{
	for (unsigned vms = 1; vms <= LIST_READERS_MIN; vms++)
		assert_int_equal(choose_all(vms, NULL).reading, vms);
}

/* Guards against VMs that ask readers which are lost, as with a whole zone. */
static void test_lost_zone(void **state)
{
	bool silent[195];
	outcome_t outcome;

	for (unsigned i = 0; i < G_N_ELEMENTS(silent); i++)
		silent[i] = i % 6 == 0;
	outcome = choose_all(G_N_ELEMENTS(silent), silent);
	assert_int_equal(outcome.reading, LIST_READERS_MIN);
}

/* Guards against a VM that goes on asking readers which fail, or that asks nobody once
 * all have failed.
 */
static void test_readers_that_fail(void **state)
{
	list_readers_t readers;
	occupancy_t occupancy;
	const char *chosen = NULL;
	unsigned asked = 0;

	list_readers_init(&readers);
	occupancy_init(&occupancy);
	occupancy_set_peers(&occupancy, 199);
	hear(&occupancy, 200, 200, NULL, NOW);
	while ((chosen = list_readers_choose(&readers, &occupancy, "us", false,
					     NOW)) != NULL) {
		assert_true(++asked <= LIST_READERS_MIN);
		list_readers_avoid(&readers, chosen, NOW);
	}
	assert_int_equal(asked, LIST_READERS_MIN);
	hear(&occupancy, 200, 200, NULL, NOW + 60 * CLOCK_US_PER_S);
	assert_non_null(list_readers_choose(&readers, &occupancy, "us", false,
					    NOW + 60 * CLOCK_US_PER_S));
	occupancy_finish(&occupancy);
	list_readers_finish(&readers);
}

/* Guards against a reader, or a VM of a small deployment, that asks nobody although its
 * own reads fail.
 */
static void test_reader_whose_own_reads_fail(void **state)
{
	list_readers_t readers;
	occupancy_t occupancy;
	const char *chosen;

	list_readers_init(&readers);
	occupancy_init(&occupancy);
	occupancy_set_peers(&occupancy, 7);
	hear(&occupancy, 0, 8, NULL, NOW);
	assert_null(list_readers_choose(&readers, &occupancy, "front-zone-0-0",
					false, NOW));
	chosen = list_readers_choose(&readers, &occupancy, "front-zone-0-0",
				     true, NOW);
	assert_non_null(chosen);
	assert_string_not_equal(chosen, "front-zone-0-0");
	occupancy_finish(&occupancy);
	list_readers_finish(&readers);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_readers_at_each_size),
		cmocka_unit_test(test_small_deployments_read_the_store),
		cmocka_unit_test(test_lost_zone),
		cmocka_unit_test(test_readers_that_fail),
		cmocka_unit_test(test_reader_whose_own_reads_fail),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
