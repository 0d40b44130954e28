/* A request to a plain service: passed on, answered whole or not at all. */
#ifndef REQUEST_PLAIN_CALL_H
#define REQUEST_PLAIN_CALL_H

#include "request/relay.h"

bool plain_call_start(relay_t *relay, exchange_t *exchange,
		      route_table_t *table, const table_route_t *route);

#endif
