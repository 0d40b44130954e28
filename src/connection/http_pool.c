#include "connection/http_pool.h"

#include "connection/address.h"
#include "connection/carried_ids.h"
#include "connection/http_message.h"
#include "connection/tcp.h"
#include "process/alarm.h"
#include "process/log.h"

/* An idle connection is not used this close to the end of the time for which
 * the server keeps it open: the server could close it while a request is on
 * its way.
 */
#define REUSE_MARGIN_US (300 * CLOCK_US_PER_MS)

/* How long an idle connection is used if the server sends no timeout in
 * Keep-Alive. Such a server can close it within a second.
 */
#define DEFAULT_REUSE_US (400 * CLOCK_US_PER_MS)

/* Longest time for which an idle connection is used, whatever the server
 * allows.
 */
#define MAX_REUSE_US (60 * CLOCK_US_PER_S)

/* Most bytes of bodies that are skipped, and most interim responses, on one call.
 */
#define MAX_SKIPPED_BYTES (1 << 20)
#define MAX_INTERIM_RESPONSES 32

/* Silence after which TCP keepalive probes the server. */
#define KEEPALIVE_IDLE_S 1

/* The kernel takes no larger number of keep-alive probes. */
#define MAX_KEEPALIVE_PROBES 127

/* The connections to one address. */
typedef struct {
	http_pool_t *pool;
	char *address;
	GSocketAddress *socket_address; /* NULL: the address is malformed */
	GQueue idle; /* of http_call_t without a call, last used first */
	unsigned connections; /* open or being opened, idle or not */
	bool repeats_ids; /* its answers to calls with an ID have had it */
} http_host_t;

/* A connection and the call that it carries, if any. */
struct http_call {
	http_host_t *host;
	tcp_t tcp;
	http_message_t message;
	const call_handler_t *handler; /* NULL: the connection is idle */
	void *context;
	const char *id_header; /* see http_call_options_t */
	GString *id;
	int64_t reuse_until_us; /* while idle: not used after this time */
	int64_t heard_us; /* when bytes came last, or the request was sent */
	bool is_kept; /* see keep_until_us in http_call_options_t */
	alarm_t connect_alarm; /* ends a connection not established in time */
	size_t max_body_bytes; /* see http_call_options_t */
	size_t body_bytes; /* of the response, so far */
	size_t skipped_bytes; /* of responses to other requests */
	unsigned interim_responses;
	carried_ids_t carried; /* by the connection, the ID of the call too */
	http_call_trace_t trace;
	bool skip_response; /* the one being read belongs to another request */
	bool reused; /* the connection has carried another call before */
	bool carried_without_id; /* the connection has carried a call without ID */
	bool answers_have_ids; /* an answer on the connection had one */
	bool identified; /* the response being read has the ID of the call */
	bool rejected; /* ends as malformed when the parser returns */
	bool answered; /* the call has ended with a whole response */
	bool is_head; /* the method of all its calls is HEAD; else of none */
	bool parsing; /* the parser runs, so the call must not be freed */
	bool cancelled; /* while the parser was running; freed after it */
};

static const tcp_handler_t tcp_handler;
static const http_message_handler_t message_handler;

/* Returns the name of a way to end, for log lines. */
const char *call_end_text(call_end_t end)
{
	static const char *const texts[] = {
		[CALL_ANSWERED] = "answered",
		[CALL_NOT_SENT] = "not_sent",
		[CALL_LOST] = "lost",
		[CALL_MALFORMED] = "malformed",
	};

	return texts[end];
}

/* Closes a connection: with a reset if it carries a call without a whole response, which is given
 * up or has failed. A server may take an orderly close for the end of the requests only, and work
 * on. A reset also drops what is not acknowledged of a request: the kernel would go on to send it.
 */
static void close_connection(http_call_t *call)
{
	bool given_up = call->handler && !call->answered;

	if (given_up || tcp_has_unacknowledged(&call->tcp))
		tcp_finish_reset(&call->tcp);
	else
		tcp_finish(&call->tcp);
}

/* Closes the connection and frees its memory. The handler is not called. */
static void free_call(http_call_t *call)
{
	if (!call->handler)
		g_queue_remove(&call->host->idle, call);
	call->host->connections--;
	close_connection(call);
	alarm_finish(&call->connect_alarm);
	http_message_finish(&call->message);
	carried_ids_finish(&call->carried);
	g_string_free(call->id, TRUE);
	g_free(call);
}

/* Closes the connection and reports how its call ended, if it carries one. */
static void end_call(http_call_t *call, call_end_t end)
{
	const call_handler_t *handler = call->handler;
	void *context = call->context;

	call->answered = end == CALL_ANSWERED;
	free_call(call);
	if (handler)
		handler->on_end(context, end);
}

/* Returns the time until which the connection may be used again, according to
 * the timeout in the Keep-Alive field of the response.
 */
static int64_t reuse_deadline(const http_call_t *call)
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
		return now_us + DEFAULT_REUSE_US;
	digits.data = at + strlen("timeout=");
	digits.len = 0;
	while (digits.data + digits.len < value.data + value.len &&
	       g_ascii_isdigit(digits.data[digits.len]))
		digits.len++;
	if (!http_parse_uint(digits, &seconds))
		return now_us + DEFAULT_REUSE_US;
	return now_us + MIN(seconds * CLOCK_US_PER_S, MAX_REUSE_US) -
	       REUSE_MARGIN_US;
}

/* Returns how many probes, one a second, keep a connection beyond a time. */
static int probes_until(const http_call_t *call, int64_t until_us)
{
	int64_t left_us = until_us - clock_now(&call->host->pool->clock);

	return (int)CLAMP(left_us / CLOCK_US_PER_S + 1, TCP_KEEPALIVE_PROBES,
			  MAX_KEEPALIVE_PROBES);
}

/* Keeps a connection that carries a call until a time, also if the link passes nothing. It has
 * no user timeout: the kernel may count that from an earlier time at which the other side took
 * no bytes, and the connection has carried other calls.
 */
static void keep_until(http_call_t *call, int64_t until_us)
{
	call->is_kept = call->host->pool->user_timeout_ms > 0;
	if (call->is_kept)
		tcp_set_silence_limits(&call->tcp, 0,
				       probes_until(call, until_us));
}

/* Sets the pool's limits again on a connection that was kept. */
static void restore_silence_limits(http_call_t *call)
{
	if (call->is_kept)
		tcp_set_silence_limits(&call->tcp,
				       call->host->pool->user_timeout_ms,
				       TCP_KEEPALIVE_PROBES);
	call->is_kept = false;
}

/* Ends a call whose response is complete. The connection is kept if it can
 * carry another call: not if the server closes it, bytes of the request are
 * still unsent, or more bytes came than belong to the response.
 */
static void end_answered_call(http_call_t *call, bool more_bytes)
{
	const call_handler_t *handler = call->handler;
	void *context = call->context;
	int64_t until_us = reuse_deadline(call);

	if (more_bytes || !call->message.head.keep_alive ||
	    call->message.head.body_until_close ||
	    tcp_unsent_bytes(&call->tcp) > 0 ||
	    carried_ids_is_full(&call->carried) ||
	    until_us <= clock_now(&call->host->pool->clock)) {
		end_call(call, CALL_ANSWERED);
		return;
	}
	call->handler = NULL;
	call->context = NULL;
	call->reuse_until_us = until_us;
	restore_silence_limits(call);
	tcp_set_reading(&call->tcp, true);
	http_message_restart(&call->message);
	g_queue_push_head(&call->host->idle, call);
	handler->on_end(context, CALL_ANSWERED);
}

/* Prepares the parser for a response, also after one that does not end the
 * call: an interim response or one to an earlier request.
 */
static void expect_response(http_call_t *call)
{
	http_message_restart(&call->message);
	call->message.no_body = call->is_head;
	call->skip_response = false;
}

/* Parses the bytes received, up to the end of the response to the call. */
static void on_data(void *context, const char *data, size_t len)
{
	http_call_t *call = context;

	call->heard_us = clock_now(&call->host->pool->clock);
	while (len > 0) {
		bool interim;
		size_t used;
		http_feed_t result;

		if (!call->handler) {
			/* The server sent bytes that no request asked for. */
			free_call(call);
			return;
		}
		call->parsing = true;
		result = http_message_feed(&call->message, data, len, &used);
		call->parsing = false;
		if (call->cancelled) {
			free_call(call);
			return;
		}
		if (call->rejected) {
			end_call(call, CALL_MALFORMED);
			return;
		}
		data += used;
		len -= used;
		if (result == HTTP_FEED_MORE)
			return;
		if (result != HTTP_FEED_DONE) {
			end_call(call, CALL_MALFORMED);
			return;
		}
		interim = call->message.head.status / 100 == 1;
		if (!interim && !call->skip_response) {
			end_answered_call(call, len > 0);
			return;
		}
		if (interim &&
		    ++call->interim_responses > MAX_INTERIM_RESPONSES) {
			end_call(call, CALL_MALFORMED);
			return;
		}
		expect_response(call);
	}
}

/* Logs why a connection ended before the response that it was to carry. */
static void log_lost(const http_call_t *call, tcp_end_t end)
{
	log_event(LOG_WARN, "call_lost",
		  LOG_STR("request", str_from_gstring(call->id)),
		  LOG_CSTR("address", call->host->address),
		  LOG_CSTR("connection", tcp_end_text(end)),
		  LOG_INT("reused", call->reused),
		  LOG_INT("answer_begun", call->message.started),
		  LOG_INT("silent_ms", (clock_now(&call->host->pool->clock) -
					call->heard_us) /
					       CLOCK_US_PER_MS));
}

/* Ends the call after the connection was closed. A response without a length becomes complete by
 * an orderly close, but not while parts of the request are unacknowledged: a server that
 * fails while it reads the request closes the connection like that too.
 */
static void on_end(void *context, tcp_end_t end)
{
	http_call_t *call = context;

	if (!call->handler) {
		free_call(call);
		return;
	}
	alarm_set(&call->connect_alarm, -1);
	if (end == TCP_END_NOT_CONNECTED) {
		end_call(call, CALL_NOT_SENT);
		return;
	}
	if (end == TCP_END_EOF && !call->skip_response &&
	    !tcp_has_unacknowledged(&call->tcp) &&
	    http_message_eof(&call->message)) {
		end_call(call, CALL_ANSWERED);
		return;
	}
	log_lost(call, end);
	end_call(call, CALL_LOST);
}

static const tcp_handler_t tcp_handler = {
	.on_data = on_data,
	.on_end = on_end,
};

/* Returns the name of the header field in which a server repeats the ID of a call; NULL:
 * it repeats none.
 */
static const char *id_field(const http_call_t *call)
{
	return call->id_header ? call->id_header : call->host->pool->id_header;
}

/* Returns whether a response has an ID, of any request. */
static bool has_id(const http_call_t *call, const http_head_t *head)
{
	const char *field = id_field(call);
	str_t id;

	return field && http_headers_find(&head->headers, field, &id);
}

/* Returns whether the response has the ID of another request: any, if this one has
 * none. One without an ID counts as the response to the call.
 */
static bool is_for_other_request(const http_call_t *call,
				 const http_head_t *head)
{
	const char *field = id_field(call);

	return has_id(call, head) &&
	       !str_equal(http_headers_get(&head->headers, field),
			  str_from_gstring(call->id));
}

/* Returns whether the response being read may be a copy of an earlier one: it has no ID,
 * although the server repeats IDs. On a connection that has carried no other call there is
 * nothing to copy.
 */
static bool lacks_id(const http_call_t *call)
{
	return call->host->pool->id_header && call->id->len > 0 &&
	       !call->identified &&
	       (call->answers_have_ids ||
		(call->reused && call->host->repeats_ids));
}

/* Notes whether the server repeats the IDs of calls, as far as a response to one shows. */
static void note_repeated_id(const http_call_t *call)
{
	if (call->identified)
		call->host->repeats_ids = true;
	else if (call->id->len > 0 && !call->reused && !call->answers_have_ids)
		call->host->repeats_ids = false;
}

/* Passes the head of a response to the handler, unless it is interim, to another
 * request, or may be a copy of an earlier one: then the call ends as malformed.
 */
static bool on_head(void *context, http_head_t *head)
{
	http_call_t *call = context;

	if (head->status / 100 == 1)
		return true;
	call->skip_response = is_for_other_request(call, head);
	call->identified = !call->skip_response && call->id->len > 0 &&
			   has_id(call, head);
	call->rejected = !call->skip_response && lacks_id(call);
	call->answers_have_ids |= has_id(call, head);
	if (!call->skip_response)
		note_repeated_id(call);
	if (call->skip_response || call->rejected)
		call->host->pool->stale_responses++;
	else if (call->handler->on_head)
		call->handler->on_head(call->context, head);
	return true;
}

/* Passes a piece of the body to the handler, and rejects a response that is too
 * large.
 */
static void on_body(void *context, const char *data, size_t len)
{
	http_call_t *call = context;

	if (call->cancelled || call->rejected)
		return;
	if (call->skip_response) {
		call->skipped_bytes += len;
		call->rejected = call->skipped_bytes > MAX_SKIPPED_BYTES;
		return;
	}
	call->body_bytes += len;
	if (call->max_body_bytes && call->body_bytes > call->max_body_bytes)
		call->rejected = true;
	else
		call->handler->on_body(call->context, data, len);
}

static const http_message_handler_t message_handler = {
	.on_head = on_head,
	.on_body = on_body,
};

/* Gives up a connection that was not established in time: nothing was sent. */
static void on_connect_timeout(void *context)
{
	http_call_t *call = context;

	if (call->tcp.connecting)
		end_call(call, CALL_NOT_SENT);
}

/* Closes the idle connections to an address and frees its entry. */
static void free_host(gpointer data)
{
	http_host_t *host = data;

	while (!g_queue_is_empty(&host->idle))
		free_call(g_queue_peek_head(&host->idle));
	g_clear_object(&host->socket_address);
	g_free(host->address);
	g_free(host);
}

/* Sets up a pool without connections. connect_timeout_us may be 0 for none. */
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

/* Returns the entry of an address; adds it at first use. */
static http_host_t *get_host(http_pool_t *pool, const char *address)
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

/* Returns whether a connection that has carried calls may carry this one. It carries no ID
 * twice: nothing would tell a copy of the earlier answer from the answer. For the same reason a
 * request that lacks the ID which others have uses a new connection, and where servers repeat
 * IDs, a call with one does not follow a call without, until the server is known to repeat them.
 * HEAD and other methods do not share a connection: where a copy of an answer ends depends on the
 * method of the request that it answers.
 */
static bool may_carry(const http_call_t *connection,
		      const http_call_options_t *options)
{
	const http_host_t *host = connection->host;

	if (connection->is_head != options->is_head)
		return false;
	if (options->id.len == 0)
		return !options->id_header;
	if (carried_ids_contains(&connection->carried, options->id))
		return false;
	return !host->pool->id_header || !connection->carried_without_id ||
	       host->repeats_ids;
}

/* Takes the idle connection for a call that was used last, because the server is least
 * likely to close that one soon. Closes those that were idle for too long, and
 * those on which the server has sent something since or which it has closed:
 * the bytes would pass for the answer to the next call. Returns NULL if none is
 * left; then one that may not carry the call is closed, so that the connection that is opened
 * instead takes its place: a server has room for a limited number.
 */
static http_call_t *take_idle_connection(http_host_t *host,
					 const http_call_options_t *options,
					 int64_t now_us)
{
	http_call_t *call, *passed_over = NULL;
	GList *link;

	while ((call = g_queue_peek_tail(&host->idle)) &&
	       call->reuse_until_us <= now_us)
		free_call(call);
	link = host->idle.head;
	while (link) {
		call = link->data;
		link = link->next;
		if (!may_carry(call, options)) {
			passed_over = call;
			continue;
		}
		if (!tcp_is_readable(&call->tcp)) {
			g_queue_remove(&host->idle, call);
			return call;
		}
		free_call(call);
	}
	if (passed_over)
		free_call(passed_over);
	return NULL;
}

/* Begins to open a connection. Returns NULL if the address is malformed or no
 * socket can be had.
 */
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
	alarm_init(&call->connect_alarm, host->pool->clock, on_connect_timeout,
		   call);
	if (host->pool->connect_timeout_us > 0)
		alarm_set(&call->connect_alarm,
			  clock_now(&host->pool->clock) +
				  host->pool->connect_timeout_us);
	host->connections++;
	call->trace.connection = ++host->pool->connections_opened;
	carried_ids_init(&call->carried);
	call->id = g_string_new(NULL);
	call->handler = handler;
	http_message_init(&call->message, false, &message_handler, call);
	call->message.budget = host->pool->heads;
	return call;
}

/* Notes that a connection carries a call with this ID, which may be empty. */
static void note_carried(http_call_t *call, str_t id)
{
	call->trace.earlier_calls += call->reused;
	if (id.len > 0)
		carried_ids_add(&call->carried, id);
	else
		call->carried_without_id = true;
}

/* Sends a request. Returns NULL if no connection can be begun; the handler is
 * not called then. It is never called before this function returns. The call
 * belongs to the pool.
 */
http_call_t *http_pool_call(http_pool_t *pool,
			    const http_call_options_t *options)
{
	http_host_t *host = get_host(pool, options->address);
	http_call_t *call = NULL;

	if (!options->new_connection)
		call = take_idle_connection(host, options,
					    clock_now(&pool->clock));
	if (call)
		call->reused = true;
	else
		call = open_connection(host, options->handler);
	if (!call)
		return NULL;
	call->handler = options->handler;
	call->context = options->context;
	note_carried(call, options->id);
	call->id_header = options->id_header;
	g_string_truncate(call->id, 0);
	if (options->id.len)
		g_string_append_len(call->id, options->id.data,
				    (gssize)options->id.len);
	call->is_head = options->is_head;
	call->max_body_bytes = options->max_body_bytes;
	call->body_bytes = 0;
	call->skipped_bytes = 0;
	call->interim_responses = 0;
	call->heard_us = clock_now(&pool->clock);
	if (options->keep_until_us > 0)
		keep_until(call, options->keep_until_us);
	expect_response(call);
	tcp_write_with_body(&call->tcp, str_from_gstring(options->message),
			    options->body);
	return call;
}

/* Cancels a call by closing its connection. The handler is not called again. */
void http_call_cancel(http_call_t *call)
{
	if (!call->parsing) {
		free_call(call);
		return;
	}
	call->cancelled = true;
	close_connection(call);
}

/* Ends a call as malformed, because of what its response holds. To be called by the
 * handler while it takes a piece of the body; the handler's on_end is called when
 * it has returned.
 */
void http_call_reject(http_call_t *call)
{
	call->rejected = true;
}

/* Stops or goes on to take the response from the server, which it then sends no faster. While
 * it is stopped, the end of the response and an orderly close are not noticed.
 */
void http_call_set_reading(http_call_t *call, bool reading)
{
	tcp_set_reading(&call->tcp, reading);
}

/* Returns whether the response being read can only be to this call: it repeats the call's
 * ID, which the connection has carried only once, or the connection has carried no other call
 * of which it could be a late copy.
 */
bool http_call_is_own_response(const http_call_t *call)
{
	return call->identified || !call->reused;
}

/* Returns what the connection of a call has carried. */
http_call_trace_t http_call_trace(const http_call_t *call)
{
	return call->trace;
}

/* Returns whether the connection is established, so that bytes of the request
 * may have been sent.
 */
bool http_call_is_connected(const http_call_t *call)
{
	return !call->tcp.connecting;
}

/* Closes the idle connections to an address. */
void http_pool_close_idle(http_pool_t *pool, const char *address)
{
	http_host_t *host = g_hash_table_lookup(pool->hosts, address);

	while (host && !g_queue_is_empty(&host->idle))
		free_call(g_queue_peek_head(&host->idle));
}

/* Returns the number of connections to an address, idle ones included. */
unsigned http_pool_connections(const http_pool_t *pool, const char *address)
{
	const http_host_t *host = g_hash_table_lookup(pool->hosts, address);

	return host ? host->connections : 0;
}
