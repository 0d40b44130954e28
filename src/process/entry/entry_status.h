/* The health check and the metrics of an entry process, over HTTP. */
#ifndef PROCESS_ENTRY_STATUS_H
#define PROCESS_ENTRY_STATUS_H

#include "process/entry/entry.h"

extern const ingress_handler_t entry_ready_handler;
extern const ingress_handler_t entry_metrics_handler;

void entry_log_reached(entry_t *entry, int64_t now_us);

#endif
