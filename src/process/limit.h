/* Limits on the request rate and the concurrency of each workspace, which hold
 * over all routers of the deployment. The code does no I/O and reads no clock;
 * limit_exchange.c carries the reports between routers.
 *
 * Each router enforces its own share of a limit. Shares are computed anew in
 * rounds, from reports of what each router uses. A router starts round r + 1
 * only after it has every member's report of round r, so two routers are never
 * more than one round apart. A router applies the lower of its last two shares,
 * which keeps the sum of all shares within the limit although the routers
 * switch at different times. Members that are cut off from others share only
 * their part of the limit, members / routers.
 *
 * A limit L over N routers holds within these bounds:
 * - while rounds complete, the sum of the shares is at most L;
 * - while some routers are cut off, they use L / N, and the others their last
 *   shares until their round times out. The sum is below 2 L for at most
 *   LIMIT_ROUND_TIMEOUT_US after the last of them was cut off, and at most L
 *   afterwards;
 * - a rate may be exceeded by saved-up tokens, which are at most LIMIT_BURST_US
 *   of a share or one request for each router;
 * - a concurrency may be exceeded by the requests that were in progress when a
 *   share was lowered, until they end.
 */
#ifndef PROCESS_LIMIT_H
#define PROCESS_LIMIT_H

#include <stdint.h>

#include "process/str.h"

/* One bit for each router has to fit into a uint64_t. */
#define LIMIT_ROUTERS_MAX 64

/* Shortest time between two rounds. */
#define LIMIT_ROUND_US INT64_C(500000)

/* A round that takes longer has failed, and fixed shares apply. */
#define LIMIT_ROUND_TIMEOUT_US INT64_C(2000000)

/* A share's unused rate is saved up for at most this time. */
#define LIMIT_BURST_US INT64_C(500000)

/* A limit as configured, over all routers. */
typedef struct {
	double requests_s; /* requests per second; 0: no limit */
	int64_t concurrency; /* requests in progress; 0: no limit */
} limit_values_t;

/* Usage of one limit at one router, as reported to the other routers. */
typedef struct {
	uint64_t id; /* hash of workspace and service, same on all routers */
	double demand_per_s; /* requests, admitted or not; multiple of 0.001 */
	int64_t running; /* requests in progress */
} limit_usage_t;

/* Result of limit_request_begin(). */
typedef enum {
	LIMIT_ADMITTED,
	LIMIT_RATE, /* too many requests per second */
	LIMIT_CONCURRENCY, /* too many in progress */
} limit_result_t;

/* All limits at one router and the state of the rounds. What is kept for the
 * last two rounds stands at the index round & 1.
 */
typedef struct {
	unsigned routers; /* in the deployment, at most LIMIT_ROUTERS_MAX */
	unsigned self; /* own index; all routers use the same indexes */
	unsigned n_report_slots; /* routers for whose reports there is memory */
	uint64_t members; /* bit for each router that takes part in rounds */
	uint64_t round; /* current round: that of the last own report */
	uint64_t reported[2]; /* bit for each router that has reported */
	int64_t round_started_us;
	int64_t reports_sent_us; /* when own reports were last to be sent */
	unsigned completed_rounds; /* in sequence, counted up to 2 */
	GHashTable *entries; /* limit ID to entry; owns the entries */
} limiter_t;

/* Receives one limit of a report; the usage is valid during the call. */
typedef void (*limit_usage_fn_t)(const limit_usage_t *usage, void *context);

void limit_init(limiter_t *limiter, unsigned routers, unsigned self,
		int64_t now_us);
void limit_finish(limiter_t *limiter);
uint64_t limit_id(str_t workspace, str_t service);
void limit_set(limiter_t *limiter, uint64_t id, limit_values_t values,
	       int64_t now_us);
void limit_remove(limiter_t *limiter, uint64_t id);
void limit_set_members(limiter_t *limiter, uint64_t members, unsigned routers);
limit_result_t limit_request_begin(limiter_t *limiter, uint64_t id,
				   int64_t now_us, int64_t *retry_at_us);
void limit_request_end(limiter_t *limiter, uint64_t id);
unsigned limit_tick(limiter_t *limiter, int64_t now_us);
size_t limit_visit_usage(const limiter_t *limiter, uint64_t round,
			 limit_usage_fn_t visit, void *context);
void limit_receive_report(limiter_t *limiter, unsigned router, uint64_t round,
			  const limit_usage_t *usage, size_t n_usage,
			  int64_t now_us);
bool limit_uses_fixed_shares(const limiter_t *limiter);
double limit_share_rate(const limiter_t *limiter, uint64_t id);
int64_t limit_share_concurrency(const limiter_t *limiter, uint64_t id);

#endif
