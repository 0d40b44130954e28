#include "process/entry/store.h"

#include "names.h"
#include "store_call.h"

/* Largest body of an answer. The store puts 1 MB of rows into one. */
#define MAX_BODY_BYTES ((size_t)8 << 20)

/* Ends a call. `done` may send the next one at once, so the call is reset
 * before.
 */
static void end(store_call_t *call, store_result_t result)
{
	call->http_call = NULL;
	alarm_set(&call->deadline, -1);
	call->done(call->context, result, str_from_gstring(call->body));
}

/* Keeps the status of the answer. */
static void on_head(void *context, const http_head_t *head)
{
	store_call_t *call = context;

	call->status = head->status;
	call->era = store_era_read(head);
}

/* Keeps the body of the answer. */
static void on_body(void *context, const char *data, size_t len)
{
	store_call_t *call = context;

	g_string_append_len(call->body, data, (gssize)len);
}

/* Returns what the store's answer means, by its HTTP status. */
static store_result_t result_of(unsigned status)
{
	if (status == 200)
		return STORE_OK;
	if (status == 410)
		return STORE_HISTORY_GONE;
	return STORE_NOT_DONE;
}

/* Ends a call with the result that its answer or failure means. */
static void on_end(void *context, call_end_t reason)
{
	store_call_t *call = context;

	if (reason == CALL_ANSWERED)
		end(call, result_of(call->status));
	else if (reason == CALL_NOT_SENT)
		end(call, STORE_NOT_DONE);
	else
		end(call, STORE_OUTCOME_UNKNOWN);
}

static const call_handler_t handler = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

/* Cancels a call at its deadline. Whether it took effect is unknown. */
static void on_deadline(void *context)
{
	store_call_t *call = context;

	if (call->http_call)
		http_call_cancel(call->http_call);
	end(call, STORE_OUTCOME_UNKNOWN);
}

/* Sets up a call that is not in progress. */
void store_call_init(store_call_t *call, http_pool_t *pool)
{
	*call = (store_call_t){.pool = pool, .body = g_string_new(NULL)};
	alarm_init(&call->deadline, pool->clock, on_deadline, call);
}

/* Cancels a call in progress and frees what it owns. */
void store_call_finish(store_call_t *call)
{
	store_call_cancel(call);
	alarm_finish(&call->deadline);
	g_string_free(call->body, TRUE);
}

/*
 * Sends a request. No call may be in progress. `done` is called in a later turn
 * of the main loop, at `deadline_us` at the latest; `address` and `message` are
 * not used after the return.
 */
void store_call_send(store_call_t *call, const char *address,
		     const GString *message, int64_t deadline_us,
		     store_done_fn_t done, void *context)
{
	http_call_options_t options = {
		.address = address,
		.message = message,
		.max_body_bytes = MAX_BODY_BYTES,
		.handler = &handler,
		.context = call,
	};

	call->done = done;
	call->context = context;
	call->status = 0;
	call->era = 0;
	g_string_truncate(call->body, 0);
	call->http_call = http_pool_call(call->pool, &options);
	/* If no connection could be made, on_deadline() reports the failure, as
	 * STORE_OUTCOME_UNKNOWN although nothing was sent.
	 */
	alarm_set(&call->deadline, deadline_us);
}

/* Writes a row of this project's own table if it has the given version; 0 means that it does not
 * exist. Otherwise as store_call_send().
 */
void store_call_put_own(store_call_t *call, const char *address,
			const char *key, str_t value, int64_t row_version,
			int64_t deadline_us, store_done_fn_t done,
			void *context)
{
	GString *message = g_string_new(NULL);

	store_append_put_if(message, address, TABLE_ROUTER, key, value,
			    row_version);
	store_call_send(call, address, message, deadline_us, done, context);
	g_string_free(message, TRUE);
}

/* Removes such a row if it has the given version. */
void store_call_remove_own(store_call_t *call, const char *address,
			   const char *key, int64_t row_version,
			   int64_t deadline_us, store_done_fn_t done,
			   void *context)
{
	GString *message = g_string_new(NULL);

	store_append_remove_if(message, address, TABLE_ROUTER, key,
			       row_version);
	store_call_send(call, address, message, deadline_us, done, context);
	g_string_free(message, TRUE);
}

/* Cancels a call in progress, if any; `done` is not called. */
void store_call_cancel(store_call_t *call)
{
	if (call->http_call)
		http_call_cancel(call->http_call);
	call->http_call = NULL;
	alarm_set(&call->deadline, -1);
}

/* Returns whether a call is in progress. */
bool store_call_is_busy(const store_call_t *call)
{
	return call->deadline.at_us >= 0;
}
