/* A request to a plain service that the `entry` command sends to a backend
 * server, and to others if that fails and a retry is safe. The caller gets a
 * whole response or an error. forwarded_call.h does the same for the `serve`
 * command.
 */
#ifndef REQUEST_PLAIN_CALL_H
#define REQUEST_PLAIN_CALL_H

#include "request/relay.h"

bool plain_call_start(relay_t *relay, exchange_t *exchange,
		      route_table_t *table, const table_route_t *route);

#endif
