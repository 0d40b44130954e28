/* Bounded admission queue of one decode pool. Requests are ordered by priority,
 * then by weighted fair queueing among workspaces, then by worth and start time
 * within a workspace. Each pool has its own queue, so that a full pool does not
 * block the others. The code does no I/O and reads no clock; callers pass the
 * time.
 */
#ifndef PROCESS_QUEUE_H
#define PROCESS_QUEUE_H

#include <stdint.h>

#include "process/str.h"

#define QUEUE_PRIORITIES 10

/* Worth is compared by level; one level covers a factor of two. */
#define QUEUE_WORTH_LEVELS 16

/* Handle of a queued request, valid until it leaves the queue. */
typedef struct queue_entry queue_entry_t;

/* What the queue has to know of a request. */
typedef struct {
	str_t workspace; /* copied */
	double weight; /* the workspace's share under contention, > 0 */
	int priority; /* 0 (first) to 9 */
	double worth; /* value of an answer that comes in time */
	int64_t cost_tokens; /* charged to the workspace, > 0 */
	int64_t start_by_us; /* later starts miss the first-token target */
	bool requeued; /* was popped before but could not be started */
	void *context; /* returned when the request leaves the queue */
} queue_request_t;

/* Result of queue_push(). */
typedef enum {
	QUEUE_ACCEPTED,
	QUEUE_LATE, /* refused: it would be popped after start_by_us */
	QUEUE_FULL, /* refused: no free place and no entry to evict */
} queue_result_t;

/* Result of queue_push() with its details. */
typedef struct {
	queue_result_t result;
	queue_entry_t *entry; /* when accepted */
	int64_t retry_at_us; /* for the refused or the evicted request */
	void *evicted; /* context of the evicted request, or NULL */
} queue_outcome_t;

/* One priority class: start-time fair queueing among workspaces, each of which
 * is a flow. Tags and virtual time are in tokens per unit of weight.
 */
typedef struct {
	GHashTable *flows; /* workspace to flow; owns the flows */
	GSequence *by_tag; /* flows with entries, next to be served first */
	GSequence *by_backlog; /* the same flows, largest backlog first */
	double virtual_time; /* greatest start tag served */
	double last_tag; /* greatest tag given to any flow */
	double total_weight; /* sum over flows with entries */
	size_t sweep_threshold; /* flows at which idle ones are freed */
	int64_t cost_tokens; /* sum over the queued entries */
} queue_class_t;

/* The queue and the measurement of its drain rate. The drain rate is taken in
 * slots of time in which the queue is not empty.
 */
typedef struct {
	size_t max_entries;
	size_t n_entries;
	queue_class_t classes[QUEUE_PRIORITIES];
	GSequence *by_expiry; /* all entries, earliest start_by_us first */
	uint64_t next_number; /* for entries and flows, in order of arrival */
	int64_t busy_counted_until_us;
	int64_t slot_busy_us; /* time not empty in the current slot */
	int64_t slot_tokens; /* popped in the current slot */
	unsigned n_slots; /* whole slots measured */
	double drain_tokens_s; /* tokens per second while not empty */
} queue_t;

/* Receives the context of an expired request. */
typedef void (*queue_expired_fn_t)(void *entry_context, void *context);

void queue_init(queue_t *queue, size_t max_entries);
void queue_finish(queue_t *queue);
queue_outcome_t queue_push(queue_t *queue, const queue_request_t *request,
			   int64_t now_us);
void *queue_peek(const queue_t *queue);
void *queue_pop(queue_t *queue, int64_t now_us);
void queue_remove(queue_t *queue, queue_entry_t *entry);
size_t queue_expire(queue_t *queue, int64_t now_us, queue_expired_fn_t expired,
		    void *context);
int64_t queue_next_expiry(const queue_t *queue);
int64_t queue_expected_wait_us(const queue_t *queue,
			       const queue_request_t *request);
double queue_drain_rate(const queue_t *queue);

#endif
