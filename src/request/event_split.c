#include "request/event_split.h"

/* Sets up an empty splitter. */
void event_split_init(event_split_t *split)
{
	split->bytes = g_string_new(NULL);
	split->last_id = g_string_new(NULL);
	split->whole = 0;
	split->events = 0;
}

/* Frees a splitter. */
void event_split_finish(event_split_t *split)
{
	g_string_free(split->bytes, TRUE);
	g_string_free(split->last_id, TRUE);
}

/* Takes the ID out of one line, if it has one. */
static void read_line(event_split_t *split, const char *line, size_t len)
{
	static const char field[] = "id:";

	if (len < sizeof(field) - 1 ||
	    memcmp(line, field, sizeof(field) - 1) != 0)
		return;
	line += sizeof(field) - 1;
	len -= sizeof(field) - 1;
	if (len && *line == ' ') {
		line++;
		len--;
	}
	if (len && line[len - 1] == '\r')
		len--;
	split->events++;
	g_string_truncate(split->last_id, 0);
	g_string_append_len(split->last_id, line, (gssize)len);
}

/* End of the last whole event: behind the last empty line. */
static size_t find_whole(const GString *bytes, size_t from)
{
	size_t whole = 0;
	size_t line_start = from;

	for (size_t i = from; i < bytes->len; i++) {
		size_t len = i - line_start;

		if (bytes->str[i] != '\n')
			continue;
		if (len == 0 || (len == 1 && bytes->str[line_start] == '\r'))
			whole = i + 1;
		line_start = i + 1;
	}
	return whole;
}

static void read_ids(event_split_t *split, size_t end)
{
	size_t start = 0;

	for (size_t i = 0; i < end; i++) {
		if (split->bytes->str[i] != '\n')
			continue;
		read_line(split, split->bytes->str + start, i - start);
		start = i + 1;
	}
}

/* Adds bytes; returns the whole events, which are borrowed until
 * event_split_consume().
 */
str_t event_split_add(event_split_t *split, str_t bytes)
{
	g_string_append_len(split->bytes, bytes.data, (gssize)bytes.len);
	split->whole = find_whole(split->bytes, 0);
	read_ids(split, split->whole);
	return (str_t){split->bytes->str, split->whole};
}

/* Removes the whole events that the last addition returned. */
void event_split_consume(event_split_t *split)
{
	g_string_erase(split->bytes, 0, (gssize)split->whole);
	split->whole = 0;
}

/* The part of an event that has arrived. */
str_t event_split_partial(const event_split_t *split)
{
	return str_from_gstring(split->bytes);
}

/* Drops the part of an event whose stream broke off. */
void event_split_drop_partial(event_split_t *split)
{
	g_string_truncate(split->bytes, 0);
	split->whole = 0;
}

/* ID of the last whole event, or the empty string. */
str_t event_split_last_id(const event_split_t *split)
{
	return str_from_gstring(split->last_id);
}
