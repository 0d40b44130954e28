/* Strict parser of the Prometheus text format, for tests of metrics pages. */
#ifndef SUPPORT_METRICS_H
#define SUPPORT_METRICS_H

#include <glib.h>
#include <stdbool.h>

/* One sample line. */
typedef struct {
	char *series; /* name with its labels, as written */
	char *name;
	char *labels; /* between the braces; empty: none */
	double value;
} sample_t;

/* A metric family: HELP, TYPE and the samples that follow. */
typedef struct {
	char *name;
	char *type;
	GPtrArray *samples; /* of sample_t */
} family_t;

/* A parsed page. */
typedef struct {
	GPtrArray *families; /* of family_t */
	char *error; /* the first one, or NULL */
} metrics_page_t;

void metrics_page_read(metrics_page_t *page, const char *text);
void metrics_page_finish(metrics_page_t *page);
bool metrics_page_has(const metrics_page_t *page, const char *series,
		      double value);

#endif
