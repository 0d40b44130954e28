#include "request/outcome.h"

/* Returns the outcome of a send after which the request may have run, and no
 * response shows whether it has.
 */
static outcome_t unknown_outcome(bool repeatable, outcome_answer_t answer)
{
	return (outcome_t){
		.run = RUN_MAY_HAVE_RUN,
		.failed = true,
		.may_retry = repeatable,
		.answer = answer,
	};
}

/* Returns whether a status tells a caller that its request has not run and never will. */
bool outcome_says_not_run(unsigned status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Classifies a send that got a whole response. */
static outcome_t classify_response(const outcome_input_t *input,
				   bool repeatable)
{
	/* A copy of an earlier refusal says nothing about this request. */
	if (input->not_run && !input->is_own)
		return unknown_outcome(repeatable, OUTCOME_LOST);
	if (input->not_run)
		return (outcome_t){.run = RUN_NOT_RUN,
				   .may_retry = true,
				   .answer = OUTCOME_NOT_RUN};
	/* The caller would send it again, although the server does not state that
	 * it has not run.
	 */
	if (outcome_says_not_run(input->status) && !repeatable)
		return unknown_outcome(false, OUTCOME_LOST);
	/* A success without a signature does not come from the server itself,
	 * so it does not show that the request has run. Any other response
	 * counts as a request that has run.
	 */
	if (input->status / 100 == 2 && !input->has_signature)
		return unknown_outcome(repeatable, OUTCOME_LOST);
	return (outcome_t){
		.run = RUN_RAN,
		.failed = input->status >= 500,
		.may_retry = repeatable && input->status >= 500,
		.answer = OUTCOME_PASS_ON,
	};
}

/*
 * Classifies one send. A request is known not to have run only if the server
 * says so or no connection was made. After a reset, a truncated response or a
 * timeout it may have run, so only a repeatable request may be retried.
 */
outcome_t outcome_classify(const outcome_input_t *input, bool repeatable)
{
	if (input->timed_out)
		return unknown_outcome(repeatable, OUTCOME_TIMED_OUT);
	switch (input->end) {
	case CALL_ANSWERED:
		return classify_response(input, repeatable);
	case CALL_NOT_SENT:
		return (outcome_t){.run = RUN_NOT_RUN,
				   .failed = true,
				   .may_retry = true,
				   .answer = OUTCOME_NOT_RUN};
	case CALL_LOST:
	case CALL_MALFORMED:
		break;
	}
	return unknown_outcome(repeatable, OUTCOME_LOST);
}
