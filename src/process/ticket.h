/* A ticket is the state of one request in the scheduler: in the queue, while it
 * reserves decode memory, and while prefill, import and decode run. For the
 * files of the scheduler only.
 */
#ifndef PROCESS_TICKET_H
#define PROCESS_TICKET_H

#include "process/scheduler.h"

/* Engines that one reservation tries before it waits and starts over. */
#define TICKET_EXCEPT_MAX 8

/* Decode memory that the request holds at one engine. */
typedef struct {
	uint32_t attempt;
	backend_entry_t *entry;
} held_grant_t;

struct scheduler_ticket {
	scheduler_t *scheduler;
	scheduler_pool_t *decode_pool;
	scheduler_pool_t *prefill_pool;
	scheduler_request_t request;
	queue_entry_t *queued; /* borrowed; NULL once admitted or refused */
	verdict_t verdict; /* for on_refused */
	guint idle_source; /* reports admission or refusal, or reserves */
	bool counted_reserving; /* in the decode pool's `reserving` */
	bool counted_in_limits; /* scheduler_limit_end() is due */

	uint32_t attempt; /* to which memory is being reserved, or 0 */
	uint32_t reservation_id; /* of reserve_start(), or 0 */
	backend_entry_t *asked_backend; /* of the reservation, or NULL */
	const route_engine_t *except[TICKET_EXCEPT_MAX]; /* not to be asked */
	size_t n_except;
	bool waiting; /* in the decode pool's `waiting` */
	GArray *held_grants; /* of held_grant_t */

	bool prefilled; /* a prefill was started */
	backend_entry_t *prefill; /* where prefill is in progress, or NULL */
	int64_t prefill_started_us;
	int64_t prefill_expected_us; /* duration */
	int64_t first_token_due_us; /* the first-token target */
	backend_entry_t *import; /* where import is in progress, or NULL */
};

int64_t ticket_prefill_due(const scheduler_ticket_t *ticket);

#endif
