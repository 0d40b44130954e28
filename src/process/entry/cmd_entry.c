#include <argtable2.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "process/cmd.h"
#include "process/entry/entry.h"
#include "process/log.h"

/* The platform sets this variable to the path of the VM's settings file. */
#define SETTINGS_VARIABLE "GOOSEBERRYSPUR_NODE_FILE"

/* Runs the process with the settings in a file. Returns its exit code. */
static int serve(const char *path)
{
	entry_settings_t settings;
	GString *errors = g_string_new(NULL);
	clock_source_t clock = clock_boottime();
	static entry_t entry;
	hlc_t hlc;
	diag_t diag;
	int code = EXIT_CODE_BAD_INPUT;

	/* SIGHUP, which asks to read the settings again, would end the process
	 * before entry_init() sets the handler. Ignoring it loses nothing, as
	 * the settings are read below.
	 */
	(void)signal(SIGHUP, SIG_IGN);
	/* So that a write to a log that nobody reads fails and ends nothing. */
	(void)signal(SIGPIPE, SIG_IGN);
	diag_init(&diag);
	if (!entry_settings_load(path, &settings, &diag)) {
		diag_print(&diag, errors);
		fputs(errors->str, stderr);
		goto out;
	}
	hlc_init(&hlc, clock_realtime());
	log_init(stdout, settings.log_level, str_from(settings.vm),
		 str_from(settings.zone), &hlc);
	log_start_buffering(STDOUT_FILENO, clock);
	if (entry_init(&entry, path, &settings, clock)) {
		entry_run(&entry);
		code = EXIT_CODE_OK;
	} else {
		fprintf(stderr, "gooseberryspur entry: cannot listen: %s\n",
			strerror(errno));
		code = EXIT_CODE_INTERNAL;
	}
	log_finish();
	entry_finish(&entry);
out:
	entry_settings_finish(&settings);
	diag_finish(&diag);
	g_string_free(errors, TRUE);
	return code;
}

/* Runs the `entry` command: the process of an entry VM on the users' platform.
 */
int cmd_entry(int argc, char **argv)
{
	struct arg_file *file = arg_file0(NULL, NULL, "FILE",
					  "settings file (default: the value "
					  "of " SETTINGS_VARIABLE ")");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {file, help, end};
	int errors = arg_parse(argc, argv, table);
	const char *path = file->count ? file->filename[0]
				       : g_getenv(SETTINGS_VARIABLE);
	int code;

	if (help->count) {
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		code = EXIT_CODE_OK;
	} else if (errors || !path) {
		arg_print_errors(stderr, end, "gooseberryspur entry");
		if (!path)
			fputs("gooseberryspur entry: no settings file\n",
			      stderr);
		code = EXIT_CODE_BAD_INPUT;
	} else {
		code = serve(path);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
