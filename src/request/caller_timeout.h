/* How long callers of a route wait, learned from what their requests tell, and
 * from that how long one that comes back has waited already. Pure.
 */
#ifndef REQUEST_CALLER_TIMEOUT_H
#define REQUEST_CALLER_TIMEOUT_H

#include <stdint.h>

typedef struct {
	int64_t most_us; /* that a caller gave */
	double at_most; /* share of requests that gave about as much */
} caller_timeout_t;

int64_t caller_timeout_elapsed_us(caller_timeout_t *patience,
				  int64_t time_left_us);

#endif
