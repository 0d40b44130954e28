#include "process/route_metrics.h"

#include <inttypes.h>

#include "process/clock.h"

/* Upper bounds of the buckets, seconds. 0.046 and 0.58 are the targets between
 * tokens and for the first one.
 */
static const double bounds_s[] = {0.001, 0.002, 0.005, 0.01, 0.02, 0.046, 0.1,
				  0.2,	 0.4,	0.58,  1,    2,	   5,	  10};

typedef struct {
	uint64_t buckets[G_N_ELEMENTS(bounds_s)];
	uint64_t count;
	double sum_s;
} series_t;

typedef struct {
	series_t histograms[HISTOGRAMS_N];
	uint64_t results[RESULTS_N];
} route_pool_t;

typedef struct {
	const char *name;
	const char *help;
} family_t;

static const family_t families[HISTOGRAMS_N] = {
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

/* The name of a result in metrics and logs. */
const char *request_result_name(request_result_t result)
{
	return result_names[result];
}

static GHashTable *routes; /* name to route_pool_t */

static route_pool_t *get_route(const char *name)
{
	route_pool_t *route;

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
		route = g_new0(route_pool_t, 1);
		g_hash_table_insert(routes, g_strdup(name), route);
	}
	return route;
}

/* Records one duration. An empty route stands for what belongs to none. */
void route_metrics_observe(histogram_t histogram, const char *route,
			   int64_t duration_us)
{
	series_t *series = &get_route(route)->histograms[histogram];
	double seconds = (double)duration_us / (double)CLOCK_US_PER_S;
	size_t i = 0;

	while (i < G_N_ELEMENTS(bounds_s) && seconds > bounds_s[i])
		i++;
	if (i < G_N_ELEMENTS(bounds_s))
		series->buckets[i]++;
	series->count++;
	series->sum_s += seconds;
}

/* Records the end of one request. */
void route_metrics_count(const char *route, request_result_t result)
{
	get_route(route)->results[result]++;
}

/* Appends NAME="VALUE", escaped as the text format asks. */
void metrics_append_label(GString *out, const char *name, const char *value)
{
	g_string_append_printf(out, "%s=\"", name);
	for (const char *at = value; *at; at++) {
		if (*at == '\\' || *at == '"')
			g_string_append_c(out, '\\');
		if (*at == '\n')
			g_string_append(out, "\\n");
		else
			g_string_append_c(out, *at);
	}
	g_string_append_c(out, '"');
}

static void print_series(GString *out, const char *family, const char *route,
			 const series_t *series)
{
	GString *label = g_string_new(NULL);
	uint64_t below = 0;

	metrics_append_label(label, "route", route);
	for (size_t i = 0; i < G_N_ELEMENTS(bounds_s); i++) {
		below += series->buckets[i];
		g_string_append_printf(out,
				       "%s_bucket{%s,le=\"%g\"} %" PRIu64 "\n",
				       family, label->str, bounds_s[i], below);
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

static void print_histogram(GString *out, GList *names, histogram_t histogram)
{
	const family_t *family = &families[histogram];

	g_string_append_printf(out, "# HELP %s %s\n# TYPE %s histogram\n",
			       family->name, family->help, family->name);
	for (GList *at = names; at; at = at->next) {
		const route_pool_t *route =
			g_hash_table_lookup(routes, at->data);

		if (route->histograms[histogram].count > 0)
			print_series(out, family->name, at->data,
				     &route->histograms[histogram]);
	}
}

static void print_results(GString *out, GList *names)
{
	g_string_append(out,
			"# HELP gooseberryspur_requests_ended_total "
			"Requests by how they ended.\n"
			"# TYPE gooseberryspur_requests_ended_total counter\n");
	for (GList *at = names; at; at = at->next) {
		const route_pool_t *route =
			g_hash_table_lookup(routes, at->data);

		for (size_t i = 0; i < RESULTS_N; i++) {
			g_string_append(out,
					"gooseberryspur_requests_ended_total{");
			metrics_append_label(out, "route", at->data);
			g_string_append_printf(out,
					       ",result=\"%s\"} %" PRIu64 "\n",
					       result_names[i],
					       route->results[i]);
		}
	}
}

/* Appends all series, those of a route in a fixed order. */
void route_metrics_print(GString *out)
{
	GList *names = routes ? g_hash_table_get_keys(routes) : NULL;

	names = g_list_sort(names, (GCompareFunc)g_strcmp0);
	print_results(out, names);
	for (size_t i = 0; i < HISTOGRAMS_N; i++)
		print_histogram(out, names, (histogram_t)i);
	g_list_free(names);
}

/* Forgets everything, for tests. */
void route_metrics_reset(void)
{
	g_clear_pointer(&routes, g_hash_table_unref);
}
