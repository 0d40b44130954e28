#include "connection/http_head.h"

#include <inttypes.h>

typedef struct {
	size_t name_at;
	size_t name_len;
	size_t value_at;
	size_t value_len;
} http_field_at_t;

/* Sets up an empty list. */
void http_headers_init(http_headers_t *headers)
{
	headers->bytes = g_string_new(NULL);
	headers->fields = g_array_new(FALSE, FALSE, sizeof(http_field_at_t));
}

/* Frees a list. */
void http_headers_finish(http_headers_t *headers)
{
	g_string_free(headers->bytes, TRUE);
	g_array_unref(headers->fields);
}

/* Removes all fields. */
void http_headers_clear(http_headers_t *headers)
{
	g_string_truncate(headers->bytes, 0);
	g_array_set_size(headers->fields, 0);
}

/* Appends a field; its text is copied. */
void http_headers_add(http_headers_t *headers, str_t name, str_t value)
{
	http_field_at_t at = {
		.name_at = headers->bytes->len,
		.name_len = name.len,
		.value_at = headers->bytes->len + name.len,
		.value_len = value.len,
	};

	g_string_append_len(headers->bytes, name.data, (gssize)name.len);
	g_string_append_len(headers->bytes, value.data, (gssize)value.len);
	g_array_append_val(headers->fields, at);
}

/* Number of fields. */
size_t http_headers_count(const http_headers_t *headers)
{
	return headers->fields->len;
}

/* Returns a field; it is borrowed until the list changes. */
http_field_t http_headers_at(const http_headers_t *headers, size_t index)
{
	http_field_at_t at =
		g_array_index(headers->fields, http_field_at_t, index);

	return (http_field_t){
		.name = {headers->bytes->str + at.name_at, at.name_len},
		.value = {headers->bytes->str + at.value_at, at.value_len},
	};
}

/* Tells whether a field name equals a lower-case name. */
bool http_name_is(str_t name, const char *lower)
{
	return strlen(lower) == name.len &&
	       !g_ascii_strncasecmp(name.data, lower, name.len);
}

/* Finds the first field with a lower-case name. */
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

/* Value of the first field with a lower-case name, or the empty string. */
str_t http_headers_get(const http_headers_t *headers, const char *name)
{
	str_t value = {NULL, 0};

	(void)http_headers_find(headers, name, &value);
	return value;
}

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

/* Tells whether a comma-separated list has a word, ignoring case. */
static bool list_has(str_t list, str_t word)
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

/* Tells whether a field concerns only the connection it came on. */
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
		    list_has(field.value, name))
			return true;
	}
	return false;
}

/* Reads a decimal number without sign that fills the whole text. */
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

/* Sets up an empty head. */
void http_head_init(http_head_t *head)
{
	*head = (http_head_t){
		.method = g_string_new(NULL),
		.target = g_string_new(NULL),
	};
	http_headers_init(&head->headers);
}

/* Frees a head. */
void http_head_finish(http_head_t *head)
{
	g_string_free(head->method, TRUE);
	g_string_free(head->target, TRUE);
	http_headers_finish(&head->headers);
}

/* Empties a head for the next message. */
void http_head_clear(http_head_t *head)
{
	head->status = 0;
	head->keep_alive = false;
	g_string_truncate(head->method, 0);
	g_string_truncate(head->target, 0);
	http_headers_clear(&head->headers);
}

/* The path of a request target: without scheme and authority, and without the
 * query.
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

/* Appends one field line. */
void http_append_field(GString *out, str_t name, str_t value)
{
	g_string_append_len(out, name.data, (gssize)name.len);
	g_string_append(out, ": ");
	g_string_append_len(out, value.data, (gssize)value.len);
	g_string_append(out, "\r\n");
}

/* Appends one field line with a number. */
void http_append_int(GString *out, const char *name, int64_t value)
{
	g_string_append_printf(out, "%s: %" PRId64 "\r\n", name, value);
}

/* Reason phrase of a status; only those that this project sends are named. */
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
