/* Limits how often the main loop polls, so that events that arrive within a
 * short time are handled in one iteration.
 */
#ifndef PROCESS_POLL_INTERVAL_H
#define PROCESS_POLL_INTERVAL_H

#include <glib.h>

void poll_interval_install(GMainContext *context);

#endif
