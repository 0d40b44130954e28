/* Fleet-wide limits on request rate and concurrency. Pure.
 *
 * Each router enforces a share. Shares are recomputed in rounds: a router
 * starts round r + 1 only after it has every member's report of round r, so
 * two routers are never more than one round apart. A router applies the lower
 * of its last two shares, which makes the sum of all shares at most the limit
 * although the routers switch at different times. Members that are cut off
 * from others share only their part of the limit, members / routers.
 *
 * Error bound, for a limit L and N routers:
 * - rounds complete: the sum of the shares is at most L;
 * - some routers are cut off: they use L / N, and the others their last shares
 *   until their round times out, so the sum is below 2 L for at most
 *   LIMIT_ROUND_TIMEOUT_US after the last of them was cut off, and at most L
 *   afterwards;
 * - rate: in addition saved-up tokens, at most LIMIT_BURST_US of a share or one
 *   request for each router;
 * - concurrency: in addition the requests in progress when a share was
 *   lowered, until they end.
 */
#ifndef PROCESS_LIMIT_H
#define PROCESS_LIMIT_H

#include <stdint.h>

#include "process/str.h"

#define LIMIT_ROUTERS_MAX 64
#define LIMIT_ROUND_US INT64_C(500000)
#define LIMIT_ROUND_TIMEOUT_US INT64_C(2000000)
#define LIMIT_BURST_US INT64_C(500000)

typedef struct {
	double requests_s; /* over the fleet; 0: none */
	int64_t concurrency; /* over the fleet; 0: none */
} limit_values_t;

/* One workspace's use of one limit at one router. */
typedef struct {
	uint64_t id; /* hash of workspace and service, same on all routers */
	double demand_s; /* requests per second, admitted or not, in thousandths
			  */
	int64_t running;
} limit_usage_t;

typedef enum {
	LIMIT_ADMITTED,
	LIMIT_RATE, /* too many requests per second */
	LIMIT_CONCURRENCY, /* too many in progress */
} limit_result_t;

typedef struct {
	unsigned routers; /* in the deployment, at most LIMIT_ROUTERS_MAX */
	unsigned self; /* own number, the same numbering on all routers */
	unsigned slots; /* routers whose reports have a place */
	uint64_t members; /* bit for each router that takes part in rounds */
	uint64_t round; /* of the own last report */
	uint64_t reported[2]; /* routers whose report of an even, odd round
			       * is present
			       */
	int64_t round_started_us;
	int64_t sent_us; /* when reports were last due */
	unsigned complete; /* rounds in sequence, up to 2 */
	GHashTable *entries; /* by id */
} limiter_t;

typedef void (*limit_usage_fn_t)(const limit_usage_t *usage, void *context);

void limit_init(limiter_t *limit, unsigned routers, unsigned self,
		int64_t now_us);
void limit_finish(limiter_t *limit);
uint64_t limit_id(str_t workspace, str_t service);
void limit_set(limiter_t *limit, uint64_t id, limit_values_t values,
	       int64_t now_us);
void limit_remove(limiter_t *limit, uint64_t id);
void limit_set_members(limiter_t *limit, uint64_t members, unsigned routers);
limit_result_t limit_request_begin(limiter_t *limit, uint64_t id,
				   int64_t now_us, int64_t *retry_at_us);
void limit_request_end(limiter_t *limit, uint64_t id);
unsigned limit_tick(limiter_t *limit, int64_t now_us);
size_t limit_visit_usage(const limiter_t *limit, uint64_t round,
			 limit_usage_fn_t visit, void *context);
void limit_receive_report(limiter_t *limit, unsigned router, uint64_t round,
			  const limit_usage_t *usage, size_t n_usage,
			  int64_t now_us);
bool limit_uses_fixed_shares(const limiter_t *limit);
double limit_share_rate(const limiter_t *limit, uint64_t id);
int64_t limit_share_concurrency(const limiter_t *limit, uint64_t id);

#endif
