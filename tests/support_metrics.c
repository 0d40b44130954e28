#include "support_metrics.h"

#include <math.h>
#include <string.h>

/* Records an error if it is the first one. */
static void fail(metrics_page_t *page, const char *what, const char *line)
{
	if (!page->error)
		page->error = g_strdup_printf("%s: %s", what, line);
}

/* Frees a sample_t. */
static void free_sample(gpointer data)
{
	sample_t *sample = data;

	g_free(sample->series);
	g_free(sample->name);
	g_free(sample->labels);
	g_free(sample);
}

/* Frees a family_t with its samples. */
static void free_family(gpointer data)
{
	family_t *family = data;

	g_free(family->name);
	g_free(family->type);
	g_ptr_array_unref(family->samples);
	g_free(family);
}

/* Returns the length of the metric or label name that a text starts with. */
static size_t name_length(const char *text)
{
	return strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789_");
}

/* Returns the length of NAME="VALUE"[,...], or 0 if it is malformed. */
static size_t labels_length(const char *text)
{
	const char *at = text;

	for (;;) {
		size_t n = name_length(at);

		if (n == 0 || at[n] != '=' || at[n + 1] != '"')
			return 0;
		for (at += n + 2; *at && *at != '"'; at++) {
			if (*at == '\\' && !strchr("\\\"n", *++at))
				return 0;
		}
		if (*at++ != '"')
			return 0;
		if (*at != ',')
			return (size_t)(at - text);
		at++;
	}
}

/* Returns the family that the last lines belong to, or NULL. */
static family_t *last_family(const metrics_page_t *page)
{
	return page->families->len ? g_ptr_array_index(page->families,
						       page->families->len - 1)
				   : NULL;
}

/* Reads a HELP line, which begins a family, or the TYPE line after it. */
static void read_comment(metrics_page_t *page, const char *line)
{
	char **words = g_strsplit(line, " ", 4);
	family_t *family = last_family(page);

	if (g_strv_length(words) != 4) {
		fail(page, "comment is neither HELP nor TYPE", line);
	} else if (g_str_equal(words[1], "HELP")) {
		for (guint i = 0; i < page->families->len; i++) {
			family_t *other = g_ptr_array_index(page->families, i);

			if (g_str_equal(other->name, words[2]))
				fail(page, "family appears twice", line);
		}
		family = g_new0(family_t, 1);
		family->name = g_strdup(words[2]);
		family->samples = g_ptr_array_new_with_free_func(free_sample);
		g_ptr_array_add(page->families, family);
	} else if (!g_str_equal(words[1], "TYPE") || !family ||
		   !g_str_equal(family->name, words[2]) || family->type) {
		fail(page, "TYPE without its HELP", line);
	} else {
		family->type = g_strdup(words[3]);
	}
	g_strfreev(words);
}

/*
 * Returns whether a sample of this name may stand in the family: its own name,
 * or that of a part of a histogram.
 */
static bool is_in_family(const family_t *family, const char *name)
{
	static const char *const parts[] = {"_bucket", "_sum", "_count"};
	size_t len = strlen(family->name);

	if (!g_str_equal(family->type, "histogram"))
		return g_str_equal(name, family->name);
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		if (g_str_has_prefix(name, family->name) &&
		    g_str_equal(name + len, parts[i]))
			return true;
	}
	return false;
}

/* Reads a sample line of the last family. */
static void read_sample(metrics_page_t *page, const char *line)
{
	family_t *family = last_family(page);
	size_t n = name_length(line);
	size_t labels = line[n] == '{' ? labels_length(line + n + 1) : 0;
	const char *rest = line + n + (line[n] == '{' ? labels + 2 : 0);
	sample_t *sample;
	char *end;

	if (n == 0 || (line[n] == '{' && (labels == 0 || rest[-1] != '}')) ||
	    *rest != ' ') {
		fail(page, "malformed sample", line);
		return;
	}
	sample = g_new0(sample_t, 1);
	sample->series = g_strndup(line, (size_t)(rest - line));
	sample->name = g_strndup(line, n);
	sample->labels = g_strndup(line + n + 1, labels);
	sample->value = g_ascii_strtod(rest + 1, &end);
	if (end == rest + 1 || *end)
		fail(page, "value is no number", line);
	if (!family || !family->type || !is_in_family(family, sample->name)) {
		fail(page, "sample outside of its family", line);
		free_sample(sample);
		return;
	}
	for (guint i = 0; i < family->samples->len; i++) {
		sample_t *other = g_ptr_array_index(family->samples, i);

		if (g_str_equal(other->series, sample->series))
			fail(page, "series appears twice", line);
	}
	g_ptr_array_add(family->samples, sample);
}

/*
 * Checks that the name says the unit: counters end in _total, and times are in
 * seconds.
 */
static void check_name(metrics_page_t *page, const family_t *family)
{
	bool counter = family->type && g_str_equal(family->type, "counter");

	if (!family->type)
		fail(page, "family without a type", family->name);
	if (counter != g_str_has_suffix(family->name, "_total"))
		fail(page, "_total is for counters", family->name);
	if (strstr(family->name, "_ms") || strstr(family->name, "_us") ||
	    strstr(family->name, "milli"))
		fail(page, "unit is not the base unit", family->name);
	if (family->type && g_str_equal(family->type, "histogram") &&
	    !g_str_has_suffix(family->name, "_seconds"))
		fail(page, "histogram without a unit", family->name);
}

/*
 * Checks that the bounds and counts of the buckets of each series rise, that
 * the last bucket is +Inf and that it equals the count.
 */
static void check_buckets(metrics_page_t *page, const family_t *family)
{
	double bound = -1, below = 0;

	for (guint i = 0; i < family->samples->len; i++) {
		const sample_t *sample = g_ptr_array_index(family->samples, i);
		const char *le = strstr(sample->labels, "le=\"");

		if (g_str_has_suffix(sample->name, "_bucket")) {
			double next;

			if (!le) {
				fail(page, "bucket without le", sample->series);
				continue;
			}
			next = g_str_has_prefix(le + 4, "+Inf")
				       ? INFINITY
				       : g_ascii_strtod(le + 4, NULL);
			if (next <= bound || sample->value < below)
				fail(page, "buckets do not rise",
				     sample->series);
			bound = next;
			below = sample->value;
		} else if (g_str_has_suffix(sample->name, "_count")) {
			if (!isinf(bound) || sample->value != below)
				fail(page, "count is not the last bucket",
				     sample->series);
			bound = -1;
			below = 0;
		}
	}
}

/* Reads a whole page. `error` describes the first error, with its line. */
void metrics_page_read(metrics_page_t *page, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	guint n = g_strv_length(lines);

	page->families = g_ptr_array_new_with_free_func(free_family);
	page->error = NULL;
	if (n == 0 || *lines[n - 1])
		fail(page, "last line has no end", n ? lines[n - 1] : "");
	for (guint i = 0; i + 1 < n; i++) {
		if (lines[i][0] == '#')
			read_comment(page, lines[i]);
		else
			read_sample(page, lines[i]);
	}
	for (guint i = 0; i < page->families->len; i++) {
		const family_t *family = g_ptr_array_index(page->families, i);

		check_name(page, family);
		if (family->type && g_str_equal(family->type, "histogram"))
			check_buckets(page, family);
	}
	g_strfreev(lines);
}

/* Frees what metrics_page_read() allocated. */
void metrics_page_finish(metrics_page_t *page)
{
	g_ptr_array_unref(page->families);
	g_free(page->error);
}

/* Returns whether a series, written with its labels, has a value. */
bool metrics_page_has(const metrics_page_t *page, const char *series,
		      double value)
{
	for (guint i = 0; i < page->families->len; i++) {
		const family_t *family = g_ptr_array_index(page->families, i);

		for (guint j = 0; j < family->samples->len; j++) {
			const sample_t *sample =
				g_ptr_array_index(family->samples, j);

			if (g_str_equal(sample->series, series))
				return sample->value == value;
		}
	}
	return false;
}
