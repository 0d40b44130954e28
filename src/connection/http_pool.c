#include "connection/http_pool.h"

#include "connection/address.h"
#include "connection/http_message.h"
#include "connection/tcp.h"
#include "process/alarm.h"

/* A kept connection is not used this close to the end of the time for which
 * the server keeps it, because a request could cross its close.
 */
#define KEEP_MARGIN_US (300 * CLOCK_US_PER_MS)

/* A server that names no time closes idle connections within a second. */
#define KEEP_UNNAMED_US (400 * CLOCK_US_PER_MS)

#define KEEP_MAX_US (60 * CLOCK_US_PER_S)
#define KEEPALIVE_IDLE_S 1

typedef struct {
	http_pool_t *pool;
	char *address;
	GSocketAddress *socket_address;
	GQueue idle; /* of http_call_t without a request, latest first */
	unsigned connections;
} http_host_t;

/* A connection and the call it carries, if any. */
struct http_call {
	http_host_t *host;
	tcp_t tcp;
	http_message_t message;
	const call_handler_t *handler; /* NULL while idle */
	void *context;
	const char *id_header;
	GString *id;
	int64_t idle_until_us;
	alarm_t connecting; /* set while there is no connection yet */
	bool skipping; /* the response belongs to another request */
	bool is_head;
	bool feeding; /* the parser is running; it must not be freed */
	bool cancelled; /* while the parser was running */
};

static const tcp_handler_t tcp_handler;
static const http_message_handler_t message_handler;

static void destroy(http_call_t *call)
{
	if (!call->handler)
		g_queue_remove(&call->host->idle, call);
	call->host->connections--;
	tcp_finish(&call->tcp);
	alarm_finish(&call->connecting);
	http_message_finish(&call->message);
	g_string_free(call->id, TRUE);
	g_free(call);
}

static void finish(http_call_t *call, call_end_t end)
{
	const call_handler_t *handler = call->handler;
	void *context = call->context;

	destroy(call);
	if (handler)
		handler->on_end(context, end);
}

/* Seconds for which the server keeps the connection, as a deadline. */
static int64_t keep_until(const http_call_t *call)
{
	str_t value =
		http_headers_get(&call->message.head.headers, "keep-alive");
	int64_t now_us = clock_now(&call->host->pool->clock);
	const char *at = value.len ? g_strstr_len(value.data, (gssize)value.len,
						  "timeout=")
				   : NULL;
	int64_t seconds;
	str_t digits;

	if (!at)
		return now_us + KEEP_UNNAMED_US;
	digits.data = at + strlen("timeout=");
	digits.len = 0;
	while (digits.data + digits.len < value.data + value.len &&
	       g_ascii_isdigit(digits.data[digits.len]))
		digits.len++;
	if (!http_parse_uint(digits, &seconds))
		return now_us + KEEP_UNNAMED_US;
	return now_us + MIN(seconds * CLOCK_US_PER_S, KEEP_MAX_US) -
	       KEEP_MARGIN_US;
}

/* Ends the call whose response is whole; keeps the connection if it may carry
 * another one.
 */
static void response_done(http_call_t *call, bool more_bytes)
{
	const call_handler_t *handler = call->handler;
	void *context = call->context;
	int64_t until_us = keep_until(call);

	if (more_bytes || !call->message.head.keep_alive ||
	    call->message.until_eof || tcp_unsent_bytes(&call->tcp) > 0 ||
	    until_us <= clock_now(&call->host->pool->clock)) {
		finish(call, CALL_ANSWERED);
		return;
	}
	call->handler = NULL;
	call->context = NULL;
	call->idle_until_us = until_us;
	http_message_restart(&call->message);
	g_queue_push_head(&call->host->idle, call);
	handler->on_end(context, CALL_ANSWERED);
}

/* An interim response or one to an earlier request is followed by another. */
static void next_response(http_call_t *call)
{
	http_message_restart(&call->message);
	call->message.no_body = call->is_head;
	call->skipping = false;
}

static void on_data(void *context, const char *data, size_t len)
{
	http_call_t *call = context;

	while (len > 0) {
		bool interim;
		size_t used;
		http_feed_t fed;

		if (!call->handler) {
			/* Bytes that belong to no request. */
			destroy(call);
			return;
		}
		call->feeding = true;
		fed = http_message_feed(&call->message, data, len, &used);
		call->feeding = false;
		if (call->cancelled) {
			destroy(call);
			return;
		}
		data += used;
		len -= used;
		if (fed == HTTP_FEED_MORE)
			return;
		if (fed != HTTP_FEED_DONE) {
			finish(call, CALL_MALFORMED);
			return;
		}
		interim = call->message.head.status / 100 == 1;
		if (!interim && !call->skipping) {
			response_done(call, len > 0);
			return;
		}
		next_response(call);
	}
}

static void on_end(void *context, tcp_end_t end)
{
	http_call_t *call = context;

	if (!call->handler) {
		destroy(call);
		return;
	}
	alarm_set(&call->connecting, -1);
	if (end == TCP_END_NOT_CONNECTED) {
		finish(call, CALL_NOT_SENT);
		return;
	}
	if (end == TCP_END_EOF && !call->skipping &&
	    http_message_eof(&call->message)) {
		finish(call, CALL_ANSWERED);
		return;
	}
	finish(call, CALL_LOST);
}

static const tcp_handler_t tcp_handler = {
	.on_data = on_data,
	.on_end = on_end,
};

/* Tells whether the response names another request than the call's. */
static bool is_foreign(const http_call_t *call, const http_head_t *head)
{
	str_t id;

	return call->id_header &&
	       http_headers_find(&head->headers, call->id_header, &id) &&
	       !str_equal(id, str_from_gstring(call->id));
}

static bool on_head(void *context, http_head_t *head)
{
	http_call_t *call = context;

	if (head->status / 100 == 1)
		return true;
	call->skipping = is_foreign(call, head);
	if (call->skipping)
		call->host->pool->stale_responses++;
	else if (call->handler->on_head)
		call->handler->on_head(call->context, head);
	return true;
}

static void on_body(void *context, const char *data, size_t len)
{
	http_call_t *call = context;

	if (!call->skipping && !call->cancelled)
		call->handler->on_body(call->context, data, len);
}

static const http_message_handler_t message_handler = {
	.on_head = on_head,
	.on_body = on_body,
};

/* No connection came about: nothing was sent. */
static void on_connect_timeout(void *context)
{
	http_call_t *call = context;

	if (call->tcp.connecting)
		finish(call, CALL_NOT_SENT);
}

static void free_host(gpointer data)
{
	http_host_t *host = data;

	while (!g_queue_is_empty(&host->idle))
		destroy(g_queue_peek_head(&host->idle));
	g_clear_object(&host->socket_address);
	g_free(host->address);
	g_free(host);
}

/* Sets up a pool without connections. */
void http_pool_init(http_pool_t *pool, clock_source_t clock,
		    unsigned user_timeout_ms, int64_t connect_timeout_us)
{
	*pool = (http_pool_t){
		.clock = clock,
		.user_timeout_ms = user_timeout_ms,
		.connect_timeout_us = connect_timeout_us,
		.hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_host),
	};
}

/* Closes all idle connections; no call may be in progress. */
void http_pool_finish(http_pool_t *pool)
{
	g_clear_pointer(&pool->hosts, g_hash_table_unref);
}

static http_host_t *find_host(http_pool_t *pool, const char *address)
{
	http_host_t *host = g_hash_table_lookup(pool->hosts, address);

	if (host)
		return host;
	host = g_new0(http_host_t, 1);
	host->pool = pool;
	host->address = g_strdup(address);
	host->socket_address = address_parse(address);
	g_queue_init(&host->idle);
	g_hash_table_insert(pool->hosts, host->address, host);
	return host;
}

/* Takes the connection that was used last, as it is the least likely to be
 * closed soon; closes those that were idle for too long.
 */
static http_call_t *take_idle(http_host_t *host, int64_t now_us)
{
	http_call_t *call;

	while ((call = g_queue_peek_tail(&host->idle)) &&
	       call->idle_until_us <= now_us)
		destroy(call);
	call = g_queue_pop_head(&host->idle);
	return call;
}

static http_call_t *open_connection(http_host_t *host,
				    const call_handler_t *handler)
{
	tcp_options_t options = {
		.user_timeout_ms = host->pool->user_timeout_ms,
		.keepalive_idle_s = KEEPALIVE_IDLE_S,
	};
	http_call_t *call;

	if (!host->socket_address)
		return NULL;
	call = g_new0(http_call_t, 1);
	call->host = host;
	if (!tcp_connect(&call->tcp, host->socket_address, &options,
			 &tcp_handler, call)) {
		g_free(call);
		return NULL;
	}
	alarm_init(&call->connecting, host->pool->clock, on_connect_timeout,
		   call);
	if (host->pool->connect_timeout_us > 0)
		alarm_set(&call->connecting,
			  clock_now(&host->pool->clock) +
				  host->pool->connect_timeout_us);
	host->connections++;
	host->pool->connections_opened++;
	call->id = g_string_new(NULL);
	call->handler = handler;
	http_message_init(&call->message, false, &message_handler, call);
	return call;
}

/*
 * Sends a request. NULL when it cannot be sent at all; the handler is not
 * called then, nor is it called before this function returns.
 */
http_call_t *http_pool_call(http_pool_t *pool,
			    const http_call_options_t *options)
{
	http_host_t *host = find_host(pool, options->address);
	http_call_t *call = NULL;

	if (!options->fresh)
		call = take_idle(host, clock_now(&pool->clock));
	if (!call)
		call = open_connection(host, options->handler);
	if (!call)
		return NULL;
	call->handler = options->handler;
	call->context = options->context;
	call->id_header = options->id_header;
	g_string_truncate(call->id, 0);
	if (options->id.len)
		g_string_append_len(call->id, options->id.data,
				    (gssize)options->id.len);
	call->is_head = options->is_head;
	next_response(call);
	tcp_write(&call->tcp, options->message->str, options->message->len);
	return call;
}

/* Gives a call up by closing its connection. */
void http_call_cancel(http_call_t *call)
{
	if (!call->feeding) {
		destroy(call);
		return;
	}
	call->cancelled = true;
	tcp_finish(&call->tcp);
}

/* Tells whether there is a connection: bytes of the request may have left. */
bool http_call_is_connected(const http_call_t *call)
{
	return !call->tcp.connecting;
}

/* Closes the idle connections to an address. */
void http_pool_close_idle(http_pool_t *pool, const char *address)
{
	http_host_t *host = g_hash_table_lookup(pool->hosts, address);

	while (host && !g_queue_is_empty(&host->idle))
		destroy(g_queue_peek_head(&host->idle));
}

/* Open connections to an address, idle ones included. */
unsigned http_pool_connections(const http_pool_t *pool, const char *address)
{
	const http_host_t *host = g_hash_table_lookup(pool->hosts, address);

	return host ? host->connections : 0;
}
