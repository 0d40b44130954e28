#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "process/cmd.h"
#include "process/str.h"

/* One line of a log file. */
typedef struct {
	char hlc[17]; /* 16 hex digits; they sort as text */
	guint file_index; /* in the order of the arguments */
	guint line_index; /* in its file, from 0 */
	char *text;
} log_line_t;

/* Frees the text of a line. */
static void line_clear(gpointer data)
{
	log_line_t *line = data;

	g_free(line->text);
}

/* Orders lines by stamp, then by file and by place in the file. */
static int compare_lines(gconstpointer a, gconstpointer b)
{
	const log_line_t *x = a;
	const log_line_t *y = b;
	int order = strcmp(x->hlc, y->hlc);

	if (order == 0)
		order = (x->file_index > y->file_index) -
			(x->file_index < y->file_index);
	if (order == 0)
		order = (x->line_index > y->line_index) -
			(x->line_index < y->line_index);
	return order;
}

/*
 * Copies the stamp of a line. Returns whether the line starts with "hlc=", 16
 * hex digits and a space.
 */
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

/* Returns whether a line has the pair "request=ID". */
static bool has_request_id(const char *text, const char *request)
{
	char *pair = g_strdup_printf(" request=%s", request);
	const char *at = strstr(text, pair);
	bool found = at && (at[strlen(pair)] == ' ' || !at[strlen(pair)]);

	g_free(pair);
	return found;
}

/*
 * Appends the lines of a log file, or only those of one request. Prints an
 * error for each line without a stamp. Returns false if the file cannot be
 * read.
 */
static bool read_file(const char *path, guint file_index, const char *request,
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
		log_line_t line = {.file_index = file_index, .line_index = i};

		if (!*parts[i])
			continue;
		if (!parse_hlc(parts[i], line.hlc)) {
			fprintf(stderr,
				"%s:%u: expected a line that starts with "
				"hlc=\n",
				path, i + 1);
			continue;
		}
		if (request && !has_request_id(parts[i], request))
			continue;
		line.text = g_strdup(parts[i]);
		g_array_append_val(lines, line);
	}
	g_strfreev(parts);
	return true;
}

/* Prints the lines of all log files in order. Returns the exit code. */
static int print_timeline(struct arg_file *logs, const char *request)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(log_line_t));
	int code = EXIT_CODE_OK;

	g_array_set_clear_func(lines, line_clear);
	for (int i = 0; i < logs->count; i++)
		if (!read_file(logs->filename[i], (guint)i, request, lines))
			code = EXIT_CODE_BAD_INPUT;
	g_array_sort(lines, compare_lines);
	for (guint i = 0; i < lines->len; i++)
		puts(g_array_index(lines, log_line_t, i).text);
	g_array_unref(lines);
	return code;
}

/*
 * Merges log files in the order of their hybrid logical clock stamps. Lines
 * without a stamp are reported on standard error and left out.
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
