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

/* Time for the last responses and cancels after all requests have ended. */
#define FLUSH_LIMIT_US (3 * CLOCK_US_PER_S)

typedef struct {
	settings_t settings;
	router_t router;
	listener_t callers;
	listener_t operators;
	FILE *log_file;
	int64_t notice_until_us; /* still accepting after SIGTERM */
	int64_t shutdown_until_us; /* requests still open then are aborted */
	int64_t flush_until_us; /* for responses and cancels; 0: not begun */
	bool stopped_listening;
	int signals;
} server_t;

static void respond_text(SoupServerMessage *message, unsigned status,
			 const char *text)
{
	listener_respond(message, status, "text/plain; charset=utf-8",
			 str_from(text));
}

static void respond_metrics(server_t *server, SoupServerMessage *message)
{
	GString *text = g_string_new(NULL);

	router_update_gauges(&server->router);
	counters_print(text);
	route_metrics_print(text);
	listener_respond(message, 200, "text/plain; version=0.0.4",
			 str_from_gstring(text));
	g_string_free(text, TRUE);
}

static bool is_ready(const server_t *server)
{
	return server->router.state && !server->router.draining;
}

/* Operators' calls need the operator's token. */
static void on_admin_request(server_t *server, SoupServerMessage *message,
			     str_t path)
{
	char *text;
	gsize len;

	if (!access_token_matches(
		    server->settings.operator_token_sha256,
		    soup_server_message_get_request_headers(message))) {
		respond_text(message, 401, "operator token required\n");
		return;
	}
	if (!str_equal(path, STR("/v1/admin/status"))) {
		respond_text(message, 404, "not found\n");
		return;
	}
	text = status_to_json(&server->router, &len);
	listener_respond(message, 200, "application/json", (str_t){text, len});
	g_free(text);
}

/* Requests on the operators' listener, which callers cannot reach. */
static void on_operator_request(void *context, SoupServerMessage *message,
				str_t path)
{
	server_t *server = context;

	if (str_equal(path, STR("/metrics"))) {
		respond_metrics(server, message);
	} else if (str_equal(path, STR("/healthz"))) {
		respond_text(message, 200, "ok\n");
	} else if (str_equal(path, STR("/readyz"))) {
		if (is_ready(server))
			respond_text(message, 200, "ready\n");
		else
			respond_text(message, 503, "not ready\n");
	} else if (str_has_prefix(path, STR("/v1/admin/"))) {
		on_admin_request(server, message, path);
	} else {
		respond_text(message, 404, "not found\n");
	}
}

static void refuse(server_t *server, SoupServerMessage *message,
		   verdict_code_t code, const char *detail)
{
	verdict_t verdict = verdict_make(RUN_NOT_RUN, code, detail);
	int64_t now_us = clock_now(&server->router.clock);

	if (code == VERDICT_UNAVAILABLE || code == VERDICT_OVERLOADED)
		verdict.retry_at_us = now_us + CLOCK_US_PER_S;
	listener_refuse(message, &verdict, now_us);
}

/* Bounds the memory and sockets of one VM, whoever calls. */
static bool is_full(const server_t *server)
{
	const router_t *router = &server->router;
	int64_t n = (int64_t)g_queue_get_length((GQueue *)&router->requests) +
		    g_queue_get_length((GQueue *)&router->forwarded_calls);

	return n >= router->state->limits.max_requests;
}

/* Requests on the callers' listener. */
static void on_caller_request(void *context, SoupServerMessage *message,
			      str_t path)
{
	server_t *server = context;
	const char *method = soup_server_message_get_method(message);
	bool chat = str_equal(path, STR("/v1/chat/completions"));
	str_t prefix = STR("/svc/");

	counters_add(COUNTER_REQUESTS, 1);
	if (!server->router.state) {
		refuse(server, message, VERDICT_UNAVAILABLE,
		       "no configuration in effect");
	} else if (is_full(server)) {
		refuse(server, message, VERDICT_OVERLOADED,
		       "too many requests in progress");
	} else if (chat || str_equal(path, STR("/v1/completions"))) {
		if (strcmp(method, "POST") != 0)
			refuse(server, message, VERDICT_METHOD_NOT_ALLOWED,
			       "expected POST");
		else
			request_start(&server->router, message, chat);
	} else if (str_has_prefix(path, prefix)) {
		forwarded_call_start(&server->router, message,
				     (str_t){path.data + prefix.len,
					     path.len - prefix.len});
	} else {
		refuse(server, message, VERDICT_NOT_FOUND, "no such path");
	}
}

static gboolean on_drain(gpointer data)
{
	server_t *server = data;
	int64_t now_us = clock_now(&server->router.clock);
	bool idle = g_queue_is_empty(&server->router.requests) &&
		    g_queue_is_empty(&server->router.forwarded_calls);

	if (now_us < server->notice_until_us && server->signals < 2)
		return G_SOURCE_CONTINUE;
	if (!server->stopped_listening)
		server->stopped_listening = listener_stop(&server->callers);
	if (!idle && now_us < server->shutdown_until_us && server->signals < 2)
		return G_SOURCE_CONTINUE;
	while (!g_queue_is_empty(&server->router.requests))
		request_abort(g_queue_peek_head(&server->router.requests));
	while (!g_queue_is_empty(&server->router.forwarded_calls))
		forwarded_call_abort(
			g_queue_peek_head(&server->router.forwarded_calls));
	/* Last responses are still being written, and engines may still hold
	 * memory of the requests that were ended.
	 */
	if (!server->flush_until_us)
		server->flush_until_us = now_us + FLUSH_LIMIT_US;
	if (now_us < server->flush_until_us &&
	    (!server->stopped_listening ||
	     listener_open_requests(&server->callers) > 0 ||
	     !canceller_is_idle(&server->router.canceller) ||
	     !once_records_are_idle(&server->router.once_records)))
		return G_SOURCE_CONTINUE;
	g_main_loop_quit(server->router.loop);
	return G_SOURCE_REMOVE;
}

/*
 * The first signal starts a graceful shutdown: not ready, still accepting
 * until the load balancer has noticed, then waiting for requests in progress.
 * A second one ends those with verdicts at once.
 */
static gboolean on_signal(gpointer data)
{
	server_t *server = data;
	int64_t now_us = clock_now(&server->router.clock);

	server->signals++;
	if (server->signals > 1)
		return G_SOURCE_CONTINUE;
	router_drain(&server->router);
	server->notice_until_us =
		now_us + server->settings.drain_notice_ms * CLOCK_US_PER_MS;
	server->shutdown_until_us =
		now_us + server->settings.shutdown_limit_ms * CLOCK_US_PER_MS;
	log_event(LOG_INFO, "draining",
		  LOG_UINT("requests",
			   g_queue_get_length(&server->router.requests)));
	g_timeout_add(DRAIN_POLL_MS, on_drain, server);
	return G_SOURCE_CONTINUE;
}

/* A newer process has this VM's name: this one ends gracefully. */
static void on_superseded(void *context)
{
	server_t *server = context;

	if (!server->signals)
		on_signal(server);
}

static bool load_state_file(server_t *server, diag_t *diag)
{
	const char *path = server->settings.state_file;
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
		router_set_state(&server->router, state);
	return ok;
}

/* The state's limits for senders, or bounds that apply before one is known. */
static listener_limits_t sender_limits(const server_t *server)
{
	const state_t *state = server->router.state;

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

/* A version has taken effect: requests from now on have its limits. */
static void on_state(void *context)
{
	server_t *server = context;

	server->callers.limits = sender_limits(server);
}

static bool start_listeners(server_t *server, GError **error)
{
	listener_limits_t limits = sender_limits(server);

	if (!listener_init(&server->callers, server->settings.callers_address,
			   &limits, on_caller_request, server, error))
		return false;
	if (listener_init(&server->operators,
			  server->settings.operators_address, &limits,
			  on_operator_request, server, error))
		return true;
	listener_finish(&server->callers);
	return false;
}

/* Prints the addresses in use, which tests and the demo wait for. */
static void print_ready(server_t *server)
{
	char *callers = listener_address(&server->callers);
	char *operators = listener_address(&server->operators);

	printf("ready callers=%s operators=%s\n", callers, operators);
	fflush(stdout);
	log_event(LOG_INFO, "ready", LOG_CSTR("callers", callers),
		  LOG_CSTR("operators", operators));
	g_free(callers);
	g_free(operators);
}

static int run(server_t *server)
{
	diag_t diag;
	GError *error = NULL;
	int code = EXIT_CODE_BAD_INPUT;
	GString *text = g_string_new(NULL);

	diag_init(&diag);
	router_init(&server->router, &server->settings);
	log_init(server->log_file ? server->log_file : stderr,
		 server->settings.log_level, str_from(server->settings.vm),
		 str_from(server->settings.zone), &server->router.hlc);
	server->router.on_state = on_state;
	server->router.on_state_context = server;
	if (!router_join(&server->router, on_superseded, server, &error)) {
		diag_add(&diag, "rpc_address", 0, "", "%s", error->message);
		g_clear_error(&error);
		goto out;
	}
	if (!load_state_file(server, &diag))
		goto out;
	if (!start_listeners(server, &error)) {
		diag_add(&diag, "listeners", 0, "", "%s", error->message);
		g_clear_error(&error);
		goto out;
	}
	print_ready(server);
	g_unix_signal_add(SIGTERM, on_signal, server);
	g_unix_signal_add(SIGINT, on_signal, server);
	g_main_loop_run(server->router.loop);
	log_event(LOG_INFO, "stopped", LOG_INT("signals", server->signals));
	listener_finish(&server->callers);
	listener_finish(&server->operators);
	code = EXIT_CODE_OK;
out:
	diag_print(&diag, text);
	fputs(text->str, stderr);
	g_string_free(text, TRUE);
	diag_finish(&diag);
	router_finish(&server->router);
	log_finish();
	return code;
}

static int serve_with_settings(const char *path)
{
	server_t server = {.signals = 0};
	diag_t diag;
	GString *text = g_string_new(NULL);
	int code = EXIT_CODE_BAD_INPUT;

	diag_init(&diag);
	if (!settings_load(path, &server.settings, &diag)) {
		diag_print(&diag, text);
		fputs(text->str, stderr);
		goto out;
	}
	if (server.settings.log_file) {
		server.log_file = fopen(server.settings.log_file, "ae");
		if (!server.log_file) {
			fprintf(stderr, "%s: cannot be opened\n",
				server.settings.log_file);
			goto out_settings;
		}
	}
	code = run(&server);
	if (server.log_file)
		fclose(server.log_file);
out_settings:
	settings_finish(&server.settings);
out:
	g_string_free(text, TRUE);
	diag_finish(&diag);
	return code;
}

/* Runs the process of an entry VM until it is told to stop. */
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
