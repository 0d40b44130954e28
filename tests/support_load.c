#include "support_load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support_http.h"

/* Time that tool_load waits for the last responses after the arrivals. */
#define DRAIN_S "20"
#define JOIN_TIMEOUT_MS 60000
#define POLL_US 50000

static G_NORETURN void give_up(const char *what)
{
	fprintf(stderr, "load: %s\n", what);
	abort();
}

static void add_number(GPtrArray *args, const char *option, double value)
{
	g_ptr_array_add(args, g_strdup(option));
	g_ptr_array_add(args, g_strdup_printf("%g", value));
}

/* NAME:TOKEN:WORTH:SHARE */
static const char workspace[] = "tenant:" DEPLOYMENT_TOKEN ":1:1";

static GPtrArray *make_args(const load_run_t *run)
{
	static const char *const fixed[] = {
		"--customer",	 workspace,
		"--mix",	 "skladnik",
		"--model",	 "summaries",
		"--book-path",	 "/svc/listing/reservations",
		"--lookup-path", "/svc/listing/bays",
		"--whole-share", "0.3",
		"--scale",	 "0.1",
		"--drain-s",	 DRAIN_S,
	};
	const load_run_config_t *config = &run->config;
	const deployment_t *deployment = run->deployment;
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);

	for (size_t i = 0; i < G_N_ELEMENTS(fixed); i++)
		g_ptr_array_add(args, g_strdup(fixed[i]));
	for (unsigned i = 0; i < deployment->config.routers; i++) {
		g_ptr_array_add(args, g_strdup("--router"));
		g_ptr_array_add(args, g_strdup(deployment->callers_address[i]));
	}
	g_ptr_array_add(args, g_strdup("--results"));
	g_ptr_array_add(args, g_strdup(run->results));
	add_number(args, "--seed", (double)config->seed);
	add_number(args, "--rate", config->rate);
	add_number(args, "--duration-s", config->duration_ms / 1000.0);
	add_number(args, "--timeout-ms", config->timeout_ms);
	add_number(args, "--leave-share", config->leave_percent / 100.0);
	add_number(args, "--book-share", config->plain_percent / 100.0);
	add_number(args, "--lookup-share", config->plain_percent / 100.0);
	g_ptr_array_add(args, NULL);
	return args;
}

/* Starts tool_load, which sends to all routers in turn. */
void load_run_start(load_run_t *run, deployment_t *deployment,
		    const load_run_config_t *config)
{
	GPtrArray *args;

	memset(run, 0, sizeof(*run));
	run->deployment = deployment;
	run->config = *config;
	run->results = g_strdup_printf("%s/results", deployment->dir);
	args = make_args(run);
	if (!process_start(&run->process, "tool_load",
			   (const char *const *)args->pdata, NULL))
		give_up("tool_load cannot be started");
	g_ptr_array_unref(args);
}

/* Waits until the load has ended. */
void load_run_join(load_run_t *run)
{
	run->line = process_read_line(&run->process, JOIN_TIMEOUT_MS);
	if (!run->line || !process_wait_end(&run->process, JOIN_TIMEOUT_MS))
		give_up("tool_load did not end");
}

/* A count of the line that tool_load printed. */
int64_t load_run_count(const load_run_t *run, const char *key)
{
	char *pair = g_strdup_printf(" %s=", key);
	const char *at = strstr(run->line, pair);
	int64_t value = at ? strtoll(at + strlen(pair), NULL, 10) : -1;

	g_free(pair);
	return value;
}

/* Number of callers that got no whole answer and no verdict either. */
unsigned load_run_unexplained(const load_run_t *run)
{
	char *text = NULL;
	char **lines;
	unsigned n = 0;

	if (!g_file_get_contents(run->results, &text, NULL, NULL))
		give_up("the results cannot be read");
	lines = g_strsplit(text, "\n", -1);
	for (size_t i = 0; lines[i]; i++)
		n += strstr(lines[i], "\"outcome\":\"failed\"") &&
		     strstr(lines[i], "\"verdict\":\"\"");
	g_strfreev(lines);
	g_free(text);
	return n;
}

static void add_file(audit_t *audit, const char *path,
		     bool (*add)(audit_t *, const char *))
{
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL) || !add(audit, text))
		give_up("a result or record file cannot be read");
	g_free(text);
}

static void add_backends(audit_t *audit, const deployment_t *deployment,
			 const char *role, char *const *addresses, unsigned n)
{
	for (unsigned i = 0; i < n; i++) {
		char *path = deployment_record_path(deployment, role, i);
		char *record = http_get_record(addresses[i]);

		add_file(audit, path, audit_add_records);
		if (!audit_add_records(audit, record))
			give_up("a record is no JSON");
		g_free(path);
		g_free(record);
	}
}

static void audit_once(const load_run_t *run, audit_counts_t *counts)
{
	const deployment_t *deployment = run->deployment;
	audit_t audit;

	audit_init(&audit);
	add_file(&audit, run->results, audit_add_results);
	add_backends(&audit, deployment, "prefill", deployment->prefill_address,
		     deployment->config.prefills);
	add_backends(&audit, deployment, "decode", deployment->decode_address,
		     deployment->config.decodes);
	add_backends(&audit, deployment, "listing", deployment->service_address,
		     deployment->config.services);
	audit_count(&audit, counts);
	audit_finish(&audit);
}

/*
 * Audits the run once no engine holds memory, or once the bound has passed.
 * All backends must run. Prints the counts of a run that broke a promise.
 */
bool load_run_audit(const load_run_t *run, int64_t release_bound_us,
		    audit_counts_t *counts)
{
	int64_t until_us = g_get_monotonic_time() + release_bound_us;
	GString *text;

	audit_once(run, counts);
	while (counts->held_after_end && g_get_monotonic_time() < until_us) {
		g_usleep(POLL_US);
		audit_once(run, counts);
	}
	if (audit_is_clean(counts))
		return true;
	text = g_string_new(NULL);
	audit_append(counts, text);
	fprintf(stderr, "%s", text->str);
	g_string_free(text, TRUE);
	return false;
}

void load_run_finish(load_run_t *run)
{
	process_finish(&run->process);
	g_free(run->results);
	g_free(run->line);
}
