#include <argtable2.h>
#include <stdio.h>

#include "process/check.h"
#include "process/cmd.h"

/* Checks a file, prints the result and returns the exit code. */
static int check(const char *path, bool json)
{
	GString *out = g_string_new(NULL);
	check_kind_t kind;
	diag_t diag;
	bool valid;

	diag_init(&diag);
	kind = check_file(path, &diag);
	valid = diag_is_empty(&diag);
	check_report(path, kind, &diag, json, out);
	/* A program that asks for JSON reads it from standard output. */
	fputs(out->str, valid || json ? stdout : stderr);
	diag_finish(&diag);
	g_string_free(out, TRUE);
	return valid ? EXIT_CODE_OK : EXIT_CODE_BAD_INPUT;
}

/* Checks a settings file or a desired state without applying it. */
int cmd_check(int argc, char **argv)
{
	struct arg_file *file =
		arg_file1(NULL, NULL, "FILE", "settings file or desired state");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {file, json, help, end};
	int errors = arg_parse(argc, argv, table);
	int code;

	if (help->count) {
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		code = EXIT_CODE_OK;
	} else if (errors) {
		arg_print_errors(stderr, end, "gooseberryspur check");
		code = EXIT_CODE_BAD_INPUT;
	} else {
		code = check(file->filename[0], json->count > 0);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
