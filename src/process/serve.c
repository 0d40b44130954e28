#include <argtable2.h>
#include <glib-unix.h>
#include <signal.h>

#include "connection/listener.h"
#include "process/cmd.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/route_metrics.h"
#include "process/router.h"
#include "process/status.h"
#include "request/access.h"
#include "request/forwarded_call.h"
#include "request/request.h"

#define DRAIN_POLL_MS 20

/* Limit for writing the last responses and sending the last cancels after all
 * requests have ended.
 */
#define FLUSH_LIMIT_US (3 * CLOCK_US_PER_S)

/* The process of an entry VM. */
typedef struct {
	settings_t settings;
	router_t router;
	listener_t callers;
	listener_t operators;
	FILE *log_file;
	int64_t accept_until_us; /* accepts requests until then after SIGTERM */
	int64_t abort_requests_at_us; /* aborts requests still open then */
	int64_t flush_until_us; /* for responses and cancels; 0: not set yet */
	bool stopped_listening;
	int signal_count; /* of SIGTERM and SIGINT */
} entry_process_t;

/* Sends a response of plain text. */
static void respond_text(SoupServerMessage *message, unsigned status,
			 const char *text)
{
	listener_respond(message, status, "text/plain; charset=utf-8",
			 str_from(text));
}

/* Sends all metrics. */
static void respond_metrics(entry_process_t *process,
			    SoupServerMessage *message)
{
	GString *text = g_string_new(NULL);

	router_update_gauges(&process->router);
	counters_print(text);
	route_metrics_print(text);
	listener_respond(message, 200, "text/plain; version=0.0.4",
			 str_from_gstring(text));
	g_string_free(text, TRUE);
}

/* Returns whether a load balancer may send requests here. */
static bool is_ready(const entry_process_t *process)
{
	return process->router.state && !process->router.draining;
}

/* Answers an operator's call, which needs the operator's token. */
static void on_admin_request(entry_process_t *process,
			     SoupServerMessage *message, str_t path)
{
	char *text;
	gsize len;

	if (!access_token_matches(
		    process->settings.operator_token_sha256,
		    soup_server_message_get_request_headers(message))) {
		respond_text(message, 401, "operator token required\n");
		return;
	}
	if (!str_equal(path, STR("/v1/admin/status"))) {
		respond_text(message, 404, "not found\n");
		return;
	}
	text = status_to_json(&process->router, &len);
	listener_respond(message, 200, "application/json", (str_t){text, len});
	g_free(text);
}

/* Answers a request on the operators' listener, which callers cannot reach. */
static void on_operator_request(void *context, SoupServerMessage *message,
				str_t path)
{
	entry_process_t *process = context;

	if (str_equal(path, STR("/metrics"))) {
		respond_metrics(process, message);
	} else if (str_equal(path, STR("/healthz"))) {
		respond_text(message, 200, "ok\n");
	} else if (str_equal(path, STR("/readyz"))) {
		if (is_ready(process))
			respond_text(message, 200, "ready\n");
		else
			respond_text(message, 503, "not ready\n");
	} else if (str_has_prefix(path, STR("/v1/admin/"))) {
		on_admin_request(process, message, path);
	} else {
		respond_text(message, 404, "not found\n");
	}
}

/* Refuses a request that has not run. The caller may retry after a second if
 * the cause may pass.
 */
static void refuse(entry_process_t *process, SoupServerMessage *message,
		   verdict_code_t code, const char *detail)
{
	verdict_t verdict = verdict_make(RUN_NOT_RUN, code, detail);
	int64_t now_us = clock_now(&process->router.clock);

	if (code == VERDICT_UNAVAILABLE || code == VERDICT_OVERLOADED)
		verdict.retry_at_us = now_us + CLOCK_US_PER_S;
	listener_refuse(message, &verdict, now_us);
}

/* Returns whether the requests in progress have reached the limit, which bounds
 * the memory and sockets of one VM for all callers together.
 */
static bool has_max_requests(const entry_process_t *process)
{
	const router_t *router = &process->router;
	int64_t n = (int64_t)g_queue_get_length((GQueue *)&router->requests) +
		    g_queue_get_length((GQueue *)&router->forwarded_calls);

	return n >= router->state->limits.max_requests;
}

/* Starts a request from the callers' listener, or refuses it. */
static void on_caller_request(void *context, SoupServerMessage *message,
			      str_t path)
{
	entry_process_t *process = context;
	const char *method = soup_server_message_get_method(message);
	bool chat = str_equal(path, STR("/v1/chat/completions"));
	str_t prefix = STR("/svc/");

	counters_add(COUNTER_REQUESTS, 1);
	if (!process->router.state) {
		refuse(process, message, VERDICT_UNAVAILABLE,
		       "no configuration in effect");
	} else if (has_max_requests(process)) {
		refuse(process, message, VERDICT_OVERLOADED,
		       "too many requests in progress");
	} else if (chat || str_equal(path, STR("/v1/completions"))) {
		if (strcmp(method, "POST") != 0)
			refuse(process, message, VERDICT_METHOD_NOT_ALLOWED,
			       "expected POST");
		else
			request_start(&process->router, message, chat);
	} else if (str_has_prefix(path, prefix)) {
		forwarded_call_start(&process->router, message,
				     (str_t){path.data + prefix.len,
					     path.len - prefix.len});
	} else {
		refuse(process, message, VERDICT_NOT_FOUND, "no such path");
	}
}

/* Takes the next step of a shutdown when its time has come. */
static gboolean on_drain_timer(gpointer data)
{
	entry_process_t *process = data;
	int64_t now_us = clock_now(&process->router.clock);
	bool idle = g_queue_is_empty(&process->router.requests) &&
		    g_queue_is_empty(&process->router.forwarded_calls);

	if (now_us < process->accept_until_us && process->signal_count < 2)
		return G_SOURCE_CONTINUE;
	if (!process->stopped_listening)
		process->stopped_listening = listener_stop(&process->callers);
	if (!idle && now_us < process->abort_requests_at_us &&
	    process->signal_count < 2) {
		process->flush_until_us = 0;
		return G_SOURCE_CONTINUE;
	}
	while (!g_queue_is_empty(&process->router.requests))
		request_abort(g_queue_peek_head(&process->router.requests));
	while (!g_queue_is_empty(&process->router.forwarded_calls))
		forwarded_call_abort(
			g_queue_peek_head(&process->router.forwarded_calls));
	/* The last responses may still be being written, and engines may still
	 * hold memory for the requests that have ended.
	 */
	if (!process->flush_until_us)
		process->flush_until_us = now_us + FLUSH_LIMIT_US;
	if (now_us < process->flush_until_us &&
	    (!process->stopped_listening ||
	     listener_open_requests(&process->callers) > 0 ||
	     listener_has_unread(&process->callers) ||
	     !canceller_is_idle(&process->router.canceller) ||
	     !once_records_are_idle(&process->router.once_records)))
		return G_SOURCE_CONTINUE;
	g_main_loop_quit(process->router.loop);
	return G_SOURCE_REMOVE;
}

/*
 * Starts a graceful shutdown at the first signal: the process is not ready, but
 * accepts requests until the load balancer has noticed, then waits for requests
 * in progress. A second signal ends these at once, with verdicts.
 */
static gboolean on_signal(gpointer data)
{
	entry_process_t *process = data;
	int64_t now_us = clock_now(&process->router.clock);

	process->signal_count++;
	if (process->signal_count > 1)
		return G_SOURCE_CONTINUE;
	router_drain(&process->router);
	process->accept_until_us =
		now_us + process->settings.drain_notice_ms * CLOCK_US_PER_MS;
	process->abort_requests_at_us =
		now_us + process->settings.shutdown_limit_ms * CLOCK_US_PER_MS;
	log_event(LOG_INFO, "draining",
		  LOG_UINT("requests",
			   g_queue_get_length(&process->router.requests)));
	g_timeout_add(DRAIN_POLL_MS, on_drain_timer, process);
	return G_SOURCE_CONTINUE;
}

/* Shuts down gracefully, since a newer process uses this VM's name. */
static void on_superseded(void *context)
{
	entry_process_t *process = context;

	if (!process->signal_count)
		on_signal(process);
}

/* Puts the state file of the settings into effect, if there is one. Returns
 * false and adds a diagnostic if the file cannot be read or is invalid.
 */
static bool load_state_file(entry_process_t *process, diag_t *diag)
{
	const char *path = process->settings.state_file;
	char *text;
	gsize len;
	state_t *state;
	bool ok;

	if (!path)
		return true;
	if (!g_file_get_contents(path, &text, &len, NULL)) {
		diag_add(diag, path, 0, "", "cannot be read");
		return false;
	}
	ok = state_parse(text, len, path, &state, diag);
	g_free(text);
	if (ok)
		router_set_state(&process->router, state);
	return ok;
}

/* Returns the limits of the state for senders of requests, or those that apply
 * while no state is known.
 */
static listener_limits_t sender_limits(const entry_process_t *process)
{
	const state_t *state = process->router.state;

	if (!state)
		return (listener_limits_t){
			.max_header_bytes = 16384,
			.max_body_bytes = 4 << 20,
			.receive_timeout_us = 10 * CLOCK_US_PER_S,
		};
	return (listener_limits_t){
		.max_header_bytes = state->limits.max_header_bytes,
		.max_body_bytes = state->limits.max_body_bytes,
		.receive_timeout_us =
			state->limits.receive_timeout_ms * CLOCK_US_PER_MS,
	};
}

/* Applies the limits of a version that has taken effect to new requests. */
static void on_state(void *context)
{
	entry_process_t *process = context;

	process->callers.limits = sender_limits(process);
}

/* Starts both listeners. Returns false and sets the error on failure. */
static bool start_listeners(entry_process_t *process, GError **error)
{
	listener_limits_t limits = sender_limits(process);

	if (!listener_init(&process->callers, process->settings.callers_address,
			   &limits, on_caller_request, process, error))
		return false;
	if (listener_init(&process->operators,
			  process->settings.operators_address, &limits,
			  on_operator_request, process, error))
		return true;
	listener_finish(&process->callers);
	return false;
}

/* Prints the addresses in use. Tests and the demo wait for this line. */
static void print_ready(entry_process_t *process)
{
	char *callers = listener_address(&process->callers);
	char *operators = listener_address(&process->operators);

	printf("ready callers=%s operators=%s\n", callers, operators);
	fflush(stdout);
	log_event(LOG_INFO, "ready", LOG_CSTR("callers", callers),
		  LOG_CSTR("operators", operators));
	g_free(callers);
	g_free(operators);
}

/* Runs the process until its main loop ends. Returns the exit code. */
static int run_process(entry_process_t *process)
{
	diag_t diag;
	GError *error = NULL;
	int code = EXIT_CODE_BAD_INPUT;
	GString *text = g_string_new(NULL);

	diag_init(&diag);
	router_init(&process->router, &process->settings);
	log_init(process->log_file ? process->log_file : stderr,
		 process->settings.log_level, str_from(process->settings.vm),
		 str_from(process->settings.zone), &process->router.hlc);
	process->router.on_state = on_state;
	process->router.on_state_context = process;
	if (!router_join(&process->router, on_superseded, process, &error)) {
		diag_add(&diag, "rpc_address", 0, "", "%s", error->message);
		g_clear_error(&error);
		goto out;
	}
	if (!load_state_file(process, &diag))
		goto out;
	if (!start_listeners(process, &error)) {
		diag_add(&diag, "listeners", 0, "", "%s", error->message);
		g_clear_error(&error);
		goto out;
	}
	print_ready(process);
	g_unix_signal_add(SIGTERM, on_signal, process);
	g_unix_signal_add(SIGINT, on_signal, process);
	g_main_loop_run(process->router.loop);
	log_event(LOG_INFO, "stopped",
		  LOG_INT("signals", process->signal_count));
	listener_finish(&process->callers);
	listener_finish(&process->operators);
	code = EXIT_CODE_OK;
out:
	diag_print(&diag, text);
	fputs(text->str, stderr);
	g_string_free(text, TRUE);
	diag_finish(&diag);
	router_finish(&process->router);
	log_finish();
	return code;
}

/* Loads the settings and runs the process. Returns the exit code. */
static int serve_with_settings(const char *path)
{
	entry_process_t process = {.signal_count = 0};
	diag_t diag;
	GString *text = g_string_new(NULL);
	int code = EXIT_CODE_BAD_INPUT;

	diag_init(&diag);
	if (!settings_load(path, &process.settings, &diag)) {
		diag_print(&diag, text);
		fputs(text->str, stderr);
		goto out;
	}
	if (process.settings.log_file) {
		process.log_file = fopen(process.settings.log_file, "ae");
		if (!process.log_file) {
			fprintf(stderr, "%s: cannot be opened\n",
				process.settings.log_file);
			goto out_settings;
		}
	}
	code = run_process(&process);
	if (process.log_file)
		fclose(process.log_file);
out_settings:
	settings_finish(&process.settings);
out:
	g_string_free(text, TRUE);
	diag_finish(&diag);
	return code;
}

/* Runs the process of an entry VM until a signal stops it. */
int cmd_serve(int argc, char **argv)
{
	struct arg_file *settings =
		arg_file1(NULL, "settings", "FILE", "settings of this process");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {settings, help, end};
	int errors = arg_parse(argc, argv, table);
	int code;

	if (help->count) {
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		code = EXIT_CODE_OK;
	} else if (errors) {
		arg_print_errors(stderr, end, "gooseberryspur serve");
		code = EXIT_CODE_BAD_INPUT;
	} else {
		code = serve_with_settings(settings->filename[0]);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
