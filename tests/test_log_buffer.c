#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <fcntl.h>
#include <unistd.h>

#include "process/log.h"
#include "support_tcp_stub.h"

#define LINES 20000

/* Longest time that all lines together may take, microseconds. */
#define LIMIT_US (5 * CLOCK_US_PER_S)

static void read_all(int fd, GString *text)
{
	char buffer[65536];
	ssize_t n;

	while ((n = read(fd, buffer, sizeof(buffer))) > 0)
		g_string_append_len(text, buffer, n);
}

/* Guards against a reader of the log that stops and thereby stops the process,
 * against memory without bound, and against lines that are lost unseen.
 */
static void test_reader_stops(void **state)
{
	clock_source_t clock = clock_boottime();
	int64_t start_us = clock_now(&clock);
	GString *text = g_string_new(NULL);
	hlc_t hlc;
	int fds[2];

	assert_int_equal(pipe(fds), 0);
	assert_int_equal(fcntl(fds[0], F_SETFL, O_NONBLOCK), 0);
	hlc_init(&hlc, clock_realtime());
	log_init(stdout, LOG_INFO, STR("vm"), STR("z"), &hlc);
	log_start_buffering(fds[1], clock);
	for (int i = 0; i < LINES; i++) {
		log_event(LOG_INFO, "test", LOG_INT("line", i));
		if (i % 1000 == 0)
			g_main_context_iteration(NULL, FALSE);
	}
	assert_true(clock_now(&clock) - start_us < LIMIT_US);
	/* The reader goes on: what was kept arrives, and how much was not. */
	for (int i = 0; i < 40; i++) {
		support_run_loop_ms(25);
		read_all(fds[0], text);
		log_event(LOG_INFO, "later", LOG_INT("turn", i));
	}
	assert_non_null(strstr(text->str, "event=test line=0\n"));
	assert_null(strstr(text->str, "event=test line=19999\n"));
	assert_non_null(strstr(text->str, "event=log_lines_dropped lines="));
	assert_non_null(strstr(text->str, "event=later"));
	log_finish();
	close(fds[0]);
	close(fds[1]);
	g_string_free(text, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reader_stops),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
