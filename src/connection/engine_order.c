#include "connection/engine_order.h"

#include <json-glib/json-glib.h>

static void add_text(JsonBuilder *builder, const char *key, const char *value)
{
	json_builder_set_member_name(builder, key);
	json_builder_add_string_value(builder, value);
}

static GBytes *make_body(const order_action_t *order, uint64_t fence)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "fence");
	json_builder_add_int_value(builder, (gint64)fence);
	if (order->kind == ORDER_ROLE) {
		add_text(builder, "role",
			 order->role == ROLE_PREFILL ? "prefill" : "decode");
	} else {
		add_text(builder, "model", order->model);
		add_text(builder, "version", order->version);
	}
	if (order->kind == ORDER_ADAPTER)
		add_text(builder, "adapter", order->adapter);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	return g_bytes_new_take(text, strlen(text));
}

/*
 * Sends an order under a fencing token. It is sent once: a late repetition by
 * the connection could overtake the order of a new lease holder. The done
 * function gets the response, see engine_order_outcome().
 */
client_call_t *engine_order_send(client_t *client, const order_action_t *order,
				 uint64_t fence, int64_t deadline_us,
				 client_done_fn_t done, void *context)
{
	GBytes *body = make_body(order, fence);
	client_request_t request = {
		.method = "POST",
		.address = str_from(order->address),
		.path = "/v1/orders",
		.content_type = "application/json",
		.body = body,
		.deadline_us = deadline_us,
		.on_done = done,
		.context = context,
	};
	client_call_t *call = client_send(client, &request);

	g_bytes_unref(body);
	return call;
}

/* Interprets the response to an order. */
order_outcome_t engine_order_outcome(const client_response_t *response)
{
	switch (response->outcome) {
	case CLIENT_NOT_SENT:
		return ORDER_FAILED;
	case CLIENT_LOST:
	case CLIENT_TIMED_OUT:
		return ORDER_UNKNOWN;
	case CLIENT_ANSWERED:
		break;
	}
	if (response->status == 200)
		return ORDER_APPLIED;
	return response->status == 409 ? ORDER_STALE_TOKEN : ORDER_FAILED;
}
