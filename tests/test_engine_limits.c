/* Model engines that name a limit on the requests that they take. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "request/stream_engines.h"

#define NOW_US (5000 * CLOCK_US_PER_S)
#define SERVICE "llm"

static void add_engine(server_set_t *set, const char *id, stage_t stage)
{
	server_entry_t entry = {
		.id = g_strdup(id),
		.service = g_strdup(SERVICE),
		.address = g_strconcat(id, ":80", NULL),
		.zone = g_strdup("z"),
		.stage = stage,
		.slots = 12,
	};

	server_set_put(set, &entry, NOW_US);
}

/* Returns whether an engine of a request's service may be sent work now. */
static bool is_usable(const relay_request_t *request, const char *id)
{
	static stream_engines_t engines;

	stream_engines_collect(&engines, request, NOW_US);
	for (size_t i = 0; i < engines.view.n_decodes; i++) {
		if (g_str_equal(engines.decode_servers[i]->entry.id, id))
			return engines.decodes[i].usable;
	}
	for (size_t i = 0; i < engines.view.n_prefills; i++) {
		if (g_str_equal(engines.prefill_servers[i]->entry.id, id))
			return engines.prefills[i].usable;
	}
	fail_msg("no engine %s", id);
	return false;
}

/* Guards against prompts and streams that are sent to an engine over its limit,
 * while other engines of the stage have room.
 */
static void test_engines_at_their_limits(void **state)
{
	static const char *const limited[] = {"prefill-1", "decode-1"};
	table_service_t service = {
		.name = SERVICE,
		.is_engine = true,
		.engine = {.slots = 12, .kv_tokens = 100000},
	};
	relay_request_t request = {.service = &service};
	occupancy_t occupancy;
	server_set_t servers;
	relay_t relay;

	memset(&servers, 0, sizeof(servers));
	server_set_init(&servers);
	occupancy_init(&occupancy);
	relay_init(&relay, clock_boottime(), NULL, &servers, &occupancy, "z");
	request.relay = &relay;
	add_engine(&servers, "prefill-1", STAGE_PREFILL);
	add_engine(&servers, "prefill-2", STAGE_PREFILL);
	add_engine(&servers, "decode-1", STAGE_DECODE);
	add_engine(&servers, "decode-2", STAGE_DECODE);
	for (size_t i = 0; i < G_N_ELEMENTS(limited); i++) {
		unsigned sends = 0;

		server_limits_observe(&relay.limits, limited[i], SERVICE, true,
				      5.0, NOW_US);
		while (is_usable(&request, limited[i])) {
			server_limits_record_send(&relay.limits, limited[i],
						  NOW_US);
			assert_true(++sends <= 5);
		}
		assert_in_range(sends, 4, 5);
	}
	assert_true(is_usable(&request, "prefill-2"));
	assert_true(is_usable(&request, "decode-2"));
	relay_finish(&relay);
	occupancy_finish(&occupancy);
	server_set_finish(&servers);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_engines_at_their_limits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
