#include "connection/client.h"

#include "connection/http_pool.h"
#include "process/alarm.h"

/* A larger body is not kept, and its call ends with CLIENT_LOST. The body of a
 * stream has no limit.
 */
#define MAX_RESPONSE_BYTES (32 << 20)

struct client_call {
	client_t *client;
	http_call_t *http_call; /* NULL: ended, or no connection was begun */
	SoupMessageHeaders *headers; /* of the response */
	GByteArray *body;
	client_data_fn_t on_data;
	client_done_fn_t on_done;
	void *context;
	alarm_t alarm; /* the earlier one of the two deadlines */
	int64_t deadline_us;
	int64_t idle_limit_us;
	int64_t idle_deadline_us; /* 0: no idle limit */
	unsigned status; /* 0 without a response head */
	/* The end of the response can be told from a cut, and its body is not
	 * too large.
	 */
	bool can_be_complete;
	bool is_head; /* the method is HEAD */
};

/* Removes a call from its client and frees it. */
static void free_call(client_call_t *call)
{
	g_ptr_array_remove_fast(call->client->calls, call);
	alarm_finish(&call->alarm);
	soup_message_headers_unref(call->headers);
	g_byte_array_unref(call->body);
	g_free(call);
}

/* Reports the end of a call and frees it. */
static void end_call(client_call_t *call, client_outcome_t outcome)
{
	client_response_t response = {
		.outcome = outcome,
		.status = call->status,
		.headers = call->headers,
		.body = g_byte_array_free_to_bytes(call->body),
	};

	call->body = g_byte_array_new();
	if (call->http_call)
		http_call_cancel(call->http_call);
	call->http_call = NULL;
	call->on_done(call->context, &response);
	g_bytes_unref(response.body);
	free_call(call);
}

/* Sets the alarm to the deadline or the idle limit, whichever comes first. */
static void set_alarm(client_call_t *call)
{
	int64_t at_us = call->deadline_us;

	if (call->idle_deadline_us && call->idle_deadline_us < at_us)
		at_us = call->idle_deadline_us;
	alarm_set(&call->alarm, at_us);
}

/* Restarts the idle limit of a call, if it has one. */
static void restart_idle_limit(client_call_t *call)
{
	if (!call->idle_limit_us)
		return;
	call->idle_deadline_us =
		clock_now(&call->client->clock) + call->idle_limit_us;
	set_alarm(call);
}

/* Ends a call whose deadline or idle limit passed, or that was never sent. */
static void on_alarm(void *context)
{
	client_call_t *call = context;

	end_call(call,
		 call->http_call && http_call_is_connected(call->http_call)
			 ? CLIENT_TIMED_OUT
			 : CLIENT_NOT_SENT);
}

/* Returns whether the head shows where the response ends. Without a length or
 * chunks, the end of a body cannot be told from a cut, so such a response never
 * counts as complete.
 */
static bool is_framed(const client_call_t *call, const http_head_t *head)
{
	str_t value;

	return call->is_head || head->status == SOUP_STATUS_NO_CONTENT ||
	       head->status == SOUP_STATUS_NOT_MODIFIED ||
	       http_headers_find(&head->headers, "content-length", &value) ||
	       http_headers_find(&head->headers, "transfer-encoding", &value);
}

/* Keeps the status and the headers of the response. */
static void on_head(void *context, const http_head_t *head)
{
	client_call_t *call = context;

	call->status = head->status;
	call->can_be_complete = is_framed(call, head);
	for (size_t i = 0; i < http_headers_count(&head->headers); i++) {
		http_field_t field = http_headers_at(&head->headers, i);
		char *name = str_dup(field.name);
		char *value = str_dup(field.value);

		soup_message_headers_append(call->headers, name, value);
		g_free(name);
		g_free(value);
	}
	restart_idle_limit(call);
}

/* Passes on a piece of a streamed body, or appends it to the body kept. */
static void on_body(void *context, const char *data, size_t len)
{
	client_call_t *call = context;

	restart_idle_limit(call);
	if (call->on_data && call->status == SOUP_STATUS_OK) {
		call->on_data(call->context, data, len);
		return;
	}
	if (call->body->len + len > MAX_RESPONSE_BYTES) {
		call->can_be_complete = false;
		return;
	}
	g_byte_array_append(call->body, (const guint8 *)data, (guint)len);
}

/* Ends the client's call when its HTTP call has ended. */
static void on_end(void *context, call_end_t end)
{
	client_call_t *call = context;

	call->http_call = NULL;
	if (end == CALL_ANSWERED && call->can_be_complete)
		end_call(call, CLIENT_ANSWERED);
	else
		end_call(call,
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

/* Closes all connections. Calls in progress end with CLIENT_LOST. */
void client_finish(client_t *client)
{
	GPtrArray *open = client->calls;

	client->calls = g_ptr_array_new();
	for (guint i = 0; i < open->len; i++)
		end_call(g_ptr_array_index(open, i), CLIENT_LOST);
	g_ptr_array_unref(open);
	http_pool_finish(&client->pool);
	g_clear_pointer(&client->calls, g_ptr_array_unref);
}

/* Appends a header field to the GString in `data`. */
static void append_header(const char *name, const char *value, gpointer data)
{
	http_append_field(data, str_from(name), str_from(value));
}

/* Returns the request as it is sent, head and body. The caller frees it. */
static GString *format_request(const client_request_t *request)
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

/* Returns whether the address and the path form a valid URI, and the path can
 * stand in a request line.
 */
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

/* Starts a call. Returns NULL if the address and the path don't form a valid
 * URI. A call is sent once, also if its connection fails. With on_data, the
 * body of a 200 response is passed on as it arrives. on_done is never called
 * before this function returns: if no connection can be begun, the alarm calls
 * it at once.
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
	message = format_request(request);
	address = str_dup(request->address);
	options.address = address;
	options.message = message;
	options.is_head = call->is_head;
	options.new_connection = request->new_connection;
	options.context = call;
	call->http_call = http_pool_call(&client->pool, &options);
	g_free(address);
	g_string_free(message, TRUE);
	restart_idle_limit(call);
	if (call->http_call)
		set_alarm(call);
	else
		alarm_set(&call->alarm, clock_now(&client->clock));
	return call;
}

/* Cancels a call; its callbacks are not called again. NULL is allowed. */
void client_cancel(client_call_t *call)
{
	if (!call)
		return;
	if (call->http_call)
		http_call_cancel(call->http_call);
	free_call(call);
}
