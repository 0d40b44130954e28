#include "request/relay_send.h"

#include "process/log.h"
#include "request/server_notice.h"

/* Sets up an object for sends; none is in progress. */
void relay_send_init(relay_send_t *send, relay_t *relay)
{
	memset(send, 0, sizeof(*send));
	send->relay = relay;
	kept_buffer_init(&send->body, &relay->kept);
	http_headers_init(&send->headers);
}

/* Cancels a send in progress, if any, and frees what the object owns. */
void relay_send_finish(relay_send_t *send)
{
	relay_send_cancel(send);
	kept_buffer_finish(&send->body);
	http_headers_finish(&send->headers);
}

/* Sends a request to a server. False when no connection could be made; then `handler` is not
 * called.
 */
bool relay_send_start(relay_send_t *send, relay_request_t *request,
		      server_t *server, const forward_fields_t *fields,
		      const call_handler_t *handler, void *context)
{
	const http_head_t *head = exchange_head(request->exchange);
	GString *message = g_string_sized_new(1024);
	http_call_options_t options = {
		.address = server->entry.address,
		.message = message,
		.body = exchange_shared_body(request->exchange),
		.is_head = g_str_equal(head->method->str, "HEAD"),
		.id_header = "x-request-id",
		.id = request->fields.id,
		.keep_until_us = send->waits_for_deadline ? request->deadline_us
							  : 0,
		.handler = handler,
		.context = context,
	};

	send->status = 0;
	send->paused = false;
	send->read_again_us = 0;
	send->is_own = false;
	send->for_peer = request->from_peer;
	memset(&send->fields, 0, sizeof(send->fields));
	memset(&send->trace, 0, sizeof(send->trace));
	kept_buffer_clear(&send->body);
	http_headers_clear(&send->headers);
	send->sent_us = clock_now(&send->relay->clock);
	append_forwarded_head(message, head,
			      exchange_body(request->exchange).len, fields);
	send->request = request;
	send->call = http_pool_call(send->relay->pool, &options);
	g_string_free(message, TRUE);
	if (!send->call)
		return false;
	request->taken++;
	send->server = server_ref(server);
	server_record_send(server, send->sent_us);
	server_limits_record_send(&send->relay->limits, server->entry.id,
				  send->sent_us);
	return true;
}

/* Records whether the server names a limit in its response. One with status 421
 * comes from another server.
 */
static void record_limit(relay_send_t *send, int64_t now_us)
{
	const server_entry_t *entry = &send->server->entry;
	const response_fields_t *fields = &send->fields;

	if (send->status == 421 ||
	    !server_limits_observe(&send->relay->limits, entry->id,
				   entry->service, fields->has_limit,
				   fields->limit_per_s, now_us))
		return;
	log_event(LOG_WARN, "server_limit", LOG_CSTR("server", entry->id),
		  LOG_INT("limited", fields->has_limit),
		  LOG_REAL("per_s",
			   fields->has_limit ? fields->limit_per_s : 0));
}

/* Keeps the head of the response and records the load and the limit that it
 * names, and what else the server says of itself.
 */
void relay_send_read_head(relay_send_t *send, const http_head_t *head)
{
	int64_t now_us = clock_now(&send->relay->clock);

	send->status = head->status;
	send->is_own = http_call_is_own_response(send->call);
	send->trace = http_call_trace(send->call);
	send->body_until_close = head->body_until_close;
	answer_headers_copy(&send->headers, &head->headers,
			    send->for_peer ? send->server->entry.id : NULL);
	response_fields_read(head, &send->fields);
	server_record_received(send->server, now_us);
	if (send->fields.has_load) {
		send->server->reported_load =
			send->fields.running + send->fields.waiting;
		send->server->reported_us = now_us;
	}
	record_limit(send, now_us);
	server_notice_record(send->relay, send->server, send->status,
			     &send->fields, "request");
}

/* Keeps a piece of the response's body. Ends the call as malformed when this
 * response, or all that are kept at the time, would take too much memory: a server
 * in trouble may send without an end.
 */
void relay_send_keep(relay_send_t *send, const char *data, size_t len)
{
	if (!relay_keep(&send->body, (str_t){data, len})) {
		log_event(LOG_WARN, "response_too_large",
			  LOG_CSTR("server", send->server->entry.id),
			  LOG_UINT("bytes", send->body.len),
			  LOG_UINT("all_bytes", send->relay->kept.used_bytes));
		http_call_reject(send->call);
	}
}

/* Takes no more of the response for now, as its caller is behind. To be called while the
 * call is in progress.
 */
void relay_send_pause(relay_send_t *send)
{
	if (send->paused)
		return;
	send->paused = true;
	http_call_set_reading(send->call, false);
}

/* Goes on with a response that was paused. Allowed when none is in progress. */
void relay_send_read_again(relay_send_t *send)
{
	if (!send->paused || !send->call)
		return;
	send->paused = false;
	send->read_again_us = clock_now(&send->relay->clock);
	http_call_set_reading(send->call, true);
}

/* Releases the server after the call has ended. Allowed when none is in
 * progress.
 */
void relay_send_release(relay_send_t *send)
{
	send->call = NULL;
	answer_wait_end(&send->wait);
	if (!send->server)
		return;
	server_record_end(send->server);
	server_unref(send->server);
	send->server = NULL;
}

/* Cancels a send: the server sees its connection close. */
void relay_send_cancel(relay_send_t *send)
{
	answer_wait_end(&send->wait);
	if (send->call)
		http_call_cancel(send->call);
	relay_send_release(send);
}

/* Records whether a send has failed for its server: with an answer, or without one. */
static void record_result(const relay_send_t *send, call_end_t end,
			  bool timed_out, bool failed)
{
	if (failed && (timed_out || end != CALL_ANSWERED))
		server_record_unanswered(send->server, send->sent_us,
					 clock_now(&send->relay->clock));
	else
		server_record_result(send->server, failed);
}

/* Logs a server's statement that it has not run a request, with what the connection has carried
 * before: a copy of an earlier answer can come only on one that has carried another call.
 */
static void log_refusal(const relay_send_t *send)
{
	log_event(send->is_own ? LOG_INFO : LOG_WARN,
		  send->is_own ? "server_refused" : "refusal_without_id",
		  LOG_STR("request", send->request->fields.id),
		  LOG_CSTR("server", send->server->entry.id),
		  LOG_UINT("status", send->status),
		  LOG_UINT("connection", send->trace.connection),
		  LOG_UINT("earlier_calls", send->trace.earlier_calls),
		  LOG_INT("after_ms",
			  (clock_now(&send->relay->clock) - send->sent_us) /
				  CLOCK_US_PER_MS));
}

/* Returns what a send that has ended or timed out means for the request, and
 * records success or failure for the server. A server that answers 421 is not
 * the one that the platform lists for its address.
 */
outcome_t relay_send_record_outcome(relay_send_t *send, call_end_t end,
				    bool timed_out, bool repeatable)
{
	outcome_input_t input = {
		.end = end,
		.timed_out = timed_out,
		.status = send->status,
		.not_run = send->fields.not_run,
		.is_own = send->is_own,
		.has_signature = send->fields.has_signature,
	};
	outcome_t outcome = outcome_classify(&input, repeatable);

	if (end == CALL_NOT_SENT)
		send->request->taken--;
	if (send->server && input.not_run && end == CALL_ANSWERED && !timed_out)
		log_refusal(send);
	if (send->server) {
		record_result(send, end, timed_out, outcome.failed);
		if (send->status == 421 && send->is_own)
			relay_record_misdirected(send->relay, send->server,
						 "request");
	}
	return outcome;
}
