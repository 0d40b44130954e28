/* A request's ticket, for the files of the scheduler only. */
#ifndef PROCESS_TICKET_H
#define PROCESS_TICKET_H

#include "process/scheduler.h"

/* Engines that one reservation tries before it starts over. */
#define TICKET_EXCEPT_MAX 8

/* A reservation that the request holds. */
typedef struct {
	uint32_t attempt;
	backend_entry_t *entry;
} held_grant_t;

struct scheduler_ticket {
	scheduler_t *scheduler;
	scheduler_pool_t *decode_pool;
	scheduler_pool_t *prefill_pool;
	scheduler_request_t request;
	queue_entry_t *queued; /* NULL once admitted or refused */
	verdict_t verdict; /* for on_refused */
	guint source; /* admission or refusal to be reported */
	bool counted; /* in the pool's `reserving` */
	bool limited; /* counts against the workspace's limits */

	uint32_t attempt; /* reservation in progress, or 0 */
	uint32_t ask;
	backend_entry_t *asked;
	const route_engine_t *except[TICKET_EXCEPT_MAX];
	size_t n_except;
	bool waiting; /* in the pool's list */
	GArray *held_grants;

	bool prefilled; /* a prefill was started */
	backend_entry_t *prefill; /* in progress, or NULL */
	int64_t prefill_started_us;
	int64_t prefill_expected_us;
	int64_t first_token_due_us;
	backend_entry_t *import; /* in progress, or NULL */
};

int64_t ticket_prefill_due(const scheduler_ticket_t *ticket);

#endif
