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

/* One operator with a platform client of its own. */
typedef struct {
	platform_t platform;
	apply_t apply;
	state_t *state;
	bool done;
} operator_t;

static int start(void **state)
{
	address = process_start_listening(&process, "fake_platform",
					  (const char *[]){NULL});
	client_init(&client, clock_boottime());
	return address ? 0 : -1;
}

static int stop(void **state)
{
	client_finish(&client);
	process_finish(&process);
	g_free(address);
	return 0;
}

static void on_done(void *context, const apply_t *apply)
{
	operator_t *operator= context;

	assert_false(operator->done);
	operator->done = true;
}

/* Starts to submit a state with one workspace of this rate. */
static void submit(operator_t *operator, const char * author, double rate,
		   int64_t limit_ms)
{
	GString *text = support_state_text(4, 30);

	support_state_add_workspace(text, 1000, rate);
	memset(operator, 0, sizeof(*operator));
	operator->state = support_state_parse(text->str);
	platform_init(&operator->platform, &client, address,
		      &(platform_budget_t){1000, 1000, 1}, 7);
	operator->apply.platform = & operator->platform;
	operator->apply.state = operator->state;
	operator->apply.author = author;
	operator->apply.deadline_us = clock_now(&client.clock) +
		limit_ms * CLOCK_US_PER_MS;
	operator->apply.done = on_done;
	operator->apply.context = operator;
	apply_start(&operator->apply);
	g_string_free(text, TRUE);
}

static void wait_for(operator_t *operator)
{
	while (!operator->done)
		g_main_context_iteration(NULL, TRUE);
}

static void finish(operator_t *operator)
{
	apply_finish(&operator->apply);
	platform_finish(&operator->platform);
	state_unref(operator->state);
}

static apply_result_t submit_once(const char *author, double rate,
				  int64_t limit_ms)
{
	operator_t operator;
	apply_result_t result;

	submit(&operator, author, rate, limit_ms);
	wait_for(&operator);
	result = operator.apply.result;
	finish(&operator);
	return result;
}

static http_answer_t get_row(head_t *head)
{
	http_answer_t answer = http_get(address, ROW_PATH);

	assert_int_equal(answer.status, 200);
	assert_true(head_parse(head, (str_t){answer.text, answer.len}));
	return answer;
}

static head_t read_head(void)
{
	head_t head;
	http_answer_t answer = get_row(&head);

	http_answer_finish(&answer);
	return head;
}

/* Guards against versions that do not rise by one with each change. */
static void test_versions_rise(void **unused)
{
	operator_t operator;
	head_t head;

	submit(&operator, "ann", 1, 5000);
	wait_for(&operator);
	assert_int_equal(operator.apply.result, APPLY_ACCEPTED);
	assert_int_equal(operator.apply.version, 1);
	assert_int_equal(operator.apply.n_parts, operator.apply.n_changed_parts);
	finish(&operator);
	assert_int_equal(submit_once("ann", 1, 5000), APPLY_UNCHANGED);
	submit(&operator, "ann", 2, 5000);
	wait_for(&operator);
	assert_int_equal(operator.apply.result, APPLY_ACCEPTED);
	assert_int_equal(operator.apply.n_changed_parts, 1);
	/* The part, the manifest and the delta. */
	assert_int_equal(operator.apply.n_uploaded, 3);
	finish(&operator);
	head = read_head();
	assert_int_equal(head.version, 2);
	assert_int_equal(head.n_deltas, 1);
	assert_int_equal(head_find_past(&head, 1)->version, 1);
}

/* Guards against two conflicting operators who are both told "accepted". */
static void test_one_of_two_wins(void **unused)
{
	uint64_t before = read_head().version;

	for (int round = 0; round < 10; round++) {
		operator_t a, b;
		operator_t *winner, *loser;
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

/* Guards against an outdated file that replaces a newer version. */
static void test_outdated_base_is_refused(void **unused)
{
	operator_t operator;
	uint64_t version = read_head().version;

	submit(&operator, "eve", 5, 5000);
	operator.apply.has_base_version = true;
	operator.apply.base_version = version - 1;
	wait_for(&operator);
	assert_int_equal(operator.apply.result, APPLY_REFUSED);
	assert_int_equal(operator.apply.winner.version, version);
	assert_true(operator.apply.differences->len> 0);
	finish(&operator);
	assert_int_equal(read_head().version, version);
}

/* Guards against a dry run that writes. */
static void test_dry_run_writes_nothing(void **unused)
{
	operator_t operator;
	char *before = http_get_record(address);
	char *after;

	submit(&operator, "ann", 77, 5000);
	operator.apply.dry_run = true;
	wait_for(&operator);
	assert_int_equal(operator.apply.result, APPLY_DRY_RUN);
	assert_non_null(strstr(operator.apply.differences->str, "-> 77"));
	finish(&operator);
	after = http_get_record(address);
	assert_null(strstr(after + strlen(before) / 2, "\"77\""));
	g_free(before);
	g_free(after);
}

#define NO_FAULTS                                                    \
	"{\"late_write_ms\":0,\"outage\":0,\"unreachable\":0,"       \
	"\"lose_write_answer\":0,\"lose_read_answer\":0,\"hang\":0," \
	"\"delay_ms\":0}"

static const struct {
	const char *fault;
	int64_t limit_ms;
	apply_result_t result;
	bool in_effect;
} faults[] = {
	{"{\"lose_write_answer\":-1}", 5000, APPLY_UNREACHABLE, false},
	{"{\"lose_write_answer\":2}", 5000, APPLY_ACCEPTED, true},
	{"{\"unreachable\":1}", 5000, APPLY_ACCEPTED, true},
	{"{\"late_write_ms\":20}", 500, APPLY_UNREACHABLE, false},
	{"{\"delay_ms\":20}", 5000, APPLY_ACCEPTED, true},
	{"{\"outage\":-1}", 500, APPLY_UNREACHABLE, false},
	{"{\"hang\":-1}", 500, APPLY_UNREACHABLE, false},
};

/* Guards against a report that is not true while the platform is failing. */
static void test_reports_are_true(void **unused)
{
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		uint64_t before = read_head().version;
		apply_result_t result;

		http_set_faults(address, faults[i].fault);
		result = submit_once("ann", 1000 + (double)i,
				     faults[i].limit_ms);
		http_set_faults(address, NO_FAULTS);
		if (result != faults[i].result)
			fail_msg("%s: result %d", faults[i].fault, result);
		assert_int_equal(read_head().version,
				 before + faults[i].in_effect);
	}
}

/* Submits with faults that begin with the write of the row. */
static void submit_with_row_fault(operator_t *operator, const char * author,
				  double rate, int64_t limit_ms,
				  const char *fault)
{
	submit(operator, author, rate, limit_ms);
	while (operator->apply.next_object == 0 || operator->apply
		       .puts_in_flight> 0)
		g_main_context_iteration(NULL, TRUE);
	http_set_faults(address, fault);
}

/*
 * Guards against "refused" or "accepted" without proof: the write's answer and
 * all reads of the row are lost.
 */
static void test_lost_answer_is_unknown(void **unused)
{
	operator_t operator;

	submit_with_row_fault(
		&operator, "ida", 2000, 1500,
		"{\"lose_write_answer\":-1,\"lose_read_answer\":-1}");
	wait_for(&operator);
	http_set_faults(address, NO_FAULTS);
	assert_int_equal(operator.apply.result, APPLY_UNKNOWN);
	assert_int_equal(apply_exit_code(operator.apply.result),
			 EXIT_CODE_UNKNOWN);
	assert_string_equal(read_head().author, "ida");
	finish(&operator);
}

/* Guards against a write that is given up although it takes effect late. */
static void test_late_write_is_accepted(void **unused)
{
	operator_t operator;

	submit_with_row_fault(&operator, "liv", 2500, 8000,
			      "{\"late_write_ms\":30}");
	wait_for(&operator);
	http_set_faults(address, NO_FAULTS);
	assert_int_equal(operator.apply.result, APPLY_ACCEPTED);
	assert_string_equal(read_head().author, "liv");
	finish(&operator);
}

/* Version of the row after its last write, from the platform's record. */
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

/* Replaces the submitted version by one of "dan". */
static void replace_version(const operator_t *operator, int64_t row_version)
{
	char *etag = g_strdup_printf("\"%ld\"", (long)row_version);
	const char *const headers[] = {"If-Match", etag, NULL};
	head_t head = operator->apply.new_head;
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
 * Guards against "refused" for a version that was accepted, and replaced by
 * another operator before its author could read the row back.
 */
static void test_accepted_and_replaced(void **unused)
{
	operator_t operator;
	int64_t before = find_row_version();
	int64_t version;

	submit_with_row_fault(
		&operator, "eva", 3000, 8000,
		"{\"lose_write_answer\":-1,\"lose_read_answer\":-1}");
	while ((version = find_row_version()) == before)
		g_main_context_iteration(NULL, TRUE);
	http_set_faults(address, "{\"lose_write_answer\":0}");
	replace_version(&operator, version);
	http_set_faults(address, NO_FAULTS);
	wait_for(&operator);
	assert_int_equal(operator.apply.result, APPLY_ACCEPTED);
	assert_true(operator.apply.replaced);
	assert_string_equal(operator.apply.winner.author, "dan");
	finish(&operator);
}

static int run_command(const char *file, const char *rate_from,
		       const char *rate_to, const char *option,
		       const char *value)
{
	GString *text = support_state_text(2, 2);
	char *args[] = {"apply",  (char *)file,	  "--platform",
			address,  "--author",	  "zoe",
			"--json", (char *)option, (char *)value,
			NULL};
	int n = option ? (value ? 9 : 8) : 7;
	int code;

	g_string_replace(text, rate_from, rate_to, 0);
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

static int show(const char *deployment, const char *vm)
{
	char *args[] = {"show",		"--platform",	    address,
			"--deployment", (char *)deployment, "--json",
			"--vm",		(char *)vm,	    NULL};

	return cmd_show(vm ? 8 : 6, args);
}

/* Guards against a version that is shown although it is not known. */
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

	return cmocka_run_group_tests(tests, start, stop);
}
