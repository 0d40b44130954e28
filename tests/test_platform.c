#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/counters.h"
#include "process/platform.h"
#include "support_http.h"
#include "support_process.h"

#define ROW "state/d"
#define DEADLINE_MS 3000

static process_t process;
static char *address;
static client_t client;
static platform_t platform;

typedef struct {
	bool done;
	platform_outcome_t outcome;
	uint64_t version;
	char *body;
	guint n_rows;
	guint n_vms;
	char *first;
} result_t;

static int start(void **state)
{
	address = process_start_listening(&process, "fake_platform",
					  (const char *[]){NULL});
	client_init(&client, clock_boottime());
	return address ? 0 : -1;
}

static int stop(void **state)
{
	client_finish(&client);
	process_finish(&process);
	g_free(address);
	return 0;
}

static int start_platform(void **state)
{
	platform_init(&platform, &client, address,
		      &(platform_budget_t){1000, 1000, 1}, 1);
	return 0;
}

static int stop_platform(void **state)
{
	platform_finish(&platform);
	return 0;
}

static int64_t deadline(int64_t ms)
{
	return clock_now(&platform.clock) + ms * CLOCK_US_PER_MS;
}

static void on_done(void *context, const platform_answer_t *answer)
{
	result_t *result = context;

	assert_false(result->done);
	result->done = true;
	result->outcome = answer->outcome;
	result->version = answer->version;
	if (answer->body)
		result->body = g_strndup(g_bytes_get_data(answer->body, NULL),
					 g_bytes_get_size(answer->body));
	if (answer->rows) {
		result->n_rows = answer->rows->len;
		result->first = g_strdup(
			g_array_index(answer->rows, platform_row_t, 0).value);
	}
	if (answer->vms)
		result->n_vms = answer->vms->len;
}

static void wait_for(result_t *result)
{
	while (!result->done)
		g_main_context_iteration(NULL, TRUE);
}

static void clear(result_t *result)
{
	g_free(result->body);
	g_free(result->first);
	memset(result, 0, sizeof(*result));
}

static result_t get(const char *key)
{
	result_t result = {0};

	platform_get(&platform, key, deadline(DEADLINE_MS), on_done, &result);
	wait_for(&result);
	return result;
}

static result_t write_row(const char *key, const char *text, uint64_t expected,
			  int64_t limit_ms)
{
	GBytes *value = g_bytes_new(text, strlen(text));
	result_t result = {0};

	platform_write(&platform, key, value, expected, deadline(limit_ms),
		       on_done, &result);
	g_bytes_unref(value);
	wait_for(&result);
	return result;
}

/* Guards against calls that are sent or read in a wrong way. */
static void test_calls(void **state)
{
	GBytes *bytes = g_bytes_new_static("part", 4);
	result_t r = get("calls/none");
	uint64_t version;

	assert_int_equal(r.outcome, PLATFORM_NOT_FOUND);
	r = write_row("calls/a b%", "one", PLATFORM_NO_ROW, DEADLINE_MS);
	assert_int_equal(r.outcome, PLATFORM_DONE);
	version = r.version;
	r = get("calls/a b%");
	assert_int_equal(r.outcome, PLATFORM_DONE);
	assert_int_equal(r.version, version);
	assert_string_equal(r.body, "one");
	clear(&r);
	platform_list(&platform, "calls/", deadline(DEADLINE_MS), on_done, &r);
	wait_for(&r);
	assert_int_equal(r.n_rows, 1);
	assert_string_equal(r.first, "one");
	clear(&r);
	platform_delete(&platform, "calls/a b%", version + 1,
			deadline(DEADLINE_MS), on_done, &r);
	wait_for(&r);
	assert_int_equal(r.outcome, PLATFORM_CONDITION_FAILED);
	clear(&r);
	platform_delete(&platform, "calls/a b%", version, deadline(DEADLINE_MS),
			on_done, &r);
	wait_for(&r);
	assert_int_equal(r.outcome, PLATFORM_DONE);
	clear(&r);
	platform_put_object(&platform, "abc", bytes, deadline(DEADLINE_MS),
			    on_done, &r);
	wait_for(&r);
	assert_int_equal(r.outcome, PLATFORM_DONE);
	clear(&r);
	platform_get_object(&platform, "abc", deadline(DEADLINE_MS), on_done,
			    &r);
	wait_for(&r);
	assert_string_equal(r.body, "part");
	clear(&r);
	platform_list_vms(&platform, deadline(DEADLINE_MS), on_done, &r);
	wait_for(&r);
	assert_int_equal(r.outcome, PLATFORM_DONE);
	assert_int_equal(r.n_vms, 0);
	g_bytes_unref(bytes);
}

typedef struct {
	const char *fault;
	int64_t limit_ms;
	platform_outcome_t outcome;
	const char *row; /* text that the row then has */
} fault_case_t;

/* A fault with the value 1 applies to one call, section 13's fakes. */
static const fault_case_t write_faults[] = {
	{"{\"lose_write_answer\":1}", DEADLINE_MS, PLATFORM_DONE, "mine"},
	{"{\"unreachable\":1}", DEADLINE_MS, PLATFORM_DONE, "mine"},
	{"{\"outage\":2}", DEADLINE_MS, PLATFORM_DONE, "mine"},
	{"{\"late_write_ms\":30}", DEADLINE_MS, PLATFORM_DONE, "mine"},
	{"{\"delay_ms\":30}", DEADLINE_MS, PLATFORM_DONE, "mine"},
	{"{\"hang\":1}", 6000, PLATFORM_DONE, "mine"},
	{"{\"outage\":-1}", 300, PLATFORM_NOT_SENT, "base"},
	{"{\"lose_write_answer\":1,\"lose_read_answer\":-1}", 500,
	 PLATFORM_UNKNOWN, "mine"},
};

#define NO_FAULTS                                                    \
	"{\"late_write_ms\":0,\"delay_ms\":0,\"answer_delay_ms\":0," \
	"\"outage\":0,\"unreachable\":0,\"hang\":0,"                 \
	"\"lose_write_answer\":0,\"lose_read_answer\":0}"

/*
 * Guards against a write that is reported as failed although it took effect,
 * or as done although it did not. The kept-alive connection makes the library
 * resend the write after its lost answer, which then fails its condition.
 */
static void test_write_faults(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(write_faults); i++) {
		const fault_case_t *c = &write_faults[i];
		char *key = g_strdup_printf("%s/%zu", ROW, i);
		result_t base =
			write_row(key, "base", PLATFORM_NO_ROW, DEADLINE_MS);
		result_t r;

		assert_int_equal(base.outcome, PLATFORM_DONE);
		http_set_faults(address, c->fault);
		r = write_row(key, "mine", base.version, c->limit_ms);
		http_set_faults(address, NO_FAULTS);
		if (r.outcome != c->outcome)
			fail_msg("%s: %s", c->fault,
				 platform_outcome_text(r.outcome));
		clear(&r);
		stop_platform(NULL);
		start_platform(NULL);
		r = get(key);
		if (g_strcmp0(r.body, c->row) != 0)
			fail_msg("%s: row %s, %s", c->fault, r.body,
				 platform_outcome_text(r.outcome));
		clear(&r);
		g_free(key);
	}
}

/* Guards against a loser that is not told what it lost against. */
static void test_conflict_returns_the_row(void **state)
{
	result_t base =
		write_row("conflict", "base", PLATFORM_NO_ROW, DEADLINE_MS);
	result_t a = write_row("conflict", "a", base.version, DEADLINE_MS);
	result_t b = write_row("conflict", "b", base.version, DEADLINE_MS);

	assert_int_equal(a.outcome, PLATFORM_DONE);
	assert_int_equal(b.outcome, PLATFORM_CONDITION_FAILED);
	assert_int_equal(b.version, a.version);
	assert_string_equal(b.body, "a");
	clear(&b);
	b = write_row("conflict", "b", PLATFORM_NO_ROW, DEADLINE_MS);
	assert_int_equal(b.outcome, PLATFORM_CONDITION_FAILED);
	clear(&b);
}

/* Guards against calls that add load to a platform that is down. */
static void test_breaker_limits_calls(void **state)
{
	int64_t sent, denied;
	result_t r;

	counters_reset();
	http_set_faults(address, "{\"outage\":-1}");
	for (int i = 0; i < 4; i++) {
		r = (result_t){0};
		platform_get(&platform, "x", deadline(1000), on_done, &r);
		wait_for(&r);
		assert_int_equal(r.outcome, PLATFORM_NOT_SENT);
	}
	sent = counters_get(COUNTER_PLATFORM_READS);
	denied = counters_get(COUNTER_PLATFORM_DENIED);
	assert_true(sent <= 12);
	assert_true(denied > 0);
	assert_int_equal(counters_get(GAUGE_PLATFORM_UP), 0);
	/* A call that its caller does not want repeated is denied at once. */
	r = (result_t){0};
	platform_delete(&platform, "x", 1, deadline(60000), on_done, &r);
	wait_for(&r);
	assert_int_equal(r.outcome, PLATFORM_NOT_SENT);
	http_set_faults(address, NO_FAULTS);
	r = (result_t){0};
	platform_get(&platform, "x", deadline(60000), on_done, &r);
	wait_for(&r);
	assert_int_equal(r.outcome, PLATFORM_NOT_FOUND);
	assert_int_equal(counters_get(GAUGE_PLATFORM_UP), 1);
}

/* Guards against a callback into freed memory. */
static void test_cancelled_calls_are_silent(void **state)
{
	result_t r = {0};
	result_t other = {0};
	platform_call_t *call;

	http_set_faults(address, "{\"delay_ms\":50}");
	call = platform_get(&platform, "x", deadline(DEADLINE_MS), on_done, &r);
	platform_get(&platform, "y", deadline(DEADLINE_MS), on_done, &other);
	g_main_context_iteration(NULL, TRUE);
	platform_cancel(call);
	wait_for(&other);
	http_set_faults(address, NO_FAULTS);
	assert_false(r.done);
}

/* Guards against a wrong address that blocks or crashes. */
static void test_unreachable_address(void **state)
{
	platform_t none;
	result_t r = {0};

	platform_init(&none, &client, "127.0.0.1:1", &PLATFORM_SERVE_BUDGET, 1);
	platform_get(&none, "x", deadline(300), on_done, &r);
	wait_for(&r);
	assert_int_equal(r.outcome, PLATFORM_NOT_SENT);
	platform_finish(&none);
}

int main(void)
{
#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, start_platform, stop_platform)
	const struct CMUnitTest tests[] = {
		TEST(test_calls),
		TEST(test_write_faults),
		TEST(test_conflict_returns_the_row),
		TEST(test_breaker_limits_calls),
		TEST(test_cancelled_calls_are_silent),
		TEST(test_unreachable_address),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
