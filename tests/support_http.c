#include "support_http.h"

#include <string.h>

/* Longest silence of a peer before a call fails. */
#define CALL_TIMEOUT_S 20

/* A session for each call, so that no connection is reused across calls. */
static SoupSession *make_session(void)
{
	return soup_session_new_with_options("timeout", CALL_TIMEOUT_S,
					     "proxy-resolver", NULL, NULL);
}

/* `headers` is a NULL-terminated list of names and values. */
static SoupMessage *make_message(const char *method, const char *address,
				 const char *path, const char *body,
				 const char *const *headers)
{
	char *uri = g_strdup_printf("http://%s%s", address, path);
	SoupMessage *message = soup_message_new(method, uri);
	SoupMessageHeaders *request;
	GBytes *bytes;

	g_free(uri);
	soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
	request = soup_message_get_request_headers(message);
	if (body) {
		bytes = g_bytes_new(body, strlen(body));
		soup_message_set_request_body_from_bytes(
			message, "application/json", bytes);
		g_bytes_unref(bytes);
	}
	for (size_t i = 0; headers && headers[i]; i += 2)
		soup_message_headers_append(request, headers[i],
					    headers[i + 1]);
	return message;
}

static JsonObject *parse_object(const char *text, size_t len)
{
	JsonParser *parser = json_parser_new_immutable();
	JsonObject *object = NULL;
	JsonNode *root = NULL;

	if (json_parser_load_from_data(parser, text, (gssize)len, NULL))
		root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		object = json_object_ref(json_node_get_object(root));
	g_object_unref(parser);
	return object;
}

/* Sends a call and reads the whole answer; see http_answer_finish(). */
http_answer_t http_call(const char *method, const char *address,
			const char *path, const char *body,
			const char *const *headers)
{
	SoupSession *session = make_session();
	SoupMessage *message =
		make_message(method, address, path, body, headers);
	http_answer_t answer = {0};
	GBytes *bytes;
	const char *data;

	bytes = soup_session_send_and_read(session, message, NULL, NULL);
	if (bytes) {
		data = g_bytes_get_data(bytes, &answer.len);
		answer.text = g_strndup(data ? data : "", answer.len);
		answer.status = soup_message_get_status(message);
		answer.json = parse_object(answer.text, answer.len);
		answer.headers = soup_message_headers_ref(
			soup_message_get_response_headers(message));
		g_bytes_unref(bytes);
	} else {
		answer.text = g_strdup("");
	}
	g_object_unref(message);
	soup_session_abort(session);
	g_object_unref(session);
	return answer;
}

http_answer_t http_get(const char *address, const char *path)
{
	return http_call("GET", address, path, NULL, NULL);
}

http_answer_t http_post(const char *address, const char *path, const char *body)
{
	return http_call("POST", address, path, body, NULL);
}

/* A header of the answer, or the empty string. */
const char *http_header(const http_answer_t *answer, const char *name)
{
	const char *value = NULL;

	if (answer->headers)
		value = soup_message_headers_get_one(answer->headers, name);
	return value ? value : "";
}

/* A string member of the answer's JSON, or the empty string. */
const char *http_json_string(const http_answer_t *answer, const char *key)
{
	if (!answer->json || !json_object_has_member(answer->json, key))
		return "";
	return json_object_get_string_member(answer->json, key);
}

/* An integer member of the answer's JSON, or -1. */
int64_t http_json_int(const http_answer_t *answer, const char *key)
{
	if (!answer->json || !json_object_has_member(answer->json, key))
		return -1;
	return json_object_get_int_member(answer->json, key);
}

void http_answer_finish(http_answer_t *answer)
{
	g_clear_pointer(&answer->text, g_free);
	g_clear_pointer(&answer->json, json_object_unref);
	g_clear_pointer(&answer->headers, soup_message_headers_unref);
}

static gpointer run_call(gpointer user_data)
{
	background_call_t *call = user_data;

	call->answer = http_call(call->method, call->address, call->path,
				 call->body, NULL);
	return NULL;
}

/* Starts a call that is expected to block; see http_call_join(). */
void http_call_start(background_call_t *call, const char *method,
		     const char *address, const char *path, const char *body)
{
	call->method = g_strdup(method);
	call->address = g_strdup(address);
	call->path = g_strdup(path);
	call->body = g_strdup(body);
	call->thread = g_thread_new("call", run_call, call);
}

/* Waits for the answer, which the caller finishes. */
http_answer_t http_call_join(background_call_t *call)
{
	g_thread_join(call->thread);
	g_free(call->method);
	g_free(call->address);
	g_free(call->path);
	g_free(call->body);
	return call->answer;
}

/* Opens an event stream; see http_stream_close(). */
http_stream_t http_stream_open(const char *address, const char *path,
			       const char *body, const char *const *headers)
{
	http_stream_t stream = {0};

	stream.session = make_session();
	stream.message = make_message("POST", address, path, body, headers);
	stream.cancellable = g_cancellable_new();
	stream.input = soup_session_send(stream.session, stream.message,
					 stream.cancellable, NULL);
	if (stream.input) {
		stream.status = soup_message_get_status(stream.message);
		stream.lines = g_data_input_stream_new(stream.input);
		g_data_input_stream_set_newline_type(
			stream.lines, G_DATA_STREAM_NEWLINE_TYPE_LF);
	}
	return stream;
}

/*
 * The data of the next event, or a line that is no event, such as a JSON
 * error; the caller frees it. NULL at the end and when the stream is cut.
 */
char *http_stream_next(http_stream_t *stream)
{
	char *line;

	while (stream->lines &&
	       (line = g_data_input_stream_read_line(
			stream->lines, NULL, stream->cancellable, NULL))) {
		if (g_str_has_prefix(line, "data: ")) {
			char *data = g_strdup(line + strlen("data: "));

			g_free(line);
			return data;
		}
		if (*line)
			return line;
		g_free(line);
	}
	return NULL;
}

/* A header of the response, or the empty string. */
const char *http_stream_header(const http_stream_t *stream, const char *name)
{
	const char *value = NULL;

	if (stream->input)
		value = soup_message_headers_get_one(
			soup_message_get_response_headers(stream->message),
			name);
	return value ? value : "";
}

/* Closes the connection, even in the middle of the stream. */
void http_stream_close(http_stream_t *stream)
{
	g_cancellable_cancel(stream->cancellable);
	soup_session_abort(stream->session);
	g_clear_object(&stream->lines);
	g_clear_object(&stream->input);
	g_clear_object(&stream->message);
	g_clear_object(&stream->cancellable);
	g_clear_object(&stream->session);
}

/* Switches faults of a fake, given as the JSON of POST /fault. */
void http_set_faults(const char *address, const char *faults)
{
	http_answer_t answer = http_post(address, "/fault", faults);

	if (answer.status != 200)
		g_warning("fault %s: status %u", faults, answer.status);
	http_answer_finish(&answer);
}

/* The record of a fake, one JSON object a line; the caller frees it. */
char *http_get_record(const char *address)
{
	http_answer_t answer = http_get(address, "/record");
	char *text = g_strdup(answer.text);

	http_answer_finish(&answer);
	return text;
}
