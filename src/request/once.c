#include "request/once.h"

#include <inttypes.h>

#include "process/clock.h"

/* Insert, read back and take over, each once again after a lost answer. */
#define MAX_TABLE_CALLS 6
#define COME_BACK_US (1 * CLOCK_US_PER_S)

/* Copies what is needed to write and recognise the row. */
void once_init(once_t *call, str_t workspace, str_t key, str_t call_hash,
	       str_t attempt, int64_t give_up_us)
{
	*call = (once_t){
		.workspace = str_dup(workspace),
		.key = str_dup(key),
		.call_hash = str_dup(call_hash),
		.attempt = str_dup(attempt),
		.give_up_us = give_up_us,
	};
}

/* Frees the copies. */
void once_finish(once_t *call)
{
	g_free(call->workspace);
	g_free(call->key);
	g_free(call->call_hash);
	g_free(call->attempt);
	*call = (once_t){0};
}

/* A key is 1 to 255 visible ASCII characters. */
bool once_key_is_valid(str_t key)
{
	if (key.len == 0 || key.len > ONCE_MAX_KEY_BYTES)
		return false;
	for (size_t i = 0; i < key.len; i++) {
		if (key.data[i] <= ' ' || key.data[i] > '~')
			return false;
	}
	return true;
}

/* The length before each part keeps ("ab", "c") and ("a", "bc") apart. */
static void hash_part(GChecksum *sum, str_t part)
{
	uint64_t len = GUINT64_TO_BE(part.len);

	g_checksum_update(sum, (const guchar *)&len, sizeof(len));
	g_checksum_update(sum, (const guchar *)part.data, (gssize)part.len);
}

static char *hash_parts(const str_t *parts, size_t n)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	char *hex;

	for (size_t i = 0; i < n; i++)
		hash_part(sum, parts[i]);
	hex = g_strdup(g_checksum_get_string(sum));
	g_checksum_free(sum);
	return hex;
}

/* Key of the table row; the hash keeps callers' text out of table keys. */
char *once_table_key(str_t workspace, str_t key)
{
	const str_t parts[] = {workspace, key};
	char *hex = hash_parts(parts, G_N_ELEMENTS(parts));
	char *table_key = g_strconcat("once/", hex, NULL);

	g_free(hex);
	return table_key;
}

/* Identifies what is called, to notice a key that is used for another call. */
char *once_call_hash(str_t service, str_t method, str_t path, str_t body)
{
	const str_t parts[] = {service, method, path, body};

	return hash_parts(parts, G_N_ELEMENTS(parts));
}

static once_step_t table_step(once_t *call, once_step_kind_t kind)
{
	call->table_calls++;
	return (once_step_t){.kind = kind};
}

static once_step_t answer(verdict_t verdict)
{
	return (once_step_t){.kind = ONCE_ANSWER, .verdict = verdict};
}

/* The table gives no certainty. This call was not dispatched, but if the key
 * is in use, an earlier send with it may have run.
 */
static once_step_t give_up(const once_t *call, int64_t now_us)
{
	run_status_t run = call->row_exists ? RUN_MAY_HAVE_RUN : RUN_NOT_RUN;

	return answer(verdict_with_retry_at(
		verdict_make(run, VERDICT_UNAVAILABLE, "table unavailable"),
		now_us + COME_BACK_US));
}

static bool may_try(const once_t *call, int64_t now_us)
{
	return call->table_calls < MAX_TABLE_CALLS && now_us < call->give_up_us;
}

static once_step_t try_step(once_t *call, once_step_kind_t kind, int64_t now_us)
{
	if (!may_try(call, now_us))
		return give_up(call, now_us);
	return table_step(call, kind);
}

static once_step_t dispatch(once_t *call)
{
	/* The row names this send as the owner, and only now. */
	g_assert(!call->dispatched);
	call->dispatched = true;
	return (once_step_t){.kind = ONCE_DISPATCH};
}

/* First step of a call. */
once_step_t once_begin(once_t *call, int64_t now_us)
{
	return try_step(call, ONCE_INSERT, now_us);
}

/*
 * Step after the result of an ONCE_INSERT or ONCE_TAKE_OVER. A write whose answer
 * was lost is read back: the row's attempt ID tells whose write took effect.
 */
once_step_t once_after_write(once_t *call, once_write_result_t result,
			     int64_t now_us)
{
	switch (result) {
	case ONCE_WRITE_OK:
		return dispatch(call);
	case ONCE_WRITE_CONFLICT:
		call->row_exists = true;
		return try_step(call, ONCE_READ, now_us);
	case ONCE_WRITE_UNKNOWN:
		return try_step(call, ONCE_READ, now_us);
	case ONCE_WRITE_NOT_SENT:
		break;
	}
	return give_up(call, now_us);
}

static once_step_t after_foreign_row(once_t *call, const once_row_t *row,
				     int64_t now_us)
{
	call->row_exists = true;
	if (strcmp(row->call_hash, call->call_hash) != 0)
		return answer(verdict_make(
			RUN_NOT_RUN, VERDICT_CONFLICT,
			"Idempotency-Key was used for another call"));
	switch (row->state) {
	case ONCE_NOT_RUN:
		return try_step(call, ONCE_TAKE_OVER, now_us);
	case ONCE_DONE:
		if (row->outcome.body)
			return (once_step_t){.kind = ONCE_REPLAY};
		return answer(verdict_make(
			RUN_RAN, VERDICT_CONFLICT,
			"the call ran; its response is not stored"));
	case ONCE_STARTED:
		break;
	}
	return answer(verdict_with_retry_at(
		verdict_make(RUN_MAY_HAVE_RUN, VERDICT_CONFLICT,
			     "a call with this Idempotency-Key was started"),
		now_us + COME_BACK_US));
}

/*
 * Step after the result of an ONCE_READ; `row` is set for ONCE_READ_FOUND. A
 * row that another send has started is never taken over.
 */
once_step_t once_after_read(once_t *call, once_read_result_t result,
			    const once_row_t *row, int64_t now_us)
{
	switch (result) {
	case ONCE_READ_FOUND:
		if (strcmp(row->attempt, call->attempt) != 0)
			return after_foreign_row(call, row, now_us);
		if (row->state == ONCE_STARTED)
			return dispatch(call);
		break;
	case ONCE_READ_ABSENT:
		return try_step(call, ONCE_INSERT, now_us);
	case ONCE_READ_MALFORMED:
		call->row_exists = true;
		break;
	case ONCE_READ_FAILED:
		break;
	}
	return give_up(call, now_us);
}

/* State of the row after the call to the backend server has ended. */
once_state_t once_state_for_result(once_call_result_t result)
{
	switch (result) {
	case ONCE_CALL_ANSWERED:
		return ONCE_DONE;
	case ONCE_CALL_NOT_RUN:
		return ONCE_NOT_RUN;
	case ONCE_CALL_UNKNOWN:
		break;
	}
	return ONCE_STARTED;
}
