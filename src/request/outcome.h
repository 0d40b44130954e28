/* Classifies one send of a request to a backend server: whether the request may
 * have run, whether it may be retried, and what is answered to the caller. All
 * kinds of requests use the same rules.
 */
#ifndef REQUEST_OUTCOME_H
#define REQUEST_OUTCOME_H

#include "connection/http_pool.h"
#include "request/verdict.h"

/* How the send ended and what came back. */
typedef struct {
	call_end_t end;
	bool timed_out; /* the wait for an answer ended before the call did */
	unsigned status; /* of a whole response */
	bool not_run; /* the response states that the request did not run */
	bool is_own; /* the response can be to no earlier request */
	bool has_signature; /* has the response header that shows that the
			       server itself has responded */
} outcome_input_t;

/* What is answered to the caller if the request is not retried. */
typedef enum {
	OUTCOME_PASS_ON, /* the server's response */
	OUTCOME_NOT_RUN, /* 503: not run, try again later */
	OUTCOME_LOST, /* 502: connection lost, may have run */
	OUTCOME_TIMED_OUT, /* 504: no response in time, may have run */
} outcome_answer_t;

typedef struct {
	run_status_t run;
	bool failed; /* counts as a failure of the server */
	bool may_retry; /* at another server */
	outcome_answer_t answer; /* to the caller, when it is not retried */
} outcome_t;

bool outcome_says_not_run(unsigned status);
outcome_t outcome_classify(const outcome_input_t *input, bool repeatable);

#endif
