#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "process/cmd.h"
#include "process/str.h"

typedef struct {
	char hlc[17]; /* 16 hex digits, ordered as text */
	guint file;
	guint number; /* of the line in its file */
	char *text;
} line_t;

static void line_clear(gpointer data)
{
	line_t *line = data;

	g_free(line->text);
}

static int compare_lines(gconstpointer a, gconstpointer b)
{
	const line_t *x = a;
	const line_t *y = b;
	int order = strcmp(x->hlc, y->hlc);

	if (order == 0)
		order = (x->file > y->file) - (x->file < y->file);
	if (order == 0)
		order = (x->number > y->number) - (x->number < y->number);
	return order;
}

/* Tells whether the line starts with "hlc=" and 16 hex digits. */
static bool parse_hlc(const char *text, char hlc[17])
{
	if (strncmp(text, "hlc=", 4) != 0)
		return false;
	for (int i = 0; i < 16; i++)
		if (!g_ascii_isxdigit(text[4 + i]))
			return false;
	memcpy(hlc, text + 4, 16);
	hlc[16] = '\0';
	return text[20] == ' ';
}

/* Tells whether a line has the pair " request=ID ". */
static bool mentions(const char *text, const char *request)
{
	char *pair = g_strdup_printf(" request=%s", request);
	const char *at = strstr(text, pair);
	bool found = at && (at[strlen(pair)] == ' ' || !at[strlen(pair)]);

	g_free(pair);
	return found;
}

static bool read_file(const char *path, guint file, const char *request,
		      GArray *lines)
{
	char *content;
	char **parts;

	if (!g_file_get_contents(path, &content, NULL, NULL)) {
		fprintf(stderr, "%s: cannot be read\n", path);
		return false;
	}
	parts = g_strsplit(content, "\n", -1);
	g_free(content);
	for (guint i = 0; parts[i]; i++) {
		line_t line = {.file = file, .number = i};

		if (!*parts[i])
			continue;
		if (!parse_hlc(parts[i], line.hlc)) {
			fprintf(stderr, "%s:%u: expected hlc=\n", path, i + 1);
			continue;
		}
		if (request && !mentions(parts[i], request))
			continue;
		line.text = g_strdup(parts[i]);
		g_array_append_val(lines, line);
	}
	g_strfreev(parts);
	return true;
}

static int print_timeline(struct arg_file *logs, const char *request)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(line_t));
	int code = EXIT_CODE_OK;

	g_array_set_clear_func(lines, line_clear);
	for (int i = 0; i < logs->count; i++)
		if (!read_file(logs->filename[i], (guint)i, request, lines))
			code = EXIT_CODE_BAD_INPUT;
	g_array_sort(lines, compare_lines);
	for (guint i = 0; i < lines->len; i++)
		puts(g_array_index(lines, line_t, i).text);
	g_array_unref(lines);
	return code;
}

/*
 * Merges log files into one time line in the order of their hybrid logical
 * clocks. Lines without a stamp are reported on standard error and left out.
 */
int cmd_timeline(int argc, char **argv)
{
	struct arg_str *request =
		arg_str0(NULL, "request", "ID", "only events of one request");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_file *logs =
		arg_filen(NULL, NULL, "LOG", 0, 1024, "log files to merge");
	struct arg_end *end = arg_end(8);
	void *table[] = {request, help, logs, end};
	int errors = arg_parse(argc, argv, table);
	int code = EXIT_CODE_OK;

	if (help->count) {
		arg_print_glossary(stdout, table, "  %-24s %s\n");
	} else if (errors || logs->count == 0) {
		arg_print_errors(stderr, end, "gooseberryspur timeline");
		if (!errors)
			fputs("gooseberryspur timeline: expected a log file\n",
			      stderr);
		code = EXIT_CODE_BAD_INPUT;
	} else {
		code = print_timeline(logs,
				      request->count ? request->sval[0] : NULL);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
