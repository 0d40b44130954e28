/* The body of a request while it is read, and the memory that is reserved for it until the
 * request has ended.
 */
#ifndef CONNECTION_REQUEST_BODY_H
#define CONNECTION_REQUEST_BODY_H

#include <glib.h>

#include "process/memory_budget.h"

/* What became of a piece of a body. */
typedef enum {
	BODY_TAKEN,
	BODY_TOO_LARGE, /* the body is longer than allowed */
	BODY_NO_ROOM, /* nothing is reserved for it, and there is no room */
} body_result_t;

/* A body; all zero when there is none. */
typedef struct {
	memory_budget_t *budget; /* borrowed; NULL: nothing is counted */
	size_t reserved_bytes; /* counted in the budget */
	int64_t stated_bytes; /* its length; -1: known at its end only */
	size_t max_bytes; /* that are allowed */
	char *data;
	size_t len;
	size_t allocated_bytes;
} request_body_t;

bool request_body_begin(request_body_t *body, memory_budget_t *budget,
			int64_t stated_bytes, size_t max_bytes);
body_result_t request_body_append(request_body_t *body, str_t bytes);
GBytes *request_body_complete(request_body_t *body);
void request_body_clear(request_body_t *body);

#endif
