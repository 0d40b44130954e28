#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "support_address.h"

#define MAX_ADDRESS 32

/* Guards against two processes that use the same port in turn: one of them takes
 * it while the listener of the other one is down.
 */
static void test_two_processes(void **state)
{
	char other[MAX_ADDRESS] = "";
	char *first = unused_address();
	char *second;
	int results[2];
	int done[2];
	pid_t child;
	int status;

	assert_int_equal(pipe(results), 0);
	assert_int_equal(pipe(done), 0);
	child = fork();
	assert_true(child >= 0);
	if (child == 0) {
		char *address = unused_address();
		char end;

		(void)!write(results[1], address, strlen(address));
		close(done[1]);
		(void)!read(done[0], &end, 1); /* keeps the port until then */
		_exit(0);
	}
	assert_true(read(results[0], other, sizeof(other) - 1) > 0);
	second = unused_address();
	assert_string_not_equal(first, other);
	assert_string_not_equal(second, other);
	close(done[1]);
	assert_int_equal(waitpid(child, &status, 0), child);
	assert_int_equal(status, 0);
	close(done[0]);
	close(results[0]);
	close(results[1]);
	g_free(first);
	g_free(second);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_two_processes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
