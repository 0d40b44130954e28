/* Decisions on calls that carry an Idempotency-Key. */
#include "request/once.h"

#include <inttypes.h>

#include "process/clock.h"

/* Insert, read and take over, and each of them again after a lost answer. */
#define MAX_TABLE_CALLS 6
/* When a caller that was refused may retry. */
#define RETRY_AFTER_US (1 * CLOCK_US_PER_S)

/* Prepares a send. Copies what is needed to write the row and to recognise it.
 * `attempt` is a unique ID of the send; give_up_us is CLOCK_BOOTTIME.
 */
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

/* Returns whether a key is 1 to ONCE_MAX_KEY_BYTES visible ASCII characters. */
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

/* Hashes the length before the part, so that ("ab", "c") and ("a", "bc")
 * differ.
 */
static void hash_part(GChecksum *sum, str_t part)
{
	uint64_t len = GUINT64_TO_BE(part.len);

	g_checksum_update(sum, (const guchar *)&len, sizeof(len));
	g_checksum_update(sum, (const guchar *)part.data, (gssize)part.len);
}

/* Returns the SHA-256 of texts in hex, to be freed with g_free(). */
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

/* Returns the key of the table row, to be freed with g_free(). It is a hash, so
 * that no text of a caller gets into the table's keys.
 */
char *once_table_key(str_t workspace, str_t key)
{
	const str_t parts[] = {workspace, key};
	char *hex = hash_parts(parts, G_N_ELEMENTS(parts));
	char *table_key = g_strconcat("once/", hex, NULL);

	g_free(hex);
	return table_key;
}

/* Returns a hash that identifies a call, to be freed with g_free(). A key that
 * is used again for another call is noticed by it.
 */
char *once_call_hash(str_t service, str_t method, str_t path, str_t body)
{
	const str_t parts[] = {service, method, path, body};

	return hash_parts(parts, G_N_ELEMENTS(parts));
}

/* Returns a step that is a table call, and counts it. */
static once_step_t table_step(once_t *call, once_step_kind_t kind)
{
	call->table_calls++;
	return (once_step_t){.kind = kind};
}

/* Returns the step that answers the caller with a verdict. */
static once_step_t answer(verdict_t verdict)
{
	return (once_step_t){.kind = ONCE_ANSWER, .verdict = verdict};
}

/* Refuses the call, because the table does not show whose row it has. This send
 * was not dispatched, but if the key is in use, another send of it may have
 * run.
 */
static once_step_t refuse(const once_t *call, int64_t now_us)
{
	run_status_t run = call->row_exists ? RUN_MAY_HAVE_RUN : RUN_NOT_RUN;

	return answer(verdict_with_retry_at(
		verdict_make(run, VERDICT_UNAVAILABLE, "table unavailable"),
		now_us + RETRY_AFTER_US));
}

/* Returns whether another table call may be started. */
static bool may_try(const once_t *call, int64_t now_us)
{
	return call->table_calls < MAX_TABLE_CALLS && now_us < call->give_up_us;
}

/* Returns a table call, or refuses the call if there were too many of them or
 * it is too late.
 */
static once_step_t try_step(once_t *call, once_step_kind_t kind, int64_t now_us)
{
	if (!may_try(call, now_us))
		return refuse(call, now_us);
	return table_step(call, kind);
}

/* Returns the step that sends the call. The row names this send as its owner.
 */
static once_step_t dispatch(once_t *call)
{
	/* A second dispatch could execute the call twice. */
	g_assert(!call->dispatched);
	call->dispatched = true;
	return (once_step_t){.kind = ONCE_DISPATCH};
}

/* Returns the first step of a send. */
once_step_t once_begin(once_t *call, int64_t now_us)
{
	return try_step(call, ONCE_INSERT, now_us);
}

/*
 * Returns the step after the result of an ONCE_INSERT or ONCE_TAKE_OVER. If the
 * answer to a write was lost, the row is read: its attempt ID tells whose write
 * took effect.
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
	return refuse(call, now_us);
}

/* Returns the step after a row was read that belongs to another send. */
static once_step_t after_row_of_other_send(once_t *call, const once_row_t *row,
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
		now_us + RETRY_AFTER_US));
}

/*
 * Returns the step after the result of an ONCE_READ; `row` is set for
 * ONCE_READ_FOUND. A row in ONCE_STARTED of another send is never taken over,
 * because that send may have run.
 */
once_step_t once_after_read(once_t *call, once_read_result_t result,
			    const once_row_t *row, int64_t now_us)
{
	switch (result) {
	case ONCE_READ_FOUND:
		if (strcmp(row->attempt, call->attempt) != 0)
			return after_row_of_other_send(call, row, now_us);
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
	return refuse(call, now_us);
}

/* Returns the state of the row after the call to the backend server has ended.
 */
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
