#include "request/forward.h"

#include "connection/listener.h"
#include "process/counters.h"
#include "process/log.h"
#include "request/access.h"

#define RETRY_AFTER_US (1 * CLOCK_US_PER_S)

typedef struct {
	router_t *router;
	state_t *state;
	const customer_t *customer;
	const service_t *service;
	const route_rule_t *rule;
	backend_entry_t *backend;
	client_call_t *http;
	reply_t reply;
	char id[33];
	int64_t accepted_at_us;
	int64_t deadline_us;
} forward_t;

static void forward_free(forward_t *call)
{
	client_abort(call->http);
	reply_finish(&call->reply);
	state_unref(call->state);
	g_free(call);
}

static void log_end(const forward_t *call, const char *outcome, run_t run)
{
	int64_t now_us = clock_now(&call->router->clock);

	log_event(LOG_INFO, "call_end", LOG_CSTR("request", call->id),
		  LOG_STR("customer", call->customer->name),
		  LOG_STR("service", call->service->name),
		  LOG_CSTR("outcome", outcome),
		  LOG_CSTR("verdict", verdict_run_text(run)),
		  LOG_INT("duration_us", now_us - call->accepted_at_us));
}

static void on_caller_gone(void *context)
{
	forward_t *call = context;

	counters_add(COUNTER_CALLER_GONE, 1);
	log_end(call, "caller_gone", RUN_MAY_HAVE_RUN);
	forward_free(call);
}

static void forward_fail(forward_t *call, run_t run, verdict_code_t code,
			 const char *detail)
{
	verdict_t verdict = verdict_retry_at(verdict_make(run, code, detail),
					     clock_now(&call->router->clock) +
						     RETRY_AFTER_US);

	counters_add(run == RUN_NOT_RUN ? COUNTER_REQUESTS_REFUSED
					: COUNTER_REQUESTS_FAILED,
		     1);
	reply_verdict(&call->reply, &verdict);
	log_end(call, verdict_code_text(code), run);
	forward_free(call);
}

static void answer(forward_t *call, const client_response_t *response)
{
	const char *type =
		soup_message_headers_get_content_type(response->headers, NULL);
	gsize len;
	const char *data = g_bytes_get_data(response->body, &len);

	reply_whole(&call->reply, response->status, RUN_RAN,
		    type ? type : "application/octet-stream",
		    (str_t){data, len});
	log_end(call, "ok", RUN_RAN);
	forward_free(call);
}

static void on_response(void *context, const client_response_t *response)
{
	forward_t *call = context;

	call->http = NULL;
	switch (response->outcome) {
	case CLIENT_DONE:
		backends_note_success(call->backend);
		answer(call, response);
		return;
	case CLIENT_NOT_SENT:
		backends_note_failure(call->backend);
		forward_fail(call, RUN_NOT_RUN, VERDICT_UNAVAILABLE,
			     "backend server unreachable");
		return;
	case CLIENT_LOST:
		backends_note_failure(call->backend);
		forward_fail(call, RUN_MAY_HAVE_RUN, VERDICT_BACKEND_FAILED,
			     "backend server failed");
		return;
	case CLIENT_TIMED_OUT:
		forward_fail(call, RUN_MAY_HAVE_RUN, VERDICT_BACKEND_TIMEOUT,
			     "backend server did not answer in time");
		return;
	}
}

static bool resolve(forward_t *call, SoupServerMessage *message, str_t name,
		    str_t path, verdict_t *verdict)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);

	call->customer = access_authenticate(call->state, headers, verdict);
	if (!call->customer)
		return false;
	call->service = state_find_service(call->state, name);
	if (!call->service || call->service->kind != SERVICE_PLAIN) {
		*verdict = verdict_make(RUN_NOT_RUN, VERDICT_NOT_FOUND,
					"no such service");
		return false;
	}
	if (!customer_may_call(call->customer, call->service)) {
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
	call->deadline_us = access_deadline(headers, call->accepted_at_us,
					    call->service->timeout_ms, verdict);
	return call->deadline_us != 0;
}

static void copy_header(SoupMessageHeaders *to, SoupMessageHeaders *from,
			const char *name)
{
	const char *value = soup_message_headers_get_one(from, name);

	if (value)
		soup_message_headers_replace(to, name, value);
}

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

static void forward(forward_t *call, SoupServerMessage *message, str_t path)
{
	SoupMessageHeaders *from =
		soup_server_message_get_request_headers(message);
	SoupMessageHeaders *headers =
		soup_message_headers_new(SOUP_MESSAGE_HEADERS_REQUEST);
	GBytes *body = soup_message_body_flatten(
		soup_server_message_get_request_body(message));
	char *target = path_with_query(message, path);
	client_request_t request = {
		.method = soup_server_message_get_method(message),
		.address = str_from(call->backend->address),
		.path = target,
		.headers = headers,
		.content_type =
			soup_message_headers_get_content_type(from, NULL),
		.body = g_bytes_get_size(body) ? body : NULL,
		.deadline_us = call->deadline_us,
		.on_done = on_response,
		.context = call,
	};

	copy_header(headers, from, "Idempotency-Key");
	copy_header(headers, from, "traceparent");
	copy_header(headers, from, "Accept");
	soup_message_headers_replace(headers, "X-Request-Id", call->id);
	call->http = client_send(&call->router->client, &request);
	soup_message_headers_unref(headers);
	g_bytes_unref(body);
	g_free(target);
}

/* Takes over a call whose path is /svc/NAME/... */
void forward_start(router_t *router, SoupServerMessage *message, str_t path)
{
	forward_t *call = g_new0(forward_t, 1);
	const char *slash = memchr(path.data, '/', path.len);
	str_t name = {path.data,
		      slash ? (size_t)(slash - path.data) : path.len};
	str_t rest = slash ? (str_t){slash, path.len - name.len} : STR("/");
	verdict_t verdict;

	call->router = router;
	call->state = state_ref(router->state);
	call->accepted_at_us = clock_now(&router->clock);
	router_make_id(router, call->id);
	if (!resolve(call, message, name, rest, &verdict)) {
		listener_refuse(message, &verdict, call->accepted_at_us);
		forward_free(call);
		return;
	}
	reply_init(&call->reply, message, str_from(call->id), router->clock,
		   on_caller_gone, call);
	call->backend = backends_pick(&router->backends, STR(""),
				      call->service->name, NULL);
	if (!call->backend) {
		forward_fail(call, RUN_NOT_RUN, VERDICT_UNAVAILABLE,
			     "no usable backend server");
		return;
	}
	forward(call, message, rest);
}
