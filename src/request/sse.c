#include "request/sse.h"

/* U+FEFF in UTF-8; ignored at the start of a stream. */
#define BYTE_ORDER_MARK STR("\xef\xbb\xbf")

/*
 * Prepares a parser that calls on_event for each complete event. It fails when
 * a line, or the data of an event, is longer than max_bytes, so that a faulty
 * backend server cannot make this process use memory without limit.
 */
void sse_parser_init(sse_parser_t *parser, size_t max_bytes,
		     sse_event_fn_t on_event, void *context)
{
	*parser = (sse_parser_t){
		.on_event = on_event,
		.context = context,
		.max_bytes = max_bytes,
		.line = g_string_new(NULL),
		.name = g_string_new(NULL),
		.data = g_string_new(NULL),
		.first_line = true,
	};
}

/* Frees the buffers. An incomplete event is discarded. */
void sse_parser_finish(sse_parser_t *parser)
{
	g_string_free(parser->line, TRUE);
	g_string_free(parser->name, TRUE);
	g_string_free(parser->data, TRUE);
	*parser = (sse_parser_t){.failed = true};
}

/* Reports the current event if it has a data field, and begins the next. */
static void end_event(sse_parser_t *parser)
{
	sse_event_t event = {
		.name = str_from_gstring(parser->name),
		.data = str_from_gstring(parser->data),
	};

	if (parser->has_data)
		parser->on_event(&event, parser->context);
	parser->has_data = false;
	g_string_truncate(parser->name, 0);
	g_string_truncate(parser->data, 0);
}

/* Appends a data field to the current event. False when it becomes too long. */
static bool add_data(sse_parser_t *parser, str_t value)
{
	size_t separator = parser->has_data ? 1 : 0;

	/* Neither side can wrap: a value is at most max_bytes long. */
	if (parser->data->len + separator > parser->max_bytes - value.len)
		return false;
	if (separator)
		g_string_append_c(parser->data, '\n');
	g_string_append_len(parser->data, value.data, (gssize)value.len);
	parser->has_data = true;
	return true;
}

/* Applies one line to the current event. False when its data is too long. */
static bool parse_field(sse_parser_t *parser, str_t line)
{
	const char *colon = memchr(line.data, ':', line.len);
	size_t name_len = colon ? (size_t)(colon - line.data) : line.len;
	size_t skip = colon ? name_len + 1 : name_len;
	str_t name = {line.data, name_len};
	str_t value = {line.data + skip, line.len - skip};

	if (str_has_prefix(value, STR(" "))) {
		value.data++;
		value.len--;
	}
	if (str_equal(name, STR("data")))
		return add_data(parser, value);
	if (str_equal(name, STR("event"))) {
		g_string_truncate(parser->name, 0);
		g_string_append_len(parser->name, value.data,
				    (gssize)value.len);
	}
	/* Ignored: comments (an empty name), "id", "retry", unknown fields. */
	return true;
}

/* Applies the line that is complete now; an empty one ends the event. False
 * when the event is too long.
 */
static bool end_line(sse_parser_t *parser)
{
	str_t line = str_from_gstring(parser->line);
	bool ok = true;

	if (parser->first_line && str_has_prefix(line, BYTE_ORDER_MARK)) {
		line.data += BYTE_ORDER_MARK.len;
		line.len -= BYTE_ORDER_MARK.len;
	}
	parser->first_line = false;
	if (line.len == 0)
		end_event(parser);
	else
		ok = parse_field(parser, line);
	g_string_truncate(parser->line, 0);
	return ok;
}

/* Returns the number of bytes before the next CR or LF, or len. */
static size_t line_length(const char *bytes, size_t len)
{
	size_t i = 0;

	while (i < len && bytes[i] != '\n' && bytes[i] != '\r')
		i++;
	return i;
}

/* Takes bytes up to the end of the line, at most len. Sets *used to the number
 * taken. False when a line or an event is too long.
 */
static bool feed_line_part(sse_parser_t *parser, const char *bytes, size_t len,
			   size_t *used)
{
	size_t n = line_length(bytes, len);

	if (parser->after_cr && bytes[0] == '\n') {
		parser->after_cr = false;
		*used = 1;
		return true;
	}
	parser->after_cr = false;
	if (n > parser->max_bytes - parser->line->len)
		return false;
	g_string_append_len(parser->line, bytes, (gssize)n);
	*used = n;
	if (n == len)
		return true;
	parser->after_cr = bytes[n] == '\r';
	*used = n + 1;
	return end_line(parser);
}

/*
 * Parses the next bytes of a stream, which may be cut anywhere. Returns false
 * once a line or an event is too long; the parser then ignores further input.
 */
bool sse_parser_feed(sse_parser_t *parser, const char *bytes, size_t len)
{
	size_t used;

	while (len > 0 && !parser->failed) {
		used = 0;
		parser->failed = !feed_line_part(parser, bytes, len, &used);
		bytes += used;
		len -= used;
	}
	return !parser->failed;
}

/*
 * Returns whether no part of an event is pending, so that the stream may end
 * here. A stream that ends elsewhere was truncated.
 */
bool sse_parser_is_between_events(const sse_parser_t *parser)
{
	return !parser->failed && parser->line->len == 0 &&
	       parser->name->len == 0 && !parser->has_data;
}

/* Appends one line. `field` includes the colon and the space. */
static void append_field(GString *out, const char *field, str_t value)
{
	g_string_append(out, field);
	g_string_append_len(out, value.data, (gssize)value.len);
	g_string_append_c(out, '\n');
}

/*
 * Appends one event to `out`. An empty name is left out. Lines of the data may
 * end in CR, LF or CRLF; the reader gets them joined by LF. A name is cut at a
 * line break, because what follows would be read as another field.
 */
void sse_append(GString *out, str_t name, str_t data)
{
	size_t n;

	name.len = line_length(name.data, name.len);
	if (name.len)
		append_field(out, "event: ", name);
	while ((n = line_length(data.data, data.len)) < data.len) {
		append_field(out, "data: ", (str_t){data.data, n});
		if (data.data[n] == '\r' && n + 1 < data.len &&
		    data.data[n + 1] == '\n')
			n++;
		data.data += n + 1;
		data.len -= n + 1;
	}
	append_field(out, "data: ", data);
	g_string_append_c(out, '\n');
}
