#include "request/completion.h"

#include <inttypes.h>
#include <json-glib/json-glib.h>

#include "process/json_text.h"

/* Largest max_tokens that a request may ask for. */
#define MAX_TOKENS_LIMIT 1000000
/* Words of a prompt that its prefix ID covers. */
#define PREFIX_WORDS 64

/*
 * Counts whitespace-separated words, the measure that the engines use for
 * prompt tokens (docs/design.md, section 6.2).
 */
int64_t completion_count_tokens(str_t text)
{
	int64_t n = 0;
	bool in_word = false;

	for (size_t i = 0; i < text.len; i++) {
		bool space = g_ascii_isspace(text.data[i]);

		n += !space && !in_word;
		in_word = !space;
	}
	return n;
}

/*
 * Returns the prefix ID of a prompt: the first 16 hex digits of the SHA-256 of
 * its first PREFIX_WORDS words, joined by spaces. Engines name prefixes by the
 * same ID in their cache events.
 */
uint64_t completion_prefix_id(str_t prompt)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	char digits[17];
	size_t at = 0;

	for (size_t words = 0; words < PREFIX_WORDS; words++) {
		size_t start;

		while (at < prompt.len && g_ascii_isspace(prompt.data[at]))
			at++;
		start = at;
		while (at < prompt.len && !g_ascii_isspace(prompt.data[at]))
			at++;
		if (at == start)
			break;
		if (words)
			g_checksum_update(sum, (const guchar *)" ", 1);
		g_checksum_update(sum, (const guchar *)prompt.data + start,
				  (gssize)(at - start));
	}
	g_strlcpy(digits, g_checksum_get_string(sum), sizeof(digits));
	g_checksum_free(sum);
	return g_ascii_strtoull(digits, NULL, 16);
}

/* Sets a not-run verdict and returns false. */
static bool refuse(verdict_t *verdict, const char *detail)
{
	*verdict = verdict_make(RUN_NOT_RUN, VERDICT_BAD_REQUEST, detail);
	return false;
}

/* Returns a string member of an object, or NULL. The object owns it. */
static const char *get_string(JsonObject *object, const char *key)
{
	JsonNode *node = json_object_get_member(object, key);

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return NULL;
	return json_node_get_string(node);
}

/* Joins the contents of the chat messages to a prompt. */
static bool read_messages(completion_t *completion, JsonObject *object,
			  verdict_t *verdict)
{
	JsonNode *node = json_object_get_member(object, "messages");
	JsonArray *messages;
	GString *prompt;

	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return refuse(verdict, "messages: expected an array");
	messages = json_node_get_array(node);
	if (json_array_get_length(messages) == 0)
		return refuse(verdict, "messages: expected an entry");
	prompt = g_string_new(NULL);
	for (guint i = 0; i < json_array_get_length(messages); i++) {
		JsonNode *entry = json_array_get_element(messages, i);
		const char *content = NULL;

		if (JSON_NODE_HOLDS_OBJECT(entry))
			content = get_string(json_node_get_object(entry),
					     "content");
		if (!content) {
			g_string_free(prompt, TRUE);
			return refuse(verdict,
				      "messages: expected content strings");
		}
		g_string_append(prompt, content);
		g_string_append_c(prompt, '\n');
	}
	completion->prompt_len = prompt->len;
	completion->prompt = g_string_free(prompt, FALSE);
	return true;
}

/* Reads the prompt of either kind of request. */
static bool read_prompt(completion_t *completion, JsonObject *object,
			verdict_t *verdict)
{
	const char *prompt;

	if (completion->chat)
		return read_messages(completion, object, verdict);
	prompt = get_string(object, "prompt");
	if (!prompt || !*prompt)
		return refuse(verdict, "prompt: expected a non-empty string");
	completion->prompt = g_strdup(prompt);
	completion->prompt_len = strlen(prompt);
	return true;
}

/* Reads max_tokens and stream, which may be absent. */
static bool read_options(completion_t *completion, JsonObject *object,
			 verdict_t *verdict)
{
	JsonNode *node = json_object_get_member(object, "max_tokens");

	if (node) {
		if (!JSON_NODE_HOLDS_VALUE(node) ||
		    json_node_get_value_type(node) != G_TYPE_INT64)
			return refuse(verdict,
				      "max_tokens: expected an integer");
		completion->max_tokens = json_node_get_int(node);
		if (completion->max_tokens < 1 ||
		    completion->max_tokens > MAX_TOKENS_LIMIT)
			return refuse(verdict,
				      "max_tokens: expected 1 to 1000000");
	}
	node = json_object_get_member(object, "stream");
	if (node) {
		if (!JSON_NODE_HOLDS_VALUE(node) ||
		    json_node_get_value_type(node) != G_TYPE_BOOLEAN)
			return refuse(verdict, "stream: expected a boolean");
		completion->stream = json_node_get_boolean(node);
	}
	return true;
}

/* Reads the parsed JSON. On failure, members may be allocated already. */
static bool read_body(completion_t *completion, JsonNode *root,
		      verdict_t *verdict)
{
	JsonObject *object;
	const char *model;

	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return refuse(verdict, "body: expected a JSON object");
	object = json_node_get_object(root);
	model = get_string(object, "model");
	if (!model || !*model)
		return refuse(verdict, "model: expected a non-empty string");
	completion->model = g_strdup(model);
	if (!read_options(completion, object, verdict) ||
	    !read_prompt(completion, object, verdict))
		return false;
	completion->prompt_tokens = completion_count_tokens(
		(str_t){completion->prompt, completion->prompt_len});
	if (completion->prompt_tokens == 0)
		return refuse(verdict, "prompt: expected a word");
	return true;
}

/*
 * Parses a request body. On failure returns false with a not-run verdict that
 * says what was expected; completion_finish() is not needed then.
 */
bool completion_parse(completion_t *completion, str_t body, bool chat,
		      verdict_t *verdict)
{
	JsonParser *parser = json_parser_new_immutable();
	bool ok;

	memset(completion, 0, sizeof(*completion));
	completion->chat = chat;
	if (json_text_load(parser, body))
		ok = read_body(completion, json_parser_get_root(parser),
			       verdict);
	else
		ok = refuse(verdict, "body: expected valid JSON");
	g_object_unref(parser);
	if (!ok)
		completion_finish(completion);
	return ok;
}

/* Frees what completion_parse() allocated. May be called again. */
void completion_finish(completion_t *completion)
{
	g_clear_pointer(&completion->model, g_free);
	g_clear_pointer(&completion->prompt, g_free);
}

/* Appends a JSON string literal. Invalid UTF-8 becomes U+FFFD. */
static void append_json_string(GString *out, str_t text)
{
	char *valid =
		g_utf8_make_valid(text.data ? text.data : "", (gssize)text.len);

	g_string_append_c(out, '"');
	for (const char *p = valid; *p; p++) {
		unsigned char c = (unsigned char)*p;

		if (c == '"' || c == '\\')
			g_string_append_printf(out, "\\%c", c);
		else if (c < 0x20)
			g_string_append_printf(out, "\\u%04x", c);
		else
			g_string_append_c(out, (char)c);
	}
	g_string_append_c(out, '"');
	g_free(valid);
}

/* Appends what all responses begin with, up to the text of the choice. */
static void append_head(GString *out, const completion_t *completion, str_t id,
			const char *object)
{
	g_string_append_printf(out,
			       "{\"id\":\"%.*s\",\"object\":\"%s\",\"model\":",
			       STR_ARG(id), object);
	append_json_string(out, str_from(completion->model));
	g_string_append(out, ",\"choices\":[{\"index\":0,");
}

/* Appends the finish reason, null if empty, and closes the only choice. */
static void append_finish(GString *out, str_t finish)
{
	g_string_append(out, ",\"finish_reason\":");
	if (finish.len)
		append_json_string(out, finish);
	else
		g_string_append(out, "null");
	g_string_append(out, "}]");
}

/* Appends one server-sent event with the next text of a streamed answer.
 * `finish` is empty but for the last event.
 */
void completion_append_chunk(GString *out, const completion_t *completion,
			     str_t id, str_t text, str_t finish)
{
	g_string_append(out, "data: ");
	append_head(out, completion, id,
		    completion->chat ? "chat.completion.chunk"
				     : "text_completion");
	g_string_append(out, completion->chat ? "\"delta\":{\"content\":"
					      : "\"text\":");
	append_json_string(out, text);
	if (completion->chat)
		g_string_append_c(out, '}');
	append_finish(out, finish);
	g_string_append(out, "}\n\n");
}

/* Appends the JSON body of an answer that is not streamed. */
void completion_append_body(GString *out, const completion_t *completion,
			    str_t id, str_t text, str_t finish,
			    int64_t output_tokens)
{
	append_head(out, completion, id,
		    completion->chat ? "chat.completion" : "text_completion");
	g_string_append(out, completion->chat
				     ? "\"message\":{\"role\":\"assistant\","
				       "\"content\":"
				     : "\"text\":");
	append_json_string(out, text);
	if (completion->chat)
		g_string_append_c(out, '}');
	append_finish(out, finish);
	g_string_append_printf(out,
			       ",\"usage\":{\"prompt_tokens\":%" PRId64
			       ",\"completion_tokens\":%" PRId64 "}}",
			       completion->prompt_tokens, output_tokens);
}
