#include "request/request.h"

#include "connection/listener.h"

#include "process/counters.h"
#include "process/route_metrics.h"
#include "process/log.h"
#include "request/access.h"
#include "request/execute.h"

/* Frees a request, with its timers, its call and its scheduler ticket. */
static void request_free(request_t *request)
{
	if (request->deadline_timer)
		g_source_remove(request->deadline_timer);
	execute_abort_call(request);
	g_queue_remove(&request->router->requests, request);
	counters_set(GAUGE_REQUESTS_ACTIVE,
		     g_queue_get_length(&request->router->requests));
	scheduler_leave(request->ticket);
	reply_finish(&request->reply);
	completion_finish(&request->completion);
	state_unref(request->state);
	g_free(request->kv);
	g_free(request->imported_kv);
	g_free(request->finish);
	g_array_unref(request->events);
	g_ptr_array_unref(request->engines);
	g_string_free(request->text, TRUE);
	g_free(request);
}

/* Logs the outcome of a request. */
static void log_end(const request_t *request)
{
	const verdict_t *verdict = &request->lifecycle.verdict;
	int64_t now_us = clock_now(&request->router->clock);

	log_event(LOG_INFO, "request_end", LOG_CSTR("request", request->id),
		  LOG_CSTR("trace", request->trace),
		  LOG_STR("customer", request->workspace->name),
		  LOG_STR("service", request->service->name),
		  LOG_CSTR("outcome", verdict_code_text(verdict->code)),
		  LOG_CSTR("verdict", verdict_run_text(verdict->run)),
		  LOG_CSTR("detail", verdict->detail),
		  LOG_UINT("calls", request->lifecycle.calls),
		  LOG_INT("tokens", request->sent_tokens),
		  LOG_INT("duration_us", now_us - request->accepted_at_us));
}

/* Counts the retries that the budget has denied since the last request ended,
 * and the outcome of this one.
 */
static void count_end(request_t *request)
{
	const verdict_t *verdict = &request->lifecycle.verdict;
	retry_budget_t *budget = &request->router->retry_budget;

	counters_add(COUNTER_RETRIES_DENIED, (int64_t)budget->denied);
	budget->denied = 0;
	if (verdict->code == VERDICT_OK)
		return;
	if (verdict->code == VERDICT_CALLER_GONE)
		counters_add(COUNTER_CALLER_GONE, 1);
	else if (verdict->run == RUN_NOT_RUN)
		counters_add(COUNTER_REQUESTS_REFUSED, 1);
	else
		counters_add(COUNTER_REQUESTS_FAILED, 1);
}

/* Records the time to the first token, or the gap since the previous one. */
static void observe_token(request_t *request)
{
	int64_t now_us = clock_now(&request->router->clock);

	if (!request->first_token_at_us) {
		request->first_token_at_us = now_us;
		route_metrics_observe(HISTOGRAM_FIRST_TOKEN, "",
				      now_us - request->accepted_at_us);
	} else {
		route_metrics_observe(HISTOGRAM_INTER_TOKEN, "",
				      now_us - request->last_token_at_us);
	}
	request->last_token_at_us = now_us;
	counters_add(COUNTER_TOKENS_SENT, 1);
}

/* Sends text, or the finish reason, as an event of the stream. */
static void append_chunk(request_t *request, str_t text, str_t finish)
{
	reply_stream_start(&request->reply);
	completion_append_chunk(reply_stream_buffer(&request->reply),
				&request->completion, str_from(request->id),
				text, finish);
}

/* Sends the token of the current event to the caller. An answer that is not
 * streamed is collected until the request ends.
 */
void request_forward_token(request_t *request)
{
	str_t text = request->token->text;

	request->sent_tokens++;
	observe_token(request);
	if (request->completion.stream)
		append_chunk(request, text, STR(""));
	else
		g_string_append_len(request->text, text.data, (gssize)text.len);
}

/* Sends the collected text as one JSON response. */
static void answer_unstreamed(request_t *request)
{
	GString *body = g_string_new(NULL);

	completion_append_body(body, &request->completion,
			       str_from(request->id),
			       str_from_gstring(request->text),
			       str_from(request->finish), request->sent_tokens);
	reply_send(&request->reply, 200, RUN_RAN, "application/json",
		   str_from_gstring(body));
	g_string_free(body, TRUE);
}

/* Ends the response: with an error, the end of the stream or the whole body. */
static void answer_caller(request_t *request)
{
	const verdict_t *verdict = &request->lifecycle.verdict;

	if (verdict->code == VERDICT_CALLER_GONE)
		return;
	if (verdict->code != VERDICT_OK) {
		reply_verdict(&request->reply, verdict);
	} else if (request->completion.stream) {
		append_chunk(request, STR(""), str_from(request->finish));
		reply_stream_end(&request->reply);
	} else {
		answer_unstreamed(request);
	}
}

/* Passes one event to the state machine and executes the actions that it
 * returns.
 */
static void step(request_t *request, lifecycle_event_t *event)
{
	lifecycle_action_t actions[LIFECYCLE_MAX_ACTIONS];
	size_t n = 0;

	event->now_us = clock_now(&request->router->clock);
	lifecycle_step(&request->lifecycle, event, actions, &n);
	for (size_t i = 0; i < n; i++)
		execute_action(request, &actions[i]);
}

/*
 * Feeds an event to the state machine and executes its actions. An event that
 * an action raises is fed after them, so that the state machine is never
 * entered twice at a time. The request may have been freed on return.
 */
void request_feed(request_t *request, lifecycle_event_t event)
{
	if (request->stepping) {
		g_array_append_val(request->events, event);
		return;
	}
	request->stepping = true;
	step(request, &event);
	while (request->events->len) {
		event = g_array_index(request->events, lifecycle_event_t, 0);
		g_array_remove_index(request->events, 0);
		step(request, &event);
	}
	request->stepping = false;
	if (request->lifecycle.state != LIFECYCLE_FINISHED)
		return;
	answer_caller(request);
	count_end(request);
	log_end(request);
	request_free(request);
}

/* Feeds an event that carries no data. */
static void feed_kind(request_t *request, lifecycle_event_kind_t kind)
{
	request_feed(request, (lifecycle_event_t){.kind = kind});
}

/* Reports that the caller has disconnected. */
static void on_caller_gone(void *context)
{
	feed_kind(context, EVENT_CALLER_GONE);
}

/* Reports that the request was admitted. */
static void on_admitted(void *context)
{
	feed_kind(context, EVENT_ADMITTED);
}

/* Reports that admission refused the request. */
static void on_refused(void *context, const verdict_t *verdict)
{
	request_feed(context, (lifecycle_event_t){.kind = EVENT_REFUSED,
						  .verdict = *verdict});
}

/* Reports that the deadline has passed. */
static gboolean on_deadline(gpointer data)
{
	request_t *request = data;

	request->deadline_timer = 0;
	feed_kind(request, EVENT_DEADLINE);
	return G_SOURCE_REMOVE;
}

/* Ends a request that is still in progress at the shutdown deadline. The caller
 * gets an error with a verdict.
 */
void request_abort(request_t *request)
{
	feed_kind(request, EVENT_SHUTDOWN);
}

/* Starts the deadline and queues the request for admission. */
static void submit(request_t *request)
{
	int64_t first_token_us =
		request->service->first_token_ms * CLOCK_US_PER_MS;
	scheduler_request_t scheduler_request = {
		.workspace = request->workspace,
		.service = request->service,
		.prompt_tokens = request->completion.prompt_tokens,
		.max_tokens = request->max_tokens,
		.prefix = completion_prefix_id(
			(str_t){request->completion.prompt,
				request->completion.prompt_len}),
		.start_by_us = request->accepted_at_us + first_token_us,
		.deadline_us = request->deadline_us,
		.on_admitted = on_admitted,
		.on_refused = on_refused,
		.on_reserved = execute_on_reserved,
		.context = request,
	};
	const lifecycle_config_t config = {
		.start_by_us = scheduler_request.start_by_us,
		.deadline_us = request->deadline_us,
		.budget = &request->router->retry_budget,
		.seed = request->router->id_prefix +
			request->router->id_counter,
	};
	int64_t left_us = request->deadline_us - request->accepted_at_us;

	lifecycle_init(&request->lifecycle, &config);
	request->deadline_timer = g_timeout_add(
		(guint)((left_us + CLOCK_US_PER_MS - 1) / CLOCK_US_PER_MS),
		on_deadline, request);
	memcpy(scheduler_request.id, request->id, sizeof(scheduler_request.id));
	request->ticket = scheduler_submit(&request->router->scheduler,
					   &scheduler_request);
}

/* Parses the body and finds the service, the deadline and the output limit.
 * Returns false with a verdict if the request is invalid or not allowed.
 */
static bool resolve(request_t *request, str_t body, bool chat,
		    SoupMessageHeaders *headers, verdict_t *verdict)
{
	if (!completion_parse(&request->completion, body, chat, verdict))
		return false;
	request->service = state_find_service(
		request->state, str_from(request->completion.model));
	if (!request->service || request->service->kind != SERVICE_MODEL) {
		*verdict = verdict_make(RUN_NOT_RUN, VERDICT_NOT_FOUND,
					"model: no such service");
		return false;
	}
	if (!workspace_may_call(request->workspace, request->service)) {
		*verdict =
			verdict_make(RUN_NOT_RUN, VERDICT_FORBIDDEN,
				     "service not allowed for this customer");
		return false;
	}
	request->deadline_us = access_deadline(headers, request->accepted_at_us,
					       request->service->timeout_ms,
					       verdict);
	request->max_tokens = request->service->max_output_tokens;
	if (request->completion.max_tokens)
		request->max_tokens = MIN(request->max_tokens,
					  request->completion.max_tokens);
	return request->deadline_us != 0;
}

/* Starts a completion request whose body has arrived whole. A request that is
 * invalid or not allowed is answered at once.
 */
void request_start(router_t *router, SoupServerMessage *message, bool chat)
{
	request_t *request = g_new0(request_t, 1);
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	GBytes *bytes = soup_message_body_flatten(body);
	verdict_t verdict;
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);

	request->router = router;
	request->state = state_ref(router->state);
	request->accepted_at_us = clock_now(&router->clock);
	request->text = g_string_new(NULL);
	request->events = g_array_new(FALSE, FALSE, sizeof(lifecycle_event_t));
	request->engines = g_ptr_array_new();
	request->finish_offset = -1;
	router_make_request_id(router, request->id);
	access_copy_traceparent(headers, request->trace);
	request->workspace =
		access_authenticate(request->state, headers, &verdict);
	if (!request->workspace ||
	    !resolve(request, (str_t){data, len}, chat, headers, &verdict)) {
		listener_refuse(message, &verdict, request->accepted_at_us);
		request_free(request);
		g_bytes_unref(bytes);
		return;
	}
	g_bytes_unref(bytes);
	reply_init(&request->reply, message, str_from(request->id),
		   router->clock, on_caller_gone, request);
	g_queue_push_tail(&router->requests, request);
	counters_set(GAUGE_REQUESTS_ACTIVE,
		     g_queue_get_length(&router->requests));
	submit(request);
}
