#include "request/stream_call.h"

#include "process/admission.h"
#include "process/counters.h"
#include "process/log.h"
#include "request/event_split.h"

/* Output counted on for a request that tells nothing. */
#define DEFAULT_OUTPUT_TOKENS 2048

/* Prefill speed until one was seen, microseconds a token. */
#define INITIAL_PREFILL_US_PER_TOKEN 22.0

/* Longest wait of a request that cannot be on time any more. */
#define LATE_WAIT_US (2500 * CLOCK_US_PER_MS)

/* A caller that comes back finds the surge over, not the same queue; the
 * spread keeps those that were refused together apart.
 */
#define REFUSED_RETRY_US (2500 * CLOCK_US_PER_MS)
#define REFUSED_RETRY_SPREAD_US (2000 * CLOCK_US_PER_MS)

/* Time to come back when an engine refused what had been admitted. */
#define REJECTED_RETRY_US (100 * CLOCK_US_PER_MS)

/* Engines make an event about every 50 ms. Without a byte from one for this
 * long, although it has work, it counts as silent.
 */
#define SILENCE_US (300 * CLOCK_US_PER_MS)

/* A prefill is overdue after this multiple of its estimate, and this time. */
#define PREFILL_OVERDUE_FACTOR 4
#define PREFILL_OVERDUE_US (250 * CLOCK_US_PER_MS)

/* Weight of the latest stream in the mean duration. */
#define DURATION_WEIGHT 0.05

/* Weight of the latest request in the mean sizes. */
#define SIZE_WEIGHT 0.01

#define MAX_ENGINES 512

typedef enum {
	STREAM_WAITING,
	STREAM_PREFILLING,
	STREAM_DECODING, /* sent to a decode engine, no event yet */
	STREAM_STREAMING,
} stream_state_t;

typedef struct {
	relay_request_t request;
	stream_state_t state;
	relay_send_t send; /* to the prefill or the decode engine */
	alarm_t deadline;
	occupancy_claim_t claim;
	int64_t kv_tokens; /* counted at the decode engine */
	int64_t give_up_us; /* waiting */
	int64_t prefill_due_us; /* overdue after it */
	int64_t prefill_backlog; /* tokens before and with this one */
	int64_t prefilled_us;
	int64_t decode_started_us;
	int64_t last_event_us;
	server_t *prefill; /* NULL: none is counted for this stream */
	server_t *decode;
	server_t *prefilled_by; /* made the prefill result, or NULL */
	char *kv_source; /* prefill result that has not been fetched */
	char *handle;
	event_split_t split;
	bool prefill_retried;
	bool head_sent; /* the caller has the head of the response */
	bool passes_error; /* the response is an error that is kept whole */
} stream_t;

/* Engines of one service as admission sees them. */
typedef struct {
	admission_view_t view;
	admission_decode_t decodes[MAX_ENGINES];
	admission_prefill_t prefills[MAX_ENGINES];
	server_t *decode_servers[MAX_ENGINES];
	server_t *prefill_servers[MAX_ENGINES];
} engines_t;

/* --- use of engines ---------------------------------------------------- */

static void use_prefill(stream_t *stream, server_t *server)
{
	occupancy_use_t use = {
		.prefill_tokens = stream->request.fields.prompt_tokens,
	};

	stream->prefill = server_ref(server);
	occupancy_add(stream->request.relay->occupancy, server->entry.id, &use);
}

static void release_prefill(stream_t *stream)
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

static void use_decode(stream_t *stream, server_t *server)
{
	occupancy_use_t use = {.streams = 1, .kv_tokens = stream->kv_tokens};

	stream->decode = server_ref(server);
	occupancy_add(stream->request.relay->occupancy, server->entry.id, &use);
}

static void release_decode(stream_t *stream)
{
	occupancy_use_t use = {.streams = -1, .kv_tokens = -stream->kv_tokens};

	if (!stream->decode)
		return;
	occupancy_add(stream->request.relay->occupancy,
		      stream->decode->entry.id, &use);
	server_unref(stream->decode);
	stream->decode = NULL;
}

/* --- end of a stream --------------------------------------------------- */

static void on_released(void *context, call_end_t end)
{
}

static void ignore_body(void *context, const char *data, size_t len)
{
}

static const call_handler_t release_handler = {
	.on_body = ignore_body,
	.on_end = on_released,
};

/* Frees a prefill result that no decode engine will fetch. Nothing depends on
 * the answer: the engine drops the result by itself soon after.
 */
static void drop_handle(stream_t *stream)
{
	GString *message;
	http_call_options_t options;

	if (!stream->handle || !stream->kv_source)
		return;
	counters_add(COUNTER_PREFILL_TOKENS_WASTED,
		     stream->request.fields.prompt_tokens);
	message = g_string_new(NULL);
	options = (http_call_options_t){
		.message = message,
		.handler = &release_handler,
	};
	options.address =
		g_strndup(stream->kv_source, strlen(stream->kv_source) -
						     strlen(stream->handle) -
						     1);
	handle_release_request(message, options.address, stream->handle);
	(void)http_pool_call(stream->request.relay->pool, &options);
	g_free((char *)options.address);
	g_string_free(message, TRUE);
}

static void clear_handle(stream_t *stream)
{
	g_clear_pointer(&stream->handle, g_free);
	g_clear_pointer(&stream->kv_source, g_free);
}

static void finish(stream_t *stream)
{
	relay_t *relay = stream->request.relay;

	if (stream->state == STREAM_WAITING)
		g_queue_remove(&relay->waiting, stream);
	g_queue_remove(&relay->streams, stream);
	alarm_finish(&stream->deadline);
	relay_send_finish(&stream->send);
	release_prefill(stream);
	release_decode(stream);
	if (stream->prefilled_by)
		server_unref(stream->prefilled_by);
	drop_handle(stream);
	clear_handle(stream);
	event_split_finish(&stream->split);
	relay_request_finish(&stream->request);
	g_free(stream);
	relay->on_occupancy(relay->context);
}

static int64_t spread_retry(relay_t *relay)
{
	return REFUSED_RETRY_US +
	       (int64_t)(retry_random(&relay->seed) %
			 (uint64_t)REFUSED_RETRY_SPREAD_US);
}

static void refuse(stream_t *stream, int64_t retry_after_us, const char *reason)
{
	relay_refuse(&stream->request, retry_after_us, reason);
	finish(stream);
}

/* Ends a stream that cannot be completed. */
static void cut(stream_t *stream, unsigned status, const char *reason)
{
	if (!stream->head_sent) {
		relay_fail(&stream->request, status, reason);
	} else {
		counters_add(COUNTER_REQUESTS_FAILED, 1);
		relay_log_end(&stream->request, stream->decode, status, reason);
		exchange_abort(stream->request.exchange);
	}
	finish(stream);
}

/* --- decode ------------------------------------------------------------ */

static void note_duration(stream_t *stream)
{
	relay_t *relay = stream->request.relay;
	int64_t us = clock_now(&relay->clock) - stream->decode_started_us;

	relay->stream_us += DURATION_WEIGHT * ((double)us - relay->stream_us);
}

static void complete(stream_t *stream)
{
	str_t rest = event_split_rest(&stream->split);

	exchange_write(stream->request.exchange, rest.data, rest.len);
	note_duration(stream);
	relay_log_end(&stream->request, stream->decode, 200, "complete");
	exchange_end_stream(stream->request.exchange);
	finish(stream);
}

/* The decode engine has fetched the prefill result. */
static void handed_over(stream_t *stream)
{
	clear_handle(stream);
	server_accepted(stream->send.server);
	if (stream->prefilled_by)
		server_accepted(stream->prefilled_by);
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
	server_refused(stream->decode, now_us);
	if (stream->prefilled_by)
		server_refused(stream->prefilled_by, now_us);
}

static void decode_head(void *context, const http_head_t *head)
{
	stream_t *stream = context;

	relay_send_take_head(&stream->send, head);
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

	if (stream->state == STREAM_DECODING) {
		stream->state = STREAM_STREAMING;
		counters_observe(HISTOGRAM_FIRST_TOKEN_MS,
				 (double)(now_us - request->arrived_us) /
					 (double)CLOCK_US_PER_MS);
	} else {
		counters_observe(HISTOGRAM_INTER_TOKEN_MS,
				 (double)(now_us - stream->last_event_us) /
					 (double)CLOCK_US_PER_MS);
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
	event_split_taken(&stream->split);
}

static bool send_decode(stream_t *stream);
static server_t *pick_decode(const stream_t *stream);
static bool is_usable(const server_t *server, int64_t now_us);
static void view_engines(engines_t *engines, const relay_request_t *request,
			 int64_t now_us);
static void send_prefill(stream_t *stream, server_t *prefill, int64_t backlog,
			 int64_t estimate_us);

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
	next = pick_decode(stream);
	if (!next || !relay_take_retry(request))
		return false;
	event_split_drop_rest(&stream->split);
	release_decode(stream);
	use_decode(stream, next);
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
	    (reached && request->sends >= (unsigned)request->route->max_servers))
		return false;
	next = pick_decode(stream);
	if (!next || !relay_take_retry(request))
		return false;
	if (!reached && request->sends > 0)
		request->sends--;
	release_decode(stream);
	use_decode(stream, next);
	if (send_decode(stream))
		return true;
	server_silent(next, clock_now(&relay->clock));
	return false;
}

static void decode_rejected(stream_t *stream)
{
	occupancy_use_t use =
		occupancy_total(stream->request.relay->occupancy,
				stream->decode->entry.id,
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
		cut(stream, 502, "the stream could not be resumed");
	else
		refuse(stream, REJECTED_RETRY_US,
		       "the decode engine refused the request");
}

static void decode_end(void *context, call_end_t end)
{
	stream_t *stream = context;
	bool whole = end == CALL_ANSWERED && !stream->passes_error;
	outcome_t outcome =
		relay_send_judge(&stream->send, end, false,
				 stream->request.route->resumable);

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
		server_refused(stream->decode,
			       clock_now(&stream->request.relay->clock));
	if (outcome.answer == OUTCOME_PASS_ON && !stream->head_sent) {
		relay_log_end(&stream->request, stream->decode,
			      stream->send.status, "engine_error");
		exchange_reply(stream->request.exchange, stream->send.status,
			       &stream->send.headers,
			       str_from_gstring(stream->send.body));
		finish(stream);
		return;
	}
	if (!resume(stream))
		cut(stream, 502, "the decode engine's stream broke off");
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
	str_t last_event = event_split_last_id(&stream->split);
	forward_fields_t fields = {
		.server_id = str_from(stream->decode->entry.id),
		.time_left_us = request->deadline_us - now_us,
		.kv_source = stream->kv_source,
		.last_event = last_event.len ? last_event
					     : request->fields.last_event,
	};

	if (!request->route->resumable)
		fields.last_event = (str_t){NULL, 0};
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

/* --- prefill ----------------------------------------------------------- */

static void prefill_head(void *context, const http_head_t *head)
{
	stream_t *stream = context;

	relay_send_take_head(&stream->send, head);
}

static void prefill_body(void *context, const char *data, size_t len)
{
	stream_t *stream = context;

	g_string_append_len(stream->send.body, data, (gssize)len);
}

static void prefilled(stream_t *stream)
{
	relay_t *relay = stream->request.relay;

	server_prefilled(stream->prefill,
			 clock_now(&relay->clock) - stream->send.sent_us,
			 stream->prefill_backlog);
	stream->prefilled_by = server_ref(stream->prefill);
	stream->prefilled_us = clock_now(&relay->clock);
	stream->kv_source = kv_source_format(stream->prefill->entry.address,
					     stream->handle);
	release_prefill(stream);
	if (!is_usable(stream->decode, clock_now(&relay->clock)) ||
	    !send_decode(stream)) {
		stream->send.status = 0; /* nothing came back from it */
		decode_rejected(stream);
		return;
	}
	relay->on_occupancy(relay->context);
}

/* Has the prompt read by another engine: reading it is no run and may be
 * repeated. False when there is none, or it would take too long.
 */
static bool prefill_elsewhere(stream_t *stream)
{
	static engines_t engines;
	relay_request_t *request = &stream->request;
	int64_t now_us = clock_now(&request->relay->clock);
	admission_prefill_choice_t choice;

	if (stream->prefill_retried)
		return false;
	view_engines(&engines, request, now_us);
	for (size_t i = 0; i < engines.view.n_prefills; i++) {
		if (engines.prefill_servers[i] == stream->prefill)
			engines.prefills[i].usable = false;
	}
	if (!admission_pick_prefill(&engines.view,
				    request->fields.prompt_tokens, &choice) ||
	    now_us + choice.duration_us >= request->deadline_us ||
	    !is_usable(stream->decode, now_us) || !relay_take_retry(request))
		return false;
	stream->prefill_retried = true;
	release_prefill(stream);
	send_prefill(stream, engines.prefill_servers[choice.index],
		     engines.prefills[choice.index].backlog_tokens,
		     choice.duration_us);
	return true;
}

static void prefill_failed(stream_t *stream, const char *reason)
{
	log_event(LOG_WARN, "prefill_failed",
		  LOG_STR("request", stream->request.fields.id),
		  LOG_CSTR("server", stream->prefill->entry.id),
		  LOG_UINT("status", stream->send.status),
		  LOG_CSTR("reason", reason));
	if (prefill_elsewhere(stream))
		return;
	/* A prompt that was only read has not run. */
	refuse(stream, REJECTED_RETRY_US, "the prompt could not be read");
}

static void prefill_end(void *context, call_end_t end)
{
	stream_t *stream = context;

	(void)relay_send_judge(&stream->send, end, false, true);
	if (end == CALL_ANSWERED && stream->send.status == 200 &&
	    prefill_result_read(str_from_gstring(stream->send.body),
				&stream->handle)) {
		relay_send_ended(&stream->send);
		prefilled(stream);
		return;
	}
	relay_send_ended(&stream->send);
	if (end != CALL_ANSWERED)
		server_silent(stream->prefill,
			      clock_now(&stream->request.relay->clock));
	else
		server_refused(stream->prefill,
			       clock_now(&stream->request.relay->clock));
	prefill_failed(stream, end == CALL_ANSWERED ? "refused" : "lost");
}

static const call_handler_t prefill_handler = {
	.on_head = prefill_head,
	.on_body = prefill_body,
	.on_end = prefill_end,
};

static void send_prefill(stream_t *stream, server_t *prefill, int64_t backlog,
			 int64_t estimate_us)
{
	relay_request_t *request = &stream->request;
	relay_t *relay = request->relay;
	int64_t now_us = clock_now(&relay->clock);
	forward_fields_t fields = {
		.server_id = str_from(prefill->entry.id),
		.time_left_us = request->deadline_us - now_us,
		.prefill_only = true,
	};

	stream->prefill_backlog = backlog + request->fields.prompt_tokens;
	stream->prefill_due_us = now_us + PREFILL_OVERDUE_US +
				 PREFILL_OVERDUE_FACTOR * estimate_us;
	use_prefill(stream, prefill);
	counters_add(COUNTER_PREFILLS, 1);
	counters_add(COUNTER_PREFILL_TOKENS, request->fields.prompt_tokens);
	relay_log_send(request, prefill, "prefill");
	if (!relay_send_start(&stream->send, request, prefill, &fields,
			      &prefill_handler, stream)) {
		server_silent(prefill, now_us);
		prefill_failed(stream, "no connection");
		return;
	}
	relay->on_occupancy(relay->context);
}

/* Takes the places that admission found for a stream. */
static void start_prefill(stream_t *stream, server_t *prefill, server_t *decode,
			  int64_t backlog, int64_t estimate_us)
{
	relay_t *relay = stream->request.relay;

	g_queue_remove(&relay->waiting, stream);
	stream->state = STREAM_PREFILLING;
	use_decode(stream, decode);
	counters_observe(HISTOGRAM_QUEUE_MS,
			 (double)(clock_now(&relay->clock) -
				  stream->request.arrived_us) /
				 (double)CLOCK_US_PER_MS);
	send_prefill(stream, prefill, backlog, estimate_us);
}

/* --- admission --------------------------------------------------------- */

static bool is_usable(const server_t *server, int64_t now_us)
{
	return server_takes_work(server) && !server_is_suspect(server) &&
	       server->changing_until_us <= now_us &&
	       server->avoided_until_us <= now_us;
}

static void add_decode(engines_t *engines, const relay_request_t *request,
		       server_t *server, const occupancy_use_t *use,
		       int64_t now_us)
{
	size_t i = engines->view.n_decodes++;

	engines->decode_servers[i] = server;
	engines->decodes[i] = (admission_decode_t){
		.slots = request->service->engine.slots,
		.kv_tokens = request->service->engine.kv_tokens,
		.use = *use,
		.usable = is_usable(server, now_us),
		.near = g_str_equal(server->entry.zone, request->relay->zone),
	};
}

static void add_prefill(engines_t *engines, const relay_request_t *request,
			server_t *server, const occupancy_use_t *use,
			int64_t now_us)
{
	size_t i = engines->view.n_prefills++;

	engines->prefill_servers[i] = server;
	engines->prefills[i] = (admission_prefill_t){
		.backlog_tokens = use->prefill_tokens,
		.us_per_token = server->prefill_us_per_token > 0
					? server->prefill_us_per_token
					: INITIAL_PREFILL_US_PER_TOKEN,
		.usable = is_usable(server, now_us),
		.near = g_str_equal(server->entry.zone, request->relay->zone),
	};
}

static void view_engines(engines_t *engines, const relay_request_t *request,
			 int64_t now_us)
{
	relay_t *relay = request->relay;
	GHashTableIter iter;
	gpointer value;

	engines->view = (admission_view_t){
		.decodes = engines->decodes,
		.prefills = engines->prefills,
		.stream_us = relay->stream_us,
	};
	g_hash_table_iter_init(&iter, relay->servers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		server_t *server = value;
		occupancy_use_t use;

		if (!g_str_equal(server->entry.service, request->service->name))
			continue;
		use = occupancy_total(relay->occupancy, server->entry.id,
				      now_us);
		if (server->entry.stage == STAGE_PREFILL &&
		    engines->view.n_prefills < MAX_ENGINES)
			add_prefill(engines, request, server, &use, now_us);
		else if (server->entry.stage == STAGE_DECODE &&
			 engines->view.n_decodes < MAX_ENGINES)
			add_decode(engines, request, server, &use, now_us);
	}
}

/* Chooses another decode engine than the one that a stream had. */
static server_t *pick_decode(const stream_t *stream)
{
	static engines_t engines;
	relay_t *relay = stream->request.relay;
	size_t index;

	view_engines(&engines, &stream->request, clock_now(&relay->clock));
	for (size_t i = 0; i < engines.view.n_decodes; i++) {
		if (engines.decode_servers[i] == stream->decode)
			engines.decodes[i].usable = false;
	}
	if (!admission_pick_decode(&engines.view, stream->kv_tokens, &index))
		return NULL;
	return engines.decode_servers[index];
}

static void log_refusal(const stream_t *stream, const engines_t *engines,
			const admission_decision_t *decision,
			const admission_request_t *wanted)
{
	int64_t taken = 0, places = 0;

	for (size_t i = 0; i < engines->view.n_decodes; i++) {
		taken += engines->decodes[i].use.streams;
		places += engines->decodes[i].usable ? engines->decodes[i].slots
						     : 0;
	}
	log_event(LOG_INFO, "stream_not_admitted",
		  LOG_STR("request", stream->request.fields.id),
		  LOG_CSTR("reason", admission_reason_text(decision->reason)),
		  LOG_UINT("ahead", wanted->ahead), LOG_INT("taken", taken),
		  LOG_INT("places", places),
		  LOG_INT("wait_ms", decision->wait_us / CLOCK_US_PER_MS),
		  LOG_INT("prefill_ms", decision->prefill.duration_us / CLOCK_US_PER_MS),
		  LOG_INT("late", stream->claim.late));
}

/* A request that can no longer have its first event in time is late. */
static void update_claim(stream_t *stream, const admission_view_t *view,
			 int64_t now_us)
{
	int64_t first_us = admission_first_event_us(
		view, stream->request.fields.prompt_tokens);

	if (now_us + first_us > stream->claim.due_us)
		stream->claim.late = true;
}

/* Decides on one waiting stream; true when it has left the queue. */
static bool admit(stream_t *stream, unsigned own_ahead)
{
	static engines_t engines;
	relay_t *relay = stream->request.relay;
	int64_t now_us = clock_now(&relay->clock);
	admission_request_t wanted = {
		.prompt_tokens = stream->request.fields.prompt_tokens,
		.kv_tokens = stream->kv_tokens,
		.give_up_us = stream->give_up_us,
	};
	admission_decision_t decision;

	view_engines(&engines, &stream->request, now_us);
	update_claim(stream, &engines.view, now_us);
	wanted.claim = stream->claim;
	wanted.ahead = own_ahead + occupancy_ahead(relay->occupancy,
						   &stream->claim, now_us);
	decision = admission_decide(&engines.view, &wanted, now_us);
	if (decision.action == ADMISSION_WAIT)
		return false;
	if (decision.action == ADMISSION_REFUSE) {
		log_refusal(stream, &engines, &decision, &wanted);
		refuse(stream, spread_retry(relay),
		       admission_reason_text(decision.reason));
		return true;
	}
	start_prefill(stream, engines.prefill_servers[decision.prefill.index],
		      engines.decode_servers[decision.decode],
		      engines.prefills[decision.prefill.index].backlog_tokens,
		      decision.prefill.duration_us);
	return true;
}

static gint by_claim(gconstpointer a, gconstpointer b, gpointer context)
{
	const stream_t *left = a;
	const stream_t *right = b;

	if (occupancy_claim_precedes(&left->claim, &right->claim))
		return -1;
	return occupancy_claim_precedes(&right->claim, &left->claim) ? 1 : 0;
}

static void publish_waiters(relay_t *relay)
{
	GArray *waiters = relay->occupancy->waiters;

	g_array_set_size(waiters, 0);
	for (GList *link = relay->waiting.head; link; link = link->next)
		g_array_append_val(waiters, ((stream_t *)link->data)->claim);
	counters_set(GAUGE_QUEUE_LENGTH, g_queue_get_length(&relay->waiting));
}

/* Decides on all waiting streams, first claims first. Called when a place may
 * have become free and at short intervals while any wait.
 */
void stream_calls_admit(relay_t *relay)
{
	GList *link;
	unsigned before = relay->occupancy->waiters->len;
	unsigned ahead = 0;

	g_queue_sort(&relay->waiting, by_claim, NULL);
	link = relay->waiting.head;
	while (link) {
		stream_t *stream = link->data;

		link = link->next;
		if (!admit(stream, ahead))
			ahead++;
	}
	publish_waiters(relay);
	if (relay->occupancy->waiters->len != before)
		relay->on_occupancy(relay->context);
}

static void on_gone(void *context)
{
	stream_t *stream = context;

	counters_add(COUNTER_CALLER_GONE, 1);
	relay_log_end(&stream->request, stream->decode, 0, "caller_gone");
	finish(stream);
}

static void on_deadline(void *context)
{
	stream_t *stream = context;

	if (stream->state == STREAM_WAITING ||
	    stream->state == STREAM_PREFILLING)
		refuse(stream, 0, "the time for the request is over");
	else
		cut(stream, 504, "the time for the request is over");
}

static int64_t expected_output(const relay_request_t *request)
{
	const request_fields_t *fields = &request->fields;

	if (fields->output_estimate_tokens > 0 && fields->max_output_tokens > 0)
		return MIN(fields->output_estimate_tokens,
			   fields->max_output_tokens);
	if (fields->output_estimate_tokens > 0)
		return fields->output_estimate_tokens;
	return DEFAULT_OUTPUT_TOKENS;
}

static void note_size(relay_t *relay, const relay_request_t *request,
		      int64_t output_tokens)
{
	double prompt = (double)request->fields.prompt_tokens;

	relay->prompt_tokens += SIZE_WEIGHT * (prompt - relay->prompt_tokens);
	relay->output_tokens +=
		SIZE_WEIGHT * ((double)output_tokens - relay->output_tokens);
}

/* What one request costs the engines of a service, on average. */
stage_balance_t stream_calls_work(const relay_t *relay,
				  const table_service_t *service)
{
	const table_engine_t *engine = &service->engine;
	double kv_tokens = (double)admission_kv_need(
		(int64_t)relay->prompt_tokens, (int64_t)relay->output_tokens);
	double part = MAX(1.0 / (double)MAX(engine->slots, 1),
			  kv_tokens / (double)MAX(engine->kv_tokens, 1));

	return (stage_balance_t){
		.prefill_us =
			relay->prompt_tokens * INITIAL_PREFILL_US_PER_TOKEN,
		.decode_us = relay->stream_us * part,
	};
}

/* Takes in a stream. False when its route leads to no service. */
bool stream_call_start(relay_t *relay, exchange_t *exchange,
		       route_table_t *table, const table_route_t *route)
{
	stream_t *stream = g_new0(stream_t, 1);
	relay_request_t *request = &stream->request;

	if (!relay_request_init(request, relay, exchange, table, route)) {
		g_free(stream);
		return false;
	}
	request->on_gone = on_gone;
	request->owner = stream;
	relay_send_init(&stream->send, relay);
	event_split_init(&stream->split);
	alarm_init(&stream->deadline, relay->clock, on_deadline, stream);
	alarm_set(&stream->deadline, request->deadline_us);
	note_size(relay, request, expected_output(request));
	stream->kv_tokens = admission_kv_need(request->fields.prompt_tokens,
					      expected_output(request));
	stream->claim.due_us = request->target_us;
	stream->give_up_us = request->arrived_us + LATE_WAIT_US;
	g_queue_push_tail(&relay->streams, stream);
	g_queue_push_tail(&relay->waiting, stream);
	stream_calls_admit(relay);
	return true;
}

/* --- silence ----------------------------------------------------------- */

static void suspect(server_t *server, int64_t since_us, int64_t now_us)
{
	if (server_is_suspect(server))
		return;
	log_event(LOG_WARN, "server_silent",
		  LOG_CSTR("server", server->entry.id),
		  LOG_INT("silent_ms", (now_us - since_us) / CLOCK_US_PER_MS));
	server_silent(server, now_us);
}

/* A prompt that is overdue at an engine which has answered nothing since then
 * is read by another one.
 */
static void check_prefill(stream_t *stream, int64_t now_us)
{
	server_t *server = stream->send.server;

	if (now_us < stream->prefill_due_us ||
	    server->last_heard_us > stream->send.sent_us)
		return;
	suspect(server, stream->send.sent_us, now_us);
	relay_send_cancel(&stream->send);
	prefill_failed(stream, "silent");
}

static void check_decode(const stream_t *stream, int64_t now_us)
{
	server_t *server = stream->send.server;
	int64_t since_us = MAX(server->last_heard_us, stream->send.sent_us);

	if (now_us - since_us >= SILENCE_US)
		suspect(server, since_us, now_us);
}

/* Looks for engines that have fallen silent with work of this router. */
void stream_calls_check(relay_t *relay)
{
	int64_t now_us = clock_now(&relay->clock);
	GList *link = relay->streams.head;

	while (link) {
		stream_t *stream = link->data;

		link = link->next;
		if (!stream->send.server)
			continue;
		if (stream->state == STREAM_PREFILLING)
			check_prefill(stream, now_us);
		else
			check_decode(stream, now_us);
	}
}
