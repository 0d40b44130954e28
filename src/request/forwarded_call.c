#include "request/forwarded_call.h"

#include "connection/listener.h"
#include "process/counters.h"
#include "process/log.h"
#include "request/access.h"

/* Returns the current time of the router's clock. */
static int64_t call_now_us(const forwarded_call_t *call)
{
	return clock_now(&call->router->clock);
}

/* Closes the connection of the current send, if there is one. */
static void stop_call(forwarded_call_t *call)
{
	client_cancel(call->http_call);
	call->http_call = NULL;
}

/* Stops a timer, if it is set. */
static void stop_timer(guint *timer)
{
	if (*timer)
		g_source_remove(*timer);
	*timer = 0;
}

/* Frees a call and removes it from the router's calls in progress. */
static void forwarded_call_free(forwarded_call_t *call)
{
	stop_timer(&call->timer);
	stop_timer(&call->deadline_timer);
	stop_call(call);
	g_queue_remove(&call->router->forwarded_calls, call);
	if (call->counted)
		scheduler_limit_end(&call->router->scheduler, call->workspace);
	reply_finish(&call->reply);
	state_unref(call->state);
	g_free(call->method);
	g_free(call->target);
	g_free(call->content_type);
	g_free(call->idempotency_key);
	g_free(call->outcome.content_type);
	if (call->outcome.body)
		g_bytes_unref(call->outcome.body);
	if (call->headers)
		soup_message_headers_unref(call->headers);
	if (call->body)
		g_bytes_unref(call->body);
	g_free(call);
}

/* Logs the outcome of a call. */
static void log_end(const forwarded_call_t *call)
{
	const verdict_t *verdict = &call->lifecycle.verdict;

	log_event(LOG_INFO, "call_end", LOG_CSTR("request", call->id),
		  LOG_STR("customer", call->workspace->name),
		  LOG_STR("service", call->service->name),
		  LOG_CSTR("outcome", verdict_code_text(verdict->code)),
		  LOG_CSTR("verdict", verdict_run_text(verdict->run)),
		  LOG_CSTR("detail", verdict->detail),
		  LOG_UINT("sends", call->lifecycle.attempt),
		  LOG_INT("duration_us",
			  call_now_us(call) - call->accepted_at_us));
}

/* Counts how a call ended, unless it succeeded. */
static void count_end(const forwarded_call_t *call)
{
	const verdict_t *verdict = &call->lifecycle.verdict;

	if (verdict->code == VERDICT_OK)
		return;
	if (verdict->code == VERDICT_CALLER_GONE)
		counters_add(COUNTER_CALLER_GONE, 1);
	else if (verdict->run == RUN_NOT_RUN)
		counters_add(COUNTER_REQUESTS_REFUSED, 1);
	else
		counters_add(COUNTER_REQUESTS_FAILED, 1);
}

static void feed(forwarded_call_t *call, plain_event_kind_t kind,
		 const verdict_t *verdict);

/* Returns the event for the end of an HTTP call. */
static plain_event_kind_t response_event(const client_response_t *response)
{
	switch (response->outcome) {
	case CLIENT_ANSWERED:
		return PLAIN_EVENT_ANSWER;
	case CLIENT_NOT_SENT:
		return PLAIN_EVENT_NOT_SENT;
	case CLIENT_TIMED_OUT:
		return PLAIN_EVENT_SILENT;
	case CLIENT_LOST:
		break;
	}
	return PLAIN_EVENT_LOST;
}

/* Records success or failure for the backend server, and passes the end of the
 * HTTP call to the state machine.
 */
static void on_response(void *context, const client_response_t *response)
{
	forwarded_call_t *call = context;

	call->http_call = NULL;
	if (response->outcome == CLIENT_ANSWERED)
		backends_note_success(call->backend);
	else
		backends_note_failure(call->backend);
	call->response = response;
	feed(call, response_event(response), NULL);
}

/* Reports a send that failed at once. */
static gboolean on_not_sent(gpointer data)
{
	forwarded_call_t *call = data;

	call->timer = 0;
	feed(call, PLAIN_EVENT_NOT_SENT, NULL);
	return G_SOURCE_REMOVE;
}

/* Sends the call to a backend server, if possible not to the one of the send
 * before. A failure to send is reported from the main loop, since the state
 * machine is still executing the action that sends.
 */
static void send_call(forwarded_call_t *call)
{
	client_request_t request = {
		.method = call->method,
		.path = call->target,
		.headers = call->headers,
		.content_type = call->content_type,
		.body = g_bytes_get_size(call->body) ? call->body : NULL,
		.deadline_us = call->lifecycle.config.deadline_us,
		.on_done = on_response,
		/* The HTTP library retries some methods by itself when a
		 * kept-alive connection turns out to be closed. A call that
		 * must not run twice therefore never reuses a connection.
		 */
		.new_connection = !call->lifecycle.config.repeatable,
		.context = call,
	};

	if (call->lifecycle.attempt > 1)
		counters_add(COUNTER_RETRIES, 1);
	call->backend = backends_pick(&call->router->backends, STR(""),
				      call->service->name, call->backend);
	if (call->backend) {
		request.address = str_from(call->backend->address);
		call->http_call = client_send(&call->router->client, &request);
	}
	if (!call->http_call)
		call->timer = g_idle_add(on_not_sent, call);
}

/* Reports that the back-off is over. */
static gboolean on_back_off_end(gpointer data)
{
	forwarded_call_t *call = data;

	call->timer = 0;
	feed(call, PLAIN_EVENT_TIMER, NULL);
	return G_SOURCE_REMOVE;
}

/* Waits until a time, rounded up to milliseconds. */
static void back_off(forwarded_call_t *call, int64_t until_us)
{
	int64_t wait_us = MAX(until_us - call_now_us(call), 0);

	call->timer = g_timeout_add(
		(guint)((wait_us + CLOCK_US_PER_MS - 1) / CLOCK_US_PER_MS),
		on_back_off_end, call);
}

/* Sends the backend server's response to the caller, and keeps it for the
 * at-most-once record.
 */
static void send_response(forwarded_call_t *call)
{
	const client_response_t *response = call->response;
	const char *type =
		soup_message_headers_get_content_type(response->headers, NULL);
	gsize len;
	const char *data = g_bytes_get_data(response->body, &len);

	reply_send(&call->reply, response->status, RUN_RAN,
		   type ? type : "application/octet-stream",
		   (str_t){data, len});
	if (!call->once)
		return;
	call->outcome = (once_outcome_t){
		.status = response->status,
		.content_type = g_strdup(type),
		.body = g_bytes_ref(response->body),
	};
}

/* Executes one action of the state machine. */
static void execute_action(forwarded_call_t *call, const plain_action_t *action)
{
	switch (action->kind) {
	case PLAIN_ACTION_SEND:
		send_call(call);
		break;
	case PLAIN_ACTION_FORWARD:
		send_response(call);
		break;
	case PLAIN_ACTION_ABORT:
		stop_call(call);
		break;
	case PLAIN_ACTION_COUNT_STALE:
		counters_add(COUNTER_STALE_ANSWERS, 1);
		break;
	case PLAIN_ACTION_BACK_OFF:
		back_off(call, action->until_us);
		break;
	case PLAIN_ACTION_FINISH:
		break;
	}
}

/* Returns what the verdict of a call means for its at-most-once record. */
static once_call_result_t once_result(const verdict_t *verdict)
{
	switch (verdict->run) {
	case RUN_NOT_RUN:
		return ONCE_CALL_NOT_RUN;
	case RUN_RAN:
		return ONCE_CALL_ANSWERED;
	case RUN_MAY_HAVE_RUN:
		break;
	}
	return ONCE_CALL_UNKNOWN;
}

/* Closes the at-most-once record of the call, if it has one. The record of a
 * call that was never sent is abandoned; its row then says that the call has
 * not run.
 */
static void close_once_record(forwarded_call_t *call)
{
	if (!call->once)
		return;
	if (call->lifecycle.attempt == 0)
		once_record_abandon(call->once);
	else
		once_record_end(call->once,
				once_result(&call->lifecycle.verdict),
				&call->outcome);
	call->once = NULL;
}

/* Closes the at-most-once record, answers the caller, and counts, logs and
 * frees the call.
 */
static void end(forwarded_call_t *call)
{
	const verdict_t *verdict = &call->lifecycle.verdict;

	close_once_record(call);
	if (verdict->code != VERDICT_OK && verdict->code != VERDICT_CALLER_GONE)
		reply_verdict(&call->reply, verdict);
	count_end(call);
	log_end(call);
	forwarded_call_free(call);
}

/* Passes one event to the state machine and executes the actions that it
 * returns.
 */
static void step(forwarded_call_t *call, plain_event_kind_t kind,
		 const verdict_t *verdict)
{
	plain_event_t event = {
		.kind = kind,
		.now_us = call_now_us(call),
		.attempt = call->lifecycle.attempt,
	};
	plain_action_t actions[PLAIN_MAX_ACTIONS];
	size_t n = 0;

	if (verdict)
		event.verdict = *verdict;
	plain_lifecycle_step(&call->lifecycle, &event, actions, &n);
	for (size_t i = 0; i < n; i++)
		execute_action(call, &actions[i]);
}

/*
 * Feeds an event to the state machine and executes its actions. The call may
 * have been freed on return. A response arrives whole here, so its start and
 * its end are fed together.
 */
static void feed(forwarded_call_t *call, plain_event_kind_t kind,
		 const verdict_t *verdict)
{
	step(call, kind, verdict);
	if (kind == PLAIN_EVENT_ANSWER)
		step(call, PLAIN_EVENT_ANSWER_END, NULL);
	if (call->lifecycle.state == PLAIN_FINISHED)
		end(call);
}

/* Ends the call of a caller that has disconnected, unless its outcome is still
 * to be recorded.
 */
static void on_caller_gone(void *context)
{
	forwarded_call_t *call = context;

	/* A call with an at-most-once record goes on, so that its outcome is
	 * stored when the caller retries it with the same key.
	 */
	if (call->once && call->lifecycle.state == PLAIN_SENT)
		return;
	feed(call, PLAIN_EVENT_CALLER_GONE, NULL);
}

/* Reports that the deadline has passed. */
static gboolean on_deadline(gpointer data)
{
	forwarded_call_t *call = data;

	call->deadline_timer = 0;
	feed(call, PLAIN_EVENT_DEADLINE, NULL);
	return G_SOURCE_REMOVE;
}

/* Ends a call that is still in progress at the shutdown deadline. The caller
 * gets an error with a verdict.
 */
void forwarded_call_abort(forwarded_call_t *call)
{
	feed(call, PLAIN_EVENT_SHUTDOWN, NULL);
}

/* Finds the workspace, the service, the route and the deadline of a call.
 * Returns false with a not-run verdict if the call is invalid or not allowed.
 */
static bool resolve(forwarded_call_t *call, SoupServerMessage *message,
		    str_t name, str_t path, verdict_t *verdict)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);

	call->workspace = access_authenticate(call->state, headers, verdict);
	if (!call->workspace)
		return false;
	call->service = state_find_service(call->state, name);
	if (!call->service || call->service->kind != SERVICE_PLAIN) {
		*verdict = verdict_make(RUN_NOT_RUN, VERDICT_NOT_FOUND,
					"no such service");
		return false;
	}
	if (!workspace_may_call(call->workspace, call->service)) {
		*verdict =
			verdict_make(RUN_NOT_RUN, VERDICT_FORBIDDEN,
				     "service not allowed for this customer");
		return false;
	}
	call->rule = service_find_route(
		call->service,
		str_from(soup_server_message_get_method(message)), path);
	if (!call->rule) {
		*verdict = verdict_make(RUN_NOT_RUN, VERDICT_NOT_FOUND,
					"no such route");
		return false;
	}
	call->lifecycle.config.deadline_us =
		access_deadline(headers, call->accepted_at_us,
				call->service->timeout_ms, verdict);
	return call->lifecycle.config.deadline_us != 0;
}

/* Copies a header, if it is present. */
static void copy_header(SoupMessageHeaders *to, SoupMessageHeaders *from,
			const char *name)
{
	const char *value = soup_message_headers_get_one(from, name);

	if (value)
		soup_message_headers_replace(to, name, value);
}

/* Returns the path and query to send. The path arrives percent-decoded, so it
 * is encoded again. The caller frees the result.
 */
static char *path_with_query(SoupServerMessage *message, str_t path)
{
	const char *query =
		g_uri_get_query(soup_server_message_get_uri(message));
	char *escaped = g_uri_escape_bytes((const guint8 *)path.data, path.len,
					   "/:@!$&'()*+,;=");
	char *whole = query ? g_strdup_printf("%s?%s", escaped, query)
			    : g_strdup(escaped);

	g_free(escaped);
	return whole;
}

/* Copies what is sent to a backend server out of the caller's request, for the
 * first send and for retries.
 */
static void copy_message(forwarded_call_t *call, SoupServerMessage *message,
			 str_t path)
{
	SoupMessageHeaders *from =
		soup_server_message_get_request_headers(message);

	call->method = g_strdup(soup_server_message_get_method(message));
	call->target = path_with_query(message, path);
	call->content_type =
		g_strdup(soup_message_headers_get_content_type(from, NULL));
	call->headers = soup_message_headers_new(SOUP_MESSAGE_HEADERS_REQUEST);
	call->body = soup_message_body_flatten(
		soup_server_message_get_request_body(message));
	copy_header(call->headers, from, "Idempotency-Key");
	if (!call->rule->repeatable)
		call->idempotency_key = g_strdup(
			soup_message_headers_get_one(from, "Idempotency-Key"));
	copy_header(call->headers, from, "traceparent");
	copy_header(call->headers, from, "Accept");
	soup_message_headers_replace(call->headers, "X-Request-Id", call->id);
}

/* Sets up the state machine and starts the deadline. */
static void init_lifecycle(forwarded_call_t *call)
{
	const plain_config_t config = {
		.repeatable = call->rule->repeatable,
		.deadline_us = call->lifecycle.config.deadline_us,
		.budget = &call->router->retry_budget,
		.seed = call->router->id_prefix + call->router->id_counter,
	};
	int64_t left_us = config.deadline_us - call->accepted_at_us;

	plain_lifecycle_init(&call->lifecycle, &config);
	call->deadline_timer = g_timeout_add(
		(guint)((left_us + CLOCK_US_PER_MS - 1) / CLOCK_US_PER_MS),
		on_deadline, call);
}

/* Ends a call that is not sent because its at-most-once record decides it. */
static void end_unsent(forwarded_call_t *call, verdict_t verdict)
{
	call->once = NULL;
	call->lifecycle.state = PLAIN_FINISHED;
	call->lifecycle.verdict = verdict;
	end(call);
}

/* Answers with the stored response of an earlier call with the same key. */
static void replay(forwarded_call_t *call, const once_outcome_t *outcome)
{
	const char *type = outcome->content_type;
	gsize len;
	const char *data = g_bytes_get_data(outcome->body, &len);

	reply_send(&call->reply, outcome->status, RUN_RAN,
		   type ? type : "application/octet-stream",
		   (str_t){data, len});
	end_unsent(call, verdict_make(RUN_RAN, VERDICT_OK, "replayed"));
}

/* Sends the call after its record was written, or answers it from the record of
 * an earlier call with the same key.
 */
static void on_once_step(void *context, const once_step_t *step,
			 const once_outcome_t *outcome)
{
	forwarded_call_t *call = context;

	if (step->kind == ONCE_DISPATCH)
		feed(call, PLAIN_EVENT_ADMITTED, NULL);
	else if (step->kind == ONCE_REPLAY && outcome)
		replay(call, outcome);
	else
		end_unsent(call, step->verdict);
}

/* Records a call with an idempotency key before it is sent, so that it runs at
 * most once however often the caller retries it.
 */
static void start_once_call(forwarded_call_t *call)
{
	gsize len;
	const char *data = g_bytes_get_data(call->body, &len);
	char *hash = once_call_hash(call->service->name, str_from(call->method),
				    str_from(call->target), (str_t){data, len});
	once_params_t want = {
		.workspace = call->workspace->name,
		.key = str_from(call->idempotency_key),
		.call_hash = str_from(hash),
		.attempt = str_from(call->id),
		.give_up_us = call->lifecycle.config.deadline_us,
	};

	call->once = once_record_start(&call->router->once_records, &want,
				       on_once_step, call);
	g_free(hash);
}

/* Starts a call that the workspace's limits admit. One with an idempotency key
 * is recorded before it is sent.
 */
static void start_admitted(forwarded_call_t *call)
{
	verdict_t verdict = verdict_make(
		RUN_NOT_RUN, VERDICT_BAD_REQUEST,
		"Idempotency-Key: expected 1 to 255 visible characters");

	if (!call->idempotency_key)
		feed(call, PLAIN_EVENT_ADMITTED, NULL);
	else if (once_key_is_valid(str_from(call->idempotency_key)))
		start_once_call(call);
	else
		feed(call, PLAIN_EVENT_REFUSED, &verdict);
}

/* Starts a call to a plain service. `path` is what follows /svc/: the name of
 * the service and the path at it. A call that is invalid or not allowed is
 * answered at once.
 */
void forwarded_call_start(router_t *router, SoupServerMessage *message,
			  str_t path)
{
	forwarded_call_t *call = g_new0(forwarded_call_t, 1);
	const char *slash = memchr(path.data, '/', path.len);
	str_t name = {path.data,
		      slash ? (size_t)(slash - path.data) : path.len};
	str_t rest = slash ? (str_t){slash, path.len - name.len} : STR("/");
	verdict_t verdict;

	call->router = router;
	call->state = state_ref(router->state);
	call->accepted_at_us = clock_now(&router->clock);
	router_make_request_id(router, call->id);
	if (!resolve(call, message, name, rest, &verdict)) {
		listener_refuse(message, &verdict, call->accepted_at_us);
		forwarded_call_free(call);
		return;
	}
	copy_message(call, message, rest);
	init_lifecycle(call);
	g_queue_push_tail(&router->forwarded_calls, call);
	reply_init(&call->reply, message, str_from(call->id), router->clock,
		   on_caller_gone, call);
	call->counted = scheduler_limit_begin(&router->scheduler,
					      call->workspace, &verdict);
	if (call->counted)
		start_admitted(call);
	else
		feed(call, PLAIN_EVENT_REFUSED, &verdict);
}
