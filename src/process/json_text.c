#include "process/json_text.h"

/* Most levels of objects and arrays in a text. json-glib uses stack space for each. */
#define MAX_DEPTH 256

/* Returns the offset behind a string that begins at `at`, or the end of the text. */
static size_t skip_string(str_t text, size_t at)
{
	for (at++; at < text.len && text.data[at] != '"'; at++) {
		if (text.data[at] == '\\')
			at++;
	}
	return MIN(at + 1, text.len);
}

/* Returns whether a text may be parsed: it is not nested too deeply. The brackets are
 * counted without regard to their kind, which gives at least the depth of a valid text.
 * Comments and other quotes, which JSON does not have, could hide brackets.
 */
static bool is_parsable(str_t text)
{
	unsigned depth = 0;
	size_t at = 0;

	while (at < text.len) {
		char c = text.data[at];

		if (c == '"') {
			at = skip_string(text, at);
			continue;
		}
		if (c == '/' || c == '#' || c == '\'')
			return false;
		if (c == '[' || c == '{')
			depth++;
		else if ((c == ']' || c == '}') && depth > 0)
			depth--;
		if (depth > MAX_DEPTH)
			return false;
		at++;
	}
	return text.len > 0;
}

/* Parses a text. Returns false, and the parser holds nothing to use, if it is not JSON, or
 * is nested so deeply that the parser could exhaust the stack.
 */
bool json_text_load(JsonParser *parser, str_t text)
{
	if (!is_parsable(text))
		return false;
	return json_parser_load_from_data(parser, text.data, (gssize)text.len,
					  NULL);
}
