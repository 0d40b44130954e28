/* Token buckets and a circuit breaker, which limit the calls to the platform.
 * The code does no I/O and reads no clock; callers pass the time.
 */
#ifndef PROCESS_THROTTLE_H
#define PROCESS_THROTTLE_H

#include <stdbool.h>
#include <stdint.h>

/* Token bucket that limits the rate of calls. */
typedef struct {
	double calls_per_s;
	double burst; /* calls that a full bucket allows at once */
	double tokens; /* calls that the bucket allows now */
	int64_t updated_us; /* when `tokens` was current */
} bucket_t;

/* Consecutive failures that open the breaker. */
#define BREAKER_FAILURES 4

/* Bounds of the time that the breaker stays open before the next probe. A new
 * configuration must be in effect within 5 s, so a VM must not wait much
 * longer than half of that after the platform is back.
 */
#define BREAKER_OPEN_BASE_US INT64_C(250000)
#define BREAKER_OPEN_MAX_US INT64_C(3000000)

/* Circuit breaker: stops calls after BREAKER_FAILURES failures in a row and
 * then sends one probe at a time until one succeeds.
 */
typedef struct {
	unsigned failures; /* consecutive */
	int64_t open_until_us; /* when the next probe may be sent */
	bool probing; /* a probe is in progress */
	uint64_t seed; /* state of the random numbers for the jitter */
} breaker_t;

void bucket_init(bucket_t *bucket, double calls_per_s, double burst,
		 int64_t now_us);
bool bucket_take(bucket_t *bucket, int64_t now_us);
int64_t bucket_ready_at_us(bucket_t *bucket, int64_t now_us);

void breaker_init(breaker_t *breaker, uint64_t seed);
bool breaker_allow(breaker_t *breaker, int64_t now_us);
int64_t breaker_ready_at_us(const breaker_t *breaker, int64_t now_us);
void breaker_record_success(breaker_t *breaker);
void breaker_record_failure(breaker_t *breaker, int64_t now_us);
void breaker_record_cancelled(breaker_t *breaker);

#endif
