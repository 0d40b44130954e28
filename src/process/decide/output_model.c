#include "process/decide/output_model.h"

#include <math.h>

/* What the model assumes before any stream has ended: the median estimate is
 * right, single ones are off by a factor of 1.6 either way (a standard
 * deviation of 0.47 of the logarithm), and outputs vary by the same factor.
 * Half of the variance of the estimates is then error. The assumption counts
 * as much as PRIOR_STREAMS ended streams.
 */
#define PRIOR_STREAMS 20.0
#define PRIOR_ESTIMATE_VARIANCE 0.44
#define PRIOR_COVARIANCE 0.22
#define PRIOR_RESIDUAL_VARIANCE 0.11

/* Windows of the moving averages: older requests and streams hardly count. */
#define WINDOW_REQUESTS 200.0
#define WINDOW_STREAMS 200.0

/* From so many requests on, an estimate that is further from the mean counts as this far,
 * as the difference of the logarithms: twenty times as long or as short.
 */
#define MAX_DEVIATION 3.0
#define LIMITED_FROM_REQUESTS 10.0

/* Longest output that is expected, in tokens: no larger number is read from a caller. */
#define MAX_EXPECTED_TOKENS 16777216.0

/* Sets up a model that has seen no request. */
void output_model_init(output_model_t *model)
{
	*model = (output_model_t){
		.streams = PRIOR_STREAMS,
		.estimate_variance = PRIOR_ESTIMATE_VARIANCE,
		.covariance = PRIOR_COVARIANCE,
		.residual_variance = PRIOR_RESIDUAL_VARIANCE,
	};
}

/* Returns the logarithm of an estimate, no further from the mean than one request may be. */
static double limited_log(const output_model_t *model, int64_t estimate_tokens)
{
	double estimate = log(fmax((double)estimate_tokens, 1));

	if (model->requests < LIMITED_FROM_REQUESTS)
		return estimate;
	return fmin(fmax(estimate, model->estimate_mean - MAX_DEVIATION),
		    model->estimate_mean + MAX_DEVIATION);
}

/* Adds the estimate of a request that has arrived to the mean. */
void output_model_note_estimate(output_model_t *model, int64_t estimate_tokens)
{
	double estimate = limited_log(model, estimate_tokens);

	model->requests = fmin(model->requests + 1, WINDOW_REQUESTS);
	model->estimate_mean +=
		(estimate - model->estimate_mean) / model->requests;
}

/* Returns the slope of the regression, from 0 when estimates say nothing about
 * the outputs to 1 when outputs differ from the mean as much as estimates do.
 */
static double slope(const output_model_t *model)
{
	return fmin(fmax(model->covariance / model->estimate_variance, 0), 1);
}

/* Predicts the logarithm of an output from that of its estimate. */
static double predict_log(const output_model_t *model, double estimate)
{
	return model->estimate_mean + model->bias +
	       slope(model) * (estimate - model->estimate_mean);
}

/* Learns from a stream that has ended with its whole output. */
void output_model_note_output(output_model_t *model, int64_t estimate_tokens,
			      int64_t output_tokens)
{
	double estimate = limited_log(model, estimate_tokens);
	double output = log(fmax((double)output_tokens, 1));
	double deviation = estimate - model->estimate_mean;
	double residual = output - predict_log(model, estimate);
	double weight;

	model->streams = fmin(model->streams + 1, WINDOW_STREAMS);
	weight = 1 / model->streams;
	model->residual_variance +=
		weight * (residual * residual - model->residual_variance);
	model->covariance +=
		weight *
		(deviation * (output - model->estimate_mean - model->bias) -
		 model->covariance);
	model->estimate_variance +=
		weight * (deviation * deviation - model->estimate_variance);
	/* Keeps slope() from a division by zero. */
	model->estimate_variance = fmax(model->estimate_variance, 1e-6);
	model->bias += weight * (output - estimate - model->bias);
}

/* Returns the expected output, in tokens, of a stream with this estimate. Half
 * the residual variance makes it the mean of the log-normal distribution, where
 * the predicted logarithm alone would give the median. At most MAX_EXPECTED_TOKENS, also
 * when the prediction is not a number.
 */
int64_t output_model_expect(const output_model_t *model,
			    int64_t estimate_tokens)
{
	double estimate = log(fmax((double)estimate_tokens, 1));

	return llround(fmin(exp(predict_log(model, estimate) +
				model->residual_variance / 2),
			    MAX_EXPECTED_TOKENS));
}
