/* Results and latency histograms of each route, printed in the Prometheus text
 * format with its base unit, the second.
 */
#ifndef PROCESS_ROUTE_METRICS_H
#define PROCESS_ROUTE_METRICS_H

#include <glib.h>
#include <stdint.h>

/* Routes with series of their own; all later ones share one. */
#define ROUTE_METRICS_MAX_ROUTES 64
#define ROUTE_METRICS_OTHER "other"

typedef enum {
	HISTOGRAM_REQUEST, /* whole time of a request that was answered */
	HISTOGRAM_QUEUE,
	HISTOGRAM_PREFILL,
	HISTOGRAM_HAND_OVER,
	HISTOGRAM_FIRST_TOKEN,
	HISTOGRAM_INTER_TOKEN,
	HISTOGRAM_CANCEL,
	HISTOGRAMS_N,
} histogram_t;

/* How a request ended. */
typedef enum {
	RESULT_OK,
	RESULT_SERVER_ERROR, /* a backend server's own error, passed on */
	RESULT_REFUSED, /* not run */
	RESULT_FAILED, /* may have run */
	RESULT_CALLER_GONE,
	RESULTS_N,
} request_result_t;

const char *request_result_name(request_result_t result);
void route_metrics_observe(histogram_t histogram, const char *route,
			   int64_t duration_us);
void route_metrics_count(const char *route, request_result_t result);
void route_metrics_print(GString *out);
void route_metrics_reset(void);

void metrics_append_label(GString *out, const char *name, const char *value);

#endif
