/* Two short seeds of the fault soak. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "support_process.h"

#define LIMIT_MS 60000

/* Runs the soak; its report is printed when it found something. */
static void run_soak(const char *seed, bool quiet)
{
	const char *args[] = {
		"--seed", seed, "--seconds", "6", quiet ? "--quiet" : NULL,
		NULL};
	process_t process;
	char *summary;
	bool ok;

	assert_true(process_start(&process, "tool_soak", args, NULL));
	summary = process_wait_line(&process, "seed ", LIMIT_MS);
	assert_non_null(summary);
	g_free(summary);
	assert_true(process_wait_end(&process, LIMIT_MS));
	ok = WIFEXITED(process.status) && WEXITSTATUS(process.status) == 0;
	if (!ok)
		print_message("%s\n", process.output->str);
	process_finish(&process);
	assert_true(ok);
}

/* Guards against a broken promise under overlapping faults. */
static void test_faults(void **state)
{
	run_soak("1", false);
}

/* Guards against requests to a server that has left, and lost answers, when
 * nothing is disturbed but engines fall silent for a second.
 */
static void test_quiet(void **state)
{
	run_soak("2", true);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_faults),
		cmocka_unit_test(test_quiet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
