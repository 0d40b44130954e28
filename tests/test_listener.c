#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support_deployment.h"
#include "support_http.h"

/* Longest wait for the router to close a connection or to serve again. */
#define CLOSE_TIMEOUT_MS 5000

/* Connections that arrive within a second at the target load of a VM. */
#define BURST_CONNECTIONS 112
/* Less than the second after which the kernel sends the first packet of a
 * connection again.
 */
#define CONNECT_TIMEOUT_MS 500

#define STOPS_PER_TIMING 4
#define MAX_STOPS 6

static deployment_t deployment;

/* Starts a deployment with low limits. */
static int start_group(void **state)
{
	deployment_config_t config = {
		.prefills = 1,
		.decodes = 1,
		.routers = 1,
		.state_extra = "[limits]\nmax_header_bytes = 2048\n"
			       "max_body_bytes = 4096\n"
			       "receive_timeout_ms = 300\n"
			       "max_requests = 2\n",
	};

	deployment_start(&deployment, &config);
	return 0;
}

static int finish_group(void **state)
{
	deployment_finish(&deployment);
	return 0;
}

/* Connects to the listener for callers, with further flags of the socket. */
static int connect_with_flags(int flags)
{
	char **parts = g_strsplit(deployment.callers_address[0], ":", 2);
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)atoi(parts[1])),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);
	int result;

	inet_pton(AF_INET, parts[0], &address.sin_addr);
	result = connect(fd, (struct sockaddr *)&address, sizeof(address));
	assert_true(result == 0 || (flags && errno == EINPROGRESS));
	g_strfreev(parts);
	return fd;
}

/* Connects to the listener for callers and waits for it. */
static int connect_to_callers(void)
{
	return connect_with_flags(0);
}

/* Reads until the router closes; fails if it does not within the time. Closes
 * the descriptor. The caller frees the text.
 */
static char *read_to_end(int fd)
{
	GString *text = g_string_new(NULL);
	struct pollfd wait = {fd, POLLIN, 0};
	char buffer[4096];
	ssize_t n;

	do {
		assert_int_equal(poll(&wait, 1, CLOSE_TIMEOUT_MS), 1);
		n = read(fd, buffer, sizeof(buffer));
		if (n > 0)
			g_string_append_len(text, buffer, n);
	} while (n > 0);
	close(fd);
	return g_string_free(text, FALSE);
}

/* The beginning of a request, after which nothing more is sent. */
typedef struct {
	const char *sent;
	const char *status; /* start of the response, or NULL: none at all */
} partial_request_t;

/* Guards against callers that hold a connection open without ever sending a
 * complete request.
 */
static void test_slow_senders_are_cut(void **state)
{
	static const partial_request_t cases[] = {
		{"", NULL},
		{"POST /v1/completions HTTP/1.1\r\nHost: a\r\n", NULL},
		{"POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
		 "Content-Length: 100\r\n\r\n{",
		 NULL},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int fd = connect_to_callers();
		char *text;

		assert_int_equal(write(fd, cases[i].sent,
				       strlen(cases[i].sent)),
				 strlen(cases[i].sent));
		text = read_to_end(fd);
		assert_string_equal(text, "");
		g_free(text);
	}
}

/* Checks that the response to a request begins with a status line. */
static void assert_refused(const char *request, const char *status)
{
	int fd = connect_to_callers();
	char *text;

	assert_int_equal(write(fd, request, strlen(request)), strlen(request));
	text = read_to_end(fd);
	if (!g_str_has_prefix(text, status))
		print_message("got: %.100s\n", text);
	assert_true(g_str_has_prefix(text, status));
	g_free(text);
}

/* Guards against requests that are accepted although they are too large. */
static void test_large_requests_are_refused(void **state)
{
	char *filler = g_strnfill(5000, 'a');
	char *head = g_strdup_printf("POST /v1/completions HTTP/1.1\r\n"
				     "Host: a\r\nX-Filler: %s\r\n"
				     "Content-Length: 0\r\n\r\n",
				     filler);
	char *body =
		g_strdup_printf("POST /v1/completions HTTP/1.1\r\n"
				"Host: a\r\nContent-Length: 4900\r\n\r\n%s",
				filler);

	assert_refused(head, "HTTP/1.1 413");
	assert_refused(body, "HTTP/1.1 413");
	g_free(head);
	g_free(body);
	g_free(filler);
}

/* Guards against a body without a declared length that never ends. */
static void test_endless_body_is_cut(void **state)
{
	int fd = connect_to_callers();
	const char *head = "POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
			   "Transfer-Encoding: chunked\r\n\r\n";
	char chunk[1024 + 8];
	int chunks = 0;
	char *text;

	memset(chunk, 'a', sizeof(chunk));
	memcpy(chunk, "400\r\n", 5);
	memcpy(chunk + 5 + 1024, "\r\n", 2);
	assert_int_equal(write(fd, head, strlen(head)), strlen(head));
	while (chunks < 100 && send(fd, chunk, 5 + 1024 + 2, MSG_NOSIGNAL) > 0)
		chunks++;
	text = read_to_end(fd);
	assert_null(strstr(text, "HTTP/1.1 200"));
	g_free(text);
}

/* Guards against slow connections after a pause of the router. While the
 * process does not run, a burst can fill the kernel's accept queue;
 * connections beyond it wait a second until their first packet is sent again.
 */
static void test_burst_connects(void **state)
{
	struct pollfd fds[BURST_CONNECTIONS];
	int connected = 0;

	process_signal(&deployment.router[0], SIGSTOP);
	for (int i = 0; i < BURST_CONNECTIONS; i++) {
		fds[i].fd = connect_with_flags(SOCK_NONBLOCK);
		fds[i].events = POLLOUT;
	}
	for (int i = 0; i < BURST_CONNECTIONS; i++)
		connected += poll(&fds[i], 1,
				  CONNECT_TIMEOUT_MS / BURST_CONNECTIONS) == 1;
	process_signal(&deployment.router[0], SIGCONT);
	for (int i = 0; i < BURST_CONNECTIONS; i++)
		close(fds[i].fd);
	assert_int_equal(connected, BURST_CONNECTIONS);
}

static void sleep_ms(gulong ms)
{
	g_usleep(ms * 1000);
}

/* Sends a part of a text, from a byte on up to another one. */
static void send_part(int fd, const char *text, size_t from, size_t to)
{
	assert_int_equal(write(fd, text + from, to - from), to - from);
}

/* Reads an answer whose body is a JSON object, and returns its status; 0: the connection
 * ended before.
 */
static int read_status(int fd)
{
	struct pollfd wait = {fd, POLLIN, 0};
	char text[4096];
	size_t len = 0;

	do {
		ssize_t n;

		assert_int_equal(poll(&wait, 1, CLOSE_TIMEOUT_MS), 1);
		n = read(fd, text + len, sizeof(text) - 1 - len);
		if (n <= 0)
			return 0;
		len += (size_t)n;
		text[len] = '\0';
	} while (!g_str_has_suffix(text, "}") &&
		 !g_str_has_suffix(text, "}\n"));
	return atoi(text + strlen("HTTP/1.1 "));
}

/* Up to where a request is sent. */
typedef enum {
	SENT_NOTHING,
	SENT_HALF_A_HEAD,
	SENT_HEAD,
	SENT_WHOLE,
	SENT_N,
} sent_part_t;

/* What is sent before the router is stopped and before it goes on; the rest is sent after
 * that.
 */
typedef struct {
	const char *name;
	sent_part_t before, meanwhile;
} stop_timing_t;

/* Sends a second request on a kept connection whose receive time ends while the router is
 * stopped. Returns the status of the answer.
 */
static int status_after_stop(const char *request, const stop_timing_t *timing)
{
	size_t head_len = (size_t)(strstr(request, "\r\n\r\n") + 4 - request);
	const size_t ends[SENT_N] = {0, head_len / 2, head_len,
				     strlen(request)};
	int fd = connect_to_callers();
	int status;

	send_part(fd, request, 0, ends[SENT_WHOLE]);
	assert_int_equal(read_status(fd), 200);
	sleep_ms(200);
	send_part(fd, request, 0, ends[timing->before]);
	sleep_ms(50);
	process_signal(&deployment.router[0], SIGSTOP);
	sleep_ms(20);
	send_part(fd, request, ends[timing->before], ends[timing->meanwhile]);
	sleep_ms(300);
	process_signal(&deployment.router[0], SIGCONT);
	sleep_ms(30);
	/* The router may have closed the connection. */
	(void)send(fd, request + ends[timing->meanwhile],
		   ends[SENT_WHOLE] - ends[timing->meanwhile], MSG_NOSIGNAL);
	status = read_status(fd);
	close(fd);
	return status;
}

/* Returns how many prefills the engine has been sent. */
static int64_t count_prefills(void)
{
	http_answer_t answer =
		http_get(deployment.operators_address[0], "/metrics");
	static const char key[] = "\ngooseberryspur_prefills_total ";
	const char *at = strstr(answer.text, key);
	int64_t value;

	assert_non_null(at);
	value = strtoll(at + strlen(key), NULL, 10);
	http_answer_finish(&answer);
	return value;
}

/* Guards against requests that have arrived on time and are cut, as they are or after they
 * were passed on, because the router's process did not run as their connection's time
 * ended.
 */
static void test_stop_over_the_end_of_the_time(void **state)
{
	static const char body[] =
		"{\"model\":\"summaries\",\"prompt\":\"a\",\"max_tokens\":1}";
	static const stop_timing_t timings[] = {
		{"whole", SENT_NOTHING, SENT_WHOLE},
		{"head only", SENT_NOTHING, SENT_HEAD},
		{"half a head", SENT_NOTHING, SENT_HALF_A_HEAD},
		{"rest of a head", SENT_HALF_A_HEAD, SENT_WHOLE},
		{"rest of a head without the body", SENT_HALF_A_HEAD,
		 SENT_HEAD},
		{"body after the head", SENT_HEAD, SENT_WHOLE},
	};
	char *request = g_strdup_printf(
		"POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
		"Authorization: Bearer " DEPLOYMENT_TOKEN "\r\n"
		"Content-Type: application/json\r\nContent-Length: %zu\r\n"
		"\r\n%s",
		strlen(body), body);
	unsigned all_lost = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(timings); i++) {
		int64_t prefills = count_prefills() + STOPS_PER_TIMING;
		unsigned lost = 0;

		for (unsigned round = 0; round < STOPS_PER_TIMING; round++)
			lost += status_after_stop(request, &timings[i]) != 200;
		print_message("%s: %u of %d lost, %d had run\n",
			      timings[i].name, lost, STOPS_PER_TIMING,
			      (int)(count_prefills() - prefills));
		all_lost += lost;
	}
	g_free(request);
	assert_int_equal(all_lost, 0);
}

/* Returns whether a connection has ended without an answer. */
static bool has_ended(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/* Guards against a caller that holds a connection for ever by a byte in each pause of the
 * process, and against a request that is run although its connection was ended, as the
 * rest of it came with the last byte.
 */
static void test_bytes_in_several_stops(void **state)
{
	static const char request[] =
		"POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
		"Authorization: Bearer " DEPLOYMENT_TOKEN "\r\n"
		"Content-Type: application/json\r\nContent-Length: 49\r\n"
		"\r\n{\"model\":\"summaries\",\"prompt\":\"a\","
		"\"max_tokens\":1}";
	int64_t prefills = count_prefills();
	int fd = connect_to_callers();
	size_t sent = 20;
	unsigned stops = 0;

	send_part(fd, request, 0, sent);
	sleep_ms(50);
	while (stops < MAX_STOPS && !has_ended(fd)) {
		size_t end = stops ? strlen(request) : sent + 1;

		process_signal(&deployment.router[0], SIGSTOP);
		sleep_ms(350);
		(void)send(fd, request + sent, end - sent, MSG_NOSIGNAL);
		sent = end;
		process_signal(&deployment.router[0], SIGCONT);
		sleep_ms(100);
		stops++;
	}
	close(fd);
	print_message("ended after %u stops\n", stops);
	assert_int_equal(stops, 2);
	assert_int_equal(count_prefills(), prefills);
}

/* Guards against more requests in progress than a VM allows. */
static void test_requests_in_progress_are_bounded(void **state)
{
	static const char body[] = "{\"model\":\"summaries\",\"prompt\":\"a\","
				   "\"max_tokens\":500,\"stream\":true}";
	http_stream_t streams[2];
	http_answer_t answer;

	for (unsigned i = 0; i < 2; i++) {
		streams[i] = http_stream_open(deployment.callers_address[0],
					      "/v1/completions", body,
					      DEPLOYMENT_HEADERS);
		assert_int_equal(streams[i].status, 200);
	}
	answer = http_call("POST", deployment.callers_address[0],
			   "/v1/completions", body, DEPLOYMENT_HEADERS);
	assert_int_equal(answer.status, 503);
	assert_string_equal(http_header(&answer, "Gooseberryspur-Verdict"),
			    "not-run");
	assert_string_not_equal(http_header(&answer, "Retry-After"), "");
	http_answer_finish(&answer);
	for (unsigned i = 0; i < 2; i++)
		http_stream_close(&streams[i]);
}

/* Guards against a listener that no longer serves after the bad requests of the
 * other tests.
 */
static void test_still_serves(void **state)
{
	gint64 end_us =
		g_get_monotonic_time() + (gint64)CLOSE_TIMEOUT_MS * 1000;
	unsigned status = 0;

	/* The streams of the previous test may still be ending, and count as
	 * requests in progress until then.
	 */
	while (status != 200 && g_get_monotonic_time() < end_us) {
		http_answer_t answer =
			http_call("POST", deployment.callers_address[0],
				  "/v1/completions",
				  "{\"model\":\"summaries\",\"prompt\":\"a\","
				  "\"max_tokens\":1}",
				  DEPLOYMENT_HEADERS);

		status = answer.status;
		http_answer_finish(&answer);
	}
	assert_int_equal(status, 200);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_senders_are_cut),
		cmocka_unit_test(test_large_requests_are_refused),
		cmocka_unit_test(test_endless_body_is_cut),
		cmocka_unit_test(test_burst_connects),
		cmocka_unit_test(test_stop_over_the_end_of_the_time),
		cmocka_unit_test(test_bytes_in_several_stops),
		cmocka_unit_test(test_requests_in_progress_are_bounded),
		cmocka_unit_test(test_still_serves),
	};

	return cmocka_run_group_tests(tests, start_group, finish_group);
}
