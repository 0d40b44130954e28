/* Memory of a VM, a process of its own, while the store's answers are sound but have no end in
 * number: a full read has always another page, or a table always more rows.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "connection/http_pool.h"
#include "names.h"
#include "process/alarm.h"
#include "support_address.h"
#include "support_entry.h"
#include "support_store.h"
#include "support_tcp_stub.h"
#include "support_vm_process.h"

#define WAIT_MS 15000
#define SHUTDOWN_LIMIT_S 5

/* Time of a flood, and most that it sends, to spare the machine. */
#define FLOOD_MS 6000
#define STOP_BYTES (INT64_C(256) << 20)

/* A small request of another caller is sent this often. */
#define OTHER_GAP_US (50 * CLOCK_US_PER_MS)

/* What the store does once the flood has begun. */
typedef struct {
	const char *name;
	const char *table;
	size_t value_bytes; /* of a field of a row without a meaning */
	unsigned rows; /* of a page */
	bool same_keys; /* each page has the keys of the first one */
	bool same_address; /* all servers name one */
	bool as_changes; /* of the feed, not of a full read */
} flood_t;

typedef struct {
	const flood_t *flood;
	fake_store_t store;
	ingress_t endless; /* in place of the store */
	char *store_address;
	ingress_t sound;
	char *sound_address;
	vm_process_t vm;
	http_pool_t others;
	alarm_t next_other;
	char *filler; /* of a row */
	unsigned others_sent, others_ended, others_served, status;
	unsigned pages;
	int64_t next_row;
	int64_t sent_bytes;
} fixture_t;

typedef struct {
	fixture_t *fixture;
	unsigned status;
} other_t;

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"h\","
	"\"pathPrefix\":\"/q/\",\"kind\":\"safe\",\"timeoutMs\":1000,"
	"\"service\":\"sound\",\"maxAttempts\":2}],\"services\":[{\"name\":"
	"\"sound\",\"healthPath\":\"/health\"}]}";

static int64_t now_us(void)
{
	clock_source_t clock = clock_boottime();

	return clock_now(&clock);
}

/* --- the sound server ---------------------------------------------------- */

static void sound_on_request(void *context, exchange_t *exchange)
{
	http_headers_t headers;

	http_headers_init(&headers);
	http_headers_add(&headers, STR("X-Response-Signature"), STR("s"));
	exchange_reply(exchange, 200, &headers, STR("ok"));
	http_headers_finish(&headers);
}

static void ignore_gone(void *context, exchange_t *exchange)
{
}

static const ingress_handler_t sound_handler = {
	.on_request = sound_on_request,
	.on_gone = ignore_gone,
};

/* --- the store ----------------------------------------------------------- */

/* Returns the text of the row of a server that takes no requests of a caller. */
static char *server_text(const fixture_t *fixture, int64_t n)
{
	unsigned host = fixture->flood->same_address ? 1 : (unsigned)n;

	return g_strdup_printf(
		"{\"service\":\"other\",\"address\":\"127.%u.%u.%u:9\","
		"\"zone\":\"z\",\"slots\":6,\"state\":\"ready\","
		"\"sequence\":%" G_GINT64_FORMAT ",\"born\":1000,\"x\":\"%s\"}",
		host >> 16 & 255, host >> 8 & 255, host & 255, n,
		fixture->filler);
}

/* Appends a row that no earlier page had, unless the pages have the same keys. */
static void append_row(fixture_t *fixture, GString *body)
{
	const flood_t *flood = fixture->flood;
	int64_t n = ++fixture->next_row;
	bool is_server = g_str_equal(flood->table, TABLE_SERVERS);
	char *text = is_server ? server_text(fixture, n)
			       : g_strdup("127.0.0.1:9");
	char *value = g_base64_encode((const guchar *)text, strlen(text));

	g_string_append_printf(body,
			       "%s{\"table\":\"%s\",\"part\":\"\",\"key\":"
			       "\"%ss%012" G_GINT64_FORMAT
			       "\",\"ver\":%" G_GINT64_FORMAT
			       ",\"value\":\"%s\"}",
			       g_str_has_suffix(body->str, "[") ? "" : ",",
			       flood->table, is_server ? "" : "vm/",
			       flood->same_keys ? 1 : n, 1000 + n, value);
	g_free(value);
	g_free(text);
}

static void reply_json(exchange_t *exchange, unsigned status, str_t body)
{
	http_headers_t headers;

	http_headers_init(&headers);
	http_headers_add(&headers, STR("Content-Type"),
			 STR("application/json"));
	exchange_reply(exchange, status, &headers, body);
	http_headers_finish(&headers);
}

/* Answers a read of the flooded table with rows and the promise of more, and ends its feed
 * so that it is read in full. Other reads get no answer: they wait for a change.
 */
static void endless_on_request(void *context, exchange_t *exchange)
{
	fixture_t *fixture = context;
	const flood_t *flood = fixture->flood;
	const char *target = exchange_head(exchange)->target->str;
	char *query = g_strdup_printf("table=%s&", flood->table);
	bool is_flooded = strstr(target, query) != NULL;
	bool is_feed = strstr(target, PATH_ROWS_FEED) != NULL;
	GString *body;

	g_free(query);
	if (!is_flooded || fixture->sent_bytes >= STOP_BYTES)
		return;
	if (is_feed && !flood->as_changes) {
		reply_json(exchange, 410, STR("{}"));
		return;
	}
	body = g_string_new("{\"rows\":[");
	for (unsigned i = 0; i < flood->rows; i++)
		append_row(fixture, body);
	g_string_append_printf(body,
			       "],\"hasMore\":true,\"ver\":%" G_GINT64_FORMAT
			       ",\"nowMs\":1}",
			       1000 + fixture->next_row);
	fixture->pages++;
	fixture->sent_bytes += (int64_t)body->len;
	reply_json(exchange, 200, str_from_gstring(body));
	g_string_free(body, TRUE);
}

static const ingress_handler_t endless_handler = {
	.on_request = endless_on_request,
	.on_gone = ignore_gone,
};

/* Puts the endless store in the place of the sound one. */
static void begin_flood(fixture_t *fixture)
{
	static const ingress_limits_t limits = {
		.max_head_bytes = 65536,
		.max_body_bytes = 1 << 20,
		.head_timeout_us = 10 * CLOCK_US_PER_S,
		.idle_timeout_us = 60 * CLOCK_US_PER_S,
	};

	fake_store_stop(&fixture->store);
	assert_true(ingress_init(&fixture->endless, fixture->store_address,
				 clock_boottime(), &limits, &endless_handler,
				 fixture));
}

/* --- other callers ------------------------------------------------------- */

static void other_on_head(void *context, const http_head_t *head)
{
	((other_t *)context)->status = head->status;
}

static void other_on_body(void *context, const char *data, size_t len)
{
}

static void other_on_end(void *context, call_end_t end)
{
	other_t *other = context;
	fixture_t *fixture = other->fixture;

	fixture->status = end == CALL_ANSWERED ? other->status : 0;
	fixture->others_ended++;
	fixture->others_served += fixture->status == 200 ? 1 : 0;
	g_free(other);
}

static const call_handler_t other_handler = {
	.on_head = other_on_head,
	.on_body = other_on_body,
	.on_end = other_on_end,
};

static void send_other(fixture_t *fixture)
{
	other_t *other = g_new0(other_t, 1);
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = fixture->vm.callers_address,
		.message = message,
		.handler = &other_handler,
		.context = other,
	};

	other->fixture = fixture;
	g_string_printf(message,
			"GET /q/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%u\r\n"
			"X-Deadline-Ms: 1800\r\nContent-Length: 0\r\n\r\n",
			++fixture->others_sent);
	if (!http_pool_call(&fixture->others, &options))
		other_on_end(other, CALL_NOT_SENT);
	g_string_free(message, TRUE);
}

static void on_next_other(void *context)
{
	fixture_t *fixture = context;

	send_other(fixture);
	alarm_set(&fixture->next_other, now_us() + OTHER_GAP_US);
}

static bool others_have_ended(void *context)
{
	const fixture_t *fixture = context;

	return fixture->others_ended == fixture->others_sent;
}

/* --- the deployment ------------------------------------------------------ */

static void await_served(fixture_t *fixture)
{
	int64_t until_us = now_us() + WAIT_MS * CLOCK_US_PER_MS;

	do {
		assert_true(now_us() < until_us);
		support_run_loop_ms(20);
		send_other(fixture);
		assert_true(support_run_loop_until(others_have_ended, fixture,
						   WAIT_MS));
	} while (fixture->status != 200);
	fixture->others_sent = 0;
	fixture->others_ended = 0;
	fixture->others_served = 0;
}

static void start(fixture_t *fixture, const flood_t *flood)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->flood = flood;
	fixture->filler = g_strnfill(flood->value_bytes, 'x');
	fixture->store_address = unused_address();
	fake_store_start(&fixture->store, fixture->store_address);
	fake_store_put(&fixture->store, TABLE_CONFIG, KEY_CONFIG, config);
	fixture->sound_address = support_server_start(&fixture->sound,
						      &fixture->store, "i-9",
						      "\"service\":\"sound\"",
						      &sound_handler, fixture);
	vm_process_start(&fixture->vm, "vm-0", fixture->store_address,
			 SHUTDOWN_LIMIT_S);
	http_pool_init(&fixture->others, clock_boottime(), 0, 0);
	alarm_init(&fixture->next_other, clock_boottime(), on_next_other,
		   fixture);
	await_served(fixture);
}

static void finish(fixture_t *fixture)
{
	alarm_finish(&fixture->next_other);
	vm_process_finish(&fixture->vm);
	/* The calls end with the VM. */
	assert_true(
		support_run_loop_until(others_have_ended, fixture, WAIT_MS));
	http_pool_finish(&fixture->others);
	ingress_finish(&fixture->sound);
	ingress_finish(&fixture->endless);
	g_free(fixture->sound_address);
	g_free(fixture->store_address);
	g_free(fixture->filler);
}

/* Plays one flood. Returns whether the VM kept within its memory and the small requests of
 * other callers were served meanwhile.
 */
static bool plays_well(const flood_t *flood)
{
	static fixture_t fixture; /* outlives a failure */
	vm_memory_t quiet, peak;
	int64_t grown;
	bool well;

	start(&fixture, flood);
	quiet = vm_process_peak(&fixture.vm);
	alarm_set(&fixture.next_other, now_us());
	begin_flood(&fixture);
	support_run_loop_ms(FLOOD_MS);
	alarm_set(&fixture.next_other, -1);
	(void)support_run_loop_until(others_have_ended, &fixture, 2000);
	peak = vm_process_peak(&fixture.vm);
	grown = vm_memory_growth(&quiet, &peak);
	print_message("%s: %" G_GINT64_FORMAT " KiB above %" G_GINT64_FORMAT
		      " KiB, %u pages, %" G_GINT64_FORMAT
		      " KiB sent, %u of %u others served\n",
		      flood->name, grown >> 10, quiet.resident_bytes >> 10,
		      fixture.pages, fixture.sent_bytes >> 10,
		      fixture.others_served, fixture.others_sent);
	well = peak.resident_bytes > 0 && fixture.pages > 0 &&
	       grown <= VM_GROWTH_ALLOWED_BYTES &&
	       fixture.others_served == fixture.others_sent;
	finish(&fixture);
	return well;
}

/* --- tests --------------------------------------------------------------- */

/* Guards against a server list without an end that fills a VM's memory or keeps it so busy
 * that other callers are not served.
 */
static void test_server_list(void **state)
{
	static const flood_t floods[] = {
		{.name = "servers, a row a page",
		 .table = TABLE_SERVERS,
		 .rows = 1},
		{.name = "servers, many rows a page",
		 .table = TABLE_SERVERS,
		 .rows = 3000},
		{.name = "servers of one address",
		 .table = TABLE_SERVERS,
		 .rows = 3000,
		 .same_address = true},
		{.name = "servers, large rows",
		 .table = TABLE_SERVERS,
		 .rows = 10,
		 .value_bytes = 65536},
		{.name = "servers, the same page again",
		 .table = TABLE_SERVERS,
		 .rows = 1,
		 .same_keys = true},
		{.name = "changes of servers",
		 .table = TABLE_SERVERS,
		 .rows = 3000,
		 .as_changes = true},
		{.name = "changes of servers, large rows",
		 .table = TABLE_SERVERS,
		 .rows = 10,
		 .value_bytes = 65536,
		 .as_changes = true},
	};
	unsigned bad = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(floods); i++)
		bad += !plays_well(&floods[i]);
	assert_int_equal(bad, 0);
}

/* The same for the table of VMs. */
static void test_own_table(void **state)
{
	static const flood_t floods[] = {
		{.name = "VMs, a row a page", .table = TABLE_ROUTER, .rows = 1},
		{.name = "VMs, many rows a page",
		 .table = TABLE_ROUTER,
		 .rows = 3000},
		{.name = "changes of VMs",
		 .table = TABLE_ROUTER,
		 .rows = 3000,
		 .as_changes = true},
	};
	unsigned bad = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(floods); i++)
		bad += !plays_well(&floods[i]);
	assert_int_equal(bad, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_server_list),
		cmocka_unit_test(test_own_table),
	};

	/* The address sanitizer's store of freed memory would count as the VM's. */
	(void)g_setenv(
		"ASAN_OPTIONS",
		"quarantine_size_mb=1:thread_local_quarantine_size_kb=64",
		FALSE);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
