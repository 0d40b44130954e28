/* What became of one send of a request: whether it may have run, and whether
 * it may be sent again. One table for every path.
 */
#ifndef REQUEST_OUTCOME_H
#define REQUEST_OUTCOME_H

#include "connection/http_pool.h"
#include "request/verdict.h"

/* What came back. */
typedef struct {
	call_end_t end;
	bool timed_out; /* given up here before the call ended */
	unsigned status; /* of a whole response */
	bool not_run; /* the response states that the request did not run */
	bool has_signature; /* the response is from the server itself */
} outcome_input_t;

typedef enum {
	OUTCOME_PASS_ON, /* the response is the caller's answer */
	OUTCOME_NOT_RUN, /* 503: come back */
	OUTCOME_LOST, /* 502: nobody knows */
	OUTCOME_TIMED_OUT, /* 504: nobody knows */
} outcome_answer_t;

typedef struct {
	run_status_t run;
	bool failed; /* counts against the server */
	bool may_resend; /* to another server */
	outcome_answer_t answer; /* when it is not sent again */
} outcome_t;

outcome_t outcome_classify(const outcome_input_t *input, bool repeatable);

#endif
