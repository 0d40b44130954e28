/* A VM's process whose log nobody reads any more. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <fcntl.h>
#include <unistd.h>

#include "connection/http_pool.h"
#include "names.h"
#include "support_address.h"
#include "support_metrics.h"
#include "support_store.h"
#include "support_tcp_stub.h"
#include "support_vm_process.h"

#define WAIT_MS 5000
#define REQUESTS 20
#define SHUTDOWN_LIMIT_S 1

typedef struct {
	fake_store_t store;
	char *store_address;
	vm_process_t vm;
	http_pool_t callers;
	GString *body;
	unsigned status;
	bool ended;
} fixture_t;

static void on_head(void *context, const http_head_t *head)
{
	((fixture_t *)context)->status = head->status;
}

static void on_body(void *context, const char *data, size_t len)
{
	g_string_append_len(((fixture_t *)context)->body, data, (gssize)len);
}

static void on_end(void *context, call_end_t end)
{
	fixture_t *fixture = context;

	fixture->ended = true;
	if (end != CALL_ANSWERED)
		fixture->status = 0;
}

static const call_handler_t handler = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static bool has_ended(void *context)
{
	return ((fixture_t *)context)->ended;
}

/* Sends a GET. Returns the status, 0 if there is no whole answer. */
static unsigned get(fixture_t *fixture, const char *address, const char *path)
{
	GString *message = g_string_new(NULL);
	http_call_options_t options = {
		.address = address,
		.message = message,
		.handler = &handler,
		.context = fixture,
	};

	fixture->ended = false;
	fixture->status = 0;
	g_string_truncate(fixture->body, 0);
	g_string_printf(message,
			"GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n",
			path);
	if (http_pool_call(&fixture->callers, &options))
		(void)support_run_loop_until(has_ended, fixture, WAIT_MS);
	g_string_free(message, TRUE);
	return fixture->status;
}

/* Guards against a process that ends, or stops to serve, when the reader of its standard
 * output is gone: the kernel sends SIGPIPE on the next line.
 */
static void test_reader_of_the_log_is_gone(void **state)
{
	static fixture_t fixture; /* outlives a failure */
	metrics_page_t page;
	bool none_counted;

	fixture.store_address = unused_address();
	fixture.body = g_string_new(NULL);
	fake_store_start(&fixture.store, fixture.store_address);
	fake_store_put(&fixture.store, TABLE_CONFIG, KEY_CONFIG,
		       "{\"version\":1,\"routes\":[],\"services\":[]}");
	fixture.vm.logs_to_pipe = true;
	vm_process_start(&fixture.vm, "vm-0", fixture.store_address,
			 SHUTDOWN_LIMIT_S);
	http_pool_init(&fixture.callers, clock_boottime(), 0, 0);
	for (unsigned i = 0; i < 50; i++) {
		if (get(&fixture, fixture.vm.callers_address, "/x") == 404)
			break;
		support_run_loop_ms(100);
	}
	assert_int_equal(fixture.status, 404); /* logged as no_route */
	/* The read end goes away; the descriptor stays one that can be closed. */
	assert_int_equal(dup2(open("/dev/null", O_RDONLY | O_CLOEXEC),
			      fixture.vm.process.output_fd),
			 fixture.vm.process.output_fd);
	for (unsigned i = 0; i < REQUESTS; i++) {
		assert_int_equal(
			get(&fixture, fixture.vm.callers_address, "/x"), 404);
		support_run_loop_ms(30);
	}
	assert_false(process_wait_end(&fixture.vm.process, 0));
	assert_int_equal(get(&fixture, fixture.vm.metrics_address, "/metrics"),
			 200);
	metrics_page_read(&page, fixture.body->str);
	none_counted = metrics_page_has(
		&page, "gooseberryspur_log_lines_dropped_total", 0);
	assert_non_null(strstr(fixture.body->str,
			       "gooseberryspur_log_lines_dropped_total "));
	assert_false(none_counted);
	metrics_page_finish(&page);
	http_pool_finish(&fixture.callers);
	vm_process_finish(&fixture.vm);
	fake_store_stop(&fixture.store);
	g_string_free(fixture.body, TRUE);
	g_free(fixture.store_address);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reader_of_the_log_is_gone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
