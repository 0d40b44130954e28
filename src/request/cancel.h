/* Cancellations that engines have not confirmed yet, without I/O. */
#ifndef REQUEST_CANCEL_H
#define REQUEST_CANCEL_H

#include <stdint.h>

#include "process/str.h"

typedef struct {
	char *engine; /* IP:port */
	char *request;
	uint32_t attempt; /* this attempt and earlier ones */
	int64_t added_us;
	int64_t next_send_us;
	int64_t bound_us; /* the engine has freed the memory itself by then */
	unsigned sends;
	GSequenceIter *place; /* in the order of deadlines */
} cancel_t;

typedef enum {
	CANCEL_CONFIRMED,
	CANCEL_ABANDONED, /* the engine's own bound has passed */
} cancel_end_t;

/* Called once for each cancellation; must not call into the queue. */
typedef void (*cancel_end_fn_t)(const cancel_t *cancel, cancel_end_t end,
				int64_t now_us, void *context);

typedef struct {
	GHashTable *by_key; /* owns the cancellations */
	GSequence *by_deadline;
	uint64_t seed; /* for jitter */
	cancel_end_fn_t on_end; /* may be NULL */
	void *context;
} cancel_queue_t;

void cancel_queue_init(cancel_queue_t *queue, uint64_t seed,
		       cancel_end_fn_t on_end, void *context);
void cancel_queue_finish(cancel_queue_t *queue);
void cancel_queue_add(cancel_queue_t *queue, str_t engine, str_t request,
		      uint32_t attempt, int64_t now_us, int64_t bound_us);
const cancel_t *cancel_queue_next_due(cancel_queue_t *queue, int64_t now_us);
bool cancel_queue_confirm(cancel_queue_t *queue, str_t engine, str_t request,
			  uint32_t attempt, int64_t now_us);
int64_t cancel_queue_next_send_us(const cancel_queue_t *queue);
size_t cancel_queue_length(const cancel_queue_t *queue);

#endif
