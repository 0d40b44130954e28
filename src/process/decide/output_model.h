/* How many tokens a stream will make, from the caller's estimate and from what
 * the estimates of ended streams were worth. Pure.
 */
#ifndef PROCESS_OUTPUT_MODEL_H
#define PROCESS_OUTPUT_MODEL_H

#include <stdint.h>

/* Moments of the logarithms, as estimates are off by factors. */
typedef struct {
	double requests; /* weight of what is known of the estimates */
	double center; /* mean of the estimates */
	double streams; /* weight of what is known of ended streams */
	double bias; /* mean of output less estimate */
	double spread; /* variance of the estimates */
	double common; /* covariance of estimates and outputs */
	double rest; /* variance of outputs that estimates do not explain */
} output_model_t;

void output_model_init(output_model_t *model);
void output_model_note_estimate(output_model_t *model, int64_t estimate_tokens);
void output_model_note_output(output_model_t *model, int64_t estimate_tokens,
			      int64_t output_tokens);
int64_t output_model_expect(const output_model_t *model,
			    int64_t estimate_tokens);

#endif
