/* Distinguishes the first attempt of a caller from a retry after a refusal.
 *
 * Requests state only the time that the caller still waits. This learns from
 * them the longest time that callers of a route wait, and counts what a request
 * lacks of that as time that its caller spent in earlier attempts. No I/O.
 */
#ifndef REQUEST_CALLER_TIMEOUT_H
#define REQUEST_CALLER_TIMEOUT_H

#include <stdint.h>

/* The callers of one route. Zeroed before the first request. */
typedef struct {
	int64_t longest_us; /* longest time that a request stated */
	int64_t unconfirmed_us; /* a longer time that one request has stated; 0: none */
	/* Moving average: share of requests that stated about as much. */
	double longest_share;
} caller_timeout_t;

int64_t caller_timeout_elapsed_us(caller_timeout_t *timeout,
				  int64_t time_left_us);

#endif
