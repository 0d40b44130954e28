#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib/gstdio.h>
#include <json-glib/json-glib.h>

#include "process/check.h"
#include "process/cmd.h"

static const struct {
	const char *text;
	check_kind_t kind;
	const char *expected; /* part of the report */
} cases[] = {
	{"vm = 1\ncallers_address = 2\n", CHECK_SETTINGS, ":1: vm: expected a"},
	{"deployment = \"d\"\n[[zones]]\nname = \"z\"\n", CHECK_STATE,
	 ":1: services: missing key"},
	{"deployment = \"d\"\n", CHECK_UNKNOWN, "expected the keys of"},
	{"x = \n", CHECK_UNKNOWN, ":1: expected valid TOML"},
	{"deployment = \"d\"\nservices = []\n[[zones]]\nname = \"z\"\n",
	 CHECK_STATE, ": valid state\n"},
};

/* Writes a text to a temporary file and returns its path. */
static char *write_file(const char *text)
{
	char *path;
	int fd = g_file_open_tmp("checkXXXXXX", &path, NULL);

	assert_true(fd >= 0);
	g_close(fd, NULL);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

/*
 * Guards against a settings file that is checked as a desired state, or the
 * reverse, so that its errors say nothing useful.
 */
static void test_recognises_kinds(void **unused)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = write_file(cases[i].text);
		GString *out = g_string_new(NULL);
		diag_t diag;

		diag_init(&diag);
		assert_int_equal(check_file(path, &diag), cases[i].kind);
		check_report(path, cases[i].kind, &diag, false, out);
		assert_non_null(strstr(out->str, cases[i].expected));
		diag_finish(&diag);
		g_string_free(out, TRUE);
		g_remove(path);
		g_free(path);
	}
}

/*
 * Guards against a JSON report that a program cannot parse or that lacks
 * errors.
 */
static void test_json_report(void **unused)
{
	char *path = write_file("vm = 1\ncallers_address = 2\n");
	GString *out = g_string_new(NULL);
	JsonParser *parser = json_parser_new();
	JsonObject *root;
	JsonArray *errors;
	diag_t diag;

	diag_init(&diag);
	check_report(path, check_file(path, &diag), &diag, true, out);
	assert_true(json_parser_load_from_data(parser, out->str, -1, NULL));
	root = json_node_get_object(json_parser_get_root(parser));
	assert_string_equal(json_object_get_string_member(root, "kind"),
			    "settings");
	assert_false(json_object_get_boolean_member(root, "valid"));
	errors = json_object_get_array_member(root, "errors");
	assert_int_equal(json_array_get_length(errors), diag.entries->len);
	diag_finish(&diag);
	g_object_unref(parser);
	g_string_free(out, TRUE);
	g_remove(path);
	g_free(path);
}

/* Guards against exit codes that hide an error from a script. */
static void test_exit_codes(void **unused)
{
	char *good = write_file(cases[4].text);
	char *bad = write_file(cases[3].text);

	assert_int_equal(cmd_check(2, (char *[]){"check", good, NULL}), 0);
	assert_int_equal(cmd_check(2, (char *[]){"check", bad, NULL}), 2);
	assert_int_equal(cmd_check(1, (char *[]){"check", NULL}), 2);
	assert_int_equal(cmd_check(2, (char *[]){"check", "/none/x", NULL}), 2);
	g_remove(good);
	g_remove(bad);
	g_free(good);
	g_free(bad);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_recognises_kinds),
		cmocka_unit_test(test_json_report),
		cmocka_unit_test(test_exit_codes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
