/* What a process still takes on after SIGTERM, and when it ends. Pure. */
#ifndef PROCESS_DRAIN_H
#define PROCESS_DRAIN_H

#include <stdint.h>

#include "version/route_table.h"

typedef struct {
	int64_t started_us; /* SIGTERM came; 0: it did not */
	int64_t limit_us; /* the process is killed */
} drain_t;

typedef enum {
	DRAIN_CONTINUE,
	DRAIN_CLOSE_IDLE, /* the balancer has left: close idle connections */
	DRAIN_STOP,
} drain_step_t;

void drain_start(drain_t *drain, int64_t now_us, int64_t limit_us);
bool drain_has_started(const drain_t *drain);
bool drain_accepts(const drain_t *drain, const table_route_t *route,
		   int64_t now_us);
drain_step_t drain_next(const drain_t *drain, unsigned active, int64_t now_us);

#endif
