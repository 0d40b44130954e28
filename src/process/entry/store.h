/* Client of the platform's store: one call at a time per user, with a
 * deadline. The store decides nothing here; callers retry as they see fit.
 */
#ifndef PROCESS_STORE_H
#define PROCESS_STORE_H

#include "connection/http_pool.h"
#include "process/alarm.h"

typedef enum {
	STORE_OK,
	STORE_HISTORY_GONE, /* a feed has to start over with a full read */
	STORE_REFUSED, /* nothing was done */
	STORE_OUTCOME_UNKNOWN, /* no answer: a write may take effect, even later */
} store_result_t;

/* Exactly once, unless the call is cancelled; `body` is borrowed. */
typedef void (*store_done_fn_t)(void *context, store_result_t result,
				str_t body);

/* One user's call; reusable after it has ended. */
typedef struct {
	http_pool_t *pool;
	http_call_t *call; /* NULL: none in progress */
	GString *body;
	unsigned status;
	alarm_t deadline;
	store_done_fn_t done;
	void *context;
} store_call_t;

void store_call_init(store_call_t *call, http_pool_t *pool);
void store_call_finish(store_call_t *call);
void store_call_send(store_call_t *call, const char *address,
		     const GString *message, int64_t deadline_us,
		     store_done_fn_t done, void *context);
void store_call_cancel(store_call_t *call);
bool store_call_is_busy(const store_call_t *call);

#endif
