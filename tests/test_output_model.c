#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <math.h>

#include "process/decide/output_model.h"

/* Random requests. Errors are differences of natural logarithms. */
typedef struct {
	uint64_t seed;
	double error; /* standard deviation of the estimates' errors */
	double bias; /* mean of the estimates' errors */
} load_t;

/* Draws from [0, 1). */
static double uniform(load_t *load)
{
	load->seed = load->seed * 6364136223846793005u + 1442695040888963407u;
	return (double)(load->seed >> 11) / (double)(UINT64_C(1) << 53);
}

/* Draws from about a standard normal distribution. */
static double normal(load_t *load)
{
	double sum = 0;

	for (int i = 0; i < 12; i++)
		sum += uniform(load);
	return sum - 6;
}

/* Draws the output of a stream and its caller's estimate, in tokens. */
static void draw(load_t *load, int64_t *estimate, int64_t *output)
{
	double log_output = log(3600) + 0.47 * normal(load);

	*output = llround(exp(log_output));
	*estimate = llround(
		exp(log_output + load->bias + load->error * normal(load)));
}

/* The decode memory is full in each surge, and single estimates are far off.
 * The memory counted for all streams has to match what they use. Guards against
 * slots that stay free because large estimates are trusted, and against engines
 * that run out of memory because small ones are. The bound is a tenth, as the
 * margin of an engine's memory covers the variation among streams, not a wrong
 * mean.
 */
static void test_sum_of_expectations(void **state)
{
	static const struct {
		double error, bias;
		unsigned learned; /* streams that have ended before */
	} cases[] = {
		{0.5, 0, 0},   {0.5, 0, 300},  {0.1, 0, 300},
		{1.0, 0, 300}, {0.5, 1, 1000}, {0.5, -1, 1000},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		load_t load = {i + 1, cases[i].error, cases[i].bias};
		double expected = 0, generated = 0;
		output_model_t model;

		print_message("case %zu\n", i);
		output_model_init(&model);
		for (unsigned n = 0; n < 2000 + cases[i].learned; n++) {
			int64_t estimate, output;

			draw(&load, &estimate, &output);
			output_model_note_estimate(&model, estimate);
			if (n < cases[i].learned) {
				output_model_note_output(&model, estimate,
							 output);
				continue;
			}
			expected +=
				(double)output_model_expect(&model, estimate);
			generated += (double)output;
		}
		print_message("mean output: expected %.0f tokens, got %.0f\n",
			      expected / 2000, generated / 2000);
		assert_true(fabs(expected / generated - 1) < 0.1);
	}
}

/* Guards against a model that trusts estimates which say nothing about the
 * output, or that distrusts exact ones.
 */
static void test_learns_accuracy_of_estimates(void **state)
{
	for (int exact = 0; exact < 2; exact++) {
		load_t load = {7, exact ? 0 : 2.0, 0};
		output_model_t model;
		double ratio;

		output_model_init(&model);
		for (unsigned n = 0; n < 1000; n++) {
			int64_t estimate, output;

			draw(&load, &estimate, &output);
			output_model_note_estimate(&model, estimate);
			output_model_note_output(&model, estimate, output);
		}
		ratio = (double)output_model_expect(&model, 8000) /
			(double)output_model_expect(&model, 2000);
		if (exact)
			assert_true(ratio > 3.6 && ratio < 4.4);
		else
			assert_true(ratio < 1.5);
	}
}

/* Guards against a built-in output size: a service with short answers must not
 * be predicted from the typical output of other services.
 */
static void test_no_size_is_assumed(void **state)
{
	output_model_t model;

	output_model_init(&model);
	output_model_note_estimate(&model, 80);
	assert_in_range(output_model_expect(&model, 80), 60, 120);
}

/* Guards against one odd estimate that moves what is expected of all other streams. */
static void test_one_odd_estimate(void **state)
{
	output_model_t model;
	int64_t before, after;
	load_t load = {.seed = 5, .error = 0.5};
	int64_t estimate, output;

	output_model_init(&model);
	for (int i = 0; i < 40; i++) {
		draw(&load, &estimate, &output);
		output_model_note_estimate(&model, estimate);
		output_model_note_output(&model, estimate, output);
	}
	before = output_model_expect(&model, 3600);
	output_model_note_estimate(&model, 100000000);
	output_model_note_output(&model, 100000000, 3600);
	after = output_model_expect(&model, 3600);
	assert_true((double)after > 0.8 * (double)before);
	assert_true((double)after < 1.2 * (double)before);
}

/* Guards against an expected output that is negative, as the prediction is beyond an
 * int64_t, infinite or not a number.
 */
static void test_odd_models(void **state)
{
	static const double variances[] = {90, 1e4, INFINITY, NAN};

	for (size_t i = 0; i < sizeof(variances) / sizeof(variances[0]); i++) {
		output_model_t model;

		print_message("case %zu\n", i);
		output_model_init(&model);
		output_model_note_estimate(&model, 3600);
		model.residual_variance = variances[i];
		assert_int_equal(output_model_expect(&model, 3600), 1 << 24);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sum_of_expectations),
		cmocka_unit_test(test_learns_accuracy_of_estimates),
		cmocka_unit_test(test_no_size_is_assumed),
		cmocka_unit_test(test_one_odd_estimate),
		cmocka_unit_test(test_odd_models),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
