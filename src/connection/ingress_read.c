#include "connection/ingress_connection.h"

/* Retry-After of a request whose body found no room. Bodies that come slowly take seconds. */
#define BODY_ROOM_RETRY_US (1 * CLOCK_US_PER_S)

/* Returns whether the request that is read or answered is a HEAD, whose response has no
 * body; its fields are those of the response with one.
 */
bool ingress_connection_is_head(const ingress_connection_t *connection)
{
	return g_str_equal(connection->message.head.method->str, "HEAD");
}

/* Appends a response with a plain text, which the router gives by itself. A
 * retry_after_us of 0 leaves Retry-After out; `lines` are further header lines, with
 * their ends.
 */
void ingress_append_text_response(GString *out, unsigned status,
				  int64_t retry_after_us, const char *lines,
				  const char *text, bool keep_alive,
				  bool has_body)
{
	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", status,
			       http_reason(status));
	if (retry_after_us > 0)
		g_string_append_printf(out, "Retry-After: %.3f\r\n",
				       (double)retry_after_us /
					       (double)CLOCK_US_PER_S);
	g_string_append(out, lines);
	if (!keep_alive)
		g_string_append(out, "Connection: close\r\n");
	g_string_append_printf(out,
			       "Content-Type: text/plain\r\n"
			       "Content-Length: %zu\r\n\r\n",
			       strlen(text) + 1);
	if (has_body)
		g_string_append_printf(out, "%s\n", text);
}

/* Answers a request that cannot be read to its end, and closes. With a status 503, it has found
 * no room for its body.
 */
void ingress_connection_reject(ingress_connection_t *connection,
			       unsigned status)
{
	ingress_t *ingress = connection->ingress;
	bool has_no_room = status == 503;
	GString *out = g_string_new(NULL);

	ingress_append_text_response(
		out, status, has_no_room ? BODY_ROOM_RETRY_US : 0,
		has_no_room && ingress->refusal_lines ? ingress->refusal_lines
						      : "",
		has_no_room ? INGRESS_NO_ROOM_REASON : http_reason(status),
		false, !ingress_connection_is_head(connection));
	tcp_write(&connection->tcp, out->str, out->len);
	g_string_free(out, TRUE);
	if (has_no_room && ingress->handler->on_no_room)
		ingress->handler->on_no_room(ingress->context,
					     &connection->exchange,
					     BODY_ROOM_RETRY_US);
	ingress_connection_linger(connection);
}

/* Returns the length of a body as its head states it: 0 without a body, -1 in chunks. */
static int64_t stated_length(const http_head_t *head)
{
	str_t encoding;
	int64_t length;

	if (http_headers_find(&head->headers, "transfer-encoding", &encoding))
		return -1;
	return http_parse_uint(http_headers_get(&head->headers,
						"content-length"),
			       &length)
		       ? length
		       : 0;
}

/* Reserves memory for the body of a request. Returns false if it is to be refused because there
 * is none: by its length, or because its caller asks before it sends a body of unknown length.
 */
static bool begin_body(ingress_connection_t *connection,
		       const http_head_t *head, bool expects_continue)
{
	const ingress_t *ingress = connection->ingress;
	int64_t length = stated_length(head);

	return request_body_begin(&connection->body, ingress->bodies, length,
				  (size_t)ingress->limits.max_body_bytes) ||
	       (length < 0 && !expects_continue);
}

/* Checks the head of a request, and sends the interim response that a caller
 * may wait for before it sends the body. Returns false if the request is
 * rejected.
 */
static bool on_head(void *context, http_head_t *head)
{
	ingress_connection_t *connection = context;
	const ingress_t *ingress = connection->ingress;
	str_t expect;
	bool expects_continue =
		http_headers_find(&head->headers, "expect", &expect) &&
		http_name_is(expect, "100-continue");

	connection->keep_alive = head->keep_alive;
	connection->takes_chunks = head->takes_chunks;
	if (stated_length(head) > ingress->limits.max_body_bytes) {
		connection->reject_status = 413;
		return false;
	}
	if (g_str_equal(head->method->str, "CONNECT")) {
		connection->reject_status = 405;
		return false;
	}
	if (!begin_body(connection, head, expects_continue)) {
		connection->reject_status = 503;
		return false;
	}
	if (expects_continue)
		tcp_write(&connection->tcp, "HTTP/1.1 100 Continue\r\n\r\n",
			  25);
	/* The time for the body is the idle timeout, counted from here. */
	ingress_connection_await_part(connection,
				      ingress->limits.idle_timeout_us);
	return true;
}

/* Appends a piece of the body. Rejects a body that is too large, or one in chunks that turns out
 * not to be small and has no room.
 */
static void on_body(void *context, const char *data, size_t len)
{
	ingress_connection_t *connection = context;

	if (connection->reject_status)
		return;
	switch (request_body_append(&connection->body, (str_t){data, len})) {
	case BODY_TAKEN:
		break;
	case BODY_TOO_LARGE:
		connection->reject_status = 413;
		break;
	case BODY_NO_ROOM:
		connection->reject_status = 503;
		break;
	}
}

const http_message_handler_t ingress_message_handler = {
	.on_head = on_head,
	.on_body = on_body,
};
