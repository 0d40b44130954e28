#include "load_request.h"

#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

#include "process/clock.h"
#include "request/verdict.h"
#include "shared_fake.h"

static void send_request(load_request_t *request);
static void read_line(load_request_t *request);

const char *load_outcome_text(load_outcome_t outcome)
{
	static const char *const texts[] = {
		[LOAD_ANSWERED] = "answered", [LOAD_REFUSED] = "refused",
		[LOAD_FAILED] = "failed",     [LOAD_CUT] = "cut",
		[LOAD_WRONG] = "wrong",	      [LOAD_LEFT] = "left",
	};

	return texts[outcome];
}

static void clear_leave_timer(load_request_t *request)
{
	if (!request->leave_timer)
		return;
	g_source_destroy(request->leave_timer);
	g_clear_pointer(&request->leave_timer, g_source_unref);
}

/* Reports the outcome and frees the request. */
static void finish(load_request_t *request, load_outcome_t outcome)
{
	const load_client_t *client = request->client;

	clear_leave_timer(request);
	request->end_us = fake_now_us();
	request->outcome = request->left ? LOAD_LEFT : outcome;
	client->done(request, client->context);
	g_clear_object(&request->lines);
	g_clear_object(&request->message);
	g_clear_object(&request->cancellable);
	if (request->body)
		g_string_free(request->body, TRUE);
	load_check_finish(&request->check);
	load_arrival_finish(&request->arrival);
	g_free(request->key);
	g_free(request->id);
	g_free(request->verdict);
	g_free(request);
}

/* The caller goes away: its connection is closed at once. */
static void leave(load_request_t *request)
{
	request->left = true;
	g_cancellable_cancel(request->cancellable);
}

static gboolean on_leave(gpointer user_data)
{
	leave(user_data);
	return G_SOURCE_REMOVE;
}

static bool is_not_run(const load_request_t *request)
{
	return request->verdict &&
	       !strcmp(request->verdict, verdict_run_text(RUN_NOT_RUN));
}

static void replace_verdict(load_request_t *request, const char *verdict)
{
	g_free(request->verdict);
	request->verdict = g_strdup(verdict);
}

/* Text of a completion or chat completion, whole or one chunk of it. */
static const char *completion_text(JsonObject *object)
{
	JsonArray *choices;
	JsonObject *choice;

	if (!json_object_has_member(object, "choices"))
		return "";
	choices = json_object_get_array_member(object, "choices");
	if (!choices || json_array_get_length(choices) == 0)
		return "";
	choice = json_array_get_object_element(choices, 0);
	if (json_object_has_member(choice, "text"))
		return fake_get_string(choice, "text");
	if (json_object_has_member(choice, "delta"))
		choice = json_object_get_object_member(choice, "delta");
	else if (json_object_has_member(choice, "message"))
		choice = json_object_get_object_member(choice, "message");
	return fake_get_string(choice, "content");
}

static JsonParser *parse(const char *text)
{
	JsonParser *parser = json_parser_new_immutable();
	JsonNode *root;

	if (json_parser_load_from_data(parser, text, -1, NULL)) {
		root = json_parser_get_root(parser);
		if (root && JSON_NODE_HOLDS_OBJECT(root))
			return parser;
	}
	g_object_unref(parser);
	return NULL;
}

/* Counts tokens that arrived now and the gaps before them. */
static void note_tokens(load_request_t *request, int64_t n)
{
	const load_client_t *client = request->client;
	int64_t now_us = fake_now_us();

	for (int64_t i = 0; i < n; i++) {
		if (request->first_us)
			client->gap((double)(now_us - request->last_us) /
					    CLOCK_US_PER_MS,
				    client->context);
		else
			request->first_us = now_us;
		request->last_us = now_us;
	}
	if (request->arrival.leave_tokens >= 0 &&
	    request->check.tokens >= request->arrival.leave_tokens)
		leave(request);
}

/* One data line of the event stream. */
static void handle_data(load_request_t *request, const char *data)
{
	JsonParser *parser;
	JsonObject *object;

	if (!strcmp(data, "[DONE]")) {
		request->done_seen = true;
		return;
	}
	parser = parse(data);
	if (!parser) {
		load_check_add(&request->check, "not-json ");
		return;
	}
	object = json_node_get_object(json_parser_get_root(parser));
	if (json_object_has_member(object, "verdict"))
		replace_verdict(request, fake_get_string(object, "verdict"));
	if (json_object_has_member(object, "error"))
		request->error_seen = true;
	note_tokens(request,
		    load_check_add(&request->check, completion_text(object)));
	g_object_unref(parser);
}

/* The outcome once the response has ended. */
static load_outcome_t stream_outcome(load_request_t *request)
{
	if (request->done_seen)
		return load_check_complete(&request->check) ? LOAD_ANSWERED
							    : LOAD_WRONG;
	if (request->error_seen)
		return is_not_run(request) ? LOAD_REFUSED : LOAD_FAILED;
	return LOAD_CUT;
}

/* A response that is no event stream: a completion or a service's answer. */
static load_outcome_t body_outcome(load_request_t *request)
{
	load_outcome_t outcome = LOAD_WRONG;
	JsonParser *parser;

	if (request->status != 200)
		return is_not_run(request) ? LOAD_REFUSED : LOAD_FAILED;
	if (request->arrival.kind != LOAD_COMPLETION)
		return LOAD_ANSWERED;
	parser = parse(request->body->str);
	if (!parser)
		return LOAD_CUT;
	load_check_add(&request->check, completion_text(json_node_get_object(
						json_parser_get_root(parser))));
	if (load_check_complete(&request->check))
		outcome = LOAD_ANSWERED;
	g_object_unref(parser);
	return outcome;
}

static bool is_event_stream(const load_request_t *request)
{
	const char *type = soup_message_headers_get_content_type(
		soup_message_get_response_headers(request->message), NULL);

	return type && !strcmp(type, "text/event-stream");
}

static void on_line(GObject *source, GAsyncResult *result, gpointer user_data)
{
	load_request_t *request = user_data;
	GError *error = NULL;
	char *line = g_data_input_stream_read_line_finish(
		G_DATA_INPUT_STREAM(source), result, NULL, &error);
	bool events = is_event_stream(request);

	if (!line) {
		/* An aborted connection counts as cut unless it said why. */
		if (events)
			finish(request, stream_outcome(request));
		else if (error)
			finish(request, LOAD_CUT);
		else
			finish(request, body_outcome(request));
		g_clear_error(&error);
		return;
	}
	if (!events)
		g_string_append(request->body, line);
	else if (g_str_has_prefix(line, "data: "))
		handle_data(request, line + strlen("data: "));
	else if (g_str_has_prefix(line, "event: error"))
		request->error_seen = true;
	g_free(line);
	read_line(request);
}

static void read_line(load_request_t *request)
{
	g_data_input_stream_read_line_async(request->lines, G_PRIORITY_DEFAULT,
					    request->cancellable, on_line,
					    request);
}

static void read_headers(load_request_t *request)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(request->message);
	const char *retry =
		soup_message_headers_get_one(headers, "Retry-After");

	request->status = soup_message_get_status(request->message);
	request->id =
		g_strdup(soup_message_headers_get_one(headers, "X-Request-Id"));
	request->verdict =
		g_strdup(soup_message_headers_get_one(headers, VERDICT_HEADER));
	request->retry_after_s = retry ? strtoll(retry, NULL, 10) : -1;
}

/*
 * A refused connection carried no request, so that the next router is tried,
 * as the platform's load balancer does.
 */
static bool try_next_router(load_request_t *request, const GError *error)
{
	if (request->left ||
	    !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED))
		return false;
	if (++request->connects >= request->client->routers->len)
		return false;
	request->router = (request->router + 1) % request->client->routers->len;
	g_clear_object(&request->message);
	send_request(request);
	return true;
}

static void on_response(GObject *source, GAsyncResult *result,
			gpointer user_data)
{
	load_request_t *request = user_data;
	GError *error = NULL;
	GInputStream *input =
		soup_session_send_finish(SOUP_SESSION(source), result, &error);

	if (!input) {
		if (!try_next_router(request, error))
			finish(request, LOAD_FAILED);
		g_error_free(error);
		return;
	}
	read_headers(request);
	request->lines = g_data_input_stream_new(input);
	g_object_unref(input);
	read_line(request);
}

static char *completion_body(const load_request_t *request)
{
	const load_arrival_t *arrival = &request->arrival;
	JsonObject *body = fake_json("model", "s", request->client->model,
				     "prompt", "s", arrival->prompt,
				     "max_tokens", "i", arrival->max_tokens,
				     "stream", "b", (int)arrival->stream, NULL);
	char *text = fake_json_text(body);

	json_object_unref(body);
	return text;
}

static SoupMessage *make_message(const load_request_t *request)
{
	const load_client_t *client = request->client;
	const char *method = "POST", *path = "/v1/completions";
	SoupMessage *message;
	GBytes *bytes;
	char *uri, *text;

	if (request->arrival.kind == LOAD_BOOK) {
		path = client->book_path;
	} else if (request->arrival.kind == LOAD_LOOKUP) {
		method = "GET";
		path = client->lookup_path;
	}
	uri = g_strdup_printf("http://%s%s",
			      (char *)g_ptr_array_index(client->routers,
							request->router),
			      path);
	message = soup_message_new(method, uri);
	g_free(uri);
	if (request->arrival.kind != LOAD_LOOKUP) {
		text = request->arrival.prompt ? completion_body(request)
					       : g_strdup("{}");
		bytes = g_bytes_new_take(text, strlen(text));
		soup_message_set_request_body_from_bytes(
			message, "application/json", bytes);
		g_bytes_unref(bytes);
	}
	return message;
}

static void add_headers(const load_request_t *request)
{
	const load_client_t *client = request->client;
	SoupMessageHeaders *headers =
		soup_message_get_request_headers(request->message);
	const load_workspace_t *workspace =
		&g_array_index(client->workspaces, load_workspace_t,
			       request->arrival.workspace);
	char text[96];

	g_snprintf(text, sizeof(text), "Bearer %s", workspace->token);
	soup_message_headers_replace(headers, "Authorization", text);
	if (client->timeout_ms > 0) {
		g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
			   client->timeout_ms);
		soup_message_headers_replace(headers, "X-Request-Timeout-Ms",
					     text);
	}
	if (request->key)
		soup_message_headers_replace(headers, "Idempotency-Key",
					     request->key);
}

static void send_request(load_request_t *request)
{
	request->message = make_message(request);
	soup_message_add_flags(request->message, SOUP_MESSAGE_NO_REDIRECT);
	add_headers(request);
	soup_session_send_async(request->client->session, request->message,
				G_PRIORITY_DEFAULT, request->cancellable,
				on_response, request);
}

/* Sends a request and takes over the arrival's contents. */
void load_request_start(const load_client_t *client, load_arrival_t *arrival,
			int64_t intended_us, unsigned router, int64_t returns)
{
	load_request_t *request = g_new0(load_request_t, 1);

	request->client = client;
	request->arrival = *arrival;
	request->returns = returns;
	request->router = router;
	request->intended_us = intended_us;
	request->sent_us = fake_now_us();
	request->retry_after_s = -1;
	request->cancellable = g_cancellable_new();
	request->body = g_string_new(NULL);
	load_check_init(&request->check, arrival->prompt ? arrival->prompt : "",
			arrival->output);
	if (arrival->kind == LOAD_BOOK)
		request->key = g_strdup_printf("load-%" G_GINT64_FORMAT
					       "-%" G_GINT64_FORMAT,
					       client->seed, arrival->serial);
	if (arrival->leave_ms >= 0) {
		request->leave_timer =
			g_timeout_source_new((guint)arrival->leave_ms);
		g_source_set_callback(request->leave_timer, on_leave, request,
				      NULL);
		g_source_attach(request->leave_timer, NULL);
	}
	memset(arrival, 0, sizeof(*arrival));
	send_request(request);
}
