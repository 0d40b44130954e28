/* Client of the platform's table, object store and VM list (section 6.3 of
 * docs/design.md).
 */
#ifndef PROCESS_PLATFORM_H
#define PROCESS_PLATFORM_H

#include "connection/client.h"
#include "process/throttle.h"

/* Result of a call to the platform. */
typedef enum {
	PLATFORM_DONE,
	PLATFORM_CONDITION_FAILED, /* the row has another version */
	PLATFORM_NOT_FOUND,
	PLATFORM_REJECTED, /* the platform refused the call as invalid */
	PLATFORM_NOT_SENT, /* not executed: not sent, or 429 or 503 */
	PLATFORM_UNKNOWN, /* no clear answer; may have been executed */
} platform_outcome_t;

/* Expected row version that stands for "there is no row". */
#define PLATFORM_NO_ROW UINT64_C(0)

/* A row of the table. */
typedef struct {
	char *key;
	uint64_t version;
	char *value;
} platform_row_t;

/* A VM of the VM list. */
typedef struct {
	char *name;
	char *address;
	char *zone;
	bool leaving;
} platform_vm_t;

/* Answer to a call, valid only during the callback. */
typedef struct {
	platform_outcome_t outcome;
	uint64_t version; /* of the row that was read or written */
	GBytes *body; /* of the row or object that was read, else NULL */
	GArray *rows; /* of platform_row_t, for a listing */
	GArray *vms; /* of platform_vm_t, for the VM list */
} platform_answer_t;

/* Called once when a call has ended, unless it was cancelled. */
typedef void (*platform_done_fn_t)(void *context,
				   const platform_answer_t *answer);

/* Rate of calls that this process may send to the platform. */
typedef struct {
	double reads_s; /* per second */
	double writes_s; /* per second */
	double burst_s; /* seconds of either rate that may be used at once */
} platform_budget_t;

/* Budget of a router. Eight VMs together use up to 800 of the platform's about
 * 2,000 reads a second and 320 of its several hundred writes a second.
 */
#define PLATFORM_SERVE_BUDGET ((platform_budget_t){100, 40, 2})

/* Client of the platform, with its rate limits and circuit breaker. */
typedef struct {
	client_t *client; /* borrowed */
	char *address; /* IP:port */
	char *token; /* bearer token, or NULL */
	clock_source_t clock;
	bucket_t reads;
	bucket_t writes;
	breaker_t breaker;
	uint64_t seed; /* of the random part of retry waits */
	GQueue calls; /* of platform_call_t in progress */
} platform_t;

/* A call in progress, valid until its callback is called or it is cancelled. */
typedef struct platform_call platform_call_t;

void platform_init(platform_t *platform, client_t *client, const char *address,
		   const platform_budget_t *budget, uint64_t seed);
void platform_set_token(platform_t *platform, const char *token);
void platform_finish(platform_t *platform);
platform_call_t *platform_get(platform_t *platform, const char *key,
			      int64_t deadline_us, platform_done_fn_t done,
			      void *context);
platform_call_t *platform_list(platform_t *platform, const char *prefix,
			       int64_t deadline_us, platform_done_fn_t done,
			       void *context);
platform_call_t *platform_put_once(platform_t *platform, const char *key,
				   GBytes *value, uint64_t expected,
				   int64_t deadline_us, platform_done_fn_t done,
				   void *context);
platform_call_t *platform_write(platform_t *platform, const char *key,
				GBytes *value, uint64_t expected,
				int64_t deadline_us, platform_done_fn_t done,
				void *context);
platform_call_t *platform_delete(platform_t *platform, const char *key,
				 uint64_t expected, int64_t deadline_us,
				 platform_done_fn_t done, void *context);
platform_call_t *platform_get_object(platform_t *platform, const char *hash,
				     int64_t deadline_us,
				     platform_done_fn_t done, void *context);
platform_call_t *platform_put_object(platform_t *platform, const char *hash,
				     GBytes *bytes, int64_t deadline_us,
				     platform_done_fn_t done, void *context);
platform_call_t *platform_list_vms(platform_t *platform, int64_t deadline_us,
				   platform_done_fn_t done, void *context);
void platform_cancel(platform_call_t *call);
const char *platform_outcome_text(platform_outcome_t outcome);

#endif
