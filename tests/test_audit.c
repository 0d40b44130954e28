/* The audit must find each kind of broken promise, and no other. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "shared_audit.h"
#include "support_process.h"

#define RESULT(id, outcome, verdict, fault)                     \
	"{\"request_id\":\"" id "\",\"hash\":\"h" id            \
	"\",\"outcome\":\"" outcome "\",\"verdict\":\"" verdict \
	"\",\"fault\":\"" fault "\",\"status\":200,\"end_us\":1000}\n"

#define RECORD(id, kind, request, end, tokens, rest)                      \
	"{\"id\":\"" id "\",\"kind\":\"" kind "\",\"request\":\"" request \
	"\",\"end_us\":" end ",\"tokens\":" tokens rest "}\n"

#define RAN ",\"ran\":true"
#define PREFILL(id, request, tokens) \
	RECORD(id, "prefill", request, "9", tokens, RAN)
#define DECODE(id, request, tokens, offset) \
	RECORD(id, "decode", request, "9", tokens, RAN ",\"offset\":" offset)
#define CALL(id, request, key) \
	RECORD(id, "call", request, "9", "0", RAN ",\"key\":\"" key "\"")

typedef struct {
	const char *name;
	const char *results;
	const char *records;
	const char *broken; /* count that has to be 1, or NULL */
	const char *other; /* "key=value" that has to occur, or NULL */
} case_t;

static const case_t cases[] = {
	{"whole", RESULT("a", "answered", "ran", "none"),
	 PREFILL("1", "a", "100") DECODE("2", "a", "5", "0"), NULL,
	 "prefill_tokens_wasted=0 "},
	{"resumed", RESULT("a", "answered", "ran", "none"),
	 PREFILL("1", "a", "100") DECODE("2", "a", "5", "0")
		 DECODE("3", "a", "7", "3"),
	 NULL, "decode_tokens_repeated=2 "},
	{"prefilled again", RESULT("a", "answered", "ran", "none"),
	 PREFILL("1", "a", "100") PREFILL("2", "a", "30"), NULL,
	 "prefill_tokens_wasted=30 "},
	{"prefilled for nothing", RESULT("a", "failed", "may-have-run", "none"),
	 PREFILL("1", "a", "100"), NULL, "prefill_tokens_wasted=100 "},
	{"two results",
	 RESULT("a", "answered", "ran", "none")
		 RESULT("a", "answered", "ran", "none"),
	 "", "answered_twice=1 ", NULL},
	{"doubled", RESULT("a", "wrong", "ran", "doubled"), "",
	 "answered_twice=1 ", NULL},
	{"short", RESULT("a", "wrong", "ran", "short"), "",
	 "cut_taken_whole=1 ", NULL},
	{"cut and told", RESULT("a", "cut", "ran", "none"), "", NULL, NULL},
	{"mixed up", RESULT("a", "wrong", "ran", "mixed"), "", "mixed_up=1 ",
	 NULL},
	{"not run", RESULT("a", "refused", "not-run", "none"),
	 PREFILL("1", "b", "100"), NULL, NULL},
	{"ran all the same", RESULT("a", "refused", "not-run", "none"),
	 PREFILL("1", "a", "100"), "ran_after_not_run=1 ", NULL},
	{"rejected by the engine", RESULT("a", "refused", "not-run", "none"),
	 RECORD("1", "prefill", "a", "9", "0", ",\"ran\":false"), NULL, NULL},
	{"one call", "", CALL("1", "a", "k") CALL("2", "b", "l"), NULL, NULL},
	{"one call twice", "", CALL("1", "a", "k") CALL("2", "b", "k"),
	 "ran_twice=1 ", NULL},
	{"one call, two lines", "", CALL("1", "a", "k") CALL("1", "a", "k"),
	 NULL, NULL},
	{"no verdict", RESULT("a", "answered", "", "none"), "",
	 "without_verdict=1 ", NULL},
	{"held", RESULT("a", "left", "ran", "none"),
	 "{\"kind\":\"held\",\"tokens\":7,\"holders\":[{\"request\":\"a\","
	 "\"attempt\":1,\"tokens\":7}]}\n",
	 "held_after_end=1 ", "held_tokens=7 "},
	{"left", RESULT("a", "left", "ran", "none"),
	 RECORD("1", "decode", "a", "3000", "5", RAN), NULL,
	 "leaver_release_max_ms=2.0"},
	{"left, still decoding", RESULT("a", "left", "ran", "none"),
	 RECORD("1", "decode", "a", "0", "5", RAN), NULL, "leavers_running=1 "},
};

/* Guards against a broken promise that is missed or counted elsewhere. */
static void test_cases(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const case_t *c = &cases[i];
		GString *out = g_string_new(NULL);
		audit_counts_t counts;
		audit_t audit;

		audit_init(&audit);
		assert_true(audit_add_results(&audit, c->results));
		assert_true(audit_add_records(&audit, c->records));
		audit_count(&audit, &counts);
		audit_append(&counts, out);
		if ((c->broken && !strstr(out->str, c->broken)) ||
		    (c->other && !strstr(out->str, c->other)) ||
		    audit_is_clean(&counts) != !c->broken)
			fail_msg("%s: %s", c->name, out->str);
		g_string_free(out, TRUE);
		audit_finish(&audit);
	}
}

/* Guards against input that is skipped in silence. */
static void test_bad_lines(void **state)
{
	audit_t audit;

	audit_init(&audit);
	assert_false(audit_add_records(&audit, "{\"id\":\n"));
	assert_false(audit_add_results(&audit, "[]\n"));
	audit_finish(&audit);
}

/* Guards against a crash on the record of a fake that did nothing yet. */
static void test_empty_record(void **state)
{
	process_t service, audit;
	char *address = process_start_listening(&service, "fake_service", NULL);
	const char *const args[] = {"--from", address, NULL};

	assert_non_null(address);
	assert_true(process_start(&audit, "tool_audit", args, NULL));
	assert_true(process_wait_end(&audit, 10000));
	assert_int_equal(process_stop(&audit), 0);
	process_finish(&audit);
	process_finish(&service);
	g_free(address);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cases),
		cmocka_unit_test(test_bad_lines),
		cmocka_unit_test(test_empty_record),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
