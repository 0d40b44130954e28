#include "connection/client.h"

#include "connection/http_pool.h"
#include "process/alarm.h"

#define MAX_RESPONSE_BYTES (32 << 20)

struct client_call {
	client_t *client;
	http_call_t *call; /* NULL: no connection could be made */
	SoupMessageHeaders *headers; /* of the response */
	GByteArray *body;
	client_data_fn_t on_data;
	client_done_fn_t on_done;
	void *context;
	alarm_t alarm;
	int64_t deadline_us;
	int64_t idle_limit_us;
	int64_t idle_deadline_us; /* 0: no idle limit */
	unsigned status; /* 0 without a response head */
	bool has_end; /* the end of the body shows that it is whole */
	bool is_head;
};

static void call_free(client_call_t *call)
{
	g_ptr_array_remove_fast(call->client->calls, call);
	alarm_finish(&call->alarm);
	soup_message_headers_unref(call->headers);
	g_byte_array_unref(call->body);
	g_free(call);
}

static void call_end(client_call_t *call, client_outcome_t outcome)
{
	client_response_t response = {
		.outcome = outcome,
		.status = call->status,
		.headers = call->headers,
		.body = g_byte_array_free_to_bytes(call->body),
	};

	call->body = g_byte_array_new();
	if (call->call)
		http_call_cancel(call->call);
	call->call = NULL;
	call->on_done(call->context, &response);
	g_bytes_unref(response.body);
	call_free(call);
}

static void arm(client_call_t *call)
{
	int64_t at_us = call->deadline_us;

	if (call->idle_deadline_us && call->idle_deadline_us < at_us)
		at_us = call->idle_deadline_us;
	alarm_set(&call->alarm, at_us);
}

static void touch(client_call_t *call)
{
	if (!call->idle_limit_us)
		return;
	call->idle_deadline_us =
		clock_now(&call->client->clock) + call->idle_limit_us;
	arm(call);
}

static void on_alarm(void *context)
{
	client_call_t *call = context;

	call_end(call, call->call && http_call_is_connected(call->call)
			       ? CLIENT_TIMED_OUT
			       : CLIENT_NOT_SENT);
}

/*
 * Without a length or chunks, the end of a body cannot be told from a cut, and
 * such a response never counts as whole.
 */
static bool has_end(const client_call_t *call, const http_head_t *head)
{
	str_t value;

	return call->is_head || head->status == SOUP_STATUS_NO_CONTENT ||
	       head->status == SOUP_STATUS_NOT_MODIFIED ||
	       http_headers_find(&head->headers, "content-length", &value) ||
	       http_headers_find(&head->headers, "transfer-encoding", &value);
}

static void on_head(void *context, const http_head_t *head)
{
	client_call_t *call = context;

	call->status = head->status;
	call->has_end = has_end(call, head);
	for (size_t i = 0; i < http_headers_count(&head->headers); i++) {
		http_field_t field = http_headers_at(&head->headers, i);
		char *name = str_dup(field.name);
		char *value = str_dup(field.value);

		soup_message_headers_append(call->headers, name, value);
		g_free(name);
		g_free(value);
	}
	touch(call);
}

static void on_body(void *context, const char *data, size_t len)
{
	client_call_t *call = context;

	touch(call);
	if (call->on_data && call->status == SOUP_STATUS_OK) {
		call->on_data(call->context, data, len);
		return;
	}
	if (call->body->len + len > MAX_RESPONSE_BYTES) {
		call->has_end = false;
		return;
	}
	g_byte_array_append(call->body, (const guint8 *)data, (guint)len);
}

static void on_end(void *context, call_end_t end)
{
	client_call_t *call = context;

	call->call = NULL;
	if (end == CALL_ANSWERED && call->has_end)
		call_end(call, CLIENT_ANSWERED);
	else
		call_end(call,
			 end == CALL_NOT_SENT ? CLIENT_NOT_SENT : CLIENT_LOST);
}

static const call_handler_t handler = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Sets up a client without connections. */
void client_init(client_t *client, clock_source_t clock)
{
	client->clock = clock;
	client->calls = g_ptr_array_new();
	http_pool_init(&client->pool, clock, 0, 0);
}

/* Closes all connections. Calls still open end with CLIENT_LOST. */
void client_finish(client_t *client)
{
	GPtrArray *open = client->calls;

	client->calls = g_ptr_array_new();
	for (guint i = 0; i < open->len; i++)
		call_end(g_ptr_array_index(open, i), CLIENT_LOST);
	g_ptr_array_unref(open);
	http_pool_finish(&client->pool);
	g_clear_pointer(&client->calls, g_ptr_array_unref);
}

static void append_header(const char *name, const char *value, gpointer data)
{
	http_append_field(data, str_from(name), str_from(value));
}

static GString *make_message(const client_request_t *request)
{
	GString *message = g_string_new(NULL);

	g_string_printf(message, "%s %s HTTP/1.1\r\n", request->method,
			request->path);
	http_append_field(message, STR("Host"), request->address);
	if (request->headers)
		soup_message_headers_foreach(request->headers, append_header,
					     message);
	if (request->new_connection)
		g_string_append(message, "Connection: close\r\n");
	if (request->body && request->content_type)
		http_append_field(message, STR("Content-Type"),
				  str_from(request->content_type));
	if (request->body)
		http_append_int(message, "Content-Length",
				(int64_t)g_bytes_get_size(request->body));
	else if (strcmp(request->method, "GET") != 0 &&
		 strcmp(request->method, "HEAD") != 0)
		http_append_int(message, "Content-Length", 0);
	g_string_append(message, "\r\n");
	if (request->body) {
		gsize len;
		const char *data = g_bytes_get_data(request->body, &len);

		g_string_append_len(message, data, (gssize)len);
	}
	return message;
}

static bool is_valid(const client_request_t *request)
{
	char *address = str_dup(request->address);
	char *uri = g_strdup_printf("http://%s%s", address, request->path);
	bool ok = request->path[0] == '/' &&
		  g_uri_is_valid(uri, G_URI_FLAGS_NONE, NULL) &&
		  !strpbrk(request->path, " \r\n");

	g_free(address);
	g_free(uri);
	return ok;
}

/*
 * Starts a call. The address and path must form a valid URI; NULL is returned
 * if they don't. A call is sent once, whatever becomes of its connection. With
 * on_data, the body of a 200 response is passed on as it arrives.
 */
client_call_t *client_send(client_t *client, const client_request_t *request)
{
	http_call_options_t options = {.handler = &handler};
	client_call_t *call;
	GString *message;
	char *address;

	if (!is_valid(request))
		return NULL;
	call = g_new0(client_call_t, 1);
	call->client = client;
	call->headers = soup_message_headers_new(SOUP_MESSAGE_HEADERS_RESPONSE);
	call->body = g_byte_array_new();
	call->on_data = request->on_data;
	call->on_done = request->on_done;
	call->context = request->context;
	call->deadline_us = request->deadline_us;
	call->idle_limit_us = request->idle_limit_us;
	call->is_head = strcmp(request->method, "HEAD") == 0;
	alarm_init(&call->alarm, client->clock, on_alarm, call);
	g_ptr_array_add(client->calls, call);
	message = make_message(request);
	address = str_dup(request->address);
	options.address = address;
	options.message = message;
	options.is_head = call->is_head;
	options.fresh = request->new_connection;
	options.context = call;
	call->call = http_pool_call(&client->pool, &options);
	g_free(address);
	g_string_free(message, TRUE);
	touch(call);
	if (call->call)
		arm(call);
	else
		alarm_set(&call->alarm, clock_now(&client->clock));
	return call;
}

/* Gives up a call; its callbacks are not called again. */
void client_cancel(client_call_t *call)
{
	if (!call)
		return;
	if (call->call)
		http_call_cancel(call->call);
	call_free(call);
}
