#include <stdlib.h>
#include <string.h>

#include "engine_work.h"
#include "process/clock.h"

/* Each further stream adds this share of the single-stream step time. */
#define STEP_SHARE_PER_STREAM 0.01
/* After a pause of the process, missed steps beyond this are not made up. */
#define MAX_STEPS_BEHIND 50
/* A stream hit by fault `stall_new_streams` sends this many tokens first. */
#define TOKENS_BEFORE_STALL 3

static int64_t step_us(const engine_t *engine, unsigned n_streams)
{
	double model_us = (double)engine->options.token_us *
			  (1 + STEP_SHARE_PER_STREAM * (n_streams - 1.0));

	return MAX(engine_scale_us(engine, (int64_t)model_us), 1);
}

static void append_event(work_t *work, const char *data, size_t len)
{
	soup_message_body_append(
		soup_server_message_get_response_body(work->message),
		SOUP_MEMORY_COPY, data, len);
}

/* Sends a token, or repeats or swaps it when a fault says so. */
static void send_token(work_t *work)
{
	fake_t *fake = &work->engine->fake;
	GString *event = g_string_new(NULL);

	g_string_printf(event,
			"data: {\"offset\":%" G_GINT64_FORMAT
			",\"text\":\"%s:%" G_GINT64_FORMAT " \"}\n\n",
			work->offset, work->hash, work->offset);
	if (!work->delayed && fake_fault_take(fake, "reorder")) {
		work->delayed = event;
		return;
	}
	append_event(work, event->str, event->len);
	if (fake_fault_take(fake, "duplicate"))
		append_event(work, event->str, event->len);
	if (work->delayed) {
		append_event(work, work->delayed->str, work->delayed->len);
		g_string_free(work->delayed, TRUE);
		work->delayed = NULL;
	}
	g_string_free(event, TRUE);
}

static int64_t end_offset(const work_t *work)
{
	if (work->stop > 0)
		return MIN(work->stop, work->max_tokens);
	return work->max_tokens;
}

/* Sends the last event and frees the memory. */
static void finish_stream(work_t *work)
{
	SoupServerMessage *message;
	char last[96];

	if (work->delayed)
		append_event(work, work->delayed->str, work->delayed->len);
	g_snprintf(last, sizeof(last),
		   "data: {\"offset\":%" G_GINT64_FORMAT
		   ",\"finish\":\"stop\"}\n\n",
		   work->offset);
	append_event(work, last, strlen(last));
	message = work_take_message(work);
	if (fake_fault_take(&work->engine->fake, "lose_answer"))
		fake_drop_connection(message);
	soup_message_body_complete(
		soup_server_message_get_response_body(message));
	soup_server_message_unpause(message);
	g_object_unref(message);
	work_release(work, "done");
}

/* Produces one token of a stream. */
static void step_stream(work_t *work)
{
	fake_t *fake = &work->engine->fake;
	double crash = fake_fault_get(fake, "crash_after_tokens");

	if (work->stall_at && work->offset >= work->stall_at) {
		work->stalled = true;
		work_hold(work);
		return;
	}
	if (work->offset < end_offset(work)) {
		send_token(work);
		work->offset++;
		work->execution->tokens++;
		soup_server_message_unpause(work->message);
	}
	if (work->offset >= end_offset(work))
		finish_stream(work);
	if (crash > 0 && crash <= 1)
		fake_crash(fake);
	if (crash > 1)
		fake_fault_set(fake, "crash_after_tokens", crash - 1);
}

static gint by_priority(gconstpointer a, gconstpointer b)
{
	const work_t *first = a, *second = b;

	return (second->priority > first->priority) -
	       (second->priority < first->priority);
}

/* The streams that take part in the next step; the caller frees the list. */
static GList *active_streams(const engine_t *engine)
{
	GList *streams = NULL;
	int64_t limit = engine->options.max_streams;
	GList *rest;

	for (GList *item = engine->works; item; item = item->next) {
		work_t *work = item->data;

		if (work->state == WORK_DECODING && work->message &&
		    !work->stalled)
			streams = g_list_prepend(streams, work);
	}
	streams = g_list_sort(g_list_reverse(streams), by_priority);
	rest = limit > 0 ? g_list_nth(streams, (guint)limit) : NULL;
	if (rest && rest->prev) {
		rest->prev->next = NULL;
		rest->prev = NULL;
		g_list_free(rest);
	}
	return streams;
}

static gboolean on_step(gpointer user_data)
{
	engine_t *engine = user_data;
	int64_t now_us = fake_now_us();
	int64_t us = step_us(engine, 1);
	GList *streams = NULL;

	if (now_us - engine->next_step_us > MAX_STEPS_BEHIND * us)
		engine->next_step_us = now_us;
	do {
		g_list_free(streams);
		streams = active_streams(engine);
		if (!streams)
			break;
		us = step_us(engine, g_list_length(streams));
		if (engine->next_step_us > now_us)
			break;
		for (GList *item = streams; item; item = item->next)
			step_stream(item->data);
		engine->next_step_us += us;
	} while (true);
	g_source_unref(engine->step);
	engine->step = NULL;
	if (streams) {
		int64_t wait_us = engine->next_step_us - now_us;

		engine->step = g_timeout_source_new(
			(guint)((wait_us + CLOCK_US_PER_MS - 1) /
				CLOCK_US_PER_MS));
		g_source_set_callback(engine->step, on_step, engine, NULL);
		g_source_attach(engine->step, NULL);
	}
	g_list_free(streams);
	return G_SOURCE_REMOVE;
}

static void start_steps(engine_t *engine)
{
	if (engine->step)
		return;
	engine->next_step_us = fake_now_us() + step_us(engine, 1);
	engine->step = g_timeout_source_new(
		(guint)((step_us(engine, 1) + CLOCK_US_PER_MS - 1) /
			CLOCK_US_PER_MS));
	g_source_set_callback(engine->step, on_step, engine, NULL);
	g_source_attach(engine->step, NULL);
}

/* Ends the stream of an earlier attempt, whose memory the next one takes. */
static void supersede(work_t *work)
{
	SoupServerMessage *message = work_take_message(work);

	fake_execution_end(work->execution, "superseded");
	work->execution = NULL;
	if (work->delayed)
		g_string_free(work->delayed, TRUE);
	work->delayed = NULL;
	if (!message)
		return;
	fake_drop_connection(message);
	soup_message_body_complete(
		soup_server_message_get_response_body(message));
	soup_server_message_unpause(message);
	g_object_unref(message);
}

/* Why a decode call can't start on a work, or NULL. */
static const char *decode_error(const work_t *work, JsonObject *body,
				unsigned *status)
{
	int64_t attempt = fake_get_int(body, "attempt", 0);

	*status = 410;
	if (!work ||
	    (work->state != WORK_IMPORTED && work->state != WORK_DECODING))
		return "gone";
	*status = 409;
	if (strcmp(work->request, fake_get_string(body, "request")) != 0)
		return "other-request";
	if (attempt < work->attempt)
		return "stale-attempt";
	if (attempt == work->attempt && work->state == WORK_DECODING)
		return "already-decoding";
	return NULL;
}

/* POST /v1/decode: a new stream from `offset` on. */
void engine_decode(engine_t *engine, SoupServerMessage *message,
		   JsonObject *body)
{
	work_t *work = work_find(engine, fake_get_string(body, "kv"));
	SoupMessageHeaders *headers;
	const char *error;
	unsigned status;

	if (work_is_refused(engine, "decode", body, message))
		return;
	error = decode_error(work, body, &status);
	if (error) {
		fake_reply_error(message, status, error);
		return;
	}
	if (work->state == WORK_DECODING)
		supersede(work);
	if (work->timer) {
		g_source_destroy(work->timer);
		g_clear_pointer(&work->timer, g_source_unref);
	}
	work->state = WORK_DECODING;
	work->attempt = fake_get_int(body, "attempt", 0);
	work->priority = fake_get_int(body, "priority", 0);
	work->offset = MAX(fake_get_int(body, "offset", 0), 0);
	work->max_tokens = fake_get_int(body, "max_tokens", 1);
	work->stalled = false;
	work->stall_at = 0;
	if (fake_fault_take(&engine->fake, "stall_new_streams"))
		work->stall_at = work->offset + TOKENS_BEFORE_STALL;
	work->execution = fake_execution_start(&engine->fake, "decode",
					       work->request, work->attempt);
	work->execution->details =
		fake_json("offset", "i", work->offset, "max_tokens", "i",
			  work->max_tokens, "hash", "s", work->hash, NULL);
	soup_server_message_set_status(message, 200, NULL);
	headers = soup_server_message_get_response_headers(message);
	soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
	soup_message_headers_replace(headers, "Content-Type",
				     "text/event-stream");
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(message), FALSE);
	work_wait(work, message);
	soup_server_message_unpause(message);
	start_steps(engine);
}

/* Existing streams go silent; their connections stay open. */
void engine_stall_streams(engine_t *engine)
{
	for (GList *item = engine->works; item; item = item->next) {
		work_t *work = item->data;

		if (work->state != WORK_DECODING)
			continue;
		work->stalled = true;
		work_hold(work);
	}
}
