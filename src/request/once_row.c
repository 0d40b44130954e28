/* Rows of at-most-once calls as text: one JSON object each. */
#include <json-glib/json-glib.h>

#include "process/json_text.h"
#include "request/once.h"

static const char *const state_names[] = {
	[ONCE_STARTED] = "started",
	[ONCE_DONE] = "done",
	[ONCE_NOT_RUN] = "not-run",
};

/* Adds a text member to the open object. */
static void add_text(JsonBuilder *builder, const char *name, const char *value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}

/* Adds an integer member to the open object. */
static void add_int(JsonBuilder *builder, const char *name, int64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

/* Adds the response; a body above ONCE_MAX_BODY_BYTES is left out. */
static void add_outcome(JsonBuilder *builder, const once_outcome_t *outcome)
{
	gsize len = 0;
	const void *data = outcome->body ? g_bytes_get_data(outcome->body, &len)
					 : NULL;
	char *text;

	add_int(builder, "status", outcome->status);
	if (outcome->content_type)
		add_text(builder, "type", outcome->content_type);
	if (!outcome->body || len > ONCE_MAX_BODY_BYTES)
		return;
	text = g_base64_encode(data, len);
	add_text(builder, "body", text);
	g_free(text);
}

/*
 * Returns the row of a call as text, to be freed with g_free(). `outcome` is
 * used for ONCE_DONE only; now_ms is wall time.
 */
char *once_row_format(const once_t *call, once_state_t state,
		      const once_outcome_t *outcome, int64_t now_ms)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(builder);
	add_text(builder, "customer", call->workspace);
	add_text(builder, "key", call->key);
	add_text(builder, "call", call->call_hash);
	add_text(builder, "attempt", call->attempt);
	add_text(builder, "state", state_names[state]);
	add_int(builder, "written_ms", now_ms);
	if (state == ONCE_DONE && outcome)
		add_outcome(builder, outcome);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	return text;
}

/* Returns a copy of a text member, or NULL if there is none of this name. */
static char *read_text(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || json_node_get_value_type(node) != G_TYPE_STRING)
		return NULL;
	return json_node_dup_string(node);
}

/* Reads an integer member; false if there is none of this name. */
static bool read_int(JsonObject *object, const char *name, int64_t *value)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || json_node_get_value_type(node) != G_TYPE_INT64)
		return false;
	*value = json_node_get_int(node);
	return true;
}

/* Reads the state; false if it is missing or unknown. */
static bool read_state(JsonObject *object, once_state_t *state)
{
	char *name = read_text(object, "state");
	bool found = false;

	for (size_t i = 0; name && i < G_N_ELEMENTS(state_names); i++) {
		if (strcmp(name, state_names[i]) == 0) {
			*state = (once_state_t)i;
			found = true;
		}
	}
	g_free(name);
	return found;
}

/* Reads the response; false if it has no valid status. */
static bool read_outcome(JsonObject *object, once_outcome_t *outcome)
{
	char *body = read_text(object, "body");
	int64_t status;
	gsize len;
	guchar *data;

	if (!read_int(object, "status", &status) || status < 200 ||
	    status > 599) {
		g_free(body);
		return false;
	}
	outcome->status = (unsigned)status;
	outcome->content_type = read_text(object, "type");
	if (body) {
		data = g_base64_decode(body, &len);
		outcome->body = g_bytes_new_take(data, len);
	}
	g_free(body);
	return true;
}

/* Reads all members. On false, the row holds what was read so far. */
static bool read_row(JsonObject *object, once_row_t *row)
{
	row->workspace = read_text(object, "customer");
	row->key = read_text(object, "key");
	row->call_hash = read_text(object, "call");
	row->attempt = read_text(object, "attempt");
	if (!row->workspace || !row->key || !row->call_hash || !row->attempt)
		return false;
	if (!read_state(object, &row->state) ||
	    !read_int(object, "written_ms", &row->written_ms))
		return false;
	return row->state != ONCE_DONE || read_outcome(object, &row->outcome);
}

/*
 * Reads a row, to be freed with once_row_finish(). Returns false, with nothing
 * to free, if the text is not such a row.
 */
bool once_row_parse(const char *text, size_t len, once_row_t *row)
{
	JsonParser *parser = json_parser_new_immutable();
	JsonNode *root = NULL;
	bool ok;

	*row = (once_row_t){0};
	if (json_text_load(parser, (str_t){text, len}))
		root = json_parser_get_root(parser);
	ok = root && JSON_NODE_HOLDS_OBJECT(root) &&
	     read_row(json_node_get_object(root), row);
	g_object_unref(parser);
	if (!ok)
		once_row_finish(row);
	return ok;
}

/* Frees what a row owns and clears it. */
void once_row_finish(once_row_t *row)
{
	g_free(row->workspace);
	g_free(row->key);
	g_free(row->call_hash);
	g_free(row->attempt);
	g_free(row->outcome.content_type);
	if (row->outcome.body)
		g_bytes_unref(row->outcome.body);
	*row = (once_row_t){0};
}
