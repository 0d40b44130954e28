#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "process/cmd.h"

/* A subcommand: its name, its function and one line of help. */
typedef struct {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
} command_t;

static const command_t commands[] = {
	{"apply", cmd_apply, "submit a desired state as the next version"},
	{"check", cmd_check, "check a settings file or a desired state"},
	{"entry", cmd_entry, "run an entry VM on the users' platform"},
	{"serve", cmd_serve, "run the process of an entry VM"},
	{"show", cmd_show, "show the version in effect"},
	{"status", cmd_status,
	 "show the servers, members and leases a VM knows"},
	{"timeline", cmd_timeline, "merge the logs of several processes"},
};

/* Prints the subcommands and the exit codes. */
static void print_help(FILE *out)
{
	fputs("Usage: gooseberryspur COMMAND [OPTION...]\n\nCommands:\n", out);
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		fprintf(out, "  %-10s %s\n", commands[i].name,
			commands[i].help);
	fputs("\nExit codes: 0 success, 1 internal error, 2 bad input, "
	      "3 refused, 4 unreachable,\n5 outcome unknown. "
	      "`gooseberryspur COMMAND --help` shows a command's options.\n",
	      out);
}

/* Runs the subcommand that the first argument names. Returns its exit code. */
int main(int argc, char **argv)
{
	if (argc >= 2 && !strcmp(argv[1], "--version")) {
		puts("gooseberryspur " GOOSEBERRYSPUR_VERSION);
		return EXIT_CODE_OK;
	}
	if (argc >= 2 && !strcmp(argv[1], "--help")) {
		print_help(stdout);
		return EXIT_CODE_OK;
	}
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		if (argc >= 2 && !strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	if (argc >= 2)
		fprintf(stderr, "gooseberryspur: unknown command: %s\n",
			argv[1]);
	print_help(stderr);
	return EXIT_CODE_BAD_INPUT;
}
