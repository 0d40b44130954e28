/* Child processes of tests: the programs in $BUILD_DIR, or else in the folder of the
 * test, or those that a path names.
 */
#ifndef SUPPORT_PROCESS_H
#define SUPPORT_PROCESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

typedef struct {
	pid_t pid;
	int pidfd; /* readable when the process has ended */
	int output_fd; /* its standard output */
	GString *output; /* read so far */
	size_t consumed; /* bytes of `output` returned as lines */
	bool ended;
	int status; /* as from waitpid(), once ended */
} process_t;

bool process_start(process_t *process, const char *program,
		   const char *const *args, const char *stderr_path);
bool process_start_logged(process_t *process, const char *program,
			  const char *const *args, const char *stdout_path,
			  const char *stderr_path);
char *process_read_line(process_t *process, int64_t timeout_ms);
char *process_wait_line(process_t *process, const char *prefix,
			int64_t timeout_ms);
char *process_start_listening(process_t *process, const char *program,
			      const char *const *args);
void process_signal(const process_t *process, int signal_number);
bool process_wait_end(process_t *process, int64_t timeout_ms);
int process_stop(process_t *process);
void process_finish(process_t *process);

#endif
