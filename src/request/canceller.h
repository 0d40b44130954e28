/* Sends cancellations to engines, again and again until each is confirmed or
 * has expired.
 */
#ifndef REQUEST_CANCELLER_H
#define REQUEST_CANCELLER_H

#include "connection/engine.h"
#include "request/cancel.h"

/* Called when an engine has confirmed that it holds nothing any more for this
 * attempt of a request and earlier ones. Must not call into the canceller.
 */
typedef void (*canceller_confirmed_fn_t)(void *context, str_t engine,
					 str_t request, uint32_t attempt);

typedef struct {
	cancel_queue_t queue;
	client_t *client; /* borrowed */
	clock_source_t clock;
	GQueue sends; /* calls to engines in progress */
	guint timer; /* GLib source ID; 0: none is set */
	int64_t timer_due_us;
	canceller_confirmed_fn_t on_confirmed; /* may be NULL */
	void *context; /* for on_confirmed */
} canceller_t;

void canceller_init(canceller_t *canceller, client_t *client,
		    clock_source_t clock, uint64_t seed);
void canceller_finish(canceller_t *canceller);
void canceller_add(canceller_t *canceller, str_t engine, str_t request,
		   uint32_t attempt);
bool canceller_is_idle(const canceller_t *canceller);

#endif
