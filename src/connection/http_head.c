#include "connection/http_head.h"

#include <inttypes.h>

#include "process/memory_budget.h"

/* Offsets and lengths in bytes of a field's name and value in the text of the
 * list.
 */
typedef struct {
	size_t name_at;
	size_t name_len;
	size_t value_at;
	size_t value_len;
} field_position_t;

/* Sets up an empty list of header fields. */
void http_headers_init(http_headers_t *headers)
{
	headers->text = g_string_new(NULL);
	headers->fields = g_array_new(FALSE, FALSE, sizeof(field_position_t));
}

/* Frees the memory of a list. */
void http_headers_finish(http_headers_t *headers)
{
	g_string_free(headers->text, TRUE);
	g_array_unref(headers->fields);
}

/* Removes all fields, and keeps a little memory for others. */
void http_headers_clear(http_headers_t *headers)
{
	memory_empty_buffer(&headers->text);
	g_array_set_size(headers->fields, 0);
}

/* Replaces one set of fields by a copy of another. */
void http_headers_copy(http_headers_t *to, const http_headers_t *from)
{
	http_headers_clear(to);
	for (size_t i = 0; i < http_headers_count(from); i++) {
		http_field_t field = http_headers_at(from, i);

		http_headers_add(to, field.name, field.value);
	}
}

/* Appends a field; its name and value are copied. */
void http_headers_add(http_headers_t *headers, str_t name, str_t value)
{
	field_position_t position = {
		.name_at = headers->text->len,
		.name_len = name.len,
		.value_at = headers->text->len + name.len,
		.value_len = value.len,
	};

	g_string_append_len(headers->text, name.data, (gssize)name.len);
	g_string_append_len(headers->text, value.data, (gssize)value.len);
	g_array_append_val(headers->fields, position);
}

/* Returns the number of fields. */
size_t http_headers_count(const http_headers_t *headers)
{
	return headers->fields->len;
}

/* Returns the field with an index. Its text is borrowed and valid until the
 * list changes.
 */
http_field_t http_headers_at(const http_headers_t *headers, size_t index)
{
	field_position_t position =
		g_array_index(headers->fields, field_position_t, index);

	return (http_field_t){
		.name = {headers->text->str + position.name_at,
			 position.name_len},
		.value = {headers->text->str + position.value_at,
			  position.value_len},
	};
}

/* Returns whether a field name equals a name given in lower case. */
bool http_name_is(str_t name, const char *lower)
{
	return strlen(lower) == name.len &&
	       !g_ascii_strncasecmp(name.data, lower, name.len);
}

/* Looks up the first field with a name, given in lower case. Returns false and
 * leaves the value alone if there is none. The value is borrowed.
 */
bool http_headers_find(const http_headers_t *headers, const char *name,
		       str_t *value)
{
	for (size_t i = 0; i < http_headers_count(headers); i++) {
		http_field_t field = http_headers_at(headers, i);

		if (http_name_is(field.name, name)) {
			*value = field.value;
			return true;
		}
	}
	return false;
}

/* Returns the value of the first field with a name, given in lower case, or the
 * empty string. The value is borrowed.
 */
str_t http_headers_get(const http_headers_t *headers, const char *name)
{
	str_t value = {NULL, 0};

	(void)http_headers_find(headers, name, &value);
	return value;
}

/* Returns the text without white space at its start and end. */
static str_t trim(str_t text)
{
	while (text.len && g_ascii_isspace(text.data[0])) {
		text.data++;
		text.len--;
	}
	while (text.len && g_ascii_isspace(text.data[text.len - 1]))
		text.len--;
	return text;
}

/* Returns whether a comma-separated list contains a word, ignoring case. */
static bool list_contains(str_t list, str_t word)
{
	while (list.len) {
		const char *comma = memchr(list.data, ',', list.len);
		size_t len = comma ? (size_t)(comma - list.data) : list.len;
		str_t item = trim((str_t){list.data, len});

		if (item.len == word.len &&
		    !g_ascii_strncasecmp(item.data, word.data, word.len))
			return true;
		len += comma ? 1 : 0;
		list.data += len;
		list.len -= len;
	}
	return false;
}

/* Returns whether a byte may stand in the name of a field (RFC 9110, 5.6.2). */
static bool is_name_byte(char byte)
{
	return g_ascii_isalnum(byte) ||
	       (byte != '\0' && strchr("!#$%&'*+-.^_`|~", byte));
}

/* Returns whether a field has a valid name and no control bytes in its value. A reader that
 * is less strict could take the name for another one.
 */
bool http_is_valid_field(str_t name, str_t value)
{
	if (name.len == 0)
		return false;
	for (size_t i = 0; i < name.len; i++) {
		if (!is_name_byte(name.data[i]))
			return false;
	}
	for (size_t i = 0; i < value.len; i++) {
		if (g_ascii_iscntrl(value.data[i]) && value.data[i] != '\t')
			return false;
	}
	return true;
}

/* Returns whether a field must not be forwarded, because it concerns only the
 * connection on which it came: one of the names below, or one that a Connection
 * field among the headers lists.
 */
bool http_is_hop_by_hop(const http_headers_t *headers, str_t name)
{
	static const char *const names[] = {
		"connection",	       "keep-alive", "proxy-authenticate",
		"proxy-authorization", "te",	     "trailer",
		"transfer-encoding",   "upgrade",    "proxy-connection",
		"content-length",      "expect",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (http_name_is(name, names[i]))
			return true;
	}
	for (size_t i = 0; i < http_headers_count(headers); i++) {
		http_field_t field = http_headers_at(headers, i);

		if (http_name_is(field.name, "connection") &&
		    list_contains(field.value, name))
			return true;
	}
	return false;
}

/* Parses a text that consists of decimal digits only. Returns false if it does
 * not, or if it has more than 18 digits, which is the longest that always fits
 * into the result.
 */
bool http_parse_uint(str_t text, int64_t *number)
{
	int64_t value = 0;

	if (text.len == 0 || text.len > 18)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		if (!g_ascii_isdigit(text.data[i]))
			return false;
		value = value * 10 + (text.data[i] - '0');
	}
	*number = value;
	return true;
}

/* Sets up an empty head of a message. */
void http_head_init(http_head_t *head)
{
	*head = (http_head_t){
		.method = g_string_new(NULL),
		.target = g_string_new(NULL),
	};
	http_headers_init(&head->headers);
}

/* Frees the memory of a head. */
void http_head_finish(http_head_t *head)
{
	g_string_free(head->method, TRUE);
	g_string_free(head->target, TRUE);
	http_headers_finish(&head->headers);
}

/* Empties a head, so that the next message can be read into it. */
void http_head_clear(http_head_t *head)
{
	head->status = 0;
	head->keep_alive = false;
	head->takes_chunks = false;
	head->body_until_close = false;
	g_string_truncate(head->method, 0);
	g_string_truncate(head->target, 0);
	http_headers_clear(&head->headers);
}

/* Returns the path of a request target, without scheme and authority and
 * without the query. It is borrowed from the target.
 */
str_t http_path(str_t target)
{
	const char *query;

	if (target.len && target.data[0] != '/') {
		const char *authority =
			g_strstr_len(target.data, (gssize)target.len, "://");
		const char *path = NULL;

		if (authority)
			path = memchr(authority + 3, '/',
				      target.len - (size_t)(authority + 3 -
							    target.data));
		if (!path)
			return STR("/");
		target.len -= (size_t)(path - target.data);
		target.data = path;
	}
	query = memchr(target.data, '?', target.len);
	if (query)
		target.len = (size_t)(query - target.data);
	return target;
}

/* Appends one header field as a line of text. */
void http_append_field(GString *out, str_t name, str_t value)
{
	g_string_append_len(out, name.data, (gssize)name.len);
	g_string_append(out, ": ");
	g_string_append_len(out, value.data, (gssize)value.len);
	g_string_append(out, "\r\n");
}

/* Appends one header field with a decimal number as its value. */
void http_append_int(GString *out, const char *name, int64_t value)
{
	g_string_append_printf(out, "%s: %" PRId64 "\r\n", name, value);
}

/* Returns the reason phrase of a status. Statuses that the router does not
 * answer by itself get a general phrase.
 */
const char *http_reason(unsigned status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 404:
		return "Not Found";
	case 405:
		return "Method Not Allowed";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 421:
		return "Misdirected Request";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 500:
		return "Internal Server Error";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return status < 400 ? "Success" : "Error";
	}
}
