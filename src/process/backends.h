/* The backend servers that this process knows: polls their load reports and
 * picks those that may get new work.
 */
#ifndef PROCESS_BACKENDS_H
#define PROCESS_BACKENDS_H

#include "connection/engine.h"
#include "process/route.h"
#include "version/state.h"

typedef struct backends backends_t;

/* Sources that can report a backend server as leaving. Each can revoke its
 * report, since a new VM may use the address again.
 */
typedef enum {
	LEAVING_SOURCE_STATE, /* the state in effect */
	LEAVING_SOURCE_LOAD_REPORT, /* the server itself */
	LEAVING_SOURCE_VM_LIST, /* the platform */
	LEAVING_SOURCE_DRAIN, /* the control of its zone */
} leaving_source_t;

/* A backend server: its place in the state, its last load report and its
 * health.
 */
typedef struct {
	backends_t *backends;
	char *name;
	char *address;
	uint64_t key; /* hash of the address, as in RPC messages */
	const char *zone; /* interned: placement keeps pointers to it */
	char *pool; /* name, or empty for a plain service */
	char *service; /* name, or empty for an engine */
	bool prefill; /* in a prefill pool */
	unsigned leaving_by; /* bit set of leaving_source_t */
	bool leaving; /* according to any source */
	bool present; /* in the state in effect */
	int64_t kv_total; /* size of the KV cache in tokens */
	int64_t kv_used; /* in tokens */
	int64_t running; /* requests */
	int64_t queued; /* requests */
	int64_t reported_at_us; /* 0: no report yet */
	int64_t load_answered_at_us; /* last answer to a load poll */
	int64_t unanswered_since_us; /* first load poll after it; 0: none */
	int64_t failed_until_us; /* gets no new work before, after failures */
	int failures; /* in a row */
	int64_t in_flight; /* calls of this process */
	int64_t max_prefills; /* at once */
	engine_call_t *poll; /* of the load, in progress; or NULL */
	engine_call_t *cache_poll; /* of cache events, likewise */
	uint64_t next_cache_event; /* position in the engine's cache events */
	route_pool_t *route; /* of the scheduler; NULL if not in any */
	route_engine_t *engine; /* its entry in the route */
} backend_entry_t;

/* Called when an entry's health or its place in the state has changed, and with
 * `reported` when a load report has arrived.
 */
typedef void (*backends_changed_fn_t)(void *context, backend_entry_t *entry,
				      bool reported);

/* Called for each event of an engine's KV cache. */
typedef void (*backends_cache_fn_t)(void *context, backend_entry_t *entry,
				    const engine_cache_event_t *event);

/* Returns whether the load is read at every poll instead of every fourth. */
typedef bool (*backends_needs_frequent_polls_fn_t)(
	void *context, const backend_entry_t *entry);

struct backends {
	client_t *client;
	clock_source_t clock;
	GPtrArray *entries; /* of backend_entry_t */
	GHashTable *by_address; /* the same entries; keys are theirs */
	guint poll_timer;
	guint next_index; /* round-robin position */
	backends_changed_fn_t on_changed; /* may be NULL */
	backends_cache_fn_t on_cache; /* may be NULL */
	/* NULL: the load of all engines is read at every poll. */
	backends_needs_frequent_polls_fn_t needs_frequent_polls;
	unsigned poll_count; /* rounds of polls so far */
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
