/* Verdicts: the error type of the project. */
#ifndef REQUEST_VERDICT_H
#define REQUEST_VERDICT_H

#include <stdint.h>

#include "process/str.h"

/* Whether a request may have been executed by a backend server. */
typedef enum {
	RUN_NOT_RUN, /* no backend server can have started it */
	RUN_MAY_HAVE_RUN, /* it was sent, and the outcome is not known whole */
	RUN_RAN, /* it was executed to its end */
} run_status_t;

typedef enum {
	VERDICT_OK,
	VERDICT_BAD_REQUEST,
	VERDICT_UNAUTHORIZED,
	VERDICT_FORBIDDEN,
	VERDICT_NOT_FOUND,
	VERDICT_METHOD_NOT_ALLOWED,
	VERDICT_CONFLICT,
	VERDICT_TOO_LARGE,
	VERDICT_CALLER_TIMEOUT,
	VERDICT_RATE_LIMITED,
	VERDICT_OVERLOADED,
	VERDICT_UNAVAILABLE,
	VERDICT_SHUTTING_DOWN,
	VERDICT_BACKEND_FAILED,
	VERDICT_BACKEND_TIMEOUT,
	VERDICT_CALLER_GONE,
	VERDICT_INTERNAL,
	VERDICTS_N,
} verdict_code_t;

typedef struct {
	run_status_t run;
	verdict_code_t code;
	int64_t retry_at_us; /* when to come back, CLOCK_BOOTTIME; 0: unset */
	const char *detail; /* static text for the caller, or NULL */
} verdict_t;

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
