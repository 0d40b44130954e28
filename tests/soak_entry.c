#include "soak_entry.h"

#include <gio/gio.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include "support_address.h"
#include "support_file.h"
#include "support_metrics.h"

#define METRICS_REQUEST                                               \
	"GET /metrics HTTP/1.1\r\nHost: soak.example\r\nConnection: " \
	"close\r\n\r\n"

/* Writes the settings file, each time the same. */
void soak_entry_write_settings(const soak_entry_t *entry)
{
	char *text = g_strdup_printf(
		"vm = \"%s\"\nzone = \"z%u\"\ncallers_address = \"%s\"\n"
		"ready_address = \"%s\"\nmetrics_address = \"%s\"\n"
		"peer_address = \"%s\"\nstore_address = \"%s\"\n"
		"shutdown_limit_s = 4\nretry_share = 0.2\n"
		"retry_slack = 50\n",
		entry->vm, entry->number % 2, entry->callers_address,
		entry->ready_address, entry->metrics_address,
		entry->peer_address, proxy_address(entry->store_proxy));

	g_assert_true(support_file_write(entry->settings_path, text));
	g_free(text);
}

static char *log_path(const soak_entry_t *entry)
{
	return g_strconcat(entry->settings_path, ".log", NULL);
}

static size_t log_size(const soak_entry_t *entry)
{
	char *path = log_path(entry);
	struct stat info;
	bool known = stat(path, &info) == 0;

	g_free(path);
	return known ? (size_t)info.st_size : 0;
}

/* Tells whether the process has come as far as to listen. */
static bool logged_start(const soak_entry_t *entry)
{
	char *path = log_path(entry);
	char *text = NULL;
	bool started = g_file_get_contents(path, &text, NULL, NULL) &&
		       strstr(text + entry->log_from, "event=started");

	g_free(text);
	g_free(path);
	return started;
}

/* Starts the process. */
void soak_entry_start(soak_entry_t *entry)
{
	const char *args[] = {"entry", entry->settings_path, NULL};
	char *log = log_path(entry);
	char *errors = g_strconcat(entry->settings_path, ".err", NULL);

	entry->log_from = log_size(entry);
	entry->running = process_start_logged(&entry->process, entry->program,
					      args, log, errors);
	entry->stopped = false;
	entry->reload_due = false;
	entry->freeze_due = false;
	entry->leaving_us = 0;
	g_assert_true(entry->running);
	g_free(errors);
	g_free(log);
}

/* Sets up the VM of a number and starts its process. */
void soak_entry_init(soak_entry_t *entry, unsigned number, const char *folder,
		     const char *store_address)
{
	entry->number = number;
	entry->program = SOAK_PROGRAM;
	entry->vm = g_strdup_printf("vm-%u", number);
	entry->callers_address = unused_address();
	entry->ready_address = unused_address();
	entry->metrics_address = unused_address();
	entry->peer_address = unused_address();
	entry->store_proxy = proxy_new(store_address);
	entry->settings_path = g_strdup_printf("%s/%s.toml", folder, entry->vm);
	soak_entry_write_settings(entry);
	soak_entry_start(entry);
}

/* Returns whether a line of /proc/PID/status, a hexadecimal mask, has a signal. */
static bool has_signal(const char *status, const char *name, int signal_number)
{
	const char *line = strstr(status, name);
	uint64_t mask = line ? g_ascii_strtoull(line + strlen(name), NULL, 16)
			     : 0;

	return mask >> (signal_number - 1) & 1;
}

/* Returns whether the process has reached its main(), which ignores SIGHUP first
 * of all.
 */
static bool has_reached_main(const soak_entry_t *entry)
{
	char *path = g_strdup_printf("/proc/%d/status", entry->process.pid);
	char *text = NULL;
	bool reached = g_file_get_contents(path, &text, NULL, NULL) &&
		       (has_signal(text, "SigIgn:", SIGHUP) ||
			has_signal(text, "SigCgt:", SIGHUP));

	g_free(text);
	g_free(path);
	return reached;
}

/* Writes the settings again and asks the process to read them. */
void soak_entry_reload(soak_entry_t *entry)
{
	soak_entry_write_settings(entry);
	entry->reload_due = true;
	soak_entry_send_due(entry);
}

/* Stops the process, which keeps its connections. */
void soak_entry_freeze(soak_entry_t *entry)
{
	entry->stopped = true;
	entry->freeze_due = true;
	soak_entry_send_due(entry);
}

/* Ends that. */
void soak_entry_thaw(soak_entry_t *entry)
{
	if (entry->running && entry->stopped && !entry->freeze_due)
		process_signal(&entry->process, SIGCONT);
	entry->stopped = false;
	entry->freeze_due = false;
}

/* Sends the signals that are due, if the process has reached its main(). To be
 * called in each step. Until then the kernel would end the process on SIGHUP,
 * whatever its code does, and a stopped one would hold copies of the soak's own
 * listening sockets, which are closed as the program begins (seed 1028).
 */
void soak_entry_send_due(soak_entry_t *entry)
{
	if (!entry->running || (!entry->reload_due && !entry->freeze_due) ||
	    !has_reached_main(entry))
		return;
	if (entry->reload_due)
		process_signal(&entry->process, SIGHUP);
	if (entry->freeze_due)
		process_signal(&entry->process, SIGSTOP);
	entry->reload_due = false;
	entry->freeze_due = false;
}

/* Ends the process with a signal, or takes note that it has ended. */
void soak_entry_stop(soak_entry_t *entry, int signal_number)
{
	if (entry->stopped)
		process_signal(&entry->process, SIGCONT);
	process_signal(&entry->process, signal_number);
	(void)process_wait_end(&entry->process, 6000);
	process_finish(&entry->process);
	entry->running = false;
	entry->stopped = false;
}

/* A process ends by itself, unless it is killed. SIGTERM may end one that does
 * not listen yet: the dynamic linker has not reached its main() (seed 122).
 */
void soak_entry_check_end(const soak_entry_t *entry, soak_world_t *world)
{
	int status = entry->process.status;

	if (!WIFSIGNALED(status) || WTERMSIG(status) == SIGKILL)
		return;
	if (WTERMSIG(status) == SIGTERM && !logged_start(entry))
		return;
	soak_world_violate(world, "%s ended by signal %d", entry->vm,
			   WTERMSIG(status));
}

/* Reads a VM's metrics page, or NULL. */
static char *get_metrics(const soak_entry_t *entry)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection = g_socket_client_connect_to_host(
		client, entry->metrics_address, 0, NULL, NULL);
	GString *text = g_string_new(NULL);
	char buffer[4096];
	gssize n = 0;

	if (connection) {
		GIOStream *stream = G_IO_STREAM(connection);

		g_output_stream_write_all(g_io_stream_get_output_stream(stream),
					  METRICS_REQUEST,
					  strlen(METRICS_REQUEST), NULL, NULL,
					  NULL);
		while ((n = g_input_stream_read(
				g_io_stream_get_input_stream(stream), buffer,
				sizeof(buffer), NULL, NULL)) > 0)
			g_string_append_len(text, buffer, n);
		g_object_unref(connection);
	}
	g_object_unref(client);
	if (n < 0 || !strstr(text->str, "\r\n\r\n")) {
		g_string_free(text, TRUE);
		return NULL;
	}
	g_string_erase(text, 0, strstr(text->str, "\r\n\r\n") + 4 - text->str);
	return g_string_free(text, FALSE);
}

/* A VM serves a metrics page that a strict reader takes. */
void soak_entry_check_metrics(const soak_entry_t *entry, soak_world_t *world)
{
	metrics_page_t page;
	char *text;

	if (!entry->running || entry->leaving_us)
		return;
	text = get_metrics(entry);
	if (!text) {
		soak_world_violate(world, "%s has no metrics", entry->vm);
		return;
	}
	metrics_page_read(&page, text);
	if (page.error)
		soak_world_violate(world, "metrics of %s: %s", entry->vm,
				   page.error);
	metrics_page_finish(&page);
	g_free(text);
}
