/* Counts and percentiles of a load run. */
#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

#include <stdio.h>

#include "load_request.h"

typedef struct {
	int64_t offered;
	int64_t good;
} load_workspace_count_t;

typedef struct {
	const GArray *workspaces; /* of load_workspace_t */
	double first_target_ms, gap_target_ms;
	int64_t outcomes[LOAD_OUTCOMES_N];
	int64_t sent; /* with returns */
	int64_t good;
	double worth;
	int64_t returned; /* requests sent again after Retry-After */
	int64_t returned_in; /* of those, answered */
	double late_ms_max; /* of the driver itself */
	GArray *first_ms, *gaps_ms; /* of double */
	GArray *counts; /* of load_workspace_count_t, by workspace */
	FILE *results; /* one JSON line a request, or NULL */
} load_report_t;

void load_report_init(load_report_t *report, const GArray *workspaces,
		      double first_target_ms, double gap_target_ms);
void load_report_add(load_report_t *report, const load_request_t *request);
void load_report_add_gap(load_report_t *report, double gap_ms);
void load_report_print(load_report_t *report,
		       const load_plan_options_t *options, int64_t unfinished);

#endif
