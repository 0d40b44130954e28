/* The backend servers that this process knows, with their load reports. */
#ifndef PROCESS_BACKENDS_H
#define PROCESS_BACKENDS_H

#include "connection/engine.h"
#include "process/route.h"
#include "version/state.h"

typedef struct backends backends_t;

/* Who says that a backend server is leaving. Each can take it back, since an
 * address may be used again by a new VM.
 */
typedef enum {
	LEAVING_SOURCE_STATE,
	LEAVING_SOURCE_LOAD_REPORT,
	LEAVING_SOURCE_VM_LIST,
	LEAVING_SOURCE_DRAIN, /* ordered away by the control of its zone */
} leaving_source_t;

typedef struct {
	backends_t *owner;
	char *name;
	char *address;
	uint64_t key; /* hash of the address, as in RPC messages */
	const char *zone; /* interned, as placement keeps pointing to it */
	char *pool; /* name, or empty for a plain service */
	char *service; /* name, or empty for an engine */
	bool prefill; /* in a prefill pool */
	unsigned leaving_by; /* bits of leaving_source_t */
	bool leaving; /* by any of these sources */
	bool present; /* in the state in effect */
	int64_t kv_total;
	int64_t kv_used;
	int64_t running;
	int64_t queued;
	int64_t reported_at_us; /* 0: no report yet */
	int64_t load_answered_at_us; /* last answer to a load poll */
	int64_t failed_until_us; /* not chosen before, after failures */
	int failures; /* in a row */
	int64_t in_flight; /* calls of this process */
	int64_t max_prefills; /* at once */
	engine_call_t *poll;
	engine_call_t *cache_poll;
	uint64_t cache_next; /* position in the engine's cache events */
	route_t *route; /* pool that the scheduler put it in, or NULL */
	route_engine_t *engine; /* its place there */
} backend_entry_t;

/* Called when an entry's health or place in the state changed, or with
 * `reported` when a load report came.
 */
typedef void (*backends_changed_fn_t)(void *context, backend_entry_t *entry,
				      bool reported);

typedef void (*backends_cache_fn_t)(void *context, backend_entry_t *entry,
				    const engine_cache_event_t *event);

/* Tells whether to ask for load with every poll, not with every fourth. */
typedef bool (*backends_needs_frequent_polls_fn_t)(
	void *context, const backend_entry_t *entry);

struct backends {
	client_t *client;
	clock_source_t clock;
	GPtrArray *entries; /* of backend_entry_t */
	GHashTable *by_address; /* the same entries; keys are theirs */
	guint poll_timer;
	guint next; /* round-robin position */
	backends_changed_fn_t on_changed; /* may be NULL */
	backends_cache_fn_t on_cache; /* may be NULL */
	backends_needs_frequent_polls_fn_t
		needs_frequent_polls; /* NULL: always */
	unsigned polls;
	void *context;
};

void backends_init(backends_t *backends, client_t *client,
		   clock_source_t clock);
void backends_finish(backends_t *backends);
void backends_apply(backends_t *backends, const state_t *state);
void backends_set_leaving(backend_entry_t *entry, leaving_source_t source,
			  bool leaving);
backend_entry_t *backends_pick(backends_t *backends, str_t pool, str_t service,
			       const backend_entry_t *avoid);
backend_entry_t *backends_find(backends_t *backends, str_t address);
void backends_note_failure(backend_entry_t *entry);
void backends_note_success(backend_entry_t *entry);
bool backends_usable(const backend_entry_t *entry, int64_t now_us);

#endif
