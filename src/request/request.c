#include "request/request.h"

#include "connection/listener.h"

#include "process/counters.h"
#include "process/log.h"
#include "request/access.h"

/* Silence on a decode stream after which its connection counts as dead. */
#define DECODE_IDLE_US (1 * CLOCK_US_PER_S)

/* When to come back after an engine refused or failed. */
#define RETRY_AFTER_US (1 * CLOCK_US_PER_S)

#define CANCEL_TIMEOUT_US (1 * CLOCK_US_PER_S)

static void request_free(request_t *request)
{
	g_queue_remove(&request->router->requests, request);
	counters_set(GAUGE_REQUESTS_ACTIVE,
		     g_queue_get_length(&request->router->requests));
	engine_abort(request->call);
	scheduler_leave(request->ticket);
	reply_finish(&request->reply);
	completion_finish(&request->completion);
	state_unref(request->state);
	g_free(request->kv);
	g_free(request->imported_kv);
	g_string_free(request->text, TRUE);
	g_free(request);
}

static engine_attempt_t attempt_of(const request_t *request)
{
	return (engine_attempt_t){str_from(request->id), request->attempt};
}

static void on_cancelled(void *context, engine_status_t status,
			 int64_t held_tokens)
{
	if (status == ENGINE_OK && held_tokens == 0)
		counters_add(COUNTER_CANCELS_CONFIRMED, 1);
}

static void cancel_at(request_t *request, const backend_entry_t *backend)
{
	engine_attempt_t id = attempt_of(request);
	router_t *router = request->router;

	if (!backend)
		return;
	counters_add(COUNTER_CANCELS_SENT, 1);
	engine_cancel(&router->client, str_from(backend->address), &id,
		      clock_now(&router->clock) + CANCEL_TIMEOUT_US,
		      on_cancelled, NULL);
}

static void log_end(const request_t *request, const char *outcome, run_t run)
{
	int64_t now_us = clock_now(&request->router->clock);

	log_event(LOG_INFO, "request_end", LOG_CSTR("request", request->id),
		  LOG_CSTR("trace", request->trace),
		  LOG_STR("customer", request->customer->name),
		  LOG_STR("service", request->service->name),
		  LOG_CSTR("outcome", outcome),
		  LOG_CSTR("verdict", verdict_run_text(run)),
		  LOG_INT("tokens", request->next_offset),
		  LOG_INT("duration_us", now_us - request->accepted_at_us));
}

/* Ends a request with a verdict for its caller. */
static void request_fail(request_t *request, verdict_code_t code,
			 const char *detail)
{
	run_t run = request->may_have_run ? RUN_MAY_HAVE_RUN : RUN_NOT_RUN;
	verdict_t verdict = verdict_retry_at(
		verdict_make(run, code, detail),
		clock_now(&request->router->clock) + RETRY_AFTER_US);

	counters_add(run == RUN_NOT_RUN ? COUNTER_REQUESTS_REFUSED
					: COUNTER_REQUESTS_FAILED,
		     1);
	if (request->may_have_run) {
		cancel_at(request, request->prefill);
		cancel_at(request, request->decode);
	}
	reply_verdict(&request->reply, &verdict);
	log_end(request, verdict_code_text(code), run);
	request_free(request);
}

static void on_caller_gone(void *context)
{
	request_t *request = context;

	counters_add(COUNTER_CALLER_GONE, 1);
	cancel_at(request, request->prefill);
	cancel_at(request, request->decode);
	log_end(request, "caller_gone", RUN_MAY_HAVE_RUN);
	request_free(request);
}

/* Ends a request before its end, as at the shutdown deadline. */
void request_abort(request_t *request, verdict_code_t code)
{
	request_fail(request, code, "request ended before its end");
}

static void observe_token(request_t *request)
{
	int64_t now_us = clock_now(&request->router->clock);

	if (!request->first_token_at_us) {
		request->first_token_at_us = now_us;
		counters_observe(HISTOGRAM_FIRST_TOKEN_MS,
				 (double)(now_us - request->accepted_at_us) /
					 CLOCK_US_PER_MS);
	} else {
		counters_observe(HISTOGRAM_INTER_TOKEN_MS,
				 (double)(now_us - request->last_token_at_us) /
					 CLOCK_US_PER_MS);
	}
	request->last_token_at_us = now_us;
	counters_add(COUNTER_TOKENS_SENT, 1);
}

static void on_token(void *context, const engine_token_t *token)
{
	request_t *request = context;

	if (token->offset != request->next_offset) {
		counters_add(COUNTER_STALE_ANSWERS, 1);
		return;
	}
	if (token->text.len) {
		request->next_offset++;
		observe_token(request);
	}
	if (request->completion.stream) {
		reply_stream_start(&request->reply);
		completion_append_chunk(reply_stream_buffer(&request->reply),
					&request->completion,
					str_from(request->id), token->text,
					token->finish);
	} else {
		g_string_append_len(request->text, token->text.data,
				    (gssize)token->text.len);
	}
}

static void answer_whole(request_t *request)
{
	GString *body = g_string_new(NULL);

	completion_append_whole(body, &request->completion,
				str_from(request->id),
				str_from_gstring(request->text), STR("stop"),
				request->next_offset);
	reply_whole(&request->reply, 200, RUN_RAN, "application/json",
		    str_from_gstring(body));
	g_string_free(body, TRUE);
}

static void on_decode_end(void *context, engine_status_t status)
{
	request_t *request = context;

	request->call = NULL;
	scheduler_decode_ended(request->ticket, request->decode,
			       status == ENGINE_OK, request->next_offset,
			       clock_now(&request->router->clock) -
				       request->decode_started_at_us);
	if (status != ENGINE_OK) {
		request_fail(request, VERDICT_BACKEND_FAILED,
			     "decode engine failed");
		return;
	}
	scheduler_release(request->ticket, (uint32_t)request->attempt,
			  request->decode, false);
	if (request->completion.stream)
		reply_stream_end(&request->reply);
	else
		answer_whole(request);
	log_end(request, "ok", RUN_RAN);
	request_free(request);
}

static void start_decode(request_t *request)
{
	engine_decode_t args = {
		.id = attempt_of(request),
		.kv = str_from(request->imported_kv),
		.offset = request->next_offset,
		.max_tokens = request->max_tokens,
		.priority = request->service->priority,
	};
	router_t *router = request->router;

	counters_add(COUNTER_DECODES, 1);
	request->decode_started_at_us = clock_now(&router->clock);
	request->call = engine_decode(&router->client,
				      str_from(request->decode->address), &args,
				      request->deadline_us, DECODE_IDLE_US,
				      on_token, on_decode_end, request);
}

static void on_import(void *context, const engine_result_t *result)
{
	request_t *request = context;

	request->call = NULL;
	scheduler_import_ended(request->ticket, request->decode,
			       result->status == ENGINE_OK);
	if (result->status != ENGINE_OK) {
		counters_add(COUNTER_IMPORTS_FAILED, 1);
		request_fail(request, VERDICT_BACKEND_FAILED,
			     "KV cache import failed");
		return;
	}
	request->imported_kv = str_dup(result->kv);
	start_decode(request);
}

static void start_import(request_t *request)
{
	engine_import_t args = {
		.id = attempt_of(request),
		.source = str_from(request->prefill->address),
		.kv = str_from(request->kv),
		.tokens = request->completion.prompt_tokens,
		.reserve_tokens =
			request->completion.prompt_tokens + request->max_tokens,
	};
	router_t *router = request->router;

	counters_add(COUNTER_IMPORTS, 1);
	request->call = engine_import(&router->client,
				      str_from(request->decode->address), &args,
				      request->deadline_us, on_import, request);
}

static void on_prefill(void *context, const engine_result_t *result)
{
	request_t *request = context;

	request->call = NULL;
	if (result->status == ENGINE_NOT_SENT ||
	    result->status == ENGINE_REFUSED)
		request->may_have_run = false;
	scheduler_prefill_ended(request->ticket, request->prefill,
				result->status == ENGINE_OK,
				result->tokens - result->cached_tokens);
	if (result->status != ENGINE_OK) {
		request_fail(request, VERDICT_BACKEND_FAILED,
			     "prefill engine failed");
		return;
	}
	request->kv = str_dup(result->kv);
	counters_add(COUNTER_PREFILL_TOKENS, result->tokens);
	start_import(request);
}

static void start_prefill(request_t *request)
{
	engine_prefill_t args = {
		.id = attempt_of(request),
		.model = request->service->prefill->model->name,
		.adapter = request->service->adapter,
		.prompt = {request->completion.prompt,
			   request->completion.prompt_len},
		.prompt_tokens = request->completion.prompt_tokens,
		.priority = request->service->priority,
	};
	router_t *router = request->router;

	request->prefill = backends_pick(&router->backends,
					 request->service->prefill->name,
					 STR(""), NULL);
	request->decode = backends_pick(&router->backends,
					request->service->decode->name, STR(""),
					NULL);
	if (!request->prefill || !request->decode) {
		request_fail(request, VERDICT_UNAVAILABLE, "no usable engine");
		return;
	}
	counters_add(COUNTER_PREFILLS, 1);
	request->may_have_run = true;
	request->call = engine_prefill(&router->client,
				       str_from(request->prefill->address),
				       &args, request->deadline_us, on_prefill,
				       request);
}

static void on_reserved(void *context, uint32_t attempt,
			backend_entry_t *engine, int64_t retry_at_us)
{
	request_t *request = context;

	request->decode = engine;
	if (engine)
		start_prefill(request);
	else
		request_fail(request, VERDICT_UNAVAILABLE, "no usable engine");
}

static void on_admitted(void *context)
{
	request_t *request = context;

	scheduler_reserve(request->ticket, (uint32_t)request->attempt, NULL);
}

static void on_refused(void *context, const verdict_t *verdict)
{
	request_fail(context, verdict->code, verdict->detail);
}

static void submit(request_t *request)
{
	scheduler_request_t want = {
		.customer = request->customer,
		.service = request->service,
		.prompt_tokens = request->completion.prompt_tokens,
		.max_tokens = request->max_tokens,
		.prefix = completion_prefix(
			(str_t){request->completion.prompt,
				request->completion.prompt_len}),
		.start_by_us =
			request->accepted_at_us +
			request->service->first_token_ms * CLOCK_US_PER_MS,
		.deadline_us = request->deadline_us,
		.on_admitted = on_admitted,
		.on_refused = on_refused,
		.on_reserved = on_reserved,
		.context = request,
	};

	memcpy(want.id, request->id, sizeof(want.id));
	request->ticket = scheduler_submit(&request->router->scheduler, &want);
}

/* Checks that need the body; false with a verdict if the request is bad. */
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
	if (!customer_may_call(request->customer, request->service)) {
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

/* Takes over a completion request whose body is complete. */
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
	request->attempt = 1;
	request->accepted_at_us = clock_now(&router->clock);
	request->text = g_string_new(NULL);
	router_make_id(router, request->id);
	access_trace(headers, request->trace);
	request->customer =
		access_authenticate(request->state, headers, &verdict);
	if (!request->customer ||
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
