/* Client for the HTTP calls of model engines (docs/design.md, section 6.2). */
#ifndef CONNECTION_ENGINE_H
#define CONNECTION_ENGINE_H

#include "connection/client.h"
#include "version/state.h"

/* How a call ended. Each status says whether the work may have run, which
 * decides whether it may be repeated elsewhere.
 */
typedef enum {
	ENGINE_OK,
	ENGINE_REFUSED, /* 503 before the work began: not run */
	ENGINE_GONE, /* 410, the engine has dropped the prefill result */
	ENGINE_FULL, /* 507, no free KV cache memory: not run */
	ENGINE_REJECTED, /* another 4xx or a malformed response */
	ENGINE_NOT_SENT, /* no connection: not run */
	ENGINE_LOST, /* connection failed: may have run */
	ENGINE_TIMED_OUT, /* deadline or idle limit passed: may have run */
} engine_status_t;

/* Identifies one attempt of one request at an engine. */
typedef struct {
	str_t request; /* 32 hex digits */
	int attempt; /* an engine_cancel() covers all lower ones too */
} engine_attempt_t;

/* Arguments of a prefill. */
typedef struct {
	engine_attempt_t id;
	str_t model;
	str_t adapter;
	str_t prompt;
	int64_t prompt_tokens;
	int priority;
} engine_prefill_t;

/* Arguments of the import of a KV cache into a decode engine. */
typedef struct {
	engine_attempt_t id;
	str_t source; /* IP:port of the prefill engine */
	str_t kv; /* handle of the prefill result */
	int64_t tokens; /* in the prefill result */
	int64_t reserve_tokens; /* KV cache to reserve for the decode */
} engine_import_t;

/* Arguments of a decode. */
typedef struct {
	engine_attempt_t id;
	str_t kv; /* handle of the imported KV cache */
	int64_t offset; /* first token wanted */
	int64_t max_tokens;
	int priority;
} engine_decode_t;

/* Result of a prefill or an import. */
typedef struct {
	engine_status_t status;
	str_t kv; /* handle; valid during the callback */
	int64_t tokens; /* in the KV cache */
	int64_t cached_tokens; /* of these, from the engine's prefix cache */
	int64_t kept_ms; /* how long the engine keeps the KV cache */
} engine_result_t;

/* One token of a decode stream. */
typedef struct {
	int64_t offset; /* of the token in the answer */
	str_t text; /* valid during the callback */
	str_t finish; /* finish reason; empty before the last token */
} engine_token_t;

/* An engine's load report. All but the status is zero if the call failed. */
typedef struct {
	engine_status_t status;
	role_t role;
	str_t model; /* valid during the callback */
	str_t version; /* valid during the callback */
	int64_t kv_total; /* tokens */
	int64_t kv_used; /* tokens */
	int64_t running; /* requests */
	int64_t queued; /* requests */
	int64_t age_ms; /* of the report when the engine sent it */
	bool leaving; /* the engine is to get no new work */
} engine_load_t;

typedef void (*engine_result_fn_t)(void *context,
				   const engine_result_t *result);
typedef void (*engine_token_fn_t)(void *context, const engine_token_t *token);
typedef void (*engine_end_fn_t)(void *context, engine_status_t status);
typedef void (*engine_load_fn_t)(void *context, const engine_load_t *load);

/* A prefix that an engine stored in its prefix cache or evicted from it. */
typedef struct {
	uint64_t sequence; /* number of the event */
	bool stored; /* false: evicted */
	uint64_t prefix; /* prefix ID */
} engine_cache_event_t;

/* Called for each event and then once with NULL for `event` and the status of
 * the call. `next` is valid in this last call only: the number to pass as
 * `after` to the next engine_fetch_cache_events().
 */
typedef void (*engine_cache_fn_t)(void *context,
				  const engine_cache_event_t *event,
				  engine_status_t status, uint64_t next);

/* Called with the number of tokens that the engine still holds for the request,
 * or -1 if the call failed.
 */
typedef void (*engine_cancel_fn_t)(void *context, engine_status_t status,
				   int64_t held_tokens);

/* A call in progress. It frees itself after its last callback. */
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
