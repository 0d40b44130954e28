#include "connection/token_event.h"

#define OFFSET_KEY STR("{\"offset\":")
#define TEXT_KEY STR(",\"text\":\"")
#define END STR("\"}")

/* Longer numbers are left to the JSON parser, which knows their bounds. */
#define OFFSET_DIGITS_MAX 15

static void skip(str_t *data, size_t n)
{
	data->data += n;
	data->len -= n;
}

static bool take_offset(str_t *data, int64_t *offset)
{
	size_t n = 0;

	*offset = 0;
	while (n < data->len && g_ascii_isdigit(data->data[n]) &&
	       n <= OFFSET_DIGITS_MAX)
		*offset = *offset * 10 + (data->data[n++] - '0');
	/* JSON has no leading zeros. */
	if (n == 0 || n > OFFSET_DIGITS_MAX || (n > 1 && data->data[0] == '0'))
		return false;
	skip(data, n);
	return true;
}

/* Tells whether a text stands for itself in a JSON string. */
static bool is_plain(str_t text)
{
	for (size_t i = 0; i < text.len; i++) {
		unsigned char c = (unsigned char)text.data[i];

		if (c < ' ' || c == '"' || c == '\\')
			return false;
	}
	return g_utf8_validate_len(text.data, text.len, NULL);
}

/*
 * Reads {"offset":N,"text":"..."} as engines usually write it: no spaces, no
 * escapes, no other members. False for anything else, which the JSON parser
 * has to decide on. The token's text borrows from the data.
 */
bool token_event_parse_fast(str_t data, engine_token_t *token)
{
	int64_t offset;

	if (!str_has_prefix(data, OFFSET_KEY))
		return false;
	skip(&data, OFFSET_KEY.len);
	if (!take_offset(&data, &offset) || !str_has_prefix(data, TEXT_KEY))
		return false;
	skip(&data, TEXT_KEY.len);
	if (data.len < END.len ||
	    memcmp(data.data + data.len - END.len, END.data, END.len) != 0)
		return false;
	data.len -= END.len;
	if (!is_plain(data))
		return false;
	*token = (engine_token_t){.offset = offset, .text = data};
	return true;
}
