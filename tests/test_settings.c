#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/settings.h"

#define HASH "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define SECRET "000102030405060708090a0b0c0d0e0f"

static const char base[] = "deployment = \"d\"\n"
			   "vm = \"v1\"\n"
			   "zone = \"z\"\n"
			   "callers_address = \"127.0.0.1:1\"\n"
			   "operators_address = \"127.0.0.1:2\"\n"
			   "rpc_address = \"127.0.0.1:1\"\n"
			   "platform_address = \"127.0.0.1:4\"\n"
			   "operator_token_sha256 = \"" HASH "\"\n"
			   "log_level = \"warn\"\n"
			   "drain_notice_ms = 0\n"
			   "[[peers]]\n"
			   "vm = \"v2\"\n"
			   "zone = \"y\"\n"
			   "address = \"127.0.0.1:5\"\n"
			   "[[keys]]\n"
			   "id = 7\n"
			   "secret = \"" SECRET "\"\n";

static bool parse(const char *text, settings_t *settings, GString *errors)
{
	diag_t diag;
	bool ok;

	diag_init(&diag);
	ok = settings_parse(text, strlen(text), "f", settings, &diag);
	assert_int_equal(ok, diag_is_empty(&diag));
	diag_print(&diag, errors);
	diag_finish(&diag);
	return ok;
}

/* Guards against values that are read into the wrong member. */
static void test_reads_settings(void **unused)
{
	GString *errors = g_string_new(NULL);
	settings_t settings;
	settings_peer_t *peer;
	settings_rpc_key_t *key;

	assert_true(parse(base, &settings, errors));
	assert_string_equal(settings.vm, "v1");
	assert_string_equal(settings.operators_address, "127.0.0.1:2");
	assert_int_equal(settings.log_level, LOG_WARN);
	assert_int_equal(settings.drain_notice_ms, 0);
	assert_int_equal(settings.shutdown_limit_ms, 120000);
	assert_null(settings.state_file);
	assert_string_equal(settings.routing_policy, "ledger");
	peer = &g_array_index(settings.peers, settings_peer_t, 0);
	assert_string_equal(peer->vm, "v2");
	assert_string_equal(peer->address, "127.0.0.1:5");
	key = &g_array_index(settings.keys, settings_rpc_key_t, 0);
	assert_int_equal(key->id, 7);
	assert_int_equal(g_bytes_get_size(key->secret), 16);
	assert_int_equal(
		((const guint8 *)g_bytes_get_data(key->secret, NULL))[15], 15);
	settings_finish(&settings);
	settings_finish(&settings);
	g_string_free(errors, TRUE);
}

static const struct {
	const char *from;
	const char *to;
	const char *want;
} faults[] = {
	{"vm = \"v1\"\n", "", "f:1: vm: missing key, expected a name"},
	{"log_level = \"warn\"", "log_level = \"loud\"",
	 "f:9: log_level: expected one of \"debug\", \"info\""},
	{"log_level", "log_levl",
	 "f:9: log_levl: unknown key, the nearest known key is \"log_level\""},
	{"127.0.0.1:2", "127.0.0.1:1", "f:5: operators_address: expected ano"},
	{"platform_address = \"127.0.0.1:4\"\n", "",
	 "f:1: platform_address: missing key, expected platform_address or"},
	{"vm = \"v2\"", "vm = \"v1\"", "f:12: peers[0].vm: expected another"},
	{SECRET, "0011", "f:17: keys[0].secret: expected an even number"},
	{"id = 7", "id = 4294967296", "f:16: keys[0].id: expected an integer"},
	{"[[keys]]\nid = 7\nsecret = \"" SECRET "\"\n", "",
	 "f:1: keys: missing key"},
	{"id = 7\n", "id = 7\nsecret = \"" SECRET "\"\n[[keys]]\nid = 7\n",
	 "f:19: keys[1].id: expected a unique ID"},
};

/* Guards against faults that pass the check, and against unclear errors. */
static void test_reports_faults(void **unused)
{
	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		GString *errors = g_string_new(NULL);
		const char *at = strstr(base, faults[i].from);
		settings_t settings;
		char *text = g_strdup_printf("%.*s%s%s", (int)(at - base), base,
					     faults[i].to,
					     at + strlen(faults[i].from));

		assert_false(parse(text, &settings, errors));
		if (!g_str_has_prefix(errors->str, faults[i].want))
			fail_msg("case %zu: %s", i, errors->str);
		settings_finish(&settings);
		g_free(text);
		g_string_free(errors, TRUE);
	}
}

/* Guards against a crash or a silent default when the file is absent. */
static void test_missing_file_is_an_error(void **unused)
{
	settings_t settings;
	diag_t diag;

	diag_init(&diag);
	assert_false(settings_load("/nonexistent/s.toml", &settings, &diag));
	assert_int_equal(diag.entries->len, 1);
	settings_finish(&settings);
	diag_finish(&diag);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reads_settings),
		cmocka_unit_test(test_reports_faults),
		cmocka_unit_test(test_missing_file_is_an_error),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
