#include <argtable2.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdio.h>

#include "process/cmd.h"
#include "process/json_text.h"

/* Limit for the response of the VM. */
#define STATUS_TIMEOUT_S 5

/* Returns an integer member, or 0 if it is absent. */
static int64_t get_int(JsonObject *object, const char *key)
{
	return json_object_get_int_member_with_default(object, key, 0);
}

/* Returns a string member, or an empty string if it is absent. */
static const char *get_string(JsonObject *object, const char *key)
{
	return json_object_get_string_member_with_default(object, key, "");
}

/* Returns a boolean member, or false if it is absent. */
static bool get_bool(JsonObject *object, const char *key)
{
	return json_object_get_boolean_member_with_default(object, key, FALSE);
}

/* Prints one backend server as a line of key=value pairs. */
static void print_backend(JsonArray *array, guint index, JsonNode *node,
			  gpointer data)
{
	JsonObject *backend;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return;
	backend = json_node_get_object(node);
	printf("backend name=%s address=%s zone=%s pool=%s service=%s "
	       "usable=%d leaving=%d kv_used=%" G_GINT64_FORMAT
	       " kv_total=%" G_GINT64_FORMAT " running=%" G_GINT64_FORMAT
	       " report_age_ms=%" G_GINT64_FORMAT "\n",
	       get_string(backend, "name"), get_string(backend, "address"),
	       get_string(backend, "zone"), get_string(backend, "pool"),
	       get_string(backend, "service"), get_bool(backend, "usable"),
	       get_bool(backend, "leaving"), get_int(backend, "kv_used"),
	       get_int(backend, "kv_total"), get_int(backend, "running"),
	       get_int(backend, "report_age_ms"));
}

/* Prints one entry VM that the asked VM knows of. */
static void print_member(JsonArray *array, guint index, JsonNode *node,
			 gpointer data)
{
	JsonObject *member;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return;
	member = json_node_get_object(node);
	printf("member vm=%s zone=%s state=%s version=%" G_GINT64_FORMAT "\n",
	       get_string(member, "vm"), get_string(member, "zone"),
	       get_string(member, "state"), get_int(member, "version"));
}

/* Prints the lease of one zone. */
static void print_lease(JsonArray *array, guint index, JsonNode *node,
			gpointer data)
{
	JsonObject *lease;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return;
	lease = json_node_get_object(node);
	printf("lease zone=%s held=%d fence=%" G_GINT64_FORMAT "\n",
	       get_string(lease, "zone"), get_bool(lease, "held"),
	       get_int(lease, "fence"));
}

/* Calls a function for each element of an array member, if there is one. */
static void print_array(JsonObject *status, const char *key,
			JsonArrayForeach print)
{
	JsonNode *node = json_object_get_member(status, key);

	if (node && JSON_NODE_HOLDS_ARRAY(node))
		json_array_foreach_element(json_node_get_array(node), print,
					   NULL);
}

/* Prints a status, a JSON object, as lines. Returns the exit code. */
static int print_status(const char *text, gsize len)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root;
	int code = EXIT_CODE_INTERNAL;

	if (!json_text_load(parser, (str_t){text, len}))
		goto out;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		goto out;
	printf("vm=%s zone=%s version=%" G_GINT64_FORMAT
	       " draining=%d requests=%" G_GINT64_FORMAT "\n",
	       get_string(json_node_get_object(root), "vm"),
	       get_string(json_node_get_object(root), "zone"),
	       get_int(json_node_get_object(root), "version"),
	       get_bool(json_node_get_object(root), "draining"),
	       get_int(json_node_get_object(root), "requests"));
	print_array(json_node_get_object(root), "members", print_member);
	print_array(json_node_get_object(root), "backends", print_backend);
	print_array(json_node_get_object(root), "leases", print_lease);
	code = EXIT_CODE_OK;
out:
	if (code != EXIT_CODE_OK)
		fputs("gooseberryspur status: malformed response\n", stderr);
	g_object_unref(parser);
	return code;
}

/*
 * Prints the response of the VM, or why it holds no status. Returns the exit
 * code.
 */
static int show_response(unsigned status, GBytes *body, bool json)
{
	gsize len;
	const char *text = g_bytes_get_data(body, &len);

	if (status == 401 || status == 403) {
		fputs("gooseberryspur status: operator token refused\n",
		      stderr);
		return EXIT_CODE_REFUSED;
	}
	if (status != 200) {
		fprintf(stderr, "gooseberryspur status: HTTP status %u\n",
			status);
		return EXIT_CODE_INTERNAL;
	}
	if (!json)
		return print_status(text, len);
	printf("%.*s\n", (int)len, text);
	return EXIT_CODE_OK;
}

/* Requests the status of a VM and prints it. Returns the exit code. */
static int fetch_status(const char *address, const char *token, bool json)
{
	SoupSession *session = soup_session_new_with_options(
		"timeout", STATUS_TIMEOUT_S, "proxy-resolver", NULL, NULL);
	char *uri = g_strdup_printf("http://%s/v1/admin/status", address);
	SoupMessage *message = soup_message_new("GET", uri);
	GError *error = NULL;
	GBytes *body = NULL;
	int code;

	if (!message) {
		fprintf(stderr, "gooseberryspur status: %s: expected IP:port\n",
			address);
		code = EXIT_CODE_BAD_INPUT;
		goto out;
	}
	if (token) {
		char *value = g_strdup_printf("Bearer %s", token);

		soup_message_headers_replace(
			soup_message_get_request_headers(message),
			"Authorization", value);
		g_free(value);
	}
	body = soup_session_send_and_read(session, message, NULL, &error);
	if (body) {
		code = show_response(soup_message_get_status(message), body,
				     json);
	} else {
		fprintf(stderr, "gooseberryspur status: %s: %s\n", address,
			error->message);
		code = EXIT_CODE_UNREACHABLE;
		g_error_free(error);
	}
out:
	g_clear_pointer(&body, g_bytes_unref);
	g_clear_object(&message);
	g_free(uri);
	g_object_unref(session);
	return code;
}

/*
 * Shows the backend servers, their load, the members and the leases that one
 * VM knows.
 */
int cmd_status(int argc, char **argv)
{
	struct arg_str *vm =
		arg_str1(NULL, "vm", "IP:PORT", "operators' address of a VM");
	struct arg_str *token =
		arg_str0(NULL, "token", "TOKEN", "operator's bearer token");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {vm, token, json, help, end};
	int errors = arg_parse(argc, argv, table);
	int code;

	if (help->count) {
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		code = EXIT_CODE_OK;
	} else if (errors) {
		arg_print_errors(stderr, end, "gooseberryspur status");
		code = EXIT_CODE_BAD_INPUT;
	} else {
		code = fetch_status(vm->sval[0],
				    token->count ? token->sval[0] : NULL,
				    json->count > 0);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
