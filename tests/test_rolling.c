/* Replacement of entry VMs under load. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>

#include "support_deployment.h"
#include "support_http.h"
#include "support_load.h"

#define SEED 41
#define ROUTERS 4
#define WAIT_MS 20000
/* Engines free memory at the latest when another entry VM has cancelled. */
#define RELEASE_BOUND_US (INT64_C(10) * G_USEC_PER_SEC)
/* Time between SIGTERM and the end of new connections, of which a load
 * balancer that polls /readyz must have noticed.
 */
#define NOTICE_MS 2000
#define BALANCER_POLL_US (INT64_C(200) * G_TIME_SPAN_MILLISECOND)

/* Requests that are sent while a process is stopped, and its notice. */
#define UNREAD 8
#define UNREAD_NOTICE_MS 300

static const char *const engine_args[] = {
	"--hold-ms", "60000", "--token-us", "5000", "--prefill-us-per-token",
	"50",	     NULL};

static const deployment_config_t config = {
	.prefills = 2,
	.decodes = 3,
	.services = 2,
	.routers = ROUTERS,
	.zones = 2,
	.platform = true,
	.state_file_too = true,
	.engine_args = engine_args,
};

static const load_run_config_t load = {
	.seed = SEED,
	.rate = 40,
	.duration_ms = 6000,
	.timeout_ms = 8000,
	.leave_percent = 10,
	.plain_percent = 15,
};

/* Ends a process after `signals` SIGTERMs and starts its successor. */
static void replace(deployment_t *deployment, unsigned index, unsigned signals)
{
	process_t *process = &deployment->router[index];

	for (unsigned i = 0; i < signals; i++) {
		process_signal(process, SIGTERM);
		/* Signals that are pending together count as one. */
		g_usleep(50 * G_TIME_SPAN_MILLISECOND);
	}
	assert_true(process_wait_end(process, WAIT_MS));
	assert_int_equal(process->status, 0);
	process_finish(process);
	deployment_start_router(deployment, index);
}

static void replace_all(load_run_t *run, deployment_t *deployment,
			unsigned signals)
{
	audit_counts_t counts;

	deployment_start(deployment, &config);
	load_run_start(run, deployment, &load);
	g_usleep(500 * G_TIME_SPAN_MILLISECOND);
	for (unsigned i = 0; i < ROUTERS; i++)
		replace(deployment, i, signals);
	load_run_join(run);
	print_message("%s\n", run->line);
	assert_true(load_run_audit(run, RELEASE_BOUND_US, &counts));
	assert_int_equal(load_run_count(run, "unfinished"), 0);
	assert_int_equal(load_run_count(run, "cut"), 0);
	assert_int_equal(load_run_count(run, "wrong"), 0);
	assert_int_equal(load_run_unexplained(run), 0);
	assert_true(load_run_count(run, "answered") > 0);
}

/* Guards against requests that are lost, cut or failed by the replacement of
 * one entry VM after the other (P7).
 */
static void test_rolling_replacement(void **state)
{
	deployment_t deployment;
	load_run_t run;

	replace_all(&run, &deployment, 1);
	assert_int_equal(load_run_count(&run, "failed"), 0);
	assert_int_equal(load_run_count(&run, "refused"), 0);
	load_run_finish(&run);
	deployment_finish(&deployment);
}

/* Guards against a second signal that cuts responses instead of ending them
 * with verdicts.
 */
static void test_second_signal(void **state)
{
	deployment_t deployment;
	load_run_t run;

	replace_all(&run, &deployment, 2);
	load_run_finish(&run);
	deployment_finish(&deployment);
}

static unsigned get_ready(const deployment_t *deployment)
{
	http_answer_t answer =
		http_get(deployment->operators_address[0], "/readyz");
	unsigned status = answer.status;

	http_answer_finish(&answer);
	return status;
}

/* Guards against an entry VM that refuses callers before a load balancer that
 * only sees /readyz can have noticed.
 */
static void test_balancer_notices(void **state)
{
	static const char body[] =
		"{\"model\":\"summaries\",\"prompt\":\"a b c\","
		"\"max_tokens\":2}";
	deployment_config_t own = config;
	deployment_t deployment;
	http_answer_t answer;
	unsigned polls = 0;

	own.routers = 1;
	own.zones = 1;
	own.drain_notice_ms = NOTICE_MS;
	deployment_start(&deployment, &own);
	assert_int_equal(get_ready(&deployment), 200);
	process_signal(&deployment.router[0], SIGTERM);
	do {
		g_usleep(BALANCER_POLL_US);
		polls++;
	} while (get_ready(&deployment) == 200);
	assert_int_equal(get_ready(&deployment), 503);
	answer = http_call("POST", deployment.callers_address[0],
			   "/v1/completions", body, DEPLOYMENT_HEADERS);
	assert_int_equal(answer.status, 200);
	http_answer_finish(&answer);
	print_message("noticed with poll %u\n", polls);
	assert_true(process_wait_end(&deployment.router[0], WAIT_MS));
	assert_int_equal(deployment.router[0].status, 0);
	deployment_finish(&deployment);
}

static GSocketConnection *connect_to(const char *address)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *connection =
		g_socket_client_connect_to_host(client, address, 0, NULL, NULL);

	assert_non_null(connection);
	g_object_unref(client);
	return connection;
}

/* Sends a request. */
static void send_request(GSocketConnection *connection, const char *body)
{
	char *request = g_strdup_printf(
		"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
		"Authorization: Bearer " DEPLOYMENT_TOKEN "\r\n"
		"Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(body), body);

	assert_true(g_output_stream_write_all(
		g_io_stream_get_output_stream(G_IO_STREAM(connection)), request,
		strlen(request), NULL, NULL, NULL));
	g_free(request);
}

/* Reads the status line of a response. */
static char *read_status_line(GSocketConnection *connection)
{
	GDataInputStream *input = g_data_input_stream_new(
		g_io_stream_get_input_stream(G_IO_STREAM(connection)));
	char *line = g_data_input_stream_read_line(input, NULL, NULL, NULL);

	g_object_unref(input);
	return line;
}

/* Guards against requests that the kernel has received, and that are cut without an
 * answer since the process ends in the turn of its main loop in which it would read
 * them. The process is stopped, so that they come with the end of its notice.
 */
static void test_received_before_the_end(void **state)
{
	static const char body[] =
		"{\"model\":\"summaries\",\"prompt\":\"a b c\","
		"\"max_tokens\":2}";
	deployment_config_t own = config;
	GSocketConnection *connections[UNREAD];
	unsigned answered = 0;
	deployment_t deployment;

	own.routers = 1;
	own.zones = 1;
	own.drain_notice_ms = UNREAD_NOTICE_MS;
	deployment_start(&deployment, &own);
	process_signal(&deployment.router[0], SIGTERM);
	g_usleep(UNREAD_NOTICE_MS / 3 * G_TIME_SPAN_MILLISECOND);
	for (unsigned i = 0; i < UNREAD; i++)
		connections[i] = connect_to(deployment.callers_address[0]);
	g_usleep(UNREAD_NOTICE_MS / 3 * G_TIME_SPAN_MILLISECOND);
	process_signal(&deployment.router[0], SIGSTOP);
	for (unsigned i = 0; i < UNREAD; i++)
		send_request(connections[i], body);
	g_usleep(UNREAD_NOTICE_MS * G_TIME_SPAN_MILLISECOND);
	process_signal(&deployment.router[0], SIGCONT);
	for (unsigned i = 0; i < UNREAD; i++) {
		char *line = read_status_line(connections[i]);

		answered += line && g_str_has_prefix(line, "HTTP/1.1 200");
		g_free(line);
		g_object_unref(connections[i]);
	}
	assert_int_equal(answered, UNREAD);
	assert_true(process_wait_end(&deployment.router[0], WAIT_MS));
	assert_int_equal(deployment.router[0].status, 0);
	deployment_finish(&deployment);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rolling_replacement),
		cmocka_unit_test(test_second_signal),
		cmocka_unit_test(test_balancer_notices),
		cmocka_unit_test(test_received_before_the_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
