/* A strict reader of the Prometheus text format, for the metrics pages. */
#ifndef SUPPORT_METRICS_H
#define SUPPORT_METRICS_H

#include <glib.h>
#include <stdbool.h>

typedef struct {
	char *series; /* name with its labels, as written */
	char *name;
	char *labels; /* between the braces; empty: none */
	double value;
} sample_t;

typedef struct {
	char *name;
	char *type;
	GPtrArray *samples; /* of sample_t */
} family_t;

typedef struct {
	GPtrArray *families; /* of family_t */
	char *error; /* the first one, or NULL */
} metrics_page_t;

void metrics_page_read(metrics_page_t *page, const char *text);
void metrics_page_finish(metrics_page_t *page);
bool metrics_page_has(const metrics_page_t *page, const char *series,
		      double value);

#endif
