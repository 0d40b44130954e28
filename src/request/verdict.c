#include "request/verdict.h"

#include <inttypes.h>

#include "process/clock.h"

typedef struct {
	unsigned status;
	const char *text;
} code_info_t;

static const code_info_t codes[VERDICTS_N] = {
	[VERDICT_OK] = {200, "ok"},
	[VERDICT_BAD_REQUEST] = {400, "bad_request"},
	[VERDICT_UNAUTHORIZED] = {401, "unauthorized"},
	[VERDICT_FORBIDDEN] = {403, "forbidden"},
	[VERDICT_NOT_FOUND] = {404, "not_found"},
	[VERDICT_METHOD_NOT_ALLOWED] = {405, "method_not_allowed"},
	[VERDICT_CONFLICT] = {409, "conflict"},
	[VERDICT_TOO_LARGE] = {413, "too_large"},
	[VERDICT_CALLER_TIMEOUT] = {408, "caller_timeout"},
	[VERDICT_RATE_LIMITED] = {429, "rate_limited"},
	[VERDICT_OVERLOADED] = {503, "overloaded"},
	[VERDICT_UNAVAILABLE] = {503, "unavailable"},
	[VERDICT_SHUTTING_DOWN] = {503, "shutting_down"},
	[VERDICT_BACKEND_FAILED] = {502, "backend_failed"},
	[VERDICT_BACKEND_TIMEOUT] = {504, "backend_timeout"},
	[VERDICT_CALLER_GONE] = {499, "caller_gone"},
	[VERDICT_INTERNAL] = {500, "internal"},
};

/* Builds a verdict without a time to come back. The detail is not copied. */
verdict_t verdict_make(run_status_t run, verdict_code_t code,
		       const char *detail)
{
	return (verdict_t){.run = run, .code = code, .detail = detail};
}

/* Returns the verdict with the time at which the caller may come back. */
verdict_t verdict_with_retry_at(verdict_t verdict, int64_t retry_at_us)
{
	verdict.retry_at_us = retry_at_us;
	return verdict;
}

/* Value of the verdict header. */
const char *verdict_run_text(run_status_t run)
{
	switch (run) {
	case RUN_NOT_RUN:
		return "not-run";
	case RUN_RAN:
		return "ran";
	case RUN_MAY_HAVE_RUN:
		break;
	}
	return "may-have-run";
}

/* Machine-readable name of a code, as in JSON errors and log lines. */
const char *verdict_code_text(verdict_code_t code)
{
	return codes[code].text;
}

/* HTTP status for a verdict. */
unsigned verdict_http_status(const verdict_t *verdict)
{
	return codes[verdict->code].status;
}

/*
 * Seconds for Retry-After, rounded up and at least 1, or 0 when the verdict
 * names no time to come back.
 */
int64_t verdict_retry_after_s(const verdict_t *verdict, int64_t now_us)
{
	int64_t left_us = verdict->retry_at_us - now_us;

	if (!verdict->retry_at_us)
		return 0;
	if (left_us <= CLOCK_US_PER_S)
		return 1;
	return (left_us + CLOCK_US_PER_S - 1) / CLOCK_US_PER_S;
}

/*
 * Appends the JSON error object of a verdict. Details are static text of the
 * program and need no escaping.
 */
void verdict_append_json(GString *out, const verdict_t *verdict, int64_t now_us)
{
	int64_t retry_s = verdict_retry_after_s(verdict, now_us);

	g_string_append_printf(out,
			       "{\"error\":{\"code\":\"%s\",\"message\":\"%s\","
			       "\"verdict\":\"%s\"",
			       verdict_code_text(verdict->code),
			       verdict->detail ? verdict->detail : "",
			       verdict_run_text(verdict->run));
	if (retry_s)
		g_string_append_printf(out, ",\"retry_after_s\":%" PRId64,
				       retry_s);
	g_string_append(out, "}}");
}
