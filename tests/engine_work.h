/* State of the fake engine: works hold KV memory from arrival to release. */
#ifndef ENGINE_WORK_H
#define ENGINE_WORK_H

#include "engine_cache.h"
#include "shared_fake.h"

typedef enum {
	WORK_QUEUED, /* prefill that waits for a lane */
	WORK_PREFILLING,
	WORK_KEPT, /* prefill result, until its retention ends */
	WORK_IMPORTING,
	WORK_IMPORTED,
	WORK_DECODING,
} work_state_t;

typedef struct {
	char *listen;
	char *role;
	char *model; /* NULL: any */
	char *record_file; /* NULL: none */
	int64_t kv_tokens;
	int64_t cache_tokens;
	int64_t max_prefills;
	int64_t max_queue;
	int64_t max_streams; /* streams in a decode step; 0: all */
	int64_t prefill_us_per_token;
	int64_t token_us;
	int64_t kept_ms;
	int64_t hold_ms;
	int64_t load_lag_ms;
	int64_t event_lag_ms;
	double event_loss;
	int64_t link_tokens_s;
	int64_t piece_tokens;
	int64_t seed;
	gboolean check_fencing;
	gboolean cancel_on_close;
	double speed;
} engine_options_t;

typedef struct {
	fake_t fake;
	engine_options_t options;
	engine_cache_t cache;
	SoupSession *session; /* imports */
	GList *works; /* of work_t, in order of arrival */
	int64_t kv_used;
	int64_t next_kv;
	GHashTable *cancelled; /* request to highest cancelled attempt */
	GQueue cancelled_order; /* keys of `cancelled`, oldest first */
	int64_t link_free_us; /* when the export link is idle again */
	GSource *step; /* decode step timer, NULL when nothing decodes */
	int64_t next_step_us;
	GQueue loads; /* of load_sample_t, oldest first */
	char *role;
	char *model;
	char *adapter;
	char *version;
	int64_t fence; /* highest fencing token seen */
} engine_t;

typedef struct {
	engine_t *engine;
	work_state_t state;
	char *request;
	int64_t attempt;
	int64_t priority;
	char *kv; /* handle: PROMPTHASH.STOP.NUMBER.RANDOM */
	char *hash; /* of the prompt */
	int64_t stop; /* number of output tokens, 0: up to max_tokens */
	int64_t prompt_tokens;
	int64_t cached_tokens;
	int64_t held_tokens;
	SoupServerMessage *message; /* waiting call, or NULL */
	gulong finished_id;
	GSource *watch; /* caller's connection, with --cancel-on-close */
	GSource *timer;
	GCancellable *cancellable; /* import */
	char *source; /* import: IP:port */
	char *source_kv;
	int64_t piece;
	int64_t prefill_start_us;
	int64_t prefill_cost_us;
	int64_t offset; /* next output token */
	int64_t max_tokens;
	bool stalled; /* its stream produces nothing any more */
	int64_t stall_at; /* goes silent at this offset; 0: never */
	GString *delayed; /* token event held back by fault `reorder` */
	fake_execution_t *execution; /* the running one, or NULL */
} work_t;

/* Memory and lifetime: engine_work.c */
work_t *work_new(engine_t *engine, work_state_t state, JsonObject *body,
		 int64_t tokens);
void work_wait(work_t *work, SoupServerMessage *message);
SoupServerMessage *work_take_message(work_t *work);
void work_answer(work_t *work, unsigned status, JsonObject *object,
		 const char *fault);
void work_set_timer(work_t *work, int64_t delay_us, GSourceFunc callback);
void work_hold(work_t *work);
void work_release(work_t *work, const char *outcome);
work_t *work_find(const engine_t *engine, const char *kv);
bool work_is_refused(engine_t *engine, const char *kind, JsonObject *body,
		     SoupServerMessage *message);
void work_cancel_all(engine_t *engine, const char *request, int64_t attempt);
int64_t work_held(const engine_t *engine, const char *request, int64_t attempt);
void engine_note_cancel(engine_t *engine, const char *request, int64_t attempt);
int64_t engine_scale_us(const engine_t *engine, int64_t model_us);
void engine_append_held(const engine_t *engine, GString *out);

/* Prefill and export: engine_prefill.c */
void engine_prefill(engine_t *engine, SoupServerMessage *message,
		    JsonObject *body);
void engine_export(engine_t *engine, SoupServerMessage *message,
		   JsonObject *body);
void engine_stop_prefill(work_t *work);
void engine_start_queued(engine_t *engine);

/* Import: engine_import.c */
void engine_import(engine_t *engine, SoupServerMessage *message,
		   JsonObject *body);

/* Decode: engine_decode.c */
void engine_decode(engine_t *engine, SoupServerMessage *message,
		   JsonObject *body);
void engine_stall_streams(engine_t *engine);

/* Load reports: engine_load.c */
void engine_start_load(engine_t *engine);
void engine_reply_load(engine_t *engine, SoupServerMessage *message);

#endif
