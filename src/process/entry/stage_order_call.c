#include "process/entry/stage_order_call.h"

#include "process/alarm.h"
#include "process/log.h"
#include "wire_fields.h"

/* Largest body of an engine's answer to an order or a question. */
#define MAX_BODY_BYTES 65536

/* How long an engine may take to answer the question or the order. */
#define ANSWER_TIMEOUT_US (2 * CLOCK_US_PER_S)

/* The order to one engine. The engine's report is read first, for the number of
 * orders that it has accepted. The order names that number and holds only while
 * it is unchanged, so that an order which arrives late does no harm. An order
 * frees itself at its end.
 */
typedef struct {
	GQueue *calls; /* holds the order until its end */
	http_pool_t *pool;
	server_t *server; /* holds a reference */
	char *vm; /* name of the VM that gives the order */
	http_call_t *call; /* in progress; NULL: none */
	alarm_t deadline; /* of that call */
	kept_buffer_t report; /* of the engine, as far as received */
	int64_t fencing_token;
	int64_t valid_until_us; /* the order is not sent later */
	bool to_prefill; /* the new stage; else decode */
	bool sending_order; /* the call in progress sends the order; else it
			       reads the report */
	unsigned status;
	stage_order_answer_fn_t on_answer; /* NULL: none */
	void *context;
} order_t;

static bool call_engine(order_t *order, const GString *message);

/* Logs how an order ended, and frees it. */
static void finish_order(order_t *order, const char *result)
{
	log_event(LOG_INFO, "order_ended",
		  LOG_CSTR("server", order->server->entry.id),
		  LOG_CSTR("result", result), LOG_UINT("status", order->status),
		  LOG_INT("fence", order->fencing_token));
	g_queue_remove(order->calls, order);
	alarm_finish(&order->deadline);
	server_unref(order->server);
	kept_buffer_finish(&order->report);
	g_free(order->vm);
	g_free(order);
}

/* Sends the order itself, after the engine's report was read. */
static void send_order(order_t *order, const engine_report_t *report)
{
	GString *message = g_string_new(NULL);
	stage_order_t fields = {
		.address = order->server->entry.address,
		.server_id = str_from(order->server->entry.id),
		.prefill = order->to_prefill,
		.holder = order->vm,
		.fence = order->fencing_token,
		.orders = report->orders,
	};

	order->sending_order = true;
	append_stage_order(message, &fields);
	if (!call_engine(order, message))
		finish_order(order, "no connection");
	g_string_free(message, TRUE);
}

/* Keeps the status of an answer and passes its head on. */
static void order_head(void *context, const http_head_t *head)
{
	order_t *order = context;

	order->status = head->status;
	if (order->on_answer)
		order->on_answer(order->context, order->server, head);
}

/* Keeps the engine's report, unless those of other engines leave no room for it. The body of
 * the answer to the order itself is not needed.
 */
static void order_body(void *context, const char *data, size_t len)
{
	order_t *order = context;

	if (!order->sending_order &&
	    !kept_buffer_append(&order->report, (str_t){data, len},
				MAX_BODY_BYTES))
		http_call_reject(order->call);
}

/* Handles the end of a call. The order is sent only if the engine carries out
 * no other one and this VM may still give orders.
 */
static void order_end(void *context, call_end_t end)
{
	order_t *order = context;
	engine_report_t report;

	order->call = NULL;
	if (end != CALL_ANSWERED)
		finish_order(order, "unanswered");
	else if (order->sending_order)
		finish_order(order, "answered");
	else if (order->status != 200 ||
		 !engine_report_read(kept_buffer_bytes(&order->report),
				     &report))
		finish_order(order, "no report");
	else if (report.busy)
		finish_order(order, "busy");
	else if (clock_now(&order->pool->clock) >= order->valid_until_us)
		finish_order(order, "too late");
	else
		send_order(order, &report);
}

static const call_handler_t order_handler = {
	.on_head = order_head,
	.on_body = order_body,
	.on_end = order_end,
};

/* Sends a request to the engine. False when no connection could be made. */
static bool call_engine(order_t *order, const GString *message)
{
	http_call_options_t options = {
		.address = order->server->entry.address,
		.message = message,
		.max_body_bytes = MAX_BODY_BYTES,
		.handler = &order_handler,
		.context = order,
	};

	kept_buffer_clear(&order->report);
	order->call = http_pool_call(order->pool, &options);
	if (order->call)
		alarm_set(&order->deadline,
			  clock_now(&order->pool->clock) + ANSWER_TIMEOUT_US);
	return order->call != NULL;
}

/* Ends a call that the engine does not answer. Whether it took the order is unknown; the
 * order names the number of those before it, so that a late one does no harm.
 */
static void on_deadline(void *context)
{
	order_t *order = context;

	http_call_cancel(order->call);
	finish_order(order, "timeout");
}

/* Sends an order to an engine, after its report was read. Nothing is reported; how the
 * order ended is logged.
 */
void stage_order_send(const stage_order_request_t *request)
{
	GString *message = g_string_new(NULL);
	order_t *order = g_new0(order_t, 1);

	order->calls = request->calls;
	g_queue_push_tail(order->calls, order);
	order->pool = request->pool;
	order->server = server_ref(request->server);
	order->vm = g_strdup(request->vm);
	kept_buffer_init(&order->report, request->reports);
	alarm_init(&order->deadline, order->pool->clock, on_deadline, order);
	order->fencing_token = request->fencing_token;
	order->valid_until_us = request->valid_until_us;
	order->to_prefill = request->to_stage == STAGE_PREFILL;
	order->on_answer = request->on_answer;
	order->context = request->context;
	append_probe(message, NULL, order->server->entry.address,
		     str_from(order->server->entry.id));
	if (!call_engine(order, message))
		finish_order(order, "no connection");
	g_string_free(message, TRUE);
}

/* Cancels the calls in progress. Whether an engine took its order is unknown. */
void stage_orders_cancel(GQueue *calls)
{
	while (!g_queue_is_empty(calls)) {
		order_t *order = g_queue_peek_head(calls);

		if (order->call)
			http_call_cancel(order->call);
		finish_order(order, "cancelled");
	}
}
