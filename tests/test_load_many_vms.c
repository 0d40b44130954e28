#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>

#include "process/clock.h"
#include "support_model.h"

/* Requests/s in a surge, and what the engines can do: three times those of
 * model_base.
 */
#define SURGE_RATE 84
#define CAPACITY 54

/* Pattern: a surge at many VMs that learn late of each other's streams. Guards
 * against VMs that together give an engine more streams than it has memory for
 * and that keep to that choice while the prompts are read: the engine then
 * refuses prompts that were read for it.
 */
static void test_many_vms_that_learn_late(void **state)
{
	model_config_t config = model_base;

	config.vms = 64;
	config.engines *= 3;
	config.prefills *= 3;
	config.rate_per_s *= 3;
	config.announce_delay_us = 35 * CLOCK_US_PER_MS;
	config.surge_from_us = config.count_from_us;
	config.surge_until_us = config.count_from_us + 6 * CLOCK_US_PER_S;
	config.until_us = config.surge_until_us;
	config.surge_factor = SURGE_RATE / config.rate_per_s;
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
