/* Which parts of the source may include which. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* A folder and the prefixes of what its files may include. */
typedef struct {
	const char *folder;
	const char *allowed[12];
} layer_t;

static const layer_t layers[] = {
	{"src/process/decide",
	 {"\"process/decide/", "\"process/clock.h\"", "\"process/str.h\"",
	  "\"version/route_table.h\"", "<math.h>", "<std"}},
	{"platform",
	 {"\"names.h\"", "\"rows.h\"", "\"store_call.h\"", "\"wire_fields.h\"",
	  "\"connection/address.h\"", "\"connection/http_head.h\"",
	  "\"process/clock.h\"", "\"process/str.h\"",
	  "\"process/decide/server_set.h\"", "\"version/route_table.h\"",
	  "\"process/json_text.h\"", "<"}},
};

/* Names of the platform, which only its adapter knows. */
static const char *const platform_names[] = {
	"kvHandle",   "X-Kv-",	      "X-Serving-Stage",   "X-Deadline-Ms",
	"rows-feed",  "rows-tx",      "rows-get",	   "fencingToken",
	"pathPrefix", "trafficSplit", "X-Expect-Instance", "Server-Limit",
};

static bool is_allowed(const layer_t *layer, const char *included)
{
	for (size_t i = 0; i < G_N_ELEMENTS(layer->allowed); i++) {
		if (layer->allowed[i] &&
		    g_str_has_prefix(included, layer->allowed[i]))
			return true;
	}
	return false;
}

static unsigned check_file(const layer_t *layer, const char *path)
{
	char *text;
	char **lines;
	unsigned wrong = 0;

	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line; line++) {
		const char *included = *line + strlen("#include ");

		if (!g_str_has_prefix(*line, "#include ") ||
		    is_allowed(layer, included))
			continue;
		print_message("%s includes %s\n", path, included);
		wrong++;
	}
	g_strfreev(lines);
	g_free(text);
	return wrong;
}

/* Guards against decisions that open sockets or read clocks, and against an
 * adapter that decides.
 */
static void test_includes(void **state)
{
	unsigned files = 0;
	unsigned wrong = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(layers); i++) {
		char *folder = g_build_filename(getenv("SOURCE_DIR"),
						layers[i].folder, NULL);
		GDir *dir = g_dir_open(folder, 0, NULL);
		const char *name;

		assert_non_null(dir);
		while ((name = g_dir_read_name(dir))) {
			char *path = g_build_filename(folder, name, NULL);

			wrong += check_file(&layers[i], path);
			files++;
			g_free(path);
		}
		g_dir_close(dir);
		g_free(folder);
	}
	assert_true(files > 10);
	assert_int_equal(wrong, 0);
}

static unsigned count_names(const char *path)
{
	unsigned n = 0;
	char *text;

	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(platform_names); i++) {
		if (!strstr(text, platform_names[i]))
			continue;
		print_message("%s has %s\n", path, platform_names[i]);
		n++;
	}
	g_free(text);
	return n;
}

static unsigned search_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	unsigned n = 0;
	const char *name;

	assert_non_null(dir);
	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);

		if (g_file_test(path, G_FILE_TEST_IS_DIR))
			n += search_folder(path);
		else if (g_str_has_suffix(name, ".c") ||
			 g_str_has_suffix(name, ".h"))
			n += count_names(path);
		g_free(path);
	}
	g_dir_close(dir);
	return n;
}

/* Guards against the platform's words outside of its adapter. */
static void test_platform_words(void **state)
{
	char *folder = g_build_filename(getenv("SOURCE_DIR"), "src", NULL);

	assert_int_equal(search_folder(folder), 0);
	g_free(folder);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_includes),
		cmocka_unit_test(test_platform_words),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
