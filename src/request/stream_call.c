#include "request/stream_call.h"

#include "process/counters.h"
#include "process/log.h"
#include "request/stream_engines.h"
#include "request/stream_prefill.h"

/* Output counted on for a request that tells nothing. */
#define DEFAULT_OUTPUT_TOKENS 2048

/* Longest wait of a request that cannot be on time any more. Callers leave a
 * stream that shows nothing for four times its target, 3.6 s.
 */
#define LATE_WAIT_US (3000 * CLOCK_US_PER_MS)

/* A caller that comes back finds the surge over, not the same queue; the
 * spread keeps those that were refused together apart.
 */
#define REFUSED_RETRY_US (2500 * CLOCK_US_PER_MS)
#define REFUSED_RETRY_SPREAD_US (2000 * CLOCK_US_PER_MS)

/* Engines make an event about every 50 ms. Without a byte from one for this
 * long, although it has work, it counts as silent.
 */
#define SILENCE_US (300 * CLOCK_US_PER_MS)

/* Weight of the latest request in the mean sizes. */
#define SIZE_WEIGHT 0.01

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
		  LOG_INT("prefill_ms",
			  decision->prefill.duration_us / CLOCK_US_PER_MS),
		  LOG_INT("late", stream->urgency.late));
}

/* A request that can no longer have its first event in time is late. */
static void update_claim(stream_t *stream, const admission_view_t *view,
			 int64_t now_us)
{
	int64_t first_us = admission_first_event_us(
		view, stream->request.fields.prompt_tokens);

	if (now_us + first_us > stream->urgency.due_us)
		stream->urgency.late = true;
}

static int64_t spread_retry(relay_t *relay)
{
	return REFUSED_RETRY_US + (int64_t)(retry_random(&relay->seed) %
					    (uint64_t)REFUSED_RETRY_SPREAD_US);
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
	stream_assignment_t places;

	stream_engines_collect(&engines, &stream->request, now_us);
	update_claim(stream, &engines.view, now_us);
	wanted.urgency = stream->urgency;
	wanted.ahead = own_ahead + occupancy_count_ahead(relay->occupancy,
							 &stream->urgency,
							 now_us);
	decision = admission_decide(&engines.view, &wanted, now_us);
	if (decision.action == ADMISSION_WAIT)
		return false;
	if (decision.action == ADMISSION_REFUSE) {
		log_refusal(stream, &engines, &decision, &wanted);
		stream_refuse(stream, spread_retry(relay),
			      admission_reason_text(decision.reason));
		return true;
	}
	places = (stream_assignment_t){
		.prefill = engines.prefill_servers[decision.prefill.index],
		.decode = engines.decode_servers[decision.decode],
		.backlog_tokens =
			engines.prefills[decision.prefill.index].backlog_tokens,
		.estimate_us = decision.prefill.duration_us,
	};
	stream_prefill_start(stream, &places);
	return true;
}

static gint by_claim(gconstpointer a, gconstpointer b, gpointer context)
{
	const stream_t *left = a;
	const stream_t *right = b;

	if (occupancy_is_more_urgent(&left->urgency, &right->urgency))
		return -1;
	return occupancy_is_more_urgent(&right->urgency, &left->urgency) ? 1
									 : 0;
}

static void publish_waiters(relay_t *relay)
{
	GArray *waiters = relay->occupancy->waiters;

	g_array_set_size(waiters, 0);
	for (GList *link = relay->waiting.head; link; link = link->next)
		g_array_append_val(waiters, ((stream_t *)link->data)->urgency);
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
		relay->on_occupancy_changed(relay->context);
}

static void on_gone(void *context)
{
	stream_t *stream = context;

	counters_add(COUNTER_CALLER_GONE, 1);
	stream_log_end(stream, 0, RESULT_CALLER_GONE, "caller_gone");
	stream_finish(stream);
}

static void on_deadline(void *context)
{
	stream_t *stream = context;

	if (stream->state == STREAM_WAITING ||
	    stream->state == STREAM_PREFILLING)
		stream_refuse(stream, 0, "the time for the request is over");
	else
		stream_fail(stream, 504, "the time for the request is over");
}

static int64_t expected_output(const relay_request_t *request)
{
	const request_fields_t *fields = &request->fields;
	int64_t most = fields->max_output_tokens > 0 ? fields->max_output_tokens
						     : INT64_MAX;
	output_model_t *model;

	if (fields->output_estimate_tokens <= 0)
		return DEFAULT_OUTPUT_TOKENS;
	model = relay_output_model(request);
	output_model_note_estimate(model, fields->output_estimate_tokens);
	return MIN(output_model_expect(model, fields->output_estimate_tokens),
		   most);
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
stage_balance_t stream_calls_mean_cost(const relay_t *relay,
				       const table_service_t *service)
{
	const table_engine_t *engine = &service->engine;
	double stream_tokens = (double)admission_expected_kv_tokens(
		(int64_t)relay->prompt_tokens, (int64_t)relay->output_tokens);

	return (stage_balance_t){
		.prefill_us =
			relay->prompt_tokens * INITIAL_PREFILL_US_PER_TOKEN,
		.decode_us = relay->stream_us *
			     admission_stream_share(engine->slots,
						    engine->kv_tokens,
						    stream_tokens),
	};
}

/* Takes in a stream. False when its route leads to no service. */
bool stream_call_start(relay_t *relay, exchange_t *exchange,
		       route_table_t *table, const table_route_t *route)
{
	stream_t *stream = g_new0(stream_t, 1);
	relay_request_t *request = &stream->request;
	int64_t output_tokens;

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
	output_tokens = expected_output(request);
	note_size(relay, request, output_tokens);
	stream->kv_tokens = admission_expected_kv_tokens(
		request->fields.prompt_tokens, output_tokens);
	stream->urgency.due_us = request->target_us;
	/* One that comes back after a refusal has its target behind it. */
	if (request->target_us > request->arrived_us)
		arrival_rate_add(&relay->occupancy->arrivals,
				 request->arrived_us);
	stream->give_up_us = request->arrived_us + LATE_WAIT_US;
	g_queue_push_tail(&relay->streams, stream);
	g_queue_push_tail(&relay->waiting, stream);
	stream_calls_admit(relay);
	return true;
}

static void check_decode(const stream_t *stream, int64_t now_us)
{
	server_t *server = stream->send.server;
	int64_t since_us = MAX(server->last_heard_us, stream->send.sent_us);

	if (now_us - since_us >= SILENCE_US)
		stream_mark_engine_silent(server, since_us, now_us);
}

/* Looks for engines that have fallen silent with work of this router. */
void stream_calls_check_silence(relay_t *relay)
{
	int64_t now_us = clock_now(&relay->clock);
	GList *link = relay->streams.head;

	while (link) {
		stream_t *stream = link->data;

		link = link->next;
		if (!stream->send.server)
			continue;
		if (stream->state == STREAM_PREFILLING)
			stream_prefill_check(stream, now_us);
		else
			check_decode(stream, now_us);
	}
}
