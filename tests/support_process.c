#include "support_process.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/pidfd.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "process/clock.h"

#define START_TIMEOUT_MS 20000
/* A process that ignores SIGTERM for this long is killed. */
#define STOP_TIMEOUT_MS 10000

static int64_t now_ms(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock) / CLOCK_US_PER_MS;
}

/* Runs in the child. A test that crashes leaves no process behind. */
static G_NORETURN void run_child(char **argv, int output_fd, int stderr_fd,
				 pid_t parent)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_Exit(127);
	dup2(output_fd, STDOUT_FILENO);
	if (stderr_fd >= 0)
		dup2(stderr_fd, STDERR_FILENO);
	execv(argv[0], argv);
	perror(argv[0]);
	_Exit(127);
}

/* Returns the path of a program: `program` itself if it is one, or the program with
 * that name in $BUILD_DIR or beside this one.
 */
static char *program_path(const char *program)
{
	const char *dir = getenv("BUILD_DIR");
	char *own, *own_dir, *path;

	if (strchr(program, '/'))
		return g_strdup(program);
	if (dir)
		return g_build_filename(dir, program, NULL);
	own = g_file_read_link("/proc/self/exe", NULL);
	own_dir = own ? g_path_get_dirname(own) : g_strdup(".");
	path = g_build_filename(own_dir, program, NULL);
	g_free(own_dir);
	g_free(own);
	return path;
}

static char **make_argv(const char *program, const char *const *args)
{
	GPtrArray *argv = g_ptr_array_new();

	g_ptr_array_add(argv, program_path(program));
	for (size_t i = 0; args && args[i]; i++)
		g_ptr_array_add(argv, g_strdup(args[i]));
	g_ptr_array_add(argv, NULL);
	return (char **)g_ptr_array_free(argv, FALSE);
}

static int open_for_append(const char *path)
{
	return open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

/* Starts the program with a pipe as its standard output, or with that of
 * `output_fd` unless negative.
 */
static bool start(process_t *process, const char *program,
		  const char *const *args, int output_fd,
		  const char *stderr_path)
{
	pid_t parent = getpid();
	int stderr_fd = -1;
	int pipe_fds[2];
	char **argv;

	memset(process, 0, sizeof(*process));
	if (pipe2(pipe_fds, O_CLOEXEC) < 0)
		return false;
	if (stderr_path)
		stderr_fd = open_for_append(stderr_path);
	argv = make_argv(program, args);
	process->pid = fork();
	if (process->pid == 0)
		run_child(argv, output_fd < 0 ? pipe_fds[1] : output_fd,
			  stderr_fd, parent);
	g_strfreev(argv);
	close(pipe_fds[1]);
	if (stderr_fd >= 0)
		close(stderr_fd);
	if (process->pid < 0) {
		close(pipe_fds[0]);
		return false;
	}
	process->pidfd = pidfd_open(process->pid, 0);
	process->output_fd = pipe_fds[0];
	process->output = g_string_new(NULL);
	return true;
}

/*
 * Starts $BUILD_DIR/program with NULL-terminated arguments. Standard error is
 * appended to `stderr_path`, or inherited when that is NULL. Returns false,
 * with nothing to clean up, when it cannot be started.
 */
bool process_start(process_t *process, const char *program,
		   const char *const *args, const char *stderr_path)
{
	return start(process, program, args, -1, stderr_path);
}

/*
 * The same, with standard output appended to `stdout_path`: nobody has to read
 * it while the process runs, and it outlives the test.
 */
bool process_start_logged(process_t *process, const char *program,
			  const char *const *args, const char *stdout_path,
			  const char *stderr_path)
{
	int output_fd = open_for_append(stdout_path);
	bool started;

	if (output_fd < 0)
		return false;
	started = start(process, program, args, output_fd, stderr_path);
	close(output_fd);
	return started;
}

/* Takes the next whole line out of what was read, or NULL. */
static char *take_line(process_t *process)
{
	char *start = process->output->str + process->consumed;
	char *end = strchr(start, '\n');

	if (!end)
		return NULL;
	process->consumed += (size_t)(end - start) + 1;
	return g_strndup(start, (size_t)(end - start));
}

/* Waits for output. Returns false at the deadline or at end of file. */
static bool read_more(process_t *process, int64_t deadline_ms)
{
	struct pollfd wait = {process->output_fd, POLLIN, 0};
	int64_t left_ms = deadline_ms - now_ms();
	char buffer[4096];
	ssize_t n;

	if (left_ms <= 0 || poll(&wait, 1, (int)left_ms) <= 0)
		return false;
	n = read(process->output_fd, buffer, sizeof(buffer));
	if (n <= 0)
		return false;
	g_string_append_len(process->output, buffer, n);
	return true;
}

/* The next line of standard output; the caller frees it. NULL: none came. */
char *process_read_line(process_t *process, int64_t timeout_ms)
{
	int64_t deadline_ms = now_ms() + timeout_ms;
	char *line;

	while (!(line = take_line(process))) {
		if (!read_more(process, deadline_ms))
			return NULL;
	}
	return line;
}

/*
 * Skips to the line that starts with `prefix`. Returns what follows the
 * prefix, which the caller frees, or NULL when the line did not come.
 */
char *process_wait_line(process_t *process, const char *prefix,
			int64_t timeout_ms)
{
	int64_t deadline_ms = now_ms() + timeout_ms;
	char *line;

	while ((line = process_read_line(process, deadline_ms - now_ms()))) {
		if (g_str_has_prefix(line, prefix)) {
			char *rest = g_strdup(line + strlen(prefix));

			g_free(line);
			return rest;
		}
		g_free(line);
	}
	return NULL;
}

/*
 * Starts a fake on a free loopback port and waits until it listens. Returns
 * its IP:port, which the caller frees, or NULL.
 */
char *process_start_listening(process_t *process, const char *program,
			      const char *const *args)
{
	GPtrArray *all = g_ptr_array_new();
	char *address = NULL;

	g_ptr_array_add(all, "--listen");
	g_ptr_array_add(all, "127.0.0.1:0");
	for (size_t i = 0; args && args[i]; i++)
		g_ptr_array_add(all, (gpointer)args[i]);
	g_ptr_array_add(all, NULL);
	if (process_start(process, program, (const char *const *)all->pdata,
			  NULL)) {
		address = process_wait_line(process, "listening ",
					    START_TIMEOUT_MS);
		if (!address)
			process_finish(process);
	}
	g_ptr_array_unref(all);
	return address;
}

void process_signal(const process_t *process, int signal_number)
{
	if (!process->ended)
		kill(process->pid, signal_number);
}

/* Waits until the process has ended; false at the deadline. */
bool process_wait_end(process_t *process, int64_t timeout_ms)
{
	struct pollfd wait = {process->pidfd, POLLIN, 0};
	int64_t deadline_ms = now_ms() + timeout_ms;
	int n;

	if (process->ended)
		return true;
	do {
		n = poll(&wait, 1, (int)MAX(deadline_ms - now_ms(), 0));
	} while (n < 0 && errno == EINTR);
	if (n <= 0)
		return false;
	process->ended = waitpid(process->pid, &process->status, 0) ==
			 process->pid;
	return process->ended;
}

/* Sends SIGTERM and collects. Returns the exit code, -1 after a signal. */
int process_stop(process_t *process)
{
	process_signal(process, SIGCONT);
	process_signal(process, SIGTERM);
	if (!process_wait_end(process, STOP_TIMEOUT_MS)) {
		process_signal(process, SIGKILL);
		process_wait_end(process, STOP_TIMEOUT_MS);
	}
	while (read_more(process, now_ms() + 1))
		;
	return process->ended && WIFEXITED(process->status)
		       ? WEXITSTATUS(process->status)
		       : -1;
}

/* Ends the process, if it still runs, and frees what it needed. */
void process_finish(process_t *process)
{
	if (!process->output)
		return;
	process_signal(process, SIGKILL);
	process_wait_end(process, STOP_TIMEOUT_MS);
	close(process->pidfd);
	close(process->output_fd);
	g_string_free(process->output, TRUE);
	process->output = NULL;
}
