/* What the builds that are in service have written, kept as files. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>
#include <sys/wait.h>

#include "support_process.h"

#define LIMIT_MS 10000

/* Guards against a VM that does not understand VMs of the build before, while they
 * are replaced one after the other.
 */
static void test_reads_what_others_wrote(void **state)
{
	char *folder = g_build_filename(getenv("SOURCE_DIR"), "tests", "golden",
					"wire-01804d5", NULL);
	const char *args[] = {"read", folder, NULL};
	process_t process;

	assert_true(process_start(&process, "tool_wire_sample", args, NULL));
	assert_true(process_wait_end(&process, LIMIT_MS));
	assert_true(WIFEXITED(process.status));
	assert_int_equal(WEXITSTATUS(process.status), 0);
	process_finish(&process);
	g_free(folder);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reads_what_others_wrote),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
