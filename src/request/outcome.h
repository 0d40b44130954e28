/* Classifies one send of a request to a backend server: whether the request may
 * have run, whether it may be sent again, and what the caller is told. All
 * kinds of requests use the same rules.
 */
#ifndef REQUEST_OUTCOME_H
#define REQUEST_OUTCOME_H

#include "connection/http_pool.h"
#include "request/verdict.h"

/* How the send ended and what came back. */
typedef struct {
	call_end_t end;
	bool timed_out; /* the router gave up before the call ended */
	unsigned status; /* of a whole response */
	bool not_run; /* the response states that the request did not run */
	bool has_signature; /* shows that the server itself has responded */
} outcome_input_t;

/* What the caller is told if the request is not sent again. */
typedef enum {
	OUTCOME_PASS_ON, /* the server's response */
	OUTCOME_NOT_RUN, /* 503: not run, try again later */
	OUTCOME_LOST, /* 502: connection lost, may have run */
	OUTCOME_TIMED_OUT, /* 504: no response in time, may have run */
} outcome_answer_t;

typedef struct {
	run_status_t run;
	bool failed; /* counts as a failure of the server */
	bool may_retry; /* to another server */
	outcome_answer_t answer; /* when it is not sent again */
} outcome_t;

outcome_t outcome_classify(const outcome_input_t *input, bool repeatable);

#endif
