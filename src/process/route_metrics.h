/*
 * Request results and latency histograms of each route, in the Prometheus text
 * format. Times are printed in seconds, the base unit of that format.
 */
#ifndef PROCESS_ROUTE_METRICS_H
#define PROCESS_ROUTE_METRICS_H

#include <glib.h>
#include <stdint.h>

/*
 * Most routes that are counted separately. Further ones are counted together
 * as ROUTE_METRICS_OTHER, so that the page does not grow with each route that
 * is added or renamed.
 */
#define ROUTE_METRICS_MAX_ROUTES 64
#define ROUTE_METRICS_OTHER "other"

/* Times that are recorded for each route; route_metrics.c describes each. */
typedef enum {
	HISTOGRAM_REQUEST, /* from the request to the end of its answer */
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
	RESULT_SERVER_ERROR, /* a backend server's error, relayed */
	RESULT_REFUSED, /* with a verdict that it has not run */
	RESULT_FAILED, /* with a verdict that it may have run */
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
