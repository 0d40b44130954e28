#include "request/event_split.h"

#include "process/memory_budget.h"

/* Sets up an empty splitter. */
void event_split_init(event_split_t *split)
{
	split->buffer = g_string_new(NULL);
	split->last_id = g_string_new(NULL);
	split->complete_len = 0;
	split->searched_len = 0;
	split->line_start = 0;
	split->events_with_id = 0;
}

/* Frees a splitter. */
void event_split_finish(event_split_t *split)
{
	g_string_free(split->buffer, TRUE);
	g_string_free(split->last_id, TRUE);
}

/* Gives back the room that something larger has left in a string. */
static void shrink(GString **string)
{
	GString *old = *string;

	if (old->allocated_len <= MEMORY_SMALL_BYTES ||
	    old->len > old->allocated_len / 4)
		return;
	*string = g_string_new_len(old->str, (gssize)old->len);
	g_string_free(old, TRUE);
}

/* Records the event ID that a line sets, if it is an "id" field. */
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
	split->events_with_id++;
	g_string_truncate(split->last_id, 0);
	g_string_append_len(split->last_id, line, (gssize)len);
	shrink(&split->last_id);
}

/* Searches the bytes added since the last search for ends of events, which are empty lines.
 * Returns the offset after the last one; 0 if there is none.
 */
static size_t find_complete_end(event_split_t *split)
{
	const GString *bytes = split->buffer;
	size_t end = 0;

	for (size_t i = split->searched_len; i < bytes->len; i++) {
		size_t len = i - split->line_start;

		if (bytes->str[i] != '\n')
			continue;
		if (len == 0 ||
		    (len == 1 && bytes->str[split->line_start] == '\r'))
			end = i + 1;
		split->line_start = i + 1;
	}
	split->searched_len = bytes->len;
	return end;
}

/* Records the IDs of the events before an offset. */
static void read_ids(event_split_t *split, size_t end)
{
	size_t start = 0;

	for (size_t i = 0; i < end; i++) {
		if (split->buffer->str[i] != '\n')
			continue;
		read_line(split, split->buffer->str + start, i - start);
		start = i + 1;
	}
}

/* Adds bytes of the stream. Returns the complete events in the buffer, borrowed
 * until event_split_consume(), which must be called before more is added; empty
 * if there are none.
 */
str_t event_split_add(event_split_t *split, str_t bytes)
{
	g_string_append_len(split->buffer, bytes.data, (gssize)bytes.len);
	split->complete_len = find_complete_end(split);
	read_ids(split, split->complete_len);
	return (str_t){split->buffer->str, split->complete_len};
}

/* Removes the complete events that the last event_split_add() returned. */
void event_split_consume(event_split_t *split)
{
	g_string_erase(split->buffer, 0, (gssize)split->complete_len);
	split->searched_len -= split->complete_len;
	split->line_start -= split->complete_len;
	split->complete_len = 0;
	shrink(&split->buffer);
}

/* Returns what has arrived of an incomplete event, borrowed until the next call
 * that changes the buffer. Complete events must have been consumed.
 */
str_t event_split_partial(const event_split_t *split)
{
	return str_from_gstring(split->buffer);
}

/* Drops an incomplete event whose stream has ended. */
void event_split_drop_partial(event_split_t *split)
{
	g_string_truncate(split->buffer, 0);
	split->complete_len = 0;
	split->searched_len = 0;
	split->line_start = 0;
	shrink(&split->buffer);
}

/* Returns the ID of the last complete event that had one, or an empty string;
 * borrowed.
 */
str_t event_split_last_id(const event_split_t *split)
{
	return str_from_gstring(split->last_id);
}

/* Returns the bytes of memory that a splitter takes for events and their ID. */
size_t event_split_memory(const event_split_t *split)
{
	return split->buffer->allocated_len + split->last_id->allocated_len;
}
