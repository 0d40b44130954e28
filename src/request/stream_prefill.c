#include "request/stream_prefill.h"

#include "process/counters.h"
#include "process/log.h"
#include "process/route_metrics.h"
#include "request/stream_decode.h"
#include "request/request_keys.h"
#include "request/stream_engines.h"

/* A prefill is overdue after this many times its expected duration plus the
 * margin.
 */
#define OVERDUE_FACTOR 4
#define OVERDUE_MARGIN_US (250 * CLOCK_US_PER_MS)

/* Keeps the head of a prefill response. */
static void prefill_head(void *context, const http_head_t *head)
{
	stream_t *stream = context;

	relay_send_read_head(&stream->send, head);
}

/* Keeps the body of a prefill response, which holds the handle of the KV cache.
 */
static void prefill_body(void *context, const char *data, size_t len)
{
	stream_t *stream = context;

	relay_send_keep(&stream->send, data, len);
}

/* Records a prefill that has succeeded and starts the decode stage with its KV cache. */
static void start_decode_stage(stream_t *stream, const char *handle)
{
	relay_t *relay = stream->request.relay;

	stream->prefilled_us = clock_now(&relay->clock);
	server_record_prefill(stream->prefill, stream->send.sent_us,
			      stream->prefilled_us, stream->prefill_expected_us,
			      stream->prefill_slowness);
	workload_observe_prefill(relay_own_workload(&stream->request),
				 stream->prefilled_us,
				 stream->request.fields.prompt_tokens,
				 stream->prefill_backlog_tokens,
				 stream->prefilled_us - stream->send.sent_us);
	route_metrics_observe(HISTOGRAM_PREFILL, stream->request.route->name,
			      stream->prefilled_us - stream->started_us);
	stream_set_handle(stream, stream->prefill, handle);
	stream_release_prefill(stream);
	stream_decode_start(stream);
}

static void send_prefill(stream_t *stream, server_t *prefill,
			 int64_t backlog_tokens, int64_t duration_us);

/* Sends the prompt to another prefill engine, at most once per stream. This is
 * safe on every route, because a prefill does not count as running the request.
 * False when no engine can finish it before the deadline, the chosen decode
 * engine is not usable any more, or no retry is left.
 */
static bool retry_prefill(stream_t *stream)
{
	static stream_engines_t engines;
	relay_request_t *request = &stream->request;
	int64_t now_us = clock_now(&request->relay->clock);
	admission_prefill_choice_t choice;

	if (stream->prefill_retried)
		return false;
	stream_engines_collect(&engines, request, now_us);
	for (size_t i = 0; i < engines.view.n_prefills; i++) {
		if (engines.prefill_servers[i] == stream->prefill)
			engines.prefills[i].usable = false;
	}
	if (!admission_pick_prefill(&engines.view,
				    request->fields.prompt_tokens, &choice) ||
	    now_us + choice.duration_us >= request->deadline_us ||
	    !engine_is_usable(stream->decode, now_us) ||
	    !relay_take_retry(request))
		return false;
	stream->prefill_retried = true;
	stream_release_prefill(stream);
	send_prefill(stream, engines.prefill_servers[choice.index],
		     engines.prefills[choice.index].backlog_tokens,
		     choice.duration_us);
	return true;
}

/* Logs a failed prefill, and retries it or refuses the request. */
static void retry_or_refuse(stream_t *stream, const char *reason)
{
	log_event(LOG_WARN, "prefill_failed",
		  LOG_STR("request", stream->request.fields.id),
		  LOG_CSTR("server", stream->prefill->entry.id),
		  LOG_UINT("status", stream->send.status),
		  LOG_CSTR("reason", reason));
	if (stream_end_if_quarantined(stream) || retry_prefill(stream) ||
	    stream_pass_on_to_peer(stream))
		return;
	/* Without a decode, the request has not run. */
	stream_refuse(stream, STREAM_REFUSED_RETRY_US,
		      "the prompt could not be read");
}

/* Starts the decode stage when the response holds the handle of a KV cache.
 * Otherwise marks the engine as suspect (no answer) or to be avoided (an
 * error), and retries the prefill.
 */
static void prefill_end(void *context, call_end_t end)
{
	stream_t *stream = context;
	char *handle;

	/* For what is known of the server: no timeout, and repeatable, as a
	 * prefill does not count as running the request.
	 */
	(void)relay_send_record_outcome(&stream->send, end, false, true);
	if (end == CALL_ANSWERED && stream->send.status == 200 &&
	    kv_handle_read(kept_buffer_bytes(&stream->send.body), &handle)) {
		relay_send_release(&stream->send);
		start_decode_stage(stream, handle);
		g_free(handle);
		return;
	}
	relay_send_release(&stream->send);
	if (end == CALL_LOST) {
		stream_log_lost(stream, stream->prefill);
		request_record_loss(&stream->request, stream->prefill);
	}
	if (end != CALL_ANSWERED)
		server_mark_suspect(stream->prefill,
				    clock_now(&stream->request.relay->clock));
	else
		server_work_failed(stream->prefill, stream->send.sent_us,
				   clock_now(&stream->request.relay->clock));
	retry_or_refuse(stream, end == CALL_ANSWERED ? "refused" : "lost");
}

static const call_handler_t prefill_handler = {
	.on_head = prefill_head,
	.on_body = prefill_body,
	.on_end = prefill_end,
};

/* Returns whether anything is known of the speed of the service's engines. */
static bool is_speed_known(const stream_t *stream)
{
	const workload_t *workload = relay_workload(&stream->request);

	return workload_prefill(workload).us_per_token > 0;
}

/* Returns when an answer to a prompt that is sent now is overdue. While nothing
 * is known of the speed of any engine, that is when the first event is due.
 */
static int64_t overdue_at_us(const stream_t *stream, int64_t duration_us,
			     int64_t now_us)
{
	int64_t at_us =
		now_us + OVERDUE_MARGIN_US + OVERDUE_FACTOR * duration_us;

	if (is_speed_known(stream))
		return at_us;
	return MAX(at_us, stream->request.answer_due_us);
}

/* Sends the prompt to a prefill engine and adds it to the engine's occupancy.
 * Retries elsewhere, or refuses the request, when no connection can be made.
 */
static void send_prefill(stream_t *stream, server_t *prefill,
			 int64_t backlog_tokens, int64_t duration_us)
{
	relay_request_t *request = &stream->request;
	relay_t *relay = request->relay;
	int64_t now_us = clock_now(&relay->clock);
	forward_fields_t fields = {
		.server_id = str_from(prefill->entry.id),
		.time_left_us = request->deadline_us - now_us,
		.prefill_only = true,
	};

	stream->prefill_backlog_tokens = backlog_tokens;
	stream->prefill_expected_us = is_speed_known(stream) ? duration_us : 0;
	stream->prefill_slowness = server_prefill_slowness(prefill, now_us);
	stream->prefill_due_us = overdue_at_us(stream, duration_us, now_us);
	stream_use_prefill(stream, prefill);
	counters_add(COUNTER_PREFILLS, 1);
	counters_add(COUNTER_PREFILL_TOKENS, request->fields.prompt_tokens);
	relay_log_send(request, prefill, "prefill");
	stream->send.waits_for_deadline = false;
	if (!relay_send_start(&stream->send, request, prefill, &fields,
			      &prefill_handler, stream)) {
		server_mark_suspect(prefill, now_us);
		retry_or_refuse(stream, "no connection");
		return;
	}
	relay->on_occupancy_changed(relay->context);
}

/* Starts an admitted stream: takes it off the queue, adds it to the occupancy
 * of the decode engine that it will use, and sends its prompt to the prefill
 * engine.
 */
void stream_prefill_start(stream_t *stream,
			  const stream_assignment_t *assignment)
{
	relay_t *relay = stream->request.relay;

	g_queue_remove(&relay->waiting, stream);
	stream->state = STREAM_PREFILLING;
	stream->started_us = clock_now(&relay->clock);
	stream_use_decode(stream, assignment->decode);
	route_metrics_observe(HISTOGRAM_QUEUE, stream->request.route->name,
			      stream->started_us - stream->request.arrived_us);
	send_prefill(stream, assignment->prefill, assignment->backlog_tokens,
		     assignment->duration_us);
}

/* Makes an engine suspect that has sent nothing since `since_us` although it
 * has work. Does nothing when it is suspect already.
 */
void stream_mark_engine_silent(server_t *server, int64_t since_us,
			       int64_t now_us)
{
	if (server_is_suspect(server))
		return;
	log_event(LOG_WARN, "server_silent",
		  LOG_CSTR("server", server->entry.id),
		  LOG_INT("silent_ms", (now_us - since_us) / CLOCK_US_PER_MS));
	server_mark_suspect(server, now_us);
}

/* Cancels a prefill whose answer is overdue and retries it at another engine.
 * The engine becomes suspect if nothing has come from it since the send.
 */
void stream_prefill_check_overdue(stream_t *stream, int64_t now_us)
{
	server_t *server = stream->send.server;
	prefill_answer_t answer = server_prefill_answer(
		server, stream->send.sent_us, stream->prefill_due_us, now_us);

	if (answer == PREFILL_PENDING)
		return;
	if (answer == PREFILL_SILENT)
		stream_mark_engine_silent(server, stream->send.sent_us, now_us);
	relay_send_cancel(&stream->send);
	retry_or_refuse(stream,
			answer == PREFILL_SILENT ? "silent" : "answer lost");
}
