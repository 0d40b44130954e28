#include <string.h>

#include "engine_work.h"
#include "process/clock.h"

/* How often the load is sampled, so that a report can be as old as asked. */
#define SAMPLE_MS 20

typedef struct {
	int64_t at_us;
	int64_t kv_used;
	int64_t running;
	int64_t queued;
} load_sample_t;

static load_sample_t *sample(const engine_t *engine)
{
	load_sample_t *load = g_new0(load_sample_t, 1);

	load->at_us = fake_now_us();
	load->kv_used = engine->kv_used;
	for (GList *item = engine->works; item; item = item->next) {
		const work_t *work = item->data;

		load->queued += work->state == WORK_QUEUED;
		load->running += work->state == WORK_PREFILLING ||
				 work->state == WORK_DECODING;
	}
	return load;
}

/* Drops samples until the oldest left is the newest that is lag old. */
static gboolean on_sample(gpointer user_data)
{
	engine_t *engine = user_data;
	int64_t lag_us = engine->options.load_lag_ms * CLOCK_US_PER_MS;
	int64_t visible_us;

	g_queue_push_tail(&engine->loads, sample(engine));
	visible_us = fake_now_us() - lag_us;
	while (g_queue_get_length(&engine->loads) > 1) {
		const load_sample_t *second =
			g_queue_peek_nth(&engine->loads, 1);

		if (second->at_us > visible_us)
			break;
		g_free(g_queue_pop_head(&engine->loads));
	}
	return G_SOURCE_CONTINUE;
}

void engine_start_load(engine_t *engine)
{
	g_queue_init(&engine->loads);
	on_sample(engine);
	if (engine->options.load_lag_ms > 0)
		g_timeout_add(SAMPLE_MS, on_sample, engine);
}

/* GET /v1/load */
void engine_reply_load(engine_t *engine, SoupServerMessage *message)
{
	bool leaving = fake_fault_get(&engine->fake, "leaving") != 0;
	const load_sample_t *load;

	if (engine->options.load_lag_ms == 0)
		on_sample(engine);
	load = g_queue_peek_head(&engine->loads);
	fake_reply(message, 200,
		   fake_json("role", "s", engine->role, "model", "s",
			     engine->model ? engine->model : "", "adapter", "s",
			     engine->adapter ? engine->adapter : "", "version",
			     "s", engine->version, "kv_total", "i",
			     engine->options.kv_tokens, "kv_used", "i",
			     load->kv_used, "running", "i", load->running,
			     "queued", "i", load->queued, "age_ms", "i",
			     (fake_now_us() - load->at_us) / CLOCK_US_PER_MS,
			     "leaving", "b", (int)leaving, NULL));
}
