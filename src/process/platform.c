#include "process/platform.h"

#include <inttypes.h>

#include "process/counters.h"
#include "process/platform_reply.h"
#include "request/retry.h"

/* Longest time for the first send of a call that may be repeated; it doubles
 * with each send. A connection that has gone silent is given up early, and a
 * slow platform still gets to answer.
 */
#define SEND_LIMIT_US (2 * CLOCK_US_PER_S)
#define SEND_LIMIT_DOUBLINGS 4

static const retry_backoff_t backoff = {100 * CLOCK_US_PER_MS,
					2 * CLOCK_US_PER_S};

typedef enum {
	CALL_GET,
	CALL_LIST,
	CALL_PUT, /* sent once */
	CALL_WRITE, /* sent until its outcome is known */
	CALL_DELETE, /* sent once */
	CALL_GET_OBJECT,
	CALL_PUT_OBJECT,
	CALL_LIST_VMS,
} call_kind_t;

struct platform_call {
	platform_t *platform;
	call_kind_t kind;
	char *path;
	GBytes *value;
	uint64_t expected;
	int64_t deadline_us;
	platform_done_fn_t done;
	void *context;
	client_call_t *send; /* NULL while none is under way */
	guint timer;
	unsigned sends;
	bool reading_back; /* CALL_WRITE */
	bool answer_lost; /* CALL_WRITE: a send may have been executed */
};

/* Sets up a client with a closed breaker. The client and its clock outlive it.
 */
void platform_init(platform_t *platform, client_t *client, const char *address,
		   const platform_budget_t *budget, uint64_t seed)
{
	int64_t now_us = clock_now(&client->clock);

	*platform = (platform_t){
		.client = client,
		.address = g_strdup(address),
		.clock = client->clock,
		.seed = seed,
	};
	bucket_init(&platform->reads, budget->reads_s,
		    budget->reads_s * budget->burst_s, now_us);
	bucket_init(&platform->writes, budget->writes_s,
		    budget->writes_s * budget->burst_s, now_us);
	breaker_init(&platform->breaker, seed);
	g_queue_init(&platform->calls);
}

/* Sends this bearer token with each call. */
void platform_set_token(platform_t *platform, const char *token)
{
	g_free(platform->token);
	platform->token = g_strdup(token);
}

/* Cancels the calls in progress and frees the client's memory. */
void platform_finish(platform_t *platform)
{
	while (!g_queue_is_empty(&platform->calls))
		platform_cancel(g_queue_peek_head(&platform->calls));
	g_clear_pointer(&platform->address, g_free);
	g_clear_pointer(&platform->token, g_free);
}

static void free_call(platform_call_t *call)
{
	g_queue_remove(&call->platform->calls, call);
	if (call->timer)
		g_source_remove(call->timer);
	g_clear_pointer(&call->value, g_bytes_unref);
	g_free(call->path);
	g_free(call);
}

/* Gives up a call; its callback is not called. NULL is allowed. */
void platform_cancel(platform_call_t *call)
{
	if (!call)
		return;
	if (call->send) {
		client_cancel(call->send);
		breaker_record_cancelled(&call->platform->breaker);
	}
	free_call(call);
}

static bool is_read(const platform_call_t *call)
{
	return call->reading_back || call->kind == CALL_GET ||
	       call->kind == CALL_LIST || call->kind == CALL_GET_OBJECT ||
	       call->kind == CALL_LIST_VMS;
}

/* Calls that may be executed more than once. */
static bool is_repeatable(const platform_call_t *call)
{
	return call->kind != CALL_PUT && call->kind != CALL_DELETE;
}

static void finish(platform_call_t *call, platform_answer_t *answer)
{
	platform_done_fn_t done = call->done;
	void *context = call->context;

	free_call(call);
	done(context, answer);
}

/* A write without a certain outcome is unknown if any of its sends may have
 * been executed.
 */
static void finish_failed(platform_call_t *call, platform_outcome_t outcome)
{
	platform_answer_t answer = {.outcome = outcome};

	if (call->answer_lost)
		answer.outcome = PLATFORM_UNKNOWN;
	finish(call, &answer);
}

static void start_send(platform_call_t *call);

static gboolean on_timer(gpointer data)
{
	platform_call_t *call = data;

	call->timer = 0;
	start_send(call);
	return G_SOURCE_REMOVE;
}

/* Continues at a time, or fails when that is not before the deadline. */
static void send_at(platform_call_t *call, int64_t at_us,
		    platform_outcome_t outcome)
{
	int64_t now_us = clock_now(&call->platform->clock);

	if (at_us >= call->deadline_us) {
		finish_failed(call, outcome);
		return;
	}
	call->timer = g_timeout_add(
		at_us > now_us ? (guint)((at_us - now_us) / CLOCK_US_PER_MS) + 1
			       : 0,
		on_timer, call);
}

static void retry(platform_call_t *call, platform_outcome_t outcome)
{
	platform_t *platform = call->platform;
	int64_t now_us = clock_now(&platform->clock);

	send_at(call,
		now_us + retry_backoff_us(&backoff, call->sends - 1,
					  &platform->seed),
		outcome);
}

/* The response to a write or to its read-back. */
static void on_write_reply(platform_call_t *call, platform_answer_t *answer,
			   GBytes *body)
{
	if (!call->reading_back) {
		if (answer->outcome == PLATFORM_DONE ||
		    answer->outcome == PLATFORM_REJECTED) {
			finish(call, answer);
			return;
		}
		if (answer->outcome == PLATFORM_NOT_SENT) {
			retry(call, PLATFORM_NOT_SENT);
			return;
		}
		/* The library may have sent the write twice, so that a failed
		 * condition can be this write's own effect.
		 */
		call->answer_lost = true;
		call->reading_back = true;
		start_send(call);
		return;
	}
	if (answer->outcome == PLATFORM_NOT_FOUND)
		answer->version = PLATFORM_NO_ROW;
	else if (answer->outcome != PLATFORM_DONE) {
		retry(call, PLATFORM_UNKNOWN);
		return;
	}
	if (body && g_bytes_equal(body, call->value)) {
		answer->outcome = PLATFORM_DONE;
		finish(call, answer);
	} else if (answer->version != call->expected) {
		answer->outcome = PLATFORM_CONDITION_FAILED;
		answer->body = answer->version ? body : NULL;
		finish(call, answer);
	} else {
		/* The row is unchanged. A lost write may still take effect
		 * later; the same write again settles which of them counts.
		 */
		call->reading_back = false;
		retry(call, PLATFORM_NOT_SENT);
	}
}

static void on_read_reply(platform_call_t *call, platform_answer_t *answer,
			  GBytes *body)
{
	if (answer->outcome == PLATFORM_DONE) {
		if (call->kind == CALL_LIST)
			answer->rows = platform_reply_rows(body);
		else if (call->kind == CALL_LIST_VMS)
			answer->vms = platform_reply_vms(body);
		else
			answer->body = body;
		if ((call->kind == CALL_LIST && !answer->rows) ||
		    (call->kind == CALL_LIST_VMS && !answer->vms))
			answer->outcome = PLATFORM_REJECTED;
	}
	finish(call, answer);
}

static void count_result(platform_t *platform, platform_outcome_t outcome)
{
	bool failed = outcome == PLATFORM_NOT_SENT ||
		      outcome == PLATFORM_UNKNOWN;

	counters_set(GAUGE_PLATFORM_UP, !failed);
	if (failed) {
		counters_add(COUNTER_PLATFORM_ERRORS, 1);
		breaker_record_failure(&platform->breaker,
				       clock_now(&platform->clock));
	} else {
		breaker_record_success(&platform->breaker);
	}
}

static void on_reply(void *context, const client_response_t *response)
{
	platform_call_t *call = context;
	platform_answer_t answer = {.outcome =
					    platform_reply_outcome(response)};
	bool has_version = platform_reply_version(response, &answer.version);
	bool needs_version = call->reading_back || call->kind == CALL_GET ||
			     call->kind == CALL_PUT || call->kind == CALL_WRITE;
	GArray *lists[2];

	call->send = NULL;
	/* A successful response without a version proves nothing. */
	if (answer.outcome == PLATFORM_DONE && needs_version && !has_version)
		answer.outcome = PLATFORM_UNKNOWN;
	count_result(call->platform, answer.outcome);
	if (call->kind == CALL_WRITE) {
		on_write_reply(call, &answer, response->body);
		return;
	}
	if (is_repeatable(call) && (answer.outcome == PLATFORM_NOT_SENT ||
				    answer.outcome == PLATFORM_UNKNOWN)) {
		retry(call, answer.outcome);
		return;
	}
	on_read_reply(call, &answer, response->body);
	lists[0] = answer.rows;
	lists[1] = answer.vms;
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++)
		g_clear_pointer(&lists[i], g_array_unref);
}

static const char *method_of(const platform_call_t *call)
{
	if (is_read(call))
		return "GET";
	return call->kind == CALL_DELETE ? "DELETE" : "PUT";
}

static void add_condition(SoupMessageHeaders *headers, uint64_t expected)
{
	char etag[32];

	if (expected == PLATFORM_NO_ROW) {
		soup_message_headers_append(headers, "If-None-Match", "*");
		return;
	}
	g_snprintf(etag, sizeof(etag), "\"%" PRIu64 "\"", expected);
	soup_message_headers_append(headers, "If-Match", etag);
}

static SoupMessageHeaders *make_headers(const platform_call_t *call)
{
	SoupMessageHeaders *headers =
		soup_message_headers_new(SOUP_MESSAGE_HEADERS_REQUEST);

	if (call->platform->token) {
		char *value =
			g_strconcat("Bearer ", call->platform->token, NULL);

		soup_message_headers_append(headers, "Authorization", value);
		g_free(value);
	}
	if (!is_read(call) && call->kind != CALL_PUT_OBJECT)
		add_condition(headers, call->expected);
	return headers;
}

static bool send_now(platform_call_t *call, int64_t now_us)
{
	bool has_body = !is_read(call) && call->value;
	int64_t limit_us = SEND_LIMIT_US
			   << MIN(call->sends, SEND_LIMIT_DOUBLINGS);
	client_request_t request = {
		.method = method_of(call),
		.address = str_from(call->platform->address),
		.path = call->path,
		.headers = make_headers(call),
		.content_type = has_body ? "application/octet-stream" : NULL,
		.body = has_body ? call->value : NULL,
		.deadline_us = is_repeatable(call) ? MIN(call->deadline_us,
							 now_us + limit_us)
						   : call->deadline_us,
		.on_done = on_reply,
		.context = call,
	};

	call->sends++;
	counters_add(is_read(call) ? COUNTER_PLATFORM_READS
				   : COUNTER_PLATFORM_WRITES,
		     1);
	call->send = client_send(call->platform->client, &request);
	soup_message_headers_unref(request.headers);
	return call->send != NULL;
}

/* Sends, or waits for the budget and the breaker. A call that is sent once is
 * denied instead, because its caller decides what to do meanwhile.
 */
static void start_send(platform_call_t *call)
{
	platform_t *platform = call->platform;
	int64_t now_us = clock_now(&platform->clock);
	bucket_t *bucket = is_read(call) ? &platform->reads : &platform->writes;
	int64_t at_us;

	if (now_us >= call->deadline_us) {
		finish_failed(call, PLATFORM_NOT_SENT);
		return;
	}
	at_us = bucket_ready_at_us(bucket, now_us);
	if (at_us <= now_us && breaker_allow(&platform->breaker, now_us)) {
		bucket_take(bucket, now_us);
		if (!send_now(call, now_us)) {
			breaker_record_cancelled(&platform->breaker);
			finish_failed(call, PLATFORM_REJECTED);
		}
		return;
	}
	counters_add(COUNTER_PLATFORM_DENIED, 1);
	if (!is_repeatable(call)) {
		finish_failed(call, PLATFORM_NOT_SENT);
		return;
	}
	at_us = MAX(at_us, breaker_ready_at_us(&platform->breaker, now_us));
	send_at(call, MAX(at_us, now_us + CLOCK_US_PER_MS), PLATFORM_NOT_SENT);
}

/*
 * All calls start from the main loop, so that a callback is never called
 * before the function that started the call has returned.
 */
static platform_call_t *start_call(platform_t *platform, call_kind_t kind,
				   char *path, int64_t deadline_us,
				   platform_done_fn_t done, void *context)
{
	platform_call_t *call = g_new0(platform_call_t, 1);

	call->platform = platform;
	call->kind = kind;
	call->path = path;
	call->deadline_us = deadline_us;
	call->done = done;
	call->context = context;
	call->timer = g_timeout_add(0, on_timer, call);
	g_queue_push_tail(&platform->calls, call);
	return call;
}

static char *row_path(const char *key)
{
	char *escaped = g_uri_escape_string(key, "/", FALSE);
	char *path = g_strconcat("/table/", escaped, NULL);

	g_free(escaped);
	return path;
}

/* Reads a row; repeated until the deadline. */
platform_call_t *platform_get(platform_t *platform, const char *key,
			      int64_t deadline_us, platform_done_fn_t done,
			      void *context)
{
	return start_call(platform, CALL_GET, row_path(key), deadline_us, done,
			  context);
}

/* Reads the rows whose keys start with a prefix; repeated until the deadline.
 */
platform_call_t *platform_list(platform_t *platform, const char *prefix,
			       int64_t deadline_us, platform_done_fn_t done,
			       void *context)
{
	char *escaped = g_uri_escape_string(prefix, "/", FALSE);
	char *path = g_strconcat("/table?prefix=", escaped, NULL);

	g_free(escaped);
	return start_call(platform, CALL_LIST, path, deadline_us, done,
			  context);
}

/*
 * Writes a row once, if its version is the expected one. After
 * PLATFORM_CONDITION_FAILED and PLATFORM_UNKNOWN the value may be in the row:
 * the library resends a PUT whose kept-alive connection was closed.
 */
platform_call_t *platform_put_once(platform_t *platform, const char *key,
				   GBytes *value, uint64_t expected,
				   int64_t deadline_us, platform_done_fn_t done,
				   void *context)
{
	platform_call_t *call = start_call(platform, CALL_PUT, row_path(key),
					   deadline_us, done, context);

	call->value = g_bytes_ref(value);
	call->expected = expected;
	return call;
}

/*
 * Writes a row if its version is the expected one, and finds out what became
 * of it: the row is read back after a failed condition or a lost answer, and
 * the same write is repeated until the deadline. The value must contain an ID
 * that no other write has. PLATFORM_CONDITION_FAILED comes with the row's
 * value in `body`, or NULL without a row; the value of this write may have
 * been in the row before that one.
 */
platform_call_t *platform_write(platform_t *platform, const char *key,
				GBytes *value, uint64_t expected,
				int64_t deadline_us, platform_done_fn_t done,
				void *context)
{
	platform_call_t *call = start_call(platform, CALL_WRITE, row_path(key),
					   deadline_us, done, context);

	call->value = g_bytes_ref(value);
	call->expected = expected;
	return call;
}

/* Deletes a row once, if its version is the expected one. */
platform_call_t *platform_delete(platform_t *platform, const char *key,
				 uint64_t expected, int64_t deadline_us,
				 platform_done_fn_t done, void *context)
{
	platform_call_t *call = start_call(platform, CALL_DELETE, row_path(key),
					   deadline_us, done, context);

	call->expected = expected;
	return call;
}

/* Reads an object; repeated until the deadline. */
platform_call_t *platform_get_object(platform_t *platform, const char *hash,
				     int64_t deadline_us,
				     platform_done_fn_t done, void *context)
{
	return start_call(platform, CALL_GET_OBJECT,
			  g_strconcat("/objects/", hash, NULL), deadline_us,
			  done, context);
}

/* Writes an object; repeated until the deadline, since that is idempotent. */
platform_call_t *platform_put_object(platform_t *platform, const char *hash,
				     GBytes *bytes, int64_t deadline_us,
				     platform_done_fn_t done, void *context)
{
	platform_call_t *call = start_call(platform, CALL_PUT_OBJECT,
					   g_strconcat("/objects/", hash, NULL),
					   deadline_us, done, context);

	call->value = g_bytes_ref(bytes);
	return call;
}

/* Reads the VM list; repeated until the deadline. */
platform_call_t *platform_list_vms(platform_t *platform, int64_t deadline_us,
				   platform_done_fn_t done, void *context)
{
	return start_call(platform, CALL_LIST_VMS, g_strdup("/vms"),
			  deadline_us, done, context);
}

/* Name of an outcome, for log lines. */
const char *platform_outcome_text(platform_outcome_t outcome)
{
	static const char *const texts[] = {"done",	 "condition_failed",
					    "not_found", "rejected",
					    "not_sent",	 "unknown"};

	return texts[outcome];
}
