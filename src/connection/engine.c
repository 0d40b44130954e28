#include "connection/engine.h"

#include <json-glib/json-glib.h>

#include "connection/token_event.h"
#include "process/json_text.h"
#include "request/sse.h"

/* An event of a decode stream holds a single token. */
#define MAX_EVENT_BYTES 65536

struct engine_call {
	client_call_t *http;
	engine_result_fn_t on_result;
	engine_token_fn_t on_token;
	engine_end_fn_t on_end;
	engine_load_fn_t on_load;
	engine_cancel_fn_t on_cancel;
	engine_cache_fn_t on_cache;
	void *context;
	sse_parser_t sse;
	bool streaming; /* a decode: `sse` is initialized */
	bool malformed; /* an event could not be parsed */
	bool finished; /* the last event of a stream was seen */
	bool parsing; /* sse_parser_feed() is on the stack and uses the call */
	bool aborted; /* by engine_abort(): no further callbacks */
};

static const char *const status_names[] = {
	[ENGINE_OK] = "ok",
	[ENGINE_REFUSED] = "refused",
	[ENGINE_GONE] = "gone",
	[ENGINE_FULL] = "full",
	[ENGINE_REJECTED] = "rejected",
	[ENGINE_NOT_SENT] = "not_sent",
	[ENGINE_LOST] = "lost",
	[ENGINE_TIMED_OUT] = "silent",
};

/* Returns the name of a status for log lines. */
const char *engine_status_text(engine_status_t status)
{
	return status_names[status];
}

/* Returns the status for the outcome and the HTTP status of a call. */
static engine_status_t read_status(const client_response_t *response)
{
	switch (response->outcome) {
	case CLIENT_NOT_SENT:
		return ENGINE_NOT_SENT;
	case CLIENT_LOST:
		return ENGINE_LOST;
	case CLIENT_TIMED_OUT:
		return ENGINE_TIMED_OUT;
	case CLIENT_ANSWERED:
		break;
	}
	switch (response->status) {
	case 200:
		return ENGINE_OK;
	case 410:
		return ENGINE_GONE;
	case 503:
		return ENGINE_REFUSED;
	case 507:
		return ENGINE_FULL;
	default:
		return ENGINE_REJECTED;
	}
}

static void call_free(engine_call_t *call)
{
	if (call->streaming)
		sse_parser_finish(&call->sse);
	g_free(call);
}

/* Parses a JSON object, which `parser` owns; NULL if the text is not one. */
static JsonObject *parse_object(JsonParser *parser, const char *data,
				size_t len)
{
	JsonNode *root;

	if (!json_text_load(parser, (str_t){data, len}))
		return NULL;
	root = json_parser_get_root(parser);
	return root && JSON_NODE_HOLDS_OBJECT(root) ? json_node_get_object(root)
						    : NULL;
}

static JsonObject *parse_body(JsonParser *parser,
			      const client_response_t *response)
{
	gsize len;
	const char *data = g_bytes_get_data(response->body, &len);

	return parse_object(parser, data, len);
}

/* Returns a member, or 0 if there is none. */
static int64_t get_int(JsonObject *object, const char *key)
{
	return json_object_get_int_member_with_default(object, key, 0);
}

/* Returns a member, borrowed from `object`, or an empty string. */
static str_t get_str(JsonObject *object, const char *key)
{
	return str_from(
		json_object_get_string_member_with_default(object, key, ""));
}

/* Handles the response to a prefill or an import. */
static void on_result_response(void *context, const client_response_t *response)
{
	engine_call_t *call = context;
	engine_result_t result = {.status = read_status(response)};
	JsonParser *parser = json_parser_new_immutable();
	JsonObject *object = NULL;

	if (result.status == ENGINE_OK) {
		object = parse_body(parser, response);
		if (object) {
			result.kv = get_str(object, "kv");
			result.tokens = get_int(object, "tokens");
			result.cached_tokens = get_int(object, "cached_tokens");
			result.kept_ms = get_int(object, "kept_ms");
		}
		if (!result.kv.len)
			result.status = ENGINE_REJECTED;
	}
	call->on_result(call->context, &result);
	g_object_unref(parser);
	call_free(call);
}

/* Handles the response to a cancellation. One without the number of tokens held
 * counts as malformed: it does not show that anything was freed.
 */
static void on_cancel_response(void *context, const client_response_t *response)
{
	engine_call_t *call = context;
	engine_status_t status = read_status(response);
	JsonParser *parser = json_parser_new_immutable();
	JsonObject *object = NULL;
	int64_t held = -1;

	if (status == ENGINE_OK) {
		object = parse_body(parser, response);
		if (object)
			held = json_object_get_int_member_with_default(
				object, "held_tokens", -1);
		if (held < 0)
			status = ENGINE_REJECTED;
	}
	call->on_cancel(call->context, status, held);
	g_object_unref(parser);
	call_free(call);
}

/* Handles a load report. An engine whose role is not "decode" is a prefill
 * engine.
 */
static void on_load_response(void *context, const client_response_t *response)
{
	engine_call_t *call = context;
	engine_load_t load = {.status = read_status(response)};
	JsonParser *parser = json_parser_new_immutable();
	JsonObject *object = NULL;

	if (load.status == ENGINE_OK) {
		object = parse_body(parser, response);
		if (!object)
			load.status = ENGINE_REJECTED;
	}
	if (object) {
		load.role = str_equal(get_str(object, "role"), STR("decode"))
				    ? ROLE_DECODE
				    : ROLE_PREFILL;
		load.model = get_str(object, "model");
		load.version = get_str(object, "version");
		load.kv_total = get_int(object, "kv_total");
		load.kv_used = get_int(object, "kv_used");
		load.running = get_int(object, "running");
		load.queued = get_int(object, "queued");
		load.age_ms = get_int(object, "age_ms");
		load.leaving = json_object_get_boolean_member_with_default(
			object, "leaving", FALSE);
	}
	call->on_load(call->context, &load);
	g_object_unref(parser);
	call_free(call);
}

/* Passes one event of the prefix cache to the caller. */
static void on_cache_event(JsonArray *array, guint index, JsonNode *node,
			   gpointer data)
{
	engine_call_t *call = data;
	engine_cache_event_t event;
	JsonObject *object;
	str_t prefix;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return;
	object = json_node_get_object(node);
	prefix = get_str(object, "prefix");
	event.sequence = (uint64_t)get_int(object, "seq");
	event.stored = str_equal(get_str(object, "op"), STR("store"));
	event.prefix = g_ascii_strtoull(prefix.data, NULL, 16);
	call->on_cache(call->context, &event, ENGINE_OK, 0);
}

/* Handles a list of prefix cache events. */
static void on_cache_response(void *context, const client_response_t *response)
{
	engine_call_t *call = context;
	engine_status_t status = read_status(response);
	JsonParser *parser = json_parser_new_immutable();
	JsonObject *object = NULL;
	JsonNode *events;
	uint64_t next = 0;

	if (status == ENGINE_OK)
		object = parse_body(parser, response);
	events = object ? json_object_get_member(object, "events") : NULL;
	if (events && JSON_NODE_HOLDS_ARRAY(events)) {
		next = (uint64_t)get_int(object, "next");
		json_array_foreach_element(json_node_get_array(events),
					   on_cache_event, call);
	} else if (status == ENGINE_OK) {
		status = ENGINE_REJECTED;
	}
	call->on_cache(call->context, NULL, status, next);
	g_object_unref(parser);
	call_free(call);
}

/* Reads an event of a decode stream; its strings borrow from `parser`. */
static bool parse_token_event(JsonParser *parser, str_t data,
			      engine_token_t *token)
{
	JsonObject *object = parse_object(parser, data.data, data.len);

	if (!object)
		return false;
	token->offset =
		json_object_get_int_member_with_default(object, "offset", -1);
	token->text = get_str(object, "text");
	token->finish = get_str(object, "finish");
	return token->offset >= 0;
}

/* Passes a token of a decode stream to the caller. Ignores all events after the
 * last token or after a malformed event.
 */
static void on_stream_event(const sse_event_t *event, void *context)
{
	engine_call_t *call = context;
	JsonParser *parser = NULL;
	engine_token_t token = {.offset = -1};
	bool ok;

	if (call->aborted || call->finished || call->malformed)
		return;
	ok = token_event_parse_fast(event->data, &token);
	if (!ok) {
		parser = json_parser_new_immutable();
		ok = parse_token_event(parser, event->data, &token);
	}
	if (ok) {
		call->finished = token.finish.len > 0;
		call->on_token(call->context, &token);
	} else {
		call->malformed = true;
	}
	g_clear_object(&parser);
}

/* Parses a piece of a decode stream, and frees the call if a callback aborted
 * it.
 */
static void on_stream_data(void *context, const char *data, size_t len)
{
	engine_call_t *call = context;

	call->parsing = true;
	if (!sse_parser_feed(&call->sse, data, len))
		call->malformed = true;
	call->parsing = false;
	if (call->aborted)
		call_free(call);
}

/* Ends a decode. A stream that ended without its last token counts as lost. */
static void on_stream_done(void *context, const client_response_t *response)
{
	engine_call_t *call = context;
	engine_status_t status = read_status(response);

	if (status == ENGINE_OK && !call->finished)
		status = ENGINE_LOST;
	if (call->malformed)
		status = ENGINE_REJECTED;
	call->on_end(call->context, status);
	call_free(call);
}

/* Begins a JSON body with the ID of an attempt. */
static JsonBuilder *begin_body(const engine_attempt_t *id)
{
	JsonBuilder *builder = json_builder_new();
	char *request = str_dup(id->request);

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "request");
	json_builder_add_string_value(builder, request);
	json_builder_set_member_name(builder, "attempt");
	json_builder_add_int_value(builder, id->attempt);
	g_free(request);
	return builder;
}

static void add_str(JsonBuilder *builder, const char *key, str_t value)
{
	char *text = str_dup(value);

	json_builder_set_member_name(builder, key);
	json_builder_add_string_value(builder, text);
	g_free(text);
}

static void add_int(JsonBuilder *builder, const char *key, int64_t value)
{
	json_builder_set_member_name(builder, key);
	json_builder_add_int_value(builder, value);
}

/* Ends a JSON body; frees the builder. */
static GBytes *end_body(JsonBuilder *builder)
{
	JsonNode *root;
	char *text;

	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	return g_bytes_new_take(text, strlen(text));
}

/*
 * Sends a call. Engines repeat no IDs, and may write an answer once more on its
 * connection. A call whose answer decides about a request therefore has a
 * connection of its own; the others may reuse one. Takes over the reference to
 * the body. Frees the call and returns NULL if the address is malformed.
 */
static engine_call_t *send_call(client_t *client, engine_call_t *call,
				client_request_t *request)
{
	GBytes *body = request->body;

	request->content_type = "application/json";
	request->context = call;
	call->http = client_send(client, request);
	if (body)
		g_bytes_unref(body);
	if (call->http)
		return call;
	call_free(call);
	return NULL;
}

/* Sends a prefill or an import. */
static engine_call_t *send_result_call(client_t *client, str_t address,
				       const char *path, JsonBuilder *builder,
				       int64_t deadline_us,
				       engine_result_fn_t fn, void *context)
{
	engine_call_t *call = g_new0(engine_call_t, 1);
	client_request_t request = {
		.method = "POST",
		.address = address,
		.path = path,
		.body = end_body(builder),
		.new_connection = true,
		.deadline_us = deadline_us,
		.on_done = on_result_response,
	};

	call->on_result = fn;
	call->context = context;
	return send_call(client, call, &request);
}

/*
 * Starts a prefill. The callback is called once unless the call is aborted.
 * All strings are copied. Returns NULL if the address is not of the form
 * "IP:port".
 */
engine_call_t *engine_prefill(client_t *client, str_t address,
			      const engine_prefill_t *args, int64_t deadline_us,
			      engine_result_fn_t fn, void *context)
{
	JsonBuilder *builder = begin_body(&args->id);

	add_str(builder, "model", args->model);
	add_str(builder, "adapter", args->adapter);
	add_str(builder, "prompt", args->prompt);
	add_int(builder, "prompt_tokens", args->prompt_tokens);
	add_int(builder, "priority", args->priority);
	return send_result_call(client, address, "/v1/prefill", builder,
				deadline_us, fn, context);
}

/* Makes a decode engine import a prefill result. Callback, strings and return
 * value are as for engine_prefill().
 */
engine_call_t *engine_import(client_t *client, str_t address,
			     const engine_import_t *args, int64_t deadline_us,
			     engine_result_fn_t fn, void *context)
{
	JsonBuilder *builder = begin_body(&args->id);

	add_str(builder, "source", args->source);
	add_str(builder, "kv", args->kv);
	add_int(builder, "tokens", args->tokens);
	add_int(builder, "reserve_tokens", args->reserve_tokens);
	return send_result_call(client, address, "/v1/kv/import", builder,
				deadline_us, fn, context);
}

/*
 * Starts a decode from an imported KV cache. on_token is called for each token
 * in the order of arrival. on_end is called once at the end, with ENGINE_OK
 * only after the last token of the answer. A stream that is silent for
 * idle_limit_us ends with ENGINE_TIMED_OUT.
 */
engine_call_t *engine_decode(client_t *client, str_t address,
			     const engine_decode_t *args, int64_t deadline_us,
			     int64_t idle_limit_us, engine_token_fn_t on_token,
			     engine_end_fn_t on_end, void *context)
{
	engine_call_t *call = g_new0(engine_call_t, 1);
	JsonBuilder *builder = begin_body(&args->id);
	client_request_t request = {
		.method = "POST",
		.address = address,
		.path = "/v1/decode",
		.new_connection = true,
		.deadline_us = deadline_us,
		.idle_limit_us = idle_limit_us,
		.on_data = on_stream_data,
		.on_done = on_stream_done,
	};

	call->on_token = on_token;
	call->on_end = on_end;
	call->context = context;
	call->streaming = true;
	sse_parser_init(&call->sse, MAX_EVENT_BYTES, on_stream_event, call);
	add_str(builder, "kv", args->kv);
	add_int(builder, "offset", args->offset);
	add_int(builder, "max_tokens", args->max_tokens);
	add_int(builder, "priority", args->priority);
	request.body = end_body(builder);
	return send_call(client, call, &request);
}

/*
 * Cancels an attempt of a request and all earlier ones, so that the engine
 * frees their KV cache.
 */
engine_call_t *engine_cancel(client_t *client, str_t address,
			     const engine_attempt_t *id, int64_t deadline_us,
			     engine_cancel_fn_t fn, void *context)
{
	engine_call_t *call = g_new0(engine_call_t, 1);
	client_request_t request = {
		.method = "POST",
		.address = address,
		.path = "/v1/cancel",
		.new_connection = true,
		.deadline_us = deadline_us,
		.on_done = on_cancel_response,
		.body = end_body(begin_body(id)),
	};

	call->on_cancel = fn;
	call->context = context;
	return send_call(client, call, &request);
}

/* Fetches an engine's load report. */
engine_call_t *engine_fetch_load(client_t *client, str_t address,
				 int64_t deadline_us, engine_load_fn_t fn,
				 void *context)
{
	engine_call_t *call = g_new0(engine_call_t, 1);
	client_request_t request = {
		.method = "GET",
		.address = address,
		.path = "/v1/load",
		.deadline_us = deadline_us,
		.on_done = on_load_response,
	};

	call->on_load = fn;
	call->context = context;
	return send_call(client, call, &request);
}

/* Fetches the changes of an engine's prefix cache that follow event `after`. */
engine_call_t *engine_fetch_cache_events(client_t *client, str_t address,
					 uint64_t after, int64_t deadline_us,
					 engine_cache_fn_t fn, void *context)
{
	engine_call_t *call = g_new0(engine_call_t, 1);
	char *path = g_strdup_printf(
		"/v1/cache-events?after=%" G_GUINT64_FORMAT, after);
	client_request_t request = {
		.method = "GET",
		.address = address,
		.path = path,
		.deadline_us = deadline_us,
		.on_done = on_cache_response,
	};

	call->on_cache = fn;
	call->context = context;
	call = send_call(client, call, &request);
	g_free(path);
	return call;
}

/*
 * Aborts a call, which may be NULL; its callbacks are not called again. The
 * engine keeps what it holds for the request until engine_cancel().
 */
void engine_abort(engine_call_t *call)
{
	if (!call)
		return;
	client_cancel(call->http);
	call->aborted = true;
	/* If a token callback aborts the call, the parser still uses it, and
	 * on_stream_data() frees it.
	 */
	if (!call->parsing)
		call_free(call);
}
