#include <stdlib.h>
#include <string.h>

#include "engine_work.h"
#include "process/clock.h"

static void fetch_piece(work_t *work);

/* The KV cache has arrived whole. */
static void finish_import(work_t *work)
{
	work->state = WORK_IMPORTED;
	work->execution->tokens = work->prompt_tokens;
	fake_execution_end(work->execution, "done");
	work->execution = NULL;
	work_hold(work);
	work_answer(work, 200, fake_json("kv", "s", work->kv, NULL),
		    "lose_answer");
}

/* Ends an import whose source can't deliver. */
static void fail_import(work_t *work, unsigned status)
{
	const char *outcome = status == 410 ? "gone" : "failed";

	work_answer(work, status, fake_json("error", "s", outcome, NULL), NULL);
	work_release(work, outcome);
}

static void on_piece(GObject *source, GAsyncResult *result, gpointer user_data)
{
	SoupSession *session = SOUP_SESSION(source);
	SoupMessage *message =
		soup_session_get_async_result_message(session, result);
	unsigned status = soup_message_get_status(message);
	GError *error = NULL;
	GBytes *bytes =
		soup_session_send_and_read_finish(session, result, &error);
	bool cancelled =
		g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED);
	work_t *work = user_data;
	int64_t size;

	g_clear_error(&error);
	if (bytes)
		g_bytes_unref(bytes);
	/* A cancelled import's work has been freed. */
	if (cancelled)
		return;
	if (!bytes || status != 200) {
		fail_import(work, bytes && status == 410 ? 410 : 502);
		return;
	}
	size = work->engine->options.piece_tokens;
	work->piece++;
	work->execution->tokens = MIN(work->piece * size, work->prompt_tokens);
	if (work->piece * size >= work->prompt_tokens)
		finish_import(work);
	else
		fetch_piece(work);
}

static void fetch_piece(work_t *work)
{
	char *uri = g_strdup_printf("http://%s/v1/kv/export", work->source);
	SoupMessage *message = soup_message_new("POST", uri);
	JsonObject *body = fake_json("request", "s", work->request, "kv", "s",
				     work->source_kv, "piece", "i", work->piece,
				     NULL);
	char *text = fake_json_text(body);
	GBytes *bytes = g_bytes_new_take(text, strlen(text));

	soup_message_set_request_body_from_bytes(message, "application/json",
						 bytes);
	soup_session_send_and_read_async(work->engine->session, message,
					 G_PRIORITY_DEFAULT, work->cancellable,
					 on_piece, work);
	g_object_unref(message);
	g_bytes_unref(bytes);
	json_object_unref(body);
	g_free(uri);
}

static gboolean on_import_bound(gpointer user_data)
{
	work_release(user_data, "expired");
	return G_SOURCE_REMOVE;
}

/* Takes the prompt hash and the output length out of the source's handle. */
static void read_handle(work_t *work)
{
	engine_t *engine = work->engine;
	char **parts = g_strsplit(work->source_kv, ".", 4);
	unsigned n = g_strv_length(parts);

	work->hash = g_strdup(n > 0 ? parts[0] : "");
	work->stop = n > 1 ? strtoll(parts[1], NULL, 10) : 0;
	work->kv = g_strdup_printf("%s.%" G_GINT64_FORMAT ".%" G_GINT64_FORMAT
				   ".%08x",
				   work->hash, work->stop, ++engine->next_kv,
				   g_random_int());
	g_strfreev(parts);
}

/*
 * POST /v1/kv/import. `reserve_tokens` is the whole reservation, prompt and
 * output together, and is held from the start of the transfer.
 */
void engine_import(engine_t *engine, SoupServerMessage *message,
		   JsonObject *body)
{
	int64_t tokens = fake_get_int(body, "tokens", 0);
	int64_t reserve = fake_get_int(body, "reserve_tokens", 0);
	const char *source = fake_get_string(body, "source");
	GUri *uri;
	char *text;
	work_t *work;

	reserve = MAX(reserve, tokens);
	text = g_strdup_printf("http://%s/", source);
	uri = g_uri_parse(text, SOUP_HTTP_URI_FLAGS, NULL);
	g_free(text);
	if (!uri || !*source || tokens <= 0) {
		g_clear_pointer(&uri, g_uri_unref);
		fake_reply_error(message, 400, "source and tokens expected");
		return;
	}
	g_uri_unref(uri);
	if (work_is_refused(engine, "import", body, message))
		return;
	work = work_new(engine, WORK_IMPORTING, body, reserve);
	work->prompt_tokens = tokens;
	work->source = g_strdup(source);
	work->source_kv = g_strdup(fake_get_string(body, "kv"));
	read_handle(work);
	work->execution = fake_execution_start(&engine->fake, "import",
					       work->request, work->attempt);
	work_wait(work, message);
	if (engine->kv_used > engine->options.kv_tokens ||
	    fake_fault_take(&engine->fake, "memory_full")) {
		work->execution->ran = false;
		work_answer(work, 507, fake_json("error", "s", "full", NULL),
			    NULL);
		work_release(work, "full");
		return;
	}
	work->cancellable = g_cancellable_new();
	work_set_timer(
		work,
		(int64_t)((double)(engine->options.hold_ms * CLOCK_US_PER_MS) /
			  engine->options.speed),
		on_import_bound);
	if (!fake_fault_take(&engine->fake, "stall_transfers"))
		fetch_piece(work);
}
