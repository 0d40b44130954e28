/* The order to one model engine that it changes its stage: the engine's report is read,
 * then the order is sent. When orders are given, and to which engines, is decided in
 * stage_orders.
 */
#ifndef PROCESS_STAGE_ORDER_CALL_H
#define PROCESS_STAGE_ORDER_CALL_H

#include "connection/http_pool.h"
#include "process/decide/server_set.h"

/* Receives the head of an engine's answer, to the order or to the question before it. */
typedef void (*stage_order_answer_fn_t)(void *context, server_t *server,
					const http_head_t *head);

typedef struct {
	http_pool_t *pool;
	server_t *server; /* the engine */
	const char *vm; /* name of the VM that gives the order; copied */
	int64_t fencing_token;
	int64_t valid_until_us; /* the order is not sent later */
	stage_t to_stage;
	GQueue *calls; /* to which the call belongs while it is in progress */
	memory_budget_t *reports; /* of all orders in progress; borrowed */
	stage_order_answer_fn_t on_answer; /* NULL: none */
	void *context; /* for on_answer; outlives the call */
} stage_order_request_t;

void stage_order_send(const stage_order_request_t *request);
void stage_orders_cancel(GQueue *calls);

#endif
