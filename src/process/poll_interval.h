/* Bounds how often the main loop wakes up, so that what arrives within a short
 * time is handled in one turn.
 */
#ifndef PROCESS_POLL_INTERVAL_H
#define PROCESS_POLL_INTERVAL_H

#include <glib.h>

void poll_interval_install(GMainContext *context);

#endif
