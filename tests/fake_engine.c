/* Fake model engine: the interface of section 6.2 of docs/design.md. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engine_work.h"
#include "process/clock.h"

static engine_t engine = {
	.options =
		{
			.kv_tokens = 60000,
			.cache_tokens = 40000,
			.max_prefills = 2,
			.max_queue = 8,
			.prefill_us_per_token = 100,
			.token_us = 25000,
			.kept_ms = 800,
			.hold_ms = 10000,
			.load_lag_ms = 200,
			.event_lag_ms = 200,
			.link_tokens_s = 200000,
			.piece_tokens = 2000,
			.seed = 1,
			.speed = 1,
		},
};

#define INT64_OPTION(name, field, help)                                      \
	{                                                                    \
		name, 0, 0, G_OPTION_ARG_INT64, &engine.options.field, help, \
			"N"                                                  \
	}

static const GOptionEntry option_entries[] = {
	{"listen", 0, 0, G_OPTION_ARG_STRING, &engine.options.listen,
	 "address; port 0 picks a free one", "IP:PORT"},
	{"role", 0, 0, G_OPTION_ARG_STRING, &engine.options.role,
	 "prefill or decode", "ROLE"},
	{"model", 0, 0, G_OPTION_ARG_STRING, &engine.options.model,
	 "the only model it serves (any)", "NAME"},
	{"record-file", 0, 0, G_OPTION_ARG_FILENAME,
	 &engine.options.record_file, "appends executions to a file", "PATH"},
	INT64_OPTION("kv-tokens", kv_tokens, "memory"),
	INT64_OPTION("cache-tokens", cache_tokens, "prefix cache"),
	INT64_OPTION("max-prefills", max_prefills, "prefills at a time"),
	INT64_OPTION("max-queue", max_queue, "prefills that wait"),
	INT64_OPTION("max-streams", max_streams, "streams in a step (0: all)"),
	INT64_OPTION("prefill-us-per-token", prefill_us_per_token, "cost"),
	INT64_OPTION("token-us", token_us, "decode step of one stream"),
	INT64_OPTION("kept-ms", kept_ms, "retention of a prefill result"),
	INT64_OPTION("hold-ms", hold_ms, "bound on unused decode memory"),
	INT64_OPTION("load-lag-ms", load_lag_ms, "age of load reports"),
	INT64_OPTION("event-lag-ms", event_lag_ms, "delay of cache events"),
	INT64_OPTION("link-tokens-s", link_tokens_s, "export rate, shared"),
	INT64_OPTION("piece-tokens", piece_tokens, "size of a piece"),
	INT64_OPTION("seed", seed, "for lost cache events"),
	{"event-loss", 0, 0, G_OPTION_ARG_DOUBLE, &engine.options.event_loss,
	 "share of lost cache events", "SHARE"},
	{"speed", 0, 0, G_OPTION_ARG_DOUBLE, &engine.options.speed,
	 "divides all modelled times except lags", "FACTOR"},
	{"check-fencing", 0, 0, G_OPTION_ARG_NONE,
	 &engine.options.check_fencing, "refuse stale fencing tokens", NULL},
	{"cancel-on-close", 0, 0, G_OPTION_ARG_NONE,
	 &engine.options.cancel_on_close,
	 "free memory when the caller's connection ends", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

typedef struct {
	SoupServerMessage *message;
	char *request;
	int64_t attempt;
} pending_cancel_t;

static void reply_cancel(SoupServerMessage *message, const char *request,
			 int64_t attempt)
{
	if (fake_fault_take(&engine.fake, "lose_cancel_answer"))
		fake_drop_connection(message);
	fake_reply(message, 200,
		   fake_json("held_tokens", "i",
			     work_held(&engine, request, attempt), NULL));
}

static gboolean on_cancel_due(gpointer user_data)
{
	pending_cancel_t *pending = user_data;

	work_cancel_all(&engine, pending->request, pending->attempt);
	g_free(pending->request);
	g_free(pending);
	return G_SOURCE_REMOVE;
}

/*
 * POST /v1/cancel. With fault `cancel_delay_ms` the memory is freed later and
 * the answer says that it is still held.
 */
static void handle_cancel(SoupServerMessage *message, JsonObject *body)
{
	const char *request = fake_get_string(body, "request");
	int64_t attempt = fake_get_int(body, "attempt", 0);
	double delay_ms = fake_fault_get(&engine.fake, "cancel_delay_ms");
	pending_cancel_t *pending;

	fake_execution_end(fake_execution_start(&engine.fake, "cancel", request,
						attempt),
			   "done");
	engine_note_cancel(&engine, request, attempt);
	if (delay_ms > 0) {
		pending = g_new0(pending_cancel_t, 1);
		pending->request = g_strdup(request);
		pending->attempt = attempt;
		g_timeout_add((guint)delay_ms, on_cancel_due, pending);
	} else {
		work_cancel_all(&engine, request, attempt);
	}
	reply_cancel(message, request, attempt);
}

static void set_text(char **field, JsonObject *body, const char *key)
{
	const char *text = fake_get_string(body, key);

	if (!*text)
		return;
	g_free(*field);
	*field = g_strdup(text);
}

/* POST /v1/orders: loads a model, adapter or version, or changes the role. */
static void handle_order(SoupServerMessage *message, JsonObject *body)
{
	int64_t fence = fake_get_int(body, "fence", 0);
	bool stale = fence < engine.fence;
	fake_execution_t *execution =
		fake_execution_start(&engine.fake, "order", "", 0);

	execution->details =
		fake_json("fence", "i", fence, "stale", "b", (int)stale, "role",
			  "s", fake_get_string(body, "role"), "model", "s",
			  fake_get_string(body, "model"), "adapter", "s",
			  fake_get_string(body, "adapter"), "version", "s",
			  fake_get_string(body, "version"), NULL);
	if (stale && engine.options.check_fencing) {
		execution->ran = false;
		fake_execution_end(execution, "stale-fence");
		fake_reply_error(message, 409, "stale-fence");
		return;
	}
	engine.fence = MAX(engine.fence, fence);
	set_text(&engine.role, body, "role");
	set_text(&engine.model, body, "model");
	set_text(&engine.adapter, body, "adapter");
	set_text(&engine.version, body, "version");
	fake_execution_end(execution, "done");
	if (fake_fault_take(&engine.fake, "lose_answer"))
		fake_drop_connection(message);
	fake_reply(message, 200, fake_json("applied", "b", 1, NULL));
}

static void handle_record(SoupServerMessage *message)
{
	GString *out = g_string_new(NULL);

	fake_append_record(&engine.fake, out);
	engine_append_held(&engine, out);
	fake_reply_text(message, 200, "application/x-ndjson", out->str,
			out->len);
	g_string_free(out, TRUE);
}

static gboolean on_crash(gpointer user_data)
{
	fake_crash(&engine.fake);
}

static void on_fault(const char *name, double value, void *context)
{
	if (!strcmp(name, "crash") && value != 0)
		g_idle_add(on_crash, NULL);
	if (!strcmp(name, "stall_streams") && value != 0)
		engine_stall_streams(&engine);
}

static void handle_cache_events(SoupServerMessage *message, GHashTable *query)
{
	const char *after = query ? g_hash_table_lookup(query, "after") : NULL;

	fake_reply(message, 200,
		   engine_cache_events(&engine.cache,
				       after ? strtoll(after, NULL, 10) : 0));
}

static void handle_get(SoupServerMessage *message, const char *path,
		       GHashTable *query)
{
	if (!strcmp(path, "/record"))
		handle_record(message);
	else if (fake_fault_take(&engine.fake, "refuse_load"))
		fake_reply_error(message, 503, "refused");
	else if (!strcmp(path, "/v1/load"))
		engine_reply_load(&engine, message);
	else if (!strcmp(path, "/v1/cache-events"))
		handle_cache_events(message, query);
	else
		fake_reply_error(message, 404, "no such path");
}

static void handle_post(SoupServerMessage *message, const char *path)
{
	JsonObject *body = fake_body(message);

	if (!body) {
		fake_reply_error(message, 400, "a JSON object is expected");
		return;
	}
	if (!strcmp(path, "/v1/prefill"))
		engine_prefill(&engine, message, body);
	else if (!strcmp(path, "/v1/kv/import"))
		engine_import(&engine, message, body);
	else if (!strcmp(path, "/v1/kv/export"))
		engine_export(&engine, message, body);
	else if (!strcmp(path, "/v1/decode"))
		engine_decode(&engine, message, body);
	else if (!strcmp(path, "/v1/cancel"))
		handle_cancel(message, body);
	else if (!strcmp(path, "/v1/orders"))
		handle_order(message, body);
	else
		fake_reply_error(message, 404, "no such path");
	json_object_unref(body);
}

static void handle(SoupServerMessage *message, const char *path,
		   GHashTable *query, void *context)
{
	if (!strcmp(path, "/fault") && fake_is_post(message))
		fake_reply_fault(&engine.fake, message, on_fault, NULL);
	else if (fake_is_get(message))
		handle_get(message, path, query);
	else if (fake_is_post(message))
		handle_post(message, path);
	else
		fake_reply_error(message, 405, "GET or POST is expected");
}

/* Imports need many connections at once, and none of them is retried. */
static SoupSession *make_session(void)
{
	return soup_session_new_with_options("max-conns", 1000,
					     "max-conns-per-host", 1000,
					     "timeout", 0, NULL);
}

int main(int argc, char **argv)
{
	engine_options_t *options = &engine.options;

	if (!fake_parse_options(argc, argv, option_entries))
		return 2;
	if (!options->listen || !options->role || options->speed <= 0 ||
	    options->link_tokens_s <= 0 || options->piece_tokens <= 0) {
		fprintf(stderr, "fake_engine: --listen and --role, and positive"
				" speed, link and piece size are expected\n");
		return 2;
	}
	engine.role = g_strdup(options->role);
	engine.model = g_strdup(options->model);
	engine.version = g_strdup("1");
	engine.cancelled =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	engine.session = make_session();
	engine_cache_init(&engine.cache, options->cache_tokens,
			  options->event_lag_ms * CLOCK_US_PER_MS,
			  options->event_loss, (uint32_t)options->seed);
	fake_init(&engine.fake);
	if (options->record_file &&
	    !fake_open_record_file(&engine.fake, options->record_file))
		return 1;
	engine_start_load(&engine);
	return fake_serve(&engine.fake, options->listen, handle, NULL) ? 0 : 1;
}
