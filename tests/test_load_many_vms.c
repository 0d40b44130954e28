#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>

#include "process/clock.h"
#include "support_model.h"

/* Requests/s in a surge, and what the engines can do. */
#define SURGE_RATE 84
#define CAPACITY 54

/* 64 VMs and 24 engines with memory for about nine streams. Before the surge the
 * traffic is less than half of what the engines can do.
 */
static const model_config_t many_vms = {
	.vms = 64,
	.engines = 24,
	.prefills = 9,
	.rounds = true,
	.slots = 128,
	.kv_tokens = 33505,
	.prefill_us_per_token = 30,
	.prefill_fixed_us = 40000,
	.event_us = 38000,
	.event_us_per_stream = 1000,
	.tokens_per_event = 11,
	.stage_change_us = 6000000,
	.prompt_tokens = 3000,
	.output_tokens = 770,
	.rate_per_s = 21,
	.clump = 3,
	.announce_delay_us = 35000,
	.surge_from_us = 24000000,
	.surge_until_us = 30000000,
	.surge_factor = (double)SURGE_RATE / 21,
	.count_from_us = 24000000,
	.until_us = 30000000,
	.seed = 1,
};

/* Pattern: a surge at many VMs that learn late of each other's streams. Guards
 * against VMs that together give an engine more streams than it has memory for
 * and that keep to that choice while the prompts are read: the engine then
 * refuses prompts that were read for it.
 */
static void test_many_vms_that_learn_late(void **state)
{
	model_config_t config = many_vms;

	for (config.seed = 1; config.seed <= 3; config.seed++) {
		model_result_t result = model_run(&config);

		print_message("arrived %u, on time %u, late %u, refused %u, "
			      "engine refusals %u\n",
			      result.arrived, result.on_time, result.late,
			      result.refused, result.engine_refusals);
		assert_true(3 * SURGE_RATE * result.on_time >=
			    2 * CAPACITY * result.arrived);
		assert_true(result.engine_refusals <= result.arrived / 50);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_many_vms_that_learn_late),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
