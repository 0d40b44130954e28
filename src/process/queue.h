/* Bounded admission queue, fair among workspaces. Pure: no clock, no I/O.
 * One queue serves one decode pool, so that a full pool does not block others.
 */
#ifndef PROCESS_QUEUE_H
#define PROCESS_QUEUE_H

#include <stdint.h>

#include "process/str.h"

#define QUEUE_PRIORITIES 10
#define QUEUE_WORTH_LEVELS 16

/* Handle of a queued request, valid until it leaves the queue. */
typedef struct queue_entry queue_entry_t;

typedef struct {
	str_t workspace; /* copied */
	double weight; /* the workspace's share under contention, > 0 */
	int priority; /* 0 (first) to 9 */
	double worth; /* value of the answer in time */
	int64_t cost_tokens; /* what the workspace is charged, > 0 */
	int64_t start_by_us; /* later starts miss the first-token target */
	bool returning; /* was popped before but could not be started */
	void *context;
} queue_request_t;

typedef enum {
	QUEUE_ACCEPTED,
	QUEUE_LATE, /* could not be started in time */
	QUEUE_FULL, /* no place, and no entry with a weaker claim */
} queue_result_t;

typedef struct {
	queue_result_t result;
	queue_entry_t *entry; /* when accepted */
	int64_t retry_at_us; /* when refused, or for the evicted request */
	void *evicted; /* context of the request that lost its place, or NULL */
} queue_outcome_t;

typedef struct {
	GHashTable *flows; /* workspace to flow */
	GSequence *by_tag; /* flows with entries, next to be served first */
	GSequence *by_backlog; /* the same flows, largest backlog first */
	double virtual_time; /* tokens per unit of weight */
	double last_tag; /* greatest tag given out */
	double weights; /* sum over flows with entries */
	size_t sweep_at; /* flows at which idle ones are freed */
	int64_t cost_tokens; /* queued */
} queue_class_t;

typedef struct {
	size_t max_entries;
	size_t n_entries;
	queue_class_t classes[QUEUE_PRIORITIES];
	GSequence *by_expiry; /* all entries, earliest start_by_us first */
	uint64_t next_number;
	int64_t counted_us; /* busy time is counted up to this time */
	int64_t busy_us; /* not empty in the current slot of the drain rate */
	int64_t slot_tokens; /* popped in the current slot */
	unsigned slots; /* whole slots measured */
	double rate; /* tokens per second while not empty */
} queue_t;

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
