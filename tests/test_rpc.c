/*
 * RPC between serve processes over a network that loses and repeats datagrams.
 * Guards against a call that is lost, executed twice or accepted although it
 * was captured and replayed, and against a verdict that says "not run" of a
 * call that may have run.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "connection/address.h"
#include "connection/rpc.h"
#include "process/counters.h"
#include "support_settings.h"

#define WAIT_LIMIT_US (5 * CLOCK_US_PER_S)

/* One process with its clock and RPC socket. */
typedef struct {
	settings_t settings;
	hlc_t hlc;
	rpc_t rpc;
} node_t;

typedef struct {
	node_t client;
	node_t server;
	GSocket *relay; /* captures datagrams and sends them to the server */
	int calls_handled;
	uint64_t call_id; /* of the last call that the server received */
	bool reply_later; /* the handler does not reply */
	int replies; /* outcomes of calls; the last one follows */
	verdict_t verdict;
	char body[64];
} fixture_t;

/* Opens a node's RPC socket on a free port. */
static void node_init(node_t *node, const char *vm)
{
	support_settings_init(&node->settings, vm, "zone-a");
	hlc_init(&node->hlc, clock_realtime());
	assert_true(rpc_init(&node->rpc, &node->settings, clock_boottime(),
			     &node->hlc, NULL));
}

static void node_finish(node_t *node)
{
	rpc_finish(&node->rpc);
	support_settings_finish(&node->settings);
}

/* Handles a call at the server: replies with the body of the call. */
static void on_call(void *context, const rpc_request_t *request)
{
	fixture_t *f = context;

	f->calls_handled++;
	f->call_id = request->call_id;
	if (!f->reply_later)
		rpc_reply(&f->server.rpc, request->call_id, request->body);
}

/* Stores the outcome of a call. */
static void on_reply(void *context, verdict_t verdict, str_t body,
		     const wire_sender_t *from)
{
	fixture_t *f = context;

	f->replies++;
	f->verdict = verdict;
	g_strlcpy(f->body, body.data ? body.data : "",
		  MIN(sizeof(f->body), body.len + 1));
}

static int setup(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	GSocketAddress *any = address_parse("127.0.0.1:0");

	counters_reset();
	node_init(&f->client, "vm-1");
	node_init(&f->server, "vm-2");
	rpc_set_handler(&f->server.rpc, PEER_PART, on_call, f);
	f->relay = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
				G_SOCKET_PROTOCOL_UDP, NULL);
	assert_true(g_socket_bind(f->relay, any, FALSE, NULL));
	g_object_unref(any);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *f = *state;

	node_finish(&f->client);
	node_finish(&f->server);
	g_object_unref(f->relay);
	g_free(f);
	return 0;
}

/* Returns the time on the clock of deadlines. */
static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* Makes a call from the client whose deadline is wait_us from now. */
static uint32_t send_call(fixture_t *f, const char *address, uint32_t procedure,
			  int64_t wait_us)
{
	return rpc_send(&f->client.rpc, address, procedure, STR("ping"),
			now_us() + wait_us, on_reply, f);
}

/* Runs the main loop until a counter reaches a value. */
static void wait_for_count(const int *count, int wanted)
{
	int64_t limit = now_us() + WAIT_LIMIT_US;

	while (*count < wanted && now_us() < limit) {
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(200);
	}
	assert_int_equal(*count, wanted);
}

/* The reply reaches the callback, but not from within rpc_send(). */
static void test_replied(void **state)
{
	fixture_t *f = *state;

	send_call(f, f->server.rpc.address, PEER_PART, WAIT_LIMIT_US);
	assert_int_equal(f->replies, 0);
	wait_for_count(&f->replies, 1);
	assert_int_equal(f->verdict.code, VERDICT_OK);
	assert_string_equal(f->body, "ping");
}

/* A call that is retransmitted before its late reply is executed once, and only
 * its first reply counts.
 */
static void test_replied_later(void **state)
{
	fixture_t *f = *state;

	f->reply_later = true;
	send_call(f, f->server.rpc.address, PEER_PART, WAIT_LIMIT_US);
	while (counters_get(COUNTER_RPC_SENT) < 3)
		g_main_context_iteration(NULL, TRUE);
	assert_int_equal(f->replies, 0);
	rpc_reply(&f->server.rpc, f->call_id, STR("late"));
	rpc_reply(&f->server.rpc, f->call_id, STR("more"));
	wait_for_count(&f->replies, 1);
	assert_string_equal(f->body, "late");
	assert_int_equal(f->calls_handled, 1);
	assert_int_equal(counters_get(COUNTER_RPC_REPLAYED), 0);
}

/* The verdict of a failed call says whether the call may have run. */
static void test_verdicts(void **state)
{
	static const struct {
		int64_t wait_us;
		uint32_t procedure;
		run_status_t run;
		verdict_code_t code;
		bool no_reply;
	} cases[] = {
		{20 * CLOCK_US_PER_MS, PEER_PART, RUN_MAY_HAVE_RUN,
		 VERDICT_BACKEND_TIMEOUT, true},
		{0, PEER_PART, RUN_NOT_RUN, VERDICT_BACKEND_TIMEOUT, false},
		{WAIT_LIMIT_US, PEER_LIMITS, RUN_NOT_RUN, VERDICT_UNAVAILABLE,
		 false},
		{WAIT_LIMIT_US, 99, RUN_NOT_RUN, VERDICT_UNAVAILABLE, false},
	};
	fixture_t *f = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		f->reply_later = cases[i].no_reply;
		send_call(f, f->server.rpc.address, cases[i].procedure,
			  cases[i].wait_us);
		wait_for_count(&f->replies, (int)i + 1);
		assert_int_equal(f->verdict.run, cases[i].run);
		assert_int_equal(f->verdict.code, cases[i].code);
	}
	send_call(f, "not an address", PEER_PART, WAIT_LIMIT_US);
	wait_for_count(&f->replies, 5);
	assert_int_equal(f->verdict.code, VERDICT_INTERNAL);
	assert_int_equal(f->verdict.run, RUN_NOT_RUN);
}

/* The callback of a cancelled call is not called. */
static void test_cancelled(void **state)
{
	fixture_t *f = *state;
	uint32_t first =
		send_call(f, f->server.rpc.address, PEER_PART, WAIT_LIMIT_US);

	send_call(f, f->server.rpc.address, PEER_PART, WAIT_LIMIT_US);
	rpc_cancel(&f->client.rpc, first);
	wait_for_count(&f->replies, 1);
	wait_for_count(&f->calls_handled, 2);
	assert_int_equal(f->replies, 1);
}

/* Takes the next datagram that the client sent to the relay. */
static gssize capture(fixture_t *f, char *data, size_t size)
{
	return g_socket_receive(f->relay, data, size, NULL, NULL);
}

/* Sends a datagram to the server from a socket. */
static void inject(fixture_t *f, GSocket *from, const char *data, gssize len)
{
	GSocketAddress *to = address_parse(f->server.rpc.address);

	g_socket_send_to(from, to, data, (gsize)len, NULL, NULL);
	g_object_unref(to);
}

/* Runs the main loop until this many datagrams were received. */
static void wait_until_received(int64_t received)
{
	while (counters_get(COUNTER_RPC_RECEIVED) < received)
		g_main_context_iteration(NULL, TRUE);
}

/* A call captured on its way to one VM is refused by another VM, and so is a
 * datagram that is not RPC.
 */
static void test_call_to_another_vm(void **state)
{
	fixture_t *f = *state;
	GSocketAddress *local = g_socket_get_local_address(f->relay, NULL);
	char *address = address_format(local);
	char data[PEER_DATAGRAM_MAX];
	gssize len;

	send_call(f, address, PEER_PART, WAIT_LIMIT_US);
	len = capture(f, data, sizeof(data));
	inject(f, f->relay, data, len);
	wait_until_received(1);
	assert_int_equal(f->calls_handled, 0);
	assert_int_equal(counters_get(COUNTER_RPC_BAD_MAC), 1);
	inject(f, f->relay, "nonsense", 8);
	wait_until_received(2);
	assert_int_equal(counters_get(COUNTER_RPC_MALFORMED), 1);
	g_free(address);
	g_object_unref(local);
}

/*
 * A call that comes again from the address of the first one gets the cached
 * reply. It is refused if it comes from another address, and so is a call of a
 * lower incarnation after one of a higher.
 */
static void test_replayed_call(void **state)
{
	fixture_t *f = *state;
	wire_buffer_t datagram;
	wire_call_t message = {.xid = 1, .procedure = PEER_PART, .sequence = 1};

	message.sender.incarnation = 5;
	message.sender.time = hlc_now(&f->client.hlc);
	g_strlcpy(message.sender.vm, "vm-3", sizeof(message.sender.vm));
	assert_true(wire_encode_call(&f->client.rpc.keys, f->server.rpc.address,
				     &message, &datagram));
	inject(f, f->relay, (char *)datagram.data, (gssize)datagram.len);
	inject(f, f->relay, (char *)datagram.data, (gssize)datagram.len);
	inject(f, f->client.rpc.socket, (char *)datagram.data,
	       (gssize)datagram.len);
	wait_until_received(3);
	assert_int_equal(f->calls_handled, 1);
	assert_int_equal(counters_get(COUNTER_RPC_REPLAYED), 1);
	assert_int_equal(counters_get(COUNTER_RPC_SENT), 2);
	message.sender.incarnation = 6;
	message.sequence = 2;
	assert_true(wire_encode_call(&f->client.rpc.keys, f->server.rpc.address,
				     &message, &datagram));
	inject(f, f->relay, (char *)datagram.data, (gssize)datagram.len);
	wait_until_received(4);
	assert_int_equal(f->calls_handled, 2);
	message.sender.incarnation = 5;
	message.sequence = 3;
	assert_true(wire_encode_call(&f->client.rpc.keys, f->server.rpc.address,
				     &message, &datagram));
	inject(f, f->relay, (char *)datagram.data, (gssize)datagram.len);
	wait_until_received(5);
	assert_int_equal(f->calls_handled, 2);
	assert_int_equal(counters_get(COUNTER_RPC_REPLAYED), 2);
}

/* A process that restarts after its clock went back has a lower incarnation.
 * Its first call is refused and raises it, so that the next one is accepted.
 */
static void test_stale_incarnation(void **state)
{
	fixture_t *f = *state;
	uint64_t before = f->client.rpc.incarnation;

	send_call(f, f->server.rpc.address, PEER_PART, WAIT_LIMIT_US);
	wait_for_count(&f->replies, 1);
	f->client.rpc.incarnation = before - 10;
	send_call(f, f->server.rpc.address, PEER_PART, WAIT_LIMIT_US);
	wait_for_count(&f->replies, 2);
	assert_int_equal(f->verdict.run, RUN_NOT_RUN);
	assert_int_equal(f->client.rpc.incarnation, before + 1);
	send_call(f, f->server.rpc.address, PEER_PART, WAIT_LIMIT_US);
	wait_for_count(&f->replies, 3);
	assert_int_equal(f->verdict.code, VERDICT_OK);
	assert_int_equal(f->calls_handled, 2);
}

/* Each sequence number is accepted once, in any order within the window. */
static void test_replay_window(void **state)
{
	static const struct {
		uint64_t sequence;
		replay_result_t result;
	} steps[] = {
		{1, REPLAY_NEW},
		{3, REPLAY_NEW},
		{2, REPLAY_NEW},
		{2, REPLAY_IN_PROGRESS},
		{REPLAY_WINDOW + 1, REPLAY_NEW},
		{0, REPLAY_REFUSED},
		{1, REPLAY_IN_PROGRESS},
		{REPLAY_WINDOW, REPLAY_NEW},
		{UINT64_C(1) << 40, REPLAY_NEW},
		{REPLAY_WINDOW - 1, REPLAY_REFUSED},
		{(UINT64_C(1) << 40) - 1, REPLAY_NEW},
	};
	replay_t replay;
	replay_entry_t *entry;
	wire_call_t message = {.sender = {.vm = "vm-1", .time = 0}};

	replay_init(&replay);
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		message.sequence = steps[i].sequence;
		assert_int_equal(replay_check(&replay, &message, "a", 0,
					      &entry),
				 steps[i].result);
	}
	/* The cache stays bounded, and a call that was dropped is not found. */
	for (uint64_t n = 1; n <= REPLAY_CACHE_MAX; n++) {
		message.sequence = (UINT64_C(1) << 40) + n;
		replay_check(&replay, &message, "a", 0, &entry);
	}
	assert_int_equal(replay.by_age.length, REPLAY_CACHE_MAX);
	assert_null(replay_find(&replay, 1));
	/* The first call of a sender is refused if its time is too far away. */
	g_strlcpy(message.sender.vm, "vm-2", sizeof(message.sender.vm));
	assert_int_equal(replay_check(&replay, &message, "a",
				      UINT64_C(300001) << 16, &entry),
			 REPLAY_REFUSED);
	replay_finish(&replay);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_replied, setup, teardown),
		cmocka_unit_test_setup_teardown(test_replied_later, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_verdicts, setup, teardown),
		cmocka_unit_test_setup_teardown(test_cancelled, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_call_to_another_vm, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_replayed_call, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_stale_incarnation, setup,
						teardown),
		cmocka_unit_test(test_replay_window),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
