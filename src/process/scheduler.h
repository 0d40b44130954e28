/* Admission and placement of model requests on one VM: the queue, the choice
 * of engines and the reservation of decode memory. Callbacks are never called
 * before the function that takes them has returned.
 */
#ifndef PROCESS_SCHEDULER_H
#define PROCESS_SCHEDULER_H

#include "process/backends.h"
#include "process/limit.h"
#include "process/queue.h"
#include "process/reserve.h"
#include "process/route.h"
#include "process/settings.h"
#include "request/verdict.h"
#include "version/state.h"

typedef struct scheduler scheduler_t;
typedef struct scheduler_ticket scheduler_ticket_t;

typedef void (*scheduler_admitted_fn_t)(void *context);
typedef void (*scheduler_refused_fn_t)(void *context, const verdict_t *verdict);

/* engine is NULL when no decode memory could be reserved. */
typedef void (*scheduler_reserved_fn_t)(void *context, uint32_t attempt,
					backend_entry_t *engine,
					int64_t retry_at_us);

/* What the scheduler needs to know of a request. */
typedef struct {
	const workspace_t *workspace; /* borrowed until scheduler_leave() */
	const service_t *service; /* borrowed until scheduler_leave() */
	char id[33]; /* request ID, 32 hex digits */
	int64_t prompt_tokens;
	int64_t max_tokens; /* of the output */
	uint64_t prefix; /* prefix ID of the prompt; 0: none */
	int64_t start_by_us; /* when the first token is due */
	int64_t deadline_us;
	scheduler_admitted_fn_t on_admitted;
	scheduler_refused_fn_t on_refused; /* not run; leave() follows */
	scheduler_reserved_fn_t on_reserved;
	void *context;
} scheduler_request_t;

/* One pool of the state: its engines and, for decode, its queue. */
typedef struct {
	scheduler_t *scheduler;
	char *name;
	route_pool_t route;
	queue_t queue;
	unsigned reserving; /* admitted, without a reservation so far */
	GQueue waiting; /* tickets that wait for decode memory */
	guint timer;
} scheduler_pool_t;

struct scheduler {
	backends_t *backends;
	reserve_t *reserve;
	clock_source_t clock;
	route_config_t config;
	char *zone;
	size_t max_queue;
	prefix_index_t prefix;
	limiter_t limit;
	GHashTable *limit_ids; /* of the limits set, to the state's number */
	guint states; /* taken over so far */
	GHashTable *pools; /* name to scheduler_pool_t */
	uint32_t next_engine;
	uint64_t random_state;
};

void scheduler_init(scheduler_t *scheduler, backends_t *backends,
		    reserve_t *reserve, clock_source_t clock,
		    const settings_t *settings, uint64_t seed);
void scheduler_finish(scheduler_t *scheduler);
void scheduler_apply(scheduler_t *scheduler, const state_t *state);
void scheduler_backend_changed(scheduler_t *scheduler, backend_entry_t *entry,
			       bool reported);
scheduler_pool_t *scheduler_find_pool(scheduler_t *scheduler, str_t name);
size_t scheduler_queued(const scheduler_t *scheduler);

bool scheduler_limit_begin(scheduler_t *scheduler, const workspace_t *workspace,
			   verdict_t *verdict);
void scheduler_limit_end(scheduler_t *scheduler, const workspace_t *workspace);

scheduler_ticket_t *scheduler_submit(scheduler_t *scheduler,
				     const scheduler_request_t *request);
void scheduler_leave(scheduler_ticket_t *ticket);
void scheduler_reserve(scheduler_ticket_t *ticket, uint32_t attempt,
		       const backend_entry_t *avoid);
void scheduler_release(scheduler_ticket_t *ticket, uint32_t attempt,
		       backend_entry_t *engine, bool after_cancel);
backend_entry_t *scheduler_pick_prefill(scheduler_ticket_t *ticket,
					const backend_entry_t *avoid);
void scheduler_prefill_ended(scheduler_ticket_t *ticket,
			     backend_entry_t *engine, bool ok,
			     int64_t computed_tokens);
bool scheduler_import_begin(scheduler_ticket_t *ticket,
			    backend_entry_t *engine);
void scheduler_import_ended(scheduler_ticket_t *ticket, backend_entry_t *engine,
			    bool ok);
void scheduler_decode_ended(scheduler_ticket_t *ticket, backend_entry_t *engine,
			    bool ok, int64_t tokens, int64_t elapsed_us);

#endif
