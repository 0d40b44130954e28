#include "connection/ingress_connection.h"

#include <arpa/inet.h>

/* A caller for whom more output waits than this is behind. The kernel keeps some more
 * for it. One VM has hundreds of streams, and the smallest VMs have 88 MB.
 */
#define MAX_UNSENT_BYTES 65536

/* Returns the head of the request, borrowed until the exchange ends. */
const http_head_t *exchange_head(const exchange_t *exchange)
{
	return &exchange->connection->message.head;
}

/* Returns the body of the request, borrowed until the exchange ends. */
str_t exchange_body(const exchange_t *exchange)
{
	size_t len;
	const char *data = g_bytes_get_data(exchange->body, &len);

	return len > 0 ? (str_t){data, len} : STR("");
}

/* Returns the body of the request for those who hold on to it, borrowed until the exchange
 * ends.
 */
GBytes *exchange_shared_body(const exchange_t *exchange)
{
	return exchange->body;
}

/* Returns the time at which the request was complete. */
int64_t exchange_arrived_us(const exchange_t *exchange)
{
	return exchange->arrived_us;
}

/* Returns whether another VM has passed the request on. */
bool exchange_is_from_peer(const exchange_t *exchange)
{
	return exchange->connection->ingress->from_peers;
}

/* Returns the IP address of the caller's end of the connection, without the port,
 * freed with g_free(); empty if it is not known.
 */
char *exchange_caller_address(const exchange_t *exchange)
{
	struct sockaddr_in peer = {.sin_family = AF_UNSPEC};
	socklen_t len = sizeof(peer);
	char text[INET_ADDRSTRLEN] = "";

	if (getpeername(exchange->connection->tcp.fd, (struct sockaddr *)&peer,
			&len) == 0 &&
	    peer.sin_family == AF_INET)
		(void)inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text));
	return g_strdup(text);
}

/* Stores a pointer of the handler's with the exchange. */
void exchange_set_context(exchange_t *exchange, void *context)
{
	exchange->context = context;
}

/* Returns the pointer that the handler stored, or NULL. */
void *exchange_context(const exchange_t *exchange)
{
	return exchange->context;
}

/* Ends an exchange whose response is complete. The connection goes on with its
 * next request once the caller is not behind, or is closed.
 */
static void end_exchange(exchange_t *exchange)
{
	ingress_connection_t *connection = exchange->connection;

	connection->ingress->active--;
	if (!connection->keep_alive || connection->ingress->closing) {
		ingress_connection_linger(connection);
		return;
	}
	ingress_connection_await_request(connection);
	ingress_connection_watch_output(connection);
	ingress_connection_read_on(connection);
}

/* Returns whether the connection closes after the response. */
static bool closes_connection(const exchange_t *exchange)
{
	return !exchange->connection->keep_alive ||
	       exchange->connection->ingress->closing;
}

/* Appends the head of a response, but for the fields that frame its body.
 * Fields that concern only a backend server's connection are left out.
 */
static void append_head(const exchange_t *exchange, GString *out,
			unsigned status, const http_headers_t *headers)
{
	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", status,
			       http_reason(status));
	for (size_t i = 0; i < http_headers_count(headers); i++) {
		http_field_t field = http_headers_at(headers, i);

		if (!http_is_hop_by_hop(headers, field.name))
			http_append_field(out, field.name, field.value);
	}
	if (closes_connection(exchange))
		g_string_append(out, "Connection: close\r\n");
}

/* Returns whether a response with a status has a body. */
static bool has_body(const exchange_t *exchange, unsigned status)
{
	return status != 204 && status != 304 &&
	       !ingress_connection_is_head(exchange->connection);
}

/* Appends the head of a complete response. */
static void append_complete_head(const exchange_t *exchange, GString *out,
				 unsigned status, const http_headers_t *headers,
				 size_t body_len)
{
	append_head(exchange, out, status, headers);
	if (has_body(exchange, status))
		http_append_int(out, "Content-Length", (int64_t)body_len);
	g_string_append(out, "\r\n");
}

/* Answers with a complete response. Ends the exchange. */
void exchange_reply(exchange_t *exchange, unsigned status,
		    const http_headers_t *headers, str_t body)
{
	tcp_t *tcp = &exchange->connection->tcp;
	GString *out = g_string_sized_new(512 + body.len);

	append_complete_head(exchange, out, status, headers, body.len);
	if (has_body(exchange, status))
		g_string_append_len(out, body.data, (gssize)body.len);
	tcp_write(tcp, out->str, out->len);
	g_string_free(out, TRUE);
	end_exchange(exchange);
}

/* The same with a body that is not copied if it is large: the connection holds a reference until
 * the kernel has taken all of it.
 */
void exchange_reply_shared(exchange_t *exchange, unsigned status,
			   const http_headers_t *headers, GBytes *body)
{
	GString *out = g_string_sized_new(512);

	append_complete_head(exchange, out, status, headers,
			     g_bytes_get_size(body));
	if (has_body(exchange, status))
		tcp_write_with_body(&exchange->connection->tcp,
				    str_from_gstring(out), body);
	else
		tcp_write(&exchange->connection->tcp, out->str, out->len);
	g_string_free(out, TRUE);
	end_exchange(exchange);
}

/* Answers with a plain text of the router's own. A retry_after_us of 0 leaves
 * Retry-After out. Ends the exchange.
 */
void exchange_reply_text(exchange_t *exchange, unsigned status,
			 int64_t retry_after_us, const char *text)
{
	exchange_reply_lines(exchange, status, retry_after_us, "", text);
}

/* The same with further header lines, which have their ends. */
void exchange_reply_lines(exchange_t *exchange, unsigned status,
			  int64_t retry_after_us, const char *lines,
			  const char *text)
{
	GString *out = g_string_new(NULL);

	ingress_append_text_response(out, status, retry_after_us, lines, text,
				     !closes_connection(exchange),
				     has_body(exchange, status));
	tcp_write(&exchange->connection->tcp, out->str, out->len);
	g_string_free(out, TRUE);
	end_exchange(exchange);
}

/* Begins a response of unknown length by sending its head. To a caller that knows no
 * chunks, the response ends with its connection, which is reset if it ends before the kernel
 * has the whole response.
 */
void exchange_start_stream(exchange_t *exchange, unsigned status,
			   const http_headers_t *headers)
{
	ingress_connection_t *connection = exchange->connection;
	GString *out = g_string_sized_new(512);

	if (!connection->takes_chunks) {
		connection->keep_alive = false;
		tcp_set_reset_at_end(&connection->tcp, true);
	}
	append_head(exchange, out, status, headers);
	if (connection->takes_chunks)
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	g_string_append(out, "\r\n");
	tcp_write(&exchange->connection->tcp, out->str, out->len);
	g_string_free(out, TRUE);
}

/* Sends a piece of a stream's body as one chunk. An empty piece is left out, as
 * an empty chunk would end the body, and all of the body of a response to HEAD.
 */
void exchange_write(exchange_t *exchange, const char *data, size_t len)
{
	GString *out;

	if (len == 0 || ingress_connection_is_head(exchange->connection))
		return;
	out = g_string_sized_new(len + 16);
	if (exchange->connection->takes_chunks)
		g_string_append_printf(out, "%zx\r\n", len);
	g_string_append_len(out, data, (gssize)len);
	if (exchange->connection->takes_chunks)
		g_string_append(out, "\r\n");
	tcp_write(&exchange->connection->tcp, out->str, out->len);
	g_string_free(out, TRUE);
	ingress_connection_watch_output(exchange->connection);
}

/* Returns whether so much of a stream waits for its caller that no more should be written
 * until the handler's on_caught_up is called.
 */
bool exchange_is_behind(const exchange_t *exchange)
{
	return tcp_unsent_bytes(&exchange->connection->tcp) > MAX_UNSENT_BYTES;
}

/* Ends a stream whose body is complete. Ends the exchange. */
void exchange_end_stream(exchange_t *exchange)
{
	if (exchange->connection->takes_chunks &&
	    !ingress_connection_is_head(exchange->connection))
		tcp_write(&exchange->connection->tcp, "0\r\n\r\n", 5);
	end_exchange(exchange);
}

/* Closes the connection of a response that cannot be completed, so that the
 * caller can see that it is cut: without chunks, a reset shows it. Ends the exchange.
 */
void exchange_abort(exchange_t *exchange)
{
	ingress_connection_close(exchange->connection);
}
