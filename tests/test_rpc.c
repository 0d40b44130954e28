/* Guards against lost, doubled or wrongly accepted calls between processes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "connection/address.h"
#include "connection/rpc.h"
#include "process/counters.h"
#include "support_settings.h"

#define LIMIT_US (5 * CLOCK_US_PER_S)

typedef struct {
	settings_t settings;
	hlc_t hlc;
	rpc_t rpc;
} node_t;

typedef struct {
	node_t client;
	node_t server;
	GSocket *relay; /* stands for a network that loses and repeats */
	int handled;
	uint64_t call_id; /* of a call to be answered later */
	bool answer_later;
	int replies;
	verdict_t verdict;
	char body[64];
} fixture_t;

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

static void handle(void *context, const rpc_request_t *request)
{
	fixture_t *f = context;

	f->handled++;
	f->call_id = request->call_id;
	if (!f->answer_later)
		rpc_reply(&f->server.rpc, request->call_id, request->body);
}

static void replied(void *context, verdict_t verdict, str_t body,
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
	rpc_set_handler(&f->server.rpc, PEER_PART, handle, f);
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

static int64_t now(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

static uint32_t call(fixture_t *f, const char *address, uint32_t procedure,
		     int64_t wait_us)
{
	return rpc_send(&f->client.rpc, address, procedure, STR("ping"),
			now() + wait_us, replied, f);
}

static void wait_for(const int *count, int wanted)
{
	int64_t limit = now() + LIMIT_US;

	while (*count < wanted && now() < limit) {
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(200);
	}
	assert_int_equal(*count, wanted);
}

static void test_answered(void **state)
{
	fixture_t *f = *state;

	call(f, f->server.rpc.address, PEER_PART, LIMIT_US);
	assert_int_equal(f->replies, 0);
	wait_for(&f->replies, 1);
	assert_int_equal(f->verdict.code, VERDICT_OK);
	assert_string_equal(f->body, "ping");
}

/* A repeated call is executed once although the answer comes late. */
static void test_answered_later(void **state)
{
	fixture_t *f = *state;

	f->answer_later = true;
	call(f, f->server.rpc.address, PEER_PART, LIMIT_US);
	while (counters_get(COUNTER_RPC_SENT) < 3)
		g_main_context_iteration(NULL, TRUE);
	assert_int_equal(f->replies, 0);
	rpc_reply(&f->server.rpc, f->call_id, STR("late"));
	rpc_reply(&f->server.rpc, f->call_id, STR("more"));
	wait_for(&f->replies, 1);
	assert_string_equal(f->body, "late");
	assert_int_equal(f->handled, 1);
	assert_int_equal(counters_get(COUNTER_RPC_REPLAYED), 0);
}

/* Errors say whether the call may have run. */
static void test_verdicts(void **state)
{
	static const struct {
		int64_t wait_us;
		uint32_t procedure;
		run_status_t run;
		verdict_code_t code;
		bool silent;
	} cases[] = {
		{20 * CLOCK_US_PER_MS, PEER_PART, RUN_MAY_HAVE_RUN,
		 VERDICT_BACKEND_TIMEOUT, true},
		{0, PEER_PART, RUN_NOT_RUN, VERDICT_BACKEND_TIMEOUT, false},
		{LIMIT_US, PEER_LIMITS, RUN_NOT_RUN, VERDICT_UNAVAILABLE,
		 false},
		{LIMIT_US, 99, RUN_NOT_RUN, VERDICT_UNAVAILABLE, false},
	};
	fixture_t *f = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		f->answer_later = cases[i].silent;
		call(f, f->server.rpc.address, cases[i].procedure,
		     cases[i].wait_us);
		wait_for(&f->replies, (int)i + 1);
		assert_int_equal(f->verdict.run, cases[i].run);
		assert_int_equal(f->verdict.code, cases[i].code);
	}
	call(f, "not an address", PEER_PART, LIMIT_US);
	wait_for(&f->replies, 5);
	assert_int_equal(f->verdict.code, VERDICT_INTERNAL);
	assert_int_equal(f->verdict.run, RUN_NOT_RUN);
}

static void test_cancelled(void **state)
{
	fixture_t *f = *state;
	uint32_t first = call(f, f->server.rpc.address, PEER_PART, LIMIT_US);

	call(f, f->server.rpc.address, PEER_PART, LIMIT_US);
	rpc_cancel(&f->client.rpc, first);
	wait_for(&f->replies, 1);
	wait_for(&f->handled, 2);
	assert_int_equal(f->replies, 1);
}

/* Takes the next datagram that the client sent to the relay. */
static gssize capture(fixture_t *f, char *data, size_t size)
{
	return g_socket_receive(f->relay, data, size, NULL, NULL);
}

static void inject(fixture_t *f, GSocket *from, const char *data, gssize len)
{
	GSocketAddress *to = address_parse(f->server.rpc.address);

	g_socket_send_to(from, to, data, (gsize)len, NULL, NULL);
	g_object_unref(to);
}

static void receive_all(int64_t received)
{
	while (counters_get(COUNTER_RPC_RECEIVED) < received)
		g_main_context_iteration(NULL, TRUE);
}

/* A call captured on its way to one VM is worth nothing at another. */
static void test_misdirected(void **state)
{
	fixture_t *f = *state;
	GSocketAddress *local = g_socket_get_local_address(f->relay, NULL);
	char *address = address_format(local);
	char data[PEER_DATAGRAM_MAX];
	gssize len;

	call(f, address, PEER_PART, LIMIT_US);
	len = capture(f, data, sizeof(data));
	inject(f, f->relay, data, len);
	receive_all(1);
	assert_int_equal(f->handled, 0);
	assert_int_equal(counters_get(COUNTER_RPC_BAD_MAC), 1);
	inject(f, f->relay, "nonsense", 8);
	receive_all(2);
	assert_int_equal(counters_get(COUNTER_RPC_MALFORMED), 1);
	g_free(address);
	g_object_unref(local);
}

/*
 * A call that is repeated from the client's own address is answered from the
 * cache; from another address, or after a restart with a higher incarnation,
 * it is refused.
 */
static void test_replayed(void **state)
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
	receive_all(3);
	assert_int_equal(f->handled, 1);
	assert_int_equal(counters_get(COUNTER_RPC_REPLAYED), 1);
	assert_int_equal(counters_get(COUNTER_RPC_SENT), 2);
	message.sender.incarnation = 6;
	message.sequence = 2;
	assert_true(wire_encode_call(&f->client.rpc.keys, f->server.rpc.address,
				     &message, &datagram));
	inject(f, f->relay, (char *)datagram.data, (gssize)datagram.len);
	receive_all(4);
	assert_int_equal(f->handled, 2);
	message.sender.incarnation = 5;
	message.sequence = 3;
	assert_true(wire_encode_call(&f->client.rpc.keys, f->server.rpc.address,
				     &message, &datagram));
	inject(f, f->relay, (char *)datagram.data, (gssize)datagram.len);
	receive_all(5);
	assert_int_equal(f->handled, 2);
	assert_int_equal(counters_get(COUNTER_RPC_REPLAYED), 2);
}

/* A process that restarts with a clock that went back gets through after its
 * first call.
 */
static void test_stale_incarnation(void **state)
{
	fixture_t *f = *state;
	uint64_t before = f->client.rpc.incarnation;

	call(f, f->server.rpc.address, PEER_PART, LIMIT_US);
	wait_for(&f->replies, 1);
	f->client.rpc.incarnation = before - 10;
	call(f, f->server.rpc.address, PEER_PART, LIMIT_US);
	wait_for(&f->replies, 2);
	assert_int_equal(f->verdict.run, RUN_NOT_RUN);
	assert_int_equal(f->client.rpc.incarnation, before + 1);
	call(f, f->server.rpc.address, PEER_PART, LIMIT_US);
	wait_for(&f->replies, 3);
	assert_int_equal(f->verdict.code, VERDICT_OK);
	assert_int_equal(f->handled, 2);
}

/* Numbers are taken once, within the window and in any order. */
static void test_window(void **state)
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
	/* The cache stays bounded, and tokens that left it find nothing. */
	for (uint64_t n = 1; n <= REPLAY_CACHE_MAX; n++) {
		message.sequence = (UINT64_C(1) << 40) + n;
		replay_check(&replay, &message, "a", 0, &entry);
	}
	assert_int_equal(replay.order.length, REPLAY_CACHE_MAX);
	assert_null(replay_find(&replay, 1));
	/* A sender from before the receiver's start is refused. */
	g_strlcpy(message.sender.vm, "vm-2", sizeof(message.sender.vm));
	assert_int_equal(replay_check(&replay, &message, "a",
				      UINT64_C(300001) << 16, &entry),
			 REPLAY_REFUSED);
	replay_finish(&replay);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_answered, setup, teardown),
		cmocka_unit_test_setup_teardown(test_answered_later, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_verdicts, setup, teardown),
		cmocka_unit_test_setup_teardown(test_cancelled, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_misdirected, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_replayed, setup, teardown),
		cmocka_unit_test_setup_teardown(test_stale_incarnation, setup,
						teardown),
		cmocka_unit_test(test_window),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
