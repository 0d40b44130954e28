/* Verdicts: how a request ended and whether a backend server may have run it.
 * The verdict goes to the caller, who can see from it whether a retry is safe.
 * The response header and the JSON member "verdict" hold only the run status.
 */
#ifndef REQUEST_VERDICT_H
#define REQUEST_VERDICT_H

#include <stdint.h>

#include "process/str.h"

/* Whether a request may have run at a backend server. */
typedef enum {
	RUN_NOT_RUN, /* no backend server can have started it */
	RUN_MAY_HAVE_RUN, /* it was sent, and it is not known how it ended */
	RUN_RAN, /* a server has answered it, maybe with an error */
} run_status_t;

/* How a request ended. Each code has an HTTP status and a name in verdict.c. */
typedef enum {
	VERDICT_OK,
	VERDICT_BAD_REQUEST,
	VERDICT_UNAUTHORIZED,
	VERDICT_FORBIDDEN,
	VERDICT_NOT_FOUND,
	VERDICT_METHOD_NOT_ALLOWED,
	VERDICT_CONFLICT,
	VERDICT_TOO_LARGE,
	VERDICT_CALLER_TIMEOUT, /* HTTP 408 */
	VERDICT_RATE_LIMITED,
	VERDICT_OVERLOADED, /* no capacity in time; HTTP 503 */
	VERDICT_UNAVAILABLE, /* a needed part was not reached; HTTP 503 */
	VERDICT_SHUTTING_DOWN,
	VERDICT_BACKEND_FAILED,
	VERDICT_BACKEND_TIMEOUT,
	VERDICT_CALLER_GONE,
	VERDICT_INTERNAL,
	VERDICTS_N, /* number of codes */
} verdict_code_t;

/* The end of a request, or why it failed. Small, and copied by value. */
typedef struct {
	run_status_t run;
	verdict_code_t code;
	int64_t retry_at_us; /* when the caller may try again, or earliest time
				of a retry by this process; CLOCK_BOOTTIME; 0:
				not given */
	const char *detail; /* static text for the caller, or NULL */
} verdict_t;

/* Response header that holds verdict_run_text(). */
#define VERDICT_HEADER "Gooseberryspur-Verdict"

verdict_t verdict_make(run_status_t run, verdict_code_t code,
		       const char *detail);
verdict_t verdict_with_retry_at(verdict_t verdict, int64_t retry_at_us);
const char *verdict_run_text(run_status_t run);
const char *verdict_code_text(verdict_code_t code);
unsigned verdict_http_status(const verdict_t *verdict);
int64_t verdict_retry_after_s(const verdict_t *verdict, int64_t now_us);
void verdict_append_json(GString *out, const verdict_t *verdict,
			 int64_t now_us);

#endif
