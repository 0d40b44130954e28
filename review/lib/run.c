#define _GNU_SOURCE
#include "run.h"

#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "http.h"

/* A case ends by itself after this long. */
#define LIMIT_S 110

/* The program, as the deploy file builds and starts it in the repository's root. */
#define PROGRAM "target/gooseberryspur"

#define READY_LIMIT_MS 15000

static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *record_file;
static long long began_ms;
static char folder[64];
static vm_t *vms[MAX_VMS];
static int n_vms;

/* Returns the time of the steady clock. */
long long now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

void sleep_ms(long long ms)
{
	struct timespec pause = {.tv_sec = ms / 1000,
				 .tv_nsec = ms % 1000 * 1000000};

	if (ms > 0)
		nanosleep(&pause, NULL);
}

/* Starts a thread that nobody waits for. */
void start_thread(void *(*run)(void *), void *argument)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, argument) != 0)
		give_up("no thread can be started");
	pthread_detach(thread);
}

/* Returns whether the disruption is to be played. */
bool has_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return !trouble || strcmp(trouble, "0") != 0;
}

/* Writes a line to the record and to the standard output, with the time since the
 * beginning.
 */
void record(const char *format, ...)
{
	char line[1024];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(line, sizeof(line), format, arguments);
	va_end(arguments);
	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8lld ms  %s\n", now_ms() - began_ms, line);
	fflush(record_file);
	printf("%8lld ms  %s\n", now_ms() - began_ms, line);
	fflush(stdout);
	pthread_mutex_unlock(&record_lock);
}

/* Writes a line to the record only. */
void note(const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	pthread_mutex_lock(&record_lock);
	vfprintf(record_file, format, arguments);
	fputc('\n', record_file);
	pthread_mutex_unlock(&record_lock);
	va_end(arguments);
}

/* Ends a case that takes too long. */
static void *watch_limit(void *argument)
{
	sleep_ms(LIMIT_S * 1000LL);
	give_up("the case takes too long");
	return argument;
}

/* Begins a run: opens the record and makes a temporary folder. */
void run_begin(const char *record_path)
{
	began_ms = now_ms();
	record_file = fopen(record_path, "w");
	if (!record_file) {
		perror(record_path);
		exit(NOT_RUN);
	}
	signal(SIGPIPE, SIG_IGN);
	snprintf(folder, sizeof(folder), "/tmp/review-XXXXXX");
	if (!mkdtemp(folder))
		give_up("no temporary folder can be made");
	if (access(PROGRAM, X_OK) != 0)
		give_up(PROGRAM " is not built");
	start_thread(watch_limit, NULL);
	record("trouble: %s", has_trouble() ? "yes" : "no");
}

/* Removes the temporary folder, which holds files of VMs only. */
static void remove_folder(void)
{
	for (int i = 0; i < n_vms; i++) {
		char path[160];

		snprintf(path, sizeof(path), "%s/%s.toml", folder,
			 vms[i]->name);
		unlink(path);
		snprintf(path, sizeof(path), "%s/%s.log", folder, vms[i]->name);
		if (!getenv("KEEP_LOGS"))
			unlink(path);
	}
	rmdir(folder);
}

/* Ends the processes that the run started, and the run. */
void run_end(int code)
{
	for (int i = 0; i < n_vms; i++) {
		if (vms[i]->pid > 0) {
			kill(vms[i]->pid, SIGKILL);
			waitpid(vms[i]->pid, NULL, 0);
		}
	}
	remove_folder();
	record("exit code %d", code);
	fflush(record_file);
	_exit(code);
}

/* Ends a run that cannot go on. */
void give_up(const char *reason)
{
	record("not run: %s", reason);
	run_end(NOT_RUN);
}

/* Sets up a VM with free ports. */
void vm_init(vm_t *vm, const char *name, const char *zone)
{
	memset(vm, 0, sizeof(*vm));
	snprintf(vm->name, sizeof(vm->name), "%s", name);
	snprintf(vm->zone, sizeof(vm->zone), "%s", zone);
	vm->callers_port = free_port();
	vm->ready_port = free_port();
	vm->metrics_port = free_port();
	vm->peer_port = free_port();
	vms[n_vms++] = vm;
}

/* Writes the settings file of a VM, as deploy/entry.toml has it. */
static void write_settings(const vm_t *vm, const deployment_t *deployment,
			   bool bootstrap, const char *path)
{
	FILE *file = fopen(path, "w");

	if (!file)
		give_up("the settings cannot be written");
	fprintf(file,
		"vm = \"%s\"\nzone = \"%s\"\n"
		"callers_address = \"127.0.0.1:%d\"\n"
		"ready_address = \"127.0.0.1:%d\"\n"
		"metrics_address = \"127.0.0.1:%d\"\n"
		"peer_address = \"127.0.0.1:%d\"\n"
		"store_address = \"127.0.0.1:%d\"\n"
		"shutdown_limit_s = %g\nretry_share = %g\n"
		"retry_slack = %g\n%s",
		vm->name, vm->zone, vm->callers_port, vm->ready_port,
		vm->metrics_port, vm->peer_port, deployment->store_port,
		deployment->shutdown_limit_s, deployment->retry_share,
		deployment->retry_slack, bootstrap ? "bootstrap = true\n" : "");
	fclose(file);
}

/* Starts the process of a VM. */
void vm_start(vm_t *vm, const deployment_t *deployment, bool bootstrap)
{
	char settings[160], log[160];
	pid_t parent = getpid();

	snprintf(settings, sizeof(settings), "%s/%s.toml", folder, vm->name);
	snprintf(log, sizeof(log), "%s/%s.log", folder, vm->name);
	write_settings(vm, deployment, bootstrap, settings);
	vm->pid = fork();
	if (vm->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(127);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		setenv("GOOSEBERRYSPUR_NODE_FILE", settings, 1);
		execl(PROGRAM, PROGRAM, "entry", (char *)NULL);
		_exit(127);
	}
	if (vm->pid < 0)
		give_up("no process can be started");
	record("%s: started", vm->name);
}

/* Returns whether a VM says that it is ready. */
bool vm_is_ready(const vm_t *vm)
{
	message_t message = {.status = 0};
	conn_t *conn = malloc(sizeof(*conn));
	bool ready = false;

	if (conn_open(conn, vm->ready_port)) {
		send_text(conn->fd, "GET /gooseberryspur/ready HTTP/1.1\r\n"
				    "Host: ready\r\nConnection: close\r\n\r\n");
		ready = read_message(conn, &message) && message.status == 200;
		message_finish(&message);
		conn_close(conn);
	}
	free(conn);
	return ready;
}

/* Waits until a VM is ready; gives up if that takes too long. */
void vm_wait_ready(const vm_t *vm)
{
	long long until_ms = now_ms() + READY_LIMIT_MS;

	while (!vm_is_ready(vm)) {
		if (now_ms() > until_ms)
			give_up("a VM is not ready in time");
		sleep_ms(50);
	}
	record("%s: ready", vm->name);
}

/* Sends a signal to the process of a VM. */
void vm_signal(vm_t *vm, int signal_number)
{
	if (vm->pid <= 0)
		return;
	kill(vm->pid, signal_number);
	record("%s: signal %s", vm->name, strsignal(signal_number));
}

/* Returns whether the process of a VM has ended. */
bool vm_has_ended(vm_t *vm)
{
	int status;

	if (vm->pid > 0 && waitpid(vm->pid, &status, WNOHANG) == vm->pid) {
		record("%s: ended, wait status %d", vm->name, status);
		vm->pid = 0;
	}
	return vm->pid == 0;
}
