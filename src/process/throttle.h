/* What limits the calls to the platform: token buckets and a circuit breaker.
 * Pure; the time is passed as an argument.
 */
#ifndef PROCESS_THROTTLE_H
#define PROCESS_THROTTLE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	double rate_s; /* calls a second */
	double burst; /* calls at once */
	double tokens;
	int64_t at_us; /* when `tokens` was current */
} bucket_t;

/* Consecutive failures that open the breaker. */
#define BREAKER_FAILURES 4

/* Bounds of the time that it stays open. A configuration must be in effect
 * within 5 s, so a VM may not stay away for much longer than half of that
 * after the platform is back.
 */
#define BREAKER_OPEN_BASE_US INT64_C(250000)
#define BREAKER_OPEN_MAX_US INT64_C(3000000)

typedef struct {
	unsigned failures; /* consecutive */
	int64_t open_until_us;
	bool probing; /* one call finds out whether the platform is back */
	uint64_t seed;
} breaker_t;

void bucket_init(bucket_t *bucket, double rate_s, double burst, int64_t now_us);
bool bucket_take(bucket_t *bucket, int64_t now_us);
int64_t bucket_ready_at_us(bucket_t *bucket, int64_t now_us);

void breaker_init(breaker_t *breaker, uint64_t seed);
bool breaker_allow(breaker_t *breaker, int64_t now_us);
int64_t breaker_ready_at_us(const breaker_t *breaker, int64_t now_us);
void breaker_record_success(breaker_t *breaker);
void breaker_record_failure(breaker_t *breaker, int64_t now_us);
void breaker_record_cancelled(breaker_t *breaker);

#endif
