/* Probes backend servers that fell silent, to see whether they answer again. */
#ifndef PROCESS_SERVER_PROBE_H
#define PROCESS_SERVER_PROBE_H

#include "request/relay.h"

void server_probe_send_due(relay_t *relay, const route_table_t *table,
			   int64_t now_us);
void server_probes_cancel(relay_t *relay);

#endif
