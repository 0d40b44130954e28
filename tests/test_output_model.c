#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <math.h>

#include "process/decide/output_model.h"

typedef struct {
	uint64_t seed;
	double factor; /* by which estimates are off, as a logarithm */
	double bias; /* of the estimates, as a logarithm */
} load_t;

static double uniform(load_t *load)
{
	load->seed = load->seed * 6364136223846793005u + 1442695040888963407u;
	return (double)(load->seed >> 11) / (double)(UINT64_C(1) << 53);
}

static double normal(load_t *load)
{
	double sum = 0;

	for (int i = 0; i < 12; i++)
		sum += uniform(load);
	return sum - 6;
}

static void draw(load_t *load, int64_t *estimate, int64_t *output)
{
	double made = log(3600) + 0.47 * normal(load);

	*output = llround(exp(made));
	*estimate =
		llround(exp(made + load->bias + load->factor * normal(load)));
}

/* Pattern: engines whose memory is full in each surge, callers whose estimates
 * are right at the median and far off one by one. The memory that is counted
 * for all streams has to be what they use: guards against places that stay
 * empty because large estimates are believed, and against engines that run out
 * because small ones are. The bound is a tenth, as the margin of an engine's
 * memory is for the spread of streams and not for wrong means.
 */
static void test_sum_of_expectations(void **state)
{
	static const struct {
		double factor, bias;
		unsigned learned; /* streams that have ended before */
	} cases[] = {
		{0.5, 0, 0},   {0.5, 0, 300},  {0.1, 0, 300},
		{1.0, 0, 300}, {0.5, 1, 1000}, {0.5, -1, 1000},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		load_t load = {i + 1, cases[i].factor, cases[i].bias};
		double expected = 0, made = 0;
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
			made += (double)output;
		}
		print_message("expected %.0f, made %.0f\n", expected / 2000,
			      made / 2000);
		assert_true(fabs(expected / made - 1) < 0.1);
	}
}

/* Guards against a model that trusts estimates which are worth nothing, or
 * none of those that are exact.
 */
static void test_learns_what_estimates_are_worth(void **state)
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

/* Guards against a size that is built in: a service with short answers must
 * not be counted with the outputs of another one.
 */
static void test_no_size_is_assumed(void **state)
{
	output_model_t model;

	output_model_init(&model);
	output_model_note_estimate(&model, 80);
	assert_in_range(output_model_expect(&model, 80), 60, 120);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sum_of_expectations),
		cmocka_unit_test(test_learns_what_estimates_are_worth),
		cmocka_unit_test(test_no_size_is_assumed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
