#include "request/run_end.h"

#include "process/log.h"
#include "request/server_notice.h"

/* How long an engine is asked. A sound one may stand still for a second or so. */
#define LIMIT_US (1500 * CLOCK_US_PER_MS)

/* Time after which a call without effect is repeated, doubled with each one. */
#define RETRY_US (10 * CLOCK_US_PER_MS)
#define MAX_RETRY_DOUBLINGS 5

/* An engine that has cut so many calls without an answer, or takes no connection for so many, is
 * not asked again: it may take none for a moment while it has too many.
 */
#define MAX_CUT_CALLS 6
#define MAX_UNSENT_CALLS 2

/* A request that had no answer may wait at its engine, which has no run of it so far. */
#define QUEUED_US (300 * CLOCK_US_PER_MS)

#define MAX_BODY_BYTES 65536

/* Cancels what is in progress. */
static void clear(run_end_t *end)
{
	if (end->call)
		http_call_cancel(end->call);
	end->call = NULL;
	alarm_set(&end->retry, -1);
	alarm_set(&end->deadline, -1);
	if (end->server)
		server_unref(end->server);
	end->server = NULL;
	g_clear_pointer(&end->to_address, g_free);
}

/* Tells the owner, which may free the object. */
static void report(run_end_t *end, run_end_verdict_t verdict, char *handle,
		   bool copied)
{
	static const char *const texts[] = {
		[RUN_END_DONE] = "done",
		[RUN_END_UNREACHED] = "unreached",
		[RUN_END_FAILED] = "failed",
	};
	run_end_cache_t cache = {
		.server = server_ref(end->server),
		.handle = handle,
		.copied = copied,
	};
	int64_t now_us = clock_now(&end->relay->clock);

	log_event(verdict == RUN_END_DONE ? LOG_INFO : LOG_WARN, "run_ended",
		  LOG_STR("request", end->request_id),
		  LOG_CSTR("server", end->server->entry.id),
		  LOG_CSTR("result", texts[verdict]),
		  LOG_UINT("status", end->status),
		  LOG_INT("cache_kept", handle != NULL),
		  LOG_INT("copied", copied), LOG_UINT("calls", end->calls),
		  LOG_INT("after_ms",
			  (now_us - end->begun_us) / CLOCK_US_PER_MS));
	clear(end);
	end->on_end(end->context, verdict, &cache);
	server_unref(cache.server);
	g_free(handle);
}

/* Keeps the status of the answer. */
static void on_head(void *context, const http_head_t *head)
{
	run_end_t *end = context;

	end->status = head->status;
	server_notice_read(end->relay, end->server, head, "run_end");
}

/* Keeps a piece of the answer. */
static void on_body(void *context, const char *data, size_t len)
{
	run_end_t *end = context;

	g_string_append_len(end->body, data, (gssize)len);
}

/* Sends the call again after a pause. */
static void retry_later(run_end_t *end)
{
	unsigned doublings = MIN(end->calls - 1, MAX_RETRY_DOUBLINGS);

	alarm_set(&end->retry, clock_now(&end->relay->clock) +
				       ((int64_t)RETRY_US << doublings));
}

/* Returns whether an engine that has no such run will have none. */
static bool is_over(const run_end_t *end)
{
	int64_t now_us = clock_now(&end->relay->clock);

	return end->had_begun || now_us - end->begun_us >= QUEUED_US;
}

/* Concludes from the answer whether the run has ended: it has if the engine keeps its KV cache
 * now, has no such run, or is another process than the one that had it.
 */
static void take_answer(run_end_t *end)
{
	char *handle = NULL;

	if ((end->status == 404 && is_over(end)) || end->status == 421) {
		report(end, RUN_END_DONE, NULL, false);
		return;
	}
	if ((end->status == 200 || end->status == 503) &&
	    kv_handle_read(str_from_gstring(end->body), &handle)) {
		report(end, RUN_END_DONE, handle, end->status == 200);
		return;
	}
	retry_later(end);
}

/* Handles the end of a call. After one that was cut, the run may have ended or not. */
static void on_call_end(void *context, call_end_t call_end)
{
	run_end_t *end = context;

	end->call = NULL;
	end->answered |= call_end == CALL_ANSWERED;
	end->unsent_calls += call_end == CALL_NOT_SENT;
	end->cut_calls += call_end == CALL_LOST || call_end == CALL_MALFORMED;
	if (call_end == CALL_ANSWERED)
		take_answer(end);
	else if (end->unsent_calls >= MAX_UNSENT_CALLS ||
		 (end->cut_calls >= MAX_CUT_CALLS && !end->answered))
		report(end, RUN_END_UNREACHED, NULL, false);
	else
		retry_later(end);
}

static const call_handler_t handler = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_call_end,
};

/* Sends the call. It uses a connection of its own: on another one the copy of an earlier answer
 * could pass for the answer, as neither has an ID. False when it cannot be sent.
 */
static bool send_call(run_end_t *end)
{
	run_end_call_t call = {
		.address = end->server->entry.address,
		.server_id = str_from(end->server->entry.id),
		.request_id = end->request_id,
		.to_address = end->to_address,
	};
	http_call_options_t options = {
		.address = end->server->entry.address,
		.message = g_string_new(NULL),
		.new_connection = true,
		.max_body_bytes = MAX_BODY_BYTES,
		.handler = &handler,
		.context = end,
	};

	end->status = 0;
	g_string_truncate(end->body, 0);
	if (append_run_end_call((GString *)options.message, &call))
		end->call = http_pool_call(end->relay->pool, &options);
	g_string_free((GString *)options.message, TRUE);
	end->calls++;
	return end->call != NULL;
}

/* Sends the call once more. */
static void on_retry(void *context)
{
	run_end_t *end = context;

	if (!send_call(end))
		retry_later(end);
}

/* Gives up. */
static void on_deadline(void *context)
{
	run_end_t *end = context;

	report(end, end->answered ? RUN_END_FAILED : RUN_END_UNREACHED, NULL,
	       false);
}

/* Sets up an object that asks no engine yet. `on_end` may free it. */
void run_end_init(run_end_t *end, relay_t *relay, run_end_fn_t on_end,
		  void *context)
{
	memset(end, 0, sizeof(*end));
	end->relay = relay;
	end->body = g_string_new(NULL);
	end->on_end = on_end;
	end->context = context;
	alarm_init(&end->retry, relay->clock, on_retry, end);
	alarm_init(&end->deadline, relay->clock, on_deadline, end);
}

/* Asks an engine to end the run of a request and to copy its KV cache to another engine. `had_begun`
 * says that the engine had begun to answer the request. Calls on_end within 1.5 s, and never before
 * it returns. False, and on_end is not called, when the engine cannot be asked. The ID must outlive
 * the call.
 */
bool run_end_start(run_end_t *end, server_t *server, str_t request_id,
		   bool had_begun, const server_t *to)
{
	end->server = server_ref(server);
	end->request_id = request_id;
	end->to_address = g_strdup(to->entry.address);
	end->begun_us = clock_now(&end->relay->clock);
	end->calls = 0;
	end->cut_calls = 0;
	end->unsent_calls = 0;
	end->answered = false;
	end->had_begun = had_begun;
	if (!send_call(end)) {
		clear(end);
		return false;
	}
	alarm_set(&end->deadline, end->begun_us + LIMIT_US);
	return true;
}

/* Cancels a call in progress and frees what the object owns. */
void run_end_finish(run_end_t *end)
{
	clear(end);
	alarm_finish(&end->retry);
	alarm_finish(&end->deadline);
	g_string_free(end->body, TRUE);
}
