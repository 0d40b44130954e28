/* Heads and bodies of requests that two readers could understand in different ways. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "support_address.h"
#include "support_entry.h"
#include "support_tcp_stub.h"

#define WAIT_MS 5000
#define ANSWER_MS 1500

/* What a caller sends, the status that it gets, and what reaches the server. */
typedef struct {
	const char *name;
	const char *bytes;
	size_t len; /* 0: up to the end of the string */
	unsigned status;
	const char *arrives; /* NULL: nothing reaches the server */
	const char *absent; /* from what reaches the server; NULL: no matter */
} head_case_t;

#define HOST "Host: h\r\n"
#define GET(fields) "GET /p/x HTTP/1.1\r\n" HOST fields "\r\n"
#define POST(fields, body) "POST /p/x HTTP/1.1\r\n" HOST fields "\r\n" body
#define CHUNKED(body) POST("Transfer-Encoding: chunked\r\n", body)
#define GOOD_CHUNKS "3\r\nabc\r\n0\r\n\r\n"

static const head_case_t cases[] = {
	/* Usual ones. */
	{"no body", GET(""), 0, 200, "GET /p/x", NULL},
	{"length", POST("Content-Length: 3\r\n", "abc"), 0, 200, "abc", NULL},
	{"spaces around a length", POST("Content-Length:   3  \r\n", "abc"), 0,
	 200, "Content-Length: 3\r\n", NULL},
	{"chunks", CHUNKED(GOOD_CHUNKS), 0, 200, "Content-Length: 3\r\n",
	 "chunked"},
	{"chunks, capitals",
	 POST("transfer-encoding: Chunked\r\n", GOOD_CHUNKS), 0, 200,
	 "Content-Length: 3\r\n", "hunked"},
	{"chunk extension", CHUNKED("3;a=b\r\nabc\r\n0\r\n\r\n"), 0, 200,
	 "\r\n\r\nabc", "a=b"},
	{"trailer", CHUNKED("3\r\nabc\r\n0\r\nX-Kv-Hold: 1\r\n\r\n"), 0, 200,
	 "\r\n\r\nabc", "Hold"},
	{"value without a space", GET("X-A:b\r\n"), 0, 200, "X-A: b\r\n", NULL},
	/* Servers do not repeat the white space around an ID, which is none of it. */
	{"white space around a request ID", GET("X-Request-Id: \t r1 \t \r\n"),
	 0, 200, "X-Request-Id: r1\r\n", NULL},
	{"white space inside a value", GET("X-A: b \t c \r\n"), 0, 200,
	 "X-A: b \t c\r\n", NULL},
	{"only white space in a value", GET("X-A: \t \r\n"), 0, 200,
	 "X-A: \r\n", NULL},
	{"space after chunks",
	 POST("Transfer-Encoding: chunked \r\n", GOOD_CHUNKS), 0, 200,
	 "Content-Length: 3\r\n", "chunked"},
	{"empty value", GET("X-A:\r\n"), 0, 200, "X-A: \r\n", NULL},
	{"colon in a value", GET("X-A: b: c\r\n"), 0, 200, "X-A: b: c\r\n",
	 NULL},
	{"high bytes in a value", GET("X-A: \xc3\xa4\r\n"), 0, 200,
	 "X-A: \xc3\xa4\r\n", NULL},
	{"tab in a value", GET("X-A: b\tc\r\n"), 0, 200, "X-A: b\tc\r\n", NULL},
	{"all characters of a name", GET("X!#$%&'*+-.^_`|~1: b\r\n"), 0, 200,
	 "X!#$%&'*+-.^_`|~1: b\r\n", NULL},
	{"field of the router", GET("X-Pin-Ms: 3\r\n"), 0, 200, "GET",
	 "Pin-Ms"},
	{"field of the router, capitals", GET("X-KV-SOURCE: a\r\n"), 0, 200,
	 "GET", "SOURCE"},
	{"field of the connection", GET("Connection: X-A\r\nX-A: b\r\n"), 0,
	 200, "GET", "X-A"},
	{"upgrade", GET("Connection: Upgrade\r\nUpgrade: x\r\n"), 0, 200, "GET",
	 "Upgrade"},
	/* Names that are not understood. */
	{"space before the colon of chunks",
	 POST("Transfer-Encoding : chunked\r\n", GOOD_CHUNKS), 0, 400, NULL,
	 NULL},
	{"space before the colon of a length",
	 POST("Content-Length : 3\r\n", "abc"), 0, 400, NULL, NULL},
	{"space before the colon of a router's field", GET("X-Pin-Ms : 3\r\n"),
	 0, 400, NULL, NULL},
	{"tab before the colon", GET("X-Pin-Ms\t: 3\r\n"), 0, 400, NULL, NULL},
	{"space before the colon of the host",
	 "GET /p/x HTTP/1.1\r\nHost : h\r\n\r\n", 0, 400, NULL, NULL},
	{"space in a name", GET("X Y: 3\r\n"), 0, 400, NULL, NULL},
	{"separator in a name", GET("X(Y): 3\r\n"), 0, 400, NULL, NULL},
	{"high byte in a name", GET("X\xc3\xa4: 3\r\n"), 0, 400, NULL, NULL},
	{"empty name", GET(": 3\r\n"), 0, 400, NULL, NULL},
	{"line without a colon", GET("X-A\r\n"), 0, 400, NULL, NULL},
	{"space at the start of the first line",
	 "GET /p/x HTTP/1.1\r\n Host: h\r\n\r\n", 0, 400, NULL, NULL},
	{"zero byte in a name",
	 "GET /p/x HTTP/1.1\r\nHost: h\r\nX\0Y: 3\r\n\r\n",
	 sizeof("GET /p/x HTTP/1.1\r\nHost: h\r\nX\0Y: 3\r\n\r\n") - 1, 400,
	 NULL, NULL},
	/* Values that are not understood. */
	{"zero byte in a value",
	 "GET /p/x HTTP/1.1\r\nHost: h\r\nX-A: b\0c\r\n\r\n",
	 sizeof("GET /p/x HTTP/1.1\r\nHost: h\r\nX-A: b\0c\r\n\r\n") - 1, 400,
	 NULL, NULL},
	{"control byte in a value",
	 GET("X-A: b\x01"
	     "c\r\n"),
	 0, 400, NULL, NULL},
	{"line break in a value", GET("X-A: b\rX-Pin-Ms: 3\r\n"), 0, 400, NULL,
	 NULL},
	/* Where the body ends. */
	{"length and chunks",
	 POST("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
	      GOOD_CHUNKS),
	 0, 400, NULL, NULL},
	{"chunks and length",
	 POST("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
	      GOOD_CHUNKS),
	 0, 400, NULL, NULL},
	{"two lengths",
	 POST("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), 0, 400,
	 NULL, NULL},
	{"two lengths in one field", POST("Content-Length: 3, 4\r\n", "abcd"),
	 0, 400, NULL, NULL},
	{"signed length", POST("Content-Length: +3\r\n", "abc"), 0, 400, NULL,
	 NULL},
	{"negative length", POST("Content-Length: -1\r\n", ""), 0, 400, NULL,
	 NULL},
	{"hexadecimal length", POST("Content-Length: 0x3\r\n", "abc"), 0, 400,
	 NULL, NULL},
	{"empty length", POST("Content-Length:\r\n", ""), 0, 400, NULL, NULL},
	{"length that overflows",
	 POST("Content-Length: 99999999999999999999\r\n", ""), 0, 400, NULL,
	 NULL},
	{"chunk size that overflows", CHUNKED("FFFFFFFFFFFFFFFFF\r\n"), 0, 400,
	 NULL, NULL},
	{"negative chunk size", CHUNKED("-5\r\nabc\r\n"), 0, 400, NULL, NULL},
	{"chunk size with a prefix", CHUNKED("0x3\r\nabc\r\n0\r\n\r\n"), 0, 400,
	 NULL, NULL},
	{"no chunk size", CHUNKED("\r\nabc\r\n"), 0, 400, NULL, NULL},
	{"word as a chunk size", CHUNKED("xyz\r\nabc\r\n"), 0, 400, NULL, NULL},
	{"chunk longer than its size", CHUNKED("3\r\nabcd\r\n0\r\n\r\n"), 0,
	 400, NULL, NULL},
	{"unknown encoding", POST("Transfer-Encoding: gzip\r\n", GOOD_CHUNKS),
	 0, 400, NULL, NULL},
	{"two encodings",
	 POST("Transfer-Encoding: gzip, chunked\r\n", GOOD_CHUNKS), 0, 400,
	 NULL, NULL},
	{"chunks twice",
	 POST("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	      GOOD_CHUNKS),
	 0, 400, NULL, NULL},
	{"encoding that ends like chunks",
	 POST("Transfer-Encoding: xchunked\r\n", GOOD_CHUNKS), 0, 400, NULL,
	 NULL},
	{"identity", POST("Transfer-Encoding: identity\r\n", "abc"), 0, 400,
	 NULL, NULL},
	{"chunks of HTTP/1.0",
	 "POST /p/x HTTP/1.0\r\nHost: h\r\n"
	 "Transfer-Encoding: chunked\r\n\r\n" GOOD_CHUNKS,
	 0, 400, NULL, NULL},
	/* Whose request it is. */
	{"two hosts", GET("Host: other\r\n"), 0, 400, NULL, NULL},
	{"two request IDs", GET("X-Request-Id: a\r\nX-Request-Id: b\r\n"), 0,
	 400, NULL, NULL},
	{"space in the target", "GET /p/x y HTTP/1.1\r\nHost: h\r\n\r\n", 0,
	 400, NULL, NULL},
	{"no version", "GET /p/x\r\nHost: h\r\n\r\n", 0, 400, NULL, NULL},
	{"unknown method", "get /p/x HTTP/1.1\r\nHost: h\r\n\r\n", 0, 400, NULL,
	 NULL},
};

typedef struct {
	fake_store_t store;
	char *store_address;
	tcp_stub_t server;
	support_entry_t vm;
} fixture_t;

static bool is_ready(void *context)
{
	const entry_t *vm = &((fixture_t *)context)->vm.entry;

	return vm->table && server_set_count_usable(&vm->servers) == 1;
}

static void start(fixture_t *fixture)
{
	static const char config[] =
		"{\"version\":1,\"routes\":[{\"name\":\"p\",\"host\":\"h\","
		"\"pathPrefix\":\"/p/\",\"kind\":\"unsafe\","
		"\"timeoutMs\":1000,\"service\":\"app\",\"maxAttempts\":1}],"
		"\"services\":[{\"name\":\"app\","
		"\"healthPath\":\"/health\"}]}";
	static const tcp_stub_answer_t answer = {
		"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
		"Content-Length: 2\r\nConnection: close\r\n\r\nok",
		TCP_STUB_CLOSE};
	char *row;

	memset(fixture, 0, sizeof(*fixture));
	tcp_stub_start(&fixture->server, &answer, 1);
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	row = g_strdup_printf("{\"service\":\"app\",\"address\":\"%s\","
			      "\"zone\":\"z\",\"slots\":6,\"state\":\"ready\","
			      "\"sequence\":1,\"born\":1000}",
			      fixture->server.address);
	fake_store_put(&fixture->store, TABLE_SERVERS, "i-0", row);
	support_entry_start(&fixture->vm, "vm-0", fixture->store_address);
	assert_true(support_run_loop_until(is_ready, fixture, WAIT_MS));
	g_free(row);
}

static void stop(fixture_t *fixture)
{
	support_entry_stop(&fixture->vm);
	tcp_stub_stop(&fixture->server);
	fake_store_stop(&fixture->store);
	g_free(fixture->store_address);
}

/* What a caller waits for. */
typedef struct {
	GSocket *socket;
	GString *received;
} caller_t;

static bool has_answer(void *context)
{
	caller_t *caller = context;
	char buffer[4096];
	gssize n;

	while ((n = g_socket_receive(caller->socket, buffer, sizeof(buffer),
				     NULL, NULL)) > 0)
		g_string_append_len(caller->received, buffer, n);
	return n == 0 || strstr(caller->received->str, "\r\n\r\n") != NULL;
}

/* Sends the bytes of a case to a listener. Returns the status of the answer, or 0. */
static unsigned ask(const head_case_t *head, const char *address)
{
	size_t len = head->len ? head->len : strlen(head->bytes);
	caller_t caller = {support_connect(address), g_string_new(NULL)};
	unsigned status = 0;

	assert_int_equal(g_socket_send(caller.socket, head->bytes, len, NULL,
				       NULL),
			 len);
	(void)support_run_loop_until(has_answer, &caller, ANSWER_MS);
	if (g_str_has_prefix(caller.received->str, "HTTP/1.1 "))
		status = (unsigned)g_ascii_strtoull(
			caller.received->str + strlen("HTTP/1.1 "), NULL, 10);
	g_object_unref(caller.socket);
	g_string_free(caller.received, TRUE);
	return status;
}

/* Returns whether a case got its status, and the server what it should get. */
static bool goes_well(fixture_t *fixture, const head_case_t *head,
		      const char *address)
{
	const GString *received = fixture->server.received;
	size_t before = received->len;
	unsigned status = ask(head, address);
	const char *arrived = received->str + before;
	bool ok = status == head->status;

	if (head->arrives)
		ok &= strstr(arrived, head->arrives) != NULL;
	else
		ok &= received->len == before;
	if (head->absent)
		ok &= strstr(arrived, head->absent) == NULL;
	if (!ok)
		print_message("%s: status %u in place of %u; the server got "
			      "%u bytes: %s\n",
			      head->name, status, head->status,
			      (unsigned)(received->len - before), arrived);
	return ok;
}

/* Sends each case to a listener. Returns how many went wrong. */
static unsigned count_wrong(fixture_t *fixture, const char *address)
{
	unsigned wrong = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		wrong += goes_well(fixture, &cases[i], address) ? 0 : 1;
	return wrong;
}

/* Guards against a request that the VM reads in another way than a server or a proxy beside
 * it, and against fields that the VM has not understood and forwards.
 */
static void test_heads_of_callers(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	assert_int_equal(
		count_wrong(&fixture, support_entry_address(&fixture.vm)), 0);
	stop(&fixture);
}

/* The same on the listener for requests that other VMs pass on. */
static void test_heads_of_peers(void **state)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture);
	assert_int_equal(count_wrong(&fixture,
				     fixture.vm.entry.settings.peer_address),
			 0);
	stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_heads_of_callers),
		cmocka_unit_test(test_heads_of_peers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
