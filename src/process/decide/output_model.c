#include "process/decide/output_model.h"

#include <math.h>

/* Before any stream has ended, estimates count as right at the median and off
 * by a factor of 1.6 either way, for outputs that differ as much among
 * themselves: half of what sets an estimate apart is its error.
 */
#define PRIOR_STREAMS 20.0
#define PRIOR_SPREAD 0.44
#define PRIOR_COMMON 0.22
#define PRIOR_REST 0.11

/* What is older than about this many requests or streams is forgotten. */
#define MOST_REQUESTS 200.0
#define MOST_STREAMS 200.0

/* Sets up a model that knows no request. */
void output_model_init(output_model_t *model)
{
	*model = (output_model_t){
		.streams = PRIOR_STREAMS,
		.spread = PRIOR_SPREAD,
		.common = PRIOR_COMMON,
		.rest = PRIOR_REST,
	};
}

/* Takes in the estimate of a request that has arrived. */
void output_model_note_estimate(output_model_t *model, int64_t estimate_tokens)
{
	double estimate = log(fmax((double)estimate_tokens, 1));

	model->requests = fmin(model->requests + 1, MOST_REQUESTS);
	model->center += (estimate - model->center) / model->requests;
}

/* Share of an estimate's distance from the mean that outputs follow. */
static double slope(const output_model_t *model)
{
	return fmin(fmax(model->common / model->spread, 0), 1);
}

static double expected_log(const output_model_t *model, double estimate)
{
	return model->center + model->bias +
	       slope(model) * (estimate - model->center);
}

/* Takes in the output of a stream that has ended whole. */
void output_model_note_output(output_model_t *model, int64_t estimate_tokens,
			      int64_t output_tokens)
{
	double estimate = log(fmax((double)estimate_tokens, 1));
	double output = log(fmax((double)output_tokens, 1));
	double from_center = estimate - model->center;
	double missed = output - expected_log(model, estimate);
	double weight;

	model->streams = fmin(model->streams + 1, MOST_STREAMS);
	weight = 1 / model->streams;
	model->rest += weight * (missed * missed - model->rest);
	model->common +=
		weight * (from_center * (output - model->center - model->bias) -
			  model->common);
	model->spread += weight * (from_center * from_center - model->spread);
	model->spread = fmax(model->spread, 1e-6);
	model->bias += weight * (output - estimate - model->bias);
}

/* The mean output of streams with such an estimate. */
int64_t output_model_expect(const output_model_t *model,
			    int64_t estimate_tokens)
{
	double estimate = log(fmax((double)estimate_tokens, 1));

	return llround(exp(expected_log(model, estimate) + model->rest / 2));
}
