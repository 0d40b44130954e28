/* Client of the platform: table, objects and VM list (section 6.3 of
 * docs/design.md).
 */
#ifndef PROCESS_PLATFORM_H
#define PROCESS_PLATFORM_H

#include "connection/client.h"
#include "process/throttle.h"

typedef enum {
	PLATFORM_DONE,
	PLATFORM_CONDITION_FAILED,
	PLATFORM_NOT_FOUND,
	PLATFORM_REJECTED, /* the platform found the call invalid */
	PLATFORM_NOT_SENT, /* not executed: not sent, or refused as too much */
	PLATFORM_UNKNOWN, /* the answer was lost; it may have been executed */
} platform_outcome_t;

/* Version of a row that stands for "no row" in conditions. */
#define PLATFORM_NO_ROW UINT64_C(0)

typedef struct {
	char *key;
	uint64_t version;
	char *value;
} platform_row_t;

typedef struct {
	char *name;
	char *address;
	char *zone;
	bool leaving;
} platform_vm_t;

/* Valid during the callback. */
typedef struct {
	platform_outcome_t outcome;
	uint64_t version; /* of the row that was read or written */
	GBytes *body; /* of the row or object that was read, else NULL */
	GArray *rows; /* of platform_row_t, for a listing */
	GArray *vms; /* of platform_vm_t, for the VM list */
} platform_answer_t;

typedef void (*platform_done_fn_t)(void *context,
				   const platform_answer_t *answer);

/* Share of the platform's rates that this process uses, calls a second. */
typedef struct {
	double reads_s;
	double writes_s;
	double burst_s; /* seconds of either that may be used at once */
} platform_budget_t;

/* With eight VMs: 800 of about 2,000 reads and 320 of several hundred writes a
 * second.
 */
#define PLATFORM_SERVE_BUDGET ((platform_budget_t){100, 40, 2})

typedef struct {
	client_t *client; /* borrowed */
	char *address; /* IP:port */
	char *token; /* bearer token, or NULL */
	clock_source_t clock;
	bucket_t reads;
	bucket_t writes;
	breaker_t breaker;
	uint64_t seed;
	GQueue calls; /* of platform_call_t in progress */
} platform_t;

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
