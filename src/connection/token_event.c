#include "connection/token_event.h"

#define OFFSET_KEY STR("{\"offset\":")
#define TEXT_KEY STR(",\"text\":\"")
#define END STR("\"}")

/* Longer numbers are left to the JSON parser, which checks for overflow. */
#define MAX_OFFSET_DIGITS 15

static void skip(str_t *data, size_t n)
{
	data->data += n;
	data->len -= n;
}

/* Reads the offset's digits from the start of `data` and removes them. */
static bool read_offset(str_t *data, int64_t *offset)
{
	size_t n = 0;

	*offset = 0;
	while (n < data->len && g_ascii_isdigit(data->data[n]) &&
	       n <= MAX_OFFSET_DIGITS)
		*offset = *offset * 10 + (data->data[n++] - '0');
	/* JSON has no leading zeros. */
	if (n == 0 || n > MAX_OFFSET_DIGITS || (n > 1 && data->data[0] == '0'))
		return false;
	skip(data, n);
	return true;
}

/* Returns whether a text may stand in a JSON string without any escape. */
static bool is_unescaped(str_t text)
{
	for (size_t i = 0; i < text.len; i++) {
		unsigned char c = (unsigned char)text.data[i];

		if (c < ' ' || c == '"' || c == '\\')
			return false;
	}
	return g_utf8_validate_len(text.data, text.len, NULL);
}

/*
 * Reads {"offset":N,"text":"..."} as engines usually write it: without spaces,
 * escapes or other members. Returns false for anything else, valid or not,
 * which is left to the JSON parser. The token's text borrows from `data`.
 */
bool token_event_parse_fast(str_t data, engine_token_t *token)
{
	int64_t offset;

	if (!str_has_prefix(data, OFFSET_KEY))
		return false;
	skip(&data, OFFSET_KEY.len);
	if (!read_offset(&data, &offset) || !str_has_prefix(data, TEXT_KEY))
		return false;
	skip(&data, TEXT_KEY.len);
	if (data.len < END.len ||
	    memcmp(data.data + data.len - END.len, END.data, END.len) != 0)
		return false;
	data.len -= END.len;
	if (!is_unescaped(data))
		return false;
	*token = (engine_token_t){.offset = offset, .text = data};
	return true;
}
