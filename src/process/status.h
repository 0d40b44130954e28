/* Writes the status of one serve process as JSON for operators. */
#ifndef PROCESS_STATUS_H
#define PROCESS_STATUS_H

#include <json-glib/json-glib.h>

#include "process/router.h"

void status_append(JsonBuilder *builder, router_t *router);
char *status_to_json(router_t *router, gsize *len);

#endif
