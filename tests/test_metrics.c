/* Checks the metrics page with a strict parser of the Prometheus format. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "process/clock.h"
#include "process/counters.h"
#include "process/route_metrics.h"
#include "support_metrics.h"

/* Prints all metrics and parses them. */
static void read_page(metrics_page_t *page)
{
	GString *text = g_string_new(NULL);

	counters_print(text);
	route_metrics_print(text);
	metrics_page_read(page, text->str);
	if (page->error)
		print_message("%s\n", page->error);
	g_string_free(text, TRUE);
}

/*
 * Guards against a parser of the tests that accepts malformed pages, with
 * which the other tests could not fail.
 */
static void test_reader_is_strict(void **state)
{
	static const char *const malformed_pages[] = {
		"a_total 1\n", /* no family */
		"# HELP a_total x\n# TYPE a_total counter\na_total 1",
		"# HELP a_total x\n# TYPE a_total counter\nb_total 1\n",
		"# HELP a_total x\n# TYPE a_total counter\na_total x\n",
		"# HELP a_total x\n# TYPE a_total counter\n"
		"a_total 1\na_total 2\n",
		"# HELP a_total x\n# TYPE a_total counter\n"
		"a_total{b=\"\"c\"} 1\n",
		"# HELP a x\n# TYPE a counter\na 1\n",
		"# HELP a_ms x\n# TYPE a_ms histogram\n",
		"# HELP a_seconds x\n# TYPE a_seconds histogram\n"
		"a_seconds_bucket{le=\"1\"} 2\n"
		"a_seconds_bucket{le=\"+Inf\"} 1\n"
		"a_seconds_sum 1\na_seconds_count 1\n",
		"# HELP a_seconds x\n# TYPE a_seconds histogram\n"
		"a_seconds_bucket{le=\"1\"} 1\n"
		"a_seconds_sum 1\na_seconds_count 1\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(malformed_pages); i++) {
		metrics_page_t page;

		print_message("case %zu\n", i);
		metrics_page_read(&page, malformed_pages[i]);
		assert_non_null(page.error);
		metrics_page_finish(&page);
	}
}

/*
 * Guards against histograms whose buckets are not cumulative or whose times
 * are not in seconds.
 */
static void test_histograms(void **state)
{
	metrics_page_t page;

	counters_reset();
	route_metrics_reset();
	route_metrics_observe(HISTOGRAM_QUEUE, "r-1", 3 * CLOCK_US_PER_MS);
	route_metrics_observe(HISTOGRAM_QUEUE, "r-1", 30 * CLOCK_US_PER_S);
	route_metrics_observe(HISTOGRAM_QUEUE, "r-2", 580 * CLOCK_US_PER_MS);
	route_metrics_count("r-1", RESULT_REFUSED);
	read_page(&page);
	assert_null(page.error);
	assert_true(metrics_page_has(
		&page,
		"gooseberryspur_queue_seconds_bucket{route=\"r-1\","
		"le=\"0.002\"}",
		0));
	assert_true(metrics_page_has(
		&page,
		"gooseberryspur_queue_seconds_bucket{route=\"r-1\","
		"le=\"0.005\"}",
		1));
	assert_true(metrics_page_has(
		&page,
		"gooseberryspur_queue_seconds_bucket{route=\"r-1\","
		"le=\"+Inf\"}",
		2));
	assert_true(metrics_page_has(
		&page, "gooseberryspur_queue_seconds_sum{route=\"r-1\"}",
		30.003));
	assert_true(metrics_page_has(
		&page,
		"gooseberryspur_queue_seconds_bucket{route=\"r-2\","
		"le=\"0.58\"}",
		1));
	assert_true(metrics_page_has(
		&page,
		"gooseberryspur_requests_ended_total{route=\"r-1\","
		"result=\"refused\"}",
		1));
	metrics_page_finish(&page);
}

/*
 * Guards against a route name from the configuration that ends a label early
 * and so breaks or forges a line of the page.
 */
static void test_names_are_escaped(void **state)
{
	metrics_page_t page;

	route_metrics_reset();
	route_metrics_count("a\"} 1\nforged_total 2\\", RESULT_OK);
	read_page(&page);
	assert_null(page.error);
	assert_true(metrics_page_has(
		&page,
		"gooseberryspur_requests_ended_total{"
		"route=\"a\\\"} 1\\nforged_total 2\\\\\",result=\"ok\"}",
		1));
	metrics_page_finish(&page);
}

/*
 * Guards against a page that grows with each route that a configuration adds
 * or renames while the process runs.
 */
static void test_routes_are_bounded(void **state)
{
	metrics_page_t page;
	guint samples = 0;

	route_metrics_reset();
	for (unsigned i = 0; i < 10 * ROUTE_METRICS_MAX_ROUTES; i++) {
		char *route = g_strdup_printf("r-%u", i);

		route_metrics_count(route, RESULT_OK);
		g_free(route);
	}
	read_page(&page);
	assert_null(page.error);
	for (guint i = 0; i < page.families->len; i++) {
		const family_t *family = g_ptr_array_index(page.families, i);

		if (g_str_equal(family->name,
				"gooseberryspur_requests_ended_total"))
			samples = family->samples->len;
	}
	assert_int_equal(samples, (ROUTE_METRICS_MAX_ROUTES + 1) * RESULTS_N);
	assert_true(metrics_page_has(&page,
				     "gooseberryspur_requests_ended_total{"
				     "route=\"other\",result=\"ok\"}",
				     9 * ROUTE_METRICS_MAX_ROUTES));
	metrics_page_finish(&page);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reader_is_strict),
		cmocka_unit_test(test_histograms),
		cmocka_unit_test(test_names_are_escaped),
		cmocka_unit_test(test_routes_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
