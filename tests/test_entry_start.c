/* Signals that reach an entry process while it starts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <signal.h>

#include "process/entry/entry.h"
#include "support_address.h"

/* Writes a settings file with free addresses. Returns its path, which the
 * caller frees.
 */
static char *write_settings(void)
{
	char *folder = g_dir_make_tmp("entry-XXXXXX", NULL);
	char *path = g_build_filename(folder, "vm.toml", NULL);
	char *addresses[5];
	char *text;

	for (size_t i = 0; i < 5; i++)
		addresses[i] = unused_address();
	text = g_strdup_printf("vm = \"vm-1\"\nzone = \"z\"\n"
			       "callers_address = \"%s\"\n"
			       "ready_address = \"%s\"\n"
			       "metrics_address = \"%s\"\n"
			       "peer_address = \"%s\"\n"
			       "store_address = \"%s\"\n"
			       "shutdown_limit_s = 1\n",
			       addresses[0], addresses[1], addresses[2],
			       addresses[3], addresses[4]);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	for (size_t i = 0; i < 5; i++)
		g_free(addresses[i]);
	g_free(text);
	g_free(folder);
	return path;
}

/* Tells whether a signal no longer ends the process by default. */
static bool is_handled(int signal_number)
{
	struct sigaction action;

	assert_int_equal(sigaction(signal_number, NULL, &action), 0);
	return action.sa_handler != SIG_DFL;
}

/* Guards against a process that already listens but has no handlers for signals
 * yet: a SIGHUP or SIGTERM during the start would end it, and cut its callers'
 * connections.
 */
static void test_signal_handlers_set_at_start(void **state)
{
	char *path = write_settings();
	entry_settings_t settings;
	entry_t entry;
	diag_t diag;

	diag_init(&diag);
	assert_true(entry_settings_load(path, &settings, &diag));
	assert_true(entry_init(&entry, path, &settings, clock_boottime()));
	assert_true(is_handled(SIGHUP));
	assert_true(is_handled(SIGTERM));
	entry_finish(&entry);
	diag_finish(&diag);
	g_free(path);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_signal_handlers_set_at_start),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
