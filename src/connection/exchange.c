#include "connection/ingress_connection.h"

/* Head of the request; borrowed until the exchange ends. */
const http_head_t *exchange_head(const exchange_t *exchange)
{
	return &exchange->connection->message.head;
}

/* Body of the request; borrowed until the exchange ends. */
str_t exchange_body(const exchange_t *exchange)
{
	return str_from_gstring(exchange->body);
}

/* When the request had been read whole. */
int64_t exchange_arrived_us(const exchange_t *exchange)
{
	return exchange->arrived_us;
}

/* Keeps a pointer for the handler. */
void exchange_set_context(exchange_t *exchange, void *context)
{
	exchange->context = context;
}

/* Returns the handler's pointer. */
void *exchange_context(const exchange_t *exchange)
{
	return exchange->context;
}

/* Ends the exchange; goes on with the connection's next request. */
static void end_exchange(exchange_t *exchange)
{
	ingress_connection_t *connection = exchange->connection;

	connection->ingress->active--;
	if (!connection->keep || connection->ingress->closing) {
		ingress_connection_linger(connection);
		return;
	}
	ingress_connection_await_request(connection);
	tcp_set_reading(&connection->tcp, true);
	/* The next request begins in its own turn of the loop, not inside of
	 * whatever ended this one.
	 */
	if (connection->ahead->len > 0 && !connection->feeding)
		alarm_set(&connection->alarm,
			  clock_now(&connection->ingress->clock));
}

static bool closes(const exchange_t *exchange)
{
	return !exchange->connection->keep ||
	       exchange->connection->ingress->closing;
}

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
	if (closes(exchange))
		g_string_append(out, "Connection: close\r\n");
}

/* Answers with a backend server's response that is whole. */
void exchange_reply(exchange_t *exchange, unsigned status,
		    const http_headers_t *headers, str_t body)
{
	tcp_t *tcp = &exchange->connection->tcp;
	GString *out = g_string_sized_new(512 + body.len);
	bool no_body =
		status == 204 || status == 304 ||
		g_str_equal(exchange_head(exchange)->method->str, "HEAD");

	append_head(exchange, out, status, headers);
	if (!no_body)
		http_append_int(out, "Content-Length", (int64_t)body.len);
	g_string_append(out, "\r\n");
	g_string_append_len(out, body.data, (gssize)body.len);
	tcp_write(tcp, out->str, out->len);
	g_string_free(out, TRUE);
	end_exchange(exchange);
}

/* Answers on the router's own behalf. */
void exchange_reply_text(exchange_t *exchange, unsigned status,
			 int64_t retry_after_us, const char *text)
{
	GString *out = g_string_new(NULL);

	ingress_append_text_response(out, status, retry_after_us, text,
				     !closes(exchange));
	tcp_write(&exchange->connection->tcp, out->str, out->len);
	g_string_free(out, TRUE);
	end_exchange(exchange);
}

/* Begins a response of unknown length. */
void exchange_start_stream(exchange_t *exchange, unsigned status,
			   const http_headers_t *headers)
{
	GString *out = g_string_sized_new(512);

	exchange->streaming = true;
	append_head(exchange, out, status, headers);
	g_string_append(out, "Transfer-Encoding: chunked\r\n\r\n");
	tcp_write(&exchange->connection->tcp, out->str, out->len);
	g_string_free(out, TRUE);
}

/* Appends to the body of a stream. */
void exchange_write(exchange_t *exchange, const char *data, size_t len)
{
	GString *out;

	if (len == 0)
		return;
	out = g_string_sized_new(len + 16);
	g_string_append_printf(out, "%zx\r\n", len);
	g_string_append_len(out, data, (gssize)len);
	g_string_append(out, "\r\n");
	tcp_write(&exchange->connection->tcp, out->str, out->len);
	g_string_free(out, TRUE);
}

/* Ends a stream that is whole. */
void exchange_end_stream(exchange_t *exchange)
{
	tcp_write(&exchange->connection->tcp, "0\r\n\r\n", 5);
	end_exchange(exchange);
}

/* Ends a response that cannot be completed, visibly so for the caller. */
void exchange_abort(exchange_t *exchange)
{
	ingress_connection_t *connection = exchange->connection;

	tcp_finish(&connection->tcp);
	ingress_connection_close(connection);
}
