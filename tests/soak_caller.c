#include "soak_caller.h"

#include <string.h>

#include "process/alarm.h"

#define TIME_LEFT_MS 3000

/* The answer must have come by then, whatever is disturbed. */
#define ANSWER_US (4500 * CLOCK_US_PER_MS)

struct soak_caller {
	soak_world_t *world;
	http_pool_t *pool;
	soak_counts_t *counts;
	http_call_t *call; /* NULL: none in progress */
	soak_kind_t kind;
	char *request;
	GString *body;
	unsigned status;
	bool has_signature;
	bool leaves; /* the alarm is the caller's own departure */
	alarm_t alarm;
};

/* "Not run" must be true then and later. */
static void check_not_run(soak_caller_t *caller)
{
	soak_run_t *run = soak_world_run(caller->world, caller->request);

	if (run->runs > 0 && caller->kind != SOAK_SAFE)
		soak_world_violate(caller->world,
				   "REFUSED: %s got %u and ran at %s",
				   caller->request, caller->status,
				   run->server);
	/* A run that begins later is found as a second one. */
	if (caller->kind != SOAK_SAFE)
		run->runs++;
}

static void check_stream(soak_caller_t *caller)
{
	GString *expected = g_string_new(NULL);

	for (unsigned i = 1; i <= 12; i++)
		g_string_append_printf(expected, "id: %u\ndata: %s\n\n", i,
				       caller->request);
	if (!g_string_equal(expected, caller->body))
		soak_world_violate(caller->world,
				   "ORDER: %s got another stream: %s",
				   caller->request, caller->body->str);
	g_string_free(expected, TRUE);
}

static void check_success(soak_caller_t *caller)
{
	char *expected = g_strdup_printf("answer to %s", caller->request);

	if (!caller->has_signature)
		soak_world_violate(caller->world,
				   "MIXED: %s got a success without signature",
				   caller->request);
	if (caller->kind == SOAK_STREAM)
		check_stream(caller);
	else if (!g_str_equal(expected, caller->body->str))
		soak_world_violate(caller->world,
				   "MIXED: %s got another answer: %s",
				   caller->request, caller->body->str);
	g_free(expected);
}

static void finish(soak_caller_t *caller)
{
	caller->call = NULL;
	alarm_set(&caller->alarm, -1);
	g_clear_pointer(&caller->request, g_free);
}

static void on_head(void *context, const http_head_t *head)
{
	soak_caller_t *caller = context;

	caller->status = head->status;
	caller->has_signature =
		http_headers_get(&head->headers, "x-response-signature").len >
		0;
}

static void on_body(void *context, const char *data, size_t len)
{
	soak_caller_t *caller = context;

	g_string_append_len(caller->body, data, (gssize)len);
}

static void on_end(void *context, call_end_t end)
{
	soak_caller_t *caller = context;

	if (end != CALL_ANSWERED) {
		caller->counts->broken++;
	} else if (caller->status == 200) {
		caller->counts->served++;
		check_success(caller);
	} else if (caller->status == 503) {
		caller->counts->refused++;
		check_not_run(caller);
	} else {
		caller->counts->failed++;
		if (caller->status == 404)
			soak_world_violate(caller->world, "DENIED: %s got 404",
					   caller->request);
	}
	finish(caller);
}

static const call_handler_t handler = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static void on_alarm(void *context)
{
	soak_caller_t *caller = context;

	caller->counts->broken++;
	http_call_cancel(caller->call);
	finish(caller);
}

/* Returns a caller without a request. */
soak_caller_t *soak_caller_new(soak_world_t *world, http_pool_t *pool,
			       soak_counts_t *counts)
{
	soak_caller_t *caller = g_new0(soak_caller_t, 1);

	caller->world = world;
	caller->pool = pool;
	caller->counts = counts;
	caller->body = g_string_new(NULL);
	alarm_init(&caller->alarm, clock_boottime(), on_alarm, caller);
	return caller;
}

/* Frees a caller; a request in progress is given up. */
void soak_caller_free(soak_caller_t *caller)
{
	if (caller->call)
		http_call_cancel(caller->call);
	alarm_finish(&caller->alarm);
	g_free(caller->request);
	g_string_free(caller->body, TRUE);
	g_free(caller);
}

/* Tells whether a request is in progress. */
bool soak_caller_is_busy(const soak_caller_t *caller)
{
	return caller->call != NULL;
}

/* Sends a request; the caller leaves at a time, or stays (0). */
void soak_caller_send(soak_caller_t *caller, const char *address,
		      soak_kind_t kind, int64_t leave_at_us)
{
	static const char *const paths[] = {"/safe/", "/unsafe/", "/stream/"};
	clock_source_t clock = clock_boottime();
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = address,
		.message = message,
		.handler = &handler,
		.context = caller,
	};

	caller->kind = kind;
	caller->request = g_strdup_printf("r%u", ++caller->world->next_id);
	caller->status = 0;
	caller->has_signature = false;
	g_string_truncate(caller->body, 0);
	g_string_printf(message,
			"%s %sx HTTP/1.1\r\nHost: soak.example\r\n"
			"X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
			"X-Model-Name: m\r\nX-Token-Count: 1000,200\r\n"
			"X-Length-Hint: 100\r\nContent-Length: %d\r\n\r\n%s",
			kind == SOAK_SAFE ? "GET" : "POST", paths[kind],
			caller->request, TIME_LEFT_MS,
			kind == SOAK_SAFE ? 0 : 4,
			kind == SOAK_SAFE ? "" : "body");
	caller->counts->sent++;
	caller->call = http_pool_call(caller->pool, &options);
	g_string_free(message, TRUE);
	if (!caller->call) {
		caller->counts->broken++;
		finish(caller);
		return;
	}
	alarm_set(&caller->alarm,
		  leave_at_us ? leave_at_us : clock_now(&clock) + ANSWER_US);
}
