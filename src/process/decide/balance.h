/* Load balancing over the backend servers of a plain service. Pure: no clock,
 * no I/O.
 */
#ifndef PROCESS_BALANCE_H
#define PROCESS_BALANCE_H

#include <stdint.h>

#include "process/decide/server_limits.h"
#include "process/decide/server_set.h"

/* What a server is chosen for. */
typedef struct {
	const char *service;
	const char *zone; /* of this VM */
	const server_t *const *except; /* already tried for the request */
	size_t n_except;
	server_limits_t *limits; /* NULL: servers are taken over their limits */
	int64_t now_us;
} balance_request_t;

server_t *balance_pick(const server_set_t *set,
		       const balance_request_t *request);

#endif
