#include <stdlib.h>
#include <string.h>

#include "engine_work.h"
#include "process/clock.h"

/* Hex digits of a prompt's hash in handles and token texts. */
#define PROMPT_HASH_DIGITS 12
/* A prompt's word "output:N" makes its response end after N tokens. */
#define STOP_WORD "output:"

/* Splits at white space; the caller frees with g_strfreev(). */
static char **split_words(const char *prompt, int64_t *n_words)
{
	char **parts = g_strsplit_set(prompt, " \t\r\n", -1);
	int64_t n = 0;

	for (int64_t i = 0; parts[i]; i++) {
		if (parts[i][0])
			parts[n++] = parts[i];
		else
			g_free(parts[i]);
	}
	parts[n] = NULL;
	*n_words = n;
	return parts;
}

static int64_t stop_of(char **words)
{
	for (int64_t i = 0; words[i]; i++) {
		if (g_str_has_prefix(words[i], STOP_WORD))
			return strtoll(words[i] + strlen(STOP_WORD), NULL, 10);
	}
	return 0;
}

static int64_t count_state(const engine_t *engine, work_state_t state)
{
	int64_t n = 0;

	for (GList *item = engine->works; item; item = item->next)
		n += ((const work_t *)item->data)->state == state;
	return n;
}

static gboolean on_kept_end(gpointer user_data)
{
	work_release(user_data, "expired");
	return G_SOURCE_REMOVE;
}

/* The result is computed: it is retained for a short time only. */
static gboolean on_prefill_done(gpointer user_data)
{
	work_t *work = user_data;
	engine_t *engine = work->engine;
	int64_t kept_us = engine->options.kept_ms * CLOCK_US_PER_MS;
	int64_t real_us = (int64_t)((double)kept_us / engine->options.speed);

	work->state = WORK_KEPT;
	work->execution->tokens = work->prompt_tokens - work->cached_tokens;
	fake_execution_end(work->execution, "done");
	work->execution = NULL;
	work_set_timer(work, real_us, on_kept_end);
	work_answer(work, 200,
		    fake_json("kv", "s", work->kv, "tokens", "i",
			      work->prompt_tokens, "cached_tokens", "i",
			      work->cached_tokens, "kept_ms", "i",
			      real_us / CLOCK_US_PER_MS, NULL),
		    "lose_answer");
	engine_start_queued(engine);
	return G_SOURCE_REMOVE;
}

/*
 * Starts a queued prefill. With fault `stall_prefills` it computes without an
 * end and occupies its lane until a cancel or the end of the engine's bound.
 */
static void start_prefill(work_t *work)
{
	engine_t *engine = work->engine;
	int64_t computed = work->prompt_tokens - work->cached_tokens;

	work->state = WORK_PREFILLING;
	work->prefill_start_us = fake_now_us();
	work->prefill_cost_us = engine_scale_us(
		engine, computed * engine->options.prefill_us_per_token);
	if (fake_fault_take(&engine->fake, "stall_prefills"))
		work_hold(work);
	else
		work_set_timer(work, work->prefill_cost_us, on_prefill_done);
}

/* Counts what a prefill has computed when it ends early. */
void engine_stop_prefill(work_t *work)
{
	int64_t spent_us = fake_now_us() - work->prefill_start_us;
	int64_t computed = work->prompt_tokens - work->cached_tokens;

	if (spent_us < work->prefill_cost_us)
		computed = computed * spent_us / work->prefill_cost_us;
	work->execution->tokens = computed;
}

/* Fills free lanes by priority, then by order of arrival. */
void engine_start_queued(engine_t *engine)
{
	while (count_state(engine, WORK_PREFILLING) <
	       engine->options.max_prefills) {
		work_t *next = NULL;

		for (GList *item = engine->works; item; item = item->next) {
			work_t *work = item->data;

			if (work->state == WORK_QUEUED &&
			    (!next || work->priority > next->priority))
				next = work;
		}
		if (!next)
			return;
		start_prefill(next);
	}
}

static char *prompt_hash(const char *prompt)
{
	char *sum =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, prompt, -1);

	sum[PROMPT_HASH_DIGITS] = '\0';
	return sum;
}

/* Counts free lanes and places in the queue. */
static bool has_room(engine_t *engine, int64_t tokens)
{
	int64_t waiting = count_state(engine, WORK_QUEUED) +
			  count_state(engine, WORK_PREFILLING);

	if (fake_fault_take(&engine->fake, "memory_full"))
		return false;
	return waiting < engine->options.max_prefills +
				 engine->options.max_queue &&
	       engine->kv_used + tokens <= engine->options.kv_tokens;
}

static void reject_full(engine_t *engine, SoupServerMessage *message,
			JsonObject *body)
{
	fake_execution_t *execution = fake_execution_start(
		&engine->fake, "prefill", fake_get_string(body, "request"),
		fake_get_int(body, "attempt", 0));

	execution->ran = false;
	fake_execution_end(execution, "full");
	fake_reply_error(message, 503, "full");
}

/* POST /v1/prefill */
void engine_prefill(engine_t *engine, SoupServerMessage *message,
		    JsonObject *body)
{
	const char *prompt = fake_get_string(body, "prompt");
	int64_t n_words;
	char **words;
	work_t *work;

	if (work_is_refused(engine, "prefill", body, message))
		return;
	words = split_words(prompt, &n_words);
	if (!has_room(engine, n_words)) {
		reject_full(engine, message, body);
		g_strfreev(words);
		return;
	}
	work = work_new(engine, WORK_QUEUED, body, n_words);
	work->hash = prompt_hash(prompt);
	work->stop = stop_of(words);
	work->prompt_tokens = n_words;
	work->cached_tokens = engine_cache_use(&engine->cache, words, n_words);
	work->kv = g_strdup_printf("%s.%" G_GINT64_FORMAT ".%" G_GINT64_FORMAT
				   ".%08x",
				   work->hash, work->stop, ++engine->next_kv,
				   g_random_int());
	work->execution = fake_execution_start(&engine->fake, "prefill",
					       work->request, work->attempt);
	work->execution->details =
		fake_json("prompt_tokens", "i", n_words, "cached_tokens", "i",
			  work->cached_tokens, "hash", "s", work->hash, NULL);
	g_strfreev(words);
	work_wait(work, message);
	engine_start_queued(engine);
}

typedef struct {
	SoupServerMessage *message;
	fake_execution_t *execution;
	size_t bytes;
} export_t;

static gboolean on_piece_sent(gpointer user_data)
{
	export_t *export = user_data;
	char *piece = g_malloc0(export->bytes);

	fake_execution_end(export->execution, "done");
	fake_reply_text(export->message, 200, "application/octet-stream", piece,
			export->bytes);
	soup_server_message_unpause(export->message);
	g_object_unref(export->message);
	g_free(piece);
	g_free(export);
	return G_SOURCE_REMOVE;
}

/*
 * Sends a piece over the shared link, which serves pieces one after the
 * other. A stalled piece uses its share of the link too.
 */
static void send_piece(engine_t *engine, SoupServerMessage *message,
		       JsonObject *body, int64_t tokens)
{
	int64_t cost_us =
		tokens * CLOCK_US_PER_S / engine->options.link_tokens_s;
	int64_t now_us = fake_now_us();
	fake_execution_t *execution;
	export_t *export;

	engine->link_free_us = MAX(engine->link_free_us, now_us) +
			       engine_scale_us(engine, cost_us);
	execution = fake_execution_start(&engine->fake, "export",
					 fake_get_string(body, "request"), 0);
	execution->tokens = tokens;
	soup_server_message_pause(message);
	if (fake_fault_take(&engine->fake, "stall_transfers")) {
		fake_execution_end(execution, "stalled");
		return;
	}
	export = g_new0(export_t, 1);
	export->message = g_object_ref(message);
	export->execution = execution;
	export->bytes = (size_t)tokens;
	g_timeout_add(
		(guint)((engine->link_free_us - now_us + CLOCK_US_PER_MS - 1) /
			CLOCK_US_PER_MS),
		on_piece_sent, export);
}

/*
 * POST /v1/kv/export: one piece. A retained result that ends while its piece
 * is under way answers 410 from the next piece on.
 */
void engine_export(engine_t *engine, SoupServerMessage *message,
		   JsonObject *body)
{
	const work_t *work = work_find(engine, fake_get_string(body, "kv"));
	int64_t piece = fake_get_int(body, "piece", 0);
	int64_t size = engine->options.piece_tokens;

	if (fake_fault_take(&engine->fake, "refuse"))
		fake_reply_error(message, 503, "refused");
	else if (!work || work->state != WORK_KEPT || piece < 0 ||
		 piece * size >= MAX(work->prompt_tokens, 1))
		fake_reply_error(message, 410, "gone");
	else
		send_piece(engine, message, body,
			   MIN(size, work->prompt_tokens - piece * size));
}
