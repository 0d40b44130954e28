#include <argtable2.h>
#include <stdio.h>

#include "process/apply.h"
#include "process/cmd.h"
#include "process/fields.h"
#include "process/file.h"
#include "process/toml.h"

#define DEFAULT_TIMEOUT_S 20
#define MAX_TIMEOUT_S 3600

typedef struct {
	const char *file;
	const char *platform;
	const char *author;
	const char *token; /* or NULL */
	bool has_base_version;
	uint64_t base_version;
	bool dry_run;
	bool json;
	int timeout_s;
} options_t;

static state_t *load(const char *path)
{
	state_t *state = NULL;
	GString *text;
	GString *errors = g_string_new(NULL);
	diag_t diag;

	diag_init(&diag);
	if (file_load(path, TOML_MAX_BYTES, &text, &diag)) {
		state_parse(text->str, text->len, path, &state, &diag);
		g_string_free(text, TRUE);
	}
	diag_print(&diag, errors);
	fputs(errors->str, stderr);
	g_string_free(errors, TRUE);
	diag_finish(&diag);
	return state;
}

static void on_done(void *context, const apply_t *apply)
{
	g_main_loop_quit(context);
}

static int submit(const options_t *options, state_t *state)
{
	clock_source_t wall = clock_realtime();
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	GString *out = g_string_new(NULL);
	platform_t platform;
	client_t client;
	apply_t apply = {
		.platform = &platform,
		.state = state,
		.author = options->author,
		.has_base_version = options->has_base_version,
		.base_version = options->base_version,
		.dry_run = options->dry_run,
		.time_s = (uint64_t)(clock_now(&wall) / CLOCK_US_PER_S),
		.done = on_done,
		.context = loop,
	};
	int code;

	client_init(&client, clock_boottime());
	platform_init(&platform, &client, options->platform, &APPLY_BUDGET,
		      (uint64_t)clock_now(&wall));
	platform_set_token(&platform, options->token);
	apply.deadline_us =
		clock_now(&client.clock) + options->timeout_s * CLOCK_US_PER_S;
	apply_start(&apply);
	g_main_loop_run(loop);
	code = apply_exit_code(apply.result);
	apply_report(&apply, options->file, options->json, out);
	fputs(out->str,
	      code == EXIT_CODE_OK || options->json ? stdout : stderr);
	apply_finish(&apply);
	platform_finish(&platform);
	client_finish(&client);
	g_string_free(out, TRUE);
	g_main_loop_unref(loop);
	return code;
}

static int run(const options_t *options)
{
	state_t *state;
	int code;

	if (!fields_is_address(str_from(options->platform))) {
		fprintf(stderr, "gooseberryspur apply: --platform: expected "
				"IP:port\n");
		return EXIT_CODE_BAD_INPUT;
	}
	if (!head_is_author(str_from(options->author))) {
		fprintf(stderr,
			"gooseberryspur apply: --author: expected at most %d "
			"printable characters without spaces\n",
			HEAD_AUTHOR_BYTES);
		return EXIT_CODE_BAD_INPUT;
	}
	if (options->timeout_s < 1 || options->timeout_s > MAX_TIMEOUT_S) {
		fprintf(stderr,
			"gooseberryspur apply: --timeout: expected 1 "
			"to %d\n",
			MAX_TIMEOUT_S);
		return EXIT_CODE_BAD_INPUT;
	}
	state = load(options->file);
	if (!state)
		return EXIT_CODE_BAD_INPUT;
	code = submit(options, state);
	state_unref(state);
	return code;
}

/*
 * Submits a desired state as the next_object version. Exit codes: 0 accepted or
 * unchanged, 2 invalid file, 3 refused, 4 unreachable (not accepted), 5 the
 * outcome is unknown.
 */
int cmd_apply(int argc, char **argv)
{
	struct arg_file *file = arg_file1(NULL, NULL, "FILE", "desired state");
	struct arg_str *platform = arg_str1(NULL, "platform", "IP:PORT",
					    "address of the platform");
	struct arg_int *base_version =
		arg_int0(NULL, "base", "VERSION",
			 "refuse unless this version is in "
			 "effect; 0: none");
	struct arg_lit *dry_run =
		arg_lit0(NULL, "dry-run", "show the differences only");
	struct arg_str *author =
		arg_str0(NULL, "author", "NAME", "recorded with the version");
	struct arg_str *token = arg_str0(NULL, "token", "TOKEN",
					 "bearer token for the platform");
	struct arg_int *timeout = arg_int0(NULL, "timeout", "SECONDS",
					   "time limit, 20 by default");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {file,	platform, base_version, dry_run, author,
			 token, timeout,  json,		help,	 end};
	int errors = arg_parse(argc, argv, table);
	int code = EXIT_CODE_BAD_INPUT;

	if (help->count) {
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		code = EXIT_CODE_OK;
	} else if (errors) {
		arg_print_errors(stderr, end, "gooseberryspur apply");
	} else if (base_version->count && base_version->ival[0] < 0) {
		fputs("gooseberryspur apply: --base: expected 0 or more\n",
		      stderr);
	} else {
		options_t options = {
			.file = file->filename[0],
			.platform = platform->sval[0],
			.author = author->count ? author->sval[0]
						: g_get_user_name(),
			.token = token->count ? token->sval[0] : NULL,
			.has_base_version = base_version->count > 0,
			.base_version =
				base_version->count
					? (uint64_t)base_version->ival[0]
					: 0,
			.dry_run = dry_run->count > 0,
			.json = json->count > 0,
			.timeout_s = timeout->count ? timeout->ival[0]
						    : DEFAULT_TIMEOUT_S,
		};

		code = run(&options);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
