#include "request/stream.h"

#include "process/counters.h"
#include "process/log.h"
#include "request/peer_call.h"
#include "request/prefill_release.h"
#include "request/request_keys.h"

/* Counts the prompt as work of a prefill engine in the occupancy that all VMs
 * see. Keeps a reference to the engine.
 */
void stream_use_prefill(stream_t *stream, server_t *server)
{
	occupancy_use_t use = {
		.prefill_tokens = stream->request.fields.prompt_tokens,
	};

	stream->prefill = server_ref(server);
	occupancy_add(stream->request.relay->occupancy, server->entry.id, &use);
}

/* Ends the count of stream_use_prefill(), if there is one. */
void stream_release_prefill(stream_t *stream)
{
	occupancy_use_t use = {
		.prefill_tokens = -stream->request.fields.prompt_tokens,
	};

	if (!stream->prefill)
		return;
	occupancy_add(stream->request.relay->occupancy,
		      stream->prefill->entry.id, &use);
	server_unref(stream->prefill);
	stream->prefill = NULL;
}

/* Counts a slot and KV cache memory of a decode engine in the occupancy that
 * all VMs see. Keeps a reference to the engine.
 */
void stream_use_decode(stream_t *stream, server_t *server)
{
	occupancy_use_t use = {.streams = 1, .kv_tokens = stream->kv_tokens};

	stream->decode = server_ref(server);
	occupancy_add(stream->request.relay->occupancy, server->entry.id, &use);
}

/* Ends the count of stream_use_decode(), if there is one. */
void stream_release_decode(stream_t *stream)
{
	occupancy_use_t use = {.streams = -1, .kv_tokens = -stream->kv_tokens};

	if (!stream->decode)
		return;
	occupancy_add(stream->request.relay->occupancy,
		      stream->decode->entry.id, &use);
	server_unref(stream->decode);
	stream->decode = NULL;
}

/* Notes a KV cache that an engine keeps for the stream, in place of an earlier one. */
void stream_set_handle(stream_t *stream, server_t *server, const char *handle)
{
	stream_clear_handle(stream);
	stream->kv_handle = g_strdup(handle);
	stream->kv_source = kv_source_format(server->entry.address, handle);
	server_ref(server);
	if (stream->prefilled_by)
		server_unref(stream->prefilled_by);
	stream->prefilled_by = server;
}

/* Forgets a KV cache that was taken or is not needed. */
void stream_clear_handle(stream_t *stream)
{
	g_clear_pointer(&stream->kv_handle, g_free);
	g_clear_pointer(&stream->kv_source, g_free);
	stream->kv_copied = false;
}

/* Asks the engine that made a KV cache to free it, as no decode engine will take it. */
void stream_release_handle(stream_t *stream)
{
	if (stream->kv_handle && stream->kv_source && stream->prefilled_by) {
		counters_add(COUNTER_PREFILL_TOKENS_WASTED,
			     stream->request.fields.prompt_tokens);
		prefill_release_start(stream->request.relay,
				      stream->prefilled_by, stream->kv_source,
				      stream->kv_handle);
	}
	stream_clear_handle(stream);
}

/* Counts what the stream keeps of events among what the VM keeps of responses. To be called when
 * it has changed.
 */
void stream_count_events(stream_t *stream)
{
	memory_budget_recount(&stream->request.relay->kept_events,
			      &stream->kept_bytes,
			      event_split_memory(&stream->event_split));
}

/* Frees a stream whose exchange has ended. Cancels its send, and releases the
 * engines that it uses and a prefill result that was not fetched.
 */
void stream_finish(stream_t *stream)
{
	relay_t *relay = stream->request.relay;

	if (stream->state == STREAM_WAITING)
		g_queue_remove(&relay->waiting, stream);
	if (stream->state == STREAM_UNRESOLVED)
		g_queue_remove(&relay->unresolved, stream);
	g_queue_remove(&relay->streams, stream);
	alarm_finish(&stream->deadline);
	relay_send_finish(&stream->send);
	if (stream->run_end)
		run_end_finish(stream->run_end);
	g_free(stream->run_end);
	stream_release_prefill(stream);
	stream_release_decode(stream);
	stream_release_handle(stream);
	if (stream->prefilled_by)
		server_unref(stream->prefilled_by);
	memory_budget_recount(&relay->kept_events, &stream->kept_bytes, 0);
	event_split_finish(&stream->event_split);
	relay_request_finish(&stream->request);
	g_free(stream);
	relay->on_occupancy_changed(relay->context);
}

/* Answers with 503 that the request has not run, and frees the stream. */
void stream_refuse(stream_t *stream, int64_t retry_after_us, const char *reason)
{
	relay_refuse(&stream->request, retry_after_us, reason);
	stream_finish(stream);
}

/* Ends a stream that cannot be completed, and frees it. The caller gets an
 * error with this status, or a cut response if it has the head already.
 */
void stream_fail(stream_t *stream, unsigned status, const char *reason)
{
	if (!stream->head_sent) {
		relay_fail(&stream->request, status, reason);
	} else {
		counters_add(COUNTER_REQUESTS_FAILED, 1);
		stream_log_end(stream, status, RESULT_FAILED, reason);
		exchange_abort(stream->request.exchange);
	}
	stream_finish(stream);
}

/* Ends a stream that must not be sent to an engine, because requests like it
 * crash the engines that begin them. True when it was ended.
 */
bool stream_end_if_quarantined(stream_t *stream)
{
	relay_request_t *request = &stream->request;
	bool may_try = stream->state == STREAM_WAITING;
	int64_t until_us;

	if (!request_is_quarantined(request, may_try, &until_us))
		return false;
	counters_add(COUNTER_REQUESTS_QUARANTINED, 1);
	if (stream->head_sent || stream->may_have_run)
		stream_fail(stream, 502, REQUEST_QUARANTINED_REASON);
	else
		stream_refuse(stream,
			      until_us - clock_now(&request->relay->clock),
			      REQUEST_QUARANTINED_REASON);
	return true;
}

/* Passes a stream that no decode engine can have run on to another VM if this one
 * reaches no engine of a stage. True when the stream was freed with that.
 */
bool stream_pass_on_to_peer(stream_t *stream)
{
	const relay_request_t *request = &stream->request;

	if (stream->head_sent || stream->may_have_run ||
	    server_set_reaches(request->relay->servers,
			       request->service->name) ||
	    !peer_call_start(request))
		return false;
	stream_finish(stream);
	return true;
}

/* Returns the milliseconds between two steps, or -1 if one was not reached. */
static int64_t span_ms(int64_t from_us, int64_t to_us)
{
	return from_us && to_us ? (to_us - from_us) / CLOCK_US_PER_MS : -1;
}

/* Returns whether the first event, or the gap between two, missed the targets
 * of the route.
 */
static bool is_late(const stream_t *stream)
{
	const table_route_t *route = stream->request.route;

	return stream->first_event_us > stream->request.answer_due_us ||
	       (route->event_gap_us > 0 &&
		stream->longest_gap_us > route->event_gap_us);
}

/* Logs which engine was lost with a stream, and what the request shares with
 * others. A stream without an event had not begun.
 */
void stream_log_lost(const stream_t *stream, const server_t *server)
{
	const request_fields_t *fields = &stream->request.fields;
	GString *parts = g_string_new(NULL);

	request_keys_append(parts, fields->shared_parts, fields->n_shared_parts,
			    ',');
	log_event(LOG_WARN, "stream_lost", LOG_STR("request", fields->id),
		  LOG_CSTR("server", server->entry.id),
		  LOG_CSTR("software", server->entry.software),
		  LOG_CSTR("parts", parts->str),
		  LOG_INT("events", stream->event_split.events_with_id),
		  LOG_INT("sent_ms", (clock_now(&stream->request.relay->clock) -
				      stream->send.sent_us) /
					     CLOCK_US_PER_MS));
	g_string_free(parts, TRUE);
}

/* Counts how a stream ended, and logs it with the duration of each step. Of
 * streams that were complete and on time, only a sample is logged.
 */
void stream_log_end(const stream_t *stream, unsigned status,
		    request_result_t result, const char *text)
{
	const relay_request_t *request = &stream->request;
	const server_entry_t *decode = stream->decode ? &stream->decode->entry
						      : NULL;
	bool on_time = result == RESULT_OK && !is_late(stream);

	relay_count_end(request, result);
	if (on_time && !relay_is_sampled(request))
		return;
	log_event(LOG_INFO, "stream_ended",
		  LOG_STR("request", request->fields.id),
		  LOG_CSTR("route", request->route->name),
		  LOG_CSTR("prefill", stream->prefilled_by
					      ? stream->prefilled_by->entry.id
					      : ""),
		  LOG_CSTR("decode", decode ? decode->id : ""),
		  LOG_CSTR("software", decode ? decode->software : ""),
		  LOG_UINT("status", status), LOG_CSTR("result", text),
		  LOG_INT("prompt_tokens", request->fields.prompt_tokens),
		  LOG_INT("events", stream->event_split.events_with_id),
		  LOG_INT("late", is_late(stream)),
		  LOG_INT("waited_ms",
			  span_ms(request->arrived_us, stream->started_us)),
		  LOG_INT("prefill_ms",
			  span_ms(stream->started_us, stream->prefilled_us)),
		  LOG_INT("hand_over_ms", span_ms(stream->decode_started_us,
						  stream->first_event_us)),
		  LOG_INT("longest_gap_ms",
			  stream->longest_gap_us / CLOCK_US_PER_MS),
		  LOG_INT("after_ms",
			  span_ms(request->arrived_us,
				  clock_now(&request->relay->clock))),
		  LOG_INT("sample", on_time ? RELAY_SUCCESSES_PER_LOG : 1));
}
