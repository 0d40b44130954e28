#include "connection/http_message.h"

#include <limits.h>

/* Limit of the head for owners that set none. */
#define DEFAULT_MAX_HEAD_BYTES 65536

/* What each field of a response counts beside its text: about the memory that it takes. Not
 * with requests, whose limit callers are told as that of the text.
 */
#define FIELD_BYTES 32

/* The statuses of responses, interim ones included. */
#define STATUS_DIGITS 3
#define MIN_STATUS 100
#define MAX_STATUS 599
#define SWITCHING_PROTOCOLS 101

/* Counts bytes of the head; returns false once they exceed the limit. */
static bool count_head_bytes(http_message_t *message, size_t len)
{
	message->head_bytes += len;
	if (message->head_bytes > message->max_head_bytes)
		message->too_large = true;
	return !message->too_large;
}

/* Returns the memory that the head has allocated, but for small fields of fixed size. */
static size_t head_memory(const http_message_t *message)
{
	return message->field_name->allocated_len +
	       message->field_value->allocated_len +
	       message->head.headers.text->allocated_len +
	       FIELD_BYTES * http_headers_count(&message->head.headers);
}

/* Gives back what is counted in the budget for the head. */
static void uncount_head(http_message_t *message)
{
	if (message->budget)
		memory_budget_recount(message->budget, &message->counted_bytes,
				      0);
}

/* Counts the head in the budget, unless it is small. Returns false if there is no room. */
static bool has_room(http_message_t *message)
{
	size_t bytes = head_memory(message);

	if (!message->budget || message->head_bytes <= MEMORY_SMALL_BYTES)
		return true;
	if (bytes > message->counted_bytes &&
	    !memory_budget_has_room(message->budget,
				    bytes - message->counted_bytes)) {
		message->too_large = true;
		return false;
	}
	memory_budget_recount(message->budget, &message->counted_bytes, bytes);
	return true;
}

/* Returns the value of the field that was read without the white space after it, which is not
 * part of it. The parser has skipped that before it.
 */
static str_t read_value(const http_message_t *message)
{
	str_t value = str_from_gstring(message->field_value);

	while (value.len > 0 && (value.data[value.len - 1] == ' ' ||
				 value.data[value.len - 1] == '\t'))
		value.len--;
	return value;
}

/* Adds the header field that was read to the head, if there is one. Returns false if it is
 * not valid.
 */
static bool add_field(http_message_t *message)
{
	str_t name = str_from_gstring(message->field_name);
	str_t value = read_value(message);

	if (message->in_value) {
		if (!http_is_valid_field(name, value))
			return false;
		http_headers_add(&message->head.headers, name, value);
		message->head_bytes += message->is_request ? 0 : FIELD_BYTES;
	}
	message->in_value = false;
	memory_empty_buffer(&message->field_name);
	memory_empty_buffer(&message->field_value);
	return has_room(message);
}

/* Notes that the first byte of a message was read. */
static int on_begin(http_parser *parser)
{
	http_message_t *message = parser->data;

	message->started = true;
	return 0;
}

/* Appends a piece of the request target. The method is known by now. */
static int on_url(http_parser *parser, const char *at, size_t len)
{
	http_message_t *message = parser->data;

	g_string_assign(message->head.method, http_method_str(parser->method));
	if (!count_head_bytes(message, len))
		return 1;
	g_string_append_len(message->head.target, at, (gssize)len);
	return 0;
}

/* Appends a piece of a field name, and adds the field before it. Fields after
 * the body are ignored.
 */
static int on_field(http_parser *parser, const char *at, size_t len)
{
	http_message_t *message = parser->data;

	if (message->head_done)
		return 0; /* a trailer field */
	if (message->in_value && !add_field(message))
		return 1;
	if (!count_head_bytes(message, len))
		return 1;
	g_string_append_len(message->field_name, at, (gssize)len);
	return has_room(message) ? 0 : 1;
}

/* Appends a piece of a field value. */
static int on_value(http_parser *parser, const char *at, size_t len)
{
	http_message_t *message = parser->data;

	if (message->head_done)
		return 0;
	message->in_value = true;
	if (!count_head_bytes(message, len))
		return 1;
	g_string_append_len(message->field_value, at, (gssize)len);
	return has_room(message) ? 0 : 1;
}

/* Returns whether a message has no body, whatever its head says of one. */
static bool has_no_body(const http_message_t *message)
{
	unsigned status = message->parser.status_code;

	return message->no_body ||
	       (!message->is_request && (status == 204 || status == 304));
}

/* Returns whether the body of a response ends when the peer closes the
 * connection, because the response has a body but no length and no chunks.
 */
static bool body_ends_at_eof(const http_message_t *message)
{
	const http_parser *parser = &message->parser;
	unsigned status = parser->status_code;

	if (has_no_body(message) || status / 100 == 1)
		return false;
	return !(parser->flags & F_CHUNKED) &&
	       parser->content_length == ULLONG_MAX;
}

/* Returns whether at most one field has a name, given in lower case. */
static bool is_single(const http_message_t *message, const char *name)
{
	const http_headers_t *headers = &message->head.headers;
	unsigned n = 0;

	for (size_t i = 0; i < http_headers_count(headers); i++)
		n += http_name_is(http_headers_at(headers, i).name, name);
	return n <= 1;
}

/* Returns whether every reader of the head finds the same end of the body: it has no
 * encoding but chunks, which HTTP/1.0 does not have.
 */
static bool has_one_framing(const http_message_t *message)
{
	str_t encoding;

	if (!http_headers_find(&message->head.headers, "transfer-encoding",
			       &encoding))
		return true;
	return is_single(message, "transfer-encoding") &&
	       http_name_is(encoding, "chunked") &&
	       (message->parser.http_major > 1 ||
		message->parser.http_minor >= 1);
}

/* Returns whether the head can be read in one way only. Fields that say whose request it is
 * may stand in a request once; HTTP/0.9 has no fields.
 */
static bool is_unambiguous(const http_message_t *message)
{
	if (!has_one_framing(message))
		return false;
	return !message->is_request ||
	       (message->parser.http_major >= 1 && is_single(message, "host") &&
		is_single(message, "x-request-id"));
}

/* Returns the length of the body of a response as its head states it, or -1. */
static int64_t stated_body_bytes(const http_message_t *message)
{
	const http_parser *parser = &message->parser;

	if (has_no_body(message))
		return 0;
	if (parser->flags & F_CHUNKED || parser->content_length > INT64_MAX)
		return -1;
	return (int64_t)parser->content_length;
}

/* Returns whether a response has a status that it can have: three digits, interim but for
 * 101, as no request asks for another protocol, or final.
 */
static bool has_valid_status(const http_message_t *message)
{
	unsigned status = message->parser.status_code;

	return message->status_digits == STATUS_DIGITS &&
	       status >= MIN_STATUS && status <= MAX_STATUS &&
	       status != SWITCHING_PROTOCOLS;
}

/* Completes the head and passes it to the handler. Returns what http_parser
 * expects: 1 for a message without a body, -1 to stop.
 */
static int on_headers_complete(http_parser *parser)
{
	http_message_t *message = parser->data;

	if (!add_field(message) || !is_unambiguous(message))
		return -1;
	if (!message->is_request && !has_valid_status(message))
		return -1;
	message->head_done = true;
	/* Protocol upgrades are not supported: what follows is parsed as
	 * HTTP.
	 */
	parser->upgrade = 0;
	message->head.status = message->is_request ? 0 : parser->status_code;
	message->head.keep_alive = http_should_keep_alive(parser);
	message->head.takes_chunks =
		parser->http_major > 1 ||
		(parser->http_major == 1 && parser->http_minor >= 1);
	if (!message->is_request)
		message->head.body_until_close = body_ends_at_eof(message);
	message->head.body_bytes = stated_body_bytes(message);
	if (!message->handler->on_head(message->context, &message->head)) {
		message->refused = true;
		return -1;
	}
	return has_no_body(message) ? 1 : 0;
}

/* Passes a piece of the body to the handler. */
static int on_body(http_parser *parser, const char *at, size_t len)
{
	http_message_t *message = parser->data;

	message->handler->on_body(message->context, at, len);
	return 0;
}

/* Pauses http_parser at the end of the message, so that it does not go on with
 * the next one.
 */
static int on_complete(http_parser *parser)
{
	http_message_t *message = parser->data;

	message->done = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* Sets up a parser of requests or of responses. The handler must outlive it. */
void http_message_init(http_message_t *message, bool is_request,
		       const http_message_handler_t *handler, void *context)
{
	memset(message, 0, sizeof(*message));
	message->is_request = is_request;
	message->handler = handler;
	message->context = context;
	message->max_head_bytes = DEFAULT_MAX_HEAD_BYTES;
	message->field_name = g_string_new(NULL);
	message->field_value = g_string_new(NULL);
	http_head_init(&message->head);
	http_message_restart(message);
}

/* Frees the memory of a parser. */
void http_message_finish(http_message_t *message)
{
	uncount_head(message);
	g_string_free(message->field_name, TRUE);
	g_string_free(message->field_value, TRUE);
	http_head_finish(&message->head);
}

/* Resets the parser for the next message on the connection. The limit of the
 * head stays.
 */
void http_message_restart(http_message_t *message)
{
	http_parser_init(&message->parser,
			 message->is_request ? HTTP_REQUEST : HTTP_RESPONSE);
	message->parser.data = message;
	uncount_head(message);
	http_head_clear(&message->head);
	memory_empty_buffer(&message->field_name);
	memory_empty_buffer(&message->field_value);
	message->head_bytes = 0;
	message->in_value = false;
	message->version_done = false;
	message->status_done = false;
	message->status_digits = 0;
	message->started = false;
	message->head_done = false;
	message->done = false;
	message->refused = false;
	message->too_large = false;
	message->no_body = false;
}

/* Counts the digits of the status: the parser tells its value only, also that of 0200. */
static void count_status_digits(http_message_t *message, const char *data,
				size_t len)
{
	for (size_t i = 0; i < len && !message->status_done; i++) {
		if (!message->version_done)
			message->version_done = data[i] == ' ';
		else if (g_ascii_isdigit(data[i]))
			message->status_digits++;
		else
			message->status_done = message->status_digits > 0;
	}
}

/* Parses bytes up to the end of the message and stores in `used` how many they
 * were. After any result but HTTP_FEED_MORE the parser needs
 * http_message_restart() before it can read on.
 */
http_feed_t http_message_feed(http_message_t *message, const char *data,
			      size_t len, size_t *used)
{
	if (!message->is_request)
		count_status_digits(message, data, len);
	*used = http_parser_execute(&message->parser, &parser_settings, data,
				    len);
	if (message->done)
		return HTTP_FEED_DONE;
	if (message->refused)
		return HTTP_FEED_REFUSED;
	if (message->too_large ||
	    HTTP_PARSER_ERRNO(&message->parser) == HPE_HEADER_OVERFLOW)
		return HTTP_FEED_HEAD_TOO_LARGE;
	if (HTTP_PARSER_ERRNO(&message->parser) != HPE_OK)
		return HTTP_FEED_MALFORMED;
	return HTTP_FEED_MORE;
}

/* Tells the parser that the peer closed the connection without an error.
 * Returns whether this completes the message, which it does for a response
 * whose body has neither a length nor chunks.
 */
bool http_message_eof(http_message_t *message)
{
	if (!message->head_done || !message->head.body_until_close)
		return false;
	(void)http_parser_execute(&message->parser, &parser_settings, NULL, 0);
	return message->done;
}
