#include "support_caller.h"

#include <gio/gio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "process/clock.h"

/* Longer than any request of a test; a silent router is a fault. */
#define SILENCE_LIMIT_S 30
#define HASH_DIGITS 12

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

static void set_fault(caller_t *caller, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void set_fault(caller_t *caller, const char *format, ...)
{
	va_list args;

	if (caller->fault)
		return;
	va_start(args, format);
	caller->fault = g_strdup_vprintf(format, args);
	va_end(args);
}

static char *make_prompt(const caller_t *caller)
{
	GString *prompt = g_string_new(NULL);

	g_string_printf(prompt, "caller-%d", caller->number);
	for (int i = 1; i < caller->prompt_words; i++)
		g_string_append_printf(prompt, " word%d", i);
	return g_string_free(prompt, FALSE);
}

static char *make_request(caller_t *caller)
{
	char *prompt = make_prompt(caller);
	char *hash =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, prompt, -1);
	char *body = g_strdup_printf("{\"model\":\"summaries\",\"stream\":true,"
				     "\"max_tokens\":%d,\"prompt\":\"%s\"}",
				     caller->max_tokens, prompt);
	char *request;

	caller->hash = g_strndup(hash, HASH_DIGITS);
	g_snprintf(caller->trace, sizeof(caller->trace), "00-%032d-%016d-01",
		   caller->number + 1, caller->number + 1);
	request = g_strdup_printf(
		"POST /v1/completions HTTP/1.1\r\nHost: test\r\n"
		"Authorization: Bearer %s\r\ntraceparent: %s\r\n"
		"Content-Type: application/json\r\nConnection: close\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		caller->token, caller->trace, strlen(body), body);
	g_free(prompt);
	g_free(hash);
	g_free(body);
	return request;
}

/* Returns the value of a string member in flat JSON text, or NULL. */
static char *find_member(const char *json, const char *name)
{
	char *key = g_strdup_printf("\"%s\":\"", name);
	const char *at = strstr(json, key);
	const char *end;

	g_free(key);
	if (!at)
		return NULL;
	at = strchr(at, ':') + 2;
	end = strchr(at, '"');
	return end ? g_strndup(at, (gsize)(end - at)) : NULL;
}

static void take_error(caller_t *caller, const char *json)
{
	char *verdict = find_member(json, "verdict");

	g_free(caller->code);
	caller->code = find_member(json, "code");
	g_free(caller->message);
	caller->message = find_member(json, "message");
	caller->retry_after = strstr(json, "\"retry_after_s\":") != NULL;
	if (verdict) {
		g_free(caller->verdict);
		caller->verdict = verdict;
	}
}

static void take_token(caller_t *caller, const char *text)
{
	char *want = g_strdup_printf("%s:%d ", caller->hash, caller->tokens);

	if (strcmp(text, want) != 0)
		set_fault(caller, "token \"%s\" instead of \"%s\"", text, want);
	if (caller->stopped)
		set_fault(caller, "a token after the end");
	g_free(want);
	g_atomic_int_inc(&caller->tokens);
	if (caller->all_tokens)
		g_atomic_int_inc(caller->all_tokens);
}

static void take_data(caller_t *caller, const char *data)
{
	char *text;
	char *finish;

	if (strcmp(data, "[DONE]") == 0) {
		caller->done = true;
		return;
	}
	if (g_str_has_prefix(data, "{\"error\"")) {
		take_error(caller, data);
		return;
	}
	text = find_member(data, "text");
	finish = find_member(data, "finish_reason");
	if (text && *text)
		take_token(caller, text);
	if (finish)
		caller->stopped = true;
	g_free(text);
	g_free(finish);
}

static void take_head_line(caller_t *caller, const char *line)
{
	if (g_str_has_prefix(line, "HTTP/1.1 ")) {
		caller->status = (unsigned)strtoul(line + 9, NULL, 10);
	} else if (g_ascii_strncasecmp(line, "gooseberryspur-verdict: ", 24) ==
		   0) {
		g_free(caller->verdict);
		caller->verdict = g_strdup(line + 24);
	} else if (g_ascii_strncasecmp(line, "retry-after: ", 13) == 0) {
		caller->retry_after = true;
	}
}

/* A body line is a chunk size, an event field or a JSON error. */
static void take_body_line(caller_t *caller, const char *line)
{
	if (g_str_has_prefix(line, "data: "))
		take_data(caller, line + strlen("data: "));
	else if (g_str_has_prefix(line, "{\"error\""))
		take_error(caller, line);
	else if (strcmp(line, "0") == 0)
		caller->ended = true;
}

static bool wants_to_leave(const caller_t *caller)
{
	return caller->leave_after_tokens != CALLER_STAYS &&
	       caller->tokens >= caller->leave_after_tokens;
}

static void read_response(caller_t *caller, GDataInputStream *lines)
{
	bool in_head = true;
	char *line;

	while (!wants_to_leave(caller) && (line = g_data_input_stream_read_line(
						   lines, NULL, NULL, NULL))) {
		g_strchomp(line);
		if (in_head && !*line)
			in_head = false;
		else if (in_head)
			take_head_line(caller, line);
		else
			take_body_line(caller, line);
		g_free(line);
		if (caller->ended)
			break;
	}
	caller->complete = caller->status == 200 && caller->stopped &&
			   caller->done && caller->ended &&
			   caller->tokens == caller->max_tokens;
}

static void leave(caller_t *caller, GSocketConnection *connection)
{
	GSocket *socket = g_socket_connection_get_socket(connection);
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	if (caller->reset)
		setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER,
			   &linger, sizeof(linger));
	caller->left_us = now_us();
	g_io_stream_close(G_IO_STREAM(connection), NULL, NULL);
}

static void run_connection(caller_t *caller, GSocketConnection *connection)
{
	GInputStream *input =
		g_io_stream_get_input_stream(G_IO_STREAM(connection));
	GOutputStream *output =
		g_io_stream_get_output_stream(G_IO_STREAM(connection));
	GDataInputStream *lines = g_data_input_stream_new(input);
	char *request = make_request(caller);

	g_socket_set_timeout(g_socket_connection_get_socket(connection),
			     SILENCE_LIMIT_S);
	if (!g_output_stream_write_all(output, request, strlen(request), NULL,
				       NULL, NULL))
		set_fault(caller, "the request could not be sent");
	if (caller->leave_after_us != CALLER_STAYS)
		g_usleep((gulong)caller->leave_after_us);
	else
		read_response(caller, lines);
	if (caller->leave_after_us != CALLER_STAYS || wants_to_leave(caller))
		leave(caller, connection);
	g_object_unref(lines);
	g_free(request);
}

static gpointer run(gpointer data)
{
	caller_t *caller = data;
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection = g_socket_client_connect_to_host(
		client, caller->address, 0, NULL, NULL);

	if (connection) {
		run_connection(caller, connection);
		g_object_unref(connection);
	} else {
		set_fault(caller, "no connection");
	}
	g_object_unref(client);
	return NULL;
}

/* Sends the request and reads the response in a thread of its own. */
void caller_start(caller_t *caller)
{
	caller->thread = g_thread_new("caller", run, caller);
}

/* Waits until the caller has read its response or has left. */
void caller_join(caller_t *caller)
{
	g_thread_join(caller->thread);
}

/* Frees the results. */
void caller_finish(caller_t *caller)
{
	g_free(caller->verdict);
	g_free(caller->code);
	g_free(caller->message);
	g_free(caller->fault);
	g_free(caller->hash);
}
