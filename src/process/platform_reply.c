#include "process/platform_reply.h"

#include <json-glib/json-glib.h>

#include "process/json_text.h"
#include "version/lines.h"

/*
 * Returns the outcome of a call from its response. With 429 and 503 the
 * platform has not executed the call; after other server errors it may have.
 */
platform_outcome_t platform_reply_outcome(const client_response_t *response)
{
	if (response->outcome == CLIENT_NOT_SENT)
		return PLATFORM_NOT_SENT;
	if (response->outcome != CLIENT_ANSWERED)
		return PLATFORM_UNKNOWN;
	switch (response->status) {
	case 200:
	case 201:
	case 204:
		return PLATFORM_DONE;
	case 404:
		return PLATFORM_NOT_FOUND;
	case 412:
		return PLATFORM_CONDITION_FAILED;
	case 429:
	case 503:
		return PLATFORM_NOT_SENT;
	default:
		return response->status >= 400 && response->status < 500
			       ? PLATFORM_REJECTED
			       : PLATFORM_UNKNOWN;
	}
}

/* Reads the row version from the ETag header, a number in double quotes.
 * Returns false if there is no valid one.
 */
bool platform_reply_version(const client_response_t *response,
			    uint64_t *version)
{
	const char *etag = response->headers
				   ? soup_message_headers_get_one(
					     response->headers, "ETag")
				   : NULL;
	size_t len = etag ? strlen(etag) : 0;
	str_t digits;

	if (len < 3 || etag[0] != '"' || etag[len - 1] != '"')
		return false;
	digits = (str_t){etag + 1, len - 2};
	return lines_uint(&digits, UINT64_MAX, version) && digits.len == 0 &&
	       *version != PLATFORM_NO_ROW;
}

/* Returns the parsed JSON of a body, owned by the caller, or NULL. */
static JsonNode *parse_body(GBytes *body)
{
	JsonParser *parser = json_parser_new_immutable();
	gsize len;
	const char *data = g_bytes_get_data(body, &len);
	JsonNode *root = NULL;

	if (json_text_load(parser, (str_t){data, len}))
		root = json_parser_steal_root(parser);
	g_object_unref(parser);
	return root;
}

/* Returns a member of an object if it is a string, else NULL. */
static const char *get_string(JsonObject *object, const char *key)
{
	JsonNode *node = json_object_get_member(object, key);

	if (!node || json_node_get_value_type(node) != G_TYPE_STRING)
		return NULL;
	return json_node_get_string(node);
}

/* Returns a member of an object if it is an integer, else 0. */
static int64_t get_int(JsonObject *object, const char *key)
{
	JsonNode *node = json_object_get_member(object, key);

	if (!node || json_node_get_value_type(node) != G_TYPE_INT64)
		return 0;
	return json_node_get_int(node);
}

static void clear_row(gpointer data)
{
	platform_row_t *row = data;

	g_free(row->key);
	g_free(row->value);
}

/* Adds a row; one without a key, a value or a version is left out. */
static void add_row(GArray *rows, JsonObject *object)
{
	const char *key = get_string(object, "key");
	const char *value = get_string(object, "value");
	int64_t version = get_int(object, "version");
	platform_row_t row;

	if (!key || !value || version <= 0)
		return;
	row.key = g_strdup(key);
	row.value = g_strdup(value);
	row.version = (uint64_t)version;
	g_array_append_val(rows, row);
}

static void clear_vm(gpointer data)
{
	platform_vm_t *vm = data;

	g_free(vm->name);
	g_free(vm->address);
	g_free(vm->zone);
}

/* Adds a VM; one without all of its members is left out. */
static void add_vm(GArray *vms, JsonObject *object)
{
	const char *name = get_string(object, "name");
	const char *address = get_string(object, "address");
	const char *zone = get_string(object, "zone");
	const char *state = get_string(object, "state");
	platform_vm_t vm;

	if (!name || !address || !zone || !state)
		return;
	vm.name = g_strdup(name);
	vm.address = g_strdup(address);
	vm.zone = g_strdup(zone);
	vm.leaving = strcmp(state, "leaving") == 0;
	g_array_append_val(vms, vm);
}

/*
 * Reads the JSON objects of the array under `key`. Incomplete elements are left
 * out. Returns a new array, or NULL if the body has no such array.
 */
static GArray *read_array(GBytes *body, const char *key, size_t size,
			  GDestroyNotify clear,
			  void (*add)(GArray *array, JsonObject *object))
{
	JsonNode *root = parse_body(body);
	JsonNode *member = NULL;
	GArray *array = NULL;
	JsonArray *elements;

	if (root && JSON_NODE_HOLDS_OBJECT(root))
		member =
			json_object_get_member(json_node_get_object(root), key);
	if (!member || !JSON_NODE_HOLDS_ARRAY(member))
		goto out;
	array = g_array_new(FALSE, TRUE, (guint)size);
	g_array_set_clear_func(array, clear);
	elements = json_node_get_array(member);
	for (guint i = 0; i < json_array_get_length(elements); i++) {
		JsonNode *node = json_array_get_element(elements, i);

		if (JSON_NODE_HOLDS_OBJECT(node))
			add(array, json_node_get_object(node));
	}
out:
	if (root)
		json_node_unref(root);
	return array;
}

/* Returns the rows of a listing as a new array of platform_row_t, or NULL if
 * the body is malformed.
 */
GArray *platform_reply_rows(GBytes *body)
{
	return read_array(body, "rows", sizeof(platform_row_t), clear_row,
			  add_row);
}

/* Returns the VM list as a new array of platform_vm_t, or NULL if the body is
 * malformed.
 */
GArray *platform_reply_vms(GBytes *body)
{
	return read_array(body, "vms", sizeof(platform_vm_t), clear_vm, add_vm);
}
