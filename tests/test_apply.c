#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib/gstdio.h>

#include "process/apply.h"
#include "process/cmd.h"
#include "support_http.h"
#include "support_process.h"
#include "support_state.h"

#define ROW_PATH "/table/state/d"

static process_t process;
static char *address;
static client_t client;

/* A submission by one author, with a platform client of its own. */
typedef struct {
	platform_t platform;
	apply_t apply;
	state_t *state;
	bool done;
} submission_t;

/* Starts the stand-in for the platform, which all tests share. */
static int start_platform(void **state)
{
	address = process_start_listening(&process, "fake_platform",
					  (const char *[]){NULL});
	client_init(&client, clock_boottime());
	return address ? 0 : -1;
}

/* Ends the stand-in. */
static int stop_platform(void **state)
{
	client_finish(&client);
	process_finish(&process);
	g_free(address);
	return 0;
}

/* Takes the outcome, which must come only once. */
static void on_done(void *context, const apply_t *apply)
{
	submission_t *submission = context;

	assert_false(submission->done);
	submission->done = true;
}

/* Starts to submit a state in which a workspace has this request rate. */
static void submit(submission_t *submission, const char *author, double rate,
		   int64_t limit_ms)
{
	GString *text = support_state_text(4, 30);

	support_state_add_workspace(text, 1000, rate);
	memset(submission, 0, sizeof(*submission));
	submission->state = support_state_parse(text->str);
	platform_init(&submission->platform, &client, address,
		      &(platform_budget_t){1000, 1000, 1}, 7);
	submission->apply.platform = &submission->platform;
	submission->apply.state = submission->state;
	submission->apply.author = author;
	submission->apply.deadline_us =
		clock_now(&client.clock) + limit_ms * CLOCK_US_PER_MS;
	submission->apply.done = on_done;
	submission->apply.context = submission;
	apply_start(&submission->apply);
	g_string_free(text, TRUE);
}

/* Runs the main loop until the outcome is known. */
static void wait_for(submission_t *submission)
{
	while (!submission->done)
		g_main_context_iteration(NULL, TRUE);
}

/* Frees a submission. */
static void finish(submission_t *submission)
{
	apply_finish(&submission->apply);
	platform_finish(&submission->platform);
	state_unref(submission->state);
}

/* Submits a state and returns the result. */
static apply_result_t submit_once(const char *author, double rate,
				  int64_t limit_ms)
{
	submission_t submission;
	apply_result_t result;

	submit(&submission, author, rate, limit_ms);
	wait_for(&submission);
	result = submission.apply.result;
	finish(&submission);
	return result;
}

/* Reads the row of the deployment; the caller frees the answer. */
static http_answer_t get_row(head_t *head)
{
	http_answer_t answer = http_get(address, ROW_PATH);

	assert_int_equal(answer.status, 200);
	assert_true(head_parse(head, (str_t){answer.text, answer.len}));
	return answer;
}

/* Returns the head in the row of the deployment. */
static head_t read_head(void)
{
	head_t head;
	http_answer_t answer = get_row(&head);

	http_answer_finish(&answer);
	return head;
}

/*
 * Guards against versions that do not rise by one with each change, or that
 * rise without a change, and against writes of unchanged parts.
 */
static void test_versions_rise(void **unused)
{
	submission_t submission;
	head_t head;

	submit(&submission, "ann", 1, 5000);
	wait_for(&submission);
	assert_int_equal(submission.apply.result, APPLY_ACCEPTED);
	assert_int_equal(submission.apply.version, 1);
	assert_int_equal(submission.apply.n_parts,
			 submission.apply.n_changed_parts);
	finish(&submission);
	assert_int_equal(submit_once("ann", 1, 5000), APPLY_UNCHANGED);
	submit(&submission, "ann", 2, 5000);
	wait_for(&submission);
	assert_int_equal(submission.apply.result, APPLY_ACCEPTED);
	assert_int_equal(submission.apply.n_changed_parts, 1);
	/* The part, the manifest and the delta. */
	assert_int_equal(submission.apply.n_uploaded, 3);
	finish(&submission);
	head = read_head();
	assert_int_equal(head.version, 2);
	assert_int_equal(head.n_deltas, 1);
	assert_int_equal(head_find_past(&head, 1)->version, 1);
}

/*
 * Guards against two operators who submit at the same time and are both told
 * "accepted", although the version of one replaced that of the other.
 */
static void test_one_of_two_wins(void **unused)
{
	uint64_t before = read_head().version;

	for (int round = 0; round < 10; round++) {
		submission_t a, b;
		submission_t *winner, *loser;
		head_t head;

		submit(&a, "ann", 100 + round, 5000);
		submit(&b, "bob", 200 + round, 5000);
		wait_for(&a);
		wait_for(&b);
		winner = a.apply.result == APPLY_ACCEPTED ? &a : &b;
		loser = winner == &a ? &b : &a;
		assert_int_equal(winner->apply.result, APPLY_ACCEPTED);
		assert_int_equal(loser->apply.result, APPLY_REFUSED);
		head = read_head();
		assert_int_equal(head.version, ++before);
		assert_string_equal(head.author, winner->apply.author);
		assert_string_equal(loser->apply.winner.author, head.author);
		assert_non_null(
			strstr(loser->apply.differences->str,
			       "~ customers customer-1000: requests_s"));
		finish(&a);
		finish(&b);
	}
}

/* Guards against an outdated file that silently replaces a newer version. */
static void test_outdated_base_is_refused(void **unused)
{
	submission_t submission;
	uint64_t version = read_head().version;

	submit(&submission, "eve", 5, 5000);
	submission.apply.has_base_version = true;
	submission.apply.base_version = version - 1;
	wait_for(&submission);
	assert_int_equal(submission.apply.result, APPLY_REFUSED);
	assert_int_equal(submission.apply.winner.version, version);
	assert_true(submission.apply.differences->len > 0);
	finish(&submission);
	assert_int_equal(read_head().version, version);
}

/* Guards against a dry run that writes. */
static void test_dry_run_writes_nothing(void **unused)
{
	submission_t submission;
	char *before = http_get_record(address);
	char *after;

	submit(&submission, "ann", 77, 5000);
	submission.apply.dry_run = true;
	wait_for(&submission);
	assert_int_equal(submission.apply.result, APPLY_DRY_RUN);
	assert_non_null(strstr(submission.apply.differences->str, "-> 77"));
	finish(&submission);
	after = http_get_record(address);
	assert_null(strstr(after + strlen(before) / 2, "\"77\""));
	g_free(before);
	g_free(after);
}

/* Ends all faults of the stand-in. */
#define NO_FAULTS                                                    \
	"{\"late_write_ms\":0,\"outage\":0,\"unreachable\":0,"       \
	"\"lose_write_answer\":0,\"lose_read_answer\":0,\"hang\":0," \
	"\"delay_ms\":0}"

static const struct {
	const char *fault;
	int64_t limit_ms;
	apply_result_t result;
	bool in_effect;
} fault_cases[] = {
	{"{\"lose_write_answer\":-1}", 5000, APPLY_UNREACHABLE, false},
	{"{\"lose_write_answer\":2}", 5000, APPLY_ACCEPTED, true},
	{"{\"unreachable\":1}", 5000, APPLY_ACCEPTED, true},
	{"{\"late_write_ms\":20}", 500, APPLY_UNREACHABLE, false},
	{"{\"delay_ms\":20}", 5000, APPLY_ACCEPTED, true},
	{"{\"outage\":-1}", 500, APPLY_UNREACHABLE, false},
	{"{\"hang\":-1}", 500, APPLY_UNREACHABLE, false},
};

/*
 * Guards against a result that does not match the version in effect, because
 * the platform failed or answered late.
 */
static void test_reports_are_true(void **unused)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		uint64_t before = read_head().version;
		apply_result_t result;

		http_set_faults(address, fault_cases[i].fault);
		result = submit_once("ann", 1000 + (double)i,
				     fault_cases[i].limit_ms);
		http_set_faults(address, NO_FAULTS);
		if (result != fault_cases[i].result)
			fail_msg("%s: result %d", fault_cases[i].fault, result);
		assert_int_equal(read_head().version,
				 before + fault_cases[i].in_effect);
	}
}

/*
 * Submits a state and begins the fault once the objects are written, just
 * before the write of the row.
 */
static void submit_with_row_fault(submission_t *submission, const char *author,
				  double rate, int64_t limit_ms,
				  const char *fault)
{
	submit(submission, author, rate, limit_ms);
	while (submission->apply.next_object == 0 ||
	       submission->apply.puts_in_flight > 0)
		g_main_context_iteration(NULL, TRUE);
	http_set_faults(address, fault);
}

/*
 * Guards against "refused" or "accepted" without proof: the answer to the
 * write and all reads of the row are lost.
 */
static void test_lost_answer_is_unknown(void **unused)
{
	submission_t submission;

	submit_with_row_fault(
		&submission, "ida", 2000, 1500,
		"{\"lose_write_answer\":-1,\"lose_read_answer\":-1}");
	wait_for(&submission);
	http_set_faults(address, NO_FAULTS);
	assert_int_equal(submission.apply.result, APPLY_UNKNOWN);
	assert_int_equal(apply_exit_code(submission.apply.result),
			 EXIT_CODE_UNKNOWN);
	assert_string_equal(read_head().author, "ida");
	finish(&submission);
}

/* Guards against "not accepted" for a write that takes effect after a delay. */
static void test_late_write_is_accepted(void **unused)
{
	submission_t submission;

	submit_with_row_fault(&submission, "liv", 2500, 8000,
			      "{\"late_write_ms\":30}");
	wait_for(&submission);
	http_set_faults(address, NO_FAULTS);
	assert_int_equal(submission.apply.result, APPLY_ACCEPTED);
	assert_string_equal(read_head().author, "liv");
	finish(&submission);
}

/*
 * Returns the version of the row after its last write, from the record of the
 * stand-in.
 */
static int64_t find_row_version(void)
{
	char *record = http_get_record(address);
	char **lines = g_strsplit(record, "\n", -1);
	int64_t version = 0;

	for (size_t i = 0; lines[i]; i++) {
		const char *tokens = strstr(lines[i], "\"tokens\":");

		if (strstr(lines[i], "\"state/d\"") && tokens &&
		    strstr(lines[i], "\"done\""))
			version = g_ascii_strtoll(tokens + 9, NULL, 10);
	}
	g_strfreev(lines);
	g_free(record);
	return version;
}

/* Replaces the submitted version by one of the author "dan". */
static void replace_version(const submission_t *submission, int64_t row_version)
{
	char *etag = g_strdup_printf("\"%ld\"", (long)row_version);
	const char *const headers[] = {"If-Match", etag, NULL};
	head_t head = submission->apply.new_head;
	head_past_t past = {.version = head.version};
	GString *text = g_string_new(NULL);
	http_answer_t answer;

	memcpy(past.attempt, head.attempt, sizeof(past.attempt));
	memcpy(past.author, head.author, sizeof(past.author));
	head_add_past(&head, &past);
	head.version++;
	memcpy(head.author, "dan", 4);
	memset(head.attempt, '7', HEAD_ATTEMPT_DIGITS);
	head_print(&head, text);
	answer = http_call("PUT", address, ROW_PATH, text->str, headers);
	assert_int_equal(answer.status, 200);
	http_answer_finish(&answer);
	g_string_free(text, TRUE);
	g_free(etag);
}

/*
 * Guards against "refused" for a version that was accepted and then replaced
 * by another operator before its author could read the row back.
 */
static void test_accepted_and_replaced(void **unused)
{
	submission_t submission;
	int64_t before = find_row_version();
	int64_t version;

	submit_with_row_fault(
		&submission, "eva", 3000, 8000,
		"{\"lose_write_answer\":-1,\"lose_read_answer\":-1}");
	while ((version = find_row_version()) == before)
		g_main_context_iteration(NULL, TRUE);
	http_set_faults(address, "{\"lose_write_answer\":0}");
	replace_version(&submission, version);
	http_set_faults(address, NO_FAULTS);
	wait_for(&submission);
	assert_int_equal(submission.apply.result, APPLY_ACCEPTED);
	assert_true(submission.apply.replaced);
	assert_string_equal(submission.apply.winner.author, "dan");
	finish(&submission);
}

/*
 * Runs the apply command on a file in which a text is replaced, with up to one
 * option and its value. Returns the exit code.
 */
static int run_command(const char *file, const char *from, const char *to,
		       const char *option, const char *value)
{
	GString *text = support_state_text(2, 2);
	char *args[] = {"apply",  (char *)file,	  "--platform",
			address,  "--author",	  "zoe",
			"--json", (char *)option, (char *)value,
			NULL};
	int n = option ? (value ? 9 : 8) : 7;
	int code;

	g_string_replace(text, from, to, 0);
	assert_true(g_file_set_contents(file, text->str, -1, NULL));
	code = cmd_apply(n, args);
	g_string_free(text, TRUE);
	return code;
}

/* Guards against exit codes that hide the result from a script. */
static void test_exit_codes(void **unused)
{
	char *dir = g_dir_make_tmp("applyXXXXXX", NULL);
	char *file = g_build_filename(dir, "s.toml", NULL);
	const char *d = "deployment = \"d\"";
	const char *e = "deployment = \"e\"";

	assert_int_equal(run_command(file, d, e, "--dry-run", NULL), 0);
	assert_int_equal(run_command(file, d, e, "--base", "4"), 3);
	assert_int_equal(run_command(file, d, e, "--base", "0"), 0);
	assert_int_equal(run_command(file, d, e, "--base", "0"), 3);
	assert_int_equal(run_command(file, d, e, NULL, NULL), 0);
	assert_int_equal(run_command(file, d, "x = 1", NULL, NULL), 2);
	assert_int_equal(run_command(file, d, e, "--base", "-1"), 2);
	http_set_faults(address, "{\"outage\":-1}");
	assert_int_equal(run_command(file, d, e, "--timeout", "1"), 4);
	http_set_faults(address, NO_FAULTS);
	assert_int_equal(cmd_apply(1, (char *[]){"apply", NULL}), 2);
	g_remove(file);
	g_rmdir(dir);
	g_free(file);
	g_free(dir);
}

/* Runs the show command, with one VM or none. Returns the exit code. */
static int show(const char *deployment, const char *vm)
{
	char *args[] = {"show",		"--platform",	    address,
			"--deployment", (char *)deployment, "--json",
			"--vm",		(char *)vm,	    NULL};

	return cmd_show(vm ? 8 : 6, args);
}

/*
 * Guards against success of the show command although the version at the
 * platform or at a VM is not known.
 */
static void test_show(void **unused)
{
	assert_int_equal(show("d", NULL), 0);
	assert_int_equal(show("none", NULL), 0);
	assert_int_equal(show("d", "127.0.0.1:1"), 4);
	assert_int_equal(show("D!", NULL), 2);
	http_set_faults(address, "{\"outage\":-1}");
	assert_int_equal(show("d", NULL), 4);
	http_set_faults(address, NO_FAULTS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_versions_rise),
		cmocka_unit_test(test_one_of_two_wins),
		cmocka_unit_test(test_outdated_base_is_refused),
		cmocka_unit_test(test_dry_run_writes_nothing),
		cmocka_unit_test(test_reports_are_true),
		cmocka_unit_test(test_lost_answer_is_unknown),
		cmocka_unit_test(test_late_write_is_accepted),
		cmocka_unit_test(test_accepted_and_replaced),
		cmocka_unit_test(test_exit_codes),
		cmocka_unit_test(test_show),
	};

	return cmocka_run_group_tests(tests, start_platform, stop_platform);
}
