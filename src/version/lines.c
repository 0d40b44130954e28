#include "version/lines.h"

#include "process/fields.h"

/*
 * Takes the next line off a text. A last line without its end is refused,
 * because the text may have been cut off.
 */
bool lines_next(str_t *text, str_t *line)
{
	const char *end = text->len ? memchr(text->data, '\n', text->len)
				    : NULL;

	if (!end)
		return false;
	*line = (str_t){text->data, (size_t)(end - text->data)};
	text->data = end + 1;
	text->len -= line->len + 1;
	return true;
}

/* Takes the next word off a line. Empty words are refused. */
bool lines_word(str_t *line, str_t *word)
{
	const char *space = line->len ? memchr(line->data, ' ', line->len)
				      : NULL;

	*word = *line;
	if (space)
		word->len = (size_t)(space - line->data);
	line->data += word->len;
	line->len -= word->len;
	if (space) {
		line->data++;
		line->len--;
	}
	/* A line that ends with a space has an empty last word. */
	return word->len > 0 && !(space && line->len == 0);
}

/* Takes a decimal number of at most `max` off a line. */
bool lines_uint(str_t *line, uint64_t max, uint64_t *value)
{
	str_t word;

	*value = 0;
	if (!lines_word(line, &word))
		return false;
	if (word.len > 1 && word.data[0] == '0')
		return false;
	for (size_t i = 0; i < word.len; i++) {
		uint64_t digit = (uint64_t)(word.data[i] - '0');

		if (!g_ascii_isdigit(word.data[i]))
			return false;
		if (*value > (max - digit) / 10)
			return false;
		*value = *value * 10 + digit;
	}
	return *value <= max;
}

/* Takes a hex number of exactly `digits` digits off a line. `value` has room
 * for one more character.
 */
bool lines_hex(str_t *line, size_t digits, char *value)
{
	str_t word;

	if (!lines_word(line, &word) || word.len != digits ||
	    !fields_is_hex(word))
		return false;
	memcpy(value, word.data, digits);
	value[digits] = '\0';
	return true;
}
