/* Subcommands of the program, and their exit codes. */
#ifndef PROCESS_CMD_H
#define PROCESS_CMD_H

/* Exit codes of all subcommands. */
typedef enum {
	EXIT_CODE_OK = 0,
	EXIT_CODE_INTERNAL = 1,
	EXIT_CODE_BAD_INPUT = 2, /* invalid arguments or file */
	EXIT_CODE_REFUSED = 3, /* by the platform, a VM or another version */
	EXIT_CODE_UNREACHABLE = 4,
	EXIT_CODE_UNKNOWN = 5, /* a write may have taken effect or not */
} exit_code_t;

/* Each subcommand takes its name as argv[0] and returns an exit_code_t. */
int cmd_apply(int argc, char **argv);
int cmd_check(int argc, char **argv);
int cmd_entry(int argc, char **argv);
int cmd_serve(int argc, char **argv);
int cmd_show(int argc, char **argv);
int cmd_status(int argc, char **argv);
int cmd_timeline(int argc, char **argv);

#endif
