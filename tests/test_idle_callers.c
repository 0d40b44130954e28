/* Requests on kept connections that arrive about the time at which the VM ends the
 * connection as idle, or while the VM's process does not run over that time. The VM is a
 * process of its own.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

#include "connection/ingress.h"
#include "names.h"
#include "support_address.h"
#include "support_entry.h"
#include "support_store.h"
#include "support_tcp_stub.h"
#include "support_vm_process.h"

#define WAIT_MS 8000
#define SHUTDOWN_LIMIT_S 5

/* Limits in the configuration, and what the VM adds to the idle time. */
#define HEAD_TIMEOUT_MS 300
#define IDLE_TIMEOUT_MS 300
#define IDLE_MARGIN_MS 1000
#define IDLE_END_MS (IDLE_TIMEOUT_MS + IDLE_MARGIN_MS)

/* Work of the servers on a request. */
#define WORK_MS 30

#define MAX_CALLERS 128

/* Bodies: a small one, and one that does not fit into the kernel's buffers of a process
 * that does not read.
 */
#define BODY_BYTES 14
#define LARGE_BODY_BYTES (1 << 20)

typedef struct fixture fixture_t;

/* A caller with one connection. */
typedef struct {
	fixture_t *fixture;
	unsigned number;
	bool streams;
	bool as_peer; /* at the listener for other VMs */
	GSocket *socket;
	GString *answer; /* to the last request */
	unsigned begun; /* requests */
	char *request; /* the last one */
	size_t body_bytes; /* of the requests */
	size_t sent; /* bytes of the last one */
	size_t due; /* bytes of it that are to be sent as soon as they can be */
	int64_t answered_us;
	bool ended; /* the connection */
	bool arrived; /* the last request, at a server */
} caller_t;

/* A request that a server works on. */
typedef struct {
	exchange_t *exchange;
	int64_t until_us;
	bool streams;
} work_t;

struct fixture {
	fake_store_t store;
	char *store_address;
	ingress_t prefill, decode, plain;
	char *addresses[3];
	vm_process_t vm;
	GQueue work; /* of work_t, oldest first */
	caller_t callers[MAX_CALLERS];
	unsigned n_callers;
};

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* --- servers ------------------------------------------------------------- */

static void add_fields(const exchange_t *exchange, http_headers_t *headers)
{
	str_t id = http_headers_get(&exchange_head(exchange)->headers,
				    "x-request-id");

	http_headers_init(headers);
	if (id.len)
		http_headers_add(headers, STR("X-Request-Id"), id);
	http_headers_add(headers, STR("X-Response-Signature"), STR("s"));
}

static void reply(exchange_t *exchange, const char *body)
{
	http_headers_t headers;

	add_fields(exchange, &headers);
	exchange_reply(exchange, 200, &headers, str_from(body));
	http_headers_finish(&headers);
}

static void reply_stream(exchange_t *exchange)
{
	static const char events[] = "id: 1\ndata: a\n\nid: 2\ndata: whole\n\n";
	http_headers_t headers;

	add_fields(exchange, &headers);
	exchange_start_stream(exchange, 200, &headers);
	exchange_write(exchange, events, strlen(events));
	exchange_end_stream(exchange);
	http_headers_finish(&headers);
}

static void prefill_on_request(void *context, exchange_t *exchange)
{
	reply(exchange, "{\"kvHandle\":\"h\",\"tokens\":10,\"version\":1}");
}

/* Marks the caller whose request has arrived: "r" and its number, then the request's. */
static void note_arrival(fixture_t *fixture, const exchange_t *exchange)
{
	char *id = str_dup(http_headers_get(&exchange_head(exchange)->headers,
					    "x-request-id"));
	unsigned number, request;

	if (sscanf(id, "r%u-%u", &number, &request) == 2 &&
	    number < fixture->n_callers &&
	    fixture->callers[number].begun == request)
		fixture->callers[number].arrived = true;
	g_free(id);
}

static void begin_work(fixture_t *fixture, exchange_t *exchange, bool streams)
{
	work_t *work;

	if (!strstr(exchange_head(exchange)->target->str, "/x")) {
		reply(exchange, "{\"busy\":false,\"sequence\":0}");
		return;
	}
	note_arrival(fixture, exchange);
	work = g_new(work_t, 1);
	*work = (work_t){exchange, now_us() + WORK_MS * CLOCK_US_PER_MS,
			 streams};
	g_queue_push_tail(&fixture->work, work);
}

static void decode_on_request(void *context, exchange_t *exchange)
{
	begin_work(context, exchange, true);
}

static void plain_on_request(void *context, exchange_t *exchange)
{
	begin_work(context, exchange, false);
}

static void on_gone(void *context, exchange_t *exchange)
{
	fixture_t *fixture = context;
	GList *link = fixture->work.head;

	while (link && ((work_t *)link->data)->exchange != exchange)
		link = link->next;
	if (!link)
		return;
	g_free(link->data);
	g_queue_delete_link(&fixture->work, link);
}

static const ingress_handler_t prefill_handler = {
	.on_request = prefill_on_request,
	.on_gone = on_gone,
};

static const ingress_handler_t decode_handler = {
	.on_request = decode_on_request,
	.on_gone = on_gone,
};

static const ingress_handler_t plain_handler = {
	.on_request = plain_on_request,
	.on_gone = on_gone,
};

/* Answers the requests on which the work is done. */
static void answer_due(fixture_t *fixture)
{
	work_t *work = g_queue_peek_head(&fixture->work);

	while (work && work->until_us <= now_us()) {
		if (work->streams)
			reply_stream(work->exchange);
		else
			reply(work->exchange, "whole");
		g_free(g_queue_pop_head(&fixture->work));
		work = g_queue_peek_head(&fixture->work);
	}
}

/* --- callers ------------------------------------------------------------- */

static caller_t *connect_caller(fixture_t *fixture, bool streams, bool as_peer)
{
	caller_t *caller = &fixture->callers[fixture->n_callers];

	assert_true(fixture->n_callers < MAX_CALLERS);
	*caller = (caller_t){
		.fixture = fixture,
		.number = fixture->n_callers++,
		.streams = streams,
		.as_peer = as_peer,
		.socket =
			support_connect(as_peer ? fixture->vm.peer_address
						: fixture->vm.callers_address),
		.answer = g_string_new(NULL),
		.body_bytes = BODY_BYTES,
	};
	return caller;
}

static void disconnect_callers(fixture_t *fixture)
{
	for (unsigned i = 0; i < fixture->n_callers; i++) {
		g_object_unref(fixture->callers[i].socket);
		g_string_free(fixture->callers[i].answer, TRUE);
		g_free(fixture->callers[i].request);
	}
	fixture->n_callers = 0;
}

/* Sends what is due, as far as the kernel takes it. */
static void send_due(caller_t *caller)
{
	while (caller->sent < caller->due) {
		gssize n = g_socket_send(caller->socket,
					 caller->request + caller->sent,
					 caller->due - caller->sent, NULL,
					 NULL);

		if (n <= 0)
			return;
		caller->sent += (size_t)n;
	}
}

/* Sends the request up to a byte. */
static void send_until(caller_t *caller, size_t end)
{
	caller->due = MAX(caller->due, end);
	send_due(caller);
}

static void send_rest(caller_t *caller)
{
	send_until(caller, strlen(caller->request));
}

/* Sends the head of the request, or the first half of its head. */
static void send_head(caller_t *caller, bool half)
{
	const char *end = strstr(caller->request, "\r\n\r\n") + 4;
	size_t len = (size_t)(end - caller->request);

	send_until(caller, half ? len / 2 : len);
}

/* Makes the next request of a caller; nothing of it is sent yet. */
static void begin_request(caller_t *caller)
{
	g_string_truncate(caller->answer, 0);
	caller->arrived = false;
	caller->answered_us = 0;
	caller->sent = 0;
	caller->due = 0;
	caller->begun++;
	g_free(caller->request);
	caller->request = g_strdup_printf(
		"POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%u-%u\r\n"
		"X-Deadline-Ms: 8000\r\nX-Token-Count: 1000,200\r\n%s"
		"Content-Length: %zu\r\n\r\n%0*d",
		caller->streams ? "/l/x" : "/u/x", caller->number,
		caller->begun,
		caller->as_peer ? "Gooseberryspur-Config: 1\r\n" : "",
		caller->body_bytes, (int)caller->body_bytes, 0);
}

/* Returns whether a caller has the whole of its server's answer. */
static bool is_answered(const caller_t *caller)
{
	return g_str_has_prefix(caller->answer->str, "HTTP/1.1 200 ") &&
	       strstr(caller->answer->str, "whole") &&
	       (!caller->streams ||
		g_str_has_suffix(caller->answer->str, "\r\n0\r\n\r\n"));
}

/* Reads what has come. */
static void read_answer(caller_t *caller)
{
	char buffer[4096];
	GError *error = NULL;
	gssize n;

	if (caller->ended)
		return;
	while ((n = g_socket_receive(caller->socket, buffer, sizeof(buffer),
				     NULL, &error)) > 0)
		g_string_append_len(caller->answer, buffer, n);
	caller->ended = n == 0 || !g_error_matches(error, G_IO_ERROR,
						   G_IO_ERROR_WOULD_BLOCK);
	g_clear_error(&error);
	if (!caller->answered_us && is_answered(caller))
		caller->answered_us = now_us();
}

/* Lets servers and callers go on. Returns whether each caller has the answer to its last
 * request, or its connection has ended.
 */
static bool are_done(void *context)
{
	fixture_t *fixture = context;
	bool done = true;

	answer_due(fixture);
	for (unsigned i = 0; i < fixture->n_callers; i++) {
		caller_t *caller = &fixture->callers[i];

		send_due(caller);
		read_answer(caller);
		done &= caller->ended || caller->answered_us;
	}
	return done;
}

/* Wakes the main loop, so that conditions are checked. */
static gboolean on_wake(gpointer data)
{
	return G_SOURCE_CONTINUE;
}

static bool has_time_come(void *context)
{
	return now_us() >= *(int64_t *)context;
}

static void run_until(fixture_t *fixture, int64_t at_us)
{
	while (!has_time_come(&at_us)) {
		g_main_context_iteration(NULL, TRUE);
		(void)are_done(fixture);
	}
}

/* Sends the first request on each connection, and waits for the answers. */
static void use_connections(fixture_t *fixture)
{
	for (unsigned i = 0; i < fixture->n_callers; i++) {
		begin_request(&fixture->callers[i]);
		send_rest(&fixture->callers[i]);
	}
	assert_true(support_run_loop_until(are_done, fixture, WAIT_MS));
	for (unsigned i = 0; i < fixture->n_callers; i++)
		assert_true(is_answered(&fixture->callers[i]));
}

/* Returns how many callers have no whole answer to their last request. */
static unsigned count_unanswered(fixture_t *fixture, const char *what)
{
	unsigned n = 0;

	(void)support_run_loop_until(are_done, fixture, WAIT_MS);
	for (unsigned i = 0; i < fixture->n_callers; i++) {
		caller_t *caller = &fixture->callers[i];

		if (is_answered(caller))
			continue;
		n++;
		print_message("%s%s%s: %.12s%s%s\n", what,
			      caller->streams ? ", stream" : "",
			      caller->as_peer ? ", of a peer" : "",
			      caller->answer->len ? caller->answer->str
						  : "no answer",
			      caller->ended ? ", closed" : "",
			      caller->arrived ? ", had been passed on" : "");
	}
	return n;
}

/* --- fixture ------------------------------------------------------------- */

static bool is_served(fixture_t *fixture, bool streams)
{
	caller_t *caller = connect_caller(fixture, streams, false);
	bool served;

	begin_request(caller);
	send_rest(caller);
	served = support_run_loop_until(are_done, fixture, 1000) &&
		 is_answered(caller);
	disconnect_callers(fixture);
	return served;
}

/* Connects to the VM once it listens. */
static void await_listening(const fixture_t *fixture)
{
	for (unsigned i = 0; i < 50; i++) {
		if (vm_process_count_logged(&fixture->vm, "config_in_force"))
			return;
		support_run_loop_ms(100);
	}
	fail_msg("the VM has no configuration");
}

static void start(fixture_t *fixture)
{
	char *config = g_strdup_printf(
		"{\"version\":1,\"limits\":{\"headerTimeoutMs\":%d,"
		"\"idleTimeoutMs\":%d},\"routes\":[{\"name\":\"l\","
		"\"host\":\"h\",\"pathPrefix\":\"/l/\",\"kind\":\"streaming\","
		"\"timeoutMs\":8000,\"targetLatencyMs\":900,"
		"\"gapAimMs\":300,\"service\":\"llm\",\"maxAttempts\":2},"
		"{\"name\":\"u\",\"host\":\"h\",\"pathPrefix\":\"/u/\","
		"\"kind\":\"unsafe\",\"timeoutMs\":8000,\"service\":\"app\","
		"\"maxAttempts\":1}],"
		"\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\","
		"\"engine\":{\"slots\":64,\"kvTokenCapacity\":1000000,"
		"\"stride\":1}},{\"name\":\"app\",\"healthPath\":\"/health\"}]}",
		HEAD_TIMEOUT_MS, IDLE_TIMEOUT_MS);
	bool served = false;

	memset(fixture, 0, sizeof(*fixture));
	g_queue_init(&fixture->work);
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	g_free(config);
	fixture->addresses[0] = support_server_start(
		&fixture->prefill, &fixture->store, "i-0",
		"\"service\":\"llm\",\"stage\":\"prefill\"", &prefill_handler,
		fixture);
	fixture->addresses[1] =
		support_server_start(&fixture->decode, &fixture->store, "i-1",
				     "\"service\":\"llm\",\"stage\":\"decode\"",
				     &decode_handler, fixture);
	fixture->addresses[2] = support_server_start(&fixture->plain,
						     &fixture->store, "i-2",
						     "\"service\":\"app\"",
						     &plain_handler, fixture);
	vm_process_start(&fixture->vm, "vm-0", fixture->store_address,
			 SHUTDOWN_LIMIT_S);
	await_listening(fixture);
	for (unsigned i = 0; i < 50 && !served; i++) {
		support_run_loop_ms(100);
		served = is_served(fixture, false) && is_served(fixture, true);
	}
	assert_true(served);
}

static void finish(fixture_t *fixture)
{
	disconnect_callers(fixture);
	vm_process_finish(&fixture->vm);
	ingress_finish(&fixture->prefill);
	ingress_finish(&fixture->decode);
	ingress_finish(&fixture->plain);
	fake_store_stop(&fixture->store);
	g_queue_clear_full(&fixture->work, g_free);
	for (size_t i = 0; i < G_N_ELEMENTS(fixture->addresses); i++)
		g_free(fixture->addresses[i]);
	g_free(fixture->store_address);
}

/* --- a VM that does not run ---------------------------------------------- */

/* Up to where a request is sent. */
typedef enum {
	SENT_NOTHING,
	SENT_HALF_A_HEAD,
	SENT_HEAD,
	SENT_WHOLE,
} part_t;

/* When the parts of a request are sent; the rest follows when the VM runs again. */
typedef struct {
	const char *name;
	part_t before; /* shortly before the VM is stopped */
	part_t meanwhile;
	size_t body_bytes;
} timing_t;

static const timing_t timings[] = {
	{"whole", SENT_NOTHING, SENT_WHOLE, BODY_BYTES},
	{"head only", SENT_NOTHING, SENT_HEAD, BODY_BYTES},
	{"half a head", SENT_NOTHING, SENT_HALF_A_HEAD, BODY_BYTES},
	{"body after the head", SENT_HEAD, SENT_WHOLE, BODY_BYTES},
	{"rest of a head", SENT_HALF_A_HEAD, SENT_WHOLE, BODY_BYTES},
	{"rest of a head without the body", SENT_HALF_A_HEAD, SENT_HEAD,
	 BODY_BYTES},
	{"large body", SENT_NOTHING, SENT_WHOLE, LARGE_BODY_BYTES},
	{"large body after the head", SENT_HEAD, SENT_WHOLE, LARGE_BODY_BYTES},
};

/* Callers of each timing: plain ones, streams, and plain ones of another VM. */
#define CALLERS_PER_TIMING 6

static void send_part(caller_t *caller, part_t part)
{
	if (part == SENT_WHOLE)
		send_rest(caller);
	else if (part != SENT_NOTHING)
		send_head(caller, part == SENT_HALF_A_HEAD);
}

static void send_parts(fixture_t *fixture, part_t part)
{
	for (unsigned i = 0; i < fixture->n_callers; i++)
		send_part(&fixture->callers[i], part);
}

/* Stops the VM before a time at which it would end connections, or requests whose rest
 * it awaits, and lets it go on afterwards. Returns how many callers got no answer.
 */
static unsigned count_lost_in_stop(fixture_t *fixture, const timing_t *timing)
{
	int64_t stop_us, end_us;
	unsigned lost;

	for (unsigned i = 0; i < CALLERS_PER_TIMING; i++)
		(void)connect_caller(fixture, i % 3 == 1, i % 3 == 2);
	use_connections(fixture);
	stop_us = now_us() + (IDLE_END_MS - 200) * CLOCK_US_PER_MS;
	end_us = now_us() + (IDLE_END_MS + 300) * CLOCK_US_PER_MS;
	run_until(fixture, stop_us - 50 * CLOCK_US_PER_MS);
	for (unsigned i = 0; i < fixture->n_callers; i++) {
		fixture->callers[i].body_bytes = timing->body_bytes;
		begin_request(&fixture->callers[i]);
	}
	send_parts(fixture, timing->before);
	run_until(fixture, stop_us);
	process_signal(&fixture->vm.process, SIGSTOP);
	run_until(fixture, stop_us + 100 * CLOCK_US_PER_MS);
	send_parts(fixture, timing->meanwhile);
	run_until(fixture, end_us);
	process_signal(&fixture->vm.process, SIGCONT);
	run_until(fixture, end_us + 50 * CLOCK_US_PER_MS);
	send_parts(fixture, SENT_WHOLE);
	lost = count_unanswered(fixture, timing->name);
	disconnect_callers(fixture);
	return lost;
}

/* Guards against requests that have arrived on time and are cut, or answered with 408,
 * because the VM's process did not run as their connection's time ended.
 */
static void test_stop_over_the_end_of_the_time(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	guint wake = g_timeout_add(5, on_wake, NULL);
	unsigned lost = 0;

	start(&fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(timings); i++) {
		unsigned n = count_lost_in_stop(&fixture, &timings[i]);

		print_message("%s: %u of %d lost\n", timings[i].name, n,
			      CALLERS_PER_TIMING);
		lost += n;
	}
	print_message("closed_unread logged: %u\n",
		      vm_process_count_logged(&fixture.vm, "closed_unread"));
	assert_int_equal(lost, 0);
	finish(&fixture);
	g_source_remove(wake);
}

/* --- a VM that runs ------------------------------------------------------ */

/* Requests are sent this long before and after the end of the idle time, this far apart. */
#define SPREAD_US (25 * CLOCK_US_PER_MS)
#define STEP_US 500

/* Rounds in which requests came both before and after that end, and the most that are played: a
 * busy machine delays all callers of a round by more than the spread.
 */
#define SPREAD_ROUNDS 3
#define MAX_SPREAD_ROUNDS 12

/* Sends each caller's request at its own time from the end of its idle time. */
static void send_spread(fixture_t *fixture)
{
	unsigned sent = 0;

	while (sent < fixture->n_callers) {
		for (unsigned i = 0; i < fixture->n_callers; i++) {
			caller_t *caller = &fixture->callers[i];
			int64_t at_us = caller->answered_us +
					IDLE_END_MS * CLOCK_US_PER_MS -
					SPREAD_US + (int64_t)i * STEP_US;

			if (caller->begun != 1 || now_us() < at_us)
				continue;
			begin_request(caller);
			send_rest(caller);
			sent++;
		}
		(void)g_main_context_iteration(NULL, FALSE);
		answer_due(fixture);
	}
}

/* Plays one round. Returns whether some requests were answered and others came too late. */
static bool play_spread_round(fixture_t *fixture)
{
	unsigned answered = 0, closed = 0, wrong = 0;

	for (unsigned i = 0; i < 2 * SPREAD_US / STEP_US; i++)
		(void)connect_caller(fixture, false, i % 2);
	use_connections(fixture);
	send_spread(fixture);
	(void)support_run_loop_until(are_done, fixture, WAIT_MS);
	for (unsigned i = 0; i < fixture->n_callers; i++) {
		const caller_t *caller = &fixture->callers[i];

		if (is_answered(caller))
			answered++;
		else if (caller->ended && !caller->answer->len &&
			 !caller->arrived)
			closed++;
		else
			wrong++;
	}
	print_message("%u answered, %u closed before, %u cut\n", answered,
		      closed, wrong);
	assert_int_equal(wrong, 0);
	disconnect_callers(fixture);
	return answered > 0 && closed > 0;
}

/* Guards against requests that cross the end of their connection's idle time and are read
 * or passed on, and then cut. A caller whose connection was closed before may see that.
 */
static void test_requests_about_the_end_of_the_time(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	guint wake = g_timeout_add(1, on_wake, NULL);
	unsigned hits = 0;

	start(&fixture);
	for (unsigned round = 0;
	     round < MAX_SPREAD_ROUNDS && hits < SPREAD_ROUNDS; round++)
		hits += play_spread_round(&fixture);
	assert_int_equal(hits, SPREAD_ROUNDS);
	finish(&fixture);
	g_source_remove(wake);
}

/* --- callers that dribble ------------------------------------------------ */

/* A request may be put off once, for as long as its time is. */
#define DRIBBLE_LIMIT_MS (2 * MAX(HEAD_TIMEOUT_MS, IDLE_TIMEOUT_MS) + 500)
#define DRIBBLE_STEP_US 2000
#define MAX_STOPS 6

/* Bytes of a part that is sent in single bytes; more than a test sends. */
#define DRIBBLE_BYTES 30000

/* Sends a request up to the middle of its head or its body. */
static caller_t *begin_to_dribble(fixture_t *fixture, bool body)
{
	caller_t *caller = connect_caller(fixture, false, false);

	begin_request(caller);
	g_free(caller->request);
	caller->request = g_strdup_printf(
		"POST /u/x HTTP/1.1\r\nHost: h\r\n"
		"X-Request-Id: r%u-%u\r\nContent-Length: %d"
		"\r\n%s%0*d",
		caller->number, caller->begun, 2 * DRIBBLE_BYTES,
		body ? "\r\n" : "X-Long: ", DRIBBLE_BYTES, 0);
	send_until(caller, strlen(caller->request) - DRIBBLE_BYTES);
	return caller;
}

/* Returns whether a caller's request was ended before it was whole. */
static bool is_cut_short(const caller_t *caller)
{
	return g_str_has_prefix(caller->answer->str, "HTTP/1.1 408 ") ||
	       caller->ended;
}

/* Sends single bytes, and returns the time until the VM ends the request. */
static int64_t dribble_us(fixture_t *fixture, bool body)
{
	caller_t *caller = begin_to_dribble(fixture, body);
	int64_t start_us = now_us();

	while (!is_cut_short(caller) &&
	       now_us() < start_us + WAIT_MS * CLOCK_US_PER_MS) {
		send_until(caller, caller->sent + 1);
		run_until(fixture, now_us() + DRIBBLE_STEP_US);
	}
	disconnect_callers(fixture);
	return now_us() - start_us;
}

/* Sends one byte each time that the VM is stopped over the end of a request's time, and
 * returns how often until the VM ends the request.
 */
static unsigned count_put_off(fixture_t *fixture, bool body)
{
	caller_t *caller = begin_to_dribble(fixture, body);
	unsigned stops = 0;

	run_until(fixture, now_us() + 50 * CLOCK_US_PER_MS);
	while (!is_cut_short(caller) && stops < MAX_STOPS) {
		stops++;
		process_signal(&fixture->vm.process, SIGSTOP);
		run_until(fixture,
			  now_us() + (HEAD_TIMEOUT_MS + 100) * CLOCK_US_PER_MS);
		send_until(caller, caller->sent + 1);
		process_signal(&fixture->vm.process, SIGCONT);
		run_until(fixture, now_us() + 50 * CLOCK_US_PER_MS);
	}
	disconnect_callers(fixture);
	return stops;
}

/* Guards against callers that hold connections for ever, by a byte of a request now and
 * then.
 */
static void test_dribbling_callers(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	guint wake = g_timeout_add(1, on_wake, NULL);

	start(&fixture);
	for (unsigned i = 0; i < 6; i++) {
		int64_t took_us = dribble_us(&fixture, i % 2);

		print_message("%s in single bytes: ended after %d ms\n",
			      i % 2 ? "body" : "head",
			      (int)(took_us / CLOCK_US_PER_MS));
		assert_true(took_us < DRIBBLE_LIMIT_MS * CLOCK_US_PER_MS);
	}
	for (unsigned i = 0; i < 2; i++) {
		unsigned stops = count_put_off(&fixture, i);

		print_message("%s, a byte in each stop: ended after %u\n",
			      i ? "body" : "head", stops);
		assert_true(stops <= 2);
	}
	finish(&fixture);
	g_source_remove(wake);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stop_over_the_end_of_the_time),
		cmocka_unit_test(test_requests_about_the_end_of_the_time),
		cmocka_unit_test(test_dribbling_callers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
