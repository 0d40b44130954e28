/* Header fields and start lines of HTTP/1.1 messages, and helpers to read and
 * write them.
 */
#ifndef CONNECTION_HTTP_HEAD_H
#define CONNECTION_HTTP_HEAD_H

#include <stdint.h>

#include "process/str.h"

/* A list of header fields, in the order in which they were added. */
typedef struct {
	GString *text; /* all names and values, one after the other */
	GArray *fields; /* of field_position_t, private to http_head.c */
} http_headers_t;

/* One header field; its text is borrowed from the list that holds it. */
typedef struct {
	str_t name;
	str_t value;
} http_field_t;

/* The start line and header fields of one message. */
typedef struct {
	unsigned status; /* of a response; 0 for a request */
	GString *method; /* of a request */
	GString *target; /* of a request: path and query as received */
	http_headers_t headers;
	bool keep_alive; /* the connection may carry further messages */
	bool takes_chunks; /* the sender of a request knows chunks: not with
			      HTTP/1.0 */
	/* Of a response: neither a length nor chunks show where its body ends, but
	 * the end of the connection.
	 */
	bool body_until_close;
	int64_t body_bytes; /* of a response, as it is stated; -1: not known */
} http_head_t;

void http_headers_init(http_headers_t *headers);
void http_headers_finish(http_headers_t *headers);
void http_headers_clear(http_headers_t *headers);
void http_headers_copy(http_headers_t *to, const http_headers_t *from);
void http_headers_add(http_headers_t *headers, str_t name, str_t value);
size_t http_headers_count(const http_headers_t *headers);
http_field_t http_headers_at(const http_headers_t *headers, size_t index);
bool http_headers_find(const http_headers_t *headers, const char *name,
		       str_t *value);
str_t http_headers_get(const http_headers_t *headers, const char *name);
bool http_name_is(str_t name, const char *lower);
bool http_is_valid_field(str_t name, str_t value);
bool http_is_hop_by_hop(const http_headers_t *headers, str_t name);
bool http_parse_uint(str_t text, int64_t *number);

void http_head_init(http_head_t *head);
void http_head_finish(http_head_t *head);
void http_head_clear(http_head_t *head);
str_t http_path(str_t target);

void http_append_field(GString *out, str_t name, str_t value);
void http_append_int(GString *out, const char *name, int64_t value);
const char *http_reason(unsigned status);

#endif
