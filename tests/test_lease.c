/* Guards against two processes that may send under one lease at the same time,
 * and against leases that are lost or stuck after lost answers and pauses.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/lease.h"

#define S CLOCK_US_PER_S

/* A table with one row. */
static struct {
	uint64_t version;
	GString *value;
} table;

static lease_t one;
static lease_t other;

static int setup(void **state)
{
	table.version = 0;
	table.value = g_string_new(NULL);
	lease_init(&one, "vm-1", 5, 1);
	lease_init(&other, "vm-2", 6, 1);
	return 0;
}

static int teardown(void **state)
{
	lease_finish(&one);
	lease_finish(&other);
	g_string_free(table.value, TRUE);
	return 0;
}

/* Executes a write at the table. */
static lease_call_outcome_t write_table(const lease_action_t *action)
{
	if (action->expected_version != table.version)
		return LEASE_CALL_REFUSED;
	table.version++;
	g_string_assign(table.value, action->value->str);
	return LEASE_CALL_DONE;
}

/* Executes one call without delay; returns false when there was none. */
static bool run_call(lease_t *lease, int64_t now_us)
{
	lease_action_t action = lease_step(lease, now_us);
	lease_call_outcome_t outcome;

	switch (action.kind) {
	case LEASE_NOTHING:
		return false;
	case LEASE_READ:
		lease_on_read(lease, now_us,
			      table.version ? LEASE_CALL_DONE
					    : LEASE_CALL_REFUSED,
			      table.version, str_from_gstring(table.value));
		return true;
	case LEASE_WRITE:
		outcome = write_table(&action);
		lease_on_write(lease, now_us, outcome, table.version);
		return true;
	}
	return false;
}

static void run(lease_t *lease, int64_t now_us)
{
	while (run_call(lease, now_us))
		;
}

static void run_until(lease_t *lease, int64_t from_us, int64_t until_us)
{
	for (int64_t now = from_us; now <= until_us; now += S / 10)
		run(lease, now);
}

/* The first holder needs not wait; renewals keep the token and the lease. */
static void test_hold(void **state)
{
	lease_set_wanted(&one, true, 1);
	run(&one, 1);
	assert_true(lease_may_send(&one, 1));
	assert_int_equal(one.token, 1);
	run_until(&one, 1, 60 * S);
	assert_true(lease_may_send(&one, 60 * S));
	assert_int_equal(one.token, 1);
	assert_in_range(table.version, 10, 30);
}

/* Another takes over when the holder is silent, after the validity and the
 * time for the last order; the old holder has stopped by itself.
 */
static void test_take_over(void **state)
{
	int64_t taken_us = 0;

	lease_set_wanted(&one, true, 1);
	lease_set_wanted(&other, true, 1);
	run(&one, 1);
	for (int64_t now = 1; now < 60 * S; now += S / 10) {
		run(&other, now);
		assert_false(lease_may_send(&one, now) &&
			     lease_may_send(&other, now));
		if (!taken_us && other.holding)
			taken_us = now;
		if (taken_us)
			assert_int_equal(
				lease_may_send(&other, now),
				now >= taken_us + LEASE_TAKEOVER_DELAY_US);
	}
	assert_true(taken_us >= LEASE_VALIDITY_US);
	assert_int_equal(other.token, 2);
	/* The old holder continues and finds that it has lost the lease. */
	run(&one, 60 * S);
	assert_false(lease_may_send(&one, 60 * S));
}

static void test_release(void **state)
{
	lease_set_wanted(&one, true, 1);
	run(&one, 1);
	lease_set_note(&one, STR("note for the next\n"));
	lease_set_wanted(&one, false, S);
	run(&one, S);
	assert_false(lease_may_send(&one, S));
	lease_set_wanted(&other, true, 2 * S);
	run(&other, 2 * S);
	assert_true(other.holding);
	assert_false(lease_may_send(&other, 2 * S));
	assert_true(lease_may_send(&other, 2 * S + LEASE_TAKEOVER_DELAY_US));
	assert_int_equal(other.token, 2);
}

/* Lost answers to writes: the row is read back, and the deadline counts from
 * before the write. Each row of the table is one write that was sent at 1 s.
 */
static void test_lost_answers(void **state)
{
	static const struct {
		int64_t read_us; /* when the row is read back */
		bool executed;
		bool held_before;
		bool may_send; /* then */
	} cases[] = {
		{2 * S, true, false, true},  {12 * S, true, false, false},
		{2 * S, false, false, true}, {5 * S, true, true, true},
		{5 * S, false, true, true},  {30 * S, true, true, false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int64_t sent_us = cases[i].held_before ? 4 * S : S;
		lease_action_t action;

		teardown(state);
		setup(state);
		lease_set_wanted(&one, true, 1);
		if (cases[i].held_before)
			run(&one, S);
		else
			run_call(&one, S);
		action = lease_step(&one, sent_us);
		assert_int_equal(action.kind, LEASE_WRITE);
		if (cases[i].executed)
			write_table(&action);
		lease_on_write(&one, sent_us, LEASE_CALL_UNKNOWN, 0);
		assert_int_equal(lease_may_send(&one, sent_us),
				 cases[i].held_before);
		run_call(&one, cases[i].read_us);
		if (!cases[i].executed)
			run(&one, cases[i].read_us);
		assert_int_equal(lease_may_send(&one, cases[i].read_us),
				 cases[i].may_send);
		assert_int_equal(one.token, 1);
	}
}

/* A write that was thought lost arrives later and is recognised as own. */
static void test_late_write(void **state)
{
	lease_action_t first;
	lease_action_t second;
	char *late;

	lease_set_wanted(&one, true, 1);
	run_call(&one, S);
	first = lease_step(&one, S);
	late = g_strdup(first.value->str);
	lease_on_write(&one, S, LEASE_CALL_UNKNOWN, 0);
	run_call(&one, 2 * S);
	second = lease_step(&one, 3 * S);
	assert_int_equal(second.kind, LEASE_WRITE);
	/* The first attempt reaches the table before the second. */
	table.version = 1;
	g_string_assign(table.value, late);
	lease_on_write(&one, 3 * S, write_table(&second), 0);
	assert_false(lease_may_send(&one, 3 * S));
	run(&one, 3 * S);
	assert_true(lease_may_send(&one, 3 * S));
	assert_true(one.deadline_us <= S + LEASE_VALIDITY_US - LEASE_MARGIN_US);
	g_free(late);
}

/* A holder that was paused may not send, and must not take the lease back from
 * a new holder.
 */
static void test_paused(void **state)
{
	lease_set_wanted(&one, true, 1);
	lease_set_wanted(&other, true, 1);
	run(&one, 1);
	run_until(&other, S, 30 * S);
	assert_false(lease_may_send(&one, 30 * S));
	run(&one, 30 * S);
	assert_false(lease_may_send(&one, 30 * S));
	assert_true(lease_may_send(&other, 30 * S));
	/* Paused without a rival, it goes on with the same token. */
	run(&other, 300 * S);
	assert_true(lease_may_send(&other, 300 * S));
	assert_int_equal(other.token, 2);
}

/* Text that is not a lease is left alone, as its token is not known. */
static void test_malformed_rows(void **state)
{
	static const char *const texts[] = {
		"",
		"x",
		"gooseberryspur-lease 1\n",
		"gooseberryspur-lease 1\nholder vm\nincarnation 1\nattempt 1\n"
		"token -1\nvalidity_ms 10\nheld 0\n",
		"gooseberryspur-lease 1\nholder vm\nincarnation 1\nattempt 1\n"
		"token 1\nvalidity_ms 10\nheld 2\n",
		"gooseberryspur-lease 1\nholder vm\nincarnation 1\nattempt 1\n"
		"token 1\nvalidity_ms 10\nheld 0",
	};

	lease_set_wanted(&one, true, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		lease_row_t row;

		assert_false(lease_row_parse(str_from(texts[i]), &row));
		table.version++;
		g_string_assign(table.value, texts[i]);
		run_until(&one, (int64_t)(1 + i * 30) * S,
			  (int64_t)(30 + i * 30) * S);
		assert_int_equal(table.version, i + 1);
		assert_false(one.holding);
	}
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_hold),	   TEST(test_take_over),
		TEST(test_release),	   TEST(test_lost_answers),
		TEST(test_late_write),	   TEST(test_paused),
		TEST(test_malformed_rows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
