/* Client of the platform's store. Each user has one call in progress at most,
 * with a deadline. Nothing is retried here; users retry as they see fit.
 */
#ifndef PROCESS_STORE_H
#define PROCESS_STORE_H

#include "connection/http_pool.h"
#include "process/alarm.h"

typedef enum {
	STORE_OK,
	STORE_HISTORY_GONE, /* a feed has to start over with a full read */
	STORE_NOT_DONE, /* nothing was done */
	STORE_OUTCOME_UNKNOWN, /* no answer: a write may still take effect */
} store_result_t;

/* Called once for each call, unless it is cancelled; `body` is borrowed. */
typedef void (*store_done_fn_t)(void *context, store_result_t result,
				str_t body);

/* One user's call; reusable after it has ended. */
typedef struct {
	http_pool_t *pool;
	http_call_t *call; /* NULL: none on a connection */
	GString *body; /* of the answer, as far as received */
	unsigned status; /* of the answer; 0: none yet */
	alarm_t deadline; /* set exactly while the call is in progress */
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
