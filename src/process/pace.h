/* Bounds how often the main loop wakes up, so that what arrives within a short
 * time is handled in one turn.
 */
#ifndef PROCESS_PACE_H
#define PROCESS_PACE_H

#include <glib.h>

void pace_init(GMainContext *context);

#endif
