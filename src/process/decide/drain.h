/* Which requests a process still accepts after SIGTERM, and when it exits.
 * Pure: no clock, no I/O.
 */
#ifndef PROCESS_DRAIN_H
#define PROCESS_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/* The times of a drain. */
typedef struct {
	int64_t started_us; /* when SIGTERM was received; 0: not yet */
	int64_t limit_us; /* when the process is killed */
} drain_t;

/* What the process has to do next. */
typedef enum {
	DRAIN_CONTINUE,
	DRAIN_CLOSE_IDLE, /* the load balancer sends nothing new: close idle
			     connections */
	DRAIN_STOP, /* exit */
} drain_step_t;

void drain_start(drain_t *drain, int64_t now_us, int64_t limit_us);
bool drain_has_started(const drain_t *drain);
bool drain_accepts(const drain_t *drain, int64_t deadline_us, int64_t now_us);
drain_step_t drain_next(const drain_t *drain, unsigned active, int64_t now_us);

#endif
