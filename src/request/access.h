/* Reads the headers of a request that concern its caller: checks the bearer
 * token, and reads the time limit and the trace.
 */
#ifndef REQUEST_ACCESS_H
#define REQUEST_ACCESS_H

#include <libsoup/soup.h>

#include "request/verdict.h"
#include "version/state.h"

const workspace_t *access_authenticate(const state_t *state,
				       SoupMessageHeaders *headers,
				       verdict_t *verdict);
bool access_token_matches(const char *sha256, SoupMessageHeaders *headers);
int64_t access_deadline(SoupMessageHeaders *headers, int64_t now_us,
			int64_t limit_ms, verdict_t *verdict);
bool access_copy_traceparent(SoupMessageHeaders *headers, char trace[56]);

#endif
