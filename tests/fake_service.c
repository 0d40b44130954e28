/*
 * Fake plain service: executes any call below / once and echoes it. Query
 * parameters of a call choose its answer: `status` and `bytes` (padding).
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/clock.h"
#include "shared_fake.h"

typedef struct {
	char *listen;
	char *name;
	char *record_file; /* NULL: none */
	int64_t service_ms;
	int64_t max_running;
	gboolean once_by_key;
} service_options_t;

typedef struct {
	fake_t fake;
	service_options_t options;
	GHashTable *keys; /* Idempotency-Key to answer text, see once_by_key */
	int64_t counter; /* executed calls */
	int64_t running;
} service_t;

typedef struct {
	SoupServerMessage *message;
	fake_execution_t *execution;
	char *key;
	char *text;
	unsigned status;
	bool stalled;
} call_t;

static service_t service = {
	.options =
		{
			.service_ms = 20,
			.max_running = 64,
		},
};

static const GOptionEntry option_entries[] = {
	{"listen", 0, 0, G_OPTION_ARG_STRING, &service.options.listen,
	 "address; port 0 picks a free one", "IP:PORT"},
	{"name", 0, 0, G_OPTION_ARG_STRING, &service.options.name,
	 "name in answers (service)", "NAME"},
	{"record-file", 0, 0, G_OPTION_ARG_FILENAME,
	 &service.options.record_file, "appends executions to a file", "PATH"},
	{"service-ms", 0, 0, G_OPTION_ARG_INT64, &service.options.service_ms,
	 "time of a call", "N"},
	{"max-running", 0, 0, G_OPTION_ARG_INT64, &service.options.max_running,
	 "calls at a time, more get 503", "N"},
	{"once-by-key", 0, 0, G_OPTION_ARG_NONE, &service.options.once_by_key,
	 "answer a repeated Idempotency-Key without a second execution", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static const char *header(SoupServerMessage *message, const char *name)
{
	const char *value = soup_message_headers_get_one(
		soup_server_message_get_request_headers(message), name);

	return value ? value : "";
}

static JsonObject *echo_headers(SoupServerMessage *message)
{
	JsonObject *headers = json_object_new();
	SoupMessageHeadersIter iter;
	const char *name, *value;

	soup_message_headers_iter_init(
		&iter, soup_server_message_get_request_headers(message));
	while (soup_message_headers_iter_next(&iter, &name, &value)) {
		char *lower = g_ascii_strdown(name, -1);

		json_object_set_string_member(headers, lower, value);
		g_free(lower);
	}
	return headers;
}

static int64_t query_int(GHashTable *query, const char *key, int64_t absent)
{
	const char *text = query ? g_hash_table_lookup(query, key) : NULL;

	return text ? strtoll(text, NULL, 10) : absent;
}

/* The answer of an executed call. */
static char *echo(SoupServerMessage *message, const char *path,
		  GHashTable *query)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	GBytes *bytes = soup_message_body_flatten(body);
	const char *query_text =
		g_uri_get_query(soup_server_message_get_uri(message));
	char *padding = g_strnfill(
		(gsize)CLAMP(query_int(query, "bytes", 0), 0, 64 << 20), 'x');
	size_t len;
	const char *data = g_bytes_get_data(bytes, &len);
	char *body_text = g_utf8_make_valid(data ? data : "", (gssize)len);
	JsonObject *object;
	char *text;

	object = fake_json(
		"service", "s",
		service.options.name ? service.options.name : "service",
		"counter", "i", service.counter, "method", "s",
		soup_server_message_get_method(message), "path", "s", path,
		"query", "s", query_text ? query_text : "", "headers", "o",
		echo_headers(message), "body", "s", body_text, "body_bytes",
		"i", (int64_t)len, "padding", "s", padding, NULL);
	text = fake_json_text(object);
	json_object_unref(object);
	g_free(padding);
	g_free(body_text);
	g_bytes_unref(bytes);
	return text;
}

/* Answers a call whose work is done, unless a fault says otherwise. */
static gboolean on_done(gpointer user_data)
{
	call_t *call = user_data;

	if (!call->stalled) {
		service.running--;
		fake_execution_end(call->execution, "done");
		if (fake_fault_take(&service.fake, "crash_after_call"))
			fake_crash(&service.fake);
		if (fake_fault_take(&service.fake, "lose_answer"))
			fake_drop_connection(call->message);
		fake_reply_text(call->message, call->status, "application/json",
				call->text, strlen(call->text));
		soup_server_message_unpause(call->message);
	}
	g_object_unref(call->message);
	g_free(call->text);
	g_free(call);
	return G_SOURCE_REMOVE;
}

/* Executes a call: counts it, and answers after the time of a call. */
static void execute(SoupServerMessage *message, const char *path,
		    GHashTable *query)
{
	double delay_ms = fake_fault_get(&service.fake, "delay_ms");
	call_t *call = g_new0(call_t, 1);

	service.counter++;
	service.running++;
	call->message = g_object_ref(message);
	call->status = (unsigned)query_int(query, "status", 200);
	call->text = echo(message, path, query);
	call->stalled = fake_fault_take(&service.fake, "stall");
	call->execution = fake_execution_start(
		&service.fake, "call", header(message, "X-Request-Id"), 0);
	call->execution->details = fake_json(
		"key", "s", header(message, "Idempotency-Key"), "method", "s",
		soup_server_message_get_method(message), "path", "s", path,
		NULL);
	if (service.options.once_by_key && *header(message, "Idempotency-Key"))
		g_hash_table_replace(
			service.keys,
			g_strdup(header(message, "Idempotency-Key")),
			g_strdup(call->text));
	soup_server_message_pause(message);
	g_timeout_add((guint)(service.options.service_ms + (int64_t)delay_ms),
		      on_done, call);
}

static void reject(SoupServerMessage *message, const char *outcome)
{
	fake_execution_t *execution = fake_execution_start(
		&service.fake, "call", header(message, "X-Request-Id"), 0);

	execution->ran = false;
	fake_execution_end(execution, outcome);
	fake_reply_error(message, 503, outcome);
}

/* Any method and path that is not the fake's own. */
static void handle_call(SoupServerMessage *message, const char *path,
			GHashTable *query)
{
	const char *known = g_hash_table_lookup(
		service.keys, header(message, "Idempotency-Key"));

	if (fake_fault_take(&service.fake, "crash_before_call"))
		fake_crash(&service.fake);
	if (fake_fault_take(&service.fake, "refuse"))
		reject(message, "refused");
	else if (fake_fault_take(&service.fake, "stall_before_call"))
		soup_server_message_pause(message);
	else if (known)
		fake_reply_text(message, 200, "application/json", known,
				strlen(known));
	else if (service.running >= service.options.max_running)
		reject(message, "full");
	else
		execute(message, path, query);
}

static gboolean on_crash(gpointer user_data)
{
	fake_crash(&service.fake);
}

static void on_fault(const char *name, double value, void *context)
{
	if (!strcmp(name, "crash") && value != 0)
		g_idle_add(on_crash, NULL);
}

static void handle_record(SoupServerMessage *message)
{
	GString *out = g_string_new(NULL);

	fake_append_record(&service.fake, out);
	fake_reply_text(message, 200, "application/x-ndjson", out->str,
			out->len);
	g_string_free(out, TRUE);
}

static void handle_load(SoupServerMessage *message)
{
	bool leaving = fake_fault_get(&service.fake, "leaving") != 0;

	if (fake_fault_take(&service.fake, "refuse_load")) {
		fake_reply_error(message, 503, "refused");
		return;
	}
	fake_reply(message, 200,
		   fake_json("service", "s",
			     service.options.name ? service.options.name
						  : "service",
			     "running", "i", service.running, "limit", "i",
			     service.options.max_running, "leaving", "b",
			     (int)leaving, NULL));
}

static void handle(SoupServerMessage *message, const char *path,
		   GHashTable *query, void *context)
{
	if (!strcmp(path, "/fault") && fake_is_post(message))
		fake_reply_fault(&service.fake, message, on_fault, NULL);
	else if (!strcmp(path, "/record") && fake_is_get(message))
		handle_record(message);
	else if (!strcmp(path, "/load") && fake_is_get(message))
		handle_load(message);
	else
		handle_call(message, path, query);
}

int main(int argc, char **argv)
{
	const service_options_t *options = &service.options;

	if (!fake_parse_options(argc, argv, option_entries))
		return 2;
	if (!options->listen) {
		fprintf(stderr, "fake_service: --listen is expected\n");
		return 2;
	}
	service.keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fake_init(&service.fake);
	if (options->record_file &&
	    !fake_open_record_file(&service.fake, options->record_file))
		return 1;
	return fake_serve(&service.fake, options->listen, handle, NULL) ? 0 : 1;
}
