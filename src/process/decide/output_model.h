/* Statistical model (not the language model) that predicts how many tokens a
 * stream will generate, from the caller's estimate and from how well the
 * estimates of ended streams matched their outputs. Pure: no clock, no I/O.
 */
#ifndef PROCESS_OUTPUT_MODEL_H
#define PROCESS_OUTPUT_MODEL_H

#include <stdint.h>

/* A linear regression of outputs on estimates. Its moments are those of the
 * natural logarithms of token counts, as estimates are off by factors. The
 * moments of the latest requests and streams count most.
 */
typedef struct {
	double requests; /* number of estimates that the mean rests on */
	double estimate_mean;
	double streams; /* number of ended streams that the others rest on */
	double bias; /* mean of output less estimate */
	double estimate_variance;
	double covariance; /* of estimates and outputs */
	double residual_variance; /* of outputs about their prediction */
} output_model_t;

void output_model_init(output_model_t *model);
void output_model_note_estimate(output_model_t *model, int64_t estimate_tokens);
void output_model_note_output(output_model_t *model, int64_t estimate_tokens,
			      int64_t output_tokens);
int64_t output_model_expect(const output_model_t *model,
			    int64_t estimate_tokens);

#endif
