#include "shared_fake.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "process/clock.h"

/* Microseconds on CLOCK_BOOTTIME. */
int64_t fake_now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* Parses the command line; prints the reason and returns false on bad use. */
bool fake_parse_options(int argc, char **argv, const GOptionEntry *entries)
{
	GOptionContext *options = g_option_context_new(NULL);
	GError *error = NULL;
	bool ok;

	g_option_context_add_main_entries(options, entries, NULL);
	ok = g_option_context_parse(options, &argc, &argv, &error);
	if (!ok) {
		fprintf(stderr, "%s: %s\n", argv[0], error->message);
		g_error_free(error);
	} else if (argc > 1) {
		fprintf(stderr, "%s: unexpected argument '%s'\n", argv[0],
			argv[1]);
		ok = false;
	}
	g_option_context_free(options);
	return ok;
}

/*
 * Builds a JSON object from triples of key, type and value. The type is one
 * of "s" (string), "i" (int64_t), "d" (double), "b" (int), "a" (JsonArray,
 * ownership moves) and "o" (JsonObject, ownership moves).
 */
JsonObject *fake_json(const char *key, ...)
{
	JsonObject *object = json_object_new();
	va_list args;

	va_start(args, key);
	while (key) {
		const char *type = va_arg(args, const char *);

		switch (type[0]) {
		case 's':
			json_object_set_string_member(
				object, key, va_arg(args, const char *));
			break;
		case 'i':
			json_object_set_int_member(object, key,
						   va_arg(args, int64_t));
			break;
		case 'd':
			json_object_set_double_member(object, key,
						      va_arg(args, double));
			break;
		case 'b':
			json_object_set_boolean_member(object, key,
						       va_arg(args, int));
			break;
		case 'a':
			json_object_set_array_member(object, key,
						     va_arg(args, JsonArray *));
			break;
		case 'o':
			json_object_set_object_member(
				object, key, va_arg(args, JsonObject *));
			break;
		default:
			g_error("unknown JSON type %s", type);
		}
		key = va_arg(args, const char *);
	}
	va_end(args);
	return object;
}

/* Serialises an object on one line; the caller frees the text. */
char *fake_json_text(JsonObject *object)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *text;

	json_node_set_object(node, object);
	text = json_to_string(node, FALSE);
	json_node_unref(node);
	return text;
}

/* Parses the request body; NULL when it is not a JSON object. */
JsonObject *fake_body(SoupServerMessage *message)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	GBytes *bytes = soup_message_body_flatten(body);
	JsonParser *parser = json_parser_new_immutable();
	JsonObject *object = NULL;
	JsonNode *root;
	size_t len;
	const char *data = g_bytes_get_data(bytes, &len);

	if (len &&
	    json_parser_load_from_data(parser, data, (gssize)len, NULL)) {
		root = json_parser_get_root(parser);
		if (root && JSON_NODE_HOLDS_OBJECT(root))
			object = json_object_ref(json_node_get_object(root));
	}
	g_object_unref(parser);
	g_bytes_unref(bytes);
	return object;
}

/* A string member, or the empty string. */
const char *fake_get_string(JsonObject *object, const char *key)
{
	JsonNode *node = json_object_get_member(object, key);

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return "";
	return json_node_get_string(node);
}

/* An integer member, or `absent`. */
int64_t fake_get_int(JsonObject *object, const char *key, int64_t absent)
{
	JsonNode *node = json_object_get_member(object, key);

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		return absent;
	return json_node_get_int(node);
}

void fake_reply_text(SoupServerMessage *message, unsigned status,
		     const char *type, const char *text, size_t len)
{
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, type, SOUP_MEMORY_COPY, text,
					 len);
}

/* Answers with a JSON object and consumes it. */
void fake_reply(SoupServerMessage *message, unsigned status, JsonObject *object)
{
	char *text = fake_json_text(object);

	fake_reply_text(message, status, "application/json", text,
			strlen(text));
	g_free(text);
	json_object_unref(object);
}

void fake_reply_error(SoupServerMessage *message, unsigned status,
		      const char *error)
{
	fake_reply(message, status, fake_json("error", "s", error, NULL));
}

/*
 * Closes the connection of a message. What is written afterwards is lost, so
 * the caller may still answer in order to let libsoup end the message.
 */
void fake_drop_connection(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);

	if (socket)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
}

bool fake_is_get(SoupServerMessage *message)
{
	return !strcmp(soup_server_message_get_method(message), "GET");
}

bool fake_is_post(SoupServerMessage *message)
{
	return !strcmp(soup_server_message_get_method(message), "POST");
}

/*
 * Sets a fault. 0 switches it off, -1 keeps it on, and a positive value is
 * either a number of occurrences or a parameter, depending on the fault.
 */
void fake_fault_set(fake_t *fake, const char *name, double value)
{
	double *copy = g_new(double, 1);

	*copy = value;
	g_hash_table_replace(fake->faults, g_strdup(name), copy);
}

double fake_fault_get(const fake_t *fake, const char *name)
{
	const double *value = g_hash_table_lookup(fake->faults, name);

	return value ? *value : 0;
}

/* Tells whether a counted fault occurs now, and uses up one occurrence. */
bool fake_fault_take(fake_t *fake, const char *name)
{
	double *value = g_hash_table_lookup(fake->faults, name);

	if (!value || *value == 0)
		return false;
	if (*value > 0)
		*value = *value > 1 ? *value - 1 : 0;
	return true;
}

/*
 * Answers POST /fault: {"NAME": true | false | number, ...}. true stays on
 * until false.
 */
void fake_reply_fault(fake_t *fake, SoupServerMessage *message,
		      fake_fault_changed_t changed, void *context)
{
	JsonObject *body = fake_body(message);
	GList *names;

	if (!body) {
		fake_reply_error(message, 400, "a JSON object is expected");
		return;
	}
	fake_reply(message, 200, json_object_new());
	names = json_object_get_members(body);
	for (GList *item = names; item; item = item->next) {
		const char *name = item->data;
		JsonNode *node = json_object_get_member(body, name);
		double value;

		if (!JSON_NODE_HOLDS_VALUE(node))
			continue;
		if (json_node_get_value_type(node) == G_TYPE_BOOLEAN)
			value = json_node_get_boolean(node) ? -1 : 0;
		else
			value = json_node_get_double(node);
		fake_fault_set(fake, name, value);
		if (changed)
			changed(name, value, context);
	}
	g_list_free(names);
	json_object_unref(body);
}

/* Adds the members of `from` to `to`. */
static void merge_members(JsonObject *to, JsonObject *from)
{
	GList *names = json_object_get_members(from);

	for (GList *item = names; item; item = item->next)
		json_object_set_member(to, item->data,
				       json_node_copy(json_object_get_member(
					       from, item->data)));
	g_list_free(names);
}

/* Appends the JSON line of one execution. */
static void append_execution(const fake_execution_t *e, GString *out)
{
	char *id = g_strdup_printf("%d.%" G_GINT64_FORMAT, (int)getpid(),
				   e->number);
	JsonObject *line;
	char *text;

	line = fake_json("id", "s", id, "kind", "s", e->kind, "request", "s",
			 e->request, "attempt", "i", e->attempt, "start_us",
			 "i", e->start_us, "end_us", "i", e->end_us, "tokens",
			 "i", e->tokens, "outcome", "s", e->outcome, "ran", "b",
			 (int)e->ran, NULL);
	if (e->details)
		merge_members(line, e->details);
	text = fake_json_text(line);
	g_string_append(out, text);
	g_string_append_c(out, '\n');
	g_free(text);
	g_free(id);
	json_object_unref(line);
}

/* Writes an execution to the record file, if there is one. */
static void save_execution(const fake_execution_t *execution)
{
	GString *line;

	if (execution->record_fd < 0)
		return;
	line = g_string_new(NULL);
	append_execution(execution, line);
	if (write(execution->record_fd, line->str, line->len) < 0)
		g_warning("record file: %s", g_strerror(errno));
	g_string_free(line, TRUE);
}

/* Starts a record; it lives as long as the process. */
fake_execution_t *fake_execution_start(fake_t *fake, const char *kind,
				       const char *request, int64_t attempt)
{
	fake_execution_t *execution = g_new0(fake_execution_t, 1);

	execution->kind = kind;
	execution->request = g_strdup(request);
	execution->attempt = attempt;
	execution->start_us = fake_now_us();
	execution->outcome = "running";
	execution->ran = true;
	execution->record_fd = fake->record_fd;
	g_ptr_array_add(fake->executions, execution);
	execution->number = fake->executions->len;
	save_execution(execution);
	return execution;
}

/* Ends a record; has no effect on one that has already ended. */
void fake_execution_end(fake_execution_t *execution, const char *outcome)
{
	if (execution->end_us)
		return;
	execution->end_us = fake_now_us();
	execution->outcome = outcome;
	save_execution(execution);
}

/* Appends one JSON line for each execution, in order of start. */
void fake_append_record(const fake_t *fake, GString *out)
{
	for (unsigned i = 0; i < fake->executions->len; i++)
		append_execution(g_ptr_array_index(fake->executions, i), out);
}

/*
 * Appends executions to a file too, so that they outlive a crash. Each one is
 * written when it starts and when it ends; the last line of an ID counts.
 */
bool fake_open_record_file(fake_t *fake, const char *path)
{
	fake->record_fd =
		open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	if (fake->record_fd < 0)
		fprintf(stderr, "%s: %s\n", path, g_strerror(errno));
	return fake->record_fd >= 0;
}

/* Ends the process at once, after saving what was running. */
void fake_crash(fake_t *fake)
{
	for (unsigned i = 0; i < fake->executions->len; i++)
		fake_execution_end(g_ptr_array_index(fake->executions, i),
				   "crashed");
	_Exit(1);
}

void fake_init(fake_t *fake)
{
	fake->server = soup_server_new("raw-paths", FALSE, NULL);
	fake->loop = g_main_loop_new(NULL, FALSE);
	fake->executions = g_ptr_array_new();
	fake->faults =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fake->record_fd = -1;
}

typedef struct {
	fake_handler_t handler;
	void *context;
} dispatch_t;

static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, void *user_data)
{
	const dispatch_t *dispatch = user_data;

	dispatch->handler(message, path, query, dispatch->context);
}

/* Prints the address in use, which a test waits for. */
static void print_address(SoupServer *server)
{
	GSList *listeners = soup_server_get_listeners(server);
	GSocket *socket = listeners->data;
	GSocketAddress *local = g_socket_get_local_address(socket, NULL);
	char *text =
		g_socket_connectable_to_string(G_SOCKET_CONNECTABLE(local));

	printf("listening %s\n", text);
	fflush(stdout);
	g_free(text);
	g_object_unref(local);
	g_slist_free(listeners);
}

/*
 * Listens on `address` (IP:port), prints "listening IP:PORT" and serves until
 * the process ends. Returns false when it cannot listen.
 */
bool fake_serve(fake_t *fake, const char *address, fake_handler_t handler,
		void *context)
{
	dispatch_t dispatch = {handler, context};
	const char *colon = strrchr(address, ':');
	GSocketAddress *local = NULL;
	GError *error = NULL;
	char *host;

	if (colon) {
		host = g_strndup(address, (size_t)(colon - address));
		local = g_inet_socket_address_new_from_string(
			host, (guint)strtoul(colon + 1, NULL, 10));
		g_free(host);
	}
	if (!local) {
		fprintf(stderr, "%s: IP:PORT is expected\n", address);
		return false;
	}
	soup_server_add_handler(fake->server, NULL, on_request, &dispatch,
				NULL);
	if (!soup_server_listen(fake->server, local, 0, &error)) {
		fprintf(stderr, "%s: %s\n", address, error->message);
		g_error_free(error);
		g_object_unref(local);
		return false;
	}
	g_object_unref(local);
	print_address(fake->server);
	g_main_loop_run(fake->loop);
	return true;
}
