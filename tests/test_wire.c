/* Guards against datagrams that are accepted although they are malformed,
 * foreign, altered or meant for another VM or call.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "connection/wire.h"
#include "support_settings.h"

#define HERE "127.0.0.1:4000"
#define ELSEWHERE "127.0.0.1:4001"
#define FUZZ_SEED 20261203
#define FUZZ_RUNS 20000

typedef struct {
	settings_t settings;
	wire_keys_t keys;
	wire_call_t call;
	wire_buffer_t datagram;
} fixture_t;

static str_t bytes(const wire_buffer_t *buffer)
{
	return (str_t){(const char *)buffer->data, buffer->len};
}

static int setup(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	support_settings_init(&f->settings, "vm-1", "zone-a");
	f->keys = (wire_keys_t){f->settings.deployment, f->settings.keys};
	f->call = (wire_call_t){
		.xid = 7,
		.procedure = PEER_PART,
		.sequence = 7,
		.sender = {.vm = "vm-1", .incarnation = 3, .time = 99},
		.body = STR("eight...")};
	assert_true(wire_encode_call(&f->keys, HERE, &f->call, &f->datagram));
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *f = *state;

	support_settings_finish(&f->settings);
	g_free(f);
	return 0;
}

static void test_call_round_trip(void **state)
{
	fixture_t *f = *state;
	wire_call_t got;

	assert_int_equal(wire_decode_call(&f->keys, HERE, bytes(&f->datagram),
					  &got),
			 WIRE_OK);
	assert_int_equal(got.xid, 7);
	assert_int_equal(got.procedure, PEER_PART);
	assert_int_equal(got.sender.incarnation, 3);
	assert_string_equal(got.sender.vm, "vm-1");
	assert_true(str_equal(got.body, f->call.body));
}

/* Another receiver, deployment or key must not accept the call. */
static void test_call_foreign(void **state)
{
	fixture_t *f = *state;
	settings_t other;
	wire_keys_t deployment = {"other", f->settings.keys};
	wire_keys_t keys;
	wire_call_t got;
	str_t datagram = bytes(&f->datagram);

	assert_int_equal(wire_decode_call(&f->keys, ELSEWHERE, datagram, &got),
			 WIRE_BAD_MAC);
	assert_int_equal(wire_decode_call(&deployment, HERE, datagram, &got),
			 WIRE_OTHER_DEPLOYMENT);
	support_settings_init(&other, "vm-2", "zone-a");
	keys = (wire_keys_t){other.deployment, other.keys};
	/* Rotation: the receiver signs with a new key, accepts the old one. */
	support_settings_add_key(&other, 2, "second secret");
	assert_int_equal(wire_decode_call(&keys, HERE, datagram, &got),
			 WIRE_OK);
	g_array_index(other.keys, settings_rpc_key_t, 1).id = 9;
	assert_int_equal(wire_decode_call(&keys, HERE, datagram, &got),
			 WIRE_BAD_MAC);
	g_array_index(other.keys, settings_rpc_key_t, 0).id = 1;
	assert_int_equal(wire_decode_call(&keys, HERE, datagram, &got),
			 WIRE_BAD_MAC);
	support_settings_finish(&other);
}

/* Every changed byte and every truncation is refused. */
static void test_call_altered(void **state)
{
	fixture_t *f = *state;
	wire_call_t got;

	for (size_t i = 0; i < f->datagram.len; i++) {
		f->datagram.data[i] ^= 1;
		assert_int_not_equal(wire_decode_call(&f->keys, HERE,
						      bytes(&f->datagram),
						      &got),
				     WIRE_OK);
		f->datagram.data[i] ^= 1;
	}
	for (size_t len = 0; len < f->datagram.len; len++) {
		/* A copy of the exact size lets the sanitizer see overreads. */
		char *copy = g_memdup2(f->datagram.data, len);

		assert_int_not_equal(wire_decode_call(&f->keys, HERE,
						      (str_t){copy, len}, &got),
				     WIRE_OK);
		g_free(copy);
	}
}

/* A reply is valid for its own call only, and neither altered nor truncated. */
static void test_reply(void **state)
{
	fixture_t *f = *state;
	wire_reply_t reply = {.xid = 7, .body = STR("body")};
	wire_reply_t got;
	wire_buffer_t out;
	uint8_t other_mac[PEER_MAC_BYTES] = {1};

	g_strlcpy(reply.sender.vm, "vm-2", sizeof(reply.sender.vm));
	assert_true(wire_encode_reply(&f->keys, f->call.mac, &reply, &out));
	assert_int_equal(wire_decode_reply(&f->keys, f->call.mac, bytes(&out),
					   &got),
			 WIRE_OK);
	assert_string_equal(got.sender.vm, "vm-2");
	assert_true(str_equal(got.body, reply.body));
	assert_int_equal(wire_decode_reply(&f->keys, other_mac, bytes(&out),
					   &got),
			 WIRE_BAD_MAC);
	assert_int_equal(wire_decode_reply(&f->keys, f->call.mac,
					   bytes(&f->datagram), &got),
			 WIRE_MALFORMED);
	for (size_t len = 0; len < out.len; len++)
		assert_int_not_equal(
			wire_decode_reply(&f->keys, f->call.mac,
					  (str_t){bytes(&out).data, len}, &got),
			WIRE_OK);
	for (size_t i = 0; i < out.len; i++) {
		out.data[i] ^= 0x80;
		/* The xid selects the call before the check, but is signed. */
		assert_int_not_equal(wire_decode_reply(&f->keys, f->call.mac,
						       bytes(&out), &got),
				     WIRE_OK);
		out.data[i] ^= 0x80;
	}
}

static void test_body_limits(void **state)
{
	static const struct {
		size_t len;
		bool ok;
	} cases[] = {{0, true},
		     {4, true},
		     {PEER_BODY_MAX, true},
		     {PEER_BODY_MAX + 4, false},
		     {5, false}};
	char data[PEER_BODY_MAX + 4] = {0};
	char name[PEER_NAME_MAX + 1];
	fixture_t *f = *state;

	/* The largest header and body must fit together. */
	memset(name, 'n', PEER_NAME_MAX);
	name[PEER_NAME_MAX] = 0;
	f->keys.deployment = name;
	g_strlcpy(f->call.sender.vm, name, sizeof(f->call.sender.vm));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		f->call.body = (str_t){data, cases[i].len};
		assert_int_equal(wire_encode_call(&f->keys, HERE, &f->call,
						  &f->datagram),
				 cases[i].ok);
	}
}

static const xdrproc_t body_decoders[] = {
	(xdrproc_t)xdr_peer_ping,	   (xdrproc_t)xdr_peer_ping_req,
	(xdrproc_t)xdr_peer_reserve,	   (xdrproc_t)xdr_peer_renew,
	(xdrproc_t)xdr_peer_release,	   (xdrproc_t)xdr_peer_limits,
	(xdrproc_t)xdr_peer_part,	   (xdrproc_t)xdr_peer_part_result,
	(xdrproc_t)xdr_peer_status_result,
};

static void fuzz_bodies(str_t body)
{
	for (size_t i = 0; i < G_N_ELEMENTS(body_decoders); i++) {
		union {
			peer_ping_req largest;
			uint64_t words[64];
		} object = {.words = {0}};

		wire_decode_body(body_decoders[i], body, &object);
		xdr_free(body_decoders[i], (char *)&object);
	}
}

/* Random changes of a valid datagram and random bodies crash no decoder. */
static void test_fuzz(void **state)
{
	fixture_t *f = *state;
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);

	for (int run = 0; run < FUZZ_RUNS; run++) {
		size_t len = (size_t)g_rand_int_range(
			rand, 0, (gint32)f->datagram.len + 1);
		uint8_t *copy = g_memdup2(f->datagram.data, len);
		wire_call_t call;
		wire_reply_t reply;

		for (int n = g_rand_int_range(rand, 1, 9); n > 0 && len; n--)
			copy[g_rand_int_range(rand, 0, (gint32)len)] =
				(uint8_t)g_rand_int(rand);
		if (len >= 8 && run % 2)
			copy[7] = 1; /* a reply */
		assert_false(wire_decode_call(&f->keys, HERE,
					      (str_t){(char *)copy, len},
					      &call) == WIRE_OK &&
			     (len < f->datagram.len ||
			      memcmp(copy, f->datagram.data, len) != 0));
		wire_decode_reply(&f->keys, f->call.mac,
				  (str_t){(char *)copy, len}, &reply);
		fuzz_bodies((str_t){(char *)copy, len});
		g_free(copy);
	}
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_call_round_trip, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_call_foreign, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_call_altered, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_reply, setup, teardown),
		cmocka_unit_test_setup_teardown(test_body_limits, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_fuzz, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
