/* What an entry process tells about itself: whether it is ready, and metrics. */
#ifndef PROCESS_ENTRY_STATUS_H
#define PROCESS_ENTRY_STATUS_H

#include "process/entry/entry.h"

extern const ingress_handler_t entry_ready_handler;
extern const ingress_handler_t entry_metrics_handler;

#endif
