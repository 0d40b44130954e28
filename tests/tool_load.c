/*
 * Open-loop load driver for the callers' interface, section 6.1 of
 * docs/design.md. Latencies count from the intended time of a request, so a
 * slow router cannot hide behind requests that were sent late.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load_report.h"
#include "process/clock.h"
#include "shared_fake.h"

/* Targets of section 4 of docs/design.md. */
#define FIRST_TARGET_MS 580
#define GAP_TARGET_MS 46
/* Silence of a router after which the driver gives a response up. */
#define SILENCE_S 60

typedef struct {
	load_plan_options_t plan_options;
	char **routers;
	char **workspaces;
	char *results;
	char *book_path, *lookup_path;
	int64_t timeout_ms;
	int64_t max_returns;
	double drain_s;
	double first_target_ms, gap_target_ms;

	GMainLoop *loop;
	load_plan_t plan;
	load_client_t client;
	load_report_t report;
	int64_t start_us;
	load_arrival_t next;
	bool more; /* `next` is valid */
	int64_t active; /* requests and pending returns */
} load_t;

/* A refused request that comes back. */
typedef struct {
	load_arrival_t arrival;
	int64_t returns;
	int64_t intended_us;
} return_t;

static load_t load = {
	.plan_options =
		{
			.model = "default",
			.seed = 1,
			.rate = 10,
			.duration_s = 10,
			.surge = 1,
			.scale = 1,
			.prefix_share = 0.25,
			.slack = 1.25,
		},
	.book_path = "/svc/booking/book",
	.lookup_path = "/svc/listing/search",
	.timeout_ms = 30000,
	.drain_s = 30,
	.first_target_ms = FIRST_TARGET_MS,
	.gap_target_ms = GAP_TARGET_MS,
};

#define DOUBLE_OPTION(name, field, help)                                \
	{                                                               \
		name, 0, 0, G_OPTION_ARG_DOUBLE, &load.field, help, "X" \
	}
#define INT64_OPTION(name, field, help)                                \
	{                                                              \
		name, 0, 0, G_OPTION_ARG_INT64, &load.field, help, "N" \
	}
#define STRING_OPTION(name, field, help)                                   \
	{                                                                  \
		name, 0, 0, G_OPTION_ARG_STRING, &load.field, help, "TEXT" \
	}

static const GOptionEntry option_entries[] = {
	{"router", 0, 0, G_OPTION_ARG_STRING_ARRAY, &load.routers,
	 "callers' address, may be repeated", "IP:PORT"},
	{"customer", 0, 0, G_OPTION_ARG_STRING_ARRAY, &load.workspaces,
	 "may be repeated", "NAME:TOKEN:WORTH:SHARE"},
	STRING_OPTION("mix", plan_options.mix, "skladnik or mtkvari"),
	STRING_OPTION("model", plan_options.model, "model of completions"),
	STRING_OPTION("results", results, "file for a JSON line a request"),
	STRING_OPTION("book-path", book_path, "call that must run once"),
	STRING_OPTION("lookup-path", lookup_path, "repeatable call"),
	INT64_OPTION("seed", plan_options.seed, "of the whole plan"),
	INT64_OPTION("timeout-ms", timeout_ms, "X-Request-Timeout-Ms, 0: none"),
	INT64_OPTION("max-returns", max_returns,
		     "times a refused caller follows Retry-After (0)"),
	DOUBLE_OPTION("rate", plan_options.rate, "arrivals in a second"),
	DOUBLE_OPTION("duration-s", plan_options.duration_s, "of arrivals"),
	DOUBLE_OPTION("surge", plan_options.surge,
		      "factor on the rate in the middle third"),
	DOUBLE_OPTION("scale", plan_options.scale, "factor on prompt lengths"),
	DOUBLE_OPTION("prefix-share", plan_options.prefix_share,
		      "common part of prompts"),
	DOUBLE_OPTION("slack", plan_options.slack,
		      "max_tokens over the real output"),
	DOUBLE_OPTION("leave-share", plan_options.leave_share,
		      "callers that leave early"),
	DOUBLE_OPTION("whole-share", plan_options.whole_share,
		      "completions without streaming"),
	DOUBLE_OPTION("book-share", plan_options.book_share,
		      "arrivals that call book-path"),
	DOUBLE_OPTION("lookup-share", plan_options.lookup_share,
		      "arrivals that call lookup-path"),
	DOUBLE_OPTION("drain-s", drain_s, "wait for the last responses"),
	DOUBLE_OPTION("first-target-ms", first_target_ms, "first token"),
	DOUBLE_OPTION("gap-target-ms", gap_target_ms, "between tokens"),
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static void quit_when_done(void)
{
	if (!load.more && load.active == 0)
		g_main_loop_quit(load.loop);
}

static unsigned router_of(const load_arrival_t *arrival)
{
	return (unsigned)(arrival->serial % load.client.routers->len);
}

static gboolean on_return(gpointer user_data)
{
	return_t *back = user_data;

	load_plan_renew(&load.plan, &back->arrival);
	load_request_start(&load.client, &back->arrival, back->intended_us,
			   router_of(&back->arrival), back->returns);
	g_free(back);
	return G_SOURCE_REMOVE;
}

/* Lets a refused caller come back exactly when Retry-After says. */
static void schedule_return(const load_request_t *request)
{
	return_t *back = g_new0(return_t, 1);

	back->arrival = request->arrival;
	back->arrival.prompt = g_strdup(request->arrival.prompt);
	back->returns = request->returns + 1;
	back->intended_us =
		request->end_us + request->retry_after_s * CLOCK_US_PER_S;
	load.active++;
	g_timeout_add((guint)(request->retry_after_s * 1000), on_return, back);
}

static void on_done(load_request_t *request, void *context)
{
	load_report_add(&load.report, request);
	if (request->outcome == LOAD_REFUSED && request->retry_after_s >= 0 &&
	    request->returns < load.max_returns)
		schedule_return(request);
	load.active--;
	quit_when_done();
}

static void on_gap(double gap_ms, void *context)
{
	load_report_add_gap(&load.report, gap_ms);
}

static gboolean on_drain_end(gpointer user_data)
{
	g_main_loop_quit(load.loop);
	return G_SOURCE_REMOVE;
}

static void schedule_next(void);

/* Sends every arrival that is due. */
static gboolean on_arrival(gpointer user_data)
{
	double now_s = (double)(fake_now_us() - load.start_us) / CLOCK_US_PER_S;

	while (load.more && load.next.at_s <= now_s) {
		int64_t at_us = (int64_t)(load.next.at_s * CLOCK_US_PER_S);

		load.active++;
		load_request_start(&load.client, &load.next,
				   load.start_us + at_us, router_of(&load.next),
				   0);
		load.more = load_plan_next(&load.plan, &load.next);
	}
	schedule_next();
	return G_SOURCE_REMOVE;
}

static void schedule_next(void)
{
	double now_s = (double)(fake_now_us() - load.start_us) / CLOCK_US_PER_S;
	double wait_ms = (load.next.at_s - now_s) * 1000;

	if (load.more) {
		g_timeout_add((guint)MAX(wait_ms, 0), on_arrival, NULL);
		return;
	}
	g_timeout_add((guint)(load.drain_s * 1000), on_drain_end, NULL);
	quit_when_done();
}

/* Reads NAME:TOKEN:WORTH:SHARE. */
static bool add_workspace(GArray *workspaces, const char *text)
{
	char **parts = g_strsplit(text, ":", 4);
	bool ok = g_strv_length(parts) == 4;
	load_workspace_t workspace = {0};

	if (ok) {
		workspace.name = g_strdup(parts[0]);
		workspace.token = g_strdup(parts[1]);
		workspace.worth = g_ascii_strtod(parts[2], NULL);
		workspace.share = g_ascii_strtod(parts[3], NULL);
		ok = workspace.share > 0;
		g_array_append_val(workspaces, workspace);
	}
	if (!ok)
		fprintf(stderr, "%s: NAME:TOKEN:WORTH:SHARE is expected\n",
			text);
	g_strfreev(parts);
	return ok;
}

static GArray *make_workspaces(void)
{
	static const char *const one[] = {"demo:demo-token:1:1", NULL};
	const char *const *texts =
		load.workspaces ? (const char *const *)load.workspaces : one;
	GArray *workspaces = g_array_new(FALSE, TRUE, sizeof(load_workspace_t));

	for (size_t i = 0; texts[i]; i++) {
		if (!add_workspace(workspaces, texts[i])) {
			g_array_unref(workspaces);
			return NULL;
		}
	}
	return workspaces;
}

static void init_client(const GArray *workspaces)
{
	load_client_t *client = &load.client;

	client->session = soup_session_new_with_options(
		"max-conns", 20000, "max-conns-per-host", 20000, "timeout",
		SILENCE_S, "proxy-resolver", NULL, NULL);
	client->routers = g_ptr_array_new();
	for (size_t i = 0; load.routers[i]; i++)
		g_ptr_array_add(client->routers, load.routers[i]);
	client->workspaces = workspaces;
	client->model = load.plan_options.model;
	client->book_path = load.book_path;
	client->lookup_path = load.lookup_path;
	client->timeout_ms = load.timeout_ms;
	client->seed = load.plan_options.seed;
	client->done = on_done;
	client->gap = on_gap;
}

static void run(void)
{
	load.loop = g_main_loop_new(NULL, FALSE);
	load.start_us = fake_now_us();
	load.more = load_plan_next(&load.plan, &load.next);
	schedule_next();
	g_main_loop_run(load.loop);
	if (load.report.results)
		fclose(load.report.results);
	load_report_print(&load.report, &load.plan_options, load.active);
}

int main(int argc, char **argv)
{
	GArray *workspaces;

	if (!fake_parse_options(argc, argv, option_entries))
		return 2;
	if (!load.routers || !load.plan_options.mix ||
	    load.plan_options.rate <= 0 || load.plan_options.duration_s <= 0 ||
	    load.plan_options.surge <= 0) {
		fprintf(stderr, "tool_load: --router and --mix, and positive"
				" rate, duration and surge are expected\n");
		return 2;
	}
	workspaces = make_workspaces();
	if (!workspaces)
		return 2;
	if (!load_plan_init(&load.plan, &load.plan_options, workspaces)) {
		fprintf(stderr, "tool_load: unknown mix '%s'\n",
			load.plan_options.mix);
		return 2;
	}
	load_report_init(&load.report, workspaces, load.first_target_ms,
			 load.gap_target_ms);
	if (load.results) {
		load.report.results = fopen(load.results, "we");
		if (!load.report.results) {
			perror(load.results);
			return 1;
		}
	}
	init_client(workspaces);
	run();
	return 0;
}
