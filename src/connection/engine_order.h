/* Orders to model engines (docs/design.md, section 6.2). */
#ifndef CONNECTION_ENGINE_ORDER_H
#define CONNECTION_ENGINE_ORDER_H

#include "connection/client.h"
#include "process/order.h"

client_call_t *engine_order_send(client_t *client, const order_action_t *order,
				 uint64_t fence, int64_t deadline_us,
				 client_done_fn_t done, void *context);
order_outcome_t engine_order_outcome(const client_response_t *response);

#endif
