/* Streaming requests to model engines, called streams. A stream waits until
 * admission finds a prefill engine for it, and a slot and memory at a decode
 * engine. The prefill engine computes the KV cache of the prompt, and the
 * decode engine fetches it and streams the output.
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
