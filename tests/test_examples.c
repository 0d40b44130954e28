#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/file.h"
#include "process/settings.h"
#include "process/toml.h"
#include "version/state.h"

/* Returns the path of a file in the folder of examples; the caller frees it. */
static char *example_path(const char *name)
{
	const char *source_dir = g_getenv("SOURCE_DIR");

	return g_build_filename(source_dir ? source_dir : ".", "examples", name,
				NULL);
}

/* Fails the test with the errors if there are any, and frees the list. */
static void require_no_errors(diag_t *diag)
{
	GString *errors = g_string_new(NULL);

	diag_print(diag, errors);
	assert_string_equal(errors->str, "");
	g_string_free(errors, TRUE);
	diag_finish(diag);
}

/* Returns the desired state in an example file. */
static state_t *load_state(const char *name)
{
	char *path = example_path(name);
	state_t *state = NULL;
	GString *text;
	diag_t diag;

	diag_init(&diag);
	if (file_load(path, TOML_MAX_BYTES, &text, &diag)) {
		state_parse(text->str, text->len, name, &state, &diag);
		g_string_free(text, TRUE);
	}
	require_no_errors(&diag);
	g_free(path);
	return state;
}

static const struct {
	const char *state_file;
	const char *settings_file;
	const char *deployment;
	size_t n_zones;
	size_t n_engines;
	size_t n_plain_servers;
	str_t service;
	str_t unrepeatable_path;
} examples[] = {
	{"skladnik.toml", "skladnik-vm.toml", "skladnik", 4, 10, 4,
	 STR("listings"), STR("/reservations")},
	{"mtkvari.toml", "mtkvari-vm.toml", "mtkvari", 3, 10, 3,
	 STR("bookings"), STR("/confirmations")},
};

/*
 * Guards against examples that the program refuses, and against examples of
 * another size than section 4 of the design states.
 */
static void test_states_are_valid(void **unused)
{
	for (size_t i = 0; i < G_N_ELEMENTS(examples); i++) {
		state_t *state = load_state(examples[i].state_file);
		size_t engines = 0;

		assert_true(str_equal(state->deployment,
				      str_from(examples[i].deployment)));
		assert_int_equal(state->n_zones, examples[i].n_zones);
		for (size_t j = 0; j < state->n_backends; j++)
			engines += state->backends[j].pool != NULL;
		assert_int_equal(engines, examples[i].n_engines);
		assert_int_equal(state->n_backends - engines,
				 examples[i].n_plain_servers);
		state_unref(state);
	}
}

/* Guards against an example that lets a retry run a reservation twice. */
static void test_reservations_are_unrepeatable(void **unused)
{
	for (size_t i = 0; i < G_N_ELEMENTS(examples); i++) {
		state_t *state = load_state(examples[i].state_file);
		const service_t *service =
			state_find_service(state, examples[i].service);

		assert_false(service_find_route(service, STR("POST"),
						examples[i].unrepeatable_path)
				     ->repeatable);
		assert_true(service_find_route(service, STR("GET"),
					       examples[i].unrepeatable_path)
				    ->repeatable);
		state_unref(state);
	}
}

/*
 * Guards against example settings that name another deployment or a zone that
 * its desired state does not have.
 */
static void test_settings_are_valid(void **unused)
{
	for (size_t i = 0; i < G_N_ELEMENTS(examples); i++) {
		char *path = example_path(examples[i].settings_file);
		state_t *state = load_state(examples[i].state_file);
		settings_t settings;
		bool zone_known = false;
		diag_t diag;

		diag_init(&diag);
		settings_load(path, &settings, &diag);
		require_no_errors(&diag);
		assert_string_equal(settings.deployment,
				    examples[i].deployment);
		for (size_t j = 0; j < state->n_zones; j++)
			zone_known |= str_equal(state->zones[j],
						str_from(settings.zone));
		assert_true(zone_known);
		settings_finish(&settings);
		state_unref(state);
		g_free(path);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_states_are_valid),
		cmocka_unit_test(test_reservations_are_unrepeatable),
		cmocka_unit_test(test_settings_are_valid),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
