/* Probes backend servers that fell silent, to see whether they answer again. */
#ifndef PROCESS_SERVER_PROBE_H
#define PROCESS_SERVER_PROBE_H

#include "connection/http_pool.h"
#include "process/decide/server_set.h"
#include "version/route_table.h"

void server_probe_send_due(server_set_t *servers, http_pool_t *pool,
			   const route_table_t *table, int64_t now_us);

#endif
