/* Decisions on calls that carry an Idempotency-Key: scripts of table results,
 * racing callers, and the text of the rows.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "process/clock.h"
#include "request/once.h"
#include "request/retry.h"

#define NOW_US (50 * CLOCK_US_PER_S)
#define GIVE_UP_US (NOW_US + CLOCK_US_PER_S)
#define FUZZ_SEED UINT64_C(5150)
#define FUZZ_RUNS 20000
#define RACES 20000
#define RACERS 4

/* Prepares a send with the given ID; all sends have the same key and call. */
static void init_call(once_t *call, const char *attempt)
{
	once_init(call, STR("demo"), STR("key-1"), STR("hash-a"),
		  str_from(attempt), GIVE_UP_US);
}

/* Results of table calls, and the steps that they must lead to. */
typedef struct {
	const char *name;
	const char *results; /* a letter each, see give_result() */
	const char *want; /* steps, a letter each, see step_letter() */
	run_status_t run; /* of a final ONCE_ANSWER */
	verdict_code_t code;
	bool retry_later; /* the verdict has a time to retry */
} script_t;

/* Gives the result of a table call to the send and returns the next step. */
static once_step_t give_result(once_t *call, char result)
{
	GBytes *body = g_bytes_new_static("ok", 2);
	once_row_t row = {.call_hash = "hash-a", .attempt = "other"};
	once_step_t step;

	switch (result) {
	case 'o':
		step = once_after_write(call, ONCE_WRITE_OK, NOW_US);
		break;
	case 'c':
		step = once_after_write(call, ONCE_WRITE_CONFLICT, NOW_US);
		break;
	case 'u':
		step = once_after_write(call, ONCE_WRITE_UNKNOWN, NOW_US);
		break;
	case 'n':
		step = once_after_write(call, ONCE_WRITE_NOT_SENT, NOW_US);
		break;
	case 'a':
		step = once_after_read(call, ONCE_READ_ABSENT, NULL, NOW_US);
		break;
	case 'f':
		step = once_after_read(call, ONCE_READ_FAILED, NULL, NOW_US);
		break;
	case 'x':
		step = once_after_read(call, ONCE_READ_MALFORMED, NULL, NOW_US);
		break;
	default:
		/* A row was read. M: it is this send's own; S: another send
		 * has started; D: done; L: done, the body was too large; N: not
		 * run; B: the key was used for another call.
		 */
		if (result == 'M')
			row.attempt = "mine";
		if (result == 'D' || result == 'L')
			row.state = ONCE_DONE;
		if (result == 'D')
			row.outcome.body = body;
		if (result == 'N')
			row.state = ONCE_NOT_RUN;
		if (result == 'B')
			row.call_hash = "hash-b";
		step = once_after_read(call, ONCE_READ_FOUND, &row, NOW_US);
		break;
	}
	g_bytes_unref(body);
	return step;
}

/* Returns the letter of a step. */
static char step_letter(once_step_kind_t kind)
{
	switch (kind) {
	case ONCE_INSERT:
		return 'I';
	case ONCE_TAKE_OVER:
		return 'T';
	case ONCE_READ:
		return 'R';
	case ONCE_DISPATCH:
		return 'D';
	case ONCE_REPLAY:
		return 'P';
	case ONCE_ANSWER:
		break;
	}
	return 'A';
}

/* Guards against a call that is sent twice, a takeover of a row whose call may
 * have run, and a wrong verdict for the second caller.
 */
static void test_scripts(void **state)
{
	static const script_t scripts[] = {
		{"inserted", "o", "ID", 0, 0, 0},
		{"table unavailable", "n", "IA", RUN_NOT_RUN,
		 VERDICT_UNAVAILABLE, 1},
		{"answer lost, the write took effect", "uM", "IRD", 0, 0, 0},
		{"answer lost, the write did not take effect", "uao", "IRID", 0,
		 0, 0},
		{"answer lost, the late write wins over the second", "uacM",
		 "IRIRD", 0, 0, 0},
		{"answer lost, then the table is unavailable", "uf", "IRA",
		 RUN_NOT_RUN, VERDICT_UNAVAILABLE, 1},
		{"too many lost answers", "uauaua", "IRIRIRA", RUN_NOT_RUN,
		 VERDICT_UNAVAILABLE, 1},
		{"second caller, outcome of the first unknown", "cS", "IRA",
		 RUN_MAY_HAVE_RUN, VERDICT_CONFLICT, 1},
		{"answer lost, another caller was first", "uS", "IRA",
		 RUN_MAY_HAVE_RUN, VERDICT_CONFLICT, 1},
		{"second caller, outcome stored", "cD", "IRP", 0, 0, 0},
		{"second caller, outcome too large", "cL", "IRA", RUN_RAN,
		 VERDICT_CONFLICT, 0},
		{"key used for another call", "cB", "IRA", RUN_NOT_RUN,
		 VERDICT_CONFLICT, 0},
		{"first not run, taken over", "cNo", "IRTD", 0, 0, 0},
		{"first not run, another takes over", "cNcS", "IRTRA",
		 RUN_MAY_HAVE_RUN, VERDICT_CONFLICT, 1},
		{"first not run, answer of the takeover lost", "cNuM", "IRTRD",
		 0, 0, 0},
		{"first not run, takeover did not take effect", "cNuNo",
		 "IRTRTD", 0, 0, 0},
		{"first not run, takeover not sent", "cNn", "IRTA",
		 RUN_MAY_HAVE_RUN, VERDICT_UNAVAILABLE, 1},
		{"a row exists and cannot be read", "cf", "IRA",
		 RUN_MAY_HAVE_RUN, VERDICT_UNAVAILABLE, 1},
		{"a row exists and is malformed", "cx", "IRA", RUN_MAY_HAVE_RUN,
		 VERDICT_UNAVAILABLE, 1},
		{"the row was deleted meanwhile", "cao", "IRID", 0, 0, 0},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
		const script_t *script = &scripts[i];
		GString *got = g_string_new(NULL);
		once_step_t step;
		once_t call;

		init_call(&call, "mine");
		step = once_begin(&call, NOW_US);
		g_string_append_c(got, step_letter(step.kind));
		for (const char *at = script->results; *at; at++) {
			step = give_result(&call, *at);
			g_string_append_c(got, step_letter(step.kind));
		}
		if (strcmp(got->str, script->want) != 0)
			fail_msg("%s: got %s, want %s", script->name, got->str,
				 script->want);
		if (step.kind == ONCE_ANSWER &&
		    (step.verdict.run != script->run ||
		     step.verdict.code != script->code ||
		     (step.verdict.retry_at_us != 0) != script->retry_later))
			fail_msg("%s: wrong verdict", script->name);
		g_string_free(got, TRUE);
		once_finish(&call);
	}
}

/* Guards against table calls at or after the time at which the send has to
 * stop trying.
 */
static void test_gives_up_in_time(void **state)
{
	once_step_t step;
	once_t call;

	init_call(&call, "mine");
	step = once_after_write(&call, ONCE_WRITE_UNKNOWN, GIVE_UP_US);
	assert_int_equal(step.kind, ONCE_ANSWER);
	assert_int_equal(step.verdict.run, RUN_NOT_RUN);
	assert_true(step.verdict.retry_at_us > GIVE_UP_US);
	once_finish(&call);
}

/* A table of one row. A write is not sent, takes effect with or without an
 * answer, or takes effect late.
 */
typedef struct {
	uint64_t seed;
	char *text; /* NULL: absent */
	uint64_t version;
	char *late; /* row of a write that has not arrived, or NULL */
	bool late_insert; /* that write requires that there is no row */
	uint64_t late_version; /* otherwise: the version it requires */
} table_t;

/* Executes a conditional write; false if the condition failed. Takes the text.
 */
static bool table_apply(table_t *table, bool insert, uint64_t version,
			char *text)
{
	if (insert ? table->text != NULL : table->version != version) {
		g_free(text);
		return false;
	}
	g_free(table->text);
	table->text = text;
	table->version++;
	return true;
}

/* Lets a late write arrive, now and then. */
static void table_deliver_late(table_t *table)
{
	if (!table->late || retry_random(&table->seed) % 4)
		return;
	table_apply(table, table->late_insert, table->late_version,
		    table->late);
	table->late = NULL;
}

/* Writes a row with a random failure. Takes the text. */
static once_write_result_t table_write(table_t *table, bool insert,
				       uint64_t version, char *text)
{
	bool lose = retry_random(&table->seed) % 3 == 0;
	bool arrives = retry_random(&table->seed) % 4 != 0;
	bool matches;

	if (!arrives && lose) {
		g_free(text);
		return ONCE_WRITE_NOT_SENT;
	}
	if (!arrives) {
		g_free(table->late);
		table->late = text;
		table->late_insert = insert;
		table->late_version = version;
		return ONCE_WRITE_UNKNOWN;
	}
	matches = table_apply(table, insert, version, text);
	if (lose)
		return ONCE_WRITE_UNKNOWN;
	return matches ? ONCE_WRITE_OK : ONCE_WRITE_CONFLICT;
}

/* One of several sends with the same key. */
typedef struct {
	once_t call;
	once_step_t step;
	uint64_t version; /* that was read */
	bool dispatched;
	bool over; /* the caller has its answer */
} racer_t;

/* Reads the row, now and then without success. */
static void racer_read(racer_t *racer, table_t *table)
{
	once_row_t row;

	if (retry_random(&table->seed) % 8 == 0) {
		racer->step = once_after_read(&racer->call, ONCE_READ_FAILED,
					      NULL, NOW_US);
		return;
	}
	if (!table->text) {
		racer->step = once_after_read(&racer->call, ONCE_READ_ABSENT,
					      NULL, NOW_US);
		return;
	}
	assert_true(once_row_parse(table->text, strlen(table->text), &row));
	racer->version = table->version;
	racer->step =
		once_after_read(&racer->call, ONCE_READ_FOUND, &row, NOW_US);
	once_row_finish(&row);
}

/* Carries out the next step of one send. Returns how often it executed the call
 * at the backend server.
 */
static unsigned racer_step(racer_t *racer, table_t *table)
{
	once_call_result_t result;
	bool insert;

	switch (racer->step.kind) {
	case ONCE_INSERT:
	case ONCE_TAKE_OVER:
		insert = racer->step.kind == ONCE_INSERT;
		racer->step = once_after_write(
			&racer->call,
			table_write(table, insert, racer->version,
				    once_row_format(&racer->call, ONCE_STARTED,
						    NULL, 1)),
			NOW_US);
		return 0;
	case ONCE_READ:
		racer_read(racer, table);
		return 0;
	case ONCE_DISPATCH:
		racer->over = true;
		result = (once_call_result_t)(retry_random(&table->seed) % 3);
		/* Only the owner of the row writes the outcome, at the version
		 * that it wrote itself.
		 */
		if (result != ONCE_CALL_UNKNOWN)
			table_write(table, false, table->version,
				    once_row_format(
					    &racer->call,
					    once_state_for_result(result),
					    &(once_outcome_t){.status = 200},
					    1));
		return result == ONCE_CALL_NOT_RUN ? 0 : 1;
	default:
		racer->over = true;
		return 0;
	}
}

/* Guards against two executions with one key. They could come about when
 * several callers race while the table loses answers and executes writes late.
 */
static void test_races(void **state)
{
	unsigned ran = 0;

	for (uint64_t race = 0; race < RACES; race++) {
		table_t table = {.seed = FUZZ_SEED + race};
		racer_t racers[RACERS] = {0};
		unsigned runs = 0;

		for (size_t i = 0; i < RACERS; i++) {
			char id[8];

			g_snprintf(id, sizeof(id), "a%zu", i);
			init_call(&racers[i].call, id);
			racers[i].step = once_begin(&racers[i].call, NOW_US);
		}
		for (int i = 0; i < 60; i++) {
			racer_t *racer =
				&racers[retry_random(&table.seed) % RACERS];

			table_deliver_late(&table);
			if (!racer->over)
				runs += racer_step(racer, &table);
		}
		assert_true(runs <= 1);
		ran += runs;
		for (size_t i = 0; i < RACERS; i++)
			once_finish(&racers[i].call);
		g_free(table.text);
		g_free(table.late);
	}
	assert_true(ran > RACES / 10);
}

/* Guards against rows that are read differently from how they were written. */
static void test_row_round_trip(void **state)
{
	const once_outcome_t outcome = {
		.status = 201,
		.content_type = "application/json",
		.body = g_bytes_new_static("{\"a\":\0\xff}", 8),
	};
	once_row_t row;
	once_t call;
	char *text;

	init_call(&call, "mine");
	text = once_row_format(&call, ONCE_DONE, &outcome, 1234);
	assert_true(once_row_parse(text, strlen(text), &row));
	assert_string_equal(row.workspace, "demo");
	assert_string_equal(row.key, "key-1");
	assert_string_equal(row.call_hash, "hash-a");
	assert_string_equal(row.attempt, "mine");
	assert_int_equal(row.state, ONCE_DONE);
	assert_int_equal(row.written_ms, 1234);
	assert_int_equal(row.outcome.status, 201);
	assert_string_equal(row.outcome.content_type, "application/json");
	assert_true(g_bytes_equal(row.outcome.body, outcome.body));
	once_row_finish(&row);
	g_free(text);
	g_bytes_unref(outcome.body);
	once_finish(&call);
}

/* Guards against rows above the table's limit of 64 KiB: the table would reject
 * the outcome of a call that ran.
 */
static void test_row_size(void **state)
{
	for (size_t len = ONCE_MAX_BODY_BYTES; len <= ONCE_MAX_BODY_BYTES + 1;
	     len++) {
		const once_outcome_t outcome = {
			.status = 200,
			.body = g_bytes_new_take(g_malloc0(len), len),
		};
		char *key = g_strnfill(ONCE_MAX_KEY_BYTES, '"');
		once_row_t row;
		once_t call;
		char *text;

		once_init(&call, STR("demo"), str_from(key), STR("hash"),
			  STR("mine"), GIVE_UP_US);
		text = once_row_format(&call, ONCE_DONE, &outcome, 1);
		assert_true(strlen(text) < 65536);
		assert_true(once_row_parse(text, strlen(text), &row));
		assert_int_equal(row.outcome.body != NULL,
				 len <= ONCE_MAX_BODY_BYTES);
		once_row_finish(&row);
		g_free(text);
		g_free(key);
		g_bytes_unref(outcome.body);
		once_finish(&call);
	}
}

/* Guards against equal hashes for different workspaces, keys or calls, and
 * against invalid keys.
 */
static void test_hashes(void **state)
{
	char *a = once_table_key(STR("ab"), STR("c"));
	char *b = once_table_key(STR("a"), STR("bc"));
	char *c = once_call_hash(STR("s"), STR("POST"), STR("/a"), STR("b"));
	char *d = once_call_hash(STR("s"), STR("POST"), STR("/ab"), STR(""));

	assert_true(g_str_has_prefix(a, "once/"));
	assert_int_equal(strlen(a), strlen("once/") + 64);
	assert_string_not_equal(a, b);
	assert_string_not_equal(c, d);
	assert_true(once_key_is_valid(STR("a-1")));
	assert_false(once_key_is_valid(STR("")));
	assert_false(once_key_is_valid(STR("a b")));
	assert_false(once_key_is_valid(STR("a\n")));
	assert_false(once_key_is_valid(STR("\xc3\xa9")));
	g_free(a);
	g_free(b);
	g_free(c);
	g_free(d);
}

/* Guards against memory faults when a row is damaged or of another format. */
static void test_fuzz_parse(void **state)
{
	uint64_t seed = FUZZ_SEED;
	once_t call;
	char *text;

	init_call(&call, "mine");
	text = once_row_format(
		&call, ONCE_DONE,
		&(once_outcome_t){.status = 200, .content_type = "a/b"}, 1);
	for (int i = 0; i < FUZZ_RUNS; i++) {
		char *copy = g_strdup(text);
		size_t len = strlen(copy);
		once_row_t row;

		for (uint64_t n = 1 + retry_random(&seed) % 3; n > 0; n--)
			copy[retry_random(&seed) % len] =
				(char)(retry_random(&seed) % 256);
		if (retry_random(&seed) % 2)
			len = retry_random(&seed) % len;
		if (once_row_parse(copy, len, &row))
			once_row_finish(&row);
		g_free(copy);
	}
	g_free(text);
	once_finish(&call);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_scripts),
		cmocka_unit_test(test_gives_up_in_time),
		cmocka_unit_test(test_races),
		cmocka_unit_test(test_row_round_trip),
		cmocka_unit_test(test_row_size),
		cmocka_unit_test(test_hashes),
		cmocka_unit_test(test_fuzz_parse),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
