#include "request/stream_failover.h"

#include "process/log.h"
#include "request/request_keys.h"
#include "request/stream_decode.h"
#include "request/stream_engines.h"

/* Returns whether a request may be sent to an engine: it does not leave, wants no pause, and its
 * limit allows it. One that has lost a stream may count as suspect.
 */
static bool takes_requests(relay_t *relay, const server_t *server)
{
	int64_t now_us = clock_now(&relay->clock);

	return server_takes_work(server) && !server_is_paused(server, now_us) &&
	       server_limits_allow(&relay->limits, server->entry.id, now_us);
}

/* Goes on with a stream when it is known whether the engine before still works on it: at the
 * engine that has its KV cache if that takes requests, or else at the one that was chosen.
 */
static void on_run_end(void *context, run_end_verdict_t verdict,
		       const run_end_cache_t *cache)
{
	stream_t *stream = context;

	if (verdict == RUN_END_FAILED) {
		stream_fail(stream, 502,
			    "the decode engine does not end its run");
		return;
	}
	if (cache->handle) {
		stream_set_handle(stream, cache->server, cache->handle);
		stream->kv_copied = true;
	}
	if (cache->handle && !cache->copied) {
		if (takes_requests(stream->request.relay, cache->server)) {
			stream_release_decode(stream);
			stream_use_decode(stream, cache->server);
		} else {
			stream_release_handle(stream);
		}
	}
	if (!stream_decode_send(stream))
		stream_fail(stream, 502, STREAM_BROKE_OFF_REASON);
}

/* Ends the run of a stream at an engine that may still work on it; the stream goes on then. False
 * when the engine cannot be asked.
 */
static bool end_run(stream_t *stream, server_t *server)
{
	relay_request_t *request = &stream->request;

	if (!stream->run_end) {
		stream->run_end = g_new(run_end_t, 1);
		run_end_init(stream->run_end, request->relay, on_run_end,
			     stream);
	}
	stream->state = STREAM_ENDING_RUN;
	return run_end_start(stream->run_end, server, request->fields.id,
			     stream->send.status != 0, stream->decode);
}

/*
 * Resumes a broken stream after its last event at another engine, which does
 * the prefill itself unless it gets the KV cache of the engine before. `end`
 * says how the call to that engine has ended, and `run` what it shows. False
 * when the route does not allow it, no usable engine or no retry is left, the
 * deadline has passed or the request is quarantined.
 */
bool stream_failover_resume(stream_t *stream, call_end_t end, run_status_t run)
{
	relay_request_t *request = &stream->request;
	server_t *before = stream->decode;
	server_t *next;
	int64_t until_us;
	bool started;

	if (!request->route->resumable ||
	    request_is_quarantined(request, false, &until_us) ||
	    request->sends >= (unsigned)request->route->max_servers ||
	    clock_now(&request->relay->clock) >= request->deadline_us)
		return false;
	next = stream_engines_pick_decode(request, stream->kv_tokens, before);
	if (!next || !relay_take_retry(request))
		return false;
	log_event(LOG_WARN, "stream_resumed",
		  LOG_STR("request", request->fields.id),
		  LOG_CSTR("from", before->entry.id),
		  LOG_CSTR("ended", call_end_text(end)),
		  LOG_UINT("status", stream->send.status),
		  LOG_CSTR("server", next->entry.id),
		  LOG_CSTR("software", next->entry.software),
		  LOG_STR("after_event",
			  event_split_last_id(&stream->event_split)));
	stream->may_have_run = true;
	event_split_drop_partial(&stream->event_split);
	stream_count_events(stream);
	server_ref(before);
	stream_release_decode(stream);
	stream_use_decode(stream, next);
	started = run == RUN_MAY_HAVE_RUN ? end_run(stream, before)
					  : stream_decode_send(stream);
	server_unref(before);
	return started;
}

/* Sends a request that its engine has not run to another decode engine, with the same prefill
 * result. False when the route does not allow it, or no usable engine or no retry is left.
 */
static bool retry_decode(stream_t *stream)
{
	relay_request_t *request = &stream->request;
	server_t *next;

	if (request->sends >= (unsigned)request->route->max_servers)
		return false;
	next = stream_engines_pick_decode(request, stream->kv_tokens,
					  stream->decode);
	if (!next || !relay_take_retry(request))
		return false;
	stream_release_decode(stream);
	stream_use_decode(stream, next);
	if (stream_decode_send(stream))
		return true;
	server_mark_suspect(next, clock_now(&request->relay->clock));
	return false;
}

/*
 * Goes on at another engine after one that has not run the request: a stream that has begun
 * after its last event, another one with the same prefill result. An engine that refused
 * counts against the route's limit of servers. One that never got the request does not: no
 * connection could be made, or another server has its address (421).
 */
bool stream_failover_after_refusal(stream_t *stream, call_end_t end)
{
	relay_request_t *request = &stream->request;
	bool received = stream->send.status != 0 && stream->send.status != 421;

	if (!received && request->sends > 0)
		request->sends--;
	if (stream->kv_copied)
		stream_release_handle(stream);
	return !stream->head_sent && stream->kv_source
		       ? retry_decode(stream)
		       : stream_failover_resume(stream, end, RUN_NOT_RUN);
}
