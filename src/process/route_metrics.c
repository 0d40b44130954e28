#include "process/route_metrics.h"

#include <inttypes.h>

#include "process/clock.h"

/*
 * Upper bounds of the histogram buckets in seconds. 0.58 and 0.046 are the
 * default latency targets for the first token and between two tokens.
 */
static const double bucket_bounds_s[] = {0.001, 0.002, 0.005, 0.01, 0.02,
					 0.046, 0.1,   0.2,   0.4,  0.58,
					 1,	2,     5,     10};

/* One histogram of one route. */
typedef struct {
	uint64_t buckets[G_N_ELEMENTS(bucket_bounds_s)]; /* not cumulative */
	uint64_t count; /* all durations, also above the last bound */
	double sum_s;
} histogram_values_t;

/* Everything that is recorded for one route. */
typedef struct {
	histogram_values_t histograms[HISTOGRAMS_N];
	uint64_t results[RESULTS_N];
} route_metrics_t;

/* Name and help text of a histogram as they are printed. */
typedef struct {
	const char *name;
	const char *help;
} metric_family_t;

static const metric_family_t families[HISTOGRAMS_N] = {
	[HISTOGRAM_REQUEST] = {"gooseberryspur_request_seconds",
			       "Time from a request to the end of its answer."},
	[HISTOGRAM_QUEUE] = {"gooseberryspur_queue_seconds",
			     "Time queued before admission."},
	[HISTOGRAM_PREFILL] = {"gooseberryspur_prefill_seconds",
			       "Time from a start to the prefill result."},
	[HISTOGRAM_HAND_OVER] = {"gooseberryspur_hand_over_seconds",
				 "Time from a decode call to its first event."},
	[HISTOGRAM_FIRST_TOKEN] = {"gooseberryspur_first_token_seconds",
				   "Time to the first token."},
	[HISTOGRAM_INTER_TOKEN] = {"gooseberryspur_inter_token_seconds",
				   "Time between tokens."},
	[HISTOGRAM_CANCEL] = {"gooseberryspur_cancel_seconds",
			      "Time until a cancellation is confirmed."},
};

static const char *const result_names[RESULTS_N] = {
	[RESULT_OK] = "ok",
	[RESULT_SERVER_ERROR] = "server_error",
	[RESULT_REFUSED] = "refused",
	[RESULT_FAILED] = "failed",
	[RESULT_CALLER_GONE] = "caller_gone",
};

/* Returns the name of a result in metrics and logs. */
const char *request_result_name(request_result_t result)
{
	return result_names[result];
}

static GHashTable *routes; /* name to route_metrics_t; NULL until first used */

/*
 * Returns the metrics of a route, which are added if there are none. Beyond
 * ROUTE_METRICS_MAX_ROUTES routes it returns those of ROUTE_METRICS_OTHER.
 */
static route_metrics_t *get_route(const char *name)
{
	route_metrics_t *route;

	if (!routes)
		routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       g_free);
	route = g_hash_table_lookup(routes, name);
	if (route)
		return route;
	if (g_hash_table_size(routes) >= ROUTE_METRICS_MAX_ROUTES) {
		name = ROUTE_METRICS_OTHER;
		route = g_hash_table_lookup(routes, name);
	}
	if (!route) {
		route = g_new0(route_metrics_t, 1);
		g_hash_table_insert(routes, g_strdup(name), route);
	}
	return route;
}

/*
 * Records one duration. An empty route name stands for durations that belong
 * to no route.
 */
void route_metrics_observe(histogram_t histogram, const char *route,
			   int64_t duration_us)
{
	histogram_values_t *series = &get_route(route)->histograms[histogram];
	double seconds = (double)duration_us / (double)CLOCK_US_PER_S;
	size_t i = 0;

	while (i < G_N_ELEMENTS(bucket_bounds_s) &&
	       seconds > bucket_bounds_s[i])
		i++;
	if (i < G_N_ELEMENTS(bucket_bounds_s))
		series->buckets[i]++;
	series->count++;
	series->sum_s += seconds;
}

/* Counts the end of one request. */
void route_metrics_count(const char *route, request_result_t result)
{
	get_route(route)->results[result]++;
}

/*
 * Appends NAME="VALUE". Backslashes, quotes and line breaks in the value are
 * escaped, as the Prometheus text format requires.
 */
void metrics_append_label(GString *out, const char *name, const char *value)
{
	g_string_append_printf(out, "%s=\"", name);
	for (const char *c = value; *c; c++) {
		if (*c == '\\' || *c == '"')
			g_string_append_c(out, '\\');
		if (*c == '\n')
			g_string_append(out, "\\n");
		else
			g_string_append_c(out, *c);
	}
	g_string_append_c(out, '"');
}

/*
 * Appends one histogram of one route. Each bucket counts all durations up to
 * its bound, as the format requires.
 */
static void print_series(GString *out, const char *family, const char *route,
			 const histogram_values_t *series)
{
	GString *label = g_string_new(NULL);
	uint64_t cumulative_count = 0;

	metrics_append_label(label, "route", route);
	for (size_t i = 0; i < G_N_ELEMENTS(bucket_bounds_s); i++) {
		cumulative_count += series->buckets[i];
		g_string_append_printf(out,
				       "%s_bucket{%s,le=\"%g\"} %" PRIu64 "\n",
				       family, label->str, bucket_bounds_s[i],
				       cumulative_count);
	}
	g_string_append_printf(out,
			       "%s_bucket{%s,le=\"+Inf\"} %" PRIu64
			       "\n%s_sum{%s} %.6f\n"
			       "%s_count{%s} %" PRIu64 "\n",
			       family, label->str, series->count, family,
			       label->str, series->sum_s, family, label->str,
			       series->count);
	g_string_free(label, TRUE);
}

/* Appends one histogram of all routes that have recorded a duration in it. */
static void print_histogram(GString *out, GList *names, histogram_t histogram)
{
	const metric_family_t *family = &families[histogram];

	g_string_append_printf(out, "# HELP %s %s\n# TYPE %s histogram\n",
			       family->name, family->help, family->name);
	for (GList *node = names; node; node = node->next) {
		const route_metrics_t *route =
			g_hash_table_lookup(routes, node->data);

		if (route->histograms[histogram].count > 0)
			print_series(out, family->name, node->data,
				     &route->histograms[histogram]);
	}
}

/* Appends the number of requests by route and result. */
static void print_results(GString *out, GList *names)
{
	g_string_append(out,
			"# HELP gooseberryspur_requests_ended_total "
			"Requests by how they ended.\n"
			"# TYPE gooseberryspur_requests_ended_total counter\n");
	for (GList *node = names; node; node = node->next) {
		const route_metrics_t *route =
			g_hash_table_lookup(routes, node->data);

		for (size_t i = 0; i < RESULTS_N; i++) {
			g_string_append(out,
					"gooseberryspur_requests_ended_total{");
			metrics_append_label(out, "route", node->data);
			g_string_append_printf(out,
					       ",result=\"%s\"} %" PRIu64 "\n",
					       result_names[i],
					       route->results[i]);
		}
	}
}

/* Appends the metrics of all routes, in the order of their names. */
void route_metrics_print(GString *out)
{
	GList *names = routes ? g_hash_table_get_keys(routes) : NULL;

	names = g_list_sort(names, (GCompareFunc)g_strcmp0);
	print_results(out, names);
	for (size_t i = 0; i < HISTOGRAMS_N; i++)
		print_histogram(out, names, (histogram_t)i);
	g_list_free(names);
}

/* Discards all recorded values, for tests. */
void route_metrics_reset(void)
{
	g_clear_pointer(&routes, g_hash_table_unref);
}
