#include "request/outcome.h"

static outcome_t lost(bool repeatable, outcome_answer_t answer)
{
	return (outcome_t){
		.run = RUN_MAY_HAVE_RUN,
		.failed = true,
		.may_resend = repeatable,
		.answer = answer,
	};
}

static outcome_t of_response(const outcome_input_t *input, bool repeatable)
{
	if (input->not_run)
		return (outcome_t){.run = RUN_NOT_RUN,
				   .may_resend = true,
				   .answer = OUTCOME_NOT_RUN};
	/* A success that the server did not sign is not its answer. */
	if (input->status / 100 == 2 && !input->has_signature)
		return lost(repeatable, OUTCOME_LOST);
	return (outcome_t){
		.run = RUN_RAN,
		.failed = input->status >= 500,
		.may_resend = repeatable && input->status >= 500,
		.answer = OUTCOME_PASS_ON,
	};
}

/*
 * Judges one send. Only a server's own word, or a connection that was never
 * made, shows that a request has not run; after a reset, a cut response or
 * silence it may have run.
 */
outcome_t outcome_classify(const outcome_input_t *input, bool repeatable)
{
	if (input->timed_out)
		return lost(repeatable, OUTCOME_TIMED_OUT);
	switch (input->end) {
	case CALL_ANSWERED:
		return of_response(input, repeatable);
	case CALL_NOT_SENT:
		return (outcome_t){.run = RUN_NOT_RUN,
				   .failed = true,
				   .may_resend = true,
				   .answer = OUTCOME_NOT_RUN};
	case CALL_LOST:
	case CALL_MALFORMED:
		break;
	}
	return lost(repeatable, OUTCOME_LOST);
}
