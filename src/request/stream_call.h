/* A request that streams from a model engine: it waits for decode memory, has
 * its prompt read by a prefill engine, and streams from a decode engine that
 * fetches the result.
 */
#ifndef REQUEST_STREAM_CALL_H
#define REQUEST_STREAM_CALL_H

#include "process/decide/stage_balance.h"
#include "request/relay.h"

bool stream_call_start(relay_t *relay, exchange_t *exchange,
		       route_table_t *table, const table_route_t *route);
stage_balance_t stream_calls_mean_cost(const relay_t *relay,
				       const table_service_t *service);
void stream_calls_admit(relay_t *relay);
void stream_calls_check_silence(relay_t *relay);

#endif
