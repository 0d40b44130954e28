/* Guards against engines that are left wrong by a holder that is stopped, by
 * lost answers of the platform or the engines, or by a late holder. Real
 * processes, with the fake platform and fake engines.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <signal.h>
#include <unistd.h>

#include "support_http.h"
#include "support_process.h"

#define ENGINES 3
#define WAIT_MS 40000
#define POLL_US 100000
/* Longer than a holder takes to read the row and to send. */
#define KEPT_MS 8000

typedef struct {
	process_t platform;
	process_t engines[ENGINES];
	process_t holders[2];
	char *platform_address;
	char *engine_addresses[ENGINES];
	char *rpc_address;
	char *dir;
	char *paths[2];
} fixture_t;

static void start_engines(fixture_t *f, bool check)
{
	for (int i = 0; i < ENGINES; i++) {
		const char *args[] = {
			"--role", i == 0 ? "prefill" : "decode",    "--model",
			"old",	  check ? "--check-fencing" : NULL, NULL};

		f->engine_addresses[i] = process_start_listening(
			&f->engines[i], "fake_engine", args);
		assert_non_null(f->engine_addresses[i]);
	}
}

/* Writes a desired state with the given version of the model. */
static char *write_state(fixture_t *f, const char *version)
{
	GString *text = g_string_new(NULL);
	char *path = g_strdup_printf("%s/state-%s.toml", f->dir, version);

	g_string_append_printf(text,
			       "deployment = \"test\"\n"
			       "[[zones]]\nname = \"za\"\n"
			       "[[models]]\nname = \"m\"\nversion = \"%s\"\n"
			       "adapters = [\"legal\"]\n"
			       "[[pools]]\nname = \"p\"\nmodel = \"m\"\n"
			       "role = \"prefill\"\nkv_tokens = 60000\n"
			       "[[pools]]\nname = \"d\"\nmodel = \"m\"\n"
			       "role = \"decode\"\nkv_tokens = 60000\n"
			       "[[services]]\nname = \"s\"\nkind = \"model\"\n"
			       "prefill = \"p\"\ndecode = \"d\"\n",
			       version);
	for (int i = 0; i < ENGINES; i++)
		g_string_append_printf(text,
				       "[[backends]]\nname = \"e%d\"\n"
				       "address = \"%s\"\nzone = \"za\"\n"
				       "pool = \"%s\"\n",
				       i, f->engine_addresses[i],
				       i == 0 ? "p" : "d");
	assert_true(g_file_set_contents(path, text->str, -1, NULL));
	g_string_free(text, TRUE);
	return path;
}

static char *start_holder(fixture_t *f, int i, const char *version,
			  const char *peer)
{
	char *vm = g_strdup_printf("vm-%d", i);
	const char *args[] = {"--vm",
			      vm,
			      "--platform",
			      f->platform_address,
			      "--state",
			      NULL,
			      "--version",
			      version,
			      peer ? "--peer" : NULL,
			      peer,
			      NULL};
	char *address;

	f->paths[i] = write_state(f, version);
	args[5] = f->paths[i];
	address = process_start_listening(&f->holders[i], "tool_control", args);
	assert_non_null(address);
	g_free(vm);
	return address;
}

static fixture_t *new_fixture(bool check)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->dir = g_dir_make_tmp("control-XXXXXX", NULL);
	f->platform_address =
		process_start_listening(&f->platform, "fake_platform", NULL);
	assert_non_null(f->platform_address);
	start_engines(f, check);
	return f;
}

static void free_fixture(fixture_t *f)
{
	for (int i = 0; i < 2; i++) {
		if (f->holders[i].pid == 0)
			continue;
		process_signal(&f->holders[i], SIGKILL);
		process_wait_end(&f->holders[i], WAIT_MS);
		process_finish(&f->holders[i]);
		unlink(f->paths[i]);
		g_free(f->paths[i]);
	}
	for (int i = 0; i < ENGINES; i++) {
		process_stop(&f->engines[i]);
		process_finish(&f->engines[i]);
		g_free(f->engine_addresses[i]);
	}
	process_stop(&f->platform);
	process_finish(&f->platform);
	rmdir(f->dir);
	g_free(f->dir);
	g_free(f->platform_address);
	g_free(f->rpc_address);
	g_free(f);
}

static int setup(void **state)
{
	*state = new_fixture(true);
	return 0;
}

static int teardown(void **state)
{
	free_fixture(*state);
	return 0;
}

static int setup_both(void **state)
{
	fixture_t **all = g_new0(fixture_t *, 2);

	all[0] = new_fixture(true);
	all[1] = new_fixture(false);
	*state = all;
	return 0;
}

static int teardown_both(void **state)
{
	fixture_t **all = *state;

	free_fixture(all[0]);
	free_fixture(all[1]);
	g_free(all);
	return 0;
}

static bool engine_is(const char *address, const char *role,
		      const char *version)
{
	http_answer_t answer = http_get(address, "/v1/load");
	bool ok = answer.status == 200 &&
		  strcmp(http_json_string(&answer, "role"), role) == 0 &&
		  strcmp(http_json_string(&answer, "model"), "m") == 0 &&
		  strcmp(http_json_string(&answer, "version"), version) == 0;

	http_answer_finish(&answer);
	return ok;
}

static bool all_are(const fixture_t *f, const char *version)
{
	for (int i = 0; i < ENGINES; i++) {
		if (!engine_is(f->engine_addresses[i],
			       i == 0 ? "prefill" : "decode", version))
			return false;
	}
	return true;
}

static void print_record(const fixture_t *f)
{
	for (int i = 0; i < ENGINES; i++) {
		char *record = http_get_record(f->engine_addresses[i]);

		print_message("engine %d:\n%s\n", i, record);
		g_free(record);
	}
}

static void wait_for_version(const fixture_t *f, const char *version)
{
	for (int waited_ms = 0; waited_ms < WAIT_MS; waited_ms += 100) {
		if (all_are(f, version))
			return;
		g_usleep(POLL_US);
	}
	print_record(f);
	fail_msg("engines are not at version %s", version);
}

static void wait_for_lease(process_t *process, const char *token)
{
	char *line = process_wait_line(process, "lease ", WAIT_MS);

	assert_non_null(line);
	assert_string_equal(line, token);
	g_free(line);
}

/*
 * A holder is stopped, another takes over with another version, and the first
 * continues: the engines stay at the second one's version. Two deployments at
 * the same time, one with engines that check tokens and one with engines that
 * ignore them.
 */
static void test_stopped_holder(void **state)
{
	fixture_t **all = *state;

	for (int i = 0; i < 2; i++)
		all[i]->rpc_address = start_holder(all[i], 0, "1", NULL);
	for (int i = 0; i < 2; i++) {
		wait_for_lease(&all[i]->holders[0], "1");
		wait_for_version(all[i], "1");
		process_signal(&all[i]->holders[0], SIGSTOP);
		g_free(start_holder(all[i], 1, "2", all[i]->rpc_address));
	}
	for (int i = 0; i < 2; i++) {
		wait_for_lease(&all[i]->holders[1], "2");
		process_signal(&all[i]->holders[0], SIGCONT);
	}
	for (int i = 0; i < 2; i++)
		wait_for_version(all[i], "2");
	for (int kept_ms = 0; kept_ms < KEPT_MS; kept_ms += POLL_US / 1000) {
		assert_true(all_are(all[0], "2"));
		assert_true(all_are(all[1], "2"));
		g_usleep(POLL_US);
	}
}

/* Answers of the platform and of the engines are lost. */
static void test_lost_answers(void **state)
{
	fixture_t *f = *state;

	http_set_faults(f->platform_address, "{\"lose_write_answer\":1}");
	for (int i = 0; i < ENGINES; i++)
		http_set_faults(f->engine_addresses[i], "{\"lose_answer\":1}");
	f->rpc_address = start_holder(f, 0, "1", NULL);
	wait_for_lease(&f->holders[0], "1");
	wait_for_version(f, "1");
}

/* Without the platform no lease is kept, and it is taken again afterwards. */
static void test_outage(void **state)
{
	fixture_t *f = *state;
	char *line;

	f->rpc_address = start_holder(f, 0, "1", NULL);
	wait_for_lease(&f->holders[0], "1");
	http_set_faults(f->platform_address, "{\"outage\":-1}");
	line = process_wait_line(&f->holders[0], "none", WAIT_MS);
	assert_non_null(line);
	g_free(line);
	http_set_faults(f->platform_address, "{\"outage\":0}");
	wait_for_lease(&f->holders[0], "1");
	wait_for_version(f, "1");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_stopped_holder, setup_both,
						teardown_both),
		cmocka_unit_test_setup_teardown(test_lost_answers, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_outage, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
