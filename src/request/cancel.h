/* Queue of cancellations that engines have not confirmed yet. It decides when
 * each is sent again and when it is abandoned; it does no I/O.
 */
#ifndef REQUEST_CANCEL_H
#define REQUEST_CANCEL_H

#include <stdint.h>

#include "process/str.h"

/* Cancellation of a request's work at one engine. */
typedef struct {
	char *engine; /* IP:port */
	char *request; /* ID of the request */
	uint32_t attempt; /* this attempt and all earlier ones */
	int64_t added_us; /* when it was first added */
	int64_t next_send_us; /* when it is due */
	int64_t expires_us; /* by then the engine frees the memory itself */
	unsigned sends; /* since it was last added */
	GSequenceIter *send_order_iter; /* its position in by_send_time */
} cancel_t;

/* How a cancellation left the queue. */
typedef enum {
	CANCEL_CONFIRMED,
	CANCEL_ABANDONED, /* expired without a confirmation */
} cancel_end_t;

/* Called once for each cancellation; must not call into the queue. */
typedef void (*cancel_end_fn_t)(const cancel_t *cancel, cancel_end_t end,
				int64_t now_us, void *context);

typedef struct {
	GHashTable *by_key; /* cancel_t by engine and request; owns them */
	GSequence *by_send_time; /* of cancel_t, soonest next_send_us first */
	uint64_t seed; /* for jitter */
	cancel_end_fn_t on_end; /* may be NULL */
	void *context; /* for on_end */
} cancel_queue_t;

void cancel_queue_init(cancel_queue_t *queue, uint64_t seed,
		       cancel_end_fn_t on_end, void *context);
void cancel_queue_finish(cancel_queue_t *queue);
void cancel_queue_add(cancel_queue_t *queue, str_t engine, str_t request,
		      uint32_t attempt, int64_t now_us, int64_t expires_us);
const cancel_t *cancel_queue_next_due(cancel_queue_t *queue, int64_t now_us);
bool cancel_queue_confirm(cancel_queue_t *queue, str_t engine, str_t request,
			  uint32_t attempt, int64_t now_us);
int64_t cancel_queue_next_send_us(const cancel_queue_t *queue);
size_t cancel_queue_length(const cancel_queue_t *queue);

#endif
