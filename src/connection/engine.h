/* Calls to model engines (docs/design.md, section 6.2). */
#ifndef CONNECTION_ENGINE_H
#define CONNECTION_ENGINE_H

#include "connection/client.h"
#include "version/state.h"

typedef enum {
	ENGINE_OK,
	ENGINE_REFUSED, /* 503 before the work began: not run */
	ENGINE_GONE, /* 410: the prefill result is no longer retained */
	ENGINE_FULL, /* 507: no KV memory: not run */
	ENGINE_REJECTED, /* another 4xx or a malformed response */
	ENGINE_NOT_SENT, /* no connection: not run */
	ENGINE_LOST, /* connection failed: may have run */
	ENGINE_TIMED_OUT, /* nothing heard in time: may have run */
} engine_status_t;

/* Names one attempt of one request at an engine. */
typedef struct {
	str_t request; /* 32 hex digits */
	int attempt;
} engine_attempt_t;

typedef struct {
	engine_attempt_t id;
	str_t model;
	str_t adapter;
	str_t prompt;
	int64_t prompt_tokens;
	int priority;
} engine_prefill_t;

typedef struct {
	engine_attempt_t id;
	str_t source; /* IP:port of the prefill engine */
	str_t kv;
	int64_t tokens;
	int64_t reserve_tokens;
} engine_import_t;

typedef struct {
	engine_attempt_t id;
	str_t kv;
	int64_t offset; /* first token wanted */
	int64_t max_tokens;
	int priority;
} engine_decode_t;

/* Result of a prefill or an import. */
typedef struct {
	engine_status_t status;
	str_t kv; /* valid during the callback */
	int64_t tokens;
	int64_t cached_tokens;
	int64_t kept_ms;
} engine_result_t;

typedef struct {
	int64_t offset;
	str_t text; /* valid during the callback */
	str_t finish; /* empty until the end of the answer */
} engine_token_t;

typedef struct {
	engine_status_t status;
	role_t role;
	str_t model; /* valid during the callback */
	str_t version; /* valid during the callback */
	int64_t kv_total;
	int64_t kv_used;
	int64_t running;
	int64_t queued;
	int64_t age_ms; /* age of the report at the engine */
	bool leaving;
} engine_load_t;

typedef void (*engine_result_fn_t)(void *context,
				   const engine_result_t *result);
typedef void (*engine_token_fn_t)(void *context, const engine_token_t *token);
typedef void (*engine_end_fn_t)(void *context, engine_status_t status);
typedef void (*engine_load_fn_t)(void *context, const engine_load_t *load);
/* Change of an engine's prefix cache. */
typedef struct {
	uint64_t sequence;
	bool stored; /* otherwise evicted */
	uint64_t prefix; /* prefix ID */
} engine_cache_event_t;

/* Called for each event and then once with NULL and the end's status; `next`
 * is what to ask for next.
 */
typedef void (*engine_cache_fn_t)(void *context,
				  const engine_cache_event_t *event,
				  engine_status_t status, uint64_t next);

typedef void (*engine_cancel_fn_t)(void *context, engine_status_t status,
				   int64_t held_tokens);

typedef struct engine_call engine_call_t;

engine_call_t *engine_prefill(client_t *client, str_t address,
			      const engine_prefill_t *args, int64_t deadline_us,
			      engine_result_fn_t fn, void *context);
engine_call_t *engine_import(client_t *client, str_t address,
			     const engine_import_t *args, int64_t deadline_us,
			     engine_result_fn_t fn, void *context);
engine_call_t *engine_decode(client_t *client, str_t address,
			     const engine_decode_t *args, int64_t deadline_us,
			     int64_t idle_limit_us, engine_token_fn_t on_token,
			     engine_end_fn_t on_end, void *context);
engine_call_t *engine_cancel(client_t *client, str_t address,
			     const engine_attempt_t *id, int64_t deadline_us,
			     engine_cancel_fn_t fn, void *context);
engine_call_t *engine_fetch_load(client_t *client, str_t address,
				 int64_t deadline_us, engine_load_fn_t fn,
				 void *context);
engine_call_t *engine_fetch_cache_events(client_t *client, str_t address,
					 uint64_t after, int64_t deadline_us,
					 engine_cache_fn_t fn, void *context);
void engine_abort(engine_call_t *call);
const char *engine_status_text(engine_status_t status);

#endif
