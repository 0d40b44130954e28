#include "request/stream_decode.h"

#include "process/counters.h"
#include "process/log.h"
#include "process/route_metrics.h"
#include "request/stream_engines.h"

/* Weight of the latest stream in the mean duration. */
#define DURATION_WEIGHT 0.05

static void note_duration(stream_t *stream)
{
	relay_t *relay = stream->request.relay;
	int64_t us = clock_now(&relay->clock) - stream->decode_started_us;

	relay->stream_us += DURATION_WEIGHT * ((double)us - relay->stream_us);
}

/* Learns what the caller's estimate of the output was worth. */
static void note_output(const stream_t *stream)
{
	const relay_request_t *request = &stream->request;
	int64_t estimate = request->fields.output_estimate_tokens;

	if (estimate > 0 && stream->split.events > 0)
		output_model_note_output(
			relay_output_model(request), estimate,
			stream->split.events *
				request->service->engine.tokens_per_event);
}

static void complete(stream_t *stream)
{
	str_t rest = event_split_partial(&stream->split);

	note_output(stream);
	exchange_write(stream->request.exchange, rest.data, rest.len);
	note_duration(stream);
	stream_log_end(stream, 200, RESULT_OK, "complete");
	exchange_end_stream(stream->request.exchange);
	stream_finish(stream);
}

/* The decode engine has fetched the prefill result. */
static void handed_over(stream_t *stream)
{
	stream_clear_handle(stream);
	server_work_succeeded(stream->send.server);
	if (stream->prefilled_by)
		server_work_succeeded(stream->prefilled_by);
}

/* A decode engine with free places refused: it changes its stage, or the
 * prefill result was gone.
 */
static void note_refusal(stream_t *stream)
{
	const response_fields_t *fields = &stream->send.fields;
	int64_t now_us = clock_now(&stream->request.relay->clock);

	if (stream->send.status != 503 || !fields->has_load ||
	    fields->running + fields->waiting >= fields->slots)
		return;
	server_work_failed(stream->decode, now_us);
	if (stream->prefilled_by)
		server_work_failed(stream->prefilled_by, now_us);
}

static void decode_head(void *context, const http_head_t *head)
{
	stream_t *stream = context;

	relay_send_read_head(&stream->send, head);
	if (head->status / 100 == 2)
		handed_over(stream);
	stream->passes_error = head->status / 100 != 2 ||
			       !stream->send.fields.has_signature;
	if (stream->passes_error || stream->head_sent)
		return;
	stream->head_sent = true;
	exchange_start_stream(stream->request.exchange, head->status,
			      &head->headers);
}

static void note_event(stream_t *stream, int64_t now_us)
{
	const relay_request_t *request = &stream->request;
	const char *route = request->route->name;

	if (stream->state == STREAM_DECODING) {
		stream->state = STREAM_STREAMING;
		if (!stream->first_event_us)
			stream->first_event_us = now_us;
		route_metrics_observe(HISTOGRAM_HAND_OVER, route,
				      now_us - stream->decode_started_us);
		route_metrics_observe(HISTOGRAM_FIRST_TOKEN, route,
				      now_us - request->arrived_us);
	} else {
		stream->longest_gap_us = MAX(stream->longest_gap_us,
					     now_us - stream->last_event_us);
		route_metrics_observe(HISTOGRAM_INTER_TOKEN, route,
				      now_us - stream->last_event_us);
	}
	stream->last_event_us = now_us;
}

static void decode_body(void *context, const char *data, size_t len)
{
	stream_t *stream = context;
	int64_t now_us = clock_now(&stream->request.relay->clock);
	str_t whole;

	if (stream->passes_error) {
		g_string_append_len(stream->send.body, data, (gssize)len);
		return;
	}
	server_heard(stream->send.server, now_us);
	whole = event_split_add(&stream->split, (str_t){data, len});
	if (whole.len == 0)
		return;
	note_event(stream, now_us);
	exchange_write(stream->request.exchange, whole.data, whole.len);
	event_split_consume(&stream->split);
}

static bool send_decode(stream_t *stream);

/* Goes on with a broken stream at another engine, where the route allows it.
 * The engine reads the prompt itself.
 */
static bool resume(stream_t *stream)
{
	relay_request_t *request = &stream->request;
	relay_t *relay = request->relay;
	server_t *next;

	if (!request->route->resumable ||
	    request->sends >= (unsigned)request->route->max_servers ||
	    clock_now(&relay->clock) >= request->deadline_us)
		return false;
	next = stream_engines_pick_decode(request, stream->kv_tokens,
					  stream->decode);
	if (!next || !relay_take_retry(request))
		return false;
	event_split_drop_partial(&stream->split);
	stream_release_decode(stream);
	stream_use_decode(stream, next);
	log_event(LOG_WARN, "stream_resumed",
		  LOG_STR("request", request->fields.id),
		  LOG_CSTR("server", next->entry.id),
		  LOG_STR("after_event", event_split_last_id(&stream->split)));
	return send_decode(stream);
}

/*
 * Hands the kept prefill result to another decode engine when the chosen one
 * never got the request: no connection could be made, or another server has
 * its address. An engine that refused counts as one that it was sent to.
 */
static bool decode_elsewhere(stream_t *stream)
{
	relay_request_t *request = &stream->request;
	relay_t *relay = request->relay;
	bool reached = stream->send.status != 0 && stream->send.status != 421;
	server_t *next;

	if (stream->head_sent || !stream->kv_source ||
	    (reached &&
	     request->sends >= (unsigned)request->route->max_servers))
		return false;
	next = stream_engines_pick_decode(request, stream->kv_tokens,
					  stream->decode);
	if (!next || !relay_take_retry(request))
		return false;
	if (!reached && request->sends > 0)
		request->sends--;
	stream_release_decode(stream);
	stream_use_decode(stream, next);
	if (send_decode(stream))
		return true;
	server_silent(next, clock_now(&relay->clock));
	return false;
}

static void decode_rejected(stream_t *stream)
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
	note_refusal(stream);
	if (decode_elsewhere(stream))
		return;
	if (stream->head_sent)
		stream_fail(stream, 502, "the stream could not be resumed");
	else
		stream_refuse(stream, STREAM_REJECTED_RETRY_US,
			      "the decode engine refused the request");
}

static void decode_end(void *context, call_end_t end)
{
	stream_t *stream = context;
	bool whole = end == CALL_ANSWERED && !stream->passes_error;
	outcome_t outcome = relay_send_record_outcome(
		&stream->send, end, false, stream->request.route->resumable);

	relay_send_ended(&stream->send);
	if (whole && stream->head_sent) {
		complete(stream);
		return;
	}
	/* A probe tells soon whether the engine is still there. */
	if (end != CALL_ANSWERED)
		server_silent(stream->decode,
			      clock_now(&stream->request.relay->clock));
	if (outcome.run == RUN_NOT_RUN) {
		decode_rejected(stream);
		return;
	}
	if (outcome.failed && end == CALL_ANSWERED)
		server_work_failed(stream->decode,
				   clock_now(&stream->request.relay->clock));
	if (outcome.answer == OUTCOME_PASS_ON && !stream->head_sent) {
		stream_log_end(stream, stream->send.status, RESULT_SERVER_ERROR,
			       "engine_error");
		exchange_reply(stream->request.exchange, stream->send.status,
			       &stream->send.headers,
			       str_from_gstring(stream->send.body));
		stream_finish(stream);
		return;
	}
	if (!resume(stream))
		stream_fail(stream, 502,
			    "the decode engine's stream broke off");
}

static const call_handler_t decode_handler = {
	.on_head = decode_head,
	.on_body = decode_body,
	.on_end = decode_end,
};

/* Sends the request to the decode engine that was chosen for it. */
static bool send_decode(stream_t *stream)
{
	relay_request_t *request = &stream->request;
	int64_t now_us = clock_now(&request->relay->clock);
	str_t last_event_id = event_split_last_id(&stream->split);
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
	stream->passes_error = false;
	if (!relay_send_start(&stream->send, request, stream->decode, &fields,
			      &decode_handler, stream))
		return false;
	request->sends++;
	counters_add(COUNTER_DECODES, 1);
	relay_log_send(request, stream->decode, "decode");
	return true;
}

/*
 * Hands the prefill result to the decode engine that was chosen when the stream
 * was admitted, or to another one if that takes no work any more.
 */
void stream_decode_start(stream_t *stream)
{
	relay_t *relay = stream->request.relay;

	if (!engine_is_usable(stream->decode, clock_now(&relay->clock)) ||
	    !send_decode(stream)) {
		stream->send.status = 0; /* nothing came back from it */
		decode_rejected(stream);
		return;
	}
	relay->on_occupancy_changed(relay->context);
}
