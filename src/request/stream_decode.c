#include "request/stream_decode.h"

#include "process/counters.h"
#include "process/log.h"
#include "process/route_metrics.h"
#include "request/request_keys.h"
#include "request/stream_engines.h"
#include "request/stream_failover.h"
#include "request/stream_resume.h"

/* Longer gaps between events come from a silent engine or connection and say
 * nothing about the engine's pace.
 */
#define MAX_PACE_GAP_US (300 * CLOCK_US_PER_MS)

/* Largest event that is taken from an engine. */
#define MAX_EVENT_BYTES ((size_t)256 << 10)

/* A stream has begun well when its engine has made events for this long. */
#define BEGIN_US (300 * CLOCK_US_PER_MS)

/* Compares the length of the output with the caller's estimate, to correct
 * later estimates. An engine's events hold a fixed number of tokens.
 */
static void record_output(const stream_t *stream)
{
	const relay_request_t *request = &stream->request;
	int64_t estimate = request->fields.output_estimate_tokens;

	if (estimate > 0 && stream->event_split.events_with_id > 0)
		output_model_note_output(
			relay_output_model(request), estimate,
			stream->event_split.events_with_id *
				request->service->engine.tokens_per_event);
}

/* Records, once for each send, that the engine has begun the stream well. */
static void record_begun_well(stream_t *stream)
{
	if (stream->begun_well)
		return;
	stream->begun_well = true;
	request_record_sound(&stream->request);
}

/* Returns whether the caller has events of the stream, from this answer or an earlier one. */
static bool has_earlier_events(const stream_t *stream)
{
	return event_split_last_id(&stream->event_split).len > 0 ||
	       stream->request.fields.last_event_id.len > 0;
}

/*
 * Returns whether a response that has ended is a whole stream. One that ends inside an
 * event was broken off, and so was one without any event if only the end of its connection
 * shows where it ends. When the stream was resumed, nothing may be left of it: a second
 * engine that says so too is believed.
 */
static bool is_whole(stream_t *stream)
{
	if (event_split_partial(&stream->event_split).len > 0)
		return false;
	if (!stream->send.body_until_close || stream->begun_us != 0)
		return true;
	return has_earlier_events(stream) && stream->empty_ends++ > 0;
}

/* Ends a stream whose engine has sent everything. */
static void end_complete(stream_t *stream)
{
	record_output(stream);
	record_begun_well(stream);
	stream_log_end(stream, 200, RESULT_OK, "complete");
	exchange_end_stream(stream->request.exchange);
	stream_finish(stream);
}

/* Records that the decode engine has fetched the prefill result: the hand-over
 * worked for both engines, and the result needs no release.
 */
static void record_hand_over(stream_t *stream)
{
	stream_clear_handle(stream);
	server_work_succeeded(stream->send.server);
	if (stream->prefilled_by)
		server_work_succeeded(stream->prefilled_by);
}

/* Makes both engines get no work for a while when the decode engine refused
 * with 503 although it has free slots: the engine is changing its stage, or the
 * prefill result was gone. A refusal for lack of slots is not held against
 * them. One that answers 421 may be of the other stage by now.
 */
static void record_refusal(stream_t *stream)
{
	const response_fields_t *fields = &stream->send.fields;
	int64_t now_us = clock_now(&stream->request.relay->clock);

	if (stream->send.status == 421)
		server_work_failed(stream->decode, stream->send.sent_us,
				   now_us);
	if (stream->send.status != 503 || !fields->has_load ||
	    fields->running + fields->waiting >= fields->slots)
		return;
	server_work_failed(stream->decode, stream->send.sent_us, now_us);
	if (stream->prefilled_by)
		server_work_failed(stream->prefilled_by, stream->send.sent_us,
				   now_us);
}

/* Returns whether the body of a response may be a stream of events: its type is that, or is
 * not stated.
 */
static bool may_hold_events(const http_head_t *head)
{
	static const char events[] = "text/event-stream";
	str_t type;

	return !http_headers_find(&head->headers, "content-type", &type) ||
	       (type.len >= sizeof(events) - 1 &&
		g_ascii_strncasecmp(type.data, events, sizeof(events) - 1) ==
			0);
}

/* Begins the answer to the caller, unless the response is an error, lacks a server's
 * signature or is no stream: such a response is kept until its end decides on it.
 */
static void decode_head(void *context, const http_head_t *head)
{
	stream_t *stream = context;

	relay_send_read_head(&stream->send, head);
	if (head->status / 100 == 2)
		record_hand_over(stream);
	stream->response_is_error = head->status / 100 != 2 ||
				    !stream->send.fields.has_signature ||
				    !may_hold_events(head);
	if (stream->response_is_error || stream->head_sent)
		return;
	stream->head_sent = true;
	exchange_start_stream(stream->request.exchange, head->status,
			      &stream->send.headers);
}

/* Records an engine that was lost with the stream, and the loss as evidence
 * against the request if the engine was about to begin it.
 */
static void record_loss(stream_t *stream)
{
	stream_log_lost(stream, stream->decode);
	if (!stream->begun_well)
		request_record_loss(&stream->request, stream->decode);
}

/* Returns the streams of all VMs at the stream's decode engine. */
static int64_t streams_at(const stream_t *stream, int64_t now_us)
{
	return occupancy_total(stream->request.relay->occupancy,
			       stream->decode->entry.id, now_us)
		.streams;
}

/* Updates the state, times and latency metrics when an event has arrived. */
static void record_event(stream_t *stream, int64_t now_us)
{
	const relay_request_t *request = &stream->request;
	const char *route = request->route->name;

	if (stream->state == STREAM_DECODING) {
		stream->state = STREAM_STREAMING;
		if (!stream->first_event_us)
			stream->first_event_us = now_us;
		workload_observe_hand_over(relay_own_workload(request), now_us,
					   now_us - stream->decode_started_us);
		route_metrics_observe(HISTOGRAM_HAND_OVER, route,
				      now_us - stream->decode_started_us);
		route_metrics_observe(HISTOGRAM_FIRST_TOKEN, route,
				      now_us - request->arrived_us);
	} else {
		int64_t gap_us = now_us - stream->last_event_us;

		stream->longest_gap_us = MAX(stream->longest_gap_us, gap_us);
		if (gap_us <= MAX_PACE_GAP_US &&
		    stream->send.read_again_us < stream->last_event_us)
			workload_observe_gap(relay_own_workload(request),
					     now_us, gap_us,
					     streams_at(stream, now_us));
		route_metrics_observe(HISTOGRAM_INTER_TOKEN, route, gap_us);
	}
	stream->last_event_us = now_us;
	if (!stream->begun_us)
		stream->begun_us = now_us;
	if (now_us - stream->begun_us >= BEGIN_US)
		record_begun_well(stream);
}

/* Ends the call as malformed when an event or its ID does not end, or events of many streams
 * take too much memory.
 */
static void check_kept_events(stream_t *stream)
{
	const relay_t *relay = stream->request.relay;
	size_t bytes = event_split_partial(&stream->event_split).len +
		       event_split_last_id(&stream->event_split).len;

	if (bytes <= MEMORY_SMALL_BYTES ||
	    (bytes <= MAX_EVENT_BYTES &&
	     memory_budget_has_room(&relay->kept_events, 0)))
		return;
	log_event(LOG_WARN, "event_too_large",
		  LOG_STR("request", stream->request.fields.id),
		  LOG_CSTR("server", stream->decode->entry.id),
		  LOG_UINT("bytes", bytes),
		  LOG_UINT("all_bytes", relay->kept.used_bytes));
	http_call_reject(stream->send.call);
}

/* Passes complete events on to the caller. */
static void decode_body(void *context, const char *data, size_t len)
{
	stream_t *stream = context;
	int64_t now_us = clock_now(&stream->request.relay->clock);
	str_t complete;

	if (stream->response_is_error) {
		relay_send_keep(&stream->send, data, len);
		return;
	}
	server_record_received(stream->send.server, now_us);
	complete = event_split_add(&stream->event_split, (str_t){data, len});
	if (complete.len > 0) {
		record_event(stream, now_us);
		stream_resume_record_version(stream);
		exchange_write(stream->request.exchange, complete.data,
			       complete.len);
		event_split_consume(&stream->event_split);
		if (exchange_is_behind(stream->request.exchange))
			relay_send_pause(&stream->send);
	}
	stream_count_events(stream);
	check_kept_events(stream);
}

/* Handles a decode that has not run: logs it with what all VMs count at the
 * engine, tries another engine and otherwise ends the stream.
 */
static void retry_or_end(stream_t *stream, call_end_t end)
{
	occupancy_use_t use = occupancy_total(
		stream->request.relay->occupancy, stream->decode->entry.id,
		clock_now(&stream->request.relay->clock));

	log_event(LOG_WARN, "decode_rejected",
		  LOG_STR("request", stream->request.fields.id),
		  LOG_CSTR("server", stream->decode->entry.id),
		  LOG_UINT("status", stream->send.status),
		  LOG_INT("running", stream->send.fields.running),
		  LOG_INT("waiting", stream->send.fields.waiting),
		  LOG_INT("streams_counted", use.streams),
		  LOG_INT("kv_tokens_counted", use.kv_tokens),
		  LOG_INT("kv_tokens", stream->kv_tokens),
		  LOG_INT("handle_age_ms",
			  (clock_now(&stream->request.relay->clock) -
			   stream->prefilled_us) /
				  CLOCK_US_PER_MS));
	counters_add(COUNTER_IMPORTS_FAILED, 1);
	record_refusal(stream);
	if (stream_end_if_quarantined(stream) ||
	    stream_failover_after_refusal(stream, end) ||
	    stream_pass_on_to_peer(stream))
		return;
	if (stream->head_sent || stream->may_have_run)
		stream_fail(stream, 502, "the stream could not be resumed");
	else
		stream_refuse(stream, STREAM_REFUSED_RETRY_US,
			      "the decode engine refused the request");
}

/* Ends the stream, passes an engine's error on, or goes on at another engine. A
 * stream that may have run goes on only where its route allows it.
 */
static void decode_end(void *context, call_end_t end)
{
	stream_t *stream = context;
	bool complete = end == CALL_ANSWERED && !stream->response_is_error;
	outcome_t outcome;

	if (complete && !is_whole(stream)) {
		complete = false;
		end = CALL_LOST;
	}
	outcome = relay_send_record_outcome(&stream->send, end, false,
					    stream->request.route->resumable);
	relay_send_release(&stream->send);
	if (complete && stream->head_sent) {
		end_complete(stream);
		return;
	}
	/* A suspect engine is probed, which soon shows whether it is alive. */
	if (end != CALL_ANSWERED)
		server_mark_suspect(stream->decode,
				    clock_now(&stream->request.relay->clock));
	if (outcome.run == RUN_NOT_RUN) {
		retry_or_end(stream, end);
		return;
	}
	if (end == CALL_LOST)
		record_loss(stream);
	if (outcome.failed && end == CALL_ANSWERED)
		server_work_failed(stream->decode, stream->send.sent_us,
				   clock_now(&stream->request.relay->clock));
	if (outcome.answer == OUTCOME_PASS_ON && !stream->head_sent) {
		stream_log_end(stream, stream->send.status, RESULT_SERVER_ERROR,
			       "engine_error");
		relay_reply(&stream->request, stream->send.status,
			    &stream->send.headers, &stream->send.body);
		stream_finish(stream);
		return;
	}
	if (!stream_failover_resume(stream, end, outcome.run))
		stream_fail(stream, 502, STREAM_BROKE_OFF_REASON);
}

static const call_handler_t decode_handler = {
	.on_head = decode_head,
	.on_body = decode_body,
	.on_end = decode_end,
};

/* Sends the request to the decode engine that is counted for it. A resumable
 * request goes on after the last event that was passed on, or else after the
 * one that the caller says it has. False when no connection could be made.
 */
bool stream_decode_send(stream_t *stream)
{
	relay_request_t *request = &stream->request;
	int64_t now_us = clock_now(&request->relay->clock);
	str_t last_event_id = event_split_last_id(&stream->event_split);
	forward_fields_t fields = {
		.server_id = str_from(stream->decode->entry.id),
		.time_left_us = request->deadline_us - now_us,
		.kv_source = stream->kv_source,
		.last_event_id = last_event_id.len
					 ? last_event_id
					 : request->fields.last_event_id,
	};

	if (!request->route->resumable)
		fields.last_event_id = (str_t){NULL, 0};
	stream->state = STREAM_DECODING;
	stream->decode_started_us = now_us;
	stream->begun_us = 0;
	stream->begun_well = false;
	stream->response_is_error = false;
	/* The rest of a resumable stream can be had elsewhere, by this VM or its caller. */
	stream->send.waits_for_deadline = !request->route->resumable;
	if (!relay_send_start(&stream->send, request, stream->decode, &fields,
			      &decode_handler, stream))
		return false;
	request->sends++;
	counters_add(COUNTER_DECODES, 1);
	relay_log_send(request, stream->decode, "decode");
	return true;
}

/* Moves a stream whose prompt was read to another decode engine when its own was
 * given more streams than it has room for.
 */
static void leave_overbooked(stream_t *stream)
{
	server_t *next = stream_engines_pick_less_booked(
		&stream->request, stream->kv_tokens, stream->decode);

	if (!next)
		return;
	log_event(LOG_INFO, "decode_moved",
		  LOG_STR("request", stream->request.fields.id),
		  LOG_CSTR("server", stream->decode->entry.id),
		  LOG_CSTR("next", next->entry.id));
	stream_release_decode(stream);
	stream_use_decode(stream, next);
}

/*
 * Hands the prefill result to the decode engine that admission chose, or to
 * another one if that takes no work any more.
 */
void stream_decode_start(stream_t *stream)
{
	relay_t *relay = stream->request.relay;

	if (stream_end_if_quarantined(stream))
		return;
	leave_overbooked(stream);
	if (!engine_takes_request(relay, stream->decode,
				  clock_now(&relay->clock)) ||
	    !stream_decode_send(stream)) {
		stream->send.status = 0; /* no response from it */
		retry_or_end(stream, CALL_NOT_SENT);
		return;
	}
	relay->on_occupancy_changed(relay->context);
}
