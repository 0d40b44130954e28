/* Calls over HTTP to the platform's store. Each store_call_t has one call in
 * progress at most, with a deadline. Nothing is retried here; the owner of the
 * store_call_t decides whether to retry. The platform's store_call.h formats
 * the requests and parses the answers.
 */
#ifndef PROCESS_STORE_H
#define PROCESS_STORE_H

#include "connection/http_pool.h"
#include "process/alarm.h"

typedef enum {
	STORE_OK,
	STORE_HISTORY_GONE, /* a watch has to start over with a full read */
	STORE_NOT_DONE, /* not sent, or any other status: nothing was done */
	STORE_OUTCOME_UNKNOWN, /* no whole answer in time: a write may still
				  take effect */
} store_result_t;

/* Called once for each call, unless it is cancelled; `body` is borrowed. */
typedef void (*store_done_fn_t)(void *context, store_result_t result,
				str_t body);

/* The calls of one owner, one at a time; reusable after each has ended. */
typedef struct {
	http_pool_t *pool;
	http_call_t *http_call; /* NULL: none on a connection, or not in
				   progress */
	GString *body; /* of the answer, as far as received */
	unsigned status; /* of the answer; 0: none yet */
	int64_t era; /* of the store, by its latest answer; 0: unknown */
	alarm_t deadline; /* set exactly while the call is in progress */
	store_done_fn_t done;
	void *context;
} store_call_t;

void store_call_init(store_call_t *call, http_pool_t *pool);
void store_call_finish(store_call_t *call);
void store_call_send(store_call_t *call, const char *address,
		     const GString *message, int64_t deadline_us,
		     store_done_fn_t done, void *context);
void store_call_put_own(store_call_t *call, const char *address,
			const char *key, str_t value, int64_t row_version,
			int64_t deadline_us, store_done_fn_t done,
			void *context);
void store_call_remove_own(store_call_t *call, const char *address,
			   const char *key, int64_t row_version,
			   int64_t deadline_us, store_done_fn_t done,
			   void *context);
void store_call_cancel(store_call_t *call);
bool store_call_is_busy(const store_call_t *call);

#endif
