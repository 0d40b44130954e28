/* Changes of the server list without an end that another VM passes on. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "names.h"
#include "process/entry/store_rows.h"
#include "support_address.h"
#include "support_store.h"
#include "support_tcp_stub.h"

#define WAIT_MS 20000

/* What the smallest VMs can spare: of the list, and of the changes that are kept to be passed
 * on. A row counts twice, and the change of it once.
 */
#define LIST_BYTES ((size_t)16 << 20)
#define CHANGES_BYTES ((size_t)4 << 20)

/* Answers of the other VM after which the list has had no room for a while. */
#define LARGE_ANSWERS 30

typedef struct {
	fake_store_t store;
	char *store_address;
	ingress_t peer; /* another VM */
	char *peer_address;
	http_pool_t pool;
	server_set_t servers;
	store_rows_t rows;
	char *filler; /* of a row */
	unsigned rows_of_answer;
	unsigned answers;
	int64_t next_row;
	size_t most_list_bytes, most_changes_bytes;
} fixture_t;

static void on_config(void *context, route_table_t *table)
{
}

static void on_servers(void *context)
{
	fixture_t *fixture = context;

	fixture->most_list_bytes =
		MAX(fixture->most_list_bytes, fixture->rows.list_bytes);
	fixture->most_changes_bytes = MAX(fixture->most_changes_bytes,
					  fixture->rows.list_relay.bytes);
}

static void on_vm(void *context, const char *vm, str_t address,
		  int64_t row_version)
{
}

static void on_round(void *context, const char *service, str_t value)
{
}

static void on_crash_row(void *context, const char *key, str_t value,
			 int64_t row_version)
{
}

static void on_software_row(void *context, str_t value, int64_t row_version)
{
}

static void on_departure(void *context, const char *server)
{
}

static void on_own_sync(void *context)
{
}

static const char *choose_list_reader(void *context, bool store_fails)
{
	return ((fixture_t *)context)->peer_address;
}

static void on_list_reader_failed(void *context)
{
}

static const store_rows_handler_t rows_handler = {
	.on_config = on_config,
	.on_servers = on_servers,
	.on_vm = on_vm,
	.on_round = on_round,
	.on_crash_row = on_crash_row,
	.on_losses_row = on_crash_row,
	.on_departure = on_departure,
	.on_return = on_departure,
	.on_software_row = on_software_row,
	.on_own_sync = on_own_sync,
	.choose_list_reader = choose_list_reader,
	.on_list_reader_failed = on_list_reader_failed,
};

/* Appends the row of a server that is new. */
static void append_row(fixture_t *fixture, GString *body)
{
	int64_t n = ++fixture->next_row;
	char *text = g_strdup_printf(
		"{\"service\":\"other\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\","
		"\"slots\":6,\"state\":\"ready\",\"born\":1000,\"x\":\"%s\"}",
		fixture->filler);
	char *value = g_base64_encode((const guchar *)text, strlen(text));

	g_string_append_printf(body,
			       "%s{\"table\":\"servers\",\"part\":\"\",\"key\":"
			       "\"s%" G_GINT64_FORMAT
			       "\",\"ver\":%" G_GINT64_FORMAT
			       ",\"value\":\"%s\"}",
			       g_str_has_suffix(body->str, "[") ? "" : ",", n,
			       1000 + n, value);
	g_free(value);
	g_free(text);
}

static void peer_on_request(void *context, exchange_t *exchange)
{
	fixture_t *fixture = context;
	GString *body = g_string_new("{\"rows\":[");
	http_headers_t headers;

	for (unsigned i = 0; i < fixture->rows_of_answer; i++)
		append_row(fixture, body);
	g_string_append_printf(body,
			       "],\"hasMore\":true,\"ver\":%" G_GINT64_FORMAT
			       "}",
			       1000 + fixture->next_row);
	fixture->answers++;
	http_headers_init(&headers);
	http_headers_add(&headers, STR("Content-Type"),
			 STR("application/json"));
	exchange_reply(exchange, 200, &headers, str_from_gstring(body));
	http_headers_finish(&headers);
	g_string_free(body, TRUE);
}

static void peer_on_gone(void *context, exchange_t *exchange)
{
}

static const ingress_handler_t peer_handler = {
	.on_request = peer_on_request,
	.on_gone = peer_on_gone,
};

static void start(fixture_t *fixture, unsigned rows, size_t value_bytes)
{
	static const ingress_limits_t limits = {
		.max_head_bytes = 65536,
		.max_body_bytes = 1 << 20,
		.head_timeout_us = 10 * CLOCK_US_PER_S,
		.idle_timeout_us = 60 * CLOCK_US_PER_S,
	};

	memset(fixture, 0, sizeof(*fixture));
	fixture->rows_of_answer = rows;
	fixture->filler = g_strnfill(value_bytes, 'x');
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fixture->peer_address = unused_address();
	assert_true(ingress_init(&fixture->peer, fixture->peer_address,
				 clock_boottime(), &limits, &peer_handler,
				 fixture));
	http_pool_init(&fixture->pool, clock_boottime(), 1000, 0);
	server_set_init(&fixture->servers);
	store_rows_init(&fixture->rows, &fixture->pool, clock_boottime(),
			fixture->store_address, "vm-us", "10.0.0.9:80",
			&fixture->servers, &rows_handler, fixture);
}

static void stop(fixture_t *fixture)
{
	store_rows_finish(&fixture->rows);
	server_set_finish(&fixture->servers);
	http_pool_finish(&fixture->pool);
	ingress_finish(&fixture->peer);
	fake_store_stop(&fixture->store);
	g_free(fixture->peer_address);
	g_free(fixture->store_address);
	g_free(fixture->filler);
}

static bool has_many_answers(void *context)
{
	const fixture_t *fixture = context;

	return fixture->answers >= LARGE_ANSWERS;
}

/* Plays a flood; fails if more of it is kept than there is room for. */
static void play(unsigned rows, size_t value_bytes)
{
	static fixture_t fixture; /* outlives a failure */

	start(&fixture, rows, value_bytes);
	assert_true(
		support_run_loop_until(has_many_answers, &fixture, WAIT_MS));
	print_message("%u rows of %zu bytes an answer: %u answers, at most %zu "
		      "bytes of the list and %zu of changes, %u servers\n",
		      rows, value_bytes, fixture.answers,
		      fixture.most_list_bytes, fixture.most_changes_bytes,
		      g_hash_table_size(fixture.servers.by_id));
	assert_true(fixture.most_list_bytes > LIST_BYTES / 4);
	assert_true(fixture.most_list_bytes <= LIST_BYTES);
	assert_true(fixture.most_changes_bytes <= CHANGES_BYTES);
	stop(&fixture);
}

/* Guards against a VM whose memory is filled by the server list that another VM passes on,
 * which has always another change.
 */
static void test_small_rows(void **state)
{
	play(1000, 0);
}

static void test_large_rows(void **state)
{
	play(10, 65536);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_small_rows),
		cmocka_unit_test(test_large_rows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
