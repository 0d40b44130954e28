#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/toml.h"
#include "version/state.h"

#define HASH_A \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define HASH_B \
	"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

static const char base[] = "deployment = \"d\"\n"
			   "[limits]\n"
			   "max_queue = 7\n"
			   "[[zones]]\n"
			   "name = \"z\"\n"
			   "[[models]]\n"
			   "name = \"m\"\n"
			   "version = \"1\"\n"
			   "adapters = [\"ad\"]\n"
			   "[[pools]]\n" /* line 10 */
			   "name = \"p\"\n"
			   "model = \"m\"\n"
			   "role = \"prefill\"\n"
			   "kv_tokens = 5000\n"
			   "[[pools]]\n"
			   "name = \"q\"\n"
			   "model = \"m\"\n"
			   "role = \"decode\"\n"
			   "kv_tokens = 5000\n"
			   "checks_fencing = true\n" /* line 20 */
			   "[[services]]\n"
			   "name = \"text\"\n"
			   "kind = \"model\"\n"
			   "prefill = \"p\"\n"
			   "decode = \"q\"\n"
			   "adapter = \"ad\"\n"
			   "worth = 3\n"
			   "priority = 2\n"
			   "[[services]]\n"
			   "name = \"app\"\n" /* line 30 */
			   "kind = \"plain\"\n"
			   "[[services.routes]]\n"
			   "method = \"*\"\n"
			   "path = \"/\"\n"
			   "repeatable = true\n"
			   "[[services.routes]]\n"
			   "method = \"POST\"\n"
			   "path = \"/bookings\"\n"
			   "repeatable = false\n"
			   "[[backends]]\n" /* line 40 */
			   "name = \"e1\"\n"
			   "address = \"127.0.0.1:1\"\n"
			   "zone = \"z\"\n"
			   "pool = \"q\"\n"
			   "[[backends]]\n"
			   "name = \"a1\"\n"
			   "address = \"[::1]:2\"\n"
			   "zone = \"z\"\n"
			   "service = \"app\"\n"
			   "leaving = true\n" /* line 50 */
			   "[[customers]]\n"
			   "name = \"c\"\n"
			   "token_sha256 = \"" HASH_A "\"\n"
			   "services = [\"text\"]\n"
			   "requests_s = 2.5\n"
			   "[[customers]]\n"
			   "name = \"k\"\n"
			   "token_sha256 = \"" HASH_B "\"\n"
			   "services = [\"text\", \"app\"]\n";

static state_t *parse(const char *text, GString *errors)
{
	state_t *state;
	diag_t diag;

	diag_init(&diag);
	if (!state_parse(text, strlen(text), "f", &state, &diag))
		assert_null(state);
	assert_int_equal(state != NULL, diag_is_empty(&diag));
	diag_print(&diag, errors);
	diag_finish(&diag);
	return state;
}

/* Guards against values that are read into the wrong member. */
static void test_reads_every_table(void **unused)
{
	GString *errors = g_string_new(NULL);
	state_t *state = parse(base, errors);
	const service_t *app, *text;
	const workspace_t *workspace;

	assert_string_equal(errors->str, "");
	assert_int_equal(state->limits.max_queue, 7);
	assert_int_equal(state->limits.piece_tokens, 2000);
	assert_true(str_equal(state->zones[0], STR("z")));
	assert_int_equal(state->pools[1].role, ROLE_DECODE);
	assert_true(state->pools[1].checks_fencing);
	assert_ptr_equal(state->pools[1].model, &state->models[0]);
	text = state_find_service(state, STR("text"));
	assert_ptr_equal(text->prefill, &state->pools[0]);
	assert_ptr_equal(text->decode, &state->pools[1]);
	assert_int_equal(text->priority, 2);
	assert_true(text->worth == 3.0);
	assert_null(state_find_service(state, STR("tex")));
	app = state_find_service(state, STR("app"));
	assert_ptr_equal(state->backends[1].service, app);
	assert_true(state->backends[1].leaving);
	assert_ptr_equal(state->backends[0].pool, &state->pools[1]);
	workspace = state_find_workspace(state, HASH_A);
	assert_true(str_equal(workspace->name, STR("c")));
	assert_true(workspace->requests_s == 2.5);
	assert_true(workspace_may_call(workspace, text));
	assert_false(workspace_may_call(workspace, app));
	assert_null(state_find_workspace(state, "none"));
	state_unref(state);
	g_string_free(errors, TRUE);
}

/* Guards against an unrepeatable call that gets a repeatable route. */
static void test_longest_route_applies(void **unused)
{
	static const struct {
		str_t method;
		str_t path;
		bool repeatable;
	} cases[] = {
		{STR("POST"), STR("/bookings"), false},
		{STR("POST"), STR("/bookings/4"), false},
		{STR("GET"), STR("/bookings"), true},
		{STR("POST"), STR("/booking"), true},
	};
	GString *errors = g_string_new(NULL);
	state_t *state = parse(base, errors);
	const service_t *app = state_find_service(state, STR("app"));

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const route_rule_t *route =
			service_find_route(app, cases[i].method, cases[i].path);

		assert_non_null(route);
		assert_int_equal(route->repeatable, cases[i].repeatable);
	}
	assert_null(service_find_route(app, STR("GET"), STR("x")));
	state_unref(state);
	g_string_free(errors, TRUE);
}

typedef struct {
	const char *from; /* text of the base that is replaced */
	const char *to;
	const char *want; /* start of the only error */
} fault_t;

static const fault_t faults[] = {
	{"max_queue = 7", "max_qeue = 7",
	 "f:3: limits.max_qeue: unknown key, the nearest known key is "
	 "\"max_queue\"\n"},
	{"max_queue = 7", "max_queue = -1",
	 "f:3: limits.max_queue: expected an integer from 0 to 100000\n"},
	{"max_queue = 7", "max_queue = \"7\"",
	 "f:3: limits.max_queue: expected an integer from 0 to 100000, found "
	 "a string\n"},
	{"max_queue = 7", "\"a\\nb\" = 7", "f:3: limits.a?b: unknown key"},
	{"deployment = \"d\"\n", "", "f:1: deployment: missing key"},
	{"deployment = \"d\"", "deployment = \"D!\"",
	 "f:1: deployment: expected a name of"},
	{"[limits]\n", "[limits\n", "f:2: expected valid TOML: "},
	{"max_queue = 7", "retry_share = nan",
	 "f:3: limits.retry_share: expected a number from 0 to 1\n"},
	{"adapters = [\"ad\"]", "adapters = [\"ad\", 1]",
	 "f:9: models[0].adapters: expected an array of names\n"},
	{"adapters = [\"ad\"]", "adapters = [\"ad\", \"ad\"]",
	 "f:9: models[0].adapters: expected unique names, \"ad\" is"},
	{"name = \"k\"", "name = \"c\"", "f:57: customers[1].name: expected a"},
	{"model = \"m\"", "model = \"n\"",
	 "f:12: pools[0].model: expected the name of one of the models, "
	 "found \"n\"\n"},
	{"role = \"prefill\"", "role = \"pre\"",
	 "f:13: pools[0].role: expected one of \"prefill\", \"decode\"\n"},
	{"kv_tokens = 5000\n", "", "f:10: pools[0].kv_tokens: missing key"},
	{"decode = \"q\"", "decode = \"p\"",
	 "f:25: services[0].decode: expected a pool with the role \"decode\""},
	{"decode = \"q\"\n", "", "f:21: services[0].decode: missing key"},
	{"adapter = \"ad\"", "adapter = \"no\"",
	 "f:26: services[0].adapter: expected an adapter of the model \"m\""},
	{"worth = 3", "max_output_tokens = 5000",
	 "f:27: services[0].max_output_tokens: expected less than kv_tokens"},
	{"priority = 2", "priority = 10",
	 "f:28: services[0].priority: expected an integer from 0 to 9\n"},
	{"kind = \"plain\"", "kind = \"plain\"\nprefill = \"p\"",
	 "f:32: services[1].prefill: expected only in model services\n"},
	{"path = \"/\"", "path = \"x\"",
	 "f:34: services[1].routes[0].path: expected a path that starts"},
	{"method = \"POST\"", "method = \"post\"",
	 "f:37: services[1].routes[1].method: expected an upper-case method"},
	{"method = \"POST\"\npath = \"/bookings\"", "method=\"*\"\npath=\"/\"",
	 "f:38: services[1].routes[1].path: expected a unique method and"},
	{"127.0.0.1:1", "127.0.0.1",
	 "f:42: backends[0].address: expected an address IP:port"},
	{"127.0.0.1:1", "localhost:1", "f:42: backends[0].address: expected"},
	{"127.0.0.1:1", "127.0.0.1:0", "f:42: backends[0].address: expected"},
	{"127.0.0.1:1", "127.0.0.1:70000", "f:42: backends[0].address: exp"},
	{"127.0.0.1:1", "[::1]:2",
	 "f:47: backends[1].address: expected a unique value"},
	{"zone = \"z\"", "zone = \"y\"",
	 "f:43: backends[0].zone: expected the name of one of the zones"},
	{"service = \"app\"", "service = \"text\"",
	 "f:49: backends[1].service: expected a plain service\n"},
	{"service = \"app\"\n", "", "f:45: backends[1].pool: expected either"},
	{"pool = \"q\"\n", "pool = \"q\"\nservice = \"app\"\n",
	 "f:45: backends[0].service: expected either"},
	{HASH_A, HASH_B, "f:58: customers[1].token_sha256: expected a unique"},
	{HASH_A, "AA", "f:53: customers[0].token_sha256: expected 64 lower"},
	{"services = [\"text\"]", "services = [\"txt\"]",
	 "f:54: customers[0].services: expected names of services, found "
	 "\"txt\"\n"},
	{"services = [\"text\", \"app\"]", "services = [\"app\", \"app\"]",
	 "f:59: customers[1].services: expected unique names"},
};

static char *replace_first(const char *text, const char *from, const char *to)
{
	const char *at = strstr(text, from);

	assert_non_null(at);
	return g_strdup_printf("%.*s%s%s", (int)(at - text), text, to,
			       at + strlen(from));
}

/* Guards against faults that pass the check, and against unclear errors. */
static void test_reports_faults(void **unused)
{
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		GString *errors = g_string_new(NULL);
		char *text = replace_first(base, faults[i].from, faults[i].to);

		assert_null(parse(text, errors));
		if (!g_str_has_prefix(errors->str, faults[i].want))
			fail_msg("case %zu: %s", i, errors->str);
		/* One fault gives one line. */
		if (strchr(errors->str, '\n') != errors->str + errors->len - 1)
			fail_msg("case %zu: %s", i, errors->str);
		g_free(text);
		g_string_free(errors, TRUE);
	}
}

/* Guards against a check that stops at the first error. */
static void test_reports_all_errors(void **unused)
{
	GString *errors = g_string_new(NULL);

	assert_null(parse("deployment = 1\nzones = []\nx = 1\n"
			  "[[services]]\nkind = \"plain\"\n",
			  errors));
	assert_non_null(strstr(errors->str, "f:1: deployment:"));
	assert_non_null(strstr(errors->str, "f:2: zones:"));
	assert_non_null(strstr(errors->str, "f:3: x:"));
	assert_non_null(strstr(errors->str, "f:4: services[0].name:"));
	assert_non_null(strstr(errors->str, "f:4: services[0].routes:"));
	g_string_free(errors, TRUE);
}

/* Guards against input that exhausts the stack or memory. */
static void test_bounds_input(void **unused)
{
	GString *errors = g_string_new(NULL);
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < TOML_MAX_LINE_BYTES / 2 - 4; i++)
		g_string_append(text, "a.");
	g_string_append(text, "a = 1\n");
	assert_null(parse(text->str, errors));
	assert_non_null(strstr(errors->str, "levels"));
	g_string_prepend(text, "a.a.a.a.a.");
	assert_null(parse(text->str, errors));
	assert_non_null(strstr(errors->str, "f:1: expected lines of at most"));
	g_string_set_size(text, 0);
	for (size_t i = 0; i < 2000; i++)
		g_string_append(text, "a = [\n");
	assert_null(parse(text->str, errors));
	g_string_set_size(text, TOML_MAX_BYTES + 1);
	memset(text->str, '\n', text->len);
	assert_null(parse(text->str, errors));
	assert_non_null(strstr(errors->str, "f:0: expected at most"));
	g_string_free(text, TRUE);
	g_string_free(errors, TRUE);
}

/* Guards against a crash on damaged text. Seeded and bounded. */
static void test_survives_damage(void **unused)
{
	GRand *rand = g_rand_new_with_seed(20761);
	GString *errors = g_string_new(NULL);

	for (int round = 0; round < 3000; round++) {
		char *text = g_strdup(base);
		int n = g_rand_int_range(rand, 1, 6);

		for (int i = 0; i < n; i++)
			text[g_rand_int_range(rand, 0, sizeof(base) - 1)] =
				(char)g_rand_int_range(rand, 1, 256);
		state_unref(parse(text, errors));
		g_string_set_size(errors, 0);
		g_free(text);
	}
	g_string_free(errors, TRUE);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reads_every_table),
		cmocka_unit_test(test_longest_route_applies),
		cmocka_unit_test(test_reports_faults),
		cmocka_unit_test(test_reports_all_errors),
		cmocka_unit_test(test_bounds_input),
		cmocka_unit_test(test_survives_damage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
