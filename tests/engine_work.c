#include "engine_work.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include "process/clock.h"

/* Cancelled attempts that the engine remembers before it forgets the oldest. */
#define CANCELS_KEPT 100000

/* Real microseconds for a duration of the modelled engine. */
int64_t engine_scale_us(const engine_t *engine, int64_t model_us)
{
	double slow = fake_fault_get(&engine->fake, "slow_factor");

	if (slow <= 0)
		slow = 1;
	return (int64_t)((double)model_us * slow / engine->options.speed);
}

/* Adds a work that holds `tokens` of memory from now on. */
work_t *work_new(engine_t *engine, work_state_t state, JsonObject *body,
		 int64_t tokens)
{
	work_t *work = g_new0(work_t, 1);

	work->engine = engine;
	work->state = state;
	work->request = g_strdup(fake_get_string(body, "request"));
	work->attempt = fake_get_int(body, "attempt", 0);
	work->priority = fake_get_int(body, "priority", 0);
	work->held_tokens = tokens;
	engine->kv_used += tokens;
	engine->works = g_list_append(engine->works, work);
	return work;
}

static void clear_source(GSource **source)
{
	if (!*source)
		return;
	g_source_destroy(*source);
	g_source_unref(*source);
	*source = NULL;
}

/* Runs `callback` once after real microseconds, instead of an earlier timer. */
void work_set_timer(work_t *work, int64_t delay_us, GSourceFunc callback)
{
	int64_t ms = (delay_us + CLOCK_US_PER_MS - 1) / CLOCK_US_PER_MS;

	clear_source(&work->timer);
	work->timer = g_timeout_source_new((guint)MAX(ms, 0));
	g_source_set_callback(work->timer, callback, work, NULL);
	g_source_attach(work->timer, NULL);
}

static gboolean on_hold_end(gpointer user_data)
{
	work_release(user_data, "expired");
	return G_SOURCE_REMOVE;
}

/* Bounds how long memory stays held while nobody uses it. */
void work_hold(work_t *work)
{
	engine_t *engine = work->engine;
	int64_t hold_us = engine->options.hold_ms * CLOCK_US_PER_MS;

	work_set_timer(work, (int64_t)((double)hold_us / engine->options.speed),
		       on_hold_end);
}

/*
 * The caller's connection has ended. Unless --cancel-on-close is given, the
 * engine keeps the memory until a cancel or the end of its own bound.
 */
static void on_finished(SoupServerMessage *message, gpointer user_data)
{
	work_t *work = user_data;

	g_object_unref(work_take_message(work));
	if (work->engine->options.cancel_on_close)
		work_release(work, "caller-closed");
	else if (work->state == WORK_DECODING)
		work_hold(work);
}

static gboolean on_hangup(GSocket *socket, GIOCondition condition,
			  gpointer user_data)
{
	work_t *work = user_data;

	fake_drop_connection(work->message);
	work_release(work, "caller-closed");
	return G_SOURCE_REMOVE;
}

/* Keeps the call open until it is answered with work_answer(). */
void work_wait(work_t *work, SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);

	work->message = g_object_ref(message);
	work->finished_id = g_signal_connect(message, "finished",
					     G_CALLBACK(on_finished), work);
	soup_server_message_pause(message);
	if (!work->engine->options.cancel_on_close)
		return;
	work->watch = g_socket_create_source(
		socket, (GIOCondition)(G_IO_HUP | G_IO_ERR | POLLRDHUP), NULL);
	g_source_set_callback(work->watch, G_SOURCE_FUNC(on_hangup), work,
			      NULL);
	g_source_attach(work->watch, NULL);
}

/* Detaches the waiting call; the caller owns the reference. May be NULL. */
SoupServerMessage *work_take_message(work_t *work)
{
	SoupServerMessage *message = work->message;

	clear_source(&work->watch);
	if (message)
		g_signal_handler_disconnect(message, work->finished_id);
	work->message = NULL;
	return message;
}

/*
 * Answers the waiting call, if there still is one. When the counted fault
 * `fault` occurs, the connection is closed without the answer.
 */
void work_answer(work_t *work, unsigned status, JsonObject *object,
		 const char *fault)
{
	SoupServerMessage *message = work_take_message(work);

	if (!message) {
		json_object_unref(object);
		return;
	}
	if (fault && fake_fault_take(&work->engine->fake, fault))
		fake_drop_connection(message);
	fake_reply(message, status, object);
	soup_server_message_unpause(message);
	g_object_unref(message);
}

/* Ends an open event stream without its last event. */
static void cut_stream(work_t *work)
{
	SoupServerMessage *message = work_take_message(work);

	if (!message)
		return;
	fake_drop_connection(message);
	soup_message_body_complete(
		soup_server_message_get_response_body(message));
	soup_server_message_unpause(message);
	g_object_unref(message);
}

/* Frees the memory and everything else of a work. */
void work_release(work_t *work, const char *outcome)
{
	engine_t *engine = work->engine;
	work_state_t state = work->state;

	engine->works = g_list_remove(engine->works, work);
	engine->kv_used -= work->held_tokens;
	if (state == WORK_PREFILLING)
		engine_stop_prefill(work);
	if (state == WORK_QUEUED)
		work->execution->ran = false;
	clear_source(&work->timer);
	if (work->cancellable)
		g_cancellable_cancel(work->cancellable);
	g_clear_object(&work->cancellable);
	if (state == WORK_DECODING)
		cut_stream(work);
	else
		work_answer(work, 409, fake_json("error", "s", outcome, NULL),
			    NULL);
	if (work->execution)
		fake_execution_end(work->execution, outcome);
	if (work->delayed)
		g_string_free(work->delayed, TRUE);
	g_free(work->request);
	g_free(work->kv);
	g_free(work->hash);
	g_free(work->source);
	g_free(work->source_kv);
	g_free(work);
	if (state == WORK_PREFILLING)
		engine_start_queued(engine);
}

/* The work that holds a KV handle, or NULL. */
work_t *work_find(const engine_t *engine, const char *kv)
{
	for (GList *item = engine->works; item; item = item->next) {
		work_t *work = item->data;

		if (work->kv && !strcmp(work->kv, kv))
			return work;
	}
	return NULL;
}

/* Remembers that all attempts up to this one are cancelled. */
void engine_note_cancel(engine_t *engine, const char *request, int64_t attempt)
{
	int64_t *known = g_hash_table_lookup(engine->cancelled, request);

	if (known) {
		*known = MAX(*known, attempt);
		return;
	}
	known = g_new(int64_t, 1);
	*known = attempt;
	g_queue_push_tail(&engine->cancelled_order, g_strdup(request));
	g_hash_table_insert(engine->cancelled,
			    g_queue_peek_tail(&engine->cancelled_order), known);
	if (g_queue_get_length(&engine->cancelled_order) > CANCELS_KEPT) {
		char *oldest = g_queue_pop_head(&engine->cancelled_order);

		g_hash_table_remove(engine->cancelled, oldest);
		g_free(oldest);
	}
}

static bool is_cancelled(const engine_t *engine, const char *request,
			 int64_t attempt)
{
	const int64_t *known = g_hash_table_lookup(engine->cancelled, request);

	return known && attempt <= *known;
}

/* Records a call that was rejected before any work. */
static void reject(engine_t *engine, const char *kind, JsonObject *body,
		   SoupServerMessage *message, unsigned status,
		   const char *outcome)
{
	fake_execution_t *execution = fake_execution_start(
		&engine->fake, kind, fake_get_string(body, "request"),
		fake_get_int(body, "attempt", 0));

	execution->ran = false;
	fake_execution_end(execution, outcome);
	fake_reply_error(message, status, outcome);
}

/* The role that executes calls of a kind. */
static const char *role_of(const char *kind)
{
	return strcmp(kind, "prefill") == 0 ? "prefill" : "decode";
}

/*
 * Applies what can end any call before its work: faults, a role or model that
 * the engine doesn't have, and a cancel that came first. Returns true when the
 * call was answered here.
 */
bool work_is_refused(engine_t *engine, const char *kind, JsonObject *body,
		     SoupServerMessage *message)
{
	const char *model = fake_get_string(body, "model");
	char *crash = g_strdup_printf("crash_on_%s", kind);
	bool crashes = fake_fault_take(&engine->fake, crash);

	g_free(crash);
	if (crashes)
		fake_crash(&engine->fake);
	if (fake_fault_take(&engine->fake, "refuse"))
		reject(engine, kind, body, message, 503, "refused");
	else if (strcmp(engine->role, role_of(kind)) != 0)
		reject(engine, kind, body, message, 503, "wrong-role");
	else if (*model && engine->model && strcmp(model, engine->model) != 0)
		reject(engine, kind, body, message, 503, "wrong-model");
	else if (is_cancelled(engine, fake_get_string(body, "request"),
			      fake_get_int(body, "attempt", 0)))
		reject(engine, kind, body, message, 409, "cancelled");
	else
		return false;
	return true;
}

static bool is_covered(const work_t *work, const char *request, int64_t attempt)
{
	return !strcmp(work->request, request) && work->attempt <= attempt;
}

/* Releases whatever a request holds for attempts up to this one. */
void work_cancel_all(engine_t *engine, const char *request, int64_t attempt)
{
	GList *copy = g_list_copy(engine->works);

	for (GList *item = copy; item; item = item->next) {
		if (g_list_find(engine->works, item->data) &&
		    is_covered(item->data, request, attempt))
			work_release(item->data, "cancelled");
	}
	g_list_free(copy);
}

/* Tokens that a request holds for attempts up to this one. */
int64_t work_held(const engine_t *engine, const char *request, int64_t attempt)
{
	int64_t tokens = 0;

	for (GList *item = engine->works; item; item = item->next) {
		const work_t *work = item->data;

		if (is_covered(work, request, attempt))
			tokens += work->held_tokens;
	}
	return tokens;
}

/* Appends the record line of the memory that is held now. */
void engine_append_held(const engine_t *engine, GString *out)
{
	JsonArray *holders = json_array_new();
	JsonObject *line;
	char *text;

	for (GList *item = engine->works; item; item = item->next) {
		const work_t *work = item->data;

		json_array_add_object_element(
			holders,
			fake_json("request", "s", work->request, "attempt", "i",
				  work->attempt, "tokens", "i",
				  work->held_tokens, NULL));
	}
	line = fake_json("kind", "s", "held", "tokens", "i", engine->kv_used,
			 "holders", "a", holders, NULL);
	text = fake_json_text(line);
	g_string_append_printf(out, "%s\n", text);
	g_free(text);
	json_object_unref(line);
}
