#include "request/plain.h"

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
	client_call_t *call;
	reply_t reply;
	char id[33];
	int64_t accepted_at_us;
	int64_t deadline_us;
} plain_t;

static void plain_free(plain_t *plain)
{
	client_abort(plain->call);
	reply_finish(&plain->reply);
	state_unref(plain->state);
	g_free(plain);
}

static void log_end(const plain_t *plain, const char *outcome, run_t run)
{
	int64_t now_us = clock_now(&plain->router->clock);

	log_event(LOG_INFO, "call_end", LOG_CSTR("request", plain->id),
		  LOG_STR("customer", plain->customer->name),
		  LOG_STR("service", plain->service->name),
		  LOG_CSTR("outcome", outcome),
		  LOG_CSTR("verdict", verdict_run_text(run)),
		  LOG_INT("duration_us", now_us - plain->accepted_at_us));
}

static void on_caller_gone(void *context)
{
	plain_t *plain = context;

	counters_add(COUNTER_CALLER_GONE, 1);
	log_end(plain, "caller_gone", RUN_MAY_HAVE_RUN);
	plain_free(plain);
}

static void plain_fail(plain_t *plain, run_t run, verdict_code_t code,
		       const char *detail)
{
	verdict_t verdict = verdict_retry_at(verdict_make(run, code, detail),
					     clock_now(&plain->router->clock) +
						     RETRY_AFTER_US);

	counters_add(run == RUN_NOT_RUN ? COUNTER_REQUESTS_REFUSED
					: COUNTER_REQUESTS_FAILED,
		     1);
	reply_verdict(&plain->reply, &verdict);
	log_end(plain, verdict_code_text(code), run);
	plain_free(plain);
}

static void answer(plain_t *plain, const client_response_t *response)
{
	const char *type =
		soup_message_headers_get_content_type(response->headers, NULL);
	gsize len;
	const char *data = g_bytes_get_data(response->body, &len);

	reply_whole(&plain->reply, response->status, RUN_RAN,
		    type ? type : "application/octet-stream",
		    (str_t){data, len});
	log_end(plain, "ok", RUN_RAN);
	plain_free(plain);
}

static void on_response(void *context, const client_response_t *response)
{
	plain_t *plain = context;

	plain->call = NULL;
	switch (response->outcome) {
	case CLIENT_DONE:
		backends_note_success(plain->backend);
		answer(plain, response);
		return;
	case CLIENT_NOT_SENT:
		backends_note_failure(plain->backend);
		plain_fail(plain, RUN_NOT_RUN, VERDICT_UNAVAILABLE,
			   "backend server unreachable");
		return;
	case CLIENT_LOST:
		backends_note_failure(plain->backend);
		plain_fail(plain, RUN_MAY_HAVE_RUN, VERDICT_BACKEND_FAILED,
			   "backend server failed");
		return;
	case CLIENT_TIMED_OUT:
		plain_fail(plain, RUN_MAY_HAVE_RUN, VERDICT_BACKEND_TIMEOUT,
			   "backend server did not answer in time");
		return;
	}
}

static bool resolve(plain_t *plain, SoupServerMessage *message, str_t name,
		    str_t path, verdict_t *verdict)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);

	plain->customer = access_authenticate(plain->state, headers, verdict);
	if (!plain->customer)
		return false;
	plain->service = state_find_service(plain->state, name);
	if (!plain->service || plain->service->kind != SERVICE_PLAIN) {
		*verdict = verdict_make(RUN_NOT_RUN, VERDICT_NOT_FOUND,
					"no such service");
		return false;
	}
	if (!customer_may_call(plain->customer, plain->service)) {
		*verdict =
			verdict_make(RUN_NOT_RUN, VERDICT_FORBIDDEN,
				     "service not allowed for this customer");
		return false;
	}
	plain->rule = service_find_route(
		plain->service,
		str_from(soup_server_message_get_method(message)), path);
	if (!plain->rule) {
		*verdict = verdict_make(RUN_NOT_RUN, VERDICT_NOT_FOUND,
					"no such route");
		return false;
	}
	plain->deadline_us = access_deadline(headers, plain->accepted_at_us,
					     plain->service->timeout_ms,
					     verdict);
	return plain->deadline_us != 0;
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

static void forward(plain_t *plain, SoupServerMessage *message, str_t path)
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
		.address = str_from(plain->backend->address),
		.path = target,
		.headers = headers,
		.content_type =
			soup_message_headers_get_content_type(from, NULL),
		.body = g_bytes_get_size(body) ? body : NULL,
		.deadline_us = plain->deadline_us,
		.on_done = on_response,
		.context = plain,
	};

	copy_header(headers, from, "Idempotency-Key");
	copy_header(headers, from, "traceparent");
	copy_header(headers, from, "Accept");
	soup_message_headers_replace(headers, "X-Request-Id", plain->id);
	plain->call = client_send(&plain->router->client, &request);
	soup_message_headers_unref(headers);
	g_bytes_unref(body);
	g_free(target);
}

/* Takes over a call whose path is /svc/NAME/... */
void plain_start(router_t *router, SoupServerMessage *message, str_t path)
{
	plain_t *plain = g_new0(plain_t, 1);
	const char *slash = memchr(path.data, '/', path.len);
	str_t name = {path.data,
		      slash ? (size_t)(slash - path.data) : path.len};
	str_t rest = slash ? (str_t){slash, path.len - name.len} : STR("/");
	verdict_t verdict;

	plain->router = router;
	plain->state = state_ref(router->state);
	plain->accepted_at_us = clock_now(&router->clock);
	router_make_id(router, plain->id);
	if (!resolve(plain, message, name, rest, &verdict)) {
		listener_refuse(message, &verdict, plain->accepted_at_us);
		plain_free(plain);
		return;
	}
	reply_init(&plain->reply, message, str_from(plain->id), router->clock,
		   on_caller_gone, plain);
	plain->backend = backends_pick(&router->backends, STR(""),
				       plain->service->name, NULL);
	if (!plain->backend) {
		plain_fail(plain, RUN_NOT_RUN, VERDICT_UNAVAILABLE,
			   "no usable backend server");
		return;
	}
	forward(plain, message, rest);
}
